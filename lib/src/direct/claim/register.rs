//! This node's registration, and those of nodes that are gone.

use std::sync::atomic::Ordering;

use super::previous::START_SPREAD;
use super::{Claimer, to_json};
use crate::clock::Millis;
use crate::direct::follow::NODE_PREFIX;
use crate::direct::limits::{LEASE_TTL, OWNERSHIP_TERM};
use crate::direct::registration::{EXTENSION_LIMIT, REGISTRATION_PREFIX, Registration};
use crate::name::Name;
use crate::ports::{Condition, Error, Transaction, Write};

impl Claimer {
    /// Whether the deployment starts for the first time and owners don't extend their terms yet.
    pub(super) fn is_first_moment(&self) -> bool {
        let running = self.clock.now().since(self.ownership.started_at);
        self.first_start && running + START_SPREAD < LEASE_TTL
    }

    /// Writes this node's registration if it is missing or can be settled, and deletes one of a node
    /// that is gone.
    pub(super) async fn update_register(&self) -> Result<(), Error> {
        let Some(transaction) = self.register_transaction() else {
            return Ok(());
        };
        // If its conditions fail, the register has changed, which a later round sees.
        self.store.commit(transaction).await?;
        let now = self.clock.now();
        self.ownership
            .register_written_at
            .store(now.0, Ordering::Relaxed);
        Ok(())
    }

    fn register_transaction(&self) -> Option<Transaction> {
        let as_of = self.view.as_of();
        let written_at = self.ownership.register_written_at.load(Ordering::Relaxed);
        if as_of <= Millis(written_at) {
            return None;
        }
        let state = self.view.state();
        let Some(own) = state.register.get(&self.node) else {
            return Some(Transaction {
                conditions: vec![Condition::Absent(self.registration_key(&self.node))],
                writes: vec![self.registration_write(false)],
            });
        };
        let settling = EXTENSION_LIMIT + OWNERSHIP_TERM + self.order_gap();
        if !own.registration.is_settled && own.seen_at + settling <= as_of {
            let key = self.registration_key(&self.node);
            return Some(Transaction {
                conditions: vec![Condition::Unchanged(key, own.revision)],
                writes: vec![self.registration_write(true)],
            });
        }
        // One node is enough for that, and all have the same list.
        if state.nodes.keys().min() != Some(&self.node) {
            return None;
        }
        let (node, revision) = state.register.retired(as_of)?;
        log::info!("right: the registration of {node} is deleted, as the node is gone");
        let key = self.registration_key(node);
        Some(Transaction {
            conditions: vec![
                Condition::Unchanged(key.clone(), revision),
                Condition::Absent(self.node_key(node)),
            ],
            writes: vec![Write::Delete(key)],
        })
    }

    pub(super) fn registration_write(&self, is_settled: bool) -> Write {
        let registration = to_json(&Registration { is_settled });
        Write::Put(self.registration_key(&self.node), registration, None)
    }

    pub(super) fn node_key(&self, node: &Name) -> String {
        self.dialect.own_key(&format!("{NODE_PREFIX}{node}"))
    }

    fn registration_key(&self, node: &Name) -> String {
        self.dialect
            .own_key(&format!("{REGISTRATION_PREFIX}{node}"))
    }

    /// Whether this node has followed the service for so long that it knows all nodes that started
    /// together with it.
    pub(super) fn knows_first_nodes(&self, as_of: Millis) -> bool {
        !self.first_start || self.ownership.started_at + LEASE_TTL <= as_of
    }
}
