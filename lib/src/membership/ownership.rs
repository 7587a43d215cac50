//! Leased ownership of an upstream, bounded in time by this node's own clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::ports::Fence;

/// A claim on an upstream, checked just before each order.
///
/// A lease can lapse while this process is paused: the order then leaves long
/// after the check that allowed it, and the upstream sees two owners. Reading
/// the clock again just before each order bounds the window to one system call;
/// the fencing token closes it for upstreams that check tokens.
#[derive(Debug, Clone)]
pub struct UpstreamOwnership {
    token: u64,
    until: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl UpstreamOwnership {
    /// Makes a hold whose bound the node's lease keeper moves through `until`.
    #[must_use]
    pub fn new(token: u64, until: Arc<AtomicU64>, clock: Arc<dyn Clock>) -> Self {
        Self {
            token,
            until,
            clock,
        }
    }

    /// Returns the claim's fencing token.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns when the lease on the upstream ends, on this node's monotonic clock.
    #[must_use]
    pub fn until(&self) -> Millis {
        Millis(self.until.load(Ordering::Acquire))
    }

    /// Returns the fence for an order that leaves now.
    ///
    /// # Errors
    ///
    /// [`Code::NotOwner`] when the bound has passed.
    pub fn fence(&self) -> Result<Fence, Failure> {
        if self.clock.now() < self.until() {
            return Ok(Fence { token: self.token });
        }
        Err(Failure::new(Code::NotOwner, "this node's lease has lapsed"))
    }
}
