//! Real nodes in one process, in front of the stand-ins, and what they use.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::declaration::Source;
use chivevalve::node::{Listeners, Node};
use chivevalve::settings;
use chivevalve_standins::fleet;
use chivevalve_standins::platform::{Kind, Plan, Platform, Pool};
use chivevalve_standins::store;
use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};

use super::process;

/// Longest time until a fleet is ready.
const READY: Duration = Duration::from_mins(1);
/// Time after readiness until upstreams have been balanced and the start has ended.
const SETTLE: Duration = Duration::from_secs(45);
/// Templates of one file of declarations.
const FILE_TEMPLATES: usize = 2_000;

/// What a fleet is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Model engines.
    pub engines: usize,
    /// Declared templates.
    pub templates: usize,
}

/// What one node of an idle fleet uses, on average.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Usage {
    /// The fleet.
    pub size: Size,
    /// Control messages sent and received, in bytes a second.
    pub control_bytes: f64,
    /// Calls to the key-value service a second.
    pub store_calls: f64,
    /// Processor time, in parts of a core. The stand-ins' share is in it.
    pub cores: f64,
    /// Memory of the process for each node beyond the empty process, in bytes.
    pub memory: f64,
    /// From the accepted change to the last node, in milliseconds.
    pub spread_ms: u64,
}

/// A running fleet.
pub struct Fleet {
    size: Size,
    platform: Platform,
    nodes: Vec<Node>,
    empty: u64,
    spread: Millis,
}

impl Fleet {
    /// Starts nodes and stand-ins, and puts declarations in force.
    ///
    /// # Errors
    ///
    /// When something can't start or the fleet isn't ready in time.
    pub async fn start(size: Size) -> Result<Self> {
        let empty = process::memory()?;
        let platform = Platform::start(&Plan {
            pools: vec![Pool {
                name: "engines".into(),
                kind: Kind::Engine,
                count: size.engines,
            }],
            ..Plan::default()
        })
        .await?;
        let planned = fleet::plan(size.nodes).await?;
        let mut nodes = Vec::new();
        for node in &planned {
            let text = fleet::settings(node, &platform.addresses(), "");
            let read = settings::parse(&text, "slopes").map_err(|mistakes| eyre!("{mistakes}"))?;
            let listeners = Listeners::bind(&read).await?;
            nodes.push(Node::start(read, listeners)?);
        }
        let first = planned.first().ok_or_else(|| eyre!("no node"))?;
        fleet::wait_alive(first, READY)
            .await
            .map_err(|e| eyre!(e))?;
        let sources = declarations(size.templates);
        fleet::apply(first, &sources, "first")
            .await
            .map_err(|e| eyre!(e))?;
        fleet::settle(&planned, size.engines, READY)
            .await
            .map_err(|e| eyre!(e))?;
        let mut started = Self {
            size,
            platform,
            nodes,
            empty,
            spread: Millis::ZERO,
        };
        tokio::time::sleep(SETTLE).await;
        started.change(first, size.templates + 1).await?;
        Ok(started)
    }

    /// Applies one more template and waits until it is in force everywhere.
    async fn change(&mut self, node: &fleet::Node, templates: usize) -> Result<()> {
        let sources = declarations(templates);
        let clock = Monotonic::start();
        let revision = fleet::apply(node, &sources, "one more")
            .await
            .map_err(|e| eyre!(e))?;
        let accepted = clock.now();
        for node in &self.nodes {
            let mut view = node.config().view();
            let seen = view.wait_for(|view| view.revision() >= revision);
            tokio::time::timeout(READY, seen).await??;
        }
        self.spread = clock.now().since(accepted);
        Ok(())
    }

    /// Watches the idle fleet for a while.
    ///
    /// # Errors
    ///
    /// When the system doesn't tell what the process uses.
    pub async fn watch(&self, span: Duration) -> Result<Usage> {
        let (bytes, calls, cpu) = (self.control_bytes(), self.calls(), process::cpu()?);
        tokio::time::sleep(span).await;
        let nodes = self.size.nodes as f64;
        let share = 1.0 / nodes / span.as_secs_f64();
        let memory = process::memory()?.saturating_sub(self.empty);
        Ok(Usage {
            size: self.size,
            control_bytes: (self.control_bytes() - bytes) as f64 * share,
            store_calls: (self.calls() - calls) as f64 * share,
            cores: process::cpu()?.saturating_sub(cpu).as_secs_f64() * share,
            memory: memory as f64 / nodes,
            spread_ms: self.spread.0,
        })
    }

    /// Ends the nodes.
    pub async fn end(self) {
        futures::future::join_all(self.nodes.iter().map(Node::halt)).await;
    }

    fn control_bytes(&self) -> u64 {
        let of = |node: &Node| {
            let counters = &node.metrics().control_bytes;
            let directions = ["sent", "received"];
            directions
                .iter()
                .map(|name| counters.with_label_values(&[name]).get())
                .sum::<u64>()
        };
        self.nodes.iter().map(of).sum()
    }

    fn calls(&self) -> u64 {
        let store::Counts {
            reads,
            writes,
            leases,
            watches,
            ..
        } = self.platform.store.standin.counts();
        reads + writes + leases + watches
    }
}

/// Makes declarations of one account with so many templates, in files of bounded size.
fn declarations(templates: usize) -> Vec<Source> {
    let mut files = BTreeMap::new();
    files.insert(
        "base.yaml".to_owned(),
        "accounts:\n- name: a\n  key_digests: [\"9279e2365dd0eb1ed8a78c888a6f4cf424e1865782941a9bcb4db821ed1e9a00\"]\n\
         pools:\n- {name: engines, kind: engine, base_model: base-1, slots: 4, batch: 16}\n"
            .to_owned(),
    );
    for index in 0..templates {
        let file = files
            .entry(format!("templates-{:03}.yaml", index / FILE_TEMPLATES))
            .or_insert_with(|| "templates:\n".to_owned());
        // Writing to a string can't fail.
        let _ = writeln!(
            file,
            "- {{account: a, name: t{index}, pool: engines, adapter: a{index}, version: \"1\", class: normal, idempotent: true}}"
        );
    }
    let sources = files.into_iter().map(|(name, text)| Source {
        name: name.into(),
        text,
    });
    sources.collect()
}
