//! Claims on idempotency keys: a request that isn't idempotent runs at most once per key.
//!
//! A claim is an entry of the key-value service that is written, before the
//! request is first sent, on condition that its key is absent. A later request
//! with the same key finds it at any node and at any time.
//! docs/design/0003-outcomes.md compares the places where claims could be kept
//! and says what is guaranteed without a key.

mod actor;
mod manager;
mod record;
mod writer;

pub use manager::{Claim, ClaimManager};
pub use record::{ClaimRecord, digest};

use std::sync::Arc;

use tokio::sync::watch;

use crate::clock::{Clock, Millis};
use crate::membership::Fleet;
use crate::name::Name;
use crate::ports::{Lease, Store};

/// Timeouts, retention and rate limits of claims.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time that a request waits for its claim to be acquired or released.
    pub timeout: Millis,
    /// Shortest time that a claim is kept.
    pub retention: Millis,
    /// Transactions per second that all nodes together may spend on claims.
    pub writes_per_second: u32,
    /// Shortest pause after one of this node's batches before the next.
    pub min_write_interval: Millis,
    /// Most claims queued at this node.
    pub max_waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            timeout: Millis::from_secs(3),
            retention: Millis::from_secs(12 * 60 * 60),
            writes_per_second: 200,
            min_write_interval: Millis(20),
            max_waiting: 512,
        }
    }
}

/// The parts of the node that claims depend on.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Stores the claims.
    pub store: Arc<dyn Store>,
    /// Grants the leases that bound how long claims are kept.
    pub lease: Arc<dyn Lease>,
    /// Gives the number of nodes that share the service's write rate.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// This node's name, recorded in each claim for people who read it.
    pub node: Name,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// Timeouts, retention and rate limits.
    pub limits: Limits,
}
