//! Whether an engine answers its owner.
//!
//! Only changes are logged: an owner without a path to its engine fails ten calls a second.

use crate::clock::Millis;

/// Since when an engine hasn't answered, and why.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// When the first call without an answer ended, and the last failure.
    lost: Option<(Millis, String)>,
}

impl Contact {
    /// Records a call without an answer; returns whether it is the first one.
    pub(super) fn lose(&mut self, cause: String, now: Millis) -> bool {
        let since = self.lost.as_ref().map(|(since, _)| *since);
        self.lost = Some((since.unwrap_or(now), cause));
        since.is_none()
    }

    /// Records an answer; returns since when there had been none.
    pub(super) fn regain(&mut self) -> Option<Millis> {
        self.lost.take().map(|(since, _)| since)
    }

    /// Returns why the last call failed; empty if it was answered.
    pub(super) fn last_failure(&self) -> &str {
        self.lost.as_ref().map_or("", |(_, cause)| cause)
    }
}
