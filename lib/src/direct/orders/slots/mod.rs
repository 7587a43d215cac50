//! The adapter slots of one engine, folded from all evidence of what it holds.
//!
//! Four kinds of evidence tell of an engine: how it answered an order, its reports, looks whether
//! a load is complete, and time. They overtake each other: a report tells of a moment some
//! hundred milliseconds back, and an order's answer can be older than another owner's order. So
//! evidence is ordered by the engine's start and its count of accepted orders, and where both are
//! the same by age; older evidence never undoes newer. See
//! docs/design/0013-evidence-of-loads.md.

mod slot;
mod told;

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::message::{LoadCommand, LoadOutcome};
use crate::clock::Millis;
use crate::direct::dialect::{EngineStatus, LoadedModels, OrderOutcome};
use crate::name::Name;
use slot::{Loading, SLOW_LOOK, Slot, Waiter};
use told::Told;

pub(super) use slot::answer;

/// The longest that a load may take before whoever waits is told that it failed.
pub const MAX_LOAD_TIME: Millis = Millis(4_000);

/// How old what a report says may be.
pub const MAX_REPORT_AGE: Millis = Millis(1_000);

/// First look whether a load is complete; one from the engine's own memory takes a tenth.
const FIRST_LOOK: Millis = Millis(45);

/// Time after which a look that nothing was heard of is repeated: a connection and an answer.
const LOST_LOOK: Millis = Millis(600);

/// Pause between reports while a load outlasts [`MAX_LOAD_TIME`].
const SLOW_REPORT: Millis = Millis(1_000);

/// A question whether a load is complete: the same order again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadProbe {
    /// `BASE/NAME`.
    pub adapter: Name,
    /// The version that was ordered; 0 is whatever was the newest.
    pub version: u64,
    /// The count of accepted orders with which it leaves.
    pub sequence: u64,
}

/// What is known of an engine's slots.
#[derive(Debug, Default)]
pub struct Slots {
    started_at_ms: u64,
    sequence: u64,
    /// When the engine was last known to accept an order.
    advanced: Millis,
    /// When the last report was asked for that was taken in.
    reported: Millis,
    models: Vec<Name>,
    by_adapter: BTreeMap<Name, Slot>,
    /// Until when adapters count as in use though no request is counted.
    used: BTreeMap<Name, Millis>,
}

impl Slots {
    /// Takes in the first report of an engine, asked for at `asked`.
    #[must_use]
    pub fn new(report: &EngineStatus, asked: Millis) -> Self {
        let mut slots = Self {
            started_at_ms: report.held.started_at_ms,
            ..Self::default()
        };
        slots.merge(&report.held, asked);
        slots
    }

    /// Takes in a report that was asked for at `asked`; false if it is older than what is known.
    pub fn report(&mut self, report: &EngineStatus, asked: Millis) -> bool {
        let held = &report.held;
        if held.started_at_ms > self.started_at_ms {
            self.answer_all(LoadOutcome::Failed);
            *self = Self {
                used: std::mem::take(&mut self.used),
                ..Self::new(report, asked)
            };
            return true;
        }
        let is_older = held.started_at_ms < self.started_at_ms || held.sequence < self.sequence;
        // A count that stays behind was counted wrongly here.
        let is_settled =
            held.started_at_ms == self.started_at_ms && asked >= self.advanced + MAX_REPORT_AGE;
        if is_older && !is_settled {
            return false;
        }
        self.merge(held, asked);
        true
    }

    fn merge(&mut self, held: &LoadedModels, asked: Millis) {
        let is_newer = held.sequence != self.sequence;
        let mut told = Told::by_name(held);
        let known = std::mem::take(&mut self.by_adapter);
        for (name, slot) in known {
            let told = told.remove(&name).unwrap_or_default();
            if let Some(slot) = slot.merge(told, is_newer, asked) {
                self.by_adapter.insert(name, slot);
            }
        }
        for (name, told) in told {
            self.by_adapter.insert(name, told.into_slot(asked));
        }
        if is_newer {
            self.advanced = asked;
        }
        self.sequence = held.sequence;
        self.reported = asked;
        self.models.clone_from(&held.models);
    }

    /// Answers who asks for an adapter that is held, or lets it wait for a load on its way.
    ///
    /// Returns the question if an order is needed.
    pub fn wait(&mut self, load: LoadCommand, now: Millis) -> Option<LoadCommand> {
        match self.by_adapter.get_mut(&load.adapter) {
            Some(Slot::Present { version, .. }) if *version >= load.version => {
                answer(load.reply, LoadOutcome::Ready(*version));
                None
            }
            Some(Slot::Loading(loading)) if loading.version >= load.version => {
                if loading.is_overdue(now) && loading.waiters.is_empty() {
                    loading.next_look = now;
                }
                loading.waiters.push(Waiter::new(load.reply, now));
                None
            }
            _ => Some(load),
        }
    }

    /// Whether an adapter was loaded as whatever is the newest, and no report has told its version.
    #[must_use]
    pub fn is_unversioned(&self, adapter: &str) -> bool {
        match self.by_adapter.get(adapter) {
            Some(Slot::Present { version, .. }) => *version == 0,
            Some(Slot::Loading(loading)) => loading.version == 0,
            None => false,
        }
    }

    /// Takes in that the engine accepted an order.
    pub fn accepted(&mut self, now: Millis) {
        self.sequence += 1;
        self.advanced = now;
    }

    /// Takes in that the engine began the load that was ordered.
    ///
    /// Whoever waits for an older version of the adapter is served by this one.
    pub fn began(&mut self, load: LoadCommand, now: Millis) {
        let mut waiters = match self.by_adapter.remove(&load.adapter) {
            Some(Slot::Loading(former)) => former.waiters,
            Some(Slot::Present { .. }) | None => Vec::new(),
        };
        waiters.push(Waiter::new(load.reply, now));
        let loading = Loading {
            version: load.version,
            since: now,
            next_look: now + FIRST_LOOK,
            waiters,
        };
        self.by_adapter.insert(load.adapter, Slot::Loading(loading));
    }

    /// Takes in that the engine holds what was ordered already.
    pub fn holds(&mut self, load: LoadCommand, now: Millis) {
        self.complete(&load.adapter, load.version, now);
        answer(load.reply, LoadOutcome::Ready(load.version));
    }

    /// Takes in that an adapter was dropped.
    pub fn dropped(&mut self, adapter: &str) {
        self.by_adapter.remove(adapter);
    }

    /// Returns the looks that are due, each repeated later unless an answer comes before.
    pub fn due(&mut self, now: Millis) -> SmallVec<[LoadProbe; 4]> {
        let sequence = self.sequence;
        let mut looks = SmallVec::new();
        for (adapter, slot) in &mut self.by_adapter {
            let Slot::Loading(loading) = slot else {
                continue;
            };
            if !loading.is_looked_at(now) || loading.next_look > now {
                continue;
            }
            loading.next_look = now + LOST_LOOK;
            looks.push(LoadProbe {
                adapter: Name::clone(adapter),
                version: loading.version,
                sequence,
            });
        }
        looks
    }

    /// Returns when the next look is due.
    #[must_use]
    pub fn next_look(&self, now: Millis) -> Option<Millis> {
        let looked_at = self.loads().filter(|loading| loading.is_looked_at(now));
        looked_at.map(|loading| loading.next_look).min()
    }

    /// Takes in how the engine answered a look; false if a report has to tell what is wrong.
    pub fn looked(&mut self, look: &LoadProbe, outcome: Option<OrderOutcome>, now: Millis) -> bool {
        let is_current = look.sequence == self.sequence;
        let Some(Slot::Loading(loading)) = self.by_adapter.get_mut(&look.adapter) else {
            return true;
        };
        // Another version was ordered since, with looks of its own.
        if loading.version != look.version {
            return true;
        }
        match outcome {
            Some(OrderOutcome::Holds) => {
                self.complete(&look.adapter, look.version, now);
                true
            }
            Some(OrderOutcome::Fenced | OrderOutcome::Elsewhere) => {
                if let Some(Slot::Loading(loading)) = self.by_adapter.remove(&look.adapter) {
                    loading.answer(LoadOutcome::Failed);
                }
                false
            }
            Some(OrderOutcome::Conflict) if is_current => {
                loading.next_look = now + SLOW_LOOK;
                false
            }
            Some(OrderOutcome::Conflict | OrderOutcome::Started | OrderOutcome::Refused) | None => {
                loading.next_look = now + loading.pause(now);
                true
            }
        }
    }

    /// Tells those who have waited for too long.
    pub fn expire(&mut self, now: Millis) {
        for slot in self.by_adapter.values_mut() {
            if let Slot::Loading(loading) = slot {
                loading.expire(now);
            }
        }
    }

    /// Whether a report has to tell what became of a load that outlasts its time.
    #[must_use]
    pub fn wants_report(&self, now: Millis) -> bool {
        let is_overdue = self.loads().any(|loading| loading.is_overdue(now));
        is_overdue && now.since(self.reported) >= SLOW_REPORT
    }

    /// Tells all that wait, as nobody looks at loads any more.
    pub fn give_up(mut self, loaded: LoadOutcome) {
        self.answer_all(loaded);
    }

    /// Returns the count of orders that the engine has accepted.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the base models that the engine holds.
    #[must_use]
    pub fn models(&self) -> &[Name] {
        &self.models
    }

    /// Returns how many slots are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.by_adapter.len()
    }

    /// Whether a slot is taken by an adapter, or by its load.
    #[must_use]
    pub fn has_slot(&self, adapter: &str) -> bool {
        self.by_adapter.contains_key(adapter)
    }

    /// Counts the loads on their way.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.loads().count()
    }

    /// Counts the loads on their way that haven't outlasted their time.
    #[must_use]
    pub fn loading_in_time(&self, now: Millis) -> usize {
        let in_time = |loading: &&Loading| !loading.is_overdue(now);
        self.loads().filter(in_time).count()
    }

    /// Takes in that an adapter is in use until `until` though no request may be counted.
    pub fn uses(&mut self, adapter: Name, until: Millis) {
        let known = self.used.entry(adapter).or_default();
        *known = until.max(*known);
    }

    /// Returns the adapter that was used the longest ago of those held and not in use.
    #[must_use]
    pub fn least_used(&self, now: Millis, in_use: impl Fn(&Name) -> bool) -> Option<Name> {
        let held = self
            .by_adapter
            .iter()
            .filter_map(|(name, slot)| match slot {
                Slot::Present { .. } => Some(name),
                Slot::Loading(_) => None,
            });
        let (until, name) = held
            .filter(|name| !in_use(name))
            .map(|name| (self.used.get(name).copied().unwrap_or_default(), name))
            .min()?;
        (now >= until).then(|| Name::clone(name))
    }

    /// Returns what the engine holds for requests.
    #[must_use]
    pub fn held(&self) -> LoadedModels {
        let held = self
            .by_adapter
            .iter()
            .filter_map(|(name, slot)| match slot {
                Slot::Present { version, .. } => Some((Name::clone(name), *version)),
                Slot::Loading(_) => None,
            });
        LoadedModels {
            started_at_ms: self.started_at_ms,
            sequence: self.sequence,
            models: self.models.clone(),
            adapters: held.collect(),
            incoming: Vec::new(),
        }
    }

    fn loads(&self) -> impl Iterator<Item = &Loading> {
        self.by_adapter.values().filter_map(|slot| match slot {
            Slot::Loading(loading) => Some(loading),
            Slot::Present { .. } => None,
        })
    }

    fn complete(&mut self, adapter: &Name, version: u64, now: Millis) {
        let since = now;
        let present = Slot::Present { version, since };
        let former = self.by_adapter.insert(Name::clone(adapter), present);
        if let Some(Slot::Loading(loading)) = former {
            let took = now.since(loading.since);
            log::debug!("orders: {adapter} is loaded after {took}");
            loading.answer(LoadOutcome::Ready(version));
        }
    }

    fn answer_all(&mut self, loaded: LoadOutcome) {
        for slot in std::mem::take(&mut self.by_adapter).into_values() {
            if let Slot::Loading(loading) = slot {
                loading.answer(loaded);
            }
        }
    }
}
