//! The workloads of the campaign, each made from a seed.
//!
//! The rates of the skewed and the shifting ones are set so that the best
//! baseline uses about 80 % of the weight store's rate, and those called
//! `_full` so that it wants more than the store gives; docs/measurements.md
//! shows both.

use chivevalve::clock::Millis;

use super::source::{HOUR, Profile, Source};
use super::traffic::{Deployment, Outage, Request, Workload, count, millis};

/// Requests a second at which a `_full` workload runs, against the plain one.
const FULL: f64 = 1.6;

/// Name of the workload at the target's size.
const TARGET: &str = "target";
/// The target starts with warm engines: a cold start of all at once isn't what it is about.
const TARGET_WARM_UP: Millis = Millis::from_secs(120);

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

/// The deployment two years on. The weight store's rate is assumed; see docs/measurements.md.
pub fn target() -> Deployment {
    Deployment {
        engines: 600,
        nodes: 320,
        domains: 5,
        base_models: 3,
        adapters: 19_000,
        slots: 8,
        batch: 64,
        loads_per_second: 8.0,
        step_us: 14_000.0,
        step_each_us: 350.0,
        prefill_us: 25.0,
        batch_weight: 50,
        ..trgovski()
    }
}

/// A workload without its name.
type Parts = (Deployment, Vec<Request>, Vec<Outage>);

/// A named way to make a workload; the seed decides all its draws.
pub struct Recipe {
    /// Name in tables and for `--workload`.
    pub name: &'static str,
    make: fn(seed: u64) -> Parts,
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
            warm_up: if self.name == TARGET {
                TARGET_WARM_UP
            } else {
                Millis::ZERO
            },
        }
    }
}

macro_rules! recipes {
    ($($name:expr => $make:expr,)+) => {
        /// All workloads of the campaign.
        pub const RECIPES: &[Recipe] = &[$(Recipe { name: $name, make: $make },)+];
    };
}

recipes! {
    "trgovski_skew_1.1" => |seed| plain(trgovski(), Profile::steady(5.7, 1.1), seed),
    "trgovski_skew_1.3" => |seed| plain(trgovski(), Profile::steady(10.5, 1.3), seed),
    "trgovski_skew_1.5" => |seed| plain(trgovski(), Profile::steady(19.2, 1.5), seed),
    "trgovski_shift" => |seed| plain(trgovski(), shifting(10.0, 1.3), seed),
    "trgovski_skew_full" => |seed| plain(trgovski(), Profile::steady(10.5 * FULL, 1.3), seed),
    "trgovski_shift_full" => |seed| plain(trgovski(), shifting(10.0 * FULL, 1.3), seed),
    "addis_skew_1.1" => |seed| plain(addis(), Profile::steady(8.6, 1.1), seed),
    "addis_skew_1.3" => |seed| plain(addis(), Profile::steady(15.8, 1.3), seed),
    "addis_skew_1.5" => |seed| plain(addis(), Profile::steady(28.0, 1.5), seed),
    "addis_shift" => |seed| plain(addis(), shifting(15.0, 1.3), seed),
    "addis_skew_full" => |seed| plain(addis(), Profile::steady(15.8 * FULL, 1.3), seed),
    "addis_shift_full" => |seed| plain(addis(), shifting(15.0 * FULL, 1.3), seed),
    "addis_flash_crowd" => flash_crowd,
    "trgovski_night" => night,
    "addis_unloaded" => |seed| loaded(0.1, seed),
    "addis_overload_1.2x" => |seed| loaded(1.2, seed),
    "addis_overload_2x" => |seed| loaded(2.0, seed),
    "trgovski_restarts" => restarts,
    "addis_lost_domain" => lost_domain,
    TARGET => |seed| plain(target(), target_profile(), seed),
}

fn plain(deployment: Deployment, profile: Profile, seed: u64) -> Parts {
    let requests = Source::new(&deployment, &profile, seed).requests(&profile);
    (deployment, requests, Vec::new())
}

/// Popularity drifts all the time, and three times the hottest adapters change.
fn shifting(rate: f64, exponent: f64) -> Profile {
    Profile {
        drift_per_hour: 3_000.0,
        jump: 20,
        ..Profile::steady(rate, exponent)
    }
}

/// Ten minutes of the target's peak: 16 % of the adapters wake or fall idle within an hour.
fn target_profile() -> Profile {
    Profile {
        output_tokens: 423.0,
        awake: 3_000,
        seconds: 720.0,
        drift_per_hour: 0.16 * 19_000.0,
        ..Profile::steady(970.0, 0.9)
    }
}

/// Returns the requests a second that keep all engines' batches full.
fn capacity(deployment: &Deployment, profile: &Profile) -> f64 {
    let prefill = deployment.prefill_us * super::source::MEAN_PROMPT;
    let step = deployment.step(deployment.batch) / count(deployment.batch);
    count(deployment.engines) * 1e6 / (prefill + step * profile.output_tokens)
}

/// Few enough adapters that batches, not loads, are short.
fn loaded(factor: f64, seed: u64) -> Parts {
    let deployment = addis();
    let mut profile = Profile {
        awake: 60,
        ..Profile::steady(1.0, 0.8)
    };
    profile.rate = factor * capacity(&deployment, &profile);
    plain(deployment, profile, seed)
}

/// For five minutes everyone asks for one adapter that nobody asked for before.
fn flash_crowd(seed: u64) -> Parts {
    let (deployment, mut requests, outages) = plain(addis(), Profile::steady(13.0, 1.3), seed);
    let flash = Profile {
        seconds: 300.0,
        awake: 1,
        ..Profile::steady(25.0, 1.0)
    };
    let mut source = Source::new(&deployment, &flash, seed + 1);
    let coldest = Source::new(&deployment, &Profile::steady(1.0, 1.0), seed).coldest();
    for mut request in source.requests(&flash) {
        request.adapter = coldest;
        request.arrival += Millis::from_secs(1200);
        requests.push(request);
    }
    requests.sort_by_key(|request| request.arrival);
    (deployment, requests, outages)
}

/// A night of bulk near what the engines can do, with a burst of urgent requests every five minutes.
fn night(seed: u64) -> Parts {
    let deployment = trgovski();
    let mut profile = Profile {
        urgent: 0.0,
        bulk: 1.0,
        awake: 200,
        ..Profile::steady(1.0, 1.1)
    };
    profile.rate = 0.9 * capacity(&deployment, &profile);
    let mut source = Source::new(&deployment, &profile, seed);
    let mut requests = source.requests(&profile);
    let burst = Profile {
        seconds: 10.0,
        urgent: 1.0,
        bulk: 0.0,
        awake: 20,
        ..Profile::steady(6.0, 0.5)
    };
    for start in (150..3600).step_by(300) {
        let mut source = Source::new(&deployment, &burst, seed + start);
        for mut request in source.requests(&burst) {
            request.arrival += Millis::from_secs(start);
            requests.push(request);
        }
    }
    requests.sort_by_key(|request| request.arrival);
    (deployment, requests, Vec::new())
}

/// One engine after the other crashes, and loads fail more often than usual.
fn restarts(seed: u64) -> Parts {
    let (mut deployment, requests, _) = plain(trgovski(), Profile::steady(9.0, 1.3), seed);
    deployment.load_failures = 0.05;
    let every = HOUR / count(deployment.engines);
    let outage = |engine: usize| Outage {
        engine,
        from: millis((count(engine) + 0.5) * every * 1e6),
        away: Millis::ZERO,
    };
    let outages = (0..deployment.engines).map(outage).collect();
    (deployment, requests, outages)
}

/// A failure domain goes for ten minutes and comes back cold.
fn lost_domain(seed: u64) -> Parts {
    let (deployment, requests, _) = plain(addis(), Profile::steady(13.0, 1.3), seed);
    let lost = (0..deployment.engines).filter(|engine| deployment.domain_of(*engine) == 1);
    let outage = |engine: usize| Outage {
        engine,
        from: Millis::from_secs(1200),
        away: Millis::from_secs(600),
    };
    let outages = lost.map(outage).collect();
    (deployment, requests, outages)
}
