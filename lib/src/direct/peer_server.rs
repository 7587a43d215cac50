//! gRPC service for the other nodes: admissions and loads at the engines that this node owns, store
//! updates, records, votes for lease extensions, and tunnels to upstreams.

use std::sync::Arc;

use async_trait::async_trait;
use futures::stream::BoxStream;
use futures::{StreamExt, future};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::admit::{AdmitDecision, AdmitQuery, AdmitReplies};
use super::controllers::Controllers;
use super::limits::in_use_grace;
use super::listener::set_up;
use super::orders::LoadOutcome;
use super::tunnel;
use super::upstream::Upstream;
use super::view::PutOutcome;
use crate::clock::Millis;
use crate::name::Name;
use crate::schema::direct::orders_server::{Orders, OrdersServer};
use crate::schema::direct::tunnels_server::TunnelsServer;
use crate::schema::direct::{
    AdmitRequest, ExchangeReply, ExchangeRequest, FindOriginReply, FindOriginRequest,
    FollowRequest, LoadReply, LoadRequest, Outcome, RecordOriginsReply, RecordOriginsRequest,
    SupportReply, SupportRequest, TellReply, TellRequest, Update,
};

/// Handles the calls of other nodes.
#[derive(Debug)]
struct Service(Arc<Controllers>);

impl Service {
    fn upstream(&self, incarnation: &str) -> Option<Arc<Upstream>> {
        let state = self.0.view.state();
        state.upstreams.get(incarnation).cloned()
    }
}

/// Maximum number of open calls on a connection; each admitted request of the other node keeps one
/// open while it runs.
const MAX_OPEN_CALLS: u32 = 8_192;

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
        let mut requests = request.into_inner();
        let Some(request) = requests.message().await? else {
            return Err(Status::invalid_argument("there is no question"));
        };
        let adapter = (!request.adapter.is_empty()).then(|| Name::from(request.adapter));
        let query = AdmitQuery {
            adapter: adapter.as_ref(),
            version: request.version,
            max_running: request.limit,
            loaded: request.loaded,
            tokens: request.tokens,
            max_wait: Millis(request.patience_ms),
            report_only: request.report_only,
            assumed_limit: None,
        };
        let upstream = self.upstream(&request.incarnation);
        let decision = upstream
            .as_ref()
            .map_or(AdmitDecision::Unknown, |upstream| {
                self.0
                    .record_told(upstream, request.rejection_limit, request.notice_age_ms);
                self.0.admit_locally(upstream, query, request.count_limit)
            });
        let said = upstream.and_then(|upstream| upstream.notice().last());
        let now = self.0.clock.now();
        Ok(Response::new(AdmitReplies::new(
            decision, requests, said, now,
        )))
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
        for engine in &request.owned {
            let address = engine
                .address
                .parse()
                .map_err(|_| Status::invalid_argument("an owned engine has no address"))?;
            owned.push((address, engine.token));
        }
        let supported = self.0.ownership.votes_for(&request.node, &owned);
        Ok(Response::new(SupportReply { supported }))
    }

    async fn tell(&self, request: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        let request = request.into_inner();
        let now = self.0.clock.now();
        let view = &self.0.view;
        let put = view
            .state()
            .put_record(&request.name, &request.value, None, now);
        if put != PutOutcome::Applied {
            return Err(Status::invalid_argument("the record is none that is told"));
        }
        view.changed.notify_waiters();
        Ok(Response::new(TellReply {}))
    }

    async fn record_origins(
        &self,
        request: Request<RecordOriginsRequest>,
    ) -> Result<Response<RecordOriginsReply>, Status> {
        self.0.insert_origins(request.into_inner().origins);
        Ok(Response::new(RecordOriginsReply {}))
    }

    async fn find_origin(
        &self,
        request: Request<FindOriginRequest>,
    ) -> Result<Response<FindOriginReply>, Status> {
        let reply = self.0.answer_origin(request.get_ref());
        Ok(Response::new(reply))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let request = request.into_inner();
        let mut standings = Vec::with_capacity(request.uses.len());
        for upstream_use in &request.uses {
            if let Some(standing) = self.0.standing(upstream_use) {
                let adapters = upstream_use
                    .adapters
                    .iter()
                    .map(|name| name.as_str().into());
                let nodes = self.0.view.state().max_nodes_seen;
                self.0.record_uses(
                    &upstream_use.incarnation,
                    adapters.collect(),
                    in_use_grace(nodes),
                );
                standings.push(standing);
            }
        }
        Ok(Response::new(ExchangeReply { standings }))
    }
}

/// Serves other nodes until the task is dropped.
///
/// # Errors
///
/// When the listener can't be served.
pub async fn serve(
    listener: TcpListener,
    controllers: Arc<Controllers>,
    tunnels: tunnel::Server,
) -> Result<(), tonic::transport::Error> {
    // The operating system closes the connections of a node whose VM is gone, so that its permits
    // don't count forever. Pings would also close those of a node that only pauses, and break off
    // the responses that it gets on tunnels.
    let incoming = TcpListenerStream::new(listener)
        .filter(|accepted| future::ready(accepted.as_ref().map_or(true, set_up)));
    Server::builder()
        .tcp_nodelay(true)
        .max_concurrent_streams(Some(MAX_OPEN_CALLS))
        // By default the library takes a few tens of calls that are reset before it accepted them
        // for an attack and closes the connection. Between nodes, these are admission calls that
        // the other node cancelled while this node paused for a moment. With the connection closed,
        // none of that node's requests would be counted any more.
        .http2_max_pending_accept_reset_streams(Some(MAX_OPEN_CALLS as usize))
        .add_service(OrdersServer::new(Service(controllers)))
        .add_service(TunnelsServer::new(tunnels))
        .serve_with_incoming(incoming)
        .await
}
