//! The adapter slots of an engine, with exact pin counts.
//!
//! A slot is never reassigned while a running request uses its adapter: the engine would
//! answer with the output of a different adapter or cut the stream. The upstream's owner
//! counts the pins itself, since it alone starts requests; the engine's reports lag behind.
//! See docs/design/0002-decisions.md.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::adapter::Adapter;
use crate::clock::Millis;

/// Delay after the first failed load; doubles with each consecutive failure.
const INITIAL_BACKOFF: Millis = Millis(500);
/// Longest delay after failed loads.
const MAX_BACKOFF: Millis = Millis::from_secs(30);
/// How long evictions are remembered, in order to recognize reports that predate them.
const MAX_REPORT_LAG: Millis = Millis::from_secs(60);
/// Maximum number of remembered failed adapters, and of remembered evictions.
const MAX_REMEMBERED_ADAPTERS: usize = 1_024;

/// The state of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// The engine is loading the adapter; no request may start.
    Loading,
    /// Requests may start.
    Resident,
    /// Running requests finish and no new ones start, so that the adapter can be evicted.
    Draining,
}

/// A reference to a slot, held by one running request.
///
/// It holds the slot's generation: a request that outlives a restart of its engine must not
/// release a pin on a later load of the same adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin(u64);

#[derive(Debug)]
struct Slot {
    state: SlotState,
    pins: u32,
    generation: u64,
    changed_at: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    failures: u32,
    retry_at: Millis,
}

/// The slots of one engine.
#[derive(Debug)]
pub struct SlotTable {
    capacity: usize,
    slots: BTreeMap<Adapter, Slot>,
    backoffs: BTreeMap<Adapter, Backoff>,
    evicted_at: BTreeMap<Adapter, Millis>,
    last_generation: u64,
}

impl SlotTable {
    /// Creates a table of empty slots.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity as usize,
            slots: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            evicted_at: BTreeMap::new(),
            last_generation: 0,
        }
    }

    /// Changes the number of slots; loaded adapters stay until they are evicted.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity as usize;
    }

    /// Returns the state of an adapter's slot.
    #[must_use]
    pub fn state(&self, adapter: &Adapter) -> Option<SlotState> {
        self.slots.get(adapter).map(|slot| slot.state)
    }

    /// Returns whether requests may start on the adapter.
    #[must_use]
    pub fn is_resident(&self, adapter: &Adapter) -> bool {
        self.state(adapter) == Some(SlotState::Resident)
    }

    /// Returns whether there is an empty slot.
    #[must_use]
    pub fn has_empty_slot(&self) -> bool {
        self.slots.len() < self.capacity
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether all slots are empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Iterates over the adapters in slots, in key order, with state and number of pins.
    pub fn iter(&self) -> impl Iterator<Item = (&Adapter, SlotState, u32)> {
        self.slots
            .iter()
            .map(|(adapter, slot)| (adapter, slot.state, slot.pins))
    }

    /// Pins a resident adapter for a request that starts now.
    #[must_use]
    pub fn pin(&mut self, adapter: &Adapter) -> Option<Pin> {
        let slot = self.slots.get_mut(adapter)?;
        if slot.state != SlotState::Resident {
            return None;
        }
        slot.pins += 1;
        Some(Pin(slot.generation))
    }

    /// Pins an adapter for a request that is already running; unlike [`SlotTable::pin`],
    /// this works on a draining slot too.
    #[must_use]
    pub fn pin_running(&mut self, adapter: &Adapter) -> Option<Pin> {
        let slot = self.slots.get_mut(adapter)?;
        if slot.state == SlotState::Loading {
            return None;
        }
        slot.pins += 1;
        Some(Pin(slot.generation))
    }

    /// Returns whether a pin refers to the slot's current generation.
    #[must_use]
    pub fn is_pin_valid(&self, adapter: &Adapter, pin: &Pin) -> bool {
        let slot = self.slots.get(adapter);
        slot.is_some_and(|slot| slot.generation == pin.0)
    }

    /// Releases a pin. Returns whether the adapter has no pins left.
    pub fn unpin(&mut self, adapter: &Adapter, pin: Pin) -> bool {
        let Some(slot) = self.slots.get_mut(adapter) else {
            return false;
        };
        if slot.generation != pin.0 {
            return false;
        }
        slot.pins = slot.pins.saturating_sub(1);
        slot.pins == 0
    }

    /// Selects the unpinned adapter with the least demand for eviction.
    ///
    /// `demand` returns `None` for an adapter that must stay. A draining adapter is evicted
    /// first.
    pub fn victim(&self, demand: impl Fn(&Adapter) -> Option<f64>) -> Option<(&Adapter, f64)> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.pins == 0 && slot.state != SlotState::Loading)
            .filter_map(|(adapter, slot)| match slot.state {
                SlotState::Draining => Some((adapter, -1.0)),
                _ => demand(adapter).map(|demand| (adapter, demand)),
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Starts the load of an adapter into an empty slot or in place of `evict`.
    ///
    /// Returns false without any change if the victim is in use, no slot is free, or the
    /// adapter already has a slot.
    pub fn begin_load(&mut self, adapter: &Adapter, evict: Option<&Adapter>, now: Millis) -> bool {
        if self.slots.contains_key(adapter) {
            return false;
        }
        if let Some(victim) = evict {
            let free = self
                .slots
                .get(victim)
                .is_some_and(|slot| slot.pins == 0 && slot.state != SlotState::Loading);
            if !free || self.slots.len() > self.capacity {
                return false;
            }
            self.slots.remove(victim);
            self.remember_eviction(victim, now);
        } else if !self.has_empty_slot() {
            return false;
        }
        self.insert(adapter, SlotState::Loading, now);
        true
    }

    /// Ends a load. On failure, the slot becomes empty and the adapter gets a backoff.
    pub fn end_load(&mut self, adapter: &Adapter, ok: bool, now: Millis) -> bool {
        let Some(slot) = self.slots.get_mut(adapter) else {
            return false;
        };
        if slot.state != SlotState::Loading {
            return false;
        }
        if ok {
            slot.state = SlotState::Resident;
            slot.changed_at = now;
            self.backoffs.remove(adapter);
            return true;
        }
        self.slots.remove(adapter);
        self.back_off(adapter, now);
        true
    }

    /// Stops new requests on a resident adapter, so that its pins are released over time.
    pub fn drain(&mut self, adapter: &Adapter) {
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.state == SlotState::Resident
        {
            slot.state = SlotState::Draining;
        }
    }

    /// Allows new requests on a draining adapter again.
    pub fn undrain(&mut self, adapter: &Adapter) {
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.state == SlotState::Draining
        {
            slot.state = SlotState::Resident;
        }
    }

    /// Empties all slots after a restart of the engine.
    ///
    /// Returns the adapters that were resident. Pins of earlier generations become invalid.
    pub fn clear(&mut self) -> SmallVec<[Adapter; 8]> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .filter(|(_, slot)| slot.state != SlotState::Loading)
            .map(|(adapter, _)| adapter)
            .collect()
    }

    /// Returns when the adapter may be loaded again after failed loads.
    #[must_use]
    pub fn retry_at(&self, adapter: &Adapter) -> Option<Millis> {
        self.backoffs.get(adapter).map(|backoff| backoff.retry_at)
    }

    /// Returns the number of consecutive failed loads of the adapter.
    #[must_use]
    pub fn failures(&self, adapter: &Adapter) -> u32 {
        self.backoffs
            .get(adapter)
            .map_or(0, |backoff| backoff.failures)
    }

    /// Reconciles the slots with the engine's report as of `as_of`.
    ///
    /// Only slots that haven't changed since then are touched: an outdated report must
    /// neither restore an adapter that was evicted after it nor remove one that was loaded
    /// after it. Returns the adapters that were removed and those that were added.
    pub fn reconcile(
        &mut self,
        resident: &[Adapter],
        as_of: Millis,
        now: Millis,
    ) -> (SmallVec<[Adapter; 4]>, SmallVec<[Adapter; 4]>) {
        let gone: SmallVec<[Adapter; 4]> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state != SlotState::Loading && slot.pins == 0)
            .filter(|(adapter, slot)| slot.changed_at < as_of && !resident.contains(adapter))
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in &gone {
            self.slots.remove(adapter);
        }
        let mut found = SmallVec::new();
        for adapter in resident {
            let known = self.slots.contains_key(adapter);
            let evicted = self.evicted_at.get(adapter).is_some_and(|at| *at >= as_of);
            if !known && !evicted && self.has_empty_slot() {
                self.insert(adapter, SlotState::Resident, now);
                found.push(adapter.clone());
            }
        }
        (gone, found)
    }

    fn insert(&mut self, adapter: &Adapter, state: SlotState, now: Millis) {
        self.last_generation += 1;
        let slot = Slot {
            state,
            pins: 0,
            generation: self.last_generation,
            changed_at: now,
        };
        self.slots.insert(adapter.clone(), slot);
    }

    fn remember_eviction(&mut self, adapter: &Adapter, now: Millis) {
        if self.evicted_at.len() >= MAX_REMEMBERED_ADAPTERS {
            self.evicted_at
                .retain(|_, at| now.since(*at) < MAX_REPORT_LAG);
        }
        self.evicted_at.insert(adapter.clone(), now);
    }

    fn back_off(&mut self, adapter: &Adapter, now: Millis) {
        if self.backoffs.len() >= MAX_REMEMBERED_ADAPTERS {
            self.backoffs.retain(|_, backoff| now < backoff.retry_at);
        }
        let failures = self.failures(adapter).saturating_add(1);
        let wait = Millis(INITIAL_BACKOFF.0 << failures.saturating_sub(1).min(16)).min(MAX_BACKOFF);
        let backoff = Backoff {
            failures,
            retry_at: now + wait,
        };
        self.backoffs.insert(adapter.clone(), backoff);
    }
}
