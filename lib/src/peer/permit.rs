//! Leave to load, over the connection to the owner of the weight store's queue.
//!
//! Each ask has a stream of its own. The stream's end is the ask's end: a node
//! that dies while it holds leave gives it back by its connection breaking.

use std::sync::Arc;

use async_trait::async_trait;
use futures::stream::{self, BoxStream};
use futures::{FutureExt, StreamExt};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, WatchStream};
use tonic::{Status, Streaming};

use super::call;
use super::client::Clients;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::loads::{Permit, PermitRequest, PermitSource};
use crate::metrics::Metrics;
use crate::request::Class;
use crate::schema::peer::{PermitAsk, PermitDone, PermitDown, PermitUp, permit_up};

/// What a prefetch has in place of a class.
const PREFETCH: u32 = 255;
/// How long the outcome of a load may take to be sent.
const TELL: Millis = Millis::from_secs(1);

/// Serves one ask: waits for leave and then for how the load ended.
pub(super) async fn serve(
    mut up: Streaming<PermitUp>,
    permits: Arc<dyn PermitSource>,
    metrics: Arc<Metrics>,
) -> Result<BoxStream<'static, Result<PermitDown, Status>>, Status> {
    let first = next(&mut up, &metrics).await?;
    let Some(permit_up::Part::Ask(ask)) = first else {
        return Err(Status::invalid_argument("a stream begins with an ask"));
    };
    let load_id = ask.load_id;
    let (asks, changes) = watch::channel(PermitRequest::from(ask));
    let granted = async move {
        let acquired = {
            let acquire = permits.acquire(changes);
            tokio::pin!(acquire);
            loop {
                tokio::select! {
                    acquired = &mut acquire => break acquired,
                    part = next(&mut up, &metrics) => match part? {
                        Some(permit_up::Part::Ask(ask)) => {
                            asks.send_replace(ask.into());
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
                let leave = PermitDown {
                    load_id,
                    granted: true,
                };
                call::count(&metrics, "sent", &leave);
                stream::once(async move { Ok(leave) })
                    .chain(
                        ended(up, permit, metrics)
                            .into_stream()
                            .filter_map(std::future::ready),
                    )
                    .boxed()
            }
        });
    Ok(down.boxed())
}

/// Waits for how a load ended; a stream that breaks gives the leave back.
async fn ended(
    mut up: Streaming<PermitUp>,
    permit: Box<dyn Permit>,
    metrics: Arc<Metrics>,
) -> Option<Result<PermitDown, Status>> {
    loop {
        match next(&mut up, &metrics).await {
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

async fn next(
    up: &mut Streaming<PermitUp>,
    metrics: &Metrics,
) -> Result<Option<permit_up::Part>, Status> {
    let message = up.message().await?;
    if let Some(message) = &message {
        call::count(metrics, "received", message);
    }
    Ok(message.and_then(|message| message.part))
}

/// Asks a peer for leave to load.
#[derive(Debug)]
pub(crate) struct Remote {
    /// The ways to all peers.
    pub(crate) clients: Arc<Clients>,
    /// Where the owner of the queue listens.
    pub(crate) address: std::net::SocketAddr,
}

#[async_trait]
impl PermitSource for Remote {
    async fn acquire(
        &self,
        ask: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        let link = self.clients.link(self.address);
        let way = link.way()?;
        let mut client = way.client();
        let (ended, last) = mpsc::channel(1);
        let metrics = self.clients.metrics();
        let asks = WatchStream::new(ask).map(|ask| permit_up::Part::Ask(ask.into()));
        let up = stream::select(asks, ReceiverStream::new(last)).map(move |part| {
            let message = PermitUp { part: Some(part) };
            call::count(&metrics, "sent", &message);
            message
        });
        let failed = |status| link.failed(&status);
        let asked = async {
            let mut down = client.permit(up).await.map_err(failed)?.into_inner();
            let leave = down.message().await.map_err(failed)?;
            Ok((leave, down))
        };
        // While the owner is silent a share of the rate is better than no load.
        let (leave, down) = link.answer(&way, true, asked).await?;
        match leave {
            Some(leave) if leave.granted => {
                link.answered();
                call::count(&self.clients.metrics(), "received", &leave);
                Ok(Box::new(Leave { ended, down }))
            }
            _ => Err(Failure::new(Code::LoadFailed, "the queue gave no leave")),
        }
    }
}

/// Leave that a peer's queue gave; dropping it resets the stream and gives it back.
#[derive(Debug)]
struct Leave {
    ended: mpsc::Sender<permit_up::Part>,
    down: Streaming<PermitDown>,
}

#[async_trait]
impl Permit for Leave {
    async fn done(mut self: Box<Self>, loaded: bool, took: Millis) {
        let done = permit_up::Part::Done(PermitDone {
            load_id: 0,
            loaded,
            took_ms: took.0,
        });
        // The queue closes the stream when it has heard; if it doesn't, dropping
        // the stream gives the leave back as well.
        if self.ended.send(done).await.is_ok() {
            let _ = tokio::time::timeout(TELL.duration(), self.down.message()).await;
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
            class: (ask.class != PREFETCH).then(|| Class::from_index(ask.class)),
            waiters: ask.waiters,
            weight: ask.weight,
            waited: Millis(ask.waited_ms),
            stall_savings: Millis(ask.gain_ms),
        }
    }
}

impl From<PermitRequest> for PermitAsk {
    fn from(ask: PermitRequest) -> Self {
        Self {
            load_id: 0,
            upstream: ask.upstream.to_string(),
            adapter: ask.adapter.name.to_string(),
            version: ask.adapter.version.to_string(),
            base_model: ask.adapter.base_model.to_string(),
            class: ask.class.map_or(PREFETCH, |class| class as u32),
            waiters: ask.waiters,
            weight: ask.weight,
            waited_ms: ask.waited.0,
            gain_ms: ask.stall_savings.0,
        }
    }
}
