//! Tests of the quarantine's crash checks and reports, without a whole node.

mod direct_support;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::outbox::{Outbox, PeerBroadcast};
use chivevalve::direct::quarantine::{CRASH_REPORT_PREFIX, OtherNodes, Quarantine, Reach};
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::view::{PutOutcome, View};
use chivevalve::name::Name;
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::report::{CrashReport, Suspect, Suspicion};
use chivevalve::poison::subjects::Subjects;
use chivevalve_platform::PlatformDialect;
use direct_support::memory::MemoryStore;
use direct_support::records::{entry_revision, listed};

/// A deployment without other nodes.
#[derive(Debug)]
struct NoPeers;

#[async_trait]
impl PeerBroadcast for NoPeers {
    async fn broadcast(&self, _: &Name, _: &Bytes) {}
}

/// A single other node, whose view receives all records.
#[derive(Debug)]
struct SinglePeer(Arc<View>);

#[async_trait]
impl PeerBroadcast for SinglePeer {
    async fn broadcast(&self, name: &Name, value: &Bytes) {
        let taken = self
            .0
            .state()
            .put_quarantine_record(name, value, None, RECEIVED_AT);
        assert_eq!(taken, PutOutcome::Applied);
        self.0.changed.notify_waiters();
    }
}

/// Time at which a node receives another node's records.
const RECEIVED_AT: Millis = Millis(1);

struct TestNode {
    view: Arc<View>,
    store: Arc<MemoryStore>,
    quarantine: Arc<Quarantine>,
}

/// No other node reaches any upstream.
#[derive(Debug)]
struct NoOtherNodes;

#[async_trait]
impl OtherNodes for NoOtherNodes {
    async fn reach(&self, _: &Upstream) -> Reach {
        Reach::Unreached
    }
}

fn single_node() -> TestNode {
    test_node("node-1", Arc::new(NoPeers))
}

fn test_node(name: &str, peers: Arc<dyn PeerBroadcast>) -> TestNode {
    let view = Arc::new(View::default());
    let store = Arc::new(MemoryStore::default());
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let outbox = Arc::new(Outbox::new(
        Arc::<MemoryStore>::clone(&store),
        Arc::<MemoryStore>::clone(&store),
        Arc::new(PlatformDialect),
        Arc::clone(&clock),
        peers,
    ));
    let quarantine = Arc::new(Quarantine::new(
        Arc::clone(&view),
        clock,
        Arc::default(),
        name.into(),
        outbox,
        Arc::new(NoOtherNodes),
    ));
    TestNode {
        view,
        store,
        quarantine,
    }
}

impl TestNode {
    fn crash_count(&self, request: &Subjects) -> usize {
        let ledger = &mut self.view.state().ledger;
        ledger.crash_count(&request.request, Millis::ZERO)
    }

    /// Returns the only crash report in the key-value service.
    fn written_report(&self) -> Option<CrashReport> {
        let state = self.store.state();
        let mut entries = state.entries.values();
        let entry = entries.find(|entry| entry.key.contains(CRASH_REPORT_PREFIX))?;
        Some(serde_json::from_slice(&entry.value).unwrap())
    }
}

fn request(path: &str) -> Subjects {
    let fingerprint = Fingerprint::of(&Identity {
        caller: "",
        model: "base/a1",
        method: "POST",
        host: "host.example",
        path,
        body: b"",
    });
    fingerprint.into()
}

/// An upstream at whose address nothing listens.
fn crashed_upstream() -> Arc<Upstream> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let mut listed = listed("i-1", &[("base/a1", 1)]);
    listed.address = address;
    Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO))
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} never came");
}

/// An upstream at whose address a listener accepts connections, as a proxy would.
fn proxied_upstream() -> (TcpListener, Arc<Upstream>) {
    named_proxied_upstream("i-1")
}

fn named_proxied_upstream(name: &str) -> (TcpListener, Arc<Upstream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut listed = listed(name, &[]);
    listed.address = listener.local_addr().unwrap();
    let upstream = Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO));
    (listener, upstream)
}

async fn sleep(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

/// A crash that only the upstream list shows must not be missed because the key-value service is
/// silent in the meantime.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_checked_while_the_list_is_silent() {
    let node = single_node();
    let (_listener, upstream) = proxied_upstream();
    let suspect = request("/x");
    node.quarantine
        .record_broken_connection(&upstream, Suspect::new(&suspect, Suspicion::Begun));
    sleep(Millis(30_000)).await;
    assert_eq!(node.crash_count(&suspect), 0);
    upstream.retire();
    until("the report", || node.crash_count(&suspect) == 1).await;
}

/// An upstream whose entry is missing after an outage, and that isn't considered gone yet, must
/// not be considered alive.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_checked_while_the_entry_is_unconfirmed() {
    let node = single_node();
    let (_listener, upstream) = proxied_upstream();
    let suspect = request("/x");
    node.quarantine
        .record_broken_connection(&upstream, Suspect::new(&suspect, Suspicion::Begun));
    upstream.mark_missing();
    node.view.advance_as_of(Millis(60_000));
    sleep(Millis(7_000)).await;
    upstream.retire();
    until("the report", || node.crash_count(&suspect) == 1).await;
}

/// A request must not be blamed for a crash long after its connection broke.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_forgotten_once_the_upstream_serves() {
    let node = single_node();
    let (_listener, upstream) = proxied_upstream();
    let suspect = request("/x");
    node.quarantine
        .record_broken_connection(&upstream, Suspect::new(&suspect, Suspicion::Begun));
    sleep(Millis(10_000)).await;
    upstream.record_success();
    sleep(Millis(1_000)).await;
    upstream.retire();
    sleep(Millis(1_000)).await;
    assert_eq!(node.crash_count(&suspect), 0);
}

/// A request must not be blamed for a crash after the upstream list showed its upstream alive.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_forgotten_once_the_list_is_known() {
    let node = single_node();
    let (_listener, upstream) = proxied_upstream();
    let suspect = request("/x");
    node.quarantine
        .record_broken_connection(&upstream, Suspect::new(&suspect, Suspicion::Begun));
    sleep(Millis(2_000)).await;
    node.view.advance_as_of(Millis(60_000));
    sleep(Millis(1_000)).await;
    upstream.retire();
    sleep(Millis(1_000)).await;
    assert_eq!(node.crash_count(&suspect), 0);
}

/// A node must not replace what it reported of a crash when it sees further connections break.
#[tokio::test]
async fn connections_broken_later_add_to_the_report() {
    let node = single_node();
    let upstream = crashed_upstream();
    let (first, later) = (request("/first"), request("/later"));
    let quarantine = &node.quarantine;
    quarantine.record_broken_connection(&upstream, Suspect::new(&first, Suspicion::Begun));
    until("the first report", || node.crash_count(&first) == 1).await;
    quarantine.record_broken_connection(&upstream, Suspect::new(&later, Suspicion::Possible));
    until("the second report", || node.crash_count(&later) == 1).await;
    assert_eq!(node.crash_count(&first), 1);
    let both = || {
        let suspects = node.written_report().map(|report| report.suspects.len());
        suspects == Some(2)
    };
    until("both in the key-value service", both).await;
}

/// What a node saw of a crash must not be lost if the node is killed before the list shows the
/// crash.
#[tokio::test(start_paused = true)]
async fn broken_connection_at_a_node_that_is_killed() {
    let other = test_node("node-2", Arc::new(NoPeers));
    let killed = test_node("node-1", Arc::new(SinglePeer(Arc::clone(&other.view))));
    tokio::spawn(Arc::clone(&other.quarantine).run());
    let (_listener, upstream) = proxied_upstream();
    let broken = Arc::clone(&upstream);
    let listed_upstream = Arc::new(Upstream::new(
        &listed("i-1", &[]),
        entry_revision(1),
        8,
        Millis::ZERO,
    ));
    let name = Name::clone(&listed_upstream.incarnation);
    let upstreams = [(name, Arc::clone(&listed_upstream))];
    other.view.state().upstreams = HashMap::from(upstreams);
    let suspect = request("/x");
    killed
        .quarantine
        .record_broken_connection(&broken, Suspect::new(&suspect, Suspicion::Begun));
    sleep(Millis(3_000)).await;
    // The killed node never reads the list again.
    listed_upstream.retire();
    until("the report", || other.crash_count(&suspect) == 1).await;
    until("the record", || other.written_report().is_some()).await;
    assert!(killed.written_report().is_none());
}

/// A request must not be sent to one upstream after another while the crashes of the earlier ones
/// are still unconfirmed.
#[tokio::test(start_paused = true)]
async fn check_send_while_crashes_are_unconfirmed() {
    let node = single_node();
    let suspect = request("/x");
    let upstreams = ["i-1", "i-2", "i-3"].map(named_proxied_upstream);
    for (number, (_, upstream)) in upstreams.iter().enumerate() {
        assert!(node.quarantine.check_send(&suspect).is_ok(), "{number}");
        node.quarantine
            .record_broken_connection(upstream, Suspect::new(&suspect, Suspicion::Begun));
    }
    assert!(node.quarantine.check_send(&suspect).is_err());
    // An attempt that is already sent stays, since no crash is confirmed.
    assert!(node.quarantine.check(&suspect).is_ok());
    assert!(node.quarantine.check_send(&request("/other")).is_ok());
    // The list shows all upstreams alive.
    node.view.advance_as_of(Millis(60_000));
    sleep(Millis(7_000)).await;
    assert!(node.quarantine.check_send(&suspect).is_ok());
    assert_eq!(node.crash_count(&suspect), 0);
}

/// A request that may not have begun where connections broke must still be sent.
#[tokio::test(start_paused = true)]
async fn check_send_of_a_request_that_was_queued() {
    let node = single_node();
    let queued = request("/x");
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let (_listener, upstream) = named_proxied_upstream(name);
        node.quarantine
            .record_broken_connection(&upstream, Suspect::new(&queued, Suspicion::Possible));
    }
    assert!(node.quarantine.check_send(&queued).is_ok());
}

/// Other nodes must count an unconfirmed crash as soon as they are told of it.
#[tokio::test(start_paused = true)]
async fn check_send_counts_crashes_of_other_nodes() {
    let other = test_node("node-2", Arc::new(NoPeers));
    let one = test_node("node-1", Arc::new(SinglePeer(Arc::clone(&other.view))));
    let suspect = request("/x");
    let upstreams = ["i-1", "i-2", "i-3"].map(named_proxied_upstream);
    for (_, upstream) in &upstreams {
        one.quarantine
            .record_broken_connection(upstream, Suspect::new(&suspect, Suspicion::Begun));
    }
    let is_quarantined = || other.quarantine.check_send(&suspect).is_err();
    until("the unconfirmed crashes", is_quarantined).await;
}
