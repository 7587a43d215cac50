//! Which engines read for others, and where a request begins.

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
        slots: 10,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
        held: LoadedModels::default(),
    };
    Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO))
}

/// A mix that has seen as many streams late by a pause as make it keep reading apart.
fn late_mix() -> PrefillScaler {
    let mut mix = PrefillScaler::default();
    for number in 0..40 {
        mix.record_stream(address(number % 12), number % 5 == 0);
    }
    mix
}

#[test]
fn split_is_the_same_in_any_order() {
    let engines: Vec<SocketAddr> = (1..=12).map(address).collect();
    let roles = Roles::split(engines.iter().copied(), 4);
    assert_eq!(roles, Roles::split(engines.iter().rev().copied(), 4));
    let readers = engines.iter().filter(|engine| roles.is_prefill(**engine));
    assert_eq!(readers.count(), 4);
}

/// An engine that leaves changes the role of one other at most, so that few adapters are reloaded.
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
fn manner_by_tokens() {
    assert_eq!(Workload::of(Some((2_400, 90))), Workload::PrefillHeavy);
    assert_eq!(Workload::of(Some((826, 954))), Workload::DecodeHeavy);
    assert_eq!(Workload::of(Some((800, 100))), Workload::DecodeHeavy);
    // What tells nothing of its answer may write for long.
    assert_eq!(Workload::of(Some((2_400, 0))), Workload::DecodeHeavy);
    assert_eq!(Workload::of(None), Workload::DecodeHeavy);
    assert_eq!(
        Workload::of(Some((u32::MAX, u32::MAX))),
        Workload::DecodeHeavy
    );
}

#[test]
fn readers_none_while_pauses_are_short() {
    let mut mix = PrefillScaler::default();
    for number in 0..1_000 {
        mix.record_stream(address(number % 12), number % 50 == 0);
    }
    assert_eq!(mix.prefill_count(12, Millis(9_000)), 0);
}

#[test]
fn readers_a_third_at_first_and_none_of_one() {
    let mut mix = late_mix();
    assert_eq!(mix.prefill_count(12, Millis(9_000)), 4);
    assert_eq!(mix.prefill_count(1, Millis(9_000)), 0);
    assert_eq!(mix.prefill_count(2, Millis(9_000)), 1);
}

/// The number of reading engines follows the wait for the first event, both up and down.
#[test]
fn readers_follow_the_wait_for_the_first_event() {
    let mut mix = late_mix();
    let mut last = mix.prefill_count(12, Millis(9_000));
    for number in 1..=9 {
        for _ in 0..100 {
            mix.record_prefill_wait(0.9);
        }
        let readers = mix.prefill_count(12, Millis(9_000 + number * 2_000));
        assert!((last..=last + 1).contains(&readers), "{last} to {readers}");
        last = readers;
    }
    assert_eq!(last, 6);
    for number in 10..=20 {
        for _ in 0..100 {
            mix.record_prefill_wait(0.01);
        }
        last = mix.prefill_count(12, Millis(9_000 + number * 2_000));
    }
    assert_eq!(last, 2);
}

#[test]
fn readers_none_again_when_pauses_stay_short() {
    let mut mix = late_mix();
    assert_eq!(mix.prefill_count(12, Millis(9_000)), 4);
    for number in 0..150 {
        mix.record_stream(address(number % 12), false);
    }
    assert_eq!(mix.prefill_count(12, Millis(9_000)), 4);
    for number in 0..1_000 {
        mix.record_stream(address(number % 12), false);
    }
    assert_eq!(mix.prefill_count(12, Millis(9_000)), 0);
}

/// Late streams of a few slow engines aren't taken for prompts that delay everyone.
#[test]
fn readers_none_for_a_few_slow_engines() {
    let mut mix = PrefillScaler::default();
    for number in 0..1_000 {
        let engine = number % 18;
        mix.record_stream(address(engine), engine < 2);
        assert_eq!(
            mix.prefill_count(18, Millis(9_000)),
            0,
            "after {number} streams"
        );
    }
}

/// A few late streams right after a start set no engine apart for reading.
#[test]
fn readers_none_before_enough_is_seen() {
    let mut mix = PrefillScaler::default();
    for number in 0..7 {
        mix.record_stream(address(number), true);
        assert_eq!(mix.prefill_count(12, Millis(9_000)), 0);
    }
}

#[test]
fn first_by_manner_and_holders() {
    let engines: Vec<Arc<Upstream>> = (1..=2).map(engine).collect();
    let roles = Roles::split(engines.iter().map(|engine| engine.address), 1);
    let field = Selector {
        upstreams: &engines,
        tried: &[],
        home: "hall-a",
        now: Millis(1_000),
        salt: 1,
        pause: None,
        roles: &roles,
        id: 0,
        usual: None,
    };
    let reader = engines
        .iter()
        .find(|engine| field.is_prefill(engine))
        .unwrap();
    let writer = engines
        .iter()
        .find(|engine| !field.is_prefill(engine))
        .unwrap();
    let begins = |manner: Workload, held: &[&Arc<Upstream>]| {
        let found = field.select(manner, |engine| {
            held.iter()
                .any(|holder| holder.incarnation == engine.incarnation)
        });
        found.map(|found| found.address)
    };
    let both = [reader, writer];
    assert_eq!(begins(Workload::DecodeHeavy, &both), Some(reader.address));
    assert_eq!(
        begins(Workload::DecodeHeavy, &[writer]),
        Some(writer.address)
    );
    assert_eq!(
        begins(Workload::DecodeHeavy, &[reader]),
        Some(reader.address)
    );
    assert_eq!(begins(Workload::PrefillHeavy, &both), Some(reader.address));
    assert_eq!(
        begins(Workload::PrefillHeavy, &[writer]),
        Some(writer.address)
    );
    assert_eq!(begins(Workload::DecodeHeavy, &[]), None);
    // A reader that fails is passed over while a writer can take the request.
    reader.record_unreachable(Millis(1_000));
    assert_eq!(begins(Workload::PrefillHeavy, &both), Some(writer.address));
    assert_eq!(begins(Workload::DecodeHeavy, &both), Some(writer.address));
}

/// Compares with the least loaded of all readers, and of all writers, looked for one by one.
#[test]
fn first_is_the_least_of_readers_or_writers() {
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
        let field = Selector {
            upstreams: &engines,
            tried: &tried,
            home: "hall-a",
            now: Millis(1_000),
            salt: seed,
            pause: Some(Millis(200)),
            roles: &roles,
            id: seed,
            usual: Some(0.3),
        };
        let reader = field.least_loaded(|engine| field.is_prefill(engine) && fits(engine));
        let writer = field.least_loaded(|engine| !field.is_prefill(engine) && fits(engine));
        let sound = |found: &Option<Arc<Upstream>>| {
            found.as_ref().is_some_and(|found| {
                !found.is_suspended(field.now) && !tried.contains(&found.incarnation)
            })
        };
        for manner in [Workload::PrefillHeavy, Workload::DecodeHeavy] {
            let reads = match manner {
                Workload::PrefillHeavy => sound(&reader),
                Workload::DecodeHeavy => sound(&reader) && sound(&writer),
            };
            let expected = match (&reader, &writer) {
                (Some(reader), _) if reads => Some(reader),
                (Some(reader), _) if !sound(&writer) => Some(reader),
                (_, writer) => writer.as_ref(),
            };
            let found = field.select(manner, fits);
            let name = |one: &Arc<Upstream>| Name::clone(&one.incarnation);
            assert_eq!(found.as_ref().map(name), expected.map(name), "seed {seed}");
        }
    }
}

/// A stream on a replaced version isn't moved, which would begin that version anew elsewhere.
#[test]
fn may_move_only_on_the_newest_version() {
    assert!(may_move(Some(2), 2, Some(2)));
    assert!(!may_move(Some(1), 1, Some(2)));
    assert!(!may_move(Some(1), 2, Some(2)));
    assert!(!may_move(Some(2), 1, Some(2)));
    // What was loaded without a number may be older than the one that was named since.
    assert!(!may_move(Some(2), 0, Some(2)));
    assert!(!may_move(None, 2, Some(2)));
    // Where none was named, all engines hold the only one.
    assert!(may_move(Some(1), 0, None));
    assert!(may_move(None, 1, None));
}
