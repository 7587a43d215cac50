//! Membership: which nodes and upstreams exist, and which node owns each upstream.

pub mod fleet;
pub mod gossip_state;
pub mod guard;
pub mod last_seen;
pub mod limits;
pub mod machine;
pub mod manager;
pub mod node;
pub mod ownership;
pub mod placement;
pub mod table;
pub mod upstreams;
pub mod witness;

pub use fleet::Fleet;
pub use gossip_state::NodeStatus;
pub use limits::Limits;
pub use manager::{Dependencies, MembershipManager};
pub use node::Identity;
pub use ownership::UpstreamOwnership;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::declaration::Pool;

/// Starts and stops to serve upstreams as this node gains and loses their ownership.
#[async_trait]
pub trait Adopter: fmt::Debug + Send + Sync {
    /// Starts to serve an upstream under an ownership. A second call replaces the ownership and the
    /// pool.
    async fn adopt(&self, upstream: fleet::Upstream, pool: Arc<Pool>, ownership: UpstreamOwnership);

    /// Stops to serve an upstream: queued requests fail as not run, running ones finish.
    ///
    /// Returns when no request runs any more, or when `limit` has passed.
    async fn release(&self, upstream: &str, limit: Millis);
}

/// Answers vote requests from peers that have this node as a witness.
#[async_trait]
pub trait VoteHandler: fmt::Debug + Send + Sync {
    /// Votes to support or withdraw an owner; for support, also tries to renew its lease.
    async fn handle_vote_request(&self, ask: witness::VoteRequest) -> witness::Vote;
}

/// Sends vote requests to witnesses.
#[async_trait]
pub trait VoteClient: fmt::Debug + Send + Sync {
    /// Returns the peer's vote, or `None` if no response came in time.
    async fn request_vote(
        &self,
        peer: SocketAddr,
        ask: witness::VoteRequest,
    ) -> Option<witness::Vote>;
}

/// Collects the failures that owners see at their upstreams, so that failing upstreams are
/// suspended.
pub trait FailureDetector: fmt::Debug + Send + Sync {
    /// Records that an upstream couldn't be reached or broke a connection.
    fn record_failure(&self, upstream: &str);

    /// Records that an upstream responded.
    fn record_success(&self, upstream: &str);
}
