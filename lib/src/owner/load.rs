//! Tasks that request load permits and load adapters.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::task_event::TaskEvent;
use crate::adapter::Adapter;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::loads::{Permit, PermitRequest, PermitSource};
use crate::membership::UpstreamOwnership;
use crate::metrics::Metrics;
use crate::ports::Engine;

/// Pause before a permit is requested again after the permit queue failed.
const PERMIT_RETRY_PAUSE: Millis = Millis(500);

/// A pending request for a permit to load; dropping it cancels the request.
#[derive(Debug)]
pub(super) struct PendingPermit {
    /// Number of the request, by which a permit for an earlier one is recognised.
    ///
    /// Such a permit is returned unused.
    pub(super) number: u64,
    request: watch::Sender<PermitRequest>,
    _task: AbortOnDropHandle<()>,
}

impl PendingPermit {
    /// Starts the task that requests a permit.
    pub(super) fn start(
        number: u64,
        request: PermitRequest,
        permits: Arc<dyn PermitSource>,
        events: mpsc::UnboundedSender<TaskEvent>,
    ) -> Self {
        let (request, changes) = watch::channel(request);
        let task = tokio::spawn(async move {
            let adapter = changes.borrow().adapter.clone();
            let permit = acquire_permit(&*permits, &changes).await;
            let _ = events.send(TaskEvent::Granted {
                number,
                adapter,
                permit,
            });
        });
        Self {
            number,
            request,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Replaces the request that the permit queue orders.
    pub(super) fn update(&self, request: PermitRequest) {
        self.request.send_replace(request);
    }
}

async fn acquire_permit(
    permits: &dyn PermitSource,
    request: &watch::Receiver<PermitRequest>,
) -> Box<dyn Permit> {
    loop {
        match permits.acquire(request.clone()).await {
            Ok(permit) => return permit,
            Err(failure) => log::debug!(
                "loads: no permit for {}: {failure}",
                request.borrow().adapter
            ),
        }
        tokio::time::sleep(PERMIT_RETRY_PAUSE.duration()).await;
    }
}

/// The load of one adapter under a permit.
#[derive(Debug)]
pub(super) struct LoadTask {
    /// The adapter to load.
    pub(super) adapter: Adapter,
    /// The adapter to unload first.
    pub(super) evict: Option<Adapter>,
    /// The engine.
    pub(super) engine: Arc<dyn Engine>,
    /// The lease under which the engine accepts orders.
    pub(super) ownership: UpstreamOwnership,
    /// Longest time for one load or unload.
    pub(super) timeout: Millis,
    /// The clock that measures the load.
    pub(super) clock: Arc<dyn Clock>,
    /// The metrics that count loads and evictions.
    pub(super) metrics: Arc<Metrics>,
}

impl LoadTask {
    /// Spawns the task; its end is sent on `events` even if the task panics.
    pub(super) fn start(self, permit: Box<dyn Permit>, events: mpsc::UnboundedSender<TaskEvent>) {
        let completion = LoadCompletion {
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
            completion.send(result.map(|()| took));
        });
    }

    async fn run(&self) -> Result<(), Failure> {
        if let Some(evict) = &self.evict {
            let fence = self.ownership.fence()?;
            self.with_timeout(self.engine.unload(evict, fence)).await?;
            self.metrics.evictions.inc();
        }
        let fence = self.ownership.fence()?;
        self.with_timeout(self.engine.load(&self.adapter, fence))
            .await
    }

    async fn with_timeout(
        &self,
        order: impl Future<Output = Result<(), Failure>>,
    ) -> Result<(), Failure> {
        tokio::time::timeout(self.timeout.duration(), order)
            .await
            .unwrap_or_else(|_| Err(Failure::new(Code::LoadFailed, "the engine took too long")))
    }
}

/// Sends the result of a load to the actor when it is dropped.
///
/// If a load's task panicked without it, the adapter would stay loading and the
/// requests that need it would wait until their deadlines.
#[derive(Debug)]
struct LoadCompletion {
    adapter: Adapter,
    result: Result<Millis, Failure>,
    events: mpsc::UnboundedSender<TaskEvent>,
}

impl LoadCompletion {
    /// Sends the result, by dropping `self`.
    fn send(mut self, result: Result<Millis, Failure>) {
        self.result = result;
    }
}

impl Drop for LoadCompletion {
    fn drop(&mut self) {
        let _ = self.events.send(TaskEvent::Loaded {
            adapter: self.adapter.clone(),
            result: self.result.clone(),
        });
    }
}
