//! Requests that end with neither an answer nor a refusal, and planned stops.

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::ledger::{Arrival, Start};

use super::super::caller::{Call, OUT_OF_TIME};
use super::super::site::Stop;
use super::super::story::{ENGINES, PLAIN};
use super::super::trouble::{Scope, Trouble, calm};
use super::{ById, Evidence, Violation, new};

/// Time from a newer version on after which an older one may be left.
const HAS_TO_GO: Millis = Millis(2_500);
/// Connections that are closed within this crossed the request on its way.
const CROSSED: Millis = Millis(200);
/// Part of the deadline from which on an answer may be ended for it.
const LATE_SHARE: f64 = 0.85;
/// Time behind a request to stop within which requests may still come.
const TOLD: Millis = Millis(3_000);
/// Time behind a request to stop from which on what still runs may be cut off.
const LAST_SIXTH: Millis = Millis(6_600);
/// Time before its end at which a node cuts short what is in progress, and a little.
const CUT_SHORT: Millis = Millis(500);
/// The exit code of a node that cut something short.
const CUT_OFF: i32 = 3;

/// An answer that its node ends in its middle though an engine was only silent meanwhile.
pub fn cut_in_silence(seen: &Evidence, call: &Call, arrivals: &[&Arrival]) -> Option<Violation> {
    let is_cut = call.status == Some(200) && call.failure.is_some() && call.last_event > 0;
    let has_time = call.ended < call.sent + call.ask.deadline;
    if !is_cut || !has_time || call.failure.as_deref() == Some(OUT_OF_TIME) {
        return None;
    }
    let silent = seen.troubles.iter().find(|trouble| {
        let mut reached = arrivals.iter();
        reached.any(|arrival| trouble.scope == Scope::Silence(arrival.host))
            && trouble.from <= call.ended
            && trouble.until.is_none_or(|until| until >= call.sent)
    })?;
    let excuse =
        |arrival: &&Arrival| arrival.spoilt || (arrival.start == Start::Moved && !arrival.ran);
    let mut scopes = vec![Scope::Process(call.node), Scope::Stop(call.node)];
    for arrival in arrivals {
        scopes.extend([Scope::Link, Scope::Crash, Scope::Leave].map(|scope| scope(arrival.host)));
    }
    if arrivals.iter().any(excuse) || !calm(&seen.troubles, &scopes, call.sent, call.ended) {
        return None;
    }
    let told = format!(
        "event {}, {} after {} at node {}; {}",
        call.last_event,
        call.failure.as_deref().unwrap_or_default(),
        call.ended.since(call.sent),
        call.node,
        silent.told,
    );
    Some(new("CutInSilence", call.ended, &call.ask.id, told))
}

/// A request that ends with neither an answer nor a refusal, though nothing explains it.
pub fn closed(seen: &Evidence, call: &Call, arrivals: &[&Arrival]) -> Option<Violation> {
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
        let since = unheard_since(seen, call.node, *at);
        name == adapter && newer > version && call.ended.0 >= since.0 + HAS_TO_GO.0
    });
    arrival.first.is_none() && waited && had_to_go
}

/// Returns the earliest time at which a node has to assume that a version was declared.
///
/// One that can't hear of it when it is acknowledged knows only that it came behind the last
/// word of the store.
fn unheard_since(seen: &Evidence, node: usize, at: Millis) -> Millis {
    let scopes = [Scope::Store, Scope::StoreLink(node)];
    let covers = |trouble: &&Trouble| {
        scopes.contains(&trouble.scope)
            && trouble.from <= at
            && trouble.until.is_none_or(|until| until >= at)
    };
    let froms = seen.troubles.iter().filter(covers);
    froms.map(|trouble| trouble.from).min().unwrap_or(at)
}

/// Nodes that were asked to stop and cut something short, or left a caller without a word.
pub fn stops(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &seen.stops {
        found.extend(unanswered(seen, stop, by_id));
        // Who crashes or can't be reached meanwhile keeps requests from ending.
        let mut scopes = vec![
            Scope::Process(stop.node),
            Scope::StoreLink(stop.node),
            Scope::Store,
        ];
        let hosts = 0..ENGINES + PLAIN;
        scopes.extend(hosts.flat_map(|host| [Scope::Link(host), Scope::Crash(host)]));
        let in_calm = calm(&seen.troubles, &scopes, stop.at, stop.until);
        if stop.code == Some(0) || !in_calm || is_explained(seen, stop, by_id) {
            continue;
        }
        let told = format!(
            "node {} was asked to stop at {} and ended with {:?}",
            stop.node, stop.at, stop.code
        );
        found.push(new("PlannedStop", stop.until, "", told));
    }
    found
}

/// Calls that a node had taken and that ended with its process.
fn outlasting<'a>(
    seen: &'a Evidence,
    stop: &'a Stop,
    by_id: &'a ById<'a>,
) -> impl Iterator<Item = (&'a Call, &'a Vec<&'a Arrival>)> {
    let from = stop.until.0.saturating_sub(CUT_SHORT.0);
    let until = stop.until.0 + CROSSED.0;
    let calls = seen.calls.iter().filter(move |call| {
        call.node == stop.node && call.sent < stop.until && (from..until).contains(&call.ended.0)
    });
    calls.filter_map(|call| Some((call, by_id.get(call.ask.id.as_str())?)))
}

/// Callers that get neither an answer nor a failure when their node ends.
///
/// Whatever its upstreams do, a node can say that it has no answer.
fn unanswered(seen: &Evidence, stop: &Stop, by_id: &ById<'_>) -> Vec<Violation> {
    if !calm(
        &seen.troubles,
        &[Scope::Process(stop.node)],
        stop.at,
        stop.until,
    ) {
        return Vec::new();
    }
    let silent = outlasting(seen, stop, by_id)
        .filter(|(call, _)| call.status.is_none() && call.failure.as_deref() != Some(OUT_OF_TIME));
    let told = silent.map(|(call, _)| {
        let told = format!("node {} ended and had not answered", stop.node);
        new("PlannedStop", call.ended, &call.ask.id, told)
    });
    told.collect()
}

/// Whether all that a node cut short had more time than the node, and waited for a server.
///
/// It has to have come behind the request to stop: before, its own time ends first.
fn is_explained(seen: &Evidence, stop: &Stop, by_id: &ById<'_>) -> bool {
    let cut: Vec<_> = outlasting(seen, stop, by_id)
        .filter(|(call, _)| !call.complete || call.status == Some(504))
        .collect();
    let explained = |(call, arrivals): &(&Call, &Vec<&Arrival>)| {
        let has_time = call.sent + call.ask.deadline > Millis(stop.until.0 - CUT_SHORT.0);
        let waits = |one: &&Arrival| {
            let queue = [Scope::Queue(one.host)];
            let silent = one.spoilt && one.first.is_none();
            silent || !calm(&seen.troubles, &queue, call.sent, call.ended)
        };
        call.sent > stop.at && has_time && arrivals.last().is_some_and(waits)
    };
    stop.code == Some(CUT_OFF) && !cut.is_empty() && cut.iter().all(explained)
}
