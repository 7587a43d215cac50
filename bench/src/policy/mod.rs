//! The campaign `policy`: decisions under load, in virtual time.
//!
//! It plays hours of traffic against page-size fakes of engines and the weight
//! store. It is no cluster simulator: there is no network, and there are no
//! nodes. docs/measurements.md holds its results and how to read them.

#![allow(
    dead_code,
    reason = "the remaining workloads and policies use the rest"
)]

use std::path::PathBuf;

use eyre::{Result, eyre};
use lexopt::prelude::*;

use crate::Verdict;
use crate::report::{self, Format, Table};

mod baseline;
mod clairvoyant;
mod contender;
mod engine;
mod measure;
mod source;
mod store;
mod traffic;
mod workload;
mod world;

use baseline::{Baseline, Placement};
use contender::Contender;
use measure::Row;
use traffic::Workload;
use workload::RECIPES;
use world::{Policy, World};

const DEFAULT_SEED: u64 = 7;

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    seed: u64,
    format: Format,
    out: Option<PathBuf>,
    workloads: Vec<String>,
}

fn usage() -> String {
    let names: Vec<&str> = RECIPES.iter().map(|recipe| recipe.name).collect();
    format!(
        "Usage: chivevalve-bench policy [OPTIONS]\n\n\
         --seed N             seed of all draws ({DEFAULT_SEED})\n\
         --format table|json  how results are printed\n\
         --out DIR            also write policy.json and policy.svg there\n\
         --workload NAME      only this workload; may be repeated\n\n\
         Workloads: {}\n",
        names.join(", ")
    )
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        seed: DEFAULT_SEED,
        format: Format::default(),
        out: None,
        workloads: Vec::new(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("format") => options.format = parser.value()?.string()?.parse()?,
            Long("out") => options.out = Some(parser.value()?.into()),
            Long("workload") => options.workloads.push(parser.value()?.string()?),
            Long("help") | Short('h') => {
                print!("{}", usage());
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
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
    let mut rows = Vec::new();
    for workload in workloads(&options)? {
        rows.extend(play_all(&workload, options.seed));
    }
    print_rows(&options, &rows)?;
    let broken = rows.iter().any(|row| row.broken > 0);
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Kept
    })
}

fn workloads(options: &Options) -> Result<Vec<Workload>> {
    let known = |name: &String| RECIPES.iter().any(|recipe| recipe.name == name);
    if let Some(unknown) = options.workloads.iter().find(|name| !known(name)) {
        return Err(eyre!("unknown workload {unknown:?}\n\n{}", usage()));
    }
    let wanted =
        |name: &str| options.workloads.is_empty() || options.workloads.iter().any(|w| w == name);
    let recipes = RECIPES.iter().filter(|recipe| wanted(recipe.name));
    Ok(recipes.map(|recipe| recipe.make(options.seed)).collect())
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
    match options.format {
        Format::Json => print!("{}", report::json(&rows)?),
        Format::Table => print!("{}", table(rows).render()),
    }
    if let Some(directory) = &options.out {
        report::write(directory, "policy.json", &report::json(&rows)?)?;
    }
    Ok(())
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
