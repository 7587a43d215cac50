//! Engines as fakes with a few slots.

use std::collections::{BTreeMap, BTreeSet};

use chivevalve::error::Fate;
use chivevalve::name::Name;
use chivevalve::request::Id;
use rand::RngExt;

use super::super::oracle::Promise;
use super::super::world::{Arrival, Due, World};

/// Adapters that an engine holds at a time.
pub(super) const SLOTS: usize = 2;
/// Longest run of a request at an engine.
const LONGEST_RUN: u64 = 2500;

/// What an owner orders an engine to do.
#[derive(Debug, Clone)]
pub enum Order {
    Run {
        id: Id,
        request: usize,
        adapter: usize,
    },
    Load {
        adapter: usize,
        evict: Option<usize>,
    },
    Report,
}

/// What an engine says of itself.
#[derive(Debug, Clone)]
pub struct Report {
    pub(super) boot: u64,
    pub(super) resident: Vec<usize>,
    pub(super) running: Vec<(Id, usize)>,
}

/// An engine with few slots.
#[derive(Debug, Default)]
pub struct Engine {
    pub(super) boot: u64,
    pub(super) token: u64,
    pub(super) resident: BTreeSet<usize>,
    pub(super) running: BTreeMap<Id, (usize, usize, u64)>,
}

/// How a run at an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Refused,
    Lost,
}

impl World {
    /// An order reaches an engine.
    pub(in super::super) fn engine(
        &mut self,
        node: usize,
        start: u64,
        token: u64,
        upstream: Name,
        order: Order,
    ) {
        let engine = self.engines.entry(upstream.clone()).or_default();
        let stale = token < engine.token;
        engine.token = engine.token.max(token);
        match order {
            Order::Report => {
                let report = Report {
                    boot: engine.boot,
                    resident: engine.resident.iter().copied().collect(),
                    running: engine
                        .running
                        .iter()
                        .map(|(id, (_, adapter, _))| (id.clone(), *adapter))
                        .collect(),
                };
                let delay = self.delay();
                let reported = Arrival::Reported(upstream, report);
                self.later(delay, Due::Node(node, start, reported));
            }
            Order::Load { adapter, evict } => {
                let used = evict.is_some_and(|evict| {
                    engine.running.values().any(|(_, used, _)| *used == evict)
                });
                if used && !stale {
                    let detail = format!("{upstream} unloads {evict:?} in use, for n{node}");
                    self.broken(Promise::Pinned, detail);
                    return;
                }
                if let Some(evict) = evict.filter(|_| !stale) {
                    engine.resident.remove(&evict);
                }
                let fits = !stale && engine.resident.len() < SLOTS;
                if fits {
                    engine.resident.insert(adapter);
                }
                let wait = self.rng.random_range(50..300);
                let loaded = Arrival::Loaded(upstream, adapter, fits);
                self.later(wait, Due::Node(node, start, loaded));
            }
            Order::Run {
                id,
                request,
                adapter,
            } => self.run_at(node, start, upstream, id, request, adapter, stale),
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the parts of one order")]
    fn run_at(
        &mut self,
        node: usize,
        start: u64,
        upstream: Name,
        id: Id,
        request: usize,
        adapter: usize,
        stale: bool,
    ) {
        let engine = self.engines.entry(upstream.clone()).or_default();
        if stale || !engine.resident.contains(&adapter) {
            let delay = self.delay();
            let ran = Arrival::Ran(upstream, id, Outcome::Refused);
            self.later(delay, Due::Node(node, start, ran));
            return;
        }
        engine.running.insert(id.clone(), (node, adapter, start));
        let boot = engine.boot;
        self.note_run(request, adapter);
        let span = self.rng.random_range(20..LONGEST_RUN);
        self.later(span, Due::Done(upstream, id, boot));
    }

    fn note_run(&mut self, number: usize, adapter: usize) {
        let request = &mut self.requests[number];
        request.runs += 1;
        let twice = request.runs > 1 && !request.idempotent;
        let wrong = request.adapter != adapter;
        let denied = request.told == Some(Fate::NotRun);
        if twice {
            self.broken(Promise::AtMostOnce, format!("request {number} runs twice"));
        }
        if wrong {
            self.broken(Promise::RightAdapter, format!("request {number}"));
        }
        if denied {
            self.broken(Promise::NotRun, format!("request {number} runs after all"));
        }
    }

    /// A run at an engine ends.
    pub(in super::super) fn done(&mut self, upstream: Name, id: Id, boot: u64) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        if engine.boot != boot {
            return;
        }
        let Some((node, _, start)) = engine.running.remove(&id) else {
            return;
        };
        let delay = self.delay();
        let ran = Arrival::Ran(upstream, id, Outcome::Answered);
        self.later(delay, Due::Node(node, start, ran));
    }

    /// An engine starts anew: nothing is loaded, what ran is lost.
    pub(in super::super) fn restart_engine(&mut self, upstream: &Name) {
        let engine = self.engines.entry(upstream.clone()).or_default();
        engine.boot += 1;
        engine.resident.clear();
        let running = std::mem::take(&mut engine.running);
        for (id, (node, _, start)) in running {
            let ran = Arrival::Ran(upstream.clone(), id, Outcome::Lost);
            self.later(2, Due::Node(node, start, ran));
        }
    }
}
