//! A model of an engine that executes orders and keeps a history of what it held.

use std::collections::BTreeMap;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{EngineStatus, LoadedModels, OrderOutcome};
use chivevalve::name::Name;

/// The version that an order without one loads.
const NEWEST_VERSION: u64 = 3;

/// Duration of a load.
const LOAD_TIME: Millis = Millis(250);

/// How long the response to a probe may take to reach a caller.
const MAX_DELIVERY_TIME: Millis = Millis(3_000);

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct LoadInProgress {
    version: u64,
    until: Millis,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    held: LoadedModels,
    adapters: BTreeMap<Name, u64>,
    loads: BTreeMap<Name, LoadInProgress>,
    /// What it held, with the time from which on it did.
    history: Vec<(Millis, LoadedModels)>,
    /// The adapter whose unload waits for running requests; other orders are refused meanwhile.
    leaving: Option<Name>,
    /// Whether unloads wait for running requests.
    are_unloads_delayed: bool,
    /// Number of orders that it still refuses.
    pending_refusals: u64,
    /// Whether loads of adapters that are present in another version wait for running requests.
    are_replacements_delayed: bool,
}

impl Engine {
    pub fn new(now: Millis) -> Self {
        let held = LoadedModels {
            started_at_ms: 1,
            ..LoadedModels::default()
        };
        Self {
            history: vec![(now, held.clone())],
            held,
            adapters: BTreeMap::new(),
            loads: BTreeMap::new(),
            leaving: None,
            are_unloads_delayed: false,
            pending_refusals: 0,
            are_replacements_delayed: false,
        }
    }

    pub fn refuse_next(&mut self, orders: u64) {
        self.pending_refusals = orders;
    }

    pub fn delay_replacements(&mut self, are_replacements_delayed: bool) {
        self.are_replacements_delayed = are_replacements_delayed;
    }

    pub fn delay_unloads(&mut self, are_unloads_delayed: bool) {
        self.are_unloads_delayed = are_unloads_delayed;
    }

    /// Completes the loads that are due, and an unload that waits no longer.
    pub fn pass(&mut self, now: Millis) {
        if !self.are_unloads_delayed
            && let Some(adapter) = self.leaving.take()
        {
            self.adapters.remove(&adapter);
        }
        let complete = |engine: &Self, name: &Name, load: &LoadInProgress| {
            load.until <= now
                && !(engine.are_replacements_delayed && engine.adapters.contains_key(name))
        };
        let done: Vec<(Name, u64)> = self
            .loads
            .iter()
            .filter(|(name, load)| complete(self, name, load))
            .map(|(name, load)| (Name::clone(name), load.version))
            .collect();
        for (name, version) in done {
            self.loads.remove(&name);
            self.adapters.insert(name, version);
        }
        self.record_history(now);
    }

    fn record_history(&mut self, now: Millis) {
        let adapters = self.adapters.iter();
        self.held.adapters = adapters
            .map(|(name, version)| (Name::clone(name), *version))
            .collect();
        let incoming = self.loads.iter();
        self.held.incoming = incoming
            .map(|(name, load)| (Name::clone(name), load.version))
            .collect();
        if self
            .history
            .last()
            .is_none_or(|(_, held)| *held != self.held)
        {
            self.history.push((now, self.held.clone()));
        }
    }

    /// Returns a status that describes the moment `at`.
    pub fn status(&self, at: Millis) -> EngineStatus {
        let mut history = self.history.iter().rev();
        let history = history.find(|(since, _)| *since <= at);
        let (_, held) = history.unwrap_or(&self.history[0]);
        EngineStatus {
            held: held.clone(),
            ..EngineStatus::default()
        }
    }

    /// Whether it recently held an adapter in a version; 0 is any.
    pub fn held_recently(&self, adapter: &str, version: u64, now: Millis) -> bool {
        let holds = |held: &LoadedModels| {
            let mut adapters = held.adapters.iter();
            adapters.any(|(name, held)| &**name == adapter && (version == 0 || *held == version))
        };
        let from = Millis(now.0.saturating_sub(MAX_DELIVERY_TIME.0));
        let recent = self
            .history
            .iter()
            .rev()
            .take_while(|(since, _)| *since > from);
        recent.map(|(_, held)| held).any(holds) || holds(&self.status(from).held)
    }

    pub fn count_used_slots(&self) -> usize {
        let loading = self.loads.keys();
        self.adapters.len()
            + loading
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
        let version = if version == 0 {
            NEWEST_VERSION
        } else {
            version
        };
        if self.refuses_next() {
            return OrderOutcome::Conflict;
        }
        // What is done already, or being done, isn't accepted again, whatever its number.
        match self.loads.get(adapter) {
            Some(load) if load.version == version => return OrderOutcome::Started,
            None if self.adapters.get(adapter) == Some(&version) => return OrderOutcome::Holds,
            _ => {}
        }
        if self.leaving.is_some() || expected != self.held.sequence {
            return OrderOutcome::Conflict;
        }
        self.held.sequence += 1;
        let until = now + LOAD_TIME;
        self.loads
            .insert(Name::clone(adapter), LoadInProgress { version, until });
        self.record_history(now);
        OrderOutcome::Started
    }

    pub fn unload(&mut self, adapter: &Name, expected: u64, now: Millis) -> OrderOutcome {
        if self.refuses_next() {
            return OrderOutcome::Conflict;
        }
        if self.leaving.as_ref() == Some(adapter) {
            return OrderOutcome::Started;
        }
        if !self.adapters.contains_key(adapter) && !self.loads.contains_key(adapter) {
            return OrderOutcome::Holds;
        }
        if self.leaving.is_some() || expected != self.held.sequence {
            return OrderOutcome::Conflict;
        }
        self.held.sequence += 1;
        if self.are_unloads_delayed && self.adapters.contains_key(adapter) {
            self.leaving = Some(Name::clone(adapter));
            self.record_history(now);
            return OrderOutcome::Started;
        }
        self.adapters.remove(adapter);
        self.loads.remove(adapter);
        self.record_history(now);
        OrderOutcome::Holds
    }

    fn refuses_next(&mut self) -> bool {
        let is_refused = self.pending_refusals > 0;
        self.pending_refusals = self.pending_refusals.saturating_sub(1);
        is_refused
    }

    /// Executes another owner's late load order.
    pub fn load_for_another(&mut self, adapter: &Name, version: u64, now: Millis) {
        let expected = self.held.sequence;
        self.load(adapter, version, expected, now);
    }

    /// Executes another owner's late unload order.
    pub fn unload_for_another(&mut self, adapter: &Name) {
        self.held.sequence += 1;
        self.leaving = self.leaving.take().filter(|leaving| leaving != adapter);
        self.adapters.remove(adapter);
        self.loads.remove(adapter);
    }

    /// Drops a load in progress without completing it.
    pub fn lose_load(&mut self, adapter: &Name) {
        self.loads.remove(adapter);
    }

    /// Restarts; what it reports from then on is of its new start.
    pub fn restart(&mut self) {
        self.history.clear();
        self.held.started_at_ms += 1;
        self.held.sequence = 0;
        self.leaving = None;
        self.adapters.clear();
        self.loads.clear();
    }
}
