//! A request's place at an upstream, from its arrival to its end.

use tokio::sync::mpsc;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::event::Event;
use crate::request::Id;

/// How a place was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The caller went away, or the task panicked.
    Dropped,
    /// The answer was whole.
    Answered,
    /// The upstream couldn't be reached; nothing ran.
    ConnectFailed,
    /// The upstream refused the request before running it.
    Refused,
    /// The engine doesn't know the adapter, so its slots differ from what this node believes.
    UnknownAdapter,
    /// The connection broke, the deadline passed or the answer was no good.
    Failed,
}

/// Tells the upstream's actor that a place is free again.
#[derive(Debug)]
pub(super) struct End {
    /// Which place.
    pub(super) key: Id,
    /// How it ended.
    pub(super) outcome: Outcome,
}

/// A place that is given up when it is dropped, wherever that happens.
///
/// A pin that leaks keeps its adapter in its slot for good, and the upstream
/// loses a slot until its owner restarts; one would see an upstream with
/// nothing running that evicts nothing. A panic or a caller that goes away at
/// any await drops the place, and with it the pin. The channel to the actor
/// isn't bounded by itself: each place sends one message, and places are bounded.
#[derive(Debug)]
pub(super) struct Place {
    key: Id,
    outcome: Outcome,
    ends: mpsc::UnboundedSender<Event>,
    _counted: TaskTrackerToken,
}

impl Place {
    /// Makes a place whose end is told on `ends`, and that is counted until then.
    pub(super) fn new(
        key: Id,
        ends: mpsc::UnboundedSender<Event>,
        counted: TaskTrackerToken,
    ) -> Self {
        Self {
            key,
            outcome: Outcome::Dropped,
            ends,
            _counted: counted,
        }
    }

    /// Gives the place up with an outcome.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // The actor may have stopped after a release; then nobody keeps count.
        let _ = self.ends.send(Event::Ended(End {
            key: self.key.clone(),
            outcome: self.outcome,
        }));
    }
}
