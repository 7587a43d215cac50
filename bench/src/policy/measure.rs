//! From the courses of requests to one row of figures.

use std::collections::BTreeMap;

use chivevalve::request::Class;
use serde::Serialize;

use super::clairvoyant::{self, Foresight};
use super::traffic::{Workload, count, micros, millis};
use super::world::{Ending, World};

/// The figures of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassFigures {
    /// Requests that arrived.
    pub requests: u64,
    /// Median stall time of all its requests.
    pub stall_p50_ms: u64,
    /// 95th percentile of the same.
    pub stall_p95_ms: u64,
    /// 99th percentile of the same.
    pub stall_p99_ms: u64,
    /// Sum of the same.
    pub stall_ms_total: u64,
    /// Median time to the first token, of answered requests.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the same.
    pub first_token_p95_ms: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
}

/// The figures of one policy on one workload.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// The workload.
    pub workload: String,
    /// The policy.
    pub policy: &'static str,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a whole answer in time.
    pub answered: u64,
    /// Requests refused, truly not run.
    pub refused: u64,
    /// Requests whose whole answer came after the deadline.
    pub late: u64,
    /// Requests that may not be repeated and ran on an engine that crashed.
    pub lost: u64,
    /// Requests that waited for a load, in a thousand; a refusal counts.
    pub stalls_per_1000: f64,
    /// Sum of the time waited for loads; a refused, late or lost request counts its whole deadline.
    pub stall_ms_total: u64,
    /// 95th percentile of the same, over all requests.
    pub stall_p95_ms: u64,
    /// Figures by class.
    pub classes: BTreeMap<&'static str, ClassFigures>,
    /// Mean share of the batch that an engine step fills.
    pub batch_fill: f64,
    /// 95th percentile of the time to the first token, of answered requests.
    pub first_token_p95_ms: u64,
    /// The same of the most urgent class.
    pub urgent_first_token_p95_ms: u64,
    /// Loads started.
    pub loads: u64,
    /// Loads that broke off.
    pub failed_loads: u64,
    /// Loads that no request used.
    pub wasted_loads: u64,
    /// Share of time in which the weight store is busy, while requests arrive.
    pub store_use: f64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// The bound's value when loads may start before they are asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefetch_bound_ms: Option<u64>,
    /// Promises that the policy broke.
    pub broken: u64,
}

/// Counts a policy's run.
pub fn row(world: &World, policy: &'static str) -> Row {
    let workload = world.workload;
    let mut row = Row {
        workload: workload.name.clone(),
        policy,
        loads: world.loads.started,
        failed_loads: world.loads.failed,
        wasted_loads: world.loads.wasted,
        broken: world.broken,
        batch_fill: batch_fill(world),
        store_use: world.store_use,
        ..Row::default()
    };
    let mut stalls: [Vec<u64>; 3] = Default::default();
    let mut first: [Vec<u64>; 3] = Default::default();
    let courses = workload.requests.iter().zip(&world.courses);
    for (request, course) in courses.filter(|(request, _)| workload.counts(request)) {
        row.requests += 1;
        let class = request.class as usize;
        let late = course.end > request.deadline();
        let stall = match course.ending {
            Ending::Answered if !late => {
                row.answered += 1;
                first[class].push(course.first_token.since(request.arrival).0);
                course.stall
            }
            Ending::Answered => {
                row.late += 1;
                request.timeout()
            }
            Ending::Refused(code) => {
                row.refused += 1;
                *row.refusals.entry(code.name()).or_default() += 1;
                let figures = row.classes.entry(request.class.name()).or_default();
                *figures.refusals.entry(code.name()).or_default() += 1;
                request.timeout()
            }
            _ => {
                row.lost += 1;
                request.timeout()
            }
        };
        stalls[class].push(stall.0);
    }
    row.set_stalls(stalls);
    row.set_first_tokens(first);
    row
}

impl Row {
    /// Sets all figures that come from each request's stall time, by class.
    pub fn set_stalls(&mut self, mut stalls: [Vec<u64>; 3]) {
        for (class, stalls) in Class::ALL.iter().zip(&mut stalls) {
            stalls.sort_unstable();
            let figures = self.classes.entry(class.name()).or_default();
            figures.requests = stalls.len() as u64;
            figures.stall_p50_ms = percentile(stalls, 50);
            figures.stall_p95_ms = percentile(stalls, 95);
            figures.stall_p99_ms = percentile(stalls, 99);
            figures.stall_ms_total = stalls.iter().sum();
        }
        let mut all = stalls.concat();
        all.sort_unstable();
        let stalled = all.iter().filter(|stall| **stall > 0).count();
        self.stalls_per_1000 = 1000.0 * count(stalled) / count(all.len().max(1));
        self.stall_ms_total = all.iter().sum();
        self.stall_p95_ms = percentile(&all, 95);
    }

    /// Sets the figures that come from the time to each first token, by class.
    pub fn set_first_tokens(&mut self, mut first: [Vec<u64>; 3]) {
        for (class, first) in Class::ALL.iter().zip(&mut first) {
            first.sort_unstable();
            let figures = self.classes.entry(class.name()).or_default();
            figures.first_token_p50_ms = percentile(first, 50);
            figures.first_token_p95_ms = percentile(first, 95);
        }
        self.urgent_first_token_p95_ms = percentile(&first[Class::Urgent as usize], 95);
        let mut all = first.concat();
        all.sort_unstable();
        self.first_token_p95_ms = percentile(&all, 95);
    }
}

/// Makes the row of the lower bound.
///
/// Only its total stall time bounds a policy's; the other figures are those of
/// the relaxed schedule behind it.
pub fn bound_row(workload: &Workload) -> Row {
    let bound = clairvoyant::bound(workload, Foresight::OnDemand);
    let prefetch = clairvoyant::bound(workload, Foresight::Prefetch);
    let mut row = Row {
        workload: workload.name.clone(),
        policy: "clairvoyant",
        loads: bound.loads,
        batch_fill: 1.0,
        store_use: store_use(workload, bound.loads),
        ..Row::default()
    };
    let mut stalls: [Vec<u64>; 3] = Default::default();
    let mut first: [Vec<u64>; 3] = Default::default();
    let requests = workload.requests.iter().zip(&bound.stalls);
    for (request, stall) in requests.filter(|(request, _)| workload.counts(request)) {
        let class = request.class as usize;
        let stall = millis(stall * 1000.0);
        row.requests += 1;
        stalls[class].push(stall.0);
        if stall >= request.timeout() {
            row.refused += 1;
        } else {
            row.answered += 1;
            let deployment = &workload.deployment;
            let run = deployment.prefill(request) + deployment.step(1);
            first[class].push((stall + millis(run)).0);
        }
    }
    row.set_stalls(stalls);
    row.set_first_tokens(first);
    row.stall_ms_total = millis(bound.stall_ms * 1000.0).0;
    row.prefetch_bound_ms = Some(millis(prefetch.stall_ms * 1000.0).0);
    row
}

/// Returns the share of the weight store's time that loads take while requests arrive.
fn store_use(workload: &Workload, loads: u64) -> f64 {
    let seconds = micros(workload.span()) / 1e6;
    let gives = workload.deployment.loads_per_second * seconds;
    #[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    let loads = loads as f64;
    loads / gives.max(1.0)
}

fn batch_fill(world: &World) -> f64 {
    let (mut steps, mut filled) = (0.0, 0.0);
    for engine in &world.engines {
        let (engine_steps, engine_filled) = engine.steps();
        steps += engine_steps;
        filled += engine_filled;
    }
    filled / (steps * count(world.deployment().batch)).max(1.0)
}

/// Returns the value below which `percent` of the sorted values lie, by nearest rank.
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
