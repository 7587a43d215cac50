//! What happens in a story.

use quickcheck::{Arbitrary, Gen, single_shrinker};

/// Most nodes of a story.
pub const NODES: usize = 5;
/// Templates that changes are made to.
pub const TEMPLATES: usize = 4;

/// What a change does to the declarations that its node has learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Edit {
    /// Another weight for a template.
    Weight(usize),
    /// Another adapter version for a template.
    Version(usize),
    /// A template comes or goes.
    Toggle(usize),
    /// Very many differences at once.
    Bulk,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// An operator changes something at a node.
    Apply(usize, Edit),
    /// Two operators change something at two nodes at once.
    Race(usize, usize, Edit, Edit),
    /// Whoever got no certain answer asks again, with the same identity, at a node.
    Retry(usize),
    /// An operator uses an accepted change's identity again, for another change.
    Reuse(usize, Edit),
    /// An operator goes back by this many revisions.
    Rollback(usize, u64),
    /// The next writes take effect, but their answers are lost.
    LoseAnswers(u32),
    /// The next writes have no answer and take effect this many milliseconds later.
    DelayWrites(u32, u64),
    /// The service can't be reached.
    Down,
    /// The service is back. All watches are gone.
    Up,
    /// Each call takes this long, in milliseconds.
    Slow(u64),
    /// The next reads of a node are answered by a replica that is some writes behind.
    Stale(usize, u32, u64),
    /// Older changes can't be watched any more.
    Compact,
    /// A node is paused.
    Pause(usize),
    /// A node goes on.
    Resume(usize),
    /// A node starts anew, knowing nothing.
    Restart(usize),
    /// Nodes whose bit is set are cut off from the others and the service.
    Partition(u8),
    /// Lost messages between nodes, of 100.
    Loss(u32),
    /// All links and the service are well again.
    Heal,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = below(g, NODES);
        match below(g, 35) {
            0..=7 => Self::Wait([20, 200, 1_000, 4_000, 15_000][below(g, 5)]),
            8..=13 => Self::Apply(node, edit(g)),
            14..=15 => Self::Race(node, below(g, NODES), edit(g), edit(g)),
            16..=17 => Self::Retry(node),
            18 => Self::Rollback(node, 1 + below(g, 6) as u64),
            19..=20 => Self::LoseAnswers(1 + small(g, 3)),
            21 => Self::DelayWrites(1 + small(g, 2), [30, 400, 3_000][below(g, 3)]),
            22 => Self::Down,
            23 => Self::Up,
            24 => Self::Slow([0, 20, 300, 2_500][below(g, 4)]),
            25..=26 => Self::Stale(node, 1 + small(g, 6), 1 + below(g, 8) as u64),
            27 => Self::Compact,
            28 => Self::Pause(node),
            29 => Self::Resume(node),
            30 => Self::Restart(node),
            31 => Self::Partition(u8::arbitrary(g)),
            32 => Self::Loss([0, 20, 60][below(g, 3)]),
            33 => Self::Reuse(node, edit(g)),
            _ => Self::Heal,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Race(a, _, edit, _) => single_shrinker(Self::Apply(*a, *edit)),
            Self::Apply(node, edit) if *edit != Edit::Weight(0) => {
                single_shrinker(Self::Apply(*node, Edit::Weight(0)))
            }
            Self::Wait(span) if *span > 20 => single_shrinker(Self::Wait(span / 4)),
            _ => quickcheck::empty_shrinker(),
        }
    }
}

fn edit(g: &mut Gen) -> Edit {
    let template = below(g, TEMPLATES);
    match below(g, 12) {
        0..=5 => Edit::Weight(template),
        6..=7 => Edit::Version(template),
        8..=10 => Edit::Toggle(template),
        _ => Edit::Bulk,
    }
}

fn below(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

fn small(g: &mut Gen, bound: u32) -> u32 {
    u32::arbitrary(g) % bound
}
