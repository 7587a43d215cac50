//! An engine's adapter slots, with exact pins.
//!
//! A slot whose adapter a running request uses is never given away: the engine
//! would answer with another adapter's words or break the stream off. Pins are
//! counted here, by the one owner that starts requests, and not read from the
//! engine, whose reports lag. See docs/design/0002-decisions.md.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::adapter::Adapter;
use crate::clock::Millis;

/// First wait after a failed load; it doubles with each failure in a row.
const INITIAL_BACKOFF: Millis = Millis(500);
/// Longest wait after failed loads.
const MAX_BACKOFF: Millis = Millis::from_secs(30);
/// How long an eviction is remembered, against reports from before it.
const MAX_REPORT_LAG: Millis = Millis::from_secs(60);
/// Most failed adapters and evictions that are remembered.
const MAX_REMEMBERED_ADAPTERS: usize = 1_024;

/// What a slot is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// The engine loads the adapter; nothing may start on it.
    Loading,
    /// Requests may start on it.
    Resident,
    /// Running requests finish, nothing starts, then it is evicted.
    Draining,
}

/// A use of a slot by one running request.
///
/// It names the filling of the slot that it belongs to: a request that outlived
/// an engine's restart must not give back a pin of the adapter's next load.
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
    until: Millis,
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
    /// Starts with all slots empty.
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

    /// Changes how many slots there are; what is loaded stays until it is evicted.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity as usize;
    }

    /// Returns what the slot of an adapter is doing.
    #[must_use]
    pub fn state(&self, adapter: &Adapter) -> Option<SlotState> {
        self.slots.get(adapter).map(|slot| slot.state)
    }

    /// Returns whether requests may start on the adapter.
    #[must_use]
    pub fn is_resident(&self, adapter: &Adapter) -> bool {
        self.state(adapter) == Some(SlotState::Resident)
    }

    /// Returns whether a slot is empty.
    #[must_use]
    pub fn has_empty_slot(&self) -> bool {
        self.slots.len() < self.capacity
    }

    /// Returns how many slots are in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether all slots are empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Lists the adapters in slots, in order, with state and pins.
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

    /// Pins an adapter for a request that runs on it already; nothing may start, but it may finish.
    #[must_use]
    pub fn pin_running(&mut self, adapter: &Adapter) -> Option<Pin> {
        let slot = self.slots.get_mut(adapter)?;
        if slot.state == SlotState::Loading {
            return None;
        }
        slot.pins += 1;
        Some(Pin(slot.generation))
    }

    /// Whether a pin still holds its adapter in the slot that it was given for.
    #[must_use]
    pub fn is_pin_valid(&self, adapter: &Adapter, pin: &Pin) -> bool {
        let slot = self.slots.get(adapter);
        slot.is_some_and(|slot| slot.generation == pin.0)
    }

    /// Gives a pin back. Returns whether the adapter is now free of pins.
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

    /// Picks what to evict: of the adapters that nobody uses, the one in least demand.
    ///
    /// `demand` returns none for an adapter that must stay. A draining adapter goes first.
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

    /// Begins to load an adapter, in an empty slot or in the place of `evict`.
    ///
    /// Returns false, and changes nothing, when that would break a rule: the
    /// victim is in use, no slot is free, or the adapter has a slot already.
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

    /// Ends a load. After a failure the slot is empty and the adapter backs off.
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

    /// Stops new starts on a resident adapter, so that its pins run out.
    pub fn drain(&mut self, adapter: &Adapter) {
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.state == SlotState::Resident
        {
            slot.state = SlotState::Draining;
        }
    }

    /// Lets requests start on a draining adapter again.
    pub fn undrain(&mut self, adapter: &Adapter) {
        if let Some(slot) = self.slots.get_mut(adapter)
            && slot.state == SlotState::Draining
        {
            slot.state = SlotState::Resident;
        }
    }

    /// Empties all slots after the engine has started anew.
    ///
    /// Returns what was resident. Pins of the former fillings become void.
    pub fn clear(&mut self) -> SmallVec<[Adapter; 8]> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .filter(|(_, slot)| slot.state != SlotState::Loading)
            .map(|(adapter, _)| adapter)
            .collect()
    }

    /// Returns when the adapter may be loaded again after failures.
    #[must_use]
    pub fn retry_at(&self, adapter: &Adapter) -> Option<Millis> {
        self.backoffs.get(adapter).map(|backoff| backoff.until)
    }

    /// Returns how many loads of the adapter failed in a row.
    #[must_use]
    pub fn failures(&self, adapter: &Adapter) -> u32 {
        self.backoffs
            .get(adapter)
            .map_or(0, |backoff| backoff.failures)
    }

    /// Corrects drift by what the engine said at `as_of`.
    ///
    /// Only slots that nobody changed since then are touched: an old report
    /// must neither bring back what was evicted after it nor remove what was
    /// loaded after it. Returns what was found to be gone and what was found.
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
            self.backoffs.retain(|_, backoff| now < backoff.until);
        }
        let failures = self.failures(adapter).saturating_add(1);
        let wait = Millis(INITIAL_BACKOFF.0 << failures.saturating_sub(1).min(16)).min(MAX_BACKOFF);
        let backoff = Backoff {
            failures,
            until: now + wait,
        };
        self.backoffs.insert(adapter.clone(), backoff);
    }
}
