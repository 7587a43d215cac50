//! Tracks how many replicas an entry node uses for a busy adapter.
//!
//! The most popular adapters need tens of upstreams, and trying upstreams one by one in
//! placement order takes too long to find a free one. A busy response from an owner doubles
//! the adapter's replica count, so that the required count is reached within a few tries;
//! the count halves in the absence of busy responses, so that replicas are released. Only
//! busy adapters take memory. See docs/design/0002-decisions.md.

use std::collections::HashMap;

use crate::clock::Millis;

/// A replica count and the time at which it halves unless another busy response comes
/// first.
#[derive(Debug, Clone, Copy)]
struct ReplicaCount {
    replicas: u32,
    halves_at: Millis,
}

/// Replica counts of the adapters that were recently busy.
#[derive(Debug)]
pub struct ReplicaTable {
    counts: HashMap<u64, ReplicaCount>,
    max_replicas: u32,
    halve_after: Millis,
    max_adapters: usize,
}

impl ReplicaTable {
    /// Creates an empty table whose replica counts never exceed `max_replicas`.
    #[must_use]
    pub fn new(max_replicas: u32, halve_after: Millis, max_adapters: usize) -> Self {
        Self {
            counts: HashMap::new(),
            max_replicas: max_replicas.max(1),
            halve_after: halve_after.max(Millis(1)),
            max_adapters,
        }
    }

    /// Returns the number of upstreams among which the adapter's requests are distributed;
    /// 1 means its home only.
    #[must_use]
    pub fn replicas(&self, adapter: u64, now: Millis) -> u32 {
        let Some(count) = self.counts.get(&adapter) else {
            return 1;
        };
        self.decayed(*count, now)
    }

    /// Doubles the adapter's replica count after a busy response, up to the `pool` size.
    pub fn grow(&mut self, adapter: u64, pool: usize, now: Millis) {
        // A count above the pool size would have no effect but take longer to decay.
        let max_replicas = u32::try_from(pool)
            .unwrap_or(u32::MAX)
            .min(self.max_replicas);
        let replicas = self
            .replicas(adapter, now)
            .saturating_mul(2)
            .min(max_replicas);
        if replicas < 2 || !self.make_room(adapter, now) {
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

    /// Returns the number of adapters in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Makes room by removing adapters whose count has decayed to 1.
    fn make_room(&mut self, adapter: u64, now: Millis) -> bool {
        if self.counts.len() < self.max_adapters || self.counts.contains_key(&adapter) {
            return true;
        }
        let mut counts = std::mem::take(&mut self.counts);
        counts.retain(|_, count| self.decayed(*count, now) > 1);
        self.counts = counts;
        self.counts.len() < self.max_adapters
    }

    /// Returns a count after the halvings that are due by now.
    fn decayed(&self, count: ReplicaCount, now: Millis) -> u32 {
        if now < count.halves_at {
            return count.replicas;
        }
        let halvings = 1 + now.since(count.halves_at).0 / self.halve_after.0;
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        count.replicas.checked_shr(halvings).unwrap_or(0).max(1)
    }
}
