//! A node that serves peers over loopback, and the clients of another node.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::sync::Arc;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::error::{Code, Failure};
use chivevalve::gossip::{ExchangeHandler, SnapshotSource};
use chivevalve::loads;
use chivevalve::membership::VoteHandler;
use chivevalve::membership::fleet::Owner;
use chivevalve::membership::witness::{Vote, VoteRequest};
use chivevalve::metrics::Metrics;
use chivevalve::peer::Limits;
use chivevalve::peer::client::{self, Clients};
use chivevalve::peer::server::{self, Handlers};
use chivevalve::peer::tls::Security;
use chivevalve::ports::UpstreamResponse;
use chivevalve::runner::{Attempt, Runner};
use chivevalve::schema::peer::{Delta, Digest, SnapshotPart};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Handles gossip exchanges, vote requests and snapshots with responses that tests recognise.
#[derive(Debug)]
pub struct FakeHandlers;

#[async_trait]
impl ExchangeHandler for FakeHandlers {
    async fn handle_exchange(&self, digest: Digest) -> Delta {
        Delta {
            digest: Some(digest),
            ..Delta::default()
        }
    }
}

#[async_trait]
impl VoteHandler for FakeHandlers {
    async fn handle_vote_request(&self, request: VoteRequest) -> Vote {
        Vote {
            renewed: false,
            supported: &*request.node == "b",
            withdrawn: request.withdraw_before == Some(9),
        }
    }
}

impl SnapshotSource for FakeHandlers {
    fn parts(&self) -> Box<dyn Iterator<Item = SnapshotPart> + Send> {
        Box::new(std::iter::repeat_n(SnapshotPart::default(), 3))
    }
}

/// The runner of a node that owns no upstream: every attempt fails.
#[derive(Debug)]
pub struct NoUpstreams;

#[async_trait]
impl Runner for NoUpstreams {
    async fn run(&self, _: Attempt) -> Result<UpstreamResponse, Failure> {
        Err(Failure::new(Code::NotOwner, "nothing is owned here"))
    }
}

/// A node that serves peers.
pub struct Node {
    pub owner: Owner,
    pub metrics: Arc<Metrics>,
    pub stop: CancellationToken,
    pub served: tokio::task::JoinHandle<()>,
}

impl Node {
    /// Serves without TLS.
    pub async fn start(runner: Arc<dyn Runner>) -> Self {
        Self::start_with_security(runner, Security::Plaintext).await
    }

    /// Serves with these TLS credentials.
    pub async fn start_with_security(runner: Arc<dyn Runner>, security: Security) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let metrics = Arc::new(Metrics::new());
        let queue = loads::PermitQueue::start(
            loads::Limits {
                queue: chivevalve::policy::loads::Limits::default(),
                min_start_interval: Millis::ZERO,
            },
            Arc::clone(&clock),
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let handlers = Handlers {
            runner,
            exchange: Arc::new(FakeHandlers),
            vote_handler: Arc::new(FakeHandlers),
            snapshot: Arc::new(FakeHandlers),
            permits: Arc::new(queue),
            clock,
            metrics: Arc::clone(&metrics),
            limits: Limits::default(),
        };
        let stop = CancellationToken::new();
        let serving = server::serve(listener, handlers, security, stop.clone());
        Self {
            owner: Owner {
                node: "b".into(),
                incarnation: 1,
                token: 1,
                peer,
            },
            metrics,
            stop,
            served: tokio::spawn(async { serving.await.unwrap() }),
        }
    }
}

/// The clients of a node without TLS.
pub fn clients() -> Arc<Clients> {
    clients_with_security(Security::Plaintext)
}

/// Clients that detect a silent peer soon, but in practice never close its connection.
pub fn clients_with_short_pings() -> Arc<Clients> {
    clients_with_keepalive_timeout(Millis::from_secs(3_600))
}

/// Clients that detect a silent peer soon, and close its connection after `keepalive_timeout`.
pub fn clients_with_keepalive_timeout(keepalive_timeout: Millis) -> Arc<Clients> {
    build_clients(
        Security::Plaintext,
        Limits {
            ping_interval: Millis(100),
            ping_timeout: Millis::from_secs(1),
            keepalive_timeout,
            call_timeout: Millis(200),
            ..Limits::default()
        },
    )
}

/// The clients of a node with these TLS credentials.
pub fn clients_with_security(security: Security) -> Arc<Clients> {
    build_clients(security, Limits::default())
}

fn build_clients(security: Security, limits: Limits) -> Arc<Clients> {
    Clients::new(client::Dependencies {
        node: "a".into(),
        local: Arc::new(NoUpstreams),
        security,
        clock: Arc::new(Monotonic::start()),
        metrics: Arc::new(Metrics::new()),
        limits,
    })
}
