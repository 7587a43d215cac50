//! What a campaign found, and how it is printed.

use chivevalve_standins::judge;
use serde::Serialize;

use super::tally::Phase;
use crate::report::Table;

/// What a campaign found.
#[derive(Debug, Serialize)]
pub(super) struct Outcome {
    pub nodes: usize,
    pub workers: usize,
    pub seed: u64,
    pub promises: judge::Verdict,
    pub phases: Vec<(&'static str, Phase)>,
    pub kills: usize,
    pub engine_restarts: usize,
    /// Per kill: until every upstream of the dead node had another owner; none is "not in time".
    pub takeover_ms: Vec<Option<u128>>,
    /// Until the last new run at an engine that left; none is "never ran any".
    pub leaving_last_work_ms: Option<u128>,
    pub paused_owner_stale_checked: u64,
    pub paused_owner_stale_ignored: u64,
    pub paused_owner_refused: u64,
    pub planned_stops: usize,
    pub planned_stops_clean: usize,
    pub planned_stop_lost: u64,
}

pub(super) fn table(outcome: &Outcome) -> String {
    let mut table = Table::new(&[
        "part",
        "requests",
        "whole",
        "not run",
        "unknown: own node",
        "its owner",
        "its engine",
        "unexplained",
        "unsent",
    ]);
    for (name, phase) in &outcome.phases {
        table.row(vec![
            (*name).to_owned(),
            phase.requests.to_string(),
            phase.whole.to_string(),
            phase.not_run.values().sum::<u64>().to_string(),
            phase.unknown_on_node.to_string(),
            phase.unknown_through_owner.to_string(),
            phase.unknown_through_engine.to_string(),
            phase.unknown_unexplained.to_string(),
            phase.unsent.to_string(),
        ]);
    }
    let promises = &outcome.promises;
    let takeovers: Vec<String> = outcome
        .takeover_ms
        .iter()
        .map(|took| took.map_or("not in time".to_owned(), |took| took.to_string()))
        .collect();
    format!(
        "{}\nnot run by code: {:?}\nunknown by code: {:?}, lost {:?}\n\n\
         broken promises {}: doubled {}, wrong {}, cut but whole-looking {}, \"not run\" that ran {}, \
         answered but not run {}, evicted in use {}, stale orders taken by checking engines {}\n\
         stale orders taken by ignoring engines {}\n\
         kills {}, engine restarts {}\n\
         owner killed -> its upstreams owned again, ms: {}\n\
         upstream leaving -> last new work, ms: {:?}\n\
         owner paused: stale orders to checking engines {} (refused {}), to ignoring ones {}\n\
         planned stops {}, ended with 0: {}, requests lost {}\n",
        table.render(),
        promises.not_run,
        promises.unknown,
        promises.lost,
        promises.broken(),
        promises.doubled,
        promises.wrong,
        promises.cut_looks_whole,
        promises.not_run_ran,
        promises.answered_not_run,
        promises.evicted_in_use,
        promises.stale_orders_checked,
        promises.stale_orders_ignored,
        outcome.kills,
        outcome.engine_restarts,
        takeovers.join(", "),
        outcome.leaving_last_work_ms,
        outcome.paused_owner_stale_checked,
        outcome.paused_owner_refused,
        outcome.paused_owner_stale_ignored,
        outcome.planned_stops,
        outcome.planned_stops_clean,
        outcome.planned_stop_lost,
    )
}
