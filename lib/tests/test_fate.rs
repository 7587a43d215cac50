//! The request's fate against a simple oracle that knows what really ran.

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

/// Fixed, so that CI tries the same stories each time.
const SEED: u64 = 0x0fa7_e5ee;

const STORIES: u64 = 20_000;

const DEADLINE: u64 = 1_000;

/// More tries than any rules allow.
const ENDLESS: u32 = 1_000;

/// How far the answer came before the failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    None,
    /// It began.
    Begun,
    /// The caller has a part of it.
    Passed,
}

/// One try as the world has it; what the machine gets told may lag behind it.
#[derive(Debug, Clone)]
struct Try {
    code: Code,
    /// Whether the upstream ran it, where the code leaves that open.
    ran: bool,
    answer: Progress,
    untried: bool,
    took: u64,
    random: u64,
}

impl Arbitrary for Try {
    fn arbitrary(g: &mut Gen) -> Self {
        let answers = [
            Progress::None,
            Progress::None,
            Progress::Begun,
            Progress::Passed,
        ];
        Self {
            code: *g.choose(Code::ALL).unwrap(),
            ran: bool::arbitrary(g),
            answer: *g.choose(&answers).unwrap(),
            untried: bool::arbitrary(g),
            took: u64::arbitrary(g) % 800,
            random: u64::arbitrary(g),
        }
    }
}

impl Try {
    /// Whether the upstream ran it: an answer that began proves it, whatever the code says.
    fn really_ran(&self) -> bool {
        match self.code.fate() {
            _ if self.answer >= Progress::Begun => true,
            Fate::NotRun => false,
            Fate::Unknown => self.ran,
            Fate::Ran => true,
        }
    }
}

#[derive(Debug, Clone)]
struct Story {
    idempotent: bool,
    attempts: u32,
    redirects: u32,
    unknowns: u32,
    percent: u32,
    tries: Vec<Try>,
}

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            idempotent: bool::arbitrary(g),
            attempts: u32::arbitrary(g) % 6 + 1,
            redirects: u32::arbitrary(g) % 6 + 1,
            unknowns: u32::arbitrary(g) % 4 + 1,
            percent: u32::arbitrary(g) % 101,
            tries: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let story = self.clone();
        let shorter = self.tries.shrink();
        Box::new(shorter.map(move |tries| Self {
            tries,
            ..story.clone()
        }))
    }
}

/// What the oracle knows of a request.
#[derive(Debug, Default)]
struct Truth {
    runs: u32,
    unknowns: u32,
    passed: bool,
    tries: u32,
}

impl Truth {
    fn see(&mut self, attempt: &Try) {
        self.tries += 1;
        self.runs += u32::from(attempt.really_ran());
        self.passed |= attempt.answer == Progress::Passed;
        let lied = attempt.answer >= Progress::Begun && attempt.code.fate() == Fate::NotRun;
        self.unknowns += u32::from(lied || attempt.code.fate() == Fate::Unknown);
    }
}

/// Plays a story; returns what is wrong with how the machine dealt with it.
fn play(story: &Story) -> Result<(), String> {
    let rules = RetryPolicy {
        max_attempts: story.attempts,
        max_redirects: story.redirects,
        max_unknowns: story.unknowns,
        ..RetryPolicy::default()
    };
    let mut machine = RetryStateMachine::new(rules, story.idempotent, Millis(DEADLINE));
    let mut budget = RetryBudget::new(story.percent, Millis::ZERO);
    let mut truth = Truth::default();
    let mut now = Millis::ZERO;
    for attempt in &story.tries {
        if now.0 >= DEADLINE {
            return Err("tried after the deadline".into());
        }
        machine.record_send();
        if attempt.answer >= Progress::Begun {
            machine.record_response_start();
        }
        if attempt.answer == Progress::Passed {
            machine.record_forwarded();
        }
        truth.see(attempt);
        now += Millis(attempt.took);
        let context = FailureContext {
            now,
            has_untried_upstream: attempt.untried,
            random: attempt.random,
        };
        let failure = Failure::new(attempt.code, "");
        match machine.handle_failure(failure, context, &mut budget) {
            RetryDecision::Retry(pause) => {
                retried(story, &truth)?;
                now += pause;
            }
            RetryDecision::End { failure, .. } => return ended(&failure, &truth),
        }
        if machine.certainly_not_run() && truth.unknowns > 0 {
            return Err("called certainly not run".into());
        }
    }
    match machine.abandon() {
        Code::CallerGoneWaiting if truth.unknowns > 0 => Err("abandoned as not run".into()),
        _ => Ok(()),
    }
}

fn retried(story: &Story, truth: &Truth) -> Result<(), String> {
    if truth.passed {
        return Err("two runs spliced".into());
    }
    if !story.idempotent && truth.unknowns + truth.runs > 0 {
        return Err("doubled what isn't idempotent".into());
    }
    if truth.unknowns >= story.unknowns {
        return Err("a poisoned request goes on".into());
    }
    if truth.tries >= story.attempts + story.redirects {
        return Err("too many tries".into());
    }
    Ok(())
}

fn ended(failure: &Failure, truth: &Truth) -> Result<(), String> {
    match failure.fate() {
        Fate::NotRun if truth.runs + truth.unknowns > 0 => {
            Err(format!("{} for what may have run", failure.code))
        }
        Fate::Ran if truth.runs == 0 => Err(format!("{} for what didn't run", failure.code)),
        _ => Ok(()),
    }
}

#[test]
fn machine_keeps_promises() {
    fn holds(story: Story) -> Result<(), String> {
        play(&story)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, SEED))
        .tests(STORIES)
        .quickcheck(holds as fn(Story) -> Result<(), String>);
}

/// Retries of all requests together are bounded, however many fail and in whatever way.
#[test]
fn budget_bounds_all_requests() {
    fn holds(codes: Vec<u16>, percent: u32) -> bool {
        let percent = percent % 101;
        let mut budget = RetryBudget::new(percent, Millis::ZERO);
        let mut retries = 0;
        for code in &codes {
            budget.record_first_try(Millis::ZERO);
            let code = Code::ALL[usize::from(*code) % Code::ALL.len()];
            retries += retries_of(code, &mut budget);
        }
        let allowed = codes.len() as u64 * u64::from(percent) / 100;
        // A quiet node's few, which it starts with.
        retries <= allowed + 5
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(500)
        .quickcheck(holds as fn(Vec<u16>, u32) -> bool);
}

/// Counts the charged retries of an idempotent request that always fails in one way.
fn retries_of(code: Code, budget: &mut RetryBudget) -> u64 {
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
    for _ in 0..ENDLESS {
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
    panic!("tried without end after {code}")
}
