//! An in-memory key-value service with the faults that tests need.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::Millis;
use chivevalve::ports::poll::{self, Changes, Poll, Query};
use chivevalve::ports::{
    Commit, Condition, Entry, Error, Event, Lease, LeaseId, Listing, Store, Transaction, Write,
};
use tokio::sync::Notify;

/// Longer than any caller's timeout.
const UNAVAILABLE_DELAY: Millis = Millis::from_secs(10);

/// How long a caller waits for changes beyond the poll's own wait.
const POLL_SLACK: Millis = Millis(700);

/// Contents of the service, and the faults that it simulates.
#[derive(Debug, Default)]
pub struct State {
    pub revision: u64,
    pub entries: BTreeMap<String, Entry>,
    pub events: Vec<Event>,
    pub leases: Vec<LeaseId>,
    /// While set, calls fail.
    pub is_unavailable: bool,
    /// While set, reads that start never return.
    pub reads_hang: bool,
    /// While set, transactions get no response and wait in `late` to be carried out.
    pub delays_commits: bool,
    /// Transactions without a response, which [`MemoryStore::commit_late`] carries out.
    pub late: Vec<Transaction>,
    /// Makes listings under this prefix take this long.
    pub slow_listing: Option<(String, Millis)>,
    /// Number of reads of single keys.
    pub reads: usize,
    /// How long the value of a single key is on its way.
    pub transfer_time: Millis,
    /// How long changes are on their way.
    pub changes_latency: Millis,
    /// Size above which the client can't read a response with changes.
    pub max_response_bytes: Option<usize>,
    /// Maximum number of changes in one response.
    pub max_changes: Option<usize>,
    /// Revision up to which the history is compacted.
    pub compacted_revision: u64,
    /// Wait times of all polls for changes.
    pub poll_waits: Vec<Millis>,
}

/// The key-value service.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

impl State {
    /// Writes a key.
    pub fn put(&mut self, key: &str, value: impl Into<Bytes>, lease: Option<LeaseId>) -> u64 {
        self.revision += 1;
        let before = self.entries.get(key);
        let entry = Entry {
            key: key.to_owned(),
            value: value.into(),
            revision: self.revision,
            created: before.map_or(self.revision, |entry| entry.created),
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.events.push(Event {
            key: key.to_owned(),
            entry: Some(entry),
            revision: self.revision,
        });
        self.revision
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.events.push(Event {
            key: key.to_owned(),
            entry: None,
            revision: self.revision,
        });
    }

    /// Drops the history, so that callers that poll for changes have to list everything again.
    pub fn drop_history(&mut self) {
        self.compacted_revision = self.revision;
        self.events.clear();
    }

    /// Ends a lease and removes its keys.
    pub fn end_lease(&mut self, lease: LeaseId) {
        self.leases.retain(|held| *held != lease);
        let keys: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(lease))
            .map(|entry| entry.key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn holds(&self, condition: &Condition) -> bool {
        condition.holds(self.entries.get(condition.key()))
    }

    /// Returns the entries at the conditions' keys.
    pub fn entries_of(&self, conditions: &[Condition]) -> Vec<Entry> {
        let keys = conditions.iter().map(Condition::key);
        keys.filter_map(|key| self.entries.get(key))
            .cloned()
            .collect()
    }

    /// Commits a transaction and returns its revision; `None` if a condition did not hold.
    pub fn commit(&mut self, transaction: &Transaction) -> Option<u64> {
        if !transaction.conditions.iter().all(|one| self.holds(one)) {
            return None;
        }
        let before = self.events.len();
        for write in &transaction.writes {
            match write {
                Write::Put(key, value, lease) => {
                    self.put(key, value.clone(), *lease);
                }
                Write::Delete(key) => self.remove(key),
            }
        }
        // All writes and events of a transaction have the same revision.
        for event in &mut self.events[before..] {
            event.revision = self.revision;
            if let Some(entry) = &mut event.entry {
                set_revision(entry, self.revision);
            }
        }
        for write in &transaction.writes {
            if let Write::Put(key, ..) = write
                && let Some(entry) = self.entries.get_mut(key)
            {
                set_revision(entry, self.revision);
            }
        }
        Some(self.revision)
    }

    /// Returns changes under a prefix after a revision.
    pub fn changes_after(&self, prefix: &str, revision: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.revision > revision && event.key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

/// Sets an entry's revision to that of the transaction that wrote it.
fn set_revision(entry: &mut Entry, revision: u64) {
    if entry.created == entry.revision {
        entry.created = revision;
    }
    entry.revision = revision;
}

impl MemoryStore {
    /// Locks the contents.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Carries out the transactions that got no response, as far as their conditions still hold.
    ///
    /// Returns how many were applied.
    pub fn commit_late(&self) -> usize {
        self.change(|state| {
            let late = std::mem::take(&mut state.late);
            let committed = late.iter().filter_map(|one| state.commit(one));
            committed.count()
        })
    }

    async fn hang_if_set(&self) {
        if self.state().reads_hang {
            std::future::pending::<()>().await;
        }
    }

    /// Changes the contents and wakes all polls.
    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state());
        self.changed.notify_waiters();
        result
    }

    /// Waits until there are changes after a revision, for `span` at most.
    pub async fn wait(&self, prefix: &str, revision: u64, span: Millis) -> Vec<Event> {
        let end = tokio::time::Instant::now() + span.duration();
        loop {
            let changed = self.changed.notified();
            let events = self.state().changes_after(prefix, revision);
            if !events.is_empty() {
                return events;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return Vec::new();
            }
        }
    }

    fn available_state(&self) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.state();
        if state.is_unavailable {
            return Err(Error::NoAnswer("unavailable in this test".to_owned()));
        }
        Ok(state)
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.hang_if_set().await;
        let (entry, transfer_time) = {
            let mut state = self.available_state()?;
            state.reads += 1;
            (state.entries.get(key).cloned(), state.transfer_time)
        };
        if transfer_time > Millis::ZERO {
            tokio::time::sleep(transfer_time.duration()).await;
        }
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.hang_if_set().await;
        let slow = self.state().slow_listing.clone();
        if let Some((_, span)) = slow.filter(|(slow, _)| prefix.starts_with(slow.as_str())) {
            tokio::time::sleep(span.duration()).await;
        }
        let state = self.available_state()?;
        Ok(Listing {
            entries: state
                .entries
                .values()
                .filter(|entry| entry.key.starts_with(prefix))
                .cloned()
                .collect(),
            revision: state.revision,
        })
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let (revision, found) = {
            let mut state = self.available_state()?;
            if state.delays_commits {
                state.late.push(transaction);
                return Err(Error::NoAnswer("delayed by this test".to_owned()));
            }
            let revision = state.commit(&transaction);
            let found = match revision {
                Some(_) => Vec::new(),
                None => state.entries_of(&transaction.conditions),
            };
            (revision, found)
        };
        self.changed.notify_waiters();
        Ok(Commit {
            done: revision.is_some(),
            revision: revision.unwrap_or_default(),
            found,
        })
    }
}

#[async_trait]
impl Lease for MemoryStore {
    async fn grant(&self, _: Millis) -> Result<LeaseId, Error> {
        let mut state = self.available_state()?;
        state.revision += 1;
        let lease = LeaseId(i64::try_from(state.revision).unwrap());
        state.leases.push(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        if self.state().is_unavailable {
            // Calls to a service that is unavailable run into the caller's timeout.
            tokio::time::sleep(UNAVAILABLE_DELAY.duration()).await;
        }
        let state = self.available_state()?;
        let held = state.leases.contains(&lease);
        Ok(if held { Millis(3_000) } else { Millis::ZERO })
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.available_state()?.end_lease(lease);
        self.changed.notify_waiters();
        Ok(())
    }
}

#[async_trait]
impl Poll for MemoryStore {
    async fn changes(&self, query: Query<'_>) -> Result<Changes, poll::Error> {
        let Query {
            prefix,
            after: revision,
            wait,
            max_bytes,
        } = query;
        let (is_unavailable, compacted_revision) = {
            let mut state = self.state();
            state.poll_waits.push(wait);
            (state.is_unavailable, state.compacted_revision)
        };
        if is_unavailable {
            // Calls to a service that is unavailable run into the caller's timeout.
            tokio::time::sleep((wait + POLL_SLACK).duration()).await;
            return Err(Error::NoAnswer("unavailable in this test".to_owned()).into());
        }
        if revision < compacted_revision {
            return Err(poll::Error::Compacted);
        }
        let events = self.wait(prefix, revision, wait).await;
        if self.state().is_unavailable {
            // Polls that started before the outage get no response either.
            tokio::time::sleep(POLL_SLACK.duration()).await;
            return Err(Error::NoAnswer("unavailable in this test".to_owned()).into());
        }
        let (result, latency) = {
            let state = self.state();
            (
                respond(&state, revision, events, max_bytes),
                state.changes_latency,
            )
        };
        if latency > Millis::ZERO {
            tokio::time::sleep(latency.duration()).await;
        }
        result
    }
}

/// Makes the response with changes after a revision.
fn respond(
    state: &State,
    after: u64,
    mut events: Vec<Event>,
    max_bytes: usize,
) -> Result<Changes, poll::Error> {
    if after < state.compacted_revision {
        return Err(poll::Error::Compacted);
    }
    let max_changes = state.max_changes.unwrap_or(usize::MAX);
    let more = events.len() >= max_changes;
    events.truncate(max_changes);
    let size = size(&events);
    if size > max_bytes {
        return Err(poll::Error::Oversized(max_bytes));
    }
    if state.max_response_bytes.is_some_and(|max| size > max) {
        return Err(Error::Malformed("too large in this test".to_owned()).into());
    }
    let last = events.last().filter(|_| more);
    Ok(Changes {
        revision: last.map_or(state.revision, |event| event.revision),
        events,
        more,
    })
}

/// Returns the size of changes in a response, without their encoding.
fn size(events: &[Event]) -> usize {
    let entries = events.iter().filter_map(|event| event.entry.as_ref());
    entries.map(|entry| entry.value.len()).sum()
}
