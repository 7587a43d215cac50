//! What is loaded and what is evicted for it.

use super::{Action, Demand, Machine, PendingPermit};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::policy::demand::{class_weight, to_f64, to_millis};
use crate::policy::queue;
use crate::policy::slots::SlotState;
use crate::request::Class;

/// How far ahead a load's future use counts for its place in the store's queue.
const PREDICTION_HORIZON: Millis = Millis::from_secs(60);
/// Stall that a load is taken to save for each request that is expected within the horizon.
const STALL_PER_FUTURE_REQUEST: Millis = Millis::from_secs(1);
/// After this many failures in a row the waiting requests are refused.
const MAX_LOAD_FAILURES: u32 = 2;
/// An adapter with a lower demand (requests a millisecond) isn't loaded unless somebody waits.
pub(super) const PREFETCH_DEMAND: f64 = 1.0 / 300_000.0;
/// A pinned slot is drained for a request that has waited this long for one.
const DRAIN_AFTER: Millis = Millis::from_secs(2);

impl Machine {
    /// Notes that an adapter with waiting requests isn't resident.
    pub(super) fn mark_wanted(&mut self, adapter: &Adapter) {
        if self.queue.is_blocked(adapter)
            && !self.pending_permits.contains_key(adapter)
            && self.slots.state(adapter) != Some(SlotState::Loading)
        {
            self.deferred_loads.insert(adapter.clone());
        }
    }

    /// Returns what would be evicted next, and the demand for it.
    pub(super) fn victim(&self, now: Millis) -> Option<(Adapter, f64)> {
        let demand = |adapter: &Adapter| {
            let kept = self.queue.has_ready(adapter);
            (!kept).then(|| self.forecast.rate(adapter, now))
        };
        self.slots
            .victim(demand)
            .map(|(adapter, demand)| (adapter.clone(), demand))
    }

    /// Asks for loads that can be had and that somebody waits for.
    pub(super) fn request_permits(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.request_for_waiting(now, actions);
        self.request_prefetches(now, actions);
        self.request_refill(now, actions);
    }

    fn request_for_waiting(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.deferred_loads.is_empty() {
            return;
        }
        if !self.slots.has_empty_slot() && self.victim(now).is_none() {
            self.drain_one_slot(now);
            return;
        }
        let free: Vec<Adapter> = self
            .deferred_loads
            .iter()
            .filter(|adapter| self.slots.state(adapter).is_none())
            .filter(|adapter| {
                self.slots
                    .retry_at(adapter)
                    .is_none_or(|until| until <= now)
            })
            .cloned()
            .collect();
        for adapter in free {
            self.deferred_loads.remove(&adapter);
            // A waiting request turns a prefetch into a live ask.
            self.refills.remove(&adapter);
            if let Some(demand) = self.demand_for(&adapter, now) {
                self.pending_permits
                    .insert(adapter.clone(), PendingPermit { at: now, demand });
                actions.push(Action::RequestPermit { adapter, demand });
            }
        }
    }

    /// After a cold start, asks for what was resident, the worthiest first, one at a time.
    fn request_refill(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.refills.is_empty()
            || !self.pending_permits.is_empty()
            || !self.slots.has_empty_slot()
        {
            return;
        }
        let ready = self
            .refills
            .iter()
            .filter(|adapter| {
                self.slots
                    .retry_at(adapter)
                    .is_none_or(|until| until <= now)
            })
            .map(|adapter| (self.forecast.rate(adapter, now), adapter))
            .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
        let Some((rate, adapter)) = ready.map(|(rate, adapter)| (rate, adapter.clone())) else {
            return;
        };
        self.refills.remove(&adapter);
        if rate < PREFETCH_DEMAND {
            self.refills.clear();
            return;
        }
        let demand = Demand {
            class: None,
            waiters: 0,
            weight: 0,
            waited: Millis::ZERO,
            stall_savings: expected_stall_savings(rate),
        };
        self.pending_permits
            .insert(adapter.clone(), PendingPermit { at: now, demand });
        actions.push(Action::RequestPermit { adapter, demand });
    }

    /// Tells the store's queue when an ask has become clearly more or less urgent.
    pub(super) fn update_permit_request(
        &mut self,
        adapter: &Adapter,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending_permits.get(adapter).copied() else {
            return;
        };
        let Some(demand) = self.demand_for(adapter, now) else {
            return;
        };
        let grown = demand.stall_savings.0 > pending.demand.stall_savings.0.saturating_mul(5) / 4;
        let fewer = demand.waiters < pending.demand.waiters;
        if grown || fewer || demand.class != pending.demand.class {
            let at = pending.at;
            self.pending_permits
                .insert(adapter.clone(), PendingPermit { at, demand });
            actions.push(Action::RequestPermit {
                adapter: adapter.clone(),
                demand,
            });
        }
    }

    /// Sums up who waits for an adapter, or returns none when nobody does.
    fn demand_for(&self, adapter: &Adapter, now: Millis) -> Option<Demand> {
        let mut demand = Demand {
            class: None,
            waiters: 0,
            weight: 0,
            waited: Millis::ZERO,
            stall_savings: Millis::ZERO,
        };
        for entry in self.queue.blocked_on(adapter) {
            let ticket = &entry.ticket;
            let class = demand.class.unwrap_or(ticket.class).min(ticket.class);
            demand.class = Some(class);
            demand.waiters += 1;
            demand.weight = demand.weight.saturating_add(ticket.weight);
            demand.waited = demand.waited.max(now.since(entry.arrived_at));
            let left = ticket.deadline.since(now + self.limits.load_time);
            demand.stall_savings +=
                Millis(left.0.saturating_mul(u64::from(class_weight(ticket.class))));
        }
        demand.class?;
        demand.stall_savings += expected_stall_savings(self.forecast.rate(adapter, now));
        Some(demand)
    }

    /// Uses a permit to load, or gives it back.
    pub(super) fn use_permit(&mut self, adapter: &Adapter, now: Millis, actions: &mut Vec<Action>) {
        let pending = self.pending_permits.remove(adapter);
        self.refuse_unservable(adapter, now, actions);
        let prefetch = pending.is_some_and(|pending| pending.demand.class.is_none());
        let wanted = self.queue.is_blocked(adapter) || prefetch;
        let begun = wanted && !self.closed && self.begin_load(adapter, prefetch, now, actions);
        // One try: whatever became of it, requests will ask for themselves.
        self.prefetches.remove(adapter);
        if !begun {
            actions.push(Action::CancelPermit {
                adapter: adapter.clone(),
            });
            self.mark_wanted(adapter);
        }
    }

    /// Begins a load if a slot can be had. A prefetch evicts next to nothing.
    fn begin_load(
        &mut self,
        adapter: &Adapter,
        prefetch: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let evict = if self.slots.has_empty_slot() {
            None
        } else if prefetch && !self.queue.is_blocked(adapter) {
            match self.prefetch_victim(adapter, now) {
                Some(victim) => Some(victim),
                None => return false,
            }
        } else {
            match self.victim(now) {
                Some((victim, _)) => Some(victim),
                None => return false,
            }
        };
        if !self.slots.begin_load(adapter, evict.as_ref(), now) {
            return false;
        }
        self.deferred_loads.remove(adapter);
        self.refills.remove(adapter);
        actions.push(Action::Load {
            adapter: adapter.clone(),
            evict,
        });
        true
    }

    /// Refuses waiting requests that a load begun now could no longer serve in time.
    ///
    /// A load for them would be wasted, and each load is one that others wait for.
    fn refuse_unservable(&mut self, adapter: &Adapter, now: Millis, actions: &mut Vec<Action>) {
        let loaded = now + self.limits.load_time;
        let unservable: Vec<_> = self
            .queue
            .blocked_on(adapter)
            .filter(|entry| {
                let service = self.service.service_time(queue::cost(&entry.ticket));
                entry.ticket.deadline <= loaded + service
            })
            .map(|entry| entry.ticket.id.clone())
            .collect();
        for id in unservable {
            if let Some(entry) = self.queue.remove(&id) {
                let failure = self.refusal(
                    Code::ExpiredWaiting,
                    "the load would end too late",
                    &entry.ticket,
                );
                actions.push(Action::Refuse { id, failure });
            }
        }
        if !self.queue.is_blocked(adapter) {
            self.deferred_loads.remove(adapter);
        }
    }

    /// Follows the end of a load.
    pub(super) fn handle_load_end(
        &mut self,
        adapter: &Adapter,
        ok: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if ok {
            self.handle_resident(adapter, now, actions);
            return;
        }
        if self.slots.failures(adapter) < MAX_LOAD_FAILURES {
            self.mark_wanted(adapter);
            return;
        }
        let waiting: Vec<_> = self
            .queue
            .blocked_on(adapter)
            .map(|entry| entry.ticket.id.clone())
            .collect();
        let backoff = self.slots.retry_at(adapter).map(|until| until.since(now));
        for id in waiting {
            if let Some(entry) = self.queue.remove(&id) {
                let mut failure = self.refusal(
                    Code::LoadFailed,
                    "the adapter failed to load",
                    &entry.ticket,
                );
                failure.retry_after = failure.retry_after.max(backoff);
                actions.push(Action::Refuse { id, failure });
            }
        }
        self.deferred_loads.remove(adapter);
    }

    /// Follows an adapter's becoming resident.
    pub(super) fn handle_resident(
        &mut self,
        adapter: &Adapter,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.queue.unblock(adapter, now);
        self.deferred_loads.remove(adapter);
        self.prefetches.remove(adapter);
        self.refills.remove(adapter);
        if self.pending_permits.remove(adapter).is_some() {
            actions.push(Action::CancelPermit {
                adapter: adapter.clone(),
            });
        }
    }

    /// Follows the loss of all slots: what was resident is to be refilled.
    pub(super) fn handle_slot_loss(&mut self) {
        let loading: Vec<Adapter> = self
            .slots
            .iter()
            .filter(|(_, state, _)| *state == SlotState::Loading)
            .map(|(adapter, _, _)| adapter.clone())
            .collect();
        for adapter in self.slots.clear() {
            self.queue.block(&adapter);
            self.mark_wanted(&adapter);
            self.refills.insert(adapter);
        }
        for adapter in loading {
            self.mark_wanted(&adapter);
        }
    }

    /// Takes a draining slot back into use when nobody else needs it any more.
    pub(super) fn undrain(&mut self, now: Millis) {
        let draining = self
            .slots
            .iter()
            .find(|(_, state, _)| *state == SlotState::Draining)
            .map(|(adapter, _, _)| adapter.clone());
        let Some(draining) = draining else {
            return;
        };
        let others = self
            .deferred_loads
            .iter()
            .chain(self.pending_permits.keys())
            .any(|adapter| *adapter != draining);
        if !others {
            self.slots.undrain(&draining);
            self.queue.unblock(&draining, now);
            self.deferred_loads.remove(&draining);
        }
    }

    /// Returns when somebody will have waited long enough for a slot to be drained for it.
    pub(super) fn drain_at(&self) -> Option<Millis> {
        self.deferred_loads
            .iter()
            .flat_map(|adapter| self.queue.blocked_on(adapter))
            .map(|entry| {
                let whole = entry.ticket.deadline.since(entry.arrived_at);
                match entry.ticket.class {
                    Class::Urgent => entry.arrived_at,
                    _ => entry.arrived_at + Millis(whole.0 / 4).min(DRAIN_AFTER),
                }
            })
            .min()
    }

    /// Lets the pins of one slot run out when all are in use and somebody has waited long.
    ///
    /// Without it an adapter that is never idle would keep its slot for ever,
    /// however long others wait.
    fn drain_one_slot(&mut self, now: Millis) {
        // One at a time: a load that ends, or a slot that drains, may be all that is needed.
        let settled = self
            .slots
            .iter()
            .all(|(_, state, _)| state == SlotState::Resident);
        if !settled {
            return;
        }
        if self.drain_at().is_none_or(|at| at > now) {
            return;
        }
        let least = self
            .slots
            .iter()
            .map(|(adapter, _, _)| (self.forecast.rate(adapter, now), adapter))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, adapter)| adapter.clone());
        if let Some(adapter) = least {
            self.slots.drain(&adapter);
            self.queue.block(&adapter);
            self.mark_wanted(&adapter);
        }
    }
}

/// Returns the stall that keeping an adapter of this demand saves for a while.
pub(super) fn expected_stall_savings(rate: f64) -> Millis {
    to_millis(rate * to_f64(PREDICTION_HORIZON) * to_f64(STALL_PER_FUTURE_REQUEST))
}
