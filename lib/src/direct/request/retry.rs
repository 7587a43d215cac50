//! Leave to send a request again, out of the budget of all nodes.

use super::ActiveRequest;
use crate::clock::Millis;
use crate::direct::upstream::Upstream;

impl ActiveRequest {
    /// Takes from the budget for repeats what sending a request elsewhere too costs, if that pays.
    ///
    /// An engine that lives has the request in its queue, and begins it sooner than another one
    /// at which it would be the last again: it is sent only where a free place is believed.
    pub(in crate::direct) fn reserve_elsewhere(&mut self, waits_at: &Upstream) -> bool {
        let is_plain = self.message.metadata.model.is_none();
        (is_plain || self.has_free_holder(waits_at)) && self.reserve_repeat()
    }

    /// Waits for `pause`, and on until the budget allows a further send; false if it doesn't
    /// before `until`.
    pub(in crate::direct) async fn wait_for_repeat(&self, pause: Millis, until: Millis) -> bool {
        while self.now() + pause < until {
            tokio::time::sleep(pause.duration()).await;
            if self.take_retry() {
                return true;
            }
        }
        false
    }

    /// Takes what the next send costs from the budget, unless it was taken already.
    pub(super) fn reserve_repeat(&mut self) -> bool {
        self.repeat_reserved = self.repeat_reserved || self.take_retry();
        self.repeat_reserved
    }

    /// Takes what one more send costs from the budget of all nodes.
    fn take_retry(&self) -> bool {
        self.frontend.take_retry(&self.pool)
    }
}
