//! Sends one request with blamed prompt parts to find out whether they crash upstreams.

use std::sync::PoisonError;

use super::Quarantine;
use crate::clock::Millis;
use crate::poison::ledger::CrashLedger;
use crate::poison::subjects::Subjects;
use crate::poison::trial::{Place, Trials};
use crate::poison::verdict::Blame;

impl Quarantine {
    /// Whether this node may send a request on trial now.
    pub fn trial_is_due(&self, subjects: &Subjects) -> bool {
        self.with_trials(subjects, |trials, ledger, blame, place, now| {
            trials.is_due(ledger, blame, place, now)
        })
    }

    /// Takes this node's trial of the current turn; false if there is none.
    pub fn take_trial(&self, subjects: &Subjects) -> bool {
        let is_taken = self.with_trials(subjects, Trials::take);
        if is_taken {
            self.metrics.quarantine_trials.inc();
        }
        is_taken
    }

    /// Asks the trials about what blames a request; false if nothing does.
    fn with_trials(
        &self,
        subjects: &Subjects,
        ask: impl FnOnce(&mut Trials, &CrashLedger, &Blame, Place, Millis) -> bool,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.view.state();
        let Some(blame) = state.ledger.blame_of(subjects, now).cloned() else {
            return false;
        };
        let place = Place::among(&self.node, state.nodes.keys().map(|node| &**node), &blame);
        let mut trials = self.trials.lock().unwrap_or_else(PoisonError::into_inner);
        ask(&mut trials, &state.ledger, &blame, place, now)
    }
}
