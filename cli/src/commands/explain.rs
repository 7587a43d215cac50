//! `explain`: what would happen to a request of a template now, or what became of one, and why?

use std::collections::HashMap;
use std::net::SocketAddr;

use chivevalve::operators::wire::{Candidate, Explanation, Status};
use chivevalve::request::Class;

use super::story::Story;
use super::{Command, online};
use crate::args::Args;
use crate::client::{Client, query};
use crate::failure::Failure;
use crate::output::{self, Page};

/// The command.
pub const COMMAND: Command = Command {
    name: "explain",
    about: "say what would happen to a request of a template now",
    values: 2..=usize::MAX,
    online: true,
    options: &["logs"],
    help: "\
Usage: chivevalve explain ACCOUNT TEMPLATE [OPTIONS]
       chivevalve explain --logs REQUEST FILE...

Shows the upstreams in the order in which they would be tried, who owns each,
whether the adapter is in a slot there, and how much runs and waits. What only
an owner knows is asked of the owner.

With --logs: tells one request's story by time, from log files of any number of
nodes, and says where lines are missing. Asks no node.
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    if args.has("logs") {
        return story(args);
    }
    if args.values.len() > 2 {
        return Err(Failure::Usage(
            "explain takes ACCOUNT and TEMPLATE".to_owned(),
        ));
    }
    online(args, async |client| {
        let asked = query(&[("account", &args.values[0]), ("template", &args.values[1])]);
        let mut told: Explanation = client.get(&format!("/v1/explain?{asked}")).await?;
        complete(&client, &mut told).await;
        output::answer(args.format, &told, text)
    })
}

/// Tells what became of a request.
fn story(args: &Args) -> Result<(), Failure> {
    let (request, files) = args
        .values
        .split_first()
        .ok_or_else(|| Failure::Usage("name a request and files".to_owned()))?;
    let story = Story::read(request, files)?;
    output::print(&story.page(request))
}

/// Asks the owners for what only they know; one that doesn't answer leaves a gap.
async fn complete(client: &Client, told: &mut Explanation) {
    let class: Class = told.class.parse().unwrap_or_default();
    let mut asked: HashMap<SocketAddr, Option<Status>> = HashMap::new();
    for candidate in &mut told.candidates {
        let Some(address) = candidate.owner_operators else {
            continue;
        };
        if candidate.running.is_some() {
            continue;
        }
        if let std::collections::hash_map::Entry::Vacant(place) = asked.entry(address) {
            place.insert(client.get_at(address, "/v1/status").await.ok());
        }
        let owned = asked[&address].iter().flat_map(|status| &status.owned);
        for owned in owned.filter(|owned| owned.upstream == candidate.upstream) {
            candidate.resident = told.adapter.as_ref().map(|adapter| owned.holds(adapter));
            candidate.running = Some(owned.running);
            candidate.ahead = Some(owned.ahead(class));
        }
    }
}

fn text(told: &Explanation) -> String {
    let what = match &told.adapter {
        Some(adapter) => format!("adapter {adapter}"),
        None => "a plain service".to_owned(),
    };
    let repeat = if told.idempotent {
        "may be repeated"
    } else {
        "runs at most once"
    };
    let mut page = Page::default();
    page.line(format_args!(
        "template {}/{} at revision {}, as node {} sees it",
        told.account, told.template, told.revision, told.node
    ));
    page.line(format_args!(
        "runs {what} in pool {}, class {}, weight {}; {repeat}",
        told.pool, told.class, told.weight
    ));
    page.line(format_args!("now: {}", told.verdict));
    page.text(&candidates("\nin order:\n", &told.candidates));
    page.text(&candidates("\npassed over:\n", &told.passed_over));
    page.done()
}

fn candidates(title: &str, candidates: &[Candidate]) -> String {
    if candidates.is_empty() {
        return String::new();
    }
    let head = [
        "UPSTREAM", "DOMAIN", "STATE", "OWNER", "ADAPTER", "RUNNING", "AHEAD",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (number, candidate) in candidates.iter().enumerate() {
        let before = &candidates[..number];
        let again = before.iter().any(|one| one.upstream == candidate.upstream);
        rows.push(row(candidate, again));
    }
    format!("{title}{}", output::table(&rows))
}

fn row(candidate: &Candidate, again: bool) -> Vec<String> {
    let number = |number: Option<u32>| number.map_or_else(|| "?".to_owned(), |n| n.to_string());
    let adapter = match candidate.resident {
        Some(true) => "in a slot",
        Some(false) => "to be loaded",
        None => "?",
    };
    vec![
        candidate.upstream.clone(),
        candidate.failure_domain.clone(),
        if again {
            format!("{}, again", candidate.state)
        } else {
            candidate.state.clone()
        },
        candidate
            .owner
            .clone()
            .unwrap_or_else(|| "nobody".to_owned()),
        adapter.to_owned(),
        number(candidate.running),
        number(candidate.ahead),
    ]
}
