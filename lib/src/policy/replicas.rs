//! How many replicas an entry node counts on for a busy adapter.
//!
//! The hottest adapters need tens of upstreams, and trying one after the
//! other from the home finds them too slowly. What owners answer doubles an adapter's replica count, so that the
//! needed one is found in a few tries; quiet halves it, so that replicas are
//! given back. Memory follows busy adapters only. See
//! docs/design/0002-decisions.md.

use std::collections::HashMap;

use crate::clock::Millis;

/// A replica count and when it halves, unless it is confirmed before.
#[derive(Debug, Clone, Copy)]
struct Count {
    replicas: u32,
    until: Millis,
}

/// Replica counts of the adapters that were busy of late.
#[derive(Debug)]
pub struct ReplicaTable {
    counts: HashMap<u64, Count>,
    most: u32,
    halve_after: Millis,
    remembered: usize,
}

impl ReplicaTable {
    /// Starts with no memory; a replica count never exceeds `most`.
    #[must_use]
    pub fn new(most: u32, halve_after: Millis, remembered: usize) -> Self {
        Self {
            counts: HashMap::new(),
            most: most.max(1),
            halve_after: halve_after.max(Millis(1)),
            remembered,
        }
    }

    /// Returns over how many upstreams the adapter's requests go; 1 is its home alone.
    #[must_use]
    pub fn replicas(&self, adapter: u64, now: Millis) -> u32 {
        let Some(count) = self.counts.get(&adapter) else {
            return 1;
        };
        self.faded(*count, now)
    }

    /// One of `pool` upstreams that serves the adapter was busy: its requests need more replicas.
    pub fn grow(&mut self, adapter: u64, pool: usize, now: Millis) {
        // A count beyond the pool would only take longer to halve.
        let most = u32::try_from(pool).unwrap_or(u32::MAX).min(self.most);
        let replicas = self.replicas(adapter, now).saturating_mul(2).min(most);
        if replicas < 2 || !self.has_room(adapter, now) {
            return;
        }
        let until = now + self.halve_after;
        self.counts.insert(adapter, Count { replicas, until });
    }

    /// Returns how many adapters are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Makes room by forgetting adapters whose count is back at 1.
    fn has_room(&mut self, adapter: u64, now: Millis) -> bool {
        if self.counts.len() < self.remembered || self.counts.contains_key(&adapter) {
            return true;
        }
        let mut counts = std::mem::take(&mut self.counts);
        counts.retain(|_, count| self.faded(*count, now) > 1);
        self.counts = counts;
        self.counts.len() < self.remembered
    }

    /// Returns what is left of a count after halvings in quiet.
    fn faded(&self, count: Count, now: Millis) -> u32 {
        if now < count.until {
            return count.replicas;
        }
        let halvings = 1 + now.since(count.until).0 / self.halve_after.0;
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        count.replicas.checked_shr(halvings).unwrap_or(0).max(1)
    }
}
