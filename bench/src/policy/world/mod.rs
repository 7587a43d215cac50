//! The event loop: plays a workload in virtual time and carries out a policy's actions.
//!
//! Every action is checked. One that evicts an adapter in use, goes over an
//! engine's slots or batch, or runs a request twice is a broken promise and is
//! not carried out, so that a policy can't win by it.

mod carry;
mod decision;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chivevalve::clock::Millis;
use chivevalve::error::Code;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::engine::{Engine, Slot};
use super::store::Store;
use super::traffic::{Deployment, Request, Workload, micros};

pub use decision::{Action, LoadDone, Policy};

/// How often a policy is called without another cause.
pub const TICK: Millis = Millis(100);
/// How far past its deadline a request may be told that it expired.
const SLACK: Millis = Millis(2 * TICK.0);
/// How much faster the weight store is during a warm-up.
const WARM_UP_RATE: f64 = 20.0;
/// Most broken promises that are described; all are counted.
const DESCRIBED: usize = 10;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It has not arrived yet.
    Coming,
    /// It has arrived and has no engine.
    Unplaced,
    /// It waits at an engine.
    Waiting,
    /// It runs.
    Running,
    /// Its whole answer came.
    Answered,
    /// It was refused, and never ran.
    Refused(Code),
    /// It ran on an engine that crashed, and may not be repeated.
    Lost,
}

/// A request's course.
#[derive(Debug, Clone, Copy)]
pub struct Course {
    /// Where it stands, or how it ended.
    pub ending: Ending,
    /// The engine it waits or runs at.
    pub engine: usize,
    /// How long it has waited for its adapter.
    pub stall: Millis,
    /// When its first token came.
    pub first_token: Millis,
    /// When its answer was whole, or its refusal came.
    pub end: Millis,
    queued: Millis,
}

impl Course {
    const COMING: Self = Self {
        ending: Ending::Coming,
        engine: 0,
        stall: Millis::ZERO,
        first_token: Millis::ZERO,
        end: Millis::ZERO,
        queued: Millis::ZERO,
    };
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Up { engine: usize },
    Down { outage: usize },
    Engine { engine: usize, epoch: u64 },
    Wake { engine: usize },
    Store { epoch: u64 },
    Tick,
    Warm,
}

/// Loads by how they ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loads {
    /// Started.
    pub started: u64,
    /// Broken off.
    pub failed: u64,
    /// Evicted, or lost with the engine, before any request used them.
    pub wasted: u64,
}

/// The deployment at one moment of virtual time.
#[derive(Debug)]
pub struct World<'a> {
    /// What is played.
    pub workload: &'a Workload,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The weight store.
    pub store: Store,
    /// The course of each request.
    pub courses: Vec<Course>,
    /// Loads so far.
    pub loads: Loads,
    /// Share of time in which the weight store was busy, while requests arrived.
    pub store_use: f64,
    /// Broken promises so far.
    pub broken: u64,
    /// The first broken promises in words.
    pub described: Vec<String>,
    now_us: f64,
    open: usize,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    load_began: Vec<(usize, u32, f64)>,
    rng: Pcg64Mcg,
}

impl<'a> World<'a> {
    /// Sets up a workload before its first request.
    pub fn new(workload: &'a Workload, seed: u64) -> Self {
        let deployment = &workload.deployment;
        let mut world = Self {
            workload,
            engines: (0..deployment.engines).map(|_| Engine::new()).collect(),
            store: Store::new(first_rate(workload)),
            courses: vec![Course::COMING; workload.requests.len()],
            loads: Loads::default(),
            store_use: 0.0,
            broken: 0,
            described: Vec::new(),
            now_us: 0.0,
            open: 0,
            events: BinaryHeap::new(),
            load_began: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        world.push(micros(TICK), Event::Tick);
        world.push(micros(workload.warm_up), Event::Warm);
        for (index, outage) in workload.outages.iter().enumerate() {
            world.push(micros(outage.from), Event::Down { outage: index });
        }
        world
    }

    /// Returns the sizes of the deployment.
    pub fn deployment(&self) -> &'a Deployment {
        &self.workload.deployment
    }

    /// Returns a request.
    pub fn request(&self, id: u32) -> &'a Request {
        &self.workload.requests[id as usize]
    }

    /// Returns the time.
    pub fn now(&self) -> Millis {
        floor(self.now_us)
    }

    /// Notes how busy the weight store was while requests arrived.
    fn all_arrived(&mut self) {
        self.store.advance(self.now_us);
        let span = micros(self.workload.span());
        self.store_use = self.store.busy() / span.max(1.0);
    }

    /// Plays the whole workload, until every request has ended.
    pub fn play(&mut self, policy: &mut dyn Policy) {
        let mut actions = Vec::new();
        let mut next = 0;
        loop {
            let arrival = self.workload.requests.get(next).map(|r| micros(r.arrival));
            let event = self.events.peek().map(|Reverse((at, _))| from_key(*at));
            match (arrival, event) {
                (Some(arrival), event) if event.is_none_or(|at| arrival <= at) => {
                    self.now_us = arrival;
                    let id = u32::try_from(next).expect("fewer than 2^32 requests");
                    next += 1;
                    self.open += 1;
                    self.arrive(policy, id, &mut actions);
                    if next == self.workload.requests.len() {
                        self.all_arrived();
                    }
                }
                (None, _) if self.open == 0 => break,
                (_, Some(_)) => {
                    let Some(Reverse((at, event))) = self.events.pop() else {
                        break;
                    };
                    self.now_us = from_key(at);
                    self.happen(policy, event, &mut actions);
                }
                _ => break,
            }
            if arrival.is_none() && self.past_all_bounds() {
                break;
            }
        }
        self.close();
    }

    /// Whether every deadline has passed for long, which ends a run in which a policy lost requests.
    fn past_all_bounds(&self) -> bool {
        let longest = Millis::from_secs(2 * 600);
        let last = self.workload.requests.last();
        last.is_none_or(|last| self.now() > last.arrival + longest)
    }

    /// Ends the warm-up: the weight store gets its real rate, and counting begins.
    fn begin_to_count(&mut self) {
        let rate = self.workload.deployment.loads_per_second;
        self.store.set_rate(self.now_us, rate);
        self.store.reset_busy();
        self.plan_store();
        self.loads = Loads::default();
        for engine in &mut self.engines {
            engine.advance(self.now_us, &self.workload.deployment);
            engine.reset_steps();
        }
    }

    fn arrive(&mut self, policy: &mut dyn Policy, id: u32, actions: &mut Vec<Action>) {
        let course = &mut self.courses[id as usize];
        course.ending = Ending::Unplaced;
        policy.on_arrival(self, id, actions);
        self.carry_out(actions);
        if self.courses[id as usize].ending == Ending::Unplaced {
            self.breach(|| format!("request {id} was neither placed nor refused"));
        }
    }

    fn happen(&mut self, policy: &mut dyn Policy, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {
                self.push(self.now_us + micros(TICK), Event::Tick);
                policy.on_tick(self, actions);
            }
            Event::Engine { engine, epoch } => {
                if self.engines[engine].epoch != epoch {
                    return;
                }
                let Some(id) = self.finish(engine) else {
                    return;
                };
                policy.on_finish(self, id, engine, actions);
            }
            Event::Store { epoch } => {
                if self.store.epoch != epoch {
                    return;
                }
                let Some(done) = self.load_done() else {
                    return;
                };
                policy.on_load_done(self, done, actions);
            }
            Event::Warm => self.begin_to_count(),
            Event::Wake { engine } => policy.on_wake(self, engine, actions),
            Event::Down { outage } => self.crash(policy, outage, actions),
            Event::Up { engine } => {
                self.engines[engine].up = true;
                policy.on_up(self, engine, actions);
            }
        }
        self.carry_out(actions);
    }

    fn finish(&mut self, engine: usize) -> Option<u32> {
        let id = self.engines[engine].finish(self.now_us, &self.workload.deployment)?;
        let adapter = self.request(id).adapter;
        if let Some(slot) = self.engines[engine].slot_mut(adapter) {
            slot.running = slot.running.saturating_sub(1);
        }
        self.end(id, Ending::Answered);
        self.plan_engine(engine);
        Some(id)
    }

    fn load_done(&mut self) -> Option<LoadDone> {
        let load = self.store.finish(self.now_us)?;
        self.plan_store();
        let now = self.now();
        let engine = &mut self.engines[load.engine];
        if load.fails {
            self.loads.failed += 1;
            engine.slots.retain(|slot| slot.adapter != load.adapter);
        } else if let Some(slot) = engine.slot_mut(load.adapter) {
            slot.since = Some(now);
        }
        let key = (load.engine, load.adapter);
        let began = self.load_began.iter().position(|b| (b.0, b.1) == key)?;
        let (_, _, began) = self.load_began.swap_remove(began);
        Some(LoadDone {
            engine: load.engine,
            adapter: load.adapter,
            loaded: !load.fails,
            took: floor(self.now_us - began),
        })
    }

    fn crash(&mut self, policy: &mut dyn Policy, outage: usize, actions: &mut Vec<Action>) {
        let outage = self.workload.outages[outage];
        let engine = outage.engine;
        if !self.engines[engine].up {
            return;
        }
        let unused = self.engines[engine].slots.iter();
        let unused = unused.filter(|slot| slot.since.is_some() && !slot.used);
        self.loads.wasted += unused.count() as u64;
        let ran = self.engines[engine].crash(self.now_us, &self.workload.deployment);
        self.store.cancel(self.now_us, engine);
        self.load_began.retain(|began| began.0 != engine);
        self.plan_store();
        let back = outage.away + self.workload.deployment.cold_start;
        self.push(self.now_us + micros(back), Event::Up { engine });
        policy.on_down(self, engine, actions);
        self.carry_out(actions);
        for id in ran {
            if self.request(id).idempotent {
                self.arrive(policy, id, actions);
            } else {
                self.end(id, Ending::Lost);
            }
        }
        for id in self.waiting_at(engine) {
            self.stop_waiting(id);
            self.arrive(policy, id, actions);
        }
    }

    /// Lists who waits at an engine; only crashes ask, so it may look at all requests.
    fn waiting_at(&self, engine: usize) -> Vec<u32> {
        let waits = |course: &Course| course.ending == Ending::Waiting && course.engine == engine;
        let ids = (0_u32..).zip(&self.courses);
        ids.filter(|(_, course)| waits(course))
            .map(|(id, _)| id)
            .collect()
    }

    fn end(&mut self, id: u32, ending: Ending) {
        let now = self.now();
        let course = &mut self.courses[id as usize];
        course.ending = ending;
        course.end = now;
        self.open -= 1;
    }

    /// Books requests that a policy lost.
    fn close(&mut self) {
        let ended = |ending| matches!(ending, Ending::Answered | Ending::Refused(_) | Ending::Lost);
        let lost = self.courses.iter().filter(|c| !ended(c.ending)).count();
        for _ in 0..lost {
            self.breach(|| "a request never got an answer".to_owned());
        }
    }

    fn breach(&mut self, describe: impl FnOnce() -> String) {
        self.broken += 1;
        if self.described.len() < DESCRIBED {
            let text = format!("at {}: {}", self.now(), describe());
            self.described.push(text);
        }
    }

    fn plan_engine(&mut self, engine: usize) {
        let epoch = self.engines[engine].epoch;
        if let Some(at) = self.engines[engine].next_end(&self.workload.deployment) {
            self.push(at, Event::Engine { engine, epoch });
        }
    }

    fn plan_store(&mut self) {
        let epoch = self.store.epoch;
        if let Some(at) = self.store.next_end() {
            self.push(at, Event::Store { epoch });
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.events.push(Reverse((at.max(0.0).to_bits(), event)));
    }
}

fn first_rate(workload: &Workload) -> f64 {
    let rate = workload.deployment.loads_per_second;
    if workload.warm_up == Millis::ZERO {
        rate
    } else {
        rate * WARM_UP_RATE
    }
}

fn from_key(key: u64) -> f64 {
    f64::from_bits(key)
}

/// Rounds microseconds down, so that a policy's clock never runs ahead.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual time is positive and ends after hours"
)]
fn floor(micros: f64) -> Millis {
    Millis((micros / 1000.0) as u64)
}

#[cfg(test)]
mod tests;
