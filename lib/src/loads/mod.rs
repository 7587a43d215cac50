//! Permits to load an adapter from the weight store.
//!
//! The weight store serves a few loads per second for the whole deployment, and concurrent
//! loads slow each other down. One node, the owner of the pseudo-upstream [`WEIGHT_STORE`],
//! orders all loads by the number and urgency of the requests that wait for them.

mod queue;
mod shared;

pub use queue::{Limits, PermitQueue};
pub use shared::{Dependencies, SharedPermitQueue};

use std::fmt;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::name::Name;
use crate::request::Class;

/// Name under which the weight store's queue is owned, like an upstream.
pub const WEIGHT_STORE: &str = "weights";

/// A request for a permit to load an adapter, with the demand that decides its priority.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// The upstream that would load the adapter.
    pub upstream: Name,
    /// The adapter to load.
    pub adapter: Adapter,
    /// Class of the most urgent waiting request; `None` for a prefetch, which only gets
    /// spare capacity.
    pub class: Option<Class>,
    /// Number of waiting requests.
    pub waiters: u32,
    /// Sum of the weights of the waiting requests.
    pub weight: u32,
    /// How long the oldest request has waited.
    pub waited: Millis,
    /// Sum of the waiting requests' time to their deadlines, weighted by class.
    ///
    /// This is the stall time that the load can still save; see
    /// docs/design/0002-decisions.md.
    pub stall_savings: Millis,
}

/// A permit for one load; the queue continues when it is dropped or the outcome is
/// reported.
#[async_trait]
pub trait Permit: fmt::Debug + Send {
    /// Reports the outcome of the load.
    async fn done(self: Box<Self>, loaded: bool, took: Millis);
}

/// The weight store's queue, in this process or behind a peer connection.
#[async_trait]
pub trait PermitSource: fmt::Debug + Send + Sync {
    /// Waits for a permit to load; dropping the future cancels the request.
    ///
    /// The request may change while it waits, as more requests arrive or the most urgent
    /// one goes away.
    async fn acquire(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure>;
}
