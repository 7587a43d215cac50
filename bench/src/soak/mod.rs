//! A seeded story against real daemons on the users' platform's stand-ins.
//!
//! docs/soak.md tells how to run it and how to read what it says.

mod answer;
mod caller;
mod judge;
mod proxy;
mod readiness;
mod site;
mod story;
mod trouble;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::brittle::Brittle;
use chivevalve_platform_standins::soak::ledger::Start;
use chivevalve_platform_standins::soak::mood;
use chivevalve_platform_standins::soak::wire::Ask;
use eyre::{Result, eyre};
use lexopt::prelude::*;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::Verdict;
use caller::{Call, Calls};
use judge::{Evidence, Violation};
use site::Site;
use story::{Act, Extras, Step};
use trouble::Scope;

const HELP: &str = "\
Usage: chivevalve-bench soak [OPTIONS]

Plays the story of a seed against daemons of the users' platform, on loopback, and judges
what callers and servers saw. Needs chivevalved beside it: cargo build --release -p chivevalve-cli

  --seed N       the story [default: 1]
  --seconds N    its length, without the return at the end [default: 60]
  --nodes N      daemons, 8 at most [default: 4]
  --workers N    requests at a time [default: 24]
  --exact        judge only what a slow computer can't break by itself
  --poison       one caller sends a request that ends each engine that runs it
  --poison-part  different requests have a prompt part in common that does
  --rejection-limit N
                 from 8 s to 8 s before the end servers say that they bear N rejections in a
                 second, and fall over beyond that
  --silences     engines fall silent for a second while configurations change, and runs move
  --releases     engines get new software, and all nodes are killed at once meanwhile
  --trick NAME   spoil the stand-ins or the callers, so that a check has to fail
  --story        print the story and play nothing
  --program P    the daemon's program
  --dir DIR      where logs go [default: target/soak]

Ends with 1 when a promise was broken.
";

/// Time at the beginning and at the end in which servers bear any number of rejections.
const STURDY: Millis = Millis(8_000);
/// Most daemons, for the computer's sake.
const MOST_NODES: usize = 8;
/// Violations that are printed in full.
const SHOWN: usize = 12;
/// Lines of logs that are printed for each.
const LINES: usize = 12;
/// Time before a violation of which the faults are printed.
const AROUND: Millis = Millis(8_000);
/// Time within which everything has to be back after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests of each node that have to be served in a row then.
const SERVED: usize = 12;
/// Longest wait for faults that still go on.
const GOING: Duration = Duration::from_secs(30);
/// Time for requests to run late that were refused.
const AFTERWARDS: Duration = Duration::from_secs(2);

/// What is spoilt so that a check has to fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trick {
    #[default]
    None,
    /// The servers do something.
    Server(mood::Trick),
    /// Nodes that are asked to stop are killed soon after.
    Impatient,
    /// Callers hear half of each answer.
    Halved,
    /// Callers hear each answer two times, one behind the other.
    Doubled,
    /// Callers ask for a route that no configuration has.
    Stray,
    /// Servers stay silent when all faults are over.
    NoReturn,
}

/// Tricks by name.
const TRICKS: [(&str, Trick); 23] = [
    ("twice", Trick::Server(mood::Trick::Twice)),
    ("swapped", Trick::Server(mood::Trick::Swapped)),
    ("looks-whole", Trick::Server(mood::Trick::LooksWhole)),
    ("gap", Trick::Server(mood::Trick::Gap)),
    ("repeat", Trick::Server(mood::Trick::Repeat)),
    ("false-refusal", Trick::Server(mood::Trick::FalseRefusal)),
    ("other-adapter", Trick::Server(mood::Trick::OtherAdapter)),
    ("other-software", Trick::Server(mood::Trick::OtherSoftware)),
    ("old-version", Trick::Server(mood::Trick::OldVersion)),
    ("old-weights", Trick::Server(mood::Trick::OldWeights)),
    ("late-first", Trick::Server(mood::Trick::LateFirst)),
    ("stale", Trick::Server(mood::Trick::Stale)),
    ("two-holders", Trick::Server(mood::Trick::TwoHolders)),
    ("late-leaving", Trick::Server(mood::Trick::LateLeaving)),
    ("untold", Trick::Server(mood::Trick::Untold)),
    ("broken-silence", Trick::Server(mood::Trick::BrokenSilence)),
    ("storm", Trick::Server(mood::Trick::Storm)),
    ("impatient", Trick::Impatient),
    ("halved", Trick::Halved),
    ("doubled", Trick::Doubled),
    ("changed", Trick::Server(mood::Trick::Changed)),
    ("stray", Trick::Stray),
    ("no-return", Trick::NoReturn),
];

/// What crashes each engine that runs it.
#[derive(Debug, Default)]
struct Poison {
    /// One request, which comes again.
    request: bool,
    /// A prompt part of different requests.
    part: bool,
}

/// How a soak is to be.
#[derive(Debug)]
struct Options {
    seed: u64,
    span: Millis,
    nodes: usize,
    workers: u64,
    exact: bool,
    story: bool,
    poison: Poison,
    rejection_limit: Option<u32>,
    extras: Extras,
    trick: Trick,
    program: Option<PathBuf>,
    dir: PathBuf,
}

/// Runs the campaign.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        print!("{HELP}");
        return Ok(Verdict::Kept);
    };
    if options.story {
        for step in options.draw() {
            println!("{} {:?}", step.at, step.act);
        }
        return Ok(Verdict::Kept);
    }
    tokio::runtime::Runtime::new()?.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        // What is dropped here kills the daemons with it.
        tokio::select! {
            verdict = play(&options) => verdict,
            _ = interrupt.recv() => Err(eyre!("interrupted")),
            _ = terminate.recv() => Err(eyre!("asked to stop")),
        }
    })
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        seed: 1,
        span: Millis::from_secs(60),
        nodes: 4,
        workers: 24,
        exact: false,
        story: false,
        poison: Poison::default(),
        rejection_limit: None,
        extras: Extras::default(),
        trick: Trick::None,
        program: None,
        dir: site::directory(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.span = Millis::from_secs(parser.value()?.parse()?),
            Long("nodes") => options.nodes = parser.value()?.parse()?,
            Long("workers") => options.workers = parser.value()?.parse()?,
            Long("exact") => options.exact = true,
            Long("story") => options.story = true,
            Long("poison") => options.poison.request = true,
            Long("poison-part") => options.poison.part = true,
            Long("silences") => options.extras.silences = true,
            Long("releases") => options.extras.releases = true,
            Long("rejection-limit") => {
                options.rejection_limit = Some(parser.value()?.parse()?);
            }
            Long("program") => options.program = Some(parser.value()?.into()),
            Long("dir") => options.dir = parser.value()?.into(),
            Long("trick") => {
                let name = parser.value()?.string()?;
                let known = TRICKS.iter().find(|(known, _)| *known == name);
                options.trick = known.ok_or_else(|| eyre!("no trick is called {name}"))?.1;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if options.nodes == 0 || options.nodes > MOST_NODES {
        return Err(eyre!("--nodes must be 1 to {MOST_NODES}"));
    }
    Ok(Some(options))
}

impl Options {
    fn draw(&self) -> Vec<Step> {
        story::draw(self.seed, self.nodes, self.span, self.extras)
    }

    /// When servers bear few rejections.
    fn brittle(&self) -> Option<Brittle> {
        self.rejection_limit.map(|limit| Brittle {
            limit,
            from: STURDY,
            until: self.span.since(STURDY),
        })
    }
}

async fn play(options: &Options) -> Result<Verdict> {
    let steps = options.draw();
    let flips = steps.iter().filter(|step| step.act == Act::Config).count();
    let site = Site::start(options, u64::try_from(flips)? + 1).await?;
    let calls = Arc::new(Calls::default());
    let workers: Vec<_> = (0..options.workers)
        .map(|worker| {
            let (site, calls) = (Arc::clone(&site), Arc::clone(&calls));
            tokio::spawn(caller::run(site, calls, options.seed, worker))
        })
        .collect();
    if options.poison.request {
        tokio::spawn(caller::poison(Arc::clone(&site), Arc::clone(&calls)));
    }
    if options.poison.part {
        tokio::spawn(caller::poison_part(Arc::clone(&site), Arc::clone(&calls)));
    }
    for step in &steps {
        until(&site, step.at).await;
        site.act(step.act);
    }
    until(&site, options.span).await;
    let mut found = come_back(&site, options).await;
    let last = site.nodes.len() - 1;
    for node in 0..last {
        last_stop(&site, node).await?;
    }
    calls.over.store(true, Ordering::SeqCst);
    for worker in workers {
        worker.await?;
    }
    last_stop(&site, last).await?;
    sleep(AFTERWARDS).await;
    let seen = evidence(&site, &calls);
    found.extend(judge::judge(&seen, options.exact));
    write(&site, &seen)?;
    print!("{}", report(options, &site, &seen, &found));
    site.end();
    Ok(if found.is_empty() {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

async fn until(site: &Site, at: Millis) {
    sleep(at.since(site.ledger.now()).duration()).await;
}

/// Waits until each node serves a row of requests.
async fn come_back(site: &Arc<Site>, options: &Options) -> Vec<Violation> {
    let going = async {
        while site.going.load(Ordering::SeqCst) > 0 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let mut found = Vec::new();
    let tell = |told: String| Violation {
        promise: "Recovery",
        at: site.ledger.now(),
        id: String::new(),
        told,
    };
    if tokio::time::timeout(GOING, going).await.is_err() {
        found.push(tell("faults of the story did not end".to_owned()));
    }
    if options.trick == Trick::NoReturn {
        site.hosts.iter().for_each(|host| {
            host.server.feel(mood::Mood {
                silent: true,
                ..mood::Mood::default()
            });
        });
    }
    let limit = if options.exact { GOING } else { RECOVERY };
    let rows = (0..site.nodes.len()).map(|node| tokio::time::timeout(limit, serve_row(site, node)));
    for (node, row) in futures::future::join_all(rows)
        .await
        .into_iter()
        .enumerate()
    {
        if row.is_err() {
            found.push(tell(format!("node {node} does not serve within {limit:?}")));
        }
    }
    found
}

async fn serve_row(site: &Site, node: usize) {
    let mut row = 0;
    let mut number = 0;
    while row < SERVED {
        number += 1;
        let ask = Ask {
            id: format!("back-{node}-{number}z"),
            route: if number % 2 == 0 { "look" } else { "plan" },
            adapter: (number % 2 == 1).then(|| "a1".to_owned()),
            deadline: Millis::from_secs(6),
            resumed: None,
        };
        let call = caller::at(site, node, ask).await;
        let served = call.is_some_and(|call| call.status == Some(200) && call.complete);
        row = if served { row + 1 } else { 0 };
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stops a node in order while the others go on.
async fn last_stop(site: &Site, node: usize) -> Result<()> {
    let told = "the last stop".to_owned();
    let number = site
        .troubles
        .begin(Scope::Stop(node), site.ledger.now(), told);
    site.stop(node).await?;
    site.troubles.end(number, site.ledger.now());
    Ok(())
}

fn evidence(site: &Site, calls: &Calls) -> Evidence {
    Evidence {
        calls: lock(&calls.all).clone(),
        arrivals: site.ledger.arrivals(),
        orders: site.ledger.orders(),
        breaches: site.ledger.breaches(),
        troubles: site.troubles.all(),
        configs: lock(&site.configs).clone(),
        versions: lock(&site.versions).clone(),
        left: lock(&site.left).clone(),
        stops: lock(&site.stops).clone(),
        falls: site.ledger.falls(),
        budget: site.profile.budget(),
    }
}

/// Leaves what was seen beside the logs.
fn write(site: &Site, seen: &Evidence) -> Result<()> {
    fn lines<T: std::fmt::Debug>(all: &[T]) -> String {
        all.iter().fold(String::new(), |mut text, one| {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{one:?}");
            text
        })
    }
    for (name, text) in [
        ("calls", lines(&seen.calls)),
        ("arrivals", lines(&seen.arrivals)),
        ("orders", lines(&seen.orders)),
        ("troubles", lines(&seen.troubles)),
        ("configs", lines(&seen.configs)),
        ("versions", lines(&seen.versions)),
        ("left", lines(&seen.left)),
        ("stops", lines(&seen.stops)),
    ] {
        std::fs::write(site.dir.join(format!("{name}.txt")), text)?;
    }
    Ok(())
}

fn outcome(call: &Call) -> String {
    match (call.status, call.complete) {
        (Some(200), true) => "served".to_owned(),
        (Some(200), false) => "broken off".to_owned(),
        (Some(status), _) => format!("status {status}"),
        (None, _) => "no answer".to_owned(),
    }
}

fn report(options: &Options, site: &Site, seen: &Evidence, found: &[Violation]) -> String {
    let mut text = format!(
        "soak seed {} of {} with {} nodes: {} requests, {} arrivals, {} orders, \
         {} faults, {} configurations, {} stops, {} requests at nodes in touch, {} violations\n",
        options.seed,
        options.span,
        options.nodes,
        seen.calls.len(),
        seen.arrivals.len(),
        seen.orders.len(),
        seen.troubles.len(),
        seen.configs.len(),
        seen.stops.len(),
        judge::in_touch(seen),
        found.len(),
    );
    let mut counts: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for call in &seen.calls {
        *counts.entry((outcome(call), call.ask.route)).or_default() += 1;
    }
    for ((outcome, route), count) in counts {
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {outcome:<12} {route:<8} {count}");
    }
    let taken_up = |call: &&Call| call.ask.resumed.is_some();
    let taken_up: Vec<&Call> = seen.calls.iter().filter(taken_up).collect();
    let went_on = taken_up.iter().filter(|call| call.status == Some(200));
    let _ = writeln!(
        text,
        "  {} streams taken up, {} went on",
        taken_up.len(),
        went_on.count()
    );
    let arrivals = seen.arrivals.iter();
    let moved = arrivals.filter(|arrival| arrival.start == Start::Moved);
    let _ = writeln!(text, "  {} sends of moved runs", moved.count());
    let rejected = seen.arrivals.iter().filter(|arrival| !arrival.ran);
    let _ = writeln!(
        text,
        "  {} arrivals not run, {} servers fell over under rejections",
        rejected.count(),
        seen.falls.len()
    );
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for one in found {
        *kinds.entry(one.promise).or_default() += 1;
    }
    for (promise, count) in kinds {
        let _ = writeln!(text, "broken: {promise} {count}");
    }
    for one in found.iter().take(SHOWN) {
        let _ = writeln!(
            text,
            "{} at {} {}: {}",
            one.promise, one.at, one.id, one.told
        );
        let before = Millis(one.at.0.saturating_sub(AROUND.0));
        for trouble in &seen.troubles {
            if trouble.from <= one.at && trouble.until.is_none_or(|until| until >= before) {
                let until = trouble.until.unwrap_or(Millis::MAX);
                let _ = writeln!(text, "  {} to {until}: {}", trouble.from, trouble.told);
            }
        }
        if !one.id.is_empty() {
            for line in site.lines(&one.id).iter().take(LINES) {
                let _ = writeln!(text, "    {line}");
            }
        }
    }
    let _ = writeln!(text, "logs: {}", site.dir.display());
    text
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
