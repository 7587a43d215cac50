//! Takes retries and hedges of a request from the budget shared by all nodes.

use super::ActiveRequest;
use crate::clock::Millis;
use crate::direct::request_log;
use crate::direct::retry_permit::{RetryPermit, RetryPermits};
use crate::direct::upstream::Upstream;

/// Engines that can resume a moved run: its target and its source.
const ENGINES_OF_A_MOVED_RUN: u32 = 2;

impl ActiveRequest {
    /// Reserves a send to a second upstream while the first one is silent, if it is worthwhile.
    ///
    /// An engine that is alive has the request in its queue and starts it sooner than another
    /// engine would that puts it at the end of its queue. So a request for a model is hedged only
    /// where an engine is believed to have a free slot.
    pub(in crate::direct) fn reserve_hedge(&mut self, waits_at: &Upstream) -> bool {
        self.can_hedge(waits_at) && self.reserve_retry()
    }

    /// Does the same for a moved run, with one of the retries that were taken for it if any is left.
    ///
    /// Such a retry needs no free slot elsewhere: the engine that was sent the run keeps it.
    pub(in crate::direct) fn reserve_moved_hedge(
        &mut self,
        waits_at: &Upstream,
        permits: &mut RetryPermits,
    ) -> bool {
        self.reserve_permit(permits);
        self.reserved_retry.is_some() || self.reserve_hedge(waits_at)
    }

    fn can_hedge(&self, waits_at: &Upstream) -> bool {
        let uses_no_model = self.message.metadata.model.is_none();
        uses_no_model || self.has_free_holder(waits_at)
    }

    /// Reserves a retry that was taken before for the next send, if there is one.
    pub(in crate::direct) fn reserve_permit(&mut self, permits: &mut RetryPermits) {
        if self.reserved_retry.is_none() {
            self.reserved_retry = permits.pop();
        }
    }

    /// Takes the retry that is reserved for the next send.
    pub(in crate::direct) fn take_reserved(&mut self) -> Option<RetryPermit> {
        self.reserved_retry.take()
    }

    /// Whether the budget allows one send to each engine that could resume a moved run.
    pub(in crate::direct) fn has_budget_to_move(&self) -> bool {
        let frontend = &self.frontend;
        frontend.has_retry_budget(&self.pool, ENGINES_OF_A_MOVED_RUN)
    }

    /// Takes one retry for each engine that could resume a moved run; `None` if the budget doesn't
    /// allow them.
    ///
    /// A run that has been stopped, and that may not be repeated, is lost if none of them may be
    /// asked.
    pub(in crate::direct) fn take_permits_to_move(&self) -> Option<RetryPermits> {
        (0..ENGINES_OF_A_MOVED_RUN)
            .map(|_| self.take_permit())
            .collect()
    }

    /// Takes a retry for a moved run; `None` if the budget is used up.
    pub(in crate::direct) fn take_permit(&self) -> Option<RetryPermit> {
        RetryPermit::take(&self.frontend, &self.pool)
    }

    /// Waits for `pause` at a time until a retry is reserved or the budget allows one; `None` if there
    /// is none before the deadline.
    pub(in crate::direct) async fn wait_for_permit(
        &mut self,
        pause: Millis,
    ) -> Option<RetryPermit> {
        loop {
            let left = self.deadline.since(self.now());
            tokio::time::sleep(pause.min(left).duration()).await;
            if self.now() >= self.deadline {
                return None;
            }
            let permit = self.take_reserved().or_else(|| self.take_permit());
            if permit.is_some() {
                return permit;
            }
        }
    }

    /// Takes the next send from the retry budget unless that was done already.
    pub(super) fn reserve_retry(&mut self) -> bool {
        if self.reserved_retry.is_none() {
            let usage = self.frontend.retry_usage(&self.pool);
            self.reserved_retry = self.take_permit();
            if self.reserved_retry.is_some() {
                request_log::retry_taken(self, usage);
            }
        }
        self.reserved_retry.is_some()
    }
}
