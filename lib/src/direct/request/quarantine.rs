//! Stops requests that crash the upstreams that run them, and reports crashes.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::poison::ledger::Suspicion;

impl ActiveRequest {
    /// Fails if the request is quarantined; runs right before each send.
    ///
    /// A request that crashes every engine that starts it would be retried at the next engine, and
    /// its caller's next attempt would start over at any node: one such request crashed nearly all
    /// engines of a fleet, repeatedly.
    ///
    /// # Errors
    ///
    /// When upstreams crashed while they ran it; it is not sent again.
    pub(in crate::direct) fn check_quarantine(&self) -> Result<(), Failure> {
        let quarantine = &self.frontend.quarantine;
        if quarantine.is_empty() {
            return Ok(());
        }
        let checked = quarantine.check_send(self.message.fingerprint());
        checked.map_err(|failure| self.quarantine_failure(failure))
    }

    /// Returns the failure for the caller; its fate is unknown if the request may have run.
    fn quarantine_failure(&self, failure: Failure) -> Failure {
        match self.possible_runs {
            0 => failure,
            _ => Failure::new(Code::UpstreamLost, failure.detail),
        }
    }

    /// Waits until the request is quarantined while it is in flight.
    pub(super) async fn wait_until_quarantined(&self) -> Failure {
        loop {
            let changed = self.frontend.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let quarantine = &self.frontend.quarantine;
            if !quarantine.is_empty()
                && let Err(failure) = quarantine.check(self.message.fingerprint())
            {
                return self.quarantine_failure(failure);
            }
            changed.await;
        }
    }

    /// Records that the connection to an upstream broke while the request was in flight there.
    pub(in crate::direct) fn record_broken_connection(
        &self,
        upstream: &Arc<Upstream>,
        suspicion: Suspicion,
    ) {
        let fingerprint = self.message.fingerprint().clone();
        log::info!(
            request = self.id(),
            suspect = fingerprint.as_str(),
            parts = self.message.metadata.shared_parts().as_str(),
            upstream = &*upstream.incarnation,
            sign = suspicion.name();
            "request: broke"
        );
        self.frontend
            .quarantine
            .record_broken_connection(upstream, fingerprint, suspicion);
    }

    /// Records that an upstream ran the request without crashing.
    pub(in crate::direct) fn record_harmless_run(&self) {
        self.frontend
            .quarantine
            .record_harmless_run(self.message.fingerprint());
    }
}
