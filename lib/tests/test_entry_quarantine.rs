//! What entry nodes know of requests under which upstreams ended, and tell each other.

use std::collections::HashMap;
use std::sync::Arc;

use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::entry::Quarantine;
use chivevalve::gossip::GossipState;
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{State, Upstream};
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::ledger::Suspicion;
use chivevalve::ports::Vm;
use chivevalve::schema::peer::{Delta, Digest};
use tokio::sync::watch;

/// Time that a task needs to take in a picture of the fleet.
const TURN: Millis = Millis(1);

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

fn request(body: &str) -> Fingerprint {
    Fingerprint::of(&Identity {
        caller: "shop",
        model: "summary",
        method: "POST",
        host: "",
        path: "/v1/chat/completions",
        body: body.as_bytes(),
    })
}

/// A node with its own picture of the fleet.
struct Node {
    quarantine: Arc<Quarantine>,
    fleet: watch::Sender<Arc<Fleet>>,
    clock: Arc<Manual>,
}

impl Node {
    fn start(name: &str) -> Self {
        let clock = Arc::new(Manual::default());
        clock.advance(Millis(1_000_000));
        let ticking: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
        let quarantine = Arc::new(Quarantine::new(name.into(), ticking, Arc::default()));
        let (fleet, followed) = watch::channel(fleet(&[("e1", State::Usable)]));
        tokio::spawn(Arc::clone(&quarantine).follow(followed));
        Self {
            quarantine,
            fleet,
            clock,
        }
    }

    async fn show(&self, state: State) {
        self.fleet.send_replace(fleet(&[("e1", state)]));
        tokio::time::sleep(TURN.duration()).await;
    }

    fn lose(&self, request: &Fingerprint, sign: Suspicion) {
        let fleet = Arc::clone(&self.fleet.borrow());
        self.quarantine.lost(&fleet, &"e1".into(), request, sign);
    }

    /// Has an upstream end under requests that this node sent, and come back.
    async fn end_under(&self, requests: &[&Fingerprint]) {
        for request in requests {
            self.lose(request, Suspicion::Begun);
        }
        self.show(State::Suspended).await;
        self.show(State::Usable).await;
    }

    fn sends(&self, request: &Fingerprint) -> bool {
        self.quarantine.check(request).is_ok()
    }

    /// Tells another node what it lacks; returns how many reports that took.
    fn tell(&self, other: &Self) -> usize {
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

/// A request that upstreams end under is sent no more after three.
#[tokio::test(start_paused = true)]
async fn check_after_three_ends() {
    let node = Node::start("n1");
    let poison = request("poison");
    for _ in 0..2 {
        node.end_under(&[&poison]).await;
        assert!(node.sends(&poison));
    }
    node.end_under(&[&poison]).await;
    assert!(!node.sends(&poison));
    assert!(node.sends(&request("other")));
}

/// Three ends under one request add up, whichever nodes sent it, also at one that never did.
#[tokio::test(start_paused = true)]
async fn check_ends_at_several_nodes() {
    let nodes = ["n1", "n2", "n3", "n4"].map(Node::start);
    let poison = request("poison");
    for node in &nodes[..3] {
        node.end_under(&[&poison]).await;
    }
    for node in &nodes[..3] {
        node.tell(&nodes[3]);
    }
    assert!(!nodes[3].sends(&poison));
    nodes[3].tell(&nodes[0]);
    assert!(!nodes[0].sends(&poison));
}

/// A node whose own picture shows no end hears of it from the upstream's owner.
#[tokio::test(start_paused = true)]
async fn check_ends_seen_by_the_owner() {
    let (owner, entry) = (Node::start("owner"), Node::start("entry"));
    let poison = request("poison");
    for _ in 0..3 {
        entry.lose(&poison, Suspicion::Begun);
        owner.end_under(&[]).await;
        owner.tell(&entry);
        entry.clock.advance(Millis(10_000));
        owner.clock.advance(Millis(10_000));
    }
    assert!(!entry.sends(&poison));
    entry.tell(&owner);
    assert!(!owner.sends(&poison));
}

/// Requests that were cut beside a poison one are sent on.
#[tokio::test(start_paused = true)]
async fn check_requests_beside_a_poison_one() {
    let node = Node::start("n1");
    let (poison, beside) = (request("poison"), request("beside"));
    node.end_under(&[&poison]).await;
    for _ in 0..2 {
        node.end_under(&[&poison, &beside]).await;
    }
    node.end_under(&[&beside]).await;
    assert!(!node.sends(&poison));
    assert!(node.sends(&beside));
}

/// An upstream that leaves in order ends with what runs there, and nobody is to blame.
#[tokio::test(start_paused = true)]
async fn lost_at_an_upstream_that_leaves() {
    let node = Node::start("n1");
    let proper = request("proper");
    for _ in 0..4 {
        node.show(State::Leaving).await;
        node.end_under(&[&proper]).await;
    }
    assert!(node.sends(&proper));
}

/// A connection that broke long before an upstream ended says nothing of that end.
#[tokio::test(start_paused = true)]
async fn lost_long_before_an_end() {
    let node = Node::start("n1");
    let proper = request("proper");
    for _ in 0..4 {
        node.lose(&proper, Suspicion::Begun);
        node.clock.advance(Millis(10_000));
        node.end_under(&[]).await;
    }
    assert!(node.sends(&proper));
}

/// A request that an upstream ran without harm is sent again, at all nodes.
#[tokio::test(start_paused = true)]
async fn survived_is_told() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let proper = request("proper");
    for _ in 0..3 {
        one.end_under(&[&proper]).await;
    }
    one.tell(&other);
    assert!(!other.sends(&proper));
    one.clock.advance(Millis(100));
    other.clock.advance(Millis(100));
    one.quarantine.record_harmless_run(&proper);
    one.tell(&other);
    assert!(one.sends(&proper));
    assert!(other.sends(&proper));
    other.tell(&one);
    assert!(one.sends(&proper));
}

/// A report from before a request survived doesn't blame it again, whoever tells it later.
#[tokio::test(start_paused = true)]
async fn survived_outlasts_older_reports() {
    let [reporter, one, late] = ["n1", "n2", "n3"].map(Node::start);
    let proper = request("proper");
    for _ in 0..3 {
        reporter.end_under(&[&proper]).await;
    }
    reporter.tell(&one);
    reporter.tell(&late);
    for node in [&one, &late] {
        node.clock.advance(Millis::from_secs(70));
    }
    one.quarantine.record_harmless_run(&proper);
    // Long enough for the node to remember the survival by its record alone.
    for node in [&one, &late] {
        node.clock.advance(Millis::from_secs(70));
    }
    late.tell(&one);
    assert!(one.sends(&proper));
}

/// A request that ran here without harm is sent, though reports of others would blame it.
#[tokio::test(start_paused = true)]
async fn survived_before_reports() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let proper = request("proper");
    one.quarantine.record_harmless_run(&proper);
    for _ in 0..3 {
        other.end_under(&[&proper]).await;
    }
    other.tell(&one);
    assert!(one.sends(&proper));
}

/// An end that was heard of and is seen then is one end: a request of another node explains it.
#[tokio::test(start_paused = true)]
async fn check_beside_a_request_of_another_node() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    let (poison, beside) = (request("poison"), request("beside"));
    for _ in 0..3 {
        one.end_under(&[&poison]).await;
        one.tell(&other);
        other.end_under(&[&beside]).await;
        for node in [&one, &other] {
            node.clock.advance(Millis(10_000));
        }
    }
    assert!(!other.sends(&poison));
    assert!(other.sends(&beside));
}

/// Other nodes are told at once.
#[tokio::test(start_paused = true)]
async fn news_of_an_end() {
    let node = Node::start("n1");
    let news = node.quarantine.news();
    node.end_under(&[&request("poison")]).await;
    assert!(news.has_changed().unwrap());
}

/// Nodes that know the same tell each other nothing.
#[tokio::test(start_paused = true)]
async fn answer_only_what_is_lacking() {
    let (one, other) = (Node::start("n1"), Node::start("n2"));
    one.end_under(&[&request("poison")]).await;
    assert_eq!(one.tell(&other), 1);
    assert_eq!((one.tell(&other), other.tell(&one)), (0, 0));
}

/// Reports count for ten minutes.
#[tokio::test(start_paused = true)]
async fn check_after_reports_lapsed() {
    let node = Node::start("n1");
    let poison = request("poison");
    for _ in 0..3 {
        node.end_under(&[&poison]).await;
    }
    let other = Node::start("n2");
    for one in [&node, &other] {
        one.clock.advance(Millis::from_secs(601));
    }
    node.tell(&other);
    assert!(node.sends(&poison));
    assert!(other.sends(&poison));
}
