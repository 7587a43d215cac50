//! When this node last heard of others, for routing exchanges and for operators.
//!
//! Nothing of ownership rests on it: ages pass through other nodes and may be
//! too young by the time that messages took.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Name;
use crate::schema::peer;

/// Nodes whose ages go into one message; the next message goes on from there.
const TOLD: usize = 24;
/// After this time a silent node is forgotten.
const FORGOTTEN: Millis = Millis::from_secs(600);

/// The latest heartbeat of a node, heard first-hand or through another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Which start of the node.
    pub incarnation: u64,
    /// When the node was alive, on this node's clock.
    pub at: Millis,
    /// Whether it is stopping.
    pub draining: bool,
}

/// When each node was last heard of, by this node or by one that told it.
#[derive(Debug, Default)]
pub struct LastSeen {
    heartbeats: BTreeMap<Name, Heartbeat>,
    told_up_to: Option<Name>,
}

impl LastSeen {
    /// Takes a heartbeat; one that is no newer than the last changes nothing.
    pub fn note(&mut self, node: &str, heartbeat: Heartbeat) {
        if self
            .heartbeats
            .get(node)
            .is_some_and(|known| known.at >= heartbeat.at)
        {
            return;
        }
        self.heartbeats.insert(Name::from(node), heartbeat);
    }

    /// Returns the last heartbeat of a node.
    #[must_use]
    pub fn of(&self, node: &str) -> Option<Heartbeat> {
        self.heartbeats.get(node).copied()
    }

    /// Picks the nodes to tell of, in turns.
    pub fn tell(&mut self, now: Millis) -> Vec<peer::Heard> {
        self.heartbeats
            .retain(|_, heartbeat| now.since(heartbeat.at) < FORGOTTEN);
        let from = self.told_up_to.clone();
        let after = self
            .heartbeats
            .iter()
            .filter(|(name, _)| Some(*name) > from.as_ref());
        let told: Vec<(&Name, &Heartbeat)> = after.take(TOLD).collect();
        self.told_up_to = if told.len() < TOLD {
            None
        } else {
            told.last().map(|(name, _)| (*name).clone())
        };
        told.into_iter()
            .map(|(name, heartbeat)| peer::Heard {
                node: name.to_string(),
                incarnation: heartbeat.incarnation,
                age_ms: u32::try_from(now.since(heartbeat.at).0).unwrap_or(u32::MAX),
                draining: heartbeat.draining,
            })
            .collect()
    }
}
