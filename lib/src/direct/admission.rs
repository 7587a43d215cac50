//! Requests that run at an engine over all nodes, counted by the node that gives it its orders.
//!
//! With hundreds of nodes each sees a few of an engine's requests, and news that is gathered by
//! rounds of exchanges is older than a stream lasts: engines that were believed idle had full
//! queues. The owner of an engine counts exactly: whoever sends a request there asks it first
//! and keeps the call open while the request runs. A call that is dropped, also by the loss of
//! its node, gives the place back. It is a count and no lock: where the owner doesn't answer,
//! requests are sent without it. See docs/design/0008-admission-by-owners.md.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::{Clock, Millis};
use crate::name::Name;

/// Weight of one request in the mean time that requests stay: the last dozen count.
const STAY_WEIGHT: f64 = 0.08;

/// How long a request is assumed to stay before any has ended, in milliseconds.
///
/// A short answer's length; the first dozen requests correct it.
const FIRST_STAY: f64 = 1_500.0;

/// Requests at one engine.
#[derive(Debug)]
pub struct Occupancy {
    running: u32,
    by_adapter: HashMap<Name, u32>,
    stay: f64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            running: 0,
            by_adapter: HashMap::new(),
            stay: FIRST_STAY,
        }
    }
}

impl Occupancy {
    /// Counts a request in.
    pub fn enter(&mut self, adapter: &Name) {
        self.running += 1;
        *self.by_adapter.entry(Name::clone(adapter)).or_default() += 1;
    }

    /// Counts a request out that stayed for `stay`.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn leave(&mut self, adapter: &Name, stay: Millis) {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.by_adapter.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                self.by_adapter.remove(adapter);
            }
        }
        self.stay += STAY_WEIGHT * (stay.0 as f64 - self.stay);
    }

    /// Requests at the engine.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that use an adapter.
    #[must_use]
    pub fn running_of(&self, adapter: &str) -> u32 {
        self.by_adapter.get(adapter).copied().unwrap_or_default()
    }

    /// Returns when one more request is expected to begin.
    ///
    /// It begins once all but `slots - 1` of those before it have ended; `slots` requests end in
    /// the time that one stays.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some seconds"
    )]
    pub fn wait(&self, slots: u32) -> Millis {
        let slots = slots.max(1);
        let before = (self.running + 1).saturating_sub(slots);
        Millis((f64::from(before) * self.stay / f64::from(slots)) as u64)
    }
}

/// What a node that wants to send a request learns of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests there, without the one that asks.
    pub running: u32,
    /// Those of the same adapter.
    pub alike: u32,
    /// Time until the engine is expected to begin the one that asks.
    pub wait: Millis,
}

/// The engines that this node counts requests for.
#[derive(Debug)]
pub struct Table {
    clock: Arc<dyn Clock>,
    engines: Mutex<HashMap<Name, Occupancy>>,
}

/// A request's place in the count, until it is dropped.
#[derive(Debug)]
pub struct Place {
    table: Arc<Table>,
    engine: Name,
    adapter: Name,
    since: Millis,
}

impl Drop for Place {
    fn drop(&mut self) {
        let stay = self.table.clock.now().since(self.since);
        if let Some(occupancy) = self.table.engines().get_mut(&self.engine) {
            occupancy.leave(&self.adapter, stay);
        }
    }
}

impl Table {
    /// Makes a table in which nothing is counted.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            engines: Mutex::default(),
        }
    }

    /// Returns how much an engine has to do for one more request.
    #[must_use]
    pub fn load(&self, engine: &Name, adapter: &str, slots: u32) -> Load {
        let engines = self.engines();
        let Some(occupancy) = engines.get(engine) else {
            return Load {
                running: 0,
                alike: 0,
                wait: Millis::ZERO,
            };
        };
        Load {
            running: occupancy.running(),
            alike: occupancy.running_of(adapter),
            wait: occupancy.wait(slots),
        }
    }

    /// Requests at an engine.
    #[must_use]
    pub fn running(&self, engine: &str) -> u32 {
        self.engines().get(engine).map_or(0, Occupancy::running)
    }

    /// Whether a request that is counted uses an adapter.
    #[must_use]
    pub fn uses(&self, engine: &str, adapter: &str) -> bool {
        let engines = self.engines();
        let occupancy = engines.get(engine);
        occupancy.is_some_and(|occupancy| occupancy.running_of(adapter) > 0)
    }

    /// Counts a request in.
    #[must_use]
    pub fn enter(self: &Arc<Self>, engine: &Name, adapter: &Name) -> Place {
        self.engines()
            .entry(Name::clone(engine))
            .or_default()
            .enter(adapter);
        Place {
            table: Arc::clone(self),
            engine: Name::clone(engine),
            adapter: Name::clone(adapter),
            since: self.clock.now(),
        }
    }

    /// Forgets engines that are gone.
    pub fn retain(&self, is_there: impl Fn(&Name) -> bool) {
        self.engines().retain(|engine, _| is_there(engine));
    }

    fn engines(&self) -> MutexGuard<'_, HashMap<Name, Occupancy>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
