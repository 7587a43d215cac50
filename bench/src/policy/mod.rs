//! The campaign `policy`: decisions under load, in virtual time.
//!
//! It plays hours of traffic against page-size fakes of engines and the weight
//! store. It is no cluster simulator: there is no network, and there are no
//! nodes. docs/measurements.md holds its results and how to read them.

#![allow(
    dead_code,
    reason = "the remaining workloads and policies use the rest"
)]

use std::path::{Path, PathBuf};

use chivevalve::clock::Millis;

use eyre::{Result, ensure, eyre};
use lexopt::prelude::*;

use crate::Verdict;
use crate::report::{self, Format, Table};

mod aim;
mod baseline;
mod clairvoyant;
mod contender;
mod cost;
mod engine;
mod measure;
mod plot;
mod source;
mod store;
mod trace;
mod traffic;
mod workload;
mod world;

use baseline::{Baseline, Placement};
use contender::Contender;
use measure::Row;
use traffic::{Deployment, Workload};
use workload::{RECIPES, Recipe};
use world::{Policy, World};

const DEFAULT_SEED: u64 = 7;

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    seed: u64,
    format: Format,
    out: Option<PathBuf>,
    workloads: Vec<String>,
    trace: Option<PathBuf>,
    cost: bool,
    /// Sizes of the deployment that a trace is played at.
    deployment: Deployment,
}

fn usage() -> String {
    let defaults = workload::trgovski();
    let names: Vec<&str> = RECIPES.iter().map(|recipe| recipe.name).collect();
    format!(
        "Usage: chivevalve-bench policy [OPTIONS]\n\n\
         --seed N             seed of all draws ({DEFAULT_SEED})\n\
         --format table|json  how results are printed\n\
         --out DIR            also write policy.json and policy.svg there\n\
         --workload NAME      only this workload; may be repeated\n\
         --trace FILE.csv     play recorded requests instead, with the columns\n\
         {:21}{}\n\
         --cost               time and memory of decisions instead, by the wall clock\n\
         --engines N          engines that the trace is played at ({})\n\
         --slots K            adapter slots of each ({})\n\
         --batch B            most requests in a step ({})\n\
         --loads-per-second R the weight store's rate ({})\n\n\
         Workloads: {}\n",
        "",
        trace::COLUMNS.join(","),
        defaults.engines,
        defaults.slots,
        defaults.batch,
        defaults.loads_per_second,
        names.join(", ")
    )
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        seed: DEFAULT_SEED,
        format: Format::default(),
        out: None,
        workloads: Vec::new(),
        trace: None,
        cost: false,
        deployment: workload::trgovski(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("format") => options.format = parser.value()?.string()?.parse()?,
            Long("out") => options.out = Some(parser.value()?.into()),
            Long("workload") => options.workloads.push(parser.value()?.string()?),
            Long("trace") => options.trace = Some(parser.value()?.into()),
            Long("cost") => options.cost = true,
            Long("engines") => options.deployment.engines = positive(parser)?,
            Long("slots") => options.deployment.slots = positive(parser)?,
            Long("batch") => options.deployment.batch = positive(parser)?,
            Long("loads-per-second") => options.deployment.loads_per_second = rate(parser)?,
            Long("help") | Short('h') => {
                print!("{}", usage());
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn positive(parser: &mut lexopt::Parser) -> Result<usize> {
    let value: usize = parser.value()?.parse()?;
    ensure!(value > 0, "sizes of a deployment are at least 1");
    Ok(value)
}

fn rate(parser: &mut lexopt::Parser) -> Result<f64> {
    let value: f64 = parser.value()?.parse()?;
    ensure!(
        value.is_finite() && value > 0.0,
        "the weight store's rate is above 0"
    );
    Ok(value)
}

/// Runs the campaign.
///
/// # Errors
///
/// When the command line is wrong or output can't be written.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        return Ok(Verdict::Kept);
    };
    if options.cost {
        return print_cost(options.format);
    }
    let mut rows = Vec::new();
    if let Some(path) = &options.trace {
        let workload = recorded(path, options.deployment.clone())?;
        rows.extend(play_all(&workload, options.seed));
    } else {
        for recipe in recipes(&options)? {
            rows.extend(play_all(&recipe.make(options.seed), options.seed));
        }
    }
    print_rows(&options, &rows)?;
    let broken = rows.iter().any(|row| row.broken > 0);
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Kept
    })
}

fn print_cost(format: Format) -> Result<Verdict> {
    let costs = cost::measure()?;
    report::print(format, &costs, |costs| cost::table(costs))?;
    Ok(Verdict::Kept)
}

fn recipes(options: &Options) -> Result<Vec<&'static Recipe>> {
    let known = |name: &String| RECIPES.iter().any(|recipe| recipe.name == name);
    if let Some(unknown) = options.workloads.iter().find(|name| !known(name)) {
        return Err(eyre!("unknown workload {unknown:?}\n\n{}", usage()));
    }
    let wanted = |recipe: &&Recipe| {
        options.workloads.is_empty() || options.workloads.iter().any(|name| name == recipe.name)
    };
    Ok(RECIPES.iter().filter(wanted).collect())
}

fn recorded(path: &Path, mut deployment: Deployment) -> Result<Workload> {
    let trace = trace::read(path)?;
    deployment.adapters = trace.adapters;
    deployment.load_failures = 0.0;
    Ok(Workload {
        name: "trace".to_owned(),
        deployment,
        requests: trace.requests,
        outages: Vec::new(),
        warm_up: Millis::ZERO,
    })
}

/// A policy under its name, made anew for each run.
struct Entrant {
    name: &'static str,
    make: fn(&Workload, u64) -> Box<dyn Policy>,
}

const ENTRANTS: &[Entrant] = &[
    Entrant {
        name: "chivevalve",
        make: |workload, seed| Box::new(Contender::new(workload, seed)),
    },
    Entrant {
        name: "random",
        make: |workload, seed| baseline(Placement::Random, workload, seed),
    },
    Entrant {
        name: "round_robin",
        make: |workload, seed| baseline(Placement::RoundRobin, workload, seed),
    },
    Entrant {
        name: "least_loaded",
        make: |workload, seed| baseline(Placement::LeastLoaded, workload, seed),
    },
    Entrant {
        name: "rendezvous_lru",
        make: |workload, seed| baseline(Placement::Rendezvous, workload, seed),
    },
];

fn baseline(placement: Placement, workload: &Workload, seed: u64) -> Box<dyn Policy> {
    Box::new(Baseline::new(placement, workload.deployment.engines, seed))
}

/// Plays one workload under every policy, side by side.
fn play_all(workload: &Workload, seed: u64) -> Vec<Row> {
    std::thread::scope(|scope| {
        let bound = scope.spawn(|| measure::bound_row(workload));
        let runs: Vec<_> = ENTRANTS
            .iter()
            .map(|entrant| scope.spawn(move || play(workload, entrant, seed)))
            .collect();
        runs.into_iter()
            .chain([bound])
            .map(|run| run.join().expect("a run doesn't panic"))
            .collect()
    })
}

fn play(workload: &Workload, entrant: &Entrant, seed: u64) -> Row {
    let mut world = World::new(workload, seed);
    let mut policy = (entrant.make)(workload, seed);
    world.play(policy.as_mut());
    for text in &world.described {
        eprintln!("{} {}: {text}", workload.name, entrant.name);
    }
    measure::row(&world, entrant.name)
}

fn print_rows(options: &Options, rows: &[Row]) -> Result<()> {
    let findings = aim::findings(rows);
    match options.format {
        Format::Json => print!("{}", report::json(&rows)?),
        Format::Table => {
            print!("{}\n{}", table(rows).render(), class_table(rows).render());
            println!();
        }
    }
    for finding in &findings {
        let verdict = if finding.met { "met" } else { "short of aim" };
        match options.format {
            Format::Json => eprintln!("{}: {verdict}", finding.text),
            Format::Table => println!("{}: {verdict}", finding.text),
        }
    }
    if let Some(directory) = &options.out {
        report::write(directory, "policy.json", &report::json(&rows)?)?;
        plot::write(&directory.join("policy.svg"), rows)?;
    }
    Ok(())
}

/// What the first table has no room for.
fn class_table(rows: &[Row]) -> Table {
    let mut table = Table::new(&[
        "workload",
        "policy",
        "class",
        "stall p50",
        "p95",
        "p99",
        "stall s",
        "first p50",
        "p95",
        "refusals by reason",
    ]);
    for row in rows {
        for (class, figures) in &row.classes {
            let reasons = figures.refusals.iter();
            let reasons: Vec<String> = reasons.map(|(why, n)| format!("{why} {n}")).collect();
            table.row(vec![
                row.workload.clone(),
                row.policy.to_owned(),
                (*class).to_owned(),
                figures.stall_p50_ms.to_string(),
                figures.stall_p95_ms.to_string(),
                figures.stall_p99_ms.to_string(),
                (figures.stall_ms_total / 1000).to_string(),
                figures.first_token_p50_ms.to_string(),
                figures.first_token_p95_ms.to_string(),
                reasons.join(", "),
            ]);
        }
    }
    table
}

fn table(rows: &[Row]) -> Table {
    let mut table = Table::new(&[
        "workload",
        "policy",
        "requests",
        "answered",
        "refused",
        "late",
        "stalls/1000",
        "stall s",
        "p95 ms",
        "fill",
        "first p95",
        "urgent p95",
        "loads",
        "wasted",
        "store",
    ]);
    for row in rows {
        table.row(vec![
            row.workload.clone(),
            row.policy.to_owned(),
            row.requests.to_string(),
            row.answered.to_string(),
            row.refused.to_string(),
            (row.late + row.lost).to_string(),
            format!("{:.1}", row.stalls_per_1000),
            (row.stall_ms_total / 1000).to_string(),
            row.stall_p95_ms.to_string(),
            format!("{:.3}", row.batch_fill),
            row.first_token_p95_ms.to_string(),
            row.urgent_first_token_p95_ms.to_string(),
            row.loads.to_string(),
            row.wasted_loads.to_string(),
            format!("{:.2}", row.store_use),
        ]);
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::source::{Profile, Source};
    use crate::policy::traffic::Outage;

    /// A minute at a small deployment, with a crash and failing loads.
    fn small() -> Workload {
        let deployment = Deployment {
            engines: 4,
            slots: 4,
            adapters: 60,
            load_failures: 0.05,
            ..workload::trgovski()
        };
        let profile = Profile {
            seconds: 60.0,
            ..Profile::steady(8.0, 1.2)
        };
        let requests = Source::new(&deployment, &profile, 3).requests(&profile);
        let outage = Outage {
            engine: 1,
            from: Millis::from_secs(20),
            away: Millis::ZERO,
        };
        Workload {
            name: "small".to_owned(),
            deployment,
            requests,
            outages: vec![outage],
            warm_up: Millis::ZERO,
        }
    }

    #[test]
    fn play_keeps_promises() {
        for row in play_all(&small(), 3) {
            assert_eq!(row.broken, 0, "{}", row.policy);
            let ended = row.answered + row.refused + row.late + row.lost;
            assert_eq!(ended, row.requests, "{}", row.policy);
        }
    }

    #[test]
    fn play_same_seed_same_rows() {
        let rows = || report::json(&play_all(&small(), 3)).expect("rows as JSON");
        assert_eq!(rows(), rows());
    }

    #[test]
    fn play_bound_below_all() {
        let mut workload = small();
        workload.outages.clear();
        workload.deployment.load_failures = 0.0;
        let mut rows = play_all(&workload, 3);
        let bound = rows.pop().expect("the bound comes last");
        assert_eq!(bound.policy, "clairvoyant");
        assert!(bound.stall_ms_total > 0);
        assert!(bound.prefetch_bound_ms <= Some(bound.stall_ms_total));
        for row in rows {
            assert!(row.stall_ms_total >= bound.stall_ms_total, "{}", row.policy);
        }
    }

    #[test]
    fn recipes_distinct_and_sorted() {
        for recipe in RECIPES.iter().take(4) {
            let named = RECIPES.iter().filter(|other| other.name == recipe.name);
            assert_eq!(named.count(), 1, "{}", recipe.name);
            let requests = recipe.make(1).requests;
            assert!(requests.is_sorted_by_key(|request| request.arrival));
        }
    }
}
