//! Finds the next target of a request: an engine that holds its adapter, or one that is to load it.

use std::sync::Arc;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::acquire::HolderSearch;
use super::admission_policy::{self, MAX_ADMISSION_QUERIES};
use super::admit::{self, AdmitQuery, Permit};
use super::attempt::UpstreamResponse;
use super::entry::{CLASS_LABEL, seconds};
use super::metadata::{RequestMetadata, base_model_of};
use super::orders::LoadOutcome;
use super::request::ActiveRequest;
use super::request_log::LoadAttempt;
use super::roles::{Roles, Workload, may_move};
use super::selection::{Selector, mean_remote_utilization};
use super::upstream::Upstream;
use super::versions::{REPLACEMENT_LEAD, WITHDRAWAL_LEAD};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Maximum number of engines that are asked in turn to load an adapter for one request.
///
/// An engine with a full queue answers within a millisecond or two; twelve such answers take less
/// time than one load.
const MAX_LOAD_ATTEMPTS: usize = 12;

/// Maximum number of engines that are asked for one request although their owner has just lost the
/// right to give orders.
///
/// Such owners answer within milliseconds, unlike those that attempt a load.
const MAX_UNOWNED_ATTEMPTS: usize = 16;

/// Number of engines at the head of an adapter's placement order that stay first, however many
/// adapters they hold.
///
/// They may have kept a copy of the adapter, which loads ten times as fast.
pub(super) const PREFERRED_CANDIDATES: usize = 2;

/// One in this many requests that prefill at a decode engine loads the adapter at a prefill engine.
///
/// Each node sees a ninth or less of an adapter's requests. A random choice triggers the load after
/// about this many requests over all nodes without a shared count: adapters requested once or twice
/// seldom cost a second load, and frequent ones get it at once.
const PREFILL_COPY_ONE_IN: u64 = 2;

/// Upstream to send a request to, with the version of the adapter expected there.
#[derive(Debug)]
pub struct Target {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The version of the adapter; `None` if any version is acceptable.
    pub version: Option<u64>,
    /// Keeps the request counted by the upstream's owner, if the owner admitted it.
    pub permit: Option<Permit>,
}

impl ActiveRequest {
    /// Finds the target to send to, waiting briefly if there is none.
    pub(super) async fn find_target(&self) -> Result<Target, Failure> {
        let quarantine = &self.frontend.quarantine;
        if !quarantine.is_empty() {
            quarantine
                .wait_for_crash_check(self.message.subjects())
                .await;
        }
        loop {
            self.check_quarantine()?;
            let upstreams = self.candidates();
            self.check_origin(&upstreams)?;
            let roles = self.frontend.roles(&self.pool);
            let selector = self.selector(&upstreams, &roles);
            let found = match &self.message.metadata.model {
                None => self.plain_target(&selector).await,
                Some(model) => match self.message.metadata.adapter() {
                    None => self.base_model_target(&selector, model).await,
                    Some(adapter) => self.adapter_target(&selector, adapter).await?,
                },
            };
            let is_found = found.is_some();
            if let Some(target) = found
                && self.may_send_to(&target).await
            {
                // The request may have waited for its adapter in the meantime.
                self.pass_quarantine()?;
                return Ok(target);
            }
            let now = self.now();
            let (refuse_at, pause) = self.selection_schedule(&upstreams, is_found);
            if now >= refuse_at || now >= self.deadline {
                return Err(self.refusal(Code::NoUpstream, "no upstream can take it now"));
            }
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Returns the decode engine to which a run moves after its answer has started, if there is
    /// one.
    ///
    /// With `request_load`, a decode engine is asked to load the adapter if none holds it, so that
    /// the run can move after a later event.
    pub(super) fn decode_target(
        &self,
        answer: &UpstreamResponse,
        request_load: bool,
    ) -> Option<Target> {
        let source = &answer.upstream;
        let roles = self.frontend.roles(&self.pool);
        // An engine counts a run that it has no room for as a rejection.
        let is_limited = source.notice().limit(self.now()).is_some();
        if !roles.is_prefill(source.address) || is_limited {
            return None;
        }
        let upstreams = self.candidates();
        let selector = self.selector(&upstreams, &roles);
        let model = base_model_of(self.message.metadata.model.as_ref()?);
        let can_take = |upstream: &Upstream| {
            !selector.is_prefill(upstream)
                && answer.can_move_to(upstream, model)
                && !self.tried.contains(&upstream.incarnation)
                && !upstream.is_suspended(selector.now)
                && upstream.total_running() < upstream.slots
        };
        let Some(adapter) = self.message.metadata.adapter() else {
            return selector
                .least_loaded(|upstream| can_take(upstream) && upstream.has_base_model(model))
                .map(any_version_target);
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
        let found = selector.least_loaded(|upstream| can_take(upstream) && fits(upstream));
        if found.is_none() && request_load {
            let mut candidates = self.load_candidates(&selector, adapter);
            candidates.retain(|upstream| {
                !selector.is_prefill(upstream) && answer.can_move_to(upstream, model)
            });
            self.frontend
                .load_in_background(candidates, adapter, newest.unwrap_or_default());
        }
        found.map(|upstream| Self::uncounted_target(upstream, adapter))
    }

    /// Returns the base model that runs the request; empty if it names none.
    pub(super) fn base_model(&self) -> &str {
        let model = self.message.metadata.model.as_deref();
        model.map_or("", base_model_of)
    }

    pub(super) fn workload(&self) -> Workload {
        Workload::of(self.message.metadata.tokens)
    }

    pub(super) fn selector<'a>(
        &'a self,
        upstreams: &'a [Arc<Upstream>],
        roles: &'a Roles,
    ) -> Selector<'a> {
        Selector {
            upstreams,
            tried: &self.tried,
            local_domain: &self.frontend.failure_domain,
            now: self.now(),
            affinity_seed: affinity_seed(&self.message.metadata),
            max_event_gap: self.route.max_event_gap,
            roles,
            request_hash: xxh3_64(self.id().as_bytes()),
            remote_prior: self
                .message
                .metadata
                .model
                .is_some()
                .then(|| mean_remote_utilization(upstreams)),
        }
    }

    /// Finds an engine that holds the adapter, or gets one to load it.
    ///
    /// # Errors
    ///
    /// A refusal if the request would start too late at any engine.
    async fn adapter_target(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
    ) -> Result<Option<Target>, Failure> {
        let newest = self.frontend.view.newest(adapter);
        let wanted = newest.map_or(0, |newest| newest.version);
        let queued = match self.query_holders(selector, adapter, wanted).await {
            HolderSearch::Found(target) => return Ok(Some(target)),
            HolderSearch::TooLate(retry_after) => {
                let failure = self.refusal(Code::NoUpstream, "it would begin too late");
                return Err(match failure.retry_after {
                    Some(_) => failure.retry_after(retry_after),
                    None => failure,
                });
            }
            HolderSearch::LoadElsewhere(queued) => queued,
        };
        if let Some(target) = self.older_version_target(selector, adapter, wanted).await {
            self.frontend.load_in_background(
                self.load_candidates(selector, adapter),
                adapter,
                wanted,
            );
            return Ok(Some(target));
        }
        let candidates = self.load_candidates(selector, adapter);
        let mut candidates = self
            .order_by_load(adapter, wanted, candidates, queued.is_some())
            .await;
        candidates.extend(self.replacing_engines(selector, adapter));
        if let Some(upstream) = self.load_adapter(candidates, adapter, wanted).await {
            let query = AdmitQuery {
                loaded: true,
                ..self.admit_query(Some(adapter), wanted)
            };
            return Ok(self.request_permit(upstream, adapter, query).await);
        }
        let query = self.admit_query(Some(adapter), wanted);
        if let Some(queued) = queued
            && let Some(target) = self.request_permit(queued.upstream, adapter, query).await
        {
            return Ok(Some(target));
        }
        // Engines that can't be reached were skipped above. As a last resort, one that holds the
        // adapter is better than none.
        let holds =
            |upstream: &Upstream| upstream.version(adapter).is_some_and(|held| held >= wanted);
        match selector.select(self.workload(), holds) {
            Some(upstream) => Ok(self.request_permit(upstream, adapter, query).await),
            None => Ok(None),
        }
    }

    /// Finds an engine that holds an older version, if the request would start there in time.
    ///
    /// Only an engine with a free slot is acceptable. In a queue, the request could wait until its
    /// version may no longer start, and loading the newest version elsewhere takes less time than
    /// most queues. A request that isn't streamed doesn't show when it starts, so it waits for the
    /// newest version. If the engines with the newest version have queues, a free slot starts a
    /// request sooner than they or another load would.
    async fn older_version_target(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
        newest: u64,
    ) -> Option<Target> {
        if !self.message.kind.is_streaming() {
            return None;
        }
        let mut queried: SmallVec<[Name; MAX_ADMISSION_QUERIES]> = SmallVec::new();
        while queried.len() < MAX_ADMISSION_QUERIES {
            let fits = |upstream: &Upstream| {
                upstream.version(adapter).is_some_and(|held| held < newest)
                    && !queried.contains(&upstream.incarnation)
                    && !upstream.is_unreachable(selector.now)
                    && self.time_to_begin(upstream, adapter) > Millis::ZERO
            };
            let upstream = selector.select(self.workload(), fits)?;
            queried.push(Name::clone(&upstream.incarnation));
            let query = AdmitQuery {
                max_running: upstream.slots,
                max_wait: admission_policy::light_load_wait(self.route.latency_objective)
                    .min(self.time_to_begin(&upstream, adapter)),
                ..self.admit_query(Some(adapter), 0)
            };
            match self.frontend.controllers.admit(&upstream, query).await {
                admit::AdmitDecision::Admitted(permit, _) => {
                    return Some(Self::target_with_permit(upstream, adapter, Some(permit)));
                }
                admit::AdmitDecision::Absent(_) => upstream.remove_adapter(adapter),
                admit::AdmitDecision::Unknown
                    if upstream.total_running()
                        < admission_policy::light_load_limit(upstream.slots) =>
                {
                    return Some(Self::target_with_permit(upstream, adapter, None));
                }
                admit::AdmitDecision::Busy(_) | admit::AdmitDecision::Unknown => {}
            }
        }
        None
    }

    /// Returns how long a request may wait at an engine before the version there may no longer
    /// start.
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

    /// Asks the candidates in turn to load the adapter, and returns the first that holds it.
    async fn load_adapter(
        &self,
        candidates: Vec<Arc<Upstream>>,
        adapter: &Name,
        wanted: u64,
    ) -> Option<Arc<Upstream>> {
        let (mut attempts, mut unowned) = (0, 0);
        for upstream in candidates {
            if attempts == MAX_LOAD_ATTEMPTS || unowned == MAX_UNOWNED_ATTEMPTS {
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
                _ => attempts += 1,
            }
        }
        None
    }

    /// Whether an engine holds the adapter's base model and has an owner that answers.
    ///
    /// An engine without such an owner can't load anything. There are many of them while nodes are
    /// down and the key-value service is unavailable. Asked in turn, they used up the load attempts
    /// of a request that an engine further down the order could have served.
    fn can_load(&self, upstream: &Upstream, adapter: &Name) -> bool {
        upstream.has_base_model(adapter) && self.frontend.controllers.has_live_owner(upstream)
    }

    /// Returns the engines that could load the adapter, those with no version of it first.
    fn load_candidates(&self, selector: &Selector<'_>, adapter: &Name) -> Vec<Arc<Upstream>> {
        let mut candidates =
            selector.placement_candidates(adapter, |upstream| self.can_load(upstream, adapter));
        let is_prefill_heavy = self.workload() == Workload::PrefillHeavy;
        candidates.sort_by_key(|upstream| selector.is_prefill(upstream) != is_prefill_heavy);
        if let Some(rest) = candidates.get_mut(PREFERRED_CANDIDATES..) {
            rest.sort_by_key(|upstream| upstream.adapter_count());
        }
        candidates.sort_by_key(|upstream| upstream.version(adapter).is_some());
        candidates
    }

    /// Returns the engines that rejected the request because they are loading a newer version.
    fn replacing_engines<'a>(
        &'a self,
        selector: &Selector<'a>,
        adapter: &'a Name,
    ) -> impl Iterator<Item = Arc<Upstream>> + use<'a> {
        let rejected = |upstream: &&Arc<Upstream>| {
            self.replacing_upstreams.contains(&upstream.incarnation)
                && upstream.is_ready()
                && self.can_load(upstream, adapter)
        };
        selector.upstreams.iter().filter(rejected).cloned()
    }

    /// Loads an adapter at one more engine when the engines that hold it are overloaded.
    ///
    /// All nodes use the same placement order. A random choice keeps nodes that notice the overload
    /// at the same time from asking the same engine, so that the number of replicas doubles with
    /// each load.
    pub(super) fn add_replica(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
        is_prefill: bool,
    ) {
        let holders = selector.upstreams.iter();
        let replicas = holders
            .filter(|upstream| upstream.version(adapter).is_some())
            .count();
        let mut candidates = selector.placement_candidates(adapter, |upstream| {
            upstream.version(adapter).is_none()
                && selector.is_prefill(upstream) == is_prefill
                && upstream.total_running() < upstream.slots
                && self.can_load(upstream, adapter)
        });
        let choices = u64::try_from(replicas.clamp(1, candidates.len().max(1))).unwrap_or(1);
        let chosen = usize::try_from(selector.request_hash % choices).unwrap_or_default();
        if chosen < candidates.len() {
            candidates.swap(0, chosen);
        }
        self.frontend
            .load_in_background(candidates, adapter, wanted);
    }

    /// Loads an adapter at a prefill engine if its prompts are prefilled at a decode engine; the
    /// more requests there are, the sooner.
    pub(super) fn copy_to_prefill(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
        chosen: &Upstream,
    ) {
        let is_drawn = xxh3_64(self.id().as_bytes()).is_multiple_of(PREFILL_COPY_ONE_IN);
        if !selector.roles.is_disaggregated() || selector.is_prefill(chosen) || !is_drawn {
            return;
        }
        let candidates = selector.placement_candidates(adapter, |upstream| {
            selector.is_prefill(upstream) && self.can_load(upstream, adapter)
        });
        self.frontend
            .load_in_background(candidates, adapter, wanted);
    }

    pub(super) fn uncounted_target(upstream: Arc<Upstream>, adapter: &Name) -> Target {
        // An adapter that was loaded as the newest version, whichever that is, is recorded with the
        // number 0. If the request expected that version, the engine would reject it.
        let version = upstream.version(adapter).filter(|version| *version > 0);
        Target {
            upstream,
            version,
            permit: None,
        }
    }
}

fn any_version_target(upstream: Arc<Upstream>) -> Target {
    Target {
        upstream,
        version: None,
        permit: None,
    }
}

/// Returns the id of the last prompt segment that other requests may share, or a hash of the
/// request's id.
fn affinity_seed(metadata: &RequestMetadata) -> u64 {
    match (metadata.shared_segments().last(), &metadata.id) {
        (Some(part), _) => part.id,
        (None, Some(id)) => xxh3_64(id.as_bytes()),
        (None, None) => 0,
    }
}
