//! What callers and servers saw against what was promised.

mod ends;
mod versions;

use std::collections::{HashMap, HashSet};

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::ledger::{Arrival, Breach, Order, Start};
use chivevalve_platform_standins::soak::wire;

use super::caller::Call;
use super::site::Stop;
use super::trouble::{Scope, Trouble, calm};
use ends::{closed, cut_in_silence, stops};
use versions::{back, in_force, old_versions};

/// Bounds of the deployment, as `wire::BOUNDS` tells the nodes.
const TURNS: Millis = Millis(3_000);
const THAW: Millis = Millis(300);
const LEAVING: Millis = Millis(2_000);
const WINDOW: Millis = Millis(10_000);
/// Engines that a poison request may end, and those that a prompt part may.
const POISONED: usize = 3;
const POISONED_BY_PART: usize = 5;
/// Servers that may fall over under what they reject.
const FALLS: usize = 1;
/// Sends of it that are allowed once all nodes can know.
const ALLOWED: usize = 3;
/// Time until all nodes know: the bound, and as long as the entry of a server stays that ended
/// behind a proxy, which goes on accepting connections.
const KNOWN: Millis = Millis(7_000);

/// A promise that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    pub promise: &'static str,
    pub at: Millis,
    /// The request; empty if it isn't about one.
    pub id: String,
    pub told: String,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Evidence {
    pub calls: Vec<Call>,
    pub arrivals: Vec<Arrival>,
    pub orders: Vec<Order>,
    pub breaches: Vec<Breach>,
    pub troubles: Vec<Trouble>,
    pub configs: Vec<(u64, Millis)>,
    pub versions: Vec<(String, u64, Millis)>,
    pub left: Vec<(usize, String, Millis)>,
    pub stops: Vec<Stop>,
    /// Servers that fell over under what they rejected, and when.
    pub falls: Vec<(usize, Millis)>,
    /// Further sends that a service bears, as [`wire::Profile::budget`] says.
    pub budget: (f64, u32),
}

/// Looks at everything; `exact` leaves out what a slow computer alone could break.
pub fn judge(seen: &Evidence, exact: bool) -> Vec<Violation> {
    let by_id = by_id(seen);
    let mut found: Vec<Violation> = seen
        .breaches
        .iter()
        .map(|breach| new(breach.rule, breach.at, &breach.id, breach.told.clone()))
        .collect();
    for call in &seen.calls {
        let none = Vec::new();
        let arrivals = by_id.get(call.ask.id.as_str()).unwrap_or(&none);
        found.extend(of_call(call, arrivals));
        let cut = cut_in_silence(seen, call, arrivals);
        let more = if exact {
            None
        } else {
            closed(seen, call, arrivals)
        };
        found.extend(cut.or(more));
    }
    found.extend(falls(seen));
    found.extend(back(seen, &by_id));
    found.extend(fences(seen));
    if !exact {
        found.extend(stops(seen, &by_id));
        found.extend(turns(seen));
        found.extend(in_force(seen, &by_id));
        found.extend(leaving(seen, &by_id));
        found.extend(old_versions(seen, &by_id));
        found.extend(budget(seen));
        let by_request = |id: &str| wire::subject(id) == wire::POISON;
        found.extend(poison(seen, wire::POISON, POISONED, by_request));
        let by_part = |id: &str| id.starts_with(wire::PART);
        found.extend(poison(seen, wire::PART, POISONED_BY_PART, by_part));
    }
    found
}

/// Servers that fell over under what they rejected, beyond the first.
fn falls(seen: &Evidence) -> Vec<Violation> {
    let more = seen.falls.iter().skip(FALLS);
    more.map(|(host, at)| new("Rejections", *at, "", format!("server {host} fell over")))
        .collect()
}

/// Requests whose node was in touch with the platform all the while: checks with bounds look at these.
pub fn in_touch(seen: &Evidence) -> usize {
    let touch = |call: &&Call| {
        let scopes = Scope::of_node(call.node);
        calm(&seen.troubles, &scopes, call.sent, call.ended)
    };
    seen.calls.iter().filter(touch).count()
}

fn new(promise: &'static str, at: Millis, id: &str, told: String) -> Violation {
    Violation {
        promise,
        at,
        id: id.to_owned(),
        told,
    }
}

type ById<'a> = HashMap<&'a str, Vec<&'a Arrival>>;

fn by_id(seen: &Evidence) -> ById<'_> {
    let mut by_id = ById::new();
    for arrival in &seen.arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    by_id
}

fn calls_by_id(seen: &Evidence) -> HashMap<&str, &Call> {
    seen.calls
        .iter()
        .map(|call| (call.ask.id.as_str(), call))
        .collect()
}

/// What one call and its runs show without anything else.
fn of_call(call: &Call, arrivals: &[&Arrival]) -> Vec<Violation> {
    let id = &call.ask.id;
    let mut found: Vec<Violation> = call
        .wrong
        .iter()
        .map(|(promise, told)| new(promise, call.ended, id, told.clone()))
        .collect();
    let once = matches!(call.ask.route, "push" | "digest");
    let runs: Vec<&&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.ran && arrival.start == Start::Prompt)
        .collect();
    let servers = || -> Vec<String> {
        let told = |run: &&&Arrival| format!("{} at {}", run.server, run.at);
        runs.iter().map(told).collect()
    };
    if once && runs.len() > 1 {
        found.push(new("AtMostOnce", runs[1].at, id, servers().join(", ")));
    }
    let refused = call
        .status
        .filter(|status| matches!(status, 408 | 421 | 429 | 503));
    if let Some(status) = refused
        && once
        && !runs.is_empty()
    {
        let told = format!(
            "{status} at {}, but it ran: {}",
            call.ended,
            servers().join(", ")
        );
        found.push(new("NotRun", call.ended, id, told));
    }
    found
}

fn leaving(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
    let calls = calls_by_id(seen);
    let mut found = Vec::new();
    for (host, start, told) in &seen.left {
        let late = by_id.values().flatten().filter(|arrival| {
            arrival.server == *start && arrival.ran && arrival.at.0 > told.0 + LEAVING.0
        });
        for arrival in late {
            let Some(call) = calls.get(arrival.id.as_str()) else {
                continue;
            };
            let node = call.node;
            let [process, stop, link, store] = Scope::of_node(node);
            let scopes = [process, stop, link, store, Scope::Link(*host)];
            let told_in_calm = calm(&seen.troubles, &[Scope::Store], *told, *told);
            if told_in_calm && calm(&seen.troubles, &scopes, call.sent, arrival.at) {
                let told = format!("{start} said at {told} that it leaves; node {node} sent more");
                found.push(new("Leaving", arrival.at, &arrival.id, told));
            }
        }
    }
    found
}

/// Orders that count: those just behind a thaw or the healing of a link don't.
fn counted(seen: &Evidence) -> HashMap<&str, Vec<&Order>> {
    let mut by_start: HashMap<&str, Vec<&Order>> = HashMap::new();
    for order in &seen.orders {
        let node = order.holder.rsplit('-').next();
        let node = node.and_then(|number| number.parse().ok());
        let healed = seen.troubles.iter().any(|trouble| {
            let own = match trouble.scope {
                Scope::Process(number) => Some(number) == node,
                Scope::Link(host) => host == order.host,
                _ => false,
            };
            let until = trouble.until.map_or(Millis::MAX, |until| until);
            own && trouble.from <= order.at && order.at.0 <= until.0.saturating_add(THAW.0)
        });
        if !healed {
            by_start.entry(&order.server).or_default().push(order);
        }
    }
    by_start
}

fn turns(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (start, orders) in counted(seen) {
        for pair in orders.windows(2) {
            let apart = pair[1].at.since(pair[0].at);
            if pair[0].holder != pair[1].holder && apart < TURNS {
                let told = format!(
                    "{start} got an order of {} {apart} after one of {}",
                    pair[1].holder, pair[0].holder
                );
                found.push(new("OneOwner", pair[1].at, start, told));
            }
        }
    }
    found
}

/// A right to give orders never bears an older or another's token.
fn fences(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (start, orders) in counted(seen) {
        for pair in orders.windows(2) {
            let other = pair[0].holder != pair[1].holder;
            let (old, new_fence) = (pair[0].fence, pair[1].fence);
            if new_fence < old || (other && new_fence == old) {
                let told = format!(
                    "{start}: {} with {new_fence} after {} with {old}",
                    pair[1].holder, pair[0].holder
                );
                found.push(new("Fence", pair[1].at, start, told));
            }
        }
    }
    found
}

/// Requests that reach engines after so many have ended under them and all nodes can know.
fn poison(
    seen: &Evidence,
    name: &str,
    most: usize,
    is_poison: impl Fn(&str) -> bool,
) -> Option<Violation> {
    let arrivals = seen.arrivals.iter().filter(|one| is_poison(&one.id));
    let arrivals: Vec<&Arrival> = arrivals.collect();
    let mut ended = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
        if !ended.contains(&&arrival.server) {
            ended.push(&arrival.server);
        }
        if ended.len() == most {
            let known = arrival.ended.unwrap_or(arrival.at) + KNOWN;
            let calls = calls_by_id(seen);
            let in_touch = |one: &&&Arrival| {
                calls.get(one.id.as_str()).is_some_and(|call| {
                    let scopes = Scope::of_node(call.node);
                    calm(&seen.troubles, &scopes, call.sent, call.ended)
                })
            };
            let later = arrivals.iter().filter(|one| one.at > known);
            let later = later.filter(in_touch).count();
            let told = format!("{later} sends later than {KNOWN} after {most} ends");
            return (later > ALLOWED).then(|| new("Poison", known, name, told));
        }
    }
    None
}

fn budget(seen: &Evidence) -> Vec<Violation> {
    let (ratio, extra) = seen.budget;
    let mut found = Vec::new();
    for (service, engine) in [("engines", true), ("records", false)] {
        let mut repeats = Vec::new();
        let mut known = HashSet::new();
        for arrival in seen.arrivals.iter().filter(|one| one.service == service) {
            let goes_on = arrival.ran && arrival.start == Start::Moved;
            if !known.insert(&arrival.id) && !goes_on {
                repeats.push(arrival.at);
            }
        }
        let asked = |from: u64| {
            let until = from.saturating_add(WINDOW.0);
            let own =
                |call: &&Call| call.ask.adapter.is_some() == engine && call.ask.route != wire::FLIP;
            let within = |call: &&Call| (from..until).contains(&call.sent.0);
            seen.calls.iter().filter(own).filter(within).count()
        };
        for at in &repeats {
            let from = at.0.saturating_sub(WINDOW.0);
            let count = repeats.iter().filter(|one| (from..=at.0).contains(&one.0));
            let windows = [
                from,
                from.saturating_sub(WINDOW.0 / 2),
                from.saturating_sub(WINDOW.0),
            ];
            let asked = windows.into_iter().map(asked).max().unwrap_or_default();
            #[allow(clippy::cast_precision_loss, reason = "some thousand requests")]
            let (count, bound) = (
                count.count() as f64,
                asked as f64 * ratio + f64::from(extra),
            );
            if count > bound {
                let told = format!("{service}: {count} further sends, {bound:.0} allowed");
                found.push(new("Budget", *at, "", told));
                break;
            }
        }
    }
    found
}
