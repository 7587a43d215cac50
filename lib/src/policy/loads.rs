//! The order of loads from the weight store, for the whole deployment.
//!
//! The store gives few loads a second, and two at once slow each other down,
//! so loads run one at a time. See docs/design/0002-decisions.md.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::loads::Ask;

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
    asked: Millis,
}

/// Asks for loads, one granted at a time.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeMap<Key, Waiting>,
    current: Option<(Key, Millis)>,
}

impl Queue {
    /// Starts empty.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            current: None,
        }
    }

    /// Puts an ask in, or replaces an earlier one of the same key without losing its age.
    ///
    /// Returns whether there was room.
    pub fn ask(&mut self, key: Key, ask: Ask, now: Millis) -> bool {
        let asked = self.waiting.get(&key).map_or(now, |waiting| waiting.asked);
        if self.waiting.len() >= self.limits.waiting && !self.waiting.contains_key(&key) {
            return false;
        }
        self.waiting.insert(key, Waiting { ask, asked });
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
        if let Some((_, until)) = self.current
            && now < until
        {
            return None;
        }
        self.current = None;
        let key = *self
            .waiting
            .iter()
            .min_by_key(|(key, waiting)| (waiting.ask.class.is_none(), waiting.asked, **key))?
            .0;
        let granted = self.waiting.remove(&key)?;
        self.current = Some((key, now + self.limits.patience));
        Some((key, granted.ask))
    }

    /// Tells that a granted load has ended, or that its leave came back unused.
    pub fn done(&mut self, key: Key, now: Millis) {
        let _ = now;
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
}
