//! A model server as a process of its own, which moves the memory of its runs to other servers.
//!
//! It holds one model and needs no orders. It tells on its standard output what it does, and a line
//! `unframed` on its standard input sets that the next stream has no length and ends with its
//! connection.

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, Reader, answer};
use crate::json::parse;

/// Events of a stream, and the pause before each.
pub const EVENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(30);

/// The pause before this event is longer while the server reads long prompts of other requests.
const LONG_AT: u64 = 6;
const LONG: Duration = Duration::from_millis(320);

/// How long the copy of a run's memory takes: 1,460 tokens of 327,680 B at 10,000 Mbit/s.
const COPY: Duration = Duration::from_millis(380);

#[derive(Default)]
struct State {
    /// Runs by request: set to stop them.
    runs: Mutex<HashMap<String, Arc<AtomicBool>>>,
    is_next_unframed: AtomicBool,
    handles: AtomicU64,
}

fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Serves until the process is killed.
pub fn serve(id: &str) -> ! {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    tell(&format!(
        "address {}",
        listener.local_addr().expect("it is bound")
    ));
    let state: Arc<State> = Arc::default();
    let commanded = Arc::clone(&state);
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if line == "unframed" {
                commanded.is_next_unframed.store(true, Ordering::SeqCst);
            }
        }
        // The player has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let (state, id) = (Arc::clone(&state), id.to_owned());
        thread::spawn(move || state.connection(&id, stream));
    }
    unreachable!("a listener never ends")
}

impl State {
    fn connection(&self, own: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != own {
                let headers = [("Instance-Id", own)];
                if stream
                    .write_all(answer(421, &headers, "").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let done = match request.path() {
                "/v1/report" => {
                    let body = "{\"born\":1790000000000,\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":141396,\"handles\":0}";
                    stream.write_all(answer(200, &[], body).as_bytes())
                }
                "/v1/order" => stream.write_all(answer(409, &[], "").as_bytes()),
                "/v1/kv-move" => self.copy(&request, &mut stream),
                _ => {
                    if self.run(own, &request, &mut stream) {
                        continue;
                    }
                    return;
                }
            };
            if done.is_err() {
                return;
            }
        }
    }

    /// Stops a run, copies its memory and tells the handle.
    fn copy(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = parse(&request.text()).get("id").text().to_owned();
        let run = self.runs.lock().unwrap().get(&id).cloned();
        let Some(run) = run else {
            return stream.write_all(answer(404, &[], "{}").as_bytes());
        };
        run.store(true, Ordering::SeqCst);
        tell(&format!("moves {id}"));
        thread::sleep(COPY);
        let handle = self.handles.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!("{{\"handle\":\"h{handle}\",\"created\":1}}");
        stream.write_all(answer(200, &[], &body).as_bytes())
    }

    /// Streams an answer; returns whether the connection can be used again.
    fn run(&self, own: &str, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("request-attempt").to_owned();
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let is_moved = !request.header("kv-from").is_empty();
        let is_unframed = !is_moved && self.is_next_unframed.swap(false, Ordering::SeqCst);
        let stop = Arc::new(AtomicBool::new(false));
        self.runs
            .lock()
            .unwrap()
            .insert(id.clone(), Arc::clone(&stop));
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let kind = if is_unframed {
            "without a length"
        } else {
            "in chunks"
        };
        tell(&format!("runs {id} behind event {last}, answered {kind}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt: {id}\r\nServer-Seal: seal.{own}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        let mut done = stream.write_all(head.as_bytes());
        for event in last + 1..=EVENTS {
            let pause = if event == LONG_AT { LONG } else { PAUSE };
            thread::sleep(pause);
            if stop.load(Ordering::SeqCst) {
                tell(&format!("stops {id} behind event {}", event - 1));
                self.runs.lock().unwrap().remove(&id);
                return false;
            }
            if done.is_err() {
                break;
            }
            let text = format!("id: {event}\ndata: piece {event} of {EVENTS}\n\n");
            let piece = match is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            done = stream.write_all(piece.as_bytes());
        }
        self.runs.lock().unwrap().remove(&id);
        if done.is_ok() {
            tell(&format!("ends {id} behind its last event"));
        }
        !is_unframed && done.is_ok() && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
