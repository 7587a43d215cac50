//! What callers and servers saw against what was promised.

use std::collections::{HashMap, HashSet};

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::ledger::{Arrival, Breach, Order};
use chivevalve_platform_standins::soak::wire;

use super::caller::Call;
use super::site::Stop;
use super::trouble::{Scope, Trouble, calm};

/// Bounds of the deployment, as `wire::BOUNDS` tells the nodes.
const TURNS: Millis = Millis(3_000);
const THAW: Millis = Millis(300);
const LEAVING: Millis = Millis(2_000);
const APPLY: Millis = Millis(2_000);
const VERSION: Millis = Millis(5_000);
/// Time from a newer version on after which an older one may be left.
const HAS_TO_GO: Millis = Millis(2_500);
const WINDOW: Millis = Millis(10_000);
const EXTRA: f64 = 54.0;
const RATIO: f64 = 0.2;
/// A request that is sent so much later than an effect of a version goes by that one.
const BACK: Millis = Millis(250);
/// The same at a node that was disturbed.
const BACK_DISTURBED: Millis = Millis(2_000);
/// Engines that a poison request may end.
const POISONED: usize = 3;
/// Sends of it that are allowed once all nodes can know.
const ALLOWED: usize = 3;
/// Time until all nodes know: the bound, and as long as the entry of a server stays that ended
/// behind a proxy, which goes on accepting connections.
const KNOWN: Millis = Millis(7_000);
/// Connections that are closed within this crossed the request on its way.
const CROSSED: Millis = Millis(200);
/// Part of the deadline from which on an answer may be ended for it.
const LATE_SHARE: f64 = 0.85;
/// Time behind a request to stop within which requests may still come.
const TOLD: Millis = Millis(3_000);
/// Time behind a request to stop from which on what still runs may be cut off.
const LAST_SIXTH: Millis = Millis(6_600);

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
}

/// Looks at everything; `exact` leaves out what a slow computer alone could break.
pub fn judge(seen: &Evidence, exact: bool) -> Vec<Violation> {
    let by_id = by_id(seen);
    let mut found: Vec<Violation> = seen
        .breaches
        .iter()
        .map(|breach| new("Unchanged", breach.at, &breach.id, breach.told.clone()))
        .collect();
    for call in &seen.calls {
        let none = Vec::new();
        let arrivals = by_id.get(call.ask.id.as_str()).unwrap_or(&none);
        found.extend(of_call(call, arrivals));
        if !exact {
            found.extend(closed(seen, call, arrivals));
        }
    }
    found.extend(back(seen, &by_id));
    found.extend(fences(seen));
    if !exact {
        found.extend(stops(seen));
        found.extend(turns(seen));
        found.extend(in_force(seen, &by_id));
        found.extend(leaving(seen, &by_id));
        found.extend(old_versions(seen, &by_id));
        found.extend(budget(seen));
        found.extend(poison(seen));
    }
    found
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
    let runs: Vec<&&Arrival> = arrivals.iter().filter(|arrival| arrival.ran).collect();
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

/// A request that ends with neither an answer nor a refusal, though nothing explains it.
fn closed(seen: &Evidence, call: &Call, arrivals: &[&Arrival]) -> Option<Violation> {
    let ends = call.complete && !matches!(call.status, Some(502 | 504));
    let spoilt = arrivals.iter().any(|arrival| arrival.spoilt);
    #[allow(clippy::cast_precision_loss, reason = "milliseconds of seconds")]
    let late = call.ended.since(call.sent).0 as f64 > call.ask.deadline.0 as f64 * LATE_SHARE;
    let replaced = arrivals
        .iter()
        .any(|arrival| is_replaced(seen, call, arrival));
    let crossed = arrivals.is_empty() && call.ended.since(call.sent) <= CROSSED;
    if ends || spoilt || late || replaced || (crossed && call.status.is_none()) {
        return None;
    }
    let reached: Vec<usize> = if arrivals.iter().any(|arrival| arrival.ran) {
        arrivals.iter().map(|arrival| arrival.host).collect()
    } else {
        let service = if call.ask.adapter.is_some() {
            "engines"
        } else {
            "records"
        };
        let of_it = seen.arrivals.iter().filter(|one| one.service == service);
        of_it.map(|one| one.host).collect()
    };
    let mut scopes = vec![Scope::Process(call.node)];
    scopes.extend(
        reached
            .iter()
            .flat_map(|host| [Scope::Link(*host), Scope::Crash(*host)]),
    );
    if !calm(
        &seen.troubles,
        &Scope::of_node(call.node),
        call.sent,
        call.ended,
    ) {
        // A node that can't hear of it sends to a server that has left.
        scopes.extend(reached.iter().map(|host| Scope::Leave(*host)));
    }
    let mut planned = seen.stops.iter().filter(|stop| stop.node == call.node);
    let grace = |stop: &Stop| {
        let still = arrivals.iter().any(|arrival| {
            arrival
                .ended
                .is_none_or(|ended| ended >= Millis(stop.at.0 + LAST_SIXTH.0))
        });
        call.sent >= stop.at && call.sent.0 <= stop.at.0 + TOLD.0 && still
    };
    if planned.any(grace) || !calm(&seen.troubles, &scopes, call.sent, call.ended) {
        return None;
    }
    let told = format!(
        "status {:?}, {} after {} at node {}; reached {:?}",
        call.status,
        call.failure.as_deref().unwrap_or("ended"),
        call.ended.since(call.sent),
        call.node,
        arrivals
            .iter()
            .map(|arrival| (&arrival.server, arrival.at.0, arrival.ran, arrival.whole))
            .collect::<Vec<_>>(),
    );
    Some(new("ClosedInCalm", call.ended, &call.ask.id, told))
}

/// Whether a request was taken back that waited at an engine when its version had to go.
fn is_replaced(seen: &Evidence, call: &Call, arrival: &Arrival) -> bool {
    let Some((adapter, version)) = &arrival.adapter else {
        return false;
    };
    let waited = !calm(
        &seen.troubles,
        &[Scope::Queue(arrival.host)],
        call.sent,
        call.ended,
    );
    let had_to_go = seen.versions.iter().any(|(name, newer, at)| {
        name == adapter && newer > version && call.ended.0 >= at.0 + HAS_TO_GO.0
    });
    arrival.first.is_none() && waited && had_to_go
}

fn stops(seen: &Evidence) -> impl Iterator<Item = Violation> {
    let bad = seen.stops.iter().filter(|stop| {
        // Who crashes or can't be reached meanwhile keeps requests from ending.
        let mut scopes = vec![
            Scope::Process(stop.node),
            Scope::StoreLink(stop.node),
            Scope::Store,
        ];
        let hosts = 0..super::story::ENGINES + super::story::PLAIN;
        scopes.extend(hosts.flat_map(|host| [Scope::Link(host), Scope::Crash(host)]));
        stop.code != Some(0) && calm(&seen.troubles, &scopes, stop.at, stop.until)
    });
    bad.map(|stop| {
        let told = format!(
            "node {} was asked to stop at {} and ended with {:?}",
            stop.node, stop.at, stop.code
        );
        new("PlannedStop", stop.until, "", told)
    })
}

/// Configurations that a node went by, in each run of its process.
fn back(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut effects: HashMap<(usize, u32), Vec<(Millis, u64)>> = HashMap::new();
    let mut flips: Vec<(&Call, &Arrival, u64)> = flips(seen, by_id);
    flips.sort_by_key(|(call, ..)| call.sent);
    for (call, arrival, version) in &flips {
        let own = effects.entry((call.node, call.start)).or_default();
        own.push((arrival.at, *version));
    }
    for (call, arrival, version) in flips {
        let own = &effects[&(call.node, call.start)];
        let scopes = Scope::of_node(call.node);
        let slack = if calm(&seen.troubles, &scopes, call.sent, arrival.at) {
            BACK
        } else {
            BACK_DISTURBED
        };
        let newer = own
            .iter()
            .find(|(at, newer)| *newer > version && call.sent.0 > at.0 + slack.0);
        if let Some((at, newer)) = newer {
            let told = format!(
                "node {} went by {newer} at {at}, then by {version}",
                call.node
            );
            found.push(new("NeverBack", arrival.at, &call.ask.id, told));
        }
    }
    found
}

fn flips<'a>(seen: &'a Evidence, by_id: &ById<'a>) -> Vec<(&'a Call, &'a Arrival, u64)> {
    let mut flips = Vec::new();
    for call in &seen.calls {
        for arrival in by_id.get(call.ask.id.as_str()).into_iter().flatten() {
            if let Some(version) = wire::flip_version(&arrival.service) {
                flips.push((call, *arrival, version));
            }
        }
    }
    flips
}

fn in_force(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (call, arrival, version) in flips(seen, by_id) {
        let next = seen.configs.iter().find(|(next, _)| *next > version);
        let Some((next, at)) = next else { continue };
        let scopes = Scope::of_node(call.node);
        let touch = calm(&seen.troubles, &scopes, call.sent, arrival.at);
        if touch && call.sent.0 > at.0 + APPLY.0 {
            let told = format!(
                "node {} goes by {version}; {next} was acknowledged at {at}",
                call.node
            );
            found.push(new("InForce", arrival.at, &call.ask.id, told));
        }
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

/// Runs that begin on a version though a newer one was acknowledged too long before.
///
/// Each newer version counts from its own acknowledgement, and a run begins with its first event.
fn old_versions(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
    let calls = calls_by_id(seen);
    let first_runs = by_id
        .values()
        .flatten()
        .filter(|run| run.ran && run.after == 0);
    let mut found = Vec::new();
    for arrival in first_runs {
        let Some(call) = calls.get(arrival.id.as_str()) else {
            continue;
        };
        found.extend(old_version(seen, call, arrival));
    }
    found
}

fn old_version(seen: &Evidence, call: &Call, arrival: &Arrival) -> Option<Violation> {
    let (adapter, version) = arrival.adapter.as_ref()?;
    let begun = arrival.first.unwrap_or(arrival.at);
    let [process, stop, store_link, store] = Scope::of_node(call.node);
    // A node's withdrawal doesn't reach an engine over a way that is silent.
    let scopes = [process, stop, store_link, store, Scope::Link(arrival.host)];
    let broken = |(name, newer, at): &&(String, u64, Millis)| {
        name == adapter
            && newer > version
            && begun.0 > at.0 + VERSION.0
            && calm(&seen.troubles, &scopes, *at, begun)
    };
    let (_, newer, at) = seen.versions.iter().find(broken)?;
    let told = format!(
        "{adapter}@{version} begins at node {}, {} after {newer} was acknowledged at {at}",
        call.node,
        begun.since(*at),
    );
    Some(new("Version", begun, &arrival.id, told))
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

/// A poison request that reaches engines after the third has ended under it and all nodes can know.
fn poison(seen: &Evidence) -> Option<Violation> {
    let is_poison = |arrival: &&Arrival| wire::subject(&arrival.id) == wire::POISON;
    let arrivals: Vec<&Arrival> = seen.arrivals.iter().filter(is_poison).collect();
    let mut ended = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
        if !ended.contains(&&arrival.server) {
            ended.push(&arrival.server);
        }
        if ended.len() == POISONED {
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
            let told = format!("{later} sends later than {KNOWN} after the third end");
            return (later > ALLOWED).then(|| new("Poison", known, wire::POISON, told));
        }
    }
    None
}

fn budget(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (service, engine) in [("engines", true), ("records", false)] {
        let mut repeats = Vec::new();
        let mut known = HashSet::new();
        for arrival in seen.arrivals.iter().filter(|one| one.service == service) {
            if !known.insert(&arrival.id) {
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
            let (count, bound) = (count.count() as f64, asked as f64 * RATIO + EXTRA);
            if count > bound {
                let told = format!("{service}: {count} further sends, {bound:.0} allowed");
                found.push(new("Budget", *at, "", told));
                break;
            }
        }
    }
    found
}
