//! Requests that run at an upstream through its owner's registry.

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
async fn streamed_response_names_the_template() {
    let bench = Bench::start().await;
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let seen = text(answer.unwrap()).await.unwrap();
    assert!(seen.contains("\"model\":\"template-plans\""), "{seen}");
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert_eq!(bench.engine.loads(), [adapter("plans").engine_name()]);
}

#[tokio::test(start_paused = true)]
async fn unstreamed_response_names_the_template() {
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

/// A waiting request must not start on a version that its template has moved away from.
#[tokio::test(start_paused = true)]
async fn run_outdated_while_waiting() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = bench.registry.run(attempt("r1", "plans", true)).await;
    let registry = Arc::clone(&bench.registry);
    let waiting = tokio::spawn(async move { registry.run(attempt("r2", "plans", true)).await });
    tokio::time::sleep(Millis(100).duration()).await;
    assert!(!waiting.is_finished());
    bench.routing.change(adapter("faults"));
    let failure = waiting.await.unwrap().unwrap_err();
    assert_eq!(failure.code, Code::Outdated);
    assert_eq!(failure.fate(), Fate::NotRun);
    // The running request continues, and a request for the new version waits for it to end.
    drop(running.unwrap());
    bench.engine.set(|knobs| knobs.pieces = 2);
    let next = bench.registry.run(attempt("r3", "faults", true)).await;
    text(next.unwrap()).await.unwrap();
    assert_eq!(bench.engine.runs(), ["r1", "r3"]);
}

/// A request must not start on the previous version when it is granted just after the change.
#[tokio::test(start_paused = true)]
async fn run_outdated_at_grant() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let running = bench.registry.run(attempt("r1", "plans", true)).await;
    let registry = Arc::clone(&bench.registry);
    let waiting = tokio::spawn(async move { registry.run(attempt("r2", "plans", true)).await });
    tokio::time::sleep(Millis(100).duration()).await;
    // No time passes between the change and the end of the running request.
    bench.routing.change(adapter("faults"));
    drop(running.unwrap());
    let failure = waiting.await.unwrap().unwrap_err();
    assert_eq!(failure.code, Code::Outdated);
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// Guards against an upstream losing capacity each time that a caller disconnects in
/// the middle of a response, which happened when a request was ended only at the end
/// of its response.
#[tokio::test(start_paused = true)]
async fn run_caller_disconnects_while_reading() {
    let bench = Bench::with_batch(1).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let endless = bench.registry.run(attempt("r1", "plans", true)).await;
    drop(endless.unwrap());
    bench.engine.set(|knobs| knobs.pieces = 2);
    let next = bench.registry.run(attempt("r2", "plans", true)).await;
    text(next.unwrap()).await.unwrap();
}

/// Guards against running a request whose caller disconnected while it was queued,
/// which happened when the queue wasn't notified.
#[tokio::test(start_paused = true)]
async fn run_caller_disconnects_while_waiting() {
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

/// Guards against a caller reading another caller's response: the engine delivers the
/// response to an earlier request. The ID in the response must be checked.
#[tokio::test(start_paused = true)]
async fn run_wrong_request_id() {
    let bench = Bench::start().await;
    bench
        .engine
        .set(|knobs| knobs.answer_as = Some("r0".to_owned()));
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let failure = text(answer.unwrap()).await.unwrap_err();
    assert_eq!(failure.code, Code::WrongAnswer);
    assert_eq!(bench.dropped("request"), 1);
}

/// Guards against a response from a version that the template doesn't name: the engine
/// resolves the name to the previous version. The adapter in the response must be checked.
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

/// Guards against a truncated response that looks complete: the engine's stream ends
/// without an error before its last event. The end of the bytes doesn't show that the
/// response is complete.
#[tokio::test(start_paused = true)]
async fn run_truncated_response() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::Truncated);
    let answer = bench.registry.run(attempt("r1", "plans", true)).await;
    let failure = text(answer.unwrap()).await.unwrap_err();
    assert_eq!(failure.code, Code::AnswerCut);
    let whole = bench.registry.run(attempt("r2", "plans", false)).await;
    assert_eq!(whole.unwrap_err().code, Code::AnswerCut);
}

/// Guards against reporting a complete response as expired: the engine sends its last
/// event and pauses before it ends the stream. This happened when only the end of the
/// bytes counted as the end of the response.
#[tokio::test(start_paused = true)]
async fn run_engine_pauses_after_done() {
    let bench = Bench::start().await;
    bench.engine.set(|knobs| knobs.fault = Fault::NeverEnds);
    let mut bounded = attempt("r1", "plans", true);
    let deadline = bench.clock.now() + Millis::from_secs(60);
    bounded.ticket.deadline = deadline;
    let answer = bench.registry.run(bounded).await.unwrap();
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert!(bench.clock.now() < deadline);
}

/// Guards against stalling the first requests after a template moves to the next version
/// of a popular adapter, which happened when the version was loaded only at the first
/// request that names it.
#[tokio::test(start_paused = true)]
async fn upcoming_version_is_prefetched() {
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
async fn call_is_forwarded_unchanged() {
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

/// Guards against a truncated response of a service that looks complete: its body ends
/// before the length that its head declares.
#[tokio::test(start_paused = true)]
async fn call_truncated_response() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Truncated);
    let answer = bench
        .registry
        .run(push("r1", "{\"sum\":12}"))
        .await
        .unwrap();
    let failure = text(answer).await.unwrap_err();
    assert_eq!(failure.code, Code::AnswerCut);
    assert_eq!(failure.fate(), Fate::Unknown);
}

/// Guards against reporting every response to a HEAD request as truncated: its head
/// declares the length that a GET would have, but no body follows.
#[tokio::test(start_paused = true)]
async fn call_head_request() {
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

/// Guards against reporting a receipt's fate as unknown although it was never sent: the
/// service can't be reached, and after three failures it gets no work. This happened
/// when a failed connection attempt was treated as a broken connection.
#[tokio::test(start_paused = true)]
async fn call_service_down() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    bench.engine.set(|knobs| knobs.fault = Fault::Unreachable);
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
    // The actor learns of the end after the caller has read the response.
    tokio::time::sleep(Millis(1).duration()).await;
    assert_eq!(bench.detector.answers(), 1);
}

/// Guards against sending a completion to a plain service, or a call to an engine, after
/// a pool has been declared as another kind.
#[tokio::test(start_paused = true)]
async fn run_upstream_of_another_kind() {
    let bench = Bench::start().await;
    let failure = bench.registry.run(push("r1", "{}")).await.unwrap_err();
    assert_eq!(failure.fate(), Fate::NotRun);
    assert!(bench.engine.runs().is_empty());
}
