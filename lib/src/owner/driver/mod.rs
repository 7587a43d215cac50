//! Feeds what happens at one upstream to its decisions, and carries out the orders.

mod correct;
mod load;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};

use super::actor::{Args, Submit};
use super::event::Event;
use super::foreign::Foreign;
use super::health::Health;
use super::load::Asking;
use super::place::{End, Outcome};
use super::registry::Parts;
use super::report::Reports;
use super::run::{Grant, Target, Waits};
use super::status::{Slot, Status};
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

/// A request that has a place, waiting or running.
#[derive(Debug)]
struct Entry {
    request: Id,
    ticket: Ticket,
    /// Where the grant goes; none once it has gone.
    reply: Option<oneshot::Sender<Result<Grant, Failure>>>,
}

/// A request that came before the engine first said what it holds.
#[derive(Debug)]
struct Early {
    ticket: Ticket,
    share: Share,
    last: bool,
}

/// The state of one owned upstream.
#[derive(Debug)]
pub(super) struct Driver {
    parts: Parts,
    args: Args,
    target: Target,
    machine: Machine,
    entries: HashMap<Id, Entry>,
    early: Vec<Early>,
    asking: HashMap<Adapter, Asking>,
    asks: u64,
    permits: HashMap<Adapter, Box<dyn Permit>>,
    foreign: Foreign,
    health: Health,
    boot: Option<Name>,
    reported: Option<Millis>,
    releasing: bool,
    drained: Vec<oneshot::Sender<()>>,
    events: mpsc::UnboundedSender<Event>,
    status: watch::Sender<Status>,
    reports: Reports,
}

impl Driver {
    /// Starts with what the engine will report.
    pub(super) fn new(
        parts: Parts,
        args: Args,
        events: mpsc::UnboundedSender<Event>,
        status: watch::Sender<Status>,
    ) -> Self {
        let vm = &args.upstream.vm;
        let target = match &args.pool.kind {
            PoolKind::Engine { .. } => Target::Engine(parts.connector.engine(vm)),
            PoolKind::Service => Target::Service(parts.connector.service(vm)),
        };
        let machine = Machine::new(limits(&parts, &args));
        let reports = Reports::start(&target, &parts, events.clone());
        let mut driver = Self {
            health: Health::new(parts.limits.failures),
            parts,
            args,
            target,
            machine,
            entries: HashMap::new(),
            early: Vec::new(),
            asking: HashMap::new(),
            asks: 0,
            permits: HashMap::new(),
            foreign: Foreign::default(),
            boot: None,
            reported: None,
            releasing: false,
            drained: Vec::new(),
            events,
            status,
            reports,
        };
        driver.publish();
        driver
    }

    /// Returns how long nothing is to be done, if that is known.
    pub(super) fn wakeup(&self) -> Option<Duration> {
        let early = self.early.iter().map(|early| early.ticket.deadline).min();
        let next = [self.machine.next_wakeup(), early]
            .into_iter()
            .flatten()
            .min()?;
        Some(next.since(self.now()).duration())
    }

    /// Takes a request in, or refuses it.
    pub(super) fn submit(&mut self, submit: Submit) {
        if let Err(failure) = self.takes_work() {
            let _ = submit.reply.send(Err(failure));
            return;
        }
        let entry = Entry {
            request: submit.request,
            ticket: submit.ticket.clone(),
            reply: Some(submit.reply),
        };
        self.entries.insert(submit.ticket.id.clone(), entry);
        let early = Early {
            ticket: submit.ticket,
            share: submit.share,
            last: submit.last,
        };
        if self.is_known() {
            self.arrive(early);
        } else if self.early.len() < self.parts.limits.machine.queue as usize {
            self.early.push(early);
        } else {
            self.refuse(
                &early.ticket.id,
                failure(Code::QueueFull, "the queue is full"),
            );
        }
    }

    /// Takes over a changed pool, hold or state of the same upstream.
    pub(super) fn adopt(&mut self, args: Args) {
        self.args = args;
        let limits = limits(&self.parts, &self.args);
        let actions = self.machine.limit(limits, self.now());
        self.carry(actions);
        if let Err(failure) = self.takes_work() {
            self.refuse_waiting(&failure);
        }
        self.publish();
    }

    /// Prepares for templates that will move from one adapter to another.
    pub(super) fn replaced(&mut self, old: &Adapter, new: &Adapter) {
        if self.is_known() && self.takes_work().is_ok() {
            let actions = self.machine.replaced(old, new, self.now());
            self.carry(actions);
        }
    }

    /// Ends the ownership: what waits is refused, what runs goes on.
    pub(super) fn release(&mut self, done: Option<oneshot::Sender<()>>) {
        self.releasing = true;
        self.refuse_waiting(&failure(Code::NotOwner, "the upstream is handed over"));
        let actions = self.machine.leave(Code::NotOwner);
        self.carry(actions);
        self.drained.extend(done);
        self.tell_drained();
        self.publish();
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self) {
        let now = self.now();
        if let Err(failure) = self.takes_work() {
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
        self.carry(actions);
    }

    /// Refuses what waits for something that its template no longer names.
    fn refuse_outdated(&mut self) {
        let decisions = Arc::clone(&self.parts.decisions);
        self.refuse_waiting_if(&outdated(), |ticket| !decisions.holds(ticket));
    }

    /// Takes news from a task.
    pub(super) fn heard(&mut self, event: Event) {
        match event {
            Event::Ended(end) => self.ended(&end),
            Event::Granted {
                ask,
                adapter,
                permit,
            } => self.granted(ask, &adapter, permit),
            Event::Loaded { adapter, result } => self.loaded(&adapter, &result),
            Event::Reported { as_of, result } => self.reported(as_of, result),
            Event::Tick => {
                self.tick();
                self.publish();
            }
        }
    }

    fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    fn name(&self) -> &Name {
        &self.args.upstream.vm.name
    }

    /// Whether it is known what the slots hold; a plain service has none.
    fn is_known(&self) -> bool {
        self.reported.is_some() || matches!(self.target, Target::Service(_))
    }

    /// Says why the upstream takes no work, if it takes none.
    fn takes_work(&self) -> Result<(), Failure> {
        if self.releasing {
            return Err(failure(Code::NotOwner, "the upstream is handed over"));
        }
        if self.args.upstream.state != State::Usable {
            let detail = "the upstream leaves or is held out";
            return Err(failure(Code::UpstreamLeaving, detail));
        }
        if let Some(left) = self.health.held(self.now()) {
            let detail = "the upstream can't be reached";
            return Err(failure(Code::ConnectFailed, detail).retry_after(left));
        }
        self.args.hold.check().map(|_| ())
    }

    fn arrive(&mut self, early: Early) {
        let now = self.now();
        let actions = self
            .machine
            .arrive(early.ticket, early.share, early.last, now);
        self.carry(actions);
    }

    fn ended(&mut self, end: &End) {
        let Some(entry) = self.entries.remove(&end.key) else {
            return;
        };
        let now = self.now();
        self.early.retain(|early| early.ticket.id != end.key);
        let actions = if entry.reply.is_some() {
            self.machine.cancelled(&end.key, now)
        } else {
            self.noted(entry.request, end.outcome, now);
            self.machine.finished(&end.key, now)
        };
        self.carry(actions);
        self.tell_drained();
    }

    fn noted(&mut self, request: Id, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Answered => {
                self.foreign.answered(request, now);
                self.answered();
            }
            Outcome::ConnectFailed => self.failed(now),
            // What the slots hold isn't what this node believes: ask at once.
            Outcome::UnknownAdapter => self.reports.hurry(),
            Outcome::Dropped | Outcome::Refused | Outcome::Failed => {}
        }
    }

    fn answered(&mut self) {
        if !self.health.answered() {
            return;
        }
        log::info!("owner: {} answers again", self.name());
        if let Some(detector) = &self.parts.detector {
            detector.answered(self.name());
        }
    }

    fn failed(&mut self, now: Millis) {
        if self.health.failed(now) {
            log::warn!("owner: {} can't be reached; it gets no work", self.name());
        }
        if let Some(detector) = &self.parts.detector {
            detector.failed(self.name());
        }
        if let Err(failure) = self.takes_work() {
            self.refuse_waiting(&failure);
        }
    }

    fn carry(&mut self, actions: Vec<Action>) {
        let mut left = VecDeque::from(actions);
        while let Some(action) = left.pop_front() {
            match action {
                Action::Start {
                    id,
                    queued,
                    load_wait,
                } => left.extend(self.begin(&id, queued, load_wait)),
                Action::Refuse { id, failure } => self.refuse(&id, failure),
                Action::Ask { adapter, demand } => self.ask(adapter, demand),
                Action::Withdraw { adapter } => {
                    self.asking.remove(&adapter);
                    self.permits.remove(&adapter);
                }
                Action::Load { adapter, evict } => left.extend(self.load(adapter, evict)),
            }
        }
    }

    /// Grants a place.
    fn begin(&mut self, id: &Id, queued: Millis, load: Millis) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(id) else {
            return Vec::new();
        };
        let Some(reply) = entry.reply.take() else {
            return Vec::new();
        };
        if let Err(failure) = self.args.hold.check() {
            let _ = reply.send(Err(failure));
            self.entries.remove(id);
            return self.machine.finished(id, self.parts.clock.now());
        }
        // It may have waited for longer than changes take to be in force.
        if !self.parts.decisions.holds(&entry.ticket) {
            let _ = reply.send(Err(outdated()));
            self.entries.remove(id);
            return self.machine.finished(id, self.parts.clock.now());
        }
        self.parts.metrics.waited(entry.ticket.class, queued, load);
        let grant = Grant {
            target: self.target.clone(),
            hold: self.args.hold.clone(),
            waits: Waits { queued, load },
        };
        if reply.send(Ok(grant)).is_ok() {
            return Vec::new();
        }
        // The caller has gone. Its place may have said so before this request
        // was known, and nobody will say it again: the pin would leak.
        self.entries.remove(id);
        self.machine.finished(id, self.parts.clock.now())
    }

    fn refuse(&mut self, id: &Id, failure: Failure) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        if let Some(reply) = entry.reply {
            let _ = reply.send(Err(failure));
        }
    }

    /// Refuses all that wait; none of them has run.
    fn refuse_waiting(&mut self, failure: &Failure) {
        self.refuse_waiting_if(failure, |_| true);
    }

    fn refuse_waiting_if(&mut self, failure: &Failure, refused: impl Fn(&Ticket) -> bool) {
        let now = self.now();
        self.early.retain(|early| !refused(&early.ticket));
        let waiting: Vec<Id> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.reply.is_some() && refused(&entry.ticket))
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            self.refuse(&id, failure.clone());
            let actions = self.machine.cancelled(&id, now);
            self.carry(actions);
        }
    }

    fn tell_drained(&mut self) {
        if self.releasing && self.entries.is_empty() {
            for done in self.drained.drain(..) {
                let _ = done.send(());
            }
        }
    }

    fn publish(&mut self) {
        let seen = self.machine.status();
        let now = self.now();
        let slot = |(adapter, pins): &(Adapter, u32)| Slot {
            adapter: adapter.engine_name(),
            pins: *pins,
        };
        let names = |adapters: &[Adapter]| adapters.iter().map(Adapter::engine_name).collect();
        self.status.send_replace(Status {
            upstream: self.name().clone(),
            pool: self.args.pool.name.clone(),
            token: self.args.hold.token(),
            held: self.args.hold.check().is_ok(),
            failing: self.health.held(now).is_some(),
            leaving: self.releasing || self.args.upstream.state == State::Leaving,
            running: seen.running,
            foreign: u32::try_from(self.foreign.len()).unwrap_or(u32::MAX),
            waiting: seen.waiting,
            batch: self.args.pool.batch,
            resident: seen.resident.iter().map(slot).collect(),
            loading: names(&seen.loading),
            asked: names(&seen.asked),
            report_age_ms: self.reported.map(|at| now.since(at).0),
        });
    }
}

fn limits(parts: &Parts, args: &Args) -> Limits {
    let slots = match args.pool.kind {
        PoolKind::Engine { slots, .. } => Some(slots),
        PoolKind::Service => None,
    };
    Limits {
        slots,
        batch: args.pool.batch,
        ..parts.limits.machine.clone()
    }
}

fn outdated() -> Failure {
    failure(Code::Outdated, "its template names something else now")
}

fn failure(code: Code, detail: &str) -> Failure {
    Failure::new(code, detail)
}
