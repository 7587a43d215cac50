//! A planned stop of the node: until when requests may go on, and which were cut short.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

/// Whether the node stops, and how far the stop is.
#[derive(Debug, Default)]
pub struct Stop {
    begun: CancellationToken,
    over: CancellationToken,
    /// When requests are cut short, once the stop has begun.
    until: AtomicU64,
    cut: AtomicUsize,
}

impl Stop {
    /// Begins to stop; requests may go on until a time.
    pub fn begin(&self, until: Millis) {
        self.until.store(until.0, Ordering::Relaxed);
        self.begun.cancel();
    }

    /// Whether the node stops.
    #[must_use]
    pub fn is_begun(&self) -> bool {
        self.begun.is_cancelled()
    }

    /// Waits until the node stops.
    pub async fn begun(&self) {
        self.begun.cancelled().await;
    }

    /// Returns until when requests may go on, if the node stops.
    #[must_use]
    pub fn until(&self) -> Option<Millis> {
        self.is_begun()
            .then(|| Millis(self.until.load(Ordering::Relaxed)))
    }

    /// Has requests end that are still in progress.
    ///
    /// Left to the end of the process, their callers would get a closed connection without a
    /// status, and the log would not name them.
    pub fn end(&self) {
        self.over.cancel();
    }

    /// Waits until requests have to end.
    pub async fn over(&self) {
        self.over.cancelled().await;
    }

    /// Counts a request that may have run and ends early.
    pub fn note_cut(&self) {
        self.cut.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests were cut short.
    #[must_use]
    pub fn cut(&self) -> usize {
        self.cut.load(Ordering::Relaxed)
    }
}
