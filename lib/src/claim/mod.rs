//! Claims on idempotency keys: a request that isn't idempotent runs at most once for each key.
//!
//! A claim is a key of the key-value service that must be absent when it is
//! written, before the request is first sent. Whoever comes second, at any node
//! and at any time, finds it. docs/design/0003-outcomes.md weighs where claims
//! could live and says what is promised without a key.

mod desk;
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

/// How claims are written and kept.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time that a request waits for its claim to be taken or given back.
    pub timeout: Millis,
    /// Shortest time that a claim is kept.
    pub retention: Millis,
    /// Transactions a second that all nodes together may spend on claims.
    pub writes_per_second: u32,
    /// Shortest time between two transactions of this node.
    pub min_write_interval: Millis,
    /// Most claims that wait at this node.
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

/// What claims need of the node's other parts.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Holds the claims.
    pub store: Arc<dyn Store>,
    /// Bounds how long they are kept.
    pub lease: Arc<dyn Lease>,
    /// Tells how many nodes share the service's rate.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// This node's name, for people who read a claim.
    pub node: Name,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// Bounds.
    pub limits: Limits,
}
