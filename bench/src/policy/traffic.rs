//! What the bench plays: a deployment, its requests and its faults.

use chivevalve::clock::Millis;
use chivevalve::request::Class;

/// One request of a workload or of a recorded trace.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// When it arrives, since the start.
    pub arrival: Millis,
    /// Number of the client account.
    pub account: u32,
    /// Number of the adapter.
    pub adapter: u32,
    /// Priority class.
    pub class: Class,
    /// Worth within its class.
    pub weight: u32,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer.
    pub output_tokens: u32,
}

impl Request {
    /// Returns the span in which the caller needs the whole answer.
    ///
    /// Traces have no deadlines, so each class has one for every policy alike.
    pub fn timeout(&self) -> Millis {
        match self.class {
            Class::Urgent => Millis::from_secs(20),
            Class::Normal => Millis::from_secs(60),
            Class::Bulk => Millis::from_secs(600),
        }
    }

    /// Returns when the caller has no more use for the answer.
    pub fn deadline(&self) -> Millis {
        self.arrival + self.timeout()
    }
}

/// Sizes and speeds of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Engine servers.
    pub engines: usize,
    /// Entry nodes; each knows only what upstreams' owners told it.
    pub nodes: u64,
    /// Failure domains that the engines are spread over.
    pub domains: usize,
    /// Base models; each has its own engines and adapters.
    pub base_models: usize,
    /// Adapters that exist.
    pub adapters: u32,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Most requests in an engine's step.
    pub batch: usize,
    /// Loads a second that the weight store gives to the whole deployment.
    pub loads_per_second: f64,
    /// Time of an engine step with nothing in it, in microseconds.
    pub step_us: f64,
    /// What each request in the batch adds to a step, in microseconds.
    pub step_each_us: f64,
    /// Time to process one prompt token, in microseconds.
    pub prefill_us: f64,
    /// How long an engine takes from a crash until it serves, with nothing loaded.
    pub cold_start: Millis,
    /// Share of loads that fail partway.
    pub load_failures: f64,
    /// Weight of batch fill against load stalls, 0 to 100, as in the settings.
    pub batch_weight: u32,
}

impl Deployment {
    /// Returns the time of one step at this batch size, in microseconds.
    pub fn step(&self, batch: usize) -> f64 {
        self.step_us + self.step_each_us * count(batch)
    }

    /// Returns how long a request takes at a full batch, in microseconds.
    pub fn service(&self, request: &Request) -> f64 {
        self.prefill(request) + self.step(self.batch) * f64::from(request.output_tokens)
    }

    /// Returns the time to process a request's prompt, in microseconds.
    pub fn prefill(&self, request: &Request) -> f64 {
        self.prefill_us * f64::from(request.prompt_tokens)
    }

    /// Returns the latest start that still meets the request's deadline at a full batch.
    pub fn latest_start(&self, request: &Request) -> Millis {
        request.deadline() - millis(self.service(request))
    }

    /// Returns the base model of an adapter.
    pub fn base_of(&self, adapter: u32) -> usize {
        adapter as usize % self.base_models
    }

    /// Returns the base model that an engine serves.
    pub fn base_of_engine(&self, engine: usize) -> usize {
        engine % self.base_models
    }

    /// Returns the failure domain of an engine.
    pub fn domain_of(&self, engine: usize) -> usize {
        engine / self.base_models % self.domains
    }
}

/// Turns a count into a factor.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn count(value: usize) -> f64 {
    value as f64
}

/// Returns a span in microseconds.
#[allow(clippy::cast_precision_loss, reason = "spans stay far below 2^52")]
pub fn micros(span: Millis) -> f64 {
    span.0 as f64 * 1000.0
}

/// Rounds microseconds to milliseconds.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual time is positive and ends after hours"
)]
pub fn millis(micros: f64) -> Millis {
    Millis((micros / 1000.0).round() as u64)
}

impl Workload {
    /// Whether a request counts in the figures.
    pub fn counts(&self, request: &Request) -> bool {
        request.arrival >= self.warm_up
    }

    /// Returns how long counted requests arrive.
    pub fn span(&self) -> Millis {
        let last = self.requests.last().map_or(Millis::ZERO, |r| r.arrival);
        last.since(self.warm_up)
    }
}

/// An engine that crashes, and comes back cold.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// The engine.
    pub engine: usize,
    /// When it crashes.
    pub from: Millis,
    /// How long its VM stays away before the cold start begins.
    pub away: Millis,
}

/// A named hour of traffic at one deployment.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name in tables.
    pub name: String,
    /// Where it runs.
    pub deployment: Deployment,
    /// Requests by arrival.
    pub requests: Vec<Request>,
    /// Crashes of engines.
    pub outages: Vec<Outage>,
    /// Requests before this time are played, with an idle weight store, but not counted.
    pub warm_up: Millis,
}
