//! Writes claims to the key-value service, many per transaction, and resolves
//! the outcome after a lost response or a write by another node.

use std::sync::Arc;

use crate::clock::{Clock, Millis};
use crate::ports::{Condition, Entry, Error, Lease, LeaseId, Store, Transaction, Write};

use super::record::ClaimRecord;

/// Most transactions per batch.
///
/// Operations that are unresolved after them end as [`Outcome::Unknown`], so that
/// callers don't wait for a service that keeps rejecting transactions.
const MAX_TRANSACTIONS: u32 = 4;

/// What to do with a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Write the record if the key is absent.
    Acquire(ClaimRecord),
    /// Delete the claim if it is still the one written at this revision of the service.
    Release(u64),
}

/// An operation on the claim at a store key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The store key.
    pub key: String,
    /// What to do with the claim.
    pub operation: Operation,
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request holds the claim, written at this revision of the service.
    Acquired(u64),
    /// Another request holds the claim; `None` if its record is malformed.
    Conflict(Option<ClaimRecord>),
    /// The request holds the claim no longer.
    Released,
    /// Nothing was written, and nothing will be.
    NotWritten,
    /// The claim may have been written, or may yet be.
    Unknown,
}

/// The lease that new claims are attached to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLease {
    /// ID of the lease.
    pub id: LeaseId,
    /// When it was requested, on the node's clock.
    pub requested_at: Millis,
}

/// Writes batches of claim operations.
#[derive(Debug, Clone)]
pub struct ClaimWriter {
    /// Stores the claims.
    pub store: Arc<dyn Store>,
    /// Grants leases.
    pub lease: Arc<dyn Lease>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// Shortest time that a claim is kept.
    pub retention: Millis,
}

impl ClaimWriter {
    /// Carries out all operations and returns their outcomes in order.
    ///
    /// Each must be on a different key.
    pub async fn write_batch(
        &self,
        batch: &[ClaimWrite],
        lease: &mut Option<ClaimLease>,
    ) -> Vec<Outcome> {
        let mut outcomes = vec![None; batch.len()];
        let mut maybe_written = false;
        for _ in 0..MAX_TRANSACTIONS {
            let unresolved: Vec<usize> = (0..batch.len())
                .filter(|i| outcomes[*i].is_none())
                .collect();
            if unresolved.is_empty() {
                break;
            }
            self.try_commit(batch, &unresolved, lease, &mut outcomes, &mut maybe_written)
                .await;
        }
        // The last transaction of an operation that is still unresolved was rejected, got no
        // response or failed on a condition.
        outcomes
            .into_iter()
            .map(|outcome| outcome.unwrap_or(Outcome::Unknown))
            .collect()
    }

    /// Sends one transaction for the unresolved operations and notes their outcomes.
    ///
    /// `maybe_written` is set when the response to a transaction was lost.
    async fn try_commit(
        &self,
        batch: &[ClaimWrite],
        unresolved: &[usize],
        lease: &mut Option<ClaimLease>,
        outcomes: &mut [Option<Outcome>],
        maybe_written: &mut bool,
    ) {
        let Some(id) = self.current_lease(lease).await else {
            resolve_unsent(unresolved, outcomes, *maybe_written);
            return;
        };
        let transaction = transaction(unresolved.iter().map(|index| &batch[*index]), id);
        match self.store.commit(transaction).await {
            Ok(commit) if commit.done => {
                for index in unresolved {
                    outcomes[*index] = Some(batch[*index].committed(commit.revision));
                }
            }
            Err(Error::Unreachable(_)) => resolve_unsent(unresolved, outcomes, *maybe_written),
            Err(Error::Refused(reason)) => {
                // Usually the lease has expired; the next transaction uses a new one.
                log::warn!("claim: the key-value service rejected a transaction: {reason}");
                *lease = None;
            }
            // A condition failed; reading the keys shows which.
            Ok(_) => self.read_back(batch, unresolved, outcomes).await,
            Err(Error::NoAnswer(_) | Error::Malformed(_)) => {
                *maybe_written = true;
                self.read_back(batch, unresolved, outcomes).await;
            }
        }
    }

    /// Resolves operations by the current values of their keys.
    ///
    /// Operations that can still be carried out stay unresolved. After a lost
    /// response the write may yet arrive. Writing again is safe: both writes carry
    /// the same request ID, and only one of them finds the key absent.
    async fn read_back(
        &self,
        batch: &[ClaimWrite],
        unresolved: &[usize],
        outcomes: &mut [Option<Outcome>],
    ) {
        let reads = unresolved
            .iter()
            .map(|index| self.store.get(&batch[*index].key));
        let found = futures::future::join_all(reads).await;
        for (index, found) in unresolved.iter().zip(found) {
            outcomes[*index] = match found {
                Ok(entry) => batch[*index].outcome_for(entry.as_ref()),
                Err(_) => Some(Outcome::Unknown),
            };
        }
    }

    /// Returns the lease for new claims; a new one once a quarter of the retention has passed.
    ///
    /// Sharing a lease costs the service one call every few hours, and claims need
    /// no explicit cleanup: the service removes them when the lease ends.
    async fn current_lease(&self, lease: &mut Option<ClaimLease>) -> Option<LeaseId> {
        let now = self.clock.now();
        let quarter = Millis(self.retention.0 / 4);
        if let Some(lease) = lease.filter(|lease| now < lease.requested_at + quarter) {
            return Some(lease.id);
        }
        match self.lease.grant(self.retention + quarter).await {
            Ok(id) => {
                *lease = Some(ClaimLease {
                    id,
                    requested_at: now,
                });
                Some(id)
            }
            Err(error) => {
                log::warn!("claim: failed to obtain a lease for claims: {error}");
                None
            }
        }
    }

    /// Removes the claim at this key if it belongs to this request.
    ///
    /// # Errors
    ///
    /// When the key couldn't be read or the deletion couldn't be confirmed.
    pub async fn remove_own(&self, key: &str, request: &str) -> Result<(), Error> {
        let Some(entry) = self.store.get(key).await? else {
            return Ok(());
        };
        if ClaimRecord::decode(&entry.value).is_none_or(|record| &*record.request != request) {
            return Ok(());
        }
        let transaction = Transaction {
            conditions: vec![Condition::Unchanged(key.into(), entry.revision)],
            writes: vec![Write::Delete(key.into())],
        };
        self.store.commit(transaction).await.map(|_| ())
    }
}

/// Resolves operations whose last transaction wasn't sent.
///
/// An earlier transaction whose response was lost may still take effect. Calling
/// its operations not written would leave claims behind that are never removed.
fn resolve_unsent(unresolved: &[usize], outcomes: &mut [Option<Outcome>], maybe_written: bool) {
    let outcome = if maybe_written {
        Outcome::Unknown
    } else {
        Outcome::NotWritten
    };
    for index in unresolved {
        outcomes[*index] = Some(outcome.clone());
    }
}

fn transaction<'a>(writes: impl Iterator<Item = &'a ClaimWrite>, lease: LeaseId) -> Transaction {
    let mut transaction = Transaction::default();
    for claim in writes {
        let key = || claim.key.clone();
        let (condition, write) = match &claim.operation {
            Operation::Acquire(record) => (
                Condition::Absent(key()),
                Write::Put(key(), record.encode(), Some(lease)),
            ),
            Operation::Release(revision) => {
                (Condition::Unchanged(key(), *revision), Write::Delete(key()))
            }
        };
        transaction.conditions.push(condition);
        transaction.writes.push(write);
    }
    transaction
}

impl ClaimWrite {
    /// Returns the outcome of a transaction that was committed at this revision.
    fn committed(&self, revision: u64) -> Outcome {
        match self.operation {
            Operation::Acquire(_) => Outcome::Acquired(revision),
            Operation::Release(_) => Outcome::Released,
        }
    }

    /// Returns the outcome given the entry at the key; `None` if the operation is still to be done.
    fn outcome_for(&self, entry: Option<&Entry>) -> Option<Outcome> {
        match (&self.operation, entry) {
            (Operation::Acquire(_), None) => None,
            (Operation::Acquire(own), Some(entry)) => {
                let record = ClaimRecord::decode(&entry.value);
                let is_own = record
                    .as_ref()
                    .is_some_and(|found| found.request == own.request);
                Some(if is_own {
                    Outcome::Acquired(entry.revision)
                } else {
                    Outcome::Conflict(record)
                })
            }
            (Operation::Release(revision), Some(entry)) if entry.revision == *revision => None,
            (Operation::Release(_), _) => Some(Outcome::Released),
        }
    }
}
