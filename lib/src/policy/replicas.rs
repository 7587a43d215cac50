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
struct ReplicaCount {
    replicas: u32,
    halves_at: Millis,
}

/// Replica counts of the adapters that were busy of late.
#[derive(Debug)]
pub struct ReplicaTable {
    counts: HashMap<u64, ReplicaCount>,
    max_replicas: u32,
    halve_after: Millis,
    max_adapters: usize,
}

impl ReplicaTable {
    /// Starts with no memory; a replica count never exceeds `max_replicas`.
    #[must_use]
    pub fn new(max_replicas: u32, halve_after: Millis, max_adapters: usize) -> Self {
        Self {
            counts: HashMap::new(),
            max_replicas: max_replicas.max(1),
            halve_after: halve_after.max(Millis(1)),
            max_adapters,
        }
    }

    /// Returns over how many upstreams the adapter's requests go; 1 is its home alone.
    #[must_use]
    pub fn replicas(&self, adapter: u64, now: Millis) -> u32 {
        let Some(count) = self.counts.get(&adapter) else {
            return 1;
        };
        self.decayed(*count, now)
    }

    /// One of `pool` upstreams that serves the adapter was busy: its requests need more replicas.
    pub fn grow(&mut self, adapter: u64, pool: usize, now: Millis) {
        // A count beyond the pool would only take longer to halve.
        let max_replicas = u32::try_from(pool)
            .unwrap_or(u32::MAX)
            .min(self.max_replicas);
        let replicas = self
            .replicas(adapter, now)
            .saturating_mul(2)
            .min(max_replicas);
        if replicas < 2 || !self.has_room(adapter, now) {
            return;
        }
        let halves_at = now + self.halve_after;
        self.counts.insert(
            adapter,
            ReplicaCount {
                replicas,
                halves_at,
            },
        );
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
        if self.counts.len() < self.max_adapters || self.counts.contains_key(&adapter) {
            return true;
        }
        let mut counts = std::mem::take(&mut self.counts);
        counts.retain(|_, count| self.decayed(*count, now) > 1);
        self.counts = counts;
        self.counts.len() < self.max_adapters
    }

    /// Returns what is left of a count after halvings in quiet.
    fn decayed(&self, count: ReplicaCount, now: Millis) -> u32 {
        if now < count.halves_at {
            return count.replicas;
        }
        let halvings = 1 + now.since(count.halves_at).0 / self.halve_after.0;
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        count.replicas.checked_shr(halvings).unwrap_or(0).max(1)
    }
}
