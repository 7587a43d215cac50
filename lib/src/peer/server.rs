//! The gRPC service that a node offers its peers.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::BytesMut;
use futures::stream::{self, BoxStream};
use futures::{FutureExt, StreamExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::connector::Acceptor;
use super::tls::Security;
use super::{Limits, control_traffic, permit, wire};
use crate::clock::Clock;
use crate::error::{Code, Failure};
use crate::gossip::{ExchangeHandler, SnapshotSource};
use crate::loads::PermitSource;
use crate::membership::VoteHandler;
use crate::metrics::Metrics;
use crate::ports::Answer;
use crate::runner::{Attempt, Runner};
use crate::schema::peer::peer_server::{Peer, PeerServer};
use crate::schema::peer::{
    AliveReply, AliveRequest, Delta, Digest, Down, PermitDown, PermitUp, RenewReply, RenewRequest,
    SnapshotPart, SnapshotRequest, Up, up,
};

/// The components that handle the calls of peers.
#[derive(Debug, Clone)]
pub struct Handlers {
    /// Runs attempts at the upstreams that this node owns.
    pub runner: Arc<dyn Runner>,
    /// Handles gossip exchanges.
    pub exchange: Arc<dyn ExchangeHandler>,
    /// Handles vote requests, for which this node is a witness.
    pub vote_handler: Arc<dyn VoteHandler>,
    /// Provides snapshots of the configuration.
    pub snapshot: Arc<dyn SnapshotSource>,
    /// Grants permits to load adapters, if this node owns the weight store's queue.
    pub permits: Arc<dyn PermitSource>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Limits and timeouts.
    pub limits: Limits,
}

/// Serves peers until `stop` is cancelled, then finishes the calls in progress.
///
/// # Errors
///
/// Returns an error when the listener can't be served.
pub async fn serve(
    listener: TcpListener,
    handlers: Handlers,
    security: Security,
    stop: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let limits = handlers.limits.clone();
    let acceptor = Acceptor {
        listener,
        security,
        timeout: limits.connect_timeout,
        max_connections: limits.max_connections,
    };
    let incoming = acceptor.start(stop.clone());
    let service = PeerServer::new(handlers)
        .max_decoding_message_size(limits.max_message_bytes)
        .max_encoding_message_size(limits.max_message_bytes);
    Server::builder()
        .initial_stream_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window())
        .max_concurrent_streams(limits.max_concurrent_streams)
        // By default h2 takes a few dozen streams that are reset before it has accepted
        // them for an attack (rapid reset) and closes the connection. Between nodes, these
        // are requests whose callers disconnected while this node was paused; closing the
        // connection would also break the responses of all other callers of that node.
        .http2_max_pending_accept_reset_streams(Some(limits.max_concurrent_streams as usize))
        .http2_keepalive_interval(Some(limits.server_ping_interval.duration()))
        .http2_keepalive_timeout(Some(limits.keepalive_timeout.duration()))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await
}

#[async_trait]
impl Peer for Handlers {
    type ForwardStream = BoxStream<'static, Result<Down, Status>>;
    type PermitStream = BoxStream<'static, Result<PermitDown, Status>>;
    type SnapshotStream = BoxStream<'static, Result<SnapshotPart, Status>>;

    async fn forward(
        &self,
        request: Request<Streaming<Up>>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        // When the peer resets the stream, this future or the returned stream is dropped,
        // which cancels the attempt at any stage.
        let result = match self.read_attempt(request.into_inner()).await {
            Ok(attempt) => self.runner.run(attempt).await,
            Err(failure) => Err(failure),
        };
        let down = match result {
            Ok(answer) => response_messages(answer),
            Err(failure) => {
                stream::once(async move { Ok(wire::encode_end(&Err(failure))) }).boxed()
            }
        };
        Ok(Response::new(down))
    }

    async fn exchange(&self, request: Request<Digest>) -> Result<Response<Delta>, Status> {
        let digest = request.into_inner();
        control_traffic::count(&self.metrics, "received", &digest);
        let delta = self.exchange.handle_exchange(digest).await;
        control_traffic::count(&self.metrics, "sent", &delta);
        Ok(Response::new(delta))
    }

    async fn permit(
        &self,
        request: Request<Streaming<PermitUp>>,
    ) -> Result<Response<Self::PermitStream>, Status> {
        let permits = Arc::clone(&self.permits);
        let metrics = Arc::clone(&self.metrics);
        let down = permit::serve(request.into_inner(), permits, metrics).await?;
        Ok(Response::new(down))
    }

    async fn renew(&self, request: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        let request = request.into_inner();
        control_traffic::count(&self.metrics, "received", &request);
        let reply = RenewReply::from(self.vote_handler.handle_vote_request(request.into()).await);
        control_traffic::count(&self.metrics, "sent", &reply);
        Ok(Response::new(reply))
    }

    async fn snapshot(
        &self,
        _: Request<SnapshotRequest>,
    ) -> Result<Response<Self::SnapshotStream>, Status> {
        let parts = stream::iter(self.snapshot.parts().map(Ok));
        Ok(Response::new(parts.boxed()))
    }

    async fn alive(&self, request: Request<AliveRequest>) -> Result<Response<AliveReply>, Status> {
        control_traffic::count(&self.metrics, "received", &request.into_inner());
        let reply = AliveReply::default();
        control_traffic::count(&self.metrics, "sent", &reply);
        Ok(Response::new(reply))
    }
}

impl Handlers {
    /// Reads an attempt with its whole body; nothing runs before the body is complete.
    async fn read_attempt(&self, mut up: Streaming<Up>) -> Result<Attempt, Failure> {
        let bad = |detail: &str| Failure::new(Code::BadRequest, detail);
        let mut head = None;
        let mut body = BytesMut::new();
        while let Some(message) = up
            .message()
            .await
            .map_err(|_| bad("the request broke off"))?
        {
            match message.part {
                Some(up::Part::Head(part)) => head = Some((part, self.clock.now())),
                Some(up::Part::Body(piece)) => {
                    if body.len() + piece.len() > self.limits.max_body_bytes {
                        return Err(Failure::new(Code::BodyTooLarge, "the body is too large"));
                    }
                    body.extend_from_slice(&piece);
                }
                Some(up::Part::End(_)) => {
                    let (head, received_at) = head.ok_or_else(|| bad("the request has no head"))?;
                    return wire::decode_attempt(head, body.freeze(), received_at);
                }
                None => {}
            }
        }
        Err(bad("the request broke off"))
    }
}

/// Returns the messages of a response; the last one says how the response ended.
fn response_messages(answer: Answer) -> BoxStream<'static, Result<Down, Status>> {
    let head = wire::encode_response_head(&answer.head);
    let pieces = stream::unfold(Some(answer.body), |body| async move {
        let mut body = body?;
        Some(match body.next().await {
            Some(Ok(piece)) => (wire::data_messages(piece), Some(body)),
            Some(Err(failure)) => (vec![wire::encode_end(&Err(failure))], None),
            None => (vec![wire::encode_end(&Ok(()))], None),
        })
    });
    let pieces = pieces.flat_map(stream::iter);
    let head = std::future::ready(head).into_stream();
    head.chain(pieces).map(Ok).boxed()
}
