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

/// Series of faults and the longest pause in each, by the seed.
const DENSITY: [(usize, u64); 3] = [(2, 8_000), (3, 5_000), (4, 3_000)];
/// The same beside silences and releases, so that most of these have no other fault beside them.
const FEW: (usize, u64) = (1, 12_000);

/// How long a sound engine falls silent, in milliseconds.
const SILENCE: std::ops::Range<u64> = 1_000..1_300;
/// Time between a configuration and the silences beside it, in milliseconds.
const BESIDE: u64 = 700;
/// Time between two engines of a release, in milliseconds.
const APART: std::ops::Range<u64> = 1_500..3_000;
/// How long all nodes are down while two releases serve, in milliseconds.
const DOWN: std::ops::Range<u64> = 200..1_500;
/// Time from when the last engine begins to leave until all nodes are killed, in milliseconds: its
/// streams still run then.
const LEAVING: std::ops::Range<u64> = 0..400;
/// How long all nodes are down then, in milliseconds: until it has left.
const GONE: std::ops::Range<u64> = 2_900..4_500;

/// Time between two versions of a series, in milliseconds.
const SERIES: std::ops::Range<u64> = 300..3_000;
/// The longest wait for a first event while an engine has a queue, in milliseconds.
const QUEUE: std::ops::Range<u64> = 1_000..4_000;

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
    /// Requests wait up to so long at an engine for their first event, for a while.
    Queue(usize, Millis, Millis),
    /// Loads take so much longer at all engines, for a while.
    Loads(Millis, Millis),
    /// A sound engine writes nothing for a while.
    Silence(usize, Millis),
    /// An engine leaves in order, and starts again with the next release of its software.
    Upgrade(usize),
}

/// Something that happens, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    pub at: Millis,
    pub act: Act,
}

/// What a story has beside the usual, which is thin then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Extras {
    /// Engines fall silent in series while configurations change.
    pub silences: bool,
    /// Releases of the engines' software, with all nodes killed at once meanwhile or right behind.
    pub releases: bool,
}

/// Draws a story of a length for so many nodes.
pub fn draw(seed: u64, nodes: usize, span: Millis, extras: Extras) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = span.0.saturating_sub(CALM_LAST);
    let mut steps = Vec::new();
    let mut every = |from: u64, to: u64, acts: &mut dyn FnMut(&mut Pcg64Mcg) -> Vec<Step>| {
        let mut at = CALM_FIRST;
        loop {
            at += rng.random_range(from..to);
            if at >= end {
                return;
            }
            let drawn = acts(&mut rng);
            steps.extend(drawn.into_iter().map(|step| Step {
                at: Millis(at + step.at.0),
                act: step.act,
            }));
        }
    };
    every(1_500, 5_000, &mut |_| alone(Act::Config));
    every(1_500, 5_000, &mut |rng| {
        alone(Act::Version(rng.random_range(1..=ADAPTERS)))
    });
    // Series run beside each other, so that faults overlap; some stories are denser than others.
    let (series, longest) = if extras == Extras::default() {
        DENSITY[usize::try_from(seed).unwrap_or_default() % DENSITY.len()]
    } else {
        FEW
    };
    for _ in 0..series {
        every(500, longest, &mut |rng| fault(rng, nodes));
    }
    // Drawn last, so that the rest of a story stays as it is without them.
    every(4_000, 12_000, &mut versions);
    if extras.silences {
        every(2_000, 3_500, &mut silences);
    }
    if extras.releases {
        every(6_000, 15_000, &mut |rng| release(rng, nodes));
    }
    steps.retain(|step| step.at.0 < end);
    steps.sort_by_key(|step| step.at);
    steps
}

fn alone(act: Act) -> Vec<Step> {
    vec![Step {
        at: Millis::ZERO,
        act,
    }]
}

/// Acts on all nodes, one after the other.
fn row(nodes: usize, apart: u64, act: impl Fn(usize) -> Act) -> Vec<Step> {
    let step = |node| Step {
        at: Millis(apart * u64::try_from(node).unwrap_or_default()),
        act: act(node),
    };
    (0..nodes).map(step).collect()
}

/// Versions of one adapter within seconds, while requests wait at engines and loads take long.
fn versions(rng: &mut Pcg64Mcg) -> Vec<Step> {
    // One of those that are asked for most.
    let adapter = rng.random_range(1..=ADAPTERS / 3);
    let span = Millis(rng.random_range(4_000..10_000));
    let mut acts = vec![(0, Act::Loads(Millis(rng.random_range(0..4_000)), span))];
    for engine in 0..ENGINES {
        if rng.random_bool(0.5) {
            acts.push((0, Act::Queue(engine, Millis(rng.random_range(QUEUE)), span)));
        }
    }
    let mut at = 0;
    for _ in 0..rng.random_range(2..5) {
        at += rng.random_range(SERIES);
        acts.push((at, Act::Version(adapter)));
    }
    let step = |(at, act)| Step {
        at: Millis(at),
        act,
    };
    acts.into_iter().map(step).collect()
}

/// All engines, or about half of them, fall silent beside a change of the configuration.
fn silences(rng: &mut Pcg64Mcg) -> Vec<Step> {
    let mut steps = alone(Act::Config);
    // Runs move to a silent engine only from one that isn't.
    let all = rng.random_bool(0.25);
    let span = Millis(rng.random_range(SILENCE));
    let at = Millis(rng.random_range(0..BESIDE));
    for engine in 0..ENGINES {
        if all || rng.random_bool(0.5) {
            let act = Act::Silence(engine, span);
            steps.push(Step { at, act });
        }
    }
    steps
}

/// Engines start again with the next release, one after the other. All nodes are killed at once
/// while two versions serve, or come back when the last engine of the old one has just left.
fn release(rng: &mut Pcg64Mcg, nodes: usize) -> Vec<Step> {
    let apart = rng.random_range(APART);
    let mut steps = row(ENGINES, apart, Act::Upgrade);
    let last = steps.last().map_or(0, |step| step.at.0);
    let (at, down) = if rng.random_bool(0.5) {
        (rng.random_range(apart..last), rng.random_range(DOWN))
    } else {
        (last + rng.random_range(LEAVING), rng.random_range(GONE))
    };
    let down = Millis(down);
    let kills = (0..nodes).map(|node| Act::Kill(node, down));
    steps.extend(kills.map(|act| Step {
        at: Millis(at),
        act,
    }));
    steps
}

fn fault(rng: &mut Pcg64Mcg, nodes: usize) -> Vec<Step> {
    let node = rng.random_range(0..nodes);
    let server = rng.random_range(0..ENGINES + PLAIN);
    let engine = rng.random_range(0..ENGINES);
    let short = Millis(rng.random_range(300..3_000));
    let long = Millis(rng.random_range(1_000..8_000));
    alone(match rng.random_range(0..18) {
        0..3 => Act::Stop(node),
        3 | 4 => Act::Kill(node, short),
        5 => Act::Pause(node, Millis(rng.random_range(400..7_000))),
        6 => Act::StoreLink(node, way(rng), long),
        7 => Act::StoreAway(way(rng), long),
        8 | 9 => Act::ServerLink(server, way(rng), short),
        10..13 => Act::Feel(server, mood(rng), long),
        13 => Act::Crash(server, short),
        14 | 15 => Act::Leave(engine),
        16 => return row(nodes, rng.random_range(500..4_000), Act::Stop),
        _ => {
            return row(nodes, rng.random_range(0..500), |node| {
                Act::Kill(node, short)
            });
        }
    })
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
