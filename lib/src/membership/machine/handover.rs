//! Handing upstreams over to other nodes, one by one.

use std::sync::atomic::Ordering;

use super::claims::Busy;
use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::node::{Claim, Record};
use crate::membership::placement;
use crate::name::Name;
use crate::ports::Condition;

impl Machine {
    // One upstream at a time goes from a node that holds two more than another, once
    // the set of nodes has been still: a moved upstream takes no requests meanwhile.
    pub(super) fn balance(&mut self, now: Millis) {
        let still = now.since(self.nodes_since) >= self.limits.settle;
        if !still || now < self.next_rebalance || !self.busy.is_empty() {
            return;
        }
        let span = self.limits.rebalance;
        self.next_rebalance = now + self.jitter(span);
        let load = self.load();
        let own = load.of(&self.identity.name);
        let live: Vec<&Record> = self.table.live().collect();
        let moved = self.holds.keys().find(|upstream| {
            let Some(region) = self.regions.get(*upstream) else {
                return false;
            };
            let candidates = placement::candidates(&live, region);
            placement::successor(upstream, &candidates, &load)
                .is_some_and(|to| load.of(&to.identity.name) + 2 <= own)
        });
        if let Some(upstream) = moved.cloned() {
            self.note("rebalanced");
            self.hand_over(now, &upstream);
        }
    }

    pub(super) fn hand_over(&mut self, now: Millis, upstream: &Name) {
        self.busy.insert(upstream.clone(), Busy::Releasing);
        let limit = self.limits.release;
        let call = Call::Release(upstream.clone(), limit);
        self.call(now, Purpose::Release(upstream.clone()), call);
        if !self.guards.is_enabled(Guard::ReleaseFirst) {
            self.write_handover(now, upstream);
        }
    }

    pub(super) fn released(&mut self, now: Millis, upstream: &Name) {
        if !matches!(self.busy.get(upstream), Some(Busy::Releasing)) {
            return;
        }
        self.busy.remove(upstream);
        if let Some(held) = self.holds.remove(upstream) {
            held.until.store(0, Ordering::Release);
        }
        if !self.regions.contains_key(upstream) {
            self.free_claim(now, upstream);
            return;
        }
        self.write_handover(now, upstream);
    }

    pub(super) fn write_handover(&mut self, now: Millis, upstream: &Name) {
        let own = self.table.claim(upstream).cloned();
        let Some(own) = own.filter(|claim| claim.is_owned_by(&self.identity)) else {
            return;
        };
        let mut load = self.load();
        for busy in self.busy.values() {
            if let Busy::Claiming { claim, .. } = busy {
                load.add(&claim.node);
            }
        }
        let region = self.regions.get(upstream).cloned().unwrap_or_default();
        let live: Vec<&Record> = self
            .table
            .live()
            .filter(|record| record.identity.name != self.identity.name)
            .collect();
        let candidates = placement::candidates(&live, &region);
        let Some(successor) = placement::successor(upstream, &candidates, &load) else {
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
