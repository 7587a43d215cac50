//! Status of an owned upstream, as shown to operators.

use serde::Serialize;

use crate::name::Name;

/// An adapter in a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Slot {
    /// The adapter's name and version.
    pub adapter: String,
    /// Requests that run on it; it is only evicted when there are none.
    pub pins: u32,
}

/// Status of one owned upstream; at most one report interval old.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The upstream's name.
    pub upstream: Name,
    /// The upstream's pool.
    pub pool: Name,
    /// Fencing token of the claim.
    pub token: u64,
    /// Whether the lease that allows sending orders is valid.
    pub held: bool,
    /// Whether it gets no work because it couldn't be reached.
    pub failing: bool,
    /// Whether it takes no new work because it is leaving or being released.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that run there but were started by another owner.
    pub foreign: u32,
    /// Number of waiting requests by class, from urgent to bulk.
    pub waiting: [u32; 3],
    /// Most requests that run at a time.
    pub batch: u32,
    /// Adapters in slots.
    pub resident: Vec<Slot>,
    /// Adapters being loaded.
    pub loading: Vec<String>,
    /// Adapters that wait for a permit to load.
    pub asked: Vec<String>,
    /// Milliseconds since the engine's last report; `None` before the first one.
    pub report_age_ms: Option<u64>,
}
