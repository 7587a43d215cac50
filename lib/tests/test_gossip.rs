//! Replication of the configuration between nodes by gossip.

mod config_setup;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Monotonic};
use chivevalve::entry::Quarantine;
use chivevalve::error::{Code, Failure};
use chivevalve::gossip::{
    Dependencies, ExchangeHandler, Gossiper, Limits, Peer, PeerSource, SnapshotSource, Transport,
};
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{State, Upstream};
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::report::{Suspect, Suspicion};
use chivevalve::poison::subjects::Subjects;
use chivevalve::ports::Vm;
use chivevalve::schema::declaration::Operation;
use chivevalve::schema::peer::{Delta, Digest, SnapshotPart};
use chivevalve_standins::store::{Knobs, Store};
use config_setup::{Node, set, store};
use futures::StreamExt;
use futures::stream::{self, BoxStream};

/// What serves a node's peers: its gossip and its configuration.
type Endpoint = (Weak<Gossiper>, Arc<chivevalve::config::ConfigManager>);

/// Simulated network: nodes by address. An address without a node is unreachable.
#[derive(Debug, Default)]
struct Network {
    nodes: Mutex<BTreeMap<SocketAddr, Endpoint>>,
    /// Addresses that accept calls and never respond.
    unresponsive: Mutex<Vec<SocketAddr>>,
    calls: Mutex<Vec<SocketAddr>>,
}

impl Network {
    async fn connect(
        &self,
        peer: &Peer,
    ) -> Result<(Arc<Gossiper>, Arc<chivevalve::config::ConfigManager>), Failure> {
        self.calls.lock().unwrap().push(peer.address);
        if self.unresponsive.lock().unwrap().contains(&peer.address) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        let nodes = self.nodes.lock().unwrap();
        nodes
            .get(&peer.address)
            .and_then(|(gossip, config)| Some((gossip.upgrade()?, Arc::clone(config))))
            .ok_or_else(|| Failure::new(Code::PeerUnreachable, "no node at this address"))
    }
}

#[async_trait]
impl Transport for Network {
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure> {
        let (gossip, _) = self.connect(peer).await?;
        Ok(gossip.handle_exchange(digest).await)
    }

    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure> {
        let (_, config) = self.connect(peer).await?;
        Ok(stream::iter(config.parts()).map(Ok).boxed())
    }
}

fn peer(number: u16) -> Peer {
    Peer {
        name: Arc::from(format!("n{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        region: Arc::from("north"),
    }
}

/// A node that exchanges with all others of the network.
struct GossipNode {
    node: Node,
    gossip: Arc<Gossiper>,
    quarantine: Arc<Quarantine>,
}

fn join(net: &Arc<Network>, store: &Arc<Store>, number: u16, peers: &[u16]) -> GossipNode {
    let own = peer(number);
    let node = Node::start(&own.name, store);
    let others = peers.iter().filter(|other| **other != number);
    *node.peers.0.lock().unwrap() = others.map(|other| peer(*other)).collect();
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let quarantine = Quarantine::new(own.name.clone(), clock, Arc::default());
    let quarantine = Arc::new(quarantine);
    let gossip = Gossiper::start(Dependencies {
        node: own.name,
        incarnation: 1,
        region: own.region,
        states: vec![Arc::clone(&node.manager) as _, Arc::clone(&quarantine) as _],
        changes: vec![node.manager.learned_revision(), quarantine.changes()],
        installer: Arc::clone(&node.manager) as _,
        peers: Arc::clone(&node.peers) as Arc<dyn PeerSource>,
        transport: Arc::clone(net) as _,
        clock: Arc::new(Monotonic::start()),
        limits: Limits::default(),
        seed: u64::from(number),
        stop: node.stop.clone(),
    });
    let endpoint = (Arc::downgrade(&gossip), Arc::clone(&node.manager));
    net.nodes.lock().unwrap().insert(own.address, endpoint);
    GossipNode {
        node,
        gossip,
        quarantine,
    }
}

fn make_unavailable(store: &Store) {
    store.set(Knobs {
        down: true,
        ..Knobs::default()
    });
}

/// A node that starts while the key-value service is unavailable gets the configuration from peers.
#[tokio::test(start_paused = true)]
async fn new_node_while_the_service_is_unavailable() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1, 2]);
    a.node.apply(&set(&[("faults", "1")])).await;
    make_unavailable(&store);
    let clock = Monotonic::start();
    let b = join(&net, &store, 2, &[1, 2]);
    b.node.in_force(1).await;
    assert!(clock.now().0 < 5_000, "{}", clock.now());
    let (theirs, ours) = (a.node.manager.status(), b.node.manager.status());
    assert_eq!(theirs.digest, ours.digest);
}

/// A node that starts while no peer responds keeps trying until one does.
#[tokio::test(start_paused = true)]
async fn new_node_without_peers_keeps_trying() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1]);
    a.node.apply(&set(&[])).await;
    make_unavailable(&store);
    let endpoint = net.nodes.lock().unwrap().remove(&peer(1).address);
    let b = join(&net, &store, 2, &[1, 2]);
    tokio::time::sleep(Duration::from_mins(5)).await;
    assert_eq!(b.node.revision(), 0, "not ready");
    let address = peer(1).address;
    net.nodes.lock().unwrap().insert(address, endpoint.unwrap());
    b.node.in_force(1).await;
}

/// A change that a watcher sees is pushed to peers at once, not at the next regular exchange.
#[tokio::test(start_paused = true)]
async fn changes_are_pushed_at_once() {
    let (net, store) = (Arc::new(Network::default()), store());
    let numbers: Vec<u16> = (1..=12).collect();
    let nodes: Vec<GossipNode> = numbers
        .iter()
        .map(|number| join(&net, &store, *number, &numbers))
        .collect();
    nodes[0].node.apply(&set(&[])).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let watchers = nodes.iter().filter(|n| n.node.manager.status().watcher);
    assert_eq!(watchers.count(), 3);
    let clock = Monotonic::start();
    nodes[5].node.apply(&set(&[("faults", "1")])).await;
    for node in &nodes {
        node.node.in_force(2).await;
    }
    assert!(clock.now().0 < 2_000, "{}", clock.now());
}

/// A peer that accepts connections and never responds is tried less and less often.
#[tokio::test(start_paused = true)]
async fn unresponsive_peer_costs_little() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1, 2, 3]);
    let b = join(&net, &store, 2, &[1, 2, 3]);
    net.unresponsive.lock().unwrap().push(peer(3).address);
    a.node.apply(&set(&[])).await;
    b.node.in_force(1).await;
    tokio::time::sleep(Duration::from_mins(10)).await;
    let calls = net.calls.lock().unwrap();
    let attempts = calls.iter().filter(|to| **to == peer(3).address).count();
    assert!(attempts < 100, "{attempts} of {} calls", calls.len());
}

/// A digest that was read late doesn't make an old revision look recently confirmed.
#[tokio::test(start_paused = true)]
async fn confirmed_age_of_a_request_is_ignored() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1]);
    a.node.apply(&set(&[])).await;
    let mut digest = Digest::default();
    chivevalve::gossip::GossipState::fill_digest(&*a.node.manager, &mut digest);
    make_unavailable(&store);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let before = a.node.manager.status().confirmed_age_ms.unwrap();
    digest.confirmed_age_ms = 1;
    a.gossip.handle_exchange(digest).await;
    assert!(a.node.manager.status().confirmed_age_ms.unwrap() >= before);
}

/// A peer that was partitioned for long gets what it lacks, and its old revision changes nothing.
#[tokio::test(start_paused = true)]
async fn outdated_peer_changes_nothing() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1, 2]);
    let b = join(&net, &store, 2, &[1, 2]);
    a.node.apply(&set(&[("faults", "1")])).await;
    b.node.in_force(1).await;
    let mut old = Digest::default();
    chivevalve::gossip::GossipState::fill_digest(&*b.node.manager, &mut old);
    a.node.apply(&set(&[("plans", "1")])).await;
    b.node.in_force(2).await;
    let delta = b.gossip.handle_exchange(old).await;
    assert_eq!(delta.operations.len(), 1, "the outdated peer gets it");
    assert_eq!((a.node.revision(), b.node.revision()), (2, 2));
}

/// An operation that can't be decoded is tried and logged once, not at each exchange.
#[tokio::test(start_paused = true)]
async fn rejected_operation_is_tried_once() {
    let (net, store) = (Arc::new(Network::default()), store());
    let a = join(&net, &store, 1, &[1]);
    a.node.apply(&set(&[])).await;
    let newer = Operation {
        revision: 2,
        view_digest: vec![7; 32],
        ..Operation::default()
    };
    for _ in 0..50 {
        let digest = Digest {
            revision: 2,
            operations: vec![newer.clone()],
            ..Digest::default()
        };
        a.gossip.handle_exchange(digest).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let page = a.node.metrics.render();
    let line = "chivevalve_config_events_total{kind=\"refused\"} 1\n";
    assert!(page.contains(line), "{page}");
    assert_eq!(a.node.revision(), 1);
    assert!(a.node.manager.status().refused.is_some());
}

/// A fleet with one upstream.
fn fleet(state: State) -> Arc<Fleet> {
    let vm = Vm {
        name: "e1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        pool: "gpu".into(),
        region: "north".into(),
        failure_domain: "d".into(),
        leaving: false,
    };
    Arc::new(Fleet::new(vec![Upstream { vm, state }], HashMap::new()))
}

/// Crashes of upstreams that one node saw are known to all nodes within a second.
#[tokio::test(start_paused = true)]
async fn crashes_reach_all_nodes() {
    let (net, store) = (Arc::new(Network::default()), store());
    let numbers: Vec<u16> = (1..=8).collect();
    let nodes: Vec<GossipNode> = numbers
        .iter()
        .map(|number| join(&net, &store, *number, &numbers))
        .collect();
    let poison = Subjects::from(Fingerprint::of(&Identity {
        caller: "shop",
        model: "summary",
        method: "POST",
        host: "",
        path: "/v1/chat/completions",
        body: b"poison",
    }));
    let observer = &nodes[0].quarantine;
    let (sender, fleets) = tokio::sync::watch::channel(fleet(State::Usable));
    tokio::spawn(Arc::clone(observer).follow(fleets));
    for _ in 0..3 {
        observer.record_broken_connection(
            &fleet(State::Usable),
            &"e1".into(),
            Suspect::new(&poison, Suspicion::Begun),
        );
        for state in [State::Suspended, State::Usable] {
            sender.send_replace(fleet(state));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let knows = |node: &GossipNode| node.quarantine.check(&poison).is_err();
    assert!(nodes.iter().all(knows));
}
