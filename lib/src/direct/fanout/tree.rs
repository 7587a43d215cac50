//! The tree in which the nodes of a failure domain subscribe to each other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::view::State;
use crate::name::Name;

/// Seed of the hash that ranks the nodes of a failure domain. All nodes must have the same.
const RANK_SEED: u64 = 0x666f_6c6c_6f77;

/// Number of nodes of a failure domain that poll the service; two, so that one may fail.
const LEADERS: usize = 2;

/// Number of nodes that subscribe to one node.
///
/// Updates come in bursts, and a node on a slow link that sends them to many others delays the
/// streams of its own callers. With three subscribers each, forty nodes form a tree of three
/// levels.
pub(super) const SUBSCRIBERS_PER_NODE: usize = 3;

/// Minimum number of nodes of a failure domain for passing changes on.
///
/// With fewer nodes, the calls saved matter less than receiving changes directly.
const MIN_NODES: usize = 8;

/// Returns the nodes of a failure domain by rank, in an order that all nodes share.
///
/// Returns none if there are so few that each polls the service itself.
pub(super) fn ranked_nodes(state: &State, failure_domain: &str) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = state
        .nodes
        .iter()
        .filter(|(_, peer)| &*peer.failure_domain == failure_domain)
        .map(|(name, _)| (xxh3_64_with_seed(name.as_bytes(), RANK_SEED), name))
        .collect();
    if ranked.len() < MIN_NODES {
        return Vec::new();
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, name)| Name::clone(name))
        .collect()
}

/// Chooses the node that the node at a rank subscribes to; none for leaders, which poll the service.
///
/// The nodes form a tree in the order of their ranks. A node subscribes to its nearest ancestor
/// that isn't avoided, or else to another leader.
pub(super) fn choose_publisher(
    nodes: &[Name],
    rank: usize,
    avoided: impl Fn(&Name) -> bool,
) -> Option<&Name> {
    if rank < LEADERS {
        return None;
    }
    let ancestors = std::iter::successors(Some(parent(rank)), |&rank| {
        (rank >= LEADERS).then(|| parent(rank))
    });
    let path = ancestors.chain(0..LEADERS);
    path.filter_map(|rank| nodes.get(rank))
        .find(|name| !avoided(name))
}

fn parent(rank: usize) -> usize {
    (rank - LEADERS) / SUBSCRIBERS_PER_NODE
}
