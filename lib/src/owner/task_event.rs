//! Events that an upstream's actor receives from its tasks.

use std::fmt;

use super::request_guard::RequestEnd;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::loads::Permit;
use crate::ports::Report;

/// An event from a task.
///
/// Events use a channel of their own instead of the mailbox: a full mailbox must
/// not keep the actor from learning that requests have ended.
pub(super) enum TaskEvent {
    /// A request has ended.
    Ended(RequestEnd),
    /// A permit to load was granted.
    Granted {
        /// Number of the permit request.
        number: u64,
        /// The adapter that may be loaded.
        adapter: Adapter,
        /// The permit.
        permit: Box<dyn Permit>,
    },
    /// A load has ended.
    Loaded {
        /// The adapter.
        adapter: Adapter,
        /// How long the load took, or why it failed.
        result: Result<Millis, Failure>,
    },
    /// The engine has reported its state, or failed to.
    Reported {
        /// When the report was requested.
        as_of: Millis,
        /// The report.
        result: Result<Report, Failure>,
    },
    /// The polling interval of a plain service has passed.
    Tick,
}

impl fmt::Debug for TaskEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Ended(_) => "Ended",
            Self::Granted { .. } => "Granted",
            Self::Loaded { .. } => "Loaded",
            Self::Reported { .. } => "Reported",
            Self::Tick => "Tick",
        };
        f.write_str(name)
    }
}
