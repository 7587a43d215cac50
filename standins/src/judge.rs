//! Holds what callers were told against what the stand-ins truly ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chivevalve::error::Fate;
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{Ending, Text, Told};
use crate::engine::Violation;
use crate::mix::{Request, Work};
use crate::platform::Record;
use crate::service::Receipt;

/// How a request of either kind ended.
#[derive(Debug, Clone)]
pub enum Answer {
    /// A completion.
    Completion(Ending<Text>),
    /// A call to a plain service.
    Call(Ending<Receipt>),
}

/// A request with its ending.
#[derive(Debug, Clone)]
pub struct Deal {
    /// What was asked.
    pub request: Request,
    /// How it ended.
    pub answer: Answer,
    /// The node that it was sent to, if any could be connected to.
    pub node: Option<SocketAddr>,
    /// When it began.
    pub began: Instant,
    /// How long it took.
    pub took: Duration,
}

/// The counts. The first seven are broken promises and must be 0.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Verdict {
    /// Calls that aren't idempotent and ran more than once.
    pub doubled: u64,
    /// Answers of another adapter, another version or another request.
    pub wrong: u64,
    /// Answers that look whole and aren't.
    pub cut_looks_whole: u64,
    /// Requests called not run that ran.
    pub not_run_ran: u64,
    /// Calls with a whole answer that no service ran.
    pub answered_not_run: u64,
    /// Adapters that were unloaded while a request used them.
    pub evicted_in_use: u64,
    /// Old orders that took effect at an upstream which checks tokens.
    pub stale_orders_checked: u64,
    /// Old orders that took effect at an upstream which ignores tokens.
    pub stale_orders_ignored: u64,
    /// Requests.
    pub requests: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Requests that were truly refused, by the code's name.
    pub not_run: BTreeMap<String, u64>,
    /// Requests that may have run, by the code's name.
    pub unknown: BTreeMap<String, u64>,
    /// Requests whose connection broke, by what the client saw.
    pub lost: BTreeMap<String, u64>,
    /// Requests that couldn't be sent.
    pub unsent: u64,
}

impl Verdict {
    /// Returns the number of broken promises.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.doubled
            + self.wrong
            + self.cut_looks_whole
            + self.not_run_ran
            + self.answered_not_run
            + self.evicted_in_use
            + self.stale_orders_checked
    }
}

/// Judges all requests of a run.
///
/// `checks` tells whether an engine refuses old tokens.
#[must_use]
pub fn judge(deals: &[Deal], record: &Record, checks: impl Fn(&str) -> bool) -> Verdict {
    let mut verdict = Verdict::default();
    let calls = record.calls();
    let marks = record.marks();
    for deal in deals {
        let request = &deal.request;
        let mark = request.mark.as_str();
        let runs = match request.work {
            Work::Call(_) => calls.get(mark).copied().unwrap_or(0) as usize,
            Work::Completion(_) => marks.get(mark).map_or(0, Vec::len),
        };
        verdict.requests += 1;
        if !request.idempotent && runs > 1 {
            verdict.doubled += 1;
        }
        match &deal.answer {
            Answer::Completion(ending) => {
                if let Some(text) = verdict.count(ending, runs) {
                    verdict.check_text(request, text);
                }
            }
            Answer::Call(ending) => {
                if let Some(receipt) = verdict.count(ending, runs) {
                    verdict.check_receipt(request, receipt);
                }
            }
        }
    }
    for (name, engine) in &record.engines {
        for violation in &engine.violations {
            match violation {
                Violation::EvictedInUse { .. } => verdict.evicted_in_use += 1,
                Violation::StaleOrder { .. } if checks(name) => verdict.stale_orders_checked += 1,
                Violation::StaleOrder { .. } => verdict.stale_orders_ignored += 1,
            }
        }
    }
    verdict
}

impl Verdict {
    /// Counts an ending; returns the answer if it is whole.
    fn count<'a, T>(&mut self, ending: &'a Ending<T>, runs: usize) -> Option<&'a T> {
        match ending {
            Ending::Whole(answer) => {
                self.whole += 1;
                self.answered_not_run += u64::from(runs == 0);
                return Some(answer);
            }
            Ending::Told(told) => self.count_told(told, runs),
            Ending::Unsent => self.unsent += 1,
            Ending::Lost(how) => *self.lost.entry(how.clone()).or_default() += 1,
        }
        None
    }

    fn count_told(&mut self, told: &Told, runs: usize) {
        let counts = if told.fate == Fate::NotRun {
            self.not_run_ran += u64::from(runs > 0);
            &mut self.not_run
        } else {
            &mut self.unknown
        };
        *counts.entry(told.code.clone()).or_default() += 1;
    }

    fn check_text(&mut self, request: &Request, text: &Text) {
        let Work::Completion(question) = &request.work else {
            return;
        };
        let adapter = request.adapter.as_deref().unwrap_or_default();
        if text.adapter != adapter || text.mark != request.mark {
            self.wrong += 1;
        } else if text.tokens != question.tokens {
            self.cut_looks_whole += 1;
        }
    }

    fn check_receipt(&mut self, request: &Request, receipt: &Receipt) {
        let Work::Call(errand) = &request.work else {
            return;
        };
        let same = receipt.key == request.mark
            && receipt.method == errand.method.as_str()
            && receipt.path == errand.path
            && receipt.body == errand.body;
        self.wrong += u64::from(!same);
    }
}
