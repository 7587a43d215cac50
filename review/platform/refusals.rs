//! The case about a server whose second answer arrives late.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reader, answer};
use crate::node::Node;
use crate::record::{Draw, Record};
use crate::store::{Deed, Store};

/// Services, with one route and two servers each.
const SERVICES: usize = 6;

/// Returns the configuration: routes whose requests may run once at most.
fn config() -> String {
    let routes = (0..SERVICES).map(|number| {
        format!(
            "{{\"name\":\"r-push{number}\",\"hostname\":\"app.example\",\
             \"prefix\":\"/push{number}/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"goalMs\":300,\
             \"priority\":2,\"service\":\"records{number}\",\"maxAttempts\":1,\
             \"stickySessions\":false,\"resumable\":false}}"
        )
    });
    let services = (0..SERVICES).map(|number| {
        format!(
            "{{\"name\":\"records{number}\",\"healthPath\":\"/health\",\"maxConns\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let services = services.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":1,\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Requests that a server works on at once; it has no queue.
const SLOTS: usize = 2;

/// One in this many answers of the faulty server is sent a second time: 0.029 of them, 0.03 at most.
const EXTRA_ONE_IN: usize = 34;

/// Time from a server's reading of a request to its decision.
const READING: Duration = Duration::from_millis(2);

/// How long a request takes at a server at least, and by how much longer at most, in milliseconds.
const WORK_MS: (u64, u64) = (15, 10);

/// Clients of each service, each with one request at a time, and the longest pause between two in
/// milliseconds.
const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 10;

/// How long a client waits behind a refusal, at least as long as `Retry-After` says.
const AFTER_REFUSAL_MS: (u64, u64) = (250, 100);

/// How long clients send requests.
const LENGTH: Duration = Duration::from_secs(70);

/// The faulty servers misbehave for five seconds in seven.
const FAULTY: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_secs(7);

/// A server of the service `records`.
struct Server {
    id: String,
    service: usize,
    address: SocketAddr,
    start: Instant,
    running: AtomicUsize,
    answers: AtomicUsize,
    extras: AtomicUsize,
    /// Whether it sends a second answer at times.
    is_faulty: bool,
    /// Runs: when, and of which request.
    runs: Mutex<Vec<(Duration, String)>>,
    /// Second answers: when, and to which request.
    seconds: Mutex<Vec<(Duration, String, u16)>>,
    draw: Mutex<Draw>,
}

impl Server {
    fn start(id: &str, service: usize, start: Instant, is_faulty: bool) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr().expect("it is bound"),
            start,
            running: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
            is_faulty,
            runs: Mutex::default(),
            seconds: Mutex::default(),
            draw: Mutex::new(Draw::new(service as u64 * 2 + u64::from(is_faulty) + 5)),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn entry(&self) -> String {
        format!(
            "{{\"born\":1790000000000,\"service\":\"records{}\",\"address\":\"{}\",\
             \"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
             \"coldLeftMs\":0,\"sequence\":1}}",
            self.service, self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        // A second copy of the last answer, which is sent where the next answer is expected.
        let mut second: Option<(String, String, u16)> = None;
        while let Ok(Some(request)) = reader.message(false) {
            if let Some((id, text, status)) = second.take() {
                let at = self.start.elapsed();
                self.seconds.lock().unwrap().push((at, id, status));
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            let id = request.header("request-attempt").to_owned();
            let (status, text) = self.answer(&request, &id);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            if self.is_due() {
                second = Some((id, text, status));
            }
        }
    }

    /// Whether the answer that was just given is sent once more.
    fn is_due(&self) -> bool {
        let phase = self.start.elapsed().as_millis() % PERIOD.as_millis();
        if phase >= FAULTY.as_millis() {
            return false;
        }
        // The share is one of the answers in the time in which the server is faulty.
        let all = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let extras = self.extras.load(Ordering::SeqCst);
        let is_drawn = self.draw.lock().unwrap().next() % 8 == 0;
        let is_due = self.is_faulty && is_drawn && (extras + 1) * EXTRA_ONE_IN <= all;
        if is_due {
            self.extras.fetch_add(1, Ordering::SeqCst);
        }
        is_due
    }

    fn answer(&self, request: &http::Message, id: &str) -> (u16, String) {
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("Instance-Id", self.id.as_str()), ("Request-Attempt", id)];
            return (421, answer(421, &headers, ""));
        }
        thread::sleep(READING);
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Not-Executed", "1"), ("Request-Attempt", id)];
            return (503, answer(503, &headers, ""));
        }
        let run = (self.start.elapsed(), id.to_owned());
        self.runs.lock().unwrap().push(run);
        let work = WORK_MS.0 + self.draw.lock().unwrap().next() % WORK_MS.1;
        thread::sleep(Duration::from_millis(work));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let seal = format!("seal.{}", self.id);
        let headers = [("Request-Attempt", id), ("Server-Seal", &seal)];
        (200, answer(200, &headers, &format!("receipt {id}")))
    }
}

/// An attempt of a client.
struct Attempt {
    at: Duration,
    id: String,
    status: u16,
    is_own: bool,
}

/// Many clients push receipts, more than the servers take; one of two servers sends an answer a
/// second time at times, where the next answer on that connection is expected.
pub fn second_answers(has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::new(
        Box::new(|_, _| Deed::Done),
        Box::new(|_, _| {}),
        Box::new(|_, _, _| {}),
    );
    store.put("op/config", &config());
    let servers: Vec<Arc<Server>> = (0..SERVICES)
        .flat_map(|service| {
            let (first, other) = (format!("i-first{service}"), format!("i-other{service}"));
            [
                Server::start(&first, service, record.start, has_trouble),
                Server::start(&other, service, record.start, false),
            ]
        })
        .collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry());
    }
    let address = store.listen("front-0");
    let node = Node::new("front-0", "hall-a", 1, address);
    node.start();
    if !node.wait_ready() {
        record.write("the node doesn't get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let sent = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS * SERVICES)
        .map(|number| {
            let (stop, attempts, sent) = (Arc::clone(&stop), Arc::clone(&attempts), Arc::clone(&sent));
            let (front, start, service) = (node.front, record.start, number % SERVICES);
            thread::spawn(move || {
                let mut draw = Draw::new(number as u64 + 3);
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(draw.next() % PAUSE_MS));
                    let id = format!("{:016x}", 0xdd00_0000_0000 + sent.fetch_add(1, Ordering::SeqCst));
                    let request = format!(
                        "POST /push{service}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Attempt: {id}\r\n\
                         Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 7\r\n\r\nreceipt"
                    );
                    let at = start.elapsed();
                    let answer = http::call(front, &request, Duration::from_secs(4));
                    let (status, is_own) = match answer {
                        Ok(Some(answer)) => {
                            (answer.status(), answer.header("request-attempt") == id)
                        }
                        _ => (0, true),
                    };
                    attempts.lock().unwrap().push(Attempt { at, id, status, is_own });
                    if status == 503 {
                        let (least, more) = AFTER_REFUSAL_MS;
                        thread::sleep(Duration::from_millis(least + draw.next() % more));
                    }
                }
            })
        })
        .collect();
    thread::sleep(LENGTH);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    judge(&record, &servers, &attempts.lock().unwrap())
}

fn judge(record: &Record, servers: &[Arc<Server>], attempts: &[Attempt]) -> i32 {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for server in servers {
        for (at, id) in server.runs.lock().unwrap().iter() {
            let told = format!("{} at {:.3} s", server.id, at.as_secs_f64());
            record.add_at(*at, format!("{} runs {id}", server.id));
            runs.entry(id.clone()).or_default().push(told);
        }
        for (at, id, status) in server.seconds.lock().unwrap().iter() {
            record.add_at(
                *at,
                format!("{} sends its answer {status} to {id} once more", server.id),
            );
        }
        let (answers, extras) = (&server.answers, &server.extras);
        let (answers, extras) = (
            answers.load(Ordering::SeqCst),
            extras.load(Ordering::SeqCst),
        );
        record.add(format!(
            "{} gave {answers} answers in the faulty times, {extras} of them a second time",
            server.id
        ));
    }
    let mut found = Vec::new();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for attempt in attempts {
        let Attempt {
            at,
            id,
            status,
            is_own,
        } = attempt;
        *statuses.entry(*status).or_default() += 1;
        record.add_at(*at, format!("a client sends {id} and gets {status}"));
        let ran = runs.get(id).cloned().unwrap_or_default();
        if ran.len() > 1 {
            found.push(format!("TWICE: {id} ran at {}", ran.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            found.push(format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                ran.join(" and ")
            ));
        }
        if *status == 200 && !is_own {
            found.push(format!("MIXED: {id} got another request's answer"));
        }
    }
    record.add(format!(
        "answers to clients by status, 0 for none: {statuses:?}"
    ));
    if found.is_empty() {
        record.write("REFUSED and TWICE held");
        return 0;
    }
    record.write(&format!(
        "broken {} times:\n{}",
        found.len(),
        found.join("\n")
    ));
    1
}
