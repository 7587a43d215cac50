//! Draining the node: all upstreams are handed over, then the lease is revoked.

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::name::Name;

/// The progress of the node's drain.
#[derive(Debug, Clone, Copy)]
pub(super) struct DrainState {
    pub deadline: Millis,
    /// The lease is being revoked, and nothing else is started.
    pub ending_lease: bool,
    pub done: bool,
}

impl Machine {
    /// Continues the node's drain.
    pub(super) fn advance_drain(&mut self, now: Millis) {
        let Some(drain) = self.drain else {
            return;
        };
        if drain.ending_lease {
            return;
        }
        let announced = self
            .session
            .as_ref()
            .is_none_or(|session| session.record.draining || !session.claims_confirmed);
        if announced {
            self.hand_over_all(now);
        }
        // A draining node takes nothing over, so it doesn't count as a successor: if all
        // nodes drained at once, each would wait for the others until its deadline.
        let has_successor = self
            .table
            .live_records()
            .any(|record| record.identity.name != self.identity.name && !record.draining);
        let claims_left = has_successor
            && self
                .table
                .claims()
                .any(|claim| claim.is_owned_by(&self.identity));
        let handed_over =
            announced && self.owned.is_empty() && self.operations.is_empty() && !claims_left;
        if handed_over || now >= drain.deadline {
            self.finish_drain(now, drain);
        }
    }

    fn hand_over_all(&mut self, now: Millis) {
        if now < self.next_handover {
            return;
        }
        let owned: Vec<Name> = self
            .owned
            .keys()
            .filter(|upstream| !self.operations.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in owned {
            self.hand_over(now, &upstream);
        }
        let not_served: Vec<Name> = self
            .table
            .claims()
            .filter(|claim| claim.is_owned_by(&self.identity))
            .filter(|claim| !self.owned.contains_key(&claim.upstream))
            .filter(|claim| !self.operations.contains_key(&claim.upstream))
            .map(|claim| claim.upstream.clone())
            .collect();
        for upstream in not_served {
            self.write_handover(now, &upstream);
        }
    }

    // Upstreams that couldn't be handed over are taken over once this node's record is gone.
    fn finish_drain(&mut self, now: Millis, drain: DrainState) {
        let remaining: Vec<Name> = self.owned.keys().cloned().collect();
        for upstream in remaining {
            self.relinquish(now, &upstream);
        }
        self.eligible = false;
        self.owned_until = now;
        self.support_round = None;
        match self.session.take() {
            Some(session) => self.start_call(now, Purpose::Revoke, Call::Revoke(session.lease)),
            None => self.handle_revoked(),
        }
        // Prevents a second call to revoke the lease.
        self.drain = Some(DrainState {
            ending_lease: true,
            done: self.is_drained(),
            ..drain
        });
    }

    pub(super) fn handle_revoked(&mut self) {
        if let Some(drain) = &mut self.drain {
            drain.done = true;
        }
    }
}
