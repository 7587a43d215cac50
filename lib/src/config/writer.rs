//! Writes a change to the key-value service at most once, and determines the outcome.
//!
//! A write can take effect although its response is lost. Treating that as a
//! failure would report an accepted change as lost, and retrying without a check
//! could apply it twice. The transaction's conditions prevent both: the head is
//! unchanged and the change id is unused, so the transaction takes effect at most
//! once and can be retried. Conditions that failed once keep failing; a lookup of
//! the change id then shows whose change was accepted.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use super::blocking;
use super::config_store::{ConfigStore, StoredHead};
use super::error::Error;
use super::layout::{self, BLOCK_REVISIONS, EncodedBucket, MAX_INLINE_BYTES, MAX_VALUE_BYTES};
use super::view::View;
use crate::clock::Millis;
use crate::ports::{self, Commit, Condition, Transaction, Write};
use crate::schema::declaration::{Head, Operation};

/// Maximum bytes of buckets written in one call.
const MAX_BATCH_BYTES: usize = 700_000;
/// Maximum number of buckets written in one call.
const MAX_BATCH_BUCKETS: usize = 32;
/// Initial backoff before a call is retried, in milliseconds.
const INITIAL_BACKOFF: Millis = Millis(50);
/// Maximum backoff before a call is retried, in milliseconds.
const MAX_BACKOFF: Millis = Millis(1_000);
/// Maximum attempts of a call that gets no response.
const MAX_ATTEMPTS: u32 = 12;

/// A change that is ready to be written.
#[derive(Debug)]
pub struct Proposal {
    /// The head that it is based on.
    pub base: StoredHead,
    /// The configuration after it.
    pub after: View,
    /// The operation, with its differences.
    pub operation: Operation,
}

/// Known outcome of writing a proposal.
#[derive(Debug, Clone)]
pub enum WriteOutcome {
    /// It was accepted and is durable.
    Accepted,
    /// A change with the same id was accepted earlier, as this revision.
    AlreadyAccepted(u64),
    /// Another change was accepted as this revision.
    LostRace(Arc<Operation>),
    /// The head or a bucket changed; the proposal must be rebuilt from a new read.
    Conflict,
}

/// Writes a proposal.
///
/// # Errors
///
/// [`Error::OutcomeUnknown`] when the service doesn't respond; whether the change
/// was accepted can't be determined until it does.
pub async fn write(config_store: &ConfigStore, proposal: &Proposal) -> Result<WriteOutcome, Error> {
    let revision = proposal.operation.revision;
    let encoded = proposal.operation.encoded_len();
    let snapshot = encoded > MAX_INLINE_BYTES
        || revision.is_multiple_of(BLOCK_REVISIONS)
        || proposal.base.head.snapshot_revision == 0
        || revision / BLOCK_REVISIONS != proposal.base.head.revision / BLOCK_REVISIONS
        // The service lost revisions that the nodes have, so the operations between are gone.
        || revision != proposal.base.head.revision + 1;
    let mut operation = proposal.operation.clone();
    let mut head = Head {
        revision,
        change_id: operation.change_id.clone(),
        view_digest: operation.view_digest.clone(),
        ..proposal.base.head.clone()
    };
    operation.previous_snapshot = proposal.base.head.snapshot_revision;
    let mut bucket_conditions = Vec::new();
    if snapshot {
        if encoded > MAX_INLINE_BYTES {
            operation.differences.clear();
        }
        let buckets = blocking::run(|| layout::encode_buckets(&proposal.after.to_set()));
        bucket_conditions = put_buckets(config_store, &proposal.base.head, &buckets).await?;
        head.snapshot_revision = revision;
        head.bucket_digests = buckets.into_iter().map(|bucket| bucket.digest).collect();
        operation.bucket_digests.clone_from(&head.bucket_digests);
    }
    let transaction =
        build_transaction(config_store, proposal, &operation, &head, bucket_conditions)?;
    commit_until_known(config_store, &transaction, &operation).await
}

fn build_transaction(
    config_store: &ConfigStore,
    proposal: &Proposal,
    operation: &Operation,
    head: &Head,
    bucket_conditions: Vec<Condition>,
) -> Result<Transaction, Error> {
    let keys = config_store.layout();
    let change = keys.change(&operation.change_id);
    let unchanged = match proposal.base.mod_revision {
        Some(mod_revision) => Condition::Unchanged(keys.head(), mod_revision),
        None => Condition::Absent(keys.head()),
    };
    let mut conditions = vec![unchanged, Condition::Absent(change.clone())];
    conditions.extend(bucket_conditions);
    let operation_value = checked_value(operation.encode_to_vec())?;
    let head_value = checked_value(head.encode_to_vec())?;
    let revision = Bytes::from(operation.revision.to_string());
    let writes = vec![
        Write::Put(keys.operation(operation.revision), operation_value, None),
        Write::Put(keys.head(), head_value, None),
        Write::Put(change, revision, None),
    ];
    Ok(Transaction { conditions, writes })
}

fn checked_value(bytes: Vec<u8>) -> Result<Bytes, Error> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes.into())
}

/// Writes the buckets that the head's snapshot doesn't have.
///
/// Returns conditions that they are unchanged when the head is written. A node
/// that deletes an older snapshot could otherwise delete a bucket that this
/// change reuses, and new nodes would miss declarations.
async fn put_buckets(
    config_store: &ConfigStore,
    head: &Head,
    buckets: &[EncodedBucket],
) -> Result<Vec<Condition>, Error> {
    let keys = config_store.layout();
    let mut bucket_conditions = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    // Equal buckets, such as empty ones, share a key, and a transaction may write
    // a key only once.
    let mut written: HashSet<&[u8]> = head.bucket_digests.iter().map(Vec::as_slice).collect();
    for bucket in buckets {
        if !written.insert(&bucket.digest) {
            continue;
        }
        let key = keys.bucket(&bucket.digest);
        if batch.len() == MAX_BATCH_BUCKETS || bytes + bucket.value.len() > MAX_BATCH_BYTES {
            put_batch(config_store, &mut batch, &mut bucket_conditions).await?;
            bytes = 0;
        }
        bytes += bucket.value.len();
        batch.push((key, checked_value(bucket.value.clone())?));
    }
    put_batch(config_store, &mut batch, &mut bucket_conditions).await?;
    Ok(bucket_conditions)
}

async fn put_batch(
    config_store: &ConfigStore,
    batch: &mut Vec<(String, Bytes)>,
    bucket_conditions: &mut Vec<Condition>,
) -> Result<(), Error> {
    if batch.is_empty() {
        return Ok(());
    }
    let writes = batch
        .iter()
        .map(|(key, value)| Write::Put(key.clone(), value.clone(), None))
        .collect();
    let transaction = Transaction {
        conditions: Vec::new(),
        writes,
    };
    let mut backoff = INITIAL_BACKOFF;
    let mut attempts = 0;
    let done = loop {
        // Writing a bucket is idempotent, so it can be retried whether or not it took effect.
        match commit_once(config_store, &transaction).await {
            Ok(commit) => break commit,
            Err(error) if attempts + 1 == MAX_ATTEMPTS => return Err(Error::Unavailable(error)),
            Err(ports::Error::NoAnswer(_) | ports::Error::Malformed(_)) => {}
            Err(error) => return Err(Error::Unavailable(error)),
        }
        attempts += 1;
        tokio::time::sleep(backoff.duration()).await;
        backoff = (backoff + backoff).min(MAX_BACKOFF);
    };
    bucket_conditions.extend(
        batch
            .drain(..)
            .map(|(key, _)| Condition::Unchanged(key, done.revision)),
    );
    Ok(())
}

async fn commit_once(
    config_store: &ConfigStore,
    transaction: &Transaction,
) -> Result<Commit, ports::Error> {
    config_store
        .with_timeout(config_store.kv_store().commit(transaction.clone()))
        .await
}

/// Commits the transaction, with retries, until its outcome is known.
async fn commit_until_known(
    config_store: &ConfigStore,
    transaction: &Transaction,
    operation: &Operation,
) -> Result<WriteOutcome, Error> {
    let mut backoff = INITIAL_BACKOFF;
    // Whether an earlier attempt may have taken effect.
    let mut may_be_applied = false;
    let mut last_error = ports::Error::NoAnswer("the service stayed silent".into());
    for _ in 0..MAX_ATTEMPTS {
        match commit_once(config_store, transaction).await {
            Ok(commit) if commit.done => return Ok(WriteOutcome::Accepted),
            // Conditions that failed once keep failing: an earlier attempt has taken
            // effect, or none ever will.
            Ok(_) => match resolve_conflict(config_store, operation).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => last_error = error,
            },
            Err(error @ (ports::Error::NoAnswer(_) | ports::Error::Malformed(_))) => {
                may_be_applied = true;
                last_error = error;
            }
            Err(error) if !may_be_applied => return Err(Error::Unavailable(error)),
            Err(error) => last_error = error,
        }
        tokio::time::sleep(backoff.duration()).await;
        backoff = (backoff + backoff).min(MAX_BACKOFF);
    }
    Err(Error::OutcomeUnknown {
        id: operation.change_id.clone(),
        cause: last_error,
    })
}

/// Determines the outcome after the conditions failed.
async fn resolve_conflict(
    config_store: &ConfigStore,
    operation: &Operation,
) -> Result<WriteOutcome, ports::Error> {
    let accepted = find_accepted(config_store, &operation.change_id).await?;
    let written = config_store.read_operation(operation.revision).await?;
    match (accepted, written) {
        (Some(revision), _) if revision != operation.revision => {
            Ok(WriteOutcome::AlreadyAccepted(revision))
        }
        // The change id alone isn't enough: it may have been used for another change that
        // a stale replica hid so far. Treating that change as this one would activate
        // declarations on this node that were never written.
        (_, Some(written)) if *written == *operation => Ok(WriteOutcome::Accepted),
        (_, Some(written)) if written.change_id == operation.change_id => {
            Ok(WriteOutcome::AlreadyAccepted(written.revision))
        }
        (Some(_), _) => Err(stale_replica()),
        (None, Some(written)) => Ok(WriteOutcome::LostRace(written)),
        (None, None) => Ok(WriteOutcome::Conflict),
    }
}

fn stale_replica() -> ports::Error {
    ports::Error::NoAnswer("a stale replica answered".to_owned())
}

/// Returns the revision of a change, if it was accepted.
///
/// Reads may come from a stale replica, so the change id is checked first by a
/// transaction without writes, whose condition is evaluated on the newest data.
pub(super) async fn find_accepted(
    config_store: &ConfigStore,
    id: &str,
) -> Result<Option<u64>, ports::Error> {
    let probe = Transaction {
        conditions: vec![Condition::Absent(config_store.layout().change(id))],
        writes: Vec::new(),
    };
    if commit_once(config_store, &probe).await?.done {
        return Ok(None);
    }
    let revision = config_store.revision_of_change(id).await?;
    revision.map(Some).ok_or_else(stale_replica)
}
