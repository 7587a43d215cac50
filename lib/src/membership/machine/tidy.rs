//! Removing what ended nodes and retired upstreams left at the service.

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::ports::{Condition, Transaction, Write};

/// Time between looks for what ended nodes left behind.
const TIDY: Millis = Millis::from_secs(60);

impl Machine {
    // Registrations of nodes that are gone and own nothing would pile up.
    pub(super) fn tidy(&mut self, now: Millis) {
        if now < self.next_tidy || !self.watcher() {
            return;
        }
        self.next_tidy = now + self.jitter(TIDY);
        let leftover = self
            .leftover_registration()
            .or_else(|| self.leftover_claim());
        if let Some(transaction) = leftover {
            self.call(now, Purpose::Tidy, Call::Commit(transaction));
        }
    }

    fn leftover_registration(&self) -> Option<Transaction> {
        let left = self.table.registrations().find(|record| {
            let start = &record.identity;
            let stands = self.table.live_record(&start.name);
            stands.is_none() && !self.table.claims().any(|claim| claim.is_owned_by(start))
        })?;
        let start = &left.identity;
        let key = self.keys.registration(&start.name, start.incarnation);
        Some(Transaction {
            conditions: vec![
                Condition::Unchanged(key.clone(), left.revision),
                Condition::Absent(self.keys.node(&start.name)),
            ],
            writes: vec![Write::Delete(key)],
        })
    }

    fn leftover_claim(&self) -> Option<Transaction> {
        let left = self
            .table
            .claims()
            .find(|claim| claim.is_free() && !self.regions.contains_key(&claim.upstream))?;
        let key = self.keys.claim(&left.upstream);
        Some(Transaction {
            conditions: vec![Condition::Unchanged(key.clone(), left.token)],
            writes: vec![Write::Delete(key)],
        })
    }
}
