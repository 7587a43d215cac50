//! Handing upstreams over to other nodes.

use std::sync::atomic::Ordering;

use super::claims::ClaimOperation;
use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::node::{Claim, Record};
use crate::membership::placement;
use crate::name::Name;
use crate::ports::Condition;

impl Machine {
    // Moves one upstream at a time from a node that owns at least two more than another,
    // once the set of nodes has been stable: an upstream takes no requests while it moves.
    pub(super) fn rebalance(&mut self, now: Millis) {
        let stable = now.since(self.nodes_changed_at) >= self.limits.stable_before_rebalance;
        if !stable || now < self.next_rebalance || !self.operations.is_empty() {
            return;
        }
        let interval = self.limits.rebalance_interval;
        self.next_rebalance = now + self.jitter(interval);
        let counts = self.owned_counts();
        let own = counts.owned_by(&self.identity.name);
        let live: Vec<&Record> = self.table.live_records().collect();
        let moved = self.owned.keys().find(|upstream| {
            let Some(region) = self.upstream_regions.get(*upstream) else {
                return false;
            };
            let candidates = placement::candidates(&live, region);
            placement::successor(upstream, &candidates, &counts)
                .is_some_and(|to| counts.owned_by(&to.identity.name) + 2 <= own)
        });
        if let Some(upstream) = moved.cloned() {
            self.record_event("rebalanced");
            self.hand_over(now, &upstream);
        }
    }

    pub(super) fn hand_over(&mut self, now: Millis, upstream: &Name) {
        self.operations
            .insert(upstream.clone(), ClaimOperation::Releasing);
        let limit = self.limits.release_timeout;
        let call = Call::Release(upstream.clone(), limit);
        self.start_call(now, Purpose::Release(upstream.clone()), call);
        if !self.guards.is_enabled(Guard::ReleaseFirst) {
            self.write_handover(now, upstream);
        }
    }

    pub(super) fn handle_released(&mut self, now: Millis, upstream: &Name) {
        if !matches!(
            self.operations.get(upstream),
            Some(ClaimOperation::Releasing)
        ) {
            return;
        }
        self.operations.remove(upstream);
        if let Some(owned) = self.owned.remove(upstream) {
            owned.until.store(0, Ordering::Release);
        }
        if !self.upstream_regions.contains_key(upstream) {
            self.clear_claim(now, upstream);
            return;
        }
        self.write_handover(now, upstream);
    }

    pub(super) fn write_handover(&mut self, now: Millis, upstream: &Name) {
        let own = self.table.claim(upstream).cloned();
        let Some(own) = own.filter(|claim| claim.is_owned_by(&self.identity)) else {
            return;
        };
        let mut counts = self.owned_counts();
        for operation in self.operations.values() {
            if let ClaimOperation::Claiming { claim, .. } = operation {
                counts.increment(&claim.node);
            }
        }
        let region = self
            .upstream_regions
            .get(upstream)
            .cloned()
            .unwrap_or_default();
        let live: Vec<&Record> = self
            .table
            .live_records()
            .filter(|record| record.identity.name != self.identity.name)
            .collect();
        let candidates = placement::candidates(&live, &region);
        let Some(successor) = placement::successor(upstream, &candidates, &counts) else {
            self.reconcile(now);
            return;
        };
        let claim = Claim {
            upstream: upstream.clone(),
            node: successor.identity.name.clone(),
            incarnation: successor.identity.incarnation,
            token: 0,
            peer: successor.identity.peer,
        };
        let conditions = vec![
            Condition::Unchanged(self.keys.claim(upstream), own.token),
            Condition::Unchanged(self.keys.node(&successor.identity.name), successor.revision),
        ];
        self.write_claim(now, claim, own.token, conditions);
    }
}
