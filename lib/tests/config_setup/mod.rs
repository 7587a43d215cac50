//! Configuration managers of several nodes over a stand-in of the key-value service.

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
use chivevalve::gossip::{Peer, PeerSource};
use chivevalve::metrics::Metrics;
use chivevalve::ports::{Error, Store as StorePort, Watch, Weights};
use chivevalve_standins::store::Store;
use tokio_util::sync::CancellationToken;

/// Peers set by the test.
#[derive(Debug, Default)]
pub struct FakePeers(pub Mutex<Vec<Peer>>);

impl PeerSource for FakePeers {
    fn peers(&self) -> Vec<Peer> {
        self.0.lock().unwrap().clone()
    }
}

/// A weight store that has every adapter version but `missing`.
#[derive(Debug, Default)]
pub struct FakeWeights {
    pub missing: HashSet<String>,
}

#[async_trait]
impl Weights for FakeWeights {
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error> {
        Ok(!self.missing.contains(&adapter.to_string()))
    }
}

/// Records the adapters that were to be preprefetched.
#[derive(Debug, Default)]
pub struct RecordingPrefetch(pub Mutex<Vec<String>>);

impl Prefetch for RecordingPrefetch {
    fn prefetch(&self, adapters: &[UpcomingAdapter]) {
        let names = adapters.iter().map(|upcoming| upcoming.adapter.to_string());
        self.0.lock().unwrap().extend(names);
    }
}

pub struct Node {
    pub manager: Arc<ConfigManager>,
    pub peers: Arc<FakePeers>,
    pub prefetched: Arc<RecordingPrefetch>,
    pub metrics: Arc<Metrics>,
    pub stop: CancellationToken,
}

impl Node {
    /// Starts a node's configuration manager on a key-value service.
    pub fn start<S: StorePort + Watch + 'static>(name: &str, store: &Arc<S>) -> Self {
        let peers = Arc::new(FakePeers::default());
        let prefetched = Arc::new(RecordingPrefetch::default());
        let metrics = Arc::new(Metrics::new());
        let stop = CancellationToken::new();
        let mut weights = FakeWeights::default();
        weights.missing.insert("faults@9".to_owned());
        let manager = ConfigManager::start(Dependencies {
            node: Arc::from(name),
            region: Arc::from("north"),
            store: Arc::clone(store) as Arc<dyn StorePort>,
            watch: Arc::clone(store) as Arc<dyn Watch>,
            weights: Arc::new(weights),
            peers: Arc::clone(&peers) as Arc<dyn PeerSource>,
            prefetch: Arc::clone(&prefetched) as Arc<dyn Prefetch>,
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
            prefetched,
            metrics,
            stop,
        }
    }

    /// Returns the active revision.
    pub fn revision(&self) -> u64 {
        self.manager.view().borrow().revision()
    }

    /// Applies declarations, based on the revision that this node has learned.
    pub async fn apply(&self, declared: &DeclarationSet) -> Accepted {
        let change_request = change_request("ana", self.manager.status().learned);
        self.manager.apply(&change_request, declared).await.unwrap()
    }

    /// Waits until at least `revision` is active.
    pub async fn in_force(&self, revision: u64) {
        let mut view = self.manager.view();
        let reached = view.wait_for(|view| view.revision() >= revision);
        tokio::time::timeout(Duration::from_mins(2), reached)
            .await
            .expect("the revision isn't active within two minutes")
            .unwrap();
    }
}

/// Starts an empty key-value service.
pub fn store() -> Arc<Store> {
    Store::start()
}

/// A change request by `author`, based on revision `expected`.
pub fn change_request(author: &str, expected: u64) -> ChangeRequest {
    ChangeRequest {
        id: config::new_id(),
        author: Arc::from(author),
        reason: "test".to_owned(),
        expected,
        time_ms: 0,
    }
}

/// Declarations of one account with these templates, each a name and an adapter version.
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
