//! Whether an owned upstream can be reached.

use crate::clock::Millis;

/// Shortest time that a failing upstream gets no work.
const HOLD_FROM: Millis = Millis::from_secs(1);
/// Longest such time; it doubles up to here.
const HOLD_TO: Millis = Millis::from_secs(30);

/// Counts failures in a row.
#[derive(Debug)]
pub(super) struct Health {
    limit: u32,
    failures: u32,
    until: Millis,
}

impl Health {
    /// Starts healthy; `limit` failures in a row change that.
    pub(super) const fn new(limit: u32) -> Self {
        Self {
            limit,
            failures: 0,
            until: Millis::ZERO,
        }
    }

    /// Returns how much longer the upstream gets no work, if it gets none.
    pub(super) fn held(&self, now: Millis) -> Option<Millis> {
        (self.failures >= self.limit && now < self.until).then(|| self.until.since(now))
    }

    /// Counts a failure and returns whether the upstream has just become failing.
    pub(super) fn failed(&mut self, now: Millis) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.limit {
            let doubled = HOLD_FROM.0 << (self.failures - self.limit).min(16);
            self.until = now + Millis(doubled).min(HOLD_TO);
        }
        self.failures == self.limit
    }

    /// Notes an answer and returns whether it is the first after a failure.
    pub(super) const fn answered(&mut self) -> bool {
        let recovered = self.failures > 0;
        self.failures = 0;
        recovered
    }
}
