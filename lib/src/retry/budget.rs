//! How many retries a node may make.

use crate::clock::Millis;

/// What one retry costs; a first try earns a percent of it for each percent of the rule.
const RETRY: u64 = 100;

/// Retries that a node may save up.
const SAVED: u64 = 100 * RETRY;

/// Retries a second that are allowed however few first tries there are.
///
/// Without them the first failure on a quiet node could never be retried.
const TRICKLE: u64 = 5;

/// A token bucket that bounds retries to a percentage of first tries.
///
/// Under an outage each retry adds load exactly when there is least room for
/// it; bounding their share keeps an outage from growing into a retry storm.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    tokens: u64,
    filled: Millis,
}

impl RetryBudget {
    /// Starts a budget with this many retries for each hundred first tries.
    #[must_use]
    pub fn new(percent: u32, now: Millis) -> Self {
        Self {
            percent: u64::from(percent),
            tokens: TRICKLE * RETRY,
            filled: now,
        }
    }

    /// Notes a first try.
    pub fn record_first_try(&mut self, now: Millis) {
        let trickle = now.since(self.filled).0.saturating_mul(TRICKLE * RETRY) / 1_000;
        if trickle > 0 {
            self.filled = now;
        }
        self.tokens = (self.tokens + self.percent)
            .saturating_add(trickle)
            .min(SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY) {
            Some(left) => {
                self.tokens = left;
                true
            }
            None => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Symptom: a short fault of one upstream becomes an overload of all.
    /// Sequence: every request fails and is tried again, three times.
    /// Cause: each request knew only its own bound on tries.
    #[test]
    fn spend_all_fail() {
        let mut budget = RetryBudget::new(20, Millis::ZERO);
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.record_first_try(Millis::ZERO);
            retries += u64::from(budget.try_spend());
        }
        assert_eq!(retries, 10_000 / 5 + TRICKLE);
    }

    #[test]
    fn earn_quiet_node() {
        let mut budget = RetryBudget::new(0, Millis::ZERO);
        while budget.try_spend() {}
        budget.record_first_try(Millis::from_secs(1));
        assert!(budget.try_spend());
    }
}
