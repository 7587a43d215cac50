//! Admission of requests to an upstream's queue: admitting, passing on and shedding.

use super::{Action, Machine};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::policy::demand::{to_f64, to_millis};
use crate::policy::queue::{self, QueuedRequest};
use crate::request::{Class, Ticket};
use crate::runner::Share;

/// How long an adapter stays passed on, so that all its requests arrive at one other
/// upstream and share a load there.
const PASS_ON_DURATION: Millis = Millis::from_secs(300);
/// A request is passed on if the adapter of every slot has more than this many times the
/// demand of the requested one: the callers of the evicted adapter would then stall for
/// longer than those of the requested one wait elsewhere.
const PASS_ON_DEMAND_RATIO: f64 = 2.0;
/// An adapter that was passed on is accepted again if a slot's adapter has less than this
/// share of its demand.
///
/// The gap between the two ratios is a hysteresis: without it, an adapter would move back
/// and forth between upstreams, with a load for each move.
const RECLAIM_DEMAND_RATIO: f64 = 0.25;

/// Above this fraction of a full batch (one n-th), another upstream may be clearly faster.
const SLOWDOWN_BATCH_DIVISOR: usize = 4;

impl Machine {
    /// Admits a request to the queue, passes it on, or refuses it.
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

    /// Checks whether a request may wait here.
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

    /// Refuses a request that can't be answered before its deadline: it would take
    /// capacity, and perhaps a load, from one that can.
    fn check_deadline(&self, ticket: &Ticket, last: bool, now: Millis) -> Result<(), Failure> {
        let left = ticket.deadline.since(now);
        let service = self.service.service_time(queue::cost(ticket));
        let load = match &ticket.adapter {
            Some(adapter) if !self.slots.is_resident(adapter) => self.limits.load_time,
            _ => Millis::ZERO,
        };
        let wait = self.expected_wait(ticket.class).max(load);
        // The service time is an average, and a short request may need only half of it. A
        // request refused here would miss its deadline and take capacity from one that can
        // meet its own.
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

    /// Passes on a request that another upstream can serve at a lower cost.
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
        let is_passed_on = self.forecast.is_passed_on(adapter, now);
        let ratio = if is_passed_on {
            RECLAIM_DEMAND_RATIO
        } else {
            PASS_ON_DEMAND_RATIO
        };
        if self.has_cheap_slot(adapter, ratio, now) {
            return Ok(());
        }
        if !is_passed_on {
            self.forecast
                .mark_passed_on(adapter, now + PASS_ON_DURATION);
        }
        Err(self.refusal(
            Code::PassedOn,
            "the slots hold adapters in higher demand",
            ticket,
        ))
    }

    /// Returns whether loading the adapter here is cheap: there is an empty slot, or one
    /// whose adapter isn't in much higher demand, and the batch has room.
    fn has_cheap_slot(&self, adapter: &Adapter, ratio: f64, now: Millis) -> bool {
        if self.running.len() >= self.max_running(Class::Bulk) as usize {
            return false;
        }
        // Pending permits will take slots too.
        let pending = self.pending_permits.len();
        if self.slots.len() + pending < self.limits.slots.unwrap_or(0) as usize
            && ratio >= PASS_ON_DEMAND_RATIO
        {
            return true;
        }
        let demand = self.forecast.rate(adapter, now);
        let victim_demand = self.victim(now).map(|(_, demand)| demand);
        victim_demand.is_some_and(|victim_demand| victim_demand <= demand * ratio)
    }

    /// Returns the expected wait of a ready request of this class.
    pub(super) fn expected_wait(&self, class: Class) -> Millis {
        let limit = self.max_running(class);
        if self.running.len() < limit as usize && self.queue.ready_count(class) == 0 {
            return Millis::ZERO;
        }
        self.service
            .backlog_time(self.queue.ready_cost(class), self.limits.max_batch)
    }

    /// Returns whether the batch is so full that the response would end after the deadline.
    ///
    /// Each request in a batch slows down its steps, so an upstream with a smaller batch
    /// may still meet the deadline.
    fn is_too_slow(&self, ticket: &Ticket, now: Millis) -> bool {
        let batch = self.limits.max_batch as usize;
        let service = self.service.service_time(queue::cost(ticket));
        self.running.len() * SLOWDOWN_BATCH_DIVISOR > batch && now + service > ticket.deadline
    }

    /// Returns the expected wait above which a request is better served by a replica.
    ///
    /// A replica may have to load the adapter first. Frequent requests amortize that load
    /// quickly, so the threshold decreases with demand; for rare ones it is the wait for a
    /// load. A higher batch weight keeps bulk work together for longer.
    fn spill_threshold(&self, class: Class, rate: f64) -> Millis {
        let load = self.service.load_wait(self.limits.load_time);
        let requests_per_load = rate * to_f64(load);
        let threshold =
            to_millis(to_f64(load) / (1.0 + requests_per_load)).max(self.limits.load_time);
        let batch_percent = 100 + u64::from(self.limits.batch_weight);
        match class {
            Class::Bulk => Millis(threshold.0 * batch_percent / 100),
            _ => threshold,
        }
    }

    /// Makes room in a full queue by shedding a request, or returns why there is no room.
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

    /// Creates a refusal with an estimate of when a retry may succeed.
    pub(super) fn refusal(&self, code: Code, detail: &str, ticket: &Ticket) -> Failure {
        let wait = self.expected_wait(ticket.class).max(self.limits.load_time);
        Failure::new(code, detail).retry_after(wait)
    }
}
