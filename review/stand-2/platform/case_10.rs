//! A proper request that bears more than a hundred header fields, all within `maxHeaderBytes`, is
//! refused with 431.

#[path = "stand.rs"]
mod stand;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use stand::*;

/// Requests of all clients together, at each node.
const REQUESTS: usize = 200;
/// One request in this many bears many header fields.
const MANY_EVERY: usize = 10;
/// Header fields of such a request beside those that each request has.
const MANY: usize = 120;
/// Length of the values of these fields, all together.
const VALUE_BYTES: usize = 1_920;
/// Length of a head that the pages allow: `maxHeaderBytes`.
const MAX_HEADER_BYTES: usize = 16_384;

/// A sound server of a plain service: it runs each request at once and echoes its body's length.
fn start_server(id: &str, zone: &str, store: &Arc<Store>, ran: &Arc<Mutex<Vec<String>>>) {
    let listener = listen();
    let address = listener.local_addr().expect("a bound socket");
    let (own, ran) = (id.to_owned(), Arc::clone(ran));
    serve(listener, move |request| {
        let mut headers: Headers = vec![("Keep-Alive".to_owned(), "timeout=10".to_owned())];
        if request.path == "/health" {
            headers.push(("Instance-Id".to_owned(), own.clone()));
            return Reply::Full(200, headers, Vec::new());
        }
        let attempt = request.header("request-attempt").unwrap_or_default();
        headers.push(("Request-Attempt".to_owned(), attempt.to_owned()));
        if request.header("expect-instance").is_some_and(|id| id != own) {
            headers.push(("Not-Executed".to_owned(), "1".to_owned()));
            return Reply::Full(421, headers, Vec::new());
        }
        lock(&ran).push(attempt.to_owned());
        headers.push(("Server-Seal".to_owned(), format!("{own}.{attempt}")));
        Reply::Full(200, headers, b"done".to_vec())
    });
    let (id, zone, store) = (id.to_owned(), zone.to_owned(), Arc::clone(store));
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"connector-api\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"sequence\":{sequence}}}"
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(ms(1_200));
        }
    });
}

fn main() {
    let record = Record::new();
    let code = play(&record).unwrap_or_else(|error| {
        record.say(format!("the case couldn't run: {error}"));
        2
    });
    record.write(Path::new("review/10/record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> std::io::Result<i32> {
    // Without the trouble the same bytes come in fewer fields.
    let fields = if has_trouble() { MANY } else { MANY / 4 };
    let folder = Folder::new("review-10")?;
    let names = ["front-hall-a-1", "front-hall-b-1", "front-hall-c-1"];
    let zones = ["hall-a", "hall-b", "hall-c"];
    let (store, addresses) = Store::start(names.len());
    store.put("op/config", &config(7));
    let ran = Arc::new(Mutex::new(Vec::new()));
    for (at, zone) in zones.iter().enumerate() {
        start_server(&format!("i-{at}"), zone, &store, &ran);
    }
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
    // `stableMs` after the start, all machines are in touch.
    thread::sleep(Duration::from_secs(5));

    let (mut sent, mut denied, mut failed) = (0, 0, 0);
    for at in 0..REQUESTS {
        for node in &nodes {
            let attempt = attempt_id();
            let mut headers = vec![
                ("Host".to_owned(), HOST.to_owned()),
                ("Request-Attempt".to_owned(), attempt.clone()),
                ("Deadline-Ms".to_owned(), "1000".to_owned()),
            ];
            let has_many = at % MANY_EVERY == 0;
            if has_many {
                for number in 0..fields {
                    headers.push((format!("X-Till-{number}"), "a".repeat(VALUE_BYTES / fields)));
                }
            }
            let head: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
            assert!(head + 100 < MAX_HEADER_BYTES, "the head is within the limit");
            let fields: Vec<(&str, String)> =
                headers.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
            let path = format!("/stock-push/{at}");
            let answer = call(node.front, "POST", &path, &fields, b"{}", ms(2_000));
            sent += 1;
            match answer {
                Ok(answer) => {
                    let status = answer.status;
                    let is_sealed = header(&answer.headers, "server-seal").is_some();
                    if has_many || status != 200 {
                        record.say(format!(
                            "{}: {attempt} with {} header fields, {head} bytes: {status}, seal {is_sealed}, ran {}",
                            node.name,
                            fields.len() + 1,
                            lock(&ran).contains(&attempt)
                        ));
                    }
                    let is_excused = matches!(status, 408 | 421 | 429);
                    if (300..500).contains(&status) && !is_excused && !is_sealed {
                        denied += 1;
                    } else if status != 200 {
                        failed += 1;
                    }
                }
                Err(error) => {
                    failed += 1;
                    record.say(format!("{}: {attempt}: {error}", node.name));
                }
            }
            thread::sleep(ms(10));
        }
    }
    record.say(format!("{sent} requests, {denied} ended with a 4xx of a node, {failed} failed else"));
    let allowed = 5 + sent / 500;
    let mut breaches = Vec::new();
    if denied > allowed {
        breaches.push(format!(
            "DENIED: {denied} of {sent} requests that the configuration allows, more than {allowed}"
        ));
    }
    Ok(verdict(record, &breaches))
}
