//! What has become of a request, and the one place that decides every retry.
//!
//! A request is not sent, maybe run, running or answered; see
//! docs/design/0003-outcomes.md. The machine knows no I/O: the dispatcher tells
//! it what it did and what came back, and does what the verdict says.

mod backoff;
mod budget;
mod reaction;

pub use backoff::Backoff;
pub use budget::RetryBudget;

use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use reaction::{Reaction, reaction};

/// How often and how long one request may be tried.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Most tries of one request at upstreams, the first included.
    pub max_attempts: u32,
    /// Most tries that cost no upstream anything, such as at a node that no longer owns it.
    pub max_redirects: u32,
    /// Most tries of one request whose fate is unknown.
    ///
    /// A request that crashes whatever runs it would otherwise take down one
    /// upstream after another; each crash shows as an unknown fate.
    pub max_unknowns: u32,
    /// Pauses between tries.
    pub backoff: Backoff,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            max_redirects: 10,
            max_unknowns: 2,
            backoff: Backoff::default(),
        }
    }
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// No upstream can have it.
    NotSent,
    /// A runner has it; an upstream may have started it.
    MaybeRun,
    /// An upstream has begun to answer it.
    Running,
    /// The caller has its whole answer.
    Answered,
    /// It ended without a whole answer.
    Ended,
}

/// What forbade a retry that the failure alone would have allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// It may have run, and running it twice would do harm.
    NotIdempotent,
    /// The caller has a part of the answer, and two runs are never spliced.
    AnswerBegun,
    /// The request had all its tries.
    Attempts,
    /// Too many tries of the request ended with an unknown fate.
    Unknowns,
    /// The node has spent its retries.
    RetryBudget,
    /// The deadline leaves no time for another try.
    Deadline,
}

impl RetryDenial {
    /// Returns the name that metrics use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::AnswerBegun => "answer_begun",
            Self::Attempts => "attempts",
            Self::Unknowns => "unknowns",
            Self::RetryBudget => "budget",
            Self::Deadline => "deadline",
        }
    }
}

/// What to do after a failed try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a pause.
    Retry(Millis),
    /// Tell the caller; the failure's fate covers all tries of the request.
    End {
        /// What the caller is told.
        failure: Failure,
        /// What forbade a retry, if the failure alone would have allowed one.
        denial: Option<RetryDenial>,
    },
}

/// The circumstances of a failed try.
#[derive(Debug, Clone, Copy)]
pub struct FailureContext {
    /// The time.
    pub now: Millis,
    /// Whether there is an upstream that the request hasn't been tried on.
    pub has_untried_upstream: bool,
    /// A random number, for the pause.
    pub random: u64,
}

/// One request's way from arrival to its end.
#[derive(Debug)]
pub struct RetryStateMachine {
    rules: RetryPolicy,
    idempotent: bool,
    deadline: Millis,
    state: RequestState,
    attempts: u32,
    redirects: u32,
    unknowns: u32,
    /// The first failure after which the request may have run. It outlasts every
    /// later failure: a refused second try says nothing about the first one.
    unsettled: Option<Failure>,
    passed: bool,
}

impl RetryStateMachine {
    /// Starts a request that nobody has seen yet.
    #[must_use]
    pub fn new(rules: RetryPolicy, idempotent: bool, deadline: Millis) -> Self {
        Self {
            rules,
            idempotent,
            deadline,
            state: RequestState::NotSent,
            attempts: 0,
            redirects: 0,
            unknowns: 0,
            unsettled: None,
            passed: false,
        }
    }

    /// Returns where the request stands.
    #[must_use]
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the number of tries so far.
    #[must_use]
    pub fn tries(&self) -> u32 {
        self.attempts + self.redirects
    }

    /// Returns whether it is certain that no try has run or will.
    #[must_use]
    pub fn certainly_not_run(&self) -> bool {
        self.state == RequestState::NotSent && self.unsettled.is_none()
    }

    /// Returns whether the try that comes next is the last one allowed.
    #[must_use]
    pub fn is_last_try(&self) -> bool {
        self.attempts + 1 >= self.rules.max_attempts
            || self.redirects + 1 >= self.rules.max_redirects
    }

    /// Notes that a runner gets the request now.
    pub fn record_send(&mut self) {
        self.state = RequestState::MaybeRun;
        self.attempts += 1;
    }

    /// Notes that an upstream has begun to answer.
    pub fn record_response_start(&mut self) {
        self.state = RequestState::Running;
    }

    /// Notes that a part of the answer goes to the caller.
    pub fn record_forwarded(&mut self) {
        self.passed = true;
    }

    /// Notes that the caller has the whole answer.
    pub fn record_complete(&mut self) {
        self.state = RequestState::Answered;
    }

    /// Ends a request whose caller went away, with the truth about it.
    pub fn abandon(&mut self) -> Code {
        let code = if self.certainly_not_run() {
            Code::CallerGoneWaiting
        } else {
            Code::CallerGoneRunning
        };
        self.state = RequestState::Ended;
        code
    }

    /// Ends a request for a reason outside its tries, such as a lost idempotency claim.
    ///
    /// The failure that is returned covers all tries made before.
    pub fn end(&mut self, failure: Failure) -> Failure {
        let failure = self.truth(failure);
        self.state = RequestState::Ended;
        failure
    }

    /// Decides what follows a failed try.
    pub fn handle_failure(
        &mut self,
        failure: Failure,
        context: FailureContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        let failure = self.corrected(failure);
        self.note(&failure);
        let reaction = reaction(failure.code);
        if reaction.is_free() {
            self.attempts -= 1;
            self.redirects += 1;
        }
        let pause = self.pause(reaction, context);
        match self.denial(reaction, failure.fate(), context.now + pause, budget) {
            None => RetryDecision::Retry(pause),
            Some(denial) => RetryDecision::End {
                failure: self.end(failure),
                denial: (reaction != Reaction::Never).then_some(denial),
            },
        }
    }

    /// Returns the failure with a code that can be true in this state.
    fn corrected(&self, failure: Failure) -> Failure {
        // A code that says "not run" after the upstream has begun to answer is a
        // fault of whoever made it. Passing it on would invite the caller to
        // repeat what ran, so it is read as a cut answer.
        if self.state == RequestState::Running && failure.fate() == Fate::NotRun {
            return Failure {
                code: Code::AnswerCut,
                ..failure
            };
        }
        failure
    }

    fn note(&mut self, failure: &Failure) {
        match failure.fate() {
            Fate::NotRun => self.state = RequestState::NotSent,
            Fate::Unknown => {
                self.unknowns += 1;
                self.state = RequestState::MaybeRun;
                self.unsettled.get_or_insert_with(|| failure.clone());
            }
            Fate::Ran => {}
        }
    }

    /// Returns the failure whose fate covers all tries.
    fn truth(&self, last: Failure) -> Failure {
        match (&self.unsettled, last.fate()) {
            (Some(earlier), Fate::NotRun) => earlier.clone(),
            _ => last,
        }
    }

    fn pause(&self, reaction: Reaction, context: FailureContext) -> Millis {
        let settled = self.unsettled.is_none();
        let first = self.tries() <= 1;
        // A refusal costs its upstream nothing, so the first one is followed at
        // once by a try elsewhere; from then on callers must not move in step.
        if settled && context.has_untried_upstream && (first || reaction == Reaction::PassOn) {
            return Millis::ZERO;
        }
        self.rules.backoff.pause(self.tries(), context.random)
    }

    fn denial(
        &self,
        reaction: Reaction,
        fate: Fate,
        resume: Millis,
        budget: &mut RetryBudget,
    ) -> Option<RetryDenial> {
        if self.passed {
            return Some(RetryDenial::AnswerBegun);
        }
        if !self.idempotent && (fate != Fate::NotRun || self.unsettled.is_some()) {
            return Some(RetryDenial::NotIdempotent);
        }
        if reaction == Reaction::Never || self.attempts >= self.rules.max_attempts {
            return Some(RetryDenial::Attempts);
        }
        if self.redirects >= self.rules.max_redirects {
            return Some(RetryDenial::Attempts);
        }
        if self.unknowns >= self.rules.max_unknowns {
            return Some(RetryDenial::Unknowns);
        }
        if resume >= self.deadline {
            return Some(RetryDenial::Deadline);
        }
        // All requests of a dead owner need a redirect at once; charging them
        // would refuse most of them for nothing.
        if !reaction.is_free() && !budget.try_spend() {
            return Some(RetryDenial::RetryBudget);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DEADLINE: Millis = Millis(10_000);

    fn machine(idempotent: bool) -> RetryStateMachine {
        RetryStateMachine::new(RetryPolicy::default(), idempotent, DEADLINE)
    }

    fn context(now: u64) -> FailureContext {
        FailureContext {
            now: Millis(now),
            has_untried_upstream: true,
            random: 0,
        }
    }

    fn fail(machine: &mut RetryStateMachine, code: Code) -> RetryDecision {
        let mut budget = RetryBudget::new(100, Millis::ZERO);
        machine.handle_failure(Failure::new(code, ""), context(0), &mut budget)
    }

    fn ended(verdict: RetryDecision) -> (Code, Option<RetryDenial>) {
        match verdict {
            RetryDecision::End { failure, denial } => (failure.code, denial),
            RetryDecision::Retry(_) => panic!("retried"),
        }
    }

    #[test]
    fn fail_refused_elsewhere_at_once() {
        let mut machine = machine(false);
        machine.record_send();
        assert_eq!(
            fail(&mut machine, Code::QueueFull),
            RetryDecision::Retry(Millis::ZERO)
        );
        assert!(machine.certainly_not_run());
    }

    /// A request that is not idempotent isn't retried after a connection was lost behind its head.
    #[test]
    fn fail_lost_not_idempotent() {
        let mut machine = machine(false);
        machine.record_send();
        let end = ended(fail(&mut machine, Code::UpstreamLost));
        assert_eq!(end, (Code::UpstreamLost, Some(RetryDenial::NotIdempotent)));
    }

    /// A request whose first try was lost isn't reported as not run because the second was refused.
    #[test]
    fn fail_refused_after_lost() {
        let mut machine = machine(true);
        machine.record_send();
        assert!(matches!(
            fail(&mut machine, Code::UpstreamLost),
            RetryDecision::Retry(_)
        ));
        machine.record_send();
        assert_eq!(
            ended(fail(&mut machine, Code::Brownout)),
            (Code::UpstreamLost, None)
        );
        assert!(!machine.certainly_not_run());
    }

    /// A request that keeps ending engines isn't retried further after two unknown fates.
    #[test]
    fn fail_poisoned_request() {
        let mut machine = machine(true);
        machine.record_send();
        fail(&mut machine, Code::UpstreamLost);
        machine.record_send();
        let end = ended(fail(&mut machine, Code::UpstreamLost));
        assert_eq!(end, (Code::UpstreamLost, Some(RetryDenial::Unknowns)));
    }

    #[test]
    fn fail_answer_begun() {
        let mut machine = machine(true);
        machine.record_send();
        machine.record_response_start();
        machine.record_forwarded();
        let end = ended(fail(&mut machine, Code::AnswerCut));
        assert_eq!(end, (Code::AnswerCut, Some(RetryDenial::AnswerBegun)));
    }

    #[test]
    fn fail_not_run_code_while_running() {
        let mut machine = machine(false);
        machine.record_send();
        machine.record_response_start();
        let end = ended(fail(&mut machine, Code::QueueFull));
        assert_eq!(end, (Code::AnswerCut, Some(RetryDenial::NotIdempotent)));
    }

    #[test]
    fn fail_deadline_near() {
        let mut machine = machine(true);
        let mut budget = RetryBudget::new(100, Millis::ZERO);
        machine.record_send();
        let verdict = machine.handle_failure(
            Failure::new(Code::ConnectFailed, ""),
            context(DEADLINE.0),
            &mut budget,
        );
        assert_eq!(
            ended(verdict),
            (Code::ConnectFailed, Some(RetryDenial::Deadline))
        );
    }

    #[test]
    fn fail_budget_spent() {
        let mut machine = machine(true);
        let mut budget = RetryBudget::new(0, Millis::ZERO);
        while budget.try_spend() {}
        machine.record_send();
        let verdict =
            machine.handle_failure(Failure::new(Code::QueueFull, ""), context(0), &mut budget);
        assert_eq!(
            ended(verdict),
            (Code::QueueFull, Some(RetryDenial::RetryBudget))
        );
    }

    #[test]
    fn fail_redirects_bounded() {
        let mut machine = machine(false);
        for _ in 1..RetryPolicy::default().max_redirects {
            machine.record_send();
            assert!(matches!(
                fail(&mut machine, Code::NotOwner),
                RetryDecision::Retry(_)
            ));
        }
        machine.record_send();
        let end = ended(fail(&mut machine, Code::NotOwner));
        assert_eq!(end, (Code::NotOwner, Some(RetryDenial::Attempts)));
    }

    #[test]
    fn abandon_each_state() {
        let mut waiting = machine(true);
        assert_eq!(waiting.abandon(), Code::CallerGoneWaiting);
        let mut sent = machine(true);
        sent.record_send();
        assert_eq!(sent.abandon(), Code::CallerGoneRunning);
    }
}
