//! A node's entry on loopback, with scripted upstreams.

#![allow(dead_code, unused_imports, reason = "each test uses only some of it")]

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::adapter::Adapter;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::config::View;
use chivevalve::declaration::{Account, Pool, PoolKind, Template};
use chivevalve::entry::{self, Dependencies, Limits, Quarantine};
use chivevalve::error::{Code, Failure};
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{Owner, State, Upstream};
use chivevalve::metrics::Metrics;
use chivevalve::name::Name;
use chivevalve::ports::{UpstreamResponse, Vm};
use chivevalve::request::Class;
use chivevalve::runner::{Attempt, Reach, Runner, Share, Work};
use futures::StreamExt;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

mod store;

pub use store::{Fault, MemoryStore};

/// How a scripted response ends.
#[derive(Debug, Clone)]
pub enum Ending {
    Whole,
    Broken(Code),
    Silent,
    /// Reading it panics.
    Panic,
    /// Once notified, sends more chunks and completes.
    Later(Arc<Notify>, Vec<String>),
}

/// What a scripted attempt does.
#[derive(Debug, Clone)]
pub enum Step {
    Fail(Failure),
    Answer(u16, Vec<(&'static str, &'static str)>, Vec<String>, Ending),
    Hang,
}

pub fn fail(code: Code) -> Step {
    Step::Fail(Failure::new(code, "as scripted"))
}

pub fn json(text: &str) -> Step {
    let head = vec![("content-type", "application/json")];
    Step::Answer(200, head, vec![text.into()], Ending::Whole)
}

pub fn events(data: &[&str], ending: Ending) -> Step {
    let pieces = data.iter().map(|data| format!("data: {data}\n\n"));
    let head = vec![("content-type", "text/event-stream")];
    Step::Answer(200, head, pieces.collect(), ending)
}

/// Upstreams that follow the script and record the attempts that they receive.
#[derive(Debug, Default)]
pub struct Script {
    steps: Mutex<VecDeque<Step>>,
    pub runs: Mutex<Vec<Attempt>>,
    /// Number of attempts and responses that have neither ended nor been dropped.
    open: Arc<AtomicUsize>,
}

/// Counts as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Script {
    pub fn then(&self, step: Step) {
        self.steps.lock().unwrap().push_back(step);
    }

    /// Describes each attempt: upstream, number, and body or call.
    pub fn story(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().map(describe).collect()
    }

    /// Waits until all attempts and responses have ended or been dropped.
    pub async fn closed(&self) {
        eventually(|| self.open.load(Ordering::SeqCst) == 0).await;
    }

    pub fn count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

fn describe(run: &Attempt) -> String {
    let what = match &run.work {
        Work::Completion { path, body, stream } => {
            format!("{path} stream={stream} {}", String::from_utf8_lossy(body))
        }
        Work::Call { head, body } => {
            let text = String::from_utf8_lossy(body);
            format!("{} {} {:?} {text}", head.method, head.uri, head.headers)
        }
    };
    format!("{} try {}: {what}", run.upstream, run.number)
}

#[async_trait]
impl Runner for Script {
    async fn run(&self, attempt: Attempt) -> Result<UpstreamResponse, Failure> {
        self.runs.lock().unwrap().push(attempt);
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenGuard(Arc::clone(&self.open));
        let step = self.steps.lock().unwrap().pop_front();
        match step.unwrap_or_else(|| json("{}")) {
            Step::Fail(failure) => Err(failure),
            Step::Hang => std::future::pending().await,
            Step::Answer(status, headers, pieces, ending) => {
                let mut response = http::Response::builder().status(status);
                for (name, value) in headers {
                    response = response.header(name, value);
                }
                let (head, ()) = response.body(()).unwrap().into_parts();
                let pieces = pieces.into_iter().map(move |piece| {
                    let _ = &open;
                    Ok(Bytes::from(piece))
                });
                let pieces = futures::stream::iter(pieces);
                let body = match ending {
                    Ending::Whole => pieces.boxed(),
                    Ending::Broken(code) => pieces
                        .chain(futures::stream::iter([Err(Failure::new(code, "broke"))]))
                        .boxed(),
                    Ending::Silent => pieces.chain(futures::stream::pending()).boxed(),
                    Ending::Later(said, more) => pieces
                        .chain(
                            futures::stream::once(async move { said.notified().await }).flat_map(
                                move |()| {
                                    futures::stream::iter(more.clone())
                                        .map(|piece| Ok(piece.into()))
                                },
                            ),
                        )
                        .boxed(),
                    Ending::Panic => pieces
                        .chain(futures::stream::poll_fn(|_| panic!("as scripted")))
                        .boxed(),
                };
                Ok(UpstreamResponse { head, body })
            }
        }
    }
}

#[derive(Debug)]
struct Scripted(Arc<Script>);

impl Reach for Scripted {
    fn runner(&self, _: &Owner) -> Arc<dyn Runner> {
        Arc::clone(&self.0) as Arc<dyn Runner>
    }
}

/// Waits until a condition holds; panics after 20,000 checks, 1 ms apart.
pub async fn eventually(holds: impl Fn() -> bool) {
    for _ in 0..20_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Millis(1).duration()).await;
    }
    panic!("the condition never held");
}

/// A node's entry and its dependencies.
pub struct World {
    pub address: SocketAddr,
    pub script: Arc<Script>,
    pub store: Arc<MemoryStore>,
    pub metrics: Arc<Metrics>,
    pub view: watch::Sender<Arc<View>>,
    pub fleet: watch::Sender<Arc<Fleet>>,
    pub stop: CancellationToken,
    pub served: tokio::task::JoinHandle<()>,
}

pub async fn world() -> World {
    world_with(limits(), Arc::default(), Arc::default()).await
}

/// Limits for tests, with short backoffs and waits.
pub fn limits() -> Limits {
    let mut limits = Limits::default();
    limits.retry_policy.backoff.base = Millis(2);
    limits.retry_policy.backoff.cap = Millis(2);
    limits.upstream_wait = Millis(20);
    limits
}

pub async fn world_with(limits: Limits, script: Arc<Script>, store: Arc<MemoryStore>) -> World {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let metrics = Arc::new(Metrics::new());
    let (view, view_seen) = watch::channel(Arc::new(declared()));
    let (fleet, fleet_seen) = watch::channel(Arc::new(three()));
    let stop = CancellationToken::new();
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let quarantine = Quarantine::new("n1".into(), Arc::clone(&clock), Arc::clone(&metrics));
    let parts = Dependencies {
        quarantine: Arc::new(quarantine),
        view: view_seen,
        fleet: fleet_seen,
        reach: Arc::new(Scripted(Arc::clone(&script))),
        store: store.clone(),
        lease: store.clone(),
        prefix: "/test/".into(),
        node: "n1".into(),
        clock,
        metrics: Arc::clone(&metrics),
        limits,
        seed: 7,
    };
    let served = tokio::spawn(entry::serve(listener, Arc::new(parts), stop.clone()));
    World {
        address,
        script,
        store,
        metrics,
        view,
        fleet,
        stop,
        served,
    }
}

/// Two accounts: `shop` with two templates for engines and two for services, and `works` with one.
pub fn declared() -> View {
    declared_with(3, "v1")
}

/// The next revision, in which all adapters have the given version.
pub fn declared_again(version: &str) -> View {
    declared_with(4, version)
}

fn declared_with(revision: u64, version: &str) -> View {
    let accounts = vec![account("shop", "shop-key"), account("works", "works-key")];
    let pools = vec![
        Pool {
            name: "gpu".into(),
            kind: PoolKind::Engine {
                base_model: "base".into(),
                slots: 4,
            },
            batch: 8,
            checks_fencing: true,
        },
        Pool {
            name: "stock".into(),
            kind: PoolKind::Service,
            batch: 8,
            checks_fencing: false,
        },
    ];
    let templates = vec![
        template("shop", "summary", "gpu", true),
        template("shop", "once", "gpu", false),
        template("shop", "push", "stock", false),
        template("shop", "lookup", "stock", true),
        template("works", "fault", "gpu", true),
    ];
    let templates = templates.into_iter().map(|mut template| {
        if let Some(adapter) = &mut template.adapter {
            adapter.version = version.into();
        }
        template
    });
    View::new(revision, accounts, pools, templates.collect())
}

fn account(name: &str, key: &str) -> Account {
    Account {
        name: name.into(),
        key_digests: vec![Sha256::digest(key).into()],
        share: Share {
            weight: 1,
            max_in_flight: 0,
            max_queued: 0,
        },
    }
}

fn template(account: &str, name: &str, pool: &str, idempotent: bool) -> Template {
    let adapter = Adapter {
        base_model: "base".into(),
        name: format!("{name}-adapter").into(),
        version: "v1".into(),
    };
    Template {
        account: account.into(),
        name: name.into(),
        pool: pool.into(),
        adapter: (pool == "gpu").then_some(adapter),
        class: Class::Normal,
        weight: 1,
        idempotent,
        deadline: None,
        max_output_tokens: Some(256),
        max_body_bytes: Some(4096),
    }
}

/// Three upstreams in each pool, all owned.
pub fn three() -> Fleet {
    fleet(State::Usable)
}

/// The same upstreams, all suspended after failures.
pub fn three_suspended() -> Fleet {
    fleet(State::Suspended)
}

fn fleet(state: State) -> Fleet {
    let mut upstreams = Vec::new();
    let mut owners = HashMap::new();
    for (pool, letter) in [("gpu", 'e'), ("stock", 's')] {
        for number in 1..=3 {
            let name = format!("{letter}{number}");
            owners.insert(name.as_str().into(), Arc::new(owner()));
            upstreams.push(upstream(&name, pool, state));
        }
    }
    Fleet::new(upstreams, owners)
}

fn owner() -> Owner {
    Owner {
        node: "n1".into(),
        incarnation: 1,
        token: 1,
        peer: ([127, 0, 0, 1], 1).into(),
    }
}

fn upstream(name: &str, pool: &str, state: State) -> Upstream {
    Upstream {
        vm: Vm {
            name: name.into(),
            address: ([127, 0, 0, 1], 1).into(),
            pool: pool.into(),
            region: "r".into(),
            failure_domain: "d".into(),
            leaving: false,
        },
        state,
    }
}

impl World {
    /// Sends the text unchanged and returns everything received until the connection closes.
    pub async fn raw(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        // The node may reject the request and close the connection before everything is written.
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request with the key of `shop` on a new connection.
    pub async fn send(&self, line: &str, headers: &[&str], body: &str) -> String {
        let mut all = vec!["authorization: Bearer shop-key"];
        all.extend(headers);
        self.raw(&request(line, &all, body)).await
    }

    /// Requests a chat completion from a template.
    pub async fn chat(&self, template: &str, more: &str) -> String {
        let body = format!(r#"{{"model":"{template}","messages":[]{more}}}"#);
        self.send("POST /v1/chat/completions", &[], &body).await
    }

    /// Returns the adapter version of the last attempt.
    pub fn last_version(&self) -> Option<Name> {
        let runs = self.script.runs.lock().unwrap();
        let adapter = runs.last()?.ticket.adapter.clone()?;
        Some(adapter.version)
    }

    /// Returns the value of a metric such as `refusals_total{...}`, or 0 if it isn't exported.
    pub fn metric(&self, line: &str) -> u64 {
        let text = self.metrics.render();
        let value = text
            .lines()
            .find_map(|found| found.strip_prefix(&format!("chivevalve_{line} ")));
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Waits until a metric has a value.
    pub async fn until(&self, line: &str, value: u64) {
        eventually(|| self.metric(line) == value).await;
    }

    pub fn stop(self) -> tokio::task::JoinHandle<()> {
        self.stop.cancel();
        self.served
    }
}

pub fn request(line: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        text += "content-length: ";
        text += &body.len().to_string();
        text += "\r\n";
    }
    text + "\r\n" + body
}

/// Compares a response with its golden file; dates and ids are masked.
#[macro_export]
macro_rules! golden {
    ($name:literal, $session:expr) => {{
        let session = $session;
        insta::with_settings!({filters => vec![
            (r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "ID"),
            (r"date: [^\r\n]*", "date: DATE"),
            (r"\r", ""),
        ]}, {
            insta::assert_snapshot!($name, session);
        });
    }};
}
