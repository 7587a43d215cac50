//! Probes: orders that are sent again to learn whether their loads are complete.

use smallvec::SmallVec;

use super::Slots;
use super::slot::{Loading, OVERDUE_PROBE_INTERVAL, Slot};
use crate::clock::Millis;
use crate::direct::dialect::OrderOutcome;
use crate::direct::orders::message::LoadOutcome;
use crate::name::Name;

/// Delay of the first probe after the order.
///
/// A load from the engine's own memory takes a tenth of one from the weight store.
pub(super) const FIRST_PROBE_DELAY: Millis = Millis(45);

/// Time after which an unanswered probe is repeated: that of a connection and a response.
const PROBE_RETRY_DELAY: Millis = Millis(600);

/// Count of accepted orders up to which a further start of an engine may come unnoticed.
///
/// It counts from zero, and few orders reach it before its owner learns of it.
const LOW_SEQUENCE: u64 = 16;

/// Asks whether a load is complete, by sending the same order again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadProbe {
    /// `BASE/NAME`.
    pub adapter: Name,
    /// The version that was ordered; 0 stands for the newest at that time.
    pub version: u64,
    /// The count of accepted orders when the probe is sent.
    pub sequence: u64,
}

impl Slots {
    /// Returns the probes that are due, and schedules a repeat of each in case it gets no response.
    pub fn due_probes(&mut self, now: Millis) -> SmallVec<[LoadProbe; 4]> {
        let sequence = self.sequence;
        let start_seen_at = self.start_seen_at;
        let is_count_low = self.is_count_low();
        let mut probes = SmallVec::new();
        for (adapter, slot) in &mut self.by_adapter {
            let Slot::Loading(loading) = slot else {
                continue;
            };
            let is_safe = !is_count_low || loading.is_of_this_start(sequence, start_seen_at, now);
            if !is_safe || !loading.is_probed(now) || loading.next_probe > now {
                continue;
            }
            loading.next_probe = now + PROBE_RETRY_DELAY;
            probes.push(LoadProbe {
                adapter: Name::clone(adapter),
                version: loading.version,
                sequence,
            });
        }
        probes
    }

    /// Returns when the next probe is due.
    #[must_use]
    pub fn next_probe(&self, now: Millis) -> Option<Millis> {
        let probed = self
            .loads()
            .filter(|loading| loading.is_probed(now) && self.is_probe_safe(loading, now));
        probed.map(|loading| loading.next_probe).min()
    }

    /// Applies the response to a probe; returns false if the engine's status is needed to explain it.
    pub fn apply_probe(
        &mut self,
        probe: &LoadProbe,
        outcome: Option<OrderOutcome>,
        now: Millis,
    ) -> bool {
        let is_current = probe.sequence == self.sequence;
        let Some(Slot::Loading(loading)) = self.by_adapter.get_mut(&probe.adapter) else {
            return true;
        };
        // Another version was ordered since, and is probed separately.
        if loading.version != probe.version {
            return true;
        }
        match outcome {
            Some(OrderOutcome::Holds) => {
                self.complete_load(&probe.adapter, probe.version, now);
                true
            }
            Some(OrderOutcome::Fenced | OrderOutcome::Elsewhere) => {
                if let Some(Slot::Loading(loading)) = self.by_adapter.remove(&probe.adapter) {
                    loading.finish(LoadOutcome::Failed);
                }
                false
            }
            Some(OrderOutcome::Conflict) if is_current => {
                loading.next_probe = now + OVERDUE_PROBE_INTERVAL;
                false
            }
            Some(OrderOutcome::Conflict | OrderOutcome::Started | OrderOutcome::Refused) | None => {
                loading.next_probe = now + loading.probe_delay(now);
                true
            }
        }
    }

    /// Whether a load is only probed after a status that shows the engine's start.
    #[must_use]
    pub fn needs_start(&self, now: Millis) -> bool {
        self.loads()
            .any(|loading| loading.is_probed(now) && !self.is_probe_safe(loading, now))
    }

    /// Whether a probe can't take a slot that the engine doesn't have.
    fn is_probe_safe(&self, loading: &Loading, now: Millis) -> bool {
        !self.is_count_low() || loading.is_of_this_start(self.sequence, self.start_seen_at, now)
    }

    /// Whether a further start of the engine may be full and have reached the known count.
    ///
    /// A probe is an order. In a further start it begins the load anew if its number fits. A start
    /// with fewer orders than slots has room for it.
    fn is_count_low(&self) -> bool {
        let capacity = u64::try_from(self.capacity).unwrap_or(u64::MAX);
        (capacity..LOW_SEQUENCE).contains(&self.sequence)
    }
}
