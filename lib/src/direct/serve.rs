//! Answering other nodes: loads at engines that this node orders, news, and support.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use super::ask::Desks;
use super::orders::Loaded;
use crate::name::Name;
use crate::schema::direct::orders_server::{Orders, OrdersServer};
use crate::schema::direct::{
    ExchangeReply, ExchangeRequest, LoadReply, LoadRequest, Outcome, SupportReply, SupportRequest,
};

/// Answers other nodes.
#[derive(Debug)]
struct Service(Arc<Desks>);

#[async_trait]
impl Orders for Service {
    async fn load(&self, request: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        let request = request.into_inner();
        let desks = &self.0;
        let upstream = desks
            .view
            .state()
            .upstreams
            .get(request.incarnation.as_str())
            .cloned();
        let loaded = match upstream {
            Some(upstream) if desks.right.owns(upstream.address) => {
                let adapter = Name::from(request.adapter);
                desks.load_here(&upstream, &adapter, request.version).await
            }
            _ => Loaded::NotOwner,
        };
        let (outcome, version) = match loaded {
            Loaded::Ready(version) => (Outcome::Ready, version),
            Loaded::Full => (Outcome::Full, 0),
            Loaded::NotOwner => (Outcome::NotOwner, 0),
            Loaded::Failed => (Outcome::Failed, 0),
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
        let supported = self.0.right.supports(&request.node, &owned);
        Ok(Response::new(SupportReply { supported }))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let request = request.into_inner();
        let node = Name::from(request.node);
        let mut standings = Vec::with_capacity(request.uses.len());
        for one in &request.uses {
            if let Some(standing) = self.0.standing(&node, one) {
                let adapters = one.adapters.iter().map(|name| name.as_str().into());
                self.0.note_uses(&one.incarnation, adapters.collect());
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
    desks: Arc<Desks>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .tcp_nodelay(true)
        .add_service(OrdersServer::new(Service(desks)))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}
