//! Requests that engines recently ran without crashing.
//!
//! A harmless request that its caller sends all the time is in the batch of nearly every engine
//! that crashes. When many engines lose power at once, it would look like the cause of all these
//! crashes. An engine that ran it and stayed up shows that the request doesn't crash every engine.

use std::collections::HashSet;

use super::fingerprint::Fingerprint;
use crate::clock::Millis;

/// Time for which requests are added to one generation; a request is remembered for one to two
/// of these.
///
/// Long enough for requests that arrive every few seconds at one of hundreds of nodes, short
/// enough to soon notice a request that starts to crash engines, such as after an engine release.
const GENERATION: Millis = Millis::from_secs(30);

/// Requests per generation: 136 a second at one node, which take half a megabyte.
const MAX_PER_GENERATION: usize = 4_096;

/// Set of harmless requests, kept in two generations so that its memory is bounded.
#[derive(Debug, Default)]
pub struct HarmlessRequests {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    rotated_at: Millis,
}

impl HarmlessRequests {
    /// Adds a request that an engine ran without crashing.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Millis) {
        self.rotate(now);
        if self.current.len() >= MAX_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint);
    }

    /// Whether a request recently ran without a crash.
    pub fn contains(&mut self, fingerprint: &Fingerprint, now: Millis) -> bool {
        self.rotate(now);
        self.current.contains(fingerprint) || self.previous.contains(fingerprint)
    }

    /// Starts a new generation once the current one has lasted its time.
    fn rotate(&mut self, now: Millis) {
        let age = now.since(self.rotated_at);
        if age < GENERATION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= GENERATION + GENERATION {
            self.previous.clear();
        }
        self.rotated_at = now;
    }
}
