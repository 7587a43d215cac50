//! Who is there: nodes, upstreams, and which node owns which upstream.

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

/// Takes charge of upstreams as this node gains and loses them.
#[async_trait]
pub trait Adopter: fmt::Debug + Send + Sync {
    /// Starts to serve an upstream under a hold. Adopting again replaces the hold or the pool.
    async fn adopt(&self, upstream: fleet::Upstream, pool: Arc<Pool>, ownership: UpstreamOwnership);

    /// Stops to serve an upstream: waiting requests end as not run, running ones finish.
    ///
    /// Returns when nothing runs any more, or when `limit` has passed.
    async fn release(&self, upstream: &str, limit: Millis);
}

/// Votes for peers that ask this node as their witness.
#[async_trait]
pub trait VoteHandler: fmt::Debug + Send + Sync {
    /// Renews the asking node's lease if this node can, and supports it or withdraws.
    async fn handle_vote_request(&self, ask: witness::VoteRequest) -> witness::Vote;
}

/// Asks a peer as a witness, over the peer's connection.
#[async_trait]
pub trait VoteClient: fmt::Debug + Send + Sync {
    /// Returns the peer's vote, or none when no answer came in time.
    async fn request_vote(
        &self,
        peer: SocketAddr,
        ask: witness::VoteRequest,
    ) -> Option<witness::Vote>;
}

/// Detects failed upstreams from what their owners meet, so that one which fails is held out.
pub trait FailureDetector: fmt::Debug + Send + Sync {
    /// An upstream couldn't be reached, or broke a connection.
    fn record_failure(&self, upstream: &str);

    /// An upstream answered.
    fn record_success(&self, upstream: &str);
}
