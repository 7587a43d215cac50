//! Which node counts the requests at an upstream that limits its rejections.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::PoisonError;

use smallvec::SmallVec;

use super::notice::{Knowledge, Said};
use crate::clock::Millis;
use crate::direct::claim::node_weight;
use crate::direct::controllers::Controllers;
use crate::direct::upstream::Upstream;
use crate::direct::view::Peer;
use crate::name::Name;

/// Number of nodes that are asked, one after the other, to count a request.
const MAX_COUNTING_NODES: usize = 3;

/// Time for which a node that didn't count a request isn't asked again.
const UNCOUNTING_TIME: Millis = Millis(500);

/// Age up to which a node that counts relies on a response without a limit.
const TRUSTED_AGE: Millis = Millis(1_000);

/// Time by which what another node tells is taken for older than it is.
///
/// Nodes that repeat to one another what they were told must not make it look new.
const TOLD_AGE_MARGIN: Millis = Millis(50);

/// A node that counts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CountingNode {
    /// This node.
    Local,
    /// Another node.
    Remote(Name, Peer),
}

impl Controllers {
    /// Returns the nodes that may count the requests at an upstream, the preferred one first.
    ///
    /// That is its owner, and then the nodes in the order in which they would claim it. So the node
    /// that takes over an engine has mostly counted for it before.
    #[must_use]
    pub fn counting_nodes(
        &self,
        upstream: &Upstream,
    ) -> SmallVec<[CountingNode; MAX_COUNTING_NODES]> {
        if self.ownership.owns(upstream.address) {
            return std::iter::once(CountingNode::Local).collect();
        }
        let now = self.clock.now();
        let state = self.view.state();
        let owner = state.owner(upstream.address);
        let mut ranked: Vec<(bool, u64, &Name, &Peer)> = state
            .nodes
            .iter()
            .filter(|(node, peer)| **node == self.node || !self.is_uncounting(peer.address, now))
            .map(|(node, peer)| {
                let is_owner = owner.is_some_and(|(owner, _)| owner == node);
                (is_owner, node_weight(upstream.address, node), node, peer)
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_owner, weight, node, _)| {
            Reverse((*is_owner, *weight, *node))
        });
        let nodes = ranked.into_iter().take(MAX_COUNTING_NODES);
        nodes
            .map(|(_, _, node, peer)| {
                if *node == self.node {
                    CountingNode::Local
                } else {
                    CountingNode::Remote(Name::clone(node), peer.clone())
                }
            })
            .collect()
    }

    /// Records that a node didn't count a request that it was asked to count.
    pub(in crate::direct) fn record_uncounting(&self, address: SocketAddr) {
        let until = self.clock.now() + UNCOUNTING_TIME;
        self.uncounting().insert(address, until);
    }

    fn is_uncounting(&self, address: SocketAddr, now: Millis) -> bool {
        let mut uncounting = self.uncounting();
        let until = uncounting.get(&address).copied();
        if until.is_some_and(|until| until <= now) {
            uncounting.remove(&address);
        }
        until.is_some_and(|until| until > now)
    }

    fn uncounting(
        &self,
    ) -> std::sync::MutexGuard<'_, std::collections::HashMap<SocketAddr, Millis>> {
        self.uncounting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of rejections in a second by which this node counts for an upstream.
    ///
    /// `asked` is what the asking node knows or assumes.
    pub(in crate::direct) fn rejection_limit(
        &self,
        upstream: &Upstream,
        asked: Option<u32>,
    ) -> Option<u32> {
        let now = self.clock.now();
        match upstream.notice().knowledge(now, TRUSTED_AGE) {
            Knowledge::Limited(limit) => Some(limit),
            Knowledge::Unlimited => None,
            Knowledge::Unknown => asked,
        }
    }

    /// Records what another node was told by upstreams of the same pool.
    pub(in crate::direct) fn record_told(
        &self,
        upstream: &Upstream,
        limit: Option<u32>,
        age_ms: Option<u64>,
    ) {
        let Some(age_ms) = age_ms else {
            return;
        };
        let age = Millis(age_ms) + TOLD_AGE_MARGIN;
        let at = self.clock.now().since(age);
        upstream.record_said(Said { limit, at });
    }
}
