//! The campaign `spread`: how a change reaches all nodes, and what that costs.
//!
//! The product's own code runs over in-memory links in virtual time, by each
//! of the ways that docs/design/0005-configuration.md weighs. Latencies are
//! virtual; bytes, calls and processor time are real.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2 to the power of 52"
)]

use eyre::{Result, eyre};
use lexopt::prelude::*;

use crate::Verdict;
use crate::report::{self, Format, Table};

pub mod cpu;
pub mod links;
mod loopback;
mod run;
pub mod site;
mod sizes;
mod ways;

pub use run::base;
use run::{Row, Trouble};
use ways::Kind;

const DEFAULT_SEED: u64 = 5;
const DEFAULT_CHANGES: usize = 20;
const DEFAULT_NODES: [usize; 4] = [8, 16, 32, 64];

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    nodes: Vec<usize>,
    changes: usize,
    seed: u64,
    format: Format,
    ways: Vec<Kind>,
    troubles: Vec<Trouble>,
    sizes: bool,
    loopback: bool,
}

fn usage() -> String {
    let names: Vec<&str> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    format!(
        "Usage: chivevalve-bench spread [OPTIONS]\n\n\
         --nodes N,N          numbers of nodes (8,16,32,64)\n\
         --changes N          changes in each measurement ({DEFAULT_CHANGES})\n\
         --seed N             seed of all draws ({DEFAULT_SEED})\n\
         --format table|json  how results are printed\n\
         --way NAME           only this way ({}); may be repeated\n\
         --calm               only without troubles\n\
         --sizes              instead, what the layout costs as templates grow\n\
         --loopback           instead, real connections in real time\n",
        names.join(", ")
    )
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        nodes: DEFAULT_NODES.to_vec(),
        changes: DEFAULT_CHANGES,
        seed: DEFAULT_SEED,
        format: Format::default(),
        ways: Vec::new(),
        troubles: Trouble::ALL.to_vec(),
        sizes: false,
        loopback: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => options.nodes = numbers(&parser.value()?.string()?)?,
            Long("changes") => options.changes = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("format") => options.format = parser.value()?.parse()?,
            Long("way") => options.ways.push(way(&parser.value()?.string()?)?),
            Long("sizes") => options.sizes = true,
            Long("loopback") => options.loopback = true,
            Long("calm") => options.troubles = vec![Trouble::None],
            Long("help") | Short('h') => {
                print!("{}", usage());
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if options.ways.is_empty() {
        options.ways = Kind::ALL.to_vec();
    }
    Ok(Some(options))
}

fn numbers(text: &str) -> Result<Vec<usize>> {
    text.split(',')
        .map(|number| Ok(number.trim().parse()?))
        .collect()
}

fn way(name: &str) -> Result<Kind> {
    Kind::ALL
        .into_iter()
        .find(|kind| kind.name() == name)
        .ok_or_else(|| eyre!("unknown way {name:?}\n\n{}", usage()))
}

/// Runs the campaign.
///
/// # Errors
///
/// When the command line is wrong.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        return Ok(Verdict::Kept);
    };
    if options.sizes {
        return grow(&options);
    }
    if options.loopback {
        return connect(&options);
    }
    let mut rows = Vec::new();
    for nodes in &options.nodes {
        for kind in &options.ways {
            for trouble in &options.troubles {
                // Without exchanges a fresh node has nobody to ask.
                let alone = matches!(kind, Kind::Watch | Kind::Poll);
                if *trouble == Trouble::Fresh && alone {
                    continue;
                }
                rows.push(measure(&options, *kind, *nodes, *trouble)?);
            }
        }
    }
    report::print(options.format, &rows, |rows| table(rows))?;
    Ok(Verdict::Kept)
}

fn grow(options: &Options) -> Result<Verdict> {
    let rows: Result<Vec<sizes::Row>> = sizes::SIZES
        .into_iter()
        .map(|templates| sizes::measure(templates, options.seed))
        .collect();
    report::print(options.format, &rows?, |rows| sizes::table(rows))?;
    Ok(Verdict::Kept)
}

fn connect(options: &Options) -> Result<Verdict> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut rows = Vec::new();
    for nodes in &options.nodes {
        rows.push(runtime.block_on(loopback::run(*nodes, options.changes, options.seed))?);
    }
    match options.format {
        Format::Table => print!("{}", loopback::table(&rows)),
        Format::Json => print!("{}", report::json(&rows)?),
    }
    Ok(Verdict::Kept)
}

fn measure(options: &Options, kind: Kind, nodes: usize, trouble: Trouble) -> Result<Row> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    Ok(runtime.block_on(run::run(
        kind,
        nodes,
        trouble,
        options.changes,
        options.seed,
    )))
}

fn table(rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "way",
        "nodes",
        "trouble",
        "changes",
        "unfinished",
        "last ms p50",
        "last ms max",
        "idle B/s/node",
        "B/change/node",
        "idle CPU %/node",
        "us/change/node",
        "idle calls/s",
        "calls/change",
        "watches",
    ]);
    for row in rows {
        table.row(vec![
            row.way.to_owned(),
            row.nodes.to_string(),
            row.trouble.to_owned(),
            row.changes.to_string(),
            row.unfinished.to_string(),
            row.last_median_ms.to_string(),
            row.last_max_ms.to_string(),
            format!("{:.0}", row.idle_bytes),
            format!("{:.0}", row.change_bytes),
            format!("{:.4}", row.idle_cpu_percent),
            format!("{:.0}", row.change_cpu_us),
            format!("{:.2}", row.idle_calls),
            format!("{:.1}", row.change_calls),
            row.watches.to_string(),
        ]);
    }
    table.render()
}
