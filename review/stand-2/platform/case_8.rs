//! A node that reads everything again after the store has forgotten its history gives orders at
//! once to a server that another node has owned meanwhile.

#[path = "stand.rs"]
mod stand;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

/// How long the store turns the first machine away.
const FIRST_AWAY_MS: u64 = 8_000;
/// From then until a new server registers.
const REGISTERS_AFTER_MS: u64 = 2_000;
/// Clients of each node.
const CLIENTS: usize = 4;
/// How long the store turns the owner away.
const OWNER_AWAY_MS: u64 = 6_000;

fn main() {
    let record = Record::new();
    let code = play(&record).unwrap_or_else(|error| {
        record.say(format!("the case couldn't run: {error}"));
        2
    });
    record.write(Path::new("review/8/record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> std::io::Result<i32> {
    let has_trouble = has_trouble();
    let folder = Folder::new("review-8")?;
    let names = ["front-hall-a-1", "front-hall-b-1", "front-hall-c-1"];
    let zones = ["hall-a", "hall-b", "hall-c"];
    let (store, addresses) = Store::start(names.len());
    store.put("op/config", &config(7));
    let first = Engine::start("i-one", "llm-pool", "hall-a", 20, &store, record);
    let mut nodes = Vec::new();
    for (at, name) in names.iter().enumerate() {
        nodes.push(Node::start(&folder.0, name, zones[at], addresses[at])?);
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            record.say(format!("{} isn't ready", node.name));
            return Ok(2);
        }
    }
    record.say("all nodes are ready");
    // What nodes that start have to wait for is over then.
    thread::sleep(Duration::from_secs(8));

    let away = Arc::new(Mutex::new(Vec::<usize>::new()));
    let turned_away = Arc::clone(&away);
    store.set_hook(Box::new(move |machine, _, _| {
        if lock(&turned_away).contains(&machine) {
            Verdict::Busy
        } else {
            Verdict::Serve
        }
    }));
    let turn_away = |machine: usize, takes_keys: bool| {
        lock(&away).push(machine);
        store.set_cut(machine, true);
        if takes_keys {
            let keys = store.take_keys_of(&format!("chivevalve/node/{}", names[machine]));
            let keys = keys.join(" ");
            record.say(format!("store: turns {} away and takes its keys: {keys}", names[machine]));
        } else {
            record.say(format!("store: turns {} away", names[machine]));
        }
    };
    let serve_again = |machine: usize| {
        lock(&away).retain(|one| *one != machine);
        store.set_cut(machine, false);
        record.say(format!("store: serves {} again", names[machine]));
    };

    // The machine that doesn't hear of what happens; one that owns the first server stays out of it.
    let owner_of = |address: SocketAddr| {
        let claim = store.item(&format!("chivevalve/claim/{address}"))?;
        let claim = Json::parse(&claim.text())?;
        names.iter().position(|name| *name == claim.get("node").str())
    };
    let Some(first_owner) = owner_of(first.address) else {
        record.say("nobody owns the first server");
        return Ok(2);
    };
    let unaware = (first_owner + 1) % names.len();
    if has_trouble {
        turn_away(unaware, false);
    }
    let away_until = Instant::now() + ms(FIRST_AWAY_MS);
    thread::sleep(ms(REGISTERS_AFTER_MS));
    let engine = Engine::start("i-two", "llm-pool", "hall-b", 20, &store, record);
    record.say(format!("server i-two registers at {}", engine.address));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..nodes.len() * CLIENTS)
        .map(|client| {
            let front = nodes[client % nodes.len()].front;
            let (is_over, log) = (Arc::clone(&is_over), record.clone());
            thread::spawn(move || ask_for_adapters(client, front, &is_over, &log))
        })
        .collect();
    thread::sleep(away_until.saturating_duration_since(Instant::now()));
    let Some(owner) = owner_of(engine.address) else {
        record.say("nobody owns the new server");
        return Ok(2);
    };
    record.say(format!("{} owns i-two", names[owner]));
    if has_trouble {
        if owner == unaware {
            return Ok(2);
        }
        // At no time are two machines turned away.
        serve_again(unaware);
        turn_away(owner, true);
        store.forget_history();
        record.say("store: forgets its history");
    }
    thread::sleep(ms(OWNER_AWAY_MS));
    if has_trouble {
        serve_again(owner);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for node in &nodes {
        for line in node.log_text().lines() {
            let is_told = line.contains("took over") || line.contains("reading everything");
            if is_told {
                record.say(format!("{}: {line}", node.name));
            }
        }
    }
    let mut breaches = judge_one(&first);
    breaches.extend(judge_one(&engine));
    if !has_trouble {
        record.say("played without the disruption");
    }
    Ok(verdict(record, &breaches))
}

/// Asks for one adapter after the other, so that they have to be loaded.
fn ask_for_adapters(client: usize, front: SocketAddr, is_over: &AtomicBool, record: &Record) {
    let mut number = client * 240;
    while !is_set(is_over) {
        number += 1;
        let id = attempt_id();
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Attempt", id.clone()),
            ("Model", format!("{MODEL}/a{number}")),
            ("Token-Count", "1460,80".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:350,{id}:1110")),
            ("Deadline-Ms", "15000".to_owned()),
            ("Connection", "close".to_owned()),
        ];
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
