//! Relays a stream to the caller, and resumes it at another upstream if its upstream fails.

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
use crate::poison::report::Suspicion;

/// Wait for an event, in multiples of the route's maximum gap, before the stream is resumed
/// elsewhere.
///
/// Callers give a stream up after eight such gaps, and resuming it takes a few hundred
/// milliseconds.
const STALL_GAPS: u64 = 5;

/// How long to wait for the last events of a stopped run, which the engine sent before its reply.
const STOPPED_RUN_EVENTS_TIMEOUT: Millis = Millis(200);

/// The longest gap, in multiples of the route's maximum gap, that is attributed to prefills.
const MAX_PREFILL_GAPS: u64 = 2;

/// Maximum gap between events of routes that set none.
const DEFAULT_MAX_EVENT_GAP: Millis = Millis(500);

/// A response body that ends before its end.
///
/// The connection to the caller is closed, so that the caller can't take the part that it
/// received for the complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the response was aborted: {0}")]
pub struct ResponseAborted(pub String);

/// Progress of the current run, which tells how likely it is to crash its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunProgress {
    /// No event has arrived.
    NoEvent,
    /// The first event arrived at this time.
    FirstEventAt(Millis),
    /// An engine has run the request without crashing.
    Harmless,
}

/// How far a handover of a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandoverState {
    /// None was started.
    NotStarted,
    /// The engine was asked to stop the run.
    Started,
    /// The engine was asked, and no reply will tell whether it stopped the run.
    MaybeStopped,
}

/// A stream in progress.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) request: ActiveRequest,
    pub(super) response: Option<UpstreamResponse>,
    pub(super) events: EventSequence,
    last_chunk_at: Option<Millis>,
    progress: RunProgress,
    /// The request to move the run, until the engine replies.
    pub(super) handover: Option<Handover>,
    /// The run once it was stopped, until it is resumed.
    pub(super) stopped: Option<Box<StoppedRun>>,
    /// How far a handover of the current run has come.
    pub(super) handover_state: HandoverState,
    /// Whether the upstream was already penalized for being silent.
    pub(super) penalized: bool,
    /// Whether the gaps of a stream that stayed at its engine were already recorded.
    stay_recorded: bool,
}

/// Returns the response body for the caller.
pub fn stream_body(
    request: ActiveRequest,
    response: UpstreamResponse,
) -> impl Stream<Item = Result<Frame<Bytes>, ResponseAborted>> + Send {
    let events = EventSequence::new(request.message.metadata.resume_after);
    let relay = Relay {
        request,
        response: Some(response),
        events,
        last_chunk_at: None,
        progress: RunProgress::NoEvent,
        handover: None,
        stopped: None,
        handover_state: HandoverState::NotStarted,
        penalized: false,
        stay_recorded: false,
    };
    stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        let frontend = Arc::clone(&relay.request.frontend);
        let next = tokio::select! {
            biased;
            next = relay.next_chunk() => next,
            () = frontend.drain.aborted() => {
                frontend.drain.count_aborted();
                Err(ResponseAborted("the node stops".to_owned()))
            }
        };
        match next {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => {
                relay.request.finish(&RequestOutcome::Answered(200));
                None
            }
            Err(aborted) => {
                relay.request.finish(&RequestOutcome::Aborted(&aborted.0));
                Some((Err(aborted), None))
            }
        }
    })
}

impl Relay {
    /// Returns the next events to forward; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseAborted> {
        loop {
            match self.step().await {
                StreamStep::Events(bytes) => {
                    self.record_chunk();
                    self.maybe_hand_over();
                    return Ok(Some(bytes));
                }
                StreamStep::More => {}
                StreamStep::End if self.ended_without_event() => {
                    self.resume("the stream ended before its first event")
                        .await?;
                }
                StreamStep::End => {
                    if self.is_complete().await? {
                        self.record_complete_run();
                        self.record_stay(false);
                        self.record_longest_gap();
                        self.keep_connection();
                        return Ok(None);
                    }
                }
                StreamStep::Broken(cause) => self.resume(&cause).await?,
                StreamStep::Withdrawn => self.withdraw().await?,
            }
        }
    }

    /// Whether a stream that begins anew ended with its connection and without any event.
    fn ended_without_event(&self) -> bool {
        let begins_anew = self.request.message.metadata.resume_after.is_none();
        let response = self.response.as_ref();
        begins_anew
            && self.request.timing.chunks == 0
            && response.is_some_and(UpstreamResponse::ends_with_connection)
    }

    /// Records the arrival of a chunk: the time to the first event, or the gap since the last one.
    fn record_chunk(&mut self) {
        let now = self.request.now();
        self.request.frontend.metrics.tokens.inc();
        if let Some(response) = &mut self.response {
            response.running.prefill_done();
        }
        match self.progress {
            RunProgress::NoEvent => self.progress = RunProgress::FirstEventAt(now),
            RunProgress::FirstEventAt(first) if now.since(first) >= HARMLESS_AFTER => {
                self.record_harmless_run(first);
            }
            RunProgress::FirstEventAt(_) | RunProgress::Harmless => {}
        }
        if let Some(last) = self.last_chunk_at.replace(now) {
            self.record_gap(now.since(last), now);
        } else {
            self.bind_to_origin();
            self.record_first_event(now);
        }
        self.request.timing.chunks += 1;
    }

    /// Records that the engine runs the request without crashing.
    fn record_harmless_run(&mut self, began_at: Millis) {
        self.progress = RunProgress::Harmless;
        self.request.record_harmless_run(began_at);
    }

    /// Records that the engine ran the request to its end, unless it was recorded before.
    ///
    /// An end that a crash could have caused proves nothing.
    fn record_complete_run(&mut self) {
        let response = self.response.as_ref();
        if response.is_some_and(UpstreamResponse::ends_with_connection) {
            return;
        }
        if let RunProgress::FirstEventAt(first) = self.progress {
            self.record_harmless_run(first);
        }
    }

    /// Resets the progress for a new run, unless the request is known to be harmless.
    pub(super) fn reset_progress(&mut self) {
        if self.progress != RunProgress::Harmless {
            self.progress = RunProgress::NoEvent;
        }
    }

    /// Records that the connection to an upstream broke while it ran the request.
    pub(super) fn record_broken_connection(&self, upstream: &Arc<Upstream>) {
        let now = self.request.now();
        // After its deadline the request is dropped by this node, whatever the upstream's state.
        if now >= self.request.deadline {
            return;
        }
        let suspicion = match self.progress {
            RunProgress::NoEvent => Suspicion::Begun,
            RunProgress::FirstEventAt(_) => Suspicion::Possible,
            RunProgress::Harmless => return,
        };
        self.request.record_broken_connection(upstream, suspicion);
    }

    /// Binds the stream to the origin of its first event.
    fn bind_to_origin(&mut self) {
        if let Some(response) = &self.response {
            self.request.bind_to_origin(&response.upstream);
        }
    }

    fn record_first_event(&mut self, now: Millis) {
        let first = now.since(self.request.arrived_at);
        self.request.timing.first_event = Some(first);
        let histogram = &self.request.frontend.metrics.first_token;
        histogram
            .with_label_values(&[CLASS_LABEL])
            .observe(seconds(first));
        self.record_prefill_wait(now);
    }

    fn record_gap(&mut self, gap: Millis, now: Millis) {
        let metrics = &self.request.frontend.metrics;
        metrics.between_tokens.observe(seconds(gap));
        if let Some(response) = &self.response {
            response.upstream.record_pause(gap, now);
        }
        let timing = &mut self.request.timing;
        if gap > timing.longest_gap {
            timing.longest_gap = gap;
            timing.chunks_before_longest_gap = timing.chunks;
        }
        self.record_long_gap(gap);
    }

    /// Counts the first gap that is too long as a sign that prefills delay decoding.
    ///
    /// Prefills lengthen a gap by as much as an engine prefills between two events. A far longer
    /// gap has another cause, such as the loss of the engine.
    fn record_long_gap(&mut self, gap: Millis) {
        let Some(max_gap) = self.request.route.max_event_gap else {
            return;
        };
        if gap > max_gap {
            self.record_stay(gap.0 <= max_gap.0 * MAX_PREFILL_GAPS);
        }
    }

    /// Records the longest gap of a complete stream.
    fn record_longest_gap(&self) {
        let timing = &self.request.timing;
        let decoded = if timing.handovers > 0 {
            "elsewhere"
        } else {
            "where read"
        };
        let histogram = &self.request.frontend.metrics.longest_pause;
        histogram
            .with_label_values(&[decoded])
            .observe(seconds(timing.longest_gap));
    }

    /// Records once whether a stream that is decoded where it was prefilled had too long a gap.
    fn record_stay(&mut self, late: bool) {
        let Some(response) = &self.response else {
            return;
        };
        let request = &self.request;
        let engine = response.upstream.address;
        let stayed =
            request.timing.handovers == 0 && self.handover_state == HandoverState::NotStarted;
        if !stayed || self.stay_recorded || request.frontend.roles(&request.pool).is_prefill(engine)
        {
            return;
        }
        request
            .frontend
            .update_scaler(&request.pool, |scaler| scaler.record_stream(engine, late));
        self.stay_recorded = true;
    }

    /// Records which part of the latency objective passed at a prefill engine.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    fn record_prefill_wait(&self, now: Millis) {
        let Some(response) = &self.response else {
            return;
        };
        let request = &self.request;
        if request
            .frontend
            .roles(&request.pool)
            .is_prefill(response.upstream.address)
        {
            let part = now.since(request.sent_at).0 as f64
                / request.route.latency_objective.0.max(1) as f64;
            request
                .frontend
                .update_scaler(&request.pool, |scaler| scaler.record_prefill_wait(part));
        }
    }

    /// Starts to move the run to a decode engine if it is at a prefill engine.
    ///
    /// This is tried after the first event, and after later ones while the adapter is still being
    /// loaded at a decode engine.
    fn maybe_hand_over(&mut self) {
        let Some(response) = &self.response else {
            return;
        };
        if self.handover_state != HandoverState::NotStarted || self.request.timing.handovers > 0 {
            return;
        }
        if !self.request.has_budget_to_move() {
            return;
        }
        let is_first = self.request.timing.chunks == 1;
        if let Some(target) = self.request.decode_target(response, is_first)
            && let Some(permits) = self.request.take_permits_to_move()
        {
            let left = self.request.deadline.since(self.request.now());
            let handover = Handover::begin(
                &self.request.frontend,
                (self.request.id(), self.request.base_model()),
                response,
                target,
                left,
                permits,
            );
            self.handover = Some(handover);
            self.handover_state = HandoverState::Started;
        }
    }

    async fn step(&mut self) -> StreamStep {
        let now = self.request.now();
        if now >= self.request.deadline {
            return StreamStep::Broken("the deadline has passed".to_owned());
        }
        if let Some(step) = self.events.take_pending_error() {
            return step;
        }
        let mut timeout = self.event_timeout(now);
        if self.stopped.is_some() {
            timeout = timeout.min(STOPPED_RUN_EVENTS_TIMEOUT);
        }
        let Some(response) = &mut self.response else {
            return StreamStep::Broken("no upstream serves the stream".to_owned());
        };
        let reply = tokio::select! {
            biased;
            frame = response.body.frame() => {
                response.mark_started();
                return self.events.receive(frame);
            }
            reply = handover_reply(&mut self.handover, timeout) => reply,
            () = versions::expired(response.watch.as_ref()) => return StreamStep::Withdrawn,
            () = tokio::time::sleep(timeout.duration()) => HandoverReply::Unanswered,
        };
        match reply {
            HandoverReply::Unanswered => return self.handle_stall(timeout).await,
            HandoverReply::NotStopped => {}
            HandoverReply::Unknown => self.handover_state = HandoverState::MaybeStopped,
            HandoverReply::Stopped(run) => self.stopped = Some(run),
        }
        self.handover = None;
        StreamStep::More
    }

    /// Returns how long to wait for the next event before another engine is tried.
    pub(super) fn event_timeout(&self, now: Millis) -> Millis {
        let left = self.request.deadline.since(now);
        if !self.request.may_retry() {
            return left;
        }
        let stall = Millis(self.max_event_gap().0 * STALL_GAPS);
        let first_event = if self.events.last() == self.request.message.metadata.resume_after {
            self.request.route.latency_objective
        } else {
            Millis::ZERO
        };
        left.min(stall + first_event)
    }

    /// Returns the route's maximum gap between events.
    pub(super) fn max_event_gap(&self) -> Millis {
        let max_gap = self.request.route.max_event_gap;
        max_gap.unwrap_or(DEFAULT_MAX_EVENT_GAP)
    }

    /// Returns the connection of a complete response for reuse.
    fn keep_connection(&mut self) {
        if let Some(response) = self.response.take() {
            response.upstream.record_success();
            if !response.reply.closes {
                response
                    .upstream
                    .connection_pool
                    .release(response.connection, response.reply.keep);
            }
        }
    }
}

/// Waits for the reply to a handover in progress; forever if there is none.
async fn handover_reply(handover: &mut Option<Handover>, timeout: Millis) -> HandoverReply {
    match handover {
        Some(handover) => handover.reply(timeout).await,
        None => std::future::pending().await,
    }
}
