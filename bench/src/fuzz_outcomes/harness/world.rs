//! Several nodes, the service and the network between them, in virtual time.

mod calls;
mod events;
mod faults;
mod round;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chivevalve::clock::Millis;
use chivevalve::error::Failure;
use chivevalve::membership::guard::Guards;
use chivevalve::membership::machine::{Call, CallResult, Machine};
use chivevalve::membership::node::{Claim, Identity};
use chivevalve::membership::upstreams::Upstreams;
use chivevalve::membership::witness;
use chivevalve::name::Name;
use chivevalve::ports::{Error, Event};
use chivevalve::request::Id;
use chivevalve::retry::RetryBudget;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::oracle::{Promise, Violation};
use super::service::Service;
use super::story::Story;
use super::traffic::{Engine, Order, Outcome, Owned, Report, Request, Route};

const PREFIX: &str = "/fuzz/";
/// Time between two ticks of a machine.
const TICK: u64 = 100;
/// Parts of a node's clock rate; a node may be one part faster or slower.
const RATE: u64 = 48;
/// Steps that a stopping node may take to finish what it runs.
const GRACE_TICKS: u32 = 400;
/// How long a world may take to recover after the last fault.
const RECOVERY: u64 = 60_000;
/// Where nodes' clocks start, far from the world's.
const EPOCH: u64 = 1_000_000;

/// Something that arrives at a time.
#[derive(Debug, Clone)]
pub(super) enum Arrival {
    Tick,
    Answer(u64, CallResult),
    Seen(Event),
    Asked {
        from: usize,
        start: u64,
        number: u64,
        ask: witness::VoteRequest,
    },
    News(Vec<Claim>, Vec<chivevalve::membership::node::Record>),
    Released(u64, Name, u64),
    Attempt(Route, Name),
    Result(usize, u32, Result<usize, Failure>),
    Retry(usize),
    Deadline(usize),
    Ran(Name, Id, Outcome),
    Granted(Name, usize),
    Loaded(Name, usize, bool),
    Reported(Name, Report),
}

/// What is due in the world.
#[derive(Debug, Clone)]
pub(super) enum Due {
    /// For one start of a node.
    Node(usize, u64, Arrival),
    /// For the service, from a node.
    Service {
        node: usize,
        start: u64,
        number: u64,
        call: Call,
        answered: bool,
    },
    Gossip,
    Engine {
        node: usize,
        start: u64,
        token: u64,
        upstream: Name,
        order: Order,
    },
    Done(Name, Id, u64),
    Gone(Name),
    Resume(usize),
    Start(usize),
    End(Fault),
}

/// A fault that lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    ServiceDown,
    ServiceCut(usize),
    Split,
    ServiceSplit,
    Loss,
    Late,
    Stale,
    BadList,
}

/// What a node's owner would serve.
#[derive(Debug)]
pub(super) struct Served {
    pub token: u64,
    until: Arc<AtomicU64>,
    pub releasing: bool,
    release: Option<(u64, Millis)>,
    pub owned: Owned,
}

impl Served {
    /// Whether an order may leave now.
    pub fn may_order(&self, now: Millis) -> bool {
        now.0 < self.until.load(Ordering::Acquire)
    }
}

#[derive(Debug)]
pub(super) struct Node {
    pub identity: Identity,
    pub machine: Option<Machine>,
    rate: u64,
    pub paused: bool,
    backlog: VecDeque<Arrival>,
    pub served: BTreeMap<Name, Served>,
    pub upstreams: Upstreams,
    pub routes: BTreeMap<Id, Route>,
    pub budget: RetryBudget,
    listed: u64,
    stalled: bool,
    left_over: u32,
    cut: u32,
    // A watch tells in order.
    watched_until: u64,
}

impl Node {
    pub fn clock(&self, now: u64) -> Millis {
        Millis(EPOCH + now * self.rate / RATE)
    }
}

/// What is broken now; faults of one kind may overlap.
#[derive(Debug, Default)]
struct Faults {
    down: u32,
    split: Option<u8>,
    service_split: Option<u8>,
    loss: u8,
    late: u8,
    stale: u32,
    bad_list: Option<u8>,
}

/// The world of one story.
#[derive(Debug)]
pub struct World {
    pub(super) now: u64,
    order: u64,
    due: BTreeMap<(u64, u64), Due>,
    pub(super) rng: Pcg64Mcg,
    guards: Guards,
    service: Service,
    pub(super) nodes: Vec<Node>,
    starts: u64,
    faults: Faults,
    pub(super) regions: BTreeMap<Name, Name>,
    pub(super) leaving: BTreeMap<Name, u64>,
    // When upstreams left the list, and when the list was last bad.
    pub(super) unlisted: Vec<u64>,
    pub(super) list_bad: u64,
    pub(super) requests: Vec<Request>,
    pub(super) engines: BTreeMap<Name, Engine>,
    violation: Option<Violation>,
    /// What happened, if it is wanted.
    pub trace: Option<Vec<String>>,
    /// Rare events that machines noted, so that campaigns can show what they reached.
    pub notes: BTreeMap<&'static str, u64>,
}

impl World {
    /// Makes the world of a story; its nodes start within a second.
    #[must_use]
    pub fn new(story: &Story, guards: Guards) -> Self {
        let mut world = Self {
            now: 0,
            order: 0,
            due: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(story.seed),
            guards,
            service: Service::default(),
            nodes: Vec::new(),
            starts: 0,
            faults: Faults::default(),
            regions: BTreeMap::new(),
            leaving: BTreeMap::new(),
            unlisted: Vec::new(),
            list_bad: 0,
            requests: Vec::new(),
            engines: BTreeMap::new(),
            violation: None,
            trace: None,
            notes: BTreeMap::new(),
        };
        for index in 0..story.upstreams {
            let region = format!("r{}", index % story.regions);
            world
                .regions
                .insert(Name::from(format!("u{index}")), Name::from(region));
        }
        for index in 0..usize::from(story.nodes) {
            world.add_node(index, usize::from(story.regions));
        }
        world.later(300, Due::Gossip);
        world
    }

    fn add_node(&mut self, index: usize, regions: usize) {
        let port = u16::try_from(1000 + index).unwrap_or(u16::MAX);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let identity = Identity {
            name: Name::from(format!("n{index}")),
            incarnation: 0,
            region: Name::from(format!("r{}", index % regions)),
            failure_domain: Name::from(format!("d{}", index % 3)),
            peer: address,
            operators: address,
        };
        let rate = RATE - 1 + self.rng.random_range(0..=2);
        self.nodes.push(Node {
            identity,
            machine: None,
            rate,
            paused: false,
            backlog: VecDeque::new(),
            served: BTreeMap::new(),
            upstreams: Upstreams::new(self.guards),
            routes: BTreeMap::new(),
            budget: RetryBudget::new(20, Millis::ZERO),
            listed: 0,
            stalled: false,
            left_over: 0,
            cut: 0,
            watched_until: 0,
        });
        let wait = self.rng.random_range(0..1000);
        self.later(wait, Due::Start(index));
    }

    /// Plays a story to its end; returns the first broken promise.
    ///
    /// # Errors
    ///
    /// The violation, if there is one.
    pub fn play(&mut self, story: &Story) -> Result<(), Violation> {
        self.run(4000)?;
        for step in &story.steps {
            self.take(*step);
            let pause = self.rng.random_range(0..1500);
            self.run(pause)?;
        }
        self.recover()
    }

    fn recover(&mut self) -> Result<(), Violation> {
        self.count_requests();
        let latest = self.now + 16_000;
        self.run(latest - self.now)?;
        self.faults = Faults::default();
        for index in 0..self.nodes.len() {
            self.nodes[index].cut = 0;
            if self.nodes[index].machine.is_none() {
                self.start(index);
            }
        }
        self.run(RECOVERY)?;
        let owned: Vec<&Name> = self
            .nodes
            .iter()
            .flat_map(|node| {
                let clock = node.clock(self.now).0;
                node.served
                    .iter()
                    .filter(move |(_, served)| {
                        served.releasing || clock < served.until.load(Ordering::Acquire)
                    })
                    .map(|(name, _)| name)
            })
            .collect();
        let orphan = self.regions.keys().find(|name| !owned.contains(name));
        match orphan {
            Some(orphan) => Err(Violation {
                promise: Promise::Recovery,
                at: self.now,
                detail: format!("{orphan} has no owner"),
            }),
            None => Ok(()),
        }
    }

    fn tell(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:>7} {}", line()));
        }
    }

    pub(super) fn later(&mut self, span: u64, due: Due) {
        self.order += 1;
        self.due.insert((self.now + span, self.order), due);
    }

    /// Lets time pass.
    ///
    /// # Errors
    ///
    /// The first violation.
    pub fn run(&mut self, span: u64) -> Result<(), Violation> {
        let end = self.now + span;
        while let Some((&(at, order), _)) = self.due.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            self.service.expire(Millis(at));
            let Some(due) = self.due.remove(&(at, order)) else {
                break;
            };
            self.happen(due);
            self.spread_changes();
            self.check();
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        self.now = end;
        Ok(())
    }

    /// Returns the calls that the service answered, and their bytes.
    #[allow(dead_code, reason = "only the tests that share this harness ask")]
    #[must_use]
    pub fn service_cost(&self) -> (u64, u64) {
        (self.service.calls, self.service.bytes)
    }
}

fn describe(event: &Event) -> String {
    let what = match &event.entry {
        None => "ends".to_owned(),
        Some(entry) => Claim::from_value(&entry.value, 0)
            .filter(|_| event.key.contains("claims/"))
            .map_or_else(
                || "written".to_owned(),
                |claim| format!("goes to {}", claim.node),
            ),
    };
    format!("service {}: {} {what}", event.revision, event.key)
}

fn failed(call: &Call, error: Error) -> CallResult {
    match call {
        Call::Grant(_) => CallResult::Granted(Err(error)),
        Call::Renew(_) => CallResult::Renewed(Err(error)),
        Call::Revoke(_) => CallResult::Revoked,
        Call::Commit(_) => CallResult::Committed(Err(error)),
        Call::Read(_) => CallResult::Read(Err(error)),
        Call::List => CallResult::Listed(Err(error)),
        Call::RequestVote(..) => CallResult::Vote(None),
        Call::Release(..) => CallResult::Released,
    }
}
