//! Estimates how long requests take at an upstream and how many it should run at a time.
//!
//! The estimates are based on the requests that the upstream's owner runs itself. See
//! docs/design/0002-decisions.md.

use crate::clock::Millis;
use crate::policy::demand::{to_f64, to_millis};
use crate::request::Class;

/// Weight of the newest sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Target for the share of urgent requests that find no free slot under overload.
const MAX_URGENT_BLOCKED_SHARE: f64 = 0.01;
/// No slots are reserved while the share of urgent requests is below this.
const MIN_URGENT_SHARE: f64 = 0.001;
/// At most one in this many slots is reserved for urgent requests.
const MAX_RESERVE_DIVISOR: u32 = 4;
/// Longest time for which bulk work is delayed to form a batch, at batch weight 100.
const MAX_BATCH_DELAY: Millis = Millis::from_secs(15);

/// An exponential moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.0 = Some(match self.0 {
            None => sample,
            Some(mean) => mean + (sample - mean) * SMOOTHING_FACTOR,
        });
    }

    /// Returns the average, or `otherwise` before the first sample.
    #[must_use]
    pub fn or(self, otherwise: f64) -> f64 {
        self.0.unwrap_or(otherwise)
    }
}

/// Estimates service and waiting times of one upstream.
#[derive(Debug, Clone, Default)]
pub struct ServiceEstimator {
    time_per_cost: MovingAverage,
    cost: MovingAverage,
    load_wait: MovingAverage,
    /// Share of urgent requests among all started requests.
    urgent_share: MovingAverage,
}

impl ServiceEstimator {
    /// Records a request that ran to completion.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn record_completed(&mut self, cost: u64, took: Millis) {
        self.time_per_cost.add(to_f64(took) / (cost.max(1) as f64));
        self.cost.add(cost as f64);
    }

    /// Records the start of a request of this class.
    pub fn record_started(&mut self, class: Class) {
        let is_urgent = class == Class::Urgent;
        self.urgent_share.add(f64::from(u8::from(is_urgent)));
    }

    /// Returns how many requests may run before requests of this class have to wait.
    ///
    /// Some slots are reserved for urgent requests, so that an urgent request doesn't wait
    /// until the response of another one ends. Under overload, slots become free at the
    /// rate at which requests start, and a share `s` of them is taken by urgent requests,
    /// so that all `k` reserved slots are taken for a share `s^k` of the time.
    #[must_use]
    pub fn max_running(&self, batch: u32, class: Class) -> u32 {
        let share = self.urgent_share.or(0.0);
        if class == Class::Urgent || share < MIN_URGENT_SHARE {
            return batch;
        }
        let max_reserved = batch / MAX_RESERVE_DIVISOR;
        let reserved =
            (1..max_reserved).find(|k| share.powf(f64::from(*k)) < MAX_URGENT_BLOCKED_SHARE);
        batch - reserved.unwrap_or(max_reserved)
    }

    /// Records how long a request waited for its adapter to load.
    pub fn record_load_wait(&mut self, wait: Millis) {
        self.load_wait.add(to_f64(wait));
    }

    /// Returns the estimated run time of a request of this cost; zero before any request
    /// has completed.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn service_time(&self, cost: u64) -> Millis {
        to_millis(self.time_per_cost.or(0.0) * cost as f64)
    }

    /// Returns the estimated time to work off a backlog of this cost with a full batch.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn backlog_time(&self, cost: u64, batch: u32) -> Millis {
        let total = cost as f64 + self.cost.or(0.0);
        to_millis(self.time_per_cost.or(0.0) * total / f64::from(batch.max(1)))
    }

    /// Returns the recent average wait for a load, at least `load_time`.
    #[must_use]
    pub fn load_wait(&self, load_time: Millis) -> Millis {
        to_millis(self.load_wait.or(to_f64(load_time))).max(load_time)
    }
}

/// Returns how long bulk work may be delayed to form a batch, given the time left to its
/// deadline.
///
/// There is no delay at batch weight 0.
#[must_use]
pub fn max_batch_delay(batch_weight: u32, left: Millis) -> Millis {
    let weight = u64::from(batch_weight.min(100));
    Millis(left.0 / 8).min(Millis(MAX_BATCH_DELAY.0 * weight / 100))
}

/// Returns the number of ready requests from which a batch isn't delayed any longer.
#[must_use]
pub fn full_batch_size(batch: u32, batch_weight: u32) -> u32 {
    (batch * batch_weight.min(100)).div_ceil(100).max(1)
}
