//! Nodes' configuration over the stand-in of the key-value service.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashSet;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::adapter::Adapter;
use chivevalve::clock::Monotonic;
use chivevalve::config::prefetch::{Prefetch, UpcomingAdapter};
use chivevalve::config::{self, Accepted, ChangeRequest, ConfigManager, Dependencies, Limits};
use chivevalve::declaration::{self, DeclarationSet, SourceFile};
use chivevalve::gossip::{Peer, Peers};
use chivevalve::metrics::Metrics;
use chivevalve::ports::{Error, Store as Border, Watch, Weights};
use chivevalve_standins::store::Store;
use tokio_util::sync::CancellationToken;

/// Peers as a test sets them.
#[derive(Debug, Default)]
pub struct Listed(pub Mutex<Vec<Peer>>);

impl Peers for Listed {
    fn peers(&self) -> Vec<Peer> {
        self.0.lock().unwrap().clone()
    }
}

/// A weight store without the versions that a test names.
#[derive(Debug, Default)]
pub struct Shelf {
    pub missing: HashSet<String>,
}

#[async_trait]
impl Weights for Shelf {
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error> {
        Ok(!self.missing.contains(&adapter.to_string()))
    }
}

/// Notes what was to be fetched.
#[derive(Debug, Default)]
pub struct Fetched(pub Mutex<Vec<String>>);

impl Prefetch for Fetched {
    fn prefetch(&self, adapters: &[UpcomingAdapter]) {
        let names = adapters.iter().map(|upcoming| upcoming.adapter.to_string());
        self.0.lock().unwrap().extend(names);
    }
}

pub struct Node {
    pub manager: Arc<ConfigManager>,
    pub peers: Arc<Listed>,
    pub fetched: Arc<Fetched>,
    pub metrics: Arc<Metrics>,
    pub stop: CancellationToken,
}

impl Node {
    /// Starts a node's keeper on a service.
    pub fn start<S: Border + Watch + 'static>(name: &str, store: &Arc<S>) -> Self {
        let peers = Arc::new(Listed::default());
        let fetched = Arc::new(Fetched::default());
        let metrics = Arc::new(Metrics::new());
        let stop = CancellationToken::new();
        let mut shelf = Shelf::default();
        shelf.missing.insert("faults@9".to_owned());
        let manager = ConfigManager::start(Dependencies {
            node: Arc::from(name),
            region: Arc::from("north"),
            store: Arc::clone(store) as Arc<dyn Border>,
            watch: Arc::clone(store) as Arc<dyn Watch>,
            weights: Arc::new(shelf),
            peers: Arc::clone(&peers) as Arc<dyn Peers>,
            prefetch: Arc::clone(&fetched) as Arc<dyn Prefetch>,
            prefix: "t/".to_owned(),
            clock: Arc::new(Monotonic::start()),
            metrics: Arc::clone(&metrics),
            limits: Limits::default(),
            seed: 1,
            stop: stop.clone(),
        });
        Self {
            manager,
            peers,
            fetched,
            metrics,
            stop,
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.manager.view().borrow().revision()
    }

    /// Applies declarations on top of what this node has learned.
    pub async fn apply(&self, declared: &DeclarationSet) -> Accepted {
        let change_request = change_request("ana", self.manager.status().learned);
        self.manager.apply(&change_request, declared).await.unwrap()
    }

    /// Waits until a revision is in force.
    pub async fn in_force(&self, revision: u64) {
        let mut view = self.manager.view();
        let reached = view.wait_for(|view| view.revision() >= revision);
        tokio::time::timeout(Duration::from_mins(2), reached)
            .await
            .expect("the revision isn't in force in two minutes")
            .unwrap();
    }
}

/// A new store.
pub fn store() -> Arc<Store> {
    Store::start()
}

/// An order by an operator who planned on a revision.
pub fn change_request(author: &str, expected: u64) -> ChangeRequest {
    ChangeRequest {
        id: config::new_id(),
        author: Arc::from(author),
        reason: "test".to_owned(),
        expected,
        time_ms: 0,
    }
}

/// Declarations of one account with these templates, as name and version.
pub fn set(templates: &[(&str, &str)]) -> DeclarationSet {
    let mut text = String::from(
        "accounts: [{name: depot}]\n\
         pools: [{name: llama, kind: engine, base_model: l, slots: 4, batch: 16}]\n\
         templates:\n",
    );
    for (name, version) in templates {
        writeln!(
            text,
            "- {{account: depot, name: {name}, pool: llama, adapter: {name}, version: '{version}'}}"
        )
        .unwrap();
    }
    declaration::check_sources(&[SourceFile {
        name: Arc::from("all.yaml"),
        text,
    }])
    .unwrap()
}
