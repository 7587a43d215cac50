//! Anti-entropy exchange between nodes, for what they would otherwise learn from the
//! key-value service. Its cost per node doesn't grow with the number of nodes.
//!
//! At each interval a node exchanges digests with one peer. Changes are also pushed to a few
//! peers at once. Each kind of replicated state implements [`GossipState`].
//! docs/design/0005-configuration.md compares this with the alternatives.

pub mod gossiper;
mod peer_selector;
pub mod rank;

pub use gossiper::{Dependencies, Gossiper, Limits};

use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use futures::stream::BoxStream;

use crate::error::Failure;
use crate::name::Name;
use crate::schema::peer::{Delta, Digest, SnapshotPart};

/// State that nodes replicate by gossip, such as configuration and membership.
///
/// Each implementation reads and fills only its own fields of the messages. `merge_delta` is
/// idempotent: a delta that arrives again, late or out of order changes nothing.
pub trait GossipState: fmt::Debug + Send + Sync {
    /// Fills in the digest of this node's state.
    fn fill_digest(&self, digest: &mut Digest);

    /// Fills in what the sender of `theirs` lacks.
    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta);

    /// Merges what is newer in `delta`. Returns whether anything changed that should be pushed
    /// to peers at once.
    fn merge_delta(&self, delta: &Delta) -> bool;
}

/// Handles exchanges that peers start.
#[async_trait]
pub trait ExchangeHandler: fmt::Debug + Send + Sync {
    /// Merges what the digest carries and returns what the peer lacks.
    async fn handle_exchange(&self, digest: Digest) -> Delta;
}

/// A node to exchange with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node's name; empty for a seed peer whose name isn't known yet.
    pub name: Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its region; most exchanges stay within one region.
    pub region: Name,
}

/// Lists the peers that gossip may exchange with.
///
/// Membership implements this: it lists the live nodes, or the seed peers of the settings while
/// it knows no live node.
pub trait PeerSource: fmt::Debug + Send + Sync {
    /// Lists the live nodes except this one, in any order.
    fn peers(&self) -> Vec<Peer>;
}

/// Sends exchanges to peers.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a digest and returns what this node lacks.
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure>;

    /// Streams a snapshot of a peer's configuration.
    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure>;
}

/// Produces snapshots of the configuration for peers.
pub trait SnapshotSource: fmt::Debug + Send + Sync {
    /// Splits the newest configuration into parts of at most a few hundred kilobytes.
    ///
    /// The iterator builds each part on demand, so that a slow reader costs the memory of one
    /// part rather than of the whole snapshot.
    fn parts(&self) -> Box<dyn Iterator<Item = SnapshotPart> + Send>;
}

/// Installs snapshots of the configuration from peers.
pub trait SnapshotInstaller: fmt::Debug + Send + Sync {
    /// Whether this node lacks the revision.
    fn is_wanted(&self, revision: u64) -> bool;

    /// Installs all parts of a snapshot. Returns whether the configuration changed.
    fn install(&self, parts: Vec<SnapshotPart>) -> bool;
}
