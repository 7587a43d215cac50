//! Nodes that see different parts of what happens, with prompt parts that crash engines.

mod poison_model;

use chivevalve::clock::Millis;
use poison_model::{Outcome, Scenario, World};

/// Sets the seed of the first play, to try others than those of every run.
const SEED_VARIABLE: &str = "CHIVEVALVE_POISON_SEED";

/// Plays of each scenario.
const PLAYS: u64 = 6;

/// Sends that are allowed later than three seconds after the fifth crash.
const MAX_LATE_SENDS: usize = 3;

const DAY: Scenario = Scenario {
    nodes: 9,
    engines: 18,
    rate: 40,
    deadly_one_in: 10,
    deadly: (Millis(12_000), Millis(60_000)),
    is_sound_before: false,
    news: (Millis(100), Millis(1_000)),
    restart: Millis(4_000),
    crash_of_all: None,
    replaced: None,
    duration: Millis(40_000),
};

fn first_seed() -> u64 {
    let seed = std::env::var(SEED_VARIABLE).ok();
    seed.and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Plays a scenario with several seeds; prints each, so that a failure tells its own.
fn plays(scenario: Scenario) -> Vec<Outcome> {
    let first = first_seed();
    let play = |seed| {
        let outcome = World::new(scenario, seed).play();
        println!("{SEED_VARIABLE}={seed} {outcome:?}");
        outcome
    };
    (first..first + PLAYS).map(play).collect()
}

/// The users' bounds: three late sends, and sound requests begin nearly as often as before.
fn assert_kept(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.crashes >= 3, "no crash: {outcome:?}");
        assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
        let served = outcome.sound - outcome.rejected;
        assert!(served * 100 >= outcome.sound * 95, "{outcome:?}");
    }
}

/// A part that crashes engines must be stopped at all nodes, and sound requests go on.
#[test]
fn part_from_the_first_request_on() {
    assert_kept(&plays(DAY));
}

/// A part that engines ran until now must be stopped as soon as a new one.
#[test]
fn part_that_was_sound_before() {
    assert_kept(&plays(Scenario {
        is_sound_before: true,
        ..DAY
    }));
}

/// News that takes two seconds must not let the part go on.
#[test]
fn part_at_many_nodes() {
    assert_kept(&plays(Scenario {
        nodes: 195,
        engines: 60,
        rate: 120,
        news: (Millis(200), Millis(2_300)),
        ..DAY
    }));
}

/// New nodes must know what the former ones reported.
#[test]
fn part_beyond_a_restart_of_all_nodes() {
    assert_kept(&plays(Scenario {
        replaced: Some(Millis(16_000)),
        ..DAY
    }));
}

/// A single node sees all requests, and news takes no time.
#[test]
fn part_at_one_node() {
    assert_kept(&plays(Scenario { nodes: 1, ..DAY }));
}

/// Parts that everybody uses must not be rejected after all engines crashed for another reason.
#[test]
fn crash_of_all_engines() {
    let scenario = Scenario {
        deadly_one_in: 0,
        crash_of_all: Some(Millis(5_000)),
        duration: Millis(20_000),
        ..DAY
    };
    for nodes in [1, 9, 60] {
        let outcomes = plays(Scenario { nodes, ..scenario });
        for outcome in outcomes {
            assert!(
                outcome.longest_rejection <= Millis(1_000),
                "{nodes}: {outcome:?}"
            );
        }
    }
}

/// The same while the nodes that knew the parts are replaced.
#[test]
fn crash_of_all_engines_and_nodes() {
    let outcomes = plays(Scenario {
        deadly_one_in: 0,
        crash_of_all: Some(Millis(5_000)),
        replaced: Some(Millis(5_500)),
        duration: Millis(20_000),
        ..DAY
    });
    for outcome in outcomes {
        assert!(outcome.longest_rejection <= Millis(1_000), "{outcome:?}");
    }
}
