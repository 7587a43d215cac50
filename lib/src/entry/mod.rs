//! Callers' entry: HTTP server, authentication, limits, dispatch and responses.
//!
//! docs/callers.md describes this module for callers, docs/errors.md lists the error codes, and
//! docs/design/0003-outcomes.md specifies how each request ends.

mod admission;
mod answer;
mod completion;
mod connection;
mod dispatch;
mod gateway;
mod idempotency;
mod json;
mod key;
mod limits;
mod messages;
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

/// The parts of the node that the entry depends on.
#[derive(Debug)]
pub struct Dependencies {
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams and their owners.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Returns the runner for an upstream's owner.
    pub reach: Arc<dyn Reach>,
    /// Holds the claims on idempotency keys.
    pub store: Arc<dyn Store>,
    /// Grants the leases that bound how long the claims are kept.
    pub lease: Arc<dyn Lease>,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: Arc<Quarantine>,
    /// This node's name, which is recorded in its claims.
    pub node: Name,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Limits on callers' use of resources.
    pub limits: Limits,
    /// Seed of the jitter of backoffs and of placement.
    pub seed: u64,
}
