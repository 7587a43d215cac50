//! What becomes of a request by how its sends end.

use std::sync::Arc;

use super::{ActiveRequest, LOOK};
use crate::clock::Millis;
use crate::direct::attempt::{Answer, Miss};
use crate::direct::record;
use crate::direct::sends::{FinishedSend, PendingSends};
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::ledger::Sign;

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
    ) -> Result<Option<Answer>, Failure> {
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
    fn judge(&mut self, answer: Answer, is_last: bool) -> Option<Answer> {
        if !answer.head.status.is_server_error() {
            answer.upstream.record_success();
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
    pub(in crate::direct) fn missed(
        &mut self,
        upstream: &Arc<Upstream>,
        miss: Miss,
        is_last: bool,
    ) -> Result<(), Failure> {
        record::missed(self, upstream, &miss);
        self.tried.push(Name::clone(&upstream.incarnation));
        if matches!(miss, Miss::Rejected { replaced: true, .. }) {
            self.replaced_at.push(Name::clone(&upstream.incarnation));
        }
        match miss {
            Miss::Unsent(told) => self.was_not_sent(upstream, &told),
            Miss::Rejected { status, .. } => self.was_rejected(upstream, status),
            Miss::Withdrawn { sent } => self.was_withdrawn(sent),
            Miss::Lost(code, told) => self.left_unannounced(upstream, code, told, is_last),
        }
    }

    fn was_not_sent(&mut self, upstream: &Upstream, told: &str) -> Result<(), Failure> {
        self.sent -= 1;
        upstream.record_unreachable(self.now());
        self.unsent += 1;
        self.gate.count_retry("unsent");
        if self.unsent >= MOST_UNSENT {
            return Err(self.refusal(Code::ConnectFailed, told));
        }
        Ok(())
    }

    fn was_rejected(&mut self, upstream: &Upstream, status: u16) -> Result<(), Failure> {
        self.sent -= 1;
        self.rejected += 1;
        self.gate.count_retry("rejected");
        if let Some(adapter) = self.message.call.adapter()
            && status == 421
        {
            upstream.remove_adapter(adapter);
        }
        if self.rejected >= MOST_REJECTED {
            return Err(self.refusal(Code::UpstreamRefused, "upstreams are full"));
        }
        Ok(())
    }

    fn was_withdrawn(&mut self, sent: bool) -> Result<(), Failure> {
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

    fn left_unannounced(
        &mut self,
        upstream: &Arc<Upstream>,
        code: Code,
        told: String,
        is_last: bool,
    ) -> Result<(), Failure> {
        if code == Code::UpstreamLost {
            self.broke(upstream, Sign::Possible);
        }
        upstream.record_failure(self.now());
        if !self.may_go_on() {
            return Err(Failure::new(code, told));
        }
        if is_last {
            self.gate.count_retry("lost");
        }
        Ok(())
    }

    fn others(&self) -> bool {
        self.gate
            .view
            .pool(&self.pool)
            .iter()
            .any(|upstream| upstream.is_ready() && !self.tried.contains(&upstream.incarnation))
    }

    /// A refusal that is true: nothing runs, or what ran is said to be unknown.
    pub(in crate::direct) fn refusal(&self, code: Code, told: &str) -> Failure {
        if self.sent > 0 {
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
        self.message.kind.repeatable()
            && self.sent < self.route.attempts
            && self.now() + LOOK < self.until
    }
}
