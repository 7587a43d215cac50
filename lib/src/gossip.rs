//! The exchange by which nodes learn from one another what the key-value
//! service would tell them, at a cost that doesn't grow with the fleet.
//!
//! Each period a node swaps digests with one peer, and news goes at once to a
//! few. Parts whose state is spread stand behind [`Share`].

use std::fmt;

use async_trait::async_trait;

use crate::schema::peer::{Delta, Digest};

/// A part whose state is spread between nodes: configuration, membership.
///
/// Each part reads and fills only its own fields of the messages. Learning the
/// same thing twice, late or out of order must change nothing.
pub trait Share: fmt::Debug + Send + Sync {
    /// Fills in what this node has.
    fn digest(&self, digest: &mut Digest);

    /// Fills in what the sender of `theirs` lacks.
    fn answer(&self, theirs: &Digest, delta: &mut Delta);

    /// Takes over what is newer. Returns whether anything was news that peers should hear at once.
    fn learn(&self, delta: &Delta) -> bool;
}

/// Answers a peer's exchange.
#[async_trait]
pub trait Exchange: fmt::Debug + Send + Sync {
    /// Learns from the digest and returns what the peer lacks.
    async fn exchange(&self, digest: Digest) -> Delta;
}
