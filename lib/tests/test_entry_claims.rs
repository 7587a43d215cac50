//! Requests that aren't idempotent run at most once per idempotency key.

mod entry_support;

use std::sync::Arc;

use chivevalve::error::Code;
use entry_support::{
    Fault, MemoryStore, Script, Step, World, eventually, fail, json, limits, world, world_with,
};

const PUSH: &str = "POST /services/push/receipts";

async fn push(world: &World, key: &str, body: &str) -> String {
    let header = format!("idempotency-key: {key}");
    world.send(PUSH, &[&header], body).await
}

/// Starts two nodes that share their upstreams and their key-value service.
async fn pair() -> (World, World) {
    let script = Arc::<Script>::default();
    let store = Arc::<MemoryStore>::default();
    let one = world_with(limits(), Arc::clone(&script), Arc::clone(&store)).await;
    let two = world_with(limits(), script, store).await;
    (one, two)
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("closed")
}

fn code(answer: &str) -> &str {
    let (_, rest) = answer.split_once("\"code\":\"").unwrap_or(("", "none\""));
    rest.split('"').next().unwrap_or("none")
}

/// Guards against a receipt being booked twice: the load balancer gets no response
/// in time and sends the call to a second node while the first one runs it. This
/// happened when each node knew only its own calls.
#[tokio::test]
async fn claim_two_nodes_at_once() {
    for _ in 0..20 {
        let (one, two) = pair().await;
        let (first, second) = tokio::join!(push(&one, "k", "1.50"), push(&two, "k", "1.50"));
        let mut statuses = [status(&first), status(&second)];
        statuses.sort_unstable();
        assert_eq!(statuses, ["200", "409"]);
        assert_eq!(one.script.count(), 1);
    }
}

#[tokio::test]
async fn claim_same_node_twice() {
    let world = world().await;
    assert_eq!(status(&push(&world, "k", "1.50").await), "200");
    let again = push(&world, "k", "1.50").await;
    assert_eq!(
        (status(&again), code(&again)),
        ("409", "idempotency_key_taken")
    );
    let other = push(&world, "k", "9.90").await;
    assert_eq!(
        (status(&other), code(&other)),
        ("422", "idempotency_key_reused")
    );
    assert_eq!(world.script.count(), 1);
    // The duplicates cost the key-value service no call.
    assert_eq!(world.store.calls(), (1, 0));
}

/// Guards against a receipt being booked twice: the node that runs the call stops
/// before it responds, and the caller's retry reaches another node. This happened
/// when the claim ended with its node.
#[tokio::test]
async fn claim_outlives_its_node() {
    let (one, two) = pair().await;
    assert_eq!(status(&push(&one, "k", "1.50").await), "200");
    one.stop().await.unwrap();
    assert_eq!(status(&push(&two, "k", "1.50").await), "409");
    assert_eq!(two.script.count(), 1);
}

/// Guards against a receipt being lost: every upstream refuses the call, the caller
/// is told that it didn't run and retries with the same key at another node, and
/// the retry is refused. This happened when the claim was kept although nothing
/// had run.
#[tokio::test]
async fn claim_released_after_not_run() {
    let (one, two) = pair().await;
    one.script.then(fail(Code::Brownout));
    let refused = push(&one, "k", "1.50").await;
    assert_eq!((status(&refused), code(&refused)), ("503", "brownout"));
    assert_eq!(status(&push(&two, "k", "1.50").await), "200");
    assert_eq!(two.script.count(), 2);
    // The node that released the claim must not remember it as its own.
    assert_eq!(status(&push(&one, "k", "1.50").await), "409");
}

/// Guards against a receipt being booked twice: the connection to the upstream
/// breaks after the call was sent, and the caller retries with the same key. This
/// happened when the claim was released after a failure whose fate is unknown.
#[tokio::test]
async fn claim_kept_after_unknown() {
    let world = world().await;
    world.script.then(fail(Code::UpstreamLost));
    let lost = push(&world, "k", "1.50").await;
    assert_eq!((status(&lost), code(&lost)), ("502", "upstream_lost"));
    assert!(lost.contains("x-should-retry: false"));
    assert_eq!(status(&push(&world, "k", "1.50").await), "409");
    assert_eq!(world.script.count(), 1);
}

/// Guards against a call being refused as a duplicate of itself: the claim is
/// written, the response to the write is lost, and the node writes again and finds
/// the key claimed. The node must recognise its own request ID.
#[tokio::test]
async fn claim_write_response_lost() {
    let world = world().await;
    world.store.then(&[Some(Fault::AnswerLost)]);
    assert_eq!(status(&push(&world, "k", "1.50").await), "200");
    assert_eq!(world.script.count(), 1);
}

#[tokio::test]
async fn claim_write_lost() {
    let world = world().await;
    world.store.then(&[Some(Fault::CallLost)]);
    assert_eq!(status(&push(&world, "k", "1.50").await), "200");
    assert_eq!(world.script.count(), 1);
}

/// Guards against a receipt being booked twice during an outage: the key-value
/// service is down, and the node runs the call without a claim. The at-most-once
/// guarantee takes precedence over availability.
#[tokio::test]
async fn claim_store_down() {
    let world = world().await;
    world.store.set_down(true);
    let refused = push(&world, "k", "1.50").await;
    assert_eq!(
        (status(&refused), code(&refused)),
        ("503", "claim_unavailable")
    );
    assert!(refused.contains("\"fate\":\"not_run\""));
    assert_eq!(world.script.count(), 0);
    // Calls without a key still run.
    assert_eq!(status(&world.send(PUSH, &[], "1.50").await), "200");
    world.store.set_down(false);
    assert_eq!(status(&push(&world, "k", "1.50").await), "200");
}

/// Guards against refusing a caller's retry although its call never ran: the
/// caller's connection breaks while the call waits between two attempts. This
/// happened when the claim was released only where a response was produced.
#[tokio::test]
async fn claim_released_when_caller_leaves_unsent() {
    let mut limits = limits();
    limits.retry_policy.backoff.base = chivevalve::clock::Millis::from_secs(600);
    limits.retry_policy.backoff.cap = chivevalve::clock::Millis::from_secs(600);
    limits.default_deadline = chivevalve::clock::Millis::from_secs(600);
    limits.max_deadline = chivevalve::clock::Millis::from_secs(10_000);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    for _ in 0..2 {
        world.script.then(fail(Code::NotOwner));
    }
    let headers = ["idempotency-key: k", "x-deadline-ms: 600000"];
    let mut call = Box::pin(world.send(PUSH, &headers, "1"));
    while world.script.count() < 2 || world.store.keys().is_empty() {
        tokio::select! {
            _ = &mut call => panic!("answered"),
            () = tokio::task::yield_now() => {}
        }
    }
    drop(call);
    eventually(|| world.store.keys().is_empty()).await;
}

/// Guards against a work order being issued twice: the caller's connection breaks
/// while the call runs, and the caller retries. This happened when the claim was
/// released with the connection.
#[tokio::test]
async fn claim_kept_when_caller_leaves_sent() {
    let world = world().await;
    world.script.then(Step::Hang);
    let headers = ["idempotency-key: k"];
    let mut call = Box::pin(world.send(PUSH, &headers, "1"));
    while world.script.count() < 1 {
        tokio::select! {
            _ = &mut call => panic!("answered"),
            () = tokio::task::yield_now() => {}
        }
    }
    drop(call);
    assert_eq!(status(&push(&world, "k", "1").await), "409");
    assert_eq!(world.script.count(), 1);
}

/// Guards against a burst of 100 pushes using up the write rate of the key-value
/// service, which happened when each claim took a call of its own.
#[tokio::test]
async fn claim_burst_is_batched() {
    let world = world().await;
    let keys: Vec<String> = (0..100).map(|number| format!("k{number}")).collect();
    let pushes = keys.iter().map(|key| push(&world, key, "1"));
    let answers = futures::future::join_all(pushes).await;
    assert!(answers.iter().all(|answer| status(answer) == "200"));
    assert_eq!(world.store.keys().len(), 100);
    let (commits, reads) = world.store.calls();
    assert!(commits <= 25, "{commits} transactions");
    assert_eq!(reads, 0);
}

#[tokio::test]
async fn claim_not_needed_when_idempotent() {
    let world = world().await;
    world.script.then(json("{}"));
    let header = ["idempotency-key: k"];
    let line = "POST /services/lookup/part";
    assert_eq!(status(&world.send(line, &header, "").await), "200");
    assert_eq!(status(&world.send(line, &header, "").await), "200");
    assert_eq!(world.store.calls(), (0, 0));
}
