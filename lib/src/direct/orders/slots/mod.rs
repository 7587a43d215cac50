//! The adapter slots of one engine, derived from all evidence of what the engine holds.
//!
//! There are four kinds of evidence: responses to orders, the engine's status, probes that tell
//! whether a load is complete, and elapsed time. They arrive out of order: a status describes a
//! moment some hundred milliseconds ago, and the response to an order can be older than another
//! owner's order. Evidence is therefore ordered by the engine's start time and its count of
//! accepted orders, and by age where both are equal; older evidence never overrides newer. See
//! docs/design/0013-evidence-of-loads.md.

mod eviction;
mod probe;
mod slot;
mod status;

use std::collections::BTreeMap;

use super::message::{LoadCommand, LoadOutcome};
use super::unanswered::UnansweredLoads;
use crate::clock::Millis;
use crate::direct::dialect::{EngineStatus, LoadedModels};
use crate::name::Name;
use eviction::Evictions;
use probe::FIRST_PROBE_DELAY;
use slot::{Loading, Slot, Waiter};
use status::AdapterStatus;

pub use probe::LoadProbe;
pub(super) use slot::send_outcome;

/// How long a load may take before its waiters are told that it failed.
pub const MAX_LOAD_TIME: Millis = Millis(4_000);

/// How old the information in an engine's status may be.
pub const MAX_STATUS_AGE: Millis = Millis(1_000);

/// Interval between status requests while only they tell of a load or an unload.
const STATUS_INTERVAL: Millis = Millis(1_000);

/// What is known of an engine's slots.
#[derive(Debug, Default)]
pub struct Slots {
    started_at_ms: u64,
    /// The number of the next order: how many orders the engine has probably accepted.
    sequence: u64,
    /// How many orders the engine has certainly accepted.
    confirmed_sequence: u64,
    /// When the engine was last known to accept an order.
    last_accepted_at: Millis,
    /// When the last applied status was requested.
    last_status_at: Millis,
    /// When the last status of this start, applied or outdated, was requested.
    start_seen_at: Millis,
    models: Vec<Name>,
    by_adapter: BTreeMap<Name, Slot>,
    /// How many adapters the engine has room for; 0 if that isn't known.
    capacity: usize,
    /// Until when adapters count as in use though no request is counted with them.
    in_use_until: BTreeMap<Name, Millis>,
    evictions: Evictions,
}

impl Slots {
    /// Creates the slots from the first status of an engine, requested at `requested_at`.
    #[must_use]
    pub fn new(status: &EngineStatus, requested_at: Millis) -> Self {
        let mut slots = Self {
            started_at_ms: status.held.started_at_ms,
            start_seen_at: requested_at,
            ..Self::default()
        };
        slots.merge(&status.held, requested_at);
        slots
    }

    /// Sets how many adapters the engine has room for.
    #[must_use]
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Applies a status that was requested at `requested_at`; returns false if it is outdated.
    pub fn apply_status(&mut self, status: &EngineStatus, requested_at: Millis) -> bool {
        let held = &status.held;
        if held.started_at_ms > self.started_at_ms {
            self.fail_loads(LoadOutcome::Failed);
            *self = Self {
                capacity: self.capacity,
                in_use_until: std::mem::take(&mut self.in_use_until),
                evictions: std::mem::take(&mut self.evictions),
                ..Self::new(status, requested_at)
            };
            return true;
        }
        let is_older = held.started_at_ms < self.started_at_ms || held.sequence < self.sequence;
        // A count that is still lower after the maximum age of a status means that this node
        // counted wrongly.
        let is_settled = held.started_at_ms == self.started_at_ms
            && requested_at >= self.last_accepted_at + MAX_STATUS_AGE;
        self.record_start(held.started_at_ms, requested_at);
        if is_older && !is_settled {
            return false;
        }
        self.merge(held, requested_at);
        true
    }

    /// Records that a status requested at `requested_at` shows a start of the engine; returns
    /// whether it is the known one.
    pub fn record_start(&mut self, started_at_ms: u64, requested_at: Millis) -> bool {
        let is_known = started_at_ms == self.started_at_ms;
        if is_known {
            self.start_seen_at = requested_at;
        }
        is_known
    }

    fn merge(&mut self, held: &LoadedModels, requested_at: Millis) {
        let is_newer = held.sequence != self.sequence;
        let mut statuses = AdapterStatus::by_name(held);
        let known = std::mem::take(&mut self.by_adapter);
        for (name, slot) in known {
            let status = statuses.remove(&name).unwrap_or_default();
            if let Some(slot) = slot.merge(status, held.sequence, is_newer, requested_at) {
                self.by_adapter.insert(name, slot);
            }
        }
        for (name, status) in statuses {
            self.by_adapter
                .insert(name, status.into_slot(held.sequence, requested_at));
        }
        if is_newer {
            self.last_accepted_at = requested_at;
        }
        self.sequence = held.sequence;
        self.confirmed_sequence = held.sequence;
        self.last_status_at = requested_at;
        self.models.clone_from(&held.models);
        let has_slot = |adapter: &str| self.by_adapter.contains_key(adapter);
        self.evictions
            .apply_status(held.sequence, requested_at, has_slot);
    }

    /// Answers a load if the adapter is present, or adds it to the waiters of a load in progress.
    ///
    /// Returns the command if an order is needed. That is also so if the engine may have dropped the
    /// adapter: the order then asks for the version that was present.
    pub fn serve_or_enqueue(&mut self, mut load: LoadCommand, now: Millis) -> Option<LoadCommand> {
        let is_uncertain = self.evictions.is_uncertain(&load.adapter);
        match self.by_adapter.get_mut(&load.adapter) {
            Some(Slot::Present {
                version, unload, ..
            }) if is_uncertain || unload.is_some() => {
                load.version = load.version.max(*version);
                Some(load)
            }
            Some(Slot::Present { version, .. }) if *version >= load.version => {
                send_outcome(load.reply, LoadOutcome::Ready(*version));
                None
            }
            Some(Slot::Loading(loading)) if loading.version >= load.version => {
                if loading.is_overdue(now) && loading.waiters.is_empty() {
                    loading.next_probe = now;
                }
                loading.waiters.push(Waiter::new(load.reply, now));
                None
            }
            _ => Some(load),
        }
    }

    /// Whether an adapter was loaded without a version, or its load is unclear, and no status has
    /// shown which version it is.
    #[must_use]
    pub fn has_unknown_version(&self, adapter: &str) -> bool {
        match self.by_adapter.get(adapter) {
            Some(Slot::Present { version, .. }) => *version == 0,
            Some(Slot::Loading(loading)) => loading.version == 0 || !loading.is_confirmed,
            None => false,
        }
    }

    /// Records that the engine accepted an order with the next number.
    pub fn record_accepted_order(&mut self, now: Millis) {
        self.sequence += 1;
        self.confirmed_sequence = self.sequence;
        self.last_accepted_at = now;
        self.evictions.apply_count(self.confirmed_sequence);
    }

    /// Records that the engine started the load that was ordered.
    ///
    /// Waiters for an older version of the adapter are served by this load.
    pub fn record_load_started(&mut self, load: LoadCommand, now: Millis) {
        let mut waiters = match self.by_adapter.remove(&load.adapter) {
            Some(Slot::Loading(previous)) => previous.waiters,
            Some(Slot::Present { .. }) | None => Vec::new(),
        };
        waiters.push(Waiter::new(load.reply, now));
        let loading = Loading {
            version: load.version,
            since: now,
            next_probe: now + FIRST_PROBE_DELAY,
            sequence: self.sequence,
            is_confirmed: true,
            waiters,
        };
        self.by_adapter.insert(load.adapter, Slot::Loading(loading));
    }

    /// Records that the engine may have started the load that was ordered, until a status tells.
    ///
    /// The load takes a slot, but isn't probed: a probe would start it if the engine hasn't, maybe
    /// beside the order that it conflicted with.
    pub fn record_load_unclear(&mut self, load: LoadCommand, now: Millis) {
        let adapter = Name::clone(&load.adapter);
        self.record_load_started(load, now);
        if let Some(Slot::Loading(loading)) = self.by_adapter.get_mut(&adapter) {
            loading.is_confirmed = false;
        }
    }

    /// Records that the engine already held the adapter that was ordered.
    pub fn record_present(&mut self, load: LoadCommand, now: Millis) {
        self.complete_load(&load.adapter, load.version, now);
        send_outcome(load.reply, LoadOutcome::Ready(load.version));
    }

    /// Records that an unload waits for the adapter's running requests.
    ///
    /// The engine gives the same response again without counting the order again, also to the
    /// order of a previous owner. So the count is left to the next status.
    pub fn record_unload_started(&mut self, adapter: &str) {
        self.evictions.end(adapter);
        if let Some(Slot::Present { unload, .. }) = self.by_adapter.get_mut(adapter) {
            *unload = Some(self.sequence + 1);
        }
    }

    /// Records that an adapter that was ordered to be unloaded is gone.
    ///
    /// The engine doesn't count an unload of an adapter that is already gone. An adapter that was
    /// leaving has gone, so its unload isn't counted here; any other one is, but as the engine may
    /// have dropped it before, that count isn't confirmed.
    pub fn record_unloaded(&mut self, adapter: &str, now: Millis) {
        self.evictions.end(adapter);
        let removed = self.by_adapter.remove(adapter);
        let was_leaving = removed.as_ref().and_then(Slot::unload).is_some();
        if !was_leaving {
            self.sequence += 1;
        }
        self.last_accepted_at = now;
    }

    /// Records that the unload of an adapter was refused, or could not be sent.
    pub fn record_unload_canceled(&mut self, adapter: &str) {
        self.evictions.cancel(adapter);
    }

    /// Returns an adapter whose unload waits for running requests.
    #[must_use]
    pub fn leaving(&self) -> Option<Name> {
        let mut leaving = self
            .by_adapter
            .iter()
            .filter(|(_, slot)| slot.unload().is_some());
        leaving.next().map(|(name, _)| Name::clone(name))
    }

    /// Fails the waiters that have waited longer than [`MAX_LOAD_TIME`].
    pub fn expire_waiters(&mut self, now: Millis) {
        for slot in self.by_adapter.values_mut() {
            if let Slot::Loading(loading) = slot {
                loading.expire_waiters(now);
            }
        }
    }

    /// Whether the engine's status is needed to learn what became of a load or an unload.
    #[must_use]
    pub fn needs_status(&self, now: Millis) -> bool {
        let is_overdue = self.loads().any(|loading| loading.is_overdue(now));
        let is_unclear = self.loads().any(|loading| !loading.is_confirmed);
        let is_polled = is_overdue || self.leaving().is_some();
        is_unclear
            || self.needs_start(now)
            || (is_polled && now.since(self.last_status_at) >= STATUS_INTERVAL)
            || self.evictions.needs_status(now, self.last_status_at)
    }

    /// Gives all waiters an outcome, as loads are no longer probed.
    pub fn fail_waiters(mut self, outcome: LoadOutcome) {
        self.fail_loads(outcome);
    }

    /// Returns the number of the next order: how many the engine has probably accepted.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of orders that the engine has certainly accepted.
    #[must_use]
    pub fn confirmed_sequence(&self) -> u64 {
        self.confirmed_sequence
    }

    /// Returns the base models that the engine holds.
    #[must_use]
    pub fn models(&self) -> &[Name] {
        &self.models
    }

    /// Returns the number of slots that hold or load an adapter.
    #[must_use]
    pub fn count_used_slots(&self) -> usize {
        self.by_adapter.len()
    }

    /// Whether an adapter can be loaded into one of `capacity` slots without another unload.
    ///
    /// Whatever unanswered loads the engine still executes, it then has enough slots.
    #[must_use]
    pub fn has_free_slot(
        &self,
        adapter: &str,
        capacity: usize,
        unanswered: &UnansweredLoads,
    ) -> bool {
        let taken = unanswered.count_slots(|other| other == adapter || self.has_slot(other));
        self.has_slot(adapter) || self.count_used_slots() + taken < capacity
    }

    /// Whether a slot holds or loads an adapter.
    #[must_use]
    pub fn has_slot(&self, adapter: &str) -> bool {
        self.by_adapter.contains_key(adapter)
    }

    /// Returns the number of loads in progress.
    #[must_use]
    pub fn count_loads(&self) -> usize {
        self.loads().count()
    }

    /// Returns the number of loads in progress that aren't overdue.
    #[must_use]
    pub fn count_on_time_loads(&self, now: Millis) -> usize {
        let on_time = |loading: &&Loading| !loading.is_overdue(now);
        self.loads().filter(on_time).count()
    }

    /// Records that an adapter is in use until `until`, though no request may be counted with it.
    pub fn mark_in_use(&mut self, adapter: Name, until: Millis) {
        let known = self.in_use_until.entry(adapter).or_default();
        *known = until.max(*known);
    }

    /// Returns the least recently used of the adapters that are present and not in use, and records
    /// that its unload is about to be ordered.
    ///
    /// Until the engine's response or status tells what became of the unload, the adapter takes its
    /// slot but isn't known to be present.
    pub fn least_recently_used(
        &mut self,
        now: Millis,
        in_use: impl Fn(&Name) -> bool,
    ) -> Option<Name> {
        let (until, name) = self
            .by_adapter
            .iter()
            .filter(|(name, slot)| matches!(slot, Slot::Present { .. }) && !in_use(name))
            .map(|(name, _)| {
                let until = self.in_use_until.get(name).copied();
                (until.unwrap_or_default(), name)
            })
            .min()?;
        if now < until {
            return None;
        }
        let name = Name::clone(name);
        self.evictions.begin(Name::clone(&name), self.sequence, now);
        Some(name)
    }

    /// Returns the base models and the adapters that requests can use now.
    #[must_use]
    pub fn held(&self) -> LoadedModels {
        let present = self
            .by_adapter
            .iter()
            .filter_map(|(name, slot)| match slot {
                Slot::Present { version, .. } => Some((Name::clone(name), *version)),
                Slot::Loading(_) => None,
            })
            .filter(|(name, _)| !self.evictions.is_uncertain(name));
        LoadedModels {
            started_at_ms: self.started_at_ms,
            sequence: self.sequence,
            models: self.models.clone(),
            adapters: present.collect(),
            incoming: Vec::new(),
        }
    }

    fn loads(&self) -> impl Iterator<Item = &Loading> {
        self.by_adapter.values().filter_map(|slot| match slot {
            Slot::Loading(loading) => Some(loading),
            Slot::Present { .. } => None,
        })
    }

    fn complete_load(&mut self, adapter: &Name, version: u64, now: Millis) {
        self.evictions.record_present(adapter);
        // An adapter that is leaving is present until its running requests have finished.
        let unload = self.by_adapter.get(adapter).and_then(Slot::unload);
        let since = now;
        let present = Slot::Present {
            version,
            since,
            unload,
        };
        let previous = self.by_adapter.insert(Name::clone(adapter), present);
        if let Some(Slot::Loading(loading)) = previous {
            let took = now.since(loading.since);
            log::debug!("orders: {adapter} is loaded after {took}");
            loading.finish(LoadOutcome::Ready(version));
        }
    }

    fn fail_loads(&mut self, outcome: LoadOutcome) {
        for slot in std::mem::take(&mut self.by_adapter).into_values() {
            if let Slot::Loading(loading) = slot {
                loading.finish(outcome);
            }
        }
    }
}
