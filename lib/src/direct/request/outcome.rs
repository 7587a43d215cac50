//! Handles finished sends: returns the response, retries, or fails the request.

use std::sync::Arc;

use super::{ActiveRequest, SELECTION_RETRY_PAUSE};
use crate::clock::Millis;
use crate::direct::attempt::{SendError, UpstreamResponse};
use crate::direct::request_log;
use crate::direct::sends::{FinishedSend, PendingSends};
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::report::Suspicion;

/// Undelivered sends after which a request fails.
const MAX_UNDELIVERED: u32 = 4;

/// Rejections by upstreams after which a request fails.
const MAX_REJECTIONS: u32 = 3;

/// `Retry-After` of refused requests.
const MIN_RETRY_AFTER: Millis = Millis(250);

impl ActiveRequest {
    /// Handles a finished send; returns `None` if the request continues.
    pub(super) fn handle_finished_send(
        &mut self,
        sends: &PendingSends,
        sent: FinishedSend,
    ) -> Result<Option<UpstreamResponse>, Failure> {
        let is_last = sends.is_empty();
        match sent.result {
            Ok(response) => {
                self.sent_at = sent.at;
                Ok(self.accept_or_retry(response, is_last))
            }
            Err(error) => match self.handle_send_error(&sent.upstream, error, is_last) {
                Err(failure) if is_last => Err(failure),
                // Another send is still in flight.
                _ => Ok(None),
            },
        }
    }

    /// Returns the response, or keeps a server error for later if the request can be retried or
    /// is still in flight at another upstream.
    fn accept_or_retry(
        &mut self,
        response: UpstreamResponse,
        is_last: bool,
    ) -> Option<UpstreamResponse> {
        if !response.head.status.is_server_error() {
            response.upstream.record_success();
            return Some(response);
        }
        self.penalize(&response.upstream);
        if is_last {
            if !(self.may_retry() && self.has_untried_upstream() && self.reserve_retry()) {
                return Some(response);
            }
            self.frontend.count_retry("upstream_error");
        }
        self.failed_response = Some(Box::new(response));
        None
    }

    /// Handles a send that got no response.
    ///
    /// # Errors
    ///
    /// The failure for the caller, which applies only if no other send is in flight.
    pub(in crate::direct) fn handle_send_error(
        &mut self,
        upstream: &Arc<Upstream>,
        error: SendError,
        is_last: bool,
    ) -> Result<(), Failure> {
        request_log::send_failed(self, upstream, &error);
        self.tried.push(Name::clone(&upstream.incarnation));
        if matches!(error, SendError::Rejected { replaced: true, .. }) {
            self.replacing_upstreams
                .push(Name::clone(&upstream.incarnation));
        }
        match error {
            SendError::Unsent(cause) => {
                upstream.record_unreachable(self.now());
                self.handle_unsent(&cause, "unsent")
            }
            SendError::AtLimit(cause) => self.handle_unsent(&cause, "at_limit"),
            SendError::Rejected {
                status, counted, ..
            } => self.handle_rejection(upstream, status, counted),
            SendError::Withdrawn { sent } => self.handle_withdrawal(sent),
            SendError::Lost(code, cause) => self.handle_loss(upstream, code, cause, is_last),
        }
    }

    fn handle_unsent(&mut self, cause: &str, reason: &str) -> Result<(), Failure> {
        self.possible_runs -= 1;
        self.undelivered += 1;
        self.frontend.count_retry(reason);
        if self.undelivered >= MAX_UNDELIVERED {
            return Err(self.refusal(Code::ConnectFailed, cause));
        }
        Ok(())
    }

    fn handle_rejection(
        &mut self,
        upstream: &Upstream,
        status: u16,
        counted: bool,
    ) -> Result<(), Failure> {
        self.possible_runs -= 1;
        self.rejections += 1;
        self.frontend.count_retry("rejected");
        self.frontend.count_upstream_rejection(status, counted);
        if let Some(adapter) = self.message.metadata.adapter()
            && status == 421
        {
            upstream.remove_adapter(adapter);
        }
        if self.rejections >= MAX_REJECTIONS {
            return Err(self.refusal(Code::UpstreamRefused, "upstreams are full"));
        }
        Ok(())
    }

    fn handle_withdrawal(&mut self, sent: bool) -> Result<(), Failure> {
        self.frontend.count_retry("replaced");
        if !sent {
            self.possible_runs -= 1;
            return Ok(());
        }
        if self.may_retry() {
            return Ok(());
        }
        let cause = "a newer version of the adapter was declared while it waited";
        Err(Failure::new(Code::VersionReplaced, cause))
    }

    fn handle_loss(
        &mut self,
        upstream: &Arc<Upstream>,
        code: Code,
        cause: String,
        is_last: bool,
    ) -> Result<(), Failure> {
        if code == Code::UpstreamLost {
            self.record_broken_connection(upstream, Suspicion::Possible);
        }
        upstream.record_failure(self.now());
        if !self.may_retry() {
            return Err(Failure::new(code, cause));
        }
        if is_last {
            self.frontend.count_retry("lost");
        }
        Ok(())
    }

    fn has_untried_upstream(&self) -> bool {
        self.candidates()
            .iter()
            .any(|upstream| upstream.is_ready() && !self.tried.contains(&upstream.incarnation))
    }

    /// Returns a failure with `code`, or one whose fate is unknown if the request may have run.
    pub(in crate::direct) fn refusal(&self, code: Code, cause: &str) -> Failure {
        if self.possible_runs > 0 {
            return Failure::new(Code::UpstreamLost, cause);
        }
        Failure::new(code, cause).retry_after(MIN_RETRY_AFTER)
    }

    /// Records a failure of an upstream that was silent, broke off a response or returned an error.
    pub fn penalize(&mut self, upstream: &Upstream) {
        upstream.record_failure(self.now());
        self.tried.push(Name::clone(&upstream.incarnation));
    }

    /// Whether an interrupted stream may be resumed, or a failed request retried, elsewhere.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        self.message.kind.is_retryable()
            && self.possible_runs < self.route.max_attempts
            && self.now() + SELECTION_RETRY_PAUSE < self.deadline
    }
}
