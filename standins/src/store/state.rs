//! What the service holds.

use std::collections::{BTreeMap, HashSet, VecDeque};

use chivevalve::clock::Millis;
use chivevalve::ports::{
    Commit, Condition, Entry, Error, Event, LeaseId, Listing, Transaction, Write,
};
use tokio::sync::mpsc;

/// Changes that are kept for watches that begin late.
const HISTORY: usize = 100_000;
/// Longest value, as the platform has it.
const VALUE_BYTES: usize = 1 << 20;
/// Most conditions, and most writes, of one transaction; etcd's default.
const OPERATIONS: usize = 128;

#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Grant>,
    last_lease: i64,
    history: VecDeque<Event>,
    /// Changes up to here are forgotten.
    compacted: u64,
    watchers: Vec<Watcher>,
}

#[derive(Debug)]
struct Grant {
    span: Millis,
    until: Millis,
}

#[derive(Debug)]
struct Watcher {
    prefix: String,
    sender: mpsc::Sender<Event>,
}

impl State {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).cloned()
    }

    pub(super) fn list(&self, prefix: &str) -> Listing {
        let entries = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect();
        Listing {
            entries,
            revision: self.revision,
        }
    }

    pub(super) fn commit(&mut self, transaction: Transaction) -> Result<Commit, Error> {
        if transaction.writes.len().max(transaction.conditions.len()) > OPERATIONS {
            return Err(Error::Refused("too many operations".to_owned()));
        }
        let done = transaction
            .conditions
            .iter()
            .all(|condition| self.holds(condition));
        if done {
            self.check(&transaction.writes)?;
            self.write(transaction.writes);
        }
        Ok(Commit {
            done,
            revision: self.revision,
            found: Vec::new(),
        })
    }

    fn holds(&self, condition: &Condition) -> bool {
        condition.holds(self.entries.get(condition.key()))
    }

    fn check(&self, writes: &[Write]) -> Result<(), Error> {
        let mut keys = HashSet::new();
        for write in writes {
            let Write::Put(key, value, lease) = write else {
                continue;
            };
            if !keys.insert(key) {
                return Err(Error::Refused("a key is given twice".to_owned()));
            }
            if value.len() > VALUE_BYTES {
                return Err(Error::Refused("the value is too long".to_owned()));
            }
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return Err(Error::Refused("the lease doesn't exist".to_owned()));
            }
        }
        Ok(())
    }

    fn write(&mut self, writes: Vec<Write>) {
        if writes.is_empty() {
            return;
        }
        self.revision += 1;
        for write in writes {
            match write {
                Write::Put(key, value, lease) => {
                    let before = self.entries.get(&key);
                    let entry = Entry {
                        key: key.clone(),
                        value,
                        revision: self.revision,
                        created: before.map_or(self.revision, |entry| entry.created),
                        lease,
                    };
                    self.entries.insert(key.clone(), entry.clone());
                    self.tell(key, Some(entry));
                }
                Write::Delete(key) => {
                    if self.entries.remove(&key).is_some() {
                        self.tell(key, None);
                    }
                }
            }
        }
    }

    fn tell(&mut self, key: String, entry: Option<Entry>) {
        let event = Event {
            key,
            entry,
            revision: self.revision,
        };
        // A watcher that fell behind is cut off, as the service cuts slow ones.
        self.watchers.retain(|watcher| {
            !event.key.starts_with(&watcher.prefix)
                || watcher.sender.try_send(event.clone()).is_ok()
        });
        self.history.push_back(event);
        while self.history.len() > HISTORY {
            if let Some(forgotten) = self.history.pop_front() {
                self.compacted = forgotten.revision;
            }
        }
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    pub(super) fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        sender: mpsc::Sender<Event>,
    ) -> Result<(), Error> {
        if after < self.compacted {
            return Err(Error::Refused("the revision is compacted".to_owned()));
        }
        let missed = self
            .history
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix));
        for event in missed {
            if sender.try_send(event.clone()).is_err() {
                return Err(Error::Refused("too far behind".to_owned()));
            }
        }
        self.watchers.retain(|watcher| !watcher.sender.is_closed());
        self.watchers.push(Watcher {
            prefix: prefix.to_owned(),
            sender,
        });
        Ok(())
    }

    pub(super) fn break_watches(&mut self) {
        self.watchers.clear();
    }

    pub(super) fn grant(&mut self, span: Millis, now: Millis) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        let until = now + span;
        self.leases.insert(lease, Grant { span, until });
        lease
    }

    pub(super) fn renew(&mut self, lease: LeaseId, now: Millis) -> Millis {
        self.expire(now);
        let Some(grant) = self.leases.get_mut(&lease) else {
            return Millis::ZERO;
        };
        grant.until = now + grant.span;
        grant.span
    }

    pub(super) fn revoke(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(lease))
            .map(|entry| Write::Delete(entry.key.clone()))
            .collect();
        self.write(keys);
    }

    pub(super) fn expire(&mut self, now: Millis) {
        let lapsed: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, grant)| grant.until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.revoke(lease);
        }
    }
}
