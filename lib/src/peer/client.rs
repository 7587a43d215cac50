//! The clients that call the peer service of other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::BoxStream;
use prost::Message;

use super::Limits;
use super::control_traffic;
use super::forward::Forwarder;
use super::link::{Connection, Link};
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

/// Number of links from which on links that have been idle for [`IDLE_LINK_TTL`] are dropped.
const LINK_CLEANUP_THRESHOLD: usize = 1024;
/// How long an unused link is kept.
const IDLE_LINK_TTL: Millis = Millis::from_secs(600);

/// What the clients need from the rest of the node.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// Runs attempts at the upstreams that this node owns.
    pub local: Arc<dyn Runner>,
    /// Whether connections use TLS, and with which credentials.
    pub security: Security,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Limits and timeouts.
    pub limits: Limits,
}

/// The links to all peers.
#[derive(Debug)]
pub struct Clients {
    deps: Dependencies,
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
}

impl Clients {
    /// Creates the clients; each connection is opened on first use.
    #[must_use]
    pub fn new(deps: Dependencies) -> Arc<Self> {
        Arc::new(Self {
            deps,
            links: RwLock::default(),
        })
    }

    /// Returns the node's metrics.
    pub(super) fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.deps.metrics)
    }

    /// Returns the link to a peer, created if there is none yet.
    pub(super) fn link(&self, address: SocketAddr) -> Arc<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address) {
            return Arc::clone(link);
        }
        drop(links);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= LINK_CLEANUP_THRESHOLD {
            let now = self.deps.clock.now();
            links.retain(|_, link| now.since(link.last_used_at()) < IDLE_LINK_TTL);
        }
        let new_link = || {
            let Dependencies {
                node,
                security,
                clock,
                limits,
                ..
            } = &self.deps;
            Arc::new(Link::new(node, address, security, limits, clock))
        };
        Arc::clone(links.entry(address).or_insert_with(new_link))
    }

    fn count_sent(&self, message: &impl Message) {
        self.count("sent", message);
    }

    fn count_received(&self, message: &impl Message) {
        self.count("received", message);
    }

    fn count(&self, direction: &str, message: &impl Message) {
        control_traffic::count(&self.deps.metrics, direction, message);
    }

    /// Awaits a call within the call timeout and records the outcome at the link.
    async fn call_with_timeout<T>(
        &self,
        link: &Link,
        connection: &Arc<Connection>,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, Failure> {
        let response = tokio::time::timeout(self.deps.limits.call_timeout.duration(), call)
            .await
            .unwrap_or_else(|_| {
                link.record_timeout(connection);
                Err(tonic::Status::deadline_exceeded("no answer in time"))
            });
        let response = response.map_err(|status| link.record_failure(&status))?;
        link.record_response();
        Ok(response.into_inner())
    }
}

impl Reach for Clients {
    fn runner(&self, owner: &Owner) -> Arc<dyn Runner> {
        if owner.node == self.deps.node {
            return Arc::clone(&self.deps.local);
        }
        Arc::new(Forwarder {
            link: self.link(owner.peer),
            clock: Arc::clone(&self.deps.clock),
        })
    }
}

#[async_trait]
impl Transport for Clients {
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure> {
        let link = self.link(peer.address);
        let connection = link.connection()?;
        let mut client = connection.client();
        self.count_sent(&digest);
        let delta = self
            .call_with_timeout(&link, &connection, client.exchange(digest))
            .await?;
        self.count_received(&delta);
        Ok(delta)
    }

    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure> {
        let link = self.link(peer.address);
        let connection = link.connection()?;
        let mut client = connection.client();
        let request = SnapshotRequest {
            node: self.deps.node.to_string(),
        };
        let parts = self
            .call_with_timeout(&link, &connection, client.snapshot(request))
            .await?;
        let parts = parts.map(move |part| part.map_err(|status| link.record_failure(&status)));
        Ok(parts.boxed())
    }
}

#[async_trait]
impl VoteClient for Clients {
    async fn request_vote(&self, peer: SocketAddr, request: VoteRequest) -> Option<Vote> {
        let link = self.link(peer);
        let connection = link.connection().ok()?;
        let mut client = connection.client();
        let request = RenewRequest::from(request);
        self.count_sent(&request);
        let reply = self
            .call_with_timeout(&link, &connection, client.renew(request))
            .await
            .ok()?;
        self.count_received(&reply);
        Some(reply.into())
    }
}
