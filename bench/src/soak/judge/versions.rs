//! Configurations and versions of adapters: what is in force, and what is begun on.

use std::collections::HashMap;

use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::ledger::Arrival;
use chivevalve_platform_standins::soak::wire;

use super::super::caller::Call;
use super::super::trouble::{Scope, calm};
use super::{ById, Evidence, Violation, calls_by_id, new};

const APPLY: Millis = Millis(2_000);
const VERSION: Millis = Millis(5_000);
/// A request that is sent so much later than an effect of a version goes by that one.
const BACK: Millis = Millis(250);
/// The same at a node that was disturbed.
const BACK_DISTURBED: Millis = Millis(2_000);

/// Configurations that a node went by, in each run of its process.
pub fn back(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
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

pub fn in_force(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
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

/// Runs that begin on a version though a newer one was acknowledged too long before.
///
/// Each newer version counts from its own acknowledgement, and a run begins with its first event.
pub fn old_versions(seen: &Evidence, by_id: &ById<'_>) -> Vec<Violation> {
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
