//! What a node believes of an engine's slots, whatever order evidence comes in.

mod slots_model;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels, OrderOutcome};
use chivevalve::direct::orders::slots::{LoadProbe, MAX_LOAD_TIME, MAX_REPORT_AGE, Slots};
use chivevalve::direct::orders::{LoadCommand, LoadOutcome};
use quickcheck::{Gen, QuickCheck};
use slots_model::World;
use tokio::sync::oneshot::{self, Receiver};

const NOW: Millis = Millis(10_000);

fn report(sequence: u64, adapters: &[(&str, u64)], incoming: &[(&str, u64)]) -> EngineStatus {
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

fn asked(version: u64) -> (LoadCommand, Receiver<LoadOutcome>) {
    let (reply, answer) = oneshot::channel();
    let adapter = "base/a1".into();
    let load = LoadCommand {
        adapter,
        version,
        reply,
    };
    (load, answer)
}

/// Slots of an empty engine that has accepted the order of a load.
fn loading(version: u64) -> (Slots, Receiver<LoadOutcome>) {
    let mut slots = Slots::new(&report(0, &[], &[]), NOW);
    let (load, answer) = asked(version);
    let load = slots.wait(load, NOW).unwrap();
    slots.accepted(NOW);
    slots.began(load, NOW);
    (slots, answer)
}

fn look_of(slots: &mut Slots, now: Millis) -> LoadProbe {
    let looks = slots.due(now);
    assert_eq!(looks.len(), 1);
    looks[0].clone()
}

/// A report from before the order neither ends the load nor takes the count back.
#[test]
fn report_older_than_the_order() {
    let (mut slots, mut answer) = loading(2);
    assert!(!slots.report(&report(0, &[], &[]), NOW + Millis(300)));
    assert!(answer.try_recv().is_err());
    let look = look_of(&mut slots, NOW + Millis(300));
    assert_eq!(look.sequence, 1);
    assert!(slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(310)));
    assert_eq!(answer.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// A count that was counted wrongly is put right by a report asked for late enough.
#[test]
fn report_lower_count_long_after_the_order() {
    let (mut slots, _answer) = loading(2);
    assert!(slots.report(&report(0, &[], &[]), NOW + MAX_REPORT_AGE));
    assert_eq!(slots.sequence(), 0);
}

/// A report that still lists a complete load as on its way doesn't undo what a look found.
#[test]
fn report_of_the_same_count_before_the_completion() {
    let (mut slots, _answer) = loading(2);
    let look = look_of(&mut slots, NOW + Millis(300));
    slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(310));
    slots.report(&report(1, &[], &[("base/a1", 2)]), NOW + Millis(320));
    assert_eq!(slots.held().adapters, [("base/a1".into(), 2)]);
    assert_eq!(slots.next_look(NOW + Millis(320)), None);
}

/// What another owner had loaded is gone once a report with its order doesn't list it.
#[test]
fn report_of_a_newer_count_without_the_adapter() {
    let mut slots = Slots::new(&report(3, &[("base/a1", 1)], &[]), NOW);
    slots.report(&report(4, &[], &[]), NOW + Millis(10));
    assert_eq!(slots.held().adapters, []);
}

/// Another owner's load of a newer version is looked at, however long the former was held.
#[test]
fn report_of_a_newer_count_with_a_load() {
    let mut slots = Slots::new(&report(3, &[("base/a1", 1)], &[]), NOW);
    let late = NOW + MAX_LOAD_TIME + MAX_LOAD_TIME;
    slots.report(&report(4, &[("base/a1", 1)], &[("base/a1", 2)]), late);
    assert_eq!(slots.loading_in_time(late), 1);
    assert_eq!(look_of(&mut slots, late).version, 2);
}

/// Whoever waits for a load is served by the load of a further version too.
#[test]
fn began_further_version_keeps_waiters() {
    let (mut slots, mut former) = loading(2);
    let (load, mut later) = asked(3);
    let load = slots.wait(load, NOW).unwrap();
    let look = look_of(&mut slots, NOW + Millis(45));
    slots.accepted(NOW);
    slots.began(load, NOW);
    // A look at the former version says nothing of the further one.
    slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(50));
    assert!(later.try_recv().is_err());
    let look = look_of(&mut slots, NOW + Millis(300));
    slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(310));
    assert_eq!(former.try_recv(), Ok(LoadOutcome::Ready(3)));
    assert_eq!(later.try_recv(), Ok(LoadOutcome::Ready(3)));
}

/// A load that outlasts its time fails for who waited, and still serves who comes later.
#[test]
fn expire_behind_long_runs() {
    let (mut slots, mut early) = loading(2);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    slots.expire(late);
    assert_eq!(early.try_recv(), Ok(LoadOutcome::Failed));
    assert!(slots.wants_report(late));
    assert!(slots.report(&report(1, &[], &[("base/a1", 2)]), late));
    assert_eq!(slots.next_look(late), None);
    let (load, mut later) = asked(2);
    assert!(slots.wait(load, late).is_none());
    let look = look_of(&mut slots, late);
    slots.looked(&look, Some(OrderOutcome::Holds), late);
    assert_eq!(later.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// Loads that outlast their time don't keep others from the engine.
#[test]
fn loading_in_time_without_overdue() {
    let (slots, _answer) = loading(2);
    assert_eq!(slots.loading_in_time(NOW), 1);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    assert_eq!((slots.loading_in_time(late), slots.loading()), (0, 1));
}

/// A load that nobody waits for and no report lists any more gives its slot back.
#[test]
fn report_ends_an_overdue_load() {
    let (mut slots, _answer) = loading(2);
    let late = NOW + MAX_LOAD_TIME + Millis(1);
    slots.expire(late);
    slots.report(&report(1, &[], &[]), late);
    assert_eq!(slots.taken(), 0);
}

/// A load that a report with its order doesn't list is lost: begun anew, it could take one slot
/// more than the engine has.
#[test]
fn report_of_the_order_without_its_load() {
    let (mut slots, mut answer) = loading(2);
    slots.report(&report(1, &[], &[]), NOW + Millis(300));
    assert_eq!(answer.try_recv(), Ok(LoadOutcome::Failed));
    assert_eq!(slots.taken(), 0);
}

/// A load that a report names is looked at, though no order of this node began it.
#[test]
fn new_with_a_load_on_its_way() {
    let mut slots = Slots::new(&report(3, &[], &[("base/a1", 2)]), NOW);
    let (load, mut answer) = asked(2);
    assert!(slots.wait(load, NOW).is_none());
    let look = look_of(&mut slots, NOW);
    slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(10));
    assert_eq!(answer.try_recv(), Ok(LoadOutcome::Ready(2)));
}

/// A look that no answer came to is repeated.
#[test]
fn due_repeats_a_lost_look() {
    let (mut slots, _answer) = loading(2);
    look_of(&mut slots, NOW + Millis(45));
    let next = slots.next_look(NOW + Millis(45)).unwrap();
    assert!(next < NOW + MAX_LOAD_TIME);
    assert_eq!(look_of(&mut slots, next).version, 2);
}

/// A look that is refused though its count is the one known has the engine asked what is so.
#[test]
fn looked_conflict_of_the_known_count() {
    let (mut slots, _answer) = loading(2);
    let look = look_of(&mut slots, NOW + Millis(45));
    assert!(!slots.looked(&look, Some(OrderOutcome::Conflict), NOW + Millis(50)));
    slots.accepted(NOW + Millis(60));
    assert!(slots.looked(&look, Some(OrderOutcome::Conflict), NOW + Millis(70)));
}

/// Which version was loaded as whatever is the newest, a report tells, also one from before its end.
#[test]
fn is_unversioned_until_a_report() {
    let (mut slots, mut answer) = loading(0);
    assert!(slots.is_unversioned("base/a1"));
    let look = look_of(&mut slots, NOW + Millis(300));
    slots.looked(&look, Some(OrderOutcome::Holds), NOW + Millis(310));
    assert_eq!(answer.try_recv(), Ok(LoadOutcome::Ready(0)));
    assert!(slots.is_unversioned("base/a1"));
    slots.report(&report(1, &[], &[("base/a1", 2)]), NOW + Millis(320));
    assert_eq!(slots.held().adapters, [("base/a1".into(), 2)]);
    assert!(!slots.is_unversioned("base/a1"));
}

/// A restart of the engine ends what was on its way.
#[test]
fn report_of_a_restart() {
    let (mut slots, mut answer) = loading(2);
    let mut restarted = report(0, &[], &[]);
    restarted.held.started_at_ms = 7;
    assert!(slots.report(&restarted, NOW + Millis(10)));
    assert_eq!(answer.try_recv(), Ok(LoadOutcome::Failed));
    assert_eq!((slots.taken(), slots.sequence()), (0, 0));
}

/// Orders, late and repeated reports, refusals, lost looks, other owners' orders and restarts in
/// any order leave nobody waiting, tell nobody of what isn't so, and end with what the engine holds.
#[test]
fn slots_any_evidence() {
    fn holds(events: Vec<u32>) -> Result<(), String> {
        let mut world = World::default();
        for event in events {
            world.step(event)?;
        }
        world.settle()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 36))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<u32>) -> Result<(), String>);
}
