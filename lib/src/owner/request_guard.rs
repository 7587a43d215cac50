//! Reports the end of a request to its upstream's actor.

use tokio::sync::mpsc;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::task_event::TaskEvent;
use crate::request::Id;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The caller disconnected, or the task panicked.
    Dropped,
    /// The response was complete.
    Completed,
    /// The upstream couldn't be reached; nothing ran.
    ConnectFailed,
    /// The upstream refused the request before running it.
    Refused,
    /// The engine doesn't know the adapter, so its slots differ from this node's view of them.
    UnknownAdapter,
    /// The connection broke, the deadline passed or the response was invalid.
    Failed,
}

/// The end of a request.
#[derive(Debug)]
pub(super) struct RequestEnd {
    /// The key under which the actor tracks the request.
    pub(super) key: Id,
    /// How it ended.
    pub(super) outcome: Outcome,
}

/// Reports the end of a request to the upstream's actor when it is dropped.
///
/// A leaked pin would keep its adapter in its slot until the owner restarts, which
/// shows as an upstream that runs nothing and evicts nothing. A panic, or a caller
/// that disconnects at any await point, drops the guard and so releases the pin.
/// The channel to the actor is unbounded, but each guard sends one event and the
/// number of guards is bounded.
#[derive(Debug)]
pub(super) struct RequestGuard {
    key: Id,
    outcome: Outcome,
    events: mpsc::UnboundedSender<TaskEvent>,
    _token: TaskTrackerToken,
}

impl RequestGuard {
    /// Creates a guard that reports on `events`; `token` counts the request until then.
    pub(super) fn new(
        key: Id,
        events: mpsc::UnboundedSender<TaskEvent>,
        token: TaskTrackerToken,
    ) -> Self {
        Self {
            key,
            outcome: Outcome::Dropped,
            events,
            _token: token,
        }
    }

    /// Ends the request with an outcome.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // The actor may have stopped after a release and then needs no event.
        let _ = self.events.send(TaskEvent::Ended(RequestEnd {
            key: self.key.clone(),
            outcome: self.outcome,
        }));
    }
}
