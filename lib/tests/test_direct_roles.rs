//! Prefill and decode roles, and the engine at which a request starts.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{LoadedModels, UpstreamEntry};
use chivevalve::direct::roles::{PrefillScaler, Roles, Workload, may_move};
use chivevalve::direct::selection::Selector;
use chivevalve::direct::upstream::Upstream;
use chivevalve::name::Name;
use direct_support::records::entry_revision;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn engine(number: u16) -> Arc<Upstream> {
    let listed = UpstreamEntry {
        incarnation: format!("i-{number}").into(),
        pool: "engines".into(),
        address: address(number),
        failure_domain: "hall-a".into(),
        software: Some("v1".into()),
        slots: 10,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
        held: LoadedModels::default(),
        weights: smallvec::SmallVec::new(),
    };
    Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO))
}

/// A scaler that has seen enough streams with a long pause to disaggregate prefill.
fn disaggregating_scaler() -> PrefillScaler {
    let mut scaler = PrefillScaler::default();
    for number in 0..40 {
        scaler.record_stream(address(number % 12), number % 5 == 0);
    }
    scaler
}

#[test]
fn split_is_the_same_in_any_order() {
    let engines: Vec<SocketAddr> = (1..=12).map(address).collect();
    let roles = Roles::split(engines.iter().copied(), 4);
    assert_eq!(roles, Roles::split(engines.iter().rev().copied(), 4));
    let prefill_engines = engines.iter().filter(|engine| roles.is_prefill(**engine));
    assert_eq!(prefill_engines.count(), 4);
}

/// An engine that leaves changes the role of at most one other, so that few adapters are reloaded.
#[test]
fn split_changes_little_when_an_engine_leaves() {
    let engines: Vec<SocketAddr> = (1..=12).map(address).collect();
    let before = Roles::split(engines.iter().copied(), 4);
    for gone in &engines {
        let left = || engines.iter().copied().filter(|engine| engine != gone);
        let after = Roles::split(left(), 4);
        let changed =
            left().filter(|engine| before.is_prefill(*engine) != after.is_prefill(*engine));
        assert!(changed.count() <= 1, "{gone} leaves");
    }
}

#[test]
fn split_into_none() {
    let roles = Roles::split((1..=3).map(address), 0);
    assert!(!roles.is_disaggregated());
    assert!(!roles.is_prefill(address(1)));
}

#[test]
fn workload_by_tokens() {
    assert_eq!(Workload::of(Some((2_400, 90))), Workload::PrefillHeavy);
    assert_eq!(Workload::of(Some((826, 954))), Workload::DecodeHeavy);
    assert_eq!(Workload::of(Some((800, 100))), Workload::DecodeHeavy);
    // Without a limit on the answer, decode may take long.
    assert_eq!(Workload::of(Some((2_400, 0))), Workload::DecodeHeavy);
    assert_eq!(Workload::of(None), Workload::DecodeHeavy);
    assert_eq!(
        Workload::of(Some((u32::MAX, u32::MAX))),
        Workload::DecodeHeavy
    );
}

#[test]
fn prefill_count_zero_while_pauses_are_short() {
    let mut scaler = PrefillScaler::default();
    for number in 0..1_000 {
        scaler.record_stream(address(number % 12), number % 50 == 0);
    }
    assert_eq!(scaler.prefill_count(12, Millis(9_000)), 0);
}

#[test]
fn prefill_count_a_third_at_first_and_zero_of_one() {
    let mut scaler = disaggregating_scaler();
    assert_eq!(scaler.prefill_count(12, Millis(9_000)), 4);
    assert_eq!(scaler.prefill_count(1, Millis(9_000)), 0);
    assert_eq!(scaler.prefill_count(2, Millis(9_000)), 1);
}

/// The number of prefill engines follows the wait for the first event, both up and down.
#[test]
fn prefill_count_follows_the_wait_for_the_first_event() {
    let mut scaler = disaggregating_scaler();
    let mut last = scaler.prefill_count(12, Millis(9_000));
    for number in 1..=9 {
        for _ in 0..100 {
            scaler.record_prefill_wait(0.9);
        }
        let prefill_count = scaler.prefill_count(12, Millis(9_000 + number * 2_000));
        assert!(
            (last..=last + 1).contains(&prefill_count),
            "{last} to {prefill_count}"
        );
        last = prefill_count;
    }
    assert_eq!(last, 6);
    for number in 10..=20 {
        for _ in 0..100 {
            scaler.record_prefill_wait(0.01);
        }
        last = scaler.prefill_count(12, Millis(9_000 + number * 2_000));
    }
    assert_eq!(last, 2);
}

#[test]
fn prefill_count_zero_again_when_pauses_stay_short() {
    let mut scaler = disaggregating_scaler();
    assert_eq!(scaler.prefill_count(12, Millis(9_000)), 4);
    for number in 0..150 {
        scaler.record_stream(address(number % 12), false);
    }
    assert_eq!(scaler.prefill_count(12, Millis(9_000)), 4);
    for number in 0..1_000 {
        scaler.record_stream(address(number % 12), false);
    }
    assert_eq!(scaler.prefill_count(12, Millis(9_000)), 0);
}

/// Late streams of a few slow engines aren't attributed to prefill.
#[test]
fn prefill_count_zero_for_a_few_slow_engines() {
    let mut scaler = PrefillScaler::default();
    for number in 0..1_000 {
        let engine = number % 18;
        scaler.record_stream(address(engine), engine < 2);
        assert_eq!(
            scaler.prefill_count(18, Millis(9_000)),
            0,
            "after {number} streams"
        );
    }
}

/// A few late streams right after a start don't disaggregate prefill.
#[test]
fn prefill_count_zero_before_enough_streams() {
    let mut scaler = PrefillScaler::default();
    for number in 0..7 {
        scaler.record_stream(address(number), true);
        assert_eq!(scaler.prefill_count(12, Millis(9_000)), 0);
    }
}

#[test]
fn select_by_workload_and_holders() {
    let engines: Vec<Arc<Upstream>> = (1..=2).map(engine).collect();
    let roles = Roles::split(engines.iter().map(|engine| engine.address), 1);
    let selector = Selector {
        upstreams: &engines,
        tried: &[],
        local_domain: "hall-a",
        now: Millis(1_000),
        affinity_seed: 1,
        max_event_gap: None,
        roles: &roles,
        request_hash: 0,
        remote_prior: None,
    };
    let prefill = engines
        .iter()
        .find(|engine| selector.is_prefill(engine))
        .unwrap();
    let decode = engines
        .iter()
        .find(|engine| !selector.is_prefill(engine))
        .unwrap();
    let start_address = |workload: Workload, held: &[&Arc<Upstream>]| {
        let found = selector.select(workload, |engine| {
            held.iter()
                .any(|holder| holder.incarnation == engine.incarnation)
        });
        found.map(|found| found.address)
    };
    let both = [prefill, decode];
    assert_eq!(
        start_address(Workload::DecodeHeavy, &both),
        Some(prefill.address)
    );
    assert_eq!(
        start_address(Workload::DecodeHeavy, &[decode]),
        Some(decode.address)
    );
    assert_eq!(
        start_address(Workload::DecodeHeavy, &[prefill]),
        Some(prefill.address)
    );
    assert_eq!(
        start_address(Workload::PrefillHeavy, &both),
        Some(prefill.address)
    );
    assert_eq!(
        start_address(Workload::PrefillHeavy, &[decode]),
        Some(decode.address)
    );
    assert_eq!(start_address(Workload::DecodeHeavy, &[]), None);
    // A failing prefill engine is skipped while a decode engine can take the request.
    prefill.record_unreachable(Millis(1_000));
    assert_eq!(
        start_address(Workload::PrefillHeavy, &both),
        Some(decode.address)
    );
    assert_eq!(
        start_address(Workload::DecodeHeavy, &both),
        Some(decode.address)
    );
}

/// Compares the single pass over all engines with two separate searches for the least loaded
/// prefill engine and the least loaded decode engine.
#[test]
fn select_is_the_least_loaded_of_its_role() {
    for seed in 0..200 {
        let mut random = Pcg64::seed_from_u64(seed);
        let engines: Vec<Arc<Upstream>> = (1..=30).map(engine).collect();
        let roles = Roles::split(engines.iter().map(|engine| engine.address), 10);
        let mut running = Vec::new();
        for engine in &engines {
            running
                .extend((0..random.random_range(0..4)).map(|_| engine.start_request(None, None)));
            engine.record_remote_load(random.random_range(0..6), Millis(900));
            if random.random_bool(0.1) {
                engine.record_unreachable(Millis(1_000));
            }
        }
        let tried = [Name::clone(&engines[3].incarnation)];
        let held: Vec<bool> = engines.iter().map(|_| random.random_bool(0.2)).collect();
        let fits = |engine: &Upstream| held[usize::from(engine.address.port()) - 1];
        let selector = Selector {
            upstreams: &engines,
            tried: &tried,
            local_domain: "hall-a",
            now: Millis(1_000),
            affinity_seed: seed,
            max_event_gap: Some(Millis(200)),
            roles: &roles,
            request_hash: seed,
            remote_prior: Some(0.3),
        };
        let prefill = selector.least_loaded(|engine| selector.is_prefill(engine) && fits(engine));
        let decode = selector.least_loaded(|engine| !selector.is_prefill(engine) && fits(engine));
        let is_usable = |found: &Option<Arc<Upstream>>| {
            found.as_ref().is_some_and(|found| {
                !found.is_suspended(selector.now) && !tried.contains(&found.incarnation)
            })
        };
        for workload in [Workload::PrefillHeavy, Workload::DecodeHeavy] {
            let starts_at_prefill = match workload {
                Workload::PrefillHeavy => is_usable(&prefill),
                Workload::DecodeHeavy => is_usable(&prefill) && is_usable(&decode),
            };
            let expected = match (&prefill, &decode) {
                (Some(prefill), _) if starts_at_prefill => Some(prefill),
                (Some(prefill), _) if !is_usable(&decode) => Some(prefill),
                (_, decode) => decode.as_ref(),
            };
            let found = selector.select(workload, fits);
            let name = |one: &Arc<Upstream>| Name::clone(&one.incarnation);
            assert_eq!(found.as_ref().map(name), expected.map(name), "seed {seed}");
        }
    }
}

/// A stream on a replaced version isn't moved, since that would start the old version again at
/// another engine.
#[test]
fn may_move_only_on_the_newest_version() {
    assert!(may_move(Some(2), 2, Some(2)));
    assert!(!may_move(Some(1), 1, Some(2)));
    assert!(!may_move(Some(1), 2, Some(2)));
    assert!(!may_move(Some(2), 1, Some(2)));
    // An adapter loaded without a version may be older than the version declared since.
    assert!(!may_move(Some(2), 0, Some(2)));
    assert!(!may_move(None, 2, Some(2)));
    // If no version was declared, there is only one, which all engines hold.
    assert!(may_move(Some(1), 0, None));
    assert!(may_move(None, 1, None));
}
