//! The way of one request: which upstreams it is sent to, and when it is given up.

mod outcome;
mod repeat;
mod send;
mod suspicion;

use std::sync::Arc;

use smallvec::SmallVec;

use super::attempt::{Answer, Message, Miss};
use super::config::Route;
use super::entry::Gate;
use super::record::{self, End};
use super::sends::PendingSends;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Pause before an upstream is looked for again.
pub(in crate::direct) const LOOK: Millis = Millis(20);

/// Objectives after which another upstream is looked for beside one that is silent.
const PATIENCE: u64 = 3;

/// A request on its way.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The node's parts.
    pub gate: Arc<Gate>,
    /// What is sent.
    pub message: Arc<Message>,
    /// The route that it came by.
    pub route: Route,
    /// The pool that takes it.
    pub pool: Name,
    /// When it arrived.
    pub began: Millis,
    /// When it is given up.
    pub until: Millis,
    /// Version of the configuration that it goes by.
    pub config: u64,
    /// How the events of the answer came.
    pub pace: Pace,
    /// When it was last sent.
    pub(in crate::direct) sent_at: Millis,
    pub(in crate::direct) tried: SmallVec<[Name; 4]>,
    /// Upstreams that rejected it on an older version and are about to hold the newest.
    pub(in crate::direct) replaced_at: SmallVec<[Name; 1]>,
    ended: bool,
    /// Sends that may have run, those on their way among them.
    pub(in crate::direct) sent: u32,
    unsent: u32,
    pub(in crate::direct) rejected: u32,
    /// Whether the next send's part of the budget for repeats is taken already.
    repeat_reserved: bool,
    /// An upstream's error that was set aside while another one is asked.
    failed: Option<Box<Answer>>,
    /// The upstream at which this request stands besides, while another one is looked for.
    pub(in crate::direct) stands_at: Option<Name>,
}

/// How the events of a stream came.
///
/// A stream is late by its first event or by a pause behind it, and these have different
/// causes: a wait for the adapter or in a queue, or the reading of other prompts where the
/// answer is written.
#[derive(Debug, Default)]
pub struct Pace {
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
        gate: Arc<Gate>,
        message: Message,
        route: Route,
        pool: Name,
        began: Millis,
        until: Millis,
        config: u64,
    ) -> Self {
        Self {
            gate,
            message: Arc::new(message),
            route,
            pool,
            began,
            until,
            config,
            pace: Pace::default(),
            sent_at: began,
            tried: SmallVec::new(),
            replaced_at: SmallVec::new(),
            ended: false,
            sent: 0,
            unsent: 0,
            rejected: 0,
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
    pub async fn answer(&mut self, resume_after: Option<u64>) -> Result<Answer, Failure> {
        let answer = self.next_answer(resume_after).await;
        let failed = self.failed.take();
        // An upstream's own error tells callers more than a failure of ours to ask another one.
        answer.or_else(|failure| failed.map_or(Err(failure), |answer| Ok(*answer)))
    }

    async fn next_answer(&mut self, resume_after: Option<u64>) -> Result<Answer, Failure> {
        let mut sends = PendingSends::default();
        (self.unsent, self.rejected) = (0, 0);
        loop {
            if sends.is_empty() {
                let target = self.next_target().await?;
                self.send(&mut sends, target, resume_after);
            }
            let span = self.patience();
            let stops = self.gate.stop.is_begun();
            let next = tokio::select! {
                biased;
                sent = sends.next() => Some(sent),
                () = self.gate.stop.begun(), if !stops => continue,
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
        let is_repeat = self.sent + self.rejected > 0;
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
    ) -> Result<Option<Answer>, Failure> {
        let Some(newest) = sends.newest().map(Arc::clone) else {
            return Ok(None);
        };
        let now = self.now();
        if now >= self.until {
            let told = format!("no answer within {}", now.since(self.sent_at));
            let miss = Miss::Lost(Code::ExpiredRunning, told);
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
                self.gate.count_retry("silent");
                self.send(sends, target, resume_after);
            }
            _ => record::stays(self, &newest),
        }
        Ok(None)
    }

    /// Returns the request's id, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        self.message.call.id.as_deref().unwrap_or_default()
    }

    /// Returns how many sends may have run.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sent
    }

    /// Records how the request ended; the first end counts.
    pub fn end(&mut self, end: &End<'_>) {
        if !std::mem::replace(&mut self.ended, true) {
            record::ended(self, end);
            self.gate.count_end(end.code());
        }
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.gate.clock.now()
    }

    /// How long to wait for an answer's head before another upstream is looked for.
    fn patience(&self) -> Millis {
        let left = self.until.since(self.now());
        if !self.message.kind.repeatable() || self.sent >= self.route.attempts {
            return left;
        }
        let span = left.min(Millis(self.route.objective.0 * PATIENCE));
        let Some(end) = self.gate.stop.until() else {
            return span;
        };
        // What stands at a silent upstream for as long as the node lives is cut short.
        let half = Millis(end.since(self.now()).0 / 2);
        span.min(half.max(LOOK))
    }
}

impl Drop for ActiveRequest {
    /// A request whose caller goes away is dropped wherever it stands.
    fn drop(&mut self) {
        self.end(&End::Left);
    }
}
