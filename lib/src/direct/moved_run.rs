//! Resumes a run that was stopped for a handover, at an engine that holds its KV cache or can fetch
//! it.
//!
//! An engine that was sent the run and is silent may still continue it. So the send is given up only
//! once another engine has started to resume the stream. See
//! docs/design/0010-leaving-a-silent-engine.md.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::attempt::{SendError, UpstreamResponse};
use super::handover::StoppedRun;
use super::relay::{Relay, ResponseAborted};
use super::request::SELECTION_RETRY_PAUSE;
use super::request_log;
use super::retry_permit::{RetryPermit, RetryPermits};
use super::target::Target;
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// Longest pause before an engine that rejected a moved run is asked again; each time takes a retry.
const MAX_REJECTED_PAUSE: Millis = Millis(1_000);

/// Cause logged for a moved run that no engine has room for.
const NO_FREE_SLOT: &str = "no engine has a free slot for the moved run";

/// The response to a moved run that was sent, once its head has arrived.
pub(super) type PendingResponse = BoxFuture<'static, Result<UpstreamResponse, SendError>>;

/// What a moved run that was sent led to.
enum Outcome {
    /// The engine's response, or why there is none.
    Response(Result<Box<UpstreamResponse>, SendError>),
    /// Another engine's response, and why the engine itself has lost the run.
    Elsewhere(Box<UpstreamResponse>, SendError),
}

impl Relay {
    /// Resumes a stopped run at an engine that holds its KV cache or can fetch it.
    ///
    /// Both engines can be full at the moment, and the KV cache is kept for seconds. So they are asked
    /// again until the deadline, unless a new prefill is possible.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] when the stream can't be resumed.
    pub(super) async fn resume_stopped_run(
        &mut self,
        mut run: Box<StoppedRun>,
    ) -> Result<(), ResponseAborted> {
        self.response = None;
        let mut pause = self.max_event_gap().max(SELECTION_RETRY_PAUSE);
        let mut permits = std::mem::take(&mut run.permits);
        for (asked, target) in run.targets.iter().cycle().enumerate() {
            let is_first_round = asked < run.targets.len();
            if !is_first_round && asked.is_multiple_of(run.targets.len()) {
                self.request.reserve_permit(&mut permits);
                if self.resume_with_prefill(NO_FREE_SLOT).await.is_ok() {
                    return Ok(());
                }
            }
            let mut permit = None;
            if is_first_round {
                permit = permits.pop().or_else(|| self.request.take_reserved());
            }
            if permit.is_none() {
                permit = self.request.wait_for_permit(pause).await;
                pause = Millis(pause.0 * 2).min(MAX_REJECTED_PAUSE);
            }
            let Some(permit) = permit else {
                return Err(ResponseAborted(NO_FREE_SLOT.to_owned()));
            };
            let resumed = self.resume_moved_run(&run, target, permit, &mut permits);
            match resumed.await {
                Ok(()) => return Ok(()),
                // No engine may use the KV cache any more: the run may have resumed there, or its
                // version of the adapter may no longer start.
                Err(error) if error.may_run() || matches!(error, SendError::Withdrawn { .. }) => {
                    self.request.reserve_permit(&mut permits);
                    return self.resume_with_prefill("the moved run was lost").await;
                }
                Err(_) => {}
            }
        }
        Err(ResponseAborted("no engine holds the KV cache".to_owned()))
    }

    /// Sends a stopped run to an engine, and continues the stream with its response, or with that of
    /// another engine if this one is silent.
    ///
    /// The retry that pays for the send is made unless the run continues, or nothing was sent.
    /// `unused` are the retries taken for this run that no send has used yet.
    async fn resume_moved_run(
        &mut self,
        run: &StoppedRun,
        target: &Target,
        mut permit: RetryPermit,
        unused: &mut RetryPermits,
    ) -> Result<(), SendError> {
        let last = self.events.last();
        let pending = self.request.send_moved_run(target, run, last).await?;
        permit.mark_made();
        self.penalized = false;
        let sent_at = self.request.now();
        let outcome = self.moved_response(pending, target, unused).await;
        let took = self.request.now().since(sent_at);
        let (response, elsewhere) = match outcome {
            Outcome::Response(response) => (response, None),
            Outcome::Elsewhere(response, error) => (Err(error), Some(response)),
        };
        let error = match response {
            Ok(response) => {
                request_log::run_moved(&self.request, &target.upstream, last, None, took);
                permit.give_back();
                self.request.timing.handovers += 1;
                self.switch_to(*response);
                return Ok(());
            }
            Err(error) => error,
        };
        request_log::run_moved(&self.request, &target.upstream, last, Some(&error), took);
        if matches!(error, SendError::Rejected { .. }) || error.may_run() {
            self.request.frontend.count_retry("moved");
        } else {
            permit.give_back();
        }
        let response = elsewhere.ok_or_else(|| error.clone())?;
        self.request.frontend.count_retry("resumed");
        request_log::resumed(&self.request, last, &error.cause());
        self.switch_to(*response);
        Ok(())
    }

    /// Waits for the response to a moved run; while the engine is silent, tries others.
    async fn moved_response(
        &mut self,
        mut pending: PendingResponse,
        target: &Target,
        unused: &mut RetryPermits,
    ) -> Outcome {
        let upstream = &target.upstream;
        let sent_at = self.request.now();
        loop {
            let timeout = self.event_timeout(self.request.now());
            let response = tokio::time::timeout(timeout.duration(), &mut pending).await;
            if let Ok(response) = response {
                return Outcome::Response(response.map(Box::new));
            }
            let silence = self.request.now().since(sent_at);
            if self.request.now() >= self.request.deadline {
                let cause = format!("no answer within {silence}");
                return Outcome::Response(Err(SendError::Lost(Code::ExpiredRunning, cause)));
            }
            if !self.request.may_retry() || !self.request.reserve_moved_hedge(upstream, unused) {
                continue;
            }
            if !std::mem::replace(&mut self.penalized, true) {
                self.request.penalize(upstream);
            }
            self.request.in_flight_at = Some(Arc::clone(&upstream.incarnation));
            let (moved, elsewhere) = self.first_response(&mut pending).await;
            self.request.in_flight_at = None;
            match (moved, elsewhere) {
                (Some(Ok(response)), _) => return Outcome::Response(Ok(Box::new(response))),
                (moved, Some(Ok(response))) if response.head.status.is_success() => {
                    let cause = format!("nothing for {silence}");
                    let error = moved.and_then(Result::err);
                    let error = error.unwrap_or(SendError::Lost(Code::ExpiredRunning, cause));
                    return Outcome::Elsewhere(Box::new(response), error);
                }
                (Some(Err(error)), _) => return Outcome::Response(Err(error)),
                (None, _) => request_log::stays(&self.request, upstream),
            }
        }
    }

    /// Tries to resume the stream by a new prefill beside a moved run; returns the results of both
    /// that were known when the first one had a response, or both had failed.
    async fn first_response(
        &mut self,
        pending: &mut PendingResponse,
    ) -> (
        Option<Result<UpstreamResponse, SendError>>,
        Option<Result<UpstreamResponse, Failure>>,
    ) {
        let attempt = self.request.next_response(self.events.last());
        let mut attempt = std::pin::pin!(attempt);
        tokio::select! {
            biased;
            moved = pending => match moved {
                Ok(_) => (Some(moved), None),
                Err(_) => (Some(moved), Some(attempt.await)),
            },
            elsewhere = &mut attempt => (None, Some(elsewhere)),
        }
    }
}
