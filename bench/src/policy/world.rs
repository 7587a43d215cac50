//! The event loop: plays a workload in virtual time and carries out a policy's actions.
//!
//! Every action is checked. One that evicts an adapter in use, goes over an
//! engine's slots or batch, or runs a request twice is a broken promise and is
//! not carried out, so that a policy can't win by it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chivevalve::clock::Millis;
use chivevalve::error::Code;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::{Engine, Slot};
use super::store::Store;
use super::traffic::{Deployment, Request, Workload, micros};

/// How often a policy is called without another cause.
pub const TICK: Millis = Millis(100);
/// How far past its deadline a request may be told that it expired.
const SLACK: Millis = Millis(2 * TICK.0);
/// How much faster the weight store is during a warm-up.
const WARM_UP_RATE: f64 = 20.0;
/// Most broken promises that are described; all are counted.
const DESCRIBED: usize = 10;

/// What a policy wants done.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// The request waits at this engine; again for another engine moves it.
    Queue {
        /// Number of the request.
        id: u32,
        /// The engine.
        engine: usize,
    },
    /// The waiting request joins its engine's batch.
    Start {
        /// Number of the request.
        id: u32,
    },
    /// The request isn't run.
    Refuse {
        /// Number of the request.
        id: u32,
        /// The reason that the caller sees.
        code: Code,
    },
    /// The engine drops an adapter.
    Evict {
        /// The engine.
        engine: usize,
        /// What it drops.
        adapter: u32,
    },
    /// The policy is to be woken for this engine.
    Wake {
        /// The engine.
        engine: usize,
        /// When.
        at: Millis,
    },
    /// The engine loads an adapter, at once and along with other loads.
    Load {
        /// The engine.
        engine: usize,
        /// What it loads.
        adapter: u32,
    },
}

/// A way to decide. Calls get the world to look at and a list to fill.
///
/// Actions are carried out in order after each call.
pub trait Policy {
    /// A request has arrived, or lost its engine before it could have run.
    fn on_arrival(&mut self, world: &World, id: u32, actions: &mut Vec<Action>);
    /// A load has ended, or has broken off.
    fn on_load_done(&mut self, world: &World, done: LoadDone, actions: &mut Vec<Action>);
    /// A request has been answered.
    fn on_finish(&mut self, world: &World, id: u32, engine: usize, actions: &mut Vec<Action>);
    /// An engine has crashed; its waiting requests arrive again after this call.
    fn on_down(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// An engine serves again, with nothing loaded.
    fn on_up(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// A wake-up that the policy asked for.
    fn on_wake(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// Time has passed.
    fn on_tick(&mut self, world: &World, actions: &mut Vec<Action>);
}

/// How a load ended.
#[derive(Debug, Clone, Copy)]
pub struct LoadDone {
    /// The engine.
    pub engine: usize,
    /// The adapter.
    pub adapter: u32,
    /// Whether it is resident now.
    pub loaded: bool,
    /// How long it took.
    pub took: Millis,
}

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

    /// Whether every caller has given up, which ends a run in which a policy lost requests.
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

    fn carry_out(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Queue { id, engine } => self.queue(id, engine),
                Action::Start { id } => self.start(id),
                Action::Refuse { id, code } => self.refuse(id, code),
                Action::Evict { engine, adapter } => self.evict(engine, adapter),
                Action::Load { engine, adapter } => self.load(engine, adapter),
                Action::Wake { engine, at } => self.push(micros(at), Event::Wake { engine }),
            }
        }
    }

    fn queue(&mut self, id: u32, engine: usize) {
        match self.courses[id as usize].ending {
            Ending::Unplaced => {}
            Ending::Waiting => self.stop_waiting(id),
            ending => return self.breach(|| format!("request {id} queued while {ending:?}")),
        }
        let now = self.now();
        let course = &mut self.courses[id as usize];
        course.ending = Ending::Waiting;
        course.engine = engine;
        course.queued = now;
    }

    /// Ends a wait at an engine and books how much of it was for the adapter.
    fn stop_waiting(&mut self, id: u32) {
        let now = self.now();
        let course = self.courses[id as usize];
        let adapter = self.request(id).adapter;
        let slot = self.engines[course.engine].slot(adapter);
        let resident = slot.and_then(|slot| slot.since).unwrap_or(now);
        self.courses[id as usize].stall += resident.since(course.queued);
    }

    fn start(&mut self, id: u32) {
        let course = self.courses[id as usize];
        let request = *self.request(id);
        let engine = course.engine;
        if course.ending != Ending::Waiting {
            let ending = course.ending;
            return self.breach(|| format!("request {id} started while {ending:?}"));
        }
        if self.now() > request.deadline() + SLACK {
            self.breach(|| format!("request {id} waited past its bound"));
        }
        let up = self.engines[engine].up;
        if !up || !self.engines[engine].resident(request.adapter) {
            return self.breach(|| format!("request {id} started without its adapter"));
        }
        if self.engines[engine].batch() >= self.workload.deployment.batch {
            return self.breach(|| format!("engine {engine} over its batch"));
        }
        self.stop_waiting(id);
        let deployment = &self.workload.deployment;
        let first = self.engines[engine].start(self.now_us, id, &request, deployment);
        if let Some(slot) = self.engines[engine].slot_mut(request.adapter) {
            slot.running += 1;
            slot.used = true;
        }
        let course = &mut self.courses[id as usize];
        course.ending = Ending::Running;
        course.first_token = floor(first);
        self.plan_engine(engine);
    }

    fn refuse(&mut self, id: u32, code: Code) {
        let course = self.courses[id as usize];
        match course.ending {
            Ending::Unplaced => {}
            Ending::Waiting => self.stop_waiting(id),
            ending => return self.breach(|| format!("request {id} refused while {ending:?}")),
        }
        if self.now() > self.request(id).deadline() + SLACK {
            self.breach(|| format!("request {id} waited past its bound"));
        }
        self.end(id, Ending::Refused(code));
    }

    fn evict(&mut self, engine: usize, adapter: u32) {
        let slot = self.engines[engine].slot(adapter).copied();
        let Some(Slot {
            since: Some(_),
            running,
            used,
            ..
        }) = slot
        else {
            return self.breach(|| format!("engine {engine} dropped {adapter}, not resident"));
        };
        if running > 0 {
            return self.breach(|| format!("engine {engine} dropped {adapter}, which is in use"));
        }
        self.loads.wasted += u64::from(!used);
        let slots = &mut self.engines[engine].slots;
        slots.retain(|slot| slot.adapter != adapter);
    }

    fn load(&mut self, engine: usize, adapter: u32) {
        let slots = self.workload.deployment.slots;
        let target = &mut self.engines[engine];
        if !target.up || target.slot(adapter).is_some() {
            return self.breach(|| format!("engine {engine} can't load {adapter} now"));
        }
        if target.slots.len() >= slots {
            return self.breach(|| format!("engine {engine} over its slots"));
        }
        target.slots.push(Slot {
            adapter,
            since: None,
            running: 0,
            used: false,
        });
        let failures = self.workload.deployment.load_failures;
        let fails = failures > 0.0 && self.rng.random_bool(failures);
        let fails_at = fails.then(|| self.rng.random_range(0.1..0.9));
        self.loads.started += 1;
        self.load_began.push((engine, adapter, self.now_us));
        self.store.start(self.now_us, engine, adapter, fails_at);
        self.plan_store();
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
mod tests {
    use super::*;
    use crate::policy::source::{Shape, Source};
    use crate::policy::workload::trgovski;

    /// Two engines, two adapters, four requests.
    fn small() -> Workload {
        let deployment = Deployment {
            engines: 2,
            slots: 1,
            batch: 1,
            adapters: 2,
            load_failures: 0.0,
            ..trgovski()
        };
        let shape = Shape {
            seconds: 10.0,
            ..Shape::steady(0.4, 1.0)
        };
        let requests = Source::new(&deployment, &shape, 1).requests(&shape);
        Workload {
            name: "small".to_owned(),
            deployment,
            requests,
            outages: Vec::new(),
            warm_up: Millis::ZERO,
        }
    }

    /// A policy that does what a test says at each arrival, and nothing else.
    struct Script(Vec<Vec<Action>>);

    impl Policy for Script {
        fn on_arrival(&mut self, _: &World, _: u32, actions: &mut Vec<Action>) {
            if !self.0.is_empty() {
                actions.extend(self.0.remove(0));
            }
        }
        fn on_load_done(&mut self, _: &World, _: LoadDone, _: &mut Vec<Action>) {}
        fn on_finish(&mut self, _: &World, _: u32, _: usize, _: &mut Vec<Action>) {}
        fn on_down(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
        fn on_up(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
        fn on_wake(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
        fn on_tick(&mut self, _: &World, _: &mut Vec<Action>) {}
    }

    fn breaches(script: Vec<Vec<Action>>) -> Vec<String> {
        let workload = small();
        let mut world = World::new(&workload, 1);
        world.play(&mut Script(script));
        world.described
    }

    fn breached(script: Vec<Vec<Action>>, what: &str) {
        let described = breaches(script);
        let found = described.iter().any(|text| text.contains(what));
        assert!(found, "{what:?} in {described:?}");
    }

    const REFUSE: Action = Action::Refuse {
        id: 0,
        code: Code::QueueFull,
    };
    const QUEUE: Action = Action::Queue { id: 0, engine: 0 };

    fn load(adapter: u32) -> Action {
        Action::Load { engine: 0, adapter }
    }

    #[test]
    fn play_unplaced_request() {
        breached(vec![], "neither placed nor refused");
    }

    #[test]
    fn play_lost_request() {
        breached(vec![vec![QUEUE]], "never got an answer");
    }

    #[test]
    fn play_doubled_answer() {
        breached(vec![vec![REFUSE, REFUSE]], "refused while Refused");
    }

    #[test]
    fn play_start_without_adapter() {
        let start = Action::Start { id: 0 };
        breached(vec![vec![QUEUE, start]], "started without its adapter");
    }

    #[test]
    fn play_over_slots() {
        breached(vec![vec![REFUSE, load(0), load(1)]], "over its slots");
    }

    #[test]
    fn play_evict_while_loading() {
        let evict = Action::Evict {
            engine: 0,
            adapter: 0,
        };
        breached(vec![vec![REFUSE, load(0), evict]], "not resident");
    }
}
