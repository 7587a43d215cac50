//! What an owner does when its upstream, its hold or its callers fail.

mod owner_fakes;

use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::declaration::PoolKind;
use chivevalve::error::{Code, Failure, Fate};
use chivevalve::membership::Adopter;
use chivevalve::ports::Answer;
use chivevalve::runner::Runner;
use owner_fakes::{Bench, Fault, adapter, attempt, text};
use tokio::task::JoinHandle;

/// Starts an attempt and lets it get as far as it can at once.
async fn begin(bench: &Bench, id: &str, name: &str) -> JoinHandle<Result<Answer, Failure>> {
    let registry = Arc::clone(&bench.registry);
    let attempt = attempt(id, name, true);
    let started = tokio::spawn(async move { registry.run(attempt).await });
    pass(Millis(1)).await;
    started
}

async fn pass(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

async fn refused(started: JoinHandle<Result<Answer, Failure>>) -> Failure {
    let failure = started.await.unwrap().unwrap_err();
    assert_eq!(failure.fate(), Fate::NotRun);
    failure
}

/// Symptom: two owners give orders to one upstream.
/// Sequence: an owner's lease lapses while requests wait in its queue, then a
/// place comes free.
/// Cause: the hold was checked on arrival only.
#[tokio::test(start_paused = true)]
async fn hold_lapses_while_waiting() {
    let bench = Bench::with_batch(1).await;
    let first = begin(&bench, "r1", "plans").await;
    let answer = first.await.unwrap().unwrap();
    let waiting = begin(&bench, "r2", "plans").await;
    bench.lapse();
    text(answer).await.unwrap();
    assert_eq!(refused(waiting).await.code, Code::NotOwner);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Symptom: an adapter vanishes from under the new owner's requests.
/// Sequence: a lease lapses while leave to load is awaited, then leave comes.
/// Cause: the load's order wasn't preceded by a check of the hold.
#[tokio::test(start_paused = true)]
async fn hold_lapses_before_load() {
    let bench = Bench::start().await;
    bench.permits.close();
    let waiting = begin(&bench, "r1", "plans").await;
    bench.lapse();
    bench.permits.open();
    assert_eq!(refused(waiting).await.code, Code::NotOwner);
    pass(Millis::from_secs(5)).await;
    assert!(bench.engine.loads().is_empty());
}

/// Symptom: callers' answers break off when an upstream is handed over.
/// Sequence: a release while one request runs and one waits.
/// Cause: the release ended the running one, or forgot the waiting one.
#[tokio::test(start_paused = true)]
async fn release_with_work() {
    let bench = Bench::with_batch(1).await;
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    let waiting = begin(&bench, "r2", "plans").await;
    let registry = Arc::clone(&bench.registry);
    let released =
        tokio::spawn(async move { registry.release("engine-1", Millis::from_secs(60)).await });
    assert_eq!(refused(waiting).await.code, Code::NotOwner);
    assert!(!released.is_finished());
    text(running).await.unwrap();
    released.await.unwrap();
    let late = begin(&bench, "r3", "plans").await;
    assert_eq!(refused(late).await.code, Code::NotOwner);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

#[tokio::test(start_paused = true)]
async fn release_after_limit() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    let limit = Millis::from_secs(2);
    let before = bench.clock.now();
    bench.registry.release("engine-1", limit).await;
    assert_eq!(bench.clock.now().since(before), limit);
    drop(running);
}

/// Symptom: answers break off when an owner's lease lapses, or when an upstream is claimed anew.
/// Sequence: the hold lapses while an answer comes; the same node then owns the upstream under
/// another claim.
/// Cause: the end of the right to start requests was taken for the end of those that run.
#[tokio::test(start_paused = true)]
async fn hold_lapses_while_running() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    bench.lapse();
    bench.registry.release("engine-1", Millis::ZERO).await;
    bench.adopt(8, 2).await;
    let seen = text(running).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// Symptom: answers break off when a configuration changes a pool.
/// Sequence: a pool gets smaller, then another kind, and then its upstream goes, all while an
/// answer comes.
/// Cause: a change of what is served was applied to what runs.
#[tokio::test(start_paused = true)]
async fn adopt_changed_while_running() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    bench.adopt(1, 1).await;
    bench.adopt_as(PoolKind::Service, 1, 1).await;
    bench.registry.release("engine-1", Millis::ZERO).await;
    let seen = text(running).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// Symptom: a planned stop cuts answers off that would have ended in the stop's time.
/// Sequence: an owner's lease lapses while a request runs; the upstream comes back to it, and
/// then the node is stopped.
/// Cause: the stop waits for the releases, and a release knows only what runs under the
/// ownership that it ends.
#[tokio::test(start_paused = true)]
async fn ended_after_former_ownership() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000);
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    bench.registry.release("engine-1", Millis::ZERO).await;
    bench.adopt(8, 2).await;
    let limit = Millis::from_secs(60);
    bench.registry.release("engine-1", limit).await;
    let registry = Arc::clone(&bench.registry);
    let ended = tokio::spawn(async move { registry.ended().await });
    pass(Millis::from_secs(1)).await;
    assert!(!ended.is_finished());
    text(running).await.unwrap();
    ended.await.unwrap();
}

/// Symptom: an answer breaks off just after a node died.
/// Sequence: the former owner's requests still run; the new owner needs a slot.
/// Cause: the new owner pins only what it has started itself.
#[tokio::test(start_paused = true)]
async fn takeover_evicts_nothing_that_runs() {
    let bench = Bench::unowned();
    bench.engine.preload(&["plans", "faults"]);
    bench.engine.set(|knobs| {
        knobs.running = vec![
            ("cmpl-old-1-0".to_owned(), "plans@3".to_owned()),
            ("cmpl-old-2-0".to_owned(), "faults@3".to_owned()),
        ];
    });
    bench.adopt(8, 2).await;
    let waiting = begin(&bench, "r1", "third").await;
    pass(Millis::from_secs(5)).await;
    assert!(bench.engine.unloads().is_empty());
    assert_eq!(bench.registry.status()[0].foreign, 2);
    bench.engine.set(|knobs| knobs.running.truncate(1));
    text(waiting.await.unwrap().unwrap()).await.unwrap();
    assert_eq!(bench.engine.unloads(), ["faults@3"]);
}

/// Symptom: a new owner evicts an adapter in use in its first milliseconds.
/// Sequence: requests arrive before the engine has said what it holds.
/// Cause: an empty table was taken for empty slots.
#[tokio::test(start_paused = true)]
async fn takeover_waits_for_report() {
    let bench = Bench::unowned();
    bench.engine.preload(&["plans", "faults"]);
    bench.engine.set(|knobs| knobs.report_ms = Millis(500));
    bench.adopt(8, 2).await;
    let waiting = begin(&bench, "r1", "plans").await;
    pass(Millis(400)).await;
    assert!(!waiting.is_finished());
    text(waiting.await.unwrap().unwrap()).await.unwrap();
    assert!(bench.engine.loads().is_empty());
}

/// Symptom: every request for an adapter fails until the owner restarts.
/// Sequence: the engine's process starts anew, with nothing loaded.
/// Cause: the owner still believes its table.
#[tokio::test(start_paused = true)]
async fn engine_cold_start() {
    let bench = Bench::start().await;
    let first = begin(&bench, "r1", "plans").await;
    text(first.await.unwrap().unwrap()).await.unwrap();
    bench.engine.restart();
    pass(Millis::from_secs(2)).await;
    let second = begin(&bench, "r2", "plans").await;
    text(second.await.unwrap().unwrap()).await.unwrap();
    let plans = adapter("plans").engine_name();
    assert_eq!(bench.engine.loads(), [plans.clone(), plans]);
}

/// Symptom: requests wait in the queue of an upstream that is gone.
/// Sequence: the engine can't be reached any more.
/// Cause: only requests that were started notice.
#[tokio::test(start_paused = true)]
async fn engine_down() {
    let bench = Bench::with_batch(1).await;
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    let waiting = begin(&bench, "r2", "plans").await;
    bench.engine.set(|knobs| knobs.fault = Fault::Down);
    let failure = refused(waiting).await;
    assert_eq!(failure.code, Code::ConnectFailed);
    assert!(failure.retry_after.is_some());
    assert!(bench.detector.failures() >= 3);
    assert!(bench.registry.status()[0].failing);
    drop(running);
    bench.engine.set(|knobs| knobs.fault = Fault::None);
    pass(Millis::from_secs(2)).await;
    let next = begin(&bench, "r3", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
    assert!(bench.detector.answers() >= 1);
}

/// Symptom: a request runs long after its caller has given up.
/// Sequence: the deadline passes in the queue, or while the engine answers.
/// Cause: only the entry node knows the deadline.
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
    assert_eq!(refused(waiting).await.code, Code::ExpiredWaiting);
    let failure = text(running).await.unwrap_err();
    assert_eq!(failure.code, Code::ExpiredRunning);
    assert_eq!(failure.fate(), Fate::Unknown);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Symptom: one place fewer for good, each time that a task panics.
/// Sequence: the engine's client panics while a request runs.
/// Cause: the place was given back by code that the panic skips.
#[tokio::test(start_paused = true)]
async fn panic_while_running() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Panic);
    let poisoned = begin(&bench, "r1", "plans").await;
    assert!(poisoned.await.unwrap_err().is_panic());
    bench.engine.set(|knobs| knobs.fault = Fault::None);
    let next = begin(&bench, "r2", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
}

/// Symptom: an adapter is loaded again and again, and the weight store serves nobody else.
/// Sequence: loads of one adapter fail partway.
/// Cause: a failed load is tried again at once.
#[tokio::test(start_paused = true)]
async fn load_keeps_failing() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::Load);
    let waiting = begin(&bench, "r1", "plans").await;
    pass(Millis::from_secs(10)).await;
    let tries = bench.engine.loads().len();
    assert!((1..=12).contains(&tries), "{tries} tries in 10 s");
    drop(waiting);
}

/// Symptom: a request that the engine refused is called unknown, or one that it ran not run.
/// Sequence: the engine answers with a status of its own.
/// Cause: every status was read alike.
#[tokio::test(start_paused = true)]
async fn engine_status() {
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
        let answer = begin(&bench, &format!("r{status}"), "plans").await;
        let failure = answer.await.unwrap().unwrap_err();
        assert_eq!(failure.code, code, "{status}");
        assert!(failure.detail.contains("context_length_exceeded"));
        assert!(!failure.detail.contains("prompt"), "{failure}");
    }
}

/// Symptom: an adapter is evicted while a request runs on it.
/// Sequence: all slots are in use, another adapter is wanted.
/// Cause: eviction doesn't know what runs.
#[tokio::test(start_paused = true)]
async fn evict_only_unused() {
    let bench = Bench::start().await;
    let first = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    let second = begin(&bench, "r2", "faults").await.await.unwrap().unwrap();
    let third = begin(&bench, "r3", "third").await;
    pass(Millis::from_secs(2)).await;
    assert!(bench.engine.unloads().is_empty());
    text(second).await.unwrap();
    text(third.await.unwrap().unwrap()).await.unwrap();
    assert_eq!(bench.engine.unloads(), ["faults@3"]);
    text(first).await.unwrap();
}

/// Symptom: the engine runs a model that the template doesn't name.
/// Sequence: a body names two models; ours replaces one, the engine takes the other.
/// Cause: the body was searched for a name instead of read.
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

/// Symptom: requests run on an engine that no longer holds their adapter.
/// Sequence: the engine starts anew while a request runs; its stream hasn't broken yet.
/// Cause: a pinned slot isn't corrected by reports.
#[tokio::test(start_paused = true)]
async fn engine_cold_start_under_pin() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = begin(&bench, "r1", "plans").await.await.unwrap().unwrap();
    bench.engine.set(|knobs| knobs.pieces = 1);
    bench.engine.restart();
    pass(Millis::from_secs(3)).await;
    let next = begin(&bench, "r2", "plans").await;
    text(next.await.unwrap().unwrap()).await.unwrap();
    let plans = adapter("plans").engine_name();
    assert_eq!(bench.engine.loads(), [plans.clone(), plans]);
    drop(running);
}

/// Symptom: a caller waits at an owner that has handed its upstream over.
/// Sequence: a release before the engine has first said what it holds.
/// Cause: requests that wait for that aren't in the queue yet.
#[tokio::test(start_paused = true)]
async fn release_before_first_report() {
    let bench = Bench::unowned();
    bench.engine.set(|knobs| knobs.report_ms = Millis(900));
    bench.adopt(8, 1).await;
    let waiting = begin(&bench, "r1", "plans").await;
    bench
        .registry
        .release("engine-1", Millis::from_secs(60))
        .await;
    assert_eq!(refused(waiting).await.code, Code::NotOwner);
    assert!(bench.engine.runs().is_empty());
}
