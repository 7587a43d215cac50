//! By whose votes an owner's term is extended, where nodes can't be asked.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::direct::claim::Voters;
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::Dialect;
use chivevalve::direct::limits::{LEASE_TTL, Limits, OWNERSHIP_TERM};
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::peer_server::serve;
use chivevalve::direct::tunnel;
use chivevalve::direct::view::View;
use chivevalve::ports::poll::{self, Changes, Poll, Query};
use chivevalve::ports::{Commit, Entry, Error, Lease, LeaseId, Listing, Store, Transaction};
use chivevalve_platform::PlatformDialect;
use direct_support::claimer::{Node, address, controllers, node, pass, start_asking, store_engine};
use direct_support::memory::MemoryStore;
use direct_support::records::peer;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Longer than the first moments of a deployment, in which owners don't extend their terms.
const FIRST_MOMENTS: Millis = Millis::from_secs(6);

/// A node's path to the key-value service.
#[derive(Debug, Default)]
struct Path {
    memory: Arc<MemoryStore>,
    is_cut: AtomicBool,
}

impl Path {
    fn memory(&self) -> Result<&MemoryStore, Error> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(Error::Unreachable("cut by the test".to_owned()));
        }
        Ok(&self.memory)
    }
}

#[async_trait]
impl Store for Path {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.memory()?.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.memory()?.list(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.memory()?.commit(transaction).await
    }
}

#[async_trait]
impl Lease for Path {
    async fn grant(&self, ttl: Millis) -> Result<LeaseId, Error> {
        self.memory()?.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        self.memory()?.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.memory()?.revoke(lease).await
    }
}

#[async_trait]
impl Poll for Path {
    async fn changes(&self, query: Query<'_>) -> Result<Changes, poll::Error> {
        let changes = self.memory()?.changes(query).await;
        self.memory()?;
        changes
    }
}

/// A node without a lease that answers other nodes until it is killed.
struct Voter {
    address: SocketAddr,
    process: Runtime,
}

impl Voter {
    fn start(address: SocketAddr) -> Self {
        let process = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let clock: Arc<dyn Clock> = Arc::new(Manual::default());
        let controllers = Arc::new(without_lease("two", clock));
        let tunnels = tunnel::Server::new(Arc::clone(&controllers));
        let listener = std::net::TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        process.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            serve(listener, controllers, tunnels).await
        });
        Self { address, process }
    }

    /// Ends the process; the address refuses connections from then on.
    fn kill(self) -> SocketAddr {
        let process = self.process;
        let ending = std::thread::spawn(|| process.shutdown_timeout(Duration::from_secs(5)));
        ending.join().unwrap();
        self.address
    }
}

fn without_lease(name: &str, clock: Arc<dyn Clock>) -> Controllers {
    let view = Arc::new(View::default());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    controllers(name, view, ownership, clock)
}

fn may_order(node: &Node<Controllers>) -> bool {
    node.ownership.fencing_token(address()).is_some()
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Only an answer is a vote: the network can refuse a connection in place of a node that lives.
#[tokio::test]
async fn refusals_without_an_answer() {
    let controllers = without_lease("one", Arc::new(Manual::default()));
    let voter = Voter::start(free_address());
    let refused = Voter::start(free_address()).kill();
    let open = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = open.local_addr().unwrap();
    let asked = [voter.address, refused, silent];
    let refusals = controllers.refusals(&asked, &[(address(), 7)]).await;
    let peers: Vec<SocketAddr> = refusals.iter().map(|refusal| refusal.peer).collect();
    assert_eq!(peers, [refused, silent]);
    voter.kill();
}

/// A node cut off by resets gives no orders beside its successor, to which it can't connect.
#[tokio::test(start_paused = true)]
async fn extension_cut_off_by_resets() {
    let path = Arc::new(Path::default());
    let memory = Arc::clone(&path.memory);
    store_engine(&memory);
    let one = start_asking("one", &path);
    pass(&[&one], Millis(3_000)).await;
    let two = start_asking("two", &memory);
    pass(&[&one, &two], Millis(3_000)).await;
    assert!(may_order(&one));
    assert_eq!(one.others.others(), Some(vec![address()]));
    let lease = memory.state().leases[0];
    path.is_cut.store(true, Ordering::SeqCst);
    let cut_at = one.clock.now();
    let (mut last_of_one, mut first_of_two) = (cut_at, None);
    for _ in 0..300 {
        pass(&[&one, &two], Millis(50)).await;
        let now = one.clock.now();
        if now.since(cut_at) == LEASE_TTL {
            memory.change(|state| state.end_lease(lease));
        }
        if may_order(&one) {
            last_of_one = now;
        }
        if may_order(&two) {
            first_of_two.get_or_insert(now);
        }
    }
    let gap = first_of_two.unwrap().since(last_of_one);
    assert!(gap >= Limits::default().order_gap, "{gap}");
}

/// A node that has heard of no other one extends its term without any vote.
#[tokio::test(start_paused = true)]
async fn extension_without_known_nodes() {
    let path = Arc::new(Path::default());
    let memory = Arc::clone(&path.memory);
    store_engine(&memory);
    let one = start_asking("one", &path);
    pass(&[&one], Millis(3_000)).await;
    assert!(may_order(&one));
    path.is_cut.store(true, Ordering::SeqCst);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert!(!may_order(&one));
}

/// In an outage a node that restarts votes in time, and orders end with a node that stays away.
#[tokio::test]
async fn extension_with_a_node_that_restarts() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let voter = Voter::start(free_address());
    let record = serde_json::to_vec(&peer(voter.address)).unwrap();
    let key = PlatformDialect.own_key("node/two");
    memory.change(|state| state.put(&key, record, None));
    let one = start_asking("one", &memory);
    pass(&[&one], FIRST_MOMENTS).await;
    assert_eq!(one.others.others(), Some(vec![voter.address]));
    memory.change(|state| state.is_unavailable = true);
    let pass_with_orders = async |span: Millis| {
        for _ in 0..span.0 / 50 {
            pass(&[&one], Millis(50)).await;
            assert!(may_order(&one));
        }
    };
    pass_with_orders(Millis(3_000)).await;
    let address = voter.kill();
    pass_with_orders(Millis(300)).await;
    let voter = Voter::start(address);
    pass_with_orders(Millis(3_000)).await;
    voter.kill();
    pass(&[&one], OWNERSHIP_TERM).await;
    assert!(!may_order(&one));
}

/// Votes that come late in one round, as of a node that restarts, leave time for the next round.
#[tokio::test(start_paused = true)]
async fn extension_with_late_votes() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, true);
    pass(&[&one], FIRST_MOMENTS).await;
    one.others.vote.store(true, Ordering::SeqCst);
    one.others.lost_rounds.store(6, Ordering::SeqCst);
    one.others.lost_before_each_vote.store(6, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    for _ in 0..200 {
        pass(&[&one], Millis(50)).await;
        assert!(one.ownership.fencing_token(address()).is_some());
    }
}
