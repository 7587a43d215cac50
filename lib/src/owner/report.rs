//! Asks an engine again and again what it holds.

use std::sync::Arc;

use tokio::sync::{Notify, mpsc};
use tokio_util::task::AbortOnDropHandle;

use super::event::Event;
use super::registry::Dependencies;
use super::run::Target;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::ports::{Engine, Report};

/// The asking, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct Reports {
    now: Arc<Notify>,
    _task: AbortOnDropHandle<()>,
}

impl Reports {
    /// Starts to ask, at once and then each period; a plain service isn't asked.
    pub(super) fn start(
        target: &Target,
        parts: &Dependencies,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let now = Arc::new(Notify::new());
        let hurried = Arc::clone(&now);
        let target = target.clone();
        let parts = parts.clone();
        let period = parts.limits.report_interval.duration();
        let task = tokio::spawn(async move {
            while events.send(news(&target, &parts).await).is_ok() {
                let _ = tokio::time::timeout(period, hurried.notified()).await;
            }
        });
        Self {
            now,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Asks at once instead of at the period's end.
    pub(super) fn hurry(&self) {
        self.now.notify_one();
    }
}

async fn news(target: &Target, parts: &Dependencies) -> Event {
    match target {
        Target::Engine(engine) => Event::Reported {
            as_of: parts.clock.now(),
            result: asked(&**engine, parts.limits.report_timeout).await,
        },
        Target::Service(_) => Event::Tick,
    }
}

async fn asked(engine: &dyn Engine, timeout: Millis) -> Result<Report, Failure> {
    tokio::time::timeout(timeout.duration(), engine.report())
        .await
        .unwrap_or_else(|_| Err(Failure::new(Code::UpstreamLost, "no report in time")))
}
