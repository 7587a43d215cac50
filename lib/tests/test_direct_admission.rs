//! Requests counted by the owners of engines, and what callers get by it.

mod direct_support;

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use chivevalve::clock::{Clock, Manual, Millis, Monotonic};
use chivevalve::direct::admission_policy::{self, MAX_ADMISSION_QUERIES};
use chivevalve::direct::admit::{AdmitDecision, AdmitQuery};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::UpstreamEntry;
use chivevalve::direct::limits::exchange_interval;
use chivevalve::direct::occupancy::{
    CountedRequest, EngineLoad, Occupancy, OccupancyGuard, OccupancyTable,
};
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::peer_server::serve;
use chivevalve::direct::roles::Roles;
use chivevalve::direct::selection::{Selector, mean_remote_utilization};
use chivevalve::direct::upstream::{InFlightRequest, Upstream};
use chivevalve::direct::view::{Claim, ClaimEntry, View};
use chivevalve::name::Name;
use chivevalve_platform::PlatformDialect;
use direct_support::records::{entry_revision, listed, peer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const ADAPTER: &str = "base/a1";

/// Each engine reads and writes.
static WHOLE: LazyLock<Roles> = LazyLock::new(Roles::default);

fn engine(number: u16, slots: u32, adapters: &[(&str, u64)]) -> UpstreamEntry {
    UpstreamEntry {
        address: SocketAddr::from(([127, 0, 0, 1], 9 + number)),
        slots,
        ..listed(&format!("i-{number}"), adapters)
    }
}

fn part(adapter: &Name, tokens: u32) -> CountedRequest {
    CountedRequest {
        adapter: Name::clone(adapter),
        tokens,
    }
}

#[test]
fn occupancy_counts_by_adapter() {
    let mut occupancy = Occupancy::default();
    let (one, two) = (Name::from("base/a1"), Name::from("base/a2"));
    occupancy.enter(&part(&one, 0));
    occupancy.enter(&part(&one, 0));
    occupancy.enter(&part(&two, 0));
    assert_eq!(occupancy.running(), 3);
    assert_eq!(occupancy.running_of(&one), 2);
    occupancy.leave(&part(&one, 0), Millis(1_500));
    occupancy.leave(&part(&two, 0), Millis(1_500));
    assert_eq!(occupancy.running(), 1);
    assert_eq!(occupancy.running_of(&two), 0);
}

#[test]
fn occupancy_wait_grows_with_the_queue() {
    let mut occupancy = Occupancy::default();
    let adapter = Name::from(ADAPTER);
    for _ in 0..4 {
        assert_eq!(occupancy.wait(4), Millis::ZERO);
        occupancy.enter(&part(&adapter, 0));
    }
    // One of four places is free after a quarter of the time that requests stay.
    assert_eq!(occupancy.wait(4), Millis(375));
    occupancy.enter(&part(&adapter, 0));
    assert_eq!(occupancy.wait(4), Millis(750));
    assert_eq!(occupancy.wait(0), Millis(7_500));
}

/// Prompts that are still unread count as waiting time, though places are free.
#[test]
fn occupancy_wait_counts_unread_prompts() {
    let mut occupancy = Occupancy::default();
    let request = part(&ADAPTER.into(), 1_500);
    let ahead: Vec<u64> = (0..6).map(|_| occupancy.enter(&request)).collect();
    assert_eq!(occupancy.wait(12), Millis(360));
    // They are read in half of the time that was assumed, and the owner learns it.
    for (number, ahead) in ahead.iter().enumerate() {
        let took = Millis(30 * (number as u64 + 1));
        occupancy.read(&request, *ahead, took);
        occupancy.leave(&request, Millis(1_500));
    }
    assert_eq!(occupancy.wait(12), Millis::ZERO);
    for _ in 0..6 {
        occupancy.enter(&request);
    }
    assert!(occupancy.wait(12) < Millis(330));
    for _ in 0..6 {
        occupancy.forget_unread(&request);
        occupancy.leave(&request, Millis(100));
    }
    assert_eq!(occupancy.wait(12), Millis::ZERO);
}

#[test]
fn place_dropped_is_free() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let table = Arc::new(OccupancyTable::new(clock));
    let (engine, adapter) = (Name::from("i-1"), Name::from(ADAPTER));
    let place = table.enter(&engine, part(&adapter, 0));
    assert!(table.uses("i-1", ADAPTER));
    assert_eq!(table.load(&engine, ADAPTER, 4).running, 1);
    drop(place);
    assert!(!table.uses("i-1", ADAPTER));
    assert_eq!(table.running("i-1"), 0);
}

/// A request that ends after its engine has left leaves no count behind.
#[test]
fn place_outlives_its_engine() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let table = Arc::new(OccupancyTable::new(clock));
    let place = table.enter(&"i-1".into(), part(&ADAPTER.into(), 0));
    table.retain(|_| false);
    assert_eq!(table.running("i-1"), 0);
    drop(place);
    assert_eq!(table.running("i-1"), 0);
}

#[test]
fn is_crowded_by_one_adapter_only() {
    let load = |same_adapter| EngineLoad {
        running: 8,
        same_adapter,
        wait: Millis::ZERO,
    };
    assert!(!admission_policy::is_crowded(load(3), 12, false));
    assert!(admission_policy::is_crowded(load(4), 12, false));
    assert!(admission_policy::is_crowded(load(1), 12, true));
}

/// An adapter's first engine is left only where it makes the caller wait noticeably longer.
#[test]
fn is_better_home_only_where_the_first_is_late() {
    let load = |wait| EngineLoad {
        running: 9,
        same_adapter: 0,
        wait: Millis(wait),
    };
    let better =
        |first, second| admission_policy::is_better_home(load(first), load(second), Millis(600));
    assert!(!better(300, 0));
    assert!(!better(400, 250));
    assert!(better(400, 100));
}

#[test]
fn is_calm_with_places_and_no_wait() {
    let calm = |running, wait| {
        let load = EngineLoad {
            running,
            same_adapter: 0,
            wait: Millis(wait),
        };
        admission_policy::is_calm(load, 12, Millis(600))
    };
    assert!(calm(5, 150));
    assert!(!calm(6, 0));
    assert!(!calm(0, 151));
}

#[test]
fn come_back_only_where_the_caller_would_have_gone() {
    let (objective, left) = (Millis(600), Millis(12_000));
    let back =
        |wait, passed, left| admission_policy::come_back(Millis(wait), objective, passed, left);
    assert_eq!(back(2_000, Millis::ZERO, left), None);
    assert_eq!(back(2_500, Millis::ZERO, left), Some(Millis(1_250)));
    assert_eq!(back(2_000, Millis(500), left), Some(Millis(1_000)));
    assert_eq!(back(900, Millis::ZERO, Millis(800)), Some(Millis(450)));
}

/// A node's part that talks to other nodes, with what it believes.
struct Node {
    controllers: Arc<Controllers>,
    upstream: Arc<Upstream>,
}

/// A node that believes that `owner` gives the engine its orders.
fn node(name: &str, owner: &str, at: SocketAddr, adapters: &[(&str, u64)]) -> Node {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    let upstream = {
        let mut state = view.state();
        state.put_upstream(&engine(0, 4, adapters), entry_revision(1), Millis::ZERO);
        let claim = Claim {
            node: owner.into(),
            start: 1,
            left: None,
            from: Millis::ZERO,
            boot: 0,
        };
        let upstream = Arc::clone(&state.upstreams["i-0"]);
        let standing = ClaimEntry {
            claim,
            revision: 7,
            seen: Millis::ZERO,
        };
        state.insert_claim(upstream.address, standing);
        state.nodes.insert(owner.into(), peer(at));
        upstream
    };
    if name == owner {
        ownership.acquire(upstream.address, 7, Millis::ZERO);
    }
    let controllers = Arc::new(Controllers::new(
        view,
        ownership,
        Arc::new(PlatformDialect),
        clock,
        name.into(),
        Arc::default(),
    ));
    Node {
        controllers,
        upstream,
    }
}

fn question(adapter: &Name, max_running: u32) -> AdmitQuery<'_> {
    AdmitQuery {
        adapter: Some(adapter),
        version: 0,
        max_running,
        loaded: false,
        tokens: 0,
        max_wait: Millis(150),
    }
}

/// An owner that answers over a socket, and another node that asks it.
async fn two_nodes() -> (Node, Node) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let owner = node("one", "one", at, &[(ADAPTER, 1)]);
    tokio::spawn(serve(listener, Arc::clone(&owner.controllers)));
    (owner, node("two", "one", at, &[(ADAPTER, 1)]))
}

/// Waits until the owner counts so many requests; the test ends by itself if it never does.
async fn until_counted(owner: &Node, number: u32) {
    let adapter = Name::from(ADAPTER);
    let counted = async {
        loop {
            let answer = owner
                .controllers
                .admit(&owner.upstream, question(&adapter, 1))
                .await;
            let running = match answer {
                AdmitDecision::Admitted(_, load) | AdmitDecision::Busy(load) => load.running,
                other => panic!("{other:?}"),
            };
            if running == number {
                return;
            }
            tokio::time::sleep(Millis(5).duration()).await;
        }
    };
    tokio::time::timeout(Millis::from_secs(20).duration(), counted)
        .await
        .expect("the count is never reached");
}

#[tokio::test]
async fn admit_counts_until_the_permit_is_dropped() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let first = other
        .controllers
        .admit(&other.upstream, question(&adapter, 2))
        .await;
    let second = owner
        .controllers
        .admit(&owner.upstream, question(&adapter, 2))
        .await;
    assert!(matches!(&first, AdmitDecision::Admitted(_, load) if load.running == 0));
    assert!(matches!(&second, AdmitDecision::Admitted(_, load) if load.same_adapter == 1));
    let third = other
        .controllers
        .admit(&other.upstream, question(&adapter, 2))
        .await;
    assert!(matches!(third, AdmitDecision::Busy(load) if load.running == 2));
    assert_eq!(other.upstream.total_running(), 2);
    drop(first);
    until_counted(&owner, 1).await;
}

/// Requests counted for a node that is lost are given back at the engine's owner.
#[tokio::test]
async fn admit_lost_node_gives_its_places_back() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(
            other
                .controllers
                .admit(&other.upstream, question(&adapter, 0))
                .await,
        );
    }
    until_counted(&owner, 3).await;
    // Whatever the node held goes with its process.
    drop(permits);
    drop(other);
    until_counted(&owner, 0).await;
}

#[tokio::test]
async fn admit_waits_until_prompts_are_read() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let long = AdmitQuery {
        tokens: 20_000,
        ..question(&adapter, 4)
    };
    let first = other.controllers.admit(&other.upstream, long).await;
    let AdmitDecision::Admitted(mut permit, _) = first else {
        panic!("{first:?}");
    };
    let second = other.controllers.admit(&other.upstream, long).await;
    assert!(
        matches!(second, AdmitDecision::Busy(load) if load.wait == Millis(800)),
        "{second:?}"
    );
    permit.prefill_done();
    let read = async {
        while let AdmitDecision::Busy(_) = owner.controllers.admit(&owner.upstream, long).await {
            tokio::time::sleep(Millis(5).duration()).await;
        }
    };
    tokio::time::timeout(Millis::from_secs(20).duration(), read)
        .await
        .expect("the owner never hears that the prompt is read");
    drop(permit);
    until_counted(&owner, 0).await;
}

#[tokio::test]
async fn admit_absent_adapter() {
    let (_owner, other) = two_nodes().await;
    let adapter = Name::from("base/a2");
    let answer = other
        .controllers
        .admit(&other.upstream, question(&adapter, 0))
        .await;
    assert!(matches!(answer, AdmitDecision::Absent(_)), "{answer:?}");
    let loaded = AdmitQuery {
        loaded: true,
        ..question(&adapter, 0)
    };
    let answer = other.controllers.admit(&other.upstream, loaded).await;
    assert!(matches!(answer, AdmitDecision::Admitted(..)), "{answer:?}");
}

/// An owner that doesn't answer is asked once, and costs later requests no time.
#[tokio::test(start_paused = true)]
async fn admit_silent_owner_asked_once() {
    let suspended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let asking = node(
        "two",
        "one",
        suspended.local_addr().unwrap(),
        &[(ADAPTER, 1)],
    );
    let adapter = Name::from(ADAPTER);
    for _ in 0..5 {
        let began = tokio::time::Instant::now();
        let answer = asking
            .controllers
            .admit(&asking.upstream, question(&adapter, 0))
            .await;
        assert!(matches!(answer, AdmitDecision::Unknown), "{answer:?}");
        assert!(began.elapsed() <= Millis(130).duration());
    }
    let began = tokio::time::Instant::now();
    let _ = asking
        .controllers
        .admit(&asking.upstream, question(&adapter, 0))
        .await;
    assert_eq!(began.elapsed(), std::time::Duration::ZERO);
}

/// A late answer to an admission doesn't end a load that waits at the same owner.
#[tokio::test(start_paused = true)]
async fn load_outlasts_a_late_admission() {
    let busy = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let asking = node("two", "one", busy.local_addr().unwrap(), &[(ADAPTER, 1)]);
    let wanted = Name::from("base/a2");
    let load = asking.controllers.load(&asking.upstream, &wanted, 0);
    let late = async {
        let adapter = Name::from(ADAPTER);
        let question = question(&adapter, 0);
        let answer = asking.controllers.admit(&asking.upstream, question).await;
        assert!(matches!(answer, AdmitDecision::Unknown), "{answer:?}");
        tokio::time::sleep(Millis(300).duration()).await;
    };
    tokio::select! {
        loaded = load => panic!("the load ended: {loaded:?}"),
        () = late => {}
    }
    assert!(asking.controllers.has_live_owner(&asking.upstream));
}

/// Passes bytes on from a node to another one, unless they are held back.
async fn held(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let hold = watch::Sender::new(false);
    let mut holds = hold.subscribe();
    tokio::spawn(async move {
        let (down, _) = listener.accept().await.unwrap();
        let up = TcpStream::connect(to).await.unwrap();
        let (mut from_owner, mut to_owner) = up.into_split();
        let (mut from_node, mut to_node) = down.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_owner, &mut to_node).await });
        let mut bytes = Vec::new();
        loop {
            holds.wait_for(|held| !held).await.unwrap();
            to_owner.write_all(&bytes).await.unwrap();
            bytes.clear();
            if from_node.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
        }
    });
    (address, hold)
}

/// Many admissions given up at once don't reset the connection that carries a node's counts.
#[tokio::test]
async fn admit_counts_outlast_many_late_questions() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let owner = node("one", "one", at, &[(ADAPTER, 1)]);
    tokio::spawn(serve(listener, Arc::clone(&owner.controllers)));
    let (address, hold) = held(at).await;
    let other = node("two", "one", address, &[(ADAPTER, 1)]);
    let adapter = Name::from(ADAPTER);
    let answer = other
        .controllers
        .admit(&other.upstream, question(&adapter, 0));
    let AdmitDecision::Admitted(permit, _) = answer.await else {
        panic!("there is no place");
    };
    hold.send_replace(true);
    let late = (0..60).map(|_| {
        other
            .controllers
            .admit(&other.upstream, question(&adapter, 0))
    });
    for answer in futures::future::join_all(late).await {
        assert!(matches!(answer, AdmitDecision::Unknown), "{answer:?}");
    }
    hold.send_replace(false);
    tokio::time::sleep(Millis(300).duration()).await;
    until_counted(&owner, 1).await;
    drop(permit);
    until_counted(&owner, 0).await;
}

/// The load of a fleet: a popular adapter on a part of the engines, many nodes before them.
const NODES: usize = 195;
const ENGINES: u16 = 24;
const SLOTS: u32 = 12;
/// Time that a request has a place.
const STAY: Millis = Millis(1_500);
/// Requests each ten milliseconds: two thirds of what the engines can do.
const EACH_STEP: f64 = 1.28;
const STEP: Millis = Millis(10);
const PLAYED: Millis = Millis(30_000);
/// Within it a request has to begin.
const OBJECTIVE: Millis = Millis(600);

/// An engine: requests begin in order as places get free.
#[derive(Default)]
struct Engine {
    running: Vec<Request>,
    queue: Vec<Request>,
}

struct Request {
    came: Millis,
    ends: Millis,
    /// Counts it at its node and at the engine's owner until it ends.
    _counted: (InFlightRequest, OccupancyGuard),
}

/// Plays the load and returns the share of requests that began later than the objective.
#[allow(clippy::cast_precision_loss, reason = "some thousand requests")]
fn late_share(asks: bool) -> f64 {
    let clock = Arc::new(Manual::default());
    let shared: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
    let table = Arc::new(OccupancyTable::new(shared));
    let adapter = Name::from(ADAPTER);
    let nodes: Vec<Vec<Arc<Upstream>>> = (0..NODES)
        .map(|_| {
            let entries = (0..ENGINES).map(|number| engine(number, SLOTS, &[(ADAPTER, 1)]));
            entries
                .map(|entry| Arc::new(Upstream::new(&entry, entry_revision(1), 8, Millis::ZERO)))
                .collect()
        })
        .collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut rng = Pcg64::seed_from_u64(7);
    let mut due = 0.0;
    let (mut begun, mut late) = (0_u32, 0_u32);
    while clock.now() < PLAYED {
        clock.advance(STEP);
        let now = clock.now();
        for engine in &mut engines {
            engine.running.retain(|request| request.ends > now);
            while engine.running.len() < SLOTS as usize && !engine.queue.is_empty() {
                let mut request = engine.queue.remove(0);
                begun += 1;
                late += u32::from(now.since(request.came) > OBJECTIVE);
                request.ends = now + STAY;
                engine.running.push(request);
            }
        }
        for (number, upstreams) in nodes.iter().enumerate() {
            let exchanges = exchange_interval(NODES).0 / STEP.0;
            if (now.0 / STEP.0) % exchanges == number as u64 % exchanges {
                for upstream in upstreams {
                    let all = table.running(&upstream.incarnation);
                    upstream.record_remote_load(all - upstream.running(), now);
                }
            }
        }
        due += EACH_STEP;
        while due >= 1.0 {
            due -= 1.0;
            let upstreams = &nodes[rng.random_range(0..NODES)];
            let field = Selector {
                upstreams,
                tried: &[],
                home: "hall-a",
                now,
                salt: 7,
                pause: None,
                roles: &WHOLE,
                id: rng.random(),
                usual: asks.then(|| mean_remote_utilization(upstreams)),
            };
            let chosen = if asks {
                ask(&field, &table)
            } else {
                field.least_loaded(|_| true).unwrap()
            };
            let request = Request {
                came: now,
                ends: Millis::MAX,
                _counted: (
                    chosen.start_request(Some(&adapter), None),
                    table.enter(&chosen.incarnation, part(&adapter, 0)),
                ),
            };
            let at = usize::from(chosen.address.port() - 9);
            engines[at].queue.push(request);
        }
    }
    drop(engines);
    f64::from(late) / f64::from(begun)
}

/// Asks owners as a request does: the better ones first, then the least busy of them.
fn ask(field: &Selector<'_>, table: &OccupancyTable) -> Arc<Upstream> {
    let mut asked: Vec<(Millis, u32, Arc<Upstream>)> = Vec::new();
    while asked.len() < MAX_ADMISSION_QUERIES {
        let fresh = |upstream: &Upstream| {
            let same = |(_, _, one): &(Millis, u32, Arc<Upstream>)| {
                one.incarnation == upstream.incarnation
            };
            !asked.iter().any(same)
        };
        let upstream = field.least_loaded(fresh).unwrap();
        let load = table.load(&upstream.incarnation, ADAPTER, upstream.slots);
        upstream.record_remote_load(load.running - upstream.running(), field.now);
        if load.running < admission_policy::calm_limit(upstream.slots) {
            return upstream;
        }
        asked.push((load.wait, load.running, upstream));
    }
    asked.sort_by_key(|(wait, running, _)| (*wait, *running));
    asked.remove(0).2
}

/// Requests for a popular adapter begin in time, which nodes that go by old news alone miss.
#[test]
fn ask_popular_adapter_begins_in_time() {
    let before = late_share(false);
    let after = late_share(true);
    assert!(before > 0.25, "{before}");
    assert!(after < 0.01, "{after}");
}
