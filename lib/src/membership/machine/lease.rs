//! The node's lease, and its registration at the key-value service.

use smallvec::SmallVec;

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{MAX_OUTAGE, RENEWALS_PER_LEASE, drift_margin};
use crate::membership::node::{Record, Witnesses};
use crate::membership::placement;
use crate::ports::{Commit, Condition, Entry, Error, LeaseId, Transaction, Write};

/// Shortest delay before a failed call to the key-value service is retried.
pub(super) const MIN_RETRY_DELAY: Millis = Millis(400);

/// The lease is replaced once the TTL that the fleet needs is this many times as long.
const LEASE_GROWTH_FACTOR: u64 = 2;

/// A registration at the key-value service.
#[derive(Debug)]
pub(super) struct Session {
    pub lease: LeaseId,
    pub ttl: Millis,
    pub record: Record,
    /// When ownership under the lease ends; witnesses may extend ownership beyond it.
    pub lease_until: Millis,
    /// When the last successful renewal was sent.
    pub last_renewal: Millis,
    /// The lease has expired, or can't be relied on any more.
    pub expired: bool,
    pub renewal_in_flight: bool,
    pub next_renewal: Millis,
    /// Only a full read that was sent at or after this time confirms this node's claims.
    pub confirm_after: Millis,
    pub claims_confirmed: bool,
}

/// The progress of a registration.
#[derive(Debug)]
pub(super) enum RegistrationState {
    Idle,
    GrantingLease,
    Writing(PendingRegistration),
    /// The write failed its conditions or its outcome is unknown, and the record is being read
    /// back.
    Verifying(PendingRegistration),
}

/// A lease and the record to write under it.
#[derive(Debug, Clone)]
pub(super) struct PendingRegistration {
    pub lease: LeaseId,
    pub ttl: Millis,
    /// When the call was sent from which the lease's TTL counts.
    pub granted_at: Millis,
    pub record: Record,
}

impl Machine {
    pub(super) fn maintain_lease(&mut self, now: Millis) {
        if self.is_ending_lease() {
            return;
        }
        if let Some(session) = &mut self.session
            && !session.expired
            && !session.renewal_in_flight
            && now >= session.next_renewal
        {
            session.renewal_in_flight = true;
            let lease = session.lease;
            self.start_call(now, Purpose::Renew(lease), Call::Renew(lease));
        }
        if matches!(self.registration, RegistrationState::Idle) && now >= self.next_registration {
            self.start_registration(now);
        }
    }

    // Registers when there is no live registration, when the fleet has outgrown the
    // lease's TTL, or when the record is outdated by lost witnesses or by draining.
    fn start_registration(&mut self, now: Millis) {
        if !self.table.has_read() {
            return;
        }
        let ttl = self.limits.lease_ttl(self.fleet_size());
        match &self.session {
            Some(session) if !session.expired => {
                let outgrown = ttl.0 >= session.ttl.0 * LEASE_GROWTH_FACTOR;
                let (lease, current_ttl) = (session.lease, session.ttl);
                if outgrown {
                    self.registration = RegistrationState::GrantingLease;
                    self.start_call(now, Purpose::Grant, Call::Grant(ttl));
                } else if session.claims_confirmed && self.is_record_outdated(now) {
                    let last_renewal = session.last_renewal;
                    self.write_registration(now, lease, current_ttl, last_renewal);
                }
            }
            _ => {
                self.registration = RegistrationState::GrantingLease;
                self.start_call(now, Purpose::Grant, Call::Grant(ttl));
            }
        }
    }

    fn fleet_size(&self) -> usize {
        let mut names: Vec<&str> = self
            .table
            .registrations()
            .map(|record| &*record.identity.name)
            .collect();
        names.extend(
            self.table
                .live_records()
                .map(|record| &*record.identity.name),
        );
        names.sort_unstable();
        names.dedup();
        names.len().max(1)
    }

    fn is_record_outdated(&self, now: Millis) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        if self.registration_uncertain || self.drain.is_some() != session.record.draining {
            return true;
        }
        // A restarted node is usually back soon. Following each change at once would cost
        // a write for every witness of every node.
        now.since(self.nodes_changed_at) >= self.limits.min_lease_ttl
            && self.may_change_witnesses(now)
            && self.are_witnesses_outdated(&session.record.witnesses)
    }

    fn are_witnesses_outdated(&self, current: &Witnesses) -> bool {
        let wanted = self.wanted_witnesses();
        let lost = current
            .iter()
            .filter(|name| **name != self.identity.name && self.table.live_record(name).is_none())
            .count();
        let fewer = current.len() < wanted.len();
        fewer || (lost > 0 && wanted != *current)
    }

    fn wanted_witnesses(&self) -> Witnesses {
        let live: SmallVec<[&Record; 16]> = self.table.live_records().collect();
        let own = self.own_record(LeaseId(0), Witnesses::new());
        placement::select_witnesses(&own, &live)
    }

    // Witnesses must not change while support from the current ones is counted on: a
    // successor would ask only the new ones, which don't know of that support.
    fn may_change_witnesses(&self, now: Millis) -> bool {
        now >= self.support_until || !self.guards.is_enabled(Guard::WitnessesFixed)
    }

    fn own_record(&self, lease: LeaseId, witnesses: Witnesses) -> Record {
        Record {
            identity: self.identity.clone(),
            lease,
            witnesses,
            draining: self.drain.is_some(),
            revision: 0,
            gone: false,
        }
    }

    fn write_registration(&mut self, now: Millis, lease: LeaseId, ttl: Millis, granted_at: Millis) {
        let witnesses = match &self.session {
            Some(session) if !self.may_change_witnesses(now) => session.record.witnesses.clone(),
            _ => self.wanted_witnesses(),
        };
        let changed = self
            .session
            .as_ref()
            .is_none_or(|session| session.record.witnesses != witnesses);
        if changed && self.guards.is_enabled(Guard::WitnessesFixed) {
            self.support_round = None;
        }
        let record = self.own_record(lease, witnesses);
        let key = self.keys.node(&self.identity.name);
        let registration = self
            .keys
            .registration(&self.identity.name, self.identity.incarnation);
        let live_session = self.session.as_ref().filter(|session| !session.expired);
        // The record of a previous incarnation of this node exists until its lease ends.
        // That incarnation may still be running, paused, and rely on its deadline.
        let conditions = match live_session {
            Some(session) => vec![Condition::Unchanged(key.clone(), session.record.revision)],
            None if self.guards.is_enabled(Guard::PreviousStart) => {
                vec![Condition::Absent(key.clone())]
            }
            None => Vec::new(),
        };
        let writes = vec![
            Write::Put(key, record.to_value(), Some(lease)),
            Write::Put(registration, record.to_value(), None),
        ];
        self.registration = RegistrationState::Writing(PendingRegistration {
            lease,
            ttl,
            granted_at,
            record,
        });
        let transaction = Transaction { conditions, writes };
        self.start_call(now, Purpose::Register, Call::Commit(transaction));
    }

    /// Returns whether the registered witnesses may differ from the ones that this node
    /// knows of.
    pub(super) fn witnesses_uncertain(&self) -> bool {
        self.registration_uncertain || self.witnesses_changing()
    }

    fn witnesses_changing(&self) -> bool {
        let (RegistrationState::Writing(pending) | RegistrationState::Verifying(pending)) =
            &self.registration
        else {
            return false;
        };
        self.session
            .as_ref()
            .is_none_or(|session| session.record.witnesses != pending.record.witnesses)
    }

    pub(super) fn handle_grant_result(
        &mut self,
        now: Millis,
        sent_at: Millis,
        result: &Result<LeaseId, Error>,
    ) {
        self.registration = RegistrationState::Idle;
        match result {
            Ok(lease) => {
                let lease = *lease;
                let ttl = self.limits.lease_ttl(self.fleet_size());
                self.write_registration(now, lease, ttl, sent_at);
            }
            Err(_) => self.retry_registration(now),
        }
    }

    fn retry_registration(&mut self, now: Millis) {
        self.registration = RegistrationState::Idle;
        let delay = self.retry_delay();
        self.next_registration = now + self.jitter(delay);
    }

    // All nodes retry when the key-value service comes back. At a third of the lease's
    // TTL their calls are spread as widely as renewals.
    pub(super) fn retry_delay(&self) -> Millis {
        let ttl = self.limits.lease_ttl(self.fleet_size());
        MIN_RETRY_DELAY.max(Millis(ttl.0 / RENEWALS_PER_LEASE))
    }

    pub(super) fn handle_register_result(&mut self, now: Millis, result: &Result<Commit, Error>) {
        let witnesses_changing = self.witnesses_changing();
        let RegistrationState::Writing(pending) =
            std::mem::replace(&mut self.registration, RegistrationState::Idle)
        else {
            return;
        };
        if matches!(result, Err(Error::NoAnswer(_) | Error::Malformed(_))) {
            self.mark_uncertain(&pending, witnesses_changing);
        }
        match result {
            Ok(commit) if commit.done => {
                self.complete_registration(now, pending, commit.revision, true);
            }
            // The key may hold this node's own late write or the record of its previous
            // incarnation.
            Ok(_) | Err(Error::NoAnswer(_) | Error::Malformed(_)) => {
                self.verify_registration(now, pending);
            }
            Err(Error::Unreachable(_) | Error::Refused(_)) => self.retry_registration(now),
        }
    }

    // The write may take effect at any later time. If it changes the witnesses, a successor
    // would ask the new ones while this node counts on the old ones. If it is made under
    // another lease, the record would expire while this node renews the old lease. Until a
    // registration is known to be in effect, neither the old witnesses nor the old lease
    // are relied on.
    fn mark_uncertain(&mut self, pending: &PendingRegistration, witnesses_changing: bool) {
        self.registration_uncertain |= witnesses_changing;
        if let Some(session) = &mut self.session
            && session.lease != pending.lease
        {
            session.expired = true;
            session.claims_confirmed = false;
        }
    }

    fn verify_registration(&mut self, now: Millis, pending: PendingRegistration) {
        self.registration = RegistrationState::Verifying(pending);
        let key = self.keys.node(&self.identity.name);
        self.start_call(now, Purpose::VerifyRegistration, Call::Read(key));
    }

    pub(super) fn handle_registration_read(
        &mut self,
        now: Millis,
        result: Result<Option<Entry>, Error>,
    ) {
        let RegistrationState::Verifying(pending) =
            std::mem::replace(&mut self.registration, RegistrationState::Idle)
        else {
            return;
        };
        let Ok(entry) = result else {
            // The outcome of the write is still unknown, so the read is retried.
            self.registration = RegistrationState::Verifying(pending);
            self.next_registration = now + MIN_RETRY_DELAY;
            return;
        };
        let found = entry.and_then(|entry| Record::from_value(&entry.value, entry.revision));
        match found {
            Some(record) if record.identity == self.identity => {
                let revision = record.revision;
                let known = self.session.as_ref().map(|session| session.record.revision);
                if known == Some(revision) {
                    // The old record is still there; writing it again makes the late write
                    // fail.
                    self.retry_registration(now);
                    return;
                }
                let same_lease = record.lease == pending.lease;
                let pending = PendingRegistration {
                    lease: record.lease,
                    record,
                    ..pending
                };
                self.complete_registration(now, pending, revision, same_lease);
            }
            _ => {
                if let Some(session) = &mut self.session {
                    session.expired = true;
                }
                self.retry_registration(now);
            }
        }
    }

    /// Repeats a read of the node's record that failed.
    pub(super) fn retry_verification(&mut self, now: Millis) {
        let read_in_flight = self
            .pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::VerifyRegistration));
        if read_in_flight || now < self.next_registration {
            return;
        }
        if let RegistrationState::Verifying(pending) = &self.registration {
            let pending = pending.clone();
            self.verify_registration(now, pending);
        }
    }

    fn complete_registration(
        &mut self,
        now: Millis,
        pending: PendingRegistration,
        revision: u64,
        lease_time_known: bool,
    ) {
        let PendingRegistration {
            lease,
            ttl,
            granted_at,
            mut record,
        } = pending;
        record.revision = revision;
        self.witness.record_own_registration(revision);
        self.registration_uncertain = false;
        let previous = self.session.take().filter(|session| session.lease == lease);
        let lease_until = match &previous {
            Some(session) => session.lease_until,
            None if lease_time_known => granted_at + ttl - drift_margin(ttl),
            None => Millis::ZERO,
        };
        let claims_confirmed = previous
            .as_ref()
            .is_some_and(|session| session.claims_confirmed);
        self.session = Some(Session {
            lease,
            ttl,
            record: record.clone(),
            lease_until,
            last_renewal: previous
                .as_ref()
                .map_or(granted_at, |session| session.last_renewal),
            expired: false,
            renewal_in_flight: previous
                .as_ref()
                .is_some_and(|session| session.renewal_in_flight),
            next_renewal: previous.map_or(now, |session| session.next_renewal),
            confirm_after: now,
            claims_confirmed,
        });
        self.registration = RegistrationState::Idle;
        self.next_registration = now + MIN_RETRY_DELAY;
        self.table.merge_record(record.clone());
        self.table.merge_registration(record);
        self.full_read.requested = true;
        self.record_event("registered");
    }

    pub(super) fn handle_renew_result(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lease: LeaseId,
        result: &Result<Millis, Error>,
    ) {
        let counted_from = if self.guards.is_enabled(Guard::BoundFromSend) {
            sent_at
        } else {
            now
        };
        let Some(session) = self.session_of(lease) else {
            return;
        };
        session.renewal_in_flight = false;
        match result {
            Ok(ttl) if *ttl > Millis::ZERO => {
                let third = Millis(session.ttl.0 / RENEWALS_PER_LEASE);
                let wait = self.jitter(third);
                self.record_renewal(lease, counted_from);
                if let Some(session) = &mut self.session {
                    session.next_renewal = sent_at + wait;
                }
            }
            Ok(_) => {
                session.expired = true;
                session.claims_confirmed = false;
                self.next_registration = now;
                self.record_event("lease_lost");
            }
            Err(_) => {
                let third = Millis(session.ttl.0 / RENEWALS_PER_LEASE);
                let wait = self.jitter(Millis(third.0 / 2));
                if let Some(session) = &mut self.session {
                    session.next_renewal = now + wait;
                }
            }
        }
    }

    // Returns the session if it still is under this lease: a renewal that completes after
    // the lease was replaced says nothing about the new one.
    fn session_of(&mut self, lease: LeaseId) -> Option<&mut Session> {
        self.session
            .as_mut()
            .filter(|session| session.lease == lease)
    }

    /// Records a successful renewal that this node, or a witness for it, sent at `sent_at`.
    pub(super) fn record_renewal(&mut self, lease: LeaseId, sent_at: Millis) {
        let Some(session) = self.session_of(lease) else {
            return;
        };
        session.last_renewal = session.last_renewal.max(sent_at);
        let until = sent_at + session.ttl - drift_margin(session.ttl);
        session.lease_until = session.lease_until.max(until);
        if session.claims_confirmed {
            self.extend_ownership(until);
        }
    }

    /// Returns whether the lease expired or its last renewal is more than half a TTL ago, so
    /// that the node asks its witnesses for support.
    pub(super) fn is_renewal_overdue(&self, now: Millis) -> bool {
        self.session.as_ref().is_some_and(|session| {
            session.expired || now.since(session.last_renewal) >= Millis(session.ttl.0 / 2)
        })
    }

    /// Returns whether the last renewal is so long ago that owners must stop.
    pub(super) fn max_outage_reached(&self, now: Millis) -> bool {
        self.session
            .as_ref()
            .is_none_or(|session| now.since(session.last_renewal) >= MAX_OUTAGE)
    }
}
