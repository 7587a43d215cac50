//! The whole product on one machine: nodes and stand-ins in one process.
//!
//! It applies the declarations in `standins/demo/declarations`, sends a mix of
//! requests, shows who answered whom, and holds every answer against what the
//! stand-ins truly ran.

mod page;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chivevalve::declaration::DeclarationSet;
use chivevalve::node::{Listeners, Node};
use chivevalve::settings;
use chivevalve_standins::fleet::{self, Node as Place};
use chivevalve_standins::judge::{Deal, Verdict, judge};
use chivevalve_standins::mix::Mix;
use chivevalve_standins::platform::{Plan, Platform};
use chivevalve_standins::traffic::{Balancer, Traffic};
use chivevalve_standins::{engine, platform};
use eyre::{Result, WrapErr, eyre};
use futures::future::join_all;
use lexopt::ValueExt;
use lexopt::prelude::{Long, Short};

const HELP: &str = "\
The whole product on one machine: nodes and stand-ins of the platform in one
process on loopback. Applies declarations, sends a mix of requests, shows who
answered, then serves until stopped.

Usage: chivevalve-demo [OPTIONS]

Options:
  --once              end after the mix: 0, or 1 if a promise was broken
  --nodes N           nodes [default: 3]
  --requests N        requests of the mix [default: 300]
  --seed N            seed of the mix [default: 1]
  --port PORT         first node's port for callers; peers and operators have
                      the next two, other nodes follow ten apart
                      [default: 8080, with --once free ports]
  --declarations DIR  declarations to apply [default: the demo's own]
  --help              print this
  --version           print the version

RUST_LOG=info shows the nodes' logs.
";

/// Port of the first node without `--port`.
const PORT: u16 = 8080;
/// Requests at a time.
const WORKERS: usize = 24;
/// How long the nodes may take to be ready.
const START: Duration = Duration::from_secs(30);
/// Time of one load from the weight store.
const LOAD: Duration = Duration::from_millis(100);
/// Nodes of the demo know the weight store's rate, and nobody waits for a balancer at their stop.
const NODE_SETTINGS: &str =
    "limits:\n  drain_grace_ms: 100\npolicy:\n  loads_per_kilosecond: 10000\n";

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    once: bool,
    nodes: usize,
    requests: usize,
    seed: u64,
    port: Option<u16>,
    declarations: PathBuf,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            once: false,
            nodes: 3,
            requests: 300,
            seed: 1,
            port: None,
            declarations: Path::new(env!("CARGO_MANIFEST_DIR")).join("demo/declarations"),
        }
    }
}

fn parse() -> Result<Option<Options>> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("once") => options.once = true,
            Long("nodes") => options.nodes = parser.value()?.parse()?,
            Long("requests") => options.requests = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("port") => options.port = Some(parser.value()?.parse()?),
            Long("declarations") => options.declarations = parser.value()?.into(),
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("chivevalve-demo {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if options.nodes == 0 {
        return Err(eyre!("--nodes must be at least 1"));
    }
    Ok(Some(options))
}

/// All that runs in the demo.
struct Demo {
    platform: Platform,
    places: Vec<Place>,
    nodes: Vec<Node>,
    declared: DeclarationSet,
}

impl Demo {
    async fn start(options: &Options) -> Result<Self> {
        let plan = Plan {
            load: LOAD,
            ..Plan::default()
        };
        let platform = Platform::start(&plan).await?;
        let places = match options.port {
            Some(port) => fleet::plan_at(options.nodes, port),
            None if options.once => fleet::plan(options.nodes).await?,
            None => fleet::plan_at(options.nodes, PORT),
        };
        let (sources, declared) =
            fleet::declarations(&options.declarations).map_err(|told| eyre!(told))?;
        check_fencing(&platform, &declared, &plan);
        let mut nodes = Vec::new();
        for place in &places {
            nodes.push(start(place, &platform.addresses()).await?);
        }
        let first = &places[0];
        fleet::wait_alive(first, START)
            .await
            .map_err(|told| eyre!(told))?;
        let revision = fleet::apply(first, &sources, "the demo begins")
            .await
            .map_err(|told| eyre!(told))?;
        println!(
            "revision {revision} is accepted: {} declarations",
            declared.len()
        );
        let upstreams = platform.engines.len() + platform.services.len();
        fleet::settle(&places, upstreams, START)
            .await
            .map_err(|told| eyre!(told))?;
        Ok(Self {
            platform,
            places,
            nodes,
            declared,
        })
    }

    /// Sends one request of each template, then the mix.
    async fn mix(&self, options: &Options) -> Vec<Deal> {
        let addresses = self.places.iter().map(|place| place.callers).collect();
        let accounts: Vec<&str> = self.declared.accounts.keys().map(String::as_str).collect();
        let traffic = Traffic::new(&accounts, Balancer::new(addresses));
        let mut mix = Mix::new(&self.declared, options.seed);
        let mut requests = mix.each();
        requests.extend((0..options.requests).map(|_| mix.next_request()));
        traffic.run_all(requests, WORKERS).await
    }

    fn judge(&self, deals: &[Deal]) -> Verdict {
        let checks = |_: &str| true;
        judge(deals, &self.platform.record(), checks)
    }

    async fn stop(&self) -> bool {
        let drained = join_all(self.nodes.iter().map(Node::drain)).await;
        drained.into_iter().all(|whole| whole)
    }
}

/// Makes engines check fencing tokens where their pool is declared to.
fn check_fencing(platform: &Platform, declared: &DeclarationSet, plan: &Plan) {
    let checks = |pool: &&platform::Pool| {
        let declared = declared.pools.get(&*pool.name);
        declared.is_some_and(|pool| pool.checks_fencing)
    };
    for pool in plan.pools.iter().filter(checks) {
        for (name, unit) in &platform.engines {
            if name.starts_with(&*pool.name) {
                unit.standin.set(engine::Knobs {
                    checks_fencing: true,
                    ..engine::Knobs::default()
                });
            }
        }
    }
}

async fn start(place: &Place, platform: &platform::Addresses) -> Result<Node> {
    let text = fleet::settings(place, platform, NODE_SETTINGS);
    let settings = settings::parse(&text, &place.name).map_err(|mistakes| eyre!("{mistakes}"))?;
    let listeners = Listeners::bind(&settings)
        .await
        .wrap_err("another demo may be running; see --port")?;
    Node::start(settings, listeners)
}

async fn run(options: &Options) -> Result<ExitCode> {
    let demo = Demo::start(options).await?;
    let deals = demo.mix(options).await;
    let verdict = demo.judge(&deals);
    page::answers(&deals, &demo.places);
    page::engines(&demo.platform, &demo.nodes);
    page::verdict(&verdict);
    if !options.once {
        page::try_it(&demo.places);
        tokio::signal::ctrl_c().await?;
        println!("stopping: requests in progress finish first");
    }
    let drained = demo.stop().await;
    let verdict = demo.judge(&deals);
    if drained && verdict.broken() == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    println!("A promise was broken; drained whole: {drained}.");
    Ok(ExitCode::FAILURE)
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match parse()? {
        Some(options) => run(&options).await,
        None => Ok(ExitCode::SUCCESS),
    }
}
