//! Deletes snapshot buckets and operations that are no longer needed.
//!
//! Otherwise the key-value service would fill up: the target's rate of changes
//! makes 19 snapshots a day. Deleting a bucket that a concurrent change reuses
//! would leave new nodes without its declarations. Two conditions prevent that:
//! keys are deleted only while the head is unchanged, and a change writes its
//! head only while its buckets are unchanged.

use std::collections::HashSet;

use super::config_store::{ConfigStore, StoredHead};
use super::layout::BLOCK_REVISIONS;
use crate::ports::{self, Condition, Transaction, Write};
use crate::schema::declaration::Operation;

/// Snapshots that are kept, for rollbacks past changes too large to carry their differences.
pub const KEPT_SNAPSHOTS: usize = 16;
/// Minimum number of revisions whose operations are kept: 16 days at the target's rate of changes.
pub const MIN_KEPT_REVISIONS: u64 = 20_000;

/// Maximum attempts when concurrent changes move the head.
const MAX_ROUNDS: usize = 3;

/// Deletes what the head's latest snapshot moved out of the retention range.
///
/// # Errors
///
/// When the service doesn't respond. What remains is deleted later or stays,
/// which is harmless.
pub async fn collect(config_store: &ConfigStore) -> Result<(), ports::Error> {
    for _ in 0..MAX_ROUNDS {
        let head = config_store.read_head().await?;
        let buckets = unused_buckets(config_store, &head).await?;
        let operations = expired_operations(config_store, &head).await?;
        if delete_if_head_unchanged(config_store, &head, buckets).await?
            && delete_if_head_unchanged(config_store, &head, operations).await?
        {
            return Ok(());
        }
    }
    Ok(())
}

/// Walks back from the newest snapshot to the first that isn't kept and returns
/// the keys of its buckets that no kept snapshot uses.
async fn unused_buckets(
    config_store: &ConfigStore,
    head: &StoredHead,
) -> Result<Vec<String>, ports::Error> {
    let mut kept: HashSet<Vec<u8>> = HashSet::new();
    let mut revision = head.head.snapshot_revision;
    for _ in 0..KEPT_SNAPSHOTS {
        let Some(operation) = snapshot_operation(config_store, revision).await? else {
            return Ok(Vec::new());
        };
        kept.extend(operation.bucket_digests.iter().cloned());
        revision = operation.previous_snapshot;
    }
    let Some(old) = snapshot_operation(config_store, revision).await? else {
        return Ok(Vec::new());
    };
    let unused: HashSet<&Vec<u8>> = old
        .bucket_digests
        .iter()
        .filter(|digest| !kept.contains(*digest))
        .collect();
    let keys = config_store.layout();
    Ok(unused
        .into_iter()
        .map(|digest| keys.bucket(digest))
        .collect())
}

async fn snapshot_operation(
    config_store: &ConfigStore,
    revision: u64,
) -> Result<Option<Operation>, ports::Error> {
    if revision == 0 {
        return Ok(None);
    }
    let operation = config_store.read_operation(revision).await?;
    Ok(operation.map(|operation| (*operation).clone()))
}

/// Returns the keys of the block of operations that just left the retention range.
async fn expired_operations(
    config_store: &ConfigStore,
    head: &StoredHead,
) -> Result<Vec<String>, ports::Error> {
    let Some(old) = head
        .head
        .revision
        .checked_sub(MIN_KEPT_REVISIONS + BLOCK_REVISIONS)
    else {
        return Ok(Vec::new());
    };
    let keys = config_store.layout();
    let operations = config_store.read_block(old).await?;
    let removed = operations.iter().flat_map(|operation| {
        let change = keys.change(&operation.change_id);
        [keys.operation(operation.revision), change]
    });
    Ok(removed.collect())
}

/// Deletes keys if the head is unchanged. Returns false if it has changed.
async fn delete_if_head_unchanged(
    config_store: &ConfigStore,
    head: &StoredHead,
    removed: Vec<String>,
) -> Result<bool, ports::Error> {
    let Some(mod_revision) = head.mod_revision else {
        return Ok(true);
    };
    if removed.is_empty() {
        return Ok(true);
    }
    let transaction = Transaction {
        conditions: vec![Condition::Unchanged(
            config_store.layout().head(),
            mod_revision,
        )],
        writes: removed.into_iter().map(Write::Delete).collect(),
    };
    let commit = config_store
        .with_timeout(config_store.kv_store().commit(transaction))
        .await?;
    Ok(commit.done)
}
