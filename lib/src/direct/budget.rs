//! This node's share of the retry budget of all nodes.
//!
//! The budget limits the retries of all nodes together in any window. The part that is
//! proportional to requests adds up over the nodes; the fixed part is divided among them.
//!
//! A process that starts doesn't know what the node's previous process used in the window, nor
//! yet how many nodes there are. So until it has run for a window, it uses only the fraction of the
//! fixed part that the previous process has left, in proportion to its age. Besides, each process
//! may make one retry in a window, whatever its share. See docs/design/0015-retry-budget.md.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::limits::{RetryLimits, SharedLimits};
use crate::clock::Millis;
use crate::name::Name;

/// Fraction of the budget that is used.
///
/// The requests that an upstream sees within a window differ from those that this node counts by
/// the requests in flight and by those of nodes that ended within the window.
const USED_FRACTION: f64 = 0.7;

/// Length of a bucket of the sliding window.
const BUCKET_LENGTH: Millis = Millis(500);

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// What a pool's budget holds at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries that this node may make in the window.
    pub limit: f64,
}

impl Usage {
    /// Whether there is room for this number of further retries.
    #[must_use]
    pub fn has_room(&self, retries: u32) -> bool {
        f64::from(self.retries) + f64::from(retries) <= self.limit
    }
}

/// Counts requests and retries per pool in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Arc<SharedLimits>,
    /// When this process started, if another one of the same node may have run before.
    restarted_at: Option<Millis>,
    buckets: HashMap<Name, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget with nothing counted.
    ///
    /// `restarted_at` is when this process started, if another one of the same node may have run
    /// before.
    #[must_use]
    pub fn new(limits: Arc<SharedLimits>, restarted_at: Option<Millis>) -> Self {
        Self {
            limits,
            restarted_at,
            buckets: HashMap::new(),
        }
    }

    /// Counts a request to a pool.
    pub fn record_request(&mut self, pool: &Name, now: Millis) {
        self.current_bucket(pool, now).requests += 1;
    }

    /// Counts a retry without checking the budget.
    pub fn record_retry(&mut self, pool: &Name, now: Millis) {
        self.current_bucket(pool, now).retries += 1;
    }

    /// Takes back a retry that was counted at `counted_at`.
    pub fn return_retry(&mut self, pool: &Name, counted_at: Millis) {
        let number = counted_at.0 / BUCKET_LENGTH.0;
        let buckets = self.buckets.get_mut(pool);
        let mut buckets = buckets.into_iter().flatten();
        if let Some(bucket) = buckets.find(|bucket| bucket.number == number) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn try_retry(&mut self, pool: &Name, now: Millis, nodes: usize) -> bool {
        let allowed = self.usage(pool, now, nodes).has_room(1);
        if allowed {
            self.record_retry(pool, now);
        }
        allowed
    }

    /// Returns what the pool's budget holds now.
    pub fn usage(&mut self, pool: &Name, now: Millis, nodes: usize) -> Usage {
        let RetryLimits {
            ratio,
            extra,
            window,
        } = self.limits.get().retries;
        self.current_bucket(pool, now);
        let buckets = &self.buckets[pool];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        #[allow(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let share = f64::from(extra) / nodes.max(1) as f64;
        let fixed = self.fixed_fraction(window, now) * share;
        let limit = USED_FRACTION * ratio * f64::from(requests) + fixed;
        Usage {
            requests,
            retries,
            limit: limit.max(1.0),
        }
    }

    /// Returns the fraction of the node's share of the fixed part that this process may use.
    fn fixed_fraction(&self, window: Millis, now: Millis) -> f64 {
        let age = self.restarted_at.map_or(window, |at| now.since(at));
        if age >= window {
            return USED_FRACTION;
        }
        #[allow(clippy::cast_precision_loss, reason = "a few seconds")]
        let elapsed = age.0 as f64 / window.0 as f64;
        (1.0 - USED_FRACTION) * elapsed
    }

    fn current_bucket(&mut self, pool: &Name, now: Millis) -> &mut Bucket {
        let number = now.0 / BUCKET_LENGTH.0;
        let kept = self.limits.get().retries.window.0 / BUCKET_LENGTH.0;
        let buckets = self.buckets.entry(Name::clone(pool)).or_default();
        while buckets
            .front()
            .is_some_and(|bucket| bucket.number + kept < number)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.number < number) {
            buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        buckets.back_mut().expect("a bucket was pushed above")
    }
}
