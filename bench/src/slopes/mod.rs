//! How the cost of control grows, measured on real nodes in one process.
//!
//! Each fleet idles in front of the stand-ins; what a node uses is fitted as a
//! line over the number of nodes and over the number of templates, and read off
//! at the size of docs/CAPACITY.md.

#![allow(
    clippy::cast_precision_loss,
    reason = "the figures stay far below 2^52"
)]

mod fit;
mod fleet;
mod process;

use std::process::Command;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use lexopt::prelude::*;
use serde::Serialize;

use self::fit::Line;
use self::fleet::{Fleet, Size, Usage};
use crate::Verdict;
use crate::report::{self, Format, Table};

/// Nodes of the target.
const TARGET_NODES: f64 = 320.0;
/// Templates of the target.
const TARGET_TEMPLATES: f64 = 19_000.0;
/// Upstreams for each node, as at the target.
const ENGINES_A_NODE: usize = 2;
/// Templates while the number of nodes grows. Fleets begin at 24 nodes, since a
/// message tells of at most so many: smaller ones lie on another line.
const TEMPLATES: usize = 200;
/// Nodes while the number of templates grows.
const NODES: usize = 3;

const HELP: &str = "\
Usage: chivevalve-bench slopes [OPTIONS]

  --nodes N,N,...       sizes of fleets (default 24,48,96)
  --templates N,N,...   numbers of templates (default 1000,9500,19000)
  --seconds S           how long each fleet is watched (default 10)
  --format table|json   how results are printed
  --fleet N,E,T         watch one fleet of N nodes, E engines and T templates, as JSON
";

#[derive(Debug)]
struct Options {
    nodes: Vec<usize>,
    templates: Vec<usize>,
    span: Duration,
    format: Format,
    fleet: Option<Size>,
}

/// One cost of a node, its limit, and what it comes to at the target.
#[derive(Debug, Serialize)]
struct Row {
    cost: &'static str,
    grows_with: &'static str,
    line: Line,
    at_target: f64,
    limit: f64,
    fits: bool,
}

#[derive(Debug, Serialize)]
struct Outcome {
    usages: Vec<Usage>,
    rows: Vec<Row>,
}

/// Measures all slopes and prints them.
///
/// # Errors
///
/// When the options are wrong or a fleet can't be measured.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        print!("{HELP}");
        return Ok(Verdict::Kept);
    };
    if let Some(size) = options.fleet {
        let runtime = tokio::runtime::Runtime::new()?;
        let usage = runtime.block_on(watch(size, options.span))?;
        print!("{}", report::json(&usage)?);
        return Ok(Verdict::Kept);
    }
    let outcome = measure(&options)?;
    match options.format {
        Format::Json => print!("{}", report::json(&outcome)?),
        Format::Table => print!("{}\n{}", usages(&outcome.usages), rows(&outcome.rows)),
    }
    Ok(Verdict::Kept)
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        nodes: vec![24, 48, 96],
        templates: vec![1_000, 9_500, 19_000],
        span: Duration::from_secs(10),
        format: Format::default(),
        fleet: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("nodes") => options.nodes = sizes(&parser.value()?.string()?)?,
            Long("templates") => options.templates = sizes(&parser.value()?.string()?)?,
            Long("seconds") => options.span = Duration::from_secs(parser.value()?.parse()?),
            Long("format") => options.format = parser.value()?.string()?.parse()?,
            Long("fleet") => options.fleet = Some(size(&parser.value()?.string()?)?),
            // The nodes draw their own jitter, so there is nothing to seed.
            Long("seed") => drop(parser.value()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn sizes(list: &str) -> Result<Vec<usize>> {
    list.split(',')
        .map(|size| {
            size.trim()
                .parse()
                .wrap_err_with(|| format!("{size:?} isn't a size"))
        })
        .collect()
}

fn size(list: &str) -> Result<Size> {
    let [nodes, engines, templates] = sizes(list)?
        .try_into()
        .map_err(|_| eyre!("{list:?} isn't nodes,engines,templates"))?;
    Ok(Size {
        nodes,
        engines,
        templates,
    })
}

fn measure(options: &Options) -> Result<Outcome> {
    let fleets = |sizes: &[usize], fleet: &dyn Fn(usize) -> Size| -> Result<Vec<Usage>> {
        let sizes = sizes.iter().map(|size| fleet(*size));
        sizes.map(|size| apart(size, options.span)).collect()
    };
    let mut by_nodes = fleets(&options.nodes, &|nodes| Size {
        nodes,
        engines: nodes * ENGINES_A_NODE,
        templates: TEMPLATES,
    })?;
    let mut by_templates = fleets(&options.templates, &|templates| Size {
        nodes: NODES,
        engines: NODES * ENGINES_A_NODE,
        templates,
    })?;
    let rows = costs(&by_nodes, &by_templates);
    by_nodes.append(&mut by_templates);
    Ok(Outcome {
        usages: by_nodes,
        rows,
    })
}

/// Watches a fleet in a process of its own, so that no earlier fleet's memory is in its figures.
fn apart(size: Size, span: Duration) -> Result<Usage> {
    let Size {
        nodes,
        engines,
        templates,
    } = size;
    let output = Command::new(std::env::current_exe()?)
        .args([
            "slopes",
            "--fleet",
            &format!("{nodes},{engines},{templates}"),
        ])
        .args(["--seconds", &span.as_secs().to_string()])
        .env("RUST_LOG", "error")
        .output()?;
    if !output.status.success() {
        let text = String::from_utf8_lossy(&output.stderr);
        return Err(eyre!("a fleet of {nodes} nodes: {text}"));
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

async fn watch(size: Size, span: Duration) -> Result<Usage> {
    let fleet = Fleet::start(size).await?;
    let usage = fleet.watch(span).await?;
    fleet.end().await;
    Ok(usage)
}

/// Limits of control at one node, from docs/CAPACITY.md.
mod limit {
    pub const BYTES: f64 = 13_000.0;
    pub const CORES: f64 = 0.01;
    pub const MEMORY: f64 = 128.0 * 1024.0 * 1024.0;
    /// Calls a second of the whole fleet, of the two thousand that the service answers.
    pub const CALLS: f64 = 1_000.0;
}

fn costs(by_nodes: &[Usage], by_templates: &[Usage]) -> Vec<Row> {
    let nodes = |usage: &Usage| usage.size.nodes as f64;
    let templates = |usage: &Usage| usage.size.templates as f64;
    let fleet_calls = |usage: &Usage| usage.store_calls * usage.size.nodes as f64;
    let row = |cost, grows_with, points: Vec<(f64, f64)>, at: f64, limit| {
        let line = Line::fit(&points);
        let at_target = line.at(at);
        Row {
            cost,
            grows_with,
            line,
            at_target,
            limit,
            fits: at_target <= limit,
        }
    };
    let over = |usages: &[Usage], x: &dyn Fn(&Usage) -> f64, y: &dyn Fn(&Usage) -> f64| {
        usages.iter().map(|usage| (x(usage), y(usage))).collect()
    };
    vec![
        row(
            "control bytes/s of a node",
            "nodes",
            over(by_nodes, &nodes, &|u| u.control_bytes),
            TARGET_NODES,
            limit::BYTES,
        ),
        row(
            "cores of a node, idle",
            "nodes",
            over(by_nodes, &nodes, &|u| u.cores),
            TARGET_NODES,
            limit::CORES,
        ),
        row(
            "memory of a node, bytes",
            "nodes",
            over(by_nodes, &nodes, &|u| u.memory),
            TARGET_NODES,
            limit::MEMORY,
        ),
        row(
            "key-value calls/s of the fleet",
            "nodes",
            over(by_nodes, &nodes, &fleet_calls),
            TARGET_NODES,
            limit::CALLS,
        ),
        row(
            "control bytes/s of a node",
            "templates",
            over(by_templates, &templates, &|u| u.control_bytes),
            TARGET_TEMPLATES,
            limit::BYTES,
        ),
        row(
            "cores of a node, idle",
            "templates",
            over(by_templates, &templates, &|u| u.cores),
            TARGET_TEMPLATES,
            limit::CORES,
        ),
        row(
            "memory of a node, bytes",
            "templates",
            over(by_templates, &templates, &|u| u.memory),
            TARGET_TEMPLATES,
            limit::MEMORY,
        ),
    ]
}

fn usages(usages: &[Usage]) -> String {
    let mut table = Table::new(&[
        "nodes",
        "engines",
        "templates",
        "control B/s",
        "store calls/s",
        "cores",
        "MiB",
        "spread ms",
    ]);
    for usage in usages {
        table.row(vec![
            usage.size.nodes.to_string(),
            usage.size.engines.to_string(),
            usage.size.templates.to_string(),
            format!("{:.0}", usage.control_bytes),
            format!("{:.2}", usage.store_calls),
            format!("{:.4}", usage.cores),
            format!("{:.1}", usage.memory / 1024.0 / 1024.0),
            usage.spread_ms.to_string(),
        ]);
    }
    table.render()
}

fn rows(rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "cost",
        "grows with",
        "at 0",
        "slope",
        "fit error",
        "at target",
        "limit",
        "",
    ]);
    for row in rows {
        table.row(vec![
            row.cost.to_owned(),
            row.grows_with.to_owned(),
            format!("{:.4}", row.line.at_zero),
            format!("{:.6}", row.line.slope),
            format!("{:.0} %", row.line.error * 100.0),
            format!("{:.4}", row.at_target),
            format!("{:.2}", row.limit),
            if row.fits { "fits" } else { "SHORT" }.to_owned(),
        ]);
    }
    table.render()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn usage(nodes: usize, templates: usize, bytes: f64) -> Usage {
        Usage {
            size: Size {
                nodes,
                engines: nodes * 2,
                templates,
            },
            control_bytes: bytes,
            store_calls: 1.0,
            cores: 0.001,
            memory: 1e6,
            spread_ms: 0,
        }
    }

    #[test]
    fn costs_short_is_marked() {
        let steep = [usage(2, 200, 200.0), usage(4, 200, 400.0)];
        let level = [usage(3, 1_000, 300.0), usage(3, 2_000, 300.0)];
        let rows = costs(&steep, &level);
        assert!(!rows[0].fits, "100 bytes for each of 320 nodes is too much");
        assert!(rows[4].fits, "a level line stays within the limit");
        assert!((rows[3].at_target - 320.0).abs() < 1e-6);
    }
}
