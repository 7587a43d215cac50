//! Feeds an upstream's events to its state machine and executes the resulting actions.

mod correct;
mod load;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};

use super::actor::{Assignment, Submit};
use super::foreign::ForeignRequests;
use super::health::Health;
use super::load::PendingPermit;
use super::registry::Dependencies;
use super::report_poller::ReportPoller;
use super::request_guard::{Outcome, RequestEnd};
use super::run::{Grant, Target, WaitTimes};
use super::status::{Slot, Status};
use super::task_event::TaskEvent;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::declaration::PoolKind;
use crate::error::{Code, Failure};
use crate::loads::Permit;
use crate::membership::fleet::State;
use crate::name::Name;
use crate::policy::upstream::{Action, Limits, Machine};
use crate::request::{Id, Ticket};
use crate::runner::Share;

/// A request that waits or runs.
#[derive(Debug)]
struct TrackedRequest {
    /// The request's own ID, as the engine sees it.
    request_id: Id,
    ticket: Ticket,
    /// Receives the grant; `None` once the request is granted.
    reply: Option<oneshot::Sender<Result<Grant, Failure>>>,
}

/// A request that arrived before the engine's first report.
#[derive(Debug)]
struct EarlyRequest {
    ticket: Ticket,
    share: Share,
    last: bool,
}

/// The state of one owned upstream.
#[derive(Debug)]
pub(super) struct Driver {
    dependencies: Dependencies,
    assignment: Assignment,
    target: Target,
    machine: Machine,
    /// Waiting and running requests by the keys of their guards.
    requests: HashMap<Id, TrackedRequest>,
    /// Requests to be queued after the engine's first report.
    early: Vec<EarlyRequest>,
    pending_permits: HashMap<Adapter, PendingPermit>,
    /// Number of permit requests so far, which numbers the next one.
    permit_requests: u64,
    permits: HashMap<Adapter, Box<dyn Permit>>,
    foreign: ForeignRequests,
    health: Health,
    /// Boot ID of the engine's process in its last report.
    boot_id: Option<Name>,
    last_report_at: Option<Millis>,
    is_releasing: bool,
    /// Notified when the last request has ended after a release.
    drain_waiters: Vec<oneshot::Sender<()>>,
    events: mpsc::UnboundedSender<TaskEvent>,
    status: watch::Sender<Status>,
    report_poller: ReportPoller,
}

impl Driver {
    /// Creates the driver and starts polling the engine for reports.
    pub(super) fn new(
        dependencies: Dependencies,
        assignment: Assignment,
        events: mpsc::UnboundedSender<TaskEvent>,
        status: watch::Sender<Status>,
    ) -> Self {
        let vm = &assignment.upstream.vm;
        let target = match &assignment.pool.kind {
            PoolKind::Engine { .. } => Target::Engine(dependencies.connector.engine(vm)),
            PoolKind::Service => Target::Service(dependencies.connector.service(vm)),
        };
        let machine = Machine::new(limits(&dependencies, &assignment));
        let report_poller = ReportPoller::start(&target, &dependencies, events.clone());
        let mut driver = Self {
            health: Health::new(dependencies.limits.failure_threshold),
            dependencies,
            assignment,
            target,
            machine,
            requests: HashMap::new(),
            early: Vec::new(),
            pending_permits: HashMap::new(),
            permit_requests: 0,
            permits: HashMap::new(),
            foreign: ForeignRequests::default(),
            boot_id: None,
            last_report_at: None,
            is_releasing: false,
            drain_waiters: Vec::new(),
            events,
            status,
            report_poller,
        };
        driver.publish_status();
        driver
    }

    /// Returns the time until [`Self::tick`] is due, if a wakeup is scheduled.
    pub(super) fn wakeup(&self) -> Option<Duration> {
        let early = self.early.iter().map(|early| early.ticket.deadline).min();
        let next = [self.machine.next_wakeup(), early]
            .into_iter()
            .flatten()
            .min()?;
        Some(next.since(self.now()).duration())
    }

    /// Accepts a request, or refuses it.
    pub(super) fn submit(&mut self, submit: Submit) {
        if let Err(failure) = self.check_accepting() {
            let _ = submit.reply.send(Err(failure));
            return;
        }
        let request = TrackedRequest {
            request_id: submit.request_id,
            ticket: submit.ticket.clone(),
            reply: Some(submit.reply),
        };
        self.requests.insert(submit.ticket.id.clone(), request);
        let early = EarlyRequest {
            ticket: submit.ticket,
            share: submit.share,
            last: submit.last,
        };
        if self.knows_slots() {
            self.enqueue(early);
        } else if self.early.len() < self.dependencies.limits.machine.max_queued as usize {
            self.early.push(early);
        } else {
            self.refuse(
                &early.ticket.id,
                failure(Code::QueueFull, "the queue is full"),
            );
        }
    }

    /// Applies a changed pool, lease or state of the same upstream.
    pub(super) fn update_assignment(&mut self, assignment: Assignment) {
        self.assignment = assignment;
        let limits = limits(&self.dependencies, &self.assignment);
        let actions = self.machine.set_limits(limits, self.now());
        self.execute(actions);
        if let Err(failure) = self.check_accepting() {
            self.refuse_waiting(&failure);
        }
        self.publish_status();
    }

    /// Prefetches an adapter that templates will move to from another.
    pub(super) fn prefetch_replacement(&mut self, old: &Adapter, new: &Adapter) {
        if self.knows_slots() && self.check_accepting().is_ok() {
            let actions = self.machine.prefetch_replacement(old, new, self.now());
            self.execute(actions);
        }
    }

    /// Ends the ownership: waiting requests are refused, running ones continue.
    pub(super) fn release(&mut self, done: Option<oneshot::Sender<()>>) {
        self.is_releasing = true;
        self.refuse_waiting(&failure(Code::NotOwner, "the upstream is handed over"));
        let actions = self.machine.close(Code::NotOwner);
        self.execute(actions);
        self.drain_waiters.extend(done);
        self.notify_drained();
        self.publish_status();
    }

    /// Refuses expired and outdated requests and advances the state machine to the current time.
    pub(super) fn tick(&mut self) {
        let now = self.now();
        if let Err(failure) = self.check_accepting() {
            self.refuse_waiting(&failure);
        }
        let expired: Vec<Id> = self
            .early
            .extract_if(.., |early| early.ticket.deadline <= now)
            .map(|early| early.ticket.id)
            .collect();
        for id in expired {
            let failure = failure(Code::ExpiredWaiting, "the deadline passed in the queue");
            self.refuse(&id, failure);
        }
        self.refuse_outdated();
        let actions = self.machine.tick(now);
        self.execute(actions);
    }

    /// Refuses waiting requests that the configuration now routes differently.
    fn refuse_outdated(&mut self) {
        let routing = Arc::clone(&self.dependencies.routing);
        self.refuse_waiting_if(&outdated(), |ticket| !routing.is_current(ticket));
    }

    /// Handles an event from a task.
    pub(super) fn handle_event(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Ended(end) => self.end_request(&end),
            TaskEvent::Granted {
                number,
                adapter,
                permit,
            } => self.use_permit(number, &adapter, permit),
            TaskEvent::Loaded { adapter, result } => self.finish_load(&adapter, &result),
            TaskEvent::Reported { as_of, result } => self.handle_report(as_of, result),
            TaskEvent::Tick => {
                self.tick();
                self.publish_status();
            }
        }
    }

    fn now(&self) -> Millis {
        self.dependencies.clock.now()
    }

    fn name(&self) -> &Name {
        &self.assignment.upstream.vm.name
    }

    /// Whether the contents of the slots are known; a plain service has none.
    fn knows_slots(&self) -> bool {
        self.last_report_at.is_some() || matches!(self.target, Target::Service(_))
    }

    /// Checks that the upstream accepts work, or returns the reason why not.
    fn check_accepting(&self) -> Result<(), Failure> {
        if self.is_releasing {
            return Err(failure(Code::NotOwner, "the upstream is handed over"));
        }
        if self.assignment.upstream.state != State::Usable {
            let detail = "the upstream leaves or is held out";
            return Err(failure(Code::UpstreamLeaving, detail));
        }
        if let Some(remaining) = self.health.backoff_remaining(self.now()) {
            let detail = "the upstream can't be reached";
            return Err(failure(Code::ConnectFailed, detail).retry_after(remaining));
        }
        self.assignment.ownership.fence().map(|_| ())
    }

    fn enqueue(&mut self, early: EarlyRequest) {
        let now = self.now();
        let actions = self
            .machine
            .arrive(early.ticket, early.share, early.last, now);
        self.execute(actions);
    }

    fn end_request(&mut self, end: &RequestEnd) {
        let Some(request) = self.requests.remove(&end.key) else {
            return;
        };
        let now = self.now();
        self.early.retain(|early| early.ticket.id != end.key);
        let actions = if request.reply.is_some() {
            self.machine.cancelled(&end.key, now)
        } else {
            self.record_outcome(request.request_id, end.outcome, now);
            self.machine.finished(&end.key, now)
        };
        self.execute(actions);
        self.notify_drained();
    }

    fn record_outcome(&mut self, request: Id, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Completed => {
                self.foreign.record_own_completion(request, now);
                self.record_reachable();
            }
            Outcome::ConnectFailed => self.record_failure(now),
            // This node's view of the slots is wrong, so a report is needed at once.
            Outcome::UnknownAdapter => self.report_poller.poll_now(),
            Outcome::Dropped | Outcome::Refused | Outcome::Failed => {}
        }
    }

    fn record_reachable(&mut self) {
        if !self.health.record_success() {
            return;
        }
        log::info!("owner: {} is reachable again", self.name());
        if let Some(detector) = &self.dependencies.detector {
            detector.record_success(self.name());
        }
    }

    fn record_failure(&mut self, now: Millis) {
        if self.health.record_failure(now) {
            log::warn!("owner: {} can't be reached; it gets no work", self.name());
        }
        if let Some(detector) = &self.dependencies.detector {
            detector.record_failure(self.name());
        }
        if let Err(failure) = self.check_accepting() {
            self.refuse_waiting(&failure);
        }
    }

    /// Executes actions of the state machine, and those that follow from them, in order.
    fn execute(&mut self, actions: Vec<Action>) {
        let mut remaining = VecDeque::from(actions);
        while let Some(action) = remaining.pop_front() {
            match action {
                Action::Start {
                    id,
                    queued,
                    load_wait,
                } => remaining.extend(self.grant(&id, queued, load_wait)),
                Action::Refuse { id, failure } => self.refuse(&id, failure),
                Action::RequestPermit { adapter, demand } => self.request_permit(adapter, demand),
                Action::CancelPermit { adapter } => {
                    self.pending_permits.remove(&adapter);
                    self.permits.remove(&adapter);
                }
                Action::Load { adapter, evict } => {
                    remaining.extend(self.start_load(adapter, evict));
                }
            }
        }
    }

    /// Grants a request its start, unless the lease or the routing no longer allows it.
    fn grant(&mut self, id: &Id, queued: Millis, load: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(id) else {
            return Vec::new();
        };
        let Some(reply) = request.reply.take() else {
            return Vec::new();
        };
        if let Err(failure) = self.assignment.ownership.fence() {
            let _ = reply.send(Err(failure));
            self.requests.remove(id);
            return self.machine.finished(id, self.dependencies.clock.now());
        }
        // The configuration may have changed while the request waited.
        if !self.dependencies.routing.is_current(&request.ticket) {
            let _ = reply.send(Err(outdated()));
            self.requests.remove(id);
            return self.machine.finished(id, self.dependencies.clock.now());
        }
        self.dependencies
            .metrics
            .waited(request.ticket.class, queued, load);
        let grant = Grant {
            target: self.target.clone(),
            ownership: self.assignment.ownership.clone(),
            waits: WaitTimes { queued, load },
        };
        if reply.send(Ok(grant)).is_ok() {
            return Vec::new();
        }
        // The caller has disconnected. Its guard may have reported the end before this
        // request was tracked and reports only once, so the pin would leak.
        self.requests.remove(id);
        self.machine.finished(id, self.dependencies.clock.now())
    }

    fn refuse(&mut self, id: &Id, failure: Failure) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if let Some(reply) = request.reply {
            let _ = reply.send(Err(failure));
        }
    }

    /// Refuses all waiting requests, none of which has run.
    fn refuse_waiting(&mut self, failure: &Failure) {
        self.refuse_waiting_if(failure, |_| true);
    }

    fn refuse_waiting_if(&mut self, failure: &Failure, refused: impl Fn(&Ticket) -> bool) {
        let now = self.now();
        self.early.retain(|early| !refused(&early.ticket));
        let waiting: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| request.reply.is_some() && refused(&request.ticket))
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            self.refuse(&id, failure.clone());
            let actions = self.machine.cancelled(&id, now);
            self.execute(actions);
        }
    }

    /// Notifies the waiters of a release once no request is left.
    fn notify_drained(&mut self) {
        if self.is_releasing && self.requests.is_empty() {
            for done in self.drain_waiters.drain(..) {
                let _ = done.send(());
            }
        }
    }

    fn publish_status(&mut self) {
        let machine = self.machine.status();
        let now = self.now();
        let slot = |(adapter, pins): &(Adapter, u32)| Slot {
            adapter: adapter.engine_name(),
            pins: *pins,
        };
        let names = |adapters: &[Adapter]| adapters.iter().map(Adapter::engine_name).collect();
        self.status.send_replace(Status {
            upstream: self.name().clone(),
            pool: self.assignment.pool.name.clone(),
            token: self.assignment.ownership.token(),
            held: self.assignment.ownership.fence().is_ok(),
            failing: self.health.backoff_remaining(now).is_some(),
            leaving: self.is_releasing || self.assignment.upstream.state == State::Leaving,
            running: machine.running,
            foreign: u32::try_from(self.foreign.len()).unwrap_or(u32::MAX),
            waiting: machine.waiting,
            batch: self.assignment.pool.batch,
            resident: machine.resident.iter().map(slot).collect(),
            loading: names(&machine.loading),
            asked: names(&machine.asked),
            report_age_ms: self.last_report_at.map(|at| now.since(at).0),
        });
    }
}

fn limits(dependencies: &Dependencies, assignment: &Assignment) -> Limits {
    let slots = match assignment.pool.kind {
        PoolKind::Engine { slots, .. } => Some(slots),
        PoolKind::Service => None,
    };
    Limits {
        slots,
        max_batch: assignment.pool.batch,
        ..dependencies.limits.machine.clone()
    }
}

fn outdated() -> Failure {
    failure(Code::Outdated, "its template names something else now")
}

fn failure(code: Code, detail: &str) -> Failure {
    Failure::new(code, detail)
}
