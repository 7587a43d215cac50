//! Orders that got no response and may still be executed.
//!
//! An engine executes a late order if the order's number equals the engine's count of accepted
//! orders at that moment, whatever the engine holds by then. An order whose number is higher than
//! the engine's count is therefore not harmless: it waits for the count to get there. Each such
//! load takes a slot that nothing else may use. See docs/design/0013-evidence-of-loads.md.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::name::Name;

/// How long an engine may still execute an order that got no response.
pub const LATE_ORDER_WINDOW: Millis = Millis(12_500);

/// A load order without a response.
#[derive(Debug)]
struct UnansweredLoad {
    sequence: u64,
    adapter: Name,
    until: Millis,
}

/// The load orders that an engine may still execute.
#[derive(Debug, Default)]
pub struct UnansweredLoads {
    loads: Vec<UnansweredLoad>,
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

    /// Drops the loads that the engine can no longer execute.
    ///
    /// `confirmed_sequence` is the number of orders that the engine has certainly accepted. With
    /// a number that is only assumed, loads would be dropped that the engine still executes.
    pub fn retain_executable(&mut self, confirmed_sequence: u64, now: Millis) {
        self.loads
            .retain(|load| load.until > now && load.sequence >= confirmed_sequence);
    }

    /// Returns how many slots the loads may take, apart from adapters that `has_slot` names.
    ///
    /// Of the loads with the same number, the engine executes at most one.
    pub fn count_slots(&self, has_slot: impl Fn(&str) -> bool) -> usize {
        let others = self.loads.iter().filter(|load| !has_slot(&load.adapter));
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
