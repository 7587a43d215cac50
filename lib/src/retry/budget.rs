//! Limit on the retries of a node.

use crate::clock::Millis;

/// Tokens that one retry costs; a first try earns as many tokens as the budget's percentage.
const RETRY_COST: u64 = 100;

/// Tokens that a node may accumulate: 100 retries.
const MAX_TOKENS: u64 = 100 * RETRY_COST;

/// Retries per second that are allowed regardless of the number of first tries.
///
/// Without them the first failure on a node with little traffic could never be retried.
const MIN_RETRIES_PER_SECOND: u64 = 5;

/// A token bucket that limits retries to a percentage of first tries.
///
/// During an outage each retry adds load when capacity is lowest. Limiting
/// their share keeps the outage from growing into a retry storm.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    tokens: u64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget with `percent` retries for each hundred first tries.
    #[must_use]
    pub fn new(percent: u32, now: Millis) -> Self {
        Self {
            percent: u64::from(percent),
            tokens: MIN_RETRIES_PER_SECOND * RETRY_COST,
            refilled_at: now,
        }
    }

    /// Records a first try, which adds tokens to the budget.
    pub fn record_first_try(&mut self, now: Millis) {
        let refill = now
            .since(self.refilled_at)
            .0
            .saturating_mul(MIN_RETRIES_PER_SECOND * RETRY_COST)
            / 1_000;
        if refill > 0 {
            self.refilled_at = now;
        }
        self.tokens = (self.tokens + self.percent)
            .saturating_add(refill)
            .min(MAX_TOKENS);
    }

    /// Takes the tokens for one retry; returns whether there were enough.
    pub fn try_spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
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

    /// A short failure of one upstream must not overload all others: with only a limit per
    /// request, every request would be retried three times.
    #[test]
    fn try_spend_bounds_retries() {
        let mut budget = RetryBudget::new(20, Millis::ZERO);
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.record_first_try(Millis::ZERO);
            retries += u64::from(budget.try_spend());
        }
        assert_eq!(retries, 10_000 / 5 + MIN_RETRIES_PER_SECOND);
    }

    #[test]
    fn first_try_refills_quiet_node() {
        let mut budget = RetryBudget::new(0, Millis::ZERO);
        while budget.try_spend() {}
        budget.record_first_try(Millis::from_secs(1));
        assert!(budget.try_spend());
    }
}
