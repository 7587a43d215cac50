//! Which engines a node may claim at this moment, and in which order.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::view::{Standing, State};

/// Seed of the order of nodes for an engine. Changing it moves every claim, so it stays.
const CLAIM_SEED: u64 = 0x636c_6169_6d73;

/// How long a living former owner has to take its claim back.
const HEAD_START: Millis = Millis(1_500);

/// An engine that a node may claim.
#[derive(Debug)]
pub(super) struct Wanted {
    pub(super) address: SocketAddr,
    /// The mark that a former owner left.
    pub(super) left: Option<Standing>,
    /// Whether it is a claim that an earlier start of the same node left.
    pub(super) former: bool,
    /// Nodes that come before this one, as far as they are known.
    rank: u64,
    /// This node's weight for the engine: of two engines, others come before it at this one less
    /// probably that has the greater.
    weight: u64,
}

impl Wanted {
    /// A claim that an earlier start of the same node left.
    fn former(address: SocketAddr, standing: &Standing) -> Self {
        Self {
            address,
            left: Some(standing.clone()),
            former: true,
            rank: 0,
            weight: 0,
        }
    }
}

impl Claimer {
    /// Returns engines without an owner, those first that fall to this node.
    ///
    /// Nodes that start together know few of each other yet. By rank alone each would take any
    /// engine for its own; by weight too, they begin with different ones.
    pub(super) fn wanted(&self, began: Millis, now: Millis) -> Vec<Wanted> {
        let state = self.view.state();
        let Some(config) = state.config.clone() else {
            return self.former_claims(&state);
        };
        let limits = self.limits.get();
        let gathered = began + limits.gather();
        let mut wanted = Vec::new();
        for upstream in state.upstreams.values() {
            let engine = config
                .pools
                .get(&upstream.pool)
                .is_some_and(|pool| pool.engine.is_some());
            if !engine || !upstream.is_ready() || self.right.owns(upstream.address) {
                continue;
            }
            let address = upstream.address;
            let standing = state.claims.get(&address);
            if let Some(standing) = standing.filter(|standing| self.is_former(standing)) {
                wanted.push(Wanted::former(address, standing));
                continue;
            }
            if now < gathered || standing.is_some_and(|standing| standing.claim.left.is_none()) {
                continue;
            }
            let since = standing
                .map(|standing| standing.seen)
                .or_else(|| state.vanished.get(&address).map(|(_, at)| *at))
                .unwrap_or(gathered.max(upstream.seen));
            let passed = now.since(since);
            // Whoever comes later than that waits longer in any case.
            let rank = self.rank(&state, address, passed.0 / limits.claim_rank().0 + 1);
            let mut patience = Millis(limits.claim_rank().0 * rank);
            match state.vanished.get(&address) {
                Some((former, _)) if *former == self.node => patience = Millis::ZERO,
                // All claims can lapse in an outage; a former owner that lives
                // needs no waiting out and goes first. A dead one has to be
                // waited out for longer than this anyway.
                Some(_) => patience += HEAD_START,
                None => {}
            }
            if passed >= patience {
                wanted.push(Wanted {
                    address,
                    left: standing.cloned(),
                    former: false,
                    rank,
                    weight: weight(seed(address), &self.node),
                });
            }
        }
        wanted.sort_by_key(|one| (!one.former, one.rank, Reverse(one.weight)));
        wanted
    }

    /// Returns the claims of earlier starts of this node, while engines aren't known yet.
    ///
    /// They end with their lease within seconds. Whoever took them up only once all engines are
    /// read would come too late where all nodes read at once.
    pub(super) fn former_claims(&self, state: &State) -> Vec<Wanted> {
        let claims = state.claims.iter();
        let former = claims
            .filter(|(address, standing)| self.is_former(standing) && !self.right.owns(**address));
        former
            .map(|(address, standing)| Wanted::former(*address, standing))
            .collect()
    }

    /// Whether a claim is of an earlier start of this node.
    ///
    /// Its process has ended, and to an engine both are one VM: when many nodes
    /// are restarted at once, engines would otherwise get no orders until all
    /// leases have lapsed and all rights have run out.
    fn is_former(&self, standing: &Standing) -> bool {
        standing.claim.node == self.node && standing.claim.start != self.peer.start
    }

    /// Returns how many living nodes come before this one for an engine, `most` at most.
    ///
    /// With hundreds of nodes and thousands of engines without an owner, as after a start of all
    /// nodes, counting them all took longer than a lease lasts.
    pub(super) fn rank(&self, state: &State, address: SocketAddr, most: u64) -> u64 {
        let seed = seed(address);
        let mine = weight(seed, &self.node);
        let before = state
            .nodes
            .keys()
            .filter(|node| **node != self.node && weight(seed, node) > mine);
        before
            .take(usize::try_from(most).unwrap_or(usize::MAX))
            .count() as u64
    }
}

fn seed(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), CLAIM_SEED)
}

fn weight(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}
