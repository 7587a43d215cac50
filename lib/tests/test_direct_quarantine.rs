//! What a node reports of upstreams that ended, without a node around it.

mod direct_support;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::outbox::{Outbox, PeerBroadcast};
use chivevalve::direct::quarantine::{CRASH_REPORT_PREFIX, Quarantine};
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::view::{PutOutcome, View};
use chivevalve::name::Name;
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::ledger::{CrashReport, Suspicion};
use chivevalve_platform::PlatformDialect;
use direct_support::memory::Memory;
use direct_support::records::{entry_revision, listed};

/// There are no other nodes.
#[derive(Debug)]
struct Nobody;

#[async_trait]
impl PeerBroadcast for Nobody {
    async fn broadcast(&self, _: &Name, _: &Bytes) {}
}

/// One other node.
#[derive(Debug)]
struct Other(Arc<View>);

#[async_trait]
impl PeerBroadcast for Other {
    async fn broadcast(&self, name: &Name, value: &Bytes) {
        let taken = self.0.state().put_quarantine_record(name, value, None, NOW);
        assert_eq!(taken, PutOutcome::Applied);
        self.0.changed.notify_waiters();
    }
}

/// When nodes hear of one another's cases.
const NOW: Millis = Millis(1);

struct World {
    view: Arc<View>,
    store: Arc<Memory>,
    quarantine: Arc<Quarantine>,
}

fn world() -> World {
    node("node-1", Arc::new(Nobody))
}

fn node(name: &str, others: Arc<dyn PeerBroadcast>) -> World {
    let view = Arc::new(View::default());
    let store = Arc::new(Memory::default());
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let outbox = Arc::new(Outbox::new(
        Arc::<Memory>::clone(&store),
        Arc::<Memory>::clone(&store),
        Arc::new(PlatformDialect),
        Arc::clone(&clock),
        others,
    ));
    let quarantine = Arc::new(Quarantine::new(
        Arc::clone(&view),
        clock,
        Arc::default(),
        name.into(),
        outbox,
    ));
    World {
        view,
        store,
        quarantine,
    }
}

impl World {
    fn ends(&self, request: &Fingerprint) -> usize {
        self.view.state().ledger.crash_count(request, Millis::ZERO)
    }

    /// The only report in the key-value service.
    fn written(&self) -> Option<CrashReport> {
        let state = self.store.state();
        let mut entries = state.entries.values();
        let entry = entries.find(|entry| entry.key.contains(CRASH_REPORT_PREFIX))?;
        Some(serde_json::from_slice(&entry.value).unwrap())
    }
}

fn request(path: &str) -> Fingerprint {
    Fingerprint::of(&Identity {
        caller: "",
        model: "base/a1",
        method: "POST",
        host: "host.example",
        path,
        body: b"",
    })
}

/// An upstream at whose address nobody listens.
fn ended() -> Arc<Upstream> {
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

/// An upstream at whose address somebody accepts connections, as a proxy does.
fn behind_a_proxy() -> (TcpListener, Arc<Upstream>) {
    named_behind_a_proxy("i-1")
}

fn named_behind_a_proxy(name: &str) -> (TcpListener, Arc<Upstream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut listed = listed(name, &[]);
    listed.address = listener.local_addr().unwrap();
    let upstream = Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO));
    (listener, upstream)
}

async fn pass(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

/// An end that only the list shows is missed where the key-value service is silent meanwhile.
#[tokio::test(start_paused = true)]
async fn broke_is_looked_for_while_the_list_is_silent() {
    let world = world();
    let (_listener, upstream) = behind_a_proxy();
    let suspect = request("/x");
    world
        .quarantine
        .record_broken_connection(&upstream, suspect.clone(), Suspicion::Begun);
    pass(Millis(30_000)).await;
    assert_eq!(world.ends(&suspect), 0);
    upstream.retire();
    until("the report", || world.ends(&suspect) == 1).await;
}

/// An entry that is missing after an outage, and not yet taken for gone, is taken for alive.
#[tokio::test(start_paused = true)]
async fn broke_is_looked_for_while_the_entry_is_doubted() {
    let world = world();
    let (_listener, upstream) = behind_a_proxy();
    let suspect = request("/x");
    world
        .quarantine
        .record_broken_connection(&upstream, suspect.clone(), Suspicion::Begun);
    upstream.mark_missing();
    world.view.advance_as_of(Millis(60_000));
    pass(Millis(7_000)).await;
    upstream.retire();
    until("the report", || world.ends(&suspect) == 1).await;
}

/// A request is blamed for an end that came long after its connection broke.
#[tokio::test(start_paused = true)]
async fn broke_is_forgotten_once_the_upstream_serves() {
    let world = world();
    let (_listener, upstream) = behind_a_proxy();
    let suspect = request("/x");
    world
        .quarantine
        .record_broken_connection(&upstream, suspect.clone(), Suspicion::Begun);
    pass(Millis(10_000)).await;
    upstream.record_success();
    pass(Millis(1_000)).await;
    upstream.retire();
    pass(Millis(1_000)).await;
    assert_eq!(world.ends(&suspect), 0);
}

/// A request is blamed for an end that came after the list had shown its upstream alive.
#[tokio::test(start_paused = true)]
async fn broke_is_forgotten_once_the_list_is_known() {
    let world = world();
    let (_listener, upstream) = behind_a_proxy();
    let suspect = request("/x");
    world
        .quarantine
        .record_broken_connection(&upstream, suspect.clone(), Suspicion::Begun);
    pass(Millis(2_000)).await;
    world.view.advance_as_of(Millis(60_000));
    pass(Millis(1_000)).await;
    upstream.retire();
    pass(Millis(1_000)).await;
    assert_eq!(world.ends(&suspect), 0);
}

/// What a node sees later of an upstream's end takes the place of what it reported before.
#[tokio::test]
async fn broke_later_adds_to_what_was_reported() {
    let world = world();
    let upstream = ended();
    let (first, later) = (request("/first"), request("/later"));
    let quarantine = &world.quarantine;
    quarantine.record_broken_connection(&upstream, first.clone(), Suspicion::Begun);
    until("the first report", || world.ends(&first) == 1).await;
    quarantine.record_broken_connection(&upstream, later.clone(), Suspicion::Possible);
    until("the second report", || world.ends(&later) == 1).await;
    assert_eq!(world.ends(&first), 1);
    let both = || {
        let suspects = world.written().map(|report| report.suspects.len());
        suspects == Some(2)
    };
    until("both in the key-value service", both).await;
}

/// What a node saw of an upstream's end is lost where it is killed before the list shows the end.
#[tokio::test(start_paused = true)]
async fn broke_at_a_node_that_is_killed() {
    let other = node("node-2", Arc::new(Nobody));
    let killed = node("node-1", Arc::new(Other(Arc::clone(&other.view))));
    tokio::spawn(Arc::clone(&other.quarantine).run());
    let (_listener, upstream) = behind_a_proxy();
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
        .record_broken_connection(&broken, suspect.clone(), Suspicion::Begun);
    pass(Millis(3_000)).await;
    // The list is never read there again.
    listed_upstream.retire();
    until("the report", || other.ends(&suspect) == 1).await;
    until("the record", || other.written().is_some()).await;
    assert!(killed.written().is_none());
}

/// A request is sent on, to one upstream after the other, while nobody knows of the ones before.
#[tokio::test(start_paused = true)]
async fn check_send_while_cases_are_open() {
    let world = world();
    let suspect = request("/x");
    let upstreams = ["i-1", "i-2", "i-3"].map(named_behind_a_proxy);
    for (number, (_, upstream)) in upstreams.iter().enumerate() {
        assert!(world.quarantine.check_send(&suspect).is_ok(), "{number}");
        world
            .quarantine
            .record_broken_connection(upstream, suspect.clone(), Suspicion::Begun);
    }
    assert!(world.quarantine.check_send(&suspect).is_err());
    // What was sent already stays: nothing is known against it.
    assert!(world.quarantine.check(&suspect).is_ok());
    assert!(world.quarantine.check_send(&request("/other")).is_ok());
    // The list shows all of them alive.
    world.view.advance_as_of(Millis(60_000));
    pass(Millis(7_000)).await;
    assert!(world.quarantine.check_send(&suspect).is_ok());
    assert_eq!(world.ends(&suspect), 0);
}

/// Requests that may not have begun where connections broke are sent on.
#[tokio::test(start_paused = true)]
async fn check_send_of_a_request_that_waited() {
    let world = world();
    let proper = request("/x");
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let (_listener, upstream) = named_behind_a_proxy(name);
        world
            .quarantine
            .record_broken_connection(&upstream, proper.clone(), Suspicion::Possible);
    }
    assert!(world.quarantine.check_send(&proper).is_ok());
}

/// Other nodes count a case from when it is told.
#[tokio::test(start_paused = true)]
async fn check_send_counts_cases_of_others() {
    let other = node("node-2", Arc::new(Nobody));
    let one = node("node-1", Arc::new(Other(Arc::clone(&other.view))));
    let suspect = request("/x");
    let upstreams = ["i-1", "i-2", "i-3"].map(named_behind_a_proxy);
    for (_, upstream) in &upstreams {
        one.quarantine
            .record_broken_connection(upstream, suspect.clone(), Suspicion::Begun);
    }
    let is_held = || other.quarantine.check_send(&suspect).is_err();
    until("the cases", is_held).await;
}
