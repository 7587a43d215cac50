//! State of a node's drain: its deadline, and how many requests it aborted.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

/// Progress of a node's drain.
///
/// Requests may finish until the deadline; those still in progress are aborted then.
#[derive(Debug, Default)]
pub struct Drain {
    started: CancellationToken,
    aborted: CancellationToken,
    /// When requests are aborted; meaningless until the drain has started.
    deadline: AtomicU64,
    aborted_count: AtomicUsize,
}

impl Drain {
    /// Starts the drain; requests may finish until `deadline`.
    pub fn begin(&self, deadline: Millis) {
        self.deadline.store(deadline.0, Ordering::Relaxed);
        self.started.cancel();
    }

    /// Whether the drain has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.started.is_cancelled()
    }

    /// Waits until the drain has started.
    pub async fn started(&self) {
        self.started.cancelled().await;
    }

    /// Returns the deadline once the drain has started.
    #[must_use]
    pub fn deadline(&self) -> Option<Millis> {
        self.is_draining()
            .then(|| Millis(self.deadline.load(Ordering::Relaxed)))
    }

    /// Aborts the requests that are still in progress.
    ///
    /// If they were left to the exit of the process, their callers would see a closed connection
    /// without a status, and nothing would log them.
    pub fn abort(&self) {
        self.aborted.cancel();
    }

    /// Waits until requests are to be aborted.
    pub async fn aborted(&self) {
        self.aborted.cancelled().await;
    }

    /// Counts an aborted request that may have run.
    pub fn count_aborted(&self) {
        self.aborted_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of aborted requests that may have run.
    #[must_use]
    pub fn aborted_count(&self) -> usize {
        self.aborted_count.load(Ordering::Relaxed)
    }
}
