//! Copies of streams' origins in the key-value service, for when the nodes that remember them are
//! lost together.
//!
//! The service takes few writes, so the copies are written seldom: the more nodes there are, the
//! older the newest copy. Nodes read them one by one instead of following them. See
//! docs/design/0017-streams-and-software-versions.md.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::dialect::Dialect;
use super::origin::{Origin, Record, STREAM_LIFETIME, StreamKey};
use crate::clock::{Clock, Millis};
use crate::name::Name;
use crate::ports::{Error, Lease, LeaseId, Store, Transaction, Write};

/// Transactions a second that all nodes together make.
const WRITES_PER_SECOND: u64 = 20;

/// Shortest interval between the transactions of a node.
const MIN_INTERVAL: Millis = Millis(500);

/// Origins in a transaction; the service accepts 32 rows.
pub const BATCH_SIZE: usize = 32;

/// Reads in progress; callers name streams, and the service takes a limited number of calls.
const MAX_READS: usize = 32;

/// Timeout of a read, after which the stream's caller is rejected.
const READ_TIMEOUT: Millis = Millis(500);

/// Timeout of a write, whose origins are then given up.
const WRITE_TIMEOUT: Millis = Millis(2_000);

/// A stream's origin as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct Copy {
    pool: Name,
    software: Name,
}

/// Writes and reads the copies.
#[derive(Debug)]
pub struct OriginStore {
    store: Arc<dyn Store>,
    lease: Arc<dyn Lease>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    reads: Semaphore,
    /// The lease of new copies, and when it was granted.
    granted: Mutex<Option<(LeaseId, Millis)>>,
}

impl OriginStore {
    /// Creates the client of a node.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        lease: Arc<dyn Lease>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            lease,
            dialect,
            clock,
            reads: Semaphore::new(MAX_READS),
            granted: Mutex::default(),
        }
    }

    /// Returns how often one of some nodes may write copies.
    #[must_use]
    pub fn interval(nodes: usize) -> Millis {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        Millis(nodes.saturating_mul(1_000) / WRITES_PER_SECOND).max(MIN_INTERVAL)
    }

    /// Writes copies of at most [`BATCH_SIZE`] origins; those that can't be written are given up.
    pub async fn write(&self, records: &[Record]) {
        let writing = tokio::time::timeout(WRITE_TIMEOUT.duration(), self.try_write(records));
        let error = match writing.await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {WRITE_TIMEOUT}"),
        };
        *self.granted.lock().unwrap_or_else(PoisonError::into_inner) = None;
        log::info!("origins: {} can't be copied: {error}", records.len());
    }

    /// Returns the copy of a stream's origin, if there is one that can be read now.
    pub async fn read(&self, stream: StreamKey) -> Option<Origin> {
        let Ok(_permit) = self.reads.try_acquire() else {
            log::info!("origins: {MAX_READS} copies are being read, one more is not");
            return None;
        };
        let key = self.key(stream);
        let reading = tokio::time::timeout(READ_TIMEOUT.duration(), self.store.get(&key));
        let entry = match reading.await {
            Ok(Ok(entry)) => entry?,
            Ok(Err(error)) => {
                log::info!("origins: a copy can't be read: {error}");
                return None;
            }
            Err(_) => {
                log::info!("origins: a copy can't be read within {READ_TIMEOUT}");
                return None;
            }
        };
        match serde_json::from_slice::<Copy>(&entry.value) {
            Ok(Copy { pool, software }) => Some(Origin { pool, software }),
            Err(error) => {
                log::error!("origins: can't decode {key}: {error}");
                None
            }
        }
    }

    async fn try_write(&self, records: &[Record]) -> Result<(), Error> {
        let lease = self.lease().await?;
        let mut writes = Vec::with_capacity(records.len());
        for Record { stream, origin, .. } in records {
            let copy = Copy {
                pool: Name::clone(&origin.pool),
                software: Name::clone(&origin.software),
            };
            let value =
                serde_json::to_vec(&copy).map_err(|error| Error::Malformed(error.to_string()))?;
            writes.push(Write::Put(self.key(*stream), value.into(), Some(lease)));
        }
        let transaction = Transaction {
            conditions: Vec::new(),
            writes,
        };
        self.store.commit(transaction).await.map(drop)
    }

    /// Returns a lease that lasts for at least a stream's lifetime, granting a new one if needed.
    async fn lease(&self) -> Result<LeaseId, Error> {
        let now = self.clock.now();
        let granted = *self.granted.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((lease, since)) = granted
            && now.since(since) < STREAM_LIFETIME
        {
            return Ok(lease);
        }
        let lease = self.lease.grant(Millis(STREAM_LIFETIME.0 * 2)).await?;
        *self.granted.lock().unwrap_or_else(PoisonError::into_inner) = Some((lease, now));
        Ok(lease)
    }

    fn key(&self, stream: StreamKey) -> String {
        self.dialect.unfollowed_key(&format!("{:016x}", stream.0))
    }
}
