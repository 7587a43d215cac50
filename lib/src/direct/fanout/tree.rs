//! Who listens to whom in a failure domain.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::view::State;
use crate::name::Name;

/// Seed of the order of nodes in a failure domain. All nodes must have the same.
const ORDER_SEED: u64 = 0x666f_6c6c_6f77;

/// Nodes of a failure domain that ask the service: the loss of one leaves another.
const LEADERS: usize = 2;

/// Nodes that listen to one node.
///
/// Updates come in bursts, and a node on a slow link that sends them to many holds up its own
/// callers' streams. With three, forty nodes are three steps deep.
pub(super) const LISTENERS: usize = 3;

/// Nodes of a failure domain from which on changes are passed on.
///
/// Below, the calls that are saved are worth less than hearing of a change at first hand.
const FEWEST: usize = 8;

/// Returns the nodes of a failure domain in the order that all share; none where each asks
/// the service for itself.
pub(super) fn ranked(state: &State, failure_domain: &str) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = state
        .nodes
        .iter()
        .filter(|(_, peer)| &*peer.failure_domain == failure_domain)
        .map(|(name, _)| (xxh3_64_with_seed(name.as_bytes(), ORDER_SEED), name))
        .collect();
    if ranked.len() < FEWEST {
        return Vec::new();
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, name)| Name::clone(name))
        .collect()
}

/// Chooses whom the node at a rank listens to; nobody for the first ones, which ask the service.
///
/// The nodes form a tree in the order of their ranks. Where the one above is avoided, the one
/// above that is next, and at last the other leaders.
pub(super) fn choose(nodes: &[Name], at: usize, avoided: impl Fn(&Name) -> bool) -> Option<&Name> {
    if at < LEADERS {
        return None;
    }
    let above = std::iter::successors(Some(above(at)), |&at| (at >= LEADERS).then(|| above(at)));
    let path = above.chain(0..LEADERS);
    path.filter_map(|at| nodes.get(at))
        .find(|name| !avoided(name))
}

fn above(at: usize) -> usize {
    (at - LEADERS) / LISTENERS
}
