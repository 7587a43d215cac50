//! An in-memory engine with injectable faults, and a registry that owns it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::adapter::Adapter;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::declaration::{Pool, PoolKind};
use chivevalve::error::{Code, Failure};
use chivevalve::loads::{Permit, PermitRequest, PermitSource};
use chivevalve::membership::fleet::{State, Upstream};
use chivevalve::membership::{Adopter, FailureDetector, UpstreamOwnership};
use chivevalve::metrics::Metrics;
use chivevalve::owner::{Dependencies, Limits, Registry, RoutingCheck};
use chivevalve::ports::{
    CompletionCall, Connector, Engine, EngineStatus, Fence, Service, UpstreamResponse, Vm,
};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::{Attempt, Share, Work};
use futures::{StreamExt, stream};
use http::header::CONTENT_LENGTH;
use http::{request, response};
use tokio::sync::watch;

/// How long a load takes.
const LOAD_TIME: Millis = Millis(300);
/// A time after the end of any test.
const FAR_FUTURE: Millis = Millis::from_secs(3600);

/// A fault of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Responses end early, without an error.
    Truncated,
    /// The engine can't be reached.
    Unreachable,
    /// The engine's client panics.
    Panic,
    /// Loads fail.
    LoadFails,
    /// Response streams don't end after their last chunk.
    NeverEnds,
}

/// Behaviour of the engine.
#[derive(Debug, Clone)]
pub struct Knobs {
    /// The fault to inject.
    pub fault: Fault,
    /// Events in each response.
    pub pieces: usize,
    /// Delay before each event.
    pub piece_ms: Millis,
    /// Length of each event's text.
    pub piece_bytes: usize,
    /// Request ID in responses instead of the request's own.
    pub answer_as: Option<String>,
    /// Adapter in responses instead of the request's own.
    pub answer_from: Option<String>,
    /// Status of responses.
    pub status: u16,
    /// How long a report takes.
    pub report_ms: Millis,
    /// Boot ID of the process.
    pub boot: String,
    /// Requests that reports list as running, with their adapters.
    pub running: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct Seen {
    runs: Vec<String>,
    loads: Vec<String>,
    unloads: Vec<String>,
    resident: BTreeSet<String>,
}

/// An in-memory model engine.
#[derive(Debug)]
pub struct FakeEngine {
    knobs: Mutex<Knobs>,
    seen: Mutex<Seen>,
}

impl FakeEngine {
    fn new() -> Self {
        Self {
            knobs: Mutex::new(Knobs {
                fault: Fault::None,
                pieces: 3,
                piece_ms: Millis(10),
                piece_bytes: 1,
                answer_as: None,
                answer_from: None,
                status: 200,
                report_ms: Millis::ZERO,
                boot: "boot-1".to_owned(),
                running: Vec::new(),
            }),
            seen: Mutex::default(),
        }
    }

    /// Changes the behaviour.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut self.knobs.lock().unwrap());
    }

    /// Puts adapters into slots, as a previous owner would have.
    pub fn preload(&self, names: &[&str]) {
        let mut seen = self.seen.lock().unwrap();
        let names = names.iter().map(|name| adapter(name).engine_name());
        seen.resident.extend(names);
    }

    /// Restarts the process with empty slots.
    pub fn restart(&self) {
        self.seen.lock().unwrap().resident.clear();
        self.set(|knobs| knobs.boot.push('+'));
    }

    /// Returns the requests that it ran: IDs, or request lines of calls.
    pub fn runs(&self) -> Vec<String> {
        self.seen.lock().unwrap().runs.clone()
    }

    /// Returns the adapters that it was ordered to load.
    pub fn loads(&self) -> Vec<String> {
        self.seen.lock().unwrap().loads.clone()
    }

    /// Returns the adapters that it was ordered to unload.
    pub fn unloads(&self) -> Vec<String> {
        self.seen.lock().unwrap().unloads.clone()
    }

    fn connect(&self) -> Result<Knobs, Failure> {
        let knobs = self.knobs.lock().unwrap().clone();
        if knobs.fault == Fault::Unreachable {
            return Err(Failure::new(Code::ConnectFailed, "down"));
        }
        Ok(knobs)
    }
}

fn head(status: u16) -> response::Parts {
    let response = http::Response::builder().status(status).body(()).unwrap();
    response.into_parts().0
}

#[async_trait]
impl Engine for FakeEngine {
    async fn run(&self, call: CompletionCall, _: Fence) -> Result<UpstreamResponse, Failure> {
        let knobs = self.connect()?;
        assert!(knobs.fault != Fault::Panic, "the client panics");
        {
            let mut seen = self.seen.lock().unwrap();
            seen.runs.push(call.id.to_string());
            assert!(
                seen.resident.contains(&call.adapter.engine_name()),
                "{} isn't resident",
                call.adapter
            );
        }
        if knobs.status != 200 {
            let said =
                "{\"error\":{\"message\":\"the prompt\",\"code\":\"context_length_exceeded\"}}";
            return Ok(UpstreamResponse {
                head: head(knobs.status),
                body: stream::once(async move { Ok(Bytes::from(said)) }).boxed(),
            });
        }
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
        assert_eq!(body["model"], call.adapter.engine_name());
        let id = knobs.answer_as.unwrap_or_else(|| call.id.to_string());
        let model = knobs
            .answer_from
            .unwrap_or_else(|| call.adapter.engine_name());
        let piece = "x".repeat(knobs.piece_bytes);
        let json = format!("{{\"id\":\"cmpl-{id}\",\"model\":\"{model}\",\"text\":\"{piece}\"}}");
        if body["stream"] != true {
            let end = if knobs.fault == Fault::Truncated {
                json.len() / 2
            } else {
                json.len()
            };
            let bytes = Bytes::from(json[..end].to_owned());
            return Ok(UpstreamResponse {
                head: head(200),
                body: stream::once(async { Ok(bytes) }).boxed(),
            });
        }
        let event = Bytes::from(format!("data: {json}\n\n"));
        let last = (knobs.fault != Fault::Truncated).then(|| Ok(Bytes::from("data: [DONE]\n\n")));
        let pause = knobs.piece_ms.duration();
        let events = stream::repeat(event).take(knobs.pieces);
        let pieces = events.then(move |event| async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            Ok(event)
        });
        let body = pieces.chain(stream::iter(last));
        let body = match knobs.fault {
            Fault::NeverEnds => body.chain(stream::pending()).boxed(),
            _ => body.boxed(),
        };
        let head = head(200);
        Ok(UpstreamResponse { head, body })
    }

    async fn load(&self, adapter: &Adapter, _: Fence) -> Result<(), Failure> {
        let knobs = self.connect()?;
        let name = adapter.engine_name();
        self.seen.lock().unwrap().loads.push(name.clone());
        tokio::time::sleep(LOAD_TIME.duration()).await;
        if knobs.fault == Fault::LoadFails {
            return Err(Failure::new(Code::LoadFailed, "partial"));
        }
        self.seen.lock().unwrap().resident.insert(name);
        Ok(())
    }

    async fn unload(&self, adapter: &Adapter, _: Fence) -> Result<(), Failure> {
        self.connect()?;
        let name = adapter.engine_name();
        let mut seen = self.seen.lock().unwrap();
        seen.resident.remove(&name);
        seen.unloads.push(name);
        Ok(())
    }

    async fn report(&self) -> Result<EngineStatus, Failure> {
        let knobs = self.connect()?;
        tokio::time::sleep(knobs.report_ms.duration()).await;
        let seen = self.seen.lock().unwrap();
        let names =
            |(id, adapter): &(String, String)| (id.as_str().into(), adapter.as_str().into());
        Ok(EngineStatus {
            boot: knobs.boot.into(),
            resident: seen
                .resident
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            running: knobs.running.iter().map(names).collect(),
            waiting: 0,
        })
    }
}

/// Connects every upstream to one engine.
#[derive(Debug)]
struct SingleConnector(Arc<FakeEngine>);

impl Connector for SingleConnector {
    fn engine(&self, _: &Vm) -> Arc<dyn Engine> {
        Arc::clone(&self.0) as Arc<dyn Engine>
    }

    fn service(&self, _: &Vm) -> Arc<dyn Service> {
        Arc::clone(&self.0) as Arc<dyn Service>
    }
}

/// As a plain service it echoes the request.
#[async_trait]
impl Service for FakeEngine {
    async fn call(&self, called: request::Parts, body: Bytes) -> Result<UpstreamResponse, Failure> {
        let knobs = self.connect()?;
        let line = format!("{} {}", called.method, called.uri);
        self.seen.lock().unwrap().runs.push(line);
        let mut head = head(201);
        head.headers = called.headers;
        head.headers.insert(CONTENT_LENGTH, body.len().into());
        let end = match knobs.fault {
            Fault::Truncated => body.len() / 2,
            _ if called.method == http::Method::HEAD => 0,
            _ => body.len(),
        };
        Ok(UpstreamResponse {
            head,
            body: stream::once(async move { Ok(body.slice(..end)) }).boxed(),
        })
    }
}

/// Grants permits at once while it is open.
#[derive(Debug)]
pub struct PermitGate(watch::Sender<bool>);

impl PermitGate {
    /// Stops granting permits.
    pub fn close(&self) {
        self.0.send_replace(false);
    }

    /// Grants permits again.
    pub fn open(&self) {
        self.0.send_replace(true);
    }
}

#[derive(Debug)]
struct FakePermit;

#[async_trait]
impl Permit for FakePermit {
    async fn done(self: Box<Self>, _: bool, _: Millis) {}
}

#[async_trait]
impl PermitSource for PermitGate {
    async fn acquire(&self, _: watch::Receiver<PermitRequest>) -> Result<Box<dyn Permit>, Failure> {
        let mut open = self.0.subscribe();
        open.wait_for(|open| *open).await.unwrap();
        Ok(Box::new(FakePermit))
    }
}

/// Counts failures and recoveries of the upstream.
#[derive(Debug, Default)]
pub struct CountingDetector {
    failed: AtomicU64,
    answered: AtomicU64,
}

impl CountingDetector {
    /// Returns how often the upstream couldn't be reached.
    pub fn failures(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    /// Returns how often it recovered.
    pub fn answers(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl FailureDetector for CountingDetector {
    fn record_failure(&self, _: &str) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    fn record_success(&self, _: &str) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// A configuration whose templates all name one adapter, once the test sets it.
#[derive(Debug, Default)]
pub struct FakeRouting(Mutex<Option<Adapter>>);

impl FakeRouting {
    /// Makes all templates name this adapter.
    pub fn change(&self, adapter: Adapter) {
        *self.0.lock().unwrap() = Some(adapter);
    }
}

impl RoutingCheck for FakeRouting {
    fn is_current(&self, ticket: &Ticket) -> bool {
        let named = self.0.lock().unwrap();
        named.is_none() || ticket.adapter == *named
    }
}

/// A registry that owns one engine.
#[derive(Debug)]
pub struct Bench {
    pub engine: Arc<FakeEngine>,
    pub registry: Arc<Registry>,
    pub permits: Arc<PermitGate>,
    pub detector: Arc<CountingDetector>,
    pub routing: Arc<FakeRouting>,
    pub metrics: Arc<Metrics>,
    pub clock: Arc<dyn Clock>,
    pub lease_end: Arc<AtomicU64>,
}

impl Bench {
    /// Starts with a batch of 8 and two slots.
    pub async fn start() -> Self {
        Self::with_batch(8).await
    }

    /// Starts with two slots.
    pub async fn with_batch(batch: u32) -> Self {
        let bench = Self::unowned();
        bench.adopt(batch, 1).await;
        bench
    }

    /// Starts without owning the engine.
    pub fn unowned() -> Self {
        let engine = Arc::new(FakeEngine::new());
        let permits = Arc::new(PermitGate(watch::Sender::new(true)));
        let detector = Arc::new(CountingDetector::default());
        let routing = Arc::new(FakeRouting::default());
        let metrics = Arc::new(Metrics::new());
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let registry = Registry::start(Dependencies {
            connector: Arc::new(SingleConnector(Arc::clone(&engine))),
            permits: permits.clone(),
            detector: Some(detector.clone()),
            routing: routing.clone(),
            clock: Arc::clone(&clock),
            metrics: Arc::clone(&metrics),
            limits: Limits::default(),
        });
        Self {
            engine,
            registry,
            permits,
            detector,
            routing,
            metrics,
            clock,
            lease_end: Arc::new(AtomicU64::new(FAR_FUTURE.0)),
        }
    }

    /// Takes ownership of the engine with a fencing token.
    pub async fn adopt(&self, batch: u32, token: u64) {
        let kind = PoolKind::Engine {
            base_model: "base".into(),
            slots: 2,
        };
        self.adopt_as(kind, batch, token).await;
    }

    /// Takes ownership of it as an upstream of another kind.
    pub async fn adopt_as(&self, kind: PoolKind, batch: u32, token: u64) {
        let pool = Pool {
            name: "engines".into(),
            kind,
            batch,
            checks_fencing: false,
        };
        let ownership =
            UpstreamOwnership::new(token, Arc::clone(&self.lease_end), Arc::clone(&self.clock));
        let upstream = Upstream {
            vm: Vm {
                name: "engine-1".into(),
                address: ([127, 0, 0, 1], 1).into(),
                pool: "engines".into(),
                region: "here".into(),
                failure_domain: "a".into(),
                leaving: false,
            },
            state: State::Usable,
        };
        self.registry
            .adopt(upstream, Arc::new(pool), ownership)
            .await;
    }

    /// Ends the lease now.
    pub fn expire_lease(&self) {
        self.lease_end.store(0, Ordering::Release);
    }

    /// Returns the number of responses dropped for a reason.
    pub fn dropped(&self, reason: &str) -> u64 {
        self.metrics
            .dropped_answers
            .with_label_values(&[reason])
            .get()
    }
}

/// Returns version 3 of an adapter.
pub fn adapter(name: &str) -> Adapter {
    Adapter {
        base_model: "base".into(),
        name: name.into(),
        version: "3".into(),
    }
}

/// Returns an attempt at the fake engine.
pub fn attempt(id: &str, name: &str, stream: bool) -> Attempt {
    let template = format!("template-{name}");
    let body = format!("{{\"prompt\":\"p\",\"model\":\"{template}\",\"stream\":{stream}}}");
    Attempt {
        ticket: Ticket {
            id: Id(id.into()),
            account: "cell".into(),
            template: template.into(),
            pool: "engines".into(),
            adapter: Some(adapter(name)),
            class: Class::Normal,
            weight: 1,
            idempotent: true,
            deadline: FAR_FUTURE,
            prompt_tokens: 1,
            max_output_tokens: 8,
            revision: 1,
        },
        share: Share {
            weight: 1,
            max_in_flight: 0,
            max_queued: 0,
        },
        number: 1,
        last: true,
        upstream: "engine-1".into(),
        work: Work::Completion {
            path: "/v1/completions".into(),
            body: body.into(),
            stream,
        },
    }
}

/// Returns an attempt at the fake service.
pub fn push(id: &str, body: &'static str) -> Attempt {
    let call = http::Request::post("/receipts?till=4")
        .header("x-till", "4")
        .body(());
    let mut attempt = attempt(id, "receipts", false);
    attempt.ticket.adapter = None;
    attempt.ticket.idempotent = false;
    attempt.work = Work::Call {
        head: Box::new(call.unwrap().into_parts().0),
        body: body.into(),
    };
    attempt
}

/// Reads a response to its end.
pub async fn text(mut answer: UpstreamResponse) -> Result<String, Failure> {
    let mut all = String::new();
    while let Some(piece) = answer.body.next().await {
        all.push_str(std::str::from_utf8(&piece?).unwrap());
    }
    Ok(all)
}
