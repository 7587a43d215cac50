//! Full reads of all membership keys, which confirm this node's claims.

use super::lease::MIN_RETRY_DELAY;
use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::ports::{Error, Listing};

/// Schedule of full reads.
#[derive(Debug)]
pub(super) struct FullRead {
    pub in_flight: bool,
    pub requested: bool,
    /// When the next periodic read is due.
    pub next_at: Millis,
    /// Earliest time of a requested read.
    pub not_before: Millis,
    /// Size of the last read, from which the interval of reads follows.
    pub last_size_bytes: u64,
}

impl Machine {
    pub(super) fn maintain_full_read(&mut self, now: Millis) {
        self.retry_verification(now);
        let due = now >= self.full_read.next_at
            || self.full_read.requested && now >= self.full_read.not_before;
        if self.full_read.in_flight || !due || self.is_ending_lease() {
            return;
        }
        self.full_read.in_flight = true;
        self.full_read.requested = false;
        self.start_call(now, Purpose::List, Call::List);
    }

    fn full_read_interval(&self) -> Millis {
        let by_bytes =
            self.full_read.last_size_bytes * 1000 / self.limits.full_read_bytes_per_second.max(1);
        self.limits.min_full_read_interval.max(Millis(by_bytes))
    }

    pub(super) fn handle_list_result(
        &mut self,
        now: Millis,
        sent_at: Millis,
        result: Result<Listing, Error>,
    ) {
        self.full_read.in_flight = false;
        let Ok(listing) = result else {
            self.full_read.requested = true;
            let delay = self.retry_delay();
            self.full_read.not_before = now + self.jitter(delay);
            self.full_read.next_at = self.full_read.not_before;
            return;
        };
        self.full_read.not_before = now + MIN_RETRY_DELAY;
        self.full_read.last_size_bytes = listing
            .entries
            .iter()
            .map(|entry| (entry.key.len() + entry.value.len()) as u64)
            .sum();
        let interval = self.full_read_interval();
        self.full_read.next_at = now + self.jitter(interval);
        if !self.table.apply_listing(&listing) {
            self.record_event("stale_read");
            self.full_read.requested = true;
            return;
        }
        // Lost upstreams must be relinquished before ownership of the others is extended.
        self.reconcile(now);
        self.confirm_claims(now, sent_at);
        self.reconcile(now);
        self.next_claim_check = now;
    }

    // Claims that were read after the registration are certain to be this node's: no
    // successor can overwrite them while the record exists.
    fn confirm_claims(&mut self, now: Millis, sent_at: Millis) {
        let read_revision = self.table.read_revision();
        let Some(session) = &mut self.session else {
            return;
        };
        if session.expired {
            return;
        }
        if sent_at < session.confirm_after || read_revision < session.record.revision {
            self.full_read.requested = true;
            return;
        }
        session.claims_confirmed = true;
        let until = session.lease_until;
        if self.eligible {
            self.extend_ownership(until);
        } else if now < until {
            self.eligible = true;
            self.eligible_since = now;
            self.owned_until = until;
            self.record_event("eligible");
        } else {
            self.full_read.requested = true;
        }
    }
}
