//! What an upstream's actor hears from the tasks that it has started.

use std::fmt;

use super::place::End;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::loads::Permit;
use crate::ports::Report;

/// News from a task.
///
/// These come on a channel of their own instead of the mailbox: a full mailbox
/// must not keep the actor from hearing that places have become free.
pub(super) enum Event {
    /// A place was given up.
    Ended(End),
    /// Leave to load has come.
    Granted {
        /// Number of the ask that it answers.
        ask: u64,
        /// What may be loaded.
        adapter: Adapter,
        /// The leave.
        permit: Box<dyn Permit>,
    },
    /// A load has ended.
    Loaded {
        /// What was loaded.
        adapter: Adapter,
        /// How it ended.
        result: Result<Millis, Failure>,
    },
    /// The engine has said, or failed to say, what it holds.
    Reported {
        /// When the engine was asked.
        as_of: Millis,
        /// Its answer.
        result: Result<Report, Failure>,
    },
    /// Time has passed.
    Tick,
}

impl fmt::Debug for Event {
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
