//! Which few nodes of a region do something for all of them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peer;

/// Seed of the ranking. Nodes of different releases must agree, so it stays.
const SEED: u64 = 0x7761_7463_6865_7273;

/// Whether a node is among the first `count` of its region.
///
/// The order is a rendezvous hash of the names: nodes that see the same peers
/// agree without a message, and a node that comes or goes moves one place. While
/// pictures differ, one too many or one too few do it, which must be harmless.
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
    xxh3_64_with_seed(name.as_bytes(), SEED)
}
