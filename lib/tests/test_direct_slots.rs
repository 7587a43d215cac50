//! Tracking an engine's slots from evidence that arrives in any order.

mod slots_model;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels, OrderOutcome};
use chivevalve::direct::orders::slots::{LoadProbe, MAX_LOAD_TIME, MAX_STATUS_AGE, Slots};
use chivevalve::direct::orders::unanswered::{LATE_ORDER_WINDOW, UnansweredLoads};
use chivevalve::direct::orders::{LoadCommand, LoadOutcome};
use quickcheck::{Gen, QuickCheck};
use slots_model::World;
use tokio::sync::oneshot::{self, Receiver};

const NOW: Millis = Millis(10_000);

fn status(sequence: u64, adapters: &[(&str, u64)], incoming: &[(&str, u64)]) -> EngineStatus {
    let named = |all: &[(&str, u64)]| all.iter().map(|(name, v)| ((*name).into(), *v)).collect();
    let held = LoadedModels {
        sequence,
        adapters: named(adapters),
        incoming: named(incoming),
        ..LoadedModels::default()
    };
    EngineStatus {
        held,
        ..EngineStatus::default()
    }
}

fn load_command(version: u64) -> (LoadCommand, Receiver<LoadOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let adapter = "base/a1".into();
    let load = LoadCommand {
        adapter,
        version,
        reply,
    };
    (load, outcome)
}

/// Returns the slots of an empty engine that has accepted the order of a load.
fn loading(version: u64) -> (Slots, Receiver<LoadOutcome>) {
    let mut slots = Slots::new(&status(0, &[], &[]), NOW);
    let (load, outcome) = load_command(version);
    let load = slots.serve_or_enqueue(load, NOW).unwrap();
    slots.record_accepted_order(NOW);
    slots.record_load_started(load, NOW);
    (slots, outcome)
}

fn due_probe(slots: &mut Slots, now: Millis) -> LoadProbe {
    let probes = slots.due_probes(now);
    assert_eq!(probes.len(), 1);
    probes[0].clone()
}

/// A status from before the order neither fails the load nor resets the count of orders.
#[test]
fn apply_status_older_than_the_order() {
    let (mut slots, mut outcome) = loading(2);
    assert!(!slots.apply_status(&status(0, &[], &[]), NOW + Millis(300)));
    assert!(outcome.try_recv().is_err());
    let probe = due_probe(&mut slots, NOW + Millis(300));
    assert_eq!(probe.sequence, 1);
    assert!(slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(310)));
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// A wrong count is corrected by a status that was requested long enough after the last order.
#[test]
fn apply_status_lower_count_long_after_the_order() {
    let (mut slots, _outcome) = loading(2);
    assert!(slots.apply_status(&status(0, &[], &[]), NOW + MAX_STATUS_AGE));
    assert_eq!(slots.sequence(), 0);
}

/// A status that still lists a complete load as in progress doesn't undo the result of a probe.
#[test]
fn apply_status_of_the_same_count_before_the_completion() {
    let (mut slots, _outcome) = loading(2);
    let probe = due_probe(&mut slots, NOW + Millis(300));
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(310));
    slots.apply_status(&status(1, &[], &[("base/a1", 2)]), NOW + Millis(320));
    assert_eq!(slots.held().adapters, [("base/a1".into(), 2)]);
    assert_eq!(slots.next_probe(NOW + Millis(320)), None);
}

/// An adapter is removed once a status that counts another owner's order doesn't list it.
#[test]
fn apply_status_of_a_newer_count_without_the_adapter() {
    let mut slots = Slots::new(&status(3, &[("base/a1", 1)], &[]), NOW);
    slots.apply_status(&status(4, &[], &[]), NOW + Millis(10));
    assert_eq!(slots.held().adapters, []);
}

/// Another owner's load of a newer version is probed, however long the older one was present.
#[test]
fn apply_status_of_a_newer_count_with_a_load() {
    let mut slots = Slots::new(&status(3, &[("base/a1", 1)], &[]), NOW);
    let late = NOW + MAX_LOAD_TIME + MAX_LOAD_TIME;
    slots.apply_status(&status(4, &[("base/a1", 1)], &[("base/a1", 2)]), late);
    assert_eq!(slots.count_on_time_loads(late), 1);
    assert_eq!(due_probe(&mut slots, late).version, 2);
}

/// Waiters of a load are also served by a later load of a newer version.
#[test]
fn record_load_started_newer_version_keeps_waiters() {
    let (mut slots, mut earlier) = loading(2);
    let (load, mut later) = load_command(3);
    let load = slots.serve_or_enqueue(load, NOW).unwrap();
    let probe = due_probe(&mut slots, NOW + Millis(45));
    slots.record_accepted_order(NOW);
    slots.record_load_started(load, NOW);
    // A probe of the older version says nothing of the newer one.
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(50));
    assert!(later.try_recv().is_err());
    let probe = due_probe(&mut slots, NOW + Millis(300));
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(310));
    assert_eq!(earlier.try_recv(), Ok(LoadOutcome::Ready(3)));
    assert_eq!(later.try_recv(), Ok(LoadOutcome::Ready(3)));
}

/// An overdue load fails for the callers that waited, and still serves later ones.
#[test]
fn expire_waiters_of_an_overdue_load() {
    let (mut slots, mut early) = loading(2);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    slots.expire_waiters(late);
    assert_eq!(early.try_recv(), Ok(LoadOutcome::Failed));
    assert!(slots.needs_status(late));
    assert!(slots.apply_status(&status(1, &[], &[("base/a1", 2)]), late));
    assert_eq!(slots.next_probe(late), None);
    let (load, mut later) = load_command(2);
    assert!(slots.serve_or_enqueue(load, late).is_none());
    let probe = due_probe(&mut slots, late);
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), late);
    assert_eq!(later.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// Overdue loads don't block other loads of the engine.
#[test]
fn count_on_time_loads_without_overdue() {
    let (slots, _outcome) = loading(2);
    assert_eq!(slots.count_on_time_loads(NOW), 1);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    assert_eq!(
        (slots.count_on_time_loads(late), slots.count_loads()),
        (0, 1)
    );
}

/// An overdue load without waiters frees its slot once a status no longer lists it.
#[test]
fn apply_status_ends_an_overdue_load() {
    let (mut slots, _outcome) = loading(2);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    slots.expire_waiters(late);
    slots.apply_status(&status(1, &[], &[]), late);
    assert_eq!(slots.count_used_slots(), 0);
}

/// A load is lost if a status that counts its order doesn't list it. Starting it again instead
/// could take one slot more than the engine has.
#[test]
fn apply_status_of_the_order_without_its_load() {
    let (mut slots, mut outcome) = loading(2);
    slots.apply_status(&status(1, &[], &[]), NOW + Millis(300));
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Failed));
    assert_eq!(slots.count_used_slots(), 0);
}

/// A load listed in the first status is probed, though no order of this node started it.
#[test]
fn new_with_a_load_in_progress() {
    let mut slots = Slots::new(&status(3, &[], &[("base/a1", 2)]), NOW);
    let (load, mut outcome) = load_command(2);
    assert!(slots.serve_or_enqueue(load, NOW).is_none());
    let probe = due_probe(&mut slots, NOW);
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(10));
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// A probe without a response is repeated.
#[test]
fn due_probes_repeats_a_lost_probe() {
    let (mut slots, _outcome) = loading(2);
    due_probe(&mut slots, NOW + Millis(45));
    let next = slots.next_probe(NOW + Millis(45)).unwrap();
    assert!(next < NOW + MAX_LOAD_TIME);
    assert_eq!(due_probe(&mut slots, next).version, 2);
}

/// A probe that is rejected though it carries the known count requires the engine's status.
#[test]
fn apply_probe_conflict_of_the_known_count() {
    let (mut slots, _outcome) = loading(2);
    let probe = due_probe(&mut slots, NOW + Millis(45));
    assert!(!slots.apply_probe(&probe, Some(OrderOutcome::Conflict), NOW + Millis(50)));
    slots.record_accepted_order(NOW + Millis(60));
    assert!(slots.apply_probe(&probe, Some(OrderOutcome::Conflict), NOW + Millis(70)));
}

/// A status tells the version of an adapter that was loaded without one, even if the status was
/// made before the load was complete.
#[test]
fn has_unknown_version_until_a_status() {
    let (mut slots, mut outcome) = loading(0);
    assert!(slots.has_unknown_version("base/a1"));
    let probe = due_probe(&mut slots, NOW + Millis(300));
    slots.apply_probe(&probe, Some(OrderOutcome::Holds), NOW + Millis(310));
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Ready(0)));
    assert!(slots.has_unknown_version("base/a1"));
    slots.apply_status(&status(1, &[], &[("base/a1", 2)]), NOW + Millis(320));
    assert_eq!(slots.held().adapters, [("base/a1".into(), 2)]);
    assert!(!slots.has_unknown_version("base/a1"));
}

/// An unload that is complete only when it is ordered again is counted once, by the status that
/// counts it.
#[test]
fn record_unloaded_of_a_leaving_adapter() {
    let mut slots = Slots::new(&status(3, &[("base/a1", 1)], &[]), NOW);
    slots.record_unload_started("base/a1");
    slots.apply_status(&status(4, &[("base/a1", 1)], &[]), NOW + Millis(300));
    assert_eq!(slots.leaving(), Some("base/a1".into()));
    slots.record_unloaded("base/a1", NOW + Millis(310));
    assert_eq!((slots.sequence(), slots.confirmed_sequence()), (4, 4));
    assert_eq!(slots.count_used_slots(), 0);
}

/// The engine may not have counted an unload of an adapter that was gone, so its count is confirmed
/// only by the next order that it accepts.
#[test]
fn record_unloaded_is_confirmed_by_the_next_order() {
    let mut slots = Slots::new(&status(3, &[("base/a1", 1)], &[]), NOW);
    slots.record_unloaded("base/a1", NOW);
    assert_eq!((slots.sequence(), slots.confirmed_sequence()), (4, 3));
    slots.record_accepted_order(NOW);
    assert_eq!((slots.sequence(), slots.confirmed_sequence()), (5, 5));
}

/// An engine executes unanswered loads when it reaches their numbers, one for each number, and
/// crashes without a slot for them.
#[test]
fn has_free_slot_beside_unanswered_loads() {
    const SLOTS: usize = 4;
    let slots = Slots::new(&status(3, &[("base/a1", 1)], &[]), NOW);
    let mut unanswered = UnansweredLoads::default();
    let has_free_slot =
        |unanswered: &UnansweredLoads| slots.has_free_slot("base/new", SLOTS, unanswered);
    for (sequence, adapter) in [(4, "base/a2"), (4, "base/a3"), (5, "base/a4")] {
        unanswered.record(sequence, adapter.into(), NOW);
    }
    for (sequence, adapter) in [(6, "base/a1"), (7, "base/new")] {
        unanswered.record(sequence, adapter.into(), NOW);
    }
    assert!(has_free_slot(&unanswered));
    unanswered.record(8, "base/a5".into(), NOW);
    assert!(!has_free_slot(&unanswered));
    unanswered.retain_executable(5, NOW);
    assert!(has_free_slot(&unanswered));
    unanswered.record(9, "base/a6".into(), NOW);
    assert!(!has_free_slot(&unanswered));
    unanswered.retain_executable(5, NOW + LATE_ORDER_WINDOW);
    assert!(unanswered.is_empty());
}

/// A load that the engine may not have accepted is not probed, since a probe would start it.
#[test]
fn record_load_unclear_until_a_status_lists_it() {
    let mut slots = Slots::new(&status(3, &[], &[]), NOW);
    let (load, mut outcome) = load_command(2);
    slots.record_load_unclear(load, NOW);
    assert_eq!(slots.count_used_slots(), 1);
    assert_eq!(slots.next_probe(NOW + Millis(300)), None);
    assert!(slots.needs_status(NOW + Millis(300)));
    slots.apply_status(&status(3, &[], &[]), NOW + Millis(300));
    assert!(outcome.try_recv().is_err());
    slots.apply_status(&status(4, &[], &[("base/a1", 2)]), NOW + Millis(600));
    assert_eq!(due_probe(&mut slots, NOW + Millis(600)).sequence, 4);
}

/// A load that the engine doesn't list within the age of its status was not accepted.
#[test]
fn record_load_unclear_that_no_status_lists() {
    let mut slots = Slots::new(&status(3, &[], &[]), NOW);
    let (load, mut outcome) = load_command(2);
    slots.record_load_unclear(load, NOW);
    slots.apply_status(&status(3, &[], &[]), NOW + MAX_STATUS_AGE);
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Failed));
    assert_eq!(slots.count_used_slots(), 0);
}

/// A restart of the engine fails its loads in progress.
#[test]
fn apply_status_of_a_restart() {
    let (mut slots, mut outcome) = loading(2);
    let mut restarted = status(0, &[], &[]);
    restarted.held.started_at_ms = 7;
    assert!(slots.apply_status(&restarted, NOW + Millis(10)));
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Failed));
    assert_eq!((slots.count_used_slots(), slots.sequence()), (0, 0));
}

/// Plays one series of events.
fn play(events: impl IntoIterator<Item = u32>) -> Result<(), String> {
    let mut world = World::default();
    for event in events {
        world.step(event)?;
    }
    world.settle()
}

/// An adapter whose unload got no answer, and was executed, is not taken for present for long.
#[test]
fn slots_unload_without_an_answer() {
    let events = [
        0,
        2_820_139_840,
        2_671_748_120,
        4_280_193_760,
        2_365_457_195,
        2_997_117_207,
        207_575_619,
        588_116_480,
        2_642_146_507,
        1_660_836_287,
        0,
    ];
    assert_eq!(play(events), Ok(()));
}

/// An engine that starts again under its name executes late orders for its former start, and those
/// of an owner that hasn't noticed, if their numbers fit its new count.
#[test]
fn slots_restart_under_the_same_name() {
    let events = [
        2_058_560_895,
        0,
        2_649_860,
        1_786_968_180,
        1_046_707_513,
        4_271_129_153,
        427_859_856,
        947_069_320,
        275_766_840,
    ];
    assert_eq!(play(events), Ok(()));
}

/// Orders, late and repeated statuses, rejections, lost probes, other owners' orders and restarts
/// arrive in any order. Every caller must get an outcome, no outcome may be wrong, and the slots
/// must finally match the engine.
#[test]
fn slots_any_evidence() {
    fn holds(events: Vec<u32>) -> Result<(), String> {
        play(events)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 36))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<u32>) -> Result<(), String>);
}
