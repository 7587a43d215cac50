//! Demand for each adapter: how often it is requested, of late and over a longer time.
//!
//! Popularity is skewed and shifts. A long window tells a steady adapter from a
//! rare one; a short window notices a newly popular one within seconds; the time
//! since the last request lowers one whose requests have ended. Memory is bounded and
//! an adapter that falls idle is forgotten. See docs/design/0002-decisions.md.

use std::collections::HashMap;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::request::Class;

/// Half-life of the window that knows steady adapters.
const LONG_HALF_LIFE: Millis = Millis::from_secs(600);
/// Half-life of the window that notices a newly popular adapter.
const SHORT_HALF_LIFE: Millis = Millis::from_secs(20);
/// An adapter without a request for a span `t` has, with 95 % confidence, a rate below `3 / t`.
const RULE_OF_THREE: f64 = 3.0;
/// Below this many requests in the long window an adapter is forgotten when room is needed.
const MIN_RETAINED_COUNT: f64 = 0.05;

/// Returns how much a stall of this class weighs against one of bulk.
#[must_use]
pub const fn class_weight(class: Class) -> u32 {
    match class {
        Class::Urgent => 4,
        Class::Normal => 2,
        Class::Bulk => 1,
    }
}

/// Converts a span for estimates, where the last bits don't matter.
#[expect(clippy::cast_precision_loss, reason = "an estimate")]
pub(super) const fn to_f64(span: Millis) -> f64 {
    span.0 as f64
}

/// Converts an estimate back; what can't be represented saturates.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(super) const fn to_millis(span: f64) -> Millis {
    Millis(span as u64)
}

/// A count whose old parts fade.
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
    /// Requests a millisecond, each times its class's factor.
    fn rate(&self, now: Millis) -> f64 {
        let long_window = self.long_window.value(LONG_HALF_LIFE, now) / to_f64(LONG_HALF_LIFE);
        // A single request says nothing about its popularity, so it is left out:
        // else each adapter of a scan would look hot for the length of the window.
        let repeated = (self.short_window.value(SHORT_HALF_LIFE, now) - self.last_weight).max(0.0);
        let rate = long_window.max(repeated / to_f64(SHORT_HALF_LIFE)) * std::f64::consts::LN_2;
        let idle = to_f64(now.since(self.last_request_at)).max(1.0);
        rate.min(RULE_OF_THREE * self.last_weight / idle)
    }
}

/// Demand for the adapters that one upstream was asked for of late.
#[derive(Debug)]
pub struct DemandForecast {
    records: HashMap<Adapter, AdapterDemand>,
    capacity: usize,
}

impl DemandForecast {
    /// Starts with no memory of more than `capacity` adapters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            capacity: capacity.max(2),
        }
    }

    /// Counts a request, also one that is then refused or passed on.
    pub fn record(&mut self, adapter: &Adapter, class: Class, now: Millis) {
        if !self.records.contains_key(adapter) {
            self.make_room(now);
            self.records
                .insert(adapter.clone(), AdapterDemand::default());
        }
        if let Some(record) = self.records.get_mut(adapter) {
            let amount = f64::from(class_weight(class));
            record.long_window.add(amount, LONG_HALF_LIFE, now);
            record.short_window.add(amount, SHORT_HALF_LIFE, now);
            record.last_request_at = now;
            record.last_weight = amount;
        }
    }

    /// Takes the demand for one adapter to be the demand for another, which takes its place.
    pub fn inherit(&mut self, old: &Adapter, new: &Adapter, now: Millis) {
        if self.records.contains_key(new) {
            return;
        }
        if let Some(record) = self.records.get(old).copied() {
            self.make_room(now);
            self.records.insert(new.clone(), record);
        }
    }

    /// Returns the demand: requests a millisecond, each times its class's factor.
    #[must_use]
    pub fn rate(&self, adapter: &Adapter, now: Millis) -> f64 {
        self.records
            .get(adapter)
            .map_or(0.0, |record| record.rate(now))
    }

    /// Notes that the adapter's requests are passed on until then.
    pub fn mark_passed_on(&mut self, adapter: &Adapter, until: Millis) {
        if let Some(record) = self.records.get_mut(adapter) {
            record.passed_on_until = until;
        }
    }

    /// Returns whether the adapter's requests were passed on a short while ago.
    #[must_use]
    pub fn is_passed_on(&self, adapter: &Adapter, now: Millis) -> bool {
        self.records
            .get(adapter)
            .is_some_and(|record| now < record.passed_on_until)
    }

    /// Returns how many adapters are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets faint records, and if that isn't enough the fainter half.
    ///
    /// Forgetting many at once makes the cost of one request constant on average.
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
        let middle = rates[rates.len() / 2];
        self.records
            .retain(|_, record| record.long_window.value(LONG_HALF_LIFE, now) > middle);
    }
}
