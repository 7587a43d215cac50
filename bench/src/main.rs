//! The one place to measure: a subcommand for each campaign.
//!
//! A subcommand ends with 1 when a promise was broken and with 2 when it was
//! called wrongly; a figure that falls short of its aim is only printed.

use std::fmt::Write;
use std::process::ExitCode;

use eyre::Result;
use lexopt::prelude::*;

mod faults;
mod fuzz_config;
mod fuzz_outcomes;
mod latency;
mod policy;
mod report;
mod site;
mod soak;
mod spread;

/// How a campaign ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Every promise was kept; figures may still fall short.
    Kept,
    /// At least one promise was broken.
    Broken,
}

/// One campaign of the bench.
struct Campaign {
    name: &'static str,
    about: &'static str,
    run: fn(&mut lexopt::Parser) -> Result<Verdict>,
}

/// All campaigns, by name.
const CAMPAIGNS: &[Campaign] = &[
    Campaign {
        name: "fuzz-config",
        about: "stories of faults against a log of accepted revisions",
        run: fuzz_config::run,
    },
    Campaign {
        name: "fuzz-outcomes",
        about: "random faults on several nodes' state machines, in virtual time",
        run: fuzz_outcomes::run,
    },
    Campaign {
        name: "faults",
        about: "real daemons under load while nodes, engines and the key-value service fail",
        run: faults::run,
    },
    Campaign {
        name: "latency",
        about: "what the layer adds to an answer, carries on a core and costs in memory",
        run: latency::run,
    },
    Campaign {
        name: "policy",
        about: "decisions under load, in virtual time, against baselines and a lower bound",
        run: policy::run,
    },
    Campaign {
        name: "soak",
        about: "a seeded story of faults against real daemons of the users' platform",
        run: soak::run,
    },
    Campaign {
        name: "spread",
        about: "how a change of configuration reaches all nodes, and what that costs",
        run: spread::run,
    },
];

const BROKEN: u8 = 1;
const MISUSED: u8 = 2;

fn usage() -> String {
    let mut text = String::from("Usage: chivevalve-bench NAME [OPTIONS]\n\nCampaigns:\n");
    for campaign in CAMPAIGNS {
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {:<16}{}", campaign.name, campaign.about);
    }
    text += "\n`chivevalve-bench NAME --help` lists a campaign's options.\n";
    text
}

fn dispatch() -> Result<Verdict> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Long("help") | Short('h')) => {
            print!("{}", usage());
            Ok(Verdict::Kept)
        }
        Some(Long("version") | Short('V')) => {
            println!("chivevalve-bench {}", env!("CARGO_PKG_VERSION"));
            Ok(Verdict::Kept)
        }
        Some(Value(name)) => {
            let name = name.string()?;
            let campaign = CAMPAIGNS
                .iter()
                .find(|campaign| campaign.name == name)
                .ok_or_else(|| eyre::eyre!("unknown campaign {name:?}\n\n{}", usage()))?;
            (campaign.run)(&mut parser)
        }
        Some(other) => Err(other.unexpected().into()),
        None => Err(eyre::eyre!("a campaign is missing\n\n{}", usage())),
    }
}

fn main() -> ExitCode {
    env_logger::init();
    match dispatch() {
        Ok(Verdict::Kept) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("chivevalve-bench: {error:#}");
            ExitCode::from(MISUSED)
        }
    }
}
