//! The way of one request: which upstreams it is sent to, and when it is given up.

use std::sync::Arc;

use smallvec::SmallVec;

use super::admit::{self, Permit, Question};
use super::attempt::{Answer, Message, Miss};
use super::config::Route;
use super::dialect::{Dispatch, Memory};
use super::entry::Gate;
use super::record::{self, End};
use super::sends::{Sends, Sent};
use super::target::Target;
use super::upstream::Upstream;
use super::versions::Watch;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::ledger::Sign;

/// Sends that reached no upstream, after which a request is given up.
const MOST_UNSENT: u32 = 4;

/// Sends that upstreams rejected, after which a request is given up.
const MOST_REJECTED: u32 = 3;

/// Pause before an upstream is looked for again.
pub(super) const LOOK: Millis = Millis(20);

/// When a refused caller should come back at the earliest.
const COME_BACK: Millis = Millis(250);

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
    pub(super) sent_at: Millis,
    pub(super) tried: SmallVec<[Name; 4]>,
    ended: bool,
    /// Sends that may have run, those on their way among them.
    pub(super) sent: u32,
    unsent: u32,
    pub(super) rejected: u32,
    /// Whether the next send's part of the budget for repeats is taken already.
    repeat_reserved: bool,
    /// An upstream's error that was set aside while another one is asked.
    failed: Option<Box<Answer>>,
    /// The upstream at which this request stands besides, while another one is looked for.
    pub(super) stands_at: Option<Name>,
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
        let mut sends = Sends::default();
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
        let target = self.target().await?;
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
        sends: &mut Sends,
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
            target = self.target() => target,
        };
        match target {
            Ok(target) if !self.stands_at(&target.upstream) && !sends.reaches(&target.upstream) => {
                self.gate.count_retry("silent");
                self.send(sends, target, resume_after);
            }
            _ => record::stays(self, &newest),
        }
        Ok(None)
    }

    /// Takes in how a send ended; none if the request goes on.
    fn conclude(&mut self, sends: &Sends, sent: Sent) -> Result<Option<Answer>, Failure> {
        let is_last = sends.is_empty();
        match sent.result {
            Ok(answer) => {
                self.sent_at = sent.at;
                Ok(self.judge(answer, is_last))
            }
            Err(miss) => match self.missed(&sent.upstream, miss, is_last) {
                Err(failure) if is_last => Err(failure),
                // It still waits at another upstream.
                _ => Ok(None),
            },
        }
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

    /// Whether a broken answer may be continued, or a failed one repeated, elsewhere.
    #[must_use]
    pub fn may_go_on(&self) -> bool {
        self.message.kind.repeatable()
            && self.sent < self.route.attempts
            && self.now() + LOOK < self.until
    }

    /// Notes that an upstream is silent, broke an answer off, or says that it failed.
    pub fn blame(&mut self, upstream: &Upstream) {
        upstream.failed(self.now());
        self.tried.push(Name::clone(&upstream.incarnation));
    }

    /// Whether the request may be sent to an upstream, for the first time or again.
    ///
    /// A request that ends every engine that begins to run it goes on at the next one by itself,
    /// and its caller's next attempt starts anew at any node: one request ended nearly all engines
    /// of a fleet, again and again. All that is sent passes this check, right before it is.
    ///
    /// # Errors
    ///
    /// When upstreams ended under it; nothing more of it is sent.
    pub(super) fn check(&self) -> Result<(), Failure> {
        let quarantine = &self.gate.quarantine;
        if quarantine.is_empty() {
            return Ok(());
        }
        let checked = quarantine.check(self.message.fingerprint());
        checked.map_err(|failure| match self.sent {
            0 => failure,
            _ => Failure::new(Code::UpstreamLost, failure.detail),
        })
    }

    /// Waits until the request may no longer be sent.
    async fn quarantined(&self) -> Failure {
        loop {
            let changed = self.gate.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            if let Err(failure) = self.check() {
                return failure;
            }
            changed.await;
        }
    }

    /// Takes in that the connection to an upstream broke while the request stood there.
    pub(super) fn broke(&self, upstream: &Arc<Upstream>, sign: Sign) {
        let fingerprint = self.message.fingerprint().clone();
        log::info!(
            request = self.id(),
            suspect = fingerprint.as_str(),
            upstream = &*upstream.incarnation,
            sign = sign.name();
            "request: broke"
        );
        self.gate.quarantine.broke(upstream, fingerprint, sign);
    }

    /// Takes in that an upstream ran the request without harm.
    pub(super) fn survived(&self) {
        self.gate.quarantine.survived(self.message.fingerprint());
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.gate.clock.now()
    }

    fn send(&mut self, sends: &mut Sends, target: Target, resume_after: Option<u64>) {
        let dispatch = Dispatch {
            resume_after: resume_after.or(self.message.call.resume_after),
            ..self.dispatch(&target)
        };
        self.repeat_reserved = false;
        self.sent += 1;
        self.sent_at = self.now();
        record::sent(self, &target.upstream, target.version, dispatch.deadline);
        self.note_uncounted(&target, target.permit.as_ref());
        let watch = self.watch(&target);
        let (message, dialect) = (&self.message, &self.gate.dialect);
        sends.begin(message, dialect, target, dispatch, watch, self.sent_at);
    }

    /// Takes from the budget for repeats what sending a request elsewhere too costs, if that pays.
    ///
    /// An engine that lives has the request in its queue, and begins it sooner than another one
    /// at which it would be the last again: it is sent only where a free place is believed.
    pub(super) fn reserve_elsewhere(&mut self, waits_at: &Upstream) -> bool {
        let is_plain = self.message.call.model.is_none();
        (is_plain || self.has_free_holder(waits_at)) && self.reserve_repeat()
    }

    /// Waits for `pause`, and on until the budget allows a further send; false if it doesn't
    /// before `until`.
    pub(super) async fn wait_for_repeat(&self, pause: Millis, until: Millis) -> bool {
        while self.now() + pause < until {
            tokio::time::sleep(pause.duration()).await;
            if self.take_repeat() {
                return true;
            }
        }
        false
    }

    /// Takes what the next send costs from the budget, unless it was taken already.
    fn reserve_repeat(&mut self) -> bool {
        self.repeat_reserved = self.repeat_reserved || self.take_repeat();
        self.repeat_reserved
    }

    /// Sends the request to where the memory of its stopped run lies, to go on behind `last`.
    ///
    /// It counts as the same run, so it takes nothing from the budget for repeats.
    pub(super) async fn continue_run(
        &self,
        place: &Target,
        memory: Memory,
        last: Option<u64>,
    ) -> Result<Answer, Miss> {
        self.check()
            .map_err(|failure| Miss::Lost(failure.code, failure.detail))?;
        let dispatch = Dispatch {
            resume_after: last,
            memory: Some(memory),
            ..self.dispatch(place)
        };
        record::sent(self, &place.upstream, place.version, dispatch.deadline);
        let permit = self.permit(place).await;
        let (upstream, dialect) = (&place.upstream, &*self.gate.dialect);
        let watch = self.watch(place);
        let send = self
            .message
            .send(upstream, dialect, &dispatch, permit, watch);
        // With nowhere else to go, an engine that is slow to begin is better than none: given up
        // after an objective, the caller's stream was cut.
        let span = if self.may_go_on() {
            dispatch.deadline.min(self.route.objective)
        } else {
            dispatch.deadline
        };
        let answer = tokio::time::timeout(span.duration(), send)
            .await
            .unwrap_or_else(|_| {
                let told = format!("no answer within {span}");
                Err(Miss::Lost(Code::ExpiredRunning, told))
            })?;
        if answer.head.status.is_success() {
            return Ok(answer);
        }
        let told = format!("status {}", answer.head.status);
        Err(Miss::Lost(Code::UpstreamLost, told))
    }

    /// Has a run that was moved counted in where it goes on.
    async fn permit(&self, place: &Target) -> Option<Permit> {
        let question = Question {
            loaded: true,
            // Its prompt isn't read again.
            tokens: 0,
            ..self.question(
                self.message.call.adapter(),
                place.version.unwrap_or_default(),
            )
        };
        let permit = match self.gate.desks.admit(&place.upstream, question).await {
            admit::Answer::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        self.note_uncounted(place, permit.as_ref());
        permit
    }

    /// Watches until when the request may begin at a target.
    fn watch(&self, target: &Target) -> Option<Watch> {
        let adapter = self.message.call.adapter()?;
        Some(Watch::new(
            Arc::clone(&self.gate),
            Arc::clone(&target.upstream),
            Name::clone(adapter),
            target.version.unwrap_or_default(),
            self.message.kind.streamed(),
        ))
    }

    /// Lets the owner hear of a request that it doesn't count, by the next exchange.
    fn note_uncounted(&self, target: &Target, permit: Option<&Permit>) {
        if let (Some(adapter), None) = (self.message.call.adapter(), permit) {
            self.gate.desks.note_use(&target.upstream, adapter);
        }
    }

    fn dispatch(&self, target: &Target) -> Dispatch {
        Dispatch {
            incarnation: Name::clone(&target.upstream.incarnation),
            deadline: self.until.since(self.now()),
            urgency: self.message.kind.streamed().then_some(self.route.urgency),
            version: target.version,
            resume_after: None,
            memory: None,
        }
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

    /// Takes an answer, or sets a failed one aside if the request may be repeated or still waits
    /// at another upstream.
    fn judge(&mut self, answer: Answer, is_last: bool) -> Option<Answer> {
        if !answer.head.status.is_server_error() {
            answer.upstream.succeeded();
            return Some(answer);
        }
        self.blame(&answer.upstream);
        if is_last {
            if !(self.may_go_on() && self.others() && self.reserve_repeat()) {
                return Some(answer);
            }
            self.gate.count_retry("upstream_error");
        }
        self.failed = Some(Box::new(answer));
        None
    }

    /// Takes in that a send gave no answer.
    ///
    /// # Errors
    ///
    /// The failure that the caller gets where nothing else is on its way.
    pub(super) fn missed(
        &mut self,
        upstream: &Arc<Upstream>,
        miss: Miss,
        is_last: bool,
    ) -> Result<(), Failure> {
        let now = self.now();
        record::missed(self, upstream, &miss);
        self.tried.push(Name::clone(&upstream.incarnation));
        match miss {
            Miss::Unsent(told) => {
                self.sent -= 1;
                upstream.unreachable(now);
                self.unsent += 1;
                self.gate.count_retry("unsent");
                if self.unsent >= MOST_UNSENT {
                    return Err(self.refusal(Code::ConnectFailed, &told));
                }
                Ok(())
            }
            Miss::Rejected { status } => {
                self.sent -= 1;
                self.rejected += 1;
                self.gate.count_retry("rejected");
                if let Some(adapter) = self.message.call.adapter()
                    && status == 421
                {
                    upstream.lost(adapter);
                }
                if self.rejected >= MOST_REJECTED {
                    return Err(self.refusal(Code::UpstreamRefused, "upstreams are full"));
                }
                Ok(())
            }
            Miss::Withdrawn { sent } => {
                self.gate.count_retry("replaced");
                if !sent {
                    self.sent -= 1;
                    return Ok(());
                }
                if self.may_go_on() {
                    return Ok(());
                }
                let told = "a newer version of the adapter was declared while it waited";
                Err(Failure::new(Code::VersionReplaced, told))
            }
            Miss::Lost(code, told) => {
                if code == Code::UpstreamLost {
                    self.broke(upstream, Sign::Possible);
                }
                upstream.failed(now);
                if self.may_go_on() {
                    if is_last {
                        self.gate.count_retry("lost");
                    }
                    return Ok(());
                }
                Err(Failure::new(code, told))
            }
        }
    }

    /// Takes what one more send costs from the budget of all nodes.
    fn take_repeat(&self) -> bool {
        self.gate.take_repeat(&self.pool)
    }

    fn others(&self) -> bool {
        self.gate
            .view
            .pool(&self.pool)
            .iter()
            .any(|upstream| upstream.is_ready() && !self.tried.contains(&upstream.incarnation))
    }

    /// A refusal that is true: nothing runs, or what ran is said to be unknown.
    pub(super) fn refusal(&self, code: Code, told: &str) -> Failure {
        if self.sent > 0 {
            return Failure::new(Code::UpstreamLost, told);
        }
        Failure::new(code, told).retry_after(COME_BACK)
    }
}

impl Drop for ActiveRequest {
    /// A request whose caller goes away is dropped wherever it stands.
    fn drop(&mut self) {
        self.end(&End::Left);
    }
}
