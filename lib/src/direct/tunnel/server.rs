//! Opens connections for other nodes.

use std::io;
use std::sync::Arc;

use async_trait::async_trait;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;
use tonic::{Code, Request, Response, Status, Streaming};

use super::outcome_name;
use crate::direct::controllers::Controllers;
use crate::direct::dial::dial;
use crate::direct::upstream::Upstream;
use crate::metrics::Metrics;
use crate::ports::connection_pool::OpenPermit;
use crate::ports::network::Stream;
use crate::schema::direct::TunnelChunk;
use crate::schema::direct::tunnels_server::Tunnels;

/// Maximum number of open tunnels, which bounds descriptors and memory.
const MAX_OPEN: usize = 1_024;

/// Chunks that wait to be sent, for each tunnel.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Maximum length of a chunk in bytes.
const CHUNK_BYTES: usize = 8 * 1024;

type Replies = mpsc::Sender<Result<TunnelChunk, Status>>;

/// Opens connections to upstreams for other nodes.
#[derive(Debug, Clone)]
pub struct Server {
    controllers: Arc<Controllers>,
    open: TaskTracker,
    leaving: CancellationToken,
}

impl Server {
    /// Creates a server without open tunnels.
    #[must_use]
    pub fn new(controllers: Arc<Controllers>) -> Self {
        Self {
            controllers,
            open: TaskTracker::new(),
            leaving: CancellationToken::new(),
        }
    }

    /// Refuses new tunnels and asks for the open ones to be closed, then waits until they are.
    pub async fn drain(&self) {
        self.leaving.cancel();
        self.open.close();
        self.open.wait().await;
    }

    fn upstream(&self, incarnation: &str) -> Result<Arc<Upstream>, Status> {
        let state = self.controllers.view.state();
        let upstream = state.upstreams.get(incarnation);
        upstream
            .filter(|upstream| upstream.is_ready())
            .cloned()
            .ok_or_else(|| Status::not_found("no such upstream takes work"))
    }

    async fn connect(&self, upstream: &Arc<Upstream>) -> Result<Box<dyn Stream>, Status> {
        let controllers = &self.controllers;
        let now = controllers.clock.now();
        let reachability = &controllers.view.reachability;
        if reachability.has_failed(upstream, now) {
            return Err(self.refusal(upstream, "it failed a moment ago"));
        }
        // The other node may give up sooner; this one is to learn the outcome all the same.
        let (owned, dialed) = (Arc::clone(controllers), Arc::clone(upstream));
        let dialing = tokio::spawn(async move { dial(&owned.view, &*owned.clock, &dialed).await });
        dialing
            .await
            .map_err(|error| Status::internal(error.to_string()))?
            .map_err(|error| self.refusal(upstream, &error.to_string()))
    }

    /// Returns the refusal for an upstream that this node doesn't reach, which tells whether the
    /// node reaches others of its pool.
    fn refusal(&self, upstream: &Upstream, cause: &str) -> Status {
        let now = self.controllers.clock.now();
        let reachability = &self.controllers.view.reachability;
        if reachability.is_cut_off(&upstream.pool, now) {
            return Status::failed_precondition("this node lacks a path to the pool too");
        }
        Status::aborted(cause)
    }
}

#[async_trait]
impl Tunnels for Server {
    type OpenStream = ReceiverStream<Result<TunnelChunk, Status>>;

    async fn open(
        &self,
        request: Request<Streaming<TunnelChunk>>,
    ) -> Result<Response<Self::OpenStream>, Status> {
        let opened = self.start(request.into_inner()).await;
        let code = opened.as_ref().err().map_or(Code::Ok, Status::code);
        let served = &self.controllers.metrics.tunnels_requested;
        served.with_label_values(&[outcome_name(code)]).inc();
        opened.map(Response::new)
    }
}

impl Server {
    async fn start(
        &self,
        mut requests: Streaming<TunnelChunk>,
    ) -> Result<ReceiverStream<Result<TunnelChunk, Status>>, Status> {
        if self.leaving.is_cancelled() {
            return Err(Status::unavailable("this node stops"));
        }
        if self.open.len() >= MAX_OPEN {
            return Err(Status::resource_exhausted("too many tunnels are open"));
        }
        let open = OpenGuard::new(self);
        let Some(first) = requests.message().await? else {
            return Err(Status::invalid_argument("no upstream is named"));
        };
        let upstream = self.upstream(&first.incarnation)?;
        let permit = upstream.connection_pool.permit().map_err(|_| {
            Status::aborted("this node has all the connections to it that it may open")
        })?;
        let stream = self.connect(&upstream).await?;
        log::info!(
            upstream = &*upstream.incarnation,
            node = first.node.as_str(),
            open = self.open.len();
            "path: connected for another node"
        );
        let (replies, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let tunnel = Tunnel {
            requests,
            replies,
            leaving: self.leaving.clone(),
            _open: open,
            _permit: permit,
        };
        tokio::spawn(tunnel.run(stream));
        Ok(ReceiverStream::new(receiver))
    }
}

/// One open tunnel.
#[derive(Debug)]
struct Tunnel {
    requests: Streaming<TunnelChunk>,
    replies: Replies,
    leaving: CancellationToken,
    _open: OpenGuard,
    /// Counts the connection at this node, which opened it.
    _permit: OpenPermit,
}

/// Counts a tunnel as open until this is dropped.
#[derive(Debug)]
struct OpenGuard {
    metrics: Arc<Metrics>,
    _token: TaskTrackerToken,
}

impl OpenGuard {
    fn new(server: &Server) -> Self {
        let metrics = Arc::clone(&server.controllers.metrics);
        metrics.tunnels_served.inc();
        Self {
            metrics,
            _token: server.open.token(),
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.metrics.tunnels_served.dec();
    }
}

impl Tunnel {
    /// Copies bytes in both directions until the upstream's side ends or the other node leaves.
    async fn run(self, stream: Box<dyn Stream>) {
        let (reader, writer) = tokio::io::split(stream);
        let to_upstream = copy_to_upstream(self.requests, writer);
        let to_node = copy_to_node(reader, &self.replies, &self.leaving);
        tokio::select! {
            () = to_node => {}
            () = to_upstream => {}
            // The other node has dropped the call, as its caller has gone.
            () = self.replies.closed() => {}
        }
    }
}

/// Copies what the other node sends; returns once that node breaks the tunnel off.
async fn copy_to_upstream(
    mut requests: Streaming<TunnelChunk>,
    mut writer: WriteHalf<Box<dyn Stream>>,
) {
    let copied = async {
        while let Some(chunk) = requests.message().await? {
            writer.write_all(&chunk.data).await?;
        }
        // The other node sends no more, but still reads.
        writer.shutdown().await?;
        Ok::<_, CopyError>(())
    };
    if let Err(CopyError::Node(_)) = copied.await {
        return;
    }
    // The other direction ends the tunnel; it also reports a reset by the upstream.
    std::future::pending::<()>().await;
}

/// Why bytes could not be copied to the upstream.
#[derive(Debug, Error)]
enum CopyError {
    #[error("the other node broke the tunnel off: {0}")]
    Node(#[from] Status),
    #[error("the upstream's connection broke: {0}")]
    Upstream(#[from] io::Error),
}

/// Copies what the upstream sends, and tells the other node when this one stops.
async fn copy_to_node(
    mut reader: ReadHalf<Box<dyn Stream>>,
    replies: &Replies,
    leaving: &CancellationToken,
) {
    let mut has_told = false;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            biased;
            read = reader.read(&mut buffer) => read,
            () = leaving.cancelled(), if !has_told => {
                has_told = true;
                let chunk = TunnelChunk { leaving: true, ..TunnelChunk::default() };
                if replies.send(Ok(chunk)).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let reply = match read {
            Ok(0) => return,
            Ok(length) => Ok(TunnelChunk {
                data: buffer[..length].to_vec(),
                ..TunnelChunk::default()
            }),
            Err(error) => Err(Status::aborted(error.to_string())),
        };
        let is_end = reply.is_err();
        if replies.send(reply).await.is_err() || is_end {
            return;
        }
    }
}
