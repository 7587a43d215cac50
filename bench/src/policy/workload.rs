//! The workloads of the campaign, made from a seed.

use chivevalve::clock::Millis;
use chivevalve::request::Class;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::traffic::{Deployment, Outage, Request, Workload, count};

/// Adapters of one client account.
const ADAPTERS_PER_ACCOUNT: u32 = 10;
/// Mean length of an answer, in tokens.
const MEAN_OUTPUT: f64 = 250.0;
/// Mean length of a prompt, in tokens.
const MEAN_PROMPT: f64 = 300.0;
/// Shortest and longest answer or prompt, as factors of the mean.
const LENGTHS: (f64, f64) = (0.1, 4.0);

/// A user's deployment as it is today; `batch_weight` is what that user sets.
pub fn trgovski() -> Deployment {
    Deployment {
        engines: 12,
        nodes: 8,
        domains: 3,
        base_models: 1,
        adapters: 3_000,
        slots: 8,
        batch: 16,
        loads_per_second: 3.0,
        step_us: 7_000.0,
        step_each_us: 250.0,
        prefill_us: 100.0,
        cold_start: Millis::from_secs(60),
        load_failures: 0.005,
        batch_weight: 80,
    }
}

/// The other user's deployment as it is today.
pub fn addis() -> Deployment {
    Deployment {
        engines: 18,
        loads_per_second: 4.0,
        step_us: 9_500.0,
        batch_weight: 20,
        ..trgovski()
    }
}

/// How an hour of traffic is made.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Requests a second.
    pub rate: f64,
    /// Exponent of the popularity of adapters (Zipf).
    pub exponent: f64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Share of urgent and of bulk requests; the rest is normal.
    pub urgent: f64,
    /// Share of bulk requests.
    pub bulk: f64,
    /// Share of all adapters that change places in the order of popularity within an hour.
    pub drift_per_hour: f64,
}

impl Shape {
    /// An hour of mixed classes at this rate and exponent.
    pub fn steady(rate: f64, exponent: f64) -> Self {
        Self {
            rate,
            exponent,
            seconds: 3600.0,
            urgent: 0.1,
            bulk: 0.4,
            drift_per_hour: 0.0,
        }
    }
}

/// Makes requests from a seed.
#[derive(Debug)]
pub struct Source {
    rng: Pcg64Mcg,
    /// Adapters by popularity.
    order: Vec<u32>,
    /// Share of requests that go to the first n adapters.
    cumulative: Vec<f64>,
}

impl Source {
    /// Makes a source for a deployment's adapters.
    pub fn new(deployment: &Deployment, exponent: f64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut order: Vec<u32> = (0..deployment.adapters).collect();
        order.shuffle(&mut rng);
        let mut sum = 0.0;
        let cumulative = (1..=order.len())
            .map(|rank| {
                sum += count(rank).powf(-exponent);
                sum
            })
            .collect();
        Self {
            rng,
            order,
            cumulative,
        }
    }

    /// Draws an adapter by popularity.
    fn adapter(&mut self) -> u32 {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = self.rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|sum| *sum <= drawn);
        self.order[rank.min(self.order.len() - 1)]
    }

    /// Draws the span to the next arrival, in seconds (Poisson).
    fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / rate
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "lengths are small and positive"
    )]
    fn length(&mut self, mean: f64) -> u32 {
        let drawn = -(1.0 - self.rng.random::<f64>()).ln();
        (mean * drawn.clamp(LENGTHS.0, LENGTHS.1)).round() as u32
    }

    /// Swaps places in the order of popularity, so that other adapters become hot.
    fn drift(&mut self, swaps: usize) {
        for _ in 0..swaps {
            let a = self.rng.random_range(0..self.order.len());
            let b = self.rng.random_range(0..self.order.len());
            self.order.swap(a, b);
        }
    }

    /// Makes one request at this second.
    fn request(&mut self, second: f64, shape: &Shape) -> Request {
        let adapter = self.adapter();
        self.request_of(second, shape, adapter)
    }

    /// Makes one request for this adapter.
    pub fn request_of(&mut self, second: f64, shape: &Shape, adapter: u32) -> Request {
        let drawn = self.rng.random::<f64>();
        let class = if drawn < shape.urgent {
            Class::Urgent
        } else if drawn < shape.urgent + shape.bulk {
            Class::Bulk
        } else {
            Class::Normal
        };
        let account = adapter / ADAPTERS_PER_ACCOUNT;
        Request {
            arrival: super::traffic::millis(second * 1e6),
            account,
            adapter,
            class,
            weight: 1 + account % 4,
            idempotent: self.rng.random_bool(0.7),
            prompt_tokens: self.length(MEAN_PROMPT),
            output_tokens: self.length(MEAN_OUTPUT),
        }
    }

    /// Makes the requests of a shape.
    pub fn requests(&mut self, shape: &Shape) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut second = self.gap(shape.rate);
        let swaps_per_second = shape.drift_per_hour * count(self.order.len()) / 2.0 / 3600.0;
        let mut due = 0.0;
        while second < shape.seconds {
            requests.push(self.request(second, shape));
            let gap = self.gap(shape.rate);
            second += gap;
            due += gap * swaps_per_second;
            while due >= 1.0 {
                self.drift(1);
                due -= 1.0;
            }
        }
        requests
    }
}

/// A workload without its name.
type Parts = (Deployment, Vec<Request>, Vec<Outage>);

/// A named way to make a workload; `seed` decides all its draws.
pub struct Recipe {
    /// Name in tables and for `--workload`.
    pub name: &'static str,
    /// Makes it.
    pub make: fn(seed: u64) -> Parts,
}

impl Recipe {
    /// Makes the workload.
    pub fn make(&self, seed: u64) -> Workload {
        let (deployment, requests, outages) = (self.make)(seed);
        Workload {
            name: self.name.to_owned(),
            deployment,
            requests,
            outages,
        }
    }
}

/// All workloads of the campaign.
pub const RECIPES: &[Recipe] = &[
    Recipe {
        name: "trgovski_skew",
        make: |seed| steady(trgovski(), &Shape::steady(30.0, 1.3), seed),
    },
    Recipe {
        name: "addis_skew",
        make: |seed| steady(addis(), &Shape::steady(30.0, 1.3), seed),
    },
];

fn steady(deployment: Deployment, shape: &Shape, seed: u64) -> Parts {
    let requests = Source::new(&deployment, shape.exponent, seed).requests(shape);
    (deployment, requests, Vec::new())
}
