//! Backoff for an owned upstream that can't be reached.

use crate::clock::Millis;

/// First backoff; it doubles with each further failure.
const MIN_BACKOFF: Millis = Millis::from_secs(1);
/// Longest backoff.
const MAX_BACKOFF: Millis = Millis::from_secs(30);

/// Counts consecutive failures and suspends work after too many.
#[derive(Debug)]
pub(super) struct Health {
    failure_threshold: u32,
    failures: u32,
    backoff_until: Millis,
}

impl Health {
    /// Starts healthy; `failure_threshold` consecutive failures start a backoff.
    pub(super) const fn new(failure_threshold: u32) -> Self {
        Self {
            failure_threshold,
            failures: 0,
            backoff_until: Millis::ZERO,
        }
    }

    /// Returns the remaining backoff, in which the upstream gets no work.
    pub(super) fn backoff_remaining(&self, now: Millis) -> Option<Millis> {
        (self.failures >= self.failure_threshold && now < self.backoff_until)
            .then(|| self.backoff_until.since(now))
    }

    /// Counts a failure and returns whether it is the one that starts the first backoff.
    pub(super) fn record_failure(&mut self, now: Millis) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.failure_threshold {
            let doubled = MIN_BACKOFF.0 << (self.failures - self.failure_threshold).min(16);
            self.backoff_until = now + Millis(doubled).min(MAX_BACKOFF);
        }
        self.failures == self.failure_threshold
    }

    /// Resets the count and returns whether there were failures.
    pub(super) const fn record_success(&mut self) -> bool {
        let recovered = self.failures > 0;
        self.failures = 0;
        recovered
    }
}
