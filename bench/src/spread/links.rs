//! In-memory links between nodes, with loss, partitions and pauses.
//!
//! Messages are encoded and decoded as on a wire, so that bytes and processor
//! time count what a node spends; only the sockets are missing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::error::{Code, Failure};
use chivevalve::gossip::{ExchangeHandler, Peer, PeerSource, SnapshotSource, Transport};
use chivevalve::name::Name;
use chivevalve::schema::peer::{Delta, Digest, SnapshotPart};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// One way inside a region.
const NEAR: Duration = Duration::from_millis(1);
/// One way between regions.
const FAR: Duration = Duration::from_millis(15);

/// What a node answers with.
#[derive(Debug, Clone)]
pub struct Served {
    /// Its exchange.
    pub exchange: Arc<dyn ExchangeHandler>,
    /// Its snapshots.
    pub snapshot: Arc<dyn SnapshotSource>,
}

/// A place in the net, which a node's later starts share.
#[derive(Debug, Clone)]
struct Place {
    peer: Peer,
    served: Option<Served>,
    /// Nodes of different sides don't reach one another.
    side: u32,
    paused: bool,
}

/// All links.
#[derive(Debug)]
pub struct Links {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    places: BTreeMap<SocketAddr, Place>,
    loss_percent: u32,
    bytes: u64,
    messages: u64,
    rng: Pcg32,
}

impl Links {
    /// Makes links without nodes.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                places: BTreeMap::new(),
                loss_percent: 0,
                bytes: 0,
                messages: 0,
                rng: Pcg32::seed_from_u64(seed),
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a node that doesn't answer yet.
    pub fn add(&self, peer: &Peer) {
        self.lock()
            .places
            .entry(peer.address)
            .or_insert_with(|| Place {
                peer: peer.clone(),
                served: None,
                side: 0,
                paused: false,
            });
    }

    /// Sets what a node answers with; none while it doesn't run.
    pub fn serve(&self, address: SocketAddr, served: Option<Served>) {
        if let Some(place) = self.lock().places.get_mut(&address) {
            place.served = served;
        }
    }

    /// Sets how many of 100 messages are lost.
    pub fn lose(&self, percent: u32) {
        self.lock().loss_percent = percent;
    }

    /// Puts a node on a side of a partition.
    pub fn part(&self, address: SocketAddr, side: u32) {
        if let Some(place) = self.lock().places.get_mut(&address) {
            place.side = side;
        }
    }

    /// Pauses a node or lets it go on: nothing from or to it comes through.
    pub fn pause(&self, address: SocketAddr, paused: bool) {
        if let Some(place) = self.lock().places.get_mut(&address) {
            place.paused = paused;
        }
    }

    /// Whether a node hears nothing of the service: it is paused, or on the other side.
    pub fn is_cut(&self, address: SocketAddr) -> bool {
        let inner = self.lock();
        inner
            .places
            .get(&address)
            .is_some_and(|place| place.paused || place.side != 0)
    }

    /// Returns bytes and messages so far.
    pub fn traffic(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.bytes, inner.messages)
    }

    fn count(&self, bytes: usize) {
        let mut inner = self.lock();
        inner.bytes += bytes as u64;
        inner.messages += 1;
    }

    /// Draws whether a message is lost.
    fn loses(&self) -> bool {
        let mut inner = self.lock();
        let percent = inner.loss_percent;
        inner.rng.random_range(0..100) < percent
    }

    /// Carries a message one way; one that is lost never arrives.
    async fn carry(&self, from: SocketAddr, to: SocketAddr) {
        match self.span(from, to) {
            Some(span) if !self.loses() => tokio::time::sleep(span).await,
            _ => std::future::pending().await,
        }
    }

    /// Returns how long a message takes, or none when it can't come through.
    fn span(&self, from: SocketAddr, to: SocketAddr) -> Option<Duration> {
        let inner = self.lock();
        let (a, b) = (inner.places.get(&from)?, inner.places.get(&to)?);
        let passes = a.side == b.side && !a.paused && !b.paused;
        let near = a.peer.region == b.peer.region;
        passes.then_some(if near { NEAR } else { FAR })
    }

    fn served(&self, address: SocketAddr) -> Result<Served, Failure> {
        let inner = self.lock();
        let place = inner.places.get(&address);
        place
            .and_then(|place| place.served.clone())
            .ok_or_else(|| Failure::new(Code::PeerUnreachable, "the node doesn't run"))
    }
}

/// One node's end of all links.
#[derive(Debug)]
pub struct End {
    /// All links.
    pub links: Arc<Links>,
    /// This node.
    pub own: Peer,
}

#[async_trait]
impl Transport for End {
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure> {
        let sent = digest.encode_to_vec();
        self.links.count(sent.len());
        self.links.carry(self.own.address, peer.address).await;
        let served = self.links.served(peer.address)?;
        let digest = Digest::decode(sent.as_slice()).map_err(|error| broken(&error))?;
        let answer = served
            .exchange
            .handle_exchange(digest)
            .await
            .encode_to_vec();
        self.links.count(answer.len());
        self.links.carry(peer.address, self.own.address).await;
        Delta::decode(answer.as_slice()).map_err(|error| broken(&error))
    }

    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure> {
        self.links.carry(self.own.address, peer.address).await;
        let parts = self.links.served(peer.address)?.snapshot.parts();
        let links = Arc::clone(&self.links);
        let (from, to) = (peer.address, self.own.address);
        let stream = stream::iter(parts).then(move |part| {
            let links = Arc::clone(&links);
            async move {
                links.count(part.encoded_len());
                links.carry(from, to).await;
                Ok(part)
            }
        });
        Ok(stream.boxed())
    }
}

fn broken(error: &prost::DecodeError) -> Failure {
    Failure::new(Code::PeerLost, error.to_string())
}

/// Knows all nodes, as a membership that has settled does.
#[derive(Debug)]
pub struct Everyone {
    /// All links.
    pub links: Arc<Links>,
    /// This node.
    pub own: Name,
}

impl PeerSource for Everyone {
    fn peers(&self) -> Vec<Peer> {
        let inner = self.links.lock();
        inner
            .places
            .values()
            .map(|place| place.peer.clone())
            .filter(|peer| peer.name != self.own)
            .collect()
    }
}

/// Knows nobody, for ways without exchanges.
#[derive(Debug)]
pub struct Nobody;

impl PeerSource for Nobody {
    fn peers(&self) -> Vec<Peer> {
        Vec::new()
    }
}
