//! Stateful fuzzing of ownership with fixed seeds; `fuzz-outcomes` of the bench runs longer
//! campaigns.

#[path = "../../bench/src/fuzz_outcomes/harness/mod.rs"]
mod harness;

use chivevalve::membership::guard::{Guard, Guards};
use harness::campaign;
use harness::story::{Step, Story};
use quickcheck::{Arbitrary, Gen};

/// Number of events in the run with a fixed seed.
const EVENTS: u64 = 3000;

#[test]
fn fuzz_fixed_seeds() {
    let report = campaign::run(EVENTS, 1, Guards::all());
    if let Some(failure) = report.failure {
        panic!(
            "seed {}: {}\n{}\n{}",
            failure.seed,
            failure.violation,
            failure.story,
            failure.trace.join("\n")
        );
    }
    println!("{:?}", report.notes);
}

fn story(seed: u64) -> Story {
    let mut g = Gen::from_size_and_seed(64, seed);
    Story::arbitrary(&mut g)
}

// Replays a failing story as it was shrunk. These stories are kept as values because a
// seed yields another story once the generator changes.
fn replay(seed: u64, sizes: (u8, u8, u8), steps: Vec<Step>) {
    let (nodes, upstreams, regions) = sizes;
    let story = Story {
        seed,
        nodes,
        upstreams,
        regions,
        steps,
    };
    if let Err(violation) = campaign::play(&story, Guards::all()) {
        panic!("{violation}\n{story}");
    }
}

/// Pins of running requests must survive a restart of their engine that its owner learns of
/// late.
#[test]
fn replay_cold_start_unheard() {
    let steps = vec![
        Step::ServiceCut(4, 8317),
        Step::Engine(0),
        Step::ServiceSplit(131, 11677),
        Step::Request(4, 255),
        Step::Pause(0, 0),
        Step::Engine(0),
        Step::Request(4, 143),
        Step::Request(1, 223),
        Step::Request(0, 218),
    ];
    replay(362_555_237_418_935_727, (6, 2, 1), steps);
}

/// A registration that takes effect late must not let a successor take over from a live owner.
#[test]
fn replay_late_registration() {
    let steps = vec![
        Step::ServiceDown(8408),
        Step::ServiceSplit(43, 1515),
        Step::BadList(2, 1515),
        Step::Wait(0),
        Step::Request(4, 182),
        Step::Wait(0),
        Step::Request(4, 92),
        Step::Leave(6),
        Step::Wait(0),
        Step::Request(7, 49),
        Step::Wait(0),
        Step::Wait(0),
        Step::Leave(6),
        Step::Late(55, 3230),
        Step::ServiceCut(1, 8137),
        Step::Wait(1614),
        Step::Request(2, 32),
        Step::Wait(0),
        Step::ServiceSplit(220, 8247),
        Step::Request(2, 154),
        Step::ServiceDown(2359),
    ];
    replay(13_934_760_967_470_069_082, (4, 2, 2), steps);
}

/// A drain must wait for the requests of upstreams that were relinquished when the lease
/// expired.
#[test]
fn replay_lapse_while_draining() {
    let steps = vec![
        Step::ServiceSplit(0, 2553),
        Step::Drain(3, 0),
        Step::Kill(5, 0),
        Step::Request(1, 177),
    ];
    replay(2_683_497_640_439_070_046, (3, 1, 2), steps);
}

/// Calls to the key-value service by an idle fleet must not grow with the number of upstreams.
#[test]
fn rest_calls_bounded() {
    let story = Story {
        seed: 1,
        nodes: 16,
        upstreams: 32,
        regions: 1,
        steps: Vec::new(),
    };
    let mut world = harness::world::World::new(&story, Guards::all());
    world.run(60_000).expect("nothing fails");
    let (before, _) = world.service_cost();
    world.run(120_000).expect("nothing fails");
    let (after, _) = world.service_cost();
    let calls_per_node = (after - before) / 16;
    assert!(
        calls_per_node < 2 * 120,
        "{calls_per_node} calls per node in two minutes"
    );
}

/// Disabling any of these guards must let a story break a promise. The seeds are of the
/// stories that `fuzz-outcomes --without` found first.
#[test]
fn guards_left_out() {
    let found: [(Guard, u64); 10] = [
        (Guard::BoundFromSend, 429),
        (Guard::ClaimUnchanged, 171),
        (Guard::OwnerUnregistered, 6616),
        (Guard::WithdrawMajority, 4),
        (Guard::SupportMajority, 469),
        (Guard::WitnessWaits, 4),
        (Guard::SettleClaim, 8),
        (Guard::ReleaseFirst, 1),
        (Guard::PreviousStart, 8794),
        (Guard::WitnessesFixed, 570),
    ];
    for (guard, seed) in found {
        let story = story(seed);
        let without_guard = campaign::play(&story, Guards::without(guard));
        assert!(without_guard.is_err(), "{guard:?}");
        assert_eq!(campaign::play(&story, Guards::all()).err(), None);
    }
}
