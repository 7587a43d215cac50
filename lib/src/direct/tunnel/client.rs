//! Opens connections through other nodes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{SinkExt, StreamExt, future};
use http::Uri;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};
use tokio_util::sync::PollSender;
use tonic::codegen::Service;
use tonic::transport::Channel;
use tonic::{Code, Status, Streaming};

use super::outcome_name;
use crate::clock::{Clock, Millis};
use crate::direct::controllers::{Controllers, peer_endpoint};
use crate::direct::upstream::Upstream;
use crate::name::Name;
use crate::ports::connection_pool::Tunnel;
use crate::ports::network::{Network, Stream, Tcp};
use crate::schema::direct::TunnelChunk;
use crate::schema::direct::tunnels_client::TunnelsClient;

/// Nodes that are asked in turn for one connection.
const MAX_ATTEMPTS: usize = 4;

/// Time for one node to connect to an upstream and to answer.
const ATTEMPT_TIMEOUT: Millis = Millis(200);

/// Time for all attempts.
const OPEN_TIMEOUT: Millis = Millis(400);

/// Timeout of connecting to another node.
const CONNECT_TIMEOUT: Millis = Millis(200);

/// How long a node that couldn't open a connection isn't asked for the same pool.
const REFUSAL_MEMORY: Millis = Millis(700);

/// Chunks that wait to be sent, for each tunnel.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Bytes that may be in flight to this node on one tunnel.
const TUNNEL_WINDOW_BYTES: u32 = 64 * 1024;

/// Bytes that may be in flight to this node on all tunnels through one node.
///
/// A caller that doesn't read holds its tunnel's share back; the others must not wait for it.
const NODE_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Why no connection through another node could be opened.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OpenError {
    /// No other node is known.
    #[error("no other node is known")]
    NoNodes,
    /// No node that was asked could connect to the upstream.
    #[error("no other node reaches it either: {0}")]
    Unreachable(String),
    /// No node that was asked said whether it could.
    #[error("no other node answered: {0}")]
    NoAnswer(String),
}

/// A node that couldn't open a connection to a pool.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Until when the node isn't asked again.
    until: Millis,
    /// Whether the node said that it lacks a path.
    is_answer: bool,
}

/// Opens connections through other nodes.
#[derive(Debug)]
pub struct Client {
    controllers: Arc<Controllers>,
    clients: Mutex<HashMap<SocketAddr, TunnelsClient<Channel>>>,
    /// Nodes that aren't asked for connections to a pool.
    refusals: Mutex<HashMap<(SocketAddr, Name), Refusal>>,
}

impl Client {
    /// Creates a client that asks the nodes of the view.
    #[must_use]
    pub fn new(controllers: Arc<Controllers>) -> Self {
        Self {
            controllers,
            clients: Mutex::default(),
            refusals: Mutex::default(),
        }
    }

    /// Opens a byte stream to an upstream, and tells which node it leads through.
    ///
    /// # Errors
    ///
    /// When no node that was asked could; the upstream has received nothing.
    pub async fn open(&self, upstream: &Upstream) -> Result<(Box<dyn Stream>, Tunnel), OpenError> {
        let (candidates, mut is_answered) = self.candidates(upstream)?;
        let until = self.clock().now() + OPEN_TIMEOUT;
        let mut last = "all have refused a moment ago".to_owned();
        for (node, address) in candidates.into_iter().take(MAX_ATTEMPTS) {
            let left = until.since(self.clock().now()).min(ATTEMPT_TIMEOUT);
            let open = self.open_through(address, upstream);
            let opened = tokio::time::timeout(left.duration(), open).await;
            let status = match opened {
                Ok(Ok((stream, leaving))) => {
                    self.count(Code::Ok);
                    return Ok((stream, Tunnel { node, leaving }));
                }
                Ok(Err(status)) => status,
                Err(_) => Status::deadline_exceeded(format!("no answer within {left}")),
            };
            self.count(status.code());
            last = format!("{node}: {}", status.message());
            let is_answer = tells_of_no_path(status.code());
            is_answered |= is_answer;
            if matches!(status.code(), Code::NotFound | Code::Aborted) {
                // The node learns of the upstream in a moment, or reaches others of the pool.
                continue;
            }
            let refusal = Refusal {
                until: self.clock().now() + REFUSAL_MEMORY,
                is_answer,
            };
            self.refusals()
                .insert((address, Name::clone(&upstream.pool)), refusal);
        }
        Err(if is_answered {
            OpenError::Unreachable(last)
        } else {
            OpenError::NoAnswer(last)
        })
    }

    /// Returns the nodes to ask, in this order, and whether another one said a moment ago that it
    /// lacks a path.
    ///
    /// Nodes of the upstream's failure domain come first, as bytes then cross from one domain to
    /// another at most once; within both groups the order is random, to spread the load.
    fn candidates(
        &self,
        upstream: &Upstream,
    ) -> Result<(Vec<(Name, SocketAddr)>, bool), OpenError> {
        let now = self.clock().now();
        let mut refusals = self.refusals();
        refusals.retain(|_, refusal| refusal.until > now);
        let state = self.controllers.view.state();
        let own = &self.controllers.node;
        let others = state.nodes.iter().filter(|(node, _)| *node != own);
        let mut candidates: Vec<_> = others
            .map(|(node, peer)| {
                let is_remote = peer.failure_domain != upstream.failure_domain;
                let order: u32 = rand::rng().random();
                (is_remote, order, Name::clone(node), peer.address)
            })
            .collect();
        drop(state);
        if candidates.is_empty() {
            return Err(OpenError::NoNodes);
        }
        let mut is_answered = false;
        candidates.retain(|(_, _, _, address)| {
            let refusal = refusals.get(&(*address, Name::clone(&upstream.pool)));
            is_answered |= refusal.is_some_and(|refusal| refusal.is_answer);
            refusal.is_none() && !self.controllers.is_unresponsive(*address)
        });
        candidates.sort_unstable_by_key(|(is_remote, order, _, _)| (*is_remote, *order));
        let candidates = candidates.into_iter();
        let candidates = candidates.map(|(_, _, node, address)| (node, address));
        Ok((candidates.collect(), is_answered))
    }

    async fn open_through(
        &self,
        address: SocketAddr,
        upstream: &Upstream,
    ) -> Result<(Box<dyn Stream>, Arc<AtomicBool>), Status> {
        let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let first = TunnelChunk {
            incarnation: upstream.incarnation.to_string(),
            node: self.controllers.node.to_string(),
            ..TunnelChunk::default()
        };
        sender
            .try_send(first)
            .map_err(|_| Status::internal("a new channel is full"))?;
        let mut client = self.client(address);
        let chunks = client.open(ReceiverStream::new(receiver)).await?;
        let leaving = Arc::new(AtomicBool::new(false));
        let stream = byte_stream(sender, chunks.into_inner(), Arc::clone(&leaving));
        Ok((stream, leaving))
    }

    fn client(&self, address: SocketAddr) -> TunnelsClient<Channel> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| {
                let endpoint = peer_endpoint(address, CONNECT_TIMEOUT)
                    .initial_stream_window_size(TUNNEL_WINDOW_BYTES)
                    .initial_connection_window_size(NODE_WINDOW_BYTES);
                TunnelsClient::new(endpoint.connect_with_connector_lazy(Connector(address)))
            })
            .clone()
    }

    fn count(&self, code: Code) {
        let tunnels = &self.controllers.metrics.tunnels;
        tunnels.with_label_values(&[outcome_name(code)]).inc();
    }

    fn clock(&self) -> &dyn Clock {
        &*self.controllers.clock
    }

    fn refusals(&self) -> MutexGuard<'_, HashMap<(SocketAddr, Name), Refusal>> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a node that was asked said that it doesn't reach the upstream.
const fn tells_of_no_path(code: Code) -> bool {
    matches!(code, Code::FailedPrecondition | Code::Aborted)
}

/// Opens connections to another node.
///
/// The operating system tells when the node's VM is gone. Pings would also close the connection to a
/// node that only pauses, and break off all responses on it.
#[derive(Debug, Clone)]
struct Connector(SocketAddr);

impl Service<Uri> for Connector {
    type Response = TokioIo<Box<dyn Stream>>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let address = self.0;
        Box::pin(async move { Tcp.connect(address).await.map(TokioIo::new) })
    }
}

/// Joins both directions of a tunnel to a byte stream.
fn byte_stream(
    sender: mpsc::Sender<TunnelChunk>,
    chunks: Streaming<TunnelChunk>,
    leaving: Arc<AtomicBool>,
) -> Box<dyn Stream> {
    let reader = StreamReader::new(chunks.map(move |chunk| {
        let chunk = chunk.map_err(|status| {
            io::Error::new(io::ErrorKind::ConnectionReset, status.message().to_owned())
        })?;
        if chunk.leaving {
            leaving.store(true, Ordering::Relaxed);
        }
        Ok::<_, io::Error>(Bytes::from(chunk.data))
    }));
    let sink = PollSender::new(sender)
        .sink_map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))
        .with(|data: Bytes| {
            future::ready(Ok::<_, io::Error>(TunnelChunk {
                data: data.into(),
                ..TunnelChunk::default()
            }))
        });
    let writer = SinkWriter::new(CopyToBytes::new(sink));
    Box::new(tokio::io::join(reader, writer))
}
