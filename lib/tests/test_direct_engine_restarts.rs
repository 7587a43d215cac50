//! Engines that start again under their name, and orders that were sent to a former start.

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels};
use chivevalve::direct::orders::LoadCommand;
use chivevalve::direct::orders::slots::{MAX_LOAD_TIME, Slots};
use chivevalve::direct::orders::unanswered::{LATE_ORDER_WINDOW, UnansweredLoads};
use tokio::sync::oneshot;

const NOW: Millis = Millis(10_000);

/// When the first probe of a load that was ordered at [`NOW`] is due.
const PROBE_AT: Millis = Millis(NOW.0 + 300);

fn status(sequence: u64) -> EngineStatus {
    let held = LoadedModels {
        sequence,
        ..LoadedModels::default()
    };
    EngineStatus {
        held,
        ..EngineStatus::default()
    }
}

fn start_load(slots: &mut Slots, adapter: &str) {
    let (reply, _) = oneshot::channel();
    let load = LoadCommand {
        adapter: adapter.into(),
        version: 1,
        reply,
    };
    slots.record_accepted_order(NOW);
    slots.record_load_started(load, NOW);
}

/// Returns the adapters whose probes are due.
fn probed(slots: &mut Slots, now: Millis) -> Vec<String> {
    let probes = slots.due_probes(now);
    probes
        .iter()
        .map(|probe| probe.adapter.to_string())
        .collect()
}

/// A load whose number the engine's count has passed is executed by a further start of the engine.
#[test]
fn retain_executable_after_a_restart() {
    let slots = Slots::new(&status(0), NOW);
    let mut unanswered = UnansweredLoads::default();
    unanswered.record(1, "base/a1".into(), NOW);
    unanswered.retain_executable(2, NOW);
    assert!(slots.has_free_slot("base/new", 1, &unanswered));
    unanswered.retain_executable(0, NOW);
    assert!(!slots.has_free_slot("base/new", 1, &unanswered));
    unanswered.retain_executable(0, NOW + LATE_ORDER_WINDOW);
    assert!(slots.has_free_slot("base/new", 1, &unanswered));
}

/// A load that got an answer leaves those of the same number without one.
#[test]
fn forget_one_of_a_number() {
    let mut unanswered = UnansweredLoads::default();
    unanswered.record(1, "base/a1".into(), NOW);
    unanswered.record(1, "base/a1".into(), NOW);
    unanswered.record(1, "base/a2".into(), NOW);
    unanswered.forget(1, "base/a1");
    assert_eq!(unanswered.len(), 2);
    unanswered.forget(1, "base/a1");
    unanswered.forget(1, "base/a1");
    assert_eq!(unanswered.len(), 1);
}

/// A probe of a load that was ordered before other orders could begin it in a further start.
#[test]
fn due_probes_behind_other_orders() {
    let mut slots = Slots::new(&status(0), NOW);
    start_load(&mut slots, "base/a1");
    assert_eq!(probed(&mut slots, PROBE_AT), ["base/a1"]);
    let mut slots = Slots::new(&status(0), NOW);
    start_load(&mut slots, "base/a1");
    start_load(&mut slots, "base/a2");
    assert_eq!(probed(&mut slots, PROBE_AT), ["base/a2"]);
    assert!(slots.needs_status(PROBE_AT));
    // An outdated status shows the start, too.
    assert!(!slots.apply_status(&status(1), PROBE_AT));
    assert_eq!(slots.next_probe(PROBE_AT), Some(NOW + Millis(45)));
    assert_eq!(probed(&mut slots, PROBE_AT), ["base/a1"]);
    assert!(slots.needs_start(PROBE_AT + MAX_LOAD_TIME - Millis(300)));
}

/// A further start of an engine that has accepted many orders doesn't reach its count unnoticed.
#[test]
fn due_probes_of_a_high_count() {
    let mut slots = Slots::new(&status(50), NOW);
    start_load(&mut slots, "base/a1");
    start_load(&mut slots, "base/a2");
    assert_eq!(probed(&mut slots, PROBE_AT), ["base/a1", "base/a2"]);
}

/// A further start with fewer orders than slots has room for what a probe begins.
#[test]
fn due_probes_of_fewer_orders_than_slots() {
    let mut slots = Slots::new(&status(0), NOW).with_capacity(8);
    start_load(&mut slots, "base/a1");
    start_load(&mut slots, "base/a2");
    assert_eq!(probed(&mut slots, PROBE_AT), ["base/a1", "base/a2"]);
}
