//! Where callers come in: HTTP, keys, limits, dispatch and the way back.
//!
//! docs/callers.md is the callers' side of this module; docs/errors.md lists
//! the codes; docs/design/0003-outcomes.md says how each request ends.

mod admission;
mod answer;
mod body;
mod completion;
mod connection;
mod dispatch;
mod gateway;
mod idempotency;
mod json;
mod key;
mod limits;
mod models;
pub mod quarantine;
mod relay;
mod route;
mod server;
mod service;
mod session;
mod sse;

pub use limits::Limits;
pub use quarantine::Quarantine;
pub use server::serve;

use std::sync::Arc;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::View;
use crate::membership::Fleet;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Lease, Store};
use crate::runner::Reach;

/// What the entry needs of the node's other parts.
#[derive(Debug)]
pub struct Dependencies {
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams and their owners.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Runners of the owners.
    pub reach: Arc<dyn Reach>,
    /// Holds the claims on idempotency keys.
    pub store: Arc<dyn Store>,
    /// Bounds how long the claims are kept.
    pub lease: Arc<dyn Lease>,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// What is known of requests that end upstreams.
    pub quarantine: Arc<Quarantine>,
    /// This node's name, for the marks of its claims.
    pub node: Name,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds on what callers may use up.
    pub limits: Limits,
    /// Seed of the jitter of pauses.
    pub seed: u64,
}
