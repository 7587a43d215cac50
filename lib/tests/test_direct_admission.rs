//! Admission of requests by the owners of engines, and its effect on latency.

mod direct_support;

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use chivevalve::clock::{Clock, Manual, Millis, Monotonic};
use chivevalve::direct::admission_policy::{self, MAX_ADMISSION_QUERIES};
use chivevalve::direct::admit::{AdmitDecision, AdmitQuery};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::{RejectionNotice, UpstreamEntry};
use chivevalve::direct::limits::exchange_interval;
use chivevalve::direct::occupancy::{
    CountedRequest, EngineLoad, Occupancy, OccupancyGuard, OccupancyTable,
};
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::peer_server::serve;
use chivevalve::direct::roles::Roles;
use chivevalve::direct::selection::{Selector, mean_remote_utilization};
use chivevalve::direct::tunnel;
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

/// No prefill engines: each engine does both prefill and decode.
static AGGREGATED: LazyLock<Roles> = LazyLock::new(Roles::default);

fn engine(number: u16, slots: u32, adapters: &[(&str, u64)]) -> UpstreamEntry {
    UpstreamEntry {
        address: SocketAddr::from(([127, 0, 0, 1], 9 + number)),
        slots,
        ..listed(&format!("i-{number}"), adapters)
    }
}

fn counted(adapter: &Name, prompt_tokens: u32) -> CountedRequest {
    CountedRequest {
        adapter: Name::clone(adapter),
        prompt_tokens,
    }
}

#[test]
fn occupancy_counts_by_adapter() {
    let mut occupancy = Occupancy::default();
    let (one, two) = (Name::from("base/a1"), Name::from("base/a2"));
    occupancy.add(&counted(&one, 0));
    occupancy.add(&counted(&one, 0));
    occupancy.add(&counted(&two, 0));
    assert_eq!(occupancy.running(), 3);
    assert_eq!(occupancy.running_with(&one), 2);
    occupancy.remove(&counted(&one, 0), Millis(1_500));
    occupancy.remove(&counted(&two, 0), Millis(1_500));
    assert_eq!(occupancy.running(), 1);
    assert_eq!(occupancy.running_with(&two), 0);
}

#[test]
fn occupancy_wait_grows_with_the_queue() {
    let mut occupancy = Occupancy::default();
    let adapter = Name::from(ADAPTER);
    for _ in 0..4 {
        assert_eq!(occupancy.expected_wait(4), Millis::ZERO);
        occupancy.add(&counted(&adapter, 0));
    }
    // One of four slots is free after a quarter of the mean duration.
    assert_eq!(occupancy.expected_wait(4), Millis(375));
    occupancy.add(&counted(&adapter, 0));
    assert_eq!(occupancy.expected_wait(4), Millis(750));
    assert_eq!(occupancy.expected_wait(0), Millis(7_500));
}

/// Prompts whose prefill is pending count as waiting time even if slots are free.
#[test]
fn occupancy_wait_counts_unread_prompts() {
    let mut occupancy = Occupancy::default();
    let request = counted(&ADAPTER.into(), 1_500);
    let backlogs: Vec<u64> = (0..6).map(|_| occupancy.add(&request)).collect();
    assert_eq!(occupancy.expected_wait(12), Millis(360));
    // Prefill takes half of the assumed time, which the estimate follows.
    for (number, backlog) in backlogs.iter().enumerate() {
        let took = Millis(30 * (number as u64 + 1));
        occupancy.record_prefill(&request, *backlog, took);
        occupancy.remove(&request, Millis(1_500));
    }
    assert_eq!(occupancy.expected_wait(12), Millis::ZERO);
    for _ in 0..6 {
        occupancy.add(&request);
    }
    assert!(occupancy.expected_wait(12) < Millis(330));
    for _ in 0..6 {
        occupancy.cancel_prefill(&request);
        occupancy.remove(&request, Millis(100));
    }
    assert_eq!(occupancy.expected_wait(12), Millis::ZERO);
}

#[test]
fn occupancy_guard_dropped_frees_the_slot() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let table = Arc::new(OccupancyTable::new(clock));
    let (engine, adapter) = (Name::from("i-1"), Name::from(ADAPTER));
    let guard = table.start_request(&engine, counted(&adapter, 0));
    assert!(table.uses("i-1", ADAPTER));
    assert_eq!(table.load(&engine, ADAPTER, 4).running, 1);
    drop(guard);
    assert!(!table.uses("i-1", ADAPTER));
    assert_eq!(table.running("i-1"), 0);
}

/// A request that ends after its engine was removed leaves no count behind.
#[test]
fn occupancy_guard_outlives_its_engine() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let table = Arc::new(OccupancyTable::new(clock));
    let guard = table.start_request(&"i-1".into(), counted(&ADAPTER.into(), 0));
    table.retain(|_| false);
    assert_eq!(table.running("i-1"), 0);
    drop(guard);
    assert_eq!(table.running("i-1"), 0);
}

#[test]
fn needs_replica_for_one_adapter_only() {
    let load = |same_adapter| EngineLoad {
        running: 8,
        same_adapter,
        wait: Millis::ZERO,
    };
    assert!(!admission_policy::needs_replica(load(3), 12, false));
    assert!(admission_policy::needs_replica(load(4), 12, false));
    assert!(admission_policy::needs_replica(load(1), 12, true));
}

/// An adapter's second engine is preferred only if the first one makes the caller wait noticeably
/// longer.
#[test]
fn prefers_second_engine_only_if_the_first_is_late() {
    let load = |wait| EngineLoad {
        running: 9,
        same_adapter: 0,
        wait: Millis(wait),
    };
    let prefers_second = |first, second| {
        admission_policy::prefers_second_engine(load(first), load(second), Millis(600))
    };
    assert!(!prefers_second(300, 0));
    assert!(!prefers_second(400, 250));
    assert!(prefers_second(400, 100));
}

#[test]
fn is_lightly_loaded_with_slots_and_no_wait() {
    let is_light = |running, wait| {
        let load = EngineLoad {
            running,
            same_adapter: 0,
            wait: Millis(wait),
        };
        admission_policy::is_lightly_loaded(load, 12, Millis(600))
    };
    assert!(is_light(5, 150));
    assert!(!is_light(6, 0));
    assert!(!is_light(0, 151));
}

#[test]
fn retry_after_only_if_the_caller_would_give_up() {
    let (objective, left) = (Millis(600), Millis(12_000));
    let retry_after =
        |wait, passed, left| admission_policy::retry_after(Millis(wait), objective, passed, left);
    assert_eq!(retry_after(2_000, Millis::ZERO, left), None);
    assert_eq!(retry_after(2_500, Millis::ZERO, left), Some(Millis(1_250)));
    assert_eq!(retry_after(2_000, Millis(500), left), Some(Millis(1_000)));
    assert_eq!(
        retry_after(900, Millis::ZERO, Millis(800)),
        Some(Millis(450))
    );
}

/// The controllers of a node, with the upstream that they admit requests to.
struct Node {
    controllers: Arc<Controllers>,
    upstream: Arc<Upstream>,
}

/// A node whose view has `owner` as the owner of the engine.
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
            exclusive_from: None,
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

fn admit_query(adapter: &Name, max_running: u32) -> AdmitQuery<'_> {
    AdmitQuery {
        adapter: Some(adapter),
        version: 0,
        max_running,
        loaded: false,
        report_only: false,
        assumed_limit: None,
        tokens: 0,
        max_wait: Millis(150),
    }
}

/// An owner that serves queries on a socket, and another node that sends them.
async fn two_nodes() -> (Node, Node) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let owner = node("one", "one", at, &[(ADAPTER, 1)]);
    tokio::spawn(serve(
        listener,
        Arc::clone(&owner.controllers),
        tunnel::Server::new(Arc::clone(&owner.controllers)),
    ));
    (owner, node("two", "one", at, &[(ADAPTER, 1)]))
}

/// Waits until the owner counts `number` requests; fails after a timeout.
async fn until_counted(owner: &Node, number: u32) {
    let adapter = Name::from(ADAPTER);
    let counted = async {
        loop {
            let answer = owner
                .controllers
                .admit(&owner.upstream, admit_query(&adapter, 1))
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

/// A request that another node than the owner counts doesn't lose its adapter to an eviction.
#[tokio::test]
async fn admit_with_a_limit_reports_the_adapter() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    for (limit, reported) in [
        (RejectionNotice::Unlimited, 0),
        (RejectionNotice::Limit(4), 1),
    ] {
        other
            .upstream
            .record_notice(limit, owner.controllers.clock.now());
        let query = admit_query(&adapter, 0);
        let AdmitDecision::Admitted(permit, _) =
            other.controllers.admit(&other.upstream, query).await
        else {
            panic!("the owner admits any number");
        };
        let running = other.upstream.start_request(Some(&adapter), Some(permit));
        assert_eq!(other.upstream.uncounted_adapters().len(), reported);
        drop(running);
    }
}

#[tokio::test]
async fn admit_counts_until_the_permit_is_dropped() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let first = other
        .controllers
        .admit(&other.upstream, admit_query(&adapter, 2))
        .await;
    let second = owner
        .controllers
        .admit(&owner.upstream, admit_query(&adapter, 2))
        .await;
    assert!(matches!(&first, AdmitDecision::Admitted(_, load) if load.running == 0));
    assert!(matches!(&second, AdmitDecision::Admitted(_, load) if load.same_adapter == 1));
    let third = other
        .controllers
        .admit(&other.upstream, admit_query(&adapter, 2))
        .await;
    assert!(matches!(third, AdmitDecision::Busy(load) if load.running == 2));
    assert_eq!(other.upstream.total_running(), 2);
    drop(first);
    until_counted(&owner, 1).await;
}

/// Requests of a node that is lost are no longer counted by the engine's owner.
#[tokio::test]
async fn admit_lost_node_frees_its_slots() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(
            other
                .controllers
                .admit(&other.upstream, admit_query(&adapter, 0))
                .await,
        );
    }
    until_counted(&owner, 3).await;
    // The permits end with the process of the node.
    drop(permits);
    drop(other);
    until_counted(&owner, 0).await;
}

#[tokio::test]
async fn admit_busy_until_prompts_are_prefilled() {
    let (owner, other) = two_nodes().await;
    let adapter = Name::from(ADAPTER);
    let long = AdmitQuery {
        tokens: 20_000,
        ..admit_query(&adapter, 4)
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
        .admit(&other.upstream, admit_query(&adapter, 0))
        .await;
    assert!(matches!(answer, AdmitDecision::Absent(_)), "{answer:?}");
    let loaded = AdmitQuery {
        loaded: true,
        ..admit_query(&adapter, 0)
    };
    let answer = other.controllers.admit(&other.upstream, loaded).await;
    assert!(matches!(answer, AdmitDecision::Admitted(..)), "{answer:?}");
}

/// An owner that doesn't answer is queried once, and later requests don't wait for it.
#[tokio::test(start_paused = true)]
async fn admit_silent_owner_queried_once() {
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
            .admit(&asking.upstream, admit_query(&adapter, 0))
            .await;
        assert!(matches!(answer, AdmitDecision::Unknown), "{answer:?}");
        assert!(began.elapsed() <= Millis(130).duration());
    }
    let began = tokio::time::Instant::now();
    let _ = asking
        .controllers
        .admit(&asking.upstream, admit_query(&adapter, 0))
        .await;
    assert_eq!(began.elapsed(), std::time::Duration::ZERO);
}

/// A timed-out admission query doesn't end a load that is pending at the same owner.
#[tokio::test(start_paused = true)]
async fn load_outlasts_a_late_admission() {
    let busy = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let asking = node("two", "one", busy.local_addr().unwrap(), &[(ADAPTER, 1)]);
    let wanted = Name::from("base/a2");
    let load = asking.controllers.load(&asking.upstream, &wanted, 0);
    let late = async {
        let adapter = Name::from(ADAPTER);
        let query = admit_query(&adapter, 0);
        let answer = asking.controllers.admit(&asking.upstream, query).await;
        assert!(matches!(answer, AdmitDecision::Unknown), "{answer:?}");
        tokio::time::sleep(Millis(300).duration()).await;
    };
    tokio::select! {
        loaded = load => panic!("the load ended: {loaded:?}"),
        () = late => {}
    }
    assert!(asking.controllers.has_live_owner(&asking.upstream));
}

/// Proxies a connection from one node to another, which can hold back the bytes to the latter.
async fn holding_proxy(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
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

/// Many admission queries that time out at once don't reset the connection that keeps a node's
/// requests counted.
#[tokio::test]
async fn admit_counts_outlast_many_late_queries() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let owner = node("one", "one", at, &[(ADAPTER, 1)]);
    tokio::spawn(serve(
        listener,
        Arc::clone(&owner.controllers),
        tunnel::Server::new(Arc::clone(&owner.controllers)),
    ));
    let (address, hold) = holding_proxy(at).await;
    let other = node("two", "one", address, &[(ADAPTER, 1)]);
    let adapter = Name::from(ADAPTER);
    let answer = other
        .controllers
        .admit(&other.upstream, admit_query(&adapter, 0));
    let AdmitDecision::Admitted(permit, _) = answer.await else {
        panic!("the request is not admitted");
    };
    hold.send_replace(true);
    let late = (0..60).map(|_| {
        other
            .controllers
            .admit(&other.upstream, admit_query(&adapter, 0))
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

/// Simulated fleet: many nodes send requests for a popular adapter that some of the engines hold.
const NODES: usize = 195;
const ENGINES: u16 = 24;
const SLOTS: u32 = 12;
/// Time for which a request occupies a slot.
const DURATION: Millis = Millis(1_500);
/// Requests per step: two thirds of the capacity of the engines.
const REQUESTS_PER_STEP: f64 = 1.28;
const STEP: Millis = Millis(10);
const SIMULATED_TIME: Millis = Millis(30_000);
/// Time within which a request must start.
const OBJECTIVE: Millis = Millis(600);

/// Simulated engine, which starts requests in order as slots become free.
#[derive(Default)]
struct Engine {
    running: Vec<Request>,
    queue: Vec<Request>,
}

struct Request {
    arrived_at: Millis,
    ends_at: Millis,
    /// Keeps the request counted at its node and at the engine's owner.
    _counted: (InFlightRequest, OccupancyGuard),
}

/// Simulates the fleet and returns the fraction of requests that start later than the objective.
#[allow(clippy::cast_precision_loss, reason = "some thousand requests")]
fn late_fraction(queries_owners: bool) -> f64 {
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
    while clock.now() < SIMULATED_TIME {
        clock.advance(STEP);
        let now = clock.now();
        for engine in &mut engines {
            engine.running.retain(|request| request.ends_at > now);
            while engine.running.len() < SLOTS as usize && !engine.queue.is_empty() {
                let mut request = engine.queue.remove(0);
                begun += 1;
                late += u32::from(now.since(request.arrived_at) > OBJECTIVE);
                request.ends_at = now + DURATION;
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
        due += REQUESTS_PER_STEP;
        while due >= 1.0 {
            due -= 1.0;
            let upstreams = &nodes[rng.random_range(0..NODES)];
            let selector = Selector {
                upstreams,
                tried: &[],
                local_domain: "hall-a",
                now,
                affinity_seed: 7,
                max_event_gap: None,
                roles: &AGGREGATED,
                request_hash: rng.random(),
                remote_prior: queries_owners.then(|| mean_remote_utilization(upstreams)),
            };
            let chosen = if queries_owners {
                query_owners(&selector, &table)
            } else {
                selector.least_loaded(|_| true).unwrap()
            };
            let request = Request {
                arrived_at: now,
                ends_at: Millis::MAX,
                _counted: (
                    chosen.start_request(Some(&adapter), None),
                    table.start_request(&chosen.incarnation, counted(&adapter, 0)),
                ),
            };
            let at = usize::from(chosen.address.port() - 9);
            engines[at].queue.push(request);
        }
    }
    drop(engines);
    f64::from(late) / f64::from(begun)
}

/// Queries owners as a request does, the best first, and returns the least busy engine.
fn query_owners(selector: &Selector<'_>, table: &OccupancyTable) -> Arc<Upstream> {
    let mut queried: Vec<(Millis, u32, Arc<Upstream>)> = Vec::new();
    while queried.len() < MAX_ADMISSION_QUERIES {
        let fresh = |upstream: &Upstream| {
            let same = |(_, _, one): &(Millis, u32, Arc<Upstream>)| {
                one.incarnation == upstream.incarnation
            };
            !queried.iter().any(same)
        };
        let upstream = selector.least_loaded(fresh).unwrap();
        let load = table.load(&upstream.incarnation, ADAPTER, upstream.slots);
        upstream.record_remote_load(load.running - upstream.running(), selector.now);
        if load.running < admission_policy::light_load_limit(upstream.slots) {
            return upstream;
        }
        queried.push((load.wait, load.running, upstream));
    }
    queried.sort_by_key(|(wait, running, _)| (*wait, *running));
    queried.remove(0).2
}

/// Requests for a popular adapter start in time if nodes query the owners, and many start late if
/// nodes only use old exchanged counts.
#[test]
fn query_owners_popular_adapter_starts_in_time() {
    let before = late_fraction(false);
    let after = late_fraction(true);
    assert!(before > 0.25, "{before}");
    assert!(after < 0.01, "{after}");
}
