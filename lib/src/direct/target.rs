//! Where a request goes next: the engine that holds its adapter, or one that is to load it.

use std::sync::Arc;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::acquire::Asked;
use super::admission_policy::{self, MAX_ADMISSION_QUERIES};
use super::admit::{self, AdmitQuery, Permit};
use super::attempt::UpstreamResponse;
use super::entry::{CLASS_LABEL, seconds};
use super::metadata::RequestMetadata;
use super::orders::LoadOutcome;
use super::request::{ActiveRequest, SELECTION_RETRY_PAUSE};
use super::request_log::LoadAttempt;
use super::roles::{Roles, Workload, may_move};
use super::selection::{Selector, mean_remote_utilization};
use super::upstream::Upstream;
use super::versions::{REPLACEMENT_LEAD, WITHDRAWAL_LEAD};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Part of the objective that a request may wait for an upstream before it is refused.
///
/// A refusal this early leaves the caller time to come back.
const REFUSE_AFTER: u64 = 8;

/// Engines that are asked to load an adapter for one request, one after the other.
///
/// One whose queue is full says so within a millisecond or two; twelve such answers take
/// less time than one load.
const MOST_ASKED: usize = 12;

/// Engines whose owner has just lost its right that are asked for one request at most.
///
/// They answer within milliseconds, unlike those that try a load.
const MOST_UNOWNED: usize = 16;

/// Engines of an adapter's order that come first however loaded they are.
///
/// They may have kept a copy of it, which loads ten times as fast.
pub(super) const FIRST_HOMES: usize = 2;

/// Requests at a writer, one of which asks that a reader hold the adapter too.
///
/// Nodes see a ninth or less of an adapter's requests each. Chance asks after as many requests
/// as this over all nodes, without counting together: adapters that are asked for once or
/// twice seldom cost a second load, frequent ones get it at once.
const COPY_ONE_IN: u64 = 2;

/// Where to send, and the version of the adapter that is expected there.
#[derive(Debug)]
pub struct Target {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The version of the adapter there; none where any will do.
    pub version: Option<u64>,
    /// The request's place in the count of the upstream's owner.
    pub permit: Option<Permit>,
}

impl ActiveRequest {
    /// Finds where to send, waiting a little if nothing fits.
    pub(super) async fn find_target(&self) -> Result<Target, Failure> {
        let patience = self.arrived_at + Millis(self.route.latency_objective.0 / REFUSE_AFTER);
        let quarantine = &self.frontend.quarantine;
        if !quarantine.is_empty() {
            quarantine
                .wait_for_crash_check(self.message.fingerprint())
                .await;
        }
        loop {
            self.check_quarantine()?;
            let upstreams = self.frontend.view.pool(&self.pool);
            let roles = self.frontend.roles(&self.pool);
            let field = self.field(&upstreams, &roles);
            let found = match &self.message.metadata.model {
                None => field.least_loaded(|_| true).map(anywhere),
                Some(model) => match self.message.metadata.adapter() {
                    None => self.with_base(&field, model).await,
                    Some(adapter) => self.holder(&field, adapter).await?,
                },
            };
            if let Some(target) = found {
                // It can have waited for its adapter meanwhile.
                self.check_quarantine()?;
                return Ok(target);
            }
            let now = self.now();
            if now >= patience || now >= self.deadline {
                return Err(self.refusal(Code::NoUpstream, "no upstream can take it now"));
            }
            tokio::time::sleep(SELECTION_RETRY_PAUSE.duration()).await;
        }
    }

    /// Returns the writer to which a run moves whose answer began, if there is one now.
    ///
    /// With `ask`, a writer is asked to hold the adapter where none does, so that a later
    /// event of this stream can move it.
    pub(super) fn decode_target(&self, answer: &UpstreamResponse, ask: bool) -> Option<Target> {
        let source = &answer.upstream;
        let roles = self.frontend.roles(&self.pool);
        if !roles.is_prefill(source.address) {
            return None;
        }
        let upstreams = self.frontend.view.pool(&self.pool);
        let field = self.field(&upstreams, &roles);
        let takes = |upstream: &Upstream| {
            !field.is_prefill(upstream)
                && !upstream.is_suspended(field.now)
                && upstream.total_running() < upstream.slots
        };
        let Some(adapter) = self.message.metadata.adapter() else {
            let model = self.message.metadata.model.as_ref()?;
            return field
                .least_loaded(|upstream| takes(upstream) && upstream.has_base_model(model))
                .map(anywhere);
        };
        let newest = self
            .frontend
            .view
            .newest(adapter)
            .map(|newest| newest.version);
        let fits = |upstream: &Upstream| {
            let held = upstream.version(adapter);
            held.is_some_and(|held| may_move(answer.version, held, newest))
        };
        let found = field.least_loaded(|upstream| takes(upstream) && fits(upstream));
        if found.is_none() && ask {
            let mut homes = self.homes(&field, adapter);
            homes.retain(|upstream| !field.is_prefill(upstream));
            self.frontend
                .load_in_background(homes, adapter, newest.unwrap_or_default());
        }
        found.map(|upstream| Self::at(upstream, adapter))
    }

    pub(super) fn manner(&self) -> Workload {
        Workload::of(self.message.metadata.tokens)
    }

    pub(super) fn field<'a>(
        &'a self,
        upstreams: &'a [Arc<Upstream>],
        roles: &'a Roles,
    ) -> Selector<'a> {
        Selector {
            upstreams,
            tried: &self.tried,
            home: &self.frontend.failure_domain,
            now: self.now(),
            salt: salt(&self.message.metadata),
            pause: self.route.max_event_gap,
            roles,
            id: xxh3_64(self.id().as_bytes()),
            usual: self
                .message
                .metadata
                .model
                .is_some()
                .then(|| mean_remote_utilization(upstreams)),
        }
    }

    /// Finds an engine that holds the adapter, or has one load it.
    ///
    /// # Errors
    ///
    /// A refusal when the request would begin too late wherever it is sent.
    async fn holder(
        &self,
        field: &Selector<'_>,
        adapter: &Name,
    ) -> Result<Option<Target>, Failure> {
        let newest = self.frontend.view.newest(adapter);
        let wanted = newest.map_or(0, |newest| newest.version);
        let waiting = match self.ask_holders(field, adapter, wanted).await {
            Asked::Place(target) => return Ok(Some(target)),
            Asked::TooLate(back) => {
                let failure = self.refusal(Code::NoUpstream, "it would begin too late");
                return Err(match failure.retry_after {
                    Some(_) => failure.retry_after(back),
                    None => failure,
                });
            }
            Asked::Load(waiting) => waiting,
        };
        if let Some(target) = self.older(field, adapter, wanted).await {
            self.frontend
                .load_in_background(self.homes(field, adapter), adapter, wanted);
            return Ok(Some(target));
        }
        let homes = self.homes(field, adapter);
        let mut homes = self
            .by_load(adapter, wanted, homes, waiting.is_some())
            .await;
        homes.extend(self.replacing(field, adapter));
        if let Some(upstream) = self.loaded(homes, adapter, wanted).await {
            let question = AdmitQuery {
                loaded: true,
                ..self.admit_query(Some(adapter), wanted)
            };
            return Ok(self.counted(upstream, adapter, question).await);
        }
        let question = self.admit_query(Some(adapter), wanted);
        if let Some(waiting) = waiting
            && let Some(target) = self.counted(waiting.upstream, adapter, question).await
        {
            return Ok(Some(target));
        }
        // An engine that can't be reached holds the adapter for nobody: it was passed over
        // above, and is better than none now.
        let holds =
            |upstream: &Upstream| upstream.version(adapter).is_some_and(|held| held >= wanted);
        match field.select(self.manner(), holds) {
            Some(upstream) => Ok(self.counted(upstream, adapter, question).await),
            None => Ok(None),
        }
    }

    /// Finds a place at an engine that holds an older version, if the request begins there in time.
    ///
    /// Only an engine with a free place will do. In a queue the request could outlast its version,
    /// while the newest one is loaded elsewhere in less time than most queues take. A request
    /// that doesn't show when it begins waits for the newest. Where the newest one's engines have
    /// queues, a free place begins a request sooner than they or a further load would.
    async fn older(&self, field: &Selector<'_>, adapter: &Name, newest: u64) -> Option<Target> {
        if !self.message.kind.is_streaming() {
            return None;
        }
        let mut asked: SmallVec<[Name; MAX_ADMISSION_QUERIES]> = SmallVec::new();
        while asked.len() < MAX_ADMISSION_QUERIES {
            let fits = |upstream: &Upstream| {
                upstream.version(adapter).is_some_and(|held| held < newest)
                    && !asked.contains(&upstream.incarnation)
                    && !upstream.is_unreachable(field.now)
                    && self.time_to_begin(upstream, adapter) > Millis::ZERO
            };
            let upstream = field.select(self.manner(), fits)?;
            asked.push(Name::clone(&upstream.incarnation));
            let question = AdmitQuery {
                max_running: upstream.slots,
                max_wait: admission_policy::calm_wait(self.route.latency_objective)
                    .min(self.time_to_begin(&upstream, adapter)),
                ..self.admit_query(Some(adapter), 0)
            };
            match self.frontend.controllers.admit(&upstream, question).await {
                admit::AdmitDecision::Admitted(permit, _) => {
                    return Some(Self::admitted(upstream, adapter, Some(permit)));
                }
                admit::AdmitDecision::Absent(_) => upstream.remove_adapter(adapter),
                admit::AdmitDecision::Unknown
                    if upstream.total_running() < admission_policy::calm_limit(upstream.slots) =>
                {
                    return Some(Self::admitted(upstream, adapter, None));
                }
                admit::AdmitDecision::Busy(_) | admit::AdmitDecision::Unknown => {}
            }
        }
        None
    }

    /// Returns how long a request may wait at an engine before its version there is replaced.
    pub(super) fn time_to_begin(&self, upstream: &Upstream, adapter: &Name) -> Millis {
        let Some(version) = upstream.version(adapter) else {
            return Millis::ZERO;
        };
        match self.frontend.begin_deadline(adapter, version) {
            Some(begin_deadline) => {
                begin_deadline.since(self.now() + REPLACEMENT_LEAD + WITHDRAWAL_LEAD)
            }
            None => Millis::MAX,
        }
    }

    /// Has an engine load the adapter, asking one after the other.
    async fn loaded(
        &self,
        homes: Vec<Arc<Upstream>>,
        adapter: &Name,
        wanted: u64,
    ) -> Option<Arc<Upstream>> {
        let (mut asked, mut unowned) = (0, 0);
        for upstream in homes {
            if asked == MOST_ASKED || unowned == MOST_UNOWNED {
                break;
            }
            let left = self.deadline.since(self.now());
            let load_attempt = LoadAttempt::new(self, &upstream, adapter);
            let load = self.frontend.controllers.load(&upstream, adapter, wanted);
            let Ok(loaded) = tokio::time::timeout(left.duration(), load).await else {
                break;
            };
            let took = load_attempt.finish(loaded);
            self.frontend
                .metrics
                .load_wait
                .with_label_values(&[CLASS_LABEL])
                .observe(seconds(took));
            match loaded {
                LoadOutcome::Ready(held) if held >= wanted && upstream.is_ready() => {
                    return Some(upstream);
                }
                LoadOutcome::NotOwner => unowned += 1,
                _ => asked += 1,
            }
        }
        None
    }

    /// Whether an engine holds the adapter's base and somebody who answers gives it orders.
    ///
    /// An engine without an owner who answers can load nothing. While nodes are gone and the
    /// service is away there are many of them; asked one after the other, they used up the
    /// questions of a request that an engine further down could have served.
    fn can_load(&self, upstream: &Upstream, adapter: &Name) -> bool {
        upstream.has_base_model(adapter) && self.frontend.controllers.has_live_owner(upstream)
    }

    /// Engines that could load the adapter, those with no older version of it first.
    fn homes(&self, field: &Selector<'_>, adapter: &Name) -> Vec<Arc<Upstream>> {
        let mut homes =
            field.placement_candidates(adapter, |upstream| self.can_load(upstream, adapter));
        let reads = self.manner() == Workload::PrefillHeavy;
        homes.sort_by_key(|upstream| field.is_prefill(upstream) != reads);
        if let Some(rest) = homes.get_mut(FIRST_HOMES..) {
            rest.sort_by_key(|upstream| upstream.adapter_count());
        }
        homes.sort_by_key(|upstream| upstream.version(adapter).is_some());
        homes
    }

    /// Engines that rejected the request for the load of a newer version, which they go on with.
    fn replacing<'a>(
        &'a self,
        field: &Selector<'a>,
        adapter: &'a Name,
    ) -> impl Iterator<Item = Arc<Upstream>> + use<'a> {
        let rejected = |upstream: &&Arc<Upstream>| {
            self.replacing_upstreams.contains(&upstream.incarnation)
                && upstream.is_ready()
                && self.can_load(upstream, adapter)
        };
        field.upstreams.iter().filter(rejected).cloned()
    }

    /// Has a further engine hold an adapter whose requests crowd those that hold it.
    ///
    /// All nodes know the same order of engines; chance keeps those that notice the crowd
    /// together from asking the same one, so that replicas double with each load.
    pub(super) fn spread(&self, field: &Selector<'_>, adapter: &Name, wanted: u64, reads: bool) {
        let holders = field.upstreams.iter();
        let replicas = holders
            .filter(|upstream| upstream.version(adapter).is_some())
            .count();
        let mut homes = field.placement_candidates(adapter, |upstream| {
            upstream.version(adapter).is_none()
                && field.is_prefill(upstream) == reads
                && upstream.total_running() < upstream.slots
                && self.can_load(upstream, adapter)
        });
        let among = u64::try_from(replicas.clamp(1, homes.len().max(1))).unwrap_or(1);
        let chosen = usize::try_from(field.id % among).unwrap_or_default();
        if chosen < homes.len() {
            homes.swap(0, chosen);
        }
        self.frontend.load_in_background(homes, adapter, wanted);
    }

    /// Has a reader hold an adapter whose prompts are read at a writer, sooner the more there are.
    pub(super) fn copy(&self, field: &Selector<'_>, adapter: &Name, wanted: u64, found: &Upstream) {
        let chosen = xxh3_64(self.id().as_bytes()).is_multiple_of(COPY_ONE_IN);
        if !field.roles.is_disaggregated() || field.is_prefill(found) || !chosen {
            return;
        }
        let homes = field.placement_candidates(adapter, |upstream| {
            field.is_prefill(upstream) && self.can_load(upstream, adapter)
        });
        self.frontend.load_in_background(homes, adapter, wanted);
    }

    pub(super) fn at(upstream: Arc<Upstream>, adapter: &Name) -> Target {
        // An adapter that was loaded as whatever is the newest has no number
        // here; expecting one would have the engine turn the request away.
        let version = upstream.version(adapter).filter(|version| *version > 0);
        Target {
            upstream,
            version,
            permit: None,
        }
    }
}

fn anywhere(upstream: Arc<Upstream>) -> Target {
    Target {
        upstream,
        version: None,
        permit: None,
    }
}

/// The last part of the prompt that others share, or the request itself.
fn salt(metadata: &RequestMetadata) -> u64 {
    let shared = metadata.prompt_segments.len().checked_sub(2);
    match (
        shared.and_then(|at| metadata.prompt_segments.get(at)),
        &metadata.id,
    ) {
        (Some(part), _) => part.id,
        (None, Some(id)) => xxh3_64(id.as_bytes()),
        (None, None) => 0,
    }
}
