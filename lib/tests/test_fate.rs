//! Compares the retry state machine with a simple oracle that knows which tries really ran.

#![allow(
    clippy::needless_pass_by_value,
    reason = "properties take their arguments by value"
)]

use chivevalve::clock::Millis;
use chivevalve::error::{Code, Failure, Fate};
use chivevalve::retry::{
    FailureContext, RetryBudget, RetryDecision, RetryPolicy, RetryStateMachine,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Fixed seed, so that CI runs the same scenarios each time.
const SEED: u64 = 0x0fa7_e5ee;

const SCENARIOS: u64 = 20_000;

const DEADLINE: u64 = 1_000;

/// More tries than any policy allows.
const MAX_TRIES: u32 = 1_000;

/// How much of the response arrived before the failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    None,
    /// The response has started.
    Started,
    /// A part of it was forwarded to the caller.
    Forwarded,
}

/// One try as it really happened; what the state machine learns may lag behind it.
#[derive(Debug, Clone)]
struct Try {
    code: Code,
    /// Whether the upstream ran it, if the code leaves that open.
    ran: bool,
    response: Progress,
    has_untried_upstream: bool,
    duration_ms: u64,
    random: u64,
}

impl Arbitrary for Try {
    fn arbitrary(g: &mut Gen) -> Self {
        let progress = [
            Progress::None,
            Progress::None,
            Progress::Started,
            Progress::Forwarded,
        ];
        Self {
            code: *g.choose(Code::ALL).unwrap(),
            ran: bool::arbitrary(g),
            response: *g.choose(&progress).unwrap(),
            has_untried_upstream: bool::arbitrary(g),
            duration_ms: u64::arbitrary(g) % 800,
            random: u64::arbitrary(g),
        }
    }
}

impl Try {
    /// Whether the upstream ran it: a response that started proves it, whatever the code says.
    fn really_ran(&self) -> bool {
        match self.code.fate() {
            _ if self.response >= Progress::Started => true,
            Fate::NotRun => false,
            Fate::Unknown => self.ran,
            Fate::Ran => true,
        }
    }
}

/// A policy and the tries of one request.
#[derive(Debug, Clone)]
struct Scenario {
    idempotent: bool,
    max_attempts: u32,
    max_redirects: u32,
    max_unknowns: u32,
    retry_percent: u32,
    tries: Vec<Try>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            idempotent: bool::arbitrary(g),
            max_attempts: u32::arbitrary(g) % 6 + 1,
            max_redirects: u32::arbitrary(g) % 6 + 1,
            max_unknowns: u32::arbitrary(g) % 4 + 1,
            retry_percent: u32::arbitrary(g) % 101,
            tries: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let scenario = self.clone();
        let shorter = self.tries.shrink();
        Box::new(shorter.map(move |tries| Self {
            tries,
            ..scenario.clone()
        }))
    }
}

/// What the oracle knows of a request.
#[derive(Debug, Default)]
struct Oracle {
    runs: u32,
    unknowns: u32,
    has_forwarded: bool,
    tries: u32,
}

impl Oracle {
    fn record(&mut self, attempt: &Try) {
        self.tries += 1;
        self.runs += u32::from(attempt.really_ran());
        self.has_forwarded |= attempt.response == Progress::Forwarded;
        let is_wrong_code =
            attempt.response >= Progress::Started && attempt.code.fate() == Fate::NotRun;
        self.unknowns += u32::from(is_wrong_code || attempt.code.fate() == Fate::Unknown);
    }
}

/// Runs a scenario; returns an error if the state machine breaks a promise.
fn run(scenario: &Scenario) -> Result<(), String> {
    let policy = RetryPolicy {
        max_attempts: scenario.max_attempts,
        max_redirects: scenario.max_redirects,
        max_unknowns: scenario.max_unknowns,
        ..RetryPolicy::default()
    };
    let mut machine = RetryStateMachine::new(policy, scenario.idempotent, Millis(DEADLINE));
    let mut budget = RetryBudget::new(scenario.retry_percent, Millis::ZERO);
    let mut oracle = Oracle::default();
    let mut now = Millis::ZERO;
    for attempt in &scenario.tries {
        if now.0 >= DEADLINE {
            return Err("tried after the deadline".into());
        }
        machine.record_send();
        if attempt.response >= Progress::Started {
            machine.record_response_start();
        }
        if attempt.response == Progress::Forwarded {
            machine.record_forwarded();
        }
        oracle.record(attempt);
        now += Millis(attempt.duration_ms);
        let context = FailureContext {
            now,
            has_untried_upstream: attempt.has_untried_upstream,
            random: attempt.random,
        };
        let failure = Failure::new(attempt.code, "");
        match machine.handle_failure(failure, context, &mut budget) {
            RetryDecision::Retry(pause) => {
                check_retry(scenario, &oracle)?;
                now += pause;
            }
            RetryDecision::End { failure, .. } => return check_end(&failure, &oracle),
        }
        if machine.certainly_not_run() && oracle.unknowns > 0 {
            return Err("reported as certainly not run after an unknown fate".into());
        }
    }
    match machine.abandon() {
        Code::CallerGoneWaiting if oracle.unknowns > 0 => {
            Err("abandoned as not run after an unknown fate".into())
        }
        _ => Ok(()),
    }
}

fn check_retry(scenario: &Scenario, oracle: &Oracle) -> Result<(), String> {
    if oracle.has_forwarded {
        return Err("retried after a part of the response was forwarded".into());
    }
    if !scenario.idempotent && oracle.unknowns + oracle.runs > 0 {
        return Err("retried a request that isn't idempotent and may have run".into());
    }
    if oracle.unknowns >= scenario.max_unknowns {
        return Err("retried after too many unknown fates".into());
    }
    if oracle.tries >= scenario.max_attempts + scenario.max_redirects {
        return Err("too many tries".into());
    }
    Ok(())
}

fn check_end(failure: &Failure, oracle: &Oracle) -> Result<(), String> {
    match failure.fate() {
        Fate::NotRun if oracle.runs + oracle.unknowns > 0 => {
            Err(format!("{} for a request that may have run", failure.code))
        }
        Fate::Ran if oracle.runs == 0 => {
            Err(format!("{} for a request that did not run", failure.code))
        }
        _ => Ok(()),
    }
}

#[test]
fn machine_keeps_promises() {
    fn holds(scenario: Scenario) -> Result<(), String> {
        run(&scenario)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, SEED))
        .tests(SCENARIOS)
        .quickcheck(holds as fn(Scenario) -> Result<(), String>);
}

/// The retries of all requests together must stay within the budget, however many requests fail
/// and in whatever way.
#[test]
fn budget_bounds_all_requests() {
    fn holds(codes: Vec<u16>, percent: u32) -> bool {
        let percent = percent % 101;
        let mut budget = RetryBudget::new(percent, Millis::ZERO);
        let mut retries = 0;
        for code in &codes {
            budget.record_first_try(Millis::ZERO);
            let code = Code::ALL[usize::from(*code) % Code::ALL.len()];
            retries += count_charged_retries(code, &mut budget);
        }
        let allowed = codes.len() as u64 * u64::from(percent) / 100;
        // The budget starts with five retries, so that a node with little traffic can retry.
        retries <= allowed + 5
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(500)
        .quickcheck(holds as fn(Vec<u16>, u32) -> bool);
}

/// Counts the retries charged to the budget for an idempotent request that always fails with the
/// same code.
fn count_charged_retries(code: Code, budget: &mut RetryBudget) -> u64 {
    let free = [
        Code::NotOwner,
        Code::PeerUnreachable,
        Code::Draining,
        Code::UpstreamLeaving,
        Code::Outdated,
        Code::PassedOn,
        Code::Busy,
    ];
    let mut machine = RetryStateMachine::new(RetryPolicy::default(), true, Millis::MAX);
    let mut retries = 0;
    for _ in 0..MAX_TRIES {
        machine.record_send();
        let context = FailureContext {
            now: Millis::ZERO,
            has_untried_upstream: true,
            random: 0,
        };
        match machine.handle_failure(Failure::new(code, ""), context, budget) {
            RetryDecision::Retry(_) => retries += u64::from(!free.contains(&code)),
            RetryDecision::End { .. } => return retries,
        }
    }
    panic!("still retried {code} after {MAX_TRIES} tries")
}
