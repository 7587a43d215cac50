//! Real daemons under steady load while everything around them fails.
//!
//! The daemons are processes of their own; the stand-ins run in this one. The
//! load goes through a balancer that checks `/readyz` as the platform's does.
//! See docs/measurements.md for recorded runs.

mod outcome;
mod tally;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chivevalve::declaration::DeclarationSet;
use chivevalve_standins::engine;
use chivevalve_standins::fleet;
use chivevalve_standins::judge::{self, Deal};
use chivevalve_standins::mix::Mix;
use chivevalve_standins::platform::{Plan, Platform};
use chivevalve_standins::store;
use chivevalve_standins::traffic::{Balancer, Traffic};
use eyre::{Result, eyre};
use lexopt::prelude::*;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::report::{self, Format};
use crate::site::{Kind, Site};
use outcome::{Outcome, table};
use tally::Phase;

const HELP: &str = "\
Usage: chivevalve-bench faults [OPTIONS]

Starts real daemons in front of the stand-ins and breaks things under load: nodes
killed, engines restarted, the key-value service away, an owner paused, planned
stops, an upstream leaving. Needs chivevalved beside it:
cargo build --release -p chivevalve-cli

  --nodes N        daemons [default: 5]
  --workers N      requests at a time [default: 48]
  --seconds N      length of the parts with kills and with the outage [default: 60]
  --pause N        seconds that an owner is paused [default: 30]
  --format FORMAT  table or json [default: table]
  --seed N         seed of the requests [default: 1]
  --logs DIR       keep the daemons' logs

Ends with 1 when a promise was broken.
";

/// The balancer checks five times in the grace, so that a stopping node gets no new work after it.
const SETTINGS: &str = "limits:\n  drain_grace_ms: 1000\npolicy:\n  loads_per_kilosecond: 20000\n";
/// Time between two kills of a node.
const KILL_EACH: Duration = Duration::from_secs(10);
/// How long a killed node is gone.
const KILLED_FOR: Duration = Duration::from_secs(3);
/// Time between two restarts of an engine.
const RESTART_EACH: Duration = Duration::from_secs(15);
/// How long a restarted engine is gone.
const RESTARTED_FOR: Duration = Duration::from_secs(1);
/// Time between parts, for the system to come to rest.
const REST: Duration = Duration::from_secs(10);
/// How long an upstream that leaves is watched for new work.
const LEAVING_FOR: Duration = Duration::from_secs(10);
/// How long the nodes may take to settle.
const START: Duration = Duration::from_mins(1);
/// Longest wait for the upstreams of a dead node.
const TAKEOVER: Duration = Duration::from_secs(30);
/// Pool whose engines ignore fencing tokens.
const UNCHECKED: &str = "unchecked";

struct Options {
    nodes: usize,
    workers: usize,
    span: Duration,
    pause: Duration,
    format: Format,
    seed: u64,
    logs: Option<PathBuf>,
}

/// Runs the campaign.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        print!("{HELP}");
        return Ok(Verdict::Kept);
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(campaign(&options))?;
    report::print(options.format, &outcome, table)?;
    let broken = outcome.promises.broken() + outcome.planned_stop_lost;
    Ok(if broken == 0 {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        nodes: 5,
        workers: 48,
        span: Duration::from_mins(1),
        pause: Duration::from_secs(30),
        format: Format::default(),
        seed: 1,
        logs: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("nodes") => options.nodes = parser.value()?.parse()?,
            Long("workers") => options.workers = parser.value()?.parse()?,
            Long("seconds") => options.span = Duration::from_secs(parser.value()?.parse()?),
            Long("pause") => options.pause = Duration::from_secs(parser.value()?.parse()?),
            Long("format") => options.format = parser.value()?.string()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("logs") => options.logs = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.nodes < 2 {
        return Err(eyre!("--nodes must be at least 2"));
    }
    Ok(Some(options))
}

async fn platform() -> Result<Platform> {
    let plan = Plan {
        pools: vec![
            "engines=engine:5"
                .parse()
                .map_err(|told: String| eyre!(told))?,
            "unchecked=engine:2"
                .parse()
                .map_err(|told: String| eyre!(told))?,
            "connector=service:3"
                .parse()
                .map_err(|told: String| eyre!(told))?,
            "records=service:3"
                .parse()
                .map_err(|told: String| eyre!(told))?,
        ],
        load: Duration::from_millis(50),
        ..Plan::default()
    };
    let platform = Platform::start(&plan).await?;
    for (name, unit) in &platform.engines {
        unit.standin.set(engine::Knobs {
            checks_fencing: checks(name),
            status_lag_ms: 500,
            ..engine::Knobs::default()
        });
    }
    Ok(platform)
}

fn checks(engine: &str) -> bool {
    !engine.starts_with(UNCHECKED)
}

/// The campaign's parts, with the requests that were made meanwhile.
struct Campaign {
    site: Arc<Site>,
    outcome: Outcome,
    marks: Vec<(&'static str, Instant, Instant)>,
    kills: usize,
}

async fn campaign(options: &Options) -> Result<Outcome> {
    let directory = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/faults"));
    let (sources, set) = fleet::declarations(&directory).map_err(|told| eyre!(told))?;
    let site = Site::start(platform().await?, options.nodes, SETTINGS).await?;
    let first = &site.slots[0];
    fleet::wait_alive(&first.node, START)
        .await
        .map_err(|told| eyre!(told))?;
    fleet::apply(&first.node, &sources, "the campaign begins")
        .await
        .map_err(|told| eyre!(told))?;
    let nodes: Vec<_> = site.slots.iter().map(|slot| slot.node.clone()).collect();
    let upstreams = site.platform.engines.len() + site.platform.services.len();
    fleet::settle(&nodes, upstreams, START)
        .await
        .map_err(|told| eyre!(told))?;
    let (stop, load) = load(&site, &set, options);
    let mut campaign = Campaign::new(Arc::clone(&site), options);
    let done = campaign.parts(options).await;
    // A load that has ended already needs no telling.
    let _ = stop.send(true);
    let deals = load.await?;
    if let Some(logs) = &options.logs {
        std::fs::create_dir_all(logs)?;
        for slot in &site.slots {
            let file = logs.join(format!("{}.log", slot.node.name));
            std::fs::write(file, site.log(slot))?;
        }
    }
    done?;
    Ok(campaign.finish(&deals))
}

/// Starts the load; it ends when told.
fn load(
    site: &Arc<Site>,
    set: &DeclarationSet,
    options: &Options,
) -> (
    tokio::sync::watch::Sender<bool>,
    tokio::task::JoinHandle<Vec<Deal>>,
) {
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let accounts: Vec<&str> = set.accounts.keys().map(String::as_str).collect();
    let balancer: Balancer = site.balancer.clone();
    let traffic = Traffic::new(&accounts, balancer);
    let mix = Mix::new(set, options.seed);
    let workers = options.workers;
    let task = tokio::spawn(async move {
        traffic
            .run_while(mix, workers, move || !*stopped.borrow())
            .await
    });
    (stop, task)
}

impl Campaign {
    fn new(site: Arc<Site>, options: &Options) -> Self {
        Self {
            site,
            outcome: Outcome {
                nodes: options.nodes,
                workers: options.workers,
                seed: options.seed,
                promises: judge::Verdict::default(),
                phases: Vec::new(),
                kills: 0,
                engine_restarts: 0,
                takeover_ms: Vec::new(),
                leaving_last_work_ms: None,
                paused_owner_stale_checked: 0,
                paused_owner_stale_ignored: 0,
                paused_owner_refused: 0,
                planned_stops: 0,
                planned_stops_clean: 0,
                planned_stop_lost: 0,
            },
            marks: Vec::new(),
            kills: 0,
        }
    }

    async fn parts(&mut self, options: &Options) -> Result<()> {
        self.quiet("quiet").await;
        let from = Instant::now();
        self.kills_and_restarts(options.span, true).await?;
        self.mark("kills and engine restarts", from);
        self.quiet("rest").await;
        let from = Instant::now();
        self.outage(options.span).await?;
        self.mark("the same, key-value service away", from);
        self.quiet("after the outage").await;
        let from = Instant::now();
        self.pause(options.pause).await?;
        self.mark("an owner paused", from);
        self.quiet("after the pause").await;
        let from = Instant::now();
        self.leaving().await;
        self.mark("an engine leaves", from);
        let from = Instant::now();
        self.stops().await?;
        self.mark("planned stops", from);
        Ok(())
    }

    fn mark(&mut self, name: &'static str, from: Instant) {
        self.marks.push((name, from, Instant::now()));
    }

    async fn quiet(&mut self, name: &'static str) {
        let from = Instant::now();
        sleep(REST).await;
        self.mark(name, from);
    }

    /// Kills a node each ten seconds and restarts an engine each fifteen.
    async fn kills_and_restarts(&mut self, span: Duration, takeover: bool) -> Result<()> {
        let end = Instant::now() + span;
        let restarts = tokio::spawn(restarts(Arc::clone(&self.site), end));
        while Instant::now() < end {
            let round = Instant::now();
            self.kill_one(takeover).await?;
            tokio::time::sleep_until((round + KILL_EACH).min(end)).await;
        }
        self.outcome.engine_restarts += restarts.await??;
        Ok(())
    }

    async fn kill_one(&mut self, takeover: bool) -> Result<()> {
        let site = Arc::clone(&self.site);
        let count = site.slots.len();
        let victim = &site.slots[self.kills % count];
        let witness = &site.slots[(self.kills + 1) % count];
        self.kills += 1;
        self.outcome.kills += 1;
        let claims = site.owned_by(&victim.node.name, witness).await;
        site.kill(victim)?;
        let began = Instant::now();
        if takeover && !claims.is_empty() {
            let took = site.replaced(&claims, witness, KILL_EACH).await;
            self.outcome
                .takeover_ms
                .push(took.map(|took| took.as_millis()));
        }
        tokio::time::sleep_until(began + KILLED_FOR).await;
        site.launch(victim)
    }

    /// The key-value service is away while nodes and engines go on failing.
    async fn outage(&mut self, span: Duration) -> Result<()> {
        let from = Instant::now();
        let down = store::Knobs {
            down: true,
            ..store::Knobs::default()
        };
        self.site.platform.set_store(down).await?;
        self.kills_and_restarts(span, false).await?;
        self.site
            .platform
            .set_store(store::Knobs::default())
            .await?;
        self.site.note(Kind::StoreOutage, "store", from);
        Ok(())
    }

    /// Pauses the node that owns the most, and counts its old orders.
    async fn pause(&mut self, span: Duration) -> Result<()> {
        for slot in &self.site.slots {
            self.site.ready(slot).await?;
        }
        let mut most = (0, 0);
        for (index, slot) in self.site.slots.iter().enumerate() {
            let witness = &self.site.slots[(index + 1) % self.site.slots.len()];
            let owned = self.site.owned_by(&slot.node.name, witness).await.len();
            most = most.max((owned, index));
        }
        let before = self.judge(&[]);
        let refused = self.site.platform.record().counts().refused_stale;
        self.site.pause(&self.site.slots[most.1], span).await?;
        sleep(TAKEOVER.min(REST)).await;
        let after = self.judge(&[]);
        let outcome = &mut self.outcome;
        outcome.paused_owner_stale_checked =
            after.stale_orders_checked - before.stale_orders_checked;
        outcome.paused_owner_stale_ignored =
            after.stale_orders_ignored - before.stale_orders_ignored;
        outcome.paused_owner_refused = self.site.platform.record().counts().refused_stale - refused;
        Ok(())
    }

    /// Marks an engine as leaving and waits for its last new run.
    async fn leaving(&mut self) {
        let name = "engines-1";
        let Some(unit) = self.site.platform.engines.get(name) else {
            return;
        };
        let list = &self.site.platform.directory.standin;
        list.set_leaving(name, true);
        let began = Instant::now();
        let mut runs = unit.standin.runs().len();
        while began.elapsed() < LEAVING_FOR {
            sleep(Duration::from_millis(20)).await;
            let now = unit.standin.runs().len();
            if now != runs {
                runs = now;
                self.outcome.leaving_last_work_ms = Some(began.elapsed().as_millis());
            }
        }
        list.set_leaving(name, false);
    }

    /// Stops and replaces every node in a row.
    async fn stops(&mut self) -> Result<()> {
        let site = Arc::clone(&self.site);
        for slot in &site.slots {
            self.outcome.planned_stops += 1;
            self.outcome.planned_stops_clean += usize::from(site.stop(slot).await?);
            site.launch(slot)?;
            site.ready(slot).await?;
        }
        Ok(())
    }

    fn judge(&self, deals: &[Deal]) -> judge::Verdict {
        judge::judge(deals, &self.site.platform.record(), checks)
    }

    fn finish(mut self, deals: &[Deal]) -> Outcome {
        self.outcome.promises = self.judge(deals);
        for (name, from, until) in &self.marks {
            let phase = Phase::count(deals, &self.site, *from, *until);
            if *name == "planned stops" {
                self.outcome.planned_stop_lost = phase.unsent + phase.unknown.values().sum::<u64>();
            }
            self.outcome.phases.push((name, phase));
        }
        self.outcome
    }
}

/// Restarts engines in turn until `end`; returns how many.
async fn restarts(site: Arc<Site>, end: Instant) -> Result<usize> {
    let names: Vec<_> = site.platform.engines.keys().cloned().collect();
    let mut count = 0;
    while Instant::now() < end {
        let name = &names[count % names.len()];
        let from = Instant::now();
        site.platform.restart_engine(name, RESTARTED_FOR).await?;
        site.note(Kind::EngineRestart, name, from);
        count += 1;
        tokio::time::sleep_until((from + RESTART_EACH).min(end)).await;
    }
    Ok(count)
}
