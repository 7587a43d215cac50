//! Requests drawn from a seed.

use chivevalve::request::Class;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::traffic::{Deployment, Request, count, millis};

/// Adapters of one client account.
const ADAPTERS_PER_ACCOUNT: u32 = 10;
/// Mean length of a prompt, in tokens.
pub const MEAN_PROMPT: f64 = 300.0;
/// Shortest and longest answer or prompt, as factors of the mean.
const LENGTHS: (f64, f64) = (0.1, 4.0);
/// Share of requests that may run twice.
const IDEMPOTENT: f64 = 0.7;
/// Length of a workload, in seconds.
pub const HOUR: f64 = 3600.0;
/// How often the hottest adapters lose their places where they do.
const JUMPS_PER_HOUR: f64 = 3.0;

/// How an hour of traffic is made.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
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
    /// Mean length of an answer, in tokens.
    pub output_tokens: f64,
    /// Adapters that are asked for at a time; the rest is idle.
    pub awake: usize,
    /// Adapters an hour that change places with another one, awake or idle.
    pub drift_per_hour: f64,
    /// Hottest adapters that lose their places to others, three times an hour.
    pub jump: usize,
}

impl Profile {
    /// An hour of mixed classes at this rate and exponent.
    pub fn steady(rate: f64, exponent: f64) -> Self {
        Self {
            rate,
            exponent,
            seconds: HOUR,
            urgent: 0.1,
            bulk: 0.4,
            output_tokens: 250.0,
            awake: usize::MAX,
            drift_per_hour: 0.0,
            jump: 0,
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
    pub fn new(deployment: &Deployment, profile: &Profile, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut order: Vec<u32> = (0..deployment.adapters).collect();
        order.shuffle(&mut rng);
        let mut sum = 0.0;
        let cumulative = (1..=order.len().min(profile.awake))
            .map(|rank| {
                sum += count(rank).powf(-profile.exponent);
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
        self.order[rank.min(self.cumulative.len() - 1)]
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

    /// Gives an awake adapter's place to another one, which thereby wakes or warms up.
    fn drift(&mut self) {
        let awake = self.rng.random_range(0..self.cumulative.len());
        self.displace(awake);
    }

    fn displace(&mut self, rank: usize) {
        let other = self.rng.random_range(0..self.order.len());
        self.order.swap(rank, other);
    }

    /// Returns the adapter that is asked for least.
    pub fn coldest(&self) -> u32 {
        self.order[self.order.len() - 1]
    }

    /// Makes one request at this second.
    fn request(&mut self, second: f64, profile: &Profile) -> Request {
        let adapter = self.adapter();
        self.request_of(second, profile, adapter)
    }

    /// Makes one request for this adapter.
    pub fn request_of(&mut self, second: f64, profile: &Profile, adapter: u32) -> Request {
        let drawn = self.rng.random::<f64>();
        let class = if drawn < profile.urgent {
            Class::Urgent
        } else if drawn < profile.urgent + profile.bulk {
            Class::Bulk
        } else {
            Class::Normal
        };
        let account = adapter / ADAPTERS_PER_ACCOUNT;
        Request {
            arrival: millis(second * 1e6),
            account,
            adapter,
            class,
            weight: 1 + account % 4,
            idempotent: self.rng.random_bool(IDEMPOTENT),
            prompt_tokens: self.length(MEAN_PROMPT),
            output_tokens: self.length(profile.output_tokens),
        }
    }

    /// Makes the requests of a profile, by arrival.
    pub fn requests(&mut self, profile: &Profile) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut second = self.gap(profile.rate);
        // A change of places is one adapter that cools and one that warms up.
        let drifts_per_second = profile.drift_per_hour / 2.0 / HOUR;
        let (mut due, mut jumps) = (0.0, 1.0);
        while second < profile.seconds {
            requests.push(self.request(second, profile));
            let gap = self.gap(profile.rate);
            second += gap;
            due += gap * drifts_per_second;
            while due >= 1.0 {
                self.drift();
                due -= 1.0;
            }
            if second > jumps * HOUR / JUMPS_PER_HOUR {
                jumps += 1.0;
                (0..profile.jump).for_each(|rank| self.displace(rank));
            }
        }
        requests
    }
}
