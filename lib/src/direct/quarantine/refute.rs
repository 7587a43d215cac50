//! Tells all nodes of prompt parts that crash reports name and that this node has seen run.
//!
//! A part that a node seldom sends is unknown to it, so it reports it after a crash. A node that has
//! just seen it run knows better.

use std::collections::HashSet;
use std::sync::{Arc, MutexGuard, PoisonError};

use super::{HARMLESS_PREFIX, Quarantine};
use crate::clock::Millis;
use crate::poison::fingerprint::Fingerprint;

/// Delay between one node and the next that clear the same part.
///
/// The next nodes soon see what one has written, so that only a few of hundreds write.
const STAGGER: Millis = Millis(250);

impl Quarantine {
    /// Clears the parts that this node refutes, after the nodes before it have had their turn.
    pub(super) fn tell_refutations(self: &Arc<Self>) {
        let refuted = self.view.state().ledger.refuted_parts();
        for part in refuted {
            if self.refuting().insert(part.clone()) {
                let quarantine = Arc::clone(self);
                tokio::spawn(async move { quarantine.tell_refutation(part).await });
            }
        }
    }

    async fn tell_refutation(&self, part: Fingerprint) {
        let rank = u64::try_from(self.rank(part.as_str())).unwrap_or(u64::MAX);
        tokio::time::sleep(Millis(STAGGER.0.saturating_mul(rank)).duration()).await;
        self.refuting().remove(&part);
        let refuted = self.view.state().ledger.take_refutation(&part);
        if let Some(revision) = refuted {
            log::info!(suspect = part.as_str(); "quarantine: prompt part ran without a crash");
            let name = format!("{HARMLESS_PREFIX}{part}");
            self.outbox.enqueue(&name, &revision);
        }
    }

    fn refuting(&self) -> MutexGuard<'_, HashSet<Fingerprint>> {
        self.refuting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
