//! Sequences of faults, and how they are shrunk.

use std::fmt;

use quickcheck::{Arbitrary, Gen};

/// One thing that happens; then time passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing but time.
    Wait(u16),
    /// A node's process stops running and goes on later.
    Pause(u8, u16),
    /// A node's process dies and is started again later, under its name.
    Kill(u8, u16),
    /// A node is stopped in the planned way and started again later.
    Drain(u8, u16),
    /// The key-value service answers nobody.
    ServiceDown(u16),
    /// The key-value service doesn't answer one node.
    ServiceCut(u8, u16),
    /// Nodes of the mask and the others don't hear each other.
    Split(u8, u16),
    /// The service hears only the nodes of the mask.
    ServiceSplit(u8, u16),
    /// Messages get lost: this many in 100.
    Loss(u8, u16),
    /// Messages to the service arrive late: this many in 100.
    Late(u8, u16),
    /// The service answers from replicas that lag.
    Stale(u16),
    /// An upstream comes or goes on the list of VMs.
    Upstream(u8),
    /// An upstream is marked leaving, and goes later.
    Leave(u8),
    /// The list of VMs comes back empty or cut short.
    BadList(u8, u16),
    /// An engine starts anew.
    Engine(u8),
    /// Callers send requests to a node: adapter and kind by the second number.
    Request(u8, u8),
}

/// A world and what happens in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Story {
    /// Seed of all delays and jitter.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: u8,
    /// Number of upstreams at the start.
    pub upstreams: u8,
    /// Number of regions.
    pub regions: u8,
    /// What happens.
    pub steps: Vec<Step>,
}

fn below(g: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(g) % limit
}

fn span(g: &mut Gen, limit: u64) -> u16 {
    u16::try_from(below(g, limit)).unwrap_or(u16::MAX)
}

fn small(g: &mut Gen, limit: u64) -> u8 {
    u8::try_from(below(g, limit)).unwrap_or(u8::MAX)
}

/// Numbers that steps are drawn by; a likelier step has more of them.
const KINDS: u64 = 40;

impl Step {
    fn of(kind: u64, g: &mut Gen) -> Self {
        let node = small(g, 8);
        match kind {
            0..=3 => Self::Wait(span(g, 4000)),
            4..=6 => Self::Pause(node, span(g, 9000)),
            7..=8 => Self::Kill(node, span(g, 9000)),
            9..=10 => Self::Drain(node, span(g, 5000)),
            11..=12 => Self::ServiceDown(span(g, 14_000)),
            13..=14 => Self::ServiceCut(node, span(g, 14_000)),
            15..=16 => Self::Split(u8::arbitrary(g), span(g, 9000)),
            17..=18 => Self::ServiceSplit(u8::arbitrary(g), span(g, 14_000)),
            19 => Self::Loss(small(g, 60), span(g, 6000)),
            20 => Self::Late(small(g, 60), span(g, 6000)),
            21 => Self::Stale(span(g, 6000)),
            22 => Self::Upstream(small(g, 8)),
            23 => Self::Leave(small(g, 8)),
            24 => Self::BadList(small(g, 4), span(g, 6000)),
            25..=26 => Self::Engine(small(g, 8)),
            _ => Self::Request(node, u8::arbitrary(g)),
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = below(g, KINDS);
        Self::of(kind, g)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Wait(span) => Box::new(span.shrink().map(Self::Wait)),
            Self::Pause(node, span) => {
                Box::new(span.shrink().map(move |span| Self::Pause(node, span)))
            }
            Self::Kill(node, span) => {
                Box::new(span.shrink().map(move |span| Self::Kill(node, span)))
            }
            Self::ServiceDown(span) => Box::new(span.shrink().map(Self::ServiceDown)),
            _ => Box::new(std::iter::empty()),
        }
    }
}

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = 10 + small(g, 40);
        // Half of the stories use only a few kinds of steps, so that faults which
        // must come together often do.
        let themed = bool::arbitrary(g);
        let few = 2 + below(g, 5);
        let theme: Vec<u64> = (0..few).map(|_| below(g, KINDS)).collect();
        let step = |g: &mut Gen| match g.choose(&theme) {
            Some(kind) if themed => Step::of(*kind, g),
            _ => Step::arbitrary(g),
        };
        Self {
            seed: u64::arbitrary(g),
            nodes: 2 + small(g, 5),
            upstreams: 1 + small(g, 4),
            regions: 1 + small(g, 2),
            steps: (0..steps).map(|_| step(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let story = self.clone();
        let steps = self.steps.shrink().map(move |steps| Self {
            steps,
            ..story.clone()
        });
        Box::new(steps)
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} nodes, {} upstreams, {} regions",
            self.seed, self.nodes, self.upstreams, self.regions
        )?;
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step:?}", number + 1)?;
        }
        Ok(())
    }
}
