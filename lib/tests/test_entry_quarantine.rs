//! Quarantine of requests that crash upstreams, and the reports that entry nodes exchange.

use std::collections::HashMap;
use std::sync::Arc;

use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::entry::Quarantine;
use chivevalve::gossip::GossipState;
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{State, Upstream};
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::report::{Suspect, Suspicion};
use chivevalve::poison::subjects::Subjects;
use chivevalve::ports::Vm;
use chivevalve::schema::peer::{Delta, Digest};
use tokio::sync::watch;

/// Time for the quarantine's task to process a change of the fleet.
const SETTLE_TIME: Millis = Millis(1);

fn fleet(states: &[(&str, State)]) -> Arc<Fleet> {
    let upstreams = states.iter().map(|(name, state)| Upstream {
        vm: Vm {
            name: (*name).into(),
            address: ([127, 0, 0, 1], 1).into(),
            pool: "gpu".into(),
            region: "r".into(),
            failure_domain: "d".into(),
            leaving: false,
        },
        state: *state,
    });
    Arc::new(Fleet::new(upstreams.collect(), HashMap::new()))
}

fn request(body: &str) -> Subjects {
    let fingerprint = Fingerprint::of(&Identity {
        caller: "shop",
        model: "summary",
        method: "POST",
        host: "",
        path: "/v1/chat/completions",
        body: body.as_bytes(),
    });
    fingerprint.into()
}

/// A node with its own view of the fleet.
struct Node {
    quarantine: Arc<Quarantine>,
    fleet: watch::Sender<Arc<Fleet>>,
    clock: Arc<Manual>,
}

impl Node {
    fn start(name: &str) -> Self {
        let clock = Arc::new(Manual::default());
        clock.advance(Millis(1_000_000));
        let dyn_clock: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
        let quarantine = Arc::new(Quarantine::new(name.into(), dyn_clock, Arc::default()));
        let (fleet, fleet_rx) = watch::channel(fleet(&[("e1", State::Usable)]));
        tokio::spawn(Arc::clone(&quarantine).follow(fleet_rx));
        Self {
            quarantine,
            fleet,
            clock,
        }
    }

    async fn set_state(&self, state: State) {
        self.fleet.send_replace(fleet(&[("e1", state)]));
        tokio::time::sleep(SETTLE_TIME.duration()).await;
    }

    fn break_connection(&self, request: &Subjects, suspicion: Suspicion) {
        let fleet = Arc::clone(&self.fleet.borrow());
        self.quarantine.record_broken_connection(
            &fleet,
            &"e1".into(),
            Suspect::new(request, suspicion),
        );
    }

    /// Makes the upstream crash while it runs requests of this node, and return.
    async fn crash_under(&self, requests: &[&Subjects]) {
        for request in requests {
            self.break_connection(request, Suspicion::Begun);
        }
        self.set_state(State::Suspended).await;
        self.set_state(State::Usable).await;
    }

    fn is_allowed(&self, request: &Subjects) -> bool {
        self.quarantine.check(request).is_ok()
    }

    /// Sends another node the reports that it is missing; returns their number.
    fn gossip_to(&self, other: &Self) -> usize {
        let mut theirs = Digest::default();
        other.quarantine.fill_digest(&mut theirs);
        let mut delta = Delta::default();
        self.quarantine.fill_delta(&theirs, &mut delta);
        let mut own = Digest::default();
        self.quarantine.fill_digest(&mut own);
        delta.digest = Some(own);
        other.quarantine.merge_delta(&delta);
        delta.ends.len()
    }
}

/// A request is blocked after three crashes of upstreams that ran it.
#[tokio::test(start_paused = true)]
async fn check_after_three_crashes() {
    let node = Node::start("n1");
    let poison = request("poison");
    for _ in 0..2 {
        node.crash_under(&[&poison]).await;
        assert!(node.is_allowed(&poison));
    }
    node.crash_under(&[&poison]).await;
    assert!(!node.is_allowed(&poison));
    assert!(node.is_allowed(&request("other")));
}

/// Crashes add up across the nodes that sent a request; a node that never sent it blocks it too.
#[tokio::test(start_paused = true)]
async fn check_crashes_at_several_nodes() {
    let nodes = ["n1", "n2", "n3", "n4"].map(Node::start);
    let poison = request("poison");
    for node in &nodes[..3] {
        node.crash_under(&[&poison]).await;
    }
    for node in &nodes[..3] {
        node.gossip_to(&nodes[3]);
    }
    assert!(!nodes[3].is_allowed(&poison));
    nodes[3].gossip_to(&nodes[0]);
    assert!(!nodes[0].is_allowed(&poison));
}

/// A node whose own view doesn't show a crash learns of it from the upstream's owner.
#[tokio::test(start_paused = true)]
async fn check_crashes_observed_by_the_owner() {
    let (owner, entry) = (Node::start("owner"), Node::start("entry"));
    let poison = request("poison");
    for _ in 0..3 {
        entry.break_connection(&poison, Suspicion::Begun);
        owner.crash_under(&[]).await;
        owner.gossip_to(&entry);
        entry.clock.advance(Millis(10_000));
        owner.clock.advance(Millis(10_000));
    }
    assert!(!entry.is_allowed(&poison));
    entry.gossip_to(&owner);
    assert!(!owner.is_allowed(&poison));
}

/// Requests that were interrupted together with a poison request are still sent.
#[tokio::test(start_paused = true)]
async fn check_requests_interrupted_with_a_poison_request() {
    let node = Node::start("n1");
    let (poison, beside) = (request("poison"), request("beside"));
    node.crash_under(&[&poison]).await;
    for _ in 0..2 {
        node.crash_under(&[&poison, &beside]).await;
    }
    node.crash_under(&[&beside]).await;
    assert!(!node.is_allowed(&poison));
    assert!(node.is_allowed(&beside));
}

/// A planned shutdown of an upstream doesn't count against the requests that run there.
#[tokio::test(start_paused = true)]
async fn broken_connection_at_a_leaving_upstream() {
    let node = Node::start("n1");
    let harmless = request("proper");
    for _ in 0..4 {
        node.set_state(State::Leaving).await;
        node.crash_under(&[&harmless]).await;
    }
    assert!(node.is_allowed(&harmless));
}

/// A connection that broke long before a crash doesn't make its request a suspect.
#[tokio::test(start_paused = true)]
async fn broken_connection_long_before_a_crash() {
    let node = Node::start("n1");
    let harmless = request("proper");
    for _ in 0..4 {
        node.break_connection(&harmless, Suspicion::Begun);
        node.clock.advance(Millis(10_000));
        node.crash_under(&[]).await;
    }
    assert!(node.is_allowed(&harmless));
}

/// A request that ran without a crash is sent again by all nodes.
#[tokio::test(start_paused = true)]
async fn harmless_run_is_spread() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let harmless = request("proper");
    for _ in 0..3 {
        one.crash_under(&[&harmless]).await;
    }
    one.gossip_to(&other);
    assert!(!other.is_allowed(&harmless));
    one.clock.advance(Millis(100));
    other.clock.advance(Millis(100));
    one.quarantine.record_harmless_run(&harmless, Millis::ZERO);
    one.gossip_to(&other);
    assert!(one.is_allowed(&harmless));
    assert!(other.is_allowed(&harmless));
    other.gossip_to(&one);
    assert!(one.is_allowed(&harmless));
}

/// A report from before a request ran without a crash doesn't count, whoever sends it later.
#[tokio::test(start_paused = true)]
async fn harmless_run_outlasts_older_reports() {
    let [reporter, one, late] = ["n1", "n2", "n3"].map(Node::start);
    let harmless = request("proper");
    for _ in 0..3 {
        reporter.crash_under(&[&harmless]).await;
    }
    reporter.gossip_to(&one);
    reporter.gossip_to(&late);
    for node in [&one, &late] {
        node.clock.advance(Millis::from_secs(70));
    }
    one.quarantine.record_harmless_run(&harmless, Millis::ZERO);
    // Long enough that the node remembers the harmless run only by its gossip record.
    for node in [&one, &late] {
        node.clock.advance(Millis::from_secs(70));
    }
    late.gossip_to(&one);
    assert!(one.is_allowed(&harmless));
}

/// A request that ran here without a crash is sent even if other nodes' reports would blame it.
#[tokio::test(start_paused = true)]
async fn harmless_run_before_reports() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let harmless = request("proper");
    one.quarantine.record_harmless_run(&harmless, Millis::ZERO);
    for _ in 0..3 {
        other.crash_under(&[&harmless]).await;
    }
    other.gossip_to(&one);
    assert!(one.is_allowed(&harmless));
}

/// A crash that is reported first and observed later counts once, so that the other node's request
/// explains it.
#[tokio::test(start_paused = true)]
async fn check_with_a_request_of_another_node() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let (poison, beside) = (request("poison"), request("beside"));
    for _ in 0..3 {
        one.crash_under(&[&poison]).await;
        one.gossip_to(&other);
        other.crash_under(&[&beside]).await;
        for node in [&one, &other] {
            node.clock.advance(Millis(10_000));
        }
    }
    assert!(!other.is_allowed(&poison));
    assert!(other.is_allowed(&beside));
}

/// A crash is announced to other nodes at once.
#[tokio::test(start_paused = true)]
async fn changes_after_a_crash() {
    let node = Node::start("n1");
    let changes = node.quarantine.changes();
    node.crash_under(&[&request("poison")]).await;
    assert!(changes.has_changed().unwrap());
}

/// Nodes with the same reports send each other none.
#[tokio::test(start_paused = true)]
async fn delta_has_only_missing_reports() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    one.crash_under(&[&request("poison")]).await;
    assert_eq!(one.gossip_to(&other), 1);
    assert_eq!((one.gossip_to(&other), other.gossip_to(&one)), (0, 0));
}

/// Reports count for ten minutes.
#[tokio::test(start_paused = true)]
async fn check_after_reports_expired() {
    let node = Node::start("n1");
    let poison = request("poison");
    for _ in 0..3 {
        node.crash_under(&[&poison]).await;
    }
    let other = Node::start("n2");
    for one in [&node, &other] {
        one.clock.advance(Millis::from_secs(601));
    }
    node.gossip_to(&other);
    assert!(node.is_allowed(&poison));
    assert!(other.is_allowed(&poison));
}

fn with_parts(body: &str, parts: &[u64]) -> Subjects {
    let parts = parts.iter().copied().map(Fingerprint::of_part);
    Subjects::new(request(body).request, parts)
}

/// Different requests with a part in common are blocked at all nodes, and others with its
/// companions aren't.
#[tokio::test(start_paused = true)]
async fn check_part_in_different_requests() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    for number in 0..3 {
        let poison = with_parts(&format!("poison {number}"), &[1, 9]);
        assert!(one.is_allowed(&poison));
        one.crash_under(&[&poison]).await;
    }
    one.gossip_to(&other);
    for node in [&one, &other] {
        assert!(!node.is_allowed(&with_parts("another", &[1, 9])));
        assert!(node.is_allowed(&with_parts("another", &[1, 8])));
    }
}

/// A part that a node has just seen run is cleared at the nodes that blame it.
#[tokio::test(start_paused = true)]
async fn harmless_part_is_spread() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    for number in 0..3 {
        let suspect = with_parts(&format!("suspect {number}"), &[1]);
        one.crash_under(&[&suspect]).await;
    }
    let beside = with_parts("beside", &[1]);
    assert!(!one.is_allowed(&beside));
    one.gossip_to(&other);
    other
        .quarantine
        .record_harmless_run(&beside, other.clock.now());
    other.gossip_to(&one);
    assert!(one.is_allowed(&beside));
    assert!(other.is_allowed(&beside));
}

/// A blamed part is tried once, and no more after the trial crashed an upstream.
#[tokio::test(start_paused = true)]
async fn trial_of_a_blamed_part() {
    let node = Node::start("n1");
    for number in 0..3 {
        let suspect = with_parts(&format!("suspect {number}"), &[1]);
        node.crash_under(&[&suspect]).await;
    }
    let next = with_parts("next", &[1]);
    assert!(!node.quarantine.take_trial(&next));
    node.clock.advance(Millis(1_500));
    assert!(node.quarantine.take_trial(&next));
    assert!(!node.quarantine.take_trial(&with_parts("other", &[1])));
    let fleet = Arc::clone(&node.fleet.borrow());
    let suspect = Suspect {
        trial: true,
        ..Suspect::new(&next, Suspicion::Begun)
    };
    node.quarantine
        .record_broken_connection(&fleet, &"e1".into(), suspect);
    node.crash_under(&[]).await;
    node.clock.advance(Millis(20_000));
    assert!(!node.quarantine.take_trial(&with_parts("other", &[1])));
}
