//! Which engines a node may claim at this moment, and in which order.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Claimer;
use super::previous::Previous;
use crate::clock::Millis;
use crate::direct::config::Config;
use crate::direct::limits::Limits;
use crate::direct::upstream::Upstream;
use crate::direct::view::{ClaimEntry, State};

/// Seed of the order of nodes for an engine. Changing it moves every claim, so it stays.
const CLAIM_SEED: u64 = 0x636c_6169_6d73;

/// How long a living previous owner has to take its claim back.
const HEAD_START: Millis = Millis(1_500);

/// An engine that a node may claim.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) address: SocketAddr,
    /// The mark that a previous owner left.
    pub(super) left: Option<ClaimEntry>,
    /// Whether it is a claim that an earlier start of the same node left.
    pub(super) is_own: bool,
    /// Who gave the orders before.
    pub(super) previous: Previous,
    /// From when on this node may give them.
    pub(super) from: Millis,
    /// Nodes that come before this one, as far as they are known.
    rank: u64,
    /// This node's weight for the engine: of two engines, others come before it at this one less
    /// probably that has the greater.
    weight: u64,
}

impl Claimer {
    /// Returns engines without an owner, those first that fall to this node.
    ///
    /// Nodes that start together know few of each other yet. By rank alone each would take any
    /// engine for its own; by weight too, they begin with different ones.
    pub(super) fn candidates(&self, began: Millis, now: Millis) -> Vec<Candidate> {
        let state = self.view.state();
        let Some(config) = state.config.clone() else {
            return self.own_claims(&state, began);
        };
        let limits = self.limits.get();
        let mut candidates: Vec<Candidate> = state
            .upstreams
            .values()
            .filter(|upstream| is_engine(&config, upstream) && upstream.is_ready())
            .filter(|upstream| !self.ownership.owns(upstream.address))
            .filter_map(|upstream| self.candidate(&state, upstream, &limits, (began, now)))
            .collect();
        candidates.sort_by_key(|one| (!one.is_own, one.rank, Reverse(one.weight)));
        candidates
    }

    /// Returns an engine as a candidate if this node may claim it now.
    fn candidate(
        &self,
        state: &State,
        upstream: &Upstream,
        limits: &Limits,
        (began, now): (Millis, Millis),
    ) -> Option<Candidate> {
        let gathered = began + limits.discovery_window();
        let address = upstream.address;
        let standing = state.claims.get(&address);
        if let Some(standing) = standing.filter(|standing| self.is_previous_start(standing)) {
            return Some(self.own_candidate(state, address, standing, began));
        }
        if now < gathered || standing.is_some_and(|standing| standing.claim.left.is_none()) {
            return None;
        }
        let since = standing
            .map(|standing| standing.seen)
            .or_else(|| state.previous_claims.get(&address).map(|(_, at)| *at))
            .unwrap_or(gathered.max(upstream.first_seen));
        let passed = now.since(since);
        // Whoever comes later than that waits longer in any case.
        let rank = self.rank(
            state,
            address,
            passed.0 / limits.claim_delay_per_rank().0 + 1,
        );
        if passed < self.patience(state, address, rank, limits) {
            return None;
        }
        let (previous, from) = self.follows(state, address, standing, began);
        Some(Candidate {
            address,
            left: standing.cloned(),
            is_own: false,
            previous,
            from,
            rank,
            weight: weight(seed(address), &self.node),
        })
    }

    /// Returns how long an engine must have had no owner before this node claims it.
    fn patience(&self, state: &State, address: SocketAddr, rank: u64, limits: &Limits) -> Millis {
        let wait = Millis(limits.claim_delay_per_rank().0 * rank);
        match state.previous_claims.get(&address) {
            Some((previous, _)) if previous.node == self.node => Millis::ZERO,
            // All claims can lapse in an outage; a previous owner that lives needs no waiting
            // out and goes first. A dead one has to be waited out for longer than this anyway.
            Some(_) => wait + HEAD_START,
            None => wait,
        }
    }

    /// Returns the claims of earlier starts of this node, while engines aren't known yet.
    ///
    /// They end with their lease within seconds. Whoever took them up only once all engines are
    /// read would come too late where all nodes read at once.
    fn own_claims(&self, state: &State, began: Millis) -> Vec<Candidate> {
        let claims = state.claims.iter();
        let own = claims.filter(|(address, standing)| self.is_to_take_back(**address, standing));
        own.map(|(address, standing)| self.own_candidate(state, *address, standing, began))
            .collect()
    }

    /// Whether there are claims of earlier starts of this node.
    pub(super) fn has_own_claims(&self, state: &State) -> bool {
        let mut claims = state.claims.iter();
        claims.any(|(address, standing)| self.is_to_take_back(*address, standing))
    }

    fn is_to_take_back(&self, address: SocketAddr, standing: &ClaimEntry) -> bool {
        self.is_previous_start(standing) && !self.ownership.owns(address)
    }

    /// A claim that an earlier start of the same node left.
    fn own_candidate(
        &self,
        state: &State,
        address: SocketAddr,
        standing: &ClaimEntry,
        began: Millis,
    ) -> Candidate {
        let (previous, from) = self.follows(state, address, Some(standing), began);
        Candidate {
            address,
            left: Some(standing.clone()),
            is_own: true,
            previous,
            from,
            rank: 0,
            weight: 0,
        }
    }

    /// Whether a claim is of an earlier start of this node.
    ///
    /// Its process has ended, and to an engine both are one VM: when many nodes
    /// are restarted at once, engines would otherwise get no orders until all
    /// leases have lapsed and all rights have run out.
    fn is_previous_start(&self, standing: &ClaimEntry) -> bool {
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

/// Whether an upstream takes orders.
fn is_engine(config: &Config, upstream: &Upstream) -> bool {
    let pool = config.pools.get(&upstream.pool);
    pool.is_some_and(|pool| pool.engine.is_some())
}

fn seed(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), CLAIM_SEED)
}

fn weight(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}
