//! The promises, as simply as they can be held.

use std::fmt;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// When, in the world's milliseconds.
    pub at: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {:?}: {}", self.at, self.promise, self.detail)
    }
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An order is given only under the claim that the service holds.
    OneOwner,
    /// When all faults are over, each upstream has an owner again.
    Recovery,
    /// A request runs on the adapter and version that it names.
    RightAdapter,
    /// An adapter that a running request uses isn't unloaded.
    Pinned,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// What was refused as not run never ran.
    NotRun,
    /// A request that isn't idempotent runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after three seconds.
    Leaving,
    /// A list that lacks many at once is rejected.
    Panic,
    /// A planned stop cuts off no request.
    Graceful,
    /// A planned handover begins no sooner than the upstream was released.
    Handover,
}
