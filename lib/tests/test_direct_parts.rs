//! The decisions of direct serving that need no I/O.

mod direct_support;

use std::sync::{Arc, LazyLock};

use chivevalve::clock::Millis;
use chivevalve::direct::budget::RetryBudget;
use chivevalve::direct::dialect::LoadedModels;
use chivevalve::direct::limits::{
    Limits, RetryLimits, SharedLimits, exchange_interval, in_use_grace,
};
use chivevalve::direct::roles::Roles;
use chivevalve::direct::selection::{MAX_PLACEMENT_CANDIDATES, Selector};
use chivevalve::direct::sse::EventSplitter;
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::view::View;
use chivevalve::name::Name;
use direct_support::records::{entry_revision, listed};
use quickcheck::{Gen, QuickCheck};

const RETRIES: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Millis(10_000),
    extra: 54,
};

fn retries() -> Arc<SharedLimits> {
    Arc::new(SharedLimits::new(Limits {
        retries: RETRIES,
        ..Limits::default()
    }))
}

fn upstream(incarnation: &str, failure_domain: &str) -> Arc<Upstream> {
    let mut listed = listed(incarnation, &[("base/a1", 1)]);
    listed.failure_domain = failure_domain.into();
    Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO))
}

/// No prefill engines: each engine does both prefill and decode.
static AGGREGATED: LazyLock<Roles> = LazyLock::new(Roles::default);

fn selector<'a>(
    upstreams: &'a [Arc<Upstream>],
    tried: &'a [Name],
    affinity_seed: u64,
) -> Selector<'a> {
    Selector {
        upstreams,
        tried,
        local_domain: "hall-a",
        now: Millis(1_000),
        affinity_seed,
        max_event_gap: None,
        roles: &AGGREGATED,
        request_hash: 0,
        remote_prior: None,
    }
}

#[test]
fn splitter_any_cuts_give_the_same_events() {
    fn holds(cuts: Vec<u8>) -> bool {
        let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no number\n\nid: 4\ndata: d";
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut at = 0;
        let mut cuts = cuts.into_iter();
        while at < text.len() {
            let step = usize::from(cuts.next().unwrap_or(7)).clamp(1, 9);
            let end = (at + step).min(text.len());
            splitter.push(&text[at..end]);
            at = end;
            while let Some(event) = splitter.event() {
                ids.push(event.id);
            }
        }
        ids == [Some(1), Some(2), None] && splitter.has_partial_event()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn splitter_too_long_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 300_000]);
    assert!(splitter.event().is_none());
    assert!(splitter.is_oversized());
}

/// Servers get more retries than the deployment allows if each node uses the whole fixed part of
/// the retry budget for itself while all nodes retry at the same time.
#[test]
fn budget_holds_over_all_nodes() {
    let pool = Name::from("engines");
    let mut total = 0;
    for _ in 0..7 {
        let mut budget = RetryBudget::new(retries(), Some(Millis::ZERO));
        for step in 0..200 {
            let now = RETRIES.window + Millis(step * 50);
            budget.record_request(&pool, now);
            for _ in 0..5 {
                total += u32::from(budget.try_retry(&pool, now, 7));
            }
        }
    }
    let allowed = 0.2 * 7.0 * 200.0 + 54.0;
    assert!(f64::from(total) <= allowed, "{total} of {allowed}");
    assert!(f64::from(total) >= 0.6 * allowed, "{total} of {allowed}");
}

#[test]
fn budget_window_slides() {
    let pool = Name::from("engines");
    let mut budget = RetryBudget::new(retries(), Some(Millis::ZERO));
    let start = RETRIES.window;
    while budget.try_retry(&pool, start + Millis(100), 1) {}
    assert!(!budget.try_retry(&pool, start + Millis(9_000), 1));
    assert!(budget.try_retry(&pool, start + Millis(11_000), 1));
}

/// Nodes that restart again and again within a window, and know only themselves at first, don't
/// use the fixed part of the budget anew with each process.
#[test]
fn budget_holds_over_restarts() {
    const NODES: usize = 9;
    for restarts in [1, 2, 4, 8] {
        let pool = Name::from("engines");
        let mut total = 0;
        for _ in 0..NODES {
            let mut budget = RetryBudget::new(retries(), Some(Millis::ZERO));
            let mut known = NODES;
            for step in 0..200 {
                let now = RETRIES.window + Millis(step * 50);
                let age = step % (200 / (restarts + 1));
                if step > 0 && age == 0 {
                    budget = RetryBudget::new(retries(), Some(now));
                    known = 1;
                } else if age == 10 {
                    known = NODES;
                }
                if step % 4 == 0 {
                    budget.record_request(&pool, now);
                }
                while budget.try_retry(&pool, now, known) {
                    total += 1;
                }
            }
        }
        let allowed = 0.2 * 9.0 * 50.0 + 54.0;
        assert!(
            f64::from(total) <= allowed,
            "{total} of {allowed}, {restarts} restarts"
        );
    }
}

/// A retry that is returned can be taken again, within its own window only.
#[test]
fn budget_retry_returned() {
    let pool = Name::from("engines");
    let mut budget = RetryBudget::new(retries(), Some(Millis::ZERO));
    let start = RETRIES.window;
    while budget.try_retry(&pool, start, 1) {}
    budget.return_retry(&pool, start);
    assert!(budget.try_retry(&pool, start, 1));
    assert!(!budget.try_retry(&pool, start, 1));
    budget.return_retry(&pool, start + Millis(5_000));
    assert!(!budget.try_retry(&pool, start, 1));
}

#[test]
fn least_loaded_prefers_free_then_local() {
    let upstreams = [upstream("i-1", "hall-b"), upstream("i-2", "hall-a")];
    let chosen = selector(&upstreams, &[], 1).least_loaded(|_| true).unwrap();
    assert_eq!(&*chosen.incarnation, "i-2");
    let _busy: Vec<_> = (0..5)
        .map(|_| upstreams[1].start_request(None, None))
        .collect();
    let chosen = selector(&upstreams, &[], 1).least_loaded(|_| true).unwrap();
    assert_eq!(&*chosen.incarnation, "i-1");
}

/// A request must not go to an upstream that may have left while others have room.
#[test]
fn least_loaded_missing_only_if_others_are_busy() {
    let upstreams = [upstream("i-1", "hall-a"), upstream("i-2", "hall-b")];
    upstreams[0].mark_missing();
    let chosen = selector(&upstreams, &[], 1).least_loaded(|_| true).unwrap();
    assert_eq!(&*chosen.incarnation, "i-2");
    let _busy: Vec<_> = (0..7)
        .map(|_| upstreams[1].start_request(None, None))
        .collect();
    let chosen = selector(&upstreams, &[], 1).least_loaded(|_| true).unwrap();
    assert_eq!(&*chosen.incarnation, "i-1");
    upstreams[1].retire();
    assert!(
        selector(&upstreams, &[], 1)
            .least_loaded(|_| true)
            .is_some()
    );
}

/// An adapter must not be loaded at an engine that may have left while others can load it.
#[test]
fn placement_candidates_missing_come_last() {
    let upstreams: Vec<_> = (0..6)
        .map(|number| upstream(&format!("i-{number}"), "hall-a"))
        .collect();
    let order = || selector(&upstreams, &[], 1).placement_candidates("base/a1", |_| true);
    let first = Arc::clone(&order()[0]);
    first.mark_missing();
    let candidates = order();
    assert_eq!(candidates.len(), 6);
    assert_eq!(candidates[5].incarnation, first.incarnation);
}

#[test]
fn least_loaded_tried_only_if_no_other() {
    let upstreams = [upstream("i-1", "hall-a"), upstream("i-2", "hall-b")];
    let tried = [Name::from("i-1")];
    let chosen = selector(&upstreams, &tried, 1)
        .least_loaded(|_| true)
        .unwrap();
    assert_eq!(&*chosen.incarnation, "i-2");
    upstreams[1].retire();
    let chosen = selector(&upstreams, &tried, 1)
        .least_loaded(|_| true)
        .unwrap();
    assert_eq!(&*chosen.incarnation, "i-1");
    upstreams[0].retire();
    assert!(
        selector(&upstreams, &tried, 1)
            .least_loaded(|_| true)
            .is_none()
    );
}

/// One of several idle servers gets all requests if ties go to the first of the list. Requests that
/// arrive one at a time find all servers equally idle.
#[test]
fn least_loaded_spreads_ties() {
    let upstreams = [upstream("i-1", "hall-a"), upstream("i-2", "hall-a")];
    let first = (0..100)
        .filter(|affinity_seed| {
            let chosen = selector(&upstreams, &[], *affinity_seed)
                .least_loaded(|_| true)
                .unwrap();
            &*chosen.incarnation == "i-1"
        })
        .count();
    assert!((25..75).contains(&first), "{first} of 100");
}

#[test]
fn is_suspended_after_failures_for_a_while() {
    let one = upstream("i-1", "hall-a");
    one.record_failure(Millis(1_000));
    assert!(!one.is_suspended(Millis(1_000)));
    one.record_failure(Millis(1_000));
    assert!(one.is_suspended(Millis(1_100)));
    assert!(!one.is_suspended(Millis(1_400)));
}

/// Requests go to an engine that has dropped their adapter if reports of what it holds arrive out
/// of order and the last to arrive is taken for the newest.
#[test]
fn update_held_ignores_older_reports() {
    let one = upstream("i-1", "hall-a");
    one.update_held(&listed("i-1", &[("base/a2", 5)]).held);
    assert_eq!(one.version("base/a2"), Some(5));
    let mut older = listed("i-1", &[]).held;
    older.sequence = 2;
    one.update_held(&older);
    assert_eq!(one.version("base/a2"), Some(5));
}

#[test]
fn uncounted_adapters_until_the_last_request_ends() {
    let one = upstream("i-1", "hall-a");
    let adapter = Name::from("base/a1");
    let first = one.start_request(Some(&adapter), None);
    let second = one.start_request(Some(&adapter), None);
    drop(first);
    assert_eq!(one.uncounted_adapters(), [Name::clone(&adapter)]);
    drop(second);
    assert!(one.uncounted_adapters().is_empty());
    assert_eq!(one.running(), 0);
}

/// With a fixed interval, the exchanges of a node grow with the number of nodes until they alone
/// exceed what control traffic may take of a node.
#[test]
fn exchange_interval_bounds_exchanges_per_node() {
    assert_eq!(exchange_interval(7), Millis(500));
    for nodes in [79, 320] {
        let per_second = nodes as u64 * 1000 / exchange_interval(nodes).0;
        assert!(per_second <= 84, "{per_second} at {nodes}");
        assert!(in_use_grace(nodes) > exchange_interval(nodes));
    }
}

#[test]
fn poll_interval_leaves_time_for_the_poll() {
    let limits = Limits::default();
    assert_eq!(limits.poll_interval(), Millis(800));
}

/// Requests are rejected for adapters that an engine no longer holds if a report of its former
/// start is taken for newer. The engine takes five orders, ends, and starts again under the same
/// name, where its order count begins again.
#[test]
fn update_held_ignores_a_former_start() {
    let engine = upstream("i-1", "hall-a");
    let held = |started_at_ms: u64, sequence: u64, adapter: &str| LoadedModels {
        started_at_ms,
        sequence,
        models: vec!["base".into()],
        adapters: vec![(adapter.into(), 1)],
        incoming: Vec::new(),
    };
    engine.update_held(&held(1_000, 5, "base/a5"));
    engine.update_held(&held(2_000, 1, "base/a7"));
    assert_eq!(engine.version("base/a5"), None);
    assert_eq!(engine.version("base/a7"), Some(1));
    engine.update_held(&held(1_000, 6, "base/a5"));
    assert_eq!(engine.version("base/a7"), Some(1));
}

/// Streams keep starting at an engine where every event is late if engines are selected by request
/// counts alone: a slow engine has the same counts as the others.
#[test]
fn least_loaded_avoids_long_pauses() {
    let upstreams = [upstream("i-1", "hall-a"), upstream("i-2", "hall-a")];
    let now = Millis(1_000);
    for _ in 0..30 {
        upstreams[0].record_pause(Millis(180), now);
        upstreams[1].record_pause(Millis(40), now);
    }
    let count_first = |at: Millis, max_event_gap: Option<Millis>| {
        let chosen = |affinity_seed: &u64| {
            let selector = Selector {
                now: at,
                max_event_gap,
                ..selector(&upstreams, &[], *affinity_seed)
            };
            &*selector.least_loaded(|_| true).unwrap().incarnation == "i-1"
        };
        (0..100).filter(chosen).count()
    };
    let max_gap = Some(Millis(250));
    assert_eq!(count_first(now, max_gap), 0);
    // Answers that are not streamed have no pauses, and old observations no longer count.
    assert!((25..75).contains(&count_first(now, None)));
    assert!((25..75).contains(&count_first(Millis(30_000), max_gap)));
}

/// A node that starts with thousands of engines answers 503 for many seconds if each entry of the
/// listing groups and sorts all engines, which makes quadratic work. Groups are made once for a
/// whole listing, however long it is.
#[test]
fn pool_grouped_once_after_a_listing() {
    let view = View::default();
    for number in 0..500_u16 {
        let mut entry = listed(&format!("i-{number}"), &[]);
        entry.address = ([127, 0, 0, 1], 1_000 + number).into();
        view.state()
            .put_upstream(&entry, entry_revision(1), Millis::ZERO);
    }
    let first = view.pool("engines");
    assert_eq!(first.len(), 500);
    assert!(Arc::ptr_eq(&first, &view.pool("engines")));
    // A heartbeat of a known engine changes no group; an engine that leaves does.
    let mut entry = listed("i-7", &[("base/a1", 1)]);
    entry.address = ([127, 0, 0, 1], 1_007).into();
    view.state()
        .put_upstream(&entry, entry_revision(1), Millis::ZERO);
    assert!(Arc::ptr_eq(&first, &view.pool("engines")));
    view.state().remove_upstream("i-7");
    assert_eq!(view.pool("engines").len(), 499);
}

#[test]
fn placement_candidates_are_the_first_that_fit() {
    let upstreams: Vec<Arc<Upstream>> = (0..300_u16)
        .map(|number| {
            let mut entry = listed(&format!("i-{number}"), &[]);
            entry.address = ([127, 0, 0, 1], 1_000 + number).into();
            Arc::new(Upstream::new(&entry, entry_revision(1), 8, Millis::ZERO))
        })
        .collect();
    let all = selector(&upstreams, &[], 0).placement_candidates("base/a1", |_| true);
    assert_eq!(all.len(), MAX_PLACEMENT_CANDIDATES);
    let first = Arc::clone(&all[0]);
    let others = selector(&upstreams, &[], 0)
        .placement_candidates("base/a1", |one| one.address != first.address);
    assert_eq!(others.len(), MAX_PLACEMENT_CANDIDATES);
    let addresses =
        |candidates: &[Arc<Upstream>]| candidates.iter().map(|one| one.address).collect::<Vec<_>>();
    assert_eq!(
        addresses(&all[1..]),
        addresses(&others[..MAX_PLACEMENT_CANDIDATES - 1])
    );
}
