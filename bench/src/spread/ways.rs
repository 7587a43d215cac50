//! The ways weighed in docs/design/0005-configuration.md.

use chivevalve::clock::Millis;
use chivevalve::{config, gossip};

use super::site::Way;

/// Longer than any run: what never happens.
const NEVER: Millis = Millis::from_secs(1_000_000);

/// A way by which a change reaches all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Each node watches the service.
    Watch,
    /// Each node reads the head each second.
    Poll,
    /// A few nodes watch, and peers exchange: what the product does.
    Gossip,
    /// The node that wrote the change sends it to each other node; a few watch.
    Broadcast,
}

impl Kind {
    /// All ways.
    pub const ALL: [Self; 4] = [Self::Watch, Self::Poll, Self::Gossip, Self::Broadcast];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Poll => "poll",
            Self::Gossip => "gossip",
            Self::Broadcast => "broadcast",
        }
    }

    /// Returns how nodes are set.
    pub fn way(self) -> Way {
        let config = config::Limits::default();
        match self {
            Self::Watch => Way {
                config: config::Limits {
                    watchers_per_region: usize::MAX,
                    ..config
                },
                gossip: None,
            },
            Self::Poll => Way {
                config: config::Limits {
                    watchers_per_region: 0,
                    max_unconfirmed_age: Millis::from_secs(1),
                    ..config
                },
                gossip: None,
            },
            Self::Gossip => Way {
                config,
                gossip: Some(gossip::Limits::default()),
            },
            // Real receivers; the sending to all is the bench's own.
            Self::Broadcast => Way {
                config,
                gossip: Some(gossip::Limits {
                    interval: NEVER,
                    bootstrap_interval: NEVER,
                    fanout: 0,
                    ..gossip::Limits::default()
                }),
            },
        }
    }
}
