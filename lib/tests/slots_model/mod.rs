//! A model of one engine and the owner that tracks its slots, with lost and delayed messages.

mod engine;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::OrderOutcome;
use chivevalve::direct::orders::slots::{LoadProbe, MAX_LOAD_TIME, MAX_STATUS_AGE, Slots};
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
        }
    }
}

impl World {
    /// Executes one event.
    pub fn step(&mut self, event: u32) -> Result<(), String> {
        let (kind, value) = (event % 16, u64::from(event / 16));
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
            _ => self.send_probes(false),
        }
        self.check()
    }

    /// Waits until all loads are complete, and checks the final state.
    pub fn settle(&mut self) -> Result<(), String> {
        self.engine.delay_replacements(false);
        self.engine.refuse_next(0);
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
            let Some(victim) = self.slots.least_recently_used(self.now, |_| false) else {
                return refuse(load);
            };
            if self.engine.unload(&victim, self.slots.sequence(), self.now) != OrderOutcome::Holds {
                self.stale = true;
                return refuse(load);
            }
            self.slots.record_accepted_order(self.now);
            self.slots.record_unloaded(&victim);
            if !self.has_free_slot(&load.adapter) {
                return refuse(load);
            }
        }
        let sequence = self.slots.sequence();
        let engine = &mut self.engine;
        match engine.load(&load.adapter, load.version, sequence, self.now) {
            OrderOutcome::Started => {
                self.slots.record_accepted_order(self.now);
                self.slots.record_load_started(load, self.now);
            }
            OrderOutcome::Holds => self.slots.record_present(load, self.now),
            _ => {
                self.stale = true;
                refuse(load);
            }
        }
    }

    fn has_free_slot(&self, adapter: &str) -> bool {
        self.slots.has_slot(adapter) || self.slots.count_used_slots() < SLOTS
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
        if self.disturbed_at.is_none() && self.engine.count_used_slots() > SLOTS {
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
