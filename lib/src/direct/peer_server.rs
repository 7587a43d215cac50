//! Answering other nodes: loads at engines that this node orders, news, and votes for extensions.

use std::sync::Arc;

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::BoxStream;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::admit::{AdmitDecision, AdmitQuery, AdmitReplies};
use super::controllers::Controllers;
use super::limits::in_use_grace;
use super::orders::LoadOutcome;
use super::upstream::Upstream;
use super::view::PutOutcome;
use crate::clock::Millis;
use crate::name::Name;
use crate::schema::direct::orders_server::{Orders, OrdersServer};
use crate::schema::direct::{
    AdmitRequest, ExchangeReply, ExchangeRequest, FollowRequest, LoadReply, LoadRequest, Outcome,
    SupportReply, SupportRequest, TellReply, TellRequest, Update,
};

/// Answers other nodes.
#[derive(Debug)]
struct Service(Arc<Controllers>);

impl Service {
    fn upstream(&self, incarnation: &str) -> Option<Arc<Upstream>> {
        let state = self.0.view.state();
        state.upstreams.get(incarnation).cloned()
    }
}

/// Calls that one connection may have open: a request of the other node keeps one while it runs.
const MOST_CALLS: u32 = 8_192;

/// Pause after which a silent connection is asked for a sign of life.
///
/// The places that a lost node had taken would else count for ever.
const ALIVE: Millis = Millis(2_000);

/// The longest that such a sign may take.
const ALIVE_ANSWER: Millis = Millis(1_000);

#[async_trait]
impl Orders for Service {
    type AdmitStream = AdmitReplies;
    type FollowStream = BoxStream<'static, Result<Update, Status>>;

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let after = request.into_inner().after;
        Ok(Response::new(self.0.hub.subscribe(after)?.boxed()))
    }

    async fn admit(
        &self,
        request: Request<Streaming<AdmitRequest>>,
    ) -> Result<Response<AdmitReplies>, Status> {
        let mut questions = request.into_inner();
        let Some(request) = questions.message().await? else {
            return Err(Status::invalid_argument("there is no question"));
        };
        let adapter = (!request.adapter.is_empty()).then(|| Name::from(request.adapter));
        let question = AdmitQuery {
            adapter: adapter.as_ref(),
            version: request.version,
            max_running: request.limit,
            loaded: request.loaded,
            tokens: request.tokens,
            max_wait: Millis(request.patience_ms),
        };
        let answer = match self.upstream(&request.incarnation) {
            Some(upstream) => self.0.admit_here(&upstream, question),
            None => AdmitDecision::Unknown,
        };
        Ok(Response::new(AdmitReplies::new(answer, questions)))
    }

    async fn load(&self, request: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        let request = request.into_inner();
        let controllers = &self.0;
        let loaded = match self.upstream(&request.incarnation) {
            Some(upstream) if controllers.ownership.owns(upstream.address) => {
                let adapter = Name::from(request.adapter);
                controllers
                    .load_locally(&upstream, &adapter, request.version)
                    .await
            }
            _ => LoadOutcome::NotOwner,
        };
        let (outcome, version) = match loaded {
            LoadOutcome::Ready(version) => (Outcome::Ready, version),
            LoadOutcome::Full => (Outcome::Full, 0),
            LoadOutcome::NotOwner => (Outcome::NotOwner, 0),
            LoadOutcome::Failed => (Outcome::Failed, 0),
        };
        Ok(Response::new(LoadReply {
            outcome: outcome.into(),
            version,
        }))
    }

    async fn support(
        &self,
        request: Request<SupportRequest>,
    ) -> Result<Response<SupportReply>, Status> {
        let request = request.into_inner();
        let mut owned = Vec::with_capacity(request.owned.len());
        for one in &request.owned {
            let address = one
                .address
                .parse()
                .map_err(|_| Status::invalid_argument("an owned engine has no address"))?;
            owned.push((address, one.token));
        }
        let supported = self.0.ownership.votes_for(&request.node, &owned);
        Ok(Response::new(SupportReply { supported }))
    }

    async fn tell(&self, request: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        let request = request.into_inner();
        let now = self.0.clock.now();
        let view = &self.0.view;
        let taken = view
            .state()
            .put_quarantine_record(&request.name, &request.value, None, now);
        if taken != PutOutcome::Applied {
            return Err(Status::invalid_argument("the record is none that is told"));
        }
        view.changed.notify_waiters();
        Ok(Response::new(TellReply {}))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let request = request.into_inner();
        let mut standings = Vec::with_capacity(request.uses.len());
        for one in &request.uses {
            if let Some(standing) = self.0.standing(one) {
                let adapters = one.adapters.iter().map(|name| name.as_str().into());
                let nodes = self.0.view.state().max_nodes_seen;
                self.0
                    .record_uses(&one.incarnation, adapters.collect(), in_use_grace(nodes));
                standings.push(standing);
            }
        }
        Ok(Response::new(ExchangeReply { standings }))
    }
}

/// Answers other nodes until the task is dropped.
///
/// # Errors
///
/// When the listener can't be served.
pub async fn serve(
    listener: TcpListener,
    controllers: Arc<Controllers>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .tcp_nodelay(true)
        .max_concurrent_streams(Some(MOST_CALLS))
        // The library takes some tens of calls that end before it has seen them for an attack, and
        // ends the connection. Between nodes they are questions for a place that were given up
        // while this node paused for a moment; with the connection, all requests of that node
        // would no longer be counted.
        .http2_max_pending_accept_reset_streams(Some(MOST_CALLS as usize))
        .http2_keepalive_interval(Some(ALIVE.duration()))
        .http2_keepalive_timeout(Some(ALIVE_ANSWER.duration()))
        .add_service(OrdersServer::new(Service(controllers)))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}
