//! Resumes a stream whose upstream is silent, has broken it off, or has stopped its run.
//!
//! Callers see one stream. Nothing that may still produce its next event is given up before
//! something else has produced it: not the connection to a silent engine, not a position in another
//! engine's queue, not the KV cache of a run that was stopped for a handover. See
//! docs/design/0010-leaving-a-silent-engine.md.

use std::sync::Arc;

use http_body_util::BodyExt;

use super::attempt::{SendError, UpstreamResponse};
use super::event_sequence::{EventSequence, StreamStep};
use super::handover::HandoverReply;
use super::relay::{HandoverState, Relay, ResponseAborted};
use super::request_log;
use super::versions;
use crate::clock::Millis;
use crate::error::Failure;

/// Cause logged for a run that could no longer start on its version of the adapter.
const REPLACED: &str = "a newer version of the adapter was declared before it began";

/// What happened first while another engine was tried for a silent one.
enum FirstResult {
    /// The silent engine's stream continued or ended.
    SilentEngine(StreamStep),
    /// The attempt elsewhere finished; with how the silent engine's response ended, if it did.
    OtherEngine(Result<Box<UpstreamResponse>, Failure>, Option<StreamStep>),
}

impl Relay {
    /// Handles a stream whose engine sent nothing for `timeout`.
    ///
    /// An engine can pause for longer than callers wait, and then continue. So it is abandoned only
    /// once another engine has started to resume the stream.
    pub(super) async fn handle_stall(&mut self, timeout: Millis) -> StreamStep {
        let cause = format!("nothing for {timeout}");
        if self.stopped.is_some() || self.request.now() >= self.request.deadline {
            return StreamStep::Broken(cause);
        }
        let Some(silent) = self.response.take() else {
            return StreamStep::Broken(cause);
        };
        if !self.request.reserve_hedge(&silent.upstream) {
            self.response = Some(silent);
            return StreamStep::More;
        }
        self.hedge(silent, cause).await
    }

    /// Resumes a stream at another engine unless the silent one continues first.
    ///
    /// A free slot elsewhere is only an estimate, and the engine there can reject the request. So
    /// the silent engine's response is still read, and closed only once the other response's head
    /// has arrived. If the silent engine's response ends first, the other one is awaited anyway.
    async fn hedge(&mut self, silent: UpstreamResponse, cause: String) -> StreamStep {
        let upstream = Arc::clone(&silent.upstream);
        if !std::mem::replace(&mut self.penalized, true) {
            self.request.penalize(&upstream);
        }
        self.request.in_flight_at = Some(Arc::clone(&upstream.incarnation));
        let mut silent = Some(silent);
        let result = self.first_result(&mut silent).await;
        self.request.in_flight_at = None;
        match result {
            FirstResult::SilentEngine(step) => {
                self.response = silent;
                step
            }
            FirstResult::OtherEngine(Ok(response), _) if response.head.status.is_success() => {
                self.request.frontend.count_retry("resumed");
                request_log::resumed(&self.request, self.events.last(), &cause);
                drop(silent);
                // A handover requested from the silent engine no longer matters.
                self.handover = None;
                self.switch_to(*response);
                StreamStep::More
            }
            FirstResult::OtherEngine(_, Some(StreamStep::Withdrawn)) => {
                StreamStep::Broken(REPLACED.to_owned())
            }
            FirstResult::OtherEngine(_, Some(ended)) => {
                self.record_broken_connection(&upstream);
                match ended {
                    StreamStep::Broken(cause) => StreamStep::Broken(cause),
                    _ => StreamStep::Broken("the run may have been stopped".to_owned()),
                }
            }
            FirstResult::OtherEngine(_, None) => {
                request_log::stays(&self.request, &upstream);
                self.response = silent;
                StreamStep::More
            }
        }
    }

    /// Reads a silent engine's response while another engine is tried.
    ///
    /// The response is dropped when it ends, or when its run may no longer start.
    async fn first_result(&mut self, silent: &mut Option<UpstreamResponse>) -> FirstResult {
        // The stream of a run that is stopped for a handover ends early.
        let end_is_complete = self.handover.is_none();
        let Self {
            request, events, ..
        } = self;
        let mut ended = None;
        let attempt = request.next_response(events.last());
        let mut attempt = std::pin::pin!(attempt);
        loop {
            tokio::select! {
                biased;
                response = &mut attempt => {
                    return FirstResult::OtherEngine(response.map(Box::new), ended);
                }
                step = next_step(silent, events) => match step {
                    StreamStep::More => {}
                    StreamStep::End if end_is_complete => {
                        return FirstResult::SilentEngine(StreamStep::End);
                    }
                    step @ StreamStep::Events(_) => return FirstResult::SilentEngine(step),
                    step => {
                        *silent = None;
                        ended = Some(step);
                    }
                },
            }
        }
    }

    /// Moves a stream elsewhere whose run may no longer start at its engine.
    pub(super) async fn withdraw(&mut self) -> Result<(), ResponseAborted> {
        if let Some(response) = self.response.take() {
            let upstream = Arc::clone(&response.upstream);
            drop(response);
            let error = SendError::Withdrawn { sent: true };
            let handled = self.request.handle_send_error(&upstream, error, true);
            handled.map_err(|failure| ResponseAborted(failure.to_string()))?;
        }
        self.resume_with_prefill(REPLACED).await
    }

    /// Whether a stream that ended normally is complete; if not, the stream is resumed.
    ///
    /// If a handover was started, the engine's reply tells whether it stopped the run.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] when the stream is incomplete and can't be resumed.
    pub(super) async fn is_complete(&mut self) -> Result<bool, ResponseAborted> {
        let may_be_stopped = self.handover_state == HandoverState::MaybeStopped;
        let timeout = self.event_timeout(self.request.now());
        match self.take_handover_reply(timeout).await {
            HandoverReply::NotStopped if !may_be_stopped => Ok(true),
            HandoverReply::Stopped(run) => self.resume_stopped_run(run).await.map(|()| false),
            HandoverReply::NotStopped | HandoverReply::Unknown | HandoverReply::Unanswered => {
                let cause = "the run may have been stopped";
                self.resume_elsewhere(cause).await.map(|()| false)
            }
        }
    }

    /// Resumes the stream after the last event: with the run's KV cache, or by a new prefill.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] when the stream can't be resumed.
    pub(super) async fn resume(&mut self, cause: &str) -> Result<(), ResponseAborted> {
        let timeout = self.event_timeout(self.request.now());
        if let HandoverReply::Stopped(run) = self.take_handover_reply(timeout).await {
            return self.resume_stopped_run(run).await;
        }
        self.resume_elsewhere(cause).await
    }

    /// Resumes the stream by a new prefill, or with the run's KV cache if the engine's handover
    /// reply arrives after all.
    async fn resume_elsewhere(&mut self, cause: &str) -> Result<(), ResponseAborted> {
        // Dropping the response closes its connection, so that the former upstream stops the run
        // before another one starts.
        if let Some(response) = self.response.take() {
            let upstream = Arc::clone(&response.upstream);
            drop(response);
            self.request.penalize(&upstream);
            self.record_broken_connection(&upstream);
        }
        let Err(aborted) = self.resume_with_prefill(cause).await else {
            self.handover = None;
            return Ok(());
        };
        // The handover reply may still arrive and contain the handle of the KV cache.
        let left = self.request.deadline.since(self.request.now());
        match self.take_handover_reply(left).await {
            HandoverReply::Stopped(run) => self.resume_stopped_run(run).await,
            HandoverReply::NotStopped | HandoverReply::Unknown | HandoverReply::Unanswered => {
                Err(aborted)
            }
        }
    }

    /// Returns the engine's reply to the handover, waiting for it up to `timeout`.
    ///
    /// The handover is kept for another call if the engine hasn't replied.
    async fn take_handover_reply(&mut self, timeout: Millis) -> HandoverReply {
        if let Some(run) = self.stopped.take() {
            return HandoverReply::Stopped(run);
        }
        let Some(mut handover) = self.handover.take() else {
            return HandoverReply::NotStopped;
        };
        let reply = handover.reply(timeout).await;
        if matches!(reply, HandoverReply::Unanswered) {
            self.handover = Some(handover);
        }
        reply
    }

    /// Resumes the stream after the last event at another upstream, which prefills the prompt.
    pub(super) async fn resume_with_prefill(&mut self, cause: &str) -> Result<(), ResponseAborted> {
        if !self.request.may_retry() {
            return Err(ResponseAborted(cause.to_owned()));
        }
        self.request.frontend.count_retry("resumed");
        request_log::resumed(&self.request, self.events.last(), cause);
        let response = self
            .request
            .next_response(self.events.last())
            .await
            .map_err(|failure| ResponseAborted(format!("{cause}; then {failure}")))?;
        if !response.head.status.is_success() {
            return Err(ResponseAborted(format!(
                "{cause}; then status {}",
                response.head.status
            )));
        }
        self.switch_to(response);
        Ok(())
    }

    /// Continues the stream with another response, after the last event.
    pub(super) fn switch_to(&mut self, response: UpstreamResponse) {
        self.events.restart();
        self.reset_progress();
        self.penalized = false;
        self.handover_state = HandoverState::NotStarted;
        self.response = Some(response);
    }
}

/// Reads the next step of a response; waits forever if it was dropped.
async fn next_step(
    response: &mut Option<UpstreamResponse>,
    events: &mut EventSequence,
) -> StreamStep {
    let Some(response) = response else {
        return std::future::pending().await;
    };
    tokio::select! {
        biased;
        frame = response.body.frame() => {
            response.mark_started();
            events.receive(frame)
        }
        () = versions::expired(response.watch.as_ref()) => StreamStep::Withdrawn,
    }
}
