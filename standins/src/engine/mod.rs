//! A stand-in of a model engine: slots, continuous batching, streamed tokens.
//!
//! Its text proves who answered what: the first tokens are the adapter's name
//! with its version, the request's identity, and the prompt's last word.

mod batch;
mod direct;
mod serve;
mod text;

use std::collections::BTreeSet;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::name::Name;
use chivevalve::ports::upstream::{Status, StatusRun};
use futures::stream::BoxStream;
use http::StatusCode;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use crate::serve::Reset;
use crate::weights::{Fault, Weights};
use batch::{Active, Batch};
use text::{Prompt, Writer};

/// How long an idle engine waits before it looks whether it still lives.
const IDLE: Duration = Duration::from_secs(1);

/// Sizes and speeds of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shape {
    /// Adapters that fit at a time.
    pub slots: usize,
    /// Requests that run at a time; more wait inside.
    pub batch: usize,
    /// Time of a step with one request, in microseconds.
    pub step_us: u64,
    /// What each further request adds to a step, in microseconds.
    pub step_per_request_us: u64,
    /// What each token of a new prompt adds to a step, in microseconds.
    pub prefill_us: u64,
    /// Whether tokens say when they were made, as `u` and [`micros`].
    pub stamps: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            slots: 4,
            batch: 16,
            step_us: 8_000,
            step_per_request_us: 100,
            prefill_us: 20,
            stamps: false,
        }
    }
}

/// What is wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Refuses orders with an older fencing token than it has seen.
    pub checks_fencing: bool,
    /// How long the status document stays as it is, in milliseconds.
    pub status_lag_ms: u64,
    /// How many of the next answers break off halfway.
    pub cut_answers: u32,
    /// How many of the next requests are refused as too many.
    pub refuse: u32,
}

/// Returns the microseconds since this process first asked.
#[must_use]
pub fn micros() -> u64 {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    u64::try_from(START.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It still runs, or waits inside the engine.
    Running,
    /// It made all its tokens.
    Done,
    /// The other side went away.
    Cancelled,
    /// The engine stopped, or was told to break it off.
    Cut,
}

/// A request that the engine took.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's identity as the order named it.
    pub id: Name,
    /// The adapter that it ran on.
    pub adapter: Name,
    /// The prompt's last word, by which the caller can know it.
    pub mark: Name,
    /// How it ended.
    pub outcome: Outcome,
}

/// An order that should never have been given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// An adapter was unloaded while a request used it.
    EvictedInUse {
        /// The adapter.
        adapter: Name,
        /// How many requests used it.
        users: usize,
    },
    /// An order with an old token took effect.
    StaleOrder {
        /// The order's token.
        token: u64,
        /// The newest token seen before.
        newest: u64,
    },
}

/// What an engine counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Steps made.
    pub steps: u64,
    /// Tokens made; tokens for each step is the batch fill.
    pub tokens: u64,
    /// Adapters loaded.
    pub loads: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Loads that broke off.
    pub failed_loads: u64,
    /// Orders refused for their old token.
    pub refused_stale: u64,
    /// Cold starts.
    pub restarts: u64,
}

/// An order that the engine won't carry out, or couldn't.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Refusal {
    status: StatusCode,
    text: String,
}

impl Refusal {
    fn new(status: StatusCode, text: &str) -> Self {
        let text = text.to_owned();
        Self { status, text }
    }
}

/// A completion that began.
struct Completion {
    stream: bool,
    body: BoxStream<'static, Result<Bytes, Reset>>,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    shape: Shape,
    weights: Arc<Weights>,
    clock: Monotonic,
    work: Arc<Notify>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    knobs: Knobs,
    boot: Name,
    resident: BTreeSet<Name>,
    loading: BTreeSet<Name>,
    newest_token: u64,
    batch: Batch,
    violations: Vec<Violation>,
    status: Option<(Millis, Bytes)>,
}

impl Engine {
    /// Starts a cold engine; it steps as long as it lives.
    #[must_use]
    pub fn start(shape: Shape, weights: Arc<Weights>) -> Arc<Self> {
        let engine = Arc::new(Self {
            shape,
            weights,
            clock: Monotonic::start(),
            work: Arc::default(),
            inner: Mutex::new(Inner {
                knobs: Knobs::default(),
                boot: boot(),
                resident: BTreeSet::new(),
                loading: BTreeSet::new(),
                newest_token: 0,
                batch: Batch::default(),
                violations: Vec::new(),
                status: None,
            }),
        });
        let work = Arc::clone(&engine.work);
        tokio::spawn(steps(Arc::downgrade(&engine), work));
        engine
    }

    /// Sets what is wrong.
    pub fn set(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// Returns what is wrong.
    #[must_use]
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs
    }

    /// Starts the engine anew: slots are empty, all runs are cut, the newest token is forgotten.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.boot = boot();
        inner.resident.clear();
        inner.loading.clear();
        inner.newest_token = 0;
        inner.status = None;
        inner.batch.cut_all();
        inner.batch.counts.restarts += 1;
    }

    /// Lists all requests that it ever took, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().batch.runs.clone()
    }

    /// Lists the orders that should never have been given.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.lock().violations.clone()
    }

    /// Returns what it counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().batch.counts
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request into the batch.
    fn complete(
        &self,
        id: &str,
        chat: bool,
        body: &[u8],
        token: u64,
    ) -> Result<Completion, Refusal> {
        let prompt = Prompt::parse(body, chat)
            .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, &error))?;
        let mut inner = self.lock();
        inner.fence(token)?;
        if inner.knobs.refuse > 0 {
            inner.knobs.refuse -= 1;
            return Err(Refusal::new(
                StatusCode::TOO_MANY_REQUESTS,
                "too many requests",
            ));
        }
        if !inner.resident.contains(&prompt.model) {
            return Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "the model doesn't exist",
            ));
        }
        let cut = inner.knobs.cut_answers > 0;
        inner.knobs.cut_answers = inner.knobs.cut_answers.saturating_sub(1);
        let (sender, receiver) = mpsc::unbounded_channel();
        let run = Run {
            id: id.into(),
            adapter: Name::clone(&prompt.model),
            mark: Name::clone(&prompt.mark),
            outcome: Outcome::Running,
        };
        inner.batch.add(run, Active::new(&prompt, cut, sender));
        drop(inner);
        self.work.notify_one();
        let writer = Writer::new(id, prompt, self.shape.stamps);
        Ok(Completion {
            stream: writer.stream(),
            body: writer.body(receiver),
        })
    }

    /// Loads an adapter through the weight store.
    async fn load(&self, name: &str, path: &str, token: u64) -> Result<(), Refusal> {
        let boot = {
            let mut inner = self.lock();
            inner.fence(token)?;
            if inner.resident.contains(name) {
                return Ok(());
            }
            if inner.loading.contains(name) {
                return Err(Refusal::new(StatusCode::CONFLICT, "it is being loaded"));
            }
            if inner.resident.len() + inner.loading.len() >= self.shape.slots {
                return Err(Refusal::new(StatusCode::BAD_REQUEST, "no slot is free"));
            }
            inner.loading.insert(name.into());
            Name::clone(&inner.boot)
        };
        let loaded = self.weights.load(path).await;
        let mut inner = self.lock();
        if inner.boot != boot {
            return Err(Refusal::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the engine restarted",
            ));
        }
        inner.loading.remove(name);
        match loaded {
            Ok(()) => {
                inner.resident.insert(name.into());
                inner.batch.counts.loads += 1;
                Ok(())
            }
            Err(Fault::Missing) => Err(Refusal::new(StatusCode::NOT_FOUND, "no such version")),
            Err(Fault::Broken) => {
                inner.batch.counts.failed_loads += 1;
                Err(Refusal::new(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the load broke off",
                ))
            }
        }
    }

    fn unload(&self, name: &str, token: u64) -> Result<(), Refusal> {
        let mut inner = self.lock();
        inner.fence(token)?;
        if !inner.resident.remove(name) {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "it isn't loaded"));
        }
        inner.batch.counts.unloads += 1;
        let users = inner.batch.users(name);
        if users > 0 {
            inner.violations.push(Violation::EvictedInUse {
                adapter: name.into(),
                users,
            });
        }
        Ok(())
    }

    /// Fills the batch and returns how long its step takes, or none if nothing is to be done.
    fn next_step(&self) -> Option<Duration> {
        let batch = &mut self.lock().batch;
        batch.admit(self.shape.batch);
        batch.span(&self.shape)
    }

    /// Returns the status document, which may be as old as the lag.
    fn status(&self) -> Bytes {
        let now = self.clock.now();
        let mut inner = self.lock();
        let lag = inner.knobs.status_lag_ms;
        if let Some((time, status)) = &inner.status
            && now.since(*time).0 < lag
        {
            return status.clone();
        }
        let (running, waiting) = inner.batch.running();
        let status = Status {
            boot: Name::clone(&inner.boot),
            resident: inner.resident.iter().cloned().collect(),
            running: running
                .into_iter()
                .map(|(id, adapter)| StatusRun { id, adapter })
                .collect(),
            waiting,
        };
        let text = Bytes::from(serde_json::to_vec(&status).unwrap_or_default());
        inner.status = Some((now, text.clone()));
        text
    }
}

impl Inner {
    /// Checks or records an order's token.
    fn fence(&mut self, token: u64) -> Result<(), Refusal> {
        if token >= self.newest_token {
            self.newest_token = token;
            return Ok(());
        }
        if self.knobs.checks_fencing {
            self.batch.counts.refused_stale += 1;
            return Err(Refusal::new(
                StatusCode::PRECONDITION_FAILED,
                "the fencing token is old",
            ));
        }
        self.violations.push(Violation::StaleOrder {
            token,
            newest: self.newest_token,
        });
        Ok(())
    }
}

fn boot() -> Name {
    format!("{:016x}", rand::rng().random::<u64>()).into()
}

/// Steps the batch as long as the engine lives.
async fn steps(engine: Weak<Engine>, work: Arc<Notify>) {
    while let Some(alive) = engine.upgrade() {
        let span = alive.next_step();
        drop(alive);
        let Some(span) = span else {
            // The timeout lets the task end when the engine is gone.
            let _ = tokio::time::timeout(IDLE, work.notified()).await;
            continue;
        };
        tokio::time::sleep(span).await;
        if let Some(engine) = engine.upgrade() {
            engine.lock().batch.step();
        }
    }
}
