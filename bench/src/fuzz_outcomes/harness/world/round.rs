//! Exchanges between nodes, and the checks after each round.

use std::sync::atomic::Ordering;

use rand::RngExt;

use super::super::oracle::{Promise, Violation};
use super::{Arrival, Due, PREFIX, World, describe};

impl World {
    pub(super) fn gossip(&mut self) {
        self.later(300, Due::Gossip);
        let count = self.nodes.len();
        for from in 0..count {
            let to = self.rng.random_range(0..count);
            let silent = self.nodes[from].paused || from == to;
            if silent || !self.connected(from, to) || self.lost() {
                continue;
            }
            let Some(machine) = &self.nodes[from].machine else {
                continue;
            };
            let table = machine.table();
            let news = Arrival::News(
                table.claims().cloned().collect(),
                table.records().cloned().collect(),
            );
            let start = self.nodes[to].identity.incarnation;
            let delay = self.delay();
            self.later(delay, Due::Node(to, start, news));
        }
    }

    pub(super) fn spread_changes(&mut self) {
        let changes = self.service.changes();
        if changes.is_empty() {
            return;
        }
        for event in &changes {
            self.tell(|| describe(event));
        }
        for index in 0..self.nodes.len() {
            let watches = self.nodes[index]
                .machine
                .as_ref()
                .is_some_and(|machine| machine.is_watcher() && machine.table().has_read());
            if !watches || !self.service_reachable(index) {
                continue;
            }
            let start = self.nodes[index].identity.incarnation;
            let delay = self.delay();
            let until = &mut self.nodes[index].watched_until;
            *until = (*until).max(self.now + delay);
            let delay = *until - self.now;
            for event in &changes {
                let seen = Arrival::Seen(event.clone());
                self.later(delay, Due::Node(index, start, seen));
            }
        }
    }

    // Whoever could give an order now must be the owner that the service names.
    pub(super) fn check(&mut self) {
        for node in &self.nodes {
            if node.paused || node.machine.is_none() {
                continue;
            }
            let clock = node.clock(self.now).0;
            for (upstream, served) in &node.served {
                let allowed = !served.releasing && clock < served.until.load(Ordering::Acquire);
                if !allowed {
                    continue;
                }
                let key = format!("{PREFIX}membership/claims/{upstream}");
                let claimed = self.service.entry(&key).map(|entry| entry.revision);
                if claimed != Some(served.token) {
                    self.violation.get_or_insert(Violation {
                        promise: Promise::OneOwner,
                        at: self.now,
                        detail: format!(
                            "{} may order {upstream} under {} while the claim is {claimed:?}",
                            node.identity.name, served.token
                        ),
                    });
                    return;
                }
            }
        }
    }
}
