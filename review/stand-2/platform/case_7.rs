//! A claim whose write is carried out late gives its node orders at once, though another node has
//! given orders in between.

#[path = "stand.rs"]
mod stand;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

/// How much later the first claim is written: the pages allow 1 to 6 s.
const LATE_MS: u64 = 4_600;
/// When the store turns the other owner away and takes its keys, after the first claim was asked for.
const REVOKED_MS: u64 = 4_500;
/// How long it turns it away.
const TURNED_AWAY_MS: u64 = 5_000;

#[derive(Default)]
struct Claims {
    /// The machine whose claim is written late, and when it asked for it.
    late: Option<(usize, u64)>,
    /// The machine whose claim was written first, and when.
    owner: Option<(usize, u64)>,
    /// The machine that is turned away.
    away: Option<usize>,
}

fn main() {
    let record = Record::new();
    let code = play(&record).unwrap_or_else(|error| {
        record.say(format!("the case couldn't run: {error}"));
        2
    });
    record.write(Path::new("review/7/record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> std::io::Result<i32> {
    let has_trouble = has_trouble();
    let folder = Folder::new("review-7")?;
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
    // What a node that starts has to wait for is over then.
    thread::sleep(Duration::from_secs(9));

    let claims = Arc::new(Mutex::new(Claims::default()));
    let second_engine = Arc::new(Mutex::new(None::<String>));
    let (seen, key, log) = (
        Arc::clone(&claims),
        Arc::clone(&second_engine),
        record.clone(),
    );
    store.set_hook(Box::new(move |machine, _, txn| {
        let mut claims = lock(&seen);
        if claims.away == Some(machine) {
            return Verdict::Busy;
        }
        let Some(key) = lock(&key).clone() else {
            return Verdict::Serve;
        };
        let claims_it = |txn: &Txn| {
            let is_new = |(known, revision): &(String, u64)| *known == key && *revision == 0;
            txn.expected.iter().any(is_new)
        };
        if !txn.is_some_and(claims_it) {
            return Verdict::Serve;
        }
        let now = log.now();
        if has_trouble && claims.late.is_none() {
            claims.late = Some((machine, now));
            log.say(format!(
                "store: the claim of {} gets no answer, and is carried out {LATE_MS} ms later",
                names[machine]
            ));
            return Verdict::Late(LATE_MS);
        }
        if claims.owner.is_none() {
            claims.owner = Some((machine, now));
            log.say(format!("store: the claim of {} is carried out", names[machine]));
        }
        Verdict::Serve
    }));

    // Held back until the key is known, so that no claim is missed.
    let engine = {
        let mut key = lock(&second_engine);
        let engine = Engine::start("i-two", "llm-pool", "hall-b", 20, &store, record);
        *key = Some(format!("chivevalve/claim/{}", engine.address));
        engine
    };
    record.say(format!("server i-two registers at {}", engine.address));

    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(at, front)| {
            let (front, is_over, log) = (*front, Arc::clone(&is_over), record.clone());
            thread::spawn(move || ask_for_adapters(at, front, &is_over, &log))
        })
        .collect();

    let until = Instant::now() + Duration::from_secs(16);
    let mut revoked_at = None;
    while Instant::now() < until {
        thread::sleep(ms(10));
        let now = record.now();
        let mut state = lock(&claims);
        let Some((_, asked_at)) = state.late else {
            continue;
        };
        match revoked_at {
            None if now >= asked_at + REVOKED_MS => {
                let Some((owner, _)) = state.owner else {
                    record.say("no other node has claimed the server");
                    return Ok(2);
                };
                state.away = Some(owner);
                drop(state);
                store.set_cut(owner, true);
                let keys = store.take_keys_of(&format!("chivevalve/node/{}", names[owner]));
                record.say(format!(
                    "store: turns {} away and takes its keys: {}",
                    names[owner],
                    keys.join(" ")
                ));
                revoked_at = Some(now);
            }
            Some(at) if now >= at + TURNED_AWAY_MS && state.away.is_some() => {
                let owner = state.away.take().unwrap_or_default();
                drop(state);
                store.set_cut(owner, false);
                record.say(format!("store: serves {} again", names[owner]));
            }
            _ => {}
        }
    }
    is_over.store(true, std::sync::atomic::Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for node in &nodes {
        if let Some(ended) = node.ended() {
            record.say(format!("{} has ended: {ended}", node.name));
        }
        for line in node.log_text().lines() {
            if line.contains("took over") && line.contains(&engine.address.to_string()) {
                record.say(format!("{}: {line}", node.name));
            }
        }
    }
    Ok(verdict(record, &judge(&engine, &first, has_trouble, record)))
}

/// Asks for one adapter after the other, so that they have to be loaded.
fn ask_for_adapters(
    client: usize,
    front: std::net::SocketAddr,
    is_over: &std::sync::atomic::AtomicBool,
    record: &Record,
) {
    let mut number = client * 900;
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
        let asked_at = record.now();
        let answer = call(
            front,
            "POST",
            &format!("/daily-summary/{number}"),
            &headers,
            b"{}",
            Duration::from_secs(15),
        );
        let outcome = match answer {
            Ok(answer) => format!("{} whole={}", answer.status, answer.is_whole),
            Err(error) => error.to_string(),
        };
        record.say(format!(
            "client {client}: a{number} sent at {asked_at} ms -> {outcome}"
        ));
        thread::sleep(ms(60));
    }
}

/// Rule ONE: no two holders may take turns at a server within `leaseMs`.
fn judge(engine: &Engine, first: &Engine, has_trouble: bool, record: &Record) -> Vec<String> {
    let mut breaches = Vec::new();
    for engine in [first, engine] {
        let orders = lock(&engine.state).orders.len();
        record.say(format!("{} received {orders} orders", engine.id));
        breaches.extend(judge_one(engine));
    }
    if !has_trouble {
        record.say("played without the disruption");
    }
    breaches
}
