//! How late this node is with everything, because its processor or its link has more to do than
//! it bears.
//!
//! One upstream or one other node that is slow tells nothing of this node. So a delay counts only
//! if all recent samples show it; see docs/design/0020-overload.md.

use std::sync::{Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use crate::clock::Millis;

/// How long a sample counts.
const MAX_AGE: Millis = Millis(500);

/// Number of samples of the scheduler that must agree.
const SCHEDULING_SAMPLES: usize = 2;

/// Number of round trips that must agree.
const ROUND_TRIP_SAMPLES: usize = 4;

/// Delays of this node.
#[derive(Debug, Default)]
pub struct Delays(Mutex<Samples>);

#[derive(Debug, Default)]
struct Samples {
    scheduling: Recent<SCHEDULING_SAMPLES>,
    round_trips: Recent<ROUND_TRIP_SAMPLES>,
    /// The fastest round trip of this process.
    fastest: Option<Millis>,
}

/// The last `N` samples, each with the time at which it was taken.
#[derive(Debug, Default)]
struct Recent<const N: usize>(SmallVec<[(Millis, Millis); 4]>);

impl<const N: usize> Recent<N> {
    fn push(&mut self, sample: Millis, now: Millis) {
        if self.0.len() == N {
            self.0.remove(0);
        }
        self.0.push((sample, now));
    }

    /// Returns the least of the samples; zero if there are too few or they are too old.
    fn least(&self, now: Millis) -> Millis {
        let is_recent = |(_, at): &&(Millis, Millis)| now.since(*at) < MAX_AGE;
        if self.0.iter().filter(is_recent).count() < N {
            return Millis::ZERO;
        }
        let samples = self.0.iter().map(|(sample, _)| *sample);
        samples.min().unwrap_or_default()
    }
}

impl Delays {
    /// Records how long a task that was ready waited until it ran.
    pub fn record_scheduling(&self, waited: Millis, now: Millis) {
        self.samples().scheduling.push(waited, now);
    }

    /// Records how long another process took to answer something that it answers at once.
    pub fn record_round_trip(&self, took: Millis, now: Millis) {
        let mut samples = self.samples();
        samples.fastest = Some(samples.fastest.map_or(took, |fastest| fastest.min(took)));
        samples.round_trips.push(took, now);
    }

    /// Returns how long a ready task waited that was measured last.
    #[must_use]
    pub fn last_scheduling(&self) -> Millis {
        let samples = self.samples();
        let last = samples.scheduling.0.last();
        last.map_or(Millis::ZERO, |(waited, _)| *waited)
    }

    /// Returns by how much tasks that are ready wait.
    #[must_use]
    pub fn scheduling(&self, now: Millis) -> Millis {
        self.samples().scheduling.least(now)
    }

    /// Returns by how much round trips to all other processes take longer than the fastest did.
    #[must_use]
    pub fn link(&self, now: Millis) -> Millis {
        let samples = self.samples();
        let fastest = samples.fastest.unwrap_or_default();
        samples.round_trips.least(now).since(fastest)
    }

    fn samples(&self) -> MutexGuard<'_, Samples> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
