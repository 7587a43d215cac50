//! Ownership of an upstream, limited in time on this node's own clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::ports::Fence;

/// Ownership of an upstream under a claim, checked right before each order.
///
/// A lease can expire while this process is paused. An order that was allowed by an
/// earlier check would then be sent long after it, and the upstream would see two
/// owners. Reading the clock again right before each order limits the window to one
/// system call; the fencing token closes it for upstreams that check tokens.
#[derive(Debug, Clone)]
pub struct UpstreamOwnership {
    token: u64,
    until: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl UpstreamOwnership {
    /// Creates the ownership; the membership machine moves its end through `until`.
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

    /// Returns when the ownership ends, on this node's monotonic clock.
    #[must_use]
    pub fn until(&self) -> Millis {
        Millis(self.until.load(Ordering::Acquire))
    }

    /// Returns the fence for an order that is sent now.
    ///
    /// # Errors
    ///
    /// [`Code::NotOwner`] if the ownership has ended.
    pub fn fence(&self) -> Result<Fence, Failure> {
        if self.clock.now() < self.until() {
            return Ok(Fence { token: self.token });
        }
        Err(Failure::new(Code::NotOwner, "this node's lease has lapsed"))
    }
}
