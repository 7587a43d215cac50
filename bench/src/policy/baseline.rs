//! The baselines: four usual ways to place requests over one competent way to run an engine.
//!
//! They see every engine's exact state at once, which no real node does. All
//! four share what a sensible operator would set up: urgent classes first,
//! least recently used adapters evicted but never one in use or waited for,
//! one load for all who wait at an engine, loads one at a time in the order
//! asked, bounded queues, and no start that would miss its deadline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

use chivevalve::clock::Millis;
use chivevalve::error::Code;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::traffic::{Request, count};
use super::world::{Action, LoadDone, Policy, World};

/// Waiting requests that an engine takes in a class, in batches.
const QUEUE_BATCHES: usize = 4;
/// How long a failed load waits before it is tried again.
const LOAD_BACKOFF: Millis = Millis(1000);
/// How far an engine's work may exceed the mean before rendezvous passes it over.
const BOUNDED_LOAD: f64 = 1.25;

/// How a request's engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Any engine.
    Random,
    /// One engine after the other.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The highest hash of engine and adapter, passing over overloaded engines.
    Rendezvous,
}

/// An engine as the baseline runs it.
#[derive(Debug, Default)]
struct Queue {
    /// Waiting requests whose adapter is resident, by class.
    ready: [VecDeque<u32>; 3],
    /// Waiting requests whose adapter isn't, by adapter.
    stalled: HashMap<u32, Vec<u32>>,
    /// Waiting requests by the latest start that makes sense; some have started since.
    expiry: BinaryHeap<Reverse<(Millis, u32)>>,
    waiting: [usize; 3],
    running: usize,
    /// Running and waiting requests by adapter; these are not evicted.
    users: HashMap<u32, u32>,
    /// When an adapter was last used.
    recent: HashMap<u32, u64>,
}

impl Queue {
    fn len(&self) -> usize {
        self.running + self.waiting.iter().sum::<usize>()
    }

    /// Lets a request wait. Numbers follow arrivals, so they keep the order of a class.
    fn make_ready(&mut self, id: u32, class: usize) {
        let place = self.ready[class].partition_point(|other| *other < id);
        self.ready[class].insert(place, id);
    }

    /// Takes out a waiting request that expired; returns whether it still waited.
    fn take(&mut self, id: u32, request: &Request) -> bool {
        let ready = &mut self.ready[request.class as usize];
        if let Ok(place) = ready.binary_search(&id) {
            ready.remove(place);
            return true;
        }
        let Some(stalled) = self.stalled.get_mut(&request.adapter) else {
            return false;
        };
        let before = stalled.len();
        stalled.retain(|other| *other != id);
        before > stalled.len()
    }

    /// Ends a request's hold on its adapter.
    fn release(&mut self, adapter: u32) {
        if let Some(users) = self.users.get_mut(&adapter) {
            *users -= 1;
            if *users == 0 {
                self.users.remove(&adapter);
            }
        }
    }
}

/// A load that is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Wish {
    engine: usize,
    adapter: u32,
    after: Millis,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    placement: Placement,
    queues: Vec<Queue>,
    wishes: VecDeque<Wish>,
    wished: HashSet<(usize, u32)>,
    loading: bool,
    turn: usize,
    uses: u64,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Makes a baseline for a deployment of this many engines.
    pub fn new(placement: Placement, engines: usize, seed: u64) -> Self {
        Self {
            placement,
            queues: (0..engines).map(|_| Queue::default()).collect(),
            wishes: VecDeque::new(),
            wished: HashSet::new(),
            loading: false,
            turn: 0,
            uses: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn place(&mut self, world: &World, adapter: u32) -> Option<usize> {
        let deployment = world.deployment();
        let base = deployment.base_of(adapter);
        let usable: Vec<usize> = (base..world.engines.len())
            .step_by(deployment.base_models)
            .filter(|&engine| world.engines[engine].up)
            .collect();
        if usable.is_empty() {
            return None;
        }
        Some(match self.placement {
            Placement::Random => usable[self.rng.random_range(0..usable.len())],
            Placement::RoundRobin => {
                self.turn += 1;
                usable[self.turn % usable.len()]
            }
            Placement::LeastLoaded => self.least_loaded(&usable),
            Placement::Rendezvous => self.rendezvous(&usable, adapter, deployment.batch),
        })
    }

    fn least_loaded(&mut self, usable: &[usize]) -> usize {
        // Ties go round, or one engine would get all work of a quiet hour.
        self.turn += 1;
        let turn = self.turn;
        let key = |&engine: &usize| (self.queues[engine].len(), (engine + turn) % usable.len());
        usable.iter().copied().min_by_key(key).unwrap_or(usable[0])
    }

    fn rendezvous(&self, usable: &[usize], adapter: u32, batch: usize) -> usize {
        let total: usize = usable.iter().map(|&e| self.queues[e].len()).sum();
        let mean = count(total + 1) / count(usable.len());
        let bound = (mean * BOUNDED_LOAD).max(count(batch) / 2.0);
        let fits = |engine: &&usize| count(self.queues[**engine].len()) < bound;
        let hash = |engine: &&usize| {
            let engine = u64::try_from(**engine).unwrap_or(u64::MAX);
            xxh3_64_with_seed(&adapter.to_le_bytes(), engine)
        };
        let first = usable.iter().filter(fits).max_by_key(hash);
        first
            .or_else(|| usable.iter().max_by_key(hash))
            .copied()
            .unwrap_or(usable[0])
    }

    /// Refuses what can't end in time any more, and starts what can start.
    fn pump(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        if !world.engines[engine].up {
            return;
        }
        self.expire(world, engine, actions);
        let queue = &mut self.queues[engine];
        for class in 0..queue.ready.len() {
            while queue.running < world.deployment().batch {
                let Some(id) = queue.ready[class].pop_front() else {
                    break;
                };
                actions.push(Action::Start { id });
                queue.running += 1;
                queue.waiting[class] -= 1;
                self.uses += 1;
                queue.recent.insert(world.request(id).adapter, self.uses);
            }
        }
    }

    fn expire(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        let queue = &mut self.queues[engine];
        while let Some(Reverse((latest, id))) = queue.expiry.peek().copied() {
            if world.now() <= latest {
                break;
            }
            queue.expiry.pop();
            let request = world.request(id);
            if queue.take(id, request) {
                queue.waiting[request.class as usize] -= 1;
                queue.release(request.adapter);
                let code = Code::ExpiredWaiting;
                actions.push(Action::Refuse { id, code });
            }
        }
    }

    fn wish(&mut self, world: &World, engine: usize, adapter: u32, after: Millis) {
        let resident = world.engines[engine].slot(adapter).is_some();
        if !resident && self.wished.insert((engine, adapter)) {
            self.wishes.push_back(Wish {
                engine,
                adapter,
                after,
            });
        }
    }

    /// Gives the weight store the first load in order that has room at its engine.
    fn feed_store(&mut self, world: &World, actions: &mut Vec<Action>) {
        let mut index = 0;
        while !self.loading && index < self.wishes.len() {
            let wish = self.wishes[index];
            let queue = &self.queues[wish.engine];
            let wanted = queue.users.contains_key(&wish.adapter);
            if !wanted || !world.engines[wish.engine].up {
                self.wishes.remove(index);
                self.wished.remove(&(wish.engine, wish.adapter));
                continue;
            }
            if wish.after <= world.now() && self.make_room(world, wish.engine, actions) {
                let Wish {
                    engine, adapter, ..
                } = wish;
                actions.push(Action::Load { engine, adapter });
                self.loading = true;
                self.wishes.remove(index);
                self.wished.remove(&(engine, adapter));
            }
            index += 1;
        }
    }

    fn make_room(&self, world: &World, engine: usize, actions: &mut Vec<Action>) -> bool {
        let slots = &world.engines[engine].slots;
        if slots.len() < world.deployment().slots {
            return true;
        }
        let queue = &self.queues[engine];
        let idle = slots.iter().filter(|slot| {
            let used = queue.users.contains_key(&slot.adapter);
            slot.since.is_some() && !used
        });
        let oldest = idle.min_by_key(|slot| queue.recent.get(&slot.adapter).copied());
        let Some(slot) = oldest else {
            return false;
        };
        actions.push(Action::Evict {
            engine,
            adapter: slot.adapter,
        });
        true
    }
}

impl Policy for Baseline {
    fn on_arrival(&mut self, world: &World, id: u32, actions: &mut Vec<Action>) {
        let request = world.request(id);
        let Some(engine) = self.place(world, request.adapter) else {
            return actions.push(Action::Refuse {
                id,
                code: Code::NoUpstream,
            });
        };
        let queue = &mut self.queues[engine];
        let class = request.class as usize;
        if queue.waiting[class] >= QUEUE_BATCHES * world.deployment().batch {
            return actions.push(Action::Refuse {
                id,
                code: Code::QueueFull,
            });
        }
        queue.waiting[class] += 1;
        let latest = world.deployment().latest_start(request);
        queue.expiry.push(Reverse((latest, id)));
        if world.engines[engine].resident(request.adapter) {
            queue.make_ready(id, class);
        } else {
            queue.stalled.entry(request.adapter).or_default().push(id);
        }
        *queue.users.entry(request.adapter).or_default() += 1;
        actions.push(Action::Queue { id, engine });
        self.pump(world, engine, actions);
        self.wish(world, engine, request.adapter, world.now());
        self.feed_store(world, actions);
    }

    fn on_load_done(&mut self, world: &World, done: LoadDone, actions: &mut Vec<Action>) {
        self.loading = false;
        if done.loaded {
            let queue = &mut self.queues[done.engine];
            for id in queue.stalled.remove(&done.adapter).unwrap_or_default() {
                queue.make_ready(id, world.request(id).class as usize);
            }
            self.pump(world, done.engine, actions);
        } else {
            let after = world.now() + LOAD_BACKOFF;
            self.wish(world, done.engine, done.adapter, after);
        }
        self.feed_store(world, actions);
    }

    fn on_finish(&mut self, world: &World, id: u32, engine: usize, actions: &mut Vec<Action>) {
        let adapter = world.request(id).adapter;
        let queue = &mut self.queues[engine];
        queue.running -= 1;
        self.uses += 1;
        queue.recent.insert(adapter, self.uses);
        queue.release(adapter);
        self.pump(world, engine, actions);
        self.feed_store(world, actions);
    }

    fn on_down(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        self.queues[engine] = Queue::default();
        self.loading = !world.store.loads.is_empty();
        self.feed_store(world, actions);
    }

    fn on_up(&mut self, _world: &World, _engine: usize, _actions: &mut Vec<Action>) {}

    fn on_wake(&mut self, _world: &World, _engine: usize, _actions: &mut Vec<Action>) {}

    fn on_tick(&mut self, world: &World, actions: &mut Vec<Action>) {
        for engine in 0..self.queues.len() {
            self.pump(world, engine, actions);
        }
        self.feed_store(world, actions);
    }
}
