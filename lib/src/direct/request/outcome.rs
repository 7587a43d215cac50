//! What becomes of a request by how its sends end.

use std::sync::Arc;

use super::{ActiveRequest, SELECTION_RETRY_PAUSE};
use crate::clock::Millis;
use crate::direct::attempt::{SendError, UpstreamResponse};
use crate::direct::request_log;
use crate::direct::sends::{FinishedSend, PendingSends};
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::ledger::Suspicion;

/// Sends that reached no upstream, after which a request is given up.
const MOST_UNSENT: u32 = 4;

/// Sends that upstreams rejected, after which a request is given up.
const MOST_REJECTED: u32 = 3;

/// When a refused caller should come back at the earliest.
const COME_BACK: Millis = Millis(250);

impl ActiveRequest {
    /// Takes in how a send ended; none if the request goes on.
    pub(super) fn conclude(
        &mut self,
        sends: &PendingSends,
        sent: FinishedSend,
    ) -> Result<Option<UpstreamResponse>, Failure> {
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

    /// Takes an answer, or sets a failed one aside if the request may be repeated or still waits
    /// at another upstream.
    fn judge(&mut self, answer: UpstreamResponse, is_last: bool) -> Option<UpstreamResponse> {
        if !answer.head.status.is_server_error() {
            answer.upstream.record_success();
            return Some(answer);
        }
        self.blame(&answer.upstream);
        if is_last {
            if !(self.may_go_on() && self.others() && self.reserve_repeat()) {
                return Some(answer);
            }
            self.frontend.count_retry("upstream_error");
        }
        self.failed = Some(Box::new(answer));
        None
    }

    /// Takes in that a send gave no answer.
    ///
    /// # Errors
    ///
    /// The failure that the caller gets where nothing else is on its way.
    pub(in crate::direct) fn missed(
        &mut self,
        upstream: &Arc<Upstream>,
        miss: SendError,
        is_last: bool,
    ) -> Result<(), Failure> {
        request_log::missed(self, upstream, &miss);
        self.tried.push(Name::clone(&upstream.incarnation));
        if matches!(miss, SendError::Rejected { replaced: true, .. }) {
            self.replacing_upstreams
                .push(Name::clone(&upstream.incarnation));
        }
        match miss {
            SendError::Unsent(told) => self.was_not_sent(upstream, &told),
            SendError::Rejected { status, .. } => self.was_rejected(upstream, status),
            SendError::Withdrawn { sent } => self.was_withdrawn(sent),
            SendError::Lost(code, told) => self.left_unannounced(upstream, code, told, is_last),
        }
    }

    fn was_not_sent(&mut self, upstream: &Upstream, told: &str) -> Result<(), Failure> {
        self.possible_runs -= 1;
        upstream.record_unreachable(self.now());
        self.undelivered += 1;
        self.frontend.count_retry("unsent");
        if self.undelivered >= MOST_UNSENT {
            return Err(self.refusal(Code::ConnectFailed, told));
        }
        Ok(())
    }

    fn was_rejected(&mut self, upstream: &Upstream, status: u16) -> Result<(), Failure> {
        self.possible_runs -= 1;
        self.rejections += 1;
        self.frontend.count_retry("rejected");
        if let Some(adapter) = self.message.metadata.adapter()
            && status == 421
        {
            upstream.remove_adapter(adapter);
        }
        if self.rejections >= MOST_REJECTED {
            return Err(self.refusal(Code::UpstreamRefused, "upstreams are full"));
        }
        Ok(())
    }

    fn was_withdrawn(&mut self, sent: bool) -> Result<(), Failure> {
        self.frontend.count_retry("replaced");
        if !sent {
            self.possible_runs -= 1;
            return Ok(());
        }
        if self.may_go_on() {
            return Ok(());
        }
        let told = "a newer version of the adapter was declared while it waited";
        Err(Failure::new(Code::VersionReplaced, told))
    }

    fn left_unannounced(
        &mut self,
        upstream: &Arc<Upstream>,
        code: Code,
        told: String,
        is_last: bool,
    ) -> Result<(), Failure> {
        if code == Code::UpstreamLost {
            self.broke(upstream, Suspicion::Possible);
        }
        upstream.record_failure(self.now());
        if !self.may_go_on() {
            return Err(Failure::new(code, told));
        }
        if is_last {
            self.frontend.count_retry("lost");
        }
        Ok(())
    }

    fn others(&self) -> bool {
        self.frontend
            .view
            .pool(&self.pool)
            .iter()
            .any(|upstream| upstream.is_ready() && !self.tried.contains(&upstream.incarnation))
    }

    /// A refusal that is true: nothing runs, or what ran is said to be unknown.
    pub(in crate::direct) fn refusal(&self, code: Code, told: &str) -> Failure {
        if self.possible_runs > 0 {
            return Failure::new(Code::UpstreamLost, told);
        }
        Failure::new(code, told).retry_after(COME_BACK)
    }

    /// Notes that an upstream is silent, broke an answer off, or says that it failed.
    pub fn blame(&mut self, upstream: &Upstream) {
        upstream.record_failure(self.now());
        self.tried.push(Name::clone(&upstream.incarnation));
    }

    /// Whether a broken answer may be continued, or a failed one repeated, elsewhere.
    #[must_use]
    pub fn may_go_on(&self) -> bool {
        self.message.kind.is_retryable()
            && self.possible_runs < self.route.max_attempts
            && self.now() + SELECTION_RETRY_PAUSE < self.deadline
    }
}
