//! Parts that need one another before both exist.
//!
//! Owners need leave to load, the load queue needs to know who owns what, and
//! membership needs the owners. One of each circle is reached through a slot
//! that is filled before the node serves; until then the answer is what it
//! would be while the other part knows nothing.

use std::fmt;
use std::sync::{Arc, OnceLock};

use async_trait::async_trait;
use tokio::sync::watch;

use crate::error::{Code, Failure};
use crate::gossip::{Peer, Peers};
use crate::loads::{Ask, Permit, Permits};
use crate::membership::Detector;

/// A part that is filled in once.
pub struct Late<T: ?Sized>(OnceLock<Arc<T>>);

impl<T: ?Sized> Late<T> {
    /// Makes an empty slot.
    pub fn new() -> Arc<Self> {
        Arc::new(Self(OnceLock::new()))
    }

    /// Fills the slot; only the first call counts.
    pub fn fill(&self, part: Arc<T>) {
        // The node's start fills each slot in one place, so a second is impossible.
        let _ = self.0.set(part);
    }
}

impl<T: ?Sized> fmt::Debug for Late<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Late")
            .field("filled", &self.0.get().is_some())
            .finish()
    }
}

#[async_trait]
impl Permits for Late<dyn Permits> {
    async fn acquire(&self, ask: watch::Receiver<Ask>) -> Result<Box<dyn Permit>, Failure> {
        match self.0.get() {
            Some(permits) => permits.acquire(ask).await,
            None => Err(Failure::new(Code::NotReady, "the node is starting")),
        }
    }
}

impl Detector for Late<dyn Detector> {
    fn failed(&self, upstream: &str) {
        if let Some(detector) = self.0.get() {
            detector.failed(upstream);
        }
    }

    fn answered(&self, upstream: &str) {
        if let Some(detector) = self.0.get() {
            detector.answered(upstream);
        }
    }
}

impl Peers for Late<dyn Peers> {
    fn peers(&self) -> Vec<Peer> {
        self.0.get().map_or_else(Vec::new, |peers| peers.peers())
    }
}
