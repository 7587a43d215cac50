//! Orders that got no response and may still be executed.
//!
//! An engine executes a late order if the order's number equals the engine's count of accepted
//! orders at that moment, whatever the engine holds by then. An order whose number is higher than
//! the engine's count is therefore not harmless: it waits for the count to get there. Each such
//! load takes a slot that nothing else may use. See docs/design/0013-evidence-of-loads.md.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use crate::clock::Millis;
use crate::name::Name;

/// How long an engine may still execute an order that got no response.
pub const LATE_ORDER_WINDOW: Millis = Millis(12_500);

/// The unanswered loads of one engine name, which outlive the controller of each of its starts.
pub type SharedLoads = Arc<Mutex<UnansweredLoads>>;

/// A load order without a response.
#[derive(Debug)]
struct UnansweredLoad {
    sequence: u64,
    adapter: Name,
    until: Millis,
}

/// The load orders that an engine may still execute.
///
/// They are kept until their time is over, also once the engine's count has passed their numbers:
/// an engine that starts again under its name counts from zero, and executes orders that were sent
/// to its former start.
#[derive(Debug, Default)]
pub struct UnansweredLoads {
    loads: Vec<UnansweredLoad>,
    /// How many orders the engine has certainly accepted since its last known start.
    confirmed_sequence: u64,
}

impl UnansweredLoads {
    /// Records that a load with the number `sequence`, sent at `now`, got no response.
    pub fn record(&mut self, sequence: u64, adapter: Name, now: Millis) {
        self.loads.push(UnansweredLoad {
            sequence,
            adapter,
            until: now + LATE_ORDER_WINDOW,
        });
    }

    /// Removes a load that the engine answered, or that wasn't sent.
    pub fn forget(&mut self, sequence: u64, adapter: &str) {
        let is_same =
            |load: &UnansweredLoad| load.sequence == sequence && *load.adapter == *adapter;
        if let Some(last) = self.loads.iter().rposition(is_same) {
            self.loads.remove(last);
        }
    }

    /// Drops the loads whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.loads.retain(|load| load.until > now);
    }

    /// Drops the loads that the engine can no longer execute, and leaves those aside that it can
    /// execute only after another start.
    ///
    /// `confirmed_sequence` is the number of orders that the engine has certainly accepted. With
    /// a number that is only assumed, loads would be left aside that the engine still executes.
    pub fn retain_executable(&mut self, confirmed_sequence: u64, now: Millis) {
        self.confirmed_sequence = confirmed_sequence;
        self.expire(now);
    }

    /// Returns how many slots the loads may take, apart from adapters that `has_slot` names.
    ///
    /// Of the loads with the same number, the engine executes at most one.
    pub fn count_slots(&self, has_slot: impl Fn(&str) -> bool) -> usize {
        let executable = self.loads.iter();
        let executable = executable.filter(|load| load.sequence >= self.confirmed_sequence);
        let others = executable.filter(|load| !has_slot(&load.adapter));
        let numbers: BTreeSet<u64> = others.map(|load| load.sequence).collect();
        numbers.len()
    }

    /// Returns the number of loads.
    #[must_use]
    pub fn len(&self) -> usize {
        self.loads.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }
}
