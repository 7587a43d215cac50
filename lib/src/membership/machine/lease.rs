//! The node's lease and record, and the reading of all keys.

use smallvec::SmallVec;

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{OUTAGE_LIMIT, RENEWALS, drift};
use crate::membership::node::{Record, Witnesses};
use crate::membership::placement;
use crate::ports::{Commit, Condition, Entry, Error, LeaseId, Listing, Transaction, Write};

/// Shortest wait before the service is tried again after a failure.
const RETRY: Millis = Millis(400);

/// A lease is exchanged for one whose span is this many times as long.
const OUTGROWN: u64 = 2;

/// A registration at the service.
#[derive(Debug)]
pub(super) struct Tenure {
    pub lease: LeaseId,
    pub span: Millis,
    pub record: Record,
    /// When the lease's part of the right ends.
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
pub(super) enum Entering {
    Out,
    Granting,
    Registering(Entrance),
    Settling(Entrance),
}

/// A lease and the record that is being written under it.
#[derive(Debug, Clone)]
pub(super) struct Entrance {
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
        if let Some(tenure) = &mut self.tenure
            && !tenure.dead
            && !tenure.renewing
            && now >= tenure.next_renewal
        {
            tenure.renewing = true;
            let lease = tenure.lease;
            self.call(now, Purpose::Renew(lease), Call::Renew(lease));
        }
        if matches!(self.entering, Entering::Out) && now >= self.next_entry {
            self.enter(now);
        }
    }

    // A registration is written anew when there is none, when the fleet has
    // outgrown the lease's span, when witnesses have gone, or when draining begins.
    fn enter(&mut self, now: Millis) {
        if !self.table.has_read() {
            return;
        }
        let span = self.limits.lease_span(self.fleet_size());
        match &self.tenure {
            Some(tenure) if !tenure.dead => {
                let outgrown = span.0 >= tenure.span.0 * OUTGROWN;
                let (lease, old) = (tenure.lease, tenure.span);
                if outgrown {
                    self.entering = Entering::Granting;
                    self.call(now, Purpose::Grant, Call::Grant(span));
                } else if tenure.checked && self.record_outdated(now) {
                    let renewed = tenure.renewed;
                    self.register(now, lease, old, renewed);
                }
            }
            _ => {
                self.entering = Entering::Granting;
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
        let Some(tenure) = &self.tenure else {
            return false;
        };
        if self.doubtful || self.stopping.is_some() != tenure.record.draining {
            return true;
        }
        // A node that is replaced is back in a moment; chasing each change would
        // cost a write for every witness of every node.
        now.since(self.nodes_since) >= self.limits.lease
            && self.may_change_witnesses(now)
            && self.witnesses_outdated(&tenure.record.witnesses)
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
        now >= self.support_until || !self.guards.on(Guard::WitnessesFixed)
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
        let witnesses = match &self.tenure {
            Some(tenure) if !self.may_change_witnesses(now) => tenure.record.witnesses.clone(),
            _ => self.wanted_witnesses(),
        };
        let changed = self
            .tenure
            .as_ref()
            .is_none_or(|tenure| tenure.record.witnesses != witnesses);
        if changed && self.guards.on(Guard::WitnessesFixed) {
            self.round = None;
        }
        let record = self.own_record(lease, witnesses);
        let key = self.keys.node(&self.identity.name);
        let registration = self
            .keys
            .registration(&self.identity.name, self.identity.incarnation);
        let standing = self.tenure.as_ref().filter(|tenure| !tenure.dead);
        // The record of a former start of this node stands until its lease ends;
        // that start may still run, paused, and believe in its bound.
        let conditions = match standing {
            Some(tenure) => vec![Condition::Unchanged(key.clone(), tenure.record.revision)],
            None if self.guards.on(Guard::FormerSelf) => vec![Condition::Absent(key.clone())],
            None => Vec::new(),
        };
        let writes = vec![
            Write::Put(key, record.to_value(), Some(lease)),
            Write::Put(registration, record.to_value(), None),
        ];
        self.entering = Entering::Registering(Entrance {
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
        let (Entering::Registering(entrance) | Entering::Settling(entrance)) = &self.entering
        else {
            return false;
        };
        self.tenure
            .as_ref()
            .is_none_or(|tenure| tenure.record.witnesses != entrance.record.witnesses)
    }

    pub(super) fn granted(&mut self, now: Millis, sent: Millis, result: &Result<LeaseId, Error>) {
        self.entering = Entering::Out;
        match result {
            Ok(lease) => {
                let lease = *lease;
                let span = self.limits.lease_span(self.fleet_size());
                self.register(now, lease, span, sent);
            }
            Err(_) => self.retry_entry(now),
        }
    }

    fn retry_entry(&mut self, now: Millis) {
        self.entering = Entering::Out;
        let retry = self.retry_span();
        self.next_entry = now + self.jitter(retry);
    }

    // All nodes try at the same time when the service comes back. At a third of
    // the lease's span their calls stay as far apart as renewals do.
    fn retry_span(&self) -> Millis {
        let span = self.limits.lease_span(self.fleet_size());
        RETRY.max(Millis(span.0 / RENEWALS))
    }

    pub(super) fn registered(&mut self, now: Millis, result: &Result<Commit, Error>) {
        let changed = self.witnesses_changing();
        let Entering::Registering(entrance) = std::mem::replace(&mut self.entering, Entering::Out)
        else {
            return;
        };
        if matches!(result, Err(Error::NoAnswer(_) | Error::Malformed(_))) {
            self.doubt(&entrance, changed);
        }
        match result {
            Ok(commit) if commit.done => self.entered(now, entrance, commit.revision, true),
            // What stands under the key is this node's own late write, or its former self's.
            Ok(_) | Err(Error::NoAnswer(_) | Error::Malformed(_)) => self.settle(now, entrance),
            Err(Error::Unreachable(_) | Error::Refused(_)) => self.retry_entry(now),
        }
    }

    // The write may take effect at any later time. With other witnesses, a successor
    // would ask those while this node counts on the old ones; under another lease, the
    // record would vanish while this node renews the old lease. Until a registration
    // of its own is certain again, neither the old witnesses nor the old lease count.
    fn doubt(&mut self, entrance: &Entrance, changed: bool) {
        self.doubtful |= changed;
        if let Some(tenure) = &mut self.tenure
            && tenure.lease != entrance.lease
        {
            tenure.dead = true;
            tenure.checked = false;
        }
    }

    fn settle(&mut self, now: Millis, entrance: Entrance) {
        self.entering = Entering::Settling(entrance);
        let key = self.keys.node(&self.identity.name);
        self.call(now, Purpose::SettleRegister, Call::Read(key));
    }

    pub(super) fn settled(&mut self, now: Millis, result: Result<Option<Entry>, Error>) {
        let Entering::Settling(entrance) = std::mem::replace(&mut self.entering, Entering::Out)
        else {
            return;
        };
        let Ok(entry) = result else {
            // Without the read nothing is known; asking again is all there is.
            self.entering = Entering::Settling(entrance);
            self.next_entry = now + RETRY;
            return;
        };
        let found = entry.and_then(|entry| Record::from_value(&entry.value, entry.revision));
        match found {
            Some(record) if record.identity == self.identity => {
                let revision = record.revision;
                let known = self.tenure.as_ref().map(|t| t.record.revision);
                if known == Some(revision) {
                    // Still the old one: writing over it makes the late write fail.
                    self.retry_entry(now);
                    return;
                }
                let own = record.lease == entrance.lease;
                let entrance = Entrance {
                    lease: record.lease,
                    record,
                    ..entrance
                };
                self.entered(now, entrance, revision, own);
            }
            _ => {
                if let Some(tenure) = &mut self.tenure {
                    tenure.dead = true;
                }
                self.retry_entry(now);
            }
        }
    }

    /// Asks again for a settlement whose read failed.
    pub(super) fn tend_settling(&mut self, now: Millis) {
        let reading = self
            .pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::SettleRegister));
        if reading || now < self.next_entry {
            return;
        }
        if let Entering::Settling(entrance) = &self.entering {
            let entrance = entrance.clone();
            self.settle(now, entrance);
        }
    }

    fn entered(&mut self, now: Millis, entrance: Entrance, revision: u64, counted: bool) {
        let Entrance {
            lease,
            span,
            granted,
            mut record,
        } = entrance;
        record.revision = revision;
        self.witness.registered(revision);
        self.doubtful = false;
        let kept = self.tenure.take().filter(|tenure| tenure.lease == lease);
        let service_until = match &kept {
            Some(tenure) => tenure.service_until,
            None if counted => granted + span - drift(span),
            None => Millis::ZERO,
        };
        let checked = kept.as_ref().is_some_and(|tenure| tenure.checked);
        self.tenure = Some(Tenure {
            lease,
            span,
            record: record.clone(),
            service_until,
            renewed: kept.as_ref().map_or(granted, |tenure| tenure.renewed),
            dead: false,
            renewing: kept.as_ref().is_some_and(|tenure| tenure.renewing),
            next_renewal: kept.map_or(now, |tenure| tenure.next_renewal),
            checked_after: now,
            checked,
        });
        self.entering = Entering::Out;
        self.next_entry = now + RETRY;
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
        let from = if self.guards.on(Guard::BoundFromSend) {
            sent
        } else {
            now
        };
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.lease == lease) else {
            return;
        };
        tenure.renewing = false;
        match result {
            Ok(span) if *span > Millis::ZERO => {
                let third = Millis(tenure.span.0 / RENEWALS);
                let wait = self.jitter(third);
                self.renewal_counts(lease, from);
                if let Some(tenure) = &mut self.tenure {
                    tenure.next_renewal = sent + wait;
                }
            }
            Ok(_) => {
                tenure.dead = true;
                tenure.checked = false;
                self.next_entry = now;
                self.note("lease_lost");
            }
            Err(_) => {
                let third = Millis(tenure.span.0 / RENEWALS);
                let wait = self.jitter(Millis(third.0 / 2));
                if let Some(tenure) = &mut self.tenure {
                    tenure.next_renewal = now + wait;
                }
            }
        }
    }

    /// Counts a renewal that was sent, by this node or through a witness, at `sent`.
    pub(super) fn renewal_counts(&mut self, lease: LeaseId, sent: Millis) {
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.lease == lease) else {
            return;
        };
        tenure.renewed = tenure.renewed.max(sent);
        let until = sent + tenure.span - drift(tenure.span);
        tenure.service_until = tenure.service_until.max(until);
        if tenure.checked {
            self.extend(until);
        }
    }

    /// Whether the lease was renewed too long ago to rely on the service.
    pub(super) fn renewal_late(&self, now: Millis) -> bool {
        self.tenure.as_ref().is_some_and(|tenure| {
            tenure.dead || now.since(tenure.renewed) >= Millis(tenure.span.0 / 2)
        })
    }

    /// Whether the outage has lasted longer than any owner may go on.
    pub(super) fn outage_over(&self, now: Millis) -> bool {
        self.tenure
            .as_ref()
            .is_none_or(|tenure| now.since(tenure.renewed) >= OUTAGE_LIMIT)
    }

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
        let by_bytes = self.reading.bytes * 1000 / self.limits.store_bytes_per_second.max(1);
        self.limits.store_poll.max(Millis(by_bytes))
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
        if !self.table.read(&listing) {
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
        let read_up_to = self.table.read_up_to();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if tenure.dead {
            return;
        }
        if sent < tenure.checked_after || read_up_to < tenure.record.revision {
            self.reading.wanted = true;
            return;
        }
        tenure.checked = true;
        let until = tenure.service_until;
        if self.standing {
            self.extend(until);
        } else if now < until {
            self.standing = true;
            self.stood_since = now;
            self.until = until;
            self.note("standing");
        } else {
            self.reading.wanted = true;
        }
    }
}
