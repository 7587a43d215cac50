//! What a node concludes from the registrations that it knows, and which ones are kept.

mod direct_support;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use chivevalve::clock::{Clock, Millis};
use chivevalve::direct::limits::{LEASE_TTL, OWNERSHIP_TERM, POLL_TIMEOUT};
use chivevalve::direct::registration::{
    EXTENSION_LIMIT, RETIREMENT, Register, Registration, Served,
};
use chivevalve::direct::view::Peer;
use chivevalve::name::Name;
use direct_support::claimer::{Node, address, node, pass, start, store_engine};
use direct_support::memory::MemoryStore;
use direct_support::records::peer;

/// When the nodes in a register have had their records since.
const BEGIN: Millis = Millis(100_000);

/// Time after which records without a restart show that their nodes object to an extension.
const OUTVOTED_AFTER: Millis =
    Millis(LEASE_TTL.0 + POLL_TIMEOUT.0 + LEASE_TTL.0 + OWNERSHIP_TERM.0);

fn name(index: usize) -> Name {
    format!("node-{index}").into()
}

/// A register of settled nodes, of which the first ones have records.
fn register(registered: usize, recorded: usize) -> Register {
    let mut register = Register::default();
    for index in 0..registered {
        register.put(name(index), Registration { is_settled: true }, 1, BEGIN);
    }
    for index in 0..recorded {
        register.add_record(&name(index), 1, BEGIN);
    }
    register
}

fn nodes(count: usize) -> HashMap<Name, Peer> {
    (0..count)
        .map(|index| (name(index), peer(address())))
        .collect()
}

/// The service has served this node without a failure from `BEGIN` on.
fn served_until(until: Millis) -> Served {
    Served {
        since: BEGIN,
        until,
    }
}

/// An owner goes on with half of the nodes or fewer, while the others may have a successor.
#[test]
fn majority_needs_more_than_half() {
    for (registered, known, expected) in [
        (1, 1, true),
        (2, 1, false),
        (2, 2, true),
        (6, 2, false),
        (7, 3, false),
        (7, 4, true),
        (8, 4, false),
        (8, 5, true),
        (320, 160, false),
        (320, 161, true),
    ] {
        let register = register(registered, known);
        let has_majority = register.has_majority("node-0", &nodes(known));
        assert_eq!(has_majority, expected, "{known} of {registered}");
    }
}

/// An owner that other nodes don't count among the registered ones votes for itself.
#[test]
fn majority_needs_the_own_registration() {
    assert!(!register(3, 3).has_majority("another", &nodes(3)));
}

/// A successor waits no longer than before where every registered node has a record.
#[test]
fn exclusive_once_all_have_records() {
    let mut register = register(3, 2);
    let gone_at = BEGIN + Millis(1_000);
    let later = gone_at + Millis(500);
    assert_eq!(
        register.exclusive_since("node-0", gone_at, served_until(later)),
        None
    );
    register.add_record(&name(2), 2, later);
    let exclusive = register.exclusive_since("node-0", gone_at, served_until(later));
    assert_eq!(exclusive, Some(later));
}

/// A successor that is served with a minority alone doesn't conclude that the owner has ended.
#[test]
fn exclusive_needs_as_many_as_may_vote() {
    let until = BEGIN + OUTVOTED_AFTER;
    for (registered, recorded, expected) in
        [(2, 1, true), (7, 4, true), (8, 4, true), (7, 3, false)]
    {
        let register = register(registered, recorded);
        let exclusive = register.exclusive_since("node-0", BEGIN, served_until(until));
        assert_eq!(exclusive.is_some(), expected, "{recorded} of {registered}");
    }
    let early = served_until(until - Millis(1));
    assert_eq!(register(7, 4).exclusive_since("node-0", BEGIN, early), None);
}

/// A node that has restarted may have voted for an owner that it knows nothing of.
#[test]
fn exclusive_without_nodes_that_restart() {
    let mut register = register(3, 2);
    let until = BEGIN + OUTVOTED_AFTER;
    register.add_record(&name(1), 2, until - LEASE_TTL);
    assert_eq!(
        register.exclusive_since("node-0", BEGIN, served_until(until)),
        None
    );
}

/// Owners may not know a registration that isn't settled, so it doesn't make their majority greater.
#[test]
fn exclusive_without_unsettled_nodes() {
    let mut register = register(4, 2);
    let unsettled = Registration { is_settled: false };
    register.put(name(1), unsettled, 2, BEGIN);
    let until = served_until(BEGIN + OUTVOTED_AFTER);
    assert_eq!(register.exclusive_since("node-0", BEGIN, until), None);
}

/// Leases that pause in an outage keep records of nodes that haven't been served for long.
#[test]
fn exclusive_not_by_records_kept_in_an_outage() {
    let until = BEGIN + OUTVOTED_AFTER;
    let behind_an_outage = Served {
        since: until - Millis(1_000),
        until,
    };
    let register = register(3, 2);
    assert_eq!(
        register.exclusive_since("node-0", BEGIN, behind_an_outage),
        None
    );
}

/// The registration of a node that returns is kept, and that of one that is gone isn't.
#[test]
fn retired_after_a_long_time_without_a_record() {
    let mut register = register(2, 2);
    register.remove_record("node-1", BEGIN);
    let until = BEGIN + RETIREMENT;
    assert_eq!(register.retired(until - Millis(1)), None);
    assert_eq!(register.retired(until), Some((&name(1), 1)));
    register.retain(|_| true, |node| node == "node-0", BEGIN + Millis(1));
    assert_eq!(register.retired(until), None);
    register.add_record(&name(1), 2, until);
    assert_eq!(register.retired(until + RETIREMENT), None);
}

/// A removal doesn't drop a registration that was written after it.
#[test]
fn registration_written_after_its_removal() {
    let mut register = register(1, 1);
    register.put(name(0), Registration { is_settled: false }, 9, BEGIN);
    register.remove("node-0", 8);
    assert!(register.get("node-0").is_some());
    register.remove("node-0", 9);
    assert!(register.is_empty());
}

fn registration(memory: &MemoryStore, node: &str) -> Option<Registration> {
    let state = memory.state();
    let entry = state
        .entries
        .get(&format!("chivevalve/registration/{node}"))?;
    assert_eq!(entry.lease, None);
    Some(serde_json::from_slice(&entry.value).unwrap())
}

/// A registration ends with the lease, so that owners forget a node that restarts.
#[tokio::test(start_paused = true)]
async fn registration_outlives_the_lease() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, true);
    pass(&[&one], Millis(1_000)).await;
    let lease = memory.state().leases[0];
    drop(one);
    memory.change(|state| state.end_lease(lease));
    assert_eq!(
        registration(&memory, "one"),
        Some(Registration { is_settled: true })
    );
}

/// A node that joins counts for a successor before all owners know it.
#[tokio::test(start_paused = true)]
async fn registration_of_a_later_node_settles_late() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, false);
    pass(&[&one], EXTENSION_LIMIT).await;
    assert_eq!(
        registration(&memory, "one"),
        Some(Registration { is_settled: false })
    );
    pass(&[&one], Millis::from_secs(10)).await;
    assert_eq!(
        registration(&memory, "one"),
        Some(Registration { is_settled: true })
    );
}

/// Nodes that are gone for good keep the others from a majority for ever.
#[tokio::test(start_paused = true)]
async fn registration_of_a_gone_node_is_deleted() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let key = "chivevalve/registration/gone";
    memory.change(|state| state.put(key, r#"{"is_settled":true}"#, None));
    let one = node("one", &memory, true);
    pass(&[&one], RETIREMENT).await;
    assert!(registration(&memory, "gone").is_some());
    pass(&[&one], Millis::from_secs(5)).await;
    assert_eq!(registration(&memory, "gone"), None);
    assert!(registration(&memory, "one").is_some());
}

fn may_order(node: &Node) -> bool {
    node.ownership.fencing_token(address()).is_some()
}

/// An owner extends its term by the votes of the only other node that it still knows.
#[tokio::test(start_paused = true)]
async fn extension_with_most_nodes_without_a_record() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, true);
    for gone in ["two", "three"] {
        let key = format!("chivevalve/registration/{gone}");
        memory.change(|state| state.put(&key, r#"{"is_settled":true}"#, None));
    }
    pass(&[&one], Millis::from_secs(6)).await;
    assert!(may_order(&one));
    one.others.vote.store(true, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    pass(&[&one], OWNERSHIP_TERM).await;
    assert!(!may_order(&one));
}

/// An owner extends its term for so long that nodes which start rely on its end in vain.
#[tokio::test(start_paused = true)]
async fn extension_ends_with_an_old_view() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    let one = node("one", &memory, true);
    pass(&[&one], Millis::from_secs(6)).await;
    one.others.vote.store(true, Ordering::SeqCst);
    memory.change(|state| state.is_unavailable = true);
    pass(&[&one], EXTENSION_LIMIT - Millis::from_secs(5)).await;
    assert!(may_order(&one));
    pass(&[&one], Millis::from_secs(5) + OWNERSHIP_TERM).await;
    assert!(!may_order(&one));
}

/// Returns how long a later start of `one` waits for orders beside nodes without a record.
async fn wait_of_a_later_start(memory: &Arc<MemoryStore>, gone: usize, kept: usize) -> Millis {
    for index in 0..gone + kept {
        let key = format!("chivevalve/registration/{}", name(index));
        memory.change(|state| state.put(&key, r#"{"is_settled":true}"#, None));
        if index < kept {
            let record = serde_json::to_vec(&peer(address())).unwrap();
            let key = format!("chivevalve/node/{}", name(index));
            memory.change(|state| state.put(&key, record, None));
        }
    }
    let one = start("one", 2, memory, false);
    let began = one.clock.now();
    for _ in 0..2_000 {
        pass(&[&one], Millis(50)).await;
        if may_order(&one) {
            break;
        }
    }
    one.clock.now().since(began)
}

/// A node that starts orders beside an owner that no node with a record knows of.
#[tokio::test(start_paused = true)]
async fn claim_waits_for_owners_with_a_majority() {
    for (gone, kept, at_least, at_most) in [
        (0, 2, 5_300, 7_000),
        (2, 2, 10_000, 13_000),
        (3, 2, EXTENSION_LIMIT.0, EXTENSION_LIMIT.0 + 8_000),
    ] {
        let memory = Arc::new(MemoryStore::default());
        store_engine(&memory);
        let waited = wait_of_a_later_start(&memory, gone, kept).await;
        let span = Millis(at_least)..=Millis(at_most);
        assert!(span.contains(&waited), "{gone} gone, {kept} kept: {waited}");
    }
}

/// A node that starts while the others restart takes the whole retry budget of the deployment.
#[tokio::test(start_paused = true)]
async fn shares_count_nodes_that_restart() {
    let memory = Arc::new(MemoryStore::default());
    store_engine(&memory);
    for index in 0..6 {
        let key = format!("chivevalve/registration/{}", name(index));
        memory.change(|state| state.put(&key, r#"{"is_settled":true}"#, None));
    }
    let one = start("one", 2, &memory, false);
    pass(&[&one], Millis::from_secs(3)).await;
    assert_eq!(one.view.state().nodes.len(), 1);
    assert_eq!(one.view.state().max_nodes_seen, 7);
}
