//! Who gives orders to an engine, through losses of nodes, leases and keys.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use async_trait::async_trait;
use chivevalve::clock::{Clock, Manual, Millis, Monotonic};
use chivevalve::direct::claim::{Claimer, Refusal, Voters};
use chivevalve::direct::config::{Config, Engine, Pool, RequestLimits};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::{Dialect, LoadedModels, UpstreamEntry};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::{LEASE_TTL, Limits, OWNERSHIP_TERM, SharedLimits};
use chivevalve::direct::orders::LoadOutcome;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::view::{Claim, ClaimEntry, Peer, View};
use chivevalve::ports::{Lease, Store};
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::memory::MemoryStore;
use direct_support::records::entry_revision;
use tokio::task::JoinHandle;

/// All other nodes, which say yes or no as the test wants.
#[derive(Debug, Default)]
struct Others {
    vote: AtomicBool,
    /// Rounds that still go wrong before that.
    unheard: AtomicU32,
}

#[async_trait]
impl Voters for Others {
    fn others(&self) -> Option<Vec<SocketAddr>> {
        Some(vec![address()])
    }

    async fn refusals(&self, asked: &[SocketAddr], _: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        let unheard = self.unheard.load(Ordering::SeqCst);
        self.unheard
            .store(unheard.saturating_sub(1), Ordering::SeqCst);
        if unheard == 0 && self.vote.load(Ordering::SeqCst) {
            return Vec::new();
        }
        let refusal = |&peer| Refusal {
            peer,
            reason: "as the test wants".to_owned(),
        };
        asked.iter().map(refusal).collect()
    }
}

/// A node's claims without the rest of it.
struct Node {
    clock: Arc<Manual>,
    ownership: Arc<Ownership>,
    claimer: Arc<Claimer>,
    others: Arc<Others>,
    limits: Arc<SharedLimits>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn node(name: &str, memory: &Arc<MemoryStore>, first_start: bool) -> Node {
    start(name, 1, memory, first_start)
}

fn start(name: &str, start: u64, memory: &Arc<MemoryStore>, first_start: bool) -> Node {
    let view = Arc::new(View::default());
    know_engine(&view);
    start_with(view, name, start, memory, first_start)
}

fn start_with(
    view: Arc<View>,
    name: &str,
    start: u64,
    memory: &Arc<MemoryStore>,
    first_start: bool,
) -> Node {
    // All starts on one VM count from its boot.
    let now = Millis(100_000 * start);
    start_at(now, view, name, start, memory, first_start)
}

fn start_at(
    now: Millis,
    view: Arc<View>,
    name: &str,
    start: u64,
    memory: &Arc<MemoryStore>,
    first_start: bool,
) -> Node {
    let clock = Arc::new(Manual::default());
    clock.advance(now);
    let shared: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
    let ownership = Arc::new(Ownership::new(Arc::clone(&shared), Arc::clone(&view)));
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let limits = Arc::new(SharedLimits::default());
    let follower = Follower::new(
        Arc::<MemoryStore>::clone(memory),
        Arc::<MemoryStore>::clone(memory),
        Arc::clone(&dialect),
        Arc::clone(&shared),
        Arc::clone(&view),
        Arc::clone(&limits),
    );
    let others = Arc::new(Others::default());
    let claimer = Arc::new(Claimer {
        store: Arc::<MemoryStore>::clone(memory) as Arc<dyn Store>,
        lease: Arc::<MemoryStore>::clone(memory) as Arc<dyn Lease>,
        voters: Arc::<Others>::clone(&others),
        dialect,
        clock: shared,
        view,
        ownership: Arc::clone(&ownership),
        metrics: Arc::default(),
        limits: Arc::clone(&limits),
        node: name.into(),
        peer: Peer {
            address: address(),
            start,
            failure_domain: "hall-a".into(),
        },
        boot: 1,
        first_start,
    });
    let tasks = vec![
        tokio::spawn(follower.run()),
        tokio::spawn(Arc::clone(&claimer).run()),
    ];
    Node {
        clock,
        ownership,
        claimer,
        others,
        limits,
        tasks,
    }
}

fn know_engine(view: &View) {
    let engine = Engine {
        max_batch: 8,
        adapter_slots: 4,
        kv_capacity_tokens: 100,
        model_load_times: Vec::new(),
    };
    let pool = Pool {
        max_connections: 10,
        engine: Some(engine),
    };
    let pools = [("engines".into(), pool)].into_iter().collect();
    let mut state = view.state();
    state.apply_config(Config::new(1, Vec::new(), pools, RequestLimits::default()));
    state.put_upstream(&listed(), entry_revision(1), Millis(100_000));
}

fn listed() -> UpstreamEntry {
    UpstreamEntry {
        incarnation: "i-1".into(),
        pool: "engines".into(),
        address: address(),
        failure_domain: "hall-a".into(),
        slots: 8,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
        held: LoadedModels::default(),
    }
}

/// The engine's entry, so that reading everything does not drop it.
fn list_engine(memory: &MemoryStore) {
    let entry = SERVER;
    memory.change(|state| state.put("servers/i-1", entry, None));
}

/// Lets time pass at all nodes alike.
async fn pass(nodes: &[&Node], span: Millis) {
    let step = Millis(50);
    for _ in 0..span.0 / step.0 {
        for node in nodes {
            node.clock.advance(step);
        }
        tokio::time::sleep(step.duration()).await;
    }
}

/// A service that lists the engine, and the node that owns it.
async fn owner() -> (Arc<MemoryStore>, Node) {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(3_000)).await;
    (memory, one)
}

fn claim_key(memory: &MemoryStore) -> Option<String> {
    memory
        .state()
        .entries
        .keys()
        .find(|key| key.starts_with("chivevalve/claim/"))
        .cloned()
}

#[tokio::test(start_paused = true)]
async fn claim_first_start_orders_at_once() {
    let (_memory, one) = owner().await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A node claims no engine before its record tells others where to ask it.
#[tokio::test(start_paused = true)]
async fn claim_only_with_a_record() {
    let (memory, one) = owner().await;
    assert!(one.ownership.fencing_token(address()).is_some());
    let key = PlatformDialect.own_key("node/one");
    assert!(memory.state().entries.contains_key(&key));
}

#[tokio::test(start_paused = true)]
async fn claim_one_of_two() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    let (one, two) = (node("one", &memory, true), node("two", &memory, true));
    pass(&[&one, &two], Millis(5_000)).await;
    let rights = [&one, &two].map(|node| node.ownership.fencing_token(address()).is_some());
    assert!(rights[0] != rights[1], "{rights:?}");
}

/// A node that finds no claim waits out an owner that may still give orders.
#[tokio::test(start_paused = true)]
async fn claim_later_start_waits_first() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    let one = node("one", &memory, false);
    pass(&[&one], Millis(4_900)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], Millis(1_000)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A node whose claim was taken away gives no further orders, though its lease is renewed.
#[tokio::test(start_paused = true)]
async fn right_ends_with_a_claim_taken_away() {
    let (memory, one) = owner().await;
    let former = one.ownership.fencing_token(address()).unwrap();
    let key = claim_key(&memory).unwrap();
    memory.change(|state| state.is_unavailable = true);
    pass(&[&one], Millis(4_000)).await;
    assert_eq!(one.ownership.fencing_token(address()), None);
    let other = r#"{"node":"two","start":1,"left":null}"#;
    memory.change(|state| {
        state.is_unavailable = false;
        state.remove(&key);
        state.put(&key, other, None);
    });
    for _ in 0..100 {
        pass(&[&one], Millis(50)).await;
        assert_ne!(one.ownership.fencing_token(address()), Some(former));
    }
}

/// A node that was suspended gives no orders under a right that ended meanwhile.
#[tokio::test(start_paused = true)]
async fn right_ends_while_suspended() {
    let (_memory, one) = owner().await;
    assert!(one.ownership.fencing_token(address()).is_some());
    one.clock.advance(OWNERSHIP_TERM);
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// A dead node's engine gets a new owner, though not before the old right and a turn have passed.
#[tokio::test(start_paused = true)]
async fn claim_taken_over_after_a_death() {
    let (memory, one) = owner().await;
    let former = one.ownership.fencing_token(address()).unwrap();
    let two = node("two", &memory, true);
    pass(&[&two], Millis(1_500)).await;
    drop(one);
    let leases = memory.state().leases.clone();
    memory.change(|state| state.end_lease(leases[0]));
    let waited = OWNERSHIP_TERM + Limits::default().order_gap;
    pass(&[&two], waited).await;
    assert_eq!(two.ownership.fencing_token(address()), None);
    pass(&[&two], LEASE_TTL).await;
    assert!(two.ownership.fencing_token(address()).unwrap() > former);
}

/// After a planned stop a successor gives orders sooner than it may after a death.
#[tokio::test(start_paused = true)]
async fn claim_handed_over_in_order() {
    let (memory, one) = owner().await;
    let two = node("two", &memory, true);
    pass(&[&one, &two], Millis(1_500)).await;
    one.claimer.leave().await.unwrap();
    assert_eq!(one.ownership.fencing_token(address()), None);
    drop(one);
    pass(&[&two], Millis(3_000)).await;
    assert!(two.ownership.fencing_token(address()).is_some());
}

/// A node that starts again takes its claims back at once, instead of waiting itself out.
#[tokio::test(start_paused = true)]
async fn claim_of_former_start_is_taken_back() {
    let (memory, one) = owner().await;
    let former = one.ownership.fencing_token(address()).unwrap();
    drop(one);
    let again = start("one", 2, &memory, false);
    pass(&[&again], Millis(1_000)).await;
    assert!(again.ownership.fencing_token(address()).unwrap() > former);
}

/// An owner that has given an order leaves, and another node claims its engine.
async fn claimed_behind_an_order() -> (Arc<MemoryStore>, Node) {
    let (memory, one) = owner().await;
    let two = node("two", &memory, false);
    pass(&[&one, &two], Millis(1_500)).await;
    one.ownership.record_order(address());
    one.claimer.leave().await.unwrap();
    drop(one);
    pass(&[&two], Millis(1_500)).await;
    assert!(two.ownership.owns(address()));
    assert_eq!(two.ownership.fencing_token(address()), None);
    (memory, two)
}

/// A node that ends while it waits for its turn gives orders at once in its next start.
#[tokio::test(start_paused = true)]
async fn claim_of_former_start_waits_as_that_one_did() {
    let (memory, two) = claimed_behind_an_order().await;
    let now = two.clock.now();
    drop(two);
    let view = Arc::new(View::default());
    know_engine(&view);
    let again = start_at(now, view, "two", 2, &memory, false);
    pass(&[&again], Millis(500)).await;
    assert!(again.ownership.owns(address()));
    assert_eq!(again.ownership.fencing_token(address()), None);
    pass(&[&again], Millis(2_000)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
}

/// A node that leaves while it waits for its turn has its successor give orders at once.
#[tokio::test(start_paused = true)]
async fn claim_handed_over_before_its_turn_waits_on() {
    let (memory, one) = owner().await;
    let (two, three) = (node("two", &memory, false), node("three", &memory, false));
    pass(&[&one, &two, &three], Millis(2_500)).await;
    one.ownership.record_order(address());
    one.claimer.leave().await.unwrap();
    drop(one);
    while !two.ownership.owns(address()) && !three.ownership.owns(address()) {
        pass(&[&two, &three], Millis(50)).await;
    }
    let (first, second) = if two.ownership.owns(address()) {
        (two, three)
    } else {
        (three, two)
    };
    first.claimer.leave().await.unwrap();
    drop(first);
    while !second.ownership.owns(address()) {
        pass(&[&second], Millis(50)).await;
    }
    assert_eq!(second.ownership.fencing_token(address()), None);
    pass(&[&second], Millis(3_500)).await;
    assert!(second.ownership.fencing_token(address()).is_some());
}

/// A node that has given its claims up doesn't claim them again with its next renewal.
#[tokio::test(start_paused = true)]
async fn claim_not_made_after_leaving() {
    let (_memory, one) = owner().await;
    one.claimer.leave().await.unwrap();
    pass(&[&one], Millis(3_000)).await;
    assert!(!one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// In an outage an owner goes on by the votes of all others, and for no longer than they vote.
#[tokio::test(start_paused = true)]
async fn right_lasts_through_an_outage_that_all_have() {
    let (memory, one) = owner().await;
    one.others.vote.store(true, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    for _ in 0..20 {
        pass(&[&one], Millis(500)).await;
        assert!(one.ownership.fencing_token(address()).is_some());
    }
    // One that is not out of touch may see the claim vanish, and succeed.
    one.others.vote.store(false, Ordering::SeqCst);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert_eq!(one.ownership.fencing_token(address()), None);
    // A vote comes too late for a right that has ended.
    one.others.vote.store(true, Ordering::SeqCst);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// A claim that lapsed in an outage goes back to its living owner, whom nobody has to wait out.
#[tokio::test(start_paused = true)]
async fn claim_lapsed_in_an_outage_goes_back_to_its_owner() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    let names = ["one", "two", "three"];
    let nodes: Vec<Node> = names.iter().map(|name| node(name, &memory, true)).collect();
    let all: Vec<&Node> = nodes.iter().collect();
    pass(&all, Millis(4_000)).await;
    let owner = |nodes: &[&Node]| {
        nodes
            .iter()
            .position(|node| node.ownership.fencing_token(address()).is_some())
    };
    let before = owner(&all);
    assert!(before.is_some());
    let leases = memory.state().leases.clone();
    memory.change(|state| {
        for lease in leases {
            state.end_lease(lease);
        }
    });
    pass(&all, Millis(2_500)).await;
    assert_eq!(owner(&all), before);
}

/// A node that was suspended takes its claim back at once, though another owner that the votes of
/// all others extend may have come and lapsed meanwhile.
#[tokio::test(start_paused = true)]
async fn claim_taken_back_after_a_suspension_waits() {
    let (memory, one) = owner().await;
    assert!(one.ownership.fencing_token(address()).is_some());
    let key = claim_key(&memory).unwrap();
    let leases = memory.state().leases.clone();
    let other = r#"{"node":"two","start":1,"left":null}"#;
    memory.change(|state| {
        state.end_lease(leases[0]);
        state.put(&key, other, None);
        state.remove(&key);
        state.drop_history();
    });
    one.clock.advance(Millis(10_000));
    let waited = OWNERSHIP_TERM + Limits::default().order_gap;
    for _ in 0..waited.0 / 50 {
        pass(&[&one], Millis(50)).await;
        assert_eq!(one.ownership.fencing_token(address()), None);
    }
    pass(&[&one], LEASE_TTL).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A vote lost on a dead connection is asked for again before the right ends.
#[tokio::test(start_paused = true)]
async fn right_lasts_when_a_first_question_is_lost() {
    let (memory, one) = owner().await;
    one.others.vote.store(true, Ordering::SeqCst);
    one.others.unheard.store(2, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    for _ in 0..20 {
        pass(&[&one], Millis(500)).await;
        assert!(one.ownership.fencing_token(address()).is_some());
    }
}

/// A node that starts in an outage waits for previous owners from the outage's end, not its start.
#[tokio::test(start_paused = true)]
async fn claim_after_a_start_in_an_outage_waits_from_its_end() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    memory.change(|state| state.is_unavailable = true);
    let one = node("one", &memory, false);
    pass(&[&one], Millis(10_000)).await;
    memory.change(|state| state.is_unavailable = false);
    pass(&[&one], Millis(3_000)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], OWNERSHIP_TERM + Limits::default().order_gap).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A node that has not begun, or has left, can't succeed an owner and votes for it.
#[tokio::test(start_paused = true)]
async fn votes_for_before_it_begins_and_after_it_left() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    memory.change(|state| state.is_unavailable = true);
    let one = node("one", &memory, false);
    let owned = [(address(), 7)];
    pass(&[&one], Millis(3_000)).await;
    assert!(one.ownership.votes_for("two", &owned));
    memory.change(|state| state.is_unavailable = false);
    pass(&[&one], Millis(1_500)).await;
    assert!(!one.ownership.votes_for("two", &owned));
    one.claimer.leave().await.unwrap();
    assert!(one.ownership.votes_for("two", &owned));
}

/// A node that reaches the service votes for an owner whose claims it sees stand, and no other.
#[tokio::test(start_paused = true)]
async fn votes_for_claims_that_stand() {
    let (_memory, one) = owner().await;
    let token = one.ownership.fencing_token(address()).unwrap();
    assert!(one.ownership.votes_for("one", &[(address(), token)]));
    assert!(!one.ownership.votes_for("one", &[(address(), token + 1)]));
    assert!(!one.ownership.votes_for("two", &[(address(), token)]));
}

/// A node's orders, without the rest of it.
fn controllers(clock: Arc<dyn Clock>, view: Arc<View>) -> Controllers {
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    Controllers::new(
        view,
        ownership,
        Arc::new(PlatformDialect),
        clock,
        "one".into(),
        Arc::default(),
    )
}

/// A node whose process has ended counts as a vote, one that doesn't answer as a refusal.
#[tokio::test]
async fn refusals_nobody_listens() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let view = Arc::new(View::default());
    let controllers = controllers(clock, view);
    let open = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = open.local_addr().unwrap();
    let ended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = ended.local_addr().unwrap();
    drop(ended);
    let refusals = controllers
        .refusals(&[dead, silent], &[(address(), 7)])
        .await;
    let peers: Vec<SocketAddr> = refusals.iter().map(|refusal| refusal.peer).collect();
    assert_eq!(peers, [silent]);
}

/// A load at an owner that is suspended is given up soon, for another engine to be tried.
#[tokio::test(start_paused = true)]
async fn load_at_a_silent_owner() {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    know_engine(&view);
    let suspended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let upstream = own_by(&view, "two", suspended.local_addr().unwrap());
    let controllers = Arc::new(controllers(clock, view));
    let running = tokio::spawn(Arc::clone(&controllers).run());
    let began = tokio::time::Instant::now();
    let loaded = controllers.load(&upstream, &"base/a1".into(), 0).await;
    assert_eq!(loaded, LoadOutcome::Failed);
    assert!(began.elapsed() < Millis(2_000).duration());
    running.abort();
}

/// Has a node own the engine, and be asked at an address.
fn own_by(view: &View, node: &str, address: SocketAddr) -> Arc<Upstream> {
    let mut state = view.state();
    let claim = Claim {
        node: node.into(),
        start: 1,
        left: None,
        from: Millis::ZERO,
        boot: 0,
    };
    let standing = ClaimEntry {
        claim,
        revision: 7,
        seen: Millis::ZERO,
    };
    state.insert_claim(self::address(), standing);
    let peer = Peer {
        address,
        start: 1,
        failure_domain: "hall-a".into(),
    };
    state.nodes.insert(node.into(), peer);
    Arc::clone(&state.upstreams["i-1"])
}

/// A node hands over engines beyond its share, and two nodes never give orders to one.
#[tokio::test(start_paused = true)]
async fn claims_beyond_a_share_are_handed_over() {
    let memory = Arc::new(MemoryStore::default());
    let engines = 8;
    list_engines(&memory, engines);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(4_000)).await;
    assert_eq!(one.ownership.owned_count(), engines);
    // Its view is up to four seconds old.
    one.limits.set(Limits {
        config_apply: Millis::from_secs(10),
        leave_notice: Millis::from_secs(10),
        ..Limits::default()
    });
    let two = node("two", &memory, false);
    let three = node("three", &memory, false);
    let four = node("four", &memory, false);
    let all = [&one, &two, &three, &four];
    for _ in 0..400 {
        // Heartbeats of engines keep followers in the pause between two calls.
        memory.change(|state| state.put("servers/i-1", SERVER, None));
        pass(&all, Millis(50)).await;
        for port in 9..17 {
            let engine = SocketAddr::from(([127, 0, 0, 1], port));
            let orders = all.map(|node| node.ownership.fencing_token(engine).is_some());
            let givers = orders.iter().filter(|gives| **gives).count();
            assert!(givers <= 1, "{engine}: {orders:?}");
        }
    }
    let owned = all.map(|node| node.ownership.owned_count());
    assert_eq!(owned.iter().sum::<usize>(), engines, "{owned:?}");
    assert!(owned[0] <= 4, "{owned:?}");
}

/// Lists so many engines, at ports of their own.
fn list_engines(memory: &MemoryStore, engines: usize) {
    for number in 0..engines {
        let entry = SERVER.replace("127.0.0.1:9", &format!("127.0.0.1:{}", 9 + number));
        memory.change(|state| state.put(&format!("servers/i-{}", number + 1), entry, None));
    }
}

/// Engines claimed by others meanwhile don't fail a node's other claims round after round.
#[tokio::test(start_paused = true)]
async fn claims_taken_though_news_is_late() {
    let engines: u16 = 320;
    let memory = Arc::new(MemoryStore::default());
    list_engines(&memory, engines.into());
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let nodes: Vec<Node> = names.iter().map(|name| node(name, &memory, true)).collect();
    let all: Vec<&Node> = nodes.iter().collect();
    // Their calls for changes pause for four seconds, which their claims don't know of.
    let late = Limits {
        config_apply: Millis::from_secs(10),
        leave_notice: Millis::from_secs(10),
        ..Limits::default()
    };
    for limits in [late, Limits::default()] {
        for node in &all {
            node.limits.set(limits);
        }
        pass(&all, Millis(1_000)).await;
    }
    pass(&all, Millis(4_000)).await;
    let owned: Vec<usize> = all
        .iter()
        .map(|node| node.ownership.owned_count())
        .collect();
    assert_eq!(
        owned.iter().sum::<usize>(),
        usize::from(engines),
        "{owned:?}"
    );
}

/// A later start of a node that knows nothing but what the service tells.
fn start_again(name: &str, memory: &Arc<MemoryStore>) -> Node {
    let config = r#"{"version":1,"routes":[],"services":[{"name":"engines","maxConns":10,
        "engine":{"slots":8,"kvCapacity":100,"adapterSlots":4,"models":[]}}]}"#;
    memory.change(|state| state.put("op/config", config, None));
    start_with(Arc::default(), name, 2, memory, false)
}

/// Lists under a prefix take so long from now on.
fn slow(memory: &MemoryStore, prefix: &str, span: Millis) {
    memory.change(|state| state.slow_listing = Some((prefix.to_owned(), span)));
}

/// A node takes its previous start's claims back before they end, though engines are still read.
#[tokio::test(start_paused = true)]
async fn claim_of_former_start_is_kept_while_engines_are_read() {
    let (memory, one) = owner().await;
    drop(one);
    let former = memory.state().leases[0];
    slow(&memory, "servers/", Millis::from_secs(5));
    let again = start_again("one", &memory);
    pass(&[&again], Millis(1_500)).await;
    memory.change(|state| state.end_lease(former));
    assert!(claim_key(&memory).is_some(), "the claim ended");
    pass(&[&again], Millis(4_000)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
}

/// A node's record is written before its lease ends, though reading the claims takes longer.
#[tokio::test(start_paused = true)]
async fn record_does_not_wait_for_claims() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    slow(&memory, "chivevalve/", Millis::from_secs(4));
    let one = start_again("one", &memory);
    pass(&[&one], Millis(1_000)).await;
    let key = PlatformDialect.own_key("node/one");
    assert!(memory.state().entries.contains_key(&key));
}

/// A claim that vanished while claims were read is waited out from when they were read.
#[tokio::test(start_paused = true)]
async fn claim_unknown_waits_from_when_claims_were_read() {
    let memory = Arc::new(MemoryStore::default());
    list_engine(&memory);
    slow(&memory, "chivevalve/", Millis::from_secs(4));
    let one = start_again("one", &memory);
    pass(&[&one], Millis(9_000)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], Millis(1_500)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}
