//! `fuzz-outcomes`: stateful fuzzing of the promises under failure.

pub mod harness;

use std::time::Instant;

use chivevalve::membership::guard::{Guard, Guards};
use eyre::Result;
use lexopt::prelude::*;
use serde_json::json;

use self::harness::campaign::{self, Report};
use crate::Verdict;
use crate::report::Format;

const USAGE: &str = "\
Usage: chivevalve-bench fuzz-outcomes [OPTIONS]

Plays random stories of faults on several nodes' real state machines in virtual
time, and shrinks the first story that breaks a promise.

  --events N         events to play (default 100000)
  --seed S           first seed (default 1)
  --without GUARD    leaves one guard out; a broken promise is then expected
  --guards           leaves each guard out in turn, up to N events each
  --format FORMAT    table or json (default table)
";

struct Options {
    events: u64,
    seed: u64,
    without: Option<Guard>,
    each: bool,
    json: bool,
}

/// Runs the campaign.
///
/// # Errors
///
/// When an option can't be understood.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(Verdict::Kept);
    };
    if options.each {
        return Ok(run_each(&options));
    }
    let guards = options.without.map_or(Guards::all(), Guards::without);
    let began = Instant::now();
    let report = campaign::run(options.events, options.seed, guards);
    let took = began.elapsed().as_secs();
    print(&options, &report, took);
    Ok(verdict(&report))
}

fn verdict(report: &Report) -> Verdict {
    match report.failure {
        Some(_) => Verdict::Broken,
        None => Verdict::Kept,
    }
}

fn parse(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        events: 100_000,
        seed: 1,
        without: None,
        each: false,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("events") => options.events = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("without") => options.without = Some(guard(&parser.value()?.string()?)?),
            Long("guards") => options.each = true,
            Long("format") => {
                let format: Format = parser.value()?.parse()?;
                options.json = format == Format::Json;
            }
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn guard(name: &str) -> Result<Guard> {
    Guard::ALL
        .into_iter()
        .find(|guard| format!("{guard:?}") == name)
        .ok_or_else(|| eyre::eyre!("unknown guard {name:?}: one of {:?}", Guard::ALL))
}

fn print(options: &Options, report: &Report, took: u64) {
    let failure = report.failure.as_ref();
    if options.json {
        let value = json!({
            "events": report.events,
            "stories": report.stories,
            "seed": options.seed,
            "seconds": took,
            "notes": report.notes,
            "violations": u32::from(failure.is_some()),
            "failure": failure.map(|failure| json!({
                "seed": failure.seed,
                "violation": failure.violation.to_string(),
                "story": failure.story.to_string(),
                "trace": failure.trace,
            })),
        });
        println!("{value:#}");
        return;
    }
    println!(
        "{} events in {} stories from seed {}, {took} s",
        report.events, report.stories, options.seed
    );
    for (note, count) in &report.notes {
        println!("  {note:<24}{count:>12}");
    }
    match failure {
        None => println!("violations: 0"),
        Some(failure) => println!(
            "violations: 1\nseed {}: {}\n{}\n{}",
            failure.seed,
            failure.violation,
            failure.story,
            failure.trace.join("\n")
        ),
    }
}

fn run_each(options: &Options) -> Verdict {
    let mut verdict = Verdict::Kept;
    let mut rows = Vec::new();
    for guard in Guard::ALL {
        let report = campaign::run(options.events, options.seed, Guards::without(guard));
        let caught = report.failure.as_ref();
        if caught.is_none() {
            verdict = Verdict::Broken;
        }
        if !options.json {
            let what = caught.map_or_else(
                || "NOT CAUGHT".to_owned(),
                |failure| {
                    let steps = failure.story.steps.len();
                    let promise = failure.violation.promise;
                    format!("{promise:?} in {steps} steps, seed {}", failure.seed)
                },
            );
            println!(
                "{:<20} {:>8} events: {what}",
                format!("{guard:?}"),
                report.events
            );
        }
        rows.push(json!({
            "guard": format!("{guard:?}"),
            "events": report.events,
            "caught": caught.map(|failure| failure.violation.to_string()),
            "story": caught.map(|failure| failure.story.to_string()),
        }));
    }
    if options.json {
        println!("{:#}", json!(rows));
    }
    verdict
}
