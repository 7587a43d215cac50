//! Owners, which decide by the product's [`upstream::Machine`].

use std::collections::{BTreeMap, BTreeSet};

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::{Code, Failure};
use chivevalve::membership::fleet::State;
use chivevalve::name::Name;
use chivevalve::policy::upstream::{self, Action};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::Share;
use rand::RngExt;

use super::super::oracle::Promise;
use super::super::world::{Arrival, Due, World};
use super::engine::{Order, Outcome, Report, SLOTS};
use super::{DEADLINE, Route, SILENCE};

/// The decisions of one owned upstream, and what they need.
#[derive(Debug)]
pub struct Owned {
    machine: upstream::Machine,
    boot: Option<u64>,
    foreign: BTreeMap<Id, Id>,
    // What this ownership runs itself; what an earlier one runs is foreign to it.
    own: BTreeSet<Id>,
}

impl Owned {
    /// Starts with nothing known of the engine.
    pub fn new() -> Self {
        let limits = upstream::Limits {
            slots: Some(u32::try_from(SLOTS).unwrap_or(u32::MAX)),
            max_batch: 3,
            max_queued: 8,
            ..upstream::Limits::default()
        };
        Self {
            machine: upstream::Machine::new(limits),
            boot: None,
            foreign: BTreeMap::new(),
            own: BTreeSet::new(),
        }
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.machine.is_idle()
    }
}

fn adapter(index: usize) -> Adapter {
    Adapter {
        base_model: Name::from("base"),
        name: Name::from(format!("a{}", index / 2)),
        version: Name::from(format!("{}", index % 2)),
    }
}

fn index(adapter: &Adapter) -> usize {
    let name: usize = adapter.name[1..].parse().unwrap_or(0);
    let version: usize = adapter.version.parse().unwrap_or(0);
    name * 2 + version
}

impl World {
    /// An attempt reaches the node that is said to own the upstream.
    pub(in super::super) fn attempt(&mut self, node: usize, route: Route, upstream: &Name) {
        let now = self.nodes[node].clock(self.now);
        if let Err(code) = self.takes_work(node, upstream) {
            self.reply(node, &route, Err(Failure::new(code, "fuzz")));
            return;
        }
        let request = &self.requests[route.request];
        let ticket = Ticket {
            id: Id(Name::from(format!("{}-{}", route.request, route.attempt))),
            account: Name::from("a"),
            template: Name::from("t"),
            pool: Name::from("p"),
            adapter: Some(adapter(request.adapter)),
            class: Class::Normal,
            weight: 1,
            idempotent: request.idempotent,
            deadline: now + DEADLINE,
            prompt_tokens: 10,
            max_output_tokens: 10,
            revision: 1,
        };
        let share = Share {
            weight: 1,
            max_in_flight: 0,
            max_queued: 0,
        };
        let id = ticket.id.clone();
        if let Some(served) = self.nodes[node].served.get_mut(upstream) {
            served.owned.own.insert(id.clone());
        }
        self.nodes[node].routes.insert(id, route);
        self.decide(node, upstream, |machine, now| {
            machine.arrive(ticket, share, true, now)
        });
    }

    fn takes_work(&self, node: usize, upstream: &Name) -> Result<(), Code> {
        let node = &self.nodes[node];
        let now = node.clock(self.now);
        let Some(served) = node.served.get(upstream) else {
            return Err(Code::NotOwner);
        };
        let known = served.owned.boot.is_some();
        if served.releasing || !served.may_order(now) || !known {
            return Err(Code::NotOwner);
        }
        match node.upstreams.get(now, upstream) {
            Some(found) if found.state == State::Usable => Ok(()),
            _ => Err(Code::UpstreamLeaving),
        }
    }

    /// Lets the decisions of an owned upstream take a step, and carries it out.
    pub(in super::super) fn decide(
        &mut self,
        node: usize,
        upstream: &Name,
        step: impl FnOnce(&mut upstream::Machine, Millis) -> Vec<Action>,
    ) {
        let now = self.nodes[node].clock(self.now);
        let Some(served) = self.nodes[node].served.get_mut(upstream) else {
            return;
        };
        let actions = step(&mut served.owned.machine, now);
        for action in actions {
            self.follow(node, upstream, action);
        }
    }

    fn follow(&mut self, node: usize, upstream: &Name, action: Action) {
        match action {
            Action::Start { id, .. } => self.start_run(node, upstream, &id),
            Action::Refuse { id, failure } => {
                if let Some(route) = self.nodes[node].routes.remove(&id) {
                    self.reply(node, &route, Err(failure));
                }
            }
            Action::RequestPermit { adapter, .. } => {
                let start = self.nodes[node].identity.incarnation;
                let wait = self.rng.random_range(5..200);
                let granted = Arrival::Granted(upstream.clone(), index(&adapter));
                self.later(wait, Due::Node(node, start, granted));
            }
            Action::CancelPermit { .. } => {}
            Action::Load { adapter, evict } => {
                let order = Order::Load {
                    adapter: index(&adapter),
                    evict: evict.as_ref().map(index),
                };
                if !self.order(node, upstream, order) {
                    self.decide(node, upstream, |machine, now| {
                        machine.loaded(&adapter, false, now)
                    });
                }
            }
        }
    }

    fn start_run(&mut self, node: usize, upstream: &Name, id: &Id) {
        let Some(route) = self.nodes[node].routes.get(id).cloned() else {
            // A request of an earlier owner, which only pins.
            return;
        };
        if let Err(code) = self.takes_work(node, upstream) {
            self.nodes[node].routes.remove(id);
            self.reply(node, &route, Err(Failure::new(code, "fuzz")));
            self.decide(node, upstream, |machine, now| machine.finished(id, now));
            return;
        }
        let order = Order::Run {
            id: id.clone(),
            request: route.request,
            adapter: self.requests[route.request].adapter,
        };
        if !self.order(node, upstream, order) {
            self.nodes[node].routes.remove(id);
            self.reply(node, &route, Err(Failure::new(Code::NotOwner, "fuzz")));
            self.decide(node, upstream, |machine, now| machine.finished(id, now));
            return;
        }
        if self.must_rest(upstream) {
            let detail = format!("{upstream} gets {} from n{node}", id.0);
            self.broken(Promise::Leaving, detail);
        }
    }

    // A sign counts from when the list could be read. A list that lacks many, or calls
    // all leaving, is doubted on purpose, and then only the first signs count.
    fn must_rest(&self, upstream: &Name) -> bool {
        let Some(since) = self.leaving.get(upstream).copied() else {
            return false;
        };
        let near = |at: &&u64| at.abs_diff(since) < 2000 || **at + 2000 > self.list_bad;
        let doubted = self.unlisted.iter().filter(near).count() > 1;
        let all = self.leaving.len() >= self.regions.len();
        let few = !all && (!doubted || self.leaving.len() <= 2);
        few && self.now > since.max(self.list_bad) + 3000
    }

    // The hold is checked just before each order.
    pub(in super::super) fn order(&mut self, node: usize, upstream: &Name, order: Order) -> bool {
        let now = self.nodes[node].clock(self.now);
        let Some(served) = self.nodes[node].served.get(upstream) else {
            return false;
        };
        if !served.may_order(now) {
            return false;
        }
        let token = served.token;
        let start = self.nodes[node].identity.incarnation;
        let delay = self.rng.random_range(1..4);
        let upstream = upstream.clone();
        self.later(
            delay,
            Due::Engine {
                node,
                start,
                token,
                upstream,
                order,
            },
        );
        true
    }

    /// An owner hears how a run ended.
    pub(in super::super) fn ran(
        &mut self,
        node: usize,
        upstream: &Name,
        id: &Id,
        outcome: Outcome,
    ) {
        let route = self.nodes[node].routes.remove(id);
        if let Some(route) = route {
            let result = match outcome {
                Outcome::Answered => Ok(route.request),
                Outcome::Refused => Err(Failure::new(Code::UpstreamRefused, "fuzz")),
                Outcome::Lost => Err(Failure::new(Code::UpstreamLost, "fuzz")),
            };
            self.reply(node, &route, result);
        }
        if let Some(served) = self.nodes[node].served.get_mut(upstream) {
            served.owned.own.remove(id);
        }
        self.decide(node, upstream, |machine, now| machine.finished(id, now));
        if outcome == Outcome::Refused {
            self.order(node, upstream, Order::Report);
        }
    }

    /// An owner hears what an engine says of itself.
    pub(in super::super) fn reported(&mut self, node: usize, upstream: &Name, report: &Report) {
        let Some(served) = self.nodes[node].served.get_mut(upstream) else {
            return;
        };
        let restarted = served.owned.boot.is_some_and(|boot| boot != report.boot);
        served.owned.boot = Some(report.boot);
        let gone: Vec<Id> = served
            .owned
            .foreign
            .extract_if(.., |id, _| !report.running.iter().any(|(r, _)| r == id))
            .map(|(_, pin)| pin)
            .collect();
        let mut begun = Vec::new();
        for (id, used) in &report.running {
            if served.owned.own.contains(id) {
                begun.push((id.clone(), *used));
                continue;
            }
            if !served.owned.foreign.contains_key(id) {
                let pin = Id(Name::from(format!("foreign/{}", id.0)));
                served.owned.foreign.insert(id.clone(), pin.clone());
                begun.push((pin, *used));
            }
        }
        let resident: Vec<Adapter> = report.resident.iter().map(|at| adapter(*at)).collect();
        self.decide(node, upstream, |machine, now| {
            let mut actions = Vec::new();
            if restarted {
                actions.extend(machine.engine_restarted(now));
            }
            let as_of = Millis(now.0.saturating_sub(20));
            actions.extend(machine.engine_reported(&resident, as_of, now));
            for pin in gone {
                actions.extend(machine.finished(&pin, now));
            }
            for (pin, used) in begun {
                machine.adopt_running(pin, &adapter(used), now);
            }
            actions
        });
    }

    /// Leave to load arrives.
    pub(in super::super) fn granted(&mut self, node: usize, upstream: &Name, at: usize) {
        self.decide(node, upstream, |machine, now| {
            machine.granted(&adapter(at), now)
        });
    }

    /// A load ended.
    pub(in super::super) fn loaded(&mut self, node: usize, upstream: &Name, at: usize, ok: bool) {
        self.decide(node, upstream, |machine, now| {
            machine.loaded(&adapter(at), ok, now)
        });
    }

    fn reply(&mut self, node: usize, route: &Route, result: Result<usize, Failure>) {
        let lost = node != route.from && (!self.connected(node, route.from) || self.lost());
        let (delay, result) = if lost {
            // The connection broke after the request was sent.
            (SILENCE, Err(Failure::new(Code::PeerLost, "fuzz")))
        } else {
            (if node == route.from { 0 } else { self.delay() }, result)
        };
        let arrival = Arrival::Result(route.request, route.attempt, result);
        self.later(delay, Due::Node(route.from, route.start, arrival));
    }
}
