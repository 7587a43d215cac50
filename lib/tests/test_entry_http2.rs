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
use hyper::client::conn::http2::{self, SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Kinds and flags of frames, from RFC 9113, section 6.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

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
    let long = "a".repeat(8_000);
    world
        .script
        .then(events(&vec![long.as_str(); 4_000], Ending::Silent));
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

/// Symptom: a caller on a slow line never gets a long answer whole.
/// Sequence: the answer is long; the caller makes room for it bit by bit, for longer than a
/// connection may rest.
/// Cause: the answer's bytes were handed over at once, and from then on the connection counted
/// as resting.
#[tokio::test]
async fn http2_idle_while_answer_is_taken() {
    const BYTES: usize = 32 << 20;
    let mut limits = limits();
    limits.idle_timeout = Millis(300);
    limits.head_timeout = Millis(300);
    limits.max_response_bytes = 2 * BYTES;
    limits.max_buffered_bytes = 4 * BYTES;
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    world.script.then(json(&"a".repeat(BYTES)));
    let answer = chat(&caller, false).await;
    tokio::time::sleep(Millis(1_500).duration()).await;
    let taken = answer.into_body().collect().await;
    assert_eq!(taken.unwrap().to_bytes().len(), BYTES);
}

/// Symptom: a caller on a slow line is cut off and told that it took nothing.
/// Sequence: the answer comes in long pieces; the caller takes some of a piece, but never a
/// whole one, within the time for a write.
/// Cause: only whole pieces were counted as taken.
#[tokio::test]
async fn http2_slow_reader_that_reads() {
    const PIECE: usize = 1 << 20;
    const PIECES: usize = 8;
    let mut limits = limits();
    limits.write_timeout = Millis(250);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let io = TokioIo::new(TcpStream::connect(world.address).await.unwrap());
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder.initial_stream_window_size(64 << 10);
    let (caller, connection) = builder.handshake(io).await.unwrap();
    tokio::spawn(connection);
    let pieces = vec!["a".repeat(PIECE); PIECES];
    world
        .script
        .then(Step::Answer(200, vec![], pieces, Ending::Whole));
    let mut body = call(&caller, "/services/lookup/file", "").await.into_body();
    let mut taken = 0;
    while let Some(frame) = body.frame().await {
        taken += frame.unwrap().into_data().unwrap().len();
        tokio::time::sleep(Millis(5).duration()).await;
    }
    assert_eq!(taken, PIECE * PIECES);
}

/// Symptom: a planned stop cuts off a stream.
/// Sequence: the node is stopped while an answer is under way on an HTTP/2 connection; the
/// engine goes on some time later.
/// Cause: the close of the connection didn't wait for its streams.
#[tokio::test]
async fn http2_stop_lets_streams_finish() {
    let world = world().await;
    let caller = connect(&world).await;
    let said = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&said), rest);
    world.script.then(events(&["1"], slow));
    let streamed = chat(&caller, true).await;
    let served = world.stop();
    tokio::time::sleep(Millis(100).duration()).await;
    said.notify_one();
    assert_eq!(text(streamed).await, "data: 1\n\ndata: [DONE]\n\n");
    drop(caller);
    served.await.unwrap();
}

/// Makes a frame of HTTP/2.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let head = [
        length[1], length[2], length[3], kind, flags, 0, 0, 0, stream,
    ];
    [&head, payload].concat()
}

/// Reads frames up to one of a kind and returns its payload, or none when the connection closes.
async fn read_until(stream: &mut TcpStream, wanted: u8) -> Option<Vec<u8>> {
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        stream.read_exact(&mut payload).await.ok()?;
        if head[3] == wanted {
            return Some(payload);
        }
    }
}

/// Makes the block of a chat's headers: indexed fields, then literal ones without Huffman coding.
fn chat_headers() -> Vec<u8> {
    const METHOD_POST: u8 = 0x83;
    const SCHEME_HTTP: u8 = 0x86;
    let mut block = vec![METHOD_POST, SCHEME_HTTP];
    let literal: [(&[u8], &str); 3] = [
        (&[4], "/v1/chat/completions"),
        (&[1], "node"),
        (&[0x0f, 8], "Bearer shop-key"),
    ];
    for (name, value) in literal {
        block.extend_from_slice(name);
        block.push(u8::try_from(value.len()).unwrap());
        block.extend_from_slice(value.as_bytes());
    }
    block
}

/// Makes what opens a connection.
fn hello() -> Vec<u8> {
    [PREFACE, &frame(SETTINGS, 0, 0, &[])].concat()
}

/// Makes the frames that ask for a streamed chat.
fn asked(stream: u8) -> Vec<u8> {
    let body = br#"{"model":"summary","messages":[],"stream":true}"#;
    let head = frame(HEADERS, END_HEADERS, stream, &chat_headers());
    [head, frame(DATA, END_STREAM, stream, body)].concat()
}

/// Symptom: a proxy's streams break off together while their engines still write.
/// Sequence: the node pauses for a moment; some tens of the requests that come meanwhile on
/// one connection are cancelled before it has seen them.
/// Cause: so many resets at once count as an attack, and end the connection.
#[tokio::test]
async fn http2_many_gone_unseen() {
    const CANCEL: [u8; 4] = [0, 0, 0, 8];
    let world = world().await;
    let said = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&said), rest);
    world.script.then(events(&["1"], slow));
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    let open = [hello(), asked(1)].concat();
    stream.write_all(&open).await.unwrap();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 1\n\n");
    let cancelled = |stream| [asked(stream), frame(RST_STREAM, 0, stream, &CANCEL)].concat();
    let burst: Vec<u8> = (3..=203).step_by(2).flat_map(cancelled).collect();
    stream.write_all(&burst).await.unwrap();
    tokio::time::sleep(Millis(100).duration()).await;
    said.notify_one();
    let end = read_until(&mut stream, DATA).await.unwrap();
    assert_eq!(end, b"data: [DONE]\n\n");
}

/// Symptom: a stream breaks off after ten seconds though its engine still writes.
/// Sequence: a connection has rested long enough and is closed; a request that was already on
/// its way is taken, as the protocol wants it.
/// Cause: from the decision on the connection had a fixed time, whatever ran on it.
#[tokio::test]
async fn http2_request_meets_close() {
    let mut limits = limits();
    limits.head_timeout = Millis(500);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let said = Arc::new(Notify::new());
    let rest = vec!["data: 2\n\n".into(), "data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&said), rest);
    world.script.then(events(&["1"], slow));
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    stream.write_all(&hello()).await.unwrap();
    read_until(&mut stream, GOAWAY).await.unwrap();
    stream.write_all(&asked(1)).await.unwrap();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 1\n\n");
    tokio::time::sleep(Millis(1_500).duration()).await;
    said.notify_one();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 2\n\n");
    let end = read_until(&mut stream, DATA).await.unwrap();
    assert_eq!(end, b"data: [DONE]\n\n");
}
