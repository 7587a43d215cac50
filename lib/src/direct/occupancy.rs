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

/// Weight of one prompt in the mean time that reading a token takes.
const READ_WEIGHT: f64 = 0.05;

/// How long reading a token is assumed to take before any prompt was read, in milliseconds.
///
/// Engines read some twenty to forty tokens in a millisecond; a dozen prompts correct it.
const FIRST_READ: f64 = 0.04;

/// A request's part in an engine's count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedRequest {
    /// The adapter that it uses; empty for none.
    pub adapter: Name,
    /// Tokens of its prompt.
    pub tokens: u32,
}

/// Requests at one engine.
///
/// An engine reads prompts one after the other between the steps that write. Where a dozen
/// requests arrive together, the last one's first event waits for all prompts before it, long
/// before the engine's places are used up, so what is still to be read counts by itself.
#[derive(Debug)]
pub struct Occupancy {
    running: u32,
    by_adapter: HashMap<Name, u32>,
    unread: u64,
    stay: f64,
    read: f64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            running: 0,
            by_adapter: HashMap::new(),
            unread: 0,
            stay: FIRST_STAY,
            read: FIRST_READ,
        }
    }
}

impl Occupancy {
    /// Counts a request in, and returns the tokens to be read until its prompt is.
    pub fn enter(&mut self, part: &CountedRequest) -> u64 {
        self.running += 1;
        let adapter = Name::clone(&part.adapter);
        *self.by_adapter.entry(adapter).or_default() += 1;
        self.unread += u64::from(part.tokens);
        self.unread
    }

    /// Takes in that a request's prompt is read, `took` after it came; `ahead` is what
    /// [`Self::enter`] returned for it.
    #[allow(
        clippy::cast_precision_loss,
        reason = "some seconds and thousands of tokens"
    )]
    pub fn read(&mut self, part: &CountedRequest, ahead: u64, took: Millis) {
        self.unread = self.unread.saturating_sub(u64::from(part.tokens));
        if ahead > 0 && part.tokens > 0 {
            let sample = took.0 as f64 / ahead as f64;
            self.read += READ_WEIGHT * (sample - self.read);
        }
    }

    /// Counts a request out that stayed for `stay`.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn leave(&mut self, part: &CountedRequest, stay: Millis) {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.by_adapter.get_mut(&part.adapter) {
            *count -= 1;
            if *count == 0 {
                self.by_adapter.remove(&part.adapter);
            }
        }
        self.stay += STAY_WEIGHT * (stay.0 as f64 - self.stay);
    }

    /// Takes in that a request leaves whose prompt was never read.
    pub fn forget_unread(&mut self, part: &CountedRequest) {
        self.unread = self.unread.saturating_sub(u64::from(part.tokens));
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

    /// Returns when the engine is expected to begin one more request's prompt.
    ///
    /// The request has a place once all but `slots - 1` of those before it have ended; `slots`
    /// requests end in the time that one stays. Then the prompts before it are read.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some seconds"
    )]
    pub fn wait(&self, slots: u32) -> Millis {
        let slots = slots.max(1);
        let before = (self.running + 1).saturating_sub(slots);
        let place = f64::from(before) * self.stay / f64::from(slots);
        Millis((place + self.unread as f64 * self.read) as u64)
    }
}

/// What a node that wants to send a request learns of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests there, without the one that asks.
    pub running: u32,
    /// Those of the same adapter.
    pub same_adapter: u32,
    /// Time until the engine is expected to begin to read the prompt of the one that asks.
    pub wait: Millis,
}

/// The engines that this node counts requests for.
#[derive(Debug)]
pub struct OccupancyTable {
    clock: Arc<dyn Clock>,
    engines: Mutex<HashMap<Name, Occupancy>>,
}

/// A request's place in the count, until it is dropped.
#[derive(Debug)]
pub struct OccupancyGuard {
    table: Arc<OccupancyTable>,
    engine: Name,
    part: CountedRequest,
    since: Millis,
    /// Tokens to be read until its prompt is; none once that is done.
    ahead: Option<u64>,
}

impl OccupancyGuard {
    /// Takes in that the engine has read the request's prompt.
    pub fn prefill_done(&mut self) {
        let Some(ahead) = self.ahead.take() else {
            return;
        };
        let took = self.table.clock.now().since(self.since);
        if let Some(occupancy) = self.table.engines().get_mut(&self.engine) {
            occupancy.read(&self.part, ahead, took);
        }
    }
}

impl Drop for OccupancyGuard {
    fn drop(&mut self) {
        let stay = self.table.clock.now().since(self.since);
        if let Some(occupancy) = self.table.engines().get_mut(&self.engine) {
            if self.ahead.is_some() {
                occupancy.forget_unread(&self.part);
            }
            occupancy.leave(&self.part, stay);
        }
    }
}

impl OccupancyTable {
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
    pub fn load(&self, engine: &Name, adapter: &str, slots: u32) -> EngineLoad {
        let engines = self.engines();
        let Some(occupancy) = engines.get(engine) else {
            return EngineLoad {
                running: 0,
                same_adapter: 0,
                wait: Millis::ZERO,
            };
        };
        EngineLoad {
            running: occupancy.running(),
            same_adapter: occupancy.running_of(adapter),
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
    pub fn enter(self: &Arc<Self>, engine: &Name, part: CountedRequest) -> OccupancyGuard {
        let ahead = self
            .engines()
            .entry(Name::clone(engine))
            .or_default()
            .enter(&part);
        OccupancyGuard {
            table: Arc::clone(self),
            engine: Name::clone(engine),
            part,
            since: self.clock.now(),
            ahead: Some(ahead),
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
