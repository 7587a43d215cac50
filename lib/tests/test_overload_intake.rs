//! Which new connections a node serves while its processor or its link has too much to do.

use chivevalve::clock::Millis;
use chivevalve::overload::delays::Delays;
use chivevalve::overload::{Intake, Overload};

const NO_BOUND: usize = usize::MAX;

/// One round with a number of new connections; returns how many of them are served.
fn round(intake: &mut Intake, connections: u32, now: Millis) -> u32 {
    let decide = |_: &u32| intake.decide((0, NO_BOUND), now).is_none();
    let served = (0..connections).filter(decide).count();
    u32::try_from(served).unwrap()
}

fn record_scheduling(intake: &mut Intake, delays: &Delays, waited: u64, now: u64) {
    delays.record_scheduling(Millis(waited), Millis(now));
    intake.begin_round(delays, Millis(now));
}

/// One long task makes no connection fail.
#[test]
fn intake_one_late_task() {
    let (mut intake, delays) = (Intake::default(), Delays::default());
    record_scheduling(&mut intake, &delays, 1, 0);
    record_scheduling(&mut intake, &delays, 400, 400);
    assert_eq!(round(&mut intake, 20, Millis(400)), 20);
    record_scheduling(&mut intake, &delays, 1, 401);
    assert_eq!(round(&mut intake, 20, Millis(401)), 20);
}

/// A node whose tasks are all late goes on to serve one connection in a while.
#[test]
fn intake_late_tasks() {
    let (mut intake, delays) = (Intake::default(), Delays::default());
    let mut served = 0;
    for now in (0..3_000).step_by(50) {
        record_scheduling(&mut intake, &delays, 50, now);
        served += round(&mut intake, 20, Millis(now));
    }
    // The first two rounds aren't limited yet.
    assert!((20 + 11..=20 + 13).contains(&served), "{served}");
}

/// A node that has caught up serves more from round to round, and all after a second.
#[test]
fn intake_catches_up() {
    let (mut intake, delays) = (Intake::default(), Delays::default());
    record_scheduling(&mut intake, &delays, 50, 0);
    record_scheduling(&mut intake, &delays, 50, 50);
    assert_eq!(intake.overload(), Some(Overload::Processor));
    let mut served = Vec::new();
    for now in [100, 200, 300, 400] {
        record_scheduling(&mut intake, &delays, 1, now);
        served.push(round(&mut intake, 20, Millis(now)));
    }
    assert_eq!(served, [1, 2, 4, 8]);
    // Half of what was too much is the next that is tried.
    record_scheduling(&mut intake, &delays, 21, 600);
    assert_eq!(round(&mut intake, 20, Millis(600)), 0);
    record_scheduling(&mut intake, &delays, 1, 650);
    assert_eq!(round(&mut intake, 20, Millis(650)), 4);
    record_scheduling(&mut intake, &delays, 1, 750);
    assert_eq!(round(&mut intake, 20, Millis(750)), 5);
    // The limit stays while callers use it up.
    for now in (800..4_000).step_by(50) {
        record_scheduling(&mut intake, &delays, 1, now);
        assert_eq!(intake.overload(), Some(Overload::Processor));
        round(&mut intake, 100, Millis(now));
    }
    for now in [4_000, 4_500, 5_000] {
        record_scheduling(&mut intake, &delays, 1, now);
    }
    assert_eq!(intake.overload(), None);
    assert_eq!(round(&mut intake, 20, Millis(5_000)), 20);
}

/// One slow upstream beside fast ones isn't taken for a slow link.
#[test]
fn overload_link_one_slow_upstream() {
    let delays = Delays::default();
    for (number, took) in [2, 400, 400, 3, 400, 400, 400].into_iter().enumerate() {
        let now = Millis(number as u64 * 10);
        delays.record_round_trip(Millis(took), now);
        assert_eq!(Overload::of(&delays, now), None, "{number}");
    }
}

/// Round trips that are all slow are the link's, however far away the other processes are.
#[test]
fn overload_link_all_slow() {
    let delays = Delays::default();
    for number in 0..8 {
        delays.record_round_trip(Millis(90), Millis(number));
        assert_eq!(Overload::of(&delays, Millis(number)), None);
    }
    for number in 8..12 {
        delays.record_round_trip(Millis(130), Millis(number));
    }
    assert_eq!(Overload::of(&delays, Millis(12)), Some(Overload::Link));
    assert_eq!(Overload::of(&delays, Millis(600)), None);
}

/// Callers can't take all descriptors of a node.
#[test]
fn intake_full() {
    let mut intake = Intake::default();
    assert_eq!(intake.decide((9, 10), Millis(0)), None);
    let decision = intake.decide((10, 10), Millis(900));
    assert_eq!(decision, Some(Overload::Connections));
}
