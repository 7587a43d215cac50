//! Time in milliseconds.
//!
//! Decisions take the time as a value instead of reading it, so that the same
//! code runs in a node, in tests with virtual time and in the bench.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A point in time since the clock's start, or a span, in milliseconds.
///
/// Arithmetic saturates: a deadline computed from absurd input must end in
/// "far away", not in a panic that takes the node down.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The clock's start, and the empty span.
    pub const ZERO: Self = Self(0);
    /// Later than every point in time that occurs.
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a span of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// Returns the span since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns a span drawn from 75 to 125 of 100 of this one, so that what many nodes do
    /// at this pace doesn't fall together.
    #[must_use]
    pub fn jittered(self, rng: &mut impl RngExt) -> Self {
        let percent = rng.random_range(75..=125);
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// Returns the span for use with timers.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, span: Self) {
        *self = *self + span;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        self.since(span)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Where a part reads the time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the time since the clock's start; it never goes back.
    fn now(&self) -> Millis;
}

/// The process's monotonic clock; it follows tokio's paused time in tests.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    start: tokio::time::Instant,
}

impl Monotonic {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }
}

/// Where the system tells which boot this is.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The system's clock that also runs while the VM is suspended.
///
/// A process that was suspended wakes up with its monotonic clock where it
/// stood. Whatever it held by time, such as a lease, has long ended elsewhere;
/// only this clock shows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Millis {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
        Millis(seconds * 1000 + nanoseconds / 1_000_000)
    }
}

impl Boot {
    /// Returns what distinguishes the boot that the clock counts from.
    ///
    /// Where the system doesn't tell, each call returns another one.
    #[must_use]
    pub fn id() -> u64 {
        std::fs::read(BOOT_ID).map_or_else(|_| rand::random(), |id| xxh3_64(&id))
    }
}

/// A clock that a test sets.
#[derive(Debug, Default)]
pub struct Manual {
    now: AtomicU64,
}

impl Manual {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::Relaxed);
    }
}

impl Clock for Manual {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::Relaxed))
    }
}
