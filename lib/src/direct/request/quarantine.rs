//! Stops requests that crash the upstreams that run them, and reports crashes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::ActiveRequest;
use crate::clock::Millis;
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::poison::report::{Suspect, Suspicion};

impl ActiveRequest {
    /// Fails if the request is quarantined and can't be sent on trial either.
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
        if quarantine.is_empty() || self.is_trial_unsent() {
            return Ok(());
        }
        let subjects = self.message.subjects();
        match quarantine.check_send(subjects) {
            Err(_) if self.may_be_tried() && quarantine.trial_is_due(subjects) => Ok(()),
            checked => checked.map_err(|failure| self.quarantine_failure(failure)),
        }
    }

    /// Fails if the request is quarantined; runs right before each send.
    ///
    /// # Errors
    ///
    /// As [`check_quarantine`](Self::check_quarantine), and when another request took the trial.
    pub(in crate::direct) fn pass_quarantine(&self) -> Result<(), Failure> {
        let quarantine = &self.frontend.quarantine;
        if quarantine.is_empty() || self.is_trial_unsent() {
            return Ok(());
        }
        let subjects = self.message.subjects();
        match quarantine.check_send(subjects) {
            Err(_) if self.may_be_tried() && quarantine.take_trial(subjects) => {
                log::info!(
                    request = self.id(),
                    parts = subjects.part_ids().as_str();
                    "request: sent on trial"
                );
                self.on_trial.store(true, Ordering::Relaxed);
                Ok(())
            }
            checked => checked.map_err(|failure| self.quarantine_failure(failure)),
        }
    }

    /// Whether the request may be sent on trial: once, and not if it may have run.
    fn may_be_tried(&self) -> bool {
        self.possible_runs == 0 && !self.is_on_trial()
    }

    fn is_trial_unsent(&self) -> bool {
        self.possible_runs == 0 && self.is_on_trial()
    }

    fn is_on_trial(&self) -> bool {
        self.on_trial.load(Ordering::Relaxed)
    }

    /// Returns the failure for the caller; its fate is unknown if the request may have run.
    fn quarantine_failure(&self, failure: Failure) -> Failure {
        match self.possible_runs {
            0 => failure,
            _ => Failure::new(Code::UpstreamLost, failure.detail),
        }
    }

    /// Waits until the request is quarantined while it is in flight; forever if it is on trial.
    pub(super) async fn wait_until_quarantined(&self) -> Failure {
        loop {
            let changed = self.frontend.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let quarantine = &self.frontend.quarantine;
            if !quarantine.is_empty()
                && !self.is_on_trial()
                && let Err(failure) = quarantine.check(self.message.subjects())
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
        let subjects = self.message.subjects();
        log::info!(
            request = self.id(),
            suspect = subjects.request.as_str(),
            parts = subjects.part_ids().as_str(),
            upstream = &*upstream.incarnation,
            sign = suspicion.name();
            "request: broke"
        );
        let suspect = Suspect {
            trial: self.is_on_trial(),
            ..Suspect::new(subjects, suspicion)
        };
        let quarantine = &self.frontend.quarantine;
        quarantine.record_broken_connection(upstream, suspect);
    }

    /// Records that an upstream ran the request without crashing, from its first event on.
    pub(in crate::direct) fn record_harmless_run(&self, began_at: Millis) {
        let quarantine = &self.frontend.quarantine;
        quarantine.record_harmless_run(self.message.subjects(), began_at);
    }
}
