//! Permits to load adapters, requested from the node that owns the weight store's queue.
//!
//! Each permit request has its own stream, and the end of the stream ends the request. If a
//! node dies while it holds a permit, its connection breaks and the permit is released.

use std::sync::Arc;

use async_trait::async_trait;
use futures::stream::{self, BoxStream};
use futures::{FutureExt, StreamExt};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, WatchStream};
use tonic::{Status, Streaming};

use super::client::Clients;
use super::control_traffic;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::loads::{Permit, PermitRequest, PermitSource};
use crate::metrics::Metrics;
use crate::request::Class;
use crate::schema::peer::{PermitAsk, PermitDone, PermitDown, PermitUp, permit_up};

/// Value of `PermitAsk::class` for a prefetch, which has no request class.
const PREFETCH_CLASS: u32 = 255;
/// How long to wait for the queue's owner to close the stream after the outcome of a load
/// was sent.
const OUTCOME_TIMEOUT: Millis = Millis::from_secs(1);

/// Serves one permit request: waits for the permit, then for the outcome of the load.
pub(super) async fn serve(
    mut up: Streaming<PermitUp>,
    permits: Arc<dyn PermitSource>,
    metrics: Arc<Metrics>,
) -> Result<BoxStream<'static, Result<PermitDown, Status>>, Status> {
    let first = next_part(&mut up, &metrics).await?;
    let Some(permit_up::Part::Ask(ask)) = first else {
        return Err(Status::invalid_argument("a stream begins with an ask"));
    };
    let load_id = ask.load_id;
    let (request_updates, request) = watch::channel(PermitRequest::from(ask));
    let granted = async move {
        let acquired = {
            let acquire = permits.acquire(request);
            tokio::pin!(acquire);
            loop {
                tokio::select! {
                    acquired = &mut acquire => break acquired,
                    part = next_part(&mut up, &metrics) => match part? {
                        Some(permit_up::Part::Ask(ask)) => {
                            request_updates.send_replace(ask.into());
                        }
                        _ => return Err(Status::cancelled("the ask was taken back")),
                    }
                }
            }
        };
        let permit = acquired.map_err(|failure| Status::unavailable(failure.code.name()))?;
        Ok((up, permit, metrics))
    };
    let down = granted
        .into_stream()
        .flat_map(move |granted| match granted {
            Err(status) => stream::once(async { Err(status) }).boxed(),
            Ok((up, permit, metrics)) => {
                let grant = PermitDown {
                    load_id,
                    granted: true,
                };
                control_traffic::count(&metrics, "sent", &grant);
                stream::once(async move { Ok(grant) })
                    .chain(
                        wait_for_outcome(up, permit, metrics)
                            .into_stream()
                            .filter_map(std::future::ready),
                    )
                    .boxed()
            }
        });
    Ok(down.boxed())
}

/// Waits for the outcome of a load; the permit is released if the stream ends or breaks first.
async fn wait_for_outcome(
    mut up: Streaming<PermitUp>,
    permit: Box<dyn Permit>,
    metrics: Arc<Metrics>,
) -> Option<Result<PermitDown, Status>> {
    loop {
        match next_part(&mut up, &metrics).await {
            Ok(Some(permit_up::Part::Done(done))) => {
                permit.done(done.loaded, Millis(done.took_ms)).await;
                return None;
            }
            Ok(Some(permit_up::Part::Ask(_))) => {}
            Ok(None) => return None,
            Err(status) => return Some(Err(status)),
        }
    }
}

async fn next_part(
    up: &mut Streaming<PermitUp>,
    metrics: &Metrics,
) -> Result<Option<permit_up::Part>, Status> {
    let message = up.message().await?;
    if let Some(message) = &message {
        control_traffic::count(metrics, "received", message);
    }
    Ok(message.and_then(|message| message.part))
}

/// Requests permits from the queue at another node.
#[derive(Debug)]
pub(crate) struct RemotePermitSource {
    /// The links to all peers.
    pub(crate) clients: Arc<Clients>,
    /// Peer address of the node that owns the queue.
    pub(crate) address: std::net::SocketAddr,
}

#[async_trait]
impl PermitSource for RemotePermitSource {
    async fn acquire(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        let link = self.clients.link(self.address);
        let connection = link.connection()?;
        let mut client = connection.client();
        let (outcome, outcomes) = mpsc::channel(1);
        let metrics = self.clients.metrics();
        let asks = WatchStream::new(request).map(|ask| permit_up::Part::Ask(ask.into()));
        let up = stream::select(asks, ReceiverStream::new(outcomes)).map(move |part| {
            let message = PermitUp { part: Some(part) };
            control_traffic::count(&metrics, "sent", &message);
            message
        });
        let failed = |status| link.record_failure(&status);
        let call = async {
            let mut down = client.permit(up).await.map_err(failed)?.into_inner();
            let grant = down.message().await.map_err(failed)?;
            Ok((grant, down))
        };
        // The call counts as retryable: while the owner is silent, loading within this node's
        // share of the rate limit is better than not loading at all.
        let (grant, down) = link.await_response(&connection, true, call).await?;
        match grant {
            Some(grant) if grant.granted => {
                link.record_response();
                control_traffic::count(&self.clients.metrics(), "received", &grant);
                Ok(Box::new(RemotePermit { outcome, down }))
            }
            _ => Err(Failure::new(Code::LoadFailed, "the queue gave no leave")),
        }
    }
}

/// A permit from the queue of a peer; dropping it resets the stream, which releases the permit.
#[derive(Debug)]
struct RemotePermit {
    outcome: mpsc::Sender<permit_up::Part>,
    down: Streaming<PermitDown>,
}

#[async_trait]
impl Permit for RemotePermit {
    async fn done(mut self: Box<Self>, loaded: bool, took: Millis) {
        let done = permit_up::Part::Done(PermitDone {
            load_id: 0,
            loaded,
            took_ms: took.0,
        });
        // The queue closes the stream when it has received the outcome. If it doesn't,
        // dropping the stream releases the permit as well.
        if self.outcome.send(done).await.is_ok() {
            let _ = tokio::time::timeout(OUTCOME_TIMEOUT.duration(), self.down.message()).await;
        }
    }
}

impl From<PermitAsk> for PermitRequest {
    fn from(ask: PermitAsk) -> Self {
        Self {
            upstream: ask.upstream.into(),
            adapter: Adapter {
                base_model: ask.base_model.into(),
                name: ask.adapter.into(),
                version: ask.version.into(),
            },
            class: (ask.class != PREFETCH_CLASS).then(|| Class::from_index(ask.class)),
            waiters: ask.waiters,
            weight: ask.weight,
            waited: Millis(ask.waited_ms),
            stall_savings: Millis(ask.gain_ms),
        }
    }
}

impl From<PermitRequest> for PermitAsk {
    fn from(request: PermitRequest) -> Self {
        Self {
            load_id: 0,
            upstream: request.upstream.to_string(),
            adapter: request.adapter.name.to_string(),
            version: request.adapter.version.to_string(),
            base_model: request.adapter.base_model.to_string(),
            class: request.class.map_or(PREFETCH_CLASS, |class| class as u32),
            waiters: request.waiters,
            weight: request.weight,
            waited_ms: request.waited.0,
            gain_ms: request.stall_savings.0,
        }
    }
}
