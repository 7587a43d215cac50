//! Responses to callers when upstreams fail, and which requests are retried.

mod entry_support;

use std::collections::BTreeSet;
use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::config::View;
use chivevalve::error::{Code, Failure};
use entry_support::{
    Ending, Step, declared, declared_again, events, eventually, fail, json, limits, three,
    three_suspended, world, world_with,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const PUSH: &str = "POST /services/push/orders";

/// A call that isn't idempotent isn't retried after its connection broke with the head sent.
#[tokio::test]
async fn outcome_reset_after_head() {
    let world = world().await;
    world.script.then(fail(Code::UpstreamLost));
    let answer = world.send(PUSH, &[], "1").await;
    assert!(answer.starts_with("HTTP/1.1 502"));
    assert!(answer.contains("\"fate\":\"unknown\""));
    assert_eq!(world.script.count(), 1);
    assert_eq!(
        world.metric("retries_denied_total{reason=\"not_idempotent\"}"),
        1
    );
}

#[tokio::test]
async fn outcome_reset_idempotent() {
    let world = world().await;
    world.script.then(fail(Code::UpstreamLost));
    world.script.then(json("{\"id\":\"second\"}"));
    let answer = world.chat("summary", "").await;
    assert!(answer.ends_with("{\"id\":\"second\"}"));
    assert_eq!(world.metric("retries_total{reason=\"upstream_lost\"}"), 1);
    let runs = world.script.runs.lock().unwrap();
    assert_ne!(runs[0].upstream, runs[1].upstream);
    assert_eq!(runs[0].ticket.id, runs[1].ticket.id);
}

#[tokio::test]
async fn outcome_refused_elsewhere() {
    let world = world().await;
    world.script.then(fail(Code::QueueFull));
    assert!(world.send(PUSH, &[], "1").await.starts_with("HTTP/1.1 200"));
    assert_eq!(world.script.count(), 2);
}

/// A request that crashes every upstream that runs it isn't tried at all of them.
#[tokio::test]
async fn outcome_poisoned_request() {
    let world = world().await;
    for _ in 0..3 {
        world.script.then(fail(Code::UpstreamLost));
    }
    let answer = world.chat("summary", "").await;
    assert!(answer.contains("\"code\":\"upstream_lost\""));
    assert_eq!(world.script.count(), 2);
    assert_eq!(world.metric("retries_denied_total{reason=\"unknowns\"}"), 1);
}

/// A request that crashes every upstream that runs it is quarantined when its caller repeats it.
#[tokio::test]
async fn outcome_poisoned_request_comes_again() {
    const ALLOWED: usize = 6;
    let world = world().await;
    for _ in 0..8 {
        for _ in 0..2 {
            world.script.then(fail(Code::UpstreamLost));
        }
        world.chat("summary", "").await;
        world.fleet.send_replace(Arc::new(three_suspended()));
        tokio::time::sleep(Millis(50).duration()).await;
        world.fleet.send_replace(Arc::new(three()));
    }
    let sent = world.script.count();
    assert!(sent <= ALLOWED, "it was sent {sent} times");
}

/// Different chats with a message that crashes every upstream are quarantined by that message.
#[tokio::test]
async fn outcome_poisoned_message_in_different_requests() {
    const ALLOWED: usize = 8;
    let world = world().await;
    for number in 0..10 {
        for _ in 0..2 {
            world.script.then(fail(Code::UpstreamLost));
        }
        let body = format!(
            r#"{{"model":"summary","messages":[{{"role":"system","content":"poison"}},{{"role":"user","content":"{number}"}}]}}"#
        );
        world.send("POST /v1/chat/completions", &[], &body).await;
        world.fleet.send_replace(Arc::new(three_suspended()));
        tokio::time::sleep(Millis(50).duration()).await;
        world.fleet.send_replace(Arc::new(three()));
    }
    let sent = world.script.count();
    assert!(sent <= ALLOWED, "it was sent {sent} times");
}

/// A last try that is refused isn't reported as "not run" if an earlier try may have run.
#[tokio::test]
async fn outcome_lost_then_refused() {
    let world = world().await;
    world.script.then(fail(Code::UpstreamLost));
    world.script.then(fail(Code::Brownout));
    let answer = world.chat("summary", "").await;
    assert!(answer.contains("\"code\":\"upstream_lost\""));
    assert!(answer.contains("\"fate\":\"unknown\""));
}

/// A truncated response that isn't streamed isn't forwarded with status 200.
#[tokio::test]
async fn outcome_whole_cut() {
    let world = world().await;
    let head = vec![("content-type", "application/json")];
    let cut = Ending::Broken(Code::AnswerCut);
    let step = Step::Answer(200, head, vec!["{\"id\"".into()], cut);
    world.script.then(step);
    let answer = world.chat("once", "").await;
    assert!(answer.starts_with("HTTP/1.1 502"));
    assert!(!answer.contains("{\"id\""));
}

/// A stream that its engine closes cleanly before `[DONE]` doesn't look complete.
#[tokio::test]
async fn outcome_stream_without_done() {
    let world = world().await;
    world.script.then(events(&["{\"n\":1}"], Ending::Whole));
    let answer = world.chat("summary", ",\"stream\":true").await;
    assert!(answer.contains("\"code\":\"answer_cut\""));
    assert!(!answer.contains("[DONE]"));
}

/// A stream is complete in each notation in which an engine may write the last event.
#[tokio::test]
async fn outcome_stream_done_without_space() {
    let world = world().await;
    let head = vec![("content-type", "text/event-stream")];
    for done in ["data:[DONE]\n\n", "data:  [DONE] \r\n\r\n"] {
        let pieces = vec!["data:1\n\n".into(), done.into()];
        let step = Step::Answer(200, head.clone(), pieces, Ending::Whole);
        world.script.then(step);
        let answer = world.chat("summary", ",\"stream\":true").await;
        assert_eq!(answer.matches("[DONE]").count(), 1, "{answer}");
        assert!(!answer.contains("\"error\""), "{answer}");
    }
}

/// No field of a stream's last event is sent before the response is known to be complete.
#[tokio::test]
async fn outcome_stream_done_named() {
    let world = world().await;
    let head = vec![("content-type", "text/event-stream")];
    let last = "data: 1\n\nevent: done\ndata: [DONE]\n\n";
    let cut = Ending::Broken(Code::WrongAnswer);
    let step = Step::Answer(200, head, vec![last.into()], cut);
    world.script.then(step);
    let answer = world.chat("summary", ",\"stream\":true").await;
    assert!(!answer.contains("event: done"), "{answer}");
    assert!(answer.contains("\"code\":\"wrong_answer\""), "{answer}");
}

/// `[DONE]` isn't sent if the owner finds the stream to be another request's response.
#[tokio::test]
async fn outcome_stream_wrong_at_the_end() {
    let world = world().await;
    let cut = Ending::Broken(Code::WrongAnswer);
    world.script.then(events(&["{\"n\":1}", "[DONE]"], cut));
    let answer = world.chat("summary", ",\"stream\":true").await;
    assert!(answer.contains("\"code\":\"wrong_answer\""));
    assert!(!answer.contains("[DONE]"));
}

/// A truncated response of a service doesn't end cleanly.
#[tokio::test]
async fn outcome_service_cut() {
    let world = world().await;
    // Without a length the last chunk is missing; with one the body is too short. The HTTP
    // library may drop chunks that it hasn't written yet.
    let cut = Ending::Broken(Code::AnswerCut);
    let parts = vec!["part".into()];
    let step = Step::Answer(200, vec![], parts.clone(), cut.clone());
    world.script.then(step);
    let chunked = world.send("GET /services/lookup/file", &[], "").await;
    assert!(!chunked.ends_with("0\r\n\r\n"), "{chunked}");
    let length = vec![("content-length", "9")];
    world.script.then(Step::Answer(200, length, parts, cut));
    let sized = world.send("GET /services/lookup/file", &[], "").await;
    assert!(sized.is_empty() || sized.contains("content-length: 9"));
    let lost = "refusals_total{code=\"3004\",fate=\"unknown\"}";
    world.until(lost, 2).await;
}

/// A response whose task panics doesn't end cleanly.
#[tokio::test]
async fn outcome_service_panic() {
    let world = world().await;
    let parts = vec!["part".into()];
    world
        .script
        .then(Step::Answer(200, vec![], parts, Ending::Panic));
    let chunked = world.send("GET /services/lookup/file", &[], "").await;
    assert!(!chunked.ends_with("0\r\n\r\n"), "{chunked}");
}

/// A truncated response without a length doesn't look complete to an HTTP/1.0 caller.
#[tokio::test]
async fn outcome_service_cut_old_http() {
    let world = world().await;
    let line = "GET /services/lookup/file";
    let old = entry_support::request(line, &["authorization: Bearer shop-key"], "")
        .replace("HTTP/1.1", "HTTP/1.0");
    let parts = || vec!["part".into(), "rest".into()];
    let cut = Ending::Broken(Code::AnswerCut);
    world
        .script
        .then(Step::Answer(200, vec![], parts(), cut.clone()));
    world.script.then(Step::Answer(200, vec![], parts(), cut));
    let answer = world.raw(&old).await;
    assert!(!answer.starts_with("HTTP/1.0 200"), "{answer}");
    world
        .script
        .then(Step::Answer(200, vec![], parts(), Ending::Whole));
    let answer = world.raw(&old).await;
    assert!(answer.contains("content-length: 8\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\npartrest"), "{answer}");
}

#[tokio::test]
async fn outcome_service_head() {
    let world = world().await;
    let length = vec![("content-length", "9")];
    world
        .script
        .then(Step::Answer(200, length, vec![], Ending::Whole));
    let answer = world.send("HEAD /services/lookup/file", &[], "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("content-length: 9\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    let whole = "requests_total{class=\"normal\",code=\"0\"}";
    world.until(whole, 1).await;
}

#[tokio::test]
async fn outcome_engine_says_no() {
    let world = world().await;
    let engine_error =
        "{\"error\":{\"message\":\"too hot\",\"param\":\"temperature\",\"code\":400}}";
    let head = vec![("content-type", "application/json")];
    world.script.then(Step::Answer(
        400,
        head,
        vec![engine_error.into()],
        Ending::Whole,
    ));
    golden!(
        "engine_says_no",
        world.chat("summary", ",\"stream\":true").await
    );
    assert_eq!(world.script.count(), 1);
}

/// Doubles a request's deadline until it is long enough to reach the upstream; each error code
/// must tell whether it did.
async fn expire(step: Step, line: &str, body: &str) {
    let world = world().await;
    world.script.then(step);
    for doubling in 0..16 {
        let header = format!("x-deadline-ms: {}", 1 << doubling);
        let answer = world.send(line, &[&header], body).await;
        if world.script.count() > 0 {
            assert!(answer.contains("\"code\":\"expired_running\""), "{answer}");
            world.script.closed().await;
            return;
        }
        assert!(answer.contains("\"code\":\"expired_waiting\""), "{answer}");
    }
    panic!("no deadline was long enough");
}

/// A request whose upstream never responds ends at its deadline.
#[tokio::test]
async fn outcome_deadline_running() {
    expire(Step::Hang, PUSH, "1").await;
}

#[tokio::test]
async fn outcome_deadline_while_streaming() {
    let body = r#"{"model":"summary","messages":[],"stream":true}"#;
    let step = events(&["{\"n\":1}"], Ending::Silent);
    expire(step, "POST /v1/chat/completions", body).await;
}

#[tokio::test]
async fn outcome_deadline_header_bad() {
    let world = world().await;
    for value in ["0", "-1", "soon", "1.5"] {
        let header = format!("x-deadline-ms: {value}");
        let answer = world.send(PUSH, &[&header], "1").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{value}");
    }
    assert_eq!(world.script.count(), 0);
}

/// An engine's run is cancelled when its caller disconnects.
#[tokio::test]
async fn outcome_caller_gone_streaming() {
    let world = world().await;
    world.script.then(events(&["{\"n\":1}"], Ending::Silent));
    let body = r#"{"model":"summary","messages":[],"stream":true}"#;
    let headers = ["authorization: Bearer shop-key"];
    let text = entry_support::request("POST /v1/chat/completions", &headers, body);
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut some = [0; 16];
    stream.read_exact(&mut some).await.unwrap();
    drop(stream);
    world.script.closed().await;
    let gone = "refusals_total{code=\"3006\",fate=\"unknown\"}";
    world.until(gone, 1).await;
}

#[tokio::test]
async fn outcome_no_upstream() {
    let world = world().await;
    world.fleet.send(Arc::default()).unwrap();
    let answer = world.chat("summary", "").await;
    assert!(answer.contains("\"code\":\"no_upstream\""));
    assert!(answer.contains("retry-after: 1"));
}

/// Requests aren't rejected while an upstream moves to another owner.
#[tokio::test]
async fn outcome_upstream_comes_back() {
    let mut limits = limits();
    limits.upstream_wait = Millis::from_secs(600);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    world.fleet.send(Arc::default()).unwrap();
    let call = world.chat("summary", "");
    let back = async {
        world.until("requests_in_flight", 1).await;
        world.fleet.send(Arc::new(three())).unwrap();
    };
    let (answer, ()) = tokio::join!(call, back);
    assert!(answer.starts_with("HTTP/1.1 200"));
}

/// All tries of a request use one configuration revision.
#[tokio::test]
async fn outcome_one_revision() {
    let world = world().await;
    for _ in 0..2 {
        world.script.then(fail(Code::NotOwner));
    }
    let call = world.chat("summary", "");
    let change = async {
        while world.script.count() == 0 {
            tokio::task::yield_now().await;
        }
        let empty = View::new(4, vec![], vec![], vec![]);
        world.view.send(Arc::new(empty)).unwrap();
    };
    let (answer, ()) = tokio::join!(call, change);
    assert!(answer.starts_with("HTTP/1.1 200"));
    let runs = world.script.runs.lock().unwrap();
    assert!(
        runs.iter()
            .all(|run| run.ticket.revision == declared().revision())
    );
}

#[tokio::test]
async fn outcome_last_try_is_marked() {
    let world = world().await;
    for _ in 0..3 {
        world.script.then(fail(Code::PassedOn));
    }
    assert!(world.chat("summary", "").await.starts_with("HTTP/1.1 200"));
    let runs = world.script.runs.lock().unwrap();
    let last: Vec<bool> = runs.iter().map(|run| run.last).collect();
    assert_eq!(last, [false, false, false, true]);
    let tried: BTreeSet<&str> = runs.iter().map(|run| &*run.upstream).collect();
    assert_eq!(
        tried.len(),
        3,
        "each upstream is tried before the request waits"
    );
    assert_eq!(
        runs[0].upstream, runs[3].upstream,
        "the request waits at the first candidate"
    );
}

/// A planned shutdown doesn't interrupt streams.
#[tokio::test]
async fn outcome_stop_lets_streams_finish() {
    let world = world().await;
    let mut pieces: Vec<String> = (0..50).map(|n| format!("{{\"n\":{n}}}")).collect();
    pieces.push("[DONE]".into());
    let pieces: Vec<&str> = pieces.iter().map(String::as_str).collect();
    world.script.then(events(&pieces, Ending::Whole));
    let body = r#"{"model":"summary","messages":[],"stream":true}"#;
    let headers = ["authorization: Bearer shop-key"];
    let text = entry_support::request("POST /v1/chat/completions", &headers, body);
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![0; 16];
    stream.read_exact(&mut answer).await.unwrap();
    let served = world.stop();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(String::from_utf8_lossy(&answer).contains("[DONE]"));
    served.await.unwrap();
}

/// Streams continue when a configuration takes effect or upstreams change.
#[tokio::test]
async fn outcome_changes_while_streaming() {
    let world = world().await;
    let released = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&released), rest);
    world.script.then(events(&["1"], slow));
    let call = world.chat("summary", ",\"stream\":true");
    let change = async {
        while world.script.count() == 0 {
            tokio::task::yield_now().await;
        }
        let empty = View::new(4, vec![], vec![], vec![]);
        world.view.send(Arc::new(empty)).unwrap();
        world.fleet.send(Arc::default()).unwrap();
        released.notify_one();
    };
    let (answer, ()) = tokio::join!(call, change);
    assert!(answer.contains("data: [DONE]"), "{answer}");
    let refused = world.chat("summary", ",\"stream\":true").await;
    assert!(refused.starts_with("HTTP/1.1 401"), "{refused}");
}

/// No timeout interrupts a stream during a long prefill or a pause of its engine.
#[tokio::test]
async fn outcome_engine_silent() {
    let mut limits = limits();
    limits.head_timeout = Millis(250);
    limits.body_timeout = Millis(250);
    limits.idle_timeout = Millis(250);
    limits.write_timeout = Millis(250);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let released = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&released), rest);
    world.script.then(events(&["1"], slow));
    let call = world.chat("summary", ",\"stream\":true");
    let pause = async {
        while world.script.count() == 0 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Millis(1_000).duration()).await;
        released.notify_one();
    };
    let (answer, ()) = tokio::join!(call, pause);
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

#[tokio::test]
async fn outcome_retry_after_is_passed_on() {
    let world = world().await;
    let failure = Failure::new(Code::Brownout, "").retry_after(Millis(2_500));
    world.script.then(Step::Fail(failure));
    let answer = world.chat("summary", "").await;
    assert!(answer.contains("retry-after: 3\r\n"));
    assert!(answer.contains("\"retry_after_ms\":2500"));
}

/// One caller's short deadlines don't divert other requests from their upstreams.
#[tokio::test]
async fn outcome_expiry_blames_no_upstream() {
    let world = world().await;
    for code in [Code::ExpiredRunning, Code::UpstreamError, Code::BadRequest] {
        world.script.then(fail(code));
        world.chat("summary", "").await;
    }
    world.chat("summary", "").await;
    let runs = world.script.runs.lock().unwrap();
    let upstreams: BTreeSet<&str> = runs.iter().map(|run| &*run.upstream).collect();
    assert_eq!((runs.len(), upstreams.len()), (4, 1));
}

/// A request whose template changed while it was queued is rerouted, not rejected.
#[tokio::test]
async fn outcome_version_replaced_while_it_waits() {
    let mut limits = limits();
    limits.upstream_wait = Millis(5_000);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    world.script.then(fail(Code::Outdated));
    let replaced = async {
        eventually(|| world.script.count() == 1).await;
        world.view.send_replace(Arc::new(declared_again("v2")));
    };
    let (answer, ()) = tokio::join!(world.chat("once", ""), replaced);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(world.last_version().as_deref(), Some("v2"));
    assert_eq!(world.script.count(), 2);
}

/// A request isn't run on a version that its owner reports as replaced, even if the entry node
/// doesn't learn of the change.
#[tokio::test]
async fn outcome_version_replaced_unknown_here() {
    let world = world().await;
    world.script.then(fail(Code::Outdated));
    let answer = world.chat("once", "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"fate\":\"not_run\""));
    assert_eq!(world.script.count(), 1);
}
