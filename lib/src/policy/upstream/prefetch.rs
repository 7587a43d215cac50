//! Loads ahead of a change of templates, so that the switch brings no stall.

use super::load::{PREFETCH_DEMAND, expected_stall_savings};
use super::{Action, Demand, Machine, PendingPermit};
use crate::adapter::Adapter;
use crate::clock::Millis;

impl Machine {
    /// Templates are about to move from one adapter to another.
    ///
    /// If the old one is resident and in demand here, the new one is asked for
    /// with what the weight store has to spare. Its permit may evict only what is
    /// in less demand than the old one, which itself stays until the switch.
    #[must_use]
    pub fn prefetch_replacement(
        &mut self,
        old: &Adapter,
        new: &Adapter,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let wanted = self.slots.is_resident(old) && self.slots.state(new).is_none();
        if wanted && self.forecast.rate(old, now) >= PREFETCH_DEMAND {
            self.forecast.inherit(old, new, now);
            self.prefetches.insert(new.clone());
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Asks for what templates will name soon.
    pub(super) fn request_prefetches(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let free: Vec<Adapter> = self
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
        for adapter in free {
            let demand = Demand {
                class: None,
                waiters: 0,
                weight: 0,
                waited: Millis::ZERO,
                stall_savings: expected_stall_savings(self.forecast.rate(&adapter, now)),
            };
            self.pending_permits
                .insert(adapter.clone(), PendingPermit { at: now, demand });
            actions.push(Action::RequestPermit { adapter, demand });
        }
    }

    /// Returns what may be evicted for a prefetch: only for what comes soon, and only what is in less demand.
    pub(super) fn prefetch_victim(&self, adapter: &Adapter, now: Millis) -> Option<Adapter> {
        let demand = self.forecast.rate(adapter, now);
        let victim = self.victim(now).filter(|(_, price)| *price < demand);
        victim
            .filter(|_| self.prefetches.contains(adapter))
            .map(|(victim, _)| victim)
    }
}
