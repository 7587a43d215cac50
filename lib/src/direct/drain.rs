//! A planned stop of the node: until when requests may go on, and which were cut short.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

/// Whether the node stops, and how far the stop is.
#[derive(Debug, Default)]
pub struct Drain {
    started: CancellationToken,
    aborted: CancellationToken,
    /// When requests are cut short, once the stop has begun.
    deadline: AtomicU64,
    aborted_count: AtomicUsize,
}

impl Drain {
    /// Begins to stop; requests may go on until a time.
    pub fn begin(&self, deadline: Millis) {
        self.deadline.store(deadline.0, Ordering::Relaxed);
        self.started.cancel();
    }

    /// Whether the node stops.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.started.is_cancelled()
    }

    /// Waits until the node stops.
    pub async fn started(&self) {
        self.started.cancelled().await;
    }

    /// Returns until when requests may go on, if the node stops.
    #[must_use]
    pub fn deadline(&self) -> Option<Millis> {
        self.is_draining()
            .then(|| Millis(self.deadline.load(Ordering::Relaxed)))
    }

    /// Has requests end that are still in progress.
    ///
    /// Left to the end of the process, their callers would get a closed connection without a
    /// status, and the log would not name them.
    pub fn abort(&self) {
        self.aborted.cancel();
    }

    /// Waits until requests have to end.
    pub async fn aborted(&self) {
        self.aborted.cancelled().await;
    }

    /// Counts a request that may have run and ends early.
    pub fn count_aborted(&self) {
        self.aborted_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests were cut short.
    #[must_use]
    pub fn aborted_count(&self) -> usize {
        self.aborted_count.load(Ordering::Relaxed)
    }
}
