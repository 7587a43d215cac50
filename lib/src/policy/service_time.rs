//! How fast an upstream works, and how many requests it should run at a time.
//!
//! Estimates come from the owner's own running requests. See
//! docs/design/0002-decisions.md.

use crate::clock::Millis;
use crate::policy::demand::{to_f64, to_millis};
use crate::request::Class;

/// Weight of the newest sample in a running mean.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Share of urgent requests that may find no free place under overload.
const MAX_URGENT_BLOCKED_SHARE: f64 = 0.01;
/// Below this share of urgent requests no place is kept for them.
const MIN_URGENT_SHARE: f64 = 0.001;
/// At most one in so many places is kept for urgent requests.
const MAX_RESERVE_DIVISOR: u32 = 4;
/// Longest time that bulk work is held to start together, at full batch weight.
const MAX_BATCH_DELAY: Millis = Millis::from_secs(15);

/// A mean that follows its newest samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.0 = Some(match self.0 {
            None => sample,
            Some(mean) => mean + (sample - mean) * SMOOTHING_FACTOR,
        });
    }

    /// Returns the mean, or `otherwise` before the first sample.
    #[must_use]
    pub fn or(self, otherwise: f64) -> f64 {
        self.0.unwrap_or(otherwise)
    }
}

/// The pace of one upstream.
#[derive(Debug, Clone, Default)]
pub struct ServiceEstimator {
    time_per_cost: MovingAverage,
    cost: MovingAverage,
    load_wait: MovingAverage,
    /// Share of urgent requests among those that started.
    urgent_share: MovingAverage,
}

impl ServiceEstimator {
    /// Takes in a request that ran whole.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn record_completed(&mut self, cost: u64, took: Millis) {
        self.time_per_cost.add(to_f64(took) / (cost.max(1) as f64));
        self.cost.add(cost as f64);
    }

    /// Takes in that a request of this class has started.
    pub fn record_started(&mut self, class: Class) {
        let urgent_share = class == Class::Urgent;
        self.urgent_share.add(f64::from(u8::from(urgent_share)));
    }

    /// Returns how many requests may run before this class must wait.
    ///
    /// Places stay free for urgent requests, so that one doesn't wait for
    /// another's answer to end. Under overload a place comes free at the rate
    /// of starts, and urgent requests take the share `s` of them, so all of `k`
    /// free places are taken a share `s^k` of the time.
    #[must_use]
    pub fn max_running(&self, batch: u32, class: Class) -> u32 {
        let share = self.urgent_share.or(0.0);
        if class == Class::Urgent || share < MIN_URGENT_SHARE {
            return batch;
        }
        let most = batch / MAX_RESERVE_DIVISOR;
        let wanted = (1..most).find(|k| share.powf(f64::from(*k)) < MAX_URGENT_BLOCKED_SHARE);
        batch - wanted.unwrap_or(most)
    }

    /// Takes in how long a request waited for its adapter.
    pub fn record_load_wait(&mut self, wait: Millis) {
        self.load_wait.add(to_f64(wait));
    }

    /// Returns how long a request of this cost runs; zero before the first has run.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn service_time(&self, cost: u64) -> Millis {
        to_millis(self.time_per_cost.or(0.0) * cost as f64)
    }

    /// Returns how long it takes to get through work of this cost with a full batch.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn backlog_time(&self, cost: u64, batch: u32) -> Millis {
        let ahead = cost as f64 + self.cost.or(0.0);
        to_millis(self.time_per_cost.or(0.0) * ahead / f64::from(batch.max(1)))
    }

    /// Returns how long requests have lately waited for a load.
    #[must_use]
    pub fn load_wait(&self, load_time: Millis) -> Millis {
        to_millis(self.load_wait.or(to_f64(load_time))).max(load_time)
    }
}

/// Returns how long bulk work may be held so that more of it starts together.
///
/// Nothing is held at batch weight 0.
#[must_use]
pub fn max_batch_delay(batch_weight: u32, left: Millis) -> Millis {
    let weight = u64::from(batch_weight.min(100));
    Millis(left.0 / 8).min(Millis(MAX_BATCH_DELAY.0 * weight / 100))
}

/// Returns how many requests make a batch that isn't held any longer.
#[must_use]
pub fn full_batch_size(batch: u32, batch_weight: u32) -> u32 {
    (batch * batch_weight.min(100)).div_ceil(100).max(1)
}
