//! What the demo prints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chivevalve::node::Node;
use chivevalve_standins::caller::Ending;
use chivevalve_standins::engine;
use chivevalve_standins::fleet::Node as Place;
use chivevalve_standins::judge::{Answer, Deal, Verdict};
use chivevalve_standins::platform::Platform;

/// What is shown of one template.
#[derive(Default)]
struct Row {
    class: String,
    requests: usize,
    whole: usize,
    by: BTreeSet<String>,
    through: BTreeSet<String>,
    times: Vec<Duration>,
}

/// Prints who was answered by which adapter and version, through which nodes.
pub fn answers(deals: &[Deal], places: &[Place]) {
    let mut rows: BTreeMap<(&str, &str), Row> = BTreeMap::new();
    for deal in deals {
        let request = &deal.request;
        let row = rows
            .entry((&request.account, &request.template))
            .or_default();
        row.class.clone_from(&request.class);
        row.requests += 1;
        let place = places.iter().find(|place| Some(place.callers) == deal.node);
        row.through.extend(place.map(|place| place.name.clone()));
        let by = match &deal.answer {
            Answer::Completion(Ending::Whole(text)) => &text.adapter,
            Answer::Call(Ending::Whole(receipt)) => &receipt.service,
            _ => continue,
        };
        row.whole += 1;
        row.by.insert(by.clone());
        row.times.push(deal.took);
    }
    println!();
    println!(
        "{:<8}{:<24}{:<8}{:>9}  {:<36}{:<12}{:>10}",
        "account", "template", "class", "answered", "by", "through", "median ms"
    );
    for ((account, template), mut row) in rows {
        let by = row.by.into_iter().collect::<Vec<_>>().join(" ");
        let through = row.through.into_iter().collect::<Vec<_>>().join(" ");
        row.times.sort();
        let median = row.times.get(row.times.len() / 2).copied();
        println!(
            "{account:<8}{template:<24}{:<8}{:>5}/{:<3}  {by:<36}{through:<12}{:>10}",
            row.class,
            row.whole,
            row.requests,
            median.unwrap_or_default().as_millis()
        );
    }
}

/// Prints stalls, loads and batch fill.
pub fn engines(platform: &Platform, nodes: &[Node]) {
    let stalls: u64 = nodes.iter().map(|node| node.metrics().stalls.get()).sum();
    let counts = platform.record().counts();
    let batch = engine::Shape::default().batch;
    println!();
    println!(
        "load stalls {stalls}; loads {}, evictions {}; tokens {} in {} engine steps; batch fill {:.1} of {batch}",
        counts.loads,
        counts.unloads,
        counts.tokens,
        counts.steps,
        ratio(counts.tokens, counts.steps),
    );
}

#[allow(clippy::cast_precision_loss, reason = "counts of a demo are small")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Prints how the promises fared.
pub fn verdict(verdict: &Verdict) {
    println!(
        "requests {}, whole answers {}, truly not run {}, unknown {}",
        verdict.requests,
        verdict.whole,
        sum(&verdict.not_run) + verdict.unsent,
        sum(&verdict.unknown) + sum(&verdict.lost),
    );
    for (code, count) in verdict.not_run.iter().chain(&verdict.unknown) {
        println!("  {code}: {count}");
    }
    for (how, count) in &verdict.lost {
        println!("  lost, {how}: {count}");
    }
    println!(
        "broken promises {}: doubled {}, wrong {}, cut but whole-looking {}, \"not run\" that ran {}, \
         answered but not run {}, evicted in use {}, stale orders {}",
        verdict.broken(),
        verdict.doubled,
        verdict.wrong,
        verdict.cut_looks_whole,
        verdict.not_run_ran,
        verdict.answered_not_run,
        verdict.evicted_in_use,
        verdict.stale_orders_checked,
    );
}

fn sum(counts: &BTreeMap<String, u64>) -> u64 {
    counts.values().sum()
}

/// Prints what to type.
pub fn try_it(places: &[Place]) {
    let node = &places[0];
    let other = places.last().unwrap_or(node);
    println!();
    println!("Serving until Ctrl-C. Try:");
    println!();
    println!(
        "  curl -N {}/v1/chat/completions -H 'Authorization: Bearer demo-key-cells' \\\n    \
         -d '{{\"model\":\"fault-explanation-1\",\"stream\":true,\"max_tokens\":12,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"cell 7 stopped\"}}]}}'",
        node.callers
    );
    println!(
        "  curl {}/services/receipts/items -H 'Authorization: Bearer demo-key-shops' \\\n    \
         -H 'Idempotency-Key: till-4-0017' -d '{{\"total\":\"12.50\"}}'",
        other.callers
    );
    println!(
        "  curl {}/v1/models -H 'Authorization: Bearer demo-key-shops'",
        node.callers
    );
    println!(
        "  curl {}/v1/status -H 'Authorization: Bearer demo-token'",
        other.operators
    );
    println!("  curl {}/metrics", node.operators);
}
