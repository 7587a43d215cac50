//! A node that serves peers over loopback, and the clients of another.

#![allow(dead_code, reason = "each test file uses a part")]

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
use chivevalve::ports::Answer;
use chivevalve::runner::{Attempt, Runner};
use chivevalve::schema::peer::{Delta, Digest, SnapshotPart};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Answers exchanges, renewals and snapshots with something recognisable.
#[derive(Debug)]
pub struct Words;

#[async_trait]
impl ExchangeHandler for Words {
    async fn handle_exchange(&self, digest: Digest) -> Delta {
        Delta {
            digest: Some(digest),
            ..Delta::default()
        }
    }
}

#[async_trait]
impl VoteHandler for Words {
    async fn handle_vote_request(&self, ask: VoteRequest) -> Vote {
        Vote {
            renewed: false,
            supported: &*ask.node == "b",
            withdrawn: ask.withdraw_before == Some(9),
        }
    }
}

impl SnapshotSource for Words {
    fn parts(&self) -> Box<dyn Iterator<Item = SnapshotPart> + Send> {
        Box::new(std::iter::repeat_n(SnapshotPart::default(), 3))
    }
}

/// Fails, as the runner of a node that owns nothing.
#[derive(Debug)]
pub struct Nobody;

#[async_trait]
impl Runner for Nobody {
    async fn run(&self, _: Attempt) -> Result<Answer, Failure> {
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
    /// Serves without protection.
    pub async fn start(runner: Arc<dyn Runner>) -> Self {
        Self::secured(runner, Security::Plaintext).await
    }

    /// Serves under these certificates.
    pub async fn secured(runner: Arc<dyn Runner>, security: Security) -> Self {
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
            exchange: Arc::new(Words),
            vote_handler: Arc::new(Words),
            snapshot: Arc::new(Words),
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

/// The clients of a node without protection.
pub fn clients() -> Arc<Clients> {
    secured(Security::Plaintext)
}

/// The clients of a node that soon doubts a silent peer, and never gives it up.
pub fn impatient() -> Arc<Clients> {
    patient_for(Millis::from_secs(3_600))
}

/// The same, but it gives the peer up after a span.
pub fn patient_for(span: Millis) -> Arc<Clients> {
    made(
        Security::Plaintext,
        Limits {
            ping_after: Millis(100),
            ping_timeout: Millis::from_secs(1),
            patience: span,
            call_timeout: Millis(200),
            ..Limits::default()
        },
    )
}

/// The clients of a node under these certificates.
pub fn secured(security: Security) -> Arc<Clients> {
    made(security, Limits::default())
}

fn made(security: Security, limits: Limits) -> Arc<Clients> {
    Clients::new(client::Parts {
        node: "a".into(),
        local: Arc::new(Nobody),
        security,
        clock: Arc::new(Monotonic::start()),
        metrics: Arc::new(Metrics::new()),
        limits,
    })
}
