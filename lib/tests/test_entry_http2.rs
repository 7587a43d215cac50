//! Many requests on one HTTP/2 connection: what befalls one stays its own.

mod entry_support;

use std::sync::Arc;

use bytes::Bytes;
use chivevalve::clock::Millis;
use chivevalve::error::Code;
use entry_support::{Ending, Step, World, events, json, limits, world, world_with};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

type Caller = SendRequest<Full<Bytes>>;

async fn connect(world: &World) -> Caller {
    let stream = TcpStream::connect(world.address).await.unwrap();
    let io = TokioIo::new(stream);
    let (caller, connection) = handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    caller
}

async fn call(caller: &Caller, path: &str, body: &str) -> Response<Incoming> {
    let request = Request::post(format!("http://node{path}"))
        .header("authorization", "Bearer shop-key")
        .body(Full::from(body.to_owned()))
        .unwrap();
    caller.clone().send_request(request).await.unwrap()
}

async fn chat(caller: &Caller, stream: bool) -> Response<Incoming> {
    let body = format!(r#"{{"model":"summary","messages":[],"stream":{stream}}}"#);
    call(caller, "/v1/chat/completions", &body).await
}

async fn text(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

#[tokio::test]
async fn http2_whole_and_streamed() {
    let world = world().await;
    let caller = connect(&world).await;
    world.script.then(json("{\"id\":1}"));
    assert_eq!(text(chat(&caller, false).await).await, "{\"id\":1}");
    world.script.then(events(&["1", "[DONE]"], Ending::Whole));
    let streamed = chat(&caller, true).await;
    assert_eq!(streamed.headers()["content-type"], "text/event-stream");
    assert_eq!(text(streamed).await, "data: 1\n\ndata: [DONE]\n\n");
}

/// Symptom: a short answer of a service looks whole.
/// Sequence: the service dies while it answers a caller on HTTP/2.
/// Cause: the stream was closed in order instead of being reset.
#[tokio::test]
async fn http2_service_cut() {
    let world = world().await;
    let caller = connect(&world).await;
    let cut = Ending::Broken(Code::AnswerCut);
    world
        .script
        .then(Step::Answer(200, vec![], vec!["part".into()], cut));
    let response = call(&caller, "/services/lookup/file", "").await;
    assert!(response.into_body().collect().await.is_err());
    assert_eq!(
        call(&caller, "/services/lookup/file", "").await.status(),
        200
    );
}

#[tokio::test]
async fn http2_caller_drops_one() {
    let world = world().await;
    let caller = connect(&world).await;
    world.script.then(events(&["1"], Ending::Silent));
    let dropped = chat(&caller, true).await;
    drop(dropped);
    world.script.closed().await;
    assert_eq!(chat(&caller, false).await.status(), 200);
}

/// Symptom: an engine's place is held by a caller that doesn't read.
/// Sequence: a caller with many requests on one connection forgets one stream.
/// Cause: the connection was alive, so no timeout on it came to pass.
#[tokio::test]
async fn http2_slow_reader_of_one() {
    let mut limits = limits();
    limits.write_timeout = Millis(50);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    let long = "a".repeat(60_000);
    let pieces = vec![long.as_str(); 500];
    world.script.then(events(&pieces, Ending::Silent));
    let forgotten = chat(&caller, true).await;
    world.script.closed().await;
    let slow = "refusals_total{code=\"3008\",fate=\"unknown\"}";
    world.until(slow, 1).await;
    assert_eq!(chat(&caller, false).await.status(), 200);
    drop(forgotten);
}

/// Symptom: a short answer of a service looks whole.
/// Sequence: a caller leaves one stream unread until the node gives it up, and reads on then.
/// Cause: the cut waited for room among the unread pieces, none came, and the stream ended in order.
#[tokio::test]
async fn http2_service_cut_unread() {
    let mut limits = limits();
    limits.write_timeout = Millis(50);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    let pieces = vec!["a".repeat(60_000); 500];
    let long = Step::Answer(200, vec![], pieces, Ending::Silent);
    world.script.then(long);
    let unread = call(&caller, "/services/lookup/file", "").await;
    world.script.closed().await;
    assert!(unread.into_body().collect().await.is_err());
    let slow = "refusals_total{code=\"3008\",fate=\"unknown\"}";
    world.until(slow, 1).await;
}

/// Symptom: an engine's place is held long after the request's deadline.
/// Sequence: the deadline passes while the caller isn't reading.
/// Cause: the upstream was let go only once the caller had taken the news, or had been given up.
#[tokio::test]
async fn http2_deadline_unread() {
    let world = world().await;
    let caller = connect(&world).await;
    let long = "a".repeat(60_000);
    world
        .script
        .then(events(&vec![long.as_str(); 500], Ending::Silent));
    let body = r#"{"model":"summary","messages":[],"stream":true}"#;
    let request = Request::post("http://node/v1/chat/completions")
        .header("authorization", "Bearer shop-key")
        .header("x-deadline-ms", "1000")
        .body(Full::from(body))
        .unwrap();
    let unread = caller.clone().send_request(request).await.unwrap();
    world.script.closed().await;
    let seen = text(unread).await;
    let (_, last) = seen.trim_end().rsplit_once("\n\n").unwrap();
    assert!(last.contains("\"code\":\"expired_running\""));
}
