//! Which waiting requests start next.

use super::{Action, Machine, RunningRequest};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::name::Name;
use crate::policy::queue::QueuedRequest;
use crate::policy::service_time;
use crate::request::{Class, Id};

/// Account of requests that another owner started; declared account names are never empty.
const FOREIGN_ACCOUNT: &str = "";
/// Number of starts of more urgent classes after which a waiting class goes first, by
/// class.
const MAX_PASSED_OVER: [u32; 3] = [u32::MAX, 8, 16];

impl Machine {
    /// Adds a request that is already running here and was started by another owner.
    ///
    /// It counts toward the batch and pins its adapter until [`Machine::finished`], like
    /// the requests started by this owner. Otherwise a new owner would evict adapters that
    /// requests of the previous owner still use.
    pub fn adopt_running(&mut self, id: Id, adapter: &Adapter, now: Millis) {
        if let Some(running) = self.running.get_mut(&id) {
            // A restart of the engine releases all pins. A request that started after it,
            // but before this owner learned of it, uses the new slots and must be pinned
            // there.
            let pinned = running
                .pin
                .as_ref()
                .is_some_and(|(adapter, pin)| self.slots.is_pin_valid(adapter, pin));
            if !pinned {
                let pin = self.slots.pin_running(adapter);
                running.pin = pin.map(|pin| (adapter.clone(), pin));
            }
            return;
        }
        let account: Name = FOREIGN_ACCOUNT.into();
        *self.in_flight.entry(account.clone()).or_default() += 1;
        let running = RunningRequest {
            account,
            cost: 0,
            started_at: now,
            pin: self
                .slots
                .pin_running(adapter)
                .map(|pin| (adapter.clone(), pin)),
        };
        self.running.insert(id, running);
    }

    /// Starts all requests that can start.
    pub(super) fn start_ready(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(entry) = self.next_to_start(now) {
            let service = self.service.service_time(entry.cost());
            if now + service > entry.ticket.deadline && entry.arrived_at < now {
                // The response would end after the deadline, so running the request would
                // waste a slot that another one can use in time.
                let failure = self.refusal(
                    Code::ExpiredWaiting,
                    "the answer would end too late",
                    &entry.ticket,
                );
                let id = entry.ticket.id;
                actions.push(Action::Refuse { id, failure });
                continue;
            }
            self.start_request(entry, now, actions);
        }
    }

    /// Returns how many requests may run before requests of this class have to wait.
    pub(super) fn max_running(&self, class: Class) -> u32 {
        self.service.max_running(self.limits.max_batch, class)
    }

    /// Removes the next request to start from the queue.
    fn next_to_start(&mut self, now: Millis) -> Option<QueuedRequest> {
        let running = self.running.len();
        if self.queue.ready_count(Class::Bulk) == 0 {
            self.batch_released = false;
        }
        if running >= self.limits.max_batch as usize {
            return None;
        }
        // A class that was passed over often enough goes first, even into the slots
        // reserved for urgent requests: strict priorities would starve it for as long as
        // urgent work keeps coming.
        for class in Class::ALL {
            let aged = self.passed_over[class as usize] >= MAX_PASSED_OVER[class as usize];
            if aged && let Some(entry) = self.pop_class(class) {
                return Some(entry);
            }
        }
        for class in Class::ALL {
            if running >= self.max_running(class) as usize || self.is_delayed(class, now) {
                continue;
            }
            if let Some(entry) = self.pop_class(class) {
                return Some(entry);
            }
        }
        None
    }

    fn pop_class(&mut self, class: Class) -> Option<QueuedRequest> {
        let in_flight = &self.in_flight;
        let entry = self.queue.pop(class, |account, share| {
            share.max_in_flight == 0
                || in_flight.get(account).copied().unwrap_or(0) < share.max_in_flight
        })?;
        self.passed_over[class as usize] = 0;
        for lower in Class::ALL {
            if lower > class && self.queue.ready_count(lower) > 0 {
                self.passed_over[lower as usize] += 1;
            }
        }
        Some(entry)
    }

    fn start_request(&mut self, entry: QueuedRequest, now: Millis, actions: &mut Vec<Action>) {
        let cost = entry.cost();
        let ticket = entry.ticket;
        let pin = match ticket.adapter {
            None => None,
            Some(adapter) => {
                let Some(pin) = self.slots.pin(&adapter) else {
                    debug_assert!(false, "a ready request's adapter is resident");
                    return;
                };
                Some((adapter, pin))
            }
        };
        if entry.load_wait > Millis::ZERO {
            self.service.record_load_wait(entry.load_wait);
        }
        self.service.record_started(ticket.class);
        *self.in_flight.entry(ticket.account.clone()).or_default() += 1;
        let running = RunningRequest {
            account: ticket.account,
            cost,
            started_at: now,
            pin,
        };
        self.running.insert(ticket.id.clone(), running);
        actions.push(Action::Start {
            id: ticket.id,
            queued: now.since(entry.arrived_at),
            load_wait: entry.load_wait,
        });
    }

    /// Returns whether requests of a class are delayed to form a batch.
    fn is_delayed(&mut self, class: Class, now: Millis) -> bool {
        if class != Class::Bulk {
            return false;
        }
        match self.delayed_until() {
            Some(until) if now < until => true,
            Some(_) => {
                // All bulk requests that are ready start together with the oldest one.
                self.batch_released = true;
                false
            }
            None => false,
        }
    }

    /// Returns until when bulk work is delayed, if it is.
    ///
    /// A step takes an engine nearly the same time for one request as for many, so an idle
    /// engine waits until there is a batch to run. Once any request runs, bulk work joins
    /// it immediately.
    pub(super) fn delayed_until(&self) -> Option<Millis> {
        let ready = self.queue.ready_count(Class::Bulk);
        if self.limits.batch_weight == 0
            || self.batch_released
            || ready == 0
            || !self.running.is_empty()
        {
            return None;
        }
        let full =
            service_time::full_batch_size(self.limits.max_batch, self.limits.batch_weight) as usize;
        if ready >= full {
            return None;
        }
        let (arrived, deadline) = self.queue.oldest_ready(Class::Bulk)?;
        Some(
            arrived
                + service_time::max_batch_delay(self.limits.batch_weight, deadline.since(arrived)),
        )
    }
}
