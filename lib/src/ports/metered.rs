//! Metrics for calls to the key-value service.
//!
//! All of a node's shared state comes from this service. The latency and errors of its
//! calls, and the time since the last poll for changes, show how current that state is.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;

use super::poll::{self, Changes, Poll, Query};
use super::{Commit, Entry, Error, Lease, LeaseId, Listing, Store, Transaction};
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;

/// Value of `last_changes_at` before the first successful poll.
const NEVER: u64 = u64::MAX;

/// Wraps a key-value service and records the number and latency of its calls.
#[derive(Debug)]
pub struct Metered {
    store: Arc<dyn Store>,
    lease: Arc<dyn Lease>,
    poll: Arc<dyn Poll>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    /// Time of the last successful poll in milliseconds, or [`NEVER`].
    last_changes_at: AtomicU64,
}

impl Metered {
    /// Wraps the interfaces of one service.
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
            last_changes_at: AtomicU64::new(NEVER),
        }
    }

    /// Returns the time since the last successful poll for changes, even one without changes.
    #[must_use]
    pub fn changes_age(&self) -> Option<Millis> {
        let last = self.last_changes_at.load(Ordering::Relaxed);
        (last != NEVER).then(|| self.clock.now().since(Millis(last)))
    }

    async fn record<T>(
        &self,
        name: &'static str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let mut timer = self.start_timer(name);
        let result = call.await;
        timer.outcome = result.as_ref().err().map_or("answered", Error::name);
        result
    }

    fn start_timer(&self, name: &'static str) -> CallTimer<'_> {
        CallTimer {
            metered: self,
            name,
            started_at: self.clock.now(),
            outcome: "given_up",
        }
    }
}

/// Records a call when dropped, including one that its caller has cancelled.
struct CallTimer<'a> {
    metered: &'a Metered,
    name: &'static str,
    started_at: Millis,
    outcome: &'static str,
}

impl Drop for CallTimer<'_> {
    fn drop(&mut self) {
        let Metered { metrics, clock, .. } = self.metered;
        let took = clock.now().since(self.started_at);
        let calls = &metrics.store_calls;
        calls.with_label_values(&[self.name, self.outcome]).inc();
        let seconds = metrics.store_seconds.with_label_values(&[self.name]);
        seconds.observe(took.duration().as_secs_f64());
    }
}

#[async_trait]
impl Store for Metered {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.record("get", self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.record("list", self.store.list(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.record("commit", self.store.commit(transaction)).await
    }
}

#[async_trait]
impl Lease for Metered {
    async fn grant(&self, ttl: Millis) -> Result<LeaseId, Error> {
        self.record("grant", self.lease.grant(ttl)).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        self.record("renew", self.lease.renew(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.record("revoke", self.lease.revoke(lease)).await
    }
}

#[async_trait]
impl Poll for Metered {
    async fn changes(&self, query: Query<'_>) -> Result<Changes, poll::Error> {
        let mut timer = self.start_timer("changes");
        let result = self.poll.changes(query).await;
        timer.outcome = match &result {
            Ok(_) => {
                self.last_changes_at
                    .store(self.clock.now().0, Ordering::Relaxed);
                "answered"
            }
            Err(poll::Error::Compacted) => "compacted",
            Err(poll::Error::Oversized(_)) => "oversized",
            Err(poll::Error::Failed(error)) => error.name(),
        };
        result
    }
}
