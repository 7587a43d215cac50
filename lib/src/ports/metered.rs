//! A key-value service whose calls are counted and timed.
//!
//! Everything that a node knows comes from there: how long its calls take, how they fail
//! and when one last told of changes says how far the rest can be trusted.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;

use super::poll::{self, Changes, Poll};
use super::{Commit, Entry, Error, Lease, LeaseId, Listing, Store, Transaction};
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;

/// Stands for "never" where a moment is kept.
const NEVER: u64 = u64::MAX;

/// Counts and times the calls to a service.
#[derive(Debug)]
pub struct Metered {
    store: Arc<dyn Store>,
    lease: Arc<dyn Lease>,
    poll: Arc<dyn Poll>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    told: AtomicU64,
}

impl Metered {
    /// Wraps a service.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        lease: Arc<dyn Lease>,
        poll: Arc<dyn Poll>,
        metrics: Arc<Metrics>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            lease,
            poll,
            metrics,
            clock,
            told: AtomicU64::new(NEVER),
        }
    }

    /// Returns the time since a call last told of changes, or that there are none.
    #[must_use]
    pub fn changes_age(&self) -> Option<Millis> {
        let told = self.told.load(Ordering::Relaxed);
        (told != NEVER).then(|| self.clock.now().since(Millis(told)))
    }

    async fn timed<T>(
        &self,
        name: &'static str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let mut started = self.start(name);
        let result = call.await;
        started.outcome = result.as_ref().err().map_or("answered", Error::name);
        result
    }

    fn start(&self, name: &'static str) -> Call<'_> {
        Call {
            metered: self,
            name,
            began: self.clock.now(),
            outcome: "given_up",
        }
    }
}

/// A call under way, counted when it ends: also when its caller no longer waits.
struct Call<'a> {
    metered: &'a Metered,
    name: &'static str,
    began: Millis,
    outcome: &'static str,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        let Metered { metrics, clock, .. } = self.metered;
        let took = clock.now().since(self.began);
        let calls = &metrics.store_calls;
        calls.with_label_values(&[self.name, self.outcome]).inc();
        let seconds = metrics.store_seconds.with_label_values(&[self.name]);
        seconds.observe(took.duration().as_secs_f64());
    }
}

#[async_trait]
impl Store for Metered {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.timed("get", self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.timed("list", self.store.list(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.timed("commit", self.store.commit(transaction)).await
    }
}

#[async_trait]
impl Lease for Metered {
    async fn grant(&self, span: Millis) -> Result<LeaseId, Error> {
        self.timed("grant", self.lease.grant(span)).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        self.timed("renew", self.lease.renew(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.timed("revoke", self.lease.revoke(lease)).await
    }
}

#[async_trait]
impl Poll for Metered {
    async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Millis,
    ) -> Result<Changes, poll::Error> {
        let mut started = self.start("changes");
        let result = self.poll.changes(prefix, revision, wait).await;
        started.outcome = match &result {
            Ok(_) => {
                self.told.store(self.clock.now().0, Ordering::Relaxed);
                "answered"
            }
            Err(poll::Error::Compacted) => "compacted",
            Err(poll::Error::Failed(error)) => error.name(),
        };
        result
    }
}
