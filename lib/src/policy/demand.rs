//! Estimates the demand for each adapter from the rate of its requests.
//!
//! Adapter popularity is skewed and shifts over time. A window with a long half-life
//! separates adapters in steady use from rare ones, a window with a short half-life detects
//! a newly popular adapter within seconds, and the time since the last request lowers the
//! estimate of an adapter whose requests have stopped. Memory is bounded, and idle adapters
//! are dropped. See docs/design/0002-decisions.md.

use std::collections::HashMap;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::request::Class;

/// Half-life of the window that identifies adapters in steady use.
const LONG_HALF_LIFE: Millis = Millis::from_secs(600);
/// Half-life of the window that detects newly popular adapters.
const SHORT_HALF_LIFE: Millis = Millis::from_secs(20);
/// Numerator of the rule of three: an adapter without a request for a time `t` has, with 95
/// % confidence, a request rate below `3 / t`.
const RULE_OF_THREE: f64 = 3.0;
/// Adapters with a lower count in the long window are dropped first when the table is full.
const MIN_RETAINED_COUNT: f64 = 0.05;

/// Returns the weight of a stall of this class relative to a stall of bulk work.
#[must_use]
pub const fn class_weight(class: Class) -> u32 {
    match class {
        Class::Urgent => 4,
        Class::Normal => 2,
        Class::Bulk => 1,
    }
}

/// Converts a time span to a float; the loss of precision doesn't matter for estimates.
#[expect(clippy::cast_precision_loss, reason = "an estimate")]
pub(super) const fn to_f64(span: Millis) -> f64 {
    span.0 as f64
}

/// Converts an estimated span back; values out of range saturate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(super) const fn to_millis(span: f64) -> Millis {
    Millis(span as u64)
}

/// An exponentially decaying count.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    value: f64,
    at: Millis,
}

impl DecayingCount {
    fn value(self, half_life: Millis, now: Millis) -> f64 {
        self.value * (-to_f64(now.since(self.at)) / to_f64(half_life)).exp2()
    }

    fn add(&mut self, amount: f64, half_life: Millis, now: Millis) {
        self.value = self.value(half_life, now) + amount;
        self.at = now;
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct AdapterDemand {
    long_window: DecayingCount,
    short_window: DecayingCount,
    last_request_at: Millis,
    last_weight: f64,
    passed_on_until: Millis,
}

impl AdapterDemand {
    /// Returns the request rate per millisecond, weighted by class.
    fn rate(&self, now: Millis) -> f64 {
        let long_window = self.long_window.value(LONG_HALF_LIFE, now) / to_f64(LONG_HALF_LIFE);
        // The last request is left out of the short window: one request says nothing about
        // popularity, and otherwise a scan over many adapters would make each of them look
        // popular for the length of the window.
        let repeated = (self.short_window.value(SHORT_HALF_LIFE, now) - self.last_weight).max(0.0);
        let rate = long_window.max(repeated / to_f64(SHORT_HALF_LIFE)) * std::f64::consts::LN_2;
        let idle = to_f64(now.since(self.last_request_at)).max(1.0);
        rate.min(RULE_OF_THREE * self.last_weight / idle)
    }
}

/// Demand for the adapters that were recently requested at one upstream.
#[derive(Debug)]
pub struct DemandForecast {
    records: HashMap<Adapter, AdapterDemand>,
    capacity: usize,
}

impl DemandForecast {
    /// Creates an empty forecast that tracks at most `capacity` adapters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            capacity: capacity.max(2),
        }
    }

    /// Counts a request, including one that is refused or passed on afterwards.
    pub fn record(&mut self, adapter: &Adapter, class: Class, now: Millis) {
        if !self.records.contains_key(adapter) {
            self.make_room(now);
            self.records
                .insert(adapter.clone(), AdapterDemand::default());
        }
        if let Some(record) = self.records.get_mut(adapter) {
            let weight = f64::from(class_weight(class));
            record.long_window.add(weight, LONG_HALF_LIFE, now);
            record.short_window.add(weight, SHORT_HALF_LIFE, now);
            record.last_request_at = now;
            record.last_weight = weight;
        }
    }

    /// Copies the demand for `old` to `new`, an adapter that is about to replace it.
    pub fn inherit(&mut self, old: &Adapter, new: &Adapter, now: Millis) {
        if self.records.contains_key(new) {
            return;
        }
        if let Some(record) = self.records.get(old).copied() {
            self.make_room(now);
            self.records.insert(new.clone(), record);
        }
    }

    /// Returns the demand for an adapter in requests per millisecond, weighted by class.
    #[must_use]
    pub fn rate(&self, adapter: &Adapter, now: Millis) -> f64 {
        self.records
            .get(adapter)
            .map_or(0.0, |record| record.rate(now))
    }

    /// Records that requests for the adapter are passed on to other upstreams until this
    /// time.
    pub fn mark_passed_on(&mut self, adapter: &Adapter, until: Millis) {
        if let Some(record) = self.records.get_mut(adapter) {
            record.passed_on_until = until;
        }
    }

    /// Returns whether requests for the adapter are currently passed on.
    #[must_use]
    pub fn is_passed_on(&self, adapter: &Adapter, now: Millis) -> bool {
        self.records
            .get(adapter)
            .is_some_and(|record| now < record.passed_on_until)
    }

    /// Returns the number of tracked adapters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no adapter is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops adapters with a low count, and the lower half if that doesn't free enough
    /// room.
    ///
    /// Dropping many adapters at once keeps the amortized cost of a request constant.
    fn make_room(&mut self, now: Millis) {
        if self.records.len() < self.capacity {
            return;
        }
        self.records.retain(|_, record| {
            record.long_window.value(LONG_HALF_LIFE, now) >= MIN_RETAINED_COUNT
        });
        if self.records.len() <= self.capacity / 2 {
            return;
        }
        let mut rates: Vec<f64> = self
            .records
            .values()
            .map(|record| record.long_window.value(LONG_HALF_LIFE, now))
            .collect();
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        self.records
            .retain(|_, record| record.long_window.value(LONG_HALF_LIFE, now) > median);
    }
}
