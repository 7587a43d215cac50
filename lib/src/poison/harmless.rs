//! Requests that engines ran lately without harm.
//!
//! A proper request that its caller sends all the time stands in the batch of nearly each engine
//! that ends. Where many engines lose power at once, it would look like the cause of all of it.
//! But an engine that has run it lives, so it is no request that ends every engine.

use std::collections::HashSet;

use super::fingerprint::Fingerprint;
use crate::clock::Millis;

/// How long a generation is added to; what survived is remembered for one to two of these.
///
/// Long enough for requests that come each few seconds at one of hundreds of nodes, short enough
/// that a request which begins to do harm, as after an engine's release, is noticed soon.
const GENERATION: Millis = Millis::from_secs(30);

/// Requests in a generation: 136 a second at one node, and half a megabyte.
const MOST: usize = 4_096;

/// Remembers what survived, in two generations, so that memory is bounded whoever sends what.
#[derive(Debug, Default)]
pub struct HarmlessRequests {
    recent: HashSet<Fingerprint>,
    former: HashSet<Fingerprint>,
    turned: Millis,
}

impl HarmlessRequests {
    /// Remembers a request that an engine ran without harm.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Millis) {
        self.turn(now);
        if self.recent.len() >= MOST {
            self.former = std::mem::take(&mut self.recent);
        }
        self.recent.insert(fingerprint);
    }

    /// Whether a request survived lately.
    pub fn contains(&mut self, fingerprint: &Fingerprint, now: Millis) -> bool {
        self.turn(now);
        self.recent.contains(fingerprint) || self.former.contains(fingerprint)
    }

    fn turn(&mut self, now: Millis) {
        let passed = now.since(self.turned);
        if passed < GENERATION {
            return;
        }
        self.former = std::mem::take(&mut self.recent);
        if passed >= GENERATION + GENERATION {
            self.former.clear();
        }
        self.turned = now;
    }
}
