//! Which upstream takes a request.

use std::cmp::Reverse;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roles::{Roles, Workload};
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// Seed of the placement of adapters. Changing it moves every adapter, so it stays.
const PLACEMENT_SEED: u64 = 0x6469_7265_6374;

/// What an upstream in another failure domain costs, in requests at the upstream.
///
/// Bytes between failure domains are dear; a request or two more in a batch of
/// dozens cost less than carrying an answer across.
const REMOTE: f64 = 0.08;

/// What an upstream costs that is missing from the list and may have left, in places' shares.
///
/// Where most are listed they have room for what the missing ones would get. Where all lapsed
/// with the service it is the same for all; the few that are back first must not get everything.
const DOUBTED: f64 = 0.5;

/// What the decision between upstreams that are alike weighs, in places' shares.
const TIE: f64 = 0.03;

/// How far choices scatter between upstreams of which nothing is known, in places' shares.
///
/// More than what separates an upstream nearby from a distant one, so that requests of many
/// nodes spread; less than the difference between an idle and a full one.
const SCATTER: f64 = 0.5;

/// What a mean pause as long as callers bear costs, in parts of an upstream's places.
///
/// Counts of requests are up to a second old and say nothing of an upstream that has turned
/// slow. The pauses of this node's own streams are what callers get there: with them late streams
/// fell from 1,570 to 1,450 a day, with three times the weight they rose to 1,650, since all of
/// a node's streams then follow the last pause that it saw.
const PAUSES: f64 = 0.5;

/// Upstreams of an adapter's order that are looked at for one load: five times as many as are
/// asked.
pub const MAX_PLACEMENT_CANDIDATES: usize = 64;

/// Where a request may go.
#[derive(Debug)]
pub struct Selector<'a> {
    /// All upstreams of the pool.
    pub upstreams: &'a [Arc<Upstream>],
    /// Upstreams that this request was sent to before.
    pub tried: &'a [Name],
    /// This node's failure domain.
    pub home: &'a str,
    /// The time.
    pub now: Millis,
    /// Decides between upstreams that are alike, the same for requests that share a prompt.
    pub salt: u64,
    /// The longest pause between events that callers bear, if the answer is a stream.
    pub pause: Option<Millis>,
    /// Which of the upstreams read prompts for the others.
    pub roles: &'a Roles,
    /// A number of this request's own, which decides between upstreams of which nothing is known.
    pub id: u64,
    /// What part of an upstream's places other nodes use, where nothing newer is known of it;
    /// none where nobody counts their requests.
    pub usual: Option<f64>,
}

/// Returns what part of their places other nodes use at the mean of some upstreams.
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
    /// Returns the least loaded of the upstreams that fit and take new work.
    ///
    /// One that failed lately, or was tried before, is taken only if no other fits.
    pub fn least_loaded(&self, fits: impl Fn(&Upstream) -> bool) -> Option<Arc<Upstream>> {
        self.upstreams
            .iter()
            .filter(|upstream| upstream.is_ready() && fits(upstream))
            .map(|upstream| (self.cost(upstream), upstream))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, upstream)| Arc::clone(upstream))
    }

    /// Returns the upstream at which a request begins, among those that fit.
    ///
    /// It begins at a reader if it reads most of the time, or if it can move to a writer
    /// behind its first event. Else its answer is written where its prompt is read, better at
    /// a writer: streams that stayed at a reader were late by a pause in 62 to 85 of 100
    /// cases, those at a writer in 2 to 12.
    pub fn select(
        &self,
        manner: Workload,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Option<Arc<Upstream>> {
        let [reader, writer] = self.least_of_each(fits);
        let sound = |found: &Option<Arc<Upstream>>| {
            found.as_ref().is_some_and(|found| !self.avoided(found))
        };
        let reads = match manner {
            Workload::PrefillHeavy => sound(&reader),
            Workload::DecodeHeavy => sound(&reader) && sound(&writer),
        };
        if reads {
            return reader;
        }
        if sound(&writer) || reader.is_none() {
            return writer;
        }
        reader
    }

    /// Returns the least loaded reader and the least loaded writer, as [`Self::least_loaded`] chooses.
    ///
    /// One look at each upstream serves both: a request asks up to three
    /// times before it is sent, each time about all upstreams of its pool.
    fn least_of_each(&self, fits: impl Fn(&Upstream) -> bool) -> [Option<Arc<Upstream>>; 2] {
        let mut least: [Option<(f64, &Arc<Upstream>)>; 2] = [None, None];
        let takers = self.upstreams.iter();
        for upstream in takers.filter(|upstream| upstream.is_ready() && fits(upstream)) {
            let cost = self.cost(upstream);
            let known = &mut least[usize::from(!self.is_prefill(upstream))];
            if known.is_none_or(|(least, _)| cost.total_cmp(&least).is_lt()) {
                *known = Some((cost, upstream));
            }
        }
        least.map(|least| least.map(|(_, upstream)| Arc::clone(upstream)))
    }

    /// Whether an upstream reads prompts for the others.
    #[must_use]
    pub fn is_prefill(&self, upstream: &Upstream) -> bool {
        self.roles.is_prefill(upstream.address)
    }

    /// Returns upstreams that take new work and fit in an adapter's order of placement, those that
    /// may have left last.
    ///
    /// Of many the first [`MAX_PLACEMENT_CANDIDATES`] are returned: a request asks some dozen at most, and
    /// looking at thousands for each load cost a small VM milliseconds.
    #[must_use]
    pub fn placement_candidates(
        &self,
        adapter: &str,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Vec<Arc<Upstream>> {
        let mut homes: Vec<(Reverse<bool>, u64, &Arc<Upstream>)> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_ready() && !self.avoided(upstream))
            .map(|upstream| {
                let is_doubted = Reverse(upstream.is_missing());
                (is_doubted, rank(adapter, upstream), upstream)
            })
            .collect();
        homes.sort_unstable_by_key(|(is_doubted, rank, _)| Reverse((*is_doubted, *rank)));
        homes
            .into_iter()
            .map(|(_, _, upstream)| upstream)
            .filter(|upstream| fits(upstream))
            .take(MAX_PLACEMENT_CANDIDATES)
            .cloned()
            .collect()
    }

    fn avoided(&self, upstream: &Upstream) -> bool {
        upstream.is_suspended(self.now) || self.tried.contains(&upstream.incarnation)
    }

    /// A number from 0 to 1 for this request at this upstream.
    ///
    /// Without it all requests of a quiet time would go to the first of the
    /// list; with it those that share a prompt meet what is kept of it.
    #[allow(clippy::cast_precision_loss, reason = "a share needs few bits")]
    fn share(upstream: &Upstream, seed: u64) -> f64 {
        let hash = xxh3_64_with_seed(upstream.incarnation.as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }

    /// What part of its places is believed to be in use.
    ///
    /// News counts less the older it is. Without that, all nodes that had heard of no request
    /// sent to the same idle engine until they heard of the queue there.
    fn occupied(&self, upstream: &Upstream) -> f64 {
        let own = f64::from(upstream.running()) / f64::from(upstream.slots);
        let Some(usual) = self.usual else {
            return own + upstream.remote_utilization();
        };
        let known = upstream.remote_load_confidence(self.now);
        let unknown = usual + SCATTER * (Self::share(upstream, self.id) - 0.5);
        own + known * upstream.remote_utilization() + (1.0 - known) * unknown
    }

    /// Part of the upstream's places in use, with handicaps.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    fn cost(&self, upstream: &Upstream) -> f64 {
        let mut cost = self.occupied(upstream);
        if &*upstream.failure_domain != self.home {
            cost += REMOTE;
        }
        if upstream.is_missing() {
            cost += DOUBTED;
        }
        if let Some(most) = self.pause {
            cost += PAUSES * upstream.mean_pause(self.now) / (most.0.max(1) as f64);
        }
        cost += TIE * Self::share(upstream, self.salt);
        if upstream.is_suspended(self.now) {
            cost += 100.0;
        }
        if self.tried.contains(&upstream.incarnation) {
            cost += 1_000.0;
        }
        cost
    }
}

/// Returns how high an upstream stands in an adapter's order of placement.
///
/// The hash is of the address: a restart of the upstream keeps its place.
fn rank(adapter: &str, upstream: &Upstream) -> u64 {
    let seed = xxh3_64_with_seed(adapter.as_bytes(), PLACEMENT_SEED);
    xxh3_64_with_seed(upstream.place.as_bytes(), seed)
}
