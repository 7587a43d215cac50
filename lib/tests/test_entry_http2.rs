//! Concurrent requests on one HTTP/2 connection: a failure of one doesn't affect the others.

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

// Frame types and flags, from RFC 9113, section 6.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

type Client = SendRequest<Full<Bytes>>;

async fn connect(world: &World) -> Client {
    let stream = TcpStream::connect(world.address).await.unwrap();
    let io = TokioIo::new(stream);
    let (caller, connection) = handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    caller
}

async fn call(caller: &Client, path: &str, body: &str) -> Response<Incoming> {
    let request = Request::post(format!("http://node{path}"))
        .header("authorization", "Bearer shop-key")
        .body(Full::from(body.to_owned()))
        .unwrap();
    caller.clone().send_request(request).await.unwrap()
}

async fn chat(caller: &Client, stream: bool) -> Response<Incoming> {
    let body = format!(r#"{{"model":"summary","messages":[],"stream":{stream}}}"#);
    call(caller, "/v1/chat/completions", &body).await
}

async fn text(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

#[tokio::test]
async fn http2_complete_and_streamed() {
    let world = world().await;
    let caller = connect(&world).await;
    world.script.then(json("{\"id\":1}"));
    assert_eq!(text(chat(&caller, false).await).await, "{\"id\":1}");
    world.script.then(events(&["1", "[DONE]"], Ending::Whole));
    let streamed = chat(&caller, true).await;
    assert_eq!(streamed.headers()["content-type"], "text/event-stream");
    assert_eq!(text(streamed).await, "data: 1\n\ndata: [DONE]\n\n");
}

/// Guards against a truncated service response that looks complete: when the service fails in the
/// middle of a response, the HTTP/2 stream must be reset and not closed regularly.
#[tokio::test]
async fn http2_service_truncated() {
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
async fn http2_caller_drops_one_stream() {
    let world = world().await;
    let caller = connect(&world).await;
    world.script.then(events(&["1"], Ending::Silent));
    let dropped = chat(&caller, true).await;
    drop(dropped);
    world.script.closed().await;
    assert_eq!(chat(&caller, false).await.status(), 200);
}

/// Guards against an engine slot that is held for a caller that doesn't read: the caller reads its
/// other streams, so the connection is active and none of its timeouts expires.
#[tokio::test]
async fn http2_one_stream_unread() {
    let mut limits = limits();
    limits.write_timeout = Millis(50);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    let long = "a".repeat(60_000);
    let chunks = vec![long.as_str(); 500];
    world.script.then(events(&chunks, Ending::Silent));
    let forgotten = chat(&caller, true).await;
    world.script.closed().await;
    let slow = "refusals_total{code=\"3008\",fate=\"unknown\"}";
    world.until(slow, 1).await;
    assert_eq!(chat(&caller, false).await.status(), 200);
    drop(forgotten);
}

/// Guards against a truncated service response that looks complete: a caller leaves a stream unread
/// until the node gives up on it, and then reads on. If the abort had to wait for free space in
/// the full frame channel, it would get lost and the stream would end regularly.
#[tokio::test]
async fn http2_service_truncated_unread() {
    let mut limits = limits();
    limits.write_timeout = Millis(50);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    let chunks = vec!["a".repeat(60_000); 500];
    let long = Step::Answer(200, vec![], chunks, Ending::Silent);
    world.script.then(long);
    let unread = call(&caller, "/services/lookup/file", "").await;
    world.script.closed().await;
    assert!(unread.into_body().collect().await.is_err());
    let slow = "refusals_total{code=\"3008\",fate=\"unknown\"}";
    world.until(slow, 1).await;
}

/// Guards against an engine slot that is held long after the request's deadline: the deadline passes
/// while the caller isn't reading. The upstream must be released without waiting until the caller
/// has read the error or has been given up.
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

/// Guards against long responses that are truncated on slow links: the caller takes longer than the
/// idle timeout to read one. If the body yielded all its bytes in one frame, the connection would
/// count as idle while the caller still reads.
#[tokio::test]
async fn http2_not_idle_while_response_is_read() {
    const BYTES: usize = 32 << 20;
    let mut limits = limits();
    limits.idle_timeout = Millis(300);
    limits.head_timeout = Millis(300);
    limits.max_response_bytes = 2 * BYTES;
    limits.max_buffered_bytes = 4 * BYTES;
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let caller = connect(&world).await;
    world.script.then(json(&"a".repeat(BYTES)));
    let response = chat(&caller, false).await;
    tokio::time::sleep(Millis(1_500).duration()).await;
    let taken = response.into_body().collect().await;
    assert_eq!(taken.unwrap().to_bytes().len(), BYTES);
}

/// Guards against a caller on a slow link being taken for one that doesn't read: the response comes
/// in long chunks, and the caller reads a part of a chunk but never a whole one within the write
/// timeout. If only whole chunks counted as progress, it would be given up.
#[tokio::test]
async fn http2_slow_reader_is_kept() {
    const CHUNK_BYTES: usize = 1 << 20;
    const CHUNKS: usize = 8;
    let mut limits = limits();
    limits.write_timeout = Millis(250);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let io = TokioIo::new(TcpStream::connect(world.address).await.unwrap());
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder.initial_stream_window_size(64 << 10);
    let (caller, connection) = builder.handshake(io).await.unwrap();
    tokio::spawn(connection);
    let chunks = vec!["a".repeat(CHUNK_BYTES); CHUNKS];
    world
        .script
        .then(Step::Answer(200, vec![], chunks, Ending::Whole));
    let mut body = call(&caller, "/services/lookup/file", "").await.into_body();
    let mut taken = 0;
    while let Some(frame) = body.frame().await {
        taken += frame.unwrap().into_data().unwrap().len();
        tokio::time::sleep(Millis(5).duration()).await;
    }
    assert_eq!(taken, CHUNK_BYTES * CHUNKS);
}

/// Guards against a planned stop that truncates a stream: the node is stopped while a response is
/// streamed on an HTTP/2 connection, and the engine sends the rest some time later. The connection
/// must stay open until its streams have ended.
#[tokio::test]
async fn http2_stop_lets_streams_finish() {
    let world = world().await;
    let caller = connect(&world).await;
    let resume = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&resume), rest);
    world.script.then(events(&["1"], slow));
    let streamed = chat(&caller, true).await;
    let served = world.stop();
    tokio::time::sleep(Millis(100).duration()).await;
    resume.notify_one();
    assert_eq!(text(streamed).await, "data: 1\n\ndata: [DONE]\n\n");
    drop(caller);
    served.await.unwrap();
}

/// Encodes an HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let head = [
        length[1], length[2], length[3], kind, flags, 0, 0, 0, stream,
    ];
    [&head, payload].concat()
}

/// Reads frames until one of the wanted type and returns its payload; none if the connection closes.
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

/// Encodes the header block of a chat request: indexed fields, then literal ones without Huffman
/// coding.
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

/// Encodes the client's connection preface.
fn connection_preface() -> Vec<u8> {
    [PREFACE, &frame(SETTINGS, 0, 0, &[])].concat()
}

/// Encodes the frames of a request for a streamed chat.
fn chat_request(stream: u8) -> Vec<u8> {
    let body = br#"{"model":"summary","messages":[],"stream":true}"#;
    let head = frame(HEADERS, END_HEADERS, stream, &chat_headers());
    [head, frame(DATA, END_STREAM, stream, body)].concat()
}

/// Guards against all streams of a proxy's connection being aborted while their engines still
/// generate: the node pauses for a moment, and meanwhile some tens of new requests on the connection
/// are cancelled before the node has accepted them. The HTTP library's default takes so many resets
/// for an attack and closes the connection.
#[tokio::test]
async fn http2_many_resets_before_accept() {
    const CANCEL: [u8; 4] = [0, 0, 0, 8];
    let world = world().await;
    let resume = Arc::new(Notify::new());
    let rest = vec!["data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&resume), rest);
    world.script.then(events(&["1"], slow));
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    let open = [connection_preface(), chat_request(1)].concat();
    stream.write_all(&open).await.unwrap();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 1\n\n");
    let cancelled = |stream| [chat_request(stream), frame(RST_STREAM, 0, stream, &CANCEL)].concat();
    let burst: Vec<u8> = (3..=203).step_by(2).flat_map(cancelled).collect();
    stream.write_all(&burst).await.unwrap();
    tokio::time::sleep(Millis(100).duration()).await;
    resume.notify_one();
    let end = read_until(&mut stream, DATA).await.unwrap();
    assert_eq!(end, b"data: [DONE]\n\n");
}

/// Guards against a stream being truncated after ten seconds while its engine still generates: an
/// idle connection is being closed, and a request that was already on its way is accepted, as the
/// protocol requires. With a fixed time to close, the connection would end whatever runs on it.
#[tokio::test]
async fn http2_request_during_graceful_close() {
    let mut limits = limits();
    limits.head_timeout = Millis(500);
    let world = world_with(limits, Arc::default(), Arc::default()).await;
    let resume = Arc::new(Notify::new());
    let rest = vec!["data: 2\n\n".into(), "data: [DONE]\n\n".into()];
    let slow = Ending::Later(Arc::clone(&resume), rest);
    world.script.then(events(&["1"], slow));
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    stream.write_all(&connection_preface()).await.unwrap();
    read_until(&mut stream, GOAWAY).await.unwrap();
    stream.write_all(&chat_request(1)).await.unwrap();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 1\n\n");
    tokio::time::sleep(Millis(1_500).duration()).await;
    resume.notify_one();
    assert_eq!(read_until(&mut stream, DATA).await.unwrap(), b"data: 2\n\n");
    let end = read_until(&mut stream, DATA).await.unwrap();
    assert_eq!(end, b"data: [DONE]\n\n");
}
