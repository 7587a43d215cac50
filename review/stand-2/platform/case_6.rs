//! In a rolling restart, a node that the store turns away goes on giving orders by the votes of a
//! node that leaves, while a node that has come back owns the same server.

#[path = "stand.rs"]
mod stand;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use stand::*;

/// From one SIGTERM of the rolling restart to the next.
const NEXT_TERM_MS: u64 = 5_000;
/// From the second SIGTERM until the store turns the owner away.
const TURNED_AWAY_AFTER_MS: u64 = 500;
/// How long the store turns it away.
const TURNED_AWAY_MS: u64 = 8_000;
/// From the end of a process to its next start.
const RESTART_MS: u64 = 600;
/// No machine.
const NOBODY: usize = usize::MAX;

fn main() {
    let record = Record::new();
    let code = play(&record).unwrap_or_else(|error| {
        record.say(format!("the case couldn't run: {error}"));
        2
    });
    record.write(Path::new("review/6/record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> std::io::Result<i32> {
    let has_trouble = has_trouble();
    let folder = Folder::new("review-6")?;
    let names = ["front-hall-a-1", "front-hall-b-1", "front-hall-c-1"];
    let zones = ["hall-a", "hall-b", "hall-c"];
    let (store, addresses) = Store::start(names.len());
    store.put("op/config", &config(7));
    let engine = Engine::start("i-one", "llm-pool", "hall-a", 20, &store, record);
    let mut nodes = Vec::new();
    for (at, name) in names.iter().enumerate() {
        nodes.push(Node::start(&folder.0, name, zones[at], addresses[at])?);
    }
    let nodes = Arc::new(nodes);
    for node in nodes.iter() {
        if !node.wait_ready(Duration::from_secs(10)) {
            record.say(format!("{} isn't ready", node.name));
            return Ok(2);
        }
    }
    record.say("all nodes are ready");
    // What nodes that start have to wait for is over then.
    thread::sleep(Duration::from_secs(8));

    let claim = store.item(&format!("chivevalve/claim/{}", engine.address));
    let claim = claim.map(|item| item.text()).unwrap_or_default();
    let claim = Json::parse(&claim).unwrap_or(Json::Null);
    let Some(owner) = names.iter().position(|name| *name == claim.get("node").str()) else {
        record.say("nobody owns the server");
        return Ok(2);
    };
    let (first, second) = ((owner + 1) % 3, (owner + 2) % 3);
    record.say(format!("{} gives the server orders", names[owner]));

    let away = Arc::new(AtomicUsize::new(NOBODY));
    let turned_away = Arc::clone(&away);
    store.set_hook(Box::new(move |machine, _, _| {
        if turned_away.load(Ordering::Relaxed) == machine {
            Verdict::TooMany
        } else {
            Verdict::Serve
        }
    }));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [owner, first]
        .into_iter()
        .map(|at| {
            let (front, is_over, log) = (nodes[at].front, Arc::clone(&is_over), record.clone());
            thread::spawn(move || ask_for_adapters(at, front, &is_over, &log))
        })
        .collect();
    thread::sleep(ms(1_500));

    // The rolling restart: each node answers a long stream when its turn comes.
    let rolling: Vec<_> = [first, second]
        .into_iter()
        .map(|at| {
            let stream = read_long_stream(at, nodes[at].front, record);
            thread::sleep(ms(600));
            let (nodes, log) = (Arc::clone(&nodes), record.clone());
            let restart = thread::spawn(move || {
                let node = &nodes[at];
                log.say(format!("{} gets SIGTERM", node.name));
                node.signal("TERM");
                while node.ended().is_none() {
                    thread::sleep(ms(20));
                }
                log.say(format!("{} has ended", node.name));
                thread::sleep(ms(RESTART_MS));
                log.say(format!("{} starts again", node.name));
                node.spawn()
            });
            if at == first {
                thread::sleep(ms(NEXT_TERM_MS - 600));
            }
            (stream, restart)
        })
        .collect();
    thread::sleep(ms(TURNED_AWAY_AFTER_MS));
    if has_trouble {
        away.store(owner, Ordering::Relaxed);
        store.set_cut(owner, true);
        let keys = store.take_keys_of(&format!("chivevalve/node/{}", names[owner]));
        record.say(format!(
            "store: turns {} away with 429 and takes its keys: {}",
            names[owner],
            keys.join(" ")
        ));
    }
    thread::sleep(ms(TURNED_AWAY_MS));
    if has_trouble {
        away.store(NOBODY, Ordering::Relaxed);
        store.set_cut(owner, false);
        record.say(format!("store: serves {} again", names[owner]));
    }
    thread::sleep(ms(2_000));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for (stream, restart) in rolling {
        let _ = stream.join();
        let _ = restart.join();
    }
    for node in nodes.iter() {
        for line in node.log_text().lines() {
            let is_told = line.contains("took over") || line.contains("extended by the votes");
            if is_told {
                record.say(format!("{}: {line}", node.name));
            }
        }
    }
    let breaches = judge_one(&engine);
    record.say(format!(
        "i-one received {} orders{}",
        lock(&engine.state).orders.len(),
        if has_trouble { "" } else { "; played without the disruption" }
    ));
    Ok(verdict(record, &breaches))
}

fn headers_of(id: &str, number: usize) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("Request-Attempt", id.to_owned()),
        ("Model", format!("{MODEL}/a{number}")),
        ("Token-Count", "1460,171".to_owned()),
        ("Prompt-Prefix", format!("5c1e07a2:350,{id}:1110")),
        ("Deadline-Ms", "15000".to_owned()),
        ("Connection", "close".to_owned()),
    ]
}

/// Reads a stream of 57 events, which takes some seven seconds.
fn read_long_stream(
    client: usize,
    front: SocketAddr,
    record: &Record,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let headers = headers_of(&attempt_id(), 2_500 + client);
        let path = "/daily-summary/long";
        let answer = call(front, "POST", path, &headers, b"{}", Duration::from_secs(15));
        let outcome = match answer {
            Ok(answer) => format!("{} whole={}", answer.status, answer.is_whole),
            Err(error) => error.to_string(),
        };
        record.say(format!("client of a long stream at node {client}: {outcome}"));
    })
}

/// Asks for one adapter after the other, so that they have to be loaded.
fn ask_for_adapters(client: usize, front: SocketAddr, is_over: &AtomicBool, record: &Record) {
    let mut number = client * 800;
    while !is_set(is_over) {
        number += 1;
        let headers = headers_of(&attempt_id(), number);
        let path = format!("/daily-summary/{number}");
        let answer = call(front, "POST", &path, &headers, b"{}", Duration::from_secs(15));
        let outcome = match answer {
            Ok(answer) => format!("{} whole={}", answer.status, answer.is_whole),
            Err(error) => error.to_string(),
        };
        record.say(format!("client of node {client}: a{number} -> {outcome}"));
        thread::sleep(ms(60));
    }
}
