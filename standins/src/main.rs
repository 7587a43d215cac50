//! All stand-ins in one process, for daemons that run as processes of their own.

use std::sync::Arc;
use std::time::Duration;

use chivevalve_standins::control::Control;
use chivevalve_standins::platform::{Addresses, Plan, Platform, Pool};
use chivevalve_standins::serve::Server;
use eyre::{Result, WrapErr};
use lexopt::ValueExt;
use lexopt::prelude::{Long, Short};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Stand-ins of the platform, all in one process. See docs/standins.md.

Usage: chivevalve-standins [OPTIONS]

Options:
  --ip IP             where to listen [default: 127.0.0.1]
  --port PORT         first port; the key-value service, the list of VMs, the
                      weight store and the control interface take four in a
                      row, upstreams those from PORT+10 [default: free ports]
  --pool NAME=KIND:N  a pool of N upstreams, KIND being engine or service;
                      may be repeated [default: engines=engine:4
                      connector=service:3 records=service:3]
  --slots N           adapters that fit into an engine [default: 4]
  --batch N           requests in an engine's step [default: 16]
  --step-us N         an engine's step with one request [default: 8000]
  --step-add-us N     what each further request adds [default: 100]
  --load-ms N         one load from the weight store [default: 300]
  --help              print this
  --version           print the version

Prints the addresses as one line of JSON, then serves until SIGTERM or SIGINT.
";

/// Port of the control interface above the first port.
const CONTROL_PORT: u16 = 3;

/// The line that is printed.
#[derive(Debug, Serialize)]
struct Started {
    control: std::net::SocketAddr,
    #[serde(flatten)]
    addresses: Addresses,
}

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::init();
    let Some(plan) = parse()? else { return Ok(()) };
    let mut terminate = signal(SignalKind::terminate())?;
    let platform = Platform::start(&plan).await.wrap_err("can't listen")?;
    let platform = Arc::new(platform);
    let port = match plan.port {
        0 => 0,
        port => port + CONTROL_PORT,
    };
    let control = Arc::new(Control::new(Arc::clone(&platform)));
    let server = Server::start_at((plan.ip, port).into(), control).await?;
    let started = Started {
        control: server.addr(),
        addresses: platform.addresses(),
    };
    println!("{}", serde_json::to_string(&started)?);
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}

/// Reads the command line; none if there is nothing more to do.
fn parse() -> Result<Option<Plan>> {
    let mut plan = Plan::default();
    let mut pools: Vec<Pool> = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("ip") => plan.ip = parser.value()?.parse()?,
            Long("port") => plan.port = parser.value()?.parse()?,
            Long("pool") => pools.push(parser.value()?.parse()?),
            Long("slots") => plan.engine.slots = parser.value()?.parse()?,
            Long("batch") => plan.engine.batch = parser.value()?.parse()?,
            Long("step-us") => plan.engine.step_us = parser.value()?.parse()?,
            Long("step-add-us") => plan.engine.step_per_request_us = parser.value()?.parse()?,
            Long("load-ms") => plan.load = Duration::from_millis(parser.value()?.parse()?),
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("chivevalve-standins {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if !pools.is_empty() {
        plan.pools = pools;
    }
    Ok(Some(plan))
}
