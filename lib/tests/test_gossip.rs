//! Nodes that learn the configuration from one another.

mod config_setup;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Monotonic};
use chivevalve::entry::Quarantine;
use chivevalve::error::{Code, Failure};
use chivevalve::gossip::{Exchange, Keeper, Limits, Parts, Peer, Peers, Snapshot, Transport};
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{State, Upstream};
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::ledger::Suspicion;
use chivevalve::ports::Vm;
use chivevalve::schema::declaration::Operation;
use chivevalve::schema::peer::{Delta, Digest, SnapshotPart};
use chivevalve_standins::store::{Knobs, Store};
use config_setup::{Node, set, store};
use futures::StreamExt;
use futures::stream::{self, BoxStream};

/// What answers for a node: its exchange and its configuration.
type Served = (Weak<Keeper>, Arc<chivevalve::config::ConfigManager>);

/// Nodes by address; a node that isn't there can't be reached.
#[derive(Debug, Default)]
struct Net {
    nodes: Mutex<BTreeMap<SocketAddr, Served>>,
    /// Addresses that take calls and never answer.
    silent: Mutex<Vec<SocketAddr>>,
    calls: Mutex<Vec<SocketAddr>>,
}

impl Net {
    async fn reach(
        &self,
        peer: &Peer,
    ) -> Result<(Arc<Keeper>, Arc<chivevalve::config::ConfigManager>), Failure> {
        self.calls.lock().unwrap().push(peer.address);
        if self.silent.lock().unwrap().contains(&peer.address) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        let nodes = self.nodes.lock().unwrap();
        nodes
            .get(&peer.address)
            .and_then(|(gossip, config)| Some((gossip.upgrade()?, Arc::clone(config))))
            .ok_or_else(|| Failure::new(Code::PeerUnreachable, "nobody is there"))
    }
}

#[async_trait]
impl Transport for Net {
    async fn exchange(&self, peer: &Peer, digest: Digest) -> Result<Delta, Failure> {
        let (gossip, _) = self.reach(peer).await?;
        Ok(gossip.exchange(digest).await)
    }

    async fn snapshot(
        &self,
        peer: &Peer,
    ) -> Result<BoxStream<'static, Result<SnapshotPart, Failure>>, Failure> {
        let (_, config) = self.reach(peer).await?;
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

/// A node that exchanges with all others of the net.
struct Joined {
    node: Node,
    gossip: Arc<Keeper>,
    quarantine: Arc<Quarantine>,
}

fn join(net: &Arc<Net>, store: &Arc<Store>, number: u16, peers: &[u16]) -> Joined {
    let own = peer(number);
    let node = Node::start(&own.name, store);
    let others = peers.iter().filter(|other| **other != number);
    *node.peers.0.lock().unwrap() = others.map(|other| peer(*other)).collect();
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let quarantine = Quarantine::new(own.name.clone(), clock, Arc::default());
    let quarantine = Arc::new(quarantine);
    let gossip = Keeper::start(Parts {
        node: own.name,
        incarnation: 1,
        region: own.region,
        shares: vec![Arc::clone(&node.manager) as _, Arc::clone(&quarantine) as _],
        news: vec![node.manager.learned_revision(), quarantine.news()],
        install: Arc::clone(&node.manager) as _,
        peers: Arc::clone(&node.peers) as Arc<dyn Peers>,
        transport: Arc::clone(net) as _,
        clock: Arc::new(Monotonic::start()),
        limits: Limits::default(),
        seed: u64::from(number),
        stop: node.stop.clone(),
    });
    let served = (Arc::downgrade(&gossip), Arc::clone(&node.manager));
    net.nodes.lock().unwrap().insert(own.address, served);
    Joined {
        node,
        gossip,
        quarantine,
    }
}

fn down(store: &Store) {
    store.set(Knobs {
        down: true,
        ..Knobs::default()
    });
}

/// A node that starts while the key-value service is down gets the configuration from peers.
#[tokio::test(start_paused = true)]
async fn fresh_node_while_the_service_is_down() {
    let (net, store) = (Arc::new(Net::default()), store());
    let a = join(&net, &store, 1, &[1, 2]);
    a.node.apply(&set(&[("faults", "1")])).await;
    down(&store);
    let clock = Monotonic::start();
    let b = join(&net, &store, 2, &[1, 2]);
    b.node.in_force(1).await;
    assert!(clock.now().0 < 5_000, "{}", clock.now());
    let (theirs, ours) = (a.node.manager.status(), b.node.manager.status());
    assert_eq!(theirs.digest, ours.digest);
}

/// A node that starts while nobody answers keeps trying until a peer does.
#[tokio::test(start_paused = true)]
async fn fresh_node_alone_keeps_trying() {
    let (net, store) = (Arc::new(Net::default()), store());
    let a = join(&net, &store, 1, &[1]);
    a.node.apply(&set(&[])).await;
    down(&store);
    let served = net.nodes.lock().unwrap().remove(&peer(1).address);
    let b = join(&net, &store, 2, &[1, 2]);
    tokio::time::sleep(Duration::from_mins(5)).await;
    assert_eq!(b.node.revision(), 0, "not ready");
    let address = peer(1).address;
    net.nodes.lock().unwrap().insert(address, served.unwrap());
    b.node.in_force(1).await;
}

/// A change seen by a watcher goes on to peers at once, without waiting for the next exchange.
#[tokio::test(start_paused = true)]
async fn news_goes_on_at_once() {
    let (net, store) = (Arc::new(Net::default()), store());
    let numbers: Vec<u16> = (1..=12).collect();
    let nodes: Vec<Joined> = numbers
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

/// A peer that takes connections and never answers is asked ever less often.
#[tokio::test(start_paused = true)]
async fn silent_peer_costs_little() {
    let (net, store) = (Arc::new(Net::default()), store());
    let a = join(&net, &store, 1, &[1, 2, 3]);
    let b = join(&net, &store, 2, &[1, 2, 3]);
    net.silent.lock().unwrap().push(peer(3).address);
    a.node.apply(&set(&[])).await;
    b.node.in_force(1).await;
    tokio::time::sleep(Duration::from_mins(10)).await;
    let calls = net.calls.lock().unwrap();
    let silent = calls.iter().filter(|to| **to == peer(3).address).count();
    assert!(silent < 100, "{silent} of {} calls", calls.len());
}

/// A digest that was read late doesn't make an old revision look confirmed just now.
#[tokio::test(start_paused = true)]
async fn ages_of_requests_arent_believed() {
    let (net, store) = (Arc::new(Net::default()), store());
    let a = join(&net, &store, 1, &[1]);
    a.node.apply(&set(&[])).await;
    let mut digest = Digest::default();
    chivevalve::gossip::Share::digest(&*a.node.manager, &mut digest);
    down(&store);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let before = a.node.manager.status().confirmed_age_ms.unwrap();
    digest.confirmed_age_ms = 1;
    a.gossip.exchange(digest).await;
    assert!(a.node.manager.status().confirmed_age_ms.unwrap() >= before);
}

/// A peer that was cut off for long is told what is new, and its old revision changes nothing.
#[tokio::test(start_paused = true)]
async fn old_peer_changes_nothing() {
    let (net, store) = (Arc::new(Net::default()), store());
    let a = join(&net, &store, 1, &[1, 2]);
    let b = join(&net, &store, 2, &[1, 2]);
    a.node.apply(&set(&[("faults", "1")])).await;
    b.node.in_force(1).await;
    let mut old = Digest::default();
    chivevalve::gossip::Share::digest(&*b.node.manager, &mut old);
    a.node.apply(&set(&[("plans", "1")])).await;
    b.node.in_force(2).await;
    let answer = b.gossip.exchange(old).await;
    assert_eq!(answer.operations.len(), 1, "the old peer is told");
    assert_eq!((a.node.revision(), b.node.revision()), (2, 2));
}

/// An operation that can't be read is tried and logged once, not at each exchange.
#[tokio::test(start_paused = true)]
async fn refused_operation_is_tried_once() {
    let (net, store) = (Arc::new(Net::default()), store());
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
        a.gossip.exchange(digest).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let page = a.node.metrics.render();
    let line = "chivevalve_config_events_total{kind=\"refused\"} 1\n";
    assert!(page.contains(line), "{page}");
    assert_eq!(a.node.revision(), 1);
    assert!(a.node.manager.status().refused.is_some());
}

/// A picture of the fleet with one upstream.
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

/// What one node saw of upstreams' ends is known to all within a second.
#[tokio::test(start_paused = true)]
async fn ends_reach_all_nodes() {
    let (net, store) = (Arc::new(Net::default()), store());
    let numbers: Vec<u16> = (1..=8).collect();
    let nodes: Vec<Joined> = numbers
        .iter()
        .map(|number| join(&net, &store, *number, &numbers))
        .collect();
    let poison = Fingerprint::of(&Identity {
        caller: "shop",
        model: "summary",
        method: "POST",
        host: "",
        path: "/v1/chat/completions",
        body: b"poison",
    });
    let seen = &nodes[0].quarantine;
    let (sender, followed) = tokio::sync::watch::channel(fleet(State::Usable));
    tokio::spawn(Arc::clone(seen).follow(followed));
    for _ in 0..3 {
        seen.lost(
            &fleet(State::Usable),
            &"e1".into(),
            &poison,
            Suspicion::Begun,
        );
        for state in [State::Held, State::Usable] {
            sender.send_replace(fleet(state));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let knows = |node: &Joined| node.quarantine.check(&poison).is_err();
    assert!(nodes.iter().all(knows));
}
