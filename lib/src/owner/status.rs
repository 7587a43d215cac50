//! What operators see of an owned upstream.

use serde::Serialize;

use crate::name::Name;

/// An adapter in a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Slot {
    /// Adapter and version.
    pub adapter: String,
    /// Requests that run on it; it isn't evicted while there are any.
    pub pins: u32,
}

/// One owned upstream; at most a report's period old.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The upstream's name.
    pub upstream: Name,
    /// Its pool.
    pub pool: Name,
    /// Fencing token of the claim.
    pub token: u64,
    /// Whether the right to give orders holds now.
    pub held: bool,
    /// Whether it can't be reached.
    pub failing: bool,
    /// Whether it takes no new work: it leaves or is handed over.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests that run there but were started by another owner.
    pub foreign: u32,
    /// Requests waiting, by class from urgent to bulk.
    pub waiting: [u32; 3],
    /// Most requests running at a time.
    pub batch: u32,
    /// Adapters in slots.
    pub resident: Vec<Slot>,
    /// Adapters being loaded.
    pub loading: Vec<String>,
    /// Adapters that wait for leave to load.
    pub asked: Vec<String>,
    /// Milliseconds since the engine last said what it holds; none before the first time.
    pub report_age_ms: Option<u64>,
}
