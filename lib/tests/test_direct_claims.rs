//! Which node may send orders to an engine, when nodes, leases and keys are lost.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::dialect::Dialect;
use chivevalve::direct::limits::{LEASE_TTL, Limits, OWNERSHIP_TERM};
use chivevalve::direct::orders::LoadOutcome;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::view::{Claim, ClaimEntry, Peer, View};
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::claimer::{
    Node, add_engine, address, controllers, node, pass, start, start_at, start_with, store_engine,
};
use direct_support::memory::MemoryStore;

/// Longer than the first moments of a deployment, in which owners don't extend their terms.
const FIRST_MOMENTS: Millis = Millis::from_secs(5);

/// Returns a service with the engine's entry, and the node that owns the engine.
async fn owner() -> (Arc<MemoryStore>, Node) {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
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

/// A node claims no engine before its record tells other nodes its address.
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
    store_engine(&memory);
    let (one, two) = (node("one", &memory, true), node("two", &memory, true));
    pass(&[&one, &two], Millis(5_000)).await;
    let may_order = [&one, &two].map(|node| node.ownership.fencing_token(address()).is_some());
    assert!(may_order[0] != may_order[1], "{may_order:?}");
}

/// A node that finds no claim waits in case an unknown owner may still send orders.
#[tokio::test(start_paused = true)]
async fn claim_later_start_waits_first() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, false);
    pass(&[&one], Millis(4_900)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], Millis(1_000)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A node whose claim was deleted sends no more orders, though its lease is renewed.
#[tokio::test(start_paused = true)]
async fn ownership_ends_with_a_deleted_claim() {
    let (memory, one) = owner().await;
    let previous = one.ownership.fencing_token(address()).unwrap();
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
        assert_ne!(one.ownership.fencing_token(address()), Some(previous));
    }
}

/// A node that was suspended sends no orders if its ownership ended in the meantime.
#[tokio::test(start_paused = true)]
async fn ownership_ends_while_suspended() {
    let (_memory, one) = owner().await;
    assert!(one.ownership.fencing_token(address()).is_some());
    one.clock.advance(OWNERSHIP_TERM);
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// A dead node's engine gets a new owner, which sends no orders before the ownership term and the
/// minimum gap have passed.
#[tokio::test(start_paused = true)]
async fn claim_taken_over_after_a_crash() {
    let (memory, one) = owner().await;
    let previous = one.ownership.fencing_token(address()).unwrap();
    let two = node("two", &memory, true);
    pass(&[&two], Millis(1_500)).await;
    drop(one);
    let leases = memory.state().leases.clone();
    memory.change(|state| state.end_lease(leases[0]));
    let waited = OWNERSHIP_TERM + Limits::default().order_gap;
    pass(&[&two], waited).await;
    assert_eq!(two.ownership.fencing_token(address()), None);
    pass(&[&two], LEASE_TTL).await;
    assert!(two.ownership.fencing_token(address()).unwrap() > previous);
}

/// After a planned stop a successor may send orders sooner than after a crash.
#[tokio::test(start_paused = true)]
async fn claim_handed_over_on_a_planned_stop() {
    let (memory, one) = owner().await;
    let two = node("two", &memory, true);
    pass(&[&one, &two], Millis(1_500)).await;
    one.claimer.leave().await.unwrap();
    assert_eq!(one.ownership.fencing_token(address()), None);
    drop(one);
    pass(&[&two], Millis(3_000)).await;
    assert!(two.ownership.fencing_token(address()).is_some());
}

/// A restarted node reclaims its engines at once, without waiting for its own ownership to end.
#[tokio::test(start_paused = true)]
async fn claim_of_previous_start_is_reclaimed() {
    let (memory, one) = owner().await;
    let previous = one.ownership.fencing_token(address()).unwrap();
    drop(one);
    let again = start("one", 2, &memory, false);
    pass(&[&again], Millis(1_000)).await;
    assert!(again.ownership.fencing_token(address()).unwrap() > previous);
}

/// An owner sends an order and leaves, and another node claims its engine.
async fn claimed_after_an_order() -> (Arc<MemoryStore>, Node) {
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

/// A node that restarts while it waits for the previous owner waits only for the remaining time.
#[tokio::test(start_paused = true)]
async fn claim_of_previous_start_waits_the_remaining_time() {
    let (memory, two) = claimed_after_an_order().await;
    let now = two.clock.now();
    drop(two);
    let view = Arc::new(View::default());
    add_engine(&view);
    let again = start_at(now, view, "two", 2, &memory, false);
    pass(&[&again], Millis(500)).await;
    assert!(again.ownership.owns(address()));
    assert_eq!(again.ownership.fencing_token(address()), None);
    pass(&[&again], Millis(2_000)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
}

/// If a node leaves while it waits for the previous owner, its successor waits for the remaining
/// time.
#[tokio::test(start_paused = true)]
async fn claim_handed_over_while_waiting_waits_the_remaining_time() {
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

/// A node that has released its claims doesn't make them again with its next renewal.
#[tokio::test(start_paused = true)]
async fn claim_not_made_after_leaving() {
    let (_memory, one) = owner().await;
    one.claimer.leave().await.unwrap();
    pass(&[&one], Millis(3_000)).await;
    assert!(!one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// A release that the service carries out late doesn't end the claim of the node's next start.
#[tokio::test(start_paused = true)]
async fn leave_carried_out_after_the_next_start() {
    let (memory, one) = owner().await;
    let two = node("two", &memory, true);
    pass(&[&one, &two], Millis(1_500)).await;
    memory.change(|state| state.delays_commits = true);
    one.claimer.leave().await.unwrap_err();
    drop(one);
    memory.change(|state| state.delays_commits = false);
    let again = start("one", 2, &memory, false);
    pass(&[&again, &two], Millis(1_500)).await;
    let token = again.ownership.fencing_token(address());
    assert!(token.is_some());
    assert_eq!(memory.commit_late(), 0);
    for _ in 0..100 {
        pass(&[&again, &two], Millis(50)).await;
        assert_eq!(again.ownership.fencing_token(address()), token);
        assert_eq!(two.ownership.fencing_token(address()), None);
    }
}

/// A stop releases all claims that are still the node's own, though others have changed.
#[tokio::test(start_paused = true)]
async fn leave_with_a_changed_claim() {
    let engines = 20;
    let memory = Arc::new(MemoryStore::default());
    store_engines(&memory, engines);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(4_000)).await;
    assert_eq!(one.ownership.owned_count(), engines);
    let changed = [claim_key_of(9), claim_key_of(17)];
    let other = r#"{"node":"two","start":1,"left":null}"#;
    memory.change(|state| {
        state.put(&changed[0], other, None);
        state.remove(&changed[1]);
    });
    one.claimer.leave().await.unwrap();
    let state = memory.state();
    assert_eq!(state.entries[&changed[0]].value, other);
    assert!(!state.entries.contains_key(&changed[1]));
    for port in 9..29 {
        let key = claim_key_of(port);
        if !changed.contains(&key) {
            let claim: Claim = serde_json::from_slice(&state.entries[&key].value).unwrap();
            assert!(claim.left.is_some(), "{key} is not released");
        }
    }
}

/// A record that the service writes late doesn't replace the one that the node has written since.
#[tokio::test(start_paused = true)]
async fn record_carried_out_late() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    memory.change(|state| state.delays_commits = true);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(500)).await;
    memory.change(|state| state.delays_commits = false);
    pass(&[&one], Millis(3_000)).await;
    let key = PlatformDialect.own_key("node/one");
    let lease = memory.state().entries[&key].lease;
    assert_eq!(memory.commit_late(), 0);
    assert_eq!(memory.state().entries[&key].lease, lease);
}

/// The record of an earlier start is replaced, though its lease still lives.
#[tokio::test(start_paused = true)]
async fn record_of_a_previous_start_is_replaced() {
    let (memory, one) = owner().await;
    drop(one);
    let key = PlatformDialect.own_key("node/one");
    let before = memory.state().entries[&key].clone();
    let again = start("one", 2, &memory, false);
    pass(&[&again], Millis(500)).await;
    let after = memory.state().entries[&key].clone();
    assert_ne!(after.lease, before.lease);
    assert_ne!(after.value, before.value);
}

/// Owners don't ask a node for its vote whose record was deleted while its lease goes on.
#[tokio::test(start_paused = true)]
async fn record_deleted_is_written_again() {
    let (memory, one) = owner().await;
    let key = PlatformDialect.own_key("node/one");
    memory.change(|state| state.remove(&key));
    pass(&[&one], Millis(3_000)).await;
    assert!(memory.state().entries.contains_key(&key));
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// Starts a node again at once, with the clock of its VM.
fn start_at_once(previous: Node, name: &str, memory: &Arc<MemoryStore>) -> Node {
    let now = previous.clock.now();
    drop(previous);
    let view = Arc::new(View::default());
    add_engine(&view);
    start_at(now, view, name, 2, memory, false)
}

/// A node that was killed after an order, and leaves after its restart, lets its successor order
/// too soon.
#[tokio::test(start_paused = true)]
async fn leave_counts_orders_of_the_previous_start() {
    let (memory, one) = owner().await;
    one.ownership.record_order(address());
    let again = start_at_once(one, "one", &memory);
    pass(&[&again], Millis(500)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
    again.claimer.leave().await.unwrap();
    let key = claim_key(&memory).unwrap();
    let claim: Claim = serde_json::from_slice(&memory.state().entries[&key].value).unwrap();
    assert!(claim.left.unwrap() <= Millis(500), "{claim:?}");
}

/// A node that voted for an owner before its first lease takes its claim back and orders beside it.
#[tokio::test(start_paused = true)]
async fn claim_taken_back_after_a_vote_waits() {
    let (memory, one) = owner().await;
    memory.change(|state| state.is_unavailable = true);
    let again = start_at_once(one, "one", &memory);
    pass(&[&again], Millis(300)).await;
    assert!(again.ownership.votes_for("two", &[(address(), 1)]));
    memory.change(|state| state.is_unavailable = false);
    pass(&[&again], OWNERSHIP_TERM + Millis(2_000)).await;
    assert!(again.ownership.owns(address()));
    assert_eq!(again.ownership.fencing_token(address()), None);
    pass(&[&again], Millis(2_000)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
}

/// On the first start of a deployment a node with a late lease takes an engine for one without an
/// earlier owner, whose claim has expired while it still orders.
#[tokio::test(start_paused = true)]
async fn claim_first_start_with_a_late_lease_waits() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    memory.change(|state| state.is_unavailable = true);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(4_000)).await;
    memory.change(|state| state.is_unavailable = false);
    pass(&[&one], Millis(3_500)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], OWNERSHIP_TERM + Limits::default().order_gap).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A deletion that is older than a node's claim ends that claim.
#[tokio::test(start_paused = true)]
async fn claim_outlives_an_older_deletion() {
    let (_memory, one) = owner().await;
    let token = one.ownership.fencing_token(address()).unwrap();
    let now = one.clock.now();
    one.view.state().remove_claim(address(), token - 1, now);
    assert_eq!(one.ownership.fencing_token(address()), Some(token));
}

/// Returns the key of the claim on the engine at a port.
fn claim_key_of(port: u16) -> String {
    PlatformDialect.own_key(&format!("claim/127.0.0.1:{port}"))
}

/// In an outage an owner's term is extended by the votes of all others, as long as they vote.
#[tokio::test(start_paused = true)]
async fn ownership_extended_through_an_outage() {
    let (memory, one) = owner().await;
    pass(&[&one], FIRST_MOMENTS).await;
    one.others.vote.store(true, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    for _ in 0..20 {
        pass(&[&one], Millis(500)).await;
        assert!(one.ownership.fencing_token(address()).is_some());
    }
    // A node that reaches the service may see the claim expire, and take over.
    one.others.vote.store(false, Ordering::SeqCst);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert_eq!(one.ownership.fencing_token(address()), None);
    // A vote after the end of the term has no effect.
    one.others.vote.store(true, Ordering::SeqCst);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// A claim that expired in an outage goes back to its owner if that is alive, as it needn't wait.
#[tokio::test(start_paused = true)]
async fn claim_expired_in_an_outage_goes_back_to_its_owner() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
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

/// An owner that has waited for the one before it waits for it again once its own claim expires.
#[tokio::test(start_paused = true)]
async fn claim_expired_after_waiting_goes_back_to_its_owner() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = start("one", 2, &memory, false);
    pass(&[&one], Millis::from_secs(9)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
    let lease = memory.state().leases[0];
    memory.change(|state| state.end_lease(lease));
    pass(&[&one], Millis(1_500)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}

/// A node that was suspended claims its engine again, but waits before it sends orders: another
/// owner may have come and expired in the meantime, and may be extended by votes.
#[tokio::test(start_paused = true)]
async fn claim_made_again_after_a_suspension_waits() {
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

/// The second engine's address in [`store_engines`].
fn second() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10))
}

/// Passes until a node may send an engine orders; returns how long that took.
async fn time_to_orders(one: &Node, engine: SocketAddr) -> Millis {
    let began = one.clock.now();
    while one.ownership.fencing_token(engine).is_none() {
        pass(&[one], Millis(50)).await;
    }
    one.clock.now().since(began)
}

/// A node that reads everything again takes an engine over beside an owner that came and lost its
/// claim meanwhile.
#[tokio::test(start_paused = true)]
async fn claim_behind_a_gap_in_the_history_waits() {
    let memory = Arc::new(MemoryStore::default());
    store_engines(&memory, 1);
    let one = node("one", &memory, false);
    pass(&[&one], Millis(12_000)).await;
    memory.change(|state| state.is_unavailable = true);
    pass(&[&one], Millis(1_000)).await;
    memory.change(|state| {
        let entry = SERVER.replace("127.0.0.1:9", "127.0.0.1:10");
        state.put("servers/i-2", entry, None);
        let claim = r#"{"node":"two","start":1,"left":null}"#;
        state.put(&claim_key_of(10), claim, None);
        state.remove(&claim_key_of(10));
        state.drop_history();
        state.is_unavailable = false;
    });
    let waited = time_to_orders(&one, second()).await;
    assert!(
        waited >= OWNERSHIP_TERM + Limits::default().order_gap,
        "{waited}"
    );
}

/// A claim that the service carries out late is adopted beside an owner that came and lost its claim
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn claim_carried_out_late_waits() {
    let memory = Arc::new(MemoryStore::default());
    store_engines(&memory, 1);
    let one = node("one", &memory, false);
    pass(&[&one], Millis(12_000)).await;
    let entry = SERVER.replace("127.0.0.1:9", "127.0.0.1:10");
    memory.change(|state| {
        state.delays_commits = true;
        state.put("servers/i-2", entry, None);
    });
    pass(&[&one], Millis(2_500)).await;
    assert!(!memory.state().late.is_empty());
    memory.change(|state| {
        state.delays_commits = false;
        let claim = r#"{"node":"two","start":1,"left":null}"#;
        state.put(&claim_key_of(10), claim, None);
    });
    pass(&[&one], Millis(2_000)).await;
    assert!(!one.ownership.owns(second()));
    memory.change(|state| state.remove(&claim_key_of(10)));
    assert_eq!(memory.commit_late(), 1);
    let waited = time_to_orders(&one, second()).await;
    assert!(
        waited >= OWNERSHIP_TERM + Limits::default().order_gap,
        "{waited}"
    );
}

/// A vote lost on a dead connection is requested again before the term ends.
#[tokio::test(start_paused = true)]
async fn ownership_extended_though_first_votes_are_lost() {
    let (memory, one) = owner().await;
    pass(&[&one], FIRST_MOMENTS).await;
    one.others.vote.store(true, Ordering::SeqCst);
    one.others.lost_rounds.store(2, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    for _ in 0..20 {
        pass(&[&one], Millis(500)).await;
        assert!(one.ownership.fencing_token(address()).is_some());
    }
}

/// A node that starts in an outage waits for previous owners from the end of the outage, not from
/// its own start.
#[tokio::test(start_paused = true)]
async fn claim_after_a_start_in_an_outage_waits_from_its_end() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
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

/// A node without a first lease can't take over and votes for the owner.
#[tokio::test(start_paused = true)]
async fn votes_for_without_a_lease() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    memory.change(|state| state.is_unavailable = true);
    let one = node("one", &memory, false);
    let owned = [(address(), 7)];
    pass(&[&one], Millis(3_000)).await;
    assert!(one.ownership.votes_for("two", &owned));
    memory.change(|state| state.is_unavailable = false);
    pass(&[&one], Millis(1_500)).await;
    assert!(!one.ownership.votes_for("two", &owned));
}

/// A node that leaves votes for an owner whose claim it has seen vanish.
#[tokio::test(start_paused = true)]
async fn votes_for_after_leaving() {
    let (memory, one) = owner().await;
    let two = node("two", &memory, false);
    pass(&[&one, &two], Millis(1_500)).await;
    let owned = [(address(), one.ownership.fencing_token(address()).unwrap())];
    two.claimer.leave().await.unwrap();
    assert!(two.ownership.votes_for("one", &owned));
    let key = claim_key(&memory).unwrap();
    memory.change(|state| state.remove(&key));
    pass(&[&one, &two], Millis(1_500)).await;
    assert!(!two.ownership.votes_for("one", &owned));
}

/// A node that reaches the service votes only for an owner whose claims are in its view.
#[tokio::test(start_paused = true)]
async fn votes_for_current_claims() {
    let (_memory, one) = owner().await;
    let token = one.ownership.fencing_token(address()).unwrap();
    assert!(one.ownership.votes_for("one", &[(address(), token)]));
    assert!(!one.ownership.votes_for("one", &[(address(), token + 1)]));
    assert!(!one.ownership.votes_for("two", &[(address(), token)]));
}

/// A load at a suspended owner fails soon, so that another engine can be tried.
#[tokio::test(start_paused = true)]
async fn load_at_an_unresponsive_owner() {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    add_engine(&view);
    let suspended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let upstream = set_owner(&view, "two", suspended.local_addr().unwrap());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    let controllers = Arc::new(controllers("one", view, ownership, clock));
    let running = tokio::spawn(Arc::clone(&controllers).run());
    let began = tokio::time::Instant::now();
    let loaded = controllers.load(&upstream, &"base/a1".into(), 0).await;
    assert_eq!(loaded, LoadOutcome::Failed);
    assert!(began.elapsed() < Millis(2_000).duration());
    running.abort();
}

/// Makes `node` the owner of the engine, reachable at `address`.
fn set_owner(view: &View, node: &str, address: SocketAddr) -> Arc<Upstream> {
    let mut state = view.state();
    let claim = Claim {
        node: node.into(),
        start: 1,
        left: None,
        from: Millis::ZERO,
        boot: 0,
        exclusive_from: None,
    };
    let entry = ClaimEntry {
        claim,
        revision: 7,
        seen: Millis::ZERO,
    };
    state.insert_claim(self::address(), entry);
    let peer = Peer {
        address,
        start: 1,
        failure_domain: "hall-a".into(),
    };
    state.nodes.insert(node.into(), peer);
    Arc::clone(&state.upstreams["i-1"])
}

/// A node hands over engines beyond its share, and two nodes never send orders to one engine.
#[tokio::test(start_paused = true)]
async fn claims_beyond_a_share_are_handed_over() {
    let memory = Arc::new(MemoryStore::default());
    let engines = 8;
    store_engines(&memory, engines);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(4_000)).await;
    assert_eq!(one.ownership.owned_count(), engines);
    // With these limits its view is up to four seconds old.
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
        // Heartbeats of engines make each follower's call return at once and pause until the next.
        memory.change(|state| state.put("servers/i-1", SERVER, None));
        pass(&all, Millis(50)).await;
        for port in 9..17 {
            let engine = SocketAddr::from(([127, 0, 0, 1], port));
            let orders = all.map(|node| node.ownership.fencing_token(engine).is_some());
            let orderers = orders.iter().filter(|may_order| **may_order).count();
            assert!(orderers <= 1, "{engine}: {orders:?}");
        }
    }
    let owned = all.map(|node| node.ownership.owned_count());
    assert_eq!(owned.iter().sum::<usize>(), engines, "{owned:?}");
    assert!(owned[0] <= 4, "{owned:?}");
}

/// A node hands over engines whose previous owner may go on, so that nobody ever orders them.
#[tokio::test(start_paused = true)]
async fn claims_beyond_a_share_are_kept_while_waiting() {
    let memory = Arc::new(MemoryStore::default());
    store_engines(&memory, 8);
    for gone in ["gone-1", "gone-2", "gone-3"] {
        let key = format!("chivevalve/registration/{gone}");
        memory.change(|state| state.put(&key, r#"{"is_settled":true}"#, None));
    }
    let one = start("one", 2, &memory, false);
    pass(&[&one], Millis(4_000)).await;
    assert_eq!(one.ownership.owned_count(), 8);
    let others = ["two", "three", "four"].map(|name| node(name, &memory, false));
    let all = [&one, &others[0], &others[1], &others[2]];
    pass(&all, Millis::from_secs(15)).await;
    assert_eq!(one.ownership.owned_count(), 8);
    assert_eq!(one.ownership.fencing_token(address()), None);
}

/// Stores entries of engines, each at its own port.
fn store_engines(memory: &MemoryStore, engines: usize) {
    for number in 0..engines {
        let entry = SERVER.replace("127.0.0.1:9", &format!("127.0.0.1:{}", 9 + number));
        memory.change(|state| state.put(&format!("servers/i-{}", number + 1), entry, None));
    }
}

/// Engines that other nodes have claimed unnoticed don't fail a node's other claims in each round.
#[tokio::test(start_paused = true)]
async fn claims_made_with_a_late_view() {
    let engines: u16 = 320;
    let memory = Arc::new(MemoryStore::default());
    store_engines(&memory, engines.into());
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let nodes: Vec<Node> = names.iter().map(|name| node(name, &memory, true)).collect();
    let all: Vec<&Node> = nodes.iter().collect();
    // Polls for changes are four seconds apart, while the claims go by the default limits.
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

/// Restarts a node with an empty view, and puts the configuration into the service.
fn start_again(name: &str, memory: &Arc<MemoryStore>) -> Node {
    let config = r#"{"version":1,"routes":[],"services":[{"name":"engines","maxConns":10,
        "engine":{"slots":8,"kvCapacity":100,"adapterSlots":4,"models":[]}}]}"#;
    memory.change(|state| state.put("op/config", config, None));
    start_with(Arc::default(), name, 2, memory, false)
}

/// Makes listings under a prefix take `span`.
fn slow(memory: &MemoryStore, prefix: &str, span: Millis) {
    memory.change(|state| state.slow_listing = Some((prefix.to_owned(), span)));
}

/// A node reclaims its previous start's engines before the claims expire, though the engines'
/// entries are still being read.
#[tokio::test(start_paused = true)]
async fn claim_of_previous_start_is_reclaimed_while_engines_are_read() {
    let (memory, one) = owner().await;
    drop(one);
    let previous = memory.state().leases[0];
    slow(&memory, "servers/", Millis::from_secs(5));
    let again = start_again("one", &memory);
    pass(&[&again], Millis(1_500)).await;
    memory.change(|state| state.end_lease(previous));
    assert!(claim_key(&memory).is_some(), "the claim ended");
    pass(&[&again], Millis(4_000)).await;
    assert!(again.ownership.fencing_token(address()).is_some());
}

/// A node's record is written before its lease expires, though reading the claims takes longer.
#[tokio::test(start_paused = true)]
async fn record_does_not_wait_for_claims() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    slow(&memory, "chivevalve/", Millis::from_secs(4));
    let one = start_again("one", &memory);
    pass(&[&one], Millis(1_000)).await;
    let key = PlatformDialect.own_key("node/one");
    assert!(memory.state().entries.contains_key(&key));
}

/// A claim may have expired while claims were read: the node waits from when they were read.
#[tokio::test(start_paused = true)]
async fn claim_unknown_waits_from_when_claims_were_read() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    slow(&memory, "chivevalve/", Millis::from_secs(4));
    let one = start_again("one", &memory);
    pass(&[&one], Millis(9_000)).await;
    assert!(one.ownership.owns(address()));
    assert_eq!(one.ownership.fencing_token(address()), None);
    pass(&[&one], Millis(1_500)).await;
    assert!(one.ownership.fencing_token(address()).is_some());
}
