//! The daemons under test: real processes, started, signalled and watched.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chivevalve_standins::fleet::{self, Node};
use chivevalve_standins::platform::Platform;
use chivevalve_standins::process::{Daemon, Scratch};
use chivevalve_standins::traffic::Balancer;
use eyre::{Result, WrapErr, eyre};
use rustix::process::Signal;
use tokio::time::{Instant, sleep, timeout};

/// Time between two checks of the balancer.
const CHECK: Duration = Duration::from_millis(200);
/// How long a check waits for its answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks while a recovery is measured.
const LOOK: Duration = Duration::from_millis(50);
/// How long a node may take to be ready or to stop.
const PATIENCE: Duration = Duration::from_mins(1);

/// A node's place and its process, if it runs.
#[derive(Debug)]
pub struct Slot {
    pub node: Node,
    daemon: Mutex<Option<Daemon>>,
}

/// What was done to the system, and when.
#[derive(Debug, Clone)]
pub struct Event {
    pub kind: Kind,
    /// Name of the node or upstream.
    pub target: String,
    pub from: Instant,
    pub until: Instant,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Kill,
    Pause,
    Stop,
    EngineRestart,
    StoreOutage,
}

/// All processes and the platform that they use.
#[derive(Debug)]
pub struct Site {
    pub platform: Platform,
    pub slots: Vec<Slot>,
    pub balancer: Balancer,
    events: Mutex<Vec<Event>>,
    program: PathBuf,
    settings: &'static str,
    scratch: Scratch,
}

impl Site {
    /// Starts the daemons, `settings` appended to each one's; none is ready yet.
    pub async fn start(
        platform: Platform,
        nodes: usize,
        settings: &'static str,
    ) -> Result<Arc<Self>> {
        let program = program()?;
        let site = Self {
            platform,
            slots: fleet::plan(nodes)
                .await?
                .into_iter()
                .map(|node| Slot {
                    node,
                    daemon: Mutex::default(),
                })
                .collect(),
            balancer: Balancer::default(),
            events: Mutex::default(),
            program,
            settings,
            scratch: Scratch::new()?,
        };
        for slot in &site.slots {
            site.launch(slot)?;
        }
        let site = Arc::new(site);
        for index in 0..nodes {
            tokio::spawn(check(Arc::clone(&site), index));
        }
        Ok(site)
    }

    /// Starts a node's process.
    pub fn launch(&self, slot: &Slot) -> Result<()> {
        let peers = self.slots.iter().map(|slot| slot.node.peers);
        let seeds: Vec<_> = peers.filter(|peer| *peer != slot.node.peers).collect();
        let addresses = self.platform.addresses();
        let settings = fleet::settings_with_seeds(&slot.node, &addresses, &seeds, self.settings);
        let name = &slot.node.name;
        let daemon = Daemon::start(&self.program, self.scratch.path(), name, &settings)?;
        *lock(&slot.daemon) = Some(daemon);
        Ok(())
    }

    /// Kills a node, and notes when.
    pub fn kill(&self, slot: &Slot) -> Result<()> {
        let daemon = lock(&slot.daemon).take();
        let from = Instant::now();
        if let Some(mut daemon) = daemon {
            daemon.kill()?;
        }
        self.note(Kind::Kill, &slot.node.name, from);
        Ok(())
    }

    /// Stops a node for a while without its knowing.
    pub async fn pause(&self, slot: &Slot, span: Duration) -> Result<()> {
        let from = Instant::now();
        signal(slot, Signal::STOP)?;
        sleep(span).await;
        signal(slot, Signal::CONT)?;
        self.note(Kind::Pause, &slot.node.name, from);
        Ok(())
    }

    /// Stops a node as planned; returns whether it ended with 0.
    pub async fn stop(&self, slot: &Slot) -> Result<bool> {
        let from = Instant::now();
        signal(slot, Signal::TERM)?;
        let daemon = lock(&slot.daemon).take();
        let Some(mut daemon) = daemon else {
            return Ok(false);
        };
        let status = daemon.ended(PATIENCE).await?;
        self.note(Kind::Stop, &slot.node.name, from);
        Ok(status.success())
    }

    /// Waits until a node is ready.
    pub async fn ready(&self, slot: &Slot) -> Result<()> {
        let wait = async {
            while !fleet::is_ready(&slot.node).await {
                sleep(LOOK).await;
            }
        };
        timeout(PATIENCE, wait)
            .await
            .wrap_err_with(|| format!("{} isn't ready", slot.node.name))
    }

    /// Adds to what was done.
    pub fn note(&self, kind: Kind, target: &str, from: Instant) {
        lock(&self.events).push(Event {
            kind,
            target: target.to_owned(),
            from,
            until: Instant::now(),
        });
    }

    /// Returns what was done.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }

    /// Returns the upstreams that a node owns, with the claims' tokens, as another node sees them.
    pub async fn owned_by(&self, owner: &str, witness: &Slot) -> Vec<(String, u64)> {
        upstreams(witness)
            .await
            .into_iter()
            .filter(|(_, node, _)| node == owner)
            .map(|(name, _, token)| (name, token))
            .collect()
    }

    /// Waits until all these claims were replaced; returns how long it took.
    pub async fn replaced(
        &self,
        claims: &[(String, u64)],
        witness: &Slot,
        limit: Duration,
    ) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < limit {
            let now = upstreams(witness).await;
            let newer = |(name, old): &(String, u64)| {
                now.iter()
                    .any(|(other, _, token)| other == name && token > old)
            };
            if claims.iter().all(newer) {
                return Some(began.elapsed());
            }
            sleep(LOOK).await;
        }
        None
    }

    /// Returns the number of a node's process.
    pub fn id(slot: &Slot) -> Option<u32> {
        lock(&slot.daemon).as_ref().map(Daemon::id)
    }

    /// Returns a node's log.
    pub fn log(&self, slot: &Slot) -> String {
        let path = self.scratch.path().join(format!("{}.log", slot.node.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

/// Reads upstreams with owner and token as a node sees them.
async fn upstreams(witness: &Slot) -> Vec<(String, String, u64)> {
    let status = fleet::status(&witness.node).await.unwrap_or_default();
    let seen = status["upstreams"].as_array().cloned().unwrap_or_default();
    seen.iter()
        .filter_map(|upstream| {
            Some((
                upstream["name"].as_str()?.to_owned(),
                upstream["owner"].as_str()?.to_owned(),
                upstream["token"].as_u64()?,
            ))
        })
        .collect()
}

/// Finds the daemon beside this program.
pub fn program() -> Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("chivevalved");
    if path.exists() {
        return Ok(path);
    }
    Err(eyre!(
        "{} is missing; build it first: cargo build --release -p chivevalve-cli",
        path.display()
    ))
}

fn signal(slot: &Slot, signal: Signal) -> Result<()> {
    let daemon = lock(&slot.daemon);
    let daemon = daemon
        .as_ref()
        .ok_or_else(|| eyre!("{} doesn't run", slot.node.name))?;
    Ok(daemon.signal(signal)?)
}

/// Gives a node work while it says that it is ready, as the platform's balancer does.
async fn check(site: Arc<Site>, index: usize) {
    let node = &site.slots[index].node;
    loop {
        let ready = timeout(CHECK_TIMEOUT, fleet::is_ready(node)).await;
        if ready.unwrap_or(false) {
            site.balancer.add(node.callers);
        } else {
            site.balancer.remove(node.callers);
        }
        sleep(CHECK).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
