//! The way of one request: which upstreams it is sent to, and when it is given up.

mod outcome;
mod quarantine;
mod retry;
mod send;

use std::sync::Arc;

use smallvec::SmallVec;

use super::attempt::{RequestMessage, SendError, UpstreamResponse};
use super::config::Route;
use super::entry::Frontend;
use super::request_log::{self, RequestOutcome};
use super::sends::PendingSends;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Pause before an upstream is looked for again.
pub(in crate::direct) const SELECTION_RETRY_PAUSE: Millis = Millis(20);

/// Objectives after which another upstream is looked for beside one that is silent.
const PATIENCE: u64 = 3;

/// A request on its way.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The node's parts.
    pub frontend: Arc<Frontend>,
    /// What is sent.
    pub message: Arc<RequestMessage>,
    /// The route that it came by.
    pub route: Route,
    /// The pool that takes it.
    pub pool: Name,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When it is given up.
    pub deadline: Millis,
    /// Version of the configuration that it goes by.
    pub config_version: u64,
    /// How the events of the answer came.
    pub timing: StreamTiming,
    /// When it was last sent.
    pub(in crate::direct) sent_at: Millis,
    pub(in crate::direct) tried: SmallVec<[Name; 4]>,
    /// Upstreams that rejected it on an older version and are about to hold the newest.
    pub(in crate::direct) replacing_upstreams: SmallVec<[Name; 1]>,
    ended: bool,
    /// Sends that may have run, those on their way among them.
    pub(in crate::direct) possible_runs: u32,
    undelivered: u32,
    pub(in crate::direct) rejections: u32,
    /// Whether the next send's part of the budget for repeats is taken already.
    repeat_reserved: bool,
    /// An upstream's error that was set aside while another one is asked.
    failed: Option<Box<UpstreamResponse>>,
    /// The upstream at which this request stands besides, while another one is looked for.
    pub(in crate::direct) stands_at: Option<Name>,
}

/// How the events of a stream came.
///
/// A stream is late by its first event or by a pause behind it, and these have different
/// causes: a wait for the adapter or in a queue, or the reading of other prompts where the
/// answer is written.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// Time from the request's arrival to its first event.
    pub first: Option<Millis>,
    /// The longest pause between two events.
    pub longest: Millis,
    /// Events that came before the longest pause.
    pub longest_after: u64,
    /// Pieces passed on.
    pub pieces: u64,
    /// How often the run was moved to another engine.
    pub moved: u32,
}

impl ActiveRequest {
    /// Begins to serve a request.
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
            ended: false,
            possible_runs: 0,
            undelivered: 0,
            rejections: 0,
            repeat_reserved: false,
            failed: None,
            stands_at: None,
        }
    }

    /// Returns the next answer, sending as often as is allowed.
    ///
    /// What was sent and not answered counts as sent when this is dropped before it returns.
    ///
    /// # Errors
    ///
    /// The failure that the caller gets; its code's fate is true.
    pub async fn answer(&mut self, resume_after: Option<u64>) -> Result<UpstreamResponse, Failure> {
        let answer = self.next_answer(resume_after).await;
        let failed = self.failed.take();
        // An upstream's own error tells callers more than a failure of ours to ask another one.
        answer.or_else(|failure| failed.map_or(Err(failure), |answer| Ok(*answer)))
    }

    async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<UpstreamResponse, Failure> {
        let mut sends = PendingSends::default();
        (self.undelivered, self.rejections) = (0, 0);
        loop {
            if sends.is_empty() {
                let target = self.next_target().await?;
                self.send(&mut sends, target, resume_after);
            }
            let span = self.patience();
            let stops = self.frontend.drain.is_draining();
            let next = tokio::select! {
                biased;
                sent = sends.next() => Some(sent),
                () = self.frontend.drain.started(), if !stops => continue,
                // Its engine may not have begun it: dropped now, it ends no further one.
                failure = self.quarantined() => return Err(failure),
                () = tokio::time::sleep(span.duration()) => None,
            };
            let answer = match next {
                Some(Some(sent)) => self.conclude(&sends, sent)?,
                Some(None) => None,
                None => self.look_further(&mut sends, resume_after).await?,
            };
            if let Some(answer) = answer {
                return Ok(answer);
            }
        }
    }

    /// Finds where to send while nothing is on its way, with its part of the budget taken if it is a repeat.
    async fn next_target(&mut self) -> Result<Target, Failure> {
        let target = self.find_target().await?;
        if self.stands_at(&target.upstream) {
            return Err(self.refusal(Code::NoUpstream, "no other upstream can take it now"));
        }
        let is_repeat = self.possible_runs + self.rejections > 0;
        if is_repeat && !self.reserve_repeat() {
            return Err(self.refusal(Code::UpstreamRefused, "the budget for repeats is used up"));
        }
        Ok(target)
    }

    /// Whether the request stands at an upstream while another one is looked for.
    ///
    /// Sent there once more, it would run there twice at once.
    fn stands_at(&self, upstream: &Upstream) -> bool {
        self.stands_at.as_ref() == Some(&upstream.incarnation)
    }

    /// Decides what becomes of a request whose upstreams have been silent for long.
    ///
    /// # Errors
    ///
    /// When its time is up.
    async fn look_further(
        &mut self,
        sends: &mut PendingSends,
        resume_after: Option<u64>,
    ) -> Result<Option<UpstreamResponse>, Failure> {
        let Some(newest) = sends.newest().map(Arc::clone) else {
            return Ok(None);
        };
        let now = self.now();
        if now >= self.deadline {
            let told = format!("no answer within {}", now.since(self.sent_at));
            let miss = SendError::Lost(Code::ExpiredRunning, told);
            return self.missed(&newest, miss, true).map(|()| None);
        }
        if let Some(silent) = sends.mark_silent() {
            // Its queue is long, or it no longer answers: others are better sent elsewhere.
            self.blame(&silent);
        }
        // A request that may run once waits where it is, however long.
        if !self.may_go_on() || !self.reserve_elsewhere(&newest) {
            return Ok(None);
        }
        let target = tokio::select! {
            biased;
            Some(sent) = sends.next() => return self.conclude(sends, sent),
            target = self.find_target() => target,
        };
        match target {
            Ok(target)
                if !self.stands_at(&target.upstream) && !sends.includes(&target.upstream) =>
            {
                self.frontend.count_retry("silent");
                self.send(sends, target, resume_after);
            }
            _ => request_log::stays(self, &newest),
        }
        Ok(None)
    }

    /// Returns the request's id, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        self.message.metadata.id.as_deref().unwrap_or_default()
    }

    /// Returns how many sends may have run.
    #[must_use]
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Records how the request ended; the first end counts.
    pub fn end(&mut self, end: &RequestOutcome<'_>) {
        if !std::mem::replace(&mut self.ended, true) {
            request_log::ended(self, end);
            self.frontend.count_end(end.code());
        }
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.frontend.clock.now()
    }

    /// How long to wait for an answer's head before another upstream is looked for.
    fn patience(&self) -> Millis {
        let left = self.deadline.since(self.now());
        if !self.message.kind.is_retryable() || self.possible_runs >= self.route.max_attempts {
            return left;
        }
        let span = left.min(Millis(self.route.latency_objective.0 * PATIENCE));
        let Some(end) = self.frontend.drain.deadline() else {
            return span;
        };
        // What stands at a silent upstream for as long as the node lives is cut short.
        let half = Millis(end.since(self.now()).0 / 2);
        span.min(half.max(SELECTION_RETRY_PAUSE))
    }
}

impl Drop for ActiveRequest {
    /// A request whose caller goes away is dropped wherever it stands.
    fn drop(&mut self) {
        self.end(&RequestOutcome::Left);
    }
}
