//! One node's real configuration and exchange, on in-memory links and service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::adapter::Adapter;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::config::prefetch::NoPrefetch;
use chivevalve::config::{self, Accepted, ChangeRequest, Error as Refused};
use chivevalve::declaration::DeclarationSet;
use chivevalve::gossip::{self, GossipState, Peer, PeerSource, SnapshotSource, Transport};
use chivevalve::metrics::Metrics;
use chivevalve::ports::{
    Commit, Entry, Error, Event, Listing, Store as Border, Transaction, Watch, Weights,
};
use chivevalve_standins::store::Store;
use futures::StreamExt;
use futures::stream::BoxStream;
use tokio_util::sync::CancellationToken;

use super::links::{End, Everyone, Links, Nobody, Served};

/// One way to the service.
const TO_SERVICE: Duration = Duration::from_millis(1);

/// A node's way to the service, which a pause of the node delays too.
#[derive(Debug)]
pub struct Access {
    store: Arc<Store>,
    links: Arc<Links>,
    address: SocketAddr,
    /// Watches that wait at the service, of all nodes.
    watching: Arc<AtomicUsize>,
}

impl Access {
    async fn pass(&self) {
        if self.links.is_cut(self.address) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(TO_SERVICE).await;
    }
}

#[async_trait]
impl Border for Access {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.pass().await;
        self.store.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.pass().await;
        self.store.list(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.pass().await;
        self.store.commit(transaction).await
    }
}

/// Counts a watch as long as it waits.
struct Waiting(Arc<AtomicUsize>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[async_trait]
impl Watch for Access {
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error> {
        self.pass().await;
        let events = self.store.watch(prefix, revision).await?;
        self.watching.fetch_add(1, Ordering::Relaxed);
        let waiting = Waiting(Arc::clone(&self.watching));
        let links = Arc::clone(&self.links);
        let address = self.address;
        let passed = events.then(move |event| {
            let _held = &waiting;
            let links = Arc::clone(&links);
            async move {
                while links.is_cut(address) {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                tokio::time::sleep(TO_SERVICE).await;
                event
            }
        });
        Ok(passed.boxed())
    }
}

/// A weight store that has everything.
#[derive(Debug)]
pub struct Full;

#[async_trait]
impl Weights for Full {
    async fn has(&self, _adapter: &Adapter) -> Result<bool, Error> {
        Ok(true)
    }
}

/// What all nodes of one run share.
#[derive(Debug, Clone)]
pub struct Ground {
    pub store: Arc<Store>,
    pub links: Arc<Links>,
    pub watching: Arc<AtomicUsize>,
    pub seed: u64,
}

impl Ground {
    pub fn new(seed: u64) -> Self {
        Self {
            store: Store::start(),
            links: Links::new(seed),
            watching: Arc::default(),
            seed,
        }
    }

    /// Makes the access of a node to the service.
    pub fn access(&self, address: SocketAddr) -> Arc<Access> {
        Arc::new(Access {
            store: Arc::clone(&self.store),
            links: Arc::clone(&self.links),
            address,
            watching: Arc::clone(&self.watching),
        })
    }
}

/// A running node.
#[derive(Debug)]
pub struct Site {
    pub peer: Peer,
    pub config: Arc<config::ConfigManager>,
    pub gossip: Option<Arc<gossip::Gossiper>>,
    pub transport: Arc<dyn Transport>,
    pub stop: CancellationToken,
}

/// How a run's nodes hear of changes.
#[derive(Debug, Clone)]
pub struct Way {
    pub config: config::Limits,
    /// None where nodes don't exchange.
    pub gossip: Option<gossip::Limits>,
}

/// Names and places the node with this number; nodes stand in two regions.
pub fn peer(number: usize) -> Peer {
    let port = 10_000 + u16::try_from(number).unwrap_or(u16::MAX);
    Peer {
        name: Arc::from(format!("n{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        region: Arc::from(if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }),
    }
}

impl Site {
    /// Starts a node over in-memory links.
    pub fn start(ground: &Ground, way: &Way, number: usize, incarnation: u64) -> Self {
        let peer = peer(number);
        ground.links.add(&peer);
        let transport = Arc::new(End {
            links: Arc::clone(&ground.links),
            own: peer.clone(),
        });
        let peers: Arc<dyn PeerSource> =
            if way.gossip.is_some() || way.config.watchers_per_region > 0 {
                Arc::new(Everyone {
                    links: Arc::clone(&ground.links),
                    own: Arc::clone(&peer.name),
                })
            } else {
                Arc::new(Nobody)
            };
        let access = ground.access(peer.address);
        let store = (Arc::clone(&access) as _, access as _);
        Self::over(ground, way, peer, incarnation, transport, peers, store)
    }

    /// Starts a node over any transport and service.
    pub fn over(
        ground: &Ground,
        way: &Way,
        peer: Peer,
        incarnation: u64,
        transport: Arc<dyn Transport>,
        peers: Arc<dyn PeerSource>,
        (store, watch): (Arc<dyn Border>, Arc<dyn Watch>),
    ) -> Self {
        let stop = CancellationToken::new();
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let seed = ground.seed ^ u64::from(peer.address.port()) << 20 ^ incarnation;
        let config = config::ConfigManager::start(config::Dependencies {
            node: Arc::clone(&peer.name),
            region: Arc::clone(&peer.region),
            store,
            watch,
            weights: Arc::new(Full),
            peers: Arc::clone(&peers),
            prefetch: Arc::new(NoPrefetch),
            prefix: String::new(),
            clock: Arc::clone(&clock),
            metrics: Arc::new(Metrics::new()),
            limits: way.config.clone(),
            seed,
            stop: stop.clone(),
        });
        let gossip = way.gossip.as_ref().map(|limits| {
            gossip::Gossiper::start(gossip::Dependencies {
                node: Arc::clone(&peer.name),
                incarnation,
                region: Arc::clone(&peer.region),
                states: vec![Arc::clone(&config) as Arc<dyn GossipState>],
                changes: vec![config.learned_revision()],
                installer: Arc::clone(&config) as _,
                peers,
                transport: Arc::clone(&transport),
                clock,
                limits: limits.clone(),
                seed: seed ^ 1,
                stop: stop.clone(),
            })
        });
        if let Some(gossip) = &gossip {
            let served = Served {
                exchange: Arc::clone(gossip) as _,
                snapshot: Arc::clone(&config) as Arc<dyn SnapshotSource>,
            };
            ground.links.serve(peer.address, Some(served));
        }
        Self {
            peer,
            config,
            gossip,
            transport,
            stop,
        }
    }

    /// Ends the node's tasks; nothing answers at its address any more.
    pub fn end(&self, ground: &Ground) {
        self.stop.cancel();
        ground.links.serve(self.peer.address, None);
    }

    /// Waits until a revision is in force.
    pub async fn in_force(&self, revision: u64) {
        let mut view = self.config.view();
        // The channel lives as long as the keeper that this site holds.
        let _ = view.wait_for(|view| view.revision() >= revision).await;
    }

    /// Makes an order on top of a revision.
    pub fn change_request(author: &str, id: &str, expected: u64) -> ChangeRequest {
        ChangeRequest {
            id: Arc::from(id),
            author: Arc::from(author),
            reason: "bench".to_owned(),
            expected,
            time_ms: 0,
        }
    }

    /// Applies declarations that were planned on a revision.
    pub async fn apply(
        &self,
        id: &str,
        expected: u64,
        set: &DeclarationSet,
    ) -> Result<Accepted, Refused> {
        let change_request = Self::change_request(&self.peer.name, id, expected);
        self.config.apply(&change_request, set).await
    }
}

/// The time since a moment, in milliseconds.
pub fn since(start: tokio::time::Instant) -> Millis {
    Millis::from(start.elapsed())
}
