//! Which adapters are loaded, and which are evicted for them.

use super::{Action, Demand, Machine, PendingPermit};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::policy::demand::{class_weight, to_f64, to_millis};
use crate::policy::queue;
use crate::policy::slots::SlotState;
use crate::request::Class;

/// How far ahead the future use of an adapter counts toward the priority of its load.
const PREDICTION_HORIZON: Millis = Millis::from_secs(60);
/// Stall time saved for each request expected within the horizon.
const STALL_PER_FUTURE_REQUEST: Millis = Millis::from_secs(1);
/// Number of consecutive failed loads after which waiting requests are refused.
const MAX_LOAD_FAILURES: u32 = 2;
/// Adapters with a lower demand, in requests per millisecond, are only loaded if a request
/// waits for them.
pub(super) const MIN_PREFETCH_DEMAND: f64 = 1.0 / 300_000.0;
/// How long a request waits before a slot in use is drained for it.
const DRAIN_AFTER: Millis = Millis::from_secs(2);

impl Machine {
    /// Marks an adapter that requests wait for as to be loaded, unless its load is already
    /// requested or in progress.
    pub(super) fn mark_wanted(&mut self, adapter: &Adapter) {
        if self.queue.is_blocked(adapter)
            && !self.pending_permits.contains_key(adapter)
            && self.slots.state(adapter) != Some(SlotState::Loading)
        {
            self.deferred_loads.insert(adapter.clone());
        }
    }

    /// Returns the adapter that would be evicted next, and its demand.
    pub(super) fn victim(&self, now: Millis) -> Option<(Adapter, f64)> {
        let demand = |adapter: &Adapter| {
            let in_use = self.queue.has_ready(adapter);
            (!in_use).then(|| self.forecast.rate(adapter, now))
        };
        self.slots
            .victim(demand)
            .map(|(adapter, demand)| (adapter.clone(), demand))
    }

    /// Requests permits for all loads that are useful now.
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
        let loadable: Vec<Adapter> = self
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
        for adapter in loadable {
            self.deferred_loads.remove(&adapter);
            // A waiting request turns a refill into a regular load.
            self.refills.remove(&adapter);
            if let Some(demand) = self.demand_for(&adapter, now) {
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
    }

    /// Requests loads after a restart of the engine for the adapters that were resident, in
    /// order of demand, one at a time.
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
        if rate < MIN_PREFETCH_DEMAND {
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
        self.pending_permits.insert(
            adapter.clone(),
            PendingPermit {
                requested_at: now,
                demand,
            },
        );
        actions.push(Action::RequestPermit { adapter, demand });
    }

    /// Updates a permit request if its stall savings have grown by more than a quarter, if
    /// fewer requests wait, or if its class has changed.
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
            let requested_at = pending.requested_at;
            self.pending_permits.insert(
                adapter.clone(),
                PendingPermit {
                    requested_at,
                    demand,
                },
            );
            actions.push(Action::RequestPermit {
                adapter: adapter.clone(),
                demand,
            });
        }
    }

    /// Sums up the demand of the requests that wait for an adapter; `None` if there are
    /// none.
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

    /// Starts the load that a permit was granted for, or returns the permit.
    pub(super) fn use_permit(&mut self, adapter: &Adapter, now: Millis, actions: &mut Vec<Action>) {
        let pending = self.pending_permits.remove(adapter);
        self.refuse_unservable(adapter, now, actions);
        let prefetch = pending.is_some_and(|pending| pending.demand.class.is_none());
        let wanted = self.queue.is_blocked(adapter) || prefetch;
        let started = wanted && !self.closed && self.begin_load(adapter, prefetch, now, actions);
        // A prefetch is tried once; later requests trigger the load themselves.
        self.prefetches.remove(adapter);
        if !started {
            actions.push(Action::CancelPermit {
                adapter: adapter.clone(),
            });
            self.mark_wanted(adapter);
        }
    }

    /// Starts a load if a slot is available. A prefetch may only evict what
    /// [`Machine::prefetch_victim`] allows.
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

    /// Refuses waiting requests that would miss their deadline even if the load started
    /// now.
    ///
    /// A load for them would be wasted and would delay the loads of others.
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

    /// Handles the end of a load.
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

    /// Handles an adapter that became resident.
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

    /// Handles the loss of all slots: the adapters that were resident are to be loaded
    /// again.
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

    /// Puts a draining slot back into use when no other adapter needs it any more.
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

    /// Returns when a request will have waited long enough for a slot to be drained for it.
    pub(super) fn drain_at(&self) -> Option<Millis> {
        self.deferred_loads
            .iter()
            .flat_map(|adapter| self.queue.blocked_on(adapter))
            .map(|entry| {
                let total = entry.ticket.deadline.since(entry.arrived_at);
                match entry.ticket.class {
                    Class::Urgent => entry.arrived_at,
                    _ => entry.arrived_at + Millis(total.0 / 4).min(DRAIN_AFTER),
                }
            })
            .min()
    }

    /// Drains one slot if all slots are in use and a request has waited for long enough.
    ///
    /// Otherwise an adapter that is never idle would keep its slot forever, however long
    /// others wait.
    fn drain_one_slot(&mut self, now: Millis) {
        // Only one at a time: a load in progress or a draining slot may be enough.
        let all_resident = self
            .slots
            .iter()
            .all(|(_, state, _)| state == SlotState::Resident);
        if !all_resident {
            return;
        }
        if self.drain_at().is_none_or(|at| at > now) {
            return;
        }
        let least_demanded = self
            .slots
            .iter()
            .map(|(adapter, _, _)| (self.forecast.rate(adapter, now), adapter))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, adapter)| adapter.clone());
        if let Some(adapter) = least_demanded {
            self.slots.drain(&adapter);
            self.queue.block(&adapter);
            self.mark_wanted(&adapter);
        }
    }
}

/// Returns the stall time saved within the prediction horizon by keeping an adapter with
/// this demand.
pub(super) fn expected_stall_savings(rate: f64) -> Millis {
    to_millis(rate * to_f64(PREDICTION_HORIZON) * to_f64(STALL_PER_FUTURE_REQUEST))
}
