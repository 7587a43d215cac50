//! The node's lease and record.

use smallvec::SmallVec;

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{OUTAGE_LIMIT, RENEWALS, drift};
use crate::membership::node::{Record, Witnesses};
use crate::membership::placement;
use crate::ports::{Commit, Condition, Entry, Error, LeaseId, Transaction, Write};

/// Shortest wait before the service is tried again after a failure.
pub(super) const RETRY: Millis = Millis(400);

/// A lease is exchanged for one whose span is this many times as long.
const OUTGROWN: u64 = 2;

/// A registration at the service.
#[derive(Debug)]
pub(super) struct Session {
    pub lease: LeaseId,
    pub span: Millis,
    pub record: Record,
    /// When ownership ends as far as the lease goes; witnesses may extend it.
    pub service_until: Millis,
    /// When the last renewal that succeeded was sent.
    pub renewed: Millis,
    /// The service said that the lease has lapsed.
    pub dead: bool,
    pub renewing: bool,
    pub next_renewal: Millis,
    /// Claims read in a call that was sent since then are certainly this node's.
    pub checked_after: Millis,
    pub checked: bool,
}

/// How far a registration has come.
#[derive(Debug)]
pub(super) enum Joining {
    Idle,
    Granting,
    Registering(Join),
    Settling(Join),
}

/// A lease and the record that is being written under it.
#[derive(Debug, Clone)]
pub(super) struct Join {
    pub lease: LeaseId,
    pub span: Millis,
    pub granted: Millis,
    pub record: Record,
}

impl Machine {
    pub(super) fn tend_lease(&mut self, now: Millis) {
        if self.ending() {
            return;
        }
        if let Some(session) = &mut self.session
            && !session.dead
            && !session.renewing
            && now >= session.next_renewal
        {
            session.renewing = true;
            let lease = session.lease;
            self.call(now, Purpose::Renew(lease), Call::Renew(lease));
        }
        if matches!(self.joining, Joining::Idle) && now >= self.next_join {
            self.join(now);
        }
    }

    // A registration is written anew when there is none, when the fleet has
    // outgrown the lease's span, when witnesses have gone, or when draining begins.
    fn join(&mut self, now: Millis) {
        if !self.table.has_read() {
            return;
        }
        let span = self.limits.lease_span(self.fleet_size());
        match &self.session {
            Some(session) if !session.dead => {
                let outgrown = span.0 >= session.span.0 * OUTGROWN;
                let (lease, old) = (session.lease, session.span);
                if outgrown {
                    self.joining = Joining::Granting;
                    self.call(now, Purpose::Grant, Call::Grant(span));
                } else if session.checked && self.record_outdated(now) {
                    let renewed = session.renewed;
                    self.register(now, lease, old, renewed);
                }
            }
            _ => {
                self.joining = Joining::Granting;
                self.call(now, Purpose::Grant, Call::Grant(span));
            }
        }
    }

    fn fleet_size(&self) -> usize {
        let mut names: Vec<&str> = self
            .table
            .registrations()
            .map(|record| &*record.identity.name)
            .collect();
        names.extend(self.table.live().map(|record| &*record.identity.name));
        names.sort_unstable();
        names.dedup();
        names.len().max(1)
    }

    fn record_outdated(&self, now: Millis) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        if self.doubtful || self.stopping.is_some() != session.record.draining {
            return true;
        }
        // A node that is replaced is back in a moment; chasing each change would
        // cost a write for every witness of every node.
        now.since(self.nodes_since) >= self.limits.lease
            && self.may_change_witnesses(now)
            && self.witnesses_outdated(&session.record.witnesses)
    }

    fn witnesses_outdated(&self, current: &Witnesses) -> bool {
        let wanted = self.wanted_witnesses();
        let lost = current
            .iter()
            .filter(|name| **name != self.identity.name && self.table.live_record(name).is_none())
            .count();
        let fewer = current.len() < wanted.len();
        fewer || (lost > 0 && wanted != *current)
    }

    fn wanted_witnesses(&self) -> Witnesses {
        let live: SmallVec<[&Record; 16]> = self.table.live().collect();
        let own = self.own_record(LeaseId(0), Witnesses::new());
        placement::witnesses(&own, &live)
    }

    // Support that is counted on was given by the old witnesses; a successor
    // would ask only the new ones, which know nothing of it.
    fn may_change_witnesses(&self, now: Millis) -> bool {
        now >= self.support_until || !self.guards.is_enabled(Guard::WitnessesFixed)
    }

    fn own_record(&self, lease: LeaseId, witnesses: Witnesses) -> Record {
        Record {
            identity: self.identity.clone(),
            lease,
            witnesses,
            draining: self.stopping.is_some(),
            revision: 0,
            gone: false,
        }
    }

    fn register(&mut self, now: Millis, lease: LeaseId, span: Millis, granted: Millis) {
        let witnesses = match &self.session {
            Some(session) if !self.may_change_witnesses(now) => session.record.witnesses.clone(),
            _ => self.wanted_witnesses(),
        };
        let changed = self
            .session
            .as_ref()
            .is_none_or(|session| session.record.witnesses != witnesses);
        if changed && self.guards.is_enabled(Guard::WitnessesFixed) {
            self.round = None;
        }
        let record = self.own_record(lease, witnesses);
        let key = self.keys.node(&self.identity.name);
        let registration = self
            .keys
            .registration(&self.identity.name, self.identity.incarnation);
        let living = self.session.as_ref().filter(|session| !session.dead);
        // The record of a previous start of this node stands until its lease ends;
        // that start may still run, paused, and believe in its bound.
        let conditions = match living {
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
        self.joining = Joining::Registering(Join {
            lease,
            span,
            granted,
            record,
        });
        let transaction = Transaction { conditions, writes };
        self.call(now, Purpose::Register, Call::Commit(transaction));
    }

    /// Whether the witnesses at the service may differ from the ones this node knows of.
    pub(super) fn witnesses_unsettled(&self) -> bool {
        self.doubtful || self.witnesses_changing()
    }

    fn witnesses_changing(&self) -> bool {
        let (Joining::Registering(join) | Joining::Settling(join)) = &self.joining else {
            return false;
        };
        self.session
            .as_ref()
            .is_none_or(|session| session.record.witnesses != join.record.witnesses)
    }

    pub(super) fn granted(&mut self, now: Millis, sent: Millis, result: &Result<LeaseId, Error>) {
        self.joining = Joining::Idle;
        match result {
            Ok(lease) => {
                let lease = *lease;
                let span = self.limits.lease_span(self.fleet_size());
                self.register(now, lease, span, sent);
            }
            Err(_) => self.retry_join(now),
        }
    }

    fn retry_join(&mut self, now: Millis) {
        self.joining = Joining::Idle;
        let retry = self.retry_span();
        self.next_join = now + self.jitter(retry);
    }

    // All nodes try at the same time when the service comes back. At a third of
    // the lease's span their calls stay as far apart as renewals do.
    pub(super) fn retry_span(&self) -> Millis {
        let span = self.limits.lease_span(self.fleet_size());
        RETRY.max(Millis(span.0 / RENEWALS))
    }

    pub(super) fn registered(&mut self, now: Millis, result: &Result<Commit, Error>) {
        let changed = self.witnesses_changing();
        let Joining::Registering(join) = std::mem::replace(&mut self.joining, Joining::Idle) else {
            return;
        };
        if matches!(result, Err(Error::NoAnswer(_) | Error::Malformed(_))) {
            self.doubt(&join, changed);
        }
        match result {
            Ok(commit) if commit.done => self.joined(now, join, commit.revision, true),
            // What stands under the key is this node's own late write, or its previous start's.
            Ok(_) | Err(Error::NoAnswer(_) | Error::Malformed(_)) => self.settle(now, join),
            Err(Error::Unreachable(_) | Error::Refused(_)) => self.retry_join(now),
        }
    }

    // The write may take effect at any later time. With other witnesses, a successor
    // would ask those while this node counts on the old ones; under another lease, the
    // record would vanish while this node renews the old lease. Until a registration
    // of its own is certain again, neither the old witnesses nor the old lease count.
    fn doubt(&mut self, join: &Join, changed: bool) {
        self.doubtful |= changed;
        if let Some(session) = &mut self.session
            && session.lease != join.lease
        {
            session.dead = true;
            session.checked = false;
        }
    }

    fn settle(&mut self, now: Millis, join: Join) {
        self.joining = Joining::Settling(join);
        let key = self.keys.node(&self.identity.name);
        self.call(now, Purpose::SettleRegister, Call::Read(key));
    }

    pub(super) fn settled(&mut self, now: Millis, result: Result<Option<Entry>, Error>) {
        let Joining::Settling(join) = std::mem::replace(&mut self.joining, Joining::Idle) else {
            return;
        };
        let Ok(entry) = result else {
            // Without the read nothing is known; asking again is all there is.
            self.joining = Joining::Settling(join);
            self.next_join = now + RETRY;
            return;
        };
        let found = entry.and_then(|entry| Record::from_value(&entry.value, entry.revision));
        match found {
            Some(record) if record.identity == self.identity => {
                let revision = record.revision;
                let known = self.session.as_ref().map(|t| t.record.revision);
                if known == Some(revision) {
                    // Still the old one: writing over it makes the late write fail.
                    self.retry_join(now);
                    return;
                }
                let own = record.lease == join.lease;
                let join = Join {
                    lease: record.lease,
                    record,
                    ..join
                };
                self.joined(now, join, revision, own);
            }
            _ => {
                if let Some(session) = &mut self.session {
                    session.dead = true;
                }
                self.retry_join(now);
            }
        }
    }

    /// Asks again for a settlement whose read failed.
    pub(super) fn tend_settling(&mut self, now: Millis) {
        let reading = self
            .pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::SettleRegister));
        if reading || now < self.next_join {
            return;
        }
        if let Joining::Settling(join) = &self.joining {
            let join = join.clone();
            self.settle(now, join);
        }
    }

    fn joined(&mut self, now: Millis, join: Join, revision: u64, counted: bool) {
        let Join {
            lease,
            span,
            granted,
            mut record,
        } = join;
        record.revision = revision;
        self.witness.record_own_registration(revision);
        self.doubtful = false;
        let kept = self.session.take().filter(|session| session.lease == lease);
        let service_until = match &kept {
            Some(session) => session.service_until,
            None if counted => granted + span - drift(span),
            None => Millis::ZERO,
        };
        let checked = kept.as_ref().is_some_and(|session| session.checked);
        self.session = Some(Session {
            lease,
            span,
            record: record.clone(),
            service_until,
            renewed: kept.as_ref().map_or(granted, |session| session.renewed),
            dead: false,
            renewing: kept.as_ref().is_some_and(|session| session.renewing),
            next_renewal: kept.map_or(now, |session| session.next_renewal),
            checked_after: now,
            checked,
        });
        self.joining = Joining::Idle;
        self.next_join = now + RETRY;
        self.table.learn_record(record.clone());
        self.table.learn_registration(record);
        self.reading.wanted = true;
        self.note("registered");
    }

    pub(super) fn renewed(
        &mut self,
        now: Millis,
        sent: Millis,
        lease: LeaseId,
        result: &Result<Millis, Error>,
    ) {
        let from = if self.guards.is_enabled(Guard::BoundFromSend) {
            sent
        } else {
            now
        };
        let Some(session) = self.session_under(lease) else {
            return;
        };
        session.renewing = false;
        match result {
            Ok(span) if *span > Millis::ZERO => {
                let third = Millis(session.span.0 / RENEWALS);
                let wait = self.jitter(third);
                self.renewal_counts(lease, from);
                if let Some(session) = &mut self.session {
                    session.next_renewal = sent + wait;
                }
            }
            Ok(_) => {
                session.dead = true;
                session.checked = false;
                self.next_join = now;
                self.note("lease_lost");
            }
            Err(_) => {
                let third = Millis(session.span.0 / RENEWALS);
                let wait = self.jitter(Millis(third.0 / 2));
                if let Some(session) = &mut self.session {
                    session.next_renewal = now + wait;
                }
            }
        }
    }

    // A renewal that is answered after its lease was exchanged says nothing of the new one.
    fn session_under(&mut self, lease: LeaseId) -> Option<&mut Session> {
        self.session
            .as_mut()
            .filter(|session| session.lease == lease)
    }

    /// Counts a renewal that was sent, by this node or through a witness, at `sent`.
    pub(super) fn renewal_counts(&mut self, lease: LeaseId, sent: Millis) {
        let Some(session) = self.session_under(lease) else {
            return;
        };
        session.renewed = session.renewed.max(sent);
        let until = sent + session.span - drift(session.span);
        session.service_until = session.service_until.max(until);
        if session.checked {
            self.extend(until);
        }
    }

    /// Whether the lease was renewed too long ago to rely on the service.
    pub(super) fn renewal_late(&self, now: Millis) -> bool {
        self.session.as_ref().is_some_and(|session| {
            session.dead || now.since(session.renewed) >= Millis(session.span.0 / 2)
        })
    }

    /// Whether the outage has lasted longer than any owner may go on.
    pub(super) fn outage_over(&self, now: Millis) -> bool {
        self.session
            .as_ref()
            .is_none_or(|session| now.since(session.renewed) >= OUTAGE_LIMIT)
    }
}
