//! A model server: orders, reports and streams.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, answer};
use crate::json::parse;

/// An order that arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Duration,
    pub engine: String,
    pub holder: String,
    pub token: u64,
    pub text: String,
    pub status: u16,
}

impl Order {
    /// Tells who ordered and when.
    pub fn told(&self) -> String {
        let Self {
            at,
            engine,
            holder,
            token,
            text,
            ..
        } = self;
        format!(
            "{engine} got at {:.3} s from {holder} with token {token}: {text}",
            at.as_secs_f64()
        )
    }
}

#[derive(Debug, Default)]
struct State {
    adapters: BTreeMap<String, u64>,
    loading: BTreeMap<String, Instant>,
    sequence: u64,
    running: u32,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    start: Instant,
    state: Mutex<State>,
    pub orders: Mutex<Vec<Order>>,
    pub runs: Mutex<Vec<(Duration, String)>>,
}

/// How long an adapter takes to load.
const LOAD: Duration = Duration::from_millis(250);

/// Events of a stream, and the pause before each.
const EVENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(5);

impl Engine {
    pub fn start(id: &str, start: Instant) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            start,
            state: Mutex::default(),
            orders: Mutex::default(),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns the entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        let state = self.settled();
        format!(
            "{{\"born\":1790000000000,\"service\":\"{service}\",\"address\":\"{}\",\
             \"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"coldLeftMs\":0,\"stage\":\"both\",\"models\":{},\"sequence\":{}}}",
            self.address,
            models(&state),
            state.sequence
        )
    }

    fn settled(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let loading = std::mem::take(&mut state.loading);
        for (adapter, until) in loading {
            if until <= now {
                state.adapters.insert(adapter, 1);
            } else {
                state.loading.insert(adapter, until);
            }
        }
        state
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            let expected = request.header("expect-instance");
            let id = request.header("request-attempt").to_owned();
            if !expected.is_empty() && expected != self.id {
                let headers = [("Instance-Id", self.id.as_str()), ("Request-Attempt", &id)];
                let text = answer(421, &headers, "");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let done = match request.path() {
                "/v1/order" => {
                    let status = self.order(&request);
                    stream.write_all(answer(status, &[], "").as_bytes())
                }
                "/v1/report" => {
                    let state = self.settled();
                    let incoming: Vec<String> = state
                        .loading
                        .keys()
                        .map(|name| format!("\"base/{name}@1\""))
                        .collect();
                    let body = format!(
                        "{{\"born\":1790000000000,\"stage\":\"both\",\"models\":{},\"busy\":false,\
                         \"sequence\":{},\"queued\":0,\"running\":{},\"kvUsed\":0,\
                         \"kvTotal\":141396,\"handles\":0,\"incoming\":[{}]}}",
                        models(&state),
                        state.sequence,
                        state.running,
                        incoming.join(",")
                    );
                    drop(state);
                    stream.write_all(answer(200, &[], &body).as_bytes())
                }
                "/health" => {
                    let headers = [("Instance-Id", self.id.as_str())];
                    stream.write_all(answer(200, &headers, "").as_bytes())
                }
                _ => self.run(&request, &id, &mut stream),
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn order(&self, request: &Message) -> u16 {
        let order = parse(&request.text());
        let (operation, adapter) = (order.get("operation").text(), order.get("adapter").text());
        let status = {
            let mut state = self.settled();
            let is_next = order.get("expected").number() == state.sequence;
            let is_held = state.adapters.contains_key(adapter);
            match operation {
                "load" if is_held => 200,
                "load" if state.loading.contains_key(adapter) => 202,
                "load" if !is_next => 409,
                "load" => {
                    state.sequence += 1;
                    state
                        .loading
                        .insert(adapter.to_owned(), Instant::now() + LOAD);
                    202
                }
                "unload" if !is_held => 200,
                "unload" if !is_next => 409,
                "unload" => {
                    state.sequence += 1;
                    state.adapters.remove(adapter);
                    200
                }
                _ => 400,
            }
        };
        self.orders.lock().unwrap().push(Order {
            at: self.start.elapsed(),
            engine: self.id.clone(),
            holder: order.get("holder").text().to_owned(),
            token: order.get("fencingToken").number(),
            text: format!("{operation} {adapter}"),
            status,
        });
        status
    }

    fn run(&self, request: &Message, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let model = request.header("model").to_owned();
        let adapter = model.split_once('/').map_or("", |(_, adapter)| adapter);
        if !self.settled().adapters.contains_key(adapter) {
            let headers = [("Not-Executed", "1"), ("Request-Attempt", id)];
            return stream.write_all(answer(421, &headers, "").as_bytes());
        }
        self.state.lock().unwrap().running += 1;
        let run = (self.start.elapsed(), id.to_owned());
        self.runs.lock().unwrap().push(run);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt: {id}\r\nServer-Seal: seal.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut done = stream.write_all(head.as_bytes());
        for event in 1..=EVENTS {
            if done.is_err() {
                break;
            }
            thread::sleep(PAUSE);
            let text = format!("id: {event}\ndata: piece {event} of {EVENTS}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            done = stream.write_all(chunk.as_bytes());
        }
        self.state.lock().unwrap().running -= 1;
        done.and_then(|()| stream.write_all(b"0\r\n\r\n"))
    }
}

fn models(state: &State) -> String {
    let adapters: Vec<String> = state
        .adapters
        .iter()
        .map(|(name, version)| format!("\"{name}@{version}\""))
        .collect();
    format!(
        "[{{\"name\":\"base\",\"version\":1,\"adapters\":[{}]}}]",
        adapters.join(",")
    )
}
