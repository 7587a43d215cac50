//! The order of loads from the weight store, for the whole deployment.
//!
//! The store gives few loads a second, and two at once slow each other down,
//! so loads run one at a time. See docs/design/0002-decisions.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::loads::Ask;
use crate::policy::demand::factor;
use crate::request::Class;

/// Names an ask; the driver chooses it, such as a connection's number and the load's.
pub type Key = (u64, u64);

/// How the queue behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// After this span a load that hasn't told its end is taken for lost, and the queue goes on.
    pub patience: Millis,
    /// Every so many grants the oldest ask goes first, so that none waits forever.
    pub aged_every: u32,
    /// Most asks that wait.
    pub waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            patience: Millis::from_secs(10),
            aged_every: 8,
            waiting: 16_384,
        }
    }
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    /// When it first came; a replaced ask keeps its age.
    first: Millis,
    /// When the demand was last told.
    told: Millis,
}

impl Waiting {
    /// Returns the stall that the load still saves if it begins now.
    ///
    /// Each waiter's time runs out while it waits, so an ask that was told long
    /// ago is worth less: of two alike, the fresh one saves more.
    fn gain(&self, now: Millis) -> u64 {
        let factor = self.ask.class.map_or(0, factor);
        let spent = now.since(self.told).0;
        let lost = spent
            .saturating_mul(u64::from(self.ask.waiters))
            .saturating_mul(u64::from(factor));
        self.ask.gain.0.saturating_sub(lost)
    }

    /// Live asks go before prefetches, urgent ones first.
    fn rank(&self) -> u8 {
        match self.ask.class {
            Some(Class::Urgent) => 0,
            Some(_) => 1,
            None => 2,
        }
    }
}

/// Asks for loads, one granted at a time.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeMap<Key, Waiting>,
    current: Option<(Key, Millis)>,
    grants: u32,
    lost: u64,
}

impl Queue {
    /// Starts empty.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            current: None,
            grants: 0,
            lost: 0,
        }
    }

    /// Puts an ask in, or replaces an earlier one of the same key without losing its age.
    ///
    /// Returns whether there was room.
    pub fn ask(&mut self, key: Key, ask: Ask, now: Millis) -> bool {
        let earlier = self.waiting.get(&key).map(|waiting| waiting.first);
        if earlier.is_none() && self.waiting.len() >= self.limits.waiting {
            return false;
        }
        let waiting = Waiting {
            ask,
            first: earlier.unwrap_or(now),
            told: now,
        };
        self.waiting.insert(key, waiting);
        true
    }

    /// Takes an ask back, granted or not.
    pub fn withdraw(&mut self, key: Key) {
        self.waiting.remove(&key);
        if self.current.is_some_and(|(current, _)| current == key) {
            self.current = None;
        }
    }

    /// Grants the next load, if none is under way.
    pub fn next(&mut self, now: Millis) -> Option<(Key, Ask)> {
        if let Some((_, until)) = self.current {
            if now < until {
                return None;
            }
            // The node that was granted this load has died or hangs. Without
            // this bound no adapter would be loaded anywhere any more.
            self.lost += 1;
            self.current = None;
        }
        let key = self.pick(now)?;
        let granted = self.waiting.remove(&key)?;
        self.grants = self.grants.wrapping_add(1);
        self.current = Some((key, now + self.limits.patience));
        Some((key, granted.ask))
    }

    /// Tells that a granted load has ended, or that its leave came back unused.
    pub fn done(&mut self, key: Key) {
        self.withdraw(key);
    }

    /// Returns when [`Queue::next`] should be tried again if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        if self.waiting.is_empty() {
            return None;
        }
        self.current.map(|(_, until)| until)
    }

    /// Returns how many asks wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no ask waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many granted loads never told their end.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Picks the load that saves most; now and then the oldest one.
    fn pick(&self, now: Millis) -> Option<Key> {
        let aged = self.limits.aged_every > 0
            && self.grants % self.limits.aged_every == self.limits.aged_every - 1;
        if aged {
            let live = self
                .waiting
                .iter()
                .filter(|(_, waiting)| waiting.ask.class.is_some());
            if let Some((key, _)) = live.min_by_key(|(key, waiting)| (waiting.first, **key)) {
                return Some(*key);
            }
        }
        self.waiting
            .iter()
            .min_by_key(|(key, waiting)| (waiting.rank(), Reverse(waiting.gain(now)), **key))
            .map(|(key, _)| *key)
    }
}
