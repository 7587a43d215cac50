//! The key-value service as the harness has it: revisions, leases, transactions.

use std::collections::BTreeMap;

use bytes::Bytes;
use chivevalve::clock::Millis;
use chivevalve::ports::{
    Commit, Condition, Entry, Error, Event, LeaseId, Listing, Transaction, Write,
};

/// Snapshots that a lagging replica may answer from.
const SNAPSHOTS: usize = 64;

/// The service; time is the world's.
#[derive(Debug, Default)]
pub struct Service {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<i64, Grant>,
    next_lease: i64,
    changes: Vec<Event>,
    snapshots: Vec<Listing>,
    /// Calls that were answered.
    pub calls: u64,
    /// Bytes of keys and values that were sent or received.
    pub bytes: u64,
}

#[derive(Debug)]
struct Grant {
    span: Millis,
    expires: Millis,
}

impl Service {
    /// Lets leases lapse whose time has come.
    pub fn expire(&mut self, now: Millis) {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, grant)| now >= grant.expires)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.end(id);
        }
    }

    fn end(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(LeaseId(id)))
            .map(|entry| entry.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.keep_snapshot();
        self.revision += 1;
        for key in keys {
            self.entries.remove(&key);
            self.changed(key, None);
        }
    }

    fn changed(&mut self, key: String, entry: Option<Entry>) {
        self.changes.push(Event {
            key,
            entry,
            revision: self.revision,
        });
    }

    fn keep_snapshot(&mut self) {
        if self.snapshots.len() == SNAPSHOTS {
            self.snapshots.remove(0);
        }
        let now = self.peek("");
        self.snapshots.push(now);
    }

    /// Takes the changes since the last call, for watches.
    pub fn changes(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.changes)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Millis, span: Millis) -> LeaseId {
        self.calls += 1;
        self.next_lease += 1;
        let expires = now + span;
        self.leases.insert(self.next_lease, Grant { span, expires });
        LeaseId(self.next_lease)
    }

    /// Renews a lease, or returns zero.
    pub fn renew(&mut self, now: Millis, lease: LeaseId) -> Millis {
        self.calls += 1;
        self.expire(now);
        match self.leases.get_mut(&lease.0) {
            Some(grant) => {
                grant.expires = now + grant.span;
                grant.span
            }
            None => Millis::ZERO,
        }
    }

    /// Ends a lease.
    pub fn revoke(&mut self, lease: LeaseId) {
        self.calls += 1;
        self.end(lease.0);
    }

    /// Reads one key.
    pub fn get(&mut self, key: &str) -> Option<Entry> {
        self.calls += 1;
        let entry = self.entries.get(key).cloned();
        self.bytes += entry.as_ref().map_or(0, weigh);
        entry
    }

    /// Reads a key without counting a call.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Reads all keys with a prefix.
    pub fn list(&mut self, prefix: &str) -> Listing {
        self.calls += 1;
        let listing = self.peek(prefix);
        self.bytes += listing.entries.iter().map(weigh).sum::<u64>();
        listing
    }

    /// Reads what a replica held `back` changes ago.
    pub fn list_stale(&mut self, prefix: &str, back: usize) -> Listing {
        let at = self.snapshots.len().saturating_sub(back.max(1));
        let Some(old) = self.snapshots.get(at) else {
            return self.list(prefix);
        };
        let mut old = old.clone();
        old.entries.retain(|entry| entry.key.starts_with(prefix));
        old
    }

    fn peek(&self, prefix: &str) -> Listing {
        let entries = self
            .entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix))
            .cloned()
            .collect();
        Listing {
            entries,
            revision: self.revision,
        }
    }

    /// Makes writes under conditions.
    pub fn commit(&mut self, now: Millis, transaction: &Transaction) -> Result<Commit, Error> {
        self.calls += 1;
        self.expire(now);
        let holds = transaction
            .conditions
            .iter()
            .all(|condition| match condition {
                Condition::Absent(key) => !self.entries.contains_key(key),
                Condition::Unchanged(key, revision) => self
                    .entries
                    .get(key)
                    .is_some_and(|entry| entry.revision == *revision),
            });
        if !holds {
            return Ok(Commit {
                done: false,
                revision: self.revision,
                found: Vec::new(),
            });
        }
        let dead = transaction.writes.iter().any(|write| match write {
            Write::Put(_, _, Some(lease)) => !self.leases.contains_key(&lease.0),
            _ => false,
        });
        if dead {
            return Err(Error::Refused("lease not found".to_owned()));
        }
        self.keep_snapshot();
        self.revision += 1;
        for write in &transaction.writes {
            self.write(write);
        }
        Ok(Commit {
            done: true,
            revision: self.revision,
            found: Vec::new(),
        })
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put(key, value, lease) => {
                let entry = Entry {
                    key: key.clone(),
                    value: Bytes::clone(value),
                    revision: self.revision,
                    created: 0,
                    lease: *lease,
                };
                self.bytes += weigh(&entry);
                self.entries.insert(key.clone(), entry.clone());
                self.changed(key.clone(), Some(entry));
            }
            Write::Delete(key) => {
                if self.entries.remove(key).is_some() {
                    self.changed(key.clone(), None);
                }
            }
        }
    }
}

fn weigh(entry: &Entry) -> u64 {
    (entry.key.len() + entry.value.len()) as u64
}
