//! This node's clients of all its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::BoxStream;
use prost::Message;

use super::Limits;
use super::call;
use super::forward::Forwarder;
use super::link::{Link, Way};
use super::tls::Security;
use crate::clock::{Clock, Millis};
use crate::error::Failure;
use crate::gossip::{Peer, Transport};
use crate::membership::VoteClient;
use crate::membership::fleet::Owner;
use crate::membership::witness::{Vote, VoteRequest};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::runner::{Reach, Runner};
use crate::schema::peer::{Delta, Digest, RenewRequest, SnapshotPart, SnapshotRequest};

/// Links beyond which those that nobody has used for a while are dropped.
const LINKS: usize = 1024;
/// How long a link is kept that nobody uses.
const IDLE: Millis = Millis::from_secs(600);

/// What the clients work with.
#[derive(Debug, Clone)]
pub struct Parts {
    /// This node's name.
    pub node: Name,
    /// Runs attempts at the upstreams that this node owns.
    pub local: Arc<dyn Runner>,
    /// How connections are protected.
    pub security: Security,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds.
    pub limits: Limits,
}

/// The ways to all peers.
#[derive(Debug)]
pub struct Clients {
    parts: Parts,
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
}

impl Clients {
    /// Starts without a connection; each is opened by its first use.
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            links: RwLock::default(),
        })
    }

    /// Returns the node's metrics.
    pub(super) fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.parts.metrics)
    }

    /// Returns the way to a peer.
    pub(super) fn link(&self, address: SocketAddr) -> Arc<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address) {
            return Arc::clone(link);
        }
        drop(links);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= LINKS {
            let now = self.parts.clock.now();
            links.retain(|_, link| now.since(link.used()) < IDLE);
        }
        let made = || {
            let Parts {
                node,
                security,
                clock,
                limits,
                ..
            } = &self.parts;
            Arc::new(Link::new(node, address, security, limits, clock))
        };
        Arc::clone(links.entry(address).or_insert_with(made))
    }

    fn sent(&self, message: &impl Message) {
        self.count("sent", message);
    }

    fn received(&self, message: &impl Message) {
        self.count("received", message);
    }

    fn count(&self, direction: &str, message: &impl Message) {
        call::count(&self.parts.metrics, direction, message);
    }

    async fn timed<T>(
        &self,
        link: &Link,
        way: &Arc<Way>,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, Failure> {
        let answer = tokio::time::timeout(self.parts.limits.call_timeout.duration(), call)
            .await
            .unwrap_or_else(|_| {
                link.unanswered(way);
                Err(tonic::Status::deadline_exceeded("no answer in time"))
            });
        let answer = answer.map_err(|status| link.failed(&status))?;
        link.answered();
        Ok(answer.into_inner())
    }
}

impl Reach for Clients {
    fn runner(&self, owner: &Owner) -> Arc<dyn Runner> {
        if owner.node == self.parts.node {
            return Arc::clone(&self.parts.local);
        }
        Arc::new(Forwarder {
            link: self.link(owner.peer),
            clock: Arc::clone(&self.parts.clock),
        })
    }
}

#[async_trait]
impl Transport for Clients {
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure> {
        let link = self.link(peer.address);
        let way = link.way()?;
        let mut client = way.client();
        self.sent(&digest);
        let delta = self.timed(&link, &way, client.exchange(digest)).await?;
        self.received(&delta);
        Ok(delta)
    }

    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure> {
        let link = self.link(peer.address);
        let way = link.way()?;
        let mut client = way.client();
        let request = SnapshotRequest {
            node: self.parts.node.to_string(),
        };
        let parts = self.timed(&link, &way, client.snapshot(request)).await?;
        let read = parts.map(move |part| part.map_err(|status| link.failed(&status)));
        Ok(read.boxed())
    }
}

#[async_trait]
impl VoteClient for Clients {
    async fn request_vote(&self, peer: SocketAddr, ask: VoteRequest) -> Option<Vote> {
        let link = self.link(peer);
        let way = link.way().ok()?;
        let mut client = way.client();
        let request = RenewRequest::from(ask);
        self.sent(&request);
        let reply = self.timed(&link, &way, client.renew(request)).await.ok()?;
        self.received(&reply);
        Some(reply.into())
    }
}
