//! The exchange by which nodes learn from one another what the key-value
//! service would tell them, at a cost that doesn't grow with the fleet.
//!
//! Each period a node swaps digests with one peer, and news goes at once to a
//! few. Parts whose state is spread stand behind [`GossipState`].
//! docs/design/0005-configuration.md weighs this against the other ways.

mod choice;
pub mod gossiper;
pub mod rank;

pub use gossiper::{Dependencies, Gossiper, Limits};

use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use futures::stream::BoxStream;

use crate::error::Failure;
use crate::name::Name;
use crate::schema::peer::{Delta, Digest, SnapshotPart};

/// A part whose state is spread between nodes: configuration, membership.
///
/// Each part reads and fills only its own fields of the messages. Learning the
/// same thing twice, late or out of order must change nothing.
pub trait GossipState: fmt::Debug + Send + Sync {
    /// Fills in what this node has.
    fn fill_digest(&self, digest: &mut Digest);

    /// Fills in what the sender of `theirs` lacks.
    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta);

    /// Takes over what is newer. Returns whether anything was news that peers should hear at once.
    fn merge_delta(&self, delta: &Delta) -> bool;
}

/// Answers a peer's exchange.
#[async_trait]
pub trait ExchangeHandler: fmt::Debug + Send + Sync {
    /// Learns from the digest and returns what the peer lacks.
    async fn handle_exchange(&self, digest: Digest) -> Delta;
}

/// A node to exchange with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node's name; empty for a seed whose name isn't known yet.
    pub name: Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its region, so that most exchanges stay inside one.
    pub region: Name,
}

/// Where the exchange finds out whom it can speak to.
///
/// Membership answers with the live nodes, and with the settings' seeds while
/// it knows of none.
pub trait PeerSource: fmt::Debug + Send + Sync {
    /// Lists the live nodes without this one, in any order.
    fn peers(&self) -> Vec<Peer>;
}

/// Carries exchanges to peers.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a digest and returns what this node lacks.
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure>;

    /// Reads a peer's whole configuration, part by part.
    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure>;
}

/// Gives a peer the whole configuration.
pub trait SnapshotSource: fmt::Debug + Send + Sync {
    /// Cuts the newest configuration into parts of at most a few hundred kilobytes.
    ///
    /// Parts are made as they are taken, so that a slow reader holds one part
    /// and not a copy of everything.
    fn parts(&self) -> Box<dyn Iterator<Item = SnapshotPart> + Send>;
}

/// Takes over the whole configuration that a peer gives.
pub trait SnapshotInstaller: fmt::Debug + Send + Sync {
    /// Whether this node lacks the revision.
    fn is_wanted(&self, revision: u64) -> bool;

    /// Takes over all parts of a snapshot. Returns whether it was news.
    fn install(&self, parts: Vec<SnapshotPart>) -> bool;
}
