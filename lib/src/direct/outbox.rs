//! Records that this node writes to the key-value service without waiting for them.
//!
//! They outlive the node: whoever starts later reads them. So they don't live with the node's
//! own lease but with one of their own, at whose end they are gone.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use serde::Serialize;
use tokio::sync::Notify;

use super::dialect::Dialect;
use crate::clock::{Clock, Millis};
use crate::name::Name;
use crate::poison::ledger::REPORT_TTL;
use crate::ports::{Error, Lease, LeaseId, Store, Transaction, Write};

/// Records that one transaction writes; the service takes 32 rows.
const AT_ONCE: usize = 16;

/// First pause after a call that failed; it doubles.
const PAUSE: Millis = Millis(250);

/// The longest pause: outages last for tens of seconds, and each call is priced.
const LONGEST_PAUSE: Millis = Millis(4_000);

/// Records that wait while the service is away; the oldest make room.
const MOST_WAITING: usize = 1_024;

/// Tells other nodes of records while the key-value service is away.
///
/// Without it each node counts for itself then, and a request that ends three engines ends three
/// for each node.
#[async_trait]
pub trait PeerBroadcast: fmt::Debug + Send + Sync {
    /// Tells all other nodes that are known; none of them has to answer.
    async fn broadcast(&self, name: &Name, value: &Bytes);
}

/// A record that waits.
#[derive(Debug, Clone)]
struct Record {
    name: Name,
    value: Bytes,
    /// Whether other nodes were told, as the service didn't take it.
    is_told: bool,
}

#[derive(Debug, Default)]
struct Waiting {
    records: Vec<Record>,
    /// Whether a task is at work on them.
    is_sending: bool,
}

/// Writes records one transaction after the other.
#[derive(Debug)]
pub struct Outbox {
    store: Arc<dyn Store>,
    lease: Arc<dyn Lease>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    others: Arc<dyn PeerBroadcast>,
    waiting: Mutex<Waiting>,
    /// Wakes whoever waits until nothing waits.
    emptied: Notify,
    /// The lease of new records, and when it was granted.
    granted: Mutex<Option<(LeaseId, Millis)>>,
}

impl Outbox {
    /// Makes an outbox in which nothing waits.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        lease: Arc<dyn Lease>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        others: Arc<dyn PeerBroadcast>,
    ) -> Self {
        Self {
            store,
            lease,
            dialect,
            clock,
            others,
            waiting: Mutex::default(),
            emptied: Notify::new(),
            granted: Mutex::default(),
        }
    }

    /// Writes a record soon, under its name among this system's own keys.
    pub fn enqueue(self: &Arc<Self>, name: &str, value: &impl Serialize) {
        let value = match serde_json::to_vec(value) {
            Ok(value) => value.into(),
            Err(error) => {
                log::error!("outbox: {name} can't be written: {error}");
                return;
            }
        };
        let is_idle = {
            let mut waiting = self.waiting();
            if waiting.records.len() >= MOST_WAITING {
                log::warn!("outbox: the oldest record is dropped, as many wait");
                waiting.records.remove(0);
            }
            // A newer value of the same record: a transaction may hold a key once.
            waiting.records.retain(|record| &*record.name != name);
            waiting.records.push(Record {
                name: name.into(),
                value,
                is_told: false,
            });
            !std::mem::replace(&mut waiting.is_sending, true)
        };
        if is_idle {
            let outbox = Arc::clone(self);
            tokio::spawn(async move { outbox.send_all().await });
        }
    }

    /// Tells all other nodes of a record that isn't written.
    pub async fn broadcast(&self, name: &Name, value: &impl Serialize) {
        match serde_json::to_vec(value) {
            Ok(value) => self.others.broadcast(name, &value.into()).await,
            Err(error) => log::error!("outbox: {name} can't be written: {error}"),
        }
    }

    /// Waits until all records are written.
    pub async fn flush(&self) {
        loop {
            let emptied = self.emptied.notified();
            let mut emptied = std::pin::pin!(emptied);
            emptied.as_mut().enable();
            if !self.waiting().is_sending {
                return;
            }
            emptied.await;
        }
    }

    async fn send_all(&self) {
        let mut pause = PAUSE;
        while let Some(mut records) = self.next() {
            match self.send(&records).await {
                Ok(()) => pause = PAUSE,
                Err(error) => {
                    log::info!("outbox: {} records wait on: {error}", records.len());
                    *self.granted() = None;
                    self.tell_others(&mut records).await;
                    self.put_back(records);
                    tokio::time::sleep(pause.duration()).await;
                    pause = Millis(pause.0 * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Has records wait on, but those of which a newer value waits.
    fn put_back(&self, mut records: Vec<Record>) {
        let mut waiting = self.waiting();
        let is_newer = |record: &Record| waiting.records.iter().any(|one| one.name == record.name);
        records.retain(|record| !is_newer(record));
        waiting.records.splice(0..0, records);
    }

    /// Tells other nodes once of records that the service doesn't take.
    async fn tell_others(&self, records: &mut [Record]) {
        for record in records.iter_mut().filter(|record| !record.is_told) {
            record.is_told = true;
            self.others.broadcast(&record.name, &record.value).await;
        }
    }

    fn next(&self) -> Option<Vec<Record>> {
        let mut waiting = self.waiting();
        if waiting.records.is_empty() {
            waiting.is_sending = false;
            self.emptied.notify_waiters();
            return None;
        }
        let count = waiting.records.len().min(AT_ONCE);
        Some(waiting.records.drain(..count).collect())
    }

    async fn send(&self, records: &[Record]) -> Result<(), Error> {
        let lease = self.lease().await?;
        let writes = records.iter().map(|record| {
            let key = self.dialect.own_key(&record.name);
            Write::Put(key, record.value.clone(), Some(lease))
        });
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: writes.collect(),
        };
        self.store.commit(transaction).await.map(|_| ())
    }

    /// Returns a lease that lasts for half of the records' time at least.
    async fn lease(&self) -> Result<LeaseId, Error> {
        let now = self.clock.now();
        let granted = *self.granted();
        if let Some((lease, since)) = granted
            && now.since(since).0 < REPORT_TTL.0 / 2
        {
            return Ok(lease);
        }
        let lease = self.lease.grant(REPORT_TTL).await?;
        *self.granted() = Some((lease, now));
        Ok(lease)
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn granted(&self) -> MutexGuard<'_, Option<(LeaseId, Millis)>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
