//! Records of pools' software versions, when writes are late and nodes are lost.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;

use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::direct::dialect::{Dialect, UpstreamEntry};
use chivevalve::direct::origin::{STREAM_LIFETIME, StreamKey};
use chivevalve::direct::software_store::SoftwareStore;
use chivevalve::direct::view::View;
use chivevalve::name::Name;
use chivevalve_platform::PlatformDialect;
use direct_support::memory::MemoryStore;
use direct_support::records::{entry_revision, listed, peer};
use xxhash_rust::xxh3::xxh3_64;

/// Longer than a record may stay outdated while one of nine nodes lives.
const NINE_TURNS: Millis = Millis(4_500);

/// The part of a node that keeps the records.
struct Node {
    clock: Arc<Manual>,
    view: Arc<View>,
    records: SoftwareStore,
}

impl Node {
    /// Starts a node that has read the records.
    fn start(memory: &Arc<MemoryStore>, name: &str) -> Self {
        let clock = Arc::new(Manual::default());
        clock.advance(Millis(100_000));
        let view = Arc::new(View::default());
        let records = SoftwareStore::new(
            Arc::<MemoryStore>::clone(memory),
            Arc::new(PlatformDialect),
            Arc::<Manual>::clone(&clock),
            Arc::clone(&view),
            name.into(),
        );
        let node = Self {
            clock,
            view,
            records,
        };
        node.follow(memory);
        node
    }

    /// Reads the record of the pool.
    fn follow(&self, memory: &MemoryStore) {
        let Some(entry) = memory.state().entries.get(&key()).cloned() else {
            return;
        };
        let mut state = self.view.state();
        let now = self.clock.now();
        let name = "software-versions/engines";
        state.put_record(name, &entry.value, Some(entry.revision), now);
    }

    /// Sees an upstream of a software version in the list.
    fn list(&self, name: &str, software: &str) {
        let entry = UpstreamEntry {
            software: Some(software.into()),
            ..listed(name, &[])
        };
        let now = self.clock.now();
        let mut state = self.view.state();
        state.put_upstream(&entry, entry_revision(1), now);
    }

    fn leave(&self, name: &str) {
        self.view.state().remove_upstream(name);
    }

    /// Lets time pass in which the list is followed.
    fn pass(&self, span: Millis) {
        self.clock.advance(span);
        self.view.advance_as_of(self.clock.now());
    }

    /// The software versions of upstreams at which streams may begin.
    fn begins_at(&self) -> Vec<String> {
        let upstreams = self.view.stream_pool("engines");
        upstreams
            .iter()
            .map(|upstream| upstream.software.to_string())
            .collect()
    }
}

fn key() -> String {
    PlatformDialect.own_key("software-versions/engines")
}

fn recorded(memory: &MemoryStore) -> Option<String> {
    let state = memory.state();
    let entry = state.entries.get(&key())?;
    assert_eq!(entry.lease, None);
    Some(String::from_utf8_lossy(&entry.value).into_owned())
}

fn pools() -> [Name; 1] {
    ["engines".into()]
}

/// Streams begin at a version once the service has accepted the record that names it.
#[tokio::test]
async fn stream_begins_behind_the_record() {
    let memory = Arc::new(MemoryStore::default());
    let node = Node::start(&memory, "one");
    node.list("i-1", "v1");
    assert!(node.begins_at().is_empty());
    assert!(node.records.update().await);
    assert_eq!(node.begins_at(), ["v1"]);
    node.list("i-2", "v2");
    memory.state().delays_commits = true;
    assert!(!node.records.update().await);
    assert_eq!(node.begins_at(), ["v1"]);
    memory.state().delays_commits = false;
    assert!(node.records.update().await);
    assert_eq!(node.begins_at(), ["v1", "v2"]);
    assert_eq!(
        recorded(&memory).unwrap(),
        r#"{"serving":["v1","v2"],"left":[]}"#
    );
}

/// A removal that is carried out late doesn't take a version out of a newer record.
#[tokio::test]
async fn removal_carried_out_late() {
    let memory = Arc::new(MemoryStore::default());
    let node = Node::start(&memory, "one");
    node.list("i-1", "v1");
    node.list("i-2", "v2");
    assert!(node.records.update().await);
    node.leave("i-1");
    node.pass(Millis(1));
    assert!(node.records.update().await);
    let left = r#"{"serving":["v2"],"left":["v1"]}"#;
    assert_eq!(recorded(&memory).unwrap(), left);
    node.pass(STREAM_LIFETIME);
    memory.state().delays_commits = true;
    assert!(!node.records.update().await);
    memory.state().delays_commits = false;
    node.list("i-3", "v1");
    assert!(node.begins_at().iter().all(|version| version == "v2"));
    assert!(node.records.update().await);
    assert_eq!(memory.commit_late(), 0);
    let back = r#"{"serving":["v1","v2"],"left":[]}"#;
    assert_eq!(recorded(&memory).unwrap(), back);
    assert_eq!(node.begins_at(), ["v2", "v1"]);
}

/// That a version has left, recorded late, doesn't make it forgotten if it serves again meanwhile.
#[tokio::test]
async fn departure_carried_out_late() {
    let memory = Arc::new(MemoryStore::default());
    let node = Node::start(&memory, "one");
    node.list("i-1", "v1");
    node.list("i-2", "v2");
    assert!(node.records.update().await);
    node.leave("i-1");
    node.pass(Millis(1));
    memory.state().delays_commits = true;
    assert!(!node.records.update().await);
    memory.state().delays_commits = false;
    node.list("i-3", "v1");
    node.pass(STREAM_LIFETIME);
    assert_eq!(memory.commit_late(), 1);
    let other = Node::start(&memory, "two");
    other.list("i-2", "v2");
    assert_eq!(other.view.software_versions("engines").unwrap().len(), 2);
    node.follow(&memory);
    assert_eq!(node.begins_at(), ["v2"]);
    assert!(node.records.update().await);
    assert_eq!(node.begins_at(), ["v2", "v1"]);
}

/// Of two nodes that write at once, the second one replaces what the first one has written.
#[tokio::test]
async fn write_behind_another_node() {
    let memory = Arc::new(MemoryStore::default());
    let nodes = ["one", "two"].map(|name| Node::start(&memory, name));
    nodes[0].list("i-1", "v1");
    assert!(nodes[0].records.update().await);
    nodes[1].list("i-2", "v2");
    assert!(nodes[1].records.update().await);
    assert_eq!(
        recorded(&memory).unwrap(),
        r#"{"serving":["v1"],"left":[]}"#
    );
    assert!(nodes[1].begins_at().is_empty());
    assert!(nodes[1].records.update().await);
    assert_eq!(
        recorded(&memory).unwrap(),
        r#"{"serving":["v1","v2"],"left":[]}"#
    );
    assert_eq!(nodes[1].begins_at(), ["v2"]);
}

/// A record is written although the nodes whose turn is first are lost.
#[tokio::test]
async fn write_for_lost_nodes() {
    let memory = Arc::new(MemoryStore::default());
    let names: Vec<Name> = (0..9).map(|one| format!("node-{one}").into()).collect();
    let order = StreamKey(xxh3_64(b"engines"));
    let before = |node: &&Name| order.nodes_before(node, names.iter());
    let last = names.iter().max_by_key(before).unwrap();
    let node = Node::start(&memory, last);
    for name in &names {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        node.view.state().put_node(Name::clone(name), peer(address));
    }
    node.list("i-1", "v1");
    assert!(node.records.update().await);
    assert_eq!(recorded(&memory), None);
    node.pass(NINE_TURNS);
    assert!(node.records.update().await);
    assert_eq!(
        recorded(&memory).unwrap(),
        r#"{"serving":["v1"],"left":[]}"#
    );
}

/// Two releases and the loss of all nodes behind each of them leave no version forgotten.
#[tokio::test]
async fn record_outlives_two_restarts() {
    let memory = Arc::new(MemoryStore::default());
    for (number, version) in ["v1", "v2", "v3"].iter().enumerate() {
        let node = Node::start(&memory, "one");
        node.list(&format!("i-{number}"), version);
        node.pass(STREAM_LIFETIME - Millis(1));
        assert!(node.records.update().await);
    }
    let all = r#"{"serving":["v3"],"left":["v1","v2"]}"#;
    assert_eq!(recorded(&memory).unwrap(), all);
}

/// What is read again is as of the question: a node learns what it hasn't followed yet.
#[tokio::test]
async fn refresh_reads_newer_versions() {
    let memory = Arc::new(MemoryStore::default());
    let node = Node::start(&memory, "one");
    node.list("i-1", "v1");
    assert!(node.records.update().await);
    assert!(node.records.refresh(&pools()).await);
    let versions = || node.view.software_versions("engines").unwrap().len();
    assert_eq!(versions(), 1);
    memory.change(|state| state.put(&key(), r#"{"serving":["v1","v2"],"left":[]}"#, None));
    assert!(node.records.refresh(&pools()).await);
    assert_eq!(versions(), 2);
}

/// Without an answer, or without a record, nothing is known as of now.
#[tokio::test(start_paused = true)]
async fn refresh_without_evidence() {
    let memory = Arc::new(MemoryStore::default());
    let node = Node::start(&memory, "one");
    assert!(!node.records.refresh(&pools()).await);
    node.list("i-1", "v1");
    assert!(node.records.update().await);
    memory.state().is_unavailable = true;
    assert!(!node.records.refresh(&pools()).await);
    memory.state().is_unavailable = false;
    memory.state().reads_hang = true;
    assert!(!node.records.refresh(&pools()).await);
    memory.state().reads_hang = false;
    memory.change(|state| state.put(&key(), "no list", None));
    assert!(!node.records.refresh(&pools()).await);
}
