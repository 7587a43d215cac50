//! A stand-in of the key-value service: revisions, transactions, leases, watches.
//!
//! Time comes from tokio, so a test with paused time has leases on virtual time.

mod serve;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::ports::{
    Commit, Entry, Error, Event, Lease, LeaseId, Listing, Store as Border, Transaction, Watch,
};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use state::State;

/// How often lapsed leases are looked for.
const EXPIRY_PERIOD: Duration = Duration::from_millis(20);
/// Events that a watcher may fall behind before it is cut off.
const WATCH_BUFFER: usize = 4096;
/// The window of the rate limit.
const RATE_WINDOW: Millis = Millis::from_secs(1);

/// What is wrong with the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Nothing can be reached.
    pub down: bool,
    /// Added to each call, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect without an answer.
    pub lose_answers: u32,
    /// Calls a second; more are refused. 0 is no limit.
    pub rate: u32,
}

/// How many calls were made, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Reads of one key or a prefix.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Grants, renewals and ends of leases.
    pub leases: u64,
    /// Watches begun.
    pub watches: u64,
    /// Calls that the rate limit refused.
    pub limited: u64,
}

/// The service.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    clock: Monotonic,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    knobs: Knobs,
    counts: Counts,
    window_start: Millis,
    window_calls: u32,
}

/// What a call is counted as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Lease,
    Watch,
}

impl Store {
    /// Makes an empty service; leases lapse as long as it lives.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            inner: Mutex::default(),
            clock: Monotonic::start(),
        });
        tokio::spawn(expire(Arc::downgrade(&store)));
        store
    }

    /// Sets what is wrong. Going down breaks all watches off.
    pub fn set(&self, knobs: Knobs) {
        let mut inner = self.lock();
        inner.knobs = knobs;
        if knobs.down {
            inner.state.break_watches();
        }
    }

    /// Returns what is wrong.
    #[must_use]
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs
    }

    /// Returns how many calls were made.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Forgets the changes before now, so that older watches can't begin.
    pub fn compact(&self) {
        self.lock().state.compact();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and lets it through as the knobs have it.
    async fn admit(&self, kind: Kind) -> Result<(), Error> {
        let knobs = self.knobs();
        if knobs.down {
            return Err(Error::Unreachable("the stand-in is down".to_owned()));
        }
        if knobs.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(knobs.slow_ms)).await;
        }
        let now = self.clock.now();
        let mut inner = self.lock();
        match kind {
            Kind::Read => inner.counts.reads += 1,
            Kind::Write => inner.counts.writes += 1,
            Kind::Lease => inner.counts.leases += 1,
            Kind::Watch => inner.counts.watches += 1,
        }
        inner.limit(now)
    }

    /// Loses the answer of a write that took effect, if the knobs say so.
    fn answer<T>(&self, value: T) -> Result<T, Error> {
        let mut inner = self.lock();
        if inner.knobs.lose_answers > 0 {
            inner.knobs.lose_answers -= 1;
            return Err(Error::NoAnswer("the stand-in loses the answer".to_owned()));
        }
        if inner.knobs.down {
            return Err(Error::NoAnswer("the stand-in went down".to_owned()));
        }
        Ok(value)
    }
}

impl Inner {
    fn limit(&mut self, now: Millis) -> Result<(), Error> {
        if now.since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.window_calls = 0;
        }
        self.window_calls += 1;
        if self.knobs.rate > 0 && self.window_calls > self.knobs.rate {
            self.counts.limited += 1;
            return Err(Error::Refused("too many calls".to_owned()));
        }
        Ok(())
    }
}

async fn expire(store: Weak<Store>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let Some(store) = store.upgrade() else { return };
        let now = store.clock.now();
        store.lock().state.expire(now);
    }
}

#[async_trait]
impl Border for Store {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.admit(Kind::Read).await?;
        Ok(self.lock().state.get(key))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.admit(Kind::Read).await?;
        Ok(self.lock().state.list(prefix))
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.admit(Kind::Write).await?;
        let commit = self.lock().state.commit(transaction)?;
        self.answer(commit)
    }
}

#[async_trait]
impl Lease for Store {
    async fn grant(&self, span: Millis) -> Result<LeaseId, Error> {
        self.admit(Kind::Lease).await?;
        let now = self.clock.now();
        let lease = self.lock().state.grant(span, now);
        self.answer(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        self.admit(Kind::Lease).await?;
        let now = self.clock.now();
        let span = self.lock().state.renew(lease, now);
        self.answer(span)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.admit(Kind::Lease).await?;
        self.lock().state.revoke(lease);
        self.answer(())
    }
}

#[async_trait]
impl Watch for Store {
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error> {
        self.admit(Kind::Watch).await?;
        let (sender, receiver) = mpsc::channel(WATCH_BUFFER);
        self.lock().state.watch(prefix, revision, sender)?;
        let end = stream::once(async { Err(Error::NoAnswer("the watch ended".to_owned())) });
        let events = tokio_stream::wrappers::ReceiverStream::new(receiver).map(Ok);
        Ok(events.chain(end).boxed())
    }
}
