//! A model of nodes that claim one engine, whose connections to the key-value service and to one
//! another, processes, leases, keys and writes are disturbed by the seed.
//!
//! The nodes are the product's own claimers and followers. The model plays the network and the
//! service, and checks which machine could send the engine an order at each moment.

mod links;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chivevalve::clock::{Clock, Millis};
use chivevalve::direct::claim::Voters;
use chivevalve::direct::limits::Limits;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::view::View;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use self::links::{Links, Path, Peers};
use crate::direct_support::claimer::{
    Identity, Node, add_engine, address, start_among, store_engine,
};
use crate::direct_support::memory::MemoryStore;

/// Granularity of the virtual time.
const STEP: Millis = Millis(50);

/// What the clocks show at the beginning; VMs have been up for a while.
const BEGIN: Millis = Millis(100_000);

/// How long a series of disturbances lasts.
const STORY: Millis = Millis(60_000);

/// How long nodes run undisturbed behind it.
const CALM: Millis = Millis(15_000);

/// Longest pause between two disturbances.
const MAX_PAUSE: u64 = 4_000;

/// The nodes of a deployment in its first moments.
const NAMES: [&str; 3] = ["one", "two", "three"];

/// The nodes of a deployment in three failure domains, which their names begin with.
const NAMES_IN_DOMAINS: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];

/// Failure domains of [`NAMES_IN_DOMAINS`].
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Pause between the stops of a rolling restart.
const STOP_GAP: Millis = Millis(1_000);

/// Longest time from the last stop of a rolling restart until a failure domain is turned away.
const MAX_DELAY_BEHIND_STOPS: u64 = 8_000;

/// A node's process.
struct Process {
    node: Node<Peers>,
    address: SocketAddr,
    start: u64,
    is_leaving: bool,
    /// The token with which it last could send an order.
    right: Option<u64>,
}

/// The last moment at which a machine could send the engine an order.
#[derive(Debug, Clone)]
struct LastRight {
    machine: String,
    token: u64,
    at: Millis,
}

/// What happens to the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    StoreCut,
    PeerCut,
    Isolation,
    Outage,
    OutageWithExpiry,
    Kill,
    Replace,
    Join,
    KeysDeleted,
    RecordDeleted,
    LateWrites,
    Leave,
    /// A node that leaves, and goes on with its last requests for seconds.
    Stop,
    /// The service turns a node away and deletes its keys.
    TurnedAway,
    Compaction,
    LateWritesOfAnyAge,
    /// All nodes of a failure domain lose the service, their keys, other nodes, or several of them.
    Domain,
    /// All nodes of the other failure domains restart in turn, and the same happens behind it.
    DomainBehindRestarts,
}

const DISTURBANCES: [Disturbance; 12] = [
    Disturbance::StoreCut,
    Disturbance::PeerCut,
    Disturbance::Isolation,
    Disturbance::Outage,
    Disturbance::OutageWithExpiry,
    Disturbance::Kill,
    Disturbance::Replace,
    Disturbance::Join,
    Disturbance::KeysDeleted,
    Disturbance::RecordDeleted,
    Disturbance::LateWrites,
    Disturbance::Leave,
];

/// Planned stops that take their time, beside nodes that the service turns away one by one.
const STOPS_AND_REFUSALS: [Disturbance; 8] = [
    Disturbance::Stop,
    Disturbance::Stop,
    Disturbance::TurnedAway,
    Disturbance::TurnedAway,
    Disturbance::Kill,
    Disturbance::Compaction,
    Disturbance::LateWritesOfAnyAge,
    Disturbance::KeysDeleted,
];

/// Whole failure domains, beside what happens to single nodes.
const DOMAINS_AND_RESTARTS: [Disturbance; 8] = [
    Disturbance::DomainBehindRestarts,
    Disturbance::DomainBehindRestarts,
    Disturbance::DomainBehindRestarts,
    Disturbance::Domain,
    Disturbance::Kill,
    Disturbance::Stop,
    Disturbance::TurnedAway,
    Disturbance::Compaction,
];

/// A change that is due at a time.
#[derive(Debug, Clone)]
enum Change {
    Disturb,
    Stop(String),
    DisturbDomain(&'static str),
    ReachStore(String),
    ReachPeer(String, String),
    EndOutage,
    AnswerWrites(String),
    Start(String, SocketAddr),
    /// The end of a node's start that leaves.
    End(String, u64),
}

/// The deployment, and who could send orders.
pub struct World {
    rng: Pcg64,
    kinds: &'static [Disturbance],
    now: Millis,
    links: Arc<Links>,
    processes: BTreeMap<String, Process>,
    due: Vec<(Millis, Change)>,
    last: Option<LastRight>,
    starts: u64,
    joined: u32,
    log: Vec<String>,
    /// Orders sent: one at each moment at which a node may.
    pub orders: usize,
}

impl World {
    /// Starts the nodes of a deployment for the first time.
    pub fn new(seed: u64) -> Self {
        Self::disturbed_by(&DISTURBANCES, &NAMES, seed)
    }

    /// Starts a deployment whose nodes are stopped, turned away and started again.
    pub fn with_stops(seed: u64) -> Self {
        Self::disturbed_by(&STOPS_AND_REFUSALS, &NAMES, seed)
    }

    /// Starts a deployment whose failure domains are turned away and cut off, behind restarts too.
    pub fn with_domains(seed: u64) -> Self {
        Self::disturbed_by(&DOMAINS_AND_RESTARTS, &NAMES_IN_DOMAINS, seed)
    }

    fn disturbed_by(kinds: &'static [Disturbance], names: &[&str], seed: u64) -> Self {
        let memory = Arc::new(MemoryStore::default());
        store_engine(&memory);
        let mut world = Self {
            rng: Pcg64::seed_from_u64(seed),
            kinds,
            now: BEGIN,
            links: Arc::new(Links::new(memory)),
            processes: BTreeMap::new(),
            due: Vec::new(),
            last: None,
            starts: 0,
            joined: 0,
            log: Vec::new(),
            orders: 0,
        };
        for (index, name) in names.iter().enumerate() {
            let port = u16::try_from(index).unwrap() + 1;
            world.start(name, SocketAddr::from(([127, 0, 0, 2], port)), true);
            if world.rng.random_bool(0.2) {
                world.cut_store(name);
            }
        }
        world.after(MAX_PAUSE, Change::Disturb);
        world
    }

    /// Plays the story and the calm behind it.
    ///
    /// # Errors
    ///
    /// The rule that was broken and what had happened before.
    pub async fn play(&mut self) -> Result<(), String> {
        let story_end = BEGIN + STORY;
        while self.now < story_end + CALM {
            self.step(story_end).await;
            self.check()?;
        }
        Ok(())
    }

    async fn step(&mut self, story_end: Millis) {
        self.now += STEP;
        for process in self.processes.values() {
            process.node.clock.advance(STEP);
        }
        tokio::time::sleep(STEP.duration()).await;
        self.links.pass(self.now);
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.due = rest;
        for (_, change) in due {
            self.apply(change, story_end).await;
        }
    }

    async fn apply(&mut self, change: Change, story_end: Millis) {
        match change {
            Change::Disturb if self.now < story_end => {
                let kind = self.kinds[self.rng.random_range(0..self.kinds.len())];
                self.disturb(kind).await;
                self.after(MAX_PAUSE, Change::Disturb);
            }
            Change::Stop(name) if self.processes.contains_key(&name) => self.stop(name).await,
            Change::Disturb | Change::Stop(_) => {}
            Change::DisturbDomain(domain) => self.disturb_domain(domain),
            Change::ReachStore(name) => {
                self.note(&format!("{name} reaches the service again"));
                self.links.change(|links| links.without_store.remove(&name));
            }
            Change::ReachPeer(one, other) => {
                self.links
                    .change(|links| links.parted.remove(&(one, other)));
            }
            Change::EndOutage => {
                self.note("the service is back");
                self.links.end_outage(self.now);
            }
            Change::AnswerWrites(name) => {
                self.links.change(|links| links.late_writers.remove(&name));
            }
            Change::Start(name, address) => self.start(&name, address, false),
            Change::End(name, start) => self.end(&name, start),
        }
    }

    async fn disturb(&mut self, kind: Disturbance) {
        let Some(name) = self.any_node() else {
            return;
        };
        self.note(&format!("{kind:?} {name}"));
        match kind {
            Disturbance::StoreCut => self.cut_store(&name),
            Disturbance::PeerCut => {
                if let Some(other) = self.any_node() {
                    let until = self.rng.random_range(500..12_000);
                    self.part(&name, &other, until);
                }
            }
            Disturbance::Isolation => {
                self.cut_store(&name);
                let until = self.rng.random_range(500..12_000);
                for other in self.names() {
                    self.part(&name, &other, until);
                }
            }
            Disturbance::Outage | Disturbance::OutageWithExpiry => {
                let expires = kind == Disturbance::OutageWithExpiry;
                self.links.begin_outage(expires);
                self.after(12_000, Change::EndOutage);
            }
            Disturbance::Kill => {
                let process = self.processes.remove(&name).unwrap();
                self.links.change(|links| links.unlisten(process.address));
                self.after(3_000, Change::Start(name, process.address));
            }
            Disturbance::Replace => {
                let process = self.processes.remove(&name).unwrap();
                self.links.change(|links| links.unlisten(process.address));
                let address = self.new_address();
                self.after(5_000, Change::Start(name, address));
            }
            Disturbance::Join if self.processes.len() < 5 => {
                let address = self.new_address();
                self.start(&format!("joined-{}", self.joined), address, false);
            }
            Disturbance::Join => {}
            Disturbance::KeysDeleted => self.links.delete_keys_of(&name),
            Disturbance::RecordDeleted => self.links.delete_record_of(&name),
            Disturbance::LateWrites => {
                let writer = name.clone();
                self.links.change(|links| links.late_writers.insert(writer));
                self.after(4_000, Change::AnswerWrites(name));
            }
            Disturbance::Leave => {
                let process = self.processes.remove(&name).unwrap();
                // A process that gets no response ends all the same.
                let leaving = process.node.claimer.leave();
                let _ = tokio::time::timeout(Millis(1).duration(), leaving).await;
                self.links.change(|links| links.unlisten(process.address));
                self.after(3_000, Change::Start(name, process.address));
            }
            Disturbance::Stop => self.stop(name).await,
            Disturbance::TurnedAway => {
                self.cut_store(&name);
                self.links.revoke_leases_of(&name);
            }
            Disturbance::Compaction => self.links.drop_history(),
            Disturbance::Domain => {
                let domain = self.any_domain();
                self.disturb_domain(domain);
            }
            Disturbance::DomainBehindRestarts => {
                let domain = self.any_domain();
                self.restart_around(domain);
            }
            Disturbance::LateWritesOfAnyAge => {
                let late_by = Millis(self.rng.random_range(1_000..=6_000));
                let writer = name.clone();
                self.links.change(|links| {
                    links.late_by = Some(late_by);
                    links.late_writers.insert(writer);
                });
                self.after(4_000, Change::AnswerWrites(name));
            }
        }
    }

    /// Restarts the nodes of all other failure domains in turn, and disturbs one behind it.
    fn restart_around(&mut self, domain: &'static str) {
        let others: Vec<&str> = NAMES_IN_DOMAINS
            .into_iter()
            .filter(|name| !name.starts_with(domain))
            .collect();
        let mut at = self.now;
        for name in others {
            at += STOP_GAP;
            self.due.push((at, Change::Stop(name.to_owned())));
        }
        let delay = Millis(self.rng.random_range(0..=MAX_DELAY_BEHIND_STOPS));
        self.due.push((at + delay, Change::DisturbDomain(domain)));
    }

    /// Turns the nodes of a failure domain away, with or without their keys, or parts them from all
    /// others, or both.
    fn disturb_domain(&mut self, domain: &'static str) {
        let kind = self.rng.random_range(0..4);
        let (is_turned_away, is_parted) = (kind != 0, kind != 1);
        let keys_are_deleted = kind > 1 || self.rng.random_bool(0.5);
        let span = self.rng.random_range(2_000..=12_000);
        self.note(&format!(
            "{domain} for {span} ms: turned away {is_turned_away}, parted {is_parted}"
        ));
        let (inside, outside): (Vec<String>, Vec<String>) = self
            .names()
            .into_iter()
            .partition(|name| name.starts_with(domain));
        for name in inside {
            if is_turned_away {
                let cut = name.clone();
                self.links.change(|links| links.without_store.insert(cut));
                let change = Change::ReachStore(name.clone());
                self.due.push((self.now + Millis(span), change));
                if keys_are_deleted {
                    self.links.revoke_leases_of(&name);
                }
            }
            if is_parted {
                for other in &outside {
                    self.part(&name, other, span);
                }
            }
        }
    }

    /// Lets a node leave; its process ends within the longest time of a planned stop.
    async fn stop(&mut self, name: String) {
        let process = self.processes.get_mut(&name).unwrap();
        if std::mem::replace(&mut process.is_leaving, true) {
            return;
        }
        let start = process.start;
        let leaving = process.node.claimer.leave();
        let _ = tokio::time::timeout(Millis(1).duration(), leaving).await;
        let longest = Limits::default().shutdown;
        self.after(longest.0, Change::End(name, start));
    }

    /// Ends the process of a node that leaves, unless another one has taken its place.
    fn end(&mut self, name: &str, start: u64) {
        let is_same = |process: &Process| process.start == start;
        if !self.processes.get(name).is_some_and(is_same) {
            return;
        }
        self.note(&format!("{name} ends"));
        let process = self.processes.remove(name).unwrap();
        self.links.change(|links| links.unlisten(process.address));
        self.after(3_000, Change::Start(name.to_owned(), process.address));
    }

    /// Checks the rule of one owner: no machine may order beside another, or within the minimum gap
    /// of it, or with a lower token.
    fn check(&mut self) -> Result<(), String> {
        let gap = Limits::default().order_gap;
        for (machine, process) in &mut self.processes {
            let right = process.node.ownership.fencing_token(address());
            if std::mem::replace(&mut process.right, right) != right {
                let voters = process.node.others.others();
                self.log.push(format!(
                    "{} {machine} orders with {right:?}, its voters are {voters:?}",
                    self.now
                ));
            }
            let Some(token) = right else {
                continue;
            };
            process.node.ownership.record_order(address());
            self.orders += 1;
            let right = LastRight {
                machine: machine.clone(),
                token,
                at: self.now,
            };
            if let Some(last) = self.last.as_ref().filter(|last| last.machine != *machine) {
                let since = self.now.since(last.at);
                if since + STEP < gap || token <= last.token {
                    return Err(format!(
                        "{right:?} {since} after {last:?}\n{}",
                        self.log.join("\n")
                    ));
                }
            }
            self.last = Some(right);
        }
        Ok(())
    }

    fn start(&mut self, name: &str, address: SocketAddr, first_start: bool) {
        self.note(&format!("{name} starts at {address}"));
        self.starts += 1;
        let view = Arc::new(View::default());
        add_engine(&view);
        let identity = Identity {
            name,
            start: self.starts,
            address,
            first_start,
        };
        let path = Arc::new(Path::new(name, Arc::clone(&self.links)));
        let links = Arc::clone(&self.links);
        let node = start_among(
            |view, _: Arc<Ownership>, _: Arc<dyn Clock>| Arc::new(Peers::new(name, view, links)),
            self.now,
            view,
            identity,
            &path,
        );
        self.links
            .change(|links| links.listen(address, name, &node.ownership));
        let process = Process {
            node,
            address,
            start: self.starts,
            is_leaving: false,
            right: None,
        };
        self.processes.insert(name.to_owned(), process);
    }

    fn cut_store(&mut self, name: &str) {
        let cut = name.to_owned();
        self.links.change(|links| links.without_store.insert(cut));
        self.after(12_000, Change::ReachStore(name.to_owned()));
    }

    fn part(&mut self, one: &str, other: &str, until: u64) {
        for (from, to) in [(one, other), (other, one)] {
            let link = (from.to_owned(), to.to_owned());
            self.links.change(|links| links.parted.insert(link.clone()));
            let change = Change::ReachPeer(link.0, link.1);
            self.due.push((self.now + Millis(until), change));
        }
    }

    /// Schedules a change within `most` milliseconds.
    fn after(&mut self, most: u64, change: Change) {
        let at = self.now + Millis(self.rng.random_range(50..=most));
        self.due.push((at, change));
    }

    fn new_address(&mut self) -> SocketAddr {
        self.joined += 1;
        let port = u16::try_from(self.joined).unwrap() + 100;
        SocketAddr::from(([127, 0, 0, 2], port))
    }

    fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    fn any_node(&mut self) -> Option<String> {
        let names = self.names();
        let index = self.rng.random_range(0..names.len().max(1));
        names.into_iter().nth(index)
    }

    fn any_domain(&mut self) -> &'static str {
        DOMAINS[self.rng.random_range(0..DOMAINS.len())]
    }

    fn note(&mut self, what: &str) {
        self.log.push(format!("{} {what}", self.now));
    }
}
