//! Prefetches adapters before a change of templates, so that the switch causes no stall.

use super::load::{MIN_PREFETCH_DEMAND, expected_stall_savings};
use super::{Action, Demand, Machine, PendingPermit};
use crate::adapter::Adapter;
use crate::clock::Millis;

impl Machine {
    /// Handles the announcement that templates will switch from one adapter to another.
    ///
    /// If the old adapter is resident and in demand here, the new one is requested with the
    /// weight store's spare capacity. Its load may only evict an adapter in less demand
    /// than the old one, which itself stays until the switch.
    #[must_use]
    pub fn prefetch_replacement(
        &mut self,
        old: &Adapter,
        new: &Adapter,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let wanted = self.slots.is_resident(old) && self.slots.state(new).is_none();
        if wanted && self.forecast.rate(old, now) >= MIN_PREFETCH_DEMAND {
            self.forecast.inherit(old, new, now);
            self.prefetches.insert(new.clone());
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Requests the loads of adapters that templates will switch to soon.
    pub(super) fn request_prefetches(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let loadable: Vec<Adapter> = self
            .prefetches
            .iter()
            .filter(|adapter| self.slots.state(adapter).is_none())
            .filter(|adapter| !self.pending_permits.contains_key(adapter))
            .filter(|adapter| {
                self.slots
                    .retry_at(adapter)
                    .is_none_or(|until| until <= now)
            })
            .cloned()
            .collect();
        for adapter in loadable {
            let demand = Demand {
                class: None,
                waiters: 0,
                weight: 0,
                waited: Millis::ZERO,
                stall_savings: expected_stall_savings(self.forecast.rate(&adapter, now)),
            };
            self.pending_permits.insert(
                adapter.clone(),
                PendingPermit {
                    requested_at: now,
                    demand,
                },
            );
            actions.push(Action::RequestPermit { adapter, demand });
        }
    }

    /// Returns the adapter that may be evicted for a prefetch: only for an announced
    /// switch, and only one in less demand.
    pub(super) fn prefetch_victim(&self, adapter: &Adapter, now: Millis) -> Option<Adapter> {
        let demand = self.forecast.rate(adapter, now);
        let victim = self
            .victim(now)
            .filter(|(_, victim_demand)| *victim_demand < demand);
        victim
            .filter(|_| self.prefetches.contains(adapter))
            .map(|(victim, _)| victim)
    }
}
