//! Writes a change to the key-value service: once, and with a certain answer.
//!
//! What can go wrong: a write takes effect and its answer never comes. Taking
//! that for a failure would report a change as lost that is in force; sending it
//! again blindly could apply it twice. The transaction's conditions prevent both:
//! the head is unchanged and the change's identity is unused, so it takes effect
//! at most once and may be sent again. Conditions that failed once fail for
//! ever; whether the identity is used then says whose change won.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use super::error::Error;
use super::heavy;
use super::layout::{self, BLOCK_REVISIONS, EncodedBucket, MAX_INLINE_BYTES, MAX_VALUE_BYTES};
use super::source::{HeadAt, Source};
use super::view::View;
use crate::clock::Millis;
use crate::ports::{self, Commit, Condition, Transaction, Write};
use crate::schema::declaration::{Head, Operation};

/// Most bytes of buckets written in one call.
const BATCH_BYTES: usize = 700_000;
/// Most buckets written in one call.
const BATCH: usize = 32;
/// First wait before a call is made again, in milliseconds.
const FIRST_WAIT: Millis = Millis(50);
/// Longest wait before a call is made again, in milliseconds.
const MAX_WAIT: Millis = Millis(1_000);
/// How often one call is made while no answer comes.
const TRIES: u32 = 12;

/// A change that is ready to be written.
#[derive(Debug)]
pub struct Proposal {
    /// The head that it follows.
    pub base: HeadAt,
    /// The configuration after it.
    pub after: View,
    /// The operation, with its differences.
    pub operation: Operation,
}

/// How a proposal that was answered ended.
#[derive(Debug, Clone)]
pub enum Ending {
    /// It is accepted and durable.
    Accepted,
    /// The same change was accepted earlier, as this revision.
    Already(u64),
    /// Another change has the revision.
    Lost(Arc<Operation>),
    /// The head moved, or a bucket was replaced; everything must be read anew.
    Again,
}

/// Writes a proposal.
///
/// # Errors
///
/// [`Error::OutcomeUnknown`] when the service stays silent; then nobody can say
/// whether it was accepted until the service answers again.
pub async fn write(source: &Source, proposal: &Proposal) -> Result<Ending, Error> {
    let revision = proposal.operation.revision;
    let encoded = proposal.operation.encoded_len();
    let snapshot = encoded > MAX_INLINE_BYTES
        || revision.is_multiple_of(BLOCK_REVISIONS)
        || proposal.base.head.snapshot_revision == 0
        || revision / BLOCK_REVISIONS != proposal.base.head.revision / BLOCK_REVISIONS
        // The service lost revisions that the nodes have: operations between are gone.
        || revision != proposal.base.head.revision + 1;
    let mut operation = proposal.operation.clone();
    let mut head = Head {
        revision,
        change_id: operation.change_id.clone(),
        view_digest: operation.view_digest.clone(),
        ..proposal.base.head.clone()
    };
    operation.previous_snapshot = proposal.base.head.snapshot_revision;
    let mut guards = Vec::new();
    if snapshot {
        if encoded > MAX_INLINE_BYTES {
            operation.differences.clear();
        }
        let buckets = heavy::run(|| layout::encode_buckets(&proposal.after.to_set()));
        guards = put_buckets(source, &proposal.base.head, &buckets).await?;
        head.snapshot_revision = revision;
        head.bucket_digests = buckets.into_iter().map(|bucket| bucket.digest).collect();
        operation.bucket_digests.clone_from(&head.bucket_digests);
    }
    let transaction = transaction(source, proposal, &operation, &head, guards)?;
    commit(source, &transaction, &operation).await
}

fn transaction(
    source: &Source,
    proposal: &Proposal,
    operation: &Operation,
    head: &Head,
    guards: Vec<Condition>,
) -> Result<Transaction, Error> {
    let keys = source.layout();
    let change = keys.change(&operation.change_id);
    let unchanged = match proposal.base.written {
        Some(written) => Condition::Unchanged(keys.head(), written),
        None => Condition::Absent(keys.head()),
    };
    let mut conditions = vec![unchanged, Condition::Absent(change.clone())];
    conditions.extend(guards);
    let operation_value = value(operation.encode_to_vec())?;
    let head_value = value(head.encode_to_vec())?;
    let revision = Bytes::from(operation.revision.to_string());
    let writes = vec![
        Write::Put(keys.operation(operation.revision), operation_value, None),
        Write::Put(keys.head(), head_value, None),
        Write::Put(change, revision, None),
    ];
    Ok(Transaction { conditions, writes })
}

fn value(bytes: Vec<u8>) -> Result<Bytes, Error> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes.into())
}

/// Writes the buckets that the head doesn't have yet.
///
/// Returns the conditions that they are still there when the head is written:
/// a node that clears away an older snapshot could otherwise remove a bucket
/// that this change uses again, and fresh nodes would miss declarations.
async fn put_buckets(
    source: &Source,
    head: &Head,
    buckets: &[EncodedBucket],
) -> Result<Vec<Condition>, Error> {
    let keys = source.layout();
    let mut guards = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    // Buckets that are alike, such as empty ones, share a key, which a
    // transaction may write only once.
    let mut written: HashSet<&[u8]> = head.bucket_digests.iter().map(Vec::as_slice).collect();
    for bucket in buckets {
        if !written.insert(&bucket.digest) {
            continue;
        }
        let key = keys.bucket(&bucket.digest);
        if batch.len() == BATCH || bytes + bucket.value.len() > BATCH_BYTES {
            put_batch(source, &mut batch, &mut guards).await?;
            bytes = 0;
        }
        bytes += bucket.value.len();
        batch.push((key, value(bucket.value.clone())?));
    }
    put_batch(source, &mut batch, &mut guards).await?;
    Ok(guards)
}

async fn put_batch(
    source: &Source,
    batch: &mut Vec<(String, Bytes)>,
    guards: &mut Vec<Condition>,
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
    let mut wait = FIRST_WAIT;
    let mut tries = 0;
    let done = loop {
        // Writing the same bucket twice changes nothing, so any failure may be tried again.
        match attempt(source, &transaction).await {
            Ok(commit) => break commit,
            Err(error) if tries + 1 == TRIES => return Err(Error::Unavailable(error)),
            Err(ports::Error::NoAnswer(_) | ports::Error::Malformed(_)) => {}
            Err(error) => return Err(Error::Unavailable(error)),
        }
        tries += 1;
        tokio::time::sleep(wait.duration()).await;
        wait = (wait + wait).min(MAX_WAIT);
    };
    guards.extend(
        batch
            .drain(..)
            .map(|(key, _)| Condition::Unchanged(key, done.revision)),
    );
    Ok(())
}

async fn attempt(source: &Source, transaction: &Transaction) -> Result<Commit, ports::Error> {
    source
        .timed(source.store().commit(transaction.clone()))
        .await
}

/// Commits until an answer is certain.
async fn commit(
    source: &Source,
    transaction: &Transaction,
    operation: &Operation,
) -> Result<Ending, Error> {
    let mut wait = FIRST_WAIT;
    // Whether an earlier try may have taken effect.
    let mut open = false;
    let mut last = ports::Error::NoAnswer("the service stayed silent".into());
    for _ in 0..TRIES {
        match attempt(source, transaction).await {
            Ok(commit) if commit.done => return Ok(Ending::Accepted),
            // Conditions that fail once fail for ever: this or an earlier try
            // has taken effect, or none ever will.
            Ok(_) => match verdict(source, operation).await {
                Ok(ending) => return Ok(ending),
                Err(error) => last = error,
            },
            Err(error @ (ports::Error::NoAnswer(_) | ports::Error::Malformed(_))) => {
                open = true;
                last = error;
            }
            Err(error) if !open => return Err(Error::Unavailable(error)),
            Err(error) => last = error,
        }
        tokio::time::sleep(wait.duration()).await;
        wait = (wait + wait).min(MAX_WAIT);
    }
    Err(Error::OutcomeUnknown {
        id: operation.change_id.clone(),
        cause: last,
    })
}

/// Finds out why the conditions failed.
async fn verdict(source: &Source, operation: &Operation) -> Result<Ending, ports::Error> {
    let used = used(source, &operation.change_id).await?;
    let written = source.operation(operation.revision).await?;
    match (used, written) {
        (Some(revision), _) if revision != operation.revision => Ok(Ending::Already(revision)),
        // The identity alone doesn't tell: an operator may have used it for another change,
        // which a stale replica hid so far. Taking that for this one would put in force
        // at this node what was never written.
        (_, Some(written)) if *written == *operation => Ok(Ending::Accepted),
        (_, Some(written)) if written.change_id == operation.change_id => {
            Ok(Ending::Already(written.revision))
        }
        (Some(_), _) => Err(behind()),
        (None, Some(written)) => Ok(Ending::Lost(written)),
        (None, None) => Ok(Ending::Again),
    }
}

fn behind() -> ports::Error {
    ports::Error::NoAnswer("a stale replica answered".to_owned())
}

/// Returns which revision a change became, if it was accepted.
///
/// Reads may come from a stale replica, so the first word has a commit that
/// writes nothing: the service checks its condition against the newest data.
pub(super) async fn used(source: &Source, id: &str) -> Result<Option<u64>, ports::Error> {
    let probe = Transaction {
        conditions: vec![Condition::Absent(source.layout().change(id))],
        writes: Vec::new(),
    };
    if attempt(source, &probe).await?.done {
        return Ok(None);
    }
    let revision = source.change(id).await?;
    revision.map(Some).ok_or_else(behind)
}
