//! A place for a request at an engine, asked of the engines' owners.
//!
//! The load is told in [`super::admission_policy`], which holds the decisions; here they are carried out.

use std::sync::Arc;

use smallvec::SmallVec;

use super::admission_policy::{self, MAX_ADMISSION_QUERIES};
use super::admit::{self, AdmitQuery, Permit};
use super::occupancy::EngineLoad;
use super::request::ActiveRequest;
use super::selection::Selector;
use super::target::{FIRST_HOMES, Target};
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// What asking engines that are believed to hold an adapter led to.
#[derive(Debug)]
pub(super) enum Asked {
    /// Send there.
    Place(Target),
    /// None holds it, or all have a queue that lasts longer than a load elsewhere.
    Load(Option<Target>),
    /// It would begin too late wherever it is sent.
    TooLate(Millis),
}

impl ActiveRequest {
    /// Asks for a place at any load.
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
            tokens: self.message.metadata.tokens.map_or(0, |(prompt, _)| prompt),
            max_wait: admission_policy::calm_wait(self.route.latency_objective),
        }
    }

    /// Finds an engine for a request that uses no adapter.
    pub(super) async fn with_base(&self, field: &Selector<'_>, model: &Name) -> Option<Target> {
        let upstream = field.select(self.manner(), |upstream| upstream.has_base_model(model))?;
        let question = self.admit_query(None, 0);
        let permit = match self.frontend.controllers.admit(&upstream, question).await {
            admit::AdmitDecision::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        Some(Target {
            upstream,
            version: None,
            permit,
        })
    }

    /// Asks engines that are believed to hold the adapter for a place, the better ones first.
    pub(super) async fn ask_holders(
        &self,
        field: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
    ) -> Asked {
        let turned_away = self.rejections > 0;
        let mut busy: SmallVec<[(Arc<Upstream>, EngineLoad); MAX_ADMISSION_QUERIES]> =
            SmallVec::new();
        while busy.len() < MAX_ADMISSION_QUERIES {
            let holds = |upstream: &Upstream| {
                let asked = |(one, _): &(Arc<Upstream>, EngineLoad)| {
                    one.incarnation == upstream.incarnation
                };
                upstream.version(adapter).is_some_and(|held| held >= wanted)
                    && !busy.iter().any(asked)
            };
            let Some(upstream) = field.select(self.manner(), holds) else {
                break;
            };
            // One that only fails some requests keeps them: copies of all its adapters
            // would cost more than the failures.
            let full = turned_away && self.tried.contains(&upstream.incarnation);
            if full || upstream.is_unreachable(field.now) {
                break;
            }
            self.copy(field, adapter, wanted, &upstream);
            let question = AdmitQuery {
                max_running: admission_policy::calm_limit(upstream.slots),
                ..self.admit_query(Some(adapter), wanted)
            };
            match self.frontend.controllers.admit(&upstream, question).await {
                admit::AdmitDecision::Admitted(permit, _) => {
                    return Asked::Place(Self::admitted(upstream, adapter, Some(permit)));
                }
                admit::AdmitDecision::Busy(load) => busy.push((upstream, load)),
                admit::AdmitDecision::Absent(_) => upstream.remove_adapter(adapter),
                admit::AdmitDecision::Unknown => {
                    return Asked::Place(Self::admitted(upstream, adapter, None));
                }
            }
        }
        self.settle(field, adapter, wanted, &busy).await
    }

    /// Decides between engines that are all no longer calm.
    async fn settle(
        &self,
        field: &Selector<'_>,
        adapter: &Name,
        wanted: u64,
        busy: &[(Arc<Upstream>, EngineLoad)],
    ) -> Asked {
        let least = busy
            .iter()
            .min_by_key(|(upstream, load)| (load.wait, load.running * 100 / upstream.slots));
        let Some((upstream, load)) = least else {
            return Asked::Load(None);
        };
        let reads = field.is_prefill(upstream);
        if admission_policy::is_crowded(*load, upstream.slots, reads) {
            self.spread(field, adapter, wanted, reads);
        }
        let now = self.now();
        let (passed, left) = (now.since(self.arrived_at), self.deadline.since(now));
        let late =
            admission_policy::come_back(load.wait, self.route.latency_objective, passed, left);
        if let (Some(back), true) = (late, self.possible_runs == 0) {
            return Asked::TooLate(back);
        }
        if admission_policy::is_worth_load(load.wait) {
            return Asked::Load(Some(Self::at(Arc::clone(upstream), adapter)));
        }
        let question = self.admit_query(Some(adapter), wanted);
        let target = self.counted(Arc::clone(upstream), adapter, question).await;
        target.map_or(Asked::Load(None), Asked::Place)
    }

    /// Has a request counted at the engine to which it goes whatever the load there.
    ///
    /// One that isn't counted shows to nobody until its node tells of it: others are told of a
    /// queue that is shorter than it is, and its adapter could be evicted. Where nobody counts it
    /// is sent by belief; none means that the owner says that the adapter isn't there.
    pub(super) async fn counted(
        &self,
        upstream: Arc<Upstream>,
        adapter: &Name,
        question: AdmitQuery<'_>,
    ) -> Option<Target> {
        match self.frontend.controllers.admit(&upstream, question).await {
            admit::AdmitDecision::Admitted(permit, _) => {
                Some(Self::admitted(upstream, adapter, Some(permit)))
            }
            admit::AdmitDecision::Absent(_) => {
                upstream.remove_adapter(adapter);
                None
            }
            admit::AdmitDecision::Busy(_) | admit::AdmitDecision::Unknown => {
                Some(Self::admitted(upstream, adapter, None))
            }
        }
    }

    pub(super) fn admitted(
        upstream: Arc<Upstream>,
        adapter: &Name,
        permit: Option<Permit>,
    ) -> Target {
        Target {
            permit,
            ..Self::at(upstream, adapter)
        }
    }

    /// Whether another engine that holds what the request needs is believed to have free places.
    pub(super) fn has_free_holder(&self, but: &Upstream) -> bool {
        let Some(model) = &self.message.metadata.model else {
            return false;
        };
        let adapter = self.message.metadata.adapter();
        let now = self.now();
        let pool = self.frontend.view.pool(&self.pool);
        pool.iter().any(|upstream| {
            let holds = match adapter {
                Some(adapter) => self.time_to_begin(upstream, adapter) > Millis::ZERO,
                None => upstream.has_base_model(model),
            };
            holds
                && upstream.incarnation != but.incarnation
                && upstream.is_ready()
                && !upstream.is_suspended(now)
                && !self.tried.contains(&upstream.incarnation)
                && upstream.total_running() < admission_policy::calm_limit(upstream.slots)
        })
    }

    /// Orders the engines that come first for an adapter by how soon they would begin.
    ///
    /// Half of all adapters are asked for once a day. Loaded at their first engine whatever runs
    /// there, they crowd the engines of popular adapters; the second one is as good a home.
    ///
    /// With `only_calm` the request could wait where its adapter is: a load then pays only at an
    /// engine that has little to do. Where all are busy, loads for each request would crowd the
    /// weight store and gain nothing.
    pub(super) async fn by_load(
        &self,
        adapter: &Name,
        wanted: u64,
        mut homes: Vec<Arc<Upstream>>,
        only_calm: bool,
    ) -> Vec<Arc<Upstream>> {
        let first = &homes[..FIRST_HOMES.min(homes.len())];
        let asking = first.iter().map(|upstream| {
            let question = AdmitQuery {
                max_running: 1,
                max_wait: Millis::ZERO,
                ..self.admit_query(Some(adapter), wanted)
            };
            self.frontend.controllers.admit(upstream, question)
        });
        let answers = futures::future::join_all(asking).await;
        let loads: Vec<Option<EngineLoad>> =
            answers.iter().map(admit::AdmitDecision::load).collect();
        let objective = self.route.latency_objective;
        if only_calm {
            let calm = homes.iter().zip(&loads).filter(|(upstream, load)| {
                load.is_some_and(|load| admission_policy::is_calm(load, upstream.slots, objective))
            });
            return calm.map(|(upstream, _)| Arc::clone(upstream)).collect();
        }
        if let [Some(one), Some(other)] = loads[..]
            && admission_policy::is_better_home(one, other, objective)
        {
            homes.swap(0, 1);
        }
        homes
    }
}
