//! Earlier revisions: their operations and declarations.

use std::sync::Arc;

use super::config_store::ConfigStore;
use super::error::Error;
use super::layout::BLOCK_REVISIONS;
use super::state::omits_differences;
use super::view::View;
use crate::declaration::{DeclarationSet, diff};
use crate::ports;
use crate::schema::declaration::Operation;

/// Reads up to `limit` operations up to revision `last`, newest first.
///
/// # Errors
///
/// When the service doesn't respond.
pub async fn list(
    config_store: &ConfigStore,
    last: u64,
    limit: usize,
) -> Result<Vec<Arc<Operation>>, ports::Error> {
    let mut found: Vec<Arc<Operation>> = Vec::new();
    let mut block = last / BLOCK_REVISIONS;
    loop {
        let listed = config_store.read_block(block * BLOCK_REVISIONS).await?;
        // The oldest blocks are deleted first, so an empty one ends the history.
        let ended = block == 0 || listed.is_empty();
        let older = listed.into_iter().rev();
        found.extend(older.filter(|operation| operation.revision <= last));
        if ended || found.len() >= limit {
            found.truncate(limit);
            return Ok(found);
        }
        block -= 1;
    }
}

/// Returns the declarations of a revision.
///
/// Differences are reverted one by one from the newest revision. Where an
/// operation omits them, the snapshot before it is read instead.
///
/// # Errors
///
/// [`Error::UnknownRevision`] when a needed operation or snapshot is no longer kept.
pub async fn declared_at(
    config_store: &ConfigStore,
    newest: &View,
    revision: u64,
) -> Result<DeclarationSet, Error> {
    if revision > newest.revision() {
        return Err(Error::UnknownRevision(revision));
    }
    let mut set = newest.to_set();
    let mut at = newest.revision();
    while at > revision {
        let operations = config_store
            .read_block(at)
            .await
            .map_err(Error::Unavailable)?;
        let before = at;
        for operation in operations.iter().rev() {
            if operation.revision != at || at == revision {
                continue;
            }
            if omits_differences(operation) {
                return replay_from_snapshot(config_store, operation.previous_snapshot, revision)
                    .await;
            }
            diff::patch(&mut set, &diff::reverse(&operation.differences));
            at -= 1;
        }
        if at == before {
            return Err(Error::UnknownRevision(revision));
        }
    }
    Ok(set)
}

/// Reads the newest snapshot at or before `revision` and applies the operations after it.
async fn replay_from_snapshot(
    config_store: &ConfigStore,
    snapshot: u64,
    revision: u64,
) -> Result<DeclarationSet, Error> {
    let mut snapshot = snapshot;
    let unknown = |_| Error::UnknownRevision(revision);
    while snapshot > revision {
        let operation = config_store
            .read_operation(snapshot)
            .await
            .map_err(Error::Unavailable)?;
        let operation = operation.ok_or(Error::UnknownRevision(revision))?;
        snapshot = operation.previous_snapshot;
    }
    let mut set = DeclarationSet::default();
    if snapshot > 0 {
        let operation = config_store
            .read_operation(snapshot)
            .await
            .map_err(Error::Unavailable)?;
        let operation = operation.ok_or(Error::UnknownRevision(revision))?;
        set = config_store
            .read_buckets(&operation.bucket_digests)
            .await
            .map_err(unknown)?;
    }
    let later = config_store
        .read_operations(snapshot, revision)
        .await
        .map_err(unknown)?;
    for operation in later {
        diff::patch(&mut set, &operation.differences);
    }
    Ok(set)
}
