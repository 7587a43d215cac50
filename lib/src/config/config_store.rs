//! Reads the configuration from the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures::{StreamExt, TryStreamExt, stream};
use prost::Message;
use thiserror::Error;

use super::blocking;
use super::layout::{self, BLOCK_REVISIONS, Layout};
use super::state::omits_differences;
use super::view::{self, View};
use crate::clock::Millis;
use crate::declaration::DeclarationSet;
use crate::ports::{self, Entry, Store};
use crate::schema::declaration::{Bucket, Head, Operation};

/// Concurrent calls while reading many values.
const MAX_CONCURRENT_READS: usize = 8;
/// Up to this many missing operations are read one by one; more are read as whole blocks.
const MAX_SINGLE_READS: u64 = 8;

/// The head and the service's revisions of its last write and of the read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredHead {
    /// The head; revision 0 before any change.
    pub head: Head,
    /// The service's revision of the head's last write; none if there is no head.
    pub mod_revision: Option<u64>,
    /// The service's revision at which the head was read.
    pub read_revision: u64,
}

/// What brings a node up to date with the head.
#[derive(Debug, Clone)]
pub enum Update {
    /// The operations after the node's revision.
    Operations(Vec<Arc<Operation>>),
    /// The complete head revision, with the digest that its writer computed.
    Snapshot(Box<View>, Vec<u8>),
}

/// Why reading the configuration failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The service failed or returned inconsistent data.
    #[error(transparent)]
    Service(#[from] ports::Error),
    /// This version can't decode the revision.
    #[error(transparent)]
    Unreadable(#[from] view::Error),
}

/// Access to the configuration in the key-value service.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    store: Arc<dyn Store>,
    layout: Layout,
    timeout: Millis,
}

impl ConfigStore {
    /// Uses `store`; a call without a response fails after `timeout`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, layout: Layout, timeout: Millis) -> Self {
        Self {
            store,
            layout,
            timeout,
        }
    }

    /// Returns the key-value service.
    #[must_use]
    pub fn kv_store(&self) -> &Arc<dyn Store> {
        &self.store
    }

    /// Returns the layout of the keys.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Reads the head.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond, or the value can't be decoded.
    pub async fn read_head(&self) -> Result<StoredHead, ports::Error> {
        let key = self.layout.head();
        let listing = self.with_timeout(self.store.list(&key)).await?;
        let entry = listing.entries.into_iter().find(|entry| entry.key == key);
        let Some(entry) = entry else {
            return Ok(StoredHead {
                read_revision: listing.revision,
                ..StoredHead::default()
            });
        };
        Ok(StoredHead {
            head: decode(&entry)?,
            mod_revision: Some(entry.revision),
            read_revision: listing.revision,
        })
    }

    /// Reads one operation.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond, or a value can't be decoded.
    pub async fn read_operation(
        &self,
        revision: u64,
    ) -> Result<Option<Arc<Operation>>, ports::Error> {
        let key = self.layout.operation(revision);
        let entry = self.with_timeout(self.store.get(&key)).await?;
        entry.map(|entry| decode(&entry).map(Arc::new)).transpose()
    }

    /// Reads the revision of a change; none if the change isn't known.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond.
    pub async fn revision_of_change(&self, id: &str) -> Result<Option<u64>, ports::Error> {
        let key = self.layout.change(id);
        let entry = self.with_timeout(self.store.get(&key)).await?;
        Ok(entry.and_then(|entry| String::from_utf8_lossy(&entry.value).parse().ok()))
    }

    /// Reads the operations of the block that contains `revision`, in order.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond, or a value can't be decoded.
    pub async fn read_block(&self, revision: u64) -> Result<Vec<Arc<Operation>>, ports::Error> {
        let prefix = self.layout.block(revision);
        let listing = self.with_timeout(self.store.list(&prefix)).await?;
        listing
            .entries
            .iter()
            .map(|entry| decode(entry).map(Arc::new))
            .collect()
    }

    /// Reads what leads from revision `have` to the head.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond, or lacks data that the head refers to:
    /// the head came from a newer replica than the rest, or its snapshot was just
    /// replaced. Reading the head again resolves both.
    pub async fn read_since(&self, have: u64, head: &Head) -> Result<Update, ReadError> {
        if head.revision.saturating_sub(have) <= BLOCK_REVISIONS {
            match self.read_operations(have, head.revision).await {
                Ok(operations) if !operations.iter().any(|o| omits_differences(o)) => {
                    return Ok(Update::Operations(operations));
                }
                Ok(_) | Err(ports::Error::Malformed(_)) => {}
                Err(error) => return Err(error.into()),
            }
        }
        self.read_full(head).await
    }

    /// Reads the complete head revision: its snapshot and the operations since.
    ///
    /// # Errors
    ///
    /// As [`ConfigStore::read_since`].
    pub async fn read_full(&self, head: &Head) -> Result<Update, ReadError> {
        let set = self.read_buckets(&head.bucket_digests).await?;
        let mut view = blocking::run(|| View::from_set(head.snapshot_revision, &set))?;
        let later = self
            .read_operations(head.snapshot_revision, head.revision)
            .await?;
        for operation in later {
            view = view.apply_differences(operation.revision, &operation.differences)?;
        }
        Ok(Update::Snapshot(Box::new(view), head.view_digest.clone()))
    }

    /// Reads the declarations of a snapshot's buckets.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond, or a bucket is missing or damaged.
    pub async fn read_buckets(&self, digests: &[Vec<u8>]) -> Result<DeclarationSet, ports::Error> {
        // Equal buckets, such as empty ones, share a key and are read once.
        let distinct: BTreeSet<Vec<u8>> = digests.iter().cloned().collect();
        let mut buckets = stream::iter(distinct)
            .map(|digest| async move { self.read_bucket(&digest).await })
            .buffer_unordered(MAX_CONCURRENT_READS);
        let mut set = DeclarationSet::default();
        while let Some(bucket) = buckets.try_next().await? {
            set.extend(bucket.file.unwrap_or_default());
        }
        Ok(set)
    }

    async fn read_bucket(&self, digest: &[u8]) -> Result<Bucket, ports::Error> {
        let entry = self
            .with_timeout(self.store.get(&self.layout.bucket(digest)))
            .await?;
        let entry = entry.ok_or_else(|| missing_error("a bucket"))?;
        if layout::digest(&entry.value) != digest {
            return Err(ports::Error::Malformed(format!(
                "{} isn't what its digest says",
                entry.key
            )));
        }
        decode(&entry)
    }

    /// Reads all operations after `have` up to `last`; a missing one is an error.
    pub(super) async fn read_operations(
        &self,
        have: u64,
        last: u64,
    ) -> Result<Vec<Arc<Operation>>, ports::Error> {
        let operations = if last.saturating_sub(have) <= MAX_SINGLE_READS {
            self.read_singly(have, last).await?
        } else {
            self.read_blocks(have, last).await?
        };
        let expected = usize::try_from(last.saturating_sub(have)).unwrap_or(usize::MAX);
        if operations.len() != expected {
            return Err(missing_error("an operation"));
        }
        Ok(operations)
    }

    async fn read_singly(&self, have: u64, last: u64) -> Result<Vec<Arc<Operation>>, ports::Error> {
        let found: Vec<Option<Arc<Operation>>> = stream::iter(have + 1..=last)
            .map(|revision| self.read_operation(revision))
            .buffered(MAX_CONCURRENT_READS)
            .try_collect()
            .await?;
        Ok(found.into_iter().flatten().collect())
    }

    async fn read_blocks(&self, have: u64, last: u64) -> Result<Vec<Arc<Operation>>, ports::Error> {
        let mut operations = Vec::new();
        for block in (have + 1) / BLOCK_REVISIONS..=last / BLOCK_REVISIONS {
            let listed = self.read_block(block * BLOCK_REVISIONS).await?;
            operations.extend(
                listed
                    .into_iter()
                    .filter(|operation| (have + 1..=last).contains(&operation.revision)),
            );
        }
        Ok(operations)
    }

    /// Bounds the time of a call. A service that accepts connections but doesn't
    /// respond would otherwise block the caller forever.
    pub(super) async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, ports::Error>>,
    ) -> Result<T, ports::Error> {
        tokio::time::timeout(self.timeout.duration(), call)
            .await
            .unwrap_or_else(|_| Err(ports::Error::NoAnswer("the call took too long".into())))
    }
}

fn decode<M: Message + Default>(entry: &Entry) -> Result<M, ports::Error> {
    M::decode(entry.value.clone())
        .map_err(|error| ports::Error::Malformed(format!("{}: {error}", entry.key)))
}

fn missing_error(what: &str) -> ports::Error {
    ports::Error::Malformed(format!("{what} that the head speaks of is missing"))
}
