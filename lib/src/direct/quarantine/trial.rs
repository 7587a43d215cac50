//! Sends one request with blamed prompt parts to find out whether they crash upstreams.
//!
//! Whether it did is part of the report of the crash, which all nodes read, also those that start
//! later; see [`poison::trial`](crate::poison::trial).

use std::collections::HashMap;
use std::sync::{MutexGuard, PoisonError};

use super::Quarantine;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::subjects::Subjects;
use crate::poison::trial::{current_turn, is_turn_of};

/// Turns that are remembered; the map is emptied when there are more.
const MAX_TURNS: usize = 256;

impl Quarantine {
    /// Whether this node may send a request on trial now.
    pub fn trial_is_due(&self, subjects: &Subjects) -> bool {
        self.due_trial(subjects).is_some()
    }

    /// Takes this node's trial of the current turn; false if there is none.
    pub fn take_trial(&self, subjects: &Subjects) -> bool {
        let Some((blamed, turn)) = self.due_trial(subjects) else {
            return false;
        };
        let mut trials = self.trials();
        if trials.len() >= MAX_TURNS {
            trials.clear();
        }
        trials.insert(blamed, turn);
        self.metrics.quarantine_trials.inc();
        true
    }

    /// Returns what is blamed and the turn, if the turn is this node's and its trial is left.
    fn due_trial(&self, subjects: &Subjects) -> Option<(Fingerprint, u64)> {
        let (blamed, turn, nodes) = self.untried_blame(subjects)?;
        let is_left = self.trials().get(&blamed) != Some(&turn);
        let is_own = is_turn_of(turn, self.rank(blamed.as_str()), nodes);
        (is_own && is_left).then_some((blamed, turn))
    }

    /// Returns what is blamed if only prompt parts are and no trial failed, with the turn and the
    /// number of nodes.
    fn untried_blame(&self, subjects: &Subjects) -> Option<(Fingerprint, u64, usize)> {
        let now = self.clock.now();
        let mut state = self.view.state();
        let nodes = state.nodes.len();
        let blame = state.ledger.blame_of(subjects, now)?;
        if blame.trial_failed || !blame.is_of_parts() {
            return None;
        }
        let blamed = blame.subject.clone();
        let reported_at = state.ledger.last_reported_at(&blamed)?;
        Some((blamed, current_turn(reported_at, now)?, nodes))
    }

    fn trials(&self) -> MutexGuard<'_, HashMap<Fingerprint, u64>> {
        self.trials.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
