//! Permits to load an adapter from the weight store.
//!
//! The store gives a few loads a second to the whole deployment, and two loads
//! at once slow each other down. One node, the owner of the pseudo-upstream
//! [`WEIGHT_STORE`], orders all loads by who waits and how urgently.

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

/// What the queue needs to know to order a load.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// The upstream that would load it.
    pub upstream: Name,
    /// What would be loaded.
    pub adapter: Adapter,
    /// Class of the most urgent waiter; none is a prefetch, which gets only what is left.
    pub class: Option<Class>,
    /// How many requests wait for it.
    pub waiters: u32,
    /// Sum of the waiters' weights.
    pub weight: u32,
    /// How long the oldest waiter has waited.
    pub waited: Millis,
    /// Time that the waiters have left before their deadlines, summed, each times its class's factor.
    ///
    /// It is the stall that the load can still save; see docs/design/0002-decisions.md.
    pub stall_savings: Millis,
}

/// A permit for one load; the queue goes on when it is dropped or told of the outcome.
#[async_trait]
pub trait Permit: fmt::Debug + Send {
    /// Tells how the load ended.
    async fn done(self: Box<Self>, loaded: bool, took: Millis);
}

/// The queue of the weight store, in this process or behind a peer connection.
#[async_trait]
pub trait PermitSource: fmt::Debug + Send + Sync {
    /// Waits for a permit to load; dropping the future takes the ask back.
    ///
    /// The ask may change while it waits: more requests come, or the most
    /// urgent one goes away.
    async fn acquire(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure>;
}
