//! Asks an engine again and again what it holds.

use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use super::event::Event;
use super::registry::Parts;
use super::run::Target;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::platform::{Engine, Report};

/// Starts to ask, at once and then each period; a plain service isn't asked.
pub(super) fn start(
    target: &Target,
    parts: &Parts,
    events: mpsc::UnboundedSender<Event>,
) -> AbortOnDropHandle<()> {
    let target = target.clone();
    let parts = parts.clone();
    let period = parts.limits.report_period.duration();
    AbortOnDropHandle::new(tokio::spawn(async move {
        loop {
            let event = match &target {
                Target::Engine(engine) => Event::Reported {
                    as_of: parts.clock.now(),
                    result: asked(&**engine, parts.limits.report_timeout).await,
                },
                Target::Service(_) => Event::Tick,
            };
            if events.send(event).is_err() {
                return;
            }
            tokio::time::sleep(period).await;
        }
    }))
}

async fn asked(engine: &dyn Engine, timeout: Millis) -> Result<Report, Failure> {
    tokio::time::timeout(timeout.duration(), engine.report())
        .await
        .unwrap_or_else(|_| Err(Failure::new(Code::UpstreamLost, "no report in time")))
}
