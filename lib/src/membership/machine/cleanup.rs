//! Removal of stale keys that former nodes and retired upstreams left at the key-value
//! service.

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::ports::{Condition, Transaction, Write};

/// Interval of checks for stale keys.
const CLEANUP_INTERVAL: Millis = Millis::from_secs(60);

impl Machine {
    // Removes one stale key; registrations of former nodes would otherwise accumulate.
    pub(super) fn remove_stale_key(&mut self, now: Millis) {
        if now < self.next_cleanup || !self.is_watcher() {
            return;
        }
        self.next_cleanup = now + self.jitter(CLEANUP_INTERVAL);
        let stale = self.stale_registration().or_else(|| self.stale_claim());
        if let Some(transaction) = stale {
            self.start_call(now, Purpose::Cleanup, Call::Commit(transaction));
        }
    }

    fn stale_registration(&self) -> Option<Transaction> {
        let stale = self.table.registrations().find(|record| {
            let identity = &record.identity;
            let live = self.table.live_record(&identity.name);
            live.is_none() && !self.table.claims().any(|claim| claim.is_owned_by(identity))
        })?;
        let identity = &stale.identity;
        let key = self.keys.registration(&identity.name, identity.incarnation);
        Some(Transaction {
            conditions: vec![
                Condition::Unchanged(key.clone(), stale.revision),
                Condition::Absent(self.keys.node(&identity.name)),
            ],
            writes: vec![Write::Delete(key)],
        })
    }

    fn stale_claim(&self) -> Option<Transaction> {
        let stale = self.table.claims().find(|claim| {
            claim.is_free() && !self.upstream_regions.contains_key(&claim.upstream)
        })?;
        let key = self.keys.claim(&stale.upstream);
        Some(Transaction {
            conditions: vec![Condition::Unchanged(key.clone(), stale.token)],
            writes: vec![Write::Delete(key)],
        })
    }
}
