//! The same nodes over real connections on loopback, in real time.
//!
//! It adds what in-memory links leave out: HTTP/2, sockets and threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::Monotonic;
use chivevalve::error::{Code, Failure};
use chivevalve::gossip::{Peer, PeerSource, SnapshotSource};
use chivevalve::loads::{Permit, PermitRequest, PermitSource};
use chivevalve::membership::{VoteHandler, witness};
use chivevalve::metrics::Metrics;
use chivevalve::name::Name;
use chivevalve::peer::tls::Security;
use chivevalve::peer::{self, Clients, client, server};
use chivevalve::ports::Answer;
use chivevalve::runner::{Attempt, Runner};
use eyre::Result;
use futures::future::join_all;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::cpu;
use super::run::base;
use super::site::{Ground, Site, since};
use super::ways::Kind;
use crate::report::Table;

/// Time until all links are open.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time over which idle costs are measured.
const IDLE: Duration = Duration::from_secs(20);
/// Time between two changes.
const PAUSE: Duration = Duration::from_secs(2);
/// Longest wait for a change.
const LIMIT: Duration = Duration::from_mins(1);

/// What was measured at one number of nodes.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub nodes: usize,
    pub changes: usize,
    pub unfinished: usize,
    pub last_median_ms: u64,
    pub last_max_ms: u64,
    /// Control messages of a node without changes, as it counts them, in bytes a second.
    pub idle_bytes: f64,
    /// Share of one core per node without changes, in percent.
    pub idle_cpu_percent: f64,
}

/// Peers that a run knows from its start.
#[derive(Debug)]
struct Known {
    peers: Vec<Peer>,
    own: Name,
}

impl PeerSource for Known {
    fn peers(&self) -> Vec<Peer> {
        let others = self.peers.iter().filter(|peer| peer.name != self.own);
        others.cloned().collect()
    }
}

/// Answers what this campaign never asks.
#[derive(Debug)]
struct Unused;

#[async_trait]
impl Runner for Unused {
    async fn run(&self, _attempt: Attempt) -> Result<Answer, Failure> {
        Err(Failure::new(Code::NoUpstream, "nothing runs here"))
    }
}

#[async_trait]
impl VoteHandler for Unused {
    async fn handle_vote_request(&self, _ask: witness::VoteRequest) -> witness::Vote {
        witness::Vote::default()
    }
}

#[async_trait]
impl PermitSource for Unused {
    async fn acquire(
        &self,
        _ask: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        Err(Failure::new(Code::NotOwner, "nothing loads here"))
    }
}

/// Measures one number of nodes.
///
/// # Errors
///
/// When a port can't be had.
pub async fn run(nodes: usize, changes: usize, seed: u64) -> Result<Row> {
    let ground = Ground::new(seed);
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for number in 0..nodes {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        peers.push(Peer {
            address: listener.local_addr()?,
            ..super::site::peer(number)
        });
        listeners.push(listener);
    }
    let metrics: Vec<Arc<Metrics>> = peers.iter().map(|_| Arc::default()).collect();
    let sites: Vec<Site> = listeners
        .into_iter()
        .zip(&metrics)
        .enumerate()
        .map(|(number, (listener, metrics))| start(&ground, &peers, number, listener, metrics))
        .collect();
    let row = measure(&sites, &metrics, changes).await?;
    for site in &sites {
        site.stop.cancel();
    }
    Ok(row)
}

fn start(
    ground: &Ground,
    peers: &[Peer],
    number: usize,
    listener: TcpListener,
    metrics: &Arc<Metrics>,
) -> Site {
    let own = peers[number].clone();
    ground.links.add(&own);
    let clock = Arc::new(Monotonic::start());
    let clients = Clients::new(client::Parts {
        node: Arc::clone(&own.name),
        local: Arc::new(Unused),
        security: Security::Plaintext,
        clock: Arc::clone(&clock) as _,
        metrics: Arc::clone(metrics),
        limits: peer::Limits::default(),
    });
    let known = Arc::new(Known {
        peers: peers.to_vec(),
        own: Arc::clone(&own.name),
    });
    let access = ground.access(own.address);
    let store = (Arc::clone(&access) as _, access as _);
    let way = Kind::Gossip.way();
    let site = Site::over(ground, &way, own, 1, clients, known, store);
    if let Some(gossip) = &site.gossip {
        let handlers = server::Handlers {
            runner: Arc::new(Unused),
            exchange: Arc::clone(gossip) as _,
            vote_handler: Arc::new(Unused),
            snapshot: Arc::clone(&site.config) as Arc<dyn SnapshotSource>,
            permits: Arc::new(Unused),
            clock,
            metrics: Arc::clone(metrics),
            limits: peer::Limits::default(),
        };
        let serving = server::serve(listener, handlers, Security::Plaintext, site.stop.clone());
        tokio::spawn(serving);
    }
    site
}

async fn measure(sites: &[Site], metrics: &[Arc<Metrics>], changes: usize) -> Result<Row> {
    tokio::time::sleep(WARM_UP).await;
    let mut set = base();
    sites[0].apply("first", 0, &set).await?;
    tokio::time::sleep(WARM_UP).await;
    let (bytes, cpu_ns) = (sent(metrics), cpu::process_ns());
    tokio::time::sleep(IDLE).await;
    let nodes = sites.len() as f64;
    let idle_bytes = (sent(metrics) - bytes) as f64 / IDLE.as_secs_f64() / nodes;
    let idle_ns = cpu::process_ns().saturating_sub(cpu_ns) as f64;
    let mut spans = Vec::new();
    for number in 1..=changes {
        if let Some(template) = set.templates.values_mut().next() {
            template.weight += 1;
        }
        let site = &sites[number * 7 % sites.len()];
        let expected = site.config.learned().revision();
        let accepted = site.apply(&format!("c{number}"), expected, &set).await?;
        let start = Instant::now();
        let reached = sites.iter().map(|site| site.in_force(accepted.revision));
        let all = tokio::time::timeout(LIMIT, join_all(reached)).await;
        spans.extend(all.ok().map(|_| since(start).0));
        tokio::time::sleep(PAUSE).await;
    }
    spans.sort_unstable();
    Ok(Row {
        nodes: sites.len(),
        changes,
        unfinished: changes - spans.len(),
        last_median_ms: spans.get(spans.len() / 2).copied().unwrap_or(0),
        last_max_ms: spans.last().copied().unwrap_or(0),
        idle_bytes,
        idle_cpu_percent: idle_ns / IDLE.as_secs_f64() / nodes / 1e7,
    })
}

/// Adds up the control bytes that nodes count, both ways.
fn sent(metrics: &[Arc<Metrics>]) -> u64 {
    let of = |metrics: &Arc<Metrics>| -> u64 {
        ["sent", "received"]
            .iter()
            .map(|way| metrics.control_bytes.with_label_values(&[way]).get())
            .sum()
    };
    metrics.iter().map(of).sum()
}

/// Writes the rows for people.
pub fn table(rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "nodes",
        "changes",
        "unfinished",
        "last ms p50",
        "last ms max",
        "idle B/s/node",
        "idle CPU %/node",
    ]);
    for row in rows {
        table.row(vec![
            row.nodes.to_string(),
            row.changes.to_string(),
            row.unfinished.to_string(),
            row.last_median_ms.to_string(),
            row.last_max_ms.to_string(),
            format!("{:.0}", row.idle_bytes),
            format!("{:.3}", row.idle_cpu_percent),
        ]);
    }
    table.render()
}
