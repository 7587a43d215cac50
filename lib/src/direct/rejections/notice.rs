//! What upstreams of a pool say about the rejections that they bear.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Millis;

/// Time without any response of the pool after which a limit no longer counts as known.
const LIMIT_EXPIRY: Millis = Millis::from_secs(10);

/// Time between requests that are sent while it isn't known whether there is a limit.
///
/// A rejection arrives sooner, and tells.
const FIRST_SEND_INTERVAL: Millis = Millis(20);

/// What is known about a pool's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// No response arrived lately.
    Unknown,
    /// The upstreams bear any number of rejections.
    Unlimited,
    /// Each upstream bears this number of rejections in a second.
    Limited(u32),
}

/// What a response said, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Said {
    /// The rejections in a second that the upstream bears; `None` if it named no limit.
    pub limit: Option<u32>,
    /// When the response arrived.
    pub at: Millis,
}

#[derive(Debug, Default)]
struct State {
    last: Option<Said>,
    first_sent_at: Option<Millis>,
}

/// The last that a pool's upstreams said, as this node knows it.
#[derive(Debug, Default)]
pub struct Notice(Mutex<State>);

impl Notice {
    /// Records what a response said; an older one than the last is ignored.
    ///
    /// Returns whether the limit has changed.
    pub fn record(&self, said: Said) -> bool {
        let mut state = self.state();
        if state.last.is_some_and(|last| last.at > said.at) {
            return false;
        }
        let before = state.last.replace(said);
        before.and_then(|before| before.limit) != said.limit
    }

    /// Returns the last that a response said.
    #[must_use]
    pub fn last(&self) -> Option<Said> {
        self.state().last
    }

    /// Returns the limit in force, if it is known that there is one.
    #[must_use]
    pub fn limit(&self, now: Millis) -> Option<u32> {
        let said = self.last()?;
        said.limit.filter(|_| now.since(said.at) < LIMIT_EXPIRY)
    }

    /// Returns what is known about the limit.
    ///
    /// Upstreams announce a limit at least `lead` before it takes effect, so a response without one
    /// counts for that long.
    #[must_use]
    pub fn knowledge(&self, now: Millis, lead: Millis) -> Knowledge {
        if let Some(limit) = self.limit(now) {
            return Knowledge::Limited(limit);
        }
        match self.last() {
            Some(said) if said.limit.is_none() && now.since(said.at) < lead => Knowledge::Unlimited,
            _ => Knowledge::Unknown,
        }
    }

    /// Whether a request may be sent now to find out whether there is a limit.
    pub fn take_first_send(&self, now: Millis) -> bool {
        let mut state = self.state();
        let last = state.first_sent_at;
        let is_due = last.is_none_or(|last| now.since(last) >= FIRST_SEND_INTERVAL);
        if is_due {
            state.first_sent_at = Some(now);
        }
        is_due
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
