//! Who is let in to wait: admission, passing on, giving way.

use super::{Action, Machine};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::policy::demand::{to_f64, to_millis};
use crate::policy::queue::{self, QueuedRequest};
use crate::request::{Class, Ticket};
use crate::runner::Share;

/// How long an adapter that was passed on stays passed on, so that all its
/// requests meet at one upstream and share its load there.
const PASS_ON_DURATION: Millis = Millis::from_secs(300);
/// A slot's adapter must be in this many times the newcomer's demand for the newcomer to be
/// passed on: its own callers would stall for longer than the newcomer's go on waiting.
const PASS_ON_DEMAND_RATIO: f64 = 2.0;
/// An adapter that was passed on is taken back when a slot's is in less than this share of its demand.
///
/// Between the two ratios it stays where it is, or it would go to and fro, at a load each time.
const RECLAIM_DEMAND_RATIO: f64 = 0.25;

/// From this part of a full batch on another upstream may be clearly faster.
const SLOWDOWN_BATCH_DIVISOR: usize = 4;

impl Machine {
    /// Takes a request in, passes it on, or refuses it.
    pub(super) fn admit(
        &mut self,
        ticket: Ticket,
        share: Share,
        last: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if let Some(adapter) = &ticket.adapter {
            self.forecast.record(adapter, ticket.class, now);
        }
        if let Err(failure) = self.check_admission(&ticket, share, last, now) {
            let id = ticket.id;
            actions.push(Action::Refuse { id, failure });
            return;
        }
        if let Err(failure) = self.make_room(&ticket, now, actions) {
            let id = ticket.id;
            actions.push(Action::Refuse { id, failure });
            return;
        }
        let adapter = ticket.adapter.clone();
        let ready = adapter
            .as_ref()
            .is_none_or(|adapter| self.slots.is_resident(adapter));
        self.queue
            .push(QueuedRequest::new(ticket, share, now), ready);
        if let Some(adapter) = adapter.filter(|_| !ready) {
            self.mark_wanted(&adapter);
            self.update_permit_request(&adapter, now, actions);
        }
    }

    /// Says whether a request may wait here.
    fn check_admission(
        &mut self,
        ticket: &Ticket,
        share: Share,
        last: bool,
        now: Millis,
    ) -> Result<(), Failure> {
        if self.closed {
            return Err(Failure::new(
                Code::UpstreamLeaving,
                "the upstream takes no new work",
            ));
        }
        let queued = self.queue.waiting_of_account(&ticket.account);
        if share.max_queued > 0 && queued >= share.max_queued {
            return Err(self.refusal(Code::AccountLimit, "the account's waiting requests", ticket));
        }
        self.check_deadline(ticket, last, now)?;
        if last {
            return Ok(());
        }
        self.check_pass_on(ticket, now)
    }

    /// Refuses what can't be answered in time: it would take a place, and
    /// perhaps a load, from a request that can.
    fn check_deadline(&self, ticket: &Ticket, last: bool, now: Millis) -> Result<(), Failure> {
        let left = ticket.deadline.since(now);
        let service = self.service.service_time(queue::cost(ticket));
        let load = match &ticket.adapter {
            Some(adapter) if !self.slots.is_resident(adapter) => self.limits.load_time,
            _ => Millis::ZERO,
        };
        let wait = self.expected_wait(ticket.class).max(load);
        // The estimate of the service is a mean; half of it is what a short
        // request may need. One that is refused here would miss its deadline, and take a
        // place from one that can keep its own.
        if wait + Millis(service.0 / 2) < left {
            return Ok(());
        }
        let code = if last {
            Code::DeadlineTooShort
        } else {
            Code::PassedOn
        };
        Err(self.refusal(code, "the wait exceeds the deadline", ticket))
    }

    /// Passes on what another upstream serves cheaper.
    fn check_pass_on(&mut self, ticket: &Ticket, now: Millis) -> Result<(), Failure> {
        let wait = self.expected_wait(ticket.class);
        let Some(adapter) = &ticket.adapter else {
            return if wait > self.limits.first_token_target {
                Err(self.refusal(Code::PassedOn, "the upstream is busy", ticket))
            } else {
                Ok(())
            };
        };
        if self.slots.state(adapter).is_some() {
            let spill = self.spill_threshold(ticket.class, self.forecast.rate(adapter, now));
            if wait > spill || self.is_too_slow(ticket, now) {
                return Err(self.refusal(Code::Busy, "the upstream is busy", ticket));
            }
            return Ok(());
        }
        if self.queue.is_blocked(adapter) {
            return Ok(());
        }
        let passed = self.forecast.is_passed_on(adapter, now);
        let ratio = if passed {
            RECLAIM_DEMAND_RATIO
        } else {
            PASS_ON_DEMAND_RATIO
        };
        if self.has_cheap_slot(adapter, ratio, now) {
            return Ok(());
        }
        if !passed {
            self.forecast
                .mark_passed_on(adapter, now + PASS_ON_DURATION);
        }
        Err(self.refusal(
            Code::PassedOn,
            "the slots hold adapters in higher demand",
            ticket,
        ))
    }

    /// Returns whether loading the adapter here costs little: an empty slot, or
    /// one whose adapter isn't in much higher demand, in a batch with room.
    fn has_cheap_slot(&self, adapter: &Adapter, ratio: f64, now: Millis) -> bool {
        if self.running.len() >= self.max_running(Class::Bulk) as usize {
            return false;
        }
        // Asks under way will take slots of their own.
        let promised = self.pending_permits.len();
        if self.slots.len() + promised < self.limits.slots.unwrap_or(0) as usize
            && ratio >= PASS_ON_DEMAND_RATIO
        {
            return true;
        }
        let own = self.forecast.rate(adapter, now);
        let price = self.victim(now).map(|(_, demand)| demand);
        price.is_some_and(|price| price <= own * ratio)
    }

    /// Returns the expected wait of a ready request of this class.
    pub(super) fn expected_wait(&self, class: Class) -> Millis {
        let room = self.max_running(class);
        if self.running.len() < room as usize && self.queue.ready_count(class) == 0 {
            return Millis::ZERO;
        }
        self.service
            .backlog_time(self.queue.ready_cost(class), self.limits.max_batch)
    }

    /// Returns whether a fuller batch than needed makes the answer end after its deadline.
    ///
    /// Each request in the batch slows its steps, so an upstream that serves
    /// fewer may still answer in time.
    fn is_too_slow(&self, ticket: &Ticket, now: Millis) -> bool {
        let batch = self.limits.max_batch as usize;
        let service = self.service.service_time(queue::cost(ticket));
        self.running.len() * SLOWDOWN_BATCH_DIVISOR > batch && now + service > ticket.deadline
    }

    /// Returns the wait above which a request had better go to a replica.
    ///
    /// A replica may have to load the adapter first. Demand that comes often
    /// makes up for that load at once, so it spills early; rare demand waits as
    /// long as a load takes. Weight on batches keeps bulk work together longer.
    fn spill_threshold(&self, class: Class, rate: f64) -> Millis {
        let load = self.service.load_wait(self.limits.load_time);
        let comes = rate * to_f64(load);
        let shared = to_millis(to_f64(load) / (1.0 + comes)).max(self.limits.load_time);
        let held = 100 + u64::from(self.limits.batch_weight);
        match class {
            Class::Bulk => Millis(shared.0 * held / 100),
            _ => shared,
        }
    }

    /// Makes room in a full queue, by brownout order, or says why there is none.
    fn make_room(
        &mut self,
        ticket: &Ticket,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Result<(), Failure> {
        if self.queue.len() < self.limits.max_queued as usize {
            return Ok(());
        }
        let Some(id) = self.queue.shed_candidate(ticket.class, &ticket.account) else {
            return Err(self.refusal(Code::QueueFull, "the queue is full", ticket));
        };
        if let Some(entry) = self.queue.remove(&id) {
            let failure = self.refusal(Code::Brownout, "the queue is full", &entry.ticket);
            self.handle_departure(&entry, now, actions);
            actions.push(Action::Refuse { id, failure });
        }
        Ok(())
    }

    /// Makes a refusal that says when a later try may succeed.
    pub(super) fn refusal(&self, code: Code, detail: &str, ticket: &Ticket) -> Failure {
        let wait = self.expected_wait(ticket.class).max(self.limits.load_time);
        Failure::new(code, detail).retry_after(wait)
    }
}
