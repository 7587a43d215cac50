//! Limits on callers that send too much, too slowly, or malformed requests.

mod entry_support;

use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::entry::Limits;
use entry_support::{Ending, Step, World, events, json, limits, request, world, world_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const AUTHORIZATION: &str = "authorization: Bearer shop-key";
const PUSH: &str = "POST /services/push/orders";

async fn world_with_limits(change: impl FnOnce(&mut Limits)) -> World {
    let mut limits = limits();
    change(&mut limits);
    world_with(limits, Arc::default(), Arc::default()).await
}

async fn connect(world: &World, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(world.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

async fn read_to_close(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Asserts that other callers are served and no request is left in progress.
async fn assert_serving(world: &World) {
    let answer = world.send("GET /v1/models", &[], "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    world.until("requests_in_flight", 0).await;
}

#[tokio::test]
async fn limit_head_too_large() {
    let world = world().await;
    let header = format!("x-long: {}", "a".repeat(200_000));
    let answer = world.send("GET /v1/models", &[&header], "").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_serving(&world).await;
}

#[tokio::test]
async fn limit_too_many_headers() {
    let world = world().await;
    let many = vec!["x-one: 1"; 500];
    let answer = world.send("GET /v1/models", &many, "").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_serving(&world).await;
}

#[tokio::test]
async fn limit_not_http() {
    let world = world().await;
    for text in [
        "\0\0\0\0\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "a\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nXX",
    ] {
        let answer = read_to_close(connect(&world, text).await).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    assert_serving(&world).await;
}

#[tokio::test]
async fn limit_body_too_large() {
    let world = world().await;
    let announced = request(PUSH, &[AUTHORIZATION, "content-length: 99999999999"], "");
    let answer = world.raw(&announced).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("\"number\":1005"));
    let chunk = format!("1388\r\n{}\r\n0\r\n\r\n", "a".repeat(5_000));
    let chunked = request(PUSH, &[AUTHORIZATION, "transfer-encoding: chunked"], "") + &chunk;
    assert!(world.raw(&chunked).await.starts_with("HTTP/1.1 413"));
    let long = format!(",\"user\":\"{}\"", "a".repeat(5_000));
    assert!(
        world
            .chat("summary", &long)
            .await
            .starts_with("HTTP/1.1 413")
    );
    assert_eq!(world.script.count(), 0);
    assert_serving(&world).await;
}

#[tokio::test]
async fn limit_bad_bodies() {
    let world = world().await;
    let line = "POST /v1/chat/completions";
    let deep = format!("{{\"model\":{}", "[".repeat(3_000));
    for body in [
        "",
        "{",
        "[]",
        "nonsense",
        "{\"model\":\"summary\"}",
        deep.as_str(),
    ] {
        let answer = world.send(line, &[], body).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{body}: {answer}");
        assert!(answer.contains("\"number\":1001"));
    }
    let answer = world.chat("summary", ",\"max_tokens\":257").await;
    assert!(answer.contains("\"code\":\"too_many_tokens\""));
    let answer = world.chat("push", "").await;
    assert!(answer.starts_with("HTTP/1.1 400"));
    assert_eq!(world.script.count(), 0);
    assert_serving(&world).await;
}

/// Guards against prompts in logs: the JSON library's error messages quote the text of a malformed
/// body.
#[tokio::test]
async fn limit_bad_body_not_quoted() {
    let world = world().await;
    let body = "{\"model\":\"summary\",\"messages\":\"secret prompt\"}";
    let answer = world.send("POST /v1/chat/completions", &[], body).await;
    assert!(answer.starts_with("HTTP/1.1 400"));
    assert!(!answer.contains("secret"));
}

#[tokio::test]
async fn limit_two_keys() {
    let world = world().await;
    let answer = world.send("GET /v1/models", &[AUTHORIZATION], "").await;
    assert!(answer.starts_with("HTTP/1.1 401"));
}

/// Guards against callers that announce a body and send a byte now and then. They exhausted the
/// node's limit of requests in progress when each byte restarted the timeout.
#[tokio::test]
async fn limit_slow_body() {
    let world = world_with_limits(|limits| limits.body_timeout = Millis(30)).await;
    let head = request(PUSH, &[AUTHORIZATION, "content-length: 100"], "");
    let mut stream = connect(&world, &head).await;
    let mut answer = Vec::new();
    loop {
        tokio::select! {
            read = stream.read_buf(&mut answer) => {
                if read.unwrap_or(0) == 0 || answer.len() > 12 {
                    break;
                }
            }
            () = tokio::time::sleep(Millis(5).duration()) => {
                let _ = stream.write_all(b"a").await;
            }
        }
    }
    assert!(answer.starts_with(b"HTTP/1.1 408"));
    assert_eq!(world.script.count(), 0);
    assert_serving(&world).await;
}

#[tokio::test]
async fn limit_slow_head() {
    let world = world_with_limits(|limits| limits.head_timeout = Millis(30)).await;
    let halves = [
        "",
        "GET /v1/models HTTP/1.1\r\nhost: no",
        "PRI * HTTP/2.0\r\n",
    ];
    for text in halves {
        let answer = read_to_close(connect(&world, text).await).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    assert_serving(&world).await;
    world.until("connections", 0).await;
}

#[tokio::test]
async fn limit_idle_connection() {
    let world = world_with_limits(|limits| limits.idle_timeout = Millis(30)).await;
    let text = format!("GET /v1/models HTTP/1.1\r\nhost: node\r\n{AUTHORIZATION}\r\n\r\n");
    // The connection stays open after the response until the node closes it.
    let answer = read_to_close(connect(&world, &text).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"));
    world.until("connections", 0).await;
}

#[tokio::test]
async fn limit_connections() {
    let world = world_with_limits(|limits| limits.connections = 2).await;
    let held = [connect(&world, "").await, connect(&world, "").await];
    world.until("connections", 2).await;
    assert_eq!(read_to_close(connect(&world, "").await).await, "");
    drop(held);
    world.until("connections", 0).await;
    assert_serving(&world).await;
}

/// Guards against a burst of one account filling the node, which happened when requests were
/// admitted by order of arrival alone: the node then rejected every other account.
#[tokio::test]
async fn limit_in_flight_by_account() {
    let world = world_with_limits(|limits| limits.in_flight = 8).await;
    for _ in 0..8 {
        world.script.then(Step::Hang);
    }
    let works = request("GET /v1/models", &["authorization: Bearer works-key"], "");
    let mut calls: Vec<_> = Vec::new();
    for _ in 0..8 {
        calls.push(connect(&world, &request(PUSH, &[AUTHORIZATION], "1")).await);
        world.until("requests_in_flight", calls.len() as u64).await;
    }
    let refused = world.send(PUSH, &[], "1").await;
    assert!(refused.contains("\"code\":\"node_full\""), "{refused}");
    drop(calls.pop());
    drop(calls.pop());
    world.until("requests_in_flight", 6).await;
    assert!(world.raw(&works).await.starts_with("HTTP/1.1 200"));
}

/// Guards against running out of memory when many callers send bodies of the maximum size at once:
/// the limit on a single body doesn't bound their total.
#[tokio::test]
async fn limit_buffered_bytes() {
    let world = world_with_limits(|limits| limits.max_buffered_bytes = 8 << 10).await;
    let body = "a".repeat(4_000);
    for _ in 0..2 {
        world.script.then(Step::Hang);
    }
    let text = request(PUSH, &[AUTHORIZATION], &body);
    let held = [connect(&world, &text).await, connect(&world, &text).await];
    while world.script.count() < 2 {
        tokio::task::yield_now().await;
    }
    let refused = world.send(PUSH, &[], &body).await;
    assert!(refused.contains("\"code\":\"node_full\""), "{refused}");
    drop(held);
    assert_serving(&world).await;
    assert!(
        world
            .send(PUSH, &[], &body)
            .await
            .starts_with("HTTP/1.1 200")
    );
}

/// Guards against a caller that requests a long stream and stops reading. It occupied an engine's
/// slot when the node waited without a timeout for space in the caller's buffers.
#[tokio::test]
async fn limit_slow_reader() {
    let world = world_with_limits(|limits| limits.write_timeout = Millis(50)).await;
    let long = format!("\"{}\"", "a".repeat(60_000));
    let pieces = vec![long.as_str(); 500];
    world.script.then(events(&pieces, Ending::Silent));
    let body = r#"{"model":"summary","messages":[],"stream":true}"#;
    let text = request("POST /v1/chat/completions", &[AUTHORIZATION], body);
    let stream = connect(&world, &text).await;
    while world.script.count() == 0 {
        tokio::task::yield_now().await;
    }
    world.script.closed().await;
    world.until("connections", 0).await;
    drop(stream);
    assert_serving(&world).await;
}

/// Guards against closing a connection as idle while its caller slowly reads a long response. The
/// response's bytes are passed to the connection at once, which then counted as idle although the
/// caller took longer than the idle timeout to read them.
#[tokio::test]
async fn limit_idle_while_answer_is_taken() {
    const BYTES: usize = 32 << 20;
    let world = world_with_limits(|limits| {
        limits.idle_timeout = Millis(300);
        limits.head_timeout = Millis(300);
        limits.max_response_bytes = 2 * BYTES;
        limits.max_buffered_bytes = 4 * BYTES;
    })
    .await;
    world.script.then(json(&"a".repeat(BYTES)));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 << 10).unwrap();
    let mut stream = socket.connect(world.address).await.unwrap();
    let body = r#"{"model":"summary","messages":[]}"#;
    let text = request("POST /v1/chat/completions", &[AUTHORIZATION], body);
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![0; 16];
    stream.read_exact(&mut answer).await.unwrap();
    tokio::time::sleep(Millis(1_500).duration()).await;
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.len() > BYTES, "{} of {BYTES} bytes", answer.len());
}
