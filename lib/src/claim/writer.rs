//! Writes claims to the key-value service, many in one transaction, and settles
//! what a lost answer or another writer leaves open.

use std::sync::Arc;

use crate::clock::{Clock, Millis};
use crate::ports::{Condition, Entry, Error, Lease, LeaseId, Store, Transaction, Write};

use super::record::ClaimRecord;

/// Transactions that one batch gets; what is open after them counts as doubtful, so that a
/// caller is not kept waiting for a service that keeps refusing.
const ROUNDS: u32 = 4;

/// A change of one claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Take it, if nobody has.
    Take(ClaimRecord),
    /// Give it back, as it was written at this revision of the service.
    Release(u64),
}

/// A change of one claim, under the claim's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The service's key.
    pub key: String,
    /// What to do with it.
    pub change: Change,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The claim is this request's own, written at this revision of the service.
    Taken(u64),
    /// Another request has the claim; none if its record can't be read.
    Found(Option<ClaimRecord>),
    /// The claim is given back.
    Released,
    /// Nothing was written, and nothing will be.
    Failed,
    /// Nobody can tell whether it was written, or still will be.
    Doubtful,
}

/// The lease that new claims live with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Its number.
    pub lease: LeaseId,
    /// When it was asked for, on the node's clock.
    pub since: Millis,
}

/// Writes batches of jobs.
#[derive(Debug, Clone)]
pub struct Writer {
    /// Holds the claims.
    pub store: Arc<dyn Store>,
    /// Grants leases.
    pub lease: Arc<dyn Lease>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// Shortest time that a claim is kept.
    pub retention: Millis,
}

impl Writer {
    /// Does all jobs, which are on different keys; returns how each ended, in order.
    pub async fn write(&self, jobs: &[Job], held: &mut Option<Held>) -> Vec<Outcome> {
        let mut outcomes = vec![None; jobs.len()];
        let mut doubt = false;
        for _ in 0..ROUNDS {
            let open: Vec<usize> = (0..jobs.len()).filter(|i| outcomes[*i].is_none()).collect();
            if open.is_empty() {
                break;
            }
            self.round(jobs, &open, held, &mut outcomes, &mut doubt)
                .await;
        }
        // A job that is still open met a doubtful answer last, or lost a race each time.
        outcomes
            .into_iter()
            .map(|outcome| outcome.unwrap_or(Outcome::Doubtful))
            .collect()
    }

    async fn round(
        &self,
        jobs: &[Job],
        open: &[usize],
        held: &mut Option<Held>,
        outcomes: &mut [Option<Outcome>],
        doubt: &mut bool,
    ) {
        let Some(lease) = self.current(held).await else {
            fail(open, outcomes, *doubt);
            return;
        };
        let transaction = transaction(open.iter().map(|index| &jobs[*index]), lease);
        match self.store.commit(transaction).await {
            Ok(commit) if commit.done => {
                for index in open {
                    outcomes[*index] = Some(jobs[*index].done(commit.revision));
                }
            }
            Err(Error::Unreachable(_)) => fail(open, outcomes, *doubt),
            Err(Error::Refused(reason)) => {
                // The usual reason is a lease that is gone; the next round takes a new one.
                log::warn!("claim: the service refused a transaction: {reason}");
                *held = None;
            }
            // A condition failed: each key itself says which.
            Ok(_) => self.read_back(jobs, open, outcomes).await,
            Err(Error::NoAnswer(_) | Error::Malformed(_)) => {
                *doubt = true;
                self.read_back(jobs, open, outcomes).await;
            }
        }
    }

    /// Settles jobs by what their keys hold; what can still be done stays open.
    ///
    /// After a lost answer the write may yet arrive. Writing it again is safe:
    /// both carry the same mark and only one of them finds the key absent.
    async fn read_back(&self, jobs: &[Job], open: &[usize], outcomes: &mut [Option<Outcome>]) {
        let reads = open.iter().map(|index| self.store.get(&jobs[*index].key));
        let found = futures::future::join_all(reads).await;
        for (index, found) in open.iter().zip(found) {
            outcomes[*index] = match found {
                Ok(entry) => jobs[*index].judge(entry.as_ref()),
                Err(_) => Some(Outcome::Doubtful),
            };
        }
    }

    /// Returns the lease for new claims, taking a new one when the old has run for a while.
    ///
    /// One lease for many claims costs the service a call in hours, and nobody
    /// has to clean up: the service removes them with the lease.
    async fn current(&self, held: &mut Option<Held>) -> Option<LeaseId> {
        let now = self.clock.now();
        let quarter = Millis(self.retention.0 / 4);
        if let Some(held) = held.filter(|held| now < held.since + quarter) {
            return Some(held.lease);
        }
        match self.lease.grant(self.retention + quarter).await {
            Ok(lease) => {
                *held = Some(Held { lease, since: now });
                Some(lease)
            }
            Err(error) => {
                log::warn!("claim: no lease for claims: {error}");
                None
            }
        }
    }

    /// Removes a claim that carries this mark, if it is there.
    ///
    /// # Errors
    ///
    /// When the service didn't say so.
    pub async fn erase(&self, key: &str, mark: &str) -> Result<(), Error> {
        let Some(entry) = self.store.get(key).await? else {
            return Ok(());
        };
        if ClaimRecord::decode(&entry.value).is_none_or(|record| &*record.request != mark) {
            return Ok(());
        }
        let transaction = Transaction {
            conditions: vec![Condition::Unchanged(key.into(), entry.revision)],
            writes: vec![Write::Delete(key.into())],
        };
        self.store.commit(transaction).await.map(|_| ())
    }
}

/// Gives jobs up whose last transaction wasn't sent.
///
/// A transaction before it whose answer was lost may still take effect; calling
/// the job failed then would leave a claim behind that nobody clears away.
fn fail(open: &[usize], outcomes: &mut [Option<Outcome>], doubt: bool) {
    let end = if doubt {
        Outcome::Doubtful
    } else {
        Outcome::Failed
    };
    for index in open {
        outcomes[*index] = Some(end.clone());
    }
}

fn transaction<'a>(jobs: impl Iterator<Item = &'a Job>, lease: LeaseId) -> Transaction {
    let mut transaction = Transaction::default();
    for job in jobs {
        let key = || job.key.clone();
        let (condition, write) = match &job.change {
            Change::Take(record) => (
                Condition::Absent(key()),
                Write::Put(key(), record.encode(), Some(lease)),
            ),
            Change::Release(revision) => {
                (Condition::Unchanged(key(), *revision), Write::Delete(key()))
            }
        };
        transaction.conditions.push(condition);
        transaction.writes.push(write);
    }
    transaction
}

impl Job {
    fn done(&self, revision: u64) -> Outcome {
        match self.change {
            Change::Take(_) => Outcome::Taken(revision),
            Change::Release(_) => Outcome::Released,
        }
    }

    /// Returns how the job ended given what its key holds; none when it is to be done still.
    fn judge(&self, entry: Option<&Entry>) -> Option<Outcome> {
        match (&self.change, entry) {
            (Change::Take(_), None) => None,
            (Change::Take(own), Some(entry)) => {
                let record = ClaimRecord::decode(&entry.value);
                let mine = record
                    .as_ref()
                    .is_some_and(|found| found.request == own.request);
                Some(if mine {
                    Outcome::Taken(entry.revision)
                } else {
                    Outcome::Found(record)
                })
            }
            (Change::Release(revision), Some(entry)) if entry.revision == *revision => None,
            (Change::Release(_), _) => Some(Outcome::Released),
        }
    }
}
