//! The key-value service with answers that are lost or late and replicas that lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::ports::{
    Commit, Entry, Error, Event, Listing, Store as Border, Transaction, Watch, Write,
};
use chivevalve_standins::store::Store;
use futures::stream::BoxStream;

use crate::spread::site::Access;

/// How long a call waits for an answer that never comes.
const SILENCE: Duration = Duration::from_millis(800);

/// Faults that all nodes see, and what was written.
#[derive(Debug, Default)]
pub struct Faults {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lose: u32,
    delay: u32,
    delay_ms: u64,
    /// Every write of every key: the service's revision, and the entry if the key was set.
    written: BTreeMap<String, Vec<(u64, Option<Entry>)>>,
    revision: u64,
}

impl Faults {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses the answers of the next writes.
    pub fn lose(&self, writes: u32) {
        self.lock().lose += writes;
    }

    /// Makes the next writes late.
    pub fn delay(&self, writes: u32, span_ms: u64) {
        let mut inner = self.lock();
        inner.delay += writes;
        inner.delay_ms = span_ms;
    }

    /// Ends all faults that lie ahead.
    pub fn heal(&self) {
        let mut inner = self.lock();
        inner.lose = 0;
        inner.delay = 0;
    }

    fn take_delay(&self) -> Option<Duration> {
        let mut inner = self.lock();
        if inner.delay == 0 {
            return None;
        }
        inner.delay -= 1;
        Some(Duration::from_millis(inner.delay_ms))
    }

    fn take_loss(&self) -> bool {
        let mut inner = self.lock();
        let lost = inner.lose > 0;
        inner.lose = inner.lose.saturating_sub(1);
        lost
    }

    /// Notes what a commit wrote.
    fn note(&self, writes: &[Write], commit: &Commit) {
        if !commit.done || writes.is_empty() {
            return;
        }
        let mut inner = self.lock();
        inner.revision = inner.revision.max(commit.revision);
        for write in writes {
            let (key, entry) = match write {
                Write::Put(key, value, lease) => {
                    let entry = Entry {
                        key: key.clone(),
                        value: value.clone(),
                        revision: commit.revision,
                        created: 0,
                        lease: *lease,
                    };
                    (key, Some(entry))
                }
                Write::Delete(key) => (key, None),
            };
            let history = inner.written.entry(key.clone()).or_default();
            history.push((commit.revision, entry));
        }
    }

    /// Lists what a replica has that is some writes behind.
    fn old(&self, prefix: &str, behind: u64) -> Listing {
        let inner = self.lock();
        let revision = inner.revision.saturating_sub(behind);
        let entries = inner
            .written
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(_, history)| {
                let last = history.iter().rev().find(|(at, _)| *at <= revision)?;
                last.1.clone()
            })
            .collect();
        Listing { entries, revision }
    }
}

/// A node's way to the service.
#[derive(Debug)]
pub struct Faulty {
    pub access: Arc<Access>,
    pub store: Arc<Store>,
    pub faults: Arc<Faults>,
    /// Reads that are still answered by a lagging replica, and how far it lags.
    pub stale: Arc<Mutex<(u32, u64)>>,
}

impl Faulty {
    fn lag(&self) -> Option<u64> {
        let mut stale = self.stale.lock().unwrap_or_else(PoisonError::into_inner);
        if stale.0 == 0 {
            return None;
        }
        stale.0 -= 1;
        Some(stale.1)
    }
}

#[async_trait]
impl Border for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        // The call itself may fail as any other.
        let newest = self.access.get(key).await?;
        let Some(behind) = self.lag() else {
            return Ok(newest);
        };
        let mut entries = self.faults.old(key, behind).entries;
        entries.retain(|entry| entry.key == key);
        Ok(entries.pop())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let newest = self.access.list(prefix).await?;
        match self.lag() {
            Some(behind) => Ok(self.faults.old(prefix, behind)),
            None => Ok(newest),
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let writes = transaction.writes.clone();
        if let Some(late) = self.faults.take_delay() {
            let store = Arc::clone(&self.store);
            let faults = Arc::clone(&self.faults);
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                if let Ok(commit) = store.commit(transaction).await {
                    faults.note(&writes, &commit);
                }
            });
            tokio::time::sleep(SILENCE).await;
            return Err(Error::NoAnswer("the write is late".to_owned()));
        }
        // The write goes on at the service when its caller stops to wait.
        let access = Arc::clone(&self.access);
        let faults = Arc::clone(&self.faults);
        let done = tokio::spawn(async move {
            let commit = access.commit(transaction).await?;
            faults.note(&writes, &commit);
            Ok(commit)
        });
        let commit = done
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer("the call ended".to_owned())))?;
        if self.faults.take_loss() {
            tokio::time::sleep(SILENCE).await;
            return Err(Error::NoAnswer("the answer is lost".to_owned()));
        }
        Ok(commit)
    }
}

#[async_trait]
impl Watch for Faulty {
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error> {
        self.access.watch(prefix, revision).await
    }
}
