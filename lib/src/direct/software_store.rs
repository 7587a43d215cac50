//! Writes and reads the records of pools' software versions in the key-value service.
//!
//! Streams begin only at versions that a record names, so a record that is read after a caller has
//! resumed a stream names the version by which that stream began. Every write depends on the
//! revision that it replaces: one that is carried out late changes no newer record. See
//! docs/design/0017-streams-and-software-versions.md.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::future::join_all;
use xxhash_rust::xxh3::xxh3_64;

use super::dialect::Dialect;
use super::origin::StreamKey;
use super::software::{SOFTWARE_PREFIX, Update};
use super::view::{PutOutcome, View};
use crate::clock::{Clock, Millis};
use crate::name::Name;
use crate::ports::{Condition, Entry, Store, Transaction, Write};

/// Longest interval at which this node looks for records that are outdated.
const CHECK_INTERVAL: Millis = Millis(250);

/// Nodes that write a pool's record at once, in case one of them is cut off.
const WRITERS: u64 = 2;

/// Time for which a record stays outdated before one more node writes it.
const WRITER_DELAY: Millis = Millis(500);

/// Timeout of a write, which is then tried again.
const WRITE_TIMEOUT: Millis = Millis(2_000);

/// Timeout of reading records, after which they count as unknown.
const READ_TIMEOUT: Millis = Millis(500);

/// Keeps the records up to date.
#[derive(Debug)]
pub struct SoftwareStore {
    store: Arc<dyn Store>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    node: Name,
    /// When the last successful read of each pool's record began.
    ///
    /// It is locked during a read, so that requests that wait for it share the next one.
    read_at: tokio::sync::Mutex<HashMap<Name, Millis>>,
    /// The pools whose records are outdated, and since when.
    outdated: Mutex<HashMap<Name, Millis>>,
}

impl SoftwareStore {
    /// Creates the client of a node.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        view: Arc<View>,
        node: Name,
    ) -> Self {
        Self {
            store,
            dialect,
            clock,
            view,
            node,
            read_at: tokio::sync::Mutex::default(),
            outdated: Mutex::default(),
        }
    }

    /// Writes records that are outdated, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let changed = self.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            if self.update().await {
                let _ = tokio::time::timeout(CHECK_INTERVAL.duration(), changed).await;
            } else {
                tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            }
        }
    }

    /// Writes the records that are outdated, as far as this node's turn has come.
    ///
    /// Returns whether the key-value service answered each write.
    pub async fn update(&self) -> bool {
        if !self.view.is_store_reachable() {
            return true;
        }
        let updates = self.due_updates().into_iter();
        let writes = updates.map(|(pool, update)| self.write(pool, update));
        join_all(writes).await.into_iter().all(|answered| answered)
    }

    /// Reads the records of some pools again; returns whether all of them are known as of now.
    pub async fn refresh(&self, pools: &[Name]) -> bool {
        if !self.view.is_store_reachable() {
            return false;
        }
        let reading = tokio::time::timeout(READ_TIMEOUT.duration(), self.read_all(pools));
        if let Ok(are_known) = reading.await {
            return are_known;
        }
        log::info!("origins: software versions can't be read within {READ_TIMEOUT}");
        false
    }

    async fn read_all(&self, pools: &[Name]) -> bool {
        let asked_at = self.clock.now();
        for pool in pools {
            let mut read_at = self.read_at.lock().await;
            if read_at.get(pool).is_some_and(|began| *began > asked_at) {
                continue;
            }
            let began = self.clock.now();
            match self.store.get(&self.key(pool)).await {
                Ok(Some(entry)) if self.apply(pool, &entry) => {
                    read_at.insert(Name::clone(pool), began);
                }
                Ok(_) => return false,
                Err(error) => {
                    log::info!("origins: software versions of {pool} can't be read: {error}");
                    return false;
                }
            }
        }
        true
    }

    /// Returns the changes that records need and that are this node's to write.
    fn due_updates(&self) -> Vec<(Name, Update)> {
        let (now, as_of) = (self.clock.now(), self.view.as_of());
        let mut outdated = self.outdated.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.view.state();
        let mut due = Vec::new();
        let mut still_outdated = HashMap::new();
        for pool in state.pool_names() {
            let listed = state.listed_software(&pool);
            let Some(update) = state.software.outdated(&pool, &listed, as_of) else {
                continue;
            };
            let since = outdated.get(&pool).copied().unwrap_or(now);
            still_outdated.insert(Name::clone(&pool), since);
            let key = StreamKey(xxh3_64(pool.as_bytes()));
            let writers = WRITERS + now.since(since).0 / WRITER_DELAY.0;
            if key.nodes_before(&self.node, state.nodes.keys()) < writers {
                due.push((pool, update));
            }
        }
        *outdated = still_outdated;
        due
    }

    /// Writes a pool's record; returns whether the key-value service answered.
    async fn write(&self, pool: Name, update: Update) -> bool {
        let value: Bytes = match serde_json::to_vec(&update.record) {
            Ok(value) => value.into(),
            Err(error) => {
                log::error!("origins: can't serialize software versions of {pool}: {error}");
                return false;
            }
        };
        let key = self.key(&pool);
        let condition = match update.replaces {
            Some(revision) => Condition::Unchanged(key.clone(), revision),
            None => Condition::Absent(key.clone()),
        };
        let transaction = Transaction {
            conditions: vec![condition],
            writes: vec![Write::Put(key, value.clone(), None)],
        };
        let committing = self.store.commit(transaction);
        let error = match tokio::time::timeout(WRITE_TIMEOUT.duration(), committing).await {
            Ok(Ok(commit)) if commit.done => {
                log::info!(
                    "origins: software versions of {pool} are {}",
                    String::from_utf8_lossy(&value)
                );
                self.put(&pool, &value, commit.revision);
                return true;
            }
            Ok(Ok(commit)) => {
                for entry in &commit.found {
                    self.apply(&pool, entry);
                }
                return true;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {WRITE_TIMEOUT}"),
        };
        log::info!("origins: software versions of {pool} can't be written: {error}");
        false
    }

    /// Applies a record as it was read; returns whether it could be decoded.
    fn apply(&self, pool: &Name, entry: &Entry) -> bool {
        self.put(pool, &entry.value, entry.revision)
    }

    fn put(&self, pool: &Name, value: &Bytes, revision: u64) -> bool {
        let (name, now) = (format!("{SOFTWARE_PREFIX}{pool}"), self.clock.now());
        let put = self
            .view
            .state()
            .put_record(&name, value, Some(revision), now);
        self.view.changed.notify_waiters();
        put == PutOutcome::Applied
    }

    fn key(&self, pool: &Name) -> String {
        self.dialect.own_key(&format!("{SOFTWARE_PREFIX}{pool}"))
    }
}
