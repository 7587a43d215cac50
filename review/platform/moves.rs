//! The case about a model server that crashes while it moves a stream.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::mover::EVENTS;
use crate::node::{Node, note_process};
use crate::owners::CONFIG;
use crate::record::Record;
use crate::store::{Deed, Store};

/// Model servers; one of them crashes, 0.167 of them, where 0.17 are named.
const ENGINES: usize = 6;

/// Streams that pause too long teach the node to read prompts apart.
const MOST_STREAMS_BEFORE: usize = 300;

/// One in this many streams of a server may come without a length: 0.05 at most.
const UNFRAMED_ONE_IN: usize = 20;

/// How long after its run was stopped for a move the server crashes; the copy takes 380 ms.
const CRASH_AFTER: Duration = Duration::from_millis(150);

/// How long the server stays down.
const DOWN: Duration = Duration::from_millis(4_500);

/// A model server's process.
struct Engine {
    id: String,
    address: SocketAddr,
    child: Mutex<Child>,
    input: Mutex<ChildStdin>,
    /// What it told: when and what.
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Engine {
    fn start(id: &str, start: Instant) -> Self {
        let program = std::env::current_exe().expect("it is known");
        let mut child = Command::new(program)
            .args(["model-server", id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("it can be started");
        note_process(child.id());
        let input = child.stdin.take().expect("it is piped");
        let output = child.stdout.take().expect("it is piped");
        let lines: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
        let (told, address) = mpsc::channel();
        let seen = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(address) = line.strip_prefix("address ") {
                    let _ = told.send(address.parse().expect("an address"));
                }
                seen.lock().unwrap().push((start.elapsed(), line));
            }
        });
        Self {
            id: id.to_owned(),
            address: address
                .recv_timeout(Duration::from_secs(5))
                .expect("it listens"),
            child: Mutex::new(child),
            input: Mutex::new(input),
            lines,
        }
    }

    fn entry(&self) -> String {
        format!(
            "{{\"born\":1790000000000,\"service\":\"engines\",\"address\":\"{}\",\
             \"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"base\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":0}}",
            self.address
        )
    }

    fn count(&self, text: &str) -> usize {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|(_, line)| line.starts_with(text))
            .count()
    }

    fn told(&self, text: &str) -> bool {
        self.count(text) > 0
    }

    fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a client got.
struct Answer {
    status: u16,
    is_whole: bool,
    events: Vec<u64>,
}

/// Sends a request for a stream and reads the answer to its end.
fn stream(front: SocketAddr, id: &str) -> Answer {
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nRequest-Attempt: {id}\r\nModel: base\r\n\
         Token-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:350,{id}:1110\r\nDeadline-Ms: 15000\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    match http::call(front, &request, Duration::from_secs(16)) {
        Ok(Some(answer)) => {
            let text = answer.text();
            let events = text.lines().filter_map(|line| line.strip_prefix("id: "));
            Answer {
                status: answer.status(),
                is_whole: answer.is_whole,
                events: events.filter_map(|id| id.parse().ok()).collect(),
            }
        }
        _ => Answer {
            status: 0,
            is_whole: false,
            events: Vec::new(),
        },
    }
}

struct Player {
    record: Arc<Record>,
    front: SocketAddr,
    sent: usize,
    /// Streams that came to their end without all events.
    found: Vec<String>,
    statuses: BTreeMap<(u16, bool), usize>,
}

impl Player {
    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("{:016x}", 0xee00_0000_0000u64 + self.sent as u64)
    }

    fn judge(&mut self, id: &str, answer: &Answer) {
        let Answer {
            status,
            is_whole,
            events,
        } = answer;
        *self.statuses.entry((*status, *is_whole)).or_default() += 1;
        let end = if *is_whole {
            "to its end"
        } else {
            "broken off"
        };
        self.record.add(format!(
            "client: {id} got {status} with events {events:?}, {end}"
        ));
        let all: Vec<u64> = (1..=EVENTS).collect();
        if *status == 200 && *is_whole && *events != all {
            self.found.push(format!(
                "{id} got 200 and a stream that ended in order with events {events:?} of 1 to {EVENTS}"
            ));
        }
    }
}

/// A model server crashes while it copies the memory of a stream that it stopped for a move.
pub fn crash_in_move(has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::new(
        Box::new(|_, _| Deed::Done),
        Box::new(|_, _| {}),
        Box::new(|_, _, _| {}),
    );
    // Between the servers lies a network of 10 Gbit/s.
    store.put("op/config", &CONFIG.replace("740000.0", "10000.0"));
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine::start(&format!("i-engine{number}"), record.start))
        .collect();
    for engine in &engines {
        store.put(&format!("servers/{}", engine.id), &engine.entry());
    }
    let node = Node::new("front-0", "hall-a", 1, store.listen("front-0"));
    node.start();
    if !node.wait_ready() {
        record.write("the node doesn't get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let player = Player {
        record: Arc::clone(&record),
        front: node.front,
        sent: 0,
        found: Vec::new(),
        statuses: BTreeMap::new(),
    };
    play(player, &engines, has_trouble)
}

fn play(mut player: Player, engines: &[Engine], has_trouble: bool) -> i32 {
    let record = Arc::clone(&player.record);
    // Eight streams at a time, until a server was asked to move one and has run enough streams.
    let ready =
        |engine: &&Engine| engine.told("moves ") && engine.count("runs ") >= UNFRAMED_ONE_IN;
    while player.sent < MOST_STREAMS_BEFORE && engines.iter().find(ready).is_none() {
        let ids: Vec<String> = (0..8).map(|_| player.next_id()).collect();
        let front = player.front;
        let calls = ids.iter().map(|id| {
            let id = id.clone();
            thread::spawn(move || stream(front, &id))
        });
        let calls: Vec<_> = calls.collect();
        for (id, call) in ids.iter().zip(calls) {
            let answer = call.join().expect("a client doesn't fail");
            player.judge(id, &answer);
        }
    }
    if engines.iter().find(ready).is_none() {
        finish(&record, engines, &player);
        record.write("no stream was moved");
        return 2;
    }
    // One stream at a time: the first that a reading server stops for a move, and that has no length.
    let mut is_tried = false;
    for _ in 0..40 {
        for engine in engines.iter().filter(ready) {
            let is_within_share =
                (engine.count_unframed() + 1) * UNFRAMED_ONE_IN <= engine.count("runs ") + 1;
            if is_within_share && !engine.has_asked_unframed() {
                let _ = writeln!(engine.input.lock().unwrap(), "unframed");
                record.add(format!(
                    "{} will answer the next stream without a length",
                    engine.id
                ));
            }
        }
        thread::sleep(Duration::from_millis(20));
        let id = player.next_id();
        let (front, own) = (player.front, id.clone());
        let call = thread::spawn(move || stream(front, &own));
        let until = Instant::now() + Duration::from_secs(5);
        while !call.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            let run = format!("runs {id} behind event 0, answered without a length");
            let moved = format!("stops {id}");
            let Some(engine) = engines
                .iter()
                .find(|engine| engine.told(&run) && engine.told(&moved))
            else {
                continue;
            };
            is_tried = true;
            if has_trouble {
                thread::sleep(CRASH_AFTER);
                engine.kill();
                record.add(format!("{} is killed", engine.id));
            }
            break;
        }
        let answer = call.join().expect("a client doesn't fail");
        player.judge(&id, &answer);
        if is_tried {
            break;
        }
    }
    if has_trouble && is_tried {
        thread::sleep(DOWN);
    }
    finish(&record, engines, &player);
    if !is_tried {
        record.write("no stream without a length was moved");
        return 2;
    }
    if player.found.is_empty() {
        record.write("ORDER held: no stream ended as complete before its last event");
        return 0;
    }
    record.write(&format!(
        "ORDER broken {} times:\n{}",
        player.found.len(),
        player.found.join("\n")
    ));
    1
}

impl Engine {
    fn count_unframed(&self) -> usize {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|(_, line)| line.ends_with("without a length"))
            .count()
    }

    /// Whether a stream without a length was already had from it.
    fn has_asked_unframed(&self) -> bool {
        self.count_unframed() > 0
    }
}

fn finish(record: &Record, engines: &[Engine], player: &Player) {
    for engine in engines {
        for (at, line) in engine.lines.lock().unwrap().iter() {
            record.add_at(*at, format!("{} {line}", engine.id));
        }
        let (all, unframed) = (engine.count("runs "), engine.count_unframed());
        record.add(format!(
            "{} ran {all} streams, {unframed} of them answered without a length",
            engine.id
        ));
    }
    record.add(format!(
        "answers by status and whether they came to their end: {:?}",
        player.statuses
    ));
}
