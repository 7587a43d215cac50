//! Requests for one upstream meet in its owner's registry.

mod owner_fakes;

use std::sync::Arc;

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::config::prefetch::{Prefetch, UpcomingAdapter};
use chivevalve::declaration::PoolKind;
use chivevalve::error::{Code, Fate};
use chivevalve::runner::{Runner, Work};
use http::Method;
use owner_fakes::{Bench, Fault, adapter, attempt, push, text};

#[tokio::test(start_paused = true)]
async fn run_stream_names_the_template() {
    let bench = Bench::start().await;
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let seen = text(answer.unwrap()).await.unwrap();
    assert!(seen.contains("\"model\":\"template-plans\""), "{seen}");
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert_eq!(bench.engine.loads(), [adapter("plans").engine_name()]);
}

#[tokio::test(start_paused = true)]
async fn run_whole_names_the_template() {
    let bench = Bench::start().await;
    let answer = bench.registry.run(attempt("r1", "plans", false)).await;
    let answer = answer.unwrap();
    let length = answer.head.headers["content-length"].clone();
    let seen = text(answer).await.unwrap();
    assert!(seen.contains("\"model\":\"template-plans\""), "{seen}");
    assert_eq!(length.to_str().unwrap(), seen.len().to_string());
}

#[tokio::test(start_paused = true)]
async fn run_unknown_upstream() {
    let bench = Bench::start().await;
    let mut lost = attempt("r1", "plans", true);
    lost.upstream = "elsewhere".into();
    let failure = bench.registry.run(lost).await.unwrap_err();
    assert_eq!(failure.code, Code::NotOwner);
    assert_eq!(failure.fate(), Fate::NotRun);
}

/// A request that waits doesn't begin on a version that its template left meanwhile.
#[tokio::test(start_paused = true)]
async fn run_outdated_while_it_waits() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = bench.registry.run(attempt("r1", "plans", true)).await;
    let registry = Arc::clone(&bench.registry);
    let waiting = tokio::spawn(async move { registry.run(attempt("r2", "plans", true)).await });
    tokio::time::sleep(Millis(100).duration()).await;
    assert!(!waiting.is_finished());
    bench.decisions.change(adapter("faults"));
    let failure = waiting.await.unwrap().unwrap_err();
    assert_eq!(failure.code, Code::Outdated);
    assert_eq!(failure.fate(), Fate::NotRun);
    // What runs goes on, and what is decided anew waits for its place.
    drop(running.unwrap());
    bench.engine.set(|knobs| knobs.pieces = 2);
    let next = bench.registry.run(attempt("r3", "faults", true)).await;
    text(next.unwrap()).await.unwrap();
    assert_eq!(bench.engine.runs(), ["r1", "r3"]);
}

/// A request whose turn comes at the moment of a change doesn't begin on the former version.
#[tokio::test(start_paused = true)]
async fn run_outdated_at_its_turn() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = bench.registry.run(attempt("r1", "plans", true)).await;
    let registry = Arc::clone(&bench.registry);
    let waiting = tokio::spawn(async move { registry.run(attempt("r2", "plans", true)).await });
    tokio::time::sleep(Millis(100).duration()).await;
    // No time passes between the change and the end that makes room.
    bench.decisions.change(adapter("faults"));
    drop(running.unwrap());
    let failure = waiting.await.unwrap().unwrap_err();
    assert_eq!(failure.code, Code::Outdated);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Symptom: an upstream loses a place for good each time that a caller goes away.
/// Sequence: a caller drops the answer half read, others wait for the place.
/// Cause: the place was given back only at the answer's end.
#[tokio::test(start_paused = true)]
async fn run_caller_gone_while_reading() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let endless = bench.registry.run(attempt("r1", "plans", true)).await;
    drop(endless.unwrap());
    bench.engine.set(|knobs| knobs.pieces = 2);
    let next = bench.registry.run(attempt("r2", "plans", true)).await;
    text(next.unwrap()).await.unwrap();
}

/// Symptom: a request runs that nobody waits for.
/// Sequence: a caller goes away while its request waits in the queue.
/// Cause: the queue didn't hear of it.
#[tokio::test(start_paused = true)]
async fn run_caller_gone_while_waiting() {
    let bench = Bench::with_batch(1).await;
    let first = bench.registry.run(attempt("r1", "plans", true)).await;
    let registry = Arc::clone(&bench.registry);
    let waiting = tokio::spawn(async move { registry.run(attempt("r2", "plans", true)).await });
    tokio::time::sleep(Millis(5).duration()).await;
    waiting.abort();
    tokio::time::sleep(Millis(5).duration()).await;
    text(first.unwrap()).await.unwrap();
    let third = bench.registry.run(attempt("r3", "plans", true)).await;
    text(third.unwrap()).await.unwrap();
    assert_eq!(bench.engine.runs(), ["r1", "r3"]);
}

/// Symptom: a caller reads another caller's answer.
/// Sequence: the engine hands over the answer to an ended request.
/// Cause: the answer's identity wasn't compared.
#[tokio::test(start_paused = true)]
async fn run_wrong_identity() {
    let bench = Bench::start().await;
    bench
        .engine
        .set(|knobs| knobs.answer_as = Some("r0".to_owned()));
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let failure = text(answer.unwrap()).await.unwrap_err();
    assert_eq!(failure.code, Code::WrongAnswer);
    assert_eq!(bench.dropped("request"), 1);
}

/// Symptom: an answer of a version that the template doesn't name.
/// Sequence: the engine resolves the name to the version before.
/// Cause: the answer's adapter wasn't compared.
#[tokio::test(start_paused = true)]
async fn run_wrong_adapter() {
    let bench = Bench::start().await;
    bench
        .engine
        .set(|knobs| knobs.answer_from = Some("plans@2".to_owned()));
    let failure = bench.registry.run(attempt("r1", "plans", false)).await;
    assert_eq!(failure.unwrap_err().code, Code::WrongAnswer);
    assert_eq!(bench.dropped("adapter"), 1);
}

/// Symptom: a short answer that looks whole.
/// Sequence: the engine's stream ends without an error before its last event.
/// Cause: the end of the bytes was taken for the end of the answer.
#[tokio::test(start_paused = true)]
async fn run_stream_without_end() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::Cut);
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let failure = text(answer.unwrap()).await.unwrap_err();
    assert_eq!(failure.code, Code::AnswerCut);
    let whole = bench.registry.run(attempt("r2", "plans", false)).await;
    assert_eq!(whole.unwrap_err().code, Code::AnswerCut);
}

/// Symptom: a caller with every event of its answer is told that the deadline cut it.
/// Sequence: the engine writes its last event and pauses before it closes the answer.
/// Cause: only the end of the bytes was taken for the end of the answer.
#[tokio::test(start_paused = true)]
async fn run_engine_pauses_after_done() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::Open);
    let mut bounded = attempt("r1", "plans", true);
    let deadline = bench.clock.now() + Millis::from_secs(60);
    bounded.ticket.deadline = deadline;
    let answer = bench.registry.run(bounded).await.unwrap();
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert!(bench.clock.now() < deadline);
}

/// Symptom: each change of a template's version stalls its first requests.
/// Sequence: a popular adapter's template moves to the next version.
/// Cause: the new version is loaded only when the first request names it.
#[tokio::test(start_paused = true)]
async fn upcoming_version_is_loaded_before() {
    let bench = Bench::start().await;
    for (id, name) in [("r1", "plans"), ("r2", "plans"), ("r3", "rare")] {
        let answer = bench.registry.run(attempt(id, name, true)).await;
        text(answer.unwrap()).await.unwrap();
    }
    let next = Adapter {
        version: "4".into(),
        ..adapter("plans")
    };
    bench.registry.prefetch(&[UpcomingAdapter {
        pool: "engines".into(),
        adapter: next.clone(),
        replaces: adapter("plans"),
    }]);
    tokio::time::sleep(Millis::from_secs(1).duration()).await;
    assert_eq!(bench.engine.loads(), ["plans@3", "rare@3", "plans@4"]);
    assert_eq!(bench.engine.unloads(), ["rare@3"]);
    let stalls = bench.metrics.stalls.get();
    let mut switched = attempt("r4", "plans", true);
    switched.ticket.adapter = Some(next);
    text(bench.registry.run(switched).await.unwrap())
        .await
        .unwrap();
    assert_eq!(bench.metrics.stalls.get(), stalls);
}

#[tokio::test(start_paused = true)]
async fn call_passes_whole() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    let answer = bench
        .registry
        .run(push("r1", "{\"sum\":12}"))
        .await
        .unwrap();
    assert_eq!(answer.head.status, 201);
    assert_eq!(answer.head.headers["x-till"], "4");
    assert_eq!(text(answer).await.unwrap(), "{\"sum\":12}");
    assert_eq!(bench.engine.runs(), ["POST /receipts?till=4"]);
}

/// Symptom: a short answer of a service that looks whole.
/// Sequence: its body ends before the length that its head gave.
/// Cause: the end of the bytes was taken for the end of the answer.
#[tokio::test(start_paused = true)]
async fn call_cut() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Cut);
    let answer = bench
        .registry
        .run(push("r1", "{\"sum\":12}"))
        .await
        .unwrap();
    let failure = text(answer).await.unwrap_err();
    assert_eq!(failure.code, Code::AnswerCut);
    assert_eq!(failure.fate(), Fate::Unknown);
}

/// Symptom: asking a service for a file's length always fails as a cut answer.
/// Sequence: the answer to a HEAD request gives the length that a GET would have.
/// Cause: that length was awaited, though no body follows.
#[tokio::test(start_paused = true)]
async fn call_head() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    let mut head = push("r1", "{\"sum\":12}");
    if let Work::Call { head, .. } = &mut head.work {
        head.method = Method::HEAD;
    }
    let answer = bench.registry.run(head).await.unwrap();
    assert_eq!(answer.head.headers["content-length"], "10");
    assert_eq!(text(answer).await.unwrap(), "");
}

/// Symptom: a receipt is called unknown although it was never sent.
/// Sequence: the service can't be reached; after three failures it gets no work.
/// Cause: a failed connection was taken for a broken one.
#[tokio::test(start_paused = true)]
async fn call_service_down() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Down);
    for number in 0..5 {
        let id = format!("r{number}");
        let failure = bench.registry.run(push(&id, "{}")).await.unwrap_err();
        assert_eq!(failure.code, Code::ConnectFailed);
        assert_eq!(failure.fate(), Fate::NotRun);
    }
    assert_eq!(bench.detector.failures(), 3);
    bench.engine.set(|knobs| knobs.fault = Fault::None);
    tokio::time::sleep(Millis::from_secs(2).duration()).await;
    let answer = bench.registry.run(push("r9", "{}")).await.unwrap();
    text(answer).await.unwrap();
    // The actor hears of the end after the caller has read it.
    tokio::time::sleep(Millis(1).duration()).await;
    assert_eq!(bench.detector.answers(), 1);
}

/// Symptom: a completion is sent to a plain service.
/// Sequence: a pool was declared anew as another kind.
/// Cause: nobody compares what the request is with what the upstream is.
#[tokio::test(start_paused = true)]
async fn run_upstream_of_another_kind() {
    let bench = Bench::start().await;
    let failure = bench.registry.run(push("r1", "{}")).await.unwrap_err();
    assert_eq!(failure.fate(), Fate::NotRun);
    assert!(bench.engine.runs().is_empty());
}
