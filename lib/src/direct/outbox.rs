//! Queue of records that this node writes to the key-value service in the background.
//!
//! The records must outlive the node, since nodes that start later read them. They are therefore
//! bound to a lease of their own rather than to the node's, and are gone when it expires.

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

/// Records per transaction; the service accepts 32 rows.
const BATCH_SIZE: usize = 16;

/// Pause after the first failed call; it doubles with each further one.
const MIN_RETRY_PAUSE: Millis = Millis(250);

/// Longest pause between retries: outages last for tens of seconds, and each call costs money.
const MAX_RETRY_PAUSE: Millis = Millis(4_000);

/// Records that are queued while the service is unavailable; the oldest are dropped first.
const MAX_QUEUED: usize = 1_024;

/// Sends records directly to other nodes while the key-value service is unavailable.
///
/// Otherwise each node would count crashes on its own during an outage, and a poison request
/// would crash three engines for every node.
#[async_trait]
pub trait PeerBroadcast: fmt::Debug + Send + Sync {
    /// Sends a record to all known nodes; none of them has to respond.
    async fn broadcast(&self, name: &Name, value: &Bytes);
}

/// A record that is to be written.
#[derive(Debug, Clone)]
struct Record {
    name: Name,
    value: Bytes,
    /// Whether the record was sent to other nodes after the service failed to accept it.
    is_broadcast: bool,
}

#[derive(Debug, Default)]
struct Queue {
    records: Vec<Record>,
    /// Whether a task is writing the records.
    is_sending: bool,
}

/// Writes queued records, one transaction at a time.
#[derive(Debug)]
pub struct Outbox {
    store: Arc<dyn Store>,
    lease: Arc<dyn Lease>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn PeerBroadcast>,
    queue: Mutex<Queue>,
    /// Notified when the queue has become empty.
    emptied: Notify,
    /// The lease of new records, and when it was granted.
    granted: Mutex<Option<(LeaseId, Millis)>>,
}

impl Outbox {
    /// Creates an empty outbox.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        lease: Arc<dyn Lease>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn PeerBroadcast>,
    ) -> Self {
        Self {
            store,
            lease,
            dialect,
            clock,
            peers,
            queue: Mutex::default(),
            emptied: Notify::new(),
            granted: Mutex::default(),
        }
    }

    /// Queues a record to be written under its name among this system's own keys.
    pub fn enqueue(self: &Arc<Self>, name: &str, value: &impl Serialize) {
        let value = match serde_json::to_vec(value) {
            Ok(value) => value.into(),
            Err(error) => {
                log::error!("outbox: cannot serialize {name}: {error}");
                return;
            }
        };
        let is_idle = {
            let mut queue = self.queue();
            if queue.records.len() >= MAX_QUEUED {
                log::warn!("outbox: {MAX_QUEUED} records are queued, dropping the oldest");
                queue.records.remove(0);
            }
            // The new value replaces a queued one: a transaction may contain a key only once.
            queue.records.retain(|record| &*record.name != name);
            queue.records.push(Record {
                name: name.into(),
                value,
                is_broadcast: false,
            });
            !std::mem::replace(&mut queue.is_sending, true)
        };
        if is_idle {
            let outbox = Arc::clone(self);
            tokio::spawn(async move { outbox.send_all().await });
        }
    }

    /// Sends a record to all other nodes without writing it.
    pub async fn broadcast(&self, name: &Name, value: &impl Serialize) {
        match serde_json::to_vec(value) {
            Ok(value) => self.peers.broadcast(name, &value.into()).await,
            Err(error) => log::error!("outbox: cannot serialize {name}: {error}"),
        }
    }

    /// Waits until all queued records are written.
    pub async fn flush(&self) {
        loop {
            let emptied = self.emptied.notified();
            let mut emptied = std::pin::pin!(emptied);
            emptied.as_mut().enable();
            if !self.queue().is_sending {
                return;
            }
            emptied.await;
        }
    }

    async fn send_all(&self) {
        let mut pause = MIN_RETRY_PAUSE;
        while let Some(mut records) = self.next_batch() {
            match self.write(&records).await {
                Ok(()) => pause = MIN_RETRY_PAUSE,
                Err(error) => {
                    log::info!(
                        "outbox: cannot write {} records, retrying: {error}",
                        records.len()
                    );
                    *self.granted() = None;
                    self.broadcast_unwritten(&mut records).await;
                    self.requeue(records);
                    tokio::time::sleep(pause.duration()).await;
                    pause = Millis(pause.0 * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Puts records back at the head of the queue, except those with a newer value queued.
    fn requeue(&self, mut records: Vec<Record>) {
        let mut queue = self.queue();
        let has_newer = |record: &Record| queue.records.iter().any(|one| one.name == record.name);
        records.retain(|record| !has_newer(record));
        queue.records.splice(0..0, records);
    }

    /// Sends records that the service doesn't accept to other nodes, each record once.
    async fn broadcast_unwritten(&self, records: &mut [Record]) {
        for record in records.iter_mut().filter(|record| !record.is_broadcast) {
            record.is_broadcast = true;
            self.peers.broadcast(&record.name, &record.value).await;
        }
    }

    /// Takes the next batch from the queue; `None` if the queue is empty.
    fn next_batch(&self) -> Option<Vec<Record>> {
        let mut queue = self.queue();
        if queue.records.is_empty() {
            queue.is_sending = false;
            self.emptied.notify_waiters();
            return None;
        }
        let count = queue.records.len().min(BATCH_SIZE);
        Some(queue.records.drain(..count).collect())
    }

    async fn write(&self, records: &[Record]) -> Result<(), Error> {
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

    /// Returns a lease with at least half of [`REPORT_TTL`] left, granting a new one if needed.
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

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn granted(&self) -> MutexGuard<'_, Option<(LeaseId, Millis)>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
