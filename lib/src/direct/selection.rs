//! Selects the upstream for a request.

use std::cmp::Reverse;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roles::{Roles, Workload};
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// Seed of the placement order of adapters. Changing it would move every adapter.
const PLACEMENT_SEED: u64 = 0x6469_7265_6374;

/// Cost of an upstream in another failure domain, as a fraction of the upstream's slots.
///
/// Traffic between failure domains is expensive: one or two more requests in a batch of dozens
/// cost less than transferring an answer across.
const REMOTE_DOMAIN_COST: f64 = 0.08;

/// Cost of an upstream that is missing from the list and may have left, as a fraction of its slots.
///
/// If most upstreams are listed, they have room for the requests of the missing ones. If the
/// entries of all expired in an outage of the key-value service, the cost is the same for all; the
/// few that are listed again first must not get all requests.
const MISSING_COST: f64 = 0.5;

/// Largest cost that decides between otherwise equal upstreams, as a fraction of their slots.
const TIE_BREAK_COST: f64 = 0.03;

/// Range of the random cost of upstreams whose load is unknown, as a fraction of their slots.
///
/// It exceeds the cost of another failure domain, so that the requests of many nodes spread, and
/// is less than the difference between an idle and a full upstream.
const UNKNOWN_LOAD_SPREAD: f64 = 0.5;

/// Cost of a mean pause between events as long as callers tolerate, as a fraction of an upstream's
/// slots.
///
/// Request counts are up to a second old and don't show that an upstream has become slow. The
/// pauses in this node's own streams show what callers get. Including them reduced late streams
/// from 1,570 to 1,450 per day; three times this weight raised them to 1,650, since all streams of
/// a node then follow the last pause that it observed.
const PAUSE_COST: f64 = 0.5;

/// Maximum number of upstreams considered for loading an adapter: five times as many as are asked
/// to load it.
pub const MAX_PLACEMENT_CANDIDATES: usize = 64;

/// Chooses among the upstreams of a pool for one request.
#[derive(Debug)]
pub struct Selector<'a> {
    /// All upstreams of the pool.
    pub upstreams: &'a [Arc<Upstream>],
    /// Incarnations of upstreams to which this request was sent before.
    pub tried: &'a [Name],
    /// This node's failure domain.
    pub local_domain: &'a str,
    /// The current time.
    pub now: Millis,
    /// Breaks ties between equal upstreams; the same for requests that share a prompt.
    pub affinity_seed: u64,
    /// The longest pause between events that callers tolerate, if the answer is a stream.
    pub max_event_gap: Option<Millis>,
    /// Which of the upstreams prefill for the others.
    pub roles: &'a Roles,
    /// Hash that is unique to this request; decides between upstreams whose load is unknown.
    pub request_hash: u64,
    /// Utilization of an upstream by other nodes to assume if no recent value is known; `None` if
    /// nobody counts the requests of other nodes.
    pub remote_prior: Option<f64>,
}

/// Returns the mean utilization of the upstreams by other nodes, as a fraction of their slots.
#[must_use]
#[allow(clippy::cast_precision_loss, reason = "some hundred upstreams")]
pub fn mean_remote_utilization(upstreams: &[Arc<Upstream>]) -> f64 {
    let sum: f64 = upstreams
        .iter()
        .map(|upstream| upstream.remote_utilization())
        .sum();
    sum / upstreams.len().max(1) as f64
}

impl Selector<'_> {
    /// Returns the least loaded upstream that takes new requests and for which `fits` holds.
    ///
    /// One that failed recently or was tried before is returned only if there is no other.
    pub fn least_loaded(&self, fits: impl Fn(&Upstream) -> bool) -> Option<Arc<Upstream>> {
        self.upstreams
            .iter()
            .filter(|upstream| upstream.is_ready() && fits(upstream))
            .map(|upstream| (self.cost(upstream), upstream))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, upstream)| Arc::clone(upstream))
    }

    /// Returns the upstream at which a request starts, among those for which `fits` holds.
    ///
    /// The request starts at a prefill engine if it is prefill-heavy, or if it can move to a decode
    /// engine after its first event. Otherwise it is decoded where it is prefilled, preferably at a
    /// decode engine: 62 to 85 of 100 streams that stayed at a prefill engine were late by a long
    /// pause, against 2 to 12 of 100 at a decode engine.
    pub fn select(
        &self,
        workload: Workload,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Option<Arc<Upstream>> {
        let [prefill, decode] = self.least_loaded_by_role(&fits);
        let is_usable = |found: &Option<Arc<Upstream>>| {
            found.as_ref().is_some_and(|found| !self.is_avoided(found))
        };
        let starts_at_prefill = match workload {
            Workload::PrefillHeavy => is_usable(&prefill),
            Workload::DecodeHeavy => {
                is_usable(&prefill)
                    && is_usable(&self.move_target(prefill.as_ref(), decode.as_ref(), &fits))
            }
        };
        if starts_at_prefill {
            return prefill;
        }
        if is_usable(&decode) || prefill.is_none() {
            return decode;
        }
        prefill
    }

    /// Returns the decode engine to which a run could move from a prefill engine.
    ///
    /// That is the least loaded one unless it runs another software version.
    fn move_target(
        &self,
        prefill: Option<&Arc<Upstream>>,
        decode: Option<&Arc<Upstream>>,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Option<Arc<Upstream>> {
        let software = &prefill?.software;
        if decode?.software == *software {
            return decode.cloned();
        }
        self.least_loaded(|upstream| {
            upstream.software == *software && !self.is_prefill(upstream) && fits(upstream)
        })
    }

    /// Returns the least loaded prefill engine and the least loaded decode engine, as defined by
    /// [`Self::least_loaded`].
    ///
    /// A single pass finds both, since this is called up to three times for each request and goes
    /// through all upstreams of the pool.
    fn least_loaded_by_role(&self, fits: impl Fn(&Upstream) -> bool) -> [Option<Arc<Upstream>>; 2] {
        let mut least: [Option<(f64, &Arc<Upstream>)>; 2] = [None, None];
        let upstreams = self.upstreams.iter();
        for upstream in upstreams.filter(|upstream| upstream.is_ready() && fits(upstream)) {
            let cost = self.cost(upstream);
            let entry = &mut least[usize::from(!self.is_prefill(upstream))];
            if entry.is_none_or(|(least, _)| cost.total_cmp(&least).is_lt()) {
                *entry = Some((cost, upstream));
            }
        }
        least.map(|least| least.map(|(_, upstream)| Arc::clone(upstream)))
    }

    /// Whether an upstream prefills for the others.
    #[must_use]
    pub fn is_prefill(&self, upstream: &Upstream) -> bool {
        self.roles.is_prefill(upstream.address)
    }

    /// Returns the upstreams that may load an adapter, in its placement order.
    ///
    /// They take new requests, and `fits` holds for them. Those that may have left come last. At
    /// most [`MAX_PLACEMENT_CANDIDATES`] are returned: a request asks some dozen of them, and
    /// examining thousands for each load took a small VM milliseconds.
    #[must_use]
    pub fn placement_candidates(
        &self,
        adapter: &str,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Vec<Arc<Upstream>> {
        let mut candidates: Vec<(Reverse<bool>, u64, &Arc<Upstream>)> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_ready() && !self.is_avoided(upstream))
            .map(|upstream| {
                let is_missing = Reverse(upstream.is_missing());
                (is_missing, placement_rank(adapter, upstream), upstream)
            })
            .collect();
        candidates.sort_unstable_by_key(|(is_missing, rank, _)| Reverse((*is_missing, *rank)));
        candidates
            .into_iter()
            .map(|(_, _, upstream)| upstream)
            .filter(|upstream| fits(upstream))
            .take(MAX_PLACEMENT_CANDIDATES)
            .cloned()
            .collect()
    }

    fn is_avoided(&self, upstream: &Upstream) -> bool {
        upstream.is_suspended(self.now) || self.tried.contains(&upstream.incarnation)
    }

    /// Returns a pseudorandom number from 0 to 1 for a seed and an upstream.
    ///
    /// Without it, all requests would go to the first upstream of the list at low load. With it,
    /// requests that share a prompt go where its KV cache is kept.
    #[allow(clippy::cast_precision_loss, reason = "a fraction needs few bits")]
    fn unit_hash(upstream: &Upstream, seed: u64) -> f64 {
        let hash = xxh3_64_with_seed(upstream.incarnation.as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }

    /// Returns the estimated fraction of an upstream's slots in use.
    ///
    /// Reported load counts less the older it is. Otherwise all nodes would send to the same engine
    /// that was last reported idle, until they learned of the queue there.
    fn estimated_utilization(&self, upstream: &Upstream) -> f64 {
        let own = f64::from(upstream.running()) / f64::from(upstream.slots);
        let Some(prior) = self.remote_prior else {
            return own + upstream.remote_utilization();
        };
        let confidence = upstream.remote_load_confidence(self.now);
        let estimate =
            prior + UNKNOWN_LOAD_SPREAD * (Self::unit_hash(upstream, self.request_hash) - 0.5);
        own + confidence * upstream.remote_utilization() + (1.0 - confidence) * estimate
    }

    /// Returns the estimated utilization of an upstream plus the costs of choosing it.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    fn cost(&self, upstream: &Upstream) -> f64 {
        let mut cost = self.estimated_utilization(upstream);
        if &*upstream.failure_domain != self.local_domain {
            cost += REMOTE_DOMAIN_COST;
        }
        if upstream.is_missing() {
            cost += MISSING_COST;
        }
        if let Some(max_gap) = self.max_event_gap {
            cost += PAUSE_COST * upstream.mean_pause(self.now) / (max_gap.0.max(1) as f64);
        }
        cost += TIE_BREAK_COST * Self::unit_hash(upstream, self.affinity_seed);
        if upstream.is_suspended(self.now) {
            cost += 100.0;
        }
        if self.tried.contains(&upstream.incarnation) {
            cost += 1_000.0;
        }
        cost
    }
}

/// Returns the rank of an upstream in an adapter's placement order; the highest comes first.
///
/// Hashes the address, so that an upstream keeps its rank over a restart.
fn placement_rank(adapter: &str, upstream: &Upstream) -> u64 {
    let seed = xxh3_64_with_seed(adapter.as_bytes(), PLACEMENT_SEED);
    xxh3_64_with_seed(upstream.address_text.as_bytes(), seed)
}
