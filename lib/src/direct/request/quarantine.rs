//! Whether a request may be sent at all, by what became of upstreams that ran it.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::poison::ledger::Suspicion;

impl ActiveRequest {
    /// Whether the request may be sent to an upstream, for the first time or again.
    ///
    /// A request that ends every engine that begins to run it goes on at the next one by itself,
    /// and its caller's next attempt starts anew at any node: one request ended nearly all engines
    /// of a fleet, again and again. All that is sent passes this check, right before it is.
    ///
    /// # Errors
    ///
    /// When upstreams ended under it; nothing more of it is sent.
    pub(in crate::direct) fn check_quarantine(&self) -> Result<(), Failure> {
        let quarantine = &self.frontend.quarantine;
        if quarantine.is_empty() {
            return Ok(());
        }
        let checked = quarantine.check_send(self.message.fingerprint());
        checked.map_err(|failure| self.suspected(failure))
    }

    fn suspected(&self, failure: Failure) -> Failure {
        match self.possible_runs {
            0 => failure,
            _ => Failure::new(Code::UpstreamLost, failure.detail),
        }
    }

    /// Waits until the request may no longer stay where it was sent.
    pub(super) async fn quarantined(&self) -> Failure {
        loop {
            let changed = self.frontend.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let quarantine = &self.frontend.quarantine;
            if !quarantine.is_empty()
                && let Err(failure) = quarantine.check(self.message.fingerprint())
            {
                return self.suspected(failure);
            }
            changed.await;
        }
    }

    /// Takes in that the connection to an upstream broke while the request stood there.
    pub(in crate::direct) fn broke(&self, upstream: &Arc<Upstream>, sign: Suspicion) {
        let fingerprint = self.message.fingerprint().clone();
        log::info!(
            request = self.id(),
            suspect = fingerprint.as_str(),
            upstream = &*upstream.incarnation,
            sign = sign.name();
            "request: broke"
        );
        self.frontend
            .quarantine
            .record_broken_connection(upstream, fingerprint, sign);
    }

    /// Takes in that an upstream ran the request without harm.
    pub(in crate::direct) fn survived(&self) {
        self.frontend
            .quarantine
            .record_harmless_run(self.message.fingerprint());
    }
}
