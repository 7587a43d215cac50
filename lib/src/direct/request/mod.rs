//! The life of one request: which upstreams it is sent to, and when it fails.

mod origin;
mod outcome;
mod quarantine;
mod retry;
mod send;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use smallvec::SmallVec;

use super::attempt::{RequestMessage, SendError, UpstreamResponse};
use super::config::Route;
use super::entry::Frontend;
use super::origin::Origin;
use super::request_log::{self, RequestOutcome};
use super::retry_permit::RetryPermit;
use super::sends::PendingSends;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Pause before the selection of an upstream is repeated.
pub(in crate::direct) const SELECTION_RETRY_PAUSE: Millis = Millis(20);

/// Wait for a response's head, in multiples of the route's latency objective, before the request
/// is hedged.
const HEDGE_AFTER_OBJECTIVES: u64 = 3;

/// A request in progress.
#[derive(Debug)]
pub struct ActiveRequest {
    /// State shared by the node's requests.
    pub frontend: Arc<Frontend>,
    /// The request as it is sent to upstreams.
    pub message: Arc<RequestMessage>,
    /// The route that it matched.
    pub route: Route,
    /// The pool that serves it.
    pub pool: Name,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When it fails if it hasn't finished.
    pub deadline: Millis,
    /// Version of the configuration that applies to it.
    pub config_version: u64,
    /// When the events of the response arrived.
    pub timing: StreamTiming,
    /// When it was last sent.
    pub(in crate::direct) sent_at: Millis,
    pub(in crate::direct) tried: SmallVec<[Name; 4]>,
    /// Upstreams that rejected it, probably to load a newer version of its adapter.
    pub(in crate::direct) replacing_upstreams: SmallVec<[Name; 1]>,
    finished: bool,
    /// Sends that may have run, including those in flight.
    pub(in crate::direct) possible_runs: u32,
    undelivered: u32,
    pub(in crate::direct) rejections: u32,
    /// The retry that pays for the next send, if it was already taken from the budget.
    reserved_retry: Option<RetryPermit>,
    /// A server error of an upstream, returned to the caller if no other upstream responds.
    failed_response: Option<Box<UpstreamResponse>>,
    /// The upstream where this request is still in flight while another one is tried.
    pub(in crate::direct) in_flight_at: Option<Name>,
    /// Where its stream began, once an event of it has reached the caller.
    origin: Option<Origin>,
    /// Whether it is sent to find out whether blamed prompt parts still crash upstreams.
    on_trial: AtomicBool,
}

/// When the events of a stream arrived.
///
/// A stream can miss its objectives with its first event or with a later gap, which have
/// different causes: the first waits for the adapter to load or in a queue, while gaps come from
/// prefills of other prompts at the engine that decodes.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// Time from the request's arrival to its first event.
    pub first_event: Option<Millis>,
    /// The longest gap between two chunks.
    pub longest_gap: Millis,
    /// Chunks forwarded before the longest gap.
    pub chunks_before_longest_gap: u64,
    /// Chunks forwarded; each holds one or more events.
    pub chunks: u64,
    /// How often the run was moved to another engine.
    pub handovers: u32,
}

impl ActiveRequest {
    /// Creates a request that hasn't been sent yet.
    #[must_use]
    pub fn new(
        frontend: Arc<Frontend>,
        message: RequestMessage,
        route: Route,
        pool: Name,
        arrived_at: Millis,
        deadline: Millis,
        config_version: u64,
    ) -> Self {
        Self {
            frontend,
            message: Arc::new(message),
            route,
            pool,
            arrived_at,
            deadline,
            config_version,
            timing: StreamTiming::default(),
            sent_at: arrived_at,
            tried: SmallVec::new(),
            replacing_upstreams: SmallVec::new(),
            finished: false,
            possible_runs: 0,
            undelivered: 0,
            rejections: 0,
            reserved_retry: None,
            failed_response: None,
            in_flight_at: None,
            origin: None,
            on_trial: AtomicBool::new(false),
        }
    }

    /// Returns the next response, retrying and hedging as far as that is allowed.
    ///
    /// If this is dropped before it returns, unanswered sends still count as possible runs.
    ///
    /// # Errors
    ///
    /// The failure for the caller; the fate of its code is correct.
    pub async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<UpstreamResponse, Failure> {
        let response = self.send_until_response(resume_after).await;
        let failed = self.failed_response.take();
        // An upstream's own error tells the caller more than our failure to find another one.
        response.or_else(|failure| failed.map_or(Err(failure), |response| Ok(*response)))
    }

    async fn send_until_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<UpstreamResponse, Failure> {
        let mut sends = PendingSends::default();
        (self.undelivered, self.rejections) = (0, 0);
        loop {
            if sends.is_empty() {
                self.check_drain()?;
                let target = self.next_target().await?;
                // It may have waited for its adapter.
                self.check_drain()?;
                self.send(&mut sends, target, resume_after);
            }
            let timeout = self.head_timeout();
            let is_draining = self.frontend.drain.is_draining();
            let next = tokio::select! {
                biased;
                sent = sends.next() => Some(sent),
                () = self.frontend.drain.started(), if !is_draining => continue,
                // Dropping the sends now can keep an engine that hasn't started the request from
                // crashing.
                failure = self.wait_until_quarantined() => return Err(failure),
                () = tokio::time::sleep(timeout.duration()) => None,
            };
            let response = match next {
                Some(Some(sent)) => self.handle_finished_send(&sends, sent)?,
                Some(None) => None,
                None => self.handle_silence(&mut sends, resume_after).await?,
            };
            if let Some(response) = response {
                return Ok(response);
            }
        }
    }

    /// Refuses a request that no upstream has got, and whose response may not be complete before
    /// this node ends.
    ///
    /// Otherwise it would be cut off then, though another node could serve it.
    ///
    /// # Errors
    ///
    /// [`Code::Draining`].
    fn check_drain(&self) -> Result<(), Failure> {
        let Some(node_ends_at) = self.frontend.drain.deadline() else {
            return Ok(());
        };
        let now = self.now();
        let needed = self.expected_time().min(self.deadline.since(now));
        let left = node_ends_at.since(now);
        if self.possible_runs > 0 || needed <= left {
            return Ok(());
        }
        let cause = format!("the node ends in {left}, and a response may take {needed}");
        Err(Failure::new(Code::Draining, cause))
    }

    /// Returns how long a response of the route may take.
    ///
    /// A stream's objective covers its first event only, so nothing is known of a route whose
    /// streams this node hasn't seen.
    fn expected_time(&self) -> Millis {
        let seen = self.frontend.paces.longest(&self.route.name);
        let unseen = if self.message.kind.is_streaming() {
            Millis::MAX
        } else {
            self.route.latency_objective
        };
        seen.unwrap_or(unseen)
    }

    /// Selects an upstream while no send is in flight, and reserves a retry if this is one.
    async fn next_target(&mut self) -> Result<Target, Failure> {
        let target = self.find_target().await?;
        if self.is_in_flight_at(&target.upstream) {
            return Err(self.refusal(Code::NoUpstream, "no other upstream can take it now"));
        }
        let is_retry = self.possible_runs + self.rejections > 0;
        if is_retry && !self.reserve_retry() {
            return Err(self.refusal(Code::UpstreamRefused, "the budget for repeats is used up"));
        }
        Ok(target)
    }

    /// Whether the request is still in flight at an upstream while another one is tried.
    ///
    /// Sent there again, it would run there twice at the same time.
    fn is_in_flight_at(&self, upstream: &Upstream) -> bool {
        self.in_flight_at.as_ref() == Some(&upstream.incarnation)
    }

    /// Fails the request at its deadline, or else hedges it at another upstream if that is allowed.
    ///
    /// Called when no upstream responded within the head timeout.
    ///
    /// # Errors
    ///
    /// When the deadline has passed.
    async fn handle_silence(
        &mut self,
        sends: &mut PendingSends,
        resume_after: Option<u64>,
    ) -> Result<Option<UpstreamResponse>, Failure> {
        let Some(newest) = sends.newest().map(Arc::clone) else {
            return Ok(None);
        };
        let now = self.now();
        if now >= self.deadline {
            let cause = format!("no answer within {}", now.since(self.sent_at));
            let error = SendError::Lost(Code::ExpiredRunning, cause);
            return self.handle_send_error(&newest, error, true).map(|()| None);
        }
        if let Some(silent) = sends.mark_silent() {
            // Its queue is long or it no longer responds; either way others should avoid it.
            self.penalize(&silent);
        }
        // A request that may run only once waits where it is until its deadline.
        if !self.may_retry() || !self.reserve_hedge(&newest) {
            return Ok(None);
        }
        let target = tokio::select! {
            biased;
            Some(sent) = sends.next() => return self.handle_finished_send(sends, sent),
            target = self.find_target() => target,
        };
        match target {
            Ok(target)
                if !self.is_in_flight_at(&target.upstream) && !sends.includes(&target.upstream) =>
            {
                self.frontend.count_retry("silent");
                self.send(sends, target, resume_after);
            }
            _ => request_log::stays(self, &newest),
        }
        Ok(None)
    }

    /// Returns the request's id for logs; empty if it has none.
    #[must_use]
    pub fn id(&self) -> &str {
        self.message.metadata.id.as_deref().unwrap_or_default()
    }

    /// Returns the number of sends that may have run.
    #[must_use]
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Logs and counts the outcome of the request; only the first call has an effect.
    pub fn finish(&mut self, outcome: &RequestOutcome<'_>) {
        if !std::mem::replace(&mut self.finished, true) {
            if let RequestOutcome::Answered(_) = outcome {
                let took = self.now().since(self.arrived_at);
                self.frontend.paces.record(&self.route.name, took);
            }
            request_log::ended(self, outcome);
            self.frontend.count_outcome(outcome.code());
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.frontend.clock.now()
    }

    /// Returns how long to wait for a response's head before another upstream is tried.
    fn head_timeout(&self) -> Millis {
        let left = self.deadline.since(self.now());
        if !self.message.kind.is_retryable() || self.possible_runs >= self.route.max_attempts {
            return left;
        }
        let timeout = left.min(Millis(
            self.route.latency_objective.0 * HEDGE_AFTER_OBJECTIVES,
        ));
        let Some(drain_deadline) = self.frontend.drain.deadline() else {
            return timeout;
        };
        // A request that waits at a silent upstream until the drain's deadline is aborted.
        let half = Millis(drain_deadline.since(self.now()).0 / 2);
        timeout.min(half.max(SELECTION_RETRY_PAUSE))
    }
}

impl Drop for ActiveRequest {
    /// Records a request that is dropped unfinished because its caller disconnected.
    fn drop(&mut self) {
        self.finish(&RequestOutcome::CallerGone);
    }
}
