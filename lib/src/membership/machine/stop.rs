//! The node's planned stop: everything is handed over, then the lease ends.

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::name::Name;

/// How far a node's own stop has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    pub until: Millis,
    /// The lease is being ended; nothing else is begun.
    pub ending: bool,
    pub done: bool,
}

impl Machine {
    /// Goes on with the node's planned stop.
    pub(super) fn tend_stop(&mut self, now: Millis) {
        let Some(stopping) = self.stopping else {
            return;
        };
        if stopping.ending {
            return;
        }
        let announced = self
            .session
            .as_ref()
            .is_none_or(|session| session.record.draining || !session.checked);
        if announced {
            self.hand_all_over(now);
        }
        // A node that stops too takes nothing over: when all stop at once, each
        // would wait for the others until its limit.
        let successor = self
            .table
            .live()
            .any(|record| record.identity.name != self.identity.name && !record.draining);
        let rest = successor
            && self
                .table
                .claims()
                .any(|claim| claim.is_owned_by(&self.identity));
        let clear = announced && self.holds.is_empty() && self.busy.is_empty() && !rest;
        if clear || now >= stopping.until {
            self.finish_stop(now, stopping);
        }
    }

    fn hand_all_over(&mut self, now: Millis) {
        if now < self.next_handover {
            return;
        }
        let held: Vec<Name> = self
            .holds
            .keys()
            .filter(|upstream| !self.busy.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in held {
            self.hand_over(now, &upstream);
        }
        let idle: Vec<Name> = self
            .table
            .claims()
            .filter(|claim| claim.is_owned_by(&self.identity))
            .filter(|claim| !self.holds.contains_key(&claim.upstream))
            .filter(|claim| !self.busy.contains_key(&claim.upstream))
            .map(|claim| claim.upstream.clone())
            .collect();
        for upstream in idle {
            self.write_handover(now, &upstream);
        }
    }

    // Whatever could not be handed over goes to successors when the record is gone.
    fn finish_stop(&mut self, now: Millis, stopping: Stopping) {
        let left: Vec<Name> = self.holds.keys().cloned().collect();
        for upstream in left {
            self.relinquish(now, &upstream);
        }
        self.eligible = false;
        self.until = now;
        self.round = None;
        match self.session.take() {
            Some(session) => self.call(now, Purpose::Revoke, Call::Revoke(session.lease)),
            None => self.revoked(),
        }
        // A second call would only wait for the first one's answer.
        self.stopping = Some(Stopping {
            ending: true,
            done: self.drained(),
            ..stopping
        });
    }

    pub(super) fn revoked(&mut self) {
        if let Some(stopping) = &mut self.stopping {
            stopping.done = true;
        }
    }
}
