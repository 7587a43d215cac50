//! Who is there: nodes, upstreams, and which node owns which upstream.

pub mod fleet;
pub mod hold;

pub use fleet::Fleet;
pub use hold::Hold;

use std::fmt;
use std::sync::Arc;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::declaration::Pool;
use crate::platform::LeaseId;

/// Takes charge of upstreams as this node gains and loses them.
#[async_trait]
pub trait Adopter: fmt::Debug + Send + Sync {
    /// Starts to serve an upstream under a hold. Adopting again replaces the hold or the pool.
    async fn adopt(&self, upstream: fleet::Upstream, pool: Arc<Pool>, hold: Hold);

    /// Stops to serve an upstream: waiting requests end as not run, running ones finish.
    ///
    /// Returns when nothing runs any more, or when `limit` has passed.
    async fn release(&self, upstream: &str, limit: Millis);
}

/// Renews the lease of a node that can't reach the key-value service itself.
#[async_trait]
pub trait Renewal: fmt::Debug + Send + Sync {
    /// Returns the age of the service's word when it was renewed, or none.
    async fn renew(&self, node: &str, lease: LeaseId) -> Option<Millis>;
}
