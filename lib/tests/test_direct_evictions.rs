//! Unloads that get no answer, and what an owner may say of their adapters meanwhile.

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels};
use chivevalve::direct::orders::slots::{MAX_STATUS_AGE, Slots};
use chivevalve::direct::orders::unanswered::LATE_ORDER_WINDOW;
use chivevalve::direct::orders::{LoadCommand, LoadOutcome};
use tokio::sync::oneshot::{self, Receiver};

const NOW: Millis = Millis(10_000);

/// A moment within the age of statuses after [`NOW`].
const SOON: Millis = Millis(NOW.0 + MAX_STATUS_AGE.0 - 1);

/// The first moment at which a status describes one after [`NOW`].
const LATER: Millis = Millis(NOW.0 + MAX_STATUS_AGE.0);

fn status(sequence: u64, adapters: &[(&str, u64)]) -> EngineStatus {
    let adapters = adapters.iter().map(|(name, v)| ((*name).into(), *v));
    let held = LoadedModels {
        sequence,
        adapters: adapters.collect(),
        ..LoadedModels::default()
    };
    EngineStatus {
        held,
        ..EngineStatus::default()
    }
}

fn load_command() -> (LoadCommand, Receiver<LoadOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let load = LoadCommand {
        adapter: "base/a1".into(),
        version: 0,
        reply,
    };
    (load, outcome)
}

/// Returns the slots of an engine that got the unload of its adapter and didn't answer.
fn evicting() -> Slots {
    let mut slots = Slots::new(&status(3, &[("base/a1", 2)]), NOW);
    let victim = slots.least_recently_used(NOW, |_| false);
    assert_eq!(victim, Some("base/a1".into()));
    slots
}

fn is_present(slots: &mut Slots, now: Millis) -> bool {
    let (load, mut outcome) = load_command();
    let is_served = slots.serve_or_enqueue(load, now).is_none();
    assert_eq!(outcome.try_recv() == Ok(LoadOutcome::Ready(2)), is_served);
    assert_eq!(!slots.held().adapters.is_empty(), is_served);
    is_served
}

/// An adapter whose unload may be executed is neither present nor gone.
#[test]
fn least_recently_used_may_be_gone() {
    let mut slots = evicting();
    assert!(!is_present(&mut slots, NOW));
    assert_eq!(slots.count_used_slots(), 1);
}

/// The order that asks whether the engine still holds an adapter replaces it by no other version.
#[test]
fn serve_or_enqueue_asks_for_the_known_version() {
    let mut slots = evicting();
    let (load, mut outcome) = load_command();
    let load = slots.serve_or_enqueue(load, NOW).unwrap();
    assert_eq!(load.version, 2);
    slots.record_present(load, NOW);
    assert_eq!(outcome.try_recv(), Ok(LoadOutcome::Ready(2)));
    assert!(is_present(&mut slots, NOW));
}

/// A status that may describe a moment before the unload doesn't end the doubt.
#[test]
fn apply_status_from_before_the_unload() {
    let mut slots = evicting();
    slots.apply_status(&status(3, &[("base/a1", 2)]), SOON);
    assert!(!is_present(&mut slots, SOON));
    assert!(!slots.needs_status(SOON));
    assert!(slots.needs_status(LATER));
    slots.apply_status(&status(3, &[("base/a1", 2)]), LATER);
    assert!(is_present(&mut slots, LATER));
}

/// An adapter that an unload without an answer removed is gone.
#[test]
fn apply_status_that_counts_the_unload() {
    let mut slots = evicting();
    slots.apply_status(&status(4, &[]), SOON);
    assert_eq!(slots.count_used_slots(), 0);
    assert!(!slots.needs_status(LATER + LATE_ORDER_WINDOW));
}

/// An unload can't be executed once another order took its number.
#[test]
fn record_accepted_order_of_the_same_number() {
    let mut slots = evicting();
    slots.record_accepted_order(NOW);
    assert!(is_present(&mut slots, NOW));
    assert!(!slots.needs_status(LATER));
}

/// The engine is asked for as long as it may execute the unload, and no longer.
#[test]
fn needs_status_until_the_unload_expires() {
    let mut slots = evicting();
    slots.apply_status(&status(3, &[("base/a1", 2)]), LATER);
    assert!(!slots.needs_status(LATER));
    let end = LATER + LATE_ORDER_WINDOW;
    assert!(slots.needs_status(end));
    slots.apply_status(&status(3, &[("base/a1", 2)]), end);
    assert!(!slots.needs_status(end + end));
}

/// An unload that was refused isn't executed, but an earlier one without an answer may be.
#[test]
fn record_unload_canceled_after_another() {
    let mut slots = evicting();
    slots.record_unload_canceled("base/a1");
    assert!(is_present(&mut slots, NOW));
    let mut slots = evicting();
    slots.least_recently_used(NOW, |_| false);
    slots.record_unload_canceled("base/a1");
    assert!(!is_present(&mut slots, NOW));
}

/// An engine answers for an adapter that is leaving, which stays known as leaving.
#[test]
fn record_present_of_a_leaving_adapter() {
    let mut slots = evicting();
    slots.record_unload_started("base/a1");
    let (load, _outcome) = load_command();
    let load = slots.serve_or_enqueue(load, NOW).unwrap();
    slots.record_present(load, NOW);
    assert_eq!(slots.leaving(), Some("base/a1".into()));
    assert!(slots.needs_status(LATER));
}
