//! When this node last heard of each other node, to choose peers and to show to operators.
//!
//! Ownership doesn't depend on it: ages are relayed through other nodes and may be too low by
//! the transit time of the messages.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Name;
use crate::schema::peer;

/// Heartbeats in one message; the next message continues after them.
const MAX_HEARTBEATS_PER_MESSAGE: usize = 24;
/// Age at which a node's last heartbeat is dropped.
const HEARTBEAT_TTL: Millis = Millis::from_secs(600);

/// The latest heartbeat of a node, received from it or relayed by another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The node's incarnation.
    pub incarnation: u64,
    /// When the node was alive, on this node's clock.
    pub at: Millis,
    /// Whether it is draining.
    pub draining: bool,
}

/// The latest heartbeat of each node.
#[derive(Debug, Default)]
pub struct LastSeen {
    heartbeats: BTreeMap<Name, Heartbeat>,
    last_shared: Option<Name>,
}

impl LastSeen {
    /// Records a heartbeat, unless a newer one is known.
    pub fn record(&mut self, node: &str, heartbeat: Heartbeat) {
        if self
            .heartbeats
            .get(node)
            .is_some_and(|known| known.at >= heartbeat.at)
        {
            return;
        }
        self.heartbeats.insert(Name::from(node), heartbeat);
    }

    /// Returns the latest heartbeat of a node.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<Heartbeat> {
        self.heartbeats.get(node).copied()
    }

    /// Returns the next heartbeats to send to a peer, in rotation over all nodes.
    pub fn next_batch(&mut self, now: Millis) -> Vec<peer::Heard> {
        self.heartbeats
            .retain(|_, heartbeat| now.since(heartbeat.at) < HEARTBEAT_TTL);
        let previous = self.last_shared.clone();
        let after = self
            .heartbeats
            .iter()
            .filter(|(name, _)| Some(*name) > previous.as_ref());
        let batch: Vec<(&Name, &Heartbeat)> = after.take(MAX_HEARTBEATS_PER_MESSAGE).collect();
        self.last_shared = if batch.len() < MAX_HEARTBEATS_PER_MESSAGE {
            None
        } else {
            batch.last().map(|(name, _)| (*name).clone())
        };
        batch
            .into_iter()
            .map(|(name, heartbeat)| peer::Heard {
                node: name.to_string(),
                incarnation: heartbeat.incarnation,
                age_ms: u32::try_from(now.since(heartbeat.at).0).unwrap_or(u32::MAX),
                draining: heartbeat.draining,
            })
            .collect()
    }
}
