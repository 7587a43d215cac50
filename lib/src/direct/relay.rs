//! A stream on its way to the caller, continued elsewhere if its upstream breaks off.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::body::Frame;
use thiserror::Error;

use super::attempt::UpstreamResponse;
use super::entry::{CLASS_LABEL, seconds};
use super::event_sequence::{EventSequence, StreamStep};
use super::handover::{Handover, HandoverReply, StoppedRun};
use super::quarantine::HARMLESS_AFTER;
use super::request::ActiveRequest;
use super::request_log::RequestOutcome;
use super::upstream::Upstream;
use super::versions;
use crate::clock::Millis;
use crate::poison::ledger::Suspicion;

/// A pause in the stream, in the longest pauses of the route, at which it is continued elsewhere.
///
/// Callers give a stream up at eight such pauses; a continued one needs some
/// hundred milliseconds to go on.
const STALL_PAUSES: u64 = 5;

/// Time for the last events of a stopped run to arrive, which left before the engine said so.
const REST: Millis = Millis(200);

/// The longest pause, in those that the route allows, that reading can cause.
const READING_PAUSES: u64 = 2;

/// The pause to assume for routes that name none.
pub(super) const USUAL_PAUSE: Millis = Millis(500);

/// The answer ends without its end.
///
/// The connection to the caller is closed, so that what was passed on can't be
/// taken for whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the answer broke off: {0}")]
pub struct ResponseAborted(pub String);

/// How far the run that is read now has come, which tells whether it can have ended its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It has brought no event.
    Nothing,
    /// It brought its first event at this time.
    Brought(Millis),
    /// An engine has run the request without harm.
    Settled,
}

/// A stream in progress.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) request: ActiveRequest,
    pub(super) answer: Option<UpstreamResponse>,
    pub(super) events: EventSequence,
    passed_on: Option<Millis>,
    progress: Progress,
    /// The question to move the run, as long as it has no answer.
    pub(super) handover: Option<Handover>,
    /// Where the run can go on, once it was stopped.
    pub(super) stopped: Option<Box<StoppedRun>>,
    /// Whether the upstream was asked to move the run.
    pub(super) asked_to_move: bool,
    /// Whether the upstream was found silent already, which counts against it once.
    pub(super) silent: bool,
    /// Whether it was told how the stream went where it stayed.
    judged: bool,
}

/// Makes the body that the caller gets.
pub fn stream_body(
    request: ActiveRequest,
    answer: UpstreamResponse,
) -> impl Stream<Item = Result<Frame<Bytes>, ResponseAborted>> + Send {
    let events = EventSequence::new(request.message.metadata.resume_after);
    let relay = Relay {
        request,
        answer: Some(answer),
        events,
        passed_on: None,
        progress: Progress::Nothing,
        handover: None,
        stopped: None,
        asked_to_move: false,
        silent: false,
        judged: false,
    };
    stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        let frontend = Arc::clone(&relay.request.frontend);
        let next = tokio::select! {
            biased;
            next = relay.next() => next,
            () = frontend.drain.aborted() => {
                frontend.drain.count_aborted();
                Err(ResponseAborted("the node stops".to_owned()))
            }
        };
        match next {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => {
                relay.request.end(&RequestOutcome::Answered(200));
                None
            }
            Err(cut) => {
                relay.request.end(&RequestOutcome::Cut(&cut.0));
                Some((Err(cut), None))
            }
        }
    })
}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, ResponseAborted> {
        loop {
            match self.step().await {
                StreamStep::Events(bytes) => {
                    self.observe();
                    self.hand_over();
                    return Ok(Some(bytes));
                }
                StreamStep::More => {}
                StreamStep::End => {
                    if self.is_whole().await? {
                        self.settle();
                        self.judge_stay(false);
                        self.observe_pauses();
                        self.keep();
                        return Ok(None);
                    }
                }
                StreamStep::Broken(told) => self.go_on(&told).await?,
                StreamStep::Withdrawn => self.withdraw().await?,
            }
        }
    }

    /// Counts the time to the first event, and the pauses behind it.
    fn observe(&mut self) {
        let now = self.request.now();
        self.request.frontend.metrics.tokens.inc();
        if let Some(answer) = &mut self.answer {
            answer.running.prefill_done();
        }
        match self.progress {
            Progress::Nothing => self.progress = Progress::Brought(now),
            Progress::Brought(first) if now.since(first) >= HARMLESS_AFTER => self.settle(),
            Progress::Brought(_) | Progress::Settled => {}
        }
        match self.passed_on.replace(now) {
            Some(last) => self.observe_pause(now.since(last), now),
            None => self.observe_first(now),
        }
        self.request.timing.pieces += 1;
    }

    /// Notes once that the engine runs the request without harm.
    fn settle(&mut self) {
        if self.progress != Progress::Settled {
            self.progress = Progress::Settled;
            self.request.survived();
        }
    }

    /// Begins with a run that has brought nothing yet.
    pub(super) fn begin_run(&mut self) {
        if self.progress != Progress::Settled {
            self.progress = Progress::Nothing;
        }
    }

    /// Takes in that the connection to an upstream broke while it ran the request.
    pub(super) fn broke(&self, upstream: &Arc<Upstream>) {
        let now = self.request.now();
        // At the end of its time a request is dropped here, and says nothing of its upstream.
        if now >= self.request.deadline {
            return;
        }
        let sign = match self.progress {
            Progress::Nothing => Suspicion::Begun,
            Progress::Brought(_) => Suspicion::Possible,
            Progress::Settled => return,
        };
        self.request.broke(upstream, sign);
    }

    fn observe_first(&mut self, now: Millis) {
        let first = now.since(self.request.arrived_at);
        self.request.timing.first = Some(first);
        let histogram = &self.request.frontend.metrics.first_token;
        histogram
            .with_label_values(&[CLASS_LABEL])
            .observe(seconds(first));
        self.judge_reading(now);
    }

    fn observe_pause(&mut self, pause: Millis, now: Millis) {
        let metrics = &self.request.frontend.metrics;
        metrics.between_tokens.observe(seconds(pause));
        if let Some(answer) = &self.answer {
            answer.upstream.record_pause(pause, now);
        }
        let pace = &mut self.request.timing;
        if pause > pace.longest {
            pace.longest = pause;
            pace.longest_after = pace.pieces;
        }
        self.judge_pause(pause);
    }

    /// Lets the first pause that is too long speak against reading where answers are written.
    ///
    /// Reading stretches a pause by as much as an engine reads within one event. One that is
    /// far longer has another cause, such as an engine that was lost.
    fn judge_pause(&mut self, pause: Millis) {
        let Some(most) = self.request.route.max_event_gap else {
            return;
        };
        if pause > most {
            self.judge_stay(pause.0 <= most.0 * READING_PAUSES);
        }
    }

    /// Counts the longest pause of a whole stream.
    fn observe_pauses(&self) {
        let pace = &self.request.timing;
        let written = if pace.moved > 0 {
            "elsewhere"
        } else {
            "where read"
        };
        let histogram = &self.request.frontend.metrics.longest_pause;
        histogram
            .with_label_values(&[written])
            .observe(seconds(pace.longest));
    }

    /// Tells once how a stream went that stayed where its prompt was read.
    fn judge_stay(&mut self, late: bool) {
        let Some(answer) = &self.answer else {
            return;
        };
        let request = &self.request;
        let engine = answer.upstream.address;
        let stayed = request.timing.moved == 0 && !self.asked_to_move;
        if !stayed || self.judged || request.frontend.roles(&request.pool).is_prefill(engine) {
            return;
        }
        request
            .frontend
            .observe(&request.pool, |mix| mix.record_stream(engine, late));
        self.judged = true;
    }

    /// Tells what part of the objective a reader took.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    fn judge_reading(&self, now: Millis) {
        let Some(answer) = &self.answer else {
            return;
        };
        let request = &self.request;
        if request
            .frontend
            .roles(&request.pool)
            .is_prefill(answer.upstream.address)
        {
            let part = now.since(request.sent_at).0 as f64
                / request.route.latency_objective.0.max(1) as f64;
            request
                .frontend
                .observe(&request.pool, |mix| mix.record_prefill_wait(part));
        }
    }

    /// Begins to move the run to an engine that reads little, if this one reads for others.
    ///
    /// What a reader holds is moved behind the first event, or behind a later one where the
    /// adapter is still on its way to a writer.
    fn hand_over(&mut self) {
        let Some(answer) = &self.answer else {
            return;
        };
        if self.asked_to_move || self.request.timing.moved > 0 {
            return;
        }
        // A moved run that is rejected counts as a further send, and can't be taken back then.
        if !self.request.frontend.has_retry_budget(&self.request.pool) {
            return;
        }
        let first = self.request.timing.pieces == 1;
        if let Some(target) = self.request.decode_target(answer, first) {
            let left = self.request.deadline.since(self.request.now());
            let handover = Handover::begin(
                &self.request.frontend,
                self.request.id(),
                answer,
                target,
                left,
            );
            self.handover = Some(handover);
            self.asked_to_move = true;
        }
    }

    async fn step(&mut self) -> StreamStep {
        let now = self.request.now();
        if now >= self.request.deadline {
            return StreamStep::Broken("the time is up".to_owned());
        }
        if let Some(step) = self.events.known() {
            return step;
        }
        let mut span = self.patience(now);
        if self.stopped.is_some() {
            span = span.min(REST);
        }
        let Some(answer) = &mut self.answer else {
            return StreamStep::Broken("there is no answer".to_owned());
        };
        let reply = tokio::select! {
            biased;
            received = answer.body.frame() => {
                answer.has_begun();
                return self.events.receive(received);
            }
            reply = reply_of(&mut self.handover, span) => reply,
            () = versions::expired(answer.watch.as_ref()) => return StreamStep::Withdrawn,
            () = tokio::time::sleep(span.duration()) => HandoverReply::Unanswered,
        };
        match reply {
            HandoverReply::Unanswered => return self.stalled(span).await,
            HandoverReply::Unchanged => {}
            HandoverReply::Stopped(moved) => self.stopped = Some(moved),
        }
        self.handover = None;
        StreamStep::More
    }

    /// How long to wait for the next event before another engine is looked for.
    pub(super) fn patience(&self, now: Millis) -> Millis {
        let left = self.request.deadline.since(now);
        if !self.request.may_go_on() {
            return left;
        }
        let pause = self.request.route.max_event_gap.unwrap_or(USUAL_PAUSE);
        let stall = Millis(pause.0 * STALL_PAUSES);
        let first = if self.events.last() == self.request.message.metadata.resume_after {
            self.request.route.latency_objective
        } else {
            Millis::ZERO
        };
        left.min(stall + first)
    }

    fn keep(&mut self) {
        if let Some(answer) = self.answer.take() {
            answer.upstream.record_success();
            if !answer.reply.closes {
                answer
                    .upstream
                    .link
                    .keep(answer.connection, answer.reply.keep);
            }
        }
    }
}

/// Waits for what an engine says to the question to move a run, if there is one.
async fn reply_of(handover: &mut Option<Handover>, span: Millis) -> HandoverReply {
    match handover {
        Some(handover) => handover.reply(span).await,
        None => std::future::pending().await,
    }
}
