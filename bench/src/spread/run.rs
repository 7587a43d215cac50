//! One measurement: a way, a number of nodes, and what is wrong.

use std::sync::atomic::Ordering;
use std::time::Duration;

use chivevalve::declaration::DeclarationSet;
use chivevalve::schema::declaration::{Account, Pool, Template};
use chivevalve::schema::peer::Digest;
use chivevalve_standins::store::{Counts, Knobs};
use futures::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use tokio::time::Instant;

use super::cpu;
use super::site::{Ground, Site, since};
use super::ways::Kind;

/// Time in which nodes find one another before anything is measured.
const WARM_UP: Duration = Duration::from_secs(30);
/// Time over which idle costs are measured.
const IDLE: Duration = Duration::from_mins(2);
/// Longest wait for one change.
const LIMIT: Duration = Duration::from_mins(5);
/// Times that a broadcast is tried for each node.
const TRIES: u32 = 3;
/// How many of 100 messages are lost.
const LOSS: u32 = 20;
/// Templates in force, so that a fresh node reads something.
const TEMPLATES: usize = 500;

/// What is wrong while changes are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// 20 of 100 messages between nodes are lost.
    Loss,
    /// One node in ten is paused; the others are measured.
    Paused,
    /// Half of the nodes hears neither service nor other half until it heals.
    Partition,
    /// The service is down, and a fresh node starts.
    Fresh,
}

impl Trouble {
    /// All troubles.
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::Loss,
        Self::Paused,
        Self::Partition,
        Self::Fresh,
    ];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Loss => "loss 20 %",
            Self::Paused => "10 % paused",
            Self::Partition => "after partition",
            Self::Fresh => "fresh, service down",
        }
    }
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub way: &'static str,
    pub nodes: usize,
    pub trouble: &'static str,
    pub changes: usize,
    /// Changes that didn't reach every node within five minutes.
    pub unfinished: usize,
    /// From accepted to in force at the last node, in milliseconds.
    pub last_median_ms: u64,
    pub last_max_ms: u64,
    /// Per node and second without changes.
    pub idle_bytes: f64,
    /// Per node and change, beyond idle.
    pub change_bytes: f64,
    /// Share of one core per node without changes, in percent.
    pub idle_cpu_percent: f64,
    /// Processor time per node and change, beyond idle, in microseconds.
    pub change_cpu_us: f64,
    /// Calls on the service a second without changes, all nodes together.
    pub idle_calls: f64,
    /// Calls on the service per change, beyond idle.
    pub change_calls: f64,
    /// Watches that wait at the service.
    pub watches: usize,
}

/// Runs one measurement in virtual time.
pub async fn run(kind: Kind, nodes: usize, trouble: Trouble, changes: usize, seed: u64) -> Row {
    let ground = Ground::new(seed);
    let way = kind.way();
    let sites: Vec<Site> = (0..nodes)
        .map(|number| Site::start(&ground, &way, number, 1))
        .collect();
    let mut course = Course {
        kind,
        ground,
        sites,
        trouble,
        rng: Pcg32::seed_from_u64(seed),
        set: base(),
        revision: 0,
    };
    course.prepare().await;
    course.measure(changes).await
}

/// One course of changes.
struct Course {
    kind: Kind,
    ground: Ground,
    sites: Vec<Site>,
    trouble: Trouble,
    rng: Pcg32,
    set: DeclarationSet,
    revision: u64,
}

/// Costs up to a moment.
#[derive(Debug, Clone, Copy)]
struct Costs {
    at: Instant,
    bytes: u64,
    calls: u64,
    cpu_ns: u64,
}

impl Course {
    async fn prepare(&mut self) {
        tokio::time::sleep(WARM_UP).await;
        self.change(0).await;
        tokio::time::sleep(WARM_UP).await;
    }

    async fn measure(&mut self, changes: usize) -> Row {
        let start = self.costs();
        tokio::time::sleep(IDLE).await;
        let idle = self.costs();
        let watches = self.ground.watching.load(Ordering::Relaxed);
        let mut spans = Vec::new();
        for _ in 0..changes {
            let pause = self.rng.random_range(5_000..15_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            spans.push(self.once().await);
        }
        let end = self.costs();
        self.row(start, idle, end, watches, &spans)
    }

    /// Makes one change under trouble; returns how long it took to the last node.
    async fn once(&mut self) -> Option<u64> {
        match self.trouble {
            Trouble::None => self.change(0).await,
            Trouble::Loss => {
                self.ground.links.lose(LOSS);
                let span = self.change(0).await;
                self.ground.links.lose(0);
                span
            }
            Trouble::Paused => self.paused().await,
            Trouble::Partition => self.partition().await,
            Trouble::Fresh => self.fresh().await,
        }
    }

    async fn paused(&mut self) -> Option<u64> {
        let paused = self.sites.len() / 10;
        // The last ones in order of names; which nodes watch is independent of that.
        for site in self.sites.iter().rev().take(paused) {
            self.ground.links.pause(site.peer.address, true);
        }
        let span = self.change(paused).await;
        for site in &self.sites {
            self.ground.links.pause(site.peer.address, false);
        }
        tokio::time::sleep(LIMIT / 5).await;
        span
    }

    /// Cuts half off, makes a change in the other, heals, and waits for all.
    async fn partition(&mut self) -> Option<u64> {
        let half = self.sites.len() / 2;
        for site in self.sites.iter().skip(half) {
            self.ground.links.part(site.peer.address, 1);
        }
        self.change(self.sites.len() - half).await?;
        tokio::time::sleep(Duration::from_secs(20)).await;
        for site in &self.sites {
            self.ground.links.part(site.peer.address, 0);
        }
        self.everywhere(0, Instant::now()).await
    }

    /// Starts one more node while the service is down.
    async fn fresh(&mut self) -> Option<u64> {
        self.ground.store.set(Knobs {
            down: true,
            ..Knobs::default()
        });
        let number = self.sites.len();
        let start = Instant::now();
        let incarnation = u64::from(self.rng.random::<u32>());
        let site = Site::start(&self.ground, &self.kind.way(), number, incarnation);
        let known = tokio::time::timeout(LIMIT, site.in_force(self.revision)).await;
        let span = known.ok().map(|()| since(start).0);
        site.end(&self.ground);
        self.ground.store.set(Knobs::default());
        tokio::time::sleep(LIMIT / 5).await;
        span
    }

    /// Makes a change at some node that isn't among the last `without`, and waits for the others.
    async fn change(&mut self, without: usize) -> Option<u64> {
        let writers = self.sites.len() - without;
        let writer = self.rng.random_range(0..writers);
        let key = (
            "shop".to_owned(),
            format!("t{}", self.rng.random_range(0..TEMPLATES)),
        );
        if let Some(template) = self.set.templates.get_mut(&key) {
            template.weight = template.weight % 1_000 + 1;
        }
        let id = format!("c{}", self.revision + 1);
        let site = &self.sites[writer];
        let accepted = site.apply(&id, self.revision, &self.set).await;
        let start = Instant::now();
        let accepted = accepted.expect("nothing else changes the configuration");
        self.revision = accepted.revision;
        if self.kind == Kind::Broadcast {
            broadcast(site, &self.sites).await;
        }
        self.everywhere(without, start).await
    }

    async fn everywhere(&self, without: usize, start: Instant) -> Option<u64> {
        let reached = self.sites[..self.sites.len() - without]
            .iter()
            .map(|site| site.in_force(self.revision));
        let all = tokio::time::timeout(LIMIT, join_all(reached)).await;
        all.ok().map(|_| since(start).0)
    }

    fn costs(&self) -> Costs {
        let Counts {
            reads,
            writes,
            watches,
            ..
        } = self.ground.store.counts();
        Costs {
            at: Instant::now(),
            bytes: self.ground.links.traffic().0,
            calls: reads + writes + watches,
            cpu_ns: cpu::thread_ns(),
        }
    }

    fn row(
        &self,
        start: Costs,
        idle: Costs,
        end: Costs,
        watches: usize,
        spans: &[Option<u64>],
    ) -> Row {
        let nodes = self.sites.len() as f64;
        let idle_secs = (idle.at - start.at).as_secs_f64();
        let busy_secs = (end.at - idle.at).as_secs_f64();
        let changes = spans.len().max(1) as f64;
        let per_second = |from: u64, to: u64| (to - from) as f64 / idle_secs;
        let beyond = |a: u64, b: u64, c: u64| {
            ((c - b) as f64 - per_second(a, b) * busy_secs).max(0.0) / changes
        };
        let mut done: Vec<u64> = spans.iter().flatten().copied().collect();
        done.sort_unstable();
        Row {
            way: self.kind.name(),
            nodes: self.sites.len(),
            trouble: self.trouble.name(),
            changes: spans.len(),
            unfinished: spans.len() - done.len(),
            last_median_ms: done.get(done.len() / 2).copied().unwrap_or(0),
            last_max_ms: done.last().copied().unwrap_or(0),
            idle_bytes: per_second(start.bytes, idle.bytes) / nodes,
            change_bytes: beyond(start.bytes, idle.bytes, end.bytes) / nodes,
            idle_cpu_percent: per_second(start.cpu_ns, idle.cpu_ns) / nodes / 1e7,
            change_cpu_us: beyond(start.cpu_ns, idle.cpu_ns, end.cpu_ns) / nodes / 1e3,
            idle_calls: per_second(start.calls, idle.calls),
            change_calls: beyond(start.calls, idle.calls, end.calls),
            watches,
        }
    }
}

/// Sends a change from the node that made it to each other one.
async fn broadcast(from: &Site, sites: &[Site]) {
    let mut digest = Digest {
        node: from.peer.name.to_string(),
        ..Digest::default()
    };
    chivevalve::gossip::GossipState::fill_digest(&*from.config, &mut digest);
    let mut lacking = chivevalve::schema::peer::Delta::default();
    let before = Digest {
        revision: digest.revision - 1,
        ..Digest::default()
    };
    chivevalve::gossip::GossipState::fill_delta(&*from.config, &before, &mut lacking);
    digest.operations = lacking.operations;
    let sends = sites
        .iter()
        .filter(|site| site.peer != from.peer)
        .map(|site| {
            let digest = digest.clone();
            async move {
                for _ in 0..TRIES {
                    let sent = from.transport.exchange(&site.peer, digest.clone());
                    let limit = Duration::from_secs(1);
                    if matches!(tokio::time::timeout(limit, sent).await, Ok(Ok(_))) {
                        break;
                    }
                }
            }
        });
    join_all(sends).await;
}

/// Declarations that changes are made to.
pub fn base() -> DeclarationSet {
    let mut set = DeclarationSet::default();
    let account = Account {
        name: "shop".to_owned(),
        weight: 1,
        ..Account::default()
    };
    set.accounts.insert(account.name.clone(), account);
    let pool = Pool {
        name: "llama".to_owned(),
        kind: "engine".to_owned(),
        base_model: "llama-8b".to_owned(),
        slots: 8,
        batch: 16,
        ..Pool::default()
    };
    set.pools.insert(pool.name.clone(), pool);
    for number in 0..TEMPLATES {
        let name = format!("t{number}");
        let template = Template {
            account: "shop".to_owned(),
            name: name.clone(),
            pool: "llama".to_owned(),
            adapter: name.clone(),
            version: "1".to_owned(),
            class: "normal".to_owned(),
            weight: 1,
            ..Template::default()
        };
        set.templates.insert(("shop".to_owned(), name), template);
    }
    set
}
