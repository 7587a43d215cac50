//! Acquires a permit for a request from the owners of engines.
//!
//! The thresholds are in [`super::admission_policy`], together with the traffic that they are made
//! for; this module applies them.

use std::sync::Arc;

use smallvec::SmallVec;

use super::admission_policy::{self, MAX_ADMISSION_QUERIES};
use super::admit::{self, AdmitQuery, Permit};
use super::occupancy::EngineLoad;
use super::rejections::notice::Knowledge;
use super::request::{ActiveRequest, SELECTION_RETRY_PAUSE};
use super::selection::Selector;
use super::target::{PREFERRED_CANDIDATES, Target};
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// Divisor of the latency objective that gives the time for which a request may wait for an
/// upstream before it is refused.
///
/// A refusal this early leaves the caller time to retry.
const REFUSE_AFTER_DIVISOR: u64 = 8;

/// The same while upstreams limit their rejections.
const LIMITED_REFUSE_AFTER_DIVISOR: u64 = 2;

/// Number of rejections in a second that plain upstreams are assumed to bear, if nothing is known.
const ASSUMED_LIMIT: u32 = 2;

/// Pause between two selections of the most urgent requests while upstreams limit their rejections.
const LIMITED_SELECTION_PAUSE: Millis = Millis(10);

/// Result of querying the engines that are believed to hold an adapter.
#[derive(Debug)]
pub(super) enum HolderSearch {
    /// The request is to be sent to this engine.
    Found(Target),
    /// No engine holds the adapter, or all have queues that take longer than a load at another
    /// engine. In the second case, this is the engine with the shortest wait.
    LoadElsewhere(Option<Target>),
    /// The request would start too late at any engine; the caller should retry after this time.
    TooLate(Millis),
}

impl ActiveRequest {
    /// Returns an admission query that is admitted whatever the load.
    pub(super) fn admit_query<'a>(
        &self,
        adapter: Option<&'a Name>,
        version: u64,
    ) -> AdmitQuery<'a> {
        AdmitQuery {
            adapter,
            version,
            max_running: 0,
            loaded: false,
            report_only: false,
            assumed_limit: None,
            tokens: self.message.metadata.tokens.map_or(0, |(prompt, _)| prompt),
            max_wait: admission_policy::light_load_wait(self.route.latency_objective),
        }
    }

    /// Finds an engine for a request that uses only a base model.
    pub(super) async fn base_model_target(
        &self,
        selector: &Selector<'_>,
        model: &Name,
    ) -> Option<Target> {
        let upstream =
            selector.select(self.workload(), |upstream| upstream.has_base_model(model))?;
        let query = self.admit_query(None, 0);
        let permit = match self.frontend.controllers.admit(&upstream, query).await {
            admit::AdmitDecision::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        Some(Target {
            upstream,
            version: None,
            permit,
        })
    }

    /// Queries the engines that are believed to hold the adapter for admission, the best ones
    /// first.
    pub(super) async fn query_holders(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
    ) -> HolderSearch {
        let was_rejected = self.rejections > 0;
        let mut busy: SmallVec<[(Arc<Upstream>, EngineLoad); MAX_ADMISSION_QUERIES]> =
            SmallVec::new();
        while busy.len() < MAX_ADMISSION_QUERIES {
            let holds = |upstream: &Upstream| {
                let same = |(one, _): &(Arc<Upstream>, EngineLoad)| {
                    one.incarnation == upstream.incarnation
                };
                upstream.version(adapter).is_some_and(|held| held >= wanted)
                    && !busy.iter().any(same)
            };
            let Some(upstream) = selector.select(self.workload(), holds) else {
                break;
            };
            // An engine that merely fails some requests still gets more: loading copies of all its
            // adapters elsewhere would cost more than the failures.
            let is_full = was_rejected && self.tried.contains(&upstream.incarnation);
            if is_full || upstream.is_unreachable(selector.now) {
                break;
            }
            self.copy_to_prefill(selector, adapter, wanted, &upstream);
            let query = AdmitQuery {
                max_running: admission_policy::light_load_limit(upstream.slots),
                ..self.admit_query(Some(adapter), wanted)
            };
            match self.frontend.controllers.admit(&upstream, query).await {
                admit::AdmitDecision::Admitted(permit, _) => {
                    return HolderSearch::Found(Self::target_with_permit(
                        upstream,
                        adapter,
                        Some(permit),
                    ));
                }
                admit::AdmitDecision::Busy(load) => busy.push((upstream, load)),
                admit::AdmitDecision::Absent(_) => upstream.remove_adapter(adapter),
                admit::AdmitDecision::Unknown => {
                    return HolderSearch::Found(Self::target_with_permit(upstream, adapter, None));
                }
            }
        }
        self.choose_busy(selector, adapter, wanted, &busy).await
    }

    /// Chooses among engines of which none is lightly loaded.
    async fn choose_busy(
        &self,
        selector: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
        busy: &[(Arc<Upstream>, EngineLoad)],
    ) -> HolderSearch {
        let least_busy = busy
            .iter()
            .min_by_key(|(upstream, load)| (load.wait, load.running * 100 / upstream.slots));
        let Some((upstream, load)) = least_busy else {
            return HolderSearch::LoadElsewhere(None);
        };
        let is_prefill = selector.is_prefill(upstream);
        if admission_policy::needs_replica(*load, upstream.slots, is_prefill) {
            self.add_replica(selector, adapter, wanted, is_prefill);
        }
        let now = self.now();
        let (passed, left) = (now.since(self.arrived_at), self.deadline.since(now));
        let retry_after =
            admission_policy::retry_after(load.wait, self.route.latency_objective, passed, left);
        if let (Some(retry_after), true) = (retry_after, self.possible_runs == 0) {
            return HolderSearch::TooLate(retry_after);
        }
        if admission_policy::is_load_faster(load.wait) {
            return HolderSearch::LoadElsewhere(Some(Self::uncounted_target(
                Arc::clone(upstream),
                adapter,
            )));
        }
        let query = self.admit_query(Some(adapter), wanted);
        let target = self
            .request_permit(Arc::clone(upstream), adapter, query)
            .await;
        target.map_or(HolderSearch::LoadElsewhere(None), HolderSearch::Found)
    }

    /// Finds an upstream for a request that uses no model.
    ///
    /// Nobody counts these requests, except while the upstreams limit their rejections, or may do so.
    pub(super) async fn plain_target(&self, selector: &Selector<'_>) -> Option<Target> {
        let lead = self.frontend.limits.get().rejection_lead;
        let mut busy: SmallVec<[Name; MAX_ADMISSION_QUERIES]> = SmallVec::new();
        while busy.len() < MAX_ADMISSION_QUERIES {
            let upstream =
                selector.least_loaded(|upstream| !busy.contains(&upstream.incarnation))?;
            let knowledge = upstream.notice().knowledge(selector.now, lead);
            if knowledge == Knowledge::Unlimited {
                return Some(Self::plain(upstream, None));
            }
            let query = AdmitQuery {
                assumed_limit: Some(ASSUMED_LIMIT),
                ..self.admit_query(None, 0)
            };
            match self.frontend.controllers.admit(&upstream, query).await {
                admit::AdmitDecision::Admitted(permit, _) => {
                    return Some(Self::plain(upstream, Some(permit)));
                }
                admit::AdmitDecision::Unknown if knowledge == Knowledge::Unknown => {
                    return Some(Self::plain(upstream, None));
                }
                _ => busy.push(Name::clone(&upstream.incarnation)),
            }
        }
        None
    }

    fn plain(upstream: Arc<Upstream>, permit: Option<Permit>) -> Target {
        Target {
            upstream,
            version: None,
            permit,
        }
    }

    /// Waits until a target may get the request, with regard to the rejections that it bears;
    /// returns whether it may.
    ///
    /// An upstream with a limit gets only requests that a node counts for it. While nothing is
    /// known of its pool's limit, few requests are sent to find out, and the others wait.
    pub(super) async fn may_send_to(&self, target: &Target) -> bool {
        let lead = self.frontend.limits.get().rejection_lead;
        let notice = target.upstream.notice();
        let objective = self.route.latency_objective.0;
        let until = self.now() + Millis(objective / LIMITED_REFUSE_AFTER_DIVISOR);
        // A plain upstream's requests are counted only with regard to a limit.
        let is_counted = self.message.metadata.model.is_none() && target.permit.is_some();
        let mut has_waited = false;
        loop {
            let now = self.now();
            match notice.knowledge(now, lead) {
                Knowledge::Unlimited => return true,
                // A permit from before the limit was known was given without regard to it.
                Knowledge::Limited(_) => return target.permit.is_some() && !has_waited,
                Knowledge::Unknown if is_counted || notice.take_first_send(now) => return true,
                Knowledge::Unknown if now >= until.min(self.deadline) => return false,
                Knowledge::Unknown => has_waited = true,
            }
            tokio::time::sleep(LIMITED_SELECTION_PAUSE.duration()).await;
        }
    }

    /// Returns when the request is refused if no upstream can take it, and the pause between two
    /// selections.
    ///
    /// Upstreams that limit their rejections let few requests wait, so requests wait here instead;
    /// urgent ones ask more often. `is_withheld` tells whether a target was found that may not get
    /// the request yet.
    pub(super) fn selection_schedule(
        &self,
        upstreams: &[Arc<Upstream>],
        is_withheld: bool,
    ) -> (Millis, Millis) {
        let now = self.now();
        let is_limited = |one: &Arc<Upstream>| one.is_ready() && one.notice().limit(now).is_some();
        let (divisor, pause) = if is_withheld || upstreams.iter().any(is_limited) {
            let urgency = u64::from(self.route.urgency) + 1;
            let pause = Millis(LIMITED_SELECTION_PAUSE.0 * urgency);
            (LIMITED_REFUSE_AFTER_DIVISOR, pause)
        } else {
            (REFUSE_AFTER_DIVISOR, SELECTION_RETRY_PAUSE)
        };
        let refuse_after = Millis(self.route.latency_objective.0 / divisor);
        (self.arrived_at + refuse_after, pause)
    }

    /// Asks the owner to count a request at the engine to which it is sent whatever the load.
    ///
    /// Until its node reports it, an uncounted request is invisible to others: the owner reports a
    /// queue that is too short, and the adapter could be evicted. If no owner counts it, the
    /// request is sent uncounted. Returns `None` if the owner says that the engine doesn't hold the
    /// adapter.
    pub(super) async fn request_permit(
        &self,
        upstream: Arc<Upstream>,
        adapter: &Name,
        query: AdmitQuery<'_>,
    ) -> Option<Target> {
        match self.frontend.controllers.admit(&upstream, query).await {
            admit::AdmitDecision::Admitted(permit, _) => {
                Some(Self::target_with_permit(upstream, adapter, Some(permit)))
            }
            admit::AdmitDecision::Absent(_) => {
                upstream.remove_adapter(adapter);
                None
            }
            admit::AdmitDecision::Busy(_) | admit::AdmitDecision::Unknown => {
                Some(Self::target_with_permit(upstream, adapter, None))
            }
        }
    }

    pub(super) fn target_with_permit(
        upstream: Arc<Upstream>,
        adapter: &Name,
        permit: Option<Permit>,
    ) -> Target {
        Target {
            permit,
            ..Self::uncounted_target(upstream, adapter)
        }
    }

    /// Whether another engine that holds what the request needs is believed to have free slots.
    pub(super) fn has_free_holder(&self, except: &Upstream) -> bool {
        let Some(model) = &self.message.metadata.model else {
            return false;
        };
        let adapter = self.message.metadata.adapter();
        let now = self.now();
        self.candidates().iter().any(|upstream| {
            let holds = match adapter {
                Some(adapter) => self.time_to_begin(upstream, adapter) > Millis::ZERO,
                None => upstream.has_base_model(model),
            };
            holds
                && upstream.incarnation != except.incarnation
                && upstream.is_ready()
                && !upstream.is_suspended(now)
                && !self.tried.contains(&upstream.incarnation)
                && upstream.total_running() < admission_policy::light_load_limit(upstream.slots)
        })
    }

    /// Orders the first engines in an adapter's placement order by how soon they would start a
    /// request.
    ///
    /// Half of all adapters are requested once a day. If they were always loaded at their first
    /// engine, they would overload the engines of popular adapters; the second engine is as good.
    ///
    /// With `only_lightly_loaded`, the request could also wait at an engine that holds its adapter,
    /// so a load pays only at a lightly loaded engine. If all engines are busy, a load for each
    /// request would overload the weight store without any gain.
    pub(super) async fn order_by_load(
        &self,
        adapter: &Name,
        wanted: u64,
        mut candidates: Vec<Arc<Upstream>>,
        only_lightly_loaded: bool,
    ) -> Vec<Arc<Upstream>> {
        let first = &candidates[..PREFERRED_CANDIDATES.min(candidates.len())];
        let queries = first.iter().map(|upstream| {
            let query = AdmitQuery {
                max_running: 1,
                max_wait: Millis::ZERO,
                report_only: true,
                ..self.admit_query(Some(adapter), wanted)
            };
            self.frontend.controllers.admit(upstream, query)
        });
        let decisions = futures::future::join_all(queries).await;
        let loads: Vec<Option<EngineLoad>> =
            decisions.iter().map(admit::AdmitDecision::load).collect();
        let objective = self.route.latency_objective;
        if only_lightly_loaded {
            let lightly_loaded = candidates.iter().zip(&loads).filter(|(upstream, load)| {
                load.is_some_and(|load| {
                    admission_policy::is_lightly_loaded(load, upstream.slots, objective)
                })
            });
            return lightly_loaded
                .map(|(upstream, _)| Arc::clone(upstream))
                .collect();
        }
        if let [Some(one), Some(other)] = loads[..]
            && admission_policy::prefers_second_engine(one, other, objective)
        {
            candidates.swap(0, 1);
        }
        candidates
    }
}
