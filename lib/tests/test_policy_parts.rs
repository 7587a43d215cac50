//! Tests of placement, demand, the fair queue, slots, the state machine and the load queue.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::Code;
use chivevalve::loads::PermitRequest;
use chivevalve::policy::demand::DemandForecast;
use chivevalve::policy::loads;
use chivevalve::policy::placement::{self, MAX_CANDIDATES, Pool, Router};
use chivevalve::policy::queue::{QueuedRequest, RequestQueue};
use chivevalve::policy::replicas;
use chivevalve::policy::slots::SlotTable;
use chivevalve::policy::upstream::{Action, Limits, Machine};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::Share;
use quickcheck::{Arbitrary, Gen};

const ADAPTERS: u32 = 19_000;

fn adapter(number: u32) -> Adapter {
    Adapter {
        base_model: Arc::from("base"),
        name: Arc::from(format!("a{number}")),
        version: Arc::from("1"),
    }
}

fn ticket(id: u32, account: &str, class: Class, adapter: Option<Adapter>) -> Ticket {
    Ticket {
        id: Id(Arc::from(format!("r{id}"))),
        account: Arc::from(account),
        template: Arc::from("t"),
        pool: Arc::from("p"),
        adapter,
        class,
        weight: 1,
        idempotent: true,
        deadline: Millis(600_000),
        prompt_tokens: 0,
        max_output_tokens: 100,
        revision: 1,
    }
}

fn share(weight: u32) -> Share {
    Share {
        weight,
        max_in_flight: 0,
        max_queued: 0,
    }
}

fn pool(upstreams: usize, without: Option<usize>) -> Pool {
    let names: Vec<String> = (0..upstreams).map(|n| format!("engine-{n}")).collect();
    let domains: Vec<String> = (0..upstreams)
        .map(|n| format!("domain-{}", n % 5))
        .collect();
    Pool::from_entries(
        (0..upstreams).map(|n| (names[n].as_str(), domains[n].as_str(), Some(n) != without)),
    )
}

fn router() -> Router {
    Router::new(placement::Limits::default(), 7)
}

fn homes(pool: &Pool) -> Vec<usize> {
    let mut router = router();
    (0..ADAPTERS)
        .map(|number| router.candidates(pool, Some(&adapter(number)), Millis::ZERO)[0])
        .collect()
}

fn starts(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Start { id, .. } => Some(&*id.0),
            _ => None,
        })
        .collect()
}

#[test]
fn rendezvous_leaving_upstream_moves_only_its_share() {
    let before = homes(&pool(600, None));
    let after = homes(&pool(600, Some(17)));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let held = before.iter().filter(|home| **home == 17).count();
    assert_eq!(moved, held, "only its own adapters move");
    let fair = ADAPTERS as usize / 600;
    assert!(held < fair * 2, "{held} of a fair share of {fair}");
}

#[test]
fn rendezvous_is_stable_over_order_of_list() {
    let names = ["a", "b", "c", "d", "e"];
    let forward = Pool::from_entries(names.iter().map(|name| (*name, "x", true)));
    let backward = Pool::from_entries(names.iter().rev().map(|name| (*name, "x", true)));
    for key in 0..100 {
        let there = forward.rendezvous(key, 3);
        let back = backward.rendezvous(key, 3);
        let in_words = |order: &placement::CandidateOrder, reverse: bool| -> Vec<&str> {
            let place = |index: &usize| if reverse { 4 - index } else { *index };
            order.iter().map(|index| names[place(index)]).collect()
        };
        assert_eq!(in_words(&there, false), in_words(&back, true));
    }
}

/// The first replicas of an adapter are in different failure domains, so that the loss of
/// one domain doesn't take them all.
#[test]
fn rendezvous_replicas_spread_over_domains() {
    let pool = pool(60, None);
    for key in 0..1_000 {
        let order = pool.rendezvous(key, 3);
        let domains: BTreeSet<usize> = order.iter().map(|index| index % 5).collect();
        assert_eq!(domains.len(), 3);
    }
}

/// An upstream that refused is avoided for a limited time.
#[test]
fn order_hint_expires() {
    let (pool, mut router, wanted) = (pool(12, None), router(), adapter(1));
    let order = router.candidates(&pool, Some(&wanted), Millis::ZERO);
    let home = order[0];
    assert_eq!(order.last(), Some(&home), "the request waits at its home");
    router.record_refusal(&pool, home, Some(&wanted), Code::PassedOn, Millis::ZERO);
    let hinted = router.candidates(&pool, Some(&wanted), Millis(1));
    assert_ne!(hinted[0], home);
    assert_eq!(hinted.last(), Some(&home));
    let other = router.candidates(&pool, Some(&adapter(1)), Millis(60_000));
    assert_eq!(other[0], home);
    router.record_refusal(&pool, home, None, Code::ConnectFailed, Millis(60_000));
    let broken = router.candidates(&pool, Some(&wanted), Millis(60_001));
    assert!(!broken.contains(&home));
}

#[test]
fn order_never_empty_while_one_is_usable() {
    let (pool, mut router, wanted) = (pool(3, Some(1)), router(), adapter(5));
    for index in 0..3 {
        router.record_refusal(
            &pool,
            index,
            Some(&wanted),
            Code::ConnectFailed,
            Millis::ZERO,
        );
        router.record_refusal(&pool, index, Some(&wanted), Code::PassedOn, Millis::ZERO);
    }
    let order = router.candidates(&pool, Some(&wanted), Millis(1));
    assert!(!order.is_empty() && order.len() <= MAX_CANDIDATES);
    assert!(!order.contains(&1), "an unusable upstream is never tried");
}

#[test]
fn router_memory_is_bounded() {
    let most = placement::Limits::default().max_hints;
    let (pool, mut router) = (pool(12, None), router());
    for number in 0..ADAPTERS {
        let wanted = adapter(number);
        router.record_refusal(&pool, 0, Some(&wanted), Code::PassedOn, Millis::ZERO);
    }
    assert!(router.len() <= most, "hints alone");
    for number in 0..ADAPTERS {
        let wanted = adapter(number);
        router.record_refusal(&pool, 0, Some(&wanted), Code::Busy, Millis::ZERO);
    }
    // A busy response creates a hint and a replica count; each table has its own bound.
    assert!(router.len() <= 2 * most, "hints and replica counts");
}

/// Tries upstreams for one request, up to ten, until one isn't in `busy`.
fn try_upstreams(
    router: &mut Router,
    pool: &Pool,
    wanted: &Adapter,
    busy: &BTreeSet<usize>,
) -> Vec<usize> {
    let mut tried = Vec::new();
    for _ in 0..10 {
        let order = router.candidates(pool, Some(wanted), Millis(1));
        let next = order.iter().find(|index| !tried.contains(*index));
        let Some(index) = next.copied() else { break };
        tried.push(index);
        if !busy.contains(&index) {
            break;
        }
        router.record_refusal(pool, index, Some(wanted), Code::Busy, Millis(1));
    }
    tried
}

/// Guards against a popular adapter whose first 15 upstreams are all busy using up its
/// tries before it reaches one with room.
#[test]
fn order_busy_adapter_finds_wide_spread_within_its_tries() {
    let pool = pool(200, None);
    for number in 0..50 {
        let wanted = adapter(number);
        let busy = pool.rendezvous(wanted.hash(), 15).into_iter().collect();
        let mut router = router();
        let tried = try_upstreams(&mut router, &pool, &wanted, &busy);
        assert!(!busy.contains(tried.last().unwrap()), "{tried:?}");
    }
}

/// Requests for an adapter with many replicas start evenly at all of them, not only at the
/// first.
#[test]
fn order_spread_adapter_begins_evenly() {
    let (pool, mut router, wanted) = (pool(200, None), router(), adapter(1));
    let home = pool.rendezvous(wanted.hash(), 1)[0];
    for _ in 0..5 {
        router.record_refusal(&pool, home, Some(&wanted), Code::Busy, Millis::ZERO);
    }
    let mut begun: BTreeMap<usize, u32> = BTreeMap::new();
    for _ in 0..3_200 {
        let order = router.candidates(&pool, Some(&wanted), Millis(1_000));
        *begun.entry(order[0]).or_default() += 1;
        assert_eq!(
            order.last(),
            Some(&home),
            "no upstream is known to have it, so it waits at home"
        );
    }
    assert_eq!(begun.len(), 32);
    assert!(
        begun.values().all(|count| (50..200).contains(count)),
        "{begun:?}"
    );
}

/// An adapter that is no longer busy loses its replicas again.
#[test]
fn order_spread_decays_to_the_home() {
    let (pool, mut router, wanted) = (pool(200, None), router(), adapter(1));
    let before = router.candidates(&pool, Some(&wanted), Millis::ZERO);
    for _ in 0..20 {
        router.record_refusal(&pool, 3, Some(&wanted), Code::Busy, Millis::ZERO);
    }
    let after = router.candidates(&pool, Some(&wanted), Millis::from_secs(60));
    assert_eq!(before, after);
}

/// Requests for a cold adapter that is passed on aren't spread: all nodes try the same
/// upstreams in the same order.
#[test]
fn order_cold_adapter_is_the_same_at_every_node() {
    let (pool, wanted) = (pool(200, None), adapter(1));
    let tried_by = |seed| {
        let mut router = Router::new(placement::Limits::default(), seed);
        let mut tried = Vec::new();
        for _ in 0..9 {
            let index = router.candidates(&pool, Some(&wanted), Millis(1))[0];
            tried.push(index);
            router.record_refusal(&pool, index, Some(&wanted), Code::PassedOn, Millis(1));
        }
        tried
    };
    assert_eq!(tried_by(1), tried_by(2));
}

#[test]
fn replicas_double_and_halve_within_bounds() {
    let mut table = replicas::ReplicaTable::new(20, Millis(1_000), 2);
    let counts: Vec<u32> = (0..6)
        .map(|_| {
            table.grow(1, 600, Millis::ZERO);
            table.replicas(1, Millis::ZERO)
        })
        .collect();
    assert_eq!(counts, [2, 4, 8, 16, 20, 20]);
    let faded = [999, 1_000, 2_000, 5_000, u64::MAX];
    let faded = faded.map(|now| table.replicas(1, Millis(now)));
    assert_eq!(faded, [20, 10, 5, 1, 1]);
    table.grow(2, 3, Millis::ZERO);
    table.grow(2, 3, Millis::ZERO);
    assert_eq!(table.replicas(2, Millis::ZERO), 3, "no more than the pool");
    table.grow(3, 600, Millis::ZERO);
    assert_eq!((table.replicas(3, Millis::ZERO), table.len()), (1, 2));
    table.grow(3, 600, Millis(9_000));
    assert_eq!((table.replicas(3, Millis(9_000)), table.len()), (2, 1));
}

#[test]
fn forecast_memory_is_bounded_and_keeps_popular() {
    let mut forecast = DemandForecast::new(100);
    for number in 0..ADAPTERS {
        let now = Millis(u64::from(number) * 10);
        forecast.record(&adapter(number), Class::Normal, now);
        forecast.record(&adapter(0), Class::Normal, now);
    }
    assert!(forecast.len() <= 100);
    let now = Millis(u64::from(ADAPTERS) * 10);
    assert!(forecast.rate(&adapter(0), now) > forecast.rate(&adapter(ADAPTERS - 1), now));
}

/// A scan over many adapters, each requested once, doesn't displace one in steady use.
#[test]
fn forecast_scan_ranks_below_steady_use() {
    let mut forecast = DemandForecast::new(1_000);
    for round in 0..10 {
        forecast.record(&adapter(0), Class::Normal, Millis(round * 30_000));
    }
    for number in 1..100 {
        let now = Millis(290_000 + u64::from(number) * 10);
        forecast.record(&adapter(number), Class::Normal, now);
        assert!(forecast.rate(&adapter(0), now) > forecast.rate(&adapter(number), now));
    }
}

/// An adapter that is no longer requested ranks below one that is popular now.
#[test]
fn forecast_idle_adapter_loses_rank() {
    let mut forecast = DemandForecast::new(1_000);
    for second in 0..3_600 {
        forecast.record(&adapter(0), Class::Normal, Millis(second * 1_000));
    }
    for second in 3_600..3_660 {
        forecast.record(&adapter(1), Class::Normal, Millis(second * 1_000));
    }
    let now = Millis(3_660_000);
    assert!(forecast.rate(&adapter(1), now) > forecast.rate(&adapter(0), now));
}

/// A burst from one client account doesn't delay another account's request.
#[test]
fn queue_burst_delays_only_its_own_account() {
    let mut queue = RequestQueue::new();
    for id in 0..100 {
        let ticket = ticket(id, "burst", Class::Normal, None);
        queue.push(QueuedRequest::new(ticket, share(1), Millis::ZERO), true);
    }
    for _ in 0..10 {
        queue.pop(Class::Normal, |_, _| true);
    }
    let late = ticket(999, "other", Class::Normal, None);
    queue.push(QueuedRequest::new(late, share(1), Millis(5)), true);
    let next = queue.pop(Class::Normal, |_, _| true).unwrap();
    assert_eq!(&*next.ticket.account, "other");
}

#[test]
fn queue_accounts_share_by_weight() {
    for seed in 0..50 {
        let mut g = Gen::from_size_and_seed(100, seed);
        let weights: Vec<u32> = (0..3)
            .map(|_| 1 + u32::from(u8::arbitrary(&mut g) % 4))
            .collect();
        let mut queue = RequestQueue::new();
        for id in 0..900 {
            let place = id as usize % 3;
            let ticket = ticket(id, &format!("account{place}"), Class::Bulk, None);
            queue.push(
                QueuedRequest::new(ticket, share(weights[place]), Millis::ZERO),
                true,
            );
        }
        let mut served: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..200 {
            let entry = queue.pop(Class::Bulk, |_, _| true).unwrap();
            *served.entry(entry.ticket.account.to_string()).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        for (place, weight) in weights.iter().enumerate() {
            let fair = 200 * weight / total;
            let got = served[&format!("account{place}")];
            assert!(got.abs_diff(fair) <= 2, "seed {seed}: {got} for {fair}");
        }
    }
}

/// A full queue sheds its newest bulk request in favor of an arriving urgent one.
#[test]
fn machine_bulk_is_shed_first() {
    let limits = Limits {
        slots: None,
        max_batch: 1,
        max_queued: 4,
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    for id in 0..5 {
        let class = if id == 3 { Class::Normal } else { Class::Bulk };
        let _ = machine.arrive(ticket(id, "a", class, None), share(1), true, Millis(1));
    }
    let urgent = ticket(9, "b", Class::Urgent, None);
    let actions = machine.arrive(urgent, share(1), true, Millis(2));
    let Some(Action::Refuse { id, failure }) = actions.first() else {
        panic!("expected a shed request: {actions:?}");
    };
    assert_eq!(failure.code, Code::Brownout);
    assert_eq!(&*id.0, "r4", "the newest of bulk");
    assert_eq!(machine.status().waiting, [1, 1, 2]);
}

/// A bulk request isn't starved by a steady stream of urgent ones.
#[test]
fn machine_bulk_is_not_starved() {
    let limits = Limits {
        slots: None,
        max_batch: 1,
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    let mut running = Id(Arc::from("r0"));
    let _ = machine.arrive(
        ticket(0, "a", Class::Urgent, None),
        share(1),
        true,
        Millis(0),
    );
    let _ = machine.arrive(ticket(1, "a", Class::Bulk, None), share(1), true, Millis(0));
    for id in 2..40 {
        let now = Millis(u64::from(id));
        let _ = machine.arrive(ticket(id, "a", Class::Urgent, None), share(1), true, now);
        let actions = machine.finished(&running, now);
        let started = starts(&actions);
        if started == ["r1"] {
            return;
        }
        running = Id(Arc::from(started[0]));
    }
    panic!("bulk didn't run among 38 urgent requests");
}

/// A request whose deadline is shorter than a load is refused immediately and causes no
/// load.
#[test]
fn machine_short_deadline_refused_at_once() {
    let mut machine = Machine::new(Limits::default());
    let mut short = ticket(1, "a", Class::Normal, Some(adapter(1)));
    short.deadline = Millis(1_100);
    let actions = machine.arrive(short, share(1), true, Millis(1_000));
    let [Action::Refuse { failure, .. }] = actions.as_slice() else {
        panic!("expected a refusal: {actions:?}");
    };
    assert_eq!(failure.code, Code::DeadlineTooShort);
    assert!(failure.retry_after.is_some());
}

/// A permit for a load that no request waits for any more is returned.
#[test]
fn machine_unwanted_permit_is_returned() {
    let mut machine = Machine::new(Limits::default());
    let wanted = adapter(1);
    let waiting = ticket(1, "a", Class::Normal, Some(wanted.clone()));
    let id = waiting.id.clone();
    let _ = machine.arrive(waiting, share(1), true, Millis::ZERO);
    let actions = machine.cancelled(&id, Millis(1));
    let back = Action::CancelPermit {
        adapter: wanted.clone(),
    };
    assert_eq!(actions, std::slice::from_ref(&back));
    assert_eq!(machine.granted(&wanted, Millis(2)), [back]);
}

/// An attempt that arrives twice is queued or run only once.
#[test]
fn machine_same_id_is_taken_once() {
    let limits = Limits {
        slots: None,
        max_batch: 1,
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    for (id, started) in [(1, 1), (1, 0), (2, 0), (2, 0)] {
        let ticket = ticket(id, "a", Class::Normal, None);
        let actions = machine.arrive(ticket, share(1), true, Millis(1));
        assert_eq!(actions.len(), started);
    }
    let status = machine.status();
    assert_eq!((status.running, status.waiting), (1, [0, 1, 0]));
}

#[test]
fn machine_waiters_share_one_load() {
    let mut machine = Machine::new(Limits::default());
    let wanted = adapter(1);
    let mut requests = 0;
    for id in 0..3 {
        let ticket = ticket(id, "a", Class::Normal, Some(wanted.clone()));
        let actions = machine.arrive(ticket, share(1), true, Millis(u64::from(id)));
        requests += actions.len();
    }
    assert!(requests <= 3, "updated requests, not more loads");
    assert_eq!(machine.granted(&wanted, Millis(5)).len(), 1);
    let actions = machine.loaded(&wanted, true, Millis(300));
    assert_eq!(starts(&actions).len(), 3);
}

/// A slot whose adapter is never idle is drained for a request that waits for another
/// adapter.
#[test]
fn machine_busy_slot_drains_for_waiting_request() {
    let limits = Limits {
        slots: Some(1),
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    let (busy, other) = (adapter(1), adapter(2));
    let first = ticket(0, "a", Class::Normal, Some(busy.clone()));
    let _ = machine.arrive(first, share(1), true, Millis::ZERO);
    let _ = machine.granted(&busy, Millis::ZERO);
    let _ = machine.loaded(&busy, true, Millis::ZERO);
    let waiting = ticket(1, "a", Class::Normal, Some(other.clone()));
    let _ = machine.arrive(waiting, share(1), true, Millis(1));
    // Each request for the busy adapter overlaps the next one.
    for id in 2..20 {
        let now = Millis(u64::from(id) * 500);
        let next = ticket(id, "a", Class::Normal, Some(busy.clone()));
        let mut actions = machine.arrive(next, share(1), true, now);
        let ended = if id == 2 { 0 } else { id - 1 };
        let ended = Id(Arc::from(format!("r{ended}")));
        actions.extend(machine.finished(&ended, now + Millis(100)));
        let requests = |action: &Action| matches!(action, Action::RequestPermit { adapter, .. } if *adapter == other);
        if actions.iter().any(requests) {
            return;
        }
    }
    panic!("the slot was never drained");
}

/// A failed load is retried only after a backoff, and its waiting requests aren't kept
/// forever.
#[test]
fn machine_failed_load_backs_off() {
    let mut machine = Machine::new(Limits::default());
    let wanted = adapter(1);
    let waiting = ticket(1, "a", Class::Normal, Some(wanted.clone()));
    let _ = machine.arrive(waiting, share(1), true, Millis::ZERO);
    let _ = machine.granted(&wanted, Millis(1));
    assert!(machine.loaded(&wanted, false, Millis(100)).is_empty());
    let again = machine.next_wakeup().unwrap();
    assert!(again > Millis(100) && again < Millis(60_000));
    assert!(matches!(
        machine.tick(again).as_slice(),
        [Action::RequestPermit { .. }]
    ));
    let _ = machine.granted(&wanted, again);
    let actions = machine.loaded(&wanted, false, again + Millis(100));
    let [Action::Refuse { failure, .. }] = actions.as_slice() else {
        panic!("expected a refusal after two failed loads: {actions:?}");
    };
    assert_eq!(failure.code, Code::LoadFailed);
}

/// A pin from before a restart doesn't release the adapter after it was loaded again and is
/// in use.
#[test]
fn slots_old_pin_keeps_new_generation() {
    let mut table = SlotTable::new(1);
    let (used, other) = (adapter(1), adapter(2));
    assert!(table.begin_load(&used, None, Millis::ZERO) && table.end_load(&used, true, Millis(1)));
    let old = table.pin(&used).unwrap();
    table.clear();
    assert!(table.begin_load(&used, None, Millis(2)) && table.end_load(&used, true, Millis(3)));
    let _new = table.pin(&used).unwrap();
    table.unpin(&used, old);
    assert!(
        !table.begin_load(&other, Some(&used), Millis(4)),
        "the adapter is in use"
    );
}

/// A report that predates an eviction or a load doesn't revert it.
#[test]
fn slots_stale_report_reverts_nothing() {
    let mut table = SlotTable::new(2);
    let (first, second) = (adapter(1), adapter(2));
    table.begin_load(&first, None, Millis(1));
    table.end_load(&first, true, Millis(2));
    assert!(table.begin_load(&second, Some(&first), Millis(10)));
    let (gone, found) = table.reconcile(std::slice::from_ref(&first), Millis(5), Millis(11));
    assert!(gone.is_empty() && found.is_empty());
    table.end_load(&second, true, Millis(12));
    table.reconcile(&[], Millis(11), Millis(13));
    assert!(table.is_resident(&second), "loaded after the report");
}

fn permit_request(class: Option<Class>, waiters: u32, stall_savings: u64) -> PermitRequest {
    PermitRequest {
        upstream: Arc::from("e"),
        adapter: adapter(1),
        class,
        waiters,
        weight: waiters,
        waited: Millis::ZERO,
        stall_savings: Millis(stall_savings),
    }
}

#[test]
fn loads_order_by_urgency_then_waiters_then_prefetch() {
    let mut queue = loads::LoadQueue::new(loads::Limits::default());
    let now = Millis::ZERO;
    queue.enqueue((0, 1), permit_request(None, 0, 1_000_000), now);
    queue.enqueue((0, 2), permit_request(Some(Class::Normal), 1, 60_000), now);
    queue.enqueue((0, 3), permit_request(Some(Class::Normal), 5, 300_000), now);
    queue.enqueue((0, 4), permit_request(Some(Class::Urgent), 1, 20_000), now);
    let mut order = Vec::new();
    while let Some((key, _)) = queue.next(now) {
        assert!(queue.next(now).is_none(), "one at a time");
        queue.done(key);
        order.push(key.1);
    }
    // The first grant is a fair turn; all classes are equal at that point, so the urgent
    // one goes first.
    assert_eq!(order, [4, 3, 2, 1]);
}

/// A bulk load gets a fair turn despite a steady stream of urgent loads.
#[test]
fn loads_each_class_gets_a_fair_turn() {
    let mut queue = loads::LoadQueue::new(loads::Limits::default());
    queue.enqueue(
        (0, 0),
        permit_request(Some(Class::Bulk), 1, 600_000),
        Millis::ZERO,
    );
    for number in 1..40 {
        let now = Millis(number * 300);
        queue.enqueue(
            (1, number),
            permit_request(Some(Class::Urgent), 1, 20_000),
            now,
        );
        let (key, _) = queue.next(now).unwrap();
        queue.done(key);
        if key == (0, 0) {
            return;
        }
    }
    panic!("bulk wasn't served in 39 grants");
}

/// A permit whose holder never reports the outcome times out, so that others can load.
#[test]
fn loads_lost_permit_times_out() {
    let mut queue = loads::LoadQueue::new(loads::Limits::default());
    queue.enqueue(
        (0, 1),
        permit_request(Some(Class::Normal), 1, 1),
        Millis::ZERO,
    );
    queue.enqueue(
        (0, 2),
        permit_request(Some(Class::Normal), 1, 1),
        Millis::ZERO,
    );
    assert!(queue.next(Millis::ZERO).is_some());
    let until = queue.next_wakeup().unwrap();
    assert!(queue.next(until).is_some());
    assert_eq!(queue.lost(), 1);
}

/// Under congestion, the load that saves the most stall time goes first, not the oldest.
#[test]
fn loads_congested_serves_largest_savings() {
    let limits = loads::Limits {
        congestion_threshold: Millis::ZERO,
        fair_turn_interval: 0,
        ..loads::Limits::default()
    };
    let mut queue = loads::LoadQueue::new(limits);
    for number in 0..10 {
        queue.enqueue(
            (0, number),
            permit_request(Some(Class::Normal), 1, 120_000),
            Millis::ZERO,
        );
    }
    for number in 0..2 {
        let (key, _) = queue.next(Millis(number * 300)).unwrap();
        queue.done(key);
    }
    let now = Millis(50_000);
    queue.enqueue((1, 0), permit_request(Some(Class::Normal), 1, 120_000), now);
    assert_eq!(queue.next(now).unwrap().0, (1, 0));
}

/// If the batch is too full to meet a request's deadline, the upstream responds that it is
/// busy, so that another one is tried.
#[test]
fn arrive_full_batch_past_deadline_is_busy() {
    let wanted = adapter(1);
    let mut machine = Machine::new(Limits {
        max_batch: 8,
        ..Limits::default()
    });
    let arrive = |machine: &mut Machine, id, deadline, last, now| {
        let mut ticket = ticket(id, "a", Class::Urgent, Some(wanted.clone()));
        ticket.deadline = deadline;
        machine.arrive(ticket, share(1), last, now)
    };
    let _ = arrive(&mut machine, 0, Millis(600_000), true, Millis::ZERO);
    let _ = machine.granted(&wanted, Millis::ZERO);
    let _ = machine.loaded(&wanted, true, Millis::ZERO);
    // The response of 100 tokens took 10 s, which sets the estimated service time.
    let _ = machine.finished(&Id(Arc::from("r0")), Millis(10_000));
    let (now, soon) = (Millis(10_000), Millis(19_000));
    for id in 1..=2 {
        let actions = arrive(&mut machine, id, soon, false, now);
        assert_eq!(starts(&actions).len(), 1, "a small batch is as fast as any");
    }
    let _ = arrive(&mut machine, 3, Millis(600_000), false, now);
    let refused = arrive(&mut machine, 4, soon, false, now);
    let codes: Vec<Code> = refused
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { failure, .. } => Some(failure.code),
            _ => None,
        })
        .collect();
    assert_eq!(codes, [Code::Busy]);
    let last = arrive(&mut machine, 5, soon, true, now);
    assert_eq!(starts(&last).len(), 1, "no other upstream will take it");
}
