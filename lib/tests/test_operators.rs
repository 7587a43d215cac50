//! The operators' interface of one node, over loopback, before fakes of the other parts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::config::View;
use chivevalve::declaration::{Pool, PoolKind, Template};
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{Owner, State, Upstream};
use chivevalve::metrics::Metrics;
use chivevalve::name::Name;
use chivevalve::operators::{Limits, Parts, Refusal, port, serve, wire};
use chivevalve::policy::placement;
use chivevalve::ports::Vm;
use chivevalve::request::Class;
use chivevalve::secret;
use chivevalve::settings::{Access, Node, Role, Token};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const READ: &str = "token-that-reads";
const WRITE: &str = "token-that-writes";

#[derive(Debug, Default)]
struct Fake {
    draining: AtomicBool,
}

#[async_trait]
impl port::Configuration for Fake {
    fn rollout(&self) -> wire::Rollout {
        wire::Rollout::default()
    }

    async fn export(&self) -> Result<wire::Export, Refusal> {
        Ok(wire::Export {
            revision: 3,
            files: Vec::new(),
        })
    }

    async fn plan(&self, _: Vec<wire::File>) -> Result<wire::Plan, Refusal> {
        Ok(wire::Plan::default())
    }

    async fn apply(&self, change: wire::Apply, author: Name) -> Result<wire::Accepted, Refusal> {
        // The author comes back in the id, so that a test sees who was recorded.
        Ok(wire::Accepted {
            revision: change.expected_revision + 1,
            change_id: author.to_string(),
            differences: 1,
            already: false,
        })
    }

    async fn rollback(&self, _: wire::Rollback, _: Name) -> Result<wire::Accepted, Refusal> {
        Ok(wire::Accepted {
            revision: 4,
            change_id: String::new(),
            differences: 1,
            already: false,
        })
    }

    async fn history(&self, _: usize) -> Result<wire::History, Refusal> {
        Ok(wire::History::default())
    }
}

#[async_trait]
impl port::Membership for Fake {
    fn nodes(&self) -> Vec<wire::Peer> {
        vec![wire::Peer {
            name: "entry-2".to_owned(),
            operators: Some("127.0.0.2:9".parse().unwrap()),
            ..wire::Peer::default()
        }]
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn drain_node(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn drain_upstream(&self, _: &str) -> Result<(), Refusal> {
        Ok(())
    }
}

impl port::Ownership for Fake {
    fn owned(&self) -> Vec<wire::Owned> {
        vec![wire::Owned {
            upstream: "engine-1".to_owned(),
            running: 2,
            waiting: [1, 4, 9],
            resident: vec![wire::Slot {
                adapter: "till@7".to_owned(),
                pins: 2,
            }],
            ..wire::Owned::default()
        }]
    }
}

fn view() -> View {
    let template = Template {
        account: "bakery".into(),
        name: "summary".into(),
        pool: "engines".into(),
        adapter: Some(chivevalve::adapter::Adapter {
            base_model: "base".into(),
            name: "till".into(),
            version: "7".into(),
        }),
        class: Class::Normal,
        weight: 1,
        idempotent: true,
        deadline: None,
        max_output_tokens: None,
        max_body_bytes: None,
    };
    let pool = Pool {
        name: "engines".into(),
        kind: PoolKind::Engine {
            base_model: "base".into(),
            slots: 4,
        },
        batch: 8,
        checks_fencing: true,
    };
    View::new(3, vec![], vec![pool], vec![template])
}

fn fleet() -> Fleet {
    let upstream = |name: &str, state| Upstream {
        vm: Vm {
            name: name.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            pool: "engines".into(),
            region: "north".into(),
            failure_domain: "north-a".into(),
            leaving: state == State::Leaving,
        },
        state,
    };
    let owner = |node: &str| {
        Arc::new(Owner {
            node: node.into(),
            incarnation: 1,
            token: 12,
            peer: "127.0.0.1:2".parse().unwrap(),
        })
    };
    Fleet::new(
        vec![
            upstream("engine-1", State::Usable),
            upstream("engine-2", State::Usable),
            upstream("engine-3", State::Leaving),
        ],
        HashMap::from([
            ("engine-1".into(), owner("entry-1")),
            ("engine-2".into(), owner("entry-2")),
        ]),
    )
}

struct Site {
    address: std::net::SocketAddr,
    stop: CancellationToken,
    fake: Arc<Fake>,
    _senders: (watch::Sender<Arc<View>>, watch::Sender<Arc<Fleet>>),
}

async fn start(limits: Limits) -> Site {
    let token = |name: &str, key: &str, role| Token {
        name: name.into(),
        digest: secret::digest(key.as_bytes()),
        role,
    };
    let fake = Arc::new(Fake::default());
    let (view, view_receiver) = watch::channel(Arc::new(view()));
    let (fleet, fleet_receiver) = watch::channel(Arc::new(fleet()));
    let parts = Parts {
        node: Node {
            name: "entry-1".into(),
            region: "north".into(),
            failure_domain: "north-a".into(),
        },
        access: Access {
            tokens: vec![
                token("looker", READ, Role::Read),
                token("pipeline", WRITE, Role::Write),
            ],
        },
        view: view_receiver,
        fleet: fleet_receiver,
        configuration: Arc::clone(&fake) as Arc<dyn port::Configuration>,
        membership: Arc::clone(&fake) as Arc<dyn port::Membership>,
        ownership: Arc::clone(&fake) as Arc<dyn port::Ownership>,
        placement: placement::Limits::default(),
        metrics: Arc::new(Metrics::new()),
        limits,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, parts, stop.clone()));
    Site {
        address,
        stop,
        fake,
        _senders: (view, fleet),
    }
}

impl Site {
    async fn call(
        &self,
        method: Method,
        path: &str,
        token: Option<&str>,
        body: &Value,
    ) -> (StatusCode, String) {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request.body(body).unwrap()).await.unwrap();
        let status = answer.status();
        let bytes = answer.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(bytes.to_vec()).unwrap())
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        let (status, text) = self.call(Method::GET, path, Some(READ), &Value::Null).await;
        (status, serde_json::from_str(&text).unwrap())
    }
}

fn calls() -> [(Method, &'static str, Value, Role); 8] {
    let change = json!({"change_id": "c1", "reason": "why", "expected_revision": 3, "files": []});
    let back =
        json!({"change_id": "c1", "reason": "why", "expected_revision": 3, "to_revision": 2});
    let drain = json!({"kind": "upstream", "name": "engine-1"});
    [
        (Method::GET, "/v1/status", Value::Null, Role::Read),
        (Method::GET, "/v1/config", Value::Null, Role::Read),
        (Method::GET, "/v1/history?limit=5", Value::Null, Role::Read),
        (
            Method::GET,
            "/v1/explain?account=bakery&template=summary",
            Value::Null,
            Role::Read,
        ),
        (Method::POST, "/v1/plan", json!({"files": []}), Role::Read),
        (Method::POST, "/v1/apply", change, Role::Write),
        (Method::POST, "/v1/rollback", back, Role::Write),
        (Method::POST, "/v1/drain", drain, Role::Write),
    ]
}

#[tokio::test]
async fn gate_every_call() {
    let site = start(Limits::default()).await;
    for (method, path, body, role) in calls() {
        for (token, expected) in [
            (None, 401),
            (Some("token-that-guesses"), 401),
            (Some(READ), if role == Role::Read { 200 } else { 403 }),
            (Some(WRITE), 200),
        ] {
            let (status, text) = site.call(method.clone(), path, token, &body).await;
            assert_eq!(status.as_u16(), expected, "{path} {token:?}: {text}");
            assert!(!text.contains("token-that"), "{path}: {text}");
        }
    }
}

#[tokio::test]
async fn open_paths_without_token() {
    let site = start(Limits::default()).await;
    for (path, expected) in [
        ("/healthz", 200),
        ("/readyz", 200),
        ("/metrics", 200),
        ("/", 404),
    ] {
        let (status, _) = site.call(Method::GET, path, None, &Value::Null).await;
        assert_eq!(status.as_u16(), expected, "{path}");
    }
}

#[tokio::test]
async fn apply_records_token_name() {
    let site = start(Limits::default()).await;
    let (_, _, body, _) = calls().into_iter().nth(5).unwrap();
    let (_, text) = site
        .call(Method::POST, "/v1/apply", Some(WRITE), &body)
        .await;
    assert!(text.contains("\"change_id\":\"pipeline\""), "{text}");
}

#[tokio::test]
async fn apply_refuses_unknown_fields_and_missing_reason() {
    let site = start(Limits::default()).await;
    for body in [
        json!({"change_id": "c", "reason": " ", "expected_revision": 3, "files": []}),
        json!({"change_id": "", "reason": "r", "expected_revision": 3, "files": []}),
        json!({"change_id": "c", "reason": "r", "expected_revision": 3, "files": [{"colour": 1}]}),
    ] {
        let (status, text) = site
            .call(Method::POST, "/v1/apply", Some(WRITE), &body)
            .await;
        assert_eq!(status, 400, "{text}");
    }
}

/// A body beyond the bound is refused, instead of being collected whole in memory.
#[tokio::test]
async fn apply_body_too_large() {
    let limits = Limits {
        draft_bytes: 1_000,
        ..Limits::default()
    };
    let site = start(limits).await;
    let body = json!({"files": [], "padding": "x".repeat(2_000)});
    let (status, text) = site.call(Method::POST, "/v1/plan", Some(READ), &body).await;
    assert_eq!(status, 413, "{text}");
}

/// Connections that never send a head are closed, so that operators can reach the node.
#[tokio::test]
async fn stalled_connections_make_room() {
    let limits = Limits {
        connections: 1,
        head_timeout: chivevalve::clock::Millis(50),
        ..Limits::default()
    };
    let site = start(limits).await;
    let mut stalled = TcpStream::connect(site.address).await.unwrap();
    stalled
        .write_all(b"GET /healthz HTTP/1.1\r\n")
        .await
        .unwrap();
    let (status, _) = site.call(Method::GET, "/healthz", None, &Value::Null).await;
    assert_eq!(status, 200);
    let mut rest = Vec::new();
    let _ = stalled.read_to_end(&mut rest).await;
}

#[tokio::test]
async fn drain_node_not_ready() {
    let site = start(Limits::default()).await;
    let body = json!({"kind": "node", "name": "entry-1"});
    let (status, _) = site
        .call(Method::POST, "/v1/drain", Some(WRITE), &body)
        .await;
    assert_eq!(status, 200);
    assert!(site.fake.draining.load(Ordering::Relaxed));
    let (status, text) = site.call(Method::GET, "/readyz", None, &Value::Null).await;
    assert_eq!(
        (status.as_u16(), text.as_str()),
        (503, "not ready: the node drains\n")
    );
}

#[tokio::test]
async fn drain_elsewhere_names_node() {
    let site = start(Limits::default()).await;
    for body in [
        json!({"kind": "node", "name": "entry-2"}),
        json!({"kind": "upstream", "name": "engine-2"}),
    ] {
        let (status, text) = site
            .call(Method::POST, "/v1/drain", Some(WRITE), &body)
            .await;
        assert_eq!(status, 421, "{text}");
        assert!(text.contains("127.0.0.2:9"), "{text}");
    }
    let body = json!({"kind": "node", "name": "entry-9"});
    let (status, _) = site
        .call(Method::POST, "/v1/drain", Some(WRITE), &body)
        .await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn explain_orders_candidates() {
    let site = start(Limits::default()).await;
    let (status, told) = site
        .get("/v1/explain?account=bakery&template=summary")
        .await;
    assert_eq!(status, 200, "{told}");
    let names = |key: &str| -> Vec<String> {
        told[key]
            .as_array()
            .unwrap()
            .iter()
            .map(|one| one["upstream"].as_str().unwrap().to_owned())
            .collect()
    };
    // Each usable upstream once, then the home again, where the request waits.
    let mut candidates = names("candidates");
    assert_eq!(candidates.len(), 3);
    assert_eq!(candidates.first(), candidates.last());
    candidates.pop();
    candidates.sort();
    assert_eq!(candidates, ["engine-1", "engine-2"]);
    assert_eq!(names("passed_over"), ["engine-3"]);
    let owned = told["candidates"]
        .as_array()
        .unwrap()
        .iter()
        .find(|one| one["upstream"] == "engine-1")
        .unwrap();
    assert_eq!(owned["resident"], true);
    assert_eq!(owned["ahead"], 5);
    let (status, _) = site.get("/v1/explain?account=bakery&template=other").await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn serve_stop_refuses_connections() {
    let site = start(Limits::default()).await;
    site.stop.cancel();
    // The listener closes as soon as the loop sees the stop.
    while TcpStream::connect(site.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
}
