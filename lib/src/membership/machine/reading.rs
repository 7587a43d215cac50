//! Reading all keys of membership, and what a reading settles.

use super::lease::RETRY;
use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::ports::{Error, Listing};

/// When all keys are read, and how much that is.
#[derive(Debug)]
pub(super) struct Reading {
    pub under_way: bool,
    pub wanted: bool,
    pub next: Millis,
    pub after: Millis,
    pub bytes: u64,
}

impl Machine {
    pub(super) fn tend_reading(&mut self, now: Millis) {
        self.tend_settling(now);
        let due = now >= self.reading.next || self.reading.wanted && now >= self.reading.after;
        if self.reading.under_way || !due || self.ending() {
            return;
        }
        self.reading.under_way = true;
        self.reading.wanted = false;
        self.call(now, Purpose::List, Call::List);
    }

    fn list_period(&self) -> Millis {
        let by_bytes = self.reading.bytes * 1000 / self.limits.full_read_bytes_per_second.max(1);
        self.limits.min_full_read_interval.max(Millis(by_bytes))
    }

    pub(super) fn listed(&mut self, now: Millis, sent: Millis, result: Result<Listing, Error>) {
        self.reading.under_way = false;
        let Ok(listing) = result else {
            self.reading.wanted = true;
            let retry = self.retry_span();
            self.reading.after = now + self.jitter(retry);
            self.reading.next = self.reading.after;
            return;
        };
        self.reading.after = now + RETRY;
        self.reading.bytes = listing
            .entries
            .iter()
            .map(|entry| (entry.key.len() + entry.value.len()) as u64)
            .sum();
        let period = self.list_period();
        self.reading.next = now + self.jitter(period);
        if !self.table.apply_listing(&listing) {
            self.note("stale_read");
            self.reading.wanted = true;
            return;
        }
        // What was lost must go before the bound of the rest moves.
        self.reconcile(now);
        self.check_claims(now, sent);
        self.reconcile(now);
        self.next_plan = now;
    }

    // Claims that were read after the registration are certainly this node's: no
    // successor can write over them while the record stands.
    fn check_claims(&mut self, now: Millis, sent: Millis) {
        let read_revision = self.table.read_revision();
        let Some(session) = &mut self.session else {
            return;
        };
        if session.dead {
            return;
        }
        if sent < session.checked_after || read_revision < session.record.revision {
            self.reading.wanted = true;
            return;
        }
        session.checked = true;
        let until = session.service_until;
        if self.eligible {
            self.extend(until);
        } else if now < until {
            self.eligible = true;
            self.eligible_since = now;
            self.until = until;
            self.note("eligible");
        } else {
            self.reading.wanted = true;
        }
    }
}
