//! Memory of bodies, bounded over all callers of a node, and over all upstreams.
//!
//! A limit on one body doesn't bound what all callers send together, and a body that stops just
//! short of its end holds its memory until it times out. So all bodies share a [`Pool`]: when it is
//! full, incomplete bodies that hold much for long give way to those that arrive, and a body that is
//! complete is never given up. Responses that are read whole have a pool of their own, so that a
//! faulty upstream takes no memory from requests. See docs/design/0021-memory-of-bodies.md.

mod body;
mod read;

pub use body::Body;
pub use read::{Incomplete, collect, discard, read, too_large};

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use prometheus::{IntCounterVec, IntGauge};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::metrics::Metrics;

/// Bytes above which a body counts as large.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Fraction of the pool that large bodies may hold; the rest is left for small ones.
const LARGE_FRACTION: (usize, usize) = (3, 4);

/// `Retry-After` of requests whose body finds no room.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Shortest interval between two log lines about bodies that find no room.
const LOG_INTERVAL: Millis = Millis(1_000);

/// How many bytes a pool may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    total: usize,
    large: usize,
}

impl Limit {
    /// Returns the limit of a pool of `total` bytes, of which large bodies may hold a part.
    #[must_use]
    pub fn new(total: usize) -> Self {
        let (part, of) = LARGE_FRACTION;
        Self {
            total,
            large: total / of * part,
        }
    }

    /// Raises the limit so that a body of `bytes` fits beside small ones.
    #[must_use]
    pub fn fitting(self, bytes: usize) -> Self {
        let large = self.large.max(bytes + body::SEGMENT_BYTES);
        let small = self.total - self.large;
        Self {
            total: self.total.max(large + small),
            large,
        }
    }
}

/// Whose bodies a pool holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Callers' requests.
    Callers,
    /// Responses of upstreams.
    Upstreams,
}

impl Source {
    const fn bodies(self) -> &'static str {
        match self {
            Self::Callers => "request bodies",
            Self::Upstreams => "responses",
        }
    }

    fn bytes(self, metrics: &Metrics) -> &IntGauge {
        match self {
            Self::Callers => &metrics.body_bytes,
            Self::Upstreams => &metrics.response_bytes,
        }
    }

    fn refused(self, metrics: &Metrics) -> &IntCounterVec {
        match self {
            Self::Callers => &metrics.bodies_refused,
            Self::Upstreams => &metrics.responses_refused,
        }
    }
}

/// The memory of all bodies of a source at a node.
#[derive(Debug)]
pub struct Pool {
    source: Source,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    used: usize,
    /// The bytes of large bodies among those used.
    large: usize,
    /// Bodies that are incomplete and may be given up.
    incoming: BTreeMap<u64, Incoming>,
    refused: u64,
    given_up: u64,
    logged_at: Option<Millis>,
}

/// A body that is still being received.
#[derive(Debug)]
struct Incoming {
    bytes: usize,
    since: Millis,
    given_up: CancellationToken,
}

impl Incoming {
    /// Returns what the body has cost others so far: its memory, times how long it has been coming.
    fn cost(&self, now: Millis) -> u128 {
        let span = now.since(self.since).0 + 1;
        self.bytes as u128 * u128::from(span)
    }
}

/// What a reservation that finds no room can do.
enum Obstacle {
    /// Another body gives way; its bytes are released soon.
    Wait,
    /// Nothing gives way to it.
    Full,
}

impl State {
    fn fits(&self, limit: Limit, added: usize, added_large: usize) -> bool {
        self.used + added <= limit.total
            && (added_large == 0 || self.large + added_large <= limit.large)
    }

    /// Gives up the incomplete body that has cost most, unless that is the one that wants to grow.
    ///
    /// `needs_large` tells that only a large body's bytes are of use.
    fn make_room(&mut self, own: &Reservation, bytes: usize, needs_large: bool) -> Obstacle {
        let now = own.pool.clock.now();
        let grown = Incoming {
            bytes,
            since: own.since,
            given_up: CancellationToken::new(),
        };
        let mut costliest: Option<(u128, &Incoming)> = None;
        for (id, body) in &self.incoming {
            if *id == own.id || (needs_large && body.bytes <= SMALL_BODY_BYTES) {
                continue;
            }
            if body.given_up.is_cancelled() {
                return Obstacle::Wait;
            }
            let cost = body.cost(now);
            if costliest.is_none_or(|(most, _)| cost > most) {
                costliest = Some((cost, body));
            }
        }
        match costliest {
            Some((cost, body)) if own.is_complete || cost >= grown.cost(now) => {
                body.given_up.cancel();
                self.given_up += 1;
                Obstacle::Wait
            }
            _ => Obstacle::Full,
        }
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(source: Source, clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            source,
            clock,
            metrics,
            state: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Returns a reservation of zero bytes for one request.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, limit: Limit) -> Reservation {
        let mut state = self.state();
        state.next_id += 1;
        Reservation {
            id: state.next_id,
            limit,
            bytes: 0,
            since: self.clock.now(),
            is_complete: false,
            given_up: CancellationToken::new(),
            pool: Arc::clone(self),
        }
    }

    fn show(&self, state: &State) {
        let bytes = i64::try_from(state.used).unwrap_or(i64::MAX);
        self.source.bytes(&self.metrics).set(bytes);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a body that found no room, and logs unless that was done a moment ago.
    fn record_refused(&self, reason: &str) -> Failure {
        let refused = self.source.refused(&self.metrics);
        refused.with_label_values(&[reason]).inc();
        let now = self.clock.now();
        let mut state = self.state();
        state.refused += 1;
        let is_due = |at: Millis| now.since(at) >= LOG_INTERVAL;
        if state.logged_at.is_none_or(is_due) {
            log::warn!(
                refused = state.refused,
                given_up = state.given_up,
                used = state.used,
                incomplete = state.incoming.len();
                "buffer: {} find no room", self.source.bodies()
            );
            (state.refused, state.given_up) = (0, 0);
            state.logged_at = Some(now);
        }
        Failure::new(Code::NodeFull, "the node buffers all the bytes that it can")
            .retry_after(RETRY_AFTER)
    }
}

/// A complete body that holds its memory for as long as any part of it is in use.
#[derive(Debug)]
struct Held {
    body: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns a complete body that holds its memory until the last part of it is dropped.
///
/// The HTTP library drops a response before its last bytes are sent.
#[must_use]
pub fn hold(body: Bytes, memory: Reservation) -> Bytes {
    if body.is_empty() {
        return body;
    }
    Bytes::from_owner(Held {
        body,
        _memory: memory,
    })
}

/// Bytes reserved for one request; dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    pool: Arc<Pool>,
    id: u64,
    limit: Limit,
    bytes: usize,
    since: Millis,
    is_complete: bool,
    given_up: CancellationToken,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to at least this many bytes in total.
    ///
    /// Waits only for bytes that other bodies are about to release.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`] if too few bytes are free and no incomplete body gives way, or if this one
    /// is given up.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Failure> {
        loop {
            let pool = Arc::clone(&self.pool);
            let released = pool.released.notified();
            match self.try_grow_to(bytes) {
                Ok(()) => return Ok(()),
                Err(Obstacle::Full) => return Err(pool.record_refused("full")),
                Err(Obstacle::Wait) => {}
            }
            tokio::select! {
                () = released => {}
                () = self.given_up.cancelled(), if !self.is_complete => {
                    return Err(self.refuse_given_up());
                }
            }
        }
    }

    fn try_grow_to(&mut self, bytes: usize) -> Result<(), Obstacle> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let added = bytes - self.bytes;
        let added_large = large_part(bytes) - large_part(self.bytes);
        let pool = Arc::clone(&self.pool);
        let mut state = pool.state();
        if !state.fits(self.limit, added, added_large) {
            let needs_large = state.used + added <= self.limit.total;
            return Err(state.make_room(self, bytes, needs_large));
        }
        state.used += added;
        state.large += added_large;
        pool.show(&state);
        self.bytes = bytes;
        if !self.is_complete {
            let incoming = state.incoming.entry(self.id).or_insert_with(|| Incoming {
                bytes,
                since: self.since,
                given_up: self.given_up.clone(),
            });
            incoming.bytes = bytes;
        }
        Ok(())
    }

    /// Records that the body is complete, with this many bytes; from now on it isn't given up.
    pub fn complete(&mut self, bytes: usize) {
        self.is_complete = true;
        self.pool.state().incoming.remove(&self.id);
        self.shrink_to(bytes);
    }

    /// Releases all bytes.
    pub fn release(&mut self) {
        self.pool.state().incoming.remove(&self.id);
        self.shrink_to(0);
    }

    /// Waits until the body has to give way to others.
    pub async fn given_up(&self) -> Failure {
        self.given_up.cancelled().await;
        self.refuse_given_up()
    }

    fn refuse_given_up(&self) -> Failure {
        self.pool.record_refused("given_up")
    }

    fn shrink_to(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        let mut state = self.pool.state();
        state.used -= self.bytes - bytes;
        state.large -= large_part(self.bytes) - large_part(bytes);
        self.pool.show(&state);
        drop(state);
        self.bytes = bytes;
        self.pool.released.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns the bytes that a body of this size adds to those of large bodies.
fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BODY_BYTES { bytes } else { 0 }
}
