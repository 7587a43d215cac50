//! `status`: how are the nodes, the upstreams and the configuration?

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chivevalve::operators::wire::{Owned, Peer, Rollout, Status, Upstream};
use serde::Serialize;

use super::{Command, online};
use crate::args::Args;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::{self, Page};

/// The command.
pub const COMMAND: Command = Command {
    name: "status",
    about: "show nodes, upstreams, queues and the revision in force",
    values: 0..=0,
    online: true,
    options: &["all"],
    help: "\
Usage: chivevalve status [--all] [OPTIONS]

Shows what the first node that answers says of itself and sees of the others.
Exits with 0 also when a node isn't ready; scripts read --format json.

  --all              ask every node that is named by --node or known to one of
                     these, a line for each
",
    run,
};

/// Columns for many nodes.
const NODES_ASKED: [&str; 9] = [
    "NODE",
    "ADDRESS",
    "DOMAIN",
    "STATE",
    "REVISION",
    "CONFIRMED",
    "OWNS",
    "RUNNING",
    "WAITING",
];
/// Columns for the nodes that one node sees.
const NODES: [&str; 5] = ["NODE", "DOMAIN", "HEARD", "STATE", "OPERATORS"];
/// Columns for upstreams.
const UPSTREAMS: [&str; 7] = [
    "UPSTREAM", "POOL", "DOMAIN", "ADDRESS", "STATE", "OWNER", "TOKEN",
];
/// Columns for owned upstreams.
const OWNED: [&str; 8] = [
    "UPSTREAM", "STATE", "RUNNING", "URGENT", "NORMAL", "BULK", "RESIDENT", "LOADING",
];

/// What one node of many answered.
#[derive(Serialize)]
struct Line {
    address: SocketAddr,
    status: Option<Status>,
    error: Option<String>,
}

fn run(args: &Args) -> Result<(), Failure> {
    online(args, async |client| {
        if args.has("all") {
            let lines = everyone(&client).await;
            output::answer(args.format, &lines, |lines| all_text(lines))?;
            if lines.iter().all(|line| line.status.is_none()) {
                return Err(Failure::Unreachable(Vec::new()));
            }
            return Ok(());
        }
        let status: Status = client.get("/v1/status").await?;
        output::answer(args.format, &status, text)
    })
}

/// Asks the named nodes, then those that they know.
async fn everyone(client: &Client) -> Vec<Line> {
    let mut asked = BTreeSet::new();
    let mut round: Vec<SocketAddr> = client.nodes().to_vec();
    let mut lines = Vec::new();
    while !round.is_empty() {
        round.retain(|address| asked.insert(*address));
        let answers = futures::future::join_all(round.iter().map(|address| line(client, *address)));
        let answers = answers.await;
        round = answers.iter().flat_map(known).collect();
        lines.extend(answers);
    }
    lines.sort_by_key(|line| {
        (
            line.status.as_ref().map(|status| status.node.clone()),
            line.address,
        )
    });
    lines
}

async fn line(client: &Client, address: SocketAddr) -> Line {
    match client.get_at::<Status>(address, "/v1/status").await {
        Ok(status) => Line {
            address,
            status: Some(status),
            error: None,
        },
        Err(failure) => Line {
            address,
            status: None,
            error: Some(short(&failure)),
        },
    }
}

fn short(failure: &Failure) -> String {
    match failure {
        Failure::Refused(refusal) => refusal.message.to_string(),
        Failure::Unreachable(_) => "can't be reached".to_owned(),
        other => other.to_string().trim_end().to_owned(),
    }
}

fn known(line: &Line) -> Vec<SocketAddr> {
    let nodes = line.status.iter().flat_map(|status| &status.nodes);
    nodes.filter_map(|node| node.operators).collect()
}

fn all_text(lines: &[Line]) -> String {
    let mut rows = vec![NODES_ASKED.map(str::to_owned).to_vec()];
    rows.extend(lines.iter().map(row));
    output::table(&rows)
}

fn row(line: &Line) -> Vec<String> {
    let address = line.address.to_string();
    let Some(status) = &line.status else {
        let error = line.error.clone().unwrap_or_default();
        return vec!["?".to_owned(), address, "?".to_owned(), error];
    };
    let running: u32 = status.owned.iter().map(|owned| owned.running).sum();
    let waiting: u32 = status.owned.iter().flat_map(|owned| owned.waiting).sum();
    vec![
        status.node.clone(),
        address,
        status.failure_domain.clone(),
        state(status),
        status.configuration.revision.to_string(),
        confirmed(&status.configuration),
        status.owned.len().to_string(),
        running.to_string(),
        waiting.to_string(),
    ]
}

fn state(status: &Status) -> String {
    if status.not_ready.is_empty() {
        return "ready".to_owned();
    }
    format!("not ready: {}", status.not_ready.join("; "))
}

fn confirmed(rollout: &Rollout) -> String {
    rollout
        .confirmed_age_ms
        .map_or_else(|| "never".to_owned(), |age| format!("{} ago", span(age)))
}

/// Writes a span as people say it; scripts take the JSON.
fn span(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{} s", ms / 1_000),
        _ => format!("{} min", ms / 60_000),
    }
}

fn text(status: &Status) -> String {
    let mut page = Page::default();
    page.line(format_args!(
        "node {} ({}, {}), version {}: {}",
        status.node,
        status.region,
        status.failure_domain,
        status.version,
        state(status)
    ));
    page.line(format_args!(
        "revision {} in force, confirmed {}",
        status.configuration.revision,
        confirmed(&status.configuration)
    ));
    let Rollout {
        revision, learned, ..
    } = status.configuration;
    if learned > revision {
        page.line(format_args!("revision {learned} waits for its adapters"));
    }
    if let Some(fault) = &status.configuration.fault {
        page.line(format_args!(
            "a newer revision can't be taken over: {fault}"
        ));
    }
    page.text(&section("nodes", &NODES, status.nodes.iter().map(peer)));
    page.text(&section(
        "upstreams",
        &UPSTREAMS,
        status.upstreams.iter().map(upstream),
    ));
    page.text(&section(
        "owned here",
        &OWNED,
        status.owned.iter().map(owned),
    ));
    page.done()
}

fn section(title: &str, head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return format!("\n{title}: none\n");
    }
    let mut all = vec![head.iter().map(|name| (*name).to_owned()).collect()];
    all.extend(rows);
    format!("\n{title}:\n{}", output::table(&all))
}

fn peer(peer: &Peer) -> Vec<String> {
    vec![
        peer.name.clone(),
        peer.failure_domain.clone(),
        format!("{} ago", span(peer.heard_age_ms)),
        if peer.draining { "draining" } else { "serving" }.to_owned(),
        peer.operators
            .map_or_else(|| "?".to_owned(), |address| address.to_string()),
    ]
}

fn upstream(upstream: &Upstream) -> Vec<String> {
    vec![
        upstream.name.clone(),
        upstream.pool.clone(),
        upstream.failure_domain.clone(),
        upstream.address.clone(),
        upstream.state.clone(),
        upstream
            .owner
            .clone()
            .unwrap_or_else(|| "nobody".to_owned()),
        upstream
            .token
            .map_or_else(|| "-".to_owned(), |token| token.to_string()),
    ]
}

fn owned(owned: &Owned) -> Vec<String> {
    let state = match (owned.held, owned.failing, owned.leaving) {
        (false, _, _) => "lapsed",
        (true, true, _) => "failing",
        (true, false, true) => "leaving",
        (true, false, false) => "usable",
    };
    let resident: Vec<String> = owned
        .resident
        .iter()
        .map(|slot| match slot.pins {
            0 => slot.adapter.clone(),
            pins => format!("{}*{pins}", slot.adapter),
        })
        .collect();
    vec![
        owned.upstream.clone(),
        state.to_owned(),
        format!("{}/{}", owned.running, owned.batch),
        owned.waiting[0].to_string(),
        owned.waiting[1].to_string(),
        owned.waiting[2].to_string(),
        listed(&resident),
        listed(&[owned.loading.clone(), owned.asked.clone()].concat()),
    ]
}

fn listed(names: &[String]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    names.join(",")
}
