//! The state of a request and the decision whether to retry it.
//!
//! A request is not sent, may have run, is running or is answered; see
//! docs/design/0003-outcomes.md. The state machine does no I/O: the dispatcher
//! records what it sent and received, and carries out the decision. No other
//! code decides about retries.

mod backoff;
mod budget;
mod reaction;

pub use backoff::Backoff;
pub use budget::RetryBudget;

use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use reaction::{Reaction, reaction};

/// Limits on the tries of one request.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Tries at upstreams, including the first.
    pub max_attempts: u32,
    /// Tries that cost no upstream anything, such as at a node that no longer owns the upstream.
    pub max_redirects: u32,
    /// Tries whose fate is unknown.
    ///
    /// A request that crashes every upstream that runs it would otherwise take down one after
    /// another; each crash shows as an unknown fate.
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

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// No upstream can have received it.
    NotSent,
    /// It was sent, and an upstream may have started to run it.
    MaybeRun,
    /// An upstream has started to respond.
    Running,
    /// The caller has received the whole response.
    Answered,
    /// It ended without a complete response.
    Ended,
}

/// Why a retry was denied that the failure itself would have allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// The request may have run and isn't idempotent.
    NotIdempotent,
    /// The caller has a part of the response, and responses of two runs are never spliced.
    AnswerBegun,
    /// The request has used all its attempts or redirects.
    Attempts,
    /// Too many tries of the request ended with an unknown fate.
    Unknowns,
    /// The retry budget of the node is exhausted.
    Budget,
    /// The deadline leaves no time for another try.
    Deadline,
}

impl RetryDenial {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::AnswerBegun => "answer_begun",
            Self::Attempts => "attempts",
            Self::Unknowns => "unknowns",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
        }
    }
}

/// Decision after a failed try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a pause.
    Retry(Millis),
    /// Report the failure to the caller; its fate covers all tries of the request.
    End {
        /// The failure to report.
        failure: Failure,
        /// Why a retry was denied, if the failure itself would have allowed one.
        denial: Option<RetryDenial>,
    },
}

/// Circumstances of a failed try that affect the decision.
#[derive(Debug, Clone, Copy)]
pub struct FailureContext {
    /// Time of the failure.
    pub now: Millis,
    /// Whether there is an upstream that the request hasn't been tried on.
    pub has_untried_upstream: bool,
    /// Random number for the jitter of the pause.
    pub random: u64,
}

/// State machine of one request, from its arrival to its end.
#[derive(Debug)]
pub struct RetryStateMachine {
    policy: RetryPolicy,
    idempotent: bool,
    deadline: Millis,
    state: RequestState,
    attempts: u32,
    redirects: u32,
    unknowns: u32,
    /// The first failure with an unknown fate. It takes precedence over later failures that
    /// report "not run", since a rejected second try says nothing about the first one.
    first_unknown: Option<Failure>,
    has_forwarded: bool,
}

impl RetryStateMachine {
    /// Creates the state of a request that hasn't been sent.
    #[must_use]
    pub fn new(policy: RetryPolicy, idempotent: bool, deadline: Millis) -> Self {
        Self {
            policy,
            idempotent,
            deadline,
            state: RequestState::NotSent,
            attempts: 0,
            redirects: 0,
            unknowns: 0,
            first_unknown: None,
            has_forwarded: false,
        }
    }

    /// Returns the state of the request.
    #[must_use]
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the number of tries so far.
    #[must_use]
    pub fn tries(&self) -> u32 {
        self.attempts + self.redirects
    }

    /// Returns whether it is certain that no try has run or will run.
    #[must_use]
    pub fn certainly_not_run(&self) -> bool {
        self.state == RequestState::NotSent && self.first_unknown.is_none()
    }

    /// Returns whether the next try is the last one allowed.
    #[must_use]
    pub fn is_last_try(&self) -> bool {
        self.attempts + 1 >= self.policy.max_attempts
            || self.redirects + 1 >= self.policy.max_redirects
    }

    /// Records that the request is about to be sent.
    pub fn record_send(&mut self) {
        self.state = RequestState::MaybeRun;
        self.attempts += 1;
    }

    /// Records that an upstream has started to respond.
    pub fn record_response_start(&mut self) {
        self.state = RequestState::Running;
    }

    /// Records that a part of the response is forwarded to the caller.
    pub fn record_forwarded(&mut self) {
        self.has_forwarded = true;
    }

    /// Records that the caller has received the whole response.
    pub fn record_complete(&mut self) {
        self.state = RequestState::Answered;
    }

    /// Ends a request whose caller disconnected, and returns the code that tells whether it may
    /// have run.
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
    /// The returned failure covers all earlier tries.
    pub fn end(&mut self, failure: Failure) -> Failure {
        let failure = self.overall_failure(failure);
        self.state = RequestState::Ended;
        failure
    }

    /// Decides what to do after a failed try.
    pub fn handle_failure(
        &mut self,
        failure: Failure,
        context: FailureContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        let failure = self.correct_fate(failure);
        self.record_failure(&failure);
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

    /// Returns the failure with a code that is consistent with the current state.
    fn correct_fate(&self, failure: Failure) -> Failure {
        // A code that means "not run" is wrong once the upstream has started to
        // respond. Reporting it would invite the caller to repeat a request that
        // ran, so the failure is treated as a truncated response.
        if self.state == RequestState::Running && failure.fate() == Fate::NotRun {
            return Failure {
                code: Code::AnswerCut,
                ..failure
            };
        }
        failure
    }

    fn record_failure(&mut self, failure: &Failure) {
        match failure.fate() {
            Fate::NotRun => self.state = RequestState::NotSent,
            Fate::Unknown => {
                self.unknowns += 1;
                self.state = RequestState::MaybeRun;
                self.first_unknown.get_or_insert_with(|| failure.clone());
            }
            Fate::Ran => {}
        }
    }

    /// Returns the failure whose fate holds for all tries together.
    fn overall_failure(&self, last: Failure) -> Failure {
        match (&self.first_unknown, last.fate()) {
            (Some(earlier), Fate::NotRun) => earlier.clone(),
            _ => last,
        }
    }

    fn pause(&self, reaction: Reaction, context: FailureContext) -> Millis {
        let no_unknowns = self.first_unknown.is_none();
        let is_first = self.tries() <= 1;
        // A rejection costs its upstream nothing, so the first one is followed at
        // once by a try elsewhere. Later ones need jitter, so that requests that
        // failed together aren't retried together.
        if no_unknowns && context.has_untried_upstream && (is_first || reaction == Reaction::PassOn)
        {
            return Millis::ZERO;
        }
        self.policy.backoff.pause(self.tries(), context.random)
    }

    fn denial(
        &self,
        reaction: Reaction,
        fate: Fate,
        retry_at: Millis,
        budget: &mut RetryBudget,
    ) -> Option<RetryDenial> {
        if self.has_forwarded {
            return Some(RetryDenial::AnswerBegun);
        }
        if !self.idempotent && (fate != Fate::NotRun || self.first_unknown.is_some()) {
            return Some(RetryDenial::NotIdempotent);
        }
        if reaction == Reaction::Never || self.attempts >= self.policy.max_attempts {
            return Some(RetryDenial::Attempts);
        }
        if self.redirects >= self.policy.max_redirects {
            return Some(RetryDenial::Attempts);
        }
        if self.unknowns >= self.policy.max_unknowns {
            return Some(RetryDenial::Unknowns);
        }
        if retry_at >= self.deadline {
            return Some(RetryDenial::Deadline);
        }
        // When an owner fails, all its requests need a redirect at once. Charging
        // them to the budget would deny most of them needlessly.
        if !reaction.is_free() && !budget.try_spend() {
            return Some(RetryDenial::Budget);
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

    /// A request that isn't idempotent must not be retried when the connection is lost after its
    /// head was sent, since the upstream may have run it.
    #[test]
    fn fail_lost_not_idempotent() {
        let mut machine = machine(false);
        machine.record_send();
        let end = ended(fail(&mut machine, Code::UpstreamLost));
        assert_eq!(end, (Code::UpstreamLost, Some(RetryDenial::NotIdempotent)));
    }

    /// A request whose first try was lost must not be reported as not run when the second one is
    /// rejected.
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

    /// A request that crashes every engine must not be retried further after two unknown fates.
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
        assert_eq!(ended(verdict), (Code::QueueFull, Some(RetryDenial::Budget)));
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
