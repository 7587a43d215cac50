//! An in-memory key-value service with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use async_trait::async_trait;
use chivevalve::clock::Millis;
use chivevalve::ports::{
    Commit, Condition, Entry, Error, Lease, LeaseId, Listing, Store, Transaction, Write,
};

/// Fault of one commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call doesn't reach the service.
    Unreachable,
    /// It takes effect, but the response is lost.
    AnswerLost,
    /// It is lost on the way; the caller can't tell whether it took effect.
    CallLost,
    /// Its response is lost, and it takes effect only after the next read.
    Late,
}

#[derive(Debug, Default)]
pub struct MemoryStore {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    leases: i64,
    entries: BTreeMap<String, Entry>,
    faults: VecDeque<Option<Fault>>,
    down: bool,
    late: Vec<Transaction>,
    commits: usize,
    reads: usize,
}

impl MemoryStore {
    /// Queues faults, one for each of the next commits.
    pub fn then(&self, faults: &[Option<Fault>]) {
        self.inner.lock().unwrap().faults.extend(faults);
    }

    pub fn set_down(&self, down: bool) {
        self.inner.lock().unwrap().down = down;
    }

    /// Ends the outage and removes all queued faults.
    pub fn mend(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.down = false;
        inner.faults.clear();
    }

    pub fn keys(&self) -> Vec<String> {
        self.inner.lock().unwrap().entries.keys().cloned().collect()
    }

    pub fn calls(&self) -> (usize, usize) {
        let inner = self.inner.lock().unwrap();
        (inner.commits, inner.reads)
    }

    fn up(&self) -> Result<std::sync::MutexGuard<'_, Inner>, Error> {
        let inner = self.inner.lock().unwrap();
        if inner.down {
            return Err(Error::Unreachable("down".into()));
        }
        Ok(inner)
    }
}

impl Inner {
    fn holds(&self, condition: &Condition) -> bool {
        condition.holds(self.entries.get(condition.key()))
    }

    fn apply(&mut self, transaction: Transaction) -> Commit {
        let done = transaction
            .conditions
            .iter()
            .all(|condition| self.holds(condition));
        if done {
            self.revision += 1;
            for write in transaction.writes {
                self.write(write);
            }
        }
        Commit {
            done,
            revision: self.revision,
            found: Vec::new(),
        }
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Delete(key) => {
                self.entries.remove(&key);
            }
            Write::Put(key, value, lease) => {
                let entry = Entry {
                    key: key.clone(),
                    value,
                    revision: self.revision,
                    created: 0,
                    lease,
                };
                self.entries.insert(key, entry);
            }
        }
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let mut inner = self.up()?;
        inner.reads += 1;
        let found = inner.entries.get(key).cloned();
        for late in std::mem::take(&mut inner.late) {
            inner.apply(late);
        }
        Ok(found)
    }

    async fn list(&self, _: &str) -> Result<Listing, Error> {
        unimplemented!("the entry makes no list calls")
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        tokio::task::yield_now().await;
        let mut inner = self.up()?;
        inner.commits += 1;
        match inner.faults.pop_front().flatten() {
            None => Ok(inner.apply(transaction)),
            Some(Fault::Unreachable) => Err(Error::Unreachable("scripted".into())),
            Some(Fault::Late) => {
                inner.late.push(transaction);
                Err(Error::NoAnswer("scripted".into()))
            }
            Some(Fault::CallLost) => Err(Error::NoAnswer("scripted".into())),
            Some(Fault::AnswerLost) => {
                inner.apply(transaction);
                Err(Error::NoAnswer("scripted".into()))
            }
        }
    }
}

#[async_trait]
impl Lease for MemoryStore {
    async fn grant(&self, _: Millis) -> Result<LeaseId, Error> {
        let mut inner = self.up()?;
        inner.leases += 1;
        Ok(LeaseId(inner.leases))
    }

    async fn renew(&self, _: LeaseId) -> Result<Millis, Error> {
        unimplemented!("leases of claims aren't renewed")
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        unimplemented!("leases of claims aren't revoked")
    }
}
