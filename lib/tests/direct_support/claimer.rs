//! The part of a node that makes claims, over a clock that the test advances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use async_trait::async_trait;
use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::direct::claim::{Claimer, Refusal, Voters};
use chivevalve::direct::config::{Config, Engine, Pool, RequestLimits};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::{Dialect, LoadedModels, UpstreamEntry};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::SharedLimits;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::view::{Peer, View};
use chivevalve::ports::poll::Poll;
use chivevalve::ports::{Lease, Store};
use chivevalve_platform::PlatformDialect;
use tokio::task::JoinHandle;

use super::SERVER;
use super::memory::MemoryStore;
use super::records::entry_revision;

/// The other nodes, which vote as the test sets.
#[derive(Debug, Default)]
pub struct Others {
    pub vote: AtomicBool,
    /// Rounds of questions that are lost before `vote` applies.
    pub lost_rounds: AtomicU32,
    /// `lost_rounds` after each vote.
    pub lost_before_each_vote: AtomicU32,
}

#[async_trait]
impl Voters for Others {
    fn others(&self) -> Option<Vec<SocketAddr>> {
        Some(vec![address()])
    }

    async fn refusals(&self, asked: &[SocketAddr], _: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        let lost_rounds = self.lost_rounds.load(Ordering::SeqCst);
        self.lost_rounds
            .store(lost_rounds.saturating_sub(1), Ordering::SeqCst);
        if lost_rounds == 0 && self.vote.load(Ordering::SeqCst) {
            let lost = self.lost_before_each_vote.load(Ordering::SeqCst);
            self.lost_rounds.store(lost, Ordering::SeqCst);
            return Vec::new();
        }
        let refusal = |&peer| Refusal {
            peer,
            reason: "set by the test".to_owned(),
        };
        asked.iter().map(refusal).collect()
    }
}

/// The part of a node that makes claims.
pub struct Node<V = Others> {
    pub clock: Arc<Manual>,
    pub view: Arc<View>,
    pub ownership: Arc<Ownership>,
    pub claimer: Arc<Claimer>,
    pub others: Arc<V>,
    pub limits: Arc<SharedLimits>,
    tasks: Vec<JoinHandle<()>>,
}

impl<V> Drop for Node<V> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The engine's address, at which nothing listens; nodes have it in their records, too.
pub fn address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

pub fn node(name: &str, memory: &Arc<MemoryStore>, first_start: bool) -> Node {
    start(name, 1, memory, first_start)
}

pub fn start(name: &str, start: u64, memory: &Arc<MemoryStore>, first_start: bool) -> Node {
    let view = Arc::new(View::default());
    add_engine(&view);
    start_with(view, name, start, memory, first_start)
}

pub fn start_with(
    view: Arc<View>,
    name: &str,
    start: u64,
    memory: &Arc<MemoryStore>,
    first_start: bool,
) -> Node {
    // The clocks of all starts on one VM count from its boot.
    let now = Millis(100_000 * start);
    start_at(now, view, name, start, memory, first_start)
}

pub fn start_at(
    now: Millis,
    view: Arc<View>,
    name: &str,
    start: u64,
    memory: &Arc<MemoryStore>,
    first_start: bool,
) -> Node {
    let others = |_: Arc<View>, _: Arc<Ownership>, _: Arc<dyn Clock>| Arc::default();
    let identity = Identity {
        name,
        start,
        address: address(),
        first_start,
    };
    start_among(others, now, view, identity, memory)
}

/// Starts a node that asks its controllers' calls to other nodes for votes.
pub fn start_asking<S>(name: &str, store: &Arc<S>) -> Node<Controllers>
where
    S: Store + Lease + Poll + 'static,
{
    let view = Arc::new(View::default());
    add_engine(&view);
    let identity = Identity {
        name,
        start: 1,
        address: address(),
        first_start: true,
    };
    let asking = |view, ownership, clock| Arc::new(controllers(name, view, ownership, clock));
    start_among(asking, Millis(100_000), view, identity, store)
}

/// Returns the controllers of a node.
pub fn controllers(
    name: &str,
    view: Arc<View>,
    ownership: Arc<Ownership>,
    clock: Arc<dyn Clock>,
) -> Controllers {
    let dialect = Arc::new(PlatformDialect);
    Controllers::new(view, ownership, dialect, clock, name.into(), Arc::default())
}

/// Which node starts.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    pub name: &'a str,
    pub start: u64,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    pub first_start: bool,
}

/// Starts a node whose clock shows `now`, with the given voters.
pub fn start_among<S, V>(
    voters: impl FnOnce(Arc<View>, Arc<Ownership>, Arc<dyn Clock>) -> Arc<V>,
    now: Millis,
    view: Arc<View>,
    identity: Identity<'_>,
    store: &Arc<S>,
) -> Node<V>
where
    S: Store + Lease + Poll + 'static,
    V: Voters + 'static,
{
    let Identity {
        name,
        start,
        address,
        first_start,
    } = identity;
    let clock = Arc::new(Manual::default());
    clock.advance(now);
    let shared: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
    let ownership = Arc::new(Ownership::new(Arc::clone(&shared), Arc::clone(&view)));
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let limits = Arc::new(SharedLimits::default());
    let follower = Follower::new(
        Arc::<S>::clone(store),
        Arc::<S>::clone(store),
        Arc::clone(&dialect),
        Arc::clone(&shared),
        Arc::clone(&view),
        Arc::clone(&limits),
    );
    let others = voters(
        Arc::clone(&view),
        Arc::clone(&ownership),
        Arc::clone(&shared),
    );
    let claimer = Arc::new(Claimer {
        store: Arc::<S>::clone(store) as Arc<dyn Store>,
        lease: Arc::<S>::clone(store) as Arc<dyn Lease>,
        voters: Arc::<V>::clone(&others),
        dialect,
        clock: shared,
        view: Arc::clone(&view),
        ownership: Arc::clone(&ownership),
        metrics: Arc::default(),
        limits: Arc::clone(&limits),
        node: name.into(),
        peer: Peer {
            address,
            start,
            failure_domain: "hall-a".into(),
        },
        boot: 1,
        first_start,
    });
    let tasks = vec![
        tokio::spawn(follower.run()),
        tokio::spawn(Arc::clone(&claimer).run()),
    ];
    Node {
        clock,
        view,
        ownership,
        claimer,
        others,
        limits,
        tasks,
    }
}

/// Puts a configuration and the engine into a view.
pub fn add_engine(view: &View) {
    let engine = Engine {
        max_batch: 8,
        adapter_slots: 4,
        kv_capacity_tokens: 100,
        model_load_times: Vec::new(),
    };
    let pool = Pool {
        max_connections: 10,
        engine: Some(engine),
    };
    let pools = [("engines".into(), pool)].into_iter().collect();
    let mut state = view.state();
    let config = Config::new(1, Vec::new(), pools, RequestLimits::default());
    state.apply_config(config, Millis::ZERO);
    state.put_upstream(&listed(), entry_revision(1), Millis(100_000));
}

fn listed() -> UpstreamEntry {
    UpstreamEntry {
        incarnation: "i-1".into(),
        pool: "engines".into(),
        address: address(),
        failure_domain: "hall-a".into(),
        software: Some("v1".into()),
        slots: 8,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
        held: LoadedModels::default(),
        weights: smallvec::SmallVec::new(),
    }
}

/// Stores the engine's entry, so that a full read doesn't drop the engine.
pub fn store_engine(memory: &MemoryStore) {
    let entry = SERVER;
    memory.change(|state| state.put("servers/i-1", entry, None));
}

/// Advances the clocks of all nodes by `span`.
pub async fn pass<V>(nodes: &[&Node<V>], span: Millis) {
    let step = Millis(50);
    for _ in 0..span.0 / step.0 {
        for node in nodes {
            node.clock.advance(step);
        }
        tokio::time::sleep(step.duration()).await;
    }
}
