//! An engine, its owner's belief of it, and everything that may come between them.

mod engine;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::OrderOutcome;
use chivevalve::direct::orders::slots::{LoadProbe, MAX_LOAD_TIME, MAX_REPORT_AGE, Slots};
use chivevalve::direct::orders::{LoadCommand, LoadOutcome};
use chivevalve::name::Name;
use engine::Engine;
use tokio::sync::oneshot::{self, Receiver};

/// The engine's slots.
const PLACES: usize = 4;

/// Pause between looks after things that nobody asked for.
const TICK: Millis = Millis(250);

/// The longest that a waiter may be without an answer.
const PATIENCE: Millis = Millis(MAX_LOAD_TIME.0 + 2 * TICK.0);

/// Somebody who asked for an adapter.
#[derive(Debug)]
struct Caller {
    adapter: Name,
    version: u64,
    since: Millis,
    answer: Receiver<LoadOutcome>,
}

/// The world.
#[derive(Debug)]
pub struct World {
    now: Millis,
    ticked: Millis,
    engine: Engine,
    slots: Slots,
    stale: bool,
    callers: Vec<Caller>,
    /// Answers to looks that are on their way back.
    answers: Vec<(LoadProbe, Option<OrderOutcome>)>,
    /// When something changed the engine of which this owner wasn't told.
    disturbed: Option<Millis>,
}

impl Default for World {
    fn default() -> Self {
        let now = Millis(10_000);
        let engine = Engine::new(now);
        let slots = Slots::new(&engine.report(now), now);
        Self {
            now,
            ticked: now,
            engine,
            slots,
            stale: false,
            callers: Vec::new(),
            answers: Vec::new(),
            disturbed: None,
        }
    }
}

impl World {
    /// Lets one thing happen.
    pub fn step(&mut self, event: u32) -> Result<(), String> {
        let (kind, part) = (event % 16, u64::from(event / 16));
        match kind {
            0..=3 => self.ask(part),
            4..=6 => self.pass(Millis(1 + part % 120)),
            7 => self.pass(Millis(part % 2_000)),
            8 => self.look(part.is_multiple_of(4)),
            9 | 10 => self.hear(part),
            11 => self.report(Millis(part % MAX_REPORT_AGE.0)),
            12 => self.engine.refuse_next(part % 3),
            13 => self.disturb(part),
            14 => self.engine.hold_up(part % 2 == 0),
            _ => self.look(false),
        }
        self.check()
    }

    /// Lets everything come to rest, and checks that nothing is left behind.
    pub fn settle(&mut self) -> Result<(), String> {
        self.engine.hold_up(false);
        self.engine.refuse_next(0);
        let end = self.now + MAX_LOAD_TIME + MAX_LOAD_TIME;
        while self.now < end {
            self.pass(Millis(10));
            self.look(false);
            self.hear(0);
            self.check()?;
        }
        if !self.callers.is_empty() {
            return Err(format!("nobody answers {:?}", self.callers));
        }
        if self.slots.loading() > 0 {
            return Err(format!("a load stays on its way: {:?}", self.slots));
        }
        self.report(Millis::ZERO);
        let known = self.slots.held();
        let held = self.engine.report(self.now).held;
        if known.sequence != held.sequence || known.adapters != held.adapters {
            return Err(format!("it holds {held:?}, believed is {known:?}"));
        }
        Ok(())
    }

    fn ask(&mut self, part: u64) {
        let adapter = Name::from(format!("base/a{}", part % 5));
        let version = part / 5 % 4;
        if self.stale || (version > 0 && self.slots.is_unversioned(&adapter)) {
            self.report(Millis(part % MAX_REPORT_AGE.0));
        }
        let (reply, answer) = oneshot::channel();
        let caller = Caller {
            adapter: Name::clone(&adapter),
            version,
            since: self.now,
            answer,
        };
        self.callers.push(caller);
        let load = LoadCommand {
            adapter,
            version,
            reply,
        };
        if let Some(load) = self.slots.wait(load, self.now) {
            self.order(load);
        }
    }

    fn order(&mut self, load: LoadCommand) {
        if !self.has_room(&load.adapter) {
            let Some(victim) = self.slots.least_used(self.now, |_| false) else {
                return refuse(load);
            };
            if self.engine.unload(&victim, self.slots.sequence(), self.now) != OrderOutcome::Holds {
                self.stale = true;
                return refuse(load);
            }
            self.slots.accepted(self.now);
            self.slots.dropped(&victim);
            if !self.has_room(&load.adapter) {
                return refuse(load);
            }
        }
        let sequence = self.slots.sequence();
        let engine = &mut self.engine;
        match engine.load(&load.adapter, load.version, sequence, self.now) {
            OrderOutcome::Started => {
                self.slots.accepted(self.now);
                self.slots.began(load, self.now);
            }
            OrderOutcome::Holds => self.slots.holds(load, self.now),
            _ => {
                self.stale = true;
                refuse(load);
            }
        }
    }

    fn has_room(&self, adapter: &str) -> bool {
        self.slots.has_slot(adapter) || self.slots.taken() < PLACES
    }

    fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + Millis(10));
            self.engine.pass(self.now);
            if self.now.since(self.ticked) >= TICK {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        self.ticked = self.now;
        self.slots.expire(self.now);
        self.stale |= self.slots.wants_report(self.now);
        if self.stale {
            self.report(Millis(200));
        }
    }

    fn report(&mut self, age: Millis) {
        let at = Millis(self.now.0 - age.0);
        let report = self.engine.report(at);
        let is_taken = self.slots.report(&report, self.now);
        self.stale = false;
        if is_taken
            && self
                .disturbed
                .is_some_and(|since| at >= since + MAX_REPORT_AGE)
        {
            self.disturbed = None;
        }
    }

    /// Has all looks leave that are due; some are lost.
    fn look(&mut self, lost: bool) {
        for look in self.slots.due(self.now) {
            if lost {
                self.answers.push((look, None));
                continue;
            }
            let outcome = self
                .engine
                .load(&look.adapter, look.version, look.sequence, self.now);
            self.answers.push((look, Some(outcome)));
        }
    }

    /// Has answers to looks arrive, the later ones first.
    fn hear(&mut self, left: u64) {
        while self.answers.len() > usize::try_from(left % 3).unwrap_or_default() {
            let Some((look, outcome)) = self.answers.pop() else {
                return;
            };
            self.stale |= !self.slots.looked(&look, outcome, self.now);
        }
    }

    /// Changes the engine behind the owner's back.
    fn disturb(&mut self, part: u64) {
        let adapter = Name::from(format!("base/a{}", part / 4 % 5));
        match part % 4 {
            0 => self.engine.unload_for_another(&adapter),
            1 if self.engine.taken() < PLACES => {
                let version = 1 + part / 20 % 3;
                self.engine.load_for_another(&adapter, version, self.now);
            }
            1 => {}
            2 => self.engine.lose_load(&adapter),
            _ => self.engine.restart(),
        }
        self.engine.pass(self.now);
        self.answers.clear();
        self.disturbed = Some(self.now);
    }

    /// Checks what callers were told, and that nobody waits for too long.
    fn check(&mut self) -> Result<(), String> {
        let now = self.now;
        let mut waiting = Vec::new();
        for mut caller in std::mem::take(&mut self.callers) {
            match caller.answer.try_recv() {
                Ok(LoadOutcome::Ready(version)) => self.check_ready(&caller, version)?,
                Ok(_) => {}
                Err(oneshot::error::TryRecvError::Closed) => {
                    return Err(format!("dropped without an answer: {caller:?}"));
                }
                Err(oneshot::error::TryRecvError::Empty) => waiting.push(caller),
            }
        }
        self.callers = waiting;
        let too_long = |caller: &&Caller| now.since(caller.since) > PATIENCE;
        if let Some(caller) = self.callers.iter().find(too_long) {
            return Err(format!("waits for too long: {caller:?}"));
        }
        if self.disturbed.is_none() && self.engine.taken() > PLACES {
            return Err("more adapters than the engine has slots".to_owned());
        }
        Ok(())
    }

    fn check_ready(&self, caller: &Caller, version: u64) -> Result<(), String> {
        let fits = version >= caller.version;
        let is_so = self.engine.held_lately(&caller.adapter, version, self.now);
        if fits && (is_so || self.disturbed.is_some()) {
            return Ok(());
        }
        Err(format!("{caller:?} is told of version {version}"))
    }
}

fn refuse(load: LoadCommand) {
    let _ = load.reply.send(LoadOutcome::Full);
}
