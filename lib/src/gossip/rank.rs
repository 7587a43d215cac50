//! Chooses the few nodes of a region that do a task for all nodes in it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peer;

/// Seed of the rendezvous hash. Nodes of different releases must compute the same order, so it
/// must not change.
const RANK_SEED: u64 = 0x7761_7463_6865_7273;

/// Whether a node is among the first `count` of its region.
///
/// Nodes are ordered by a rendezvous hash of their names. Nodes that see the same peers agree
/// without a message, and a node that joins or leaves shifts the others by at most one position.
/// While nodes see different peers, one too many or one too few may be chosen, so the task must
/// tolerate that.
#[must_use]
pub fn ranks_among_first(node: &str, region: &str, peers: &[Peer], count: usize) -> bool {
    let own = rank(node);
    let before = peers
        .iter()
        .filter(|peer| &*peer.region == region && &*peer.name != node)
        .filter(|peer| (rank(&peer.name), &*peer.name) < (own, node))
        .count();
    before < count
}

fn rank(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), RANK_SEED)
}
