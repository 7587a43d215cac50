//! Behaviour of an owner when its upstream, its lease or its callers fail.

mod owner_fakes;

use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::declaration::PoolKind;
use chivevalve::error::{Code, Failure, Fate};
use chivevalve::membership::Adopter;
use chivevalve::ports::UpstreamResponse;
use chivevalve::runner::Runner;
use owner_fakes::{Bench, Fault, adapter, attempt, text};
use tokio::task::JoinHandle;

/// Starts an attempt and lets it proceed until it waits.
async fn start_attempt(
    bench: &Bench,
    id: &str,
    name: &str,
) -> JoinHandle<Result<UpstreamResponse, Failure>> {
    let registry = Arc::clone(&bench.registry);
    let attempt = attempt(id, name, true);
    let started = tokio::spawn(async move { registry.run(attempt).await });
    sleep(Millis(1)).await;
    started
}

async fn sleep(duration: Millis) {
    tokio::time::sleep(duration.duration()).await;
}

/// Returns an attempt's failure and checks that the request wasn't run.
async fn refusal(started: JoinHandle<Result<UpstreamResponse, Failure>>) -> Failure {
    let failure = started.await.unwrap().unwrap_err();
    assert_eq!(failure.fate(), Fate::NotRun);
    failure
}

/// Guards against two owners sending requests to one upstream: an owner's lease expires
/// while requests wait in its queue, and then a running request ends. This happened
/// when the lease was checked only on arrival.
#[tokio::test(start_paused = true)]
async fn lease_expires_while_waiting() {
    let bench = Bench::with_batch(1).await;
    let first = start_attempt(&bench, "r1", "plans").await;
    let answer = first.await.unwrap().unwrap();
    let waiting = start_attempt(&bench, "r2", "plans").await;
    bench.expire_lease();
    text(answer).await.unwrap();
    assert_eq!(refusal(waiting).await.code, Code::NotOwner);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Guards against evicting an adapter that the new owner's requests use: a lease expires
/// while a permit to load is awaited, and then the permit is granted. The lease must be
/// checked just before the load is ordered.
#[tokio::test(start_paused = true)]
async fn lease_expires_before_load() {
    let bench = Bench::start().await;
    bench.permits.close();
    let waiting = start_attempt(&bench, "r1", "plans").await;
    bench.expire_lease();
    bench.permits.open();
    assert_eq!(refusal(waiting).await.code, Code::NotOwner);
    sleep(Millis::from_secs(5)).await;
    assert!(bench.engine.loads().is_empty());
}

/// Guards against a release that aborts the running requests or leaves the waiting ones
/// without a response.
#[tokio::test(start_paused = true)]
async fn release_with_running_and_waiting() {
    let bench = Bench::with_batch(1).await;
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    let waiting = start_attempt(&bench, "r2", "plans").await;
    let registry = Arc::clone(&bench.registry);
    let released =
        tokio::spawn(async move { registry.release("engine-1", Millis::from_secs(60)).await });
    assert_eq!(refusal(waiting).await.code, Code::NotOwner);
    assert!(!released.is_finished());
    text(running).await.unwrap();
    released.await.unwrap();
    let late = start_attempt(&bench, "r3", "plans").await;
    assert_eq!(refusal(late).await.code, Code::NotOwner);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

#[tokio::test(start_paused = true)]
async fn release_times_out() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    let limit = Millis::from_secs(2);
    let before = bench.clock.now();
    bench.registry.release("engine-1", limit).await;
    assert_eq!(bench.clock.now().since(before), limit);
    drop(running);
}

/// Guards against truncated responses when an owner's lease expires or an upstream is claimed
/// again: the lease expires during a response, and the same node then owns the upstream under
/// another claim. An expired lease forbids new requests but doesn't end running ones.
#[tokio::test(start_paused = true)]
async fn lease_expires_while_running() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    bench.expire_lease();
    bench.registry.release("engine-1", Millis::ZERO).await;
    bench.adopt(8, 2).await;
    let seen = text(running).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// Guards against truncated responses when the configuration changes a pool: during a response
/// the pool gets smaller, then becomes another kind, and then its upstream is removed. This
/// happened when changes were applied to running requests.
#[tokio::test(start_paused = true)]
async fn pool_changes_while_running() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    bench.adopt(1, 1).await;
    bench.adopt_as(PoolKind::Service, 1, 1).await;
    bench.registry.release("engine-1", Millis::ZERO).await;
    let seen = text(running).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// Guards against a planned stop that truncates responses which would have ended within the
/// stop's time limit: an owner's lease expires while a request runs, the owner gets the upstream
/// back, and then its node is stopped. A release waits only for the requests of the ownership
/// that it ends.
#[tokio::test(start_paused = true)]
async fn idle_after_requests_of_previous_ownership() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000);
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    bench.registry.release("engine-1", Millis::ZERO).await;
    bench.adopt(8, 2).await;
    let limit = Millis::from_secs(60);
    bench.registry.release("engine-1", limit).await;
    let registry = Arc::clone(&bench.registry);
    let idle = tokio::spawn(async move { registry.wait_until_idle().await });
    sleep(Millis::from_secs(1)).await;
    assert!(!idle.is_finished());
    text(running).await.unwrap();
    idle.await.unwrap();
}

/// Guards against truncated responses just after a node died: the previous owner's requests
/// still run, and the new owner needs a slot. This happened when a new owner pinned only
/// adapters of its own requests.
#[tokio::test(start_paused = true)]
async fn takeover_evicts_only_unused() {
    let bench = Bench::unowned();
    bench.engine.preload(&["plans", "faults"]);
    bench.engine.set(|knobs| {
        knobs.running = vec![
            ("cmpl-old-1-0".to_owned(), "plans@3".to_owned()),
            ("cmpl-old-2-0".to_owned(), "faults@3".to_owned()),
        ];
    });
    bench.adopt(8, 2).await;
    let waiting = start_attempt(&bench, "r1", "third").await;
    sleep(Millis::from_secs(5)).await;
    assert!(bench.engine.unloads().is_empty());
    assert_eq!(bench.registry.status()[0].foreign, 2);
    bench.engine.set(|knobs| knobs.running.truncate(1));
    text(waiting.await.unwrap().unwrap()).await.unwrap();
    assert_eq!(bench.engine.unloads(), ["faults@3"]);
}

/// Guards against a new owner evicting an adapter in use in its first milliseconds: requests
/// arrive before the engine's first report. Until then the slots are unknown, not empty.
#[tokio::test(start_paused = true)]
async fn takeover_waits_for_first_report() {
    let bench = Bench::unowned();
    bench.engine.preload(&["plans", "faults"]);
    bench.engine.set(|knobs| knobs.report_ms = Millis(500));
    bench.adopt(8, 2).await;
    let waiting = start_attempt(&bench, "r1", "plans").await;
    sleep(Millis(400)).await;
    assert!(!waiting.is_finished());
    text(waiting.await.unwrap().unwrap()).await.unwrap();
    assert!(bench.engine.loads().is_empty());
}

/// Guards against every request for an adapter failing until the owner restarts: the engine's
/// process restarts with nothing loaded, and the owner's view of the slots is stale.
#[tokio::test(start_paused = true)]
async fn engine_restarts() {
    let bench = Bench::start().await;
    let first = start_attempt(&bench, "r1", "plans").await;
    text(first.await.unwrap().unwrap()).await.unwrap();
    bench.engine.restart();
    sleep(Millis::from_secs(2)).await;
    let second = start_attempt(&bench, "r2", "plans").await;
    text(second.await.unwrap().unwrap()).await.unwrap();
    let plans = adapter("plans").engine_name();
    assert_eq!(bench.engine.loads(), [plans.clone(), plans]);
}

/// Guards against requests waiting in the queue of an upstream that became unreachable,
/// which happened when only started requests noticed it.
#[tokio::test(start_paused = true)]
async fn engine_unreachable() {
    let bench = Bench::with_batch(1).await;
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    let waiting = start_attempt(&bench, "r2", "plans").await;
    bench.engine.set(|knobs| knobs.fault = Fault::Unreachable);
    let failure = refusal(waiting).await;
    assert_eq!(failure.code, Code::ConnectFailed);
    assert!(failure.retry_after.is_some());
    assert!(bench.detector.failures() >= 3);
    assert!(bench.registry.status()[0].failing);
    drop(running);
    bench.engine.set(|knobs| knobs.fault = Fault::None);
    sleep(Millis::from_secs(2)).await;
    let next = start_attempt(&bench, "r3", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
    assert!(bench.detector.answers() >= 1);
}

/// Guards against running a request after its deadline, which passes in the queue or during
/// the response. The owner must enforce the deadline as the entry node does.
#[tokio::test(start_paused = true)]
async fn deadline_passes() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let mut running = attempt("r1", "plans", true);
    running.ticket.deadline = Millis::from_secs(20);
    let running = bench.registry.run(running).await.unwrap();
    let registry = Arc::clone(&bench.registry);
    let mut waiting = attempt("r2", "plans", true);
    waiting.ticket.deadline = Millis::from_secs(10);
    let waiting = tokio::spawn(async move { registry.run(waiting).await });
    assert_eq!(refusal(waiting).await.code, Code::ExpiredWaiting);
    let failure = text(running).await.unwrap_err();
    assert_eq!(failure.code, Code::ExpiredRunning);
    assert_eq!(failure.fate(), Fate::Unknown);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Guards against an upstream losing capacity each time that a task panics: the engine's client
/// panics while a request runs. This happened when the request was ended by code that a panic
/// skips.
#[tokio::test(start_paused = true)]
async fn panic_while_running() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Panic);
    let poisoned = start_attempt(&bench, "r1", "plans").await;
    assert!(poisoned.await.unwrap_err().is_panic());
    bench.engine.set(|knobs| knobs.fault = Fault::None);
    let next = start_attempt(&bench, "r2", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
}

/// Guards against an adapter whose loads fail using up the weight store, which happened when a
/// failed load was retried at once.
#[tokio::test(start_paused = true)]
async fn load_keeps_failing() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::LoadFails);
    let waiting = start_attempt(&bench, "r1", "plans").await;
    sleep(Millis::from_secs(10)).await;
    let tries = bench.engine.loads().len();
    assert!((1..=12).contains(&tries), "{tries} tries in 10 s");
    drop(waiting);
}

/// Guards against reporting a request's fate wrongly when the engine returns an error status:
/// as unknown though the engine refused it, or as not run though it ran.
#[tokio::test(start_paused = true)]
async fn engine_error_status() {
    let bench = Bench::start().await;
    let cases = [
        (400, Code::BadRequest),
        (404, Code::UpstreamRefused),
        (409, Code::UpstreamRefused),
        (429, Code::UpstreamRefused),
        (500, Code::UpstreamError),
        (503, Code::UpstreamError),
    ];
    for (status, code) in cases {
        bench.engine.set(|knobs| knobs.status = status);
        let answer = start_attempt(&bench, &format!("r{status}"), "plans").await;
        let failure = answer.await.unwrap().unwrap_err();
        assert_eq!(failure.code, code, "{status}");
        assert!(failure.detail.contains("context_length_exceeded"));
        assert!(!failure.detail.contains("prompt"), "{failure}");
    }
}

/// Guards against evicting an adapter while a request runs on it: all slots are in use, and
/// another adapter is needed.
#[tokio::test(start_paused = true)]
async fn evict_only_unused() {
    let bench = Bench::start().await;
    let first = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    let second = start_attempt(&bench, "r2", "faults")
        .await
        .await
        .unwrap()
        .unwrap();
    let third = start_attempt(&bench, "r3", "third").await;
    sleep(Millis::from_secs(2)).await;
    assert!(bench.engine.unloads().is_empty());
    text(second).await.unwrap();
    text(third.await.unwrap().unwrap()).await.unwrap();
    assert_eq!(bench.engine.unloads(), ["faults@3"]);
    text(first).await.unwrap();
}

/// Guards against the engine running a model that the template doesn't name: a body names two
/// models, and the engine uses the one that wasn't replaced. The body must be parsed, not
/// searched for a name.
#[tokio::test(start_paused = true)]
async fn body_with_two_models() {
    let bench = Bench::start().await;
    let mut twice = attempt("r1", "plans", true);
    twice.work = chivevalve::runner::Work::Completion {
        path: "/v1/completions".into(),
        body: "{\"model\":\"a\",\"prompt\":\"p\",\"model\":\"b\"}".into(),
        stream: true,
    };
    let failure = bench.registry.run(twice).await.unwrap_err();
    assert_eq!(failure.code, Code::BadRequest);
    assert!(bench.engine.runs().is_empty());
}

/// Guards against sending requests to an engine that no longer has their adapter: the engine
/// restarts while a request runs whose stream hasn't broken yet. Reports must correct pinned
/// slots, too.
#[tokio::test(start_paused = true)]
async fn engine_restarts_with_pinned_slot() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = start_attempt(&bench, "r1", "plans")
        .await
        .await
        .unwrap()
        .unwrap();
    bench.engine.set(|knobs| knobs.pieces = 1);
    bench.engine.restart();
    sleep(Millis::from_secs(3)).await;
    let next = start_attempt(&bench, "r2", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
    let plans = adapter("plans").engine_name();
    assert_eq!(bench.engine.loads(), [plans.clone(), plans]);
    drop(running);
}

/// Guards against a caller waiting at an owner that has released its upstream before the
/// engine's first report. Requests that wait for the report aren't in the queue yet.
#[tokio::test(start_paused = true)]
async fn release_before_first_report() {
    let bench = Bench::unowned();
    bench.engine.set(|knobs| knobs.report_ms = Millis(900));
    bench.adopt(8, 1).await;
    let waiting = start_attempt(&bench, "r1", "plans").await;
    bench
        .registry
        .release("engine-1", Millis::from_secs(60))
        .await;
    assert_eq!(refusal(waiting).await.code, Code::NotOwner);
    assert!(bench.engine.runs().is_empty());
}
