//! How fast an upstream works, and how many requests it should run at a time.
//!
//! Estimates come from the owner's own running requests. See
//! docs/design/0002-decisions.md.

use crate::clock::Millis;
use crate::policy::demand::{float, millis};
use crate::request::Class;

/// Weight of the newest sample in a running mean.
const NEWEST: f64 = 0.05;
/// A sixteenth of the batch is kept for each more urgent class.
const RESERVE_SHARE: u32 = 16;
/// Longest time that bulk work is held to start together, at full batch weight.
const MAX_HOLD: Millis = Millis::from_secs(8);

/// A mean that follows its newest samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean(Option<f64>);

impl Mean {
    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.0 = Some(match self.0 {
            None => sample,
            Some(mean) => mean + (sample - mean) * NEWEST,
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
pub struct Pace {
    per_cost: Mean,
    cost: Mean,
    load_wait: Mean,
}

impl Pace {
    /// Takes in a request that ran whole.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn ran(&mut self, cost: u64, took: Millis) {
        self.per_cost.add(float(took) / (cost.max(1) as f64));
        self.cost.add(cost as f64);
    }

    /// Takes in how long a request waited for its adapter.
    pub fn waited_for_load(&mut self, wait: Millis) {
        self.load_wait.add(float(wait));
    }

    /// Returns how long a request of this cost runs; zero before the first has run.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn service(&self, cost: u64) -> Millis {
        millis(self.per_cost.or(0.0) * cost as f64)
    }

    /// Returns how long it takes to get through work of this cost with a full batch.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn backlog(&self, cost: u64, batch: u32) -> Millis {
        let ahead = cost as f64 + self.cost.or(0.0);
        millis(self.per_cost.or(0.0) * ahead / f64::from(batch.max(1)))
    }

    /// Returns how long requests have lately waited for a load.
    #[must_use]
    pub fn load_wait(&self, load_time: Millis) -> Millis {
        millis(self.load_wait.or(float(load_time))).max(load_time)
    }
}

/// Returns how many requests may run before this class must wait.
///
/// Some places stay free for more urgent classes while such requests come, so
/// that an urgent request doesn't wait for a long bulk answer to end.
#[must_use]
pub fn places(batch: u32, class: Class, urgent_comes: bool) -> u32 {
    if !urgent_comes || batch < 4 {
        return batch;
    }
    let step = batch.div_ceil(RESERVE_SHARE);
    batch.saturating_sub(step * class as u32).max(1)
}

/// Returns how long bulk work may be held so that more of it starts together.
///
/// Nothing is held at batch weight 0, nor while the engine runs anyway.
#[must_use]
pub fn hold(batch_weight: u32, left: Millis) -> Millis {
    let weight = u64::from(batch_weight.min(100));
    Millis(left.0 / 4).min(Millis(MAX_HOLD.0 * weight / 100))
}
