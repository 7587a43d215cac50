//! Loading adapters, in tasks beside the actor.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::event::Event;
use crate::adapter::Adapter;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::loads::{Permit, PermitRequest, PermitSource};
use crate::membership::UpstreamOwnership;
use crate::metrics::Metrics;
use crate::ports::Engine;

/// Time before leave is asked for again after the queue couldn't be asked.
const ASK_AGAIN: Millis = Millis(500);

/// An ask for leave to load that is under way; dropping it takes the ask back.
#[derive(Debug)]
pub(super) struct Asking {
    /// Number of the ask, so that leave that comes for an earlier one is given back.
    pub(super) number: u64,
    demand: watch::Sender<PermitRequest>,
    _task: AbortOnDropHandle<()>,
}

impl Asking {
    /// Starts to ask.
    pub(super) fn start(
        number: u64,
        ask: PermitRequest,
        permits: Arc<dyn PermitSource>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let (demand, changes) = watch::channel(ask);
        let task = tokio::spawn(async move {
            let adapter = changes.borrow().adapter.clone();
            let permit = acquired(&*permits, &changes).await;
            let _ = events.send(Event::Granted {
                ask: number,
                adapter,
                permit,
            });
        });
        Self {
            number,
            demand,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Replaces what the queue knows of the ask.
    pub(super) fn update(&self, ask: PermitRequest) {
        self.demand.send_replace(ask);
    }
}

async fn acquired(
    permits: &dyn PermitSource,
    ask: &watch::Receiver<PermitRequest>,
) -> Box<dyn Permit> {
    loop {
        match permits.acquire(ask.clone()).await {
            Ok(permit) => return permit,
            Err(failure) => log::debug!("loads: no leave for {}: {failure}", ask.borrow().adapter),
        }
        tokio::time::sleep(ASK_AGAIN.duration()).await;
    }
}

/// One load that has leave.
#[derive(Debug)]
pub(super) struct Load {
    /// What to load.
    pub(super) adapter: Adapter,
    /// What to unload before.
    pub(super) evict: Option<Adapter>,
    /// The engine.
    pub(super) engine: Arc<dyn Engine>,
    /// The right to give it orders.
    pub(super) ownership: UpstreamOwnership,
    /// Longest time of one order.
    pub(super) timeout: Millis,
    /// The clock that times the load.
    pub(super) clock: Arc<dyn Clock>,
    /// Where loads are counted.
    pub(super) metrics: Arc<Metrics>,
}

impl Load {
    /// Starts the load in a task; its end is told on `events` even if it panics.
    pub(super) fn start(self, permit: Box<dyn Permit>, events: mpsc::UnboundedSender<Event>) {
        let ending = Ending {
            adapter: self.adapter.clone(),
            result: Err(Failure::new(Code::LoadFailed, "the load's task ended")),
            events,
        };
        tokio::spawn(async move {
            let started = self.clock.now();
            let result = self.run().await;
            let took = self.clock.now().since(started);
            let outcome = if result.is_ok() { "done" } else { "failed" };
            self.metrics.loads.with_label_values(&[outcome]).inc();
            permit.done(result.is_ok(), took).await;
            ending.end(result.map(|()| took));
        });
    }

    async fn run(&self) -> Result<(), Failure> {
        if let Some(evict) = &self.evict {
            let fence = self.ownership.fence()?;
            self.timed(self.engine.unload(evict, fence)).await?;
            self.metrics.evictions.inc();
        }
        let fence = self.ownership.fence()?;
        self.timed(self.engine.load(&self.adapter, fence)).await
    }

    async fn timed(&self, order: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
        tokio::time::timeout(self.timeout.duration(), order)
            .await
            .unwrap_or_else(|_| Err(Failure::new(Code::LoadFailed, "the engine took too long")))
    }
}

/// Tells the actor how a load ended when it is dropped.
///
/// A load whose task panics would otherwise never end: its adapter would stay
/// "loading" and all that wait for it would wait until their deadlines.
#[derive(Debug)]
struct Ending {
    adapter: Adapter,
    result: Result<Millis, Failure>,
    events: mpsc::UnboundedSender<Event>,
}

impl Ending {
    fn end(mut self, result: Result<Millis, Failure>) {
        self.result = result;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Loaded {
            adapter: self.adapter.clone(),
            result: self.result.clone(),
        });
    }
}
