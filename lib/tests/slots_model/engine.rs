//! An engine that carries out orders, and remembers what it would have reported when.

use std::collections::BTreeMap;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels, OrderOutcome};
use chivevalve::name::Name;

/// The version that an order without one means.
const NEWEST: u64 = 3;

/// How long a load takes.
const LOAD: Millis = Millis(250);

/// How long a look's answer, and a request that was told of it, may be on the way.
const WAY: Millis = Millis(3_000);

/// A load on its way.
#[derive(Debug, Clone, Copy)]
struct Transit {
    version: u64,
    until: Millis,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    held: LoadedModels,
    adapters: BTreeMap<Name, u64>,
    transits: BTreeMap<Name, Transit>,
    /// What it held, by the time since when.
    past: Vec<(Millis, LoadedModels)>,
    /// Orders to refuse.
    refusals: u64,
    /// Replacements wait for runs.
    held_up: bool,
}

impl Engine {
    pub fn new(now: Millis) -> Self {
        let held = LoadedModels {
            started_at_ms: 1,
            ..LoadedModels::default()
        };
        Self {
            past: vec![(now, held.clone())],
            held,
            adapters: BTreeMap::new(),
            transits: BTreeMap::new(),
            refusals: 0,
            held_up: false,
        }
    }

    pub fn refuse_next(&mut self, orders: u64) {
        self.refusals = orders;
    }

    pub fn hold_up(&mut self, held_up: bool) {
        self.held_up = held_up;
    }

    /// Completes loads whose time has come.
    pub fn pass(&mut self, now: Millis) {
        let complete = |engine: &Self, name: &Name, transit: &Transit| {
            transit.until <= now && !(engine.held_up && engine.adapters.contains_key(name))
        };
        let done: Vec<(Name, u64)> = self
            .transits
            .iter()
            .filter(|(name, transit)| complete(self, name, transit))
            .map(|(name, transit)| (Name::clone(name), transit.version))
            .collect();
        for (name, version) in done {
            self.transits.remove(&name);
            self.adapters.insert(name, version);
        }
        self.remember(now);
    }

    fn remember(&mut self, now: Millis) {
        let adapters = self.adapters.iter();
        self.held.adapters = adapters
            .map(|(name, version)| (Name::clone(name), *version))
            .collect();
        let incoming = self.transits.iter();
        self.held.incoming = incoming
            .map(|(name, transit)| (Name::clone(name), transit.version))
            .collect();
        if self.past.last().is_none_or(|(_, held)| *held != self.held) {
            self.past.push((now, self.held.clone()));
        }
    }

    /// What a report says whose values are of this moment.
    pub fn report(&self, at: Millis) -> EngineStatus {
        let past = self.past.iter().rev().find(|(since, _)| *since <= at);
        let (_, held) = past.unwrap_or(&self.past[0]);
        EngineStatus {
            held: held.clone(),
            ..EngineStatus::default()
        }
    }

    /// Whether it held an adapter in a version not long ago; 0 is any.
    pub fn held_lately(&self, adapter: &str, version: u64, now: Millis) -> bool {
        let holds = |held: &LoadedModels| {
            let mut adapters = held.adapters.iter();
            adapters.any(|(name, held)| &**name == adapter && (version == 0 || *held == version))
        };
        let from = Millis(now.0.saturating_sub(WAY.0));
        let recent = self
            .past
            .iter()
            .rev()
            .take_while(|(since, _)| *since > from);
        recent.map(|(_, held)| held).any(holds) || holds(&self.report(from).held)
    }

    pub fn taken(&self) -> usize {
        let loads = self.transits.keys();
        self.adapters.len()
            + loads
                .filter(|name| !self.adapters.contains_key(*name))
                .count()
    }

    pub fn load(
        &mut self,
        adapter: &Name,
        version: u64,
        expected: u64,
        now: Millis,
    ) -> OrderOutcome {
        if self.refuses(expected) {
            return OrderOutcome::Conflict;
        }
        let version = if version == 0 { NEWEST } else { version };
        match self.transits.get(adapter) {
            Some(transit) if transit.version == version => return OrderOutcome::Started,
            None if self.adapters.get(adapter) == Some(&version) => return OrderOutcome::Holds,
            _ => {}
        }
        self.held.sequence += 1;
        let until = now + LOAD;
        self.transits
            .insert(Name::clone(adapter), Transit { version, until });
        self.remember(now);
        OrderOutcome::Started
    }

    pub fn unload(&mut self, adapter: &Name, expected: u64, now: Millis) -> OrderOutcome {
        if self.refuses(expected) {
            return OrderOutcome::Conflict;
        }
        self.held.sequence += 1;
        self.adapters.remove(adapter);
        self.transits.remove(adapter);
        self.remember(now);
        OrderOutcome::Holds
    }

    fn refuses(&mut self, expected: u64) -> bool {
        if self.refusals > 0 {
            self.refusals -= 1;
            return true;
        }
        expected != self.held.sequence
    }

    /// Another owner's late order.
    pub fn load_for_another(&mut self, adapter: &Name, version: u64, now: Millis) {
        let expected = self.held.sequence;
        self.load(adapter, version, expected, now);
    }

    /// Another owner's late order.
    pub fn unload_for_another(&mut self, adapter: &Name) {
        self.held.sequence += 1;
        self.adapters.remove(adapter);
        self.transits.remove(adapter);
    }

    /// A load that comes to nothing.
    pub fn lose_load(&mut self, adapter: &Name) {
        self.transits.remove(adapter);
    }

    pub fn restart(&mut self) {
        self.held.started_at_ms += 1;
        self.held.sequence = 0;
        self.adapters.clear();
        self.transits.clear();
    }
}
