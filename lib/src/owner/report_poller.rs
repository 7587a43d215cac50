//! Polls an engine for reports of its state.

use std::sync::Arc;

use tokio::sync::{Notify, mpsc};
use tokio_util::task::AbortOnDropHandle;

use super::registry::Dependencies;
use super::run::Target;
use super::task_event::TaskEvent;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::ports::{Engine, Report};

/// A polling task, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct ReportPoller {
    wakeup: Arc<Notify>,
    _task: AbortOnDropHandle<()>,
}

impl ReportPoller {
    /// Starts polling at once and then at each interval.
    ///
    /// A plain service isn't polled; its actor only gets a tick.
    pub(super) fn start(
        target: &Target,
        dependencies: &Dependencies,
        events: mpsc::UnboundedSender<TaskEvent>,
    ) -> Self {
        let wakeup = Arc::new(Notify::new());
        let notified = Arc::clone(&wakeup);
        let target = target.clone();
        let dependencies = dependencies.clone();
        let interval = dependencies.limits.report_interval.duration();
        let task = tokio::spawn(async move {
            while events.send(poll(&target, &dependencies).await).is_ok() {
                let _ = tokio::time::timeout(interval, notified.notified()).await;
            }
        });
        Self {
            wakeup,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Polls at once instead of at the end of the interval.
    pub(super) fn poll_now(&self) {
        self.wakeup.notify_one();
    }
}

async fn poll(target: &Target, dependencies: &Dependencies) -> TaskEvent {
    match target {
        Target::Engine(engine) => TaskEvent::Reported {
            as_of: dependencies.clock.now(),
            result: fetch_report(&**engine, dependencies.limits.report_timeout).await,
        },
        Target::Service(_) => TaskEvent::Tick,
    }
}

async fn fetch_report(engine: &dyn Engine, timeout: Millis) -> Result<Report, Failure> {
    tokio::time::timeout(timeout.duration(), engine.report())
        .await
        .unwrap_or_else(|_| Err(Failure::new(Code::UpstreamLost, "no report in time")))
}
