//! The engines that this node may claim now, in the order in which it claims them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Claimer;
use super::previous::Succession;
use crate::clock::Millis;
use crate::direct::config::Config;
use crate::direct::limits::Limits;
use crate::direct::upstream::Upstream;
use crate::direct::view::{ClaimEntry, State};

/// Seed of the hash that ranks nodes for an engine; changing it would move every claim.
const CLAIM_SEED: u64 = 0x636c_6169_6d73;

/// How long other nodes leave an expired claim to its previous owner.
const PREVIOUS_OWNER_HEAD_START: Millis = Millis(1_500);

/// An engine that this node may claim.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) address: SocketAddr,
    /// The claim that is still stored: released, or made by an earlier start of this node.
    pub(super) stored: Option<ClaimEntry>,
    /// Whether `stored` was made by an earlier start of this node.
    pub(super) is_reclaim: bool,
    pub(super) succession: Succession,
    /// Number of known nodes that rank before this one.
    rank: u64,
    /// This node's weight for the engine: the greater it is, the less likely are unknown nodes
    /// that rank before this one.
    weight: u64,
}

impl Claimer {
    /// Returns engines without an owner, the ones first for which this node ranks highest.
    ///
    /// Nodes that start together know few of each other yet. By rank alone each would claim any
    /// engine; ordering by weight as well makes them begin with different ones.
    pub(super) fn candidates(&self, first_lease_at: Millis, now: Millis) -> Vec<Candidate> {
        let state = self.view.state();
        let Some(config) = state.config.clone() else {
            return self.reclaim_candidates(&state, first_lease_at);
        };
        let limits = self.limits.get();
        let mut candidates: Vec<Candidate> = state
            .upstreams
            .values()
            .filter(|upstream| is_engine(&config, upstream) && upstream.is_ready())
            .filter(|upstream| !self.ownership.owns(upstream.address))
            // An owner without a path to its engine can't give it orders.
            .filter(|upstream| !self.view.reachability.lacks_path(upstream, now))
            .filter_map(|upstream| self.candidate(&state, upstream, &limits, (first_lease_at, now)))
            .collect();
        candidates.sort_by_key(|one| (!one.is_reclaim, one.rank, Reverse(one.weight)));
        candidates
    }

    /// Returns an engine as a candidate if this node may claim it now.
    fn candidate(
        &self,
        state: &State,
        upstream: &Upstream,
        limits: &Limits,
        (first_lease_at, now): (Millis, Millis),
    ) -> Option<Candidate> {
        let discovered_at = first_lease_at + limits.discovery_window();
        let address = upstream.address;
        let stored = state.claims.get(&address);
        if let Some(stored) = stored.filter(|stored| self.is_previous_start(stored)) {
            return Some(self.reclaim_candidate(state, address, stored, first_lease_at));
        }
        if now < discovered_at || stored.is_some_and(|stored| stored.claim.left.is_none()) {
            return None;
        }
        let unowned_since = stored
            .map(|stored| stored.seen)
            .or_else(|| state.previous_claims.get(&address).map(|(_, at)| *at))
            .unwrap_or(discovered_at.max(upstream.first_seen));
        let elapsed = now.since(unowned_since);
        // Counting stops at the first rank whose delay is longer than `elapsed`.
        let rank = self.rank(
            state,
            address,
            elapsed.0 / limits.claim_delay_per_rank().0 + 1,
        );
        if elapsed < self.claim_delay(state, address, rank, limits) {
            return None;
        }
        let succession = self.succession(state, address, stored, first_lease_at);
        Some(Candidate {
            address,
            stored: stored.cloned(),
            is_reclaim: false,
            succession,
            rank,
            weight: weight(seed(address), &self.node),
        })
    }

    /// Returns how long an engine must have had no owner before this node claims it.
    fn claim_delay(
        &self,
        state: &State,
        address: SocketAddr,
        rank: u64,
        limits: &Limits,
    ) -> Millis {
        let delay = Millis(limits.claim_delay_per_rank().0 * rank);
        match state.previous_claims.get(&address) {
            Some((previous, _)) if previous.node == self.node => Millis::ZERO,
            // All claims can expire in an outage. A previous owner that is alive goes first, as
            // it needs not wait for its own orders to end. A dead one delays the first order of
            // its successor by more than this head start anyway.
            Some(_) => delay + PREVIOUS_OWNER_HEAD_START,
            None => delay,
        }
    }

    /// Returns the claims of earlier starts of this node, while engines aren't known yet.
    ///
    /// They expire with their lease within seconds. Where all nodes start at once, reading all
    /// engines first would take longer.
    fn reclaim_candidates(&self, state: &State, first_lease_at: Millis) -> Vec<Candidate> {
        let claims = state.claims.iter();
        let own = claims.filter(|(address, stored)| self.can_reclaim(**address, stored));
        own.map(|(address, stored)| self.reclaim_candidate(state, *address, stored, first_lease_at))
            .collect()
    }

    /// Whether there are claims of earlier starts of this node.
    pub(super) fn has_reclaim_candidates(&self, state: &State) -> bool {
        let mut claims = state.claims.iter();
        claims.any(|(address, stored)| self.can_reclaim(*address, stored))
    }

    fn can_reclaim(&self, address: SocketAddr, stored: &ClaimEntry) -> bool {
        self.is_previous_start(stored) && !self.ownership.owns(address)
    }

    /// Returns the candidate for a claim of an earlier start of this node.
    fn reclaim_candidate(
        &self,
        state: &State,
        address: SocketAddr,
        stored: &ClaimEntry,
        first_lease_at: Millis,
    ) -> Candidate {
        let succession = self.succession(state, address, Some(stored), first_lease_at);
        Candidate {
            address,
            stored: Some(stored.clone()),
            is_reclaim: true,
            succession,
            rank: 0,
            weight: 0,
        }
    }

    /// Whether a claim was made by an earlier start of this node.
    ///
    /// That process has ended, and to an engine both are the same VM. Without reclaiming, a
    /// restart of many nodes at once would leave engines without orders until all leases have
    /// expired and the ownership terms have passed.
    fn is_previous_start(&self, stored: &ClaimEntry) -> bool {
        stored.claim.node == self.node && stored.claim.start != self.peer.start
    }

    /// Returns how many live nodes rank before this one for an engine, up to `max`.
    ///
    /// With hundreds of nodes and thousands of unowned engines, as after a start of all nodes,
    /// counting without a limit took longer than a lease lasts.
    pub(super) fn rank(&self, state: &State, address: SocketAddr, max: u64) -> u64 {
        let seed = seed(address);
        let own = weight(seed, &self.node);
        let before = state
            .nodes
            .keys()
            .filter(|node| **node != self.node && weight(seed, node) > own);
        before
            .take(usize::try_from(max).unwrap_or(usize::MAX))
            .count() as u64
    }
}

/// Whether an upstream takes orders.
fn is_engine(config: &Config, upstream: &Upstream) -> bool {
    let pool = config.pools.get(&upstream.pool);
    pool.is_some_and(|pool| pool.engine.is_some())
}

/// Returns a node's rendezvous hash weight for an upstream: among live nodes, the one with the
/// greatest weight claims the upstream if it is an engine.
#[must_use]
pub fn node_weight(address: SocketAddr, node: &str) -> u64 {
    weight(seed(address), node)
}

fn seed(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), CLAIM_SEED)
}

/// Returns a node's rendezvous hash weight for the engine that `seed` stands for.
fn weight(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}
