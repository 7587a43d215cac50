//! Requests through the world: entry nodes, owners and engines.
//!
//! Entry nodes stand here and decide by the product's [`retry::RetryStateMachine`].

mod engine;
mod owner;

use std::collections::BTreeSet;

use chivevalve::clock::Millis;
use chivevalve::error::{Code, Failure, Fate};
use chivevalve::membership::fleet::State;
use chivevalve::name::Name;
use chivevalve::retry::{self, FailureContext, RetryBudget, RetryDecision, RetryPolicy};
use rand::RngExt;

use super::oracle::Promise;
use super::world::{Arrival, Due, World};

pub use engine::{Engine, Order, Outcome, Report};
pub use owner::Owned;

/// How long a caller waits.
const DEADLINE: Millis = Millis(8000);
/// How long an entry node waits for a silent owner.
const SILENCE: u64 = 700;

/// A request and what the oracle knows of it.
#[derive(Debug)]
pub struct Request {
    entry: usize,
    start: u64,
    idempotent: bool,
    adapter: usize,
    fate: retry::RetryStateMachine,
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
            fate: retry::RetryStateMachine::new(RetryPolicy::default(), idempotent, deadline),
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
        request.fate.record_send();
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
                request.fate.record_response_start();
                request.fate.record_complete();
                request.answered = true;
                if of != number || request.runs == 0 {
                    self.broken(Promise::OwnAnswer, format!("request {number} got {of}'s"));
                }
                return;
            }
            Err(failure) => failure,
        };
        request.asked = None;
        let context = FailureContext {
            now,
            has_untried_upstream: untried,
            random,
        };
        let budget: &mut RetryBudget = &mut self.nodes[node].budget;
        match request.fate.handle_failure(failure, context, budget) {
            RetryDecision::Retry(pause) => {
                let start = request.start;
                self.later(pause.0, Due::Node(node, start, Arrival::Retry(number)));
            }
            RetryDecision::End { failure, .. } => self.tell_caller(number, &failure),
        }
    }

    /// A request's deadline passes.
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
