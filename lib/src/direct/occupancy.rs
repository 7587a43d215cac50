//! Requests running at each engine, over all nodes, as counted by the engine's owner.
//!
//! With hundreds of nodes, each node sees only a few of an engine's requests, and counts gathered
//! in rounds of exchanges are older than a stream lasts: engines that were believed idle had full
//! queues. The owner of an engine, which is the node that gives it orders, has an exact count: a
//! node asks it before it sends a request there and keeps the call open while the request runs.
//! When the call ends, be it by the loss of the node, the request is no longer counted. This is a
//! count, not a lock: if the owner doesn't answer, requests are sent uncounted.
//! See docs/design/0008-admission-by-owners.md.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::rejections::capacity::Capacity;
use crate::clock::{Clock, Millis};
use crate::name::Name;

/// Weight of one request in the moving average of request durations, which covers about the last
/// dozen requests.
const DURATION_WEIGHT: f64 = 0.08;

/// Assumed duration of a request before any has ended, in milliseconds.
///
/// It is that of a short answer; the first dozen requests correct it.
const INITIAL_DURATION_MS: f64 = 1_500.0;

/// Weight of one prompt in the moving average of the prefill time per token.
const PREFILL_WEIGHT: f64 = 0.05;

/// Assumed prefill time per token before any prefill has ended, in milliseconds.
///
/// Engines prefill some twenty to forty tokens per millisecond; a dozen prompts correct it.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.04;

/// What is counted of a request at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedRequest {
    /// The adapter that the request uses; empty for none.
    pub adapter: Name,
    /// Length of its prompt in tokens.
    pub prompt_tokens: u32,
}

/// Requests at one engine.
///
/// An engine prefills prompts one after the other between its decode steps. When a dozen requests
/// arrive together, the first event of the last one waits for all prompts before it, long before
/// the engine's slots are used up. Pending prefill is therefore tracked separately.
#[derive(Debug)]
pub struct Occupancy {
    running: u32,
    by_adapter: HashMap<Name, u32>,
    /// Prompt tokens whose prefill is pending.
    pending_tokens: u64,
    mean_duration_ms: f64,
    prefill_ms_per_token: f64,
    /// Known only while the engine limits its rejections.
    capacity: Option<Capacity>,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            running: 0,
            by_adapter: HashMap::new(),
            pending_tokens: 0,
            mean_duration_ms: INITIAL_DURATION_MS,
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            capacity: None,
        }
    }
}

impl Occupancy {
    /// Adds a request and returns the number of tokens to prefill up to the end of its prompt.
    pub fn add(&mut self, request: &CountedRequest) -> u64 {
        self.running += 1;
        let adapter = Name::clone(&request.adapter);
        *self.by_adapter.entry(adapter).or_default() += 1;
        self.pending_tokens += u64::from(request.prompt_tokens);
        self.pending_tokens
    }

    /// Whether the engine may get one more request, with regard to the rejections that it bears.
    fn admits(&mut self, slots: u32, rejection_limit: Option<u32>, now: Millis) -> bool {
        let Some(limit) = rejection_limit else {
            self.capacity = None;
            return true;
        };
        let running = self.running;
        let capacity = self
            .capacity
            .get_or_insert_with(|| Capacity::new(running, slots));
        capacity.admits(running, limit, now)
    }

    /// Records that a request's prefill has ended, `took` after the request was added.
    ///
    /// `backlog` is the value that [`Self::add`] returned for the request.
    #[allow(
        clippy::cast_precision_loss,
        reason = "some seconds and thousands of tokens"
    )]
    pub fn record_prefill(&mut self, request: &CountedRequest, backlog: u64, took: Millis) {
        self.pending_tokens = self
            .pending_tokens
            .saturating_sub(u64::from(request.prompt_tokens));
        if backlog > 0 && request.prompt_tokens > 0 {
            let sample = took.0 as f64 / backlog as f64;
            self.prefill_ms_per_token += PREFILL_WEIGHT * (sample - self.prefill_ms_per_token);
        }
    }

    /// Removes a request that was counted for `duration`.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn remove(&mut self, request: &CountedRequest, duration: Millis) {
        self.remove_rejected(request);
        self.mean_duration_ms += DURATION_WEIGHT * (duration.0 as f64 - self.mean_duration_ms);
    }

    /// Removes a request that the engine rejected.
    fn remove_rejected(&mut self, request: &CountedRequest) {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.by_adapter.get_mut(&request.adapter) {
            *count -= 1;
            if *count == 0 {
                self.by_adapter.remove(&request.adapter);
            }
        }
    }

    /// Records that the pending prefill of a request won't take place.
    pub fn cancel_prefill(&mut self, request: &CountedRequest) {
        self.pending_tokens = self
            .pending_tokens
            .saturating_sub(u64::from(request.prompt_tokens));
    }

    /// Returns the number of requests at the engine.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that use an adapter.
    #[must_use]
    pub fn running_with(&self, adapter: &str) -> u32 {
        self.by_adapter.get(adapter).copied().unwrap_or_default()
    }

    /// Returns the expected time until the engine starts the prefill of one more request.
    ///
    /// The request gets a slot once all but `slots - 1` of the requests before it have ended, and
    /// `slots` requests end in the mean duration of one. Then the prompts before it are prefilled.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some seconds"
    )]
    pub fn expected_wait(&self, slots: u32) -> Millis {
        let slots = slots.max(1);
        let before = (self.running + 1).saturating_sub(slots);
        let slot_wait_ms = f64::from(before) * self.mean_duration_ms / f64::from(slots);
        Millis((slot_wait_ms + self.pending_tokens as f64 * self.prefill_ms_per_token) as u64)
    }
}

/// Load of an engine, as reported to a node that wants to send a request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests at the engine, without the one to be sent.
    pub running: u32,
    /// Of these, the ones that use the same adapter.
    pub same_adapter: u32,
    /// Expected time until the engine starts the prefill of the request to be sent.
    pub wait: Millis,
}

/// The occupancy of all engines for which this node counts requests.
#[derive(Debug)]
pub struct OccupancyTable {
    clock: Arc<dyn Clock>,
    engines: Mutex<HashMap<Name, Occupancy>>,
}

/// Keeps a request counted until it is dropped.
#[derive(Debug)]
pub struct OccupancyGuard {
    table: Arc<OccupancyTable>,
    engine: Name,
    request: CountedRequest,
    started_at: Millis,
    /// Number of requests at the engine once this one was added.
    level: u32,
    is_rejected: bool,
    /// Tokens to prefill up to the end of the request's prompt; none once that is done.
    backlog: Option<u64>,
}

impl OccupancyGuard {
    /// Records that the engine rejected the request.
    pub fn mark_rejected(&mut self) {
        self.is_rejected = true;
    }

    /// Records that the engine has prefilled the request's prompt.
    pub fn prefill_done(&mut self) {
        let Some(backlog) = self.backlog.take() else {
            return;
        };
        let took = self.table.clock.now().since(self.started_at);
        if let Some(occupancy) = self.table.engines().get_mut(&self.engine) {
            if let Some(capacity) = &mut occupancy.capacity {
                capacity.record_accepted(self.level);
            }
            occupancy.record_prefill(&self.request, backlog, took);
        }
    }
}

impl Drop for OccupancyGuard {
    fn drop(&mut self) {
        let now = self.table.clock.now();
        if let Some(occupancy) = self.table.engines().get_mut(&self.engine) {
            let running = occupancy.running;
            match &mut occupancy.capacity {
                Some(capacity) if self.is_rejected => {
                    capacity.record_rejection(self.level, running, now);
                }
                Some(capacity) => capacity.record_accepted(self.level),
                None => {}
            }
            if self.backlog.is_some() {
                occupancy.cancel_prefill(&self.request);
            }
            // A rejection says nothing about how long requests take.
            if self.is_rejected {
                occupancy.remove_rejected(&self.request);
            } else {
                occupancy.remove(&self.request, now.since(self.started_at));
            }
        }
    }
}

impl OccupancyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            engines: Mutex::default(),
        }
    }

    /// Returns the load of an engine, as one more request would find it.
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
            same_adapter: occupancy.running_with(adapter),
            wait: occupancy.expected_wait(slots),
        }
    }

    /// Returns the number of counted requests at an engine.
    #[must_use]
    pub fn running(&self, engine: &str) -> u32 {
        self.engines().get(engine).map_or(0, Occupancy::running)
    }

    /// Whether a counted request uses an adapter.
    #[must_use]
    pub fn uses(&self, engine: &str, adapter: &str) -> bool {
        let engines = self.engines();
        let occupancy = engines.get(engine);
        occupancy.is_some_and(|occupancy| occupancy.running_with(adapter) > 0)
    }

    /// Counts a request at an engine until the guard is dropped.
    #[must_use]
    pub fn start_request(
        self: &Arc<Self>,
        engine: &Name,
        request: CountedRequest,
    ) -> OccupancyGuard {
        let mut engines = self.engines();
        let occupancy = engines.entry(Name::clone(engine)).or_default();
        self.add(occupancy, engine, request)
    }

    /// Counts a request at an engine that bears `rejection_limit` rejections in a second; `None` if
    /// it would probably reject the request.
    #[must_use]
    pub fn try_start_request(
        self: &Arc<Self>,
        engine: &Name,
        request: CountedRequest,
        slots: u32,
        rejection_limit: Option<u32>,
    ) -> Option<OccupancyGuard> {
        let now = self.clock.now();
        let mut engines = self.engines();
        let occupancy = engines.entry(Name::clone(engine)).or_default();
        occupancy
            .admits(slots, rejection_limit, now)
            .then(|| self.add(occupancy, engine, request))
    }

    fn add(
        self: &Arc<Self>,
        occupancy: &mut Occupancy,
        engine: &Name,
        request: CountedRequest,
    ) -> OccupancyGuard {
        let started_at = self.clock.now();
        let backlog = occupancy.add(&request);
        let level = occupancy.running;
        if let Some(capacity) = &mut occupancy.capacity {
            capacity.record_admission(level, started_at);
        }
        OccupancyGuard {
            table: Arc::clone(self),
            engine: Name::clone(engine),
            request,
            started_at,
            level,
            is_rejected: false,
            backlog: Some(backlog),
        }
    }

    /// Removes engines that are gone.
    pub fn retain(&self, is_there: impl Fn(&Name) -> bool) {
        self.engines().retain(|engine, _| is_there(engine));
    }

    fn engines(&self) -> MutexGuard<'_, HashMap<Name, Occupancy>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
