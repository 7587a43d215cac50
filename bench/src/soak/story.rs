//! What happens in a soak, drawn from the seed before it begins.

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::mood::Mood;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::Way;

/// Engines of the story.
pub const ENGINES: usize = 4;
/// Plain servers beside them.
pub const PLAIN: usize = 2;
/// Adapters whose versions change.
pub const ADAPTERS: u64 = 9;
/// Time without faults at the beginning, for the nodes to claim engines.
const CALM_FIRST: u64 = 5_000;
/// Time without new faults at the end, in which everything has to come back.
const CALM_LAST: u64 = 6_000;

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// The operator writes the next configuration.
    Config,
    /// The operator declares the next version of an adapter.
    Version(u64),
    /// A node is asked to stop, and started again.
    Stop(usize),
    /// A node is killed, and started again after a while.
    Kill(usize, Millis),
    /// A node stands still for a while.
    Pause(usize, Millis),
    /// A node's way to the store is harmed for a while.
    StoreLink(usize, Way, Millis),
    /// All ways to the store are harmed for a while.
    StoreAway(Way, Millis),
    /// The way to a server is harmed for a while.
    ServerLink(usize, Way, Millis),
    /// A server behaves otherwise for a while.
    Feel(usize, Mood, Millis),
    /// A server crashes, and starts again after a while.
    Crash(usize, Millis),
    /// A server leaves in order, and starts again.
    Leave(usize),
}

/// Something that happens, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    pub at: Millis,
    pub act: Act,
}

/// Draws a story of a length for so many nodes.
pub fn draw(seed: u64, nodes: usize, span: Millis) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = span.0.saturating_sub(CALM_LAST);
    let mut steps = Vec::new();
    let mut every = |from: u64, to: u64, act: &mut dyn FnMut(&mut Pcg64Mcg) -> Act| {
        let mut at = CALM_FIRST;
        loop {
            at += rng.random_range(from..to);
            if at >= end {
                return;
            }
            let act = act(&mut rng);
            steps.push(Step {
                at: Millis(at),
                act,
            });
        }
    };
    every(1_500, 5_000, &mut |_| Act::Config);
    every(1_500, 5_000, &mut |rng| {
        Act::Version(rng.random_range(1..=ADAPTERS))
    });
    // Two series run beside each other, so that faults overlap; long ones do by themselves.
    for _ in 0..2 {
        every(1_000, 8_000, &mut |rng| fault(rng, nodes));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn fault(rng: &mut Pcg64Mcg, nodes: usize) -> Act {
    let node = rng.random_range(0..nodes);
    let server = rng.random_range(0..ENGINES + PLAIN);
    let engine = rng.random_range(0..ENGINES);
    let short = Millis(rng.random_range(300..3_000));
    let long = Millis(rng.random_range(1_000..8_000));
    match rng.random_range(0..16) {
        0..3 => Act::Stop(node),
        3 | 4 => Act::Kill(node, short),
        5 => Act::Pause(node, Millis(rng.random_range(400..7_000))),
        6 => Act::StoreLink(node, way(rng), long),
        7 => Act::StoreAway(way(rng), long),
        8 | 9 => Act::ServerLink(server, way(rng), short),
        10..13 => Act::Feel(server, mood(rng), long),
        13 => Act::Crash(server, short),
        _ => Act::Leave(engine),
    }
}

fn way(rng: &mut Pcg64Mcg) -> Way {
    match rng.random_range(0..5) {
        0 => Way::Late(rng.random_range(20..150)),
        1 => Way::Reset,
        2 => Way::Silent,
        3 => Way::NoAnswers,
        _ => Way::Tail,
    }
}

fn mood(rng: &mut Pcg64Mcg) -> Mood {
    let mut part = |most: u64| {
        if rng.random_bool(0.5) {
            rng.random_range(0..most)
        } else {
            0
        }
    };
    Mood {
        shed: part(60),
        lose: part(10),
        cut: part(15),
        wrong: part(8),
        fail: part(8),
        pause: part(30),
        silent: part(100) > 80,
    }
}
