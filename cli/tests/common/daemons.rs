//! Real `chivevalved` processes before the stand-ins, on ports that they choose.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chivevalve_standins::fleet::{self, Node};
use chivevalve_standins::platform::Addresses;
use chivevalve_standins::process::Daemon;
use rustix::process::Signal;

/// Longest wait for anything that a node does; a hung test ends by it.
pub const PATIENCE: Duration = Duration::from_mins(1);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Settings that keep a test short: bulk work isn't held for fuller batches.
const SHORT: &str = "limits: {drain_grace_ms: 300}\npolicy: {batch_weight: 0}\n";
/// What a node logs once it listens.
const LISTENS: &str = "serves callers at ";

/// A node as a process of its own; it is killed when the test ends.
pub struct Process {
    daemon: Daemon,
    log: PathBuf,
    pub node: Node,
}

impl Process {
    /// Starts a node on free ports and waits until it listens.
    pub async fn start(dir: &Path, name: &str, platform: &Addresses) -> Self {
        let free: SocketAddr = ([127, 0, 0, 1], 0).into();
        let node = Node {
            name: name.to_owned(),
            failure_domain: "d1",
            callers: free,
            peers: free,
            operators: free,
        };
        let settings = fleet::settings(&node, platform, SHORT);
        let program = Path::new(env!("CARGO_BIN_EXE_chivevalved"));
        let mut process = Self {
            daemon: Daemon::start(program, dir, name, &settings).unwrap(),
            log: dir.join(format!("{name}.log")),
            node,
        };
        until("the node listens", async || process.log().contains(LISTENS)).await;
        let log = process.log();
        let (_, rest) = log.split_once(LISTENS).unwrap();
        let line = rest.split('"').next().unwrap();
        let (callers, operators) = line.split_once(" and operators at ").unwrap();
        process.node.callers = callers.parse().unwrap();
        process.node.operators = operators.parse().unwrap();
        process
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.daemon.signal(signal).unwrap();
    }

    /// Waits for the process's end and returns its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let ended = self.daemon.ended(PATIENCE).await;
        ended
            .unwrap_or_else(|error| panic!("{error}\n{}", self.log()))
            .code()
    }

    /// Returns the most memory in bytes that was resident at any moment so far.
    pub fn peak_memory(&self) -> u64 {
        let peak = self.daemon.peak_memory();
        peak.unwrap_or_else(|error| panic!("it ended: {error}\n{}", self.log()))
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        self.daemon.descriptors().unwrap()
    }

    /// Returns what the node has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !holds().await {
            tokio::time::sleep(LOOK).await;
        }
    });
    assert!(waited.await.is_ok(), "never: {what}");
}
