//! A model of one engine and the owner that tracks its slots, with lost and delayed messages.

mod engine;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{Action, OrderOutcome};
use chivevalve::direct::orders::slots::{LoadProbe, MAX_LOAD_TIME, MAX_STATUS_AGE, Slots};
use chivevalve::direct::orders::unanswered::{LATE_ORDER_WINDOW, UnansweredLoads};
use chivevalve::direct::orders::{LoadCommand, LoadOutcome};
use chivevalve::name::Name;
use engine::Engine;
use tokio::sync::oneshot::{self, Receiver};

/// Adapter slots of the engine.
const SLOTS: usize = 4;

/// Interval of the owner's periodic work.
const TICK: Millis = Millis(250);

/// The longest that a caller may wait for an outcome.
const MAX_WAIT: Millis = Millis(MAX_LOAD_TIME.0 + 2 * TICK.0);

/// A caller that requested an adapter.
#[derive(Debug)]
struct Caller {
    adapter: Name,
    version: u64,
    since: Millis,
    outcome: Receiver<LoadOutcome>,
}

/// The engine, its owner and the callers.
#[derive(Debug)]
pub struct World {
    now: Millis,
    last_tick_at: Millis,
    engine: Engine,
    slots: Slots,
    stale: bool,
    callers: Vec<Caller>,
    /// Responses to probes that the owner hasn't received yet.
    probe_responses: Vec<(LoadProbe, Option<OrderOutcome>)>,
    /// When the engine last changed without an order of this owner.
    disturbed_at: Option<Millis>,
    /// What becomes of the next attempts to send an order, two bits each; 0 is a response.
    fates: u64,
    unanswered: UnansweredLoads,
    /// Orders without a response that the engine may still execute.
    late_orders: Vec<LateOrder>,
}

/// An order that is still on its way.
#[derive(Debug)]
struct LateOrder {
    action: Action,
    adapter: Name,
    version: u64,
    sequence: u64,
    sent_at: Millis,
}

/// Result of an order after all its attempts.
enum OrderResult {
    Answered(OrderOutcome),
    Unclear,
    Unanswered,
}

impl Default for World {
    fn default() -> Self {
        let now = Millis(10_000);
        let engine = Engine::new(now);
        let slots = Slots::new(&engine.status(now), now);
        Self {
            now,
            last_tick_at: now,
            engine,
            slots,
            stale: false,
            callers: Vec::new(),
            probe_responses: Vec::new(),
            disturbed_at: None,
            fates: 0,
            unanswered: UnansweredLoads::default(),
            late_orders: Vec::new(),
        }
    }
}

impl World {
    /// Executes one event.
    pub fn step(&mut self, event: u32) -> Result<(), String> {
        let (kind, value) = (event % 20, u64::from(event / 20));
        match kind {
            0..=3 => self.request_load(value),
            4..=6 => self.pass(Millis(1 + value % 120)),
            7 => self.pass(Millis(value % 2_000)),
            8 => self.send_probes(value.is_multiple_of(4)),
            9 | 10 => self.deliver_probe_responses(value),
            11 => self.refresh_status(Millis(value % MAX_STATUS_AGE.0)),
            12 => self.engine.refuse_next(value % 3),
            13 => self.change_engine(value),
            14 => self.engine.delay_replacements(value % 2 == 0),
            15 => self.fates = value,
            16 | 17 => self.execute_late_order(value),
            18 => self.engine.delay_unloads(value % 2 == 0),
            19 if value.is_multiple_of(4) => self.change_owner(Millis(value % 400)),
            _ => self.send_probes(false),
        }
        self.check()
    }

    /// Waits until all loads are complete, and checks the final state.
    pub fn settle(&mut self) -> Result<(), String> {
        self.engine.delay_replacements(false);
        self.engine.delay_unloads(false);
        self.engine.refuse_next(0);
        self.fates = 0;
        self.late_orders.clear();
        let end = self.now + MAX_LOAD_TIME + MAX_LOAD_TIME;
        while self.now < end {
            self.pass(Millis(10));
            self.send_probes(false);
            self.deliver_probe_responses(0);
            self.check()?;
        }
        if !self.callers.is_empty() {
            return Err(format!("callers without an outcome: {:?}", self.callers));
        }
        if self.slots.count_loads() > 0 {
            return Err(format!("a load never ends: {:?}", self.slots));
        }
        self.refresh_status(Millis::ZERO);
        let known = self.slots.held();
        let held = self.engine.status(self.now).held;
        if known.sequence != held.sequence || known.adapters != held.adapters {
            return Err(format!(
                "the engine holds {held:?}, the owner tracks {known:?}"
            ));
        }
        Ok(())
    }

    fn request_load(&mut self, value: u64) {
        let adapter = Name::from(format!("base/a{}", value % 5));
        let version = value / 5 % 4;
        if self.stale || (version > 0 && self.slots.has_unknown_version(&adapter)) {
            self.refresh_status(Millis(value % MAX_STATUS_AGE.0));
        }
        let (reply, outcome) = oneshot::channel();
        let caller = Caller {
            adapter: Name::clone(&adapter),
            version,
            since: self.now,
            outcome,
        };
        self.callers.push(caller);
        let load = LoadCommand {
            adapter,
            version,
            reply,
        };
        if let Some(load) = self.slots.serve_or_enqueue(load, self.now) {
            self.start_load(load);
        }
    }

    fn start_load(&mut self, load: LoadCommand) {
        if !self.has_free_slot(&load.adapter) {
            let leaving = self.slots.leaving();
            let victim = leaving.or_else(|| self.slots.least_recently_used(self.now, |_| false));
            let Some(victim) = victim else {
                return refuse(load);
            };
            match self.order(Action::Unload, &victim, 0) {
                OrderResult::Answered(OrderOutcome::Holds) => {
                    self.slots.record_unloaded(&victim, self.now);
                }
                OrderResult::Answered(OrderOutcome::Started) => {
                    self.slots.record_unload_started(&victim);
                    self.stale = true;
                }
                _ => self.stale = true,
            }
            if self.stale || !self.has_free_slot(&load.adapter) {
                return refuse(load);
            }
        }
        match self.order(Action::Load, &load.adapter, load.version) {
            OrderResult::Answered(OrderOutcome::Started) => {
                if self.slots.has_unknown_version(&load.adapter) {
                    self.stale = true;
                } else {
                    self.slots.record_accepted_order(self.now);
                }
                self.slots.record_load_started(load, self.now);
            }
            OrderResult::Answered(OrderOutcome::Holds) => {
                self.slots.record_present(load, self.now);
            }
            OrderResult::Answered(_) => {
                self.stale = true;
                refuse(load);
            }
            OrderResult::Unclear => {
                self.slots.record_load_unclear(load, self.now);
                self.stale = true;
            }
            OrderResult::Unanswered => refuse(load),
        }
    }

    fn has_free_slot(&mut self, adapter: &str) -> bool {
        self.unanswered
            .retain_executable(self.slots.confirmed_sequence(), self.now);
        self.slots.has_free_slot(adapter, SLOTS, &self.unanswered)
    }

    /// Sends an order up to three times, while it gets no response.
    fn order(&mut self, action: Action, adapter: &Name, version: u64) -> OrderResult {
        for attempt in 0..3 {
            let outcome = self.attempt(action, adapter, version);
            match outcome {
                Some(OrderOutcome::Conflict) if attempt > 0 => return OrderResult::Unclear,
                Some(outcome) => return OrderResult::Answered(outcome),
                None => {}
            }
        }
        OrderResult::Unanswered
    }

    /// Sends an order once; it may be lost, executed without a response, or executed late.
    fn attempt(&mut self, action: Action, adapter: &Name, version: u64) -> Option<OrderOutcome> {
        let order = LateOrder {
            action,
            adapter: Name::clone(adapter),
            version,
            sequence: self.slots.sequence(),
            sent_at: self.now,
        };
        let fate = self.fates % 4;
        self.fates /= 4;
        if fate > 0 && action == Action::Load {
            self.unanswered
                .record(order.sequence, Name::clone(adapter), self.now);
        }
        match fate {
            0 => return Some(self.execute(&order)),
            1 => {
                self.execute(&order);
            }
            2 => self.late_orders.push(order),
            _ => {}
        }
        None
    }

    fn execute(&mut self, order: &LateOrder) -> OrderOutcome {
        let LateOrder {
            action,
            adapter,
            version,
            sequence,
            ..
        } = order;
        match action {
            Action::Load => self.engine.load(adapter, *version, *sequence, self.now),
            Action::Unload => self.engine.unload(adapter, *sequence, self.now),
        }
    }

    /// Has the engine execute one of the orders that are still on their way.
    fn execute_late_order(&mut self, value: u64) {
        let now = self.now;
        self.late_orders
            .retain(|order| now.since(order.sent_at) < LATE_ORDER_WINDOW);
        if self.late_orders.is_empty() {
            return;
        }
        let at = usize::try_from(value).unwrap_or_default() % self.late_orders.len();
        let order = self.late_orders.swap_remove(at);
        if self.execute(&order) != OrderOutcome::Conflict {
            self.disturbed_at = Some(now);
        }
    }

    /// Lets another owner take over, which knows only a status of the engine.
    fn change_owner(&mut self, age: Millis) {
        let at = Millis(self.now.0 - age.0);
        self.slots = Slots::new(&self.engine.status(at), self.now);
        self.unanswered = UnansweredLoads::default();
        self.probe_responses.clear();
        self.callers.clear();
        self.stale = false;
    }

    fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + Millis(10));
            self.engine.pass(self.now);
            if self.now.since(self.last_tick_at) >= TICK {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        self.last_tick_at = self.now;
        self.slots.expire_waiters(self.now);
        self.stale |= self.slots.needs_status(self.now);
        if self.stale {
            self.refresh_status(Millis(200));
        }
    }

    fn refresh_status(&mut self, age: Millis) {
        let at = Millis(self.now.0 - age.0);
        let status = self.engine.status(at);
        let is_applied = self.slots.apply_status(&status, self.now);
        self.stale = false;
        if is_applied
            && self
                .disturbed_at
                .is_some_and(|since| at >= since + MAX_STATUS_AGE)
        {
            self.disturbed_at = None;
        }
    }

    /// Sends all due probes; with `lost` none of them reaches the engine.
    fn send_probes(&mut self, lost: bool) {
        for probe in self.slots.due_probes(self.now) {
            if lost {
                self.unanswered
                    .record(probe.sequence, Name::clone(&probe.adapter), self.now);
                self.late_orders.push(LateOrder {
                    action: Action::Load,
                    adapter: Name::clone(&probe.adapter),
                    version: probe.version,
                    sequence: probe.sequence,
                    sent_at: self.now,
                });
                self.probe_responses.push((probe, None));
                continue;
            }
            let outcome = self
                .engine
                .load(&probe.adapter, probe.version, probe.sequence, self.now);
            self.probe_responses.push((probe, Some(outcome)));
        }
    }

    /// Delivers responses to probes, the latest first; `left` sets how many are kept back.
    fn deliver_probe_responses(&mut self, left: u64) {
        while self.probe_responses.len() > usize::try_from(left % 3).unwrap_or_default() {
            let Some((probe, outcome)) = self.probe_responses.pop() else {
                return;
            };
            self.stale |= !self.slots.apply_probe(&probe, outcome, self.now);
        }
    }

    /// Changes the engine without an order of this owner.
    fn change_engine(&mut self, value: u64) {
        let adapter = Name::from(format!("base/a{}", value / 4 % 5));
        match value % 4 {
            0 => self.engine.unload_for_another(&adapter),
            1 if self.engine.count_used_slots() < SLOTS => {
                let version = 1 + value / 20 % 3;
                self.engine.load_for_another(&adapter, version, self.now);
            }
            1 => {}
            2 => self.engine.lose_load(&adapter),
            _ => self.engine.restart(),
        }
        self.engine.pass(self.now);
        self.probe_responses.clear();
        self.disturbed_at = Some(self.now);
    }

    /// Checks the callers' outcomes, and that none waits for too long.
    fn check(&mut self) -> Result<(), String> {
        let now = self.now;
        let mut waiting = Vec::new();
        for mut caller in std::mem::take(&mut self.callers) {
            match caller.outcome.try_recv() {
                Ok(LoadOutcome::Ready(version)) => self.check_ready(&caller, version)?,
                Ok(_) => {}
                Err(oneshot::error::TryRecvError::Closed) => {
                    return Err(format!("dropped without an outcome: {caller:?}"));
                }
                Err(oneshot::error::TryRecvError::Empty) => waiting.push(caller),
            }
        }
        self.callers = waiting;
        let too_long = |caller: &&Caller| now.since(caller.since) > MAX_WAIT;
        if let Some(caller) = self.callers.iter().find(too_long) {
            return Err(format!("waits for too long: {caller:?}"));
        }
        if self.engine.count_used_slots() > SLOTS {
            return Err("more adapters than the engine has slots".to_owned());
        }
        Ok(())
    }

    fn check_ready(&self, caller: &Caller, version: u64) -> Result<(), String> {
        let fits = version >= caller.version;
        let was_held = self
            .engine
            .held_recently(&caller.adapter, version, self.now);
        if fits && (was_held || self.disturbed_at.is_some()) {
            return Ok(());
        }
        Err(format!("{caller:?} got version {version}"))
    }
}

fn refuse(load: LoadCommand) {
    let _ = load.reply.send(LoadOutcome::Full);
}
