//! Takes retries and hedges of a request from the budget shared by all nodes.

use super::ActiveRequest;
use crate::clock::Millis;
use crate::direct::upstream::Upstream;

impl ActiveRequest {
    /// Reserves a send to a second upstream while the first one is silent, if it is worthwhile.
    ///
    /// An engine that is alive has the request in its queue and starts it sooner than another
    /// engine would that puts it at the end of its queue. So a request for a model is hedged only
    /// where an engine is believed to have a free slot.
    pub(in crate::direct) fn reserve_hedge(&mut self, waits_at: &Upstream) -> bool {
        let uses_no_model = self.message.metadata.model.is_none();
        (uses_no_model || self.has_free_holder(waits_at)) && self.reserve_retry()
    }

    /// Waits for `pause` at a time until the budget allows a retry; false if it doesn't before
    /// `until`.
    pub(in crate::direct) async fn wait_for_retry(&self, pause: Millis, until: Millis) -> bool {
        while self.now() + pause < until {
            tokio::time::sleep(pause.duration()).await;
            if self.take_retry() {
                return true;
            }
        }
        false
    }

    /// Takes the next send from the retry budget unless that was done already.
    pub(super) fn reserve_retry(&mut self) -> bool {
        self.retry_reserved = self.retry_reserved || self.take_retry();
        self.retry_reserved
    }

    /// Takes one retry from the budget of all nodes.
    fn take_retry(&self) -> bool {
        self.frontend.take_retry(&self.pool, self.id())
    }
}
