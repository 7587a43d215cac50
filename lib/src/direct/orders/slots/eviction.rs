//! Unloads whose outcome isn't known.
//!
//! An unload without a response may have been executed, may still be executed within
//! [`LATE_ORDER_WINDOW`], or may be lost. A status with the same count of orders ends this doubt
//! only if it describes a moment after the order was sent. See
//! docs/design/0013-evidence-of-loads.md.

use std::collections::BTreeMap;

use super::{MAX_STATUS_AGE, STATUS_INTERVAL};
use crate::clock::Millis;
use crate::direct::orders::unanswered::LATE_ORDER_WINDOW;
use crate::name::Name;

/// An unload that was ordered and isn't known to be done, refused or lost.
#[derive(Debug)]
struct Eviction {
    /// The number of the order.
    sequence: u64,
    sent_at: Millis,
    /// Whether the adapter was found at the engine after the order was sent.
    is_present: bool,
    /// Whether it was ordered before, without a known outcome.
    is_repeated: bool,
}

impl Eviction {
    /// Whether a status requested at `now` describes a moment after the order was sent.
    fn is_followed(&self, now: Millis) -> bool {
        now >= self.sent_at + MAX_STATUS_AGE
    }

    /// Whether a status requested at `now` describes a moment at which the order can no longer be
    /// executed.
    fn is_expired(&self, now: Millis) -> bool {
        now >= self.sent_at + LATE_ORDER_WINDOW + MAX_STATUS_AGE
    }

    fn needs_status(&self, now: Millis, last_status_at: Millis) -> bool {
        if self.is_present {
            return now.since(last_status_at) >= STATUS_INTERVAL;
        }
        self.is_followed(now) && !self.is_followed(last_status_at)
    }
}

/// The unloads of an engine whose outcome isn't known, by adapter.
#[derive(Debug, Default)]
pub(super) struct Evictions {
    by_adapter: BTreeMap<Name, Eviction>,
}

impl Evictions {
    /// Records that an unload with the number `sequence` is about to be sent.
    pub(super) fn begin(&mut self, adapter: Name, sequence: u64, now: Millis) {
        let eviction = Eviction {
            sequence,
            sent_at: now,
            is_present: false,
            is_repeated: self.by_adapter.contains_key(&adapter),
        };
        self.by_adapter.insert(adapter, eviction);
    }

    /// Records that an unload was refused or not sent; an earlier one may still be executed.
    pub(super) fn cancel(&mut self, adapter: &str) {
        let is_repeated = |eviction: &Eviction| eviction.is_repeated;
        if !self.by_adapter.get(adapter).is_some_and(is_repeated) {
            self.by_adapter.remove(adapter);
        }
    }

    /// Records that the engine answered an unload.
    pub(super) fn end(&mut self, adapter: &str) {
        self.by_adapter.remove(adapter);
    }

    /// Whether it isn't known if the engine still holds an adapter.
    pub(super) fn is_uncertain(&self, adapter: &str) -> bool {
        let eviction = self.by_adapter.get(adapter);
        eviction.is_some_and(|eviction| !eviction.is_present)
    }

    /// Records that the engine was found to hold an adapter.
    pub(super) fn record_present(&mut self, adapter: &str) {
        if let Some(eviction) = self.by_adapter.get_mut(adapter) {
            eviction.is_present = true;
        }
    }

    /// Drops the unloads whose numbers the engine's count of accepted orders has passed.
    pub(super) fn apply_count(&mut self, confirmed_sequence: u64) {
        self.by_adapter
            .retain(|_, eviction| eviction.sequence >= confirmed_sequence);
    }

    /// Applies a status that counts `sequence` orders and was merged into the slots.
    ///
    /// `has_slot` tells which adapters the status left there.
    pub(super) fn apply_status(
        &mut self,
        sequence: u64,
        requested_at: Millis,
        has_slot: impl Fn(&str) -> bool,
    ) {
        self.by_adapter.retain(|adapter, eviction| {
            let is_held = has_slot(adapter);
            let is_settled = eviction.sequence < sequence || eviction.is_expired(requested_at);
            let is_found = eviction.is_followed(requested_at) || is_settled;
            if !eviction.is_present && (!is_held || is_found) {
                log::info!(adapter = &**adapter, held = is_held; "orders: unload without an answer");
            }
            eviction.is_present |= is_found;
            is_held && !is_settled
        });
    }

    /// Whether a status is needed to learn what became of an unload.
    ///
    /// An adapter that is present may go for as long as its unload may be executed. Requests would
    /// be rejected by the engine until that is noticed, so the engine is asked regularly.
    pub(super) fn needs_status(&self, now: Millis, last_status_at: Millis) -> bool {
        let mut evictions = self.by_adapter.values();
        evictions.any(|eviction| eviction.needs_status(now, last_status_at))
    }
}
