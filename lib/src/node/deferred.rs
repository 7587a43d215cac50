//! Parts that are set after the parts that use them were made.
//!
//! Owners need permits to load, the load queue needs to know who owns what, and
//! membership needs the owners, so no order of construction has every part ready
//! for the next. The part that comes last is handed out as a cell that is set
//! before the node serves; until then the cell answers as the part would while it
//! knows nothing.

use std::sync::{Arc, OnceLock};

use async_trait::async_trait;
use tokio::sync::watch;

use crate::error::{Code, Failure};
use crate::gossip::{Peer, PeerSource};
use crate::loads::{Permit, PermitRequest, PermitSource};
use crate::membership::FailureDetector;
use crate::owner::RoutingCheck;
use crate::request::Ticket;

/// A part that is set once, in the node's start.
pub type Deferred<T> = Arc<OnceLock<Arc<T>>>;

#[async_trait]
impl PermitSource for OnceLock<Arc<dyn PermitSource>> {
    async fn acquire(
        &self,
        ask: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        match self.get() {
            Some(permits) => permits.acquire(ask).await,
            None => Err(Failure::new(Code::NotReady, "the node is starting")),
        }
    }
}

impl FailureDetector for OnceLock<Arc<dyn FailureDetector>> {
    fn record_failure(&self, upstream: &str) {
        if let Some(detector) = self.get() {
            detector.record_failure(upstream);
        }
    }

    fn record_success(&self, upstream: &str) {
        if let Some(detector) = self.get() {
            detector.record_success(upstream);
        }
    }
}

impl RoutingCheck for OnceLock<Arc<dyn RoutingCheck>> {
    fn is_current(&self, ticket: &Ticket) -> bool {
        self.get().is_none_or(|routing| routing.is_current(ticket))
    }
}

impl PeerSource for OnceLock<Arc<dyn PeerSource>> {
    fn peers(&self) -> Vec<Peer> {
        self.get().map_or_else(Vec::new, |peers| peers.peers())
    }
}
