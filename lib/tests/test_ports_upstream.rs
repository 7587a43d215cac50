//! Tests the clients of upstreams, the VM directory and the weight store against fakes, over sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::{Code, Failure};
use chivevalve::ports::upstream::{Connector, Limits};
use chivevalve::ports::{
    CompletionCall, Connector as _, Directory as _, Engine, Fence, Service, UpstreamResponse, Vm,
    Weights as _, directory, weights,
};
use chivevalve::request::Id;
use chivevalve_standins::directory::Directory;
use chivevalve_standins::engine::{Engine as EngineStandin, Knobs, Outcome, Shape, Violation};
use chivevalve_standins::serve::Server;
use chivevalve_standins::service::{self, CALL_KEY, Receipt, Service as ServiceStandin};
use chivevalve_standins::weights::{Knobs as WeightsKnobs, Weights};
use futures::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const FENCE: Fence = Fence { token: 7 };

struct Setup {
    weights: Arc<Weights>,
    standin: Arc<EngineStandin>,
    server: Server,
    engine: Arc<dyn Engine>,
}

async fn setup() -> Setup {
    let weights = Arc::new(Weights::new(Duration::from_millis(1)));
    let shape = Shape {
        slots: 2,
        ..Shape::default()
    };
    let standin = EngineStandin::start(shape, Arc::clone(&weights));
    let server = Server::start(Arc::clone(&standin) as _).await.unwrap();
    let engine = Connector::new(Limits::default()).engine(&vm(server.addr()));
    Setup {
        weights,
        standin,
        server,
        engine,
    }
}

fn vm(address: SocketAddr) -> Vm {
    Vm {
        name: "u".into(),
        address,
        pool: "p".into(),
        region: "r".into(),
        failure_domain: "d".into(),
        leaving: false,
    }
}

fn adapter(name: &str) -> Adapter {
    Adapter {
        base_model: "base".into(),
        name: name.into(),
        version: "2".into(),
    }
}

fn call(id: &str, adapter: &Adapter, tokens: u32, stream: bool) -> CompletionCall {
    let body = serde_json::json!({
        "model": adapter.engine_name(),
        "prompt": "a prompt of mark-9",
        "max_tokens": tokens,
        "stream": stream,
    });
    CompletionCall {
        id: Id(id.into()),
        adapter: adapter.clone(),
        path: "/v1/completions".into(),
        body: body.to_string().into(),
        priority: 0,
    }
}

async fn read(response: UpstreamResponse) -> Result<String, Failure> {
    let mut text = Vec::new();
    let mut body = response.body;
    while let Some(chunk) = body.next().await {
        text.extend_from_slice(&chunk?);
    }
    Ok(String::from_utf8(text).unwrap())
}

#[tokio::test]
async fn engine_complete_response() {
    let setup = setup().await;
    let Setup { engine, .. } = &setup;
    let adapter = adapter("sales");
    engine.load(&adapter, FENCE).await.unwrap();
    let response = engine.run(call("id-1", &adapter, 4, false), FENCE).await;
    let text = read(response.unwrap()).await.unwrap();
    assert!(text.contains("sales@2 id-1 mark-9 t3\""), "{text}");
}

#[tokio::test]
async fn engine_streamed_response() {
    let setup = setup().await;
    let Setup { engine, .. } = &setup;
    let adapter = adapter("sales");
    engine.load(&adapter, FENCE).await.unwrap();
    let response = engine.run(call("id-1", &adapter, 4, true), FENCE).await;
    let text = read(response.unwrap()).await.unwrap();
    assert_eq!(text.matches("data: {").count(), 4);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[tokio::test]
async fn engine_adapter_not_resident() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    let refused = engine
        .run(call("id-1", &adapter("a"), 4, true), FENCE)
        .await;
    assert_eq!(refused.unwrap_err().code, Code::UpstreamRefused);
    assert!(standin.runs().is_empty());
}

#[tokio::test]
async fn engine_loads_and_report() {
    let setup = setup().await;
    let Setup {
        engine, weights, ..
    } = &setup;
    engine.load(&adapter("a"), FENCE).await.unwrap();
    engine.load(&adapter("a"), FENCE).await.unwrap();
    engine.load(&adapter("b"), FENCE).await.unwrap();
    let full = engine.load(&adapter("c"), FENCE).await.unwrap_err();
    assert_eq!(full.code, Code::LoadFailed);
    engine.unload(&adapter("a"), FENCE).await.unwrap();
    engine.unload(&adapter("a"), FENCE).await.unwrap();
    weights.set(WeightsKnobs {
        fail_loads: 1,
        missing: ["base/d/2".to_owned()].into(),
        ..WeightsKnobs::default()
    });
    let missing = engine.load(&adapter("d"), FENCE).await.unwrap_err();
    assert_eq!(missing.code, Code::UnknownAdapter);
    let broken = engine.load(&adapter("c"), FENCE).await.unwrap_err();
    assert_eq!(broken.code, Code::LoadFailed);
    let report = engine.report().await.unwrap();
    assert_eq!(report.resident, ["b@2".into()]);
}

/// A request that an engine rejects because of a stale fencing token must fail with `NotOwner`.
#[tokio::test]
async fn engine_stale_token() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    let adapter = adapter("a");
    engine.load(&adapter, Fence { token: 9 }).await.unwrap();
    engine.unload(&adapter, FENCE).await.unwrap();
    let stale = Violation::StaleOrder {
        token: 7,
        newest: 9,
    };
    assert_eq!(standin.violations(), [stale]);
    standin.set(Knobs {
        checks_fencing: true,
        ..Knobs::default()
    });
    let refused = engine.run(call("id", &adapter, 4, true), FENCE).await;
    assert_eq!(refused.unwrap_err().code, Code::NotOwner);
    let refused = engine.load(&adapter, FENCE).await;
    assert_eq!(refused.unwrap_err().code, Code::NotOwner);
    assert_eq!(standin.counts().refused_stale, 2);
}

/// A response that an engine ends early must fail with `AnswerCut` rather than look complete.
#[tokio::test]
async fn engine_response_truncated() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    let adapter = adapter("a");
    engine.load(&adapter, FENCE).await.unwrap();
    for stream in [true, false] {
        standin.set(Knobs {
            cut_answers: 1,
            ..Knobs::default()
        });
        let response = engine.run(call("id", &adapter, 8, stream), FENCE).await;
        let cut = read(response.unwrap()).await.unwrap_err();
        assert_eq!(cut.code, Code::AnswerCut);
    }
}

#[tokio::test]
async fn engine_cancels_dropped_response() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    let adapter = adapter("a");
    engine.load(&adapter, FENCE).await.unwrap();
    let response = engine.run(call("id", &adapter, 100_000, true), FENCE).await;
    let mut body = response.unwrap().body;
    body.next().await.unwrap().unwrap();
    drop(body);
    while standin.runs()[0].outcome == Outcome::Running {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(standin.runs()[0].outcome, Outcome::Cancelled);
}

#[tokio::test]
async fn engine_evicted_in_use() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    let adapter = adapter("a");
    engine.load(&adapter, FENCE).await.unwrap();
    let response = engine.run(call("id", &adapter, 100_000, true), FENCE).await;
    engine.unload(&adapter, FENCE).await.unwrap();
    let evicted = Violation::EvictedInUse {
        adapter: "a@2".into(),
        users: 1,
    };
    assert_eq!(standin.violations(), [evicted]);
    drop(response);
}

#[tokio::test]
async fn engine_restart_loses_adapters() {
    let setup = setup().await;
    let Setup {
        engine, standin, ..
    } = &setup;
    engine.load(&adapter("a"), FENCE).await.unwrap();
    let before = engine.report().await.unwrap();
    standin.restart();
    let after = engine.report().await.unwrap();
    assert!(after.resident.is_empty());
    assert_ne!(before.boot, after.boot);
}

#[tokio::test]
async fn engine_down() {
    let setup = setup().await;
    let Setup { engine, server, .. } = &setup;
    server.stop().await;
    let failure = engine.run(call("id", &adapter("a"), 4, true), FENCE).await;
    assert_eq!(failure.unwrap_err().code, Code::ConnectFailed);
}

fn push(key: &str) -> http::request::Parts {
    http::Request::post("/receipts?till=4")
        .header(CALL_KEY, key)
        .header("connection", "keep-alive, x-hop")
        .header("x-hop", "1")
        .body(())
        .unwrap()
        .into_parts()
        .0
}

async fn service_setup() -> (Arc<ServiceStandin>, Server, Arc<dyn Service>) {
    let standin = Arc::new(ServiceStandin::new("s1"));
    let server = Server::start(Arc::clone(&standin) as _).await.unwrap();
    let service = Connector::new(Limits::default()).service(&vm(server.addr()));
    (standin, server, service)
}

#[tokio::test]
async fn service_forwards_request() {
    let (_, _server, service) = service_setup().await;
    let response = service
        .call(push("k"), Bytes::from_static(b"total 3"))
        .await;
    let receipt: Receipt = serde_json::from_str(&read(response.unwrap()).await.unwrap()).unwrap();
    assert_eq!(receipt.path, "/receipts?till=4");
    assert_eq!((receipt.runs, receipt.body.as_str()), (1, "total 3"));
}

/// A request that is reset on a reused connection must fail with `UpstreamLost`; the HTTP
/// client must not retry it.
#[tokio::test]
async fn upstream_reset_after_head() {
    let (standin, _server, service) = service_setup().await;
    read(service.call(push("first"), Bytes::new()).await.unwrap())
        .await
        .unwrap();
    standin.set(service::Knobs {
        reset_after: 1,
        ..service::Knobs::default()
    });
    let lost = service
        .call(push("second"), Bytes::new())
        .await
        .unwrap_err();
    assert_eq!(lost.code, Code::UpstreamLost);
    assert_eq!(standin.runs()["second"], 1);
}

/// If the server read part of a request before it closed the connection, the call must fail
/// with `UpstreamLost`, not with `ConnectFailed`, which would allow a retry.
#[tokio::test]
async fn upstream_closed_after_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 16];
        stream.read_exact(&mut head).await.unwrap();
    });
    let service = Connector::new(Limits::default()).service(&vm(address));
    let lost = service.call(push("k"), Bytes::new()).await.unwrap_err();
    assert_eq!(lost.code, Code::UpstreamLost);
    server.await.unwrap();
}

/// Serves an engine's connections: the first response is a rejection that names `rejected`, which
/// is sent again where that connection's next response is expected. All others are complete.
async fn rejecting_twice(rejected: &'static str) -> Arc<dyn Engine> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for is_first in std::iter::once(true).chain(std::iter::repeat(false)) {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let head = |status: &str, id: &str| {
                    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n")
                };
                let rejection = head("429 Too Many Requests", rejected);
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let answer = if is_first {
                        rejection.clone()
                    } else {
                        head("200 OK", "id-1")
                    };
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    Connector::new(Limits::default()).engine(&vm(address))
}

/// A second copy of a rejection isn't taken for the response to the next send.
#[tokio::test]
async fn engine_rejection_sent_twice() {
    let engine = rejecting_twice("id-1").await;
    let run = || engine.run(call("id-1", &adapter("sales"), 4, false), FENCE);
    assert_eq!(run().await.unwrap_err().code, Code::UpstreamRefused);
    // Lets the client's connection return to its pool.
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(run().await.unwrap().head.status, 200);
}

/// A rejection that names another request doesn't show that this one wasn't run.
#[tokio::test]
async fn engine_rejection_of_another_request() {
    let engine = rejecting_twice("id-0").await;
    let lost = engine.run(call("id-1", &adapter("sales"), 4, false), FENCE);
    assert_eq!(lost.await.unwrap_err().code, Code::WrongAnswer);
}

/// If the service closed an idle connection, the next call must succeed on a new connection.
#[tokio::test]
async fn upstream_closed_while_idle() {
    let (standin, server, service) = service_setup().await;
    read(service.call(push("first"), Bytes::new()).await.unwrap())
        .await
        .unwrap();
    server.stop().await;
    server.resume().await.unwrap();
    // Lets the client's connection task see the close before the next call.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let response = service.call(push("second"), Bytes::new()).await;
    read(response.unwrap()).await.unwrap();
    assert_eq!(standin.runs()["second"], 1);
}

/// A response shorter than its content length must fail with `AnswerCut`.
#[tokio::test]
async fn upstream_short_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await.unwrap();
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
        stream.write_all(response).await.unwrap();
    });
    let service = Connector::new(Limits::default()).service(&vm(address));
    let response = service.call(push("k"), Bytes::new()).await.unwrap();
    assert_eq!(read(response).await.unwrap_err().code, Code::AnswerCut);
}

#[tokio::test]
async fn directory_list() {
    let standin = Arc::new(Directory::new(vec![vm("127.0.0.1:9".parse().unwrap())]));
    let server = Server::start(Arc::clone(&standin) as _).await.unwrap();
    let client = directory::Client::new(server.addr(), Millis(500));
    assert_eq!(client.vms().await.unwrap().len(), 1);
    standin.set_leaving("u", true);
    assert!(client.vms().await.unwrap()[0].leaving);
    server.stop().await;
    assert!(client.vms().await.is_err());
}

#[tokio::test]
async fn weights_has() {
    let standin = Arc::new(Weights::new(Duration::ZERO));
    standin.set(WeightsKnobs {
        missing: ["base/gone/2".to_owned()].into(),
        ..WeightsKnobs::default()
    });
    let server = Server::start(standin as _).await.unwrap();
    let client = weights::Client::new(server.addr(), Millis(500));
    assert!(client.has(&adapter("here")).await.unwrap());
    assert!(!client.has(&adapter("gone")).await.unwrap());
}
