//! Requests through the world: entry nodes, owners and engines.
//!
//! Entry nodes decide by the product's [`fate::Machine`], owners by its
//! [`upstream::Machine`]; engines are fakes with a few slots.

use std::collections::{BTreeMap, BTreeSet};

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::{Code, Failure, Fate};
use chivevalve::fate::{self, Budget, Context, Rules, Verdict};
use chivevalve::membership::fleet::State;
use chivevalve::name::Name;
use chivevalve::policy::upstream::{self, Action};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::Share;
use rand::RngExt;

use super::oracle::Promise;
use super::world::{Arrival, Due, World};

/// Adapters that an engine holds at a time.
const SLOTS: usize = 2;
/// How long a caller waits.
const DEADLINE: Millis = Millis(8000);
/// Longest run of a request at an engine.
const LONGEST_RUN: u64 = 2500;
/// How long an entry node waits for a silent owner.
const SILENCE: u64 = 700;

/// A request and what the oracle knows of it.
#[derive(Debug)]
pub struct Request {
    entry: usize,
    start: u64,
    idempotent: bool,
    adapter: usize,
    fate: fate::Machine,
    tried: BTreeSet<Name>,
    attempt: u32,
    asked: Option<usize>,
    runs: u32,
    told: Option<Fate>,
    answered: bool,
}

/// Where an owner returns an answer to.
#[derive(Debug, Clone)]
pub struct Route {
    request: usize,
    attempt: u32,
    from: usize,
    start: u64,
}

/// How a run at an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Refused,
    Lost,
}

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
    boot: u64,
    resident: Vec<usize>,
    running: Vec<(Id, usize)>,
}

/// An engine with few slots.
#[derive(Debug, Default)]
pub struct Engine {
    boot: u64,
    token: u64,
    resident: BTreeSet<usize>,
    running: BTreeMap<Id, (usize, usize, u64)>,
}

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
            batch: 3,
            queue: 8,
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
    /// A caller sends a request to a node.
    pub(super) fn request(&mut self, node: usize, what: u8) {
        if self.nodes[node].machine.is_none() || self.nodes[node].paused {
            return;
        }
        let now = self.nodes[node].clock(self.now);
        let idempotent = what & 1 == 1;
        let deadline = now + DEADLINE;
        self.requests.push(Request {
            entry: node,
            start: self.nodes[node].identity.incarnation,
            idempotent,
            adapter: usize::from(what >> 1) % 6,
            fate: fate::Machine::new(Rules::default(), idempotent, deadline),
            tried: BTreeSet::new(),
            attempt: 0,
            asked: None,
            runs: 0,
            told: None,
            answered: false,
        });
        let number = self.requests.len() - 1;
        self.try_at(number);
        let start = self.nodes[node].identity.incarnation;
        self.later(
            DEADLINE.0,
            Due::Node(node, start, Arrival::Deadline(number)),
        );
    }

    /// Tries a request at an owner, as its entry node sees owners.
    pub(super) fn try_at(&mut self, number: usize) {
        let node = self.requests[number].entry;
        if self.requests[number].told.is_some() || self.requests[number].answered {
            return;
        }
        let Some((upstream, to)) = self.choose(number) else {
            let failure = Failure::new(Code::NoUpstream, "no upstream has an owner");
            let failure = self.requests[number].fate.end(failure);
            self.tell_caller(number, &failure);
            return;
        };
        let request = &mut self.requests[number];
        request.fate.send();
        request.attempt += 1;
        request.tried.insert(upstream.clone());
        request.asked = Some(to);
        let attempt = request.attempt;
        let start = request.start;
        let reachable = self.connected(node, to) && self.nodes[to].machine.is_some();
        if !reachable && to != node {
            self.fail(number, attempt, Code::PeerUnreachable, 5);
            return;
        }
        let lost = to != node && self.lost();
        if lost {
            self.fail(number, attempt, Code::PeerLost, SILENCE);
        }
        // A connection that breaks may have carried the request.
        if !lost || self.rng.random_bool(0.5) {
            let route = Route {
                request: number,
                attempt,
                from: node,
                start,
            };
            let callee = self.nodes[to].identity.incarnation;
            let delay = if to == node { 0 } else { self.delay() };
            let attempt = Arrival::Attempt(route, upstream);
            self.later(delay, Due::Node(to, callee, attempt));
        }
    }

    fn choose(&mut self, number: usize) -> Option<(Name, usize)> {
        let request = &self.requests[number];
        let node = &self.nodes[request.entry];
        let now = node.clock(self.now);
        let table = node.machine.as_ref()?.table();
        let usable = node.upstreams.all(now);
        let mut candidates: Vec<(bool, Name, usize)> = usable
            .iter()
            .filter(|upstream| upstream.state == State::Usable)
            .filter_map(|upstream| table.claim(&upstream.vm.name))
            .filter(|claim| !claim.is_free())
            .filter_map(|claim| {
                let at = |node: &super::world::Node| node.identity.peer == claim.peer;
                let to = self.nodes.iter().position(at)?;
                let again = request.tried.contains(&claim.upstream);
                Some((again, claim.upstream.clone(), to))
            })
            .collect();
        candidates.sort();
        let fresh = candidates.iter().filter(|(again, ..)| !again).count();
        let among = if fresh == 0 { candidates.len() } else { fresh };
        if among == 0 {
            return None;
        }
        let (_, upstream, to) = candidates.swap_remove(self.rng.random_range(0..among));
        Some((upstream, to))
    }

    fn fail(&mut self, number: usize, attempt: u32, code: Code, wait: u64) {
        let request = &self.requests[number];
        let (entry, start) = (request.entry, request.start);
        let result = Arrival::Result(number, attempt, Err(Failure::new(code, "fuzz")));
        self.later(wait, Due::Node(entry, start, result));
    }

    /// An attempt reaches the node that is said to own the upstream.
    pub(super) fn attempt(&mut self, node: usize, route: Route, upstream: &Name) {
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
    pub(super) fn decide(
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
            Action::Ask { adapter, .. } => {
                let start = self.nodes[node].identity.incarnation;
                let wait = self.rng.random_range(5..200);
                let granted = Arrival::Granted(upstream.clone(), index(&adapter));
                self.later(wait, Due::Node(node, start, granted));
            }
            Action::Withdraw { .. } => {}
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
    pub(super) fn order(&mut self, node: usize, upstream: &Name, order: Order) -> bool {
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

    /// An order reaches an engine.
    pub(super) fn engine(
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
    pub(super) fn done(&mut self, upstream: Name, id: Id, boot: u64) {
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
    pub(super) fn restart_engine(&mut self, upstream: &Name) {
        let engine = self.engines.entry(upstream.clone()).or_default();
        engine.boot += 1;
        engine.resident.clear();
        let running = std::mem::take(&mut engine.running);
        for (id, (node, _, start)) in running {
            let ran = Arrival::Ran(upstream.clone(), id, Outcome::Lost);
            self.later(2, Due::Node(node, start, ran));
        }
    }

    /// An owner hears how a run ended.
    pub(super) fn ran(&mut self, node: usize, upstream: &Name, id: &Id, outcome: Outcome) {
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
    pub(super) fn reported(&mut self, node: usize, upstream: &Name, report: &Report) {
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
                actions.extend(machine.restarted(now));
            }
            let as_of = Millis(now.0.saturating_sub(20));
            actions.extend(machine.reported(&resident, as_of, now));
            for pin in gone {
                actions.extend(machine.finished(&pin, now));
            }
            for (pin, used) in begun {
                machine.runs_already(pin, &adapter(used), now);
            }
            actions
        });
    }

    /// Leave to load arrives.
    pub(super) fn granted(&mut self, node: usize, upstream: &Name, at: usize) {
        self.decide(node, upstream, |machine, now| {
            machine.granted(&adapter(at), now)
        });
    }

    /// A load ended.
    pub(super) fn loaded(&mut self, node: usize, upstream: &Name, at: usize, ok: bool) {
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

    /// An entry node hears what became of an attempt.
    pub(super) fn result(&mut self, number: usize, attempt: u32, result: Result<usize, Failure>) {
        let node = self.requests[number].entry;
        let now = self.nodes[node].clock(self.now);
        let untried = self.regions.len() > self.requests[number].tried.len();
        let random = self.rng.random();
        let request = &mut self.requests[number];
        if request.attempt != attempt || request.told.is_some() || request.answered {
            return;
        }
        let failure = match result {
            Ok(of) => {
                request.fate.begin();
                request.fate.finish();
                request.answered = true;
                if of != number || request.runs == 0 {
                    self.broken(Promise::OwnAnswer, format!("request {number} got {of}'s"));
                }
                return;
            }
            Err(failure) => failure,
        };
        request.asked = None;
        let context = Context {
            now,
            untried,
            random,
        };
        let budget: &mut Budget = &mut self.nodes[node].budget;
        match request.fate.fail(failure, context, budget) {
            Verdict::Retry(pause) => {
                let start = request.start;
                self.later(pause.0, Due::Node(node, start, Arrival::Retry(number)));
            }
            Verdict::End { failure, .. } => self.tell_caller(number, &failure),
        }
    }

    /// A caller's patience ends.
    pub(super) fn deadline(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.told.is_some() || request.answered {
            return;
        }
        let code = if request.fate.certainly_not_run() {
            Code::ExpiredWaiting
        } else {
            Code::ExpiredRunning
        };
        let failure = request.fate.end(Failure::new(code, "fuzz"));
        self.tell_caller(number, &failure);
    }

    fn tell_caller(&mut self, number: usize, failure: &Failure) {
        let request = &mut self.requests[number];
        request.told = Some(failure.fate());
        let lied = failure.fate() == Fate::NotRun && request.runs > 0;
        if lied {
            let detail = format!("request {number} ran and was told {failure}");
            self.broken(Promise::NotRun, detail);
        }
    }

    /// The connections of a node that died break.
    pub(super) fn break_connections(&mut self, node: usize) {
        self.nodes[node].routes.clear();
        let asked: Vec<(usize, u32)> = self
            .requests
            .iter()
            .enumerate()
            .filter(|(_, request)| request.asked == Some(node) && request.told.is_none())
            .filter(|(_, request)| !request.answered)
            .map(|(number, request)| (number, request.attempt))
            .collect();
        for (number, attempt) in asked {
            self.fail(number, attempt, Code::PeerLost, 10);
        }
    }

    /// Whether a node still works for callers of its own.
    pub(super) fn serves_callers(&self, node: usize) -> bool {
        let start = self.nodes[node].identity.incarnation;
        self.requests.iter().any(|request| {
            let open = request.told.is_none() && !request.answered;
            request.entry == node && request.start == start && open
        })
    }

    /// Counts requests for the campaign's report.
    pub(super) fn count_requests(&mut self) {
        let sent = self.requests.len() as u64;
        let answered = self.requests.iter().filter(|request| request.answered);
        let answered = answered.count() as u64;
        let unknown = |request: &&Request| request.told == Some(Fate::Unknown);
        let unknown = self.requests.iter().filter(unknown).count() as u64;
        *self.notes.entry("requests_sent").or_default() += sent;
        *self.notes.entry("requests_answered").or_default() += answered;
        *self.notes.entry("requests_unknown").or_default() += unknown;
    }
}
