//! The product's own decisions, driven as entry nodes and owners drive them.
//!
//! Each request enters at one of several nodes, each with a router and hints
//! of its own; one machine decides for each engine; one queue orders all loads.

use std::collections::{HashMap, VecDeque};

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::{Code, Fate};
use chivevalve::loads::PermitRequest;
use chivevalve::name::Name;
use chivevalve::policy::loads;
use chivevalve::policy::placement::{self, MAX_CANDIDATES, Pool, Router};
use chivevalve::policy::upstream::{self, Demand, Machine};
use chivevalve::request::{Id, Ticket};
use chivevalve::retry;
use chivevalve::runner::Share;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::traffic::{Deployment, Workload, millis};
use super::world::{Action, LoadDone, Policy, World};

/// Share of a client account at an upstream, without limits of its own.
const SHARE: Share = Share {
    weight: 1,
    max_in_flight: 0,
    max_queued: 0,
};

/// A request on its way, as its entry node sees it.
#[derive(Debug)]
struct Route {
    node: usize,
    /// Upstreams it was tried on, by their places in the pool; the last is under way.
    tried: SmallVec<[usize; MAX_CANDIDATES]>,
    /// Whether no other is tried after it.
    last: bool,
}

/// The product's policy.
#[derive(Debug)]
pub struct Contender {
    limits: upstream::Limits,
    routers: Vec<Router>,
    /// Usable upstreams by base model.
    pools: Vec<Pool>,
    machines: Vec<Machine>,
    loads: loads::LoadQueue,
    routes: HashMap<u32, Route>,
    adapters: Vec<Adapter>,
    numbers: HashMap<Adapter, u32>,
    accounts: HashMap<u32, Name>,
    names: Vec<Name>,
    domains: Vec<Name>,
    empty: Name,
    /// Wake-ups under way, by engine.
    planned: Vec<Millis>,
    inbox: VecDeque<(usize, upstream::Action)>,
    /// Engines whose machine had an input since wake-ups were planned.
    touched: Vec<usize>,
    rng: Pcg64Mcg,
}

fn limits(deployment: &Deployment) -> upstream::Limits {
    let small = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    upstream::Limits {
        slots: Some(small(deployment.slots)),
        max_batch: small(deployment.batch),
        batch_weight: deployment.batch_weight,
        load_time: millis(1e6 / deployment.loads_per_second),
        ..upstream::Limits::default()
    }
}

impl Contender {
    /// Makes the policy for a workload's deployment.
    pub fn new(workload: &Workload, seed: u64) -> Self {
        let deployment = &workload.deployment;
        let limits = limits(deployment);
        let adapters: Vec<Adapter> = (0..deployment.adapters)
            .map(|number| adapter(deployment, number))
            .collect();
        let numbers = adapters.iter().cloned().zip(0..).collect();
        let names = (0..deployment.engines).map(|engine| format!("engine-{engine}").into());
        let domains = (0..deployment.engines)
            .map(|engine| format!("domain-{}", deployment.domain_of(engine)).into());
        let router = |node: u64| Router::new(placement::Limits::default(), seed ^ node);
        let mut contender = Self {
            routers: (0..deployment.nodes).map(router).collect(),
            pools: Vec::new(),
            machines: (0..deployment.engines)
                .map(|_| Machine::new(limits.clone()))
                .collect(),
            limits,
            loads: loads::LoadQueue::new(loads::Limits::default()),
            routes: HashMap::new(),
            adapters,
            numbers,
            accounts: HashMap::new(),
            names: names.collect(),
            domains: domains.collect(),
            empty: "".into(),
            planned: vec![Millis::MAX; deployment.engines],
            inbox: VecDeque::new(),
            touched: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        contender.prepare_pools(deployment, |_| true);
        contender
    }

    fn prepare_pools(&mut self, deployment: &Deployment, up: impl Fn(usize) -> bool) {
        let pool = |base: usize| {
            let engines = (base..deployment.engines).step_by(deployment.base_models);
            Pool::from_entries(
                engines.map(|e| (self.names[e].as_ref(), self.domains[e].as_ref(), up(e))),
            )
        };
        self.pools = (0..deployment.base_models).map(pool).collect();
    }

    fn ticket(&mut self, world: &World, id: u32) -> Ticket {
        let request = world.request(id);
        let account = self.accounts.entry(request.account);
        let account = account.or_insert_with(|| format!("account-{}", request.account).into());
        Ticket {
            id: Id(id.to_string().into()),
            account: Name::clone(account),
            template: Name::clone(&self.empty),
            pool: Name::clone(&self.empty),
            adapter: Some(self.adapters[request.adapter as usize].clone()),
            class: request.class,
            weight: request.weight,
            idempotent: request.idempotent,
            deadline: request.deadline(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.output_tokens,
            revision: 1,
        }
    }

    /// Makes the request's next try where an entry node would make it.
    fn attempt(&mut self, world: &World, id: u32, actions: &mut Vec<Action>) {
        let ticket = self.ticket(world, id);
        let Some(route) = self.routes.get_mut(&id) else {
            return;
        };
        let base_models = world.deployment().base_models;
        let base = world.deployment().base_of(world.request(id).adapter);
        let router = &mut self.routers[route.node];
        let order = router.candidates(&self.pools[base], ticket.adapter.as_ref(), world.now());
        let Some((wait, replicas)) = order.split_last() else {
            self.routes.remove(&id);
            let code = Code::NoUpstream;
            return actions.push(Action::Refuse { id, code });
        };
        let mut untried = replicas.iter().filter(|index| !route.tried.contains(index));
        let next = untried.next().filter(|_| !ends_walk(route));
        let index = *next.unwrap_or(wait);
        route.tried.push(index);
        route.last = next.is_none();
        let last = route.last;
        let engine = index * base_models + base;
        actions.push(Action::Queue { id, engine });
        let orders = self.machines[engine].arrive(ticket, SHARE, last, world.now());
        self.post(engine, orders);
    }

    fn post(&mut self, engine: usize, orders: Vec<upstream::Action>) {
        self.touched.push(engine);
        self.inbox
            .extend(orders.into_iter().map(|order| (engine, order)));
    }

    /// Carries out orders until none is left and the weight store is busy or idle for good.
    fn settle(&mut self, world: &World, actions: &mut Vec<Action>) {
        loop {
            while let Some((engine, order)) = self.inbox.pop_front() {
                self.obey(world, engine, order, actions);
            }
            let Some((key, ask)) = self.loads.next(world.now()) else {
                break;
            };
            let engine = usize::try_from(key.0).unwrap_or(usize::MAX);
            let orders = self.machines[engine].granted(&ask.adapter, world.now());
            let loads = orders
                .iter()
                .any(|order| matches!(order, upstream::Action::Load { .. }));
            if !loads {
                self.loads.done(key);
            }
            self.post(engine, orders);
        }
        for engine in std::mem::take(&mut self.touched) {
            self.plan(world, engine, actions);
        }
    }

    fn obey(
        &mut self,
        world: &World,
        engine: usize,
        order: upstream::Action,
        actions: &mut Vec<Action>,
    ) {
        match order {
            upstream::Action::Start { id, .. } => {
                let id = number(&id);
                self.routes.remove(&id);
                actions.push(Action::Start { id });
            }
            upstream::Action::Refuse { id, failure } => {
                self.refused(world, engine, number(&id), failure.code, actions);
            }
            upstream::Action::RequestPermit { adapter, demand } => {
                let key = self.key(engine, &adapter);
                let ask = ask(&self.names[engine], adapter, demand);
                self.loads.enqueue(key, ask, world.now());
            }
            upstream::Action::CancelPermit { adapter } => {
                let key = self.key(engine, &adapter);
                self.loads.withdraw(key);
            }
            upstream::Action::Load { adapter, evict } => {
                if let Some(evict) = evict {
                    let adapter = self.numbers[&evict];
                    actions.push(Action::Evict { engine, adapter });
                }
                let adapter = self.numbers[&adapter];
                actions.push(Action::Load { engine, adapter });
            }
        }
    }

    fn key(&self, engine: usize, adapter: &Adapter) -> loads::RequestKey {
        (engine as u64, u64::from(self.numbers[adapter]))
    }

    /// An owner has refused a try: the entry node takes the next one, or answers the caller.
    fn refused(
        &mut self,
        world: &World,
        engine: usize,
        id: u32,
        code: Code,
        actions: &mut Vec<Action>,
    ) {
        let adapter = world.request(id).adapter;
        let deployment = world.deployment();
        let Some(route) = self.routes.get_mut(&id) else {
            return;
        };
        let pool = &self.pools[deployment.base_of(adapter)];
        let index = engine / deployment.base_models;
        let adapter = Some(&self.adapters[adapter as usize]);
        self.routers[route.node].record_refusal(pool, index, adapter, code, world.now());
        let more = !route.last && world.now() < world.request(id).deadline();
        if more && code.fate() == Fate::NotRun && tries_next(code) {
            self.attempt(world, id, actions);
        } else {
            self.routes.remove(&id);
            actions.push(Action::Refuse { id, code });
        }
    }

    /// Asks to be woken when a machine has something to do before the next call.
    fn plan(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        let Some(at) = self.machines[engine].next_wakeup() else {
            return;
        };
        let at = at.max(world.now() + Millis(1));
        if at < self.planned[engine] {
            self.planned[engine] = at;
            actions.push(Action::Wake { engine, at });
        }
    }
}

/// Whether an entry node makes only one more try, which goes where the request waits.
fn ends_walk(route: &Route) -> bool {
    route.tried.len() + 1 >= retry::RetryPolicy::default().max_redirects as usize
}

/// Whether another upstream could do what this one refused.
fn tries_next(code: Code) -> bool {
    !matches!(code, Code::AccountLimit | Code::ExpiredWaiting)
}

fn number(id: &Id) -> u32 {
    id.0.parse().expect("ids are numbers here")
}

fn adapter(deployment: &Deployment, number: u32) -> Adapter {
    Adapter {
        base_model: format!("base-{}", deployment.base_of(number)).into(),
        name: format!("adapter-{number}").into(),
        version: "1".into(),
    }
}

fn ask(upstream: &Name, adapter: Adapter, demand: Demand) -> PermitRequest {
    PermitRequest {
        upstream: Name::clone(upstream),
        adapter,
        class: demand.class,
        waiters: demand.waiters,
        weight: demand.weight,
        waited: demand.waited,
        stall_savings: demand.stall_savings,
    }
}

impl Policy for Contender {
    fn on_arrival(&mut self, world: &World, id: u32, actions: &mut Vec<Action>) {
        let node = self.rng.random_range(0..self.routers.len());
        let route = Route {
            node,
            tried: SmallVec::new(),
            last: false,
        };
        self.routes.insert(id, route);
        self.attempt(world, id, actions);
        self.settle(world, actions);
    }

    fn on_load_done(&mut self, world: &World, done: LoadDone, actions: &mut Vec<Action>) {
        let adapter = self.adapters[done.adapter as usize].clone();
        let key = self.key(done.engine, &adapter);
        self.loads.done(key);
        let orders = self.machines[done.engine].loaded(&adapter, done.loaded, world.now());
        self.post(done.engine, orders);
        self.settle(world, actions);
    }

    fn on_finish(&mut self, world: &World, id: u32, engine: usize, actions: &mut Vec<Action>) {
        let id = Id(id.to_string().into());
        let orders = self.machines[engine].finished(&id, world.now());
        self.post(engine, orders);
        self.settle(world, actions);
    }

    fn on_down(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        let numbers = self.numbers.values();
        for number in numbers {
            self.loads.withdraw((engine as u64, u64::from(*number)));
        }
        self.machines[engine] = Machine::new(self.limits.clone());
        self.prepare_pools(world.deployment(), |e| world.engines[e].up);
        self.settle(world, actions);
    }

    fn on_up(&mut self, world: &World, _engine: usize, _actions: &mut Vec<Action>) {
        self.prepare_pools(world.deployment(), |e| world.engines[e].up);
    }

    fn on_wake(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>) {
        self.planned[engine] = Millis::MAX;
        let orders = self.machines[engine].tick(world.now());
        self.post(engine, orders);
        self.settle(world, actions);
    }

    fn on_tick(&mut self, world: &World, actions: &mut Vec<Action>) {
        self.settle(world, actions);
    }
}
