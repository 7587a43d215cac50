//! How many upstreams an entry node spreads a busy adapter's requests over.
//!
//! The hottest adapters need tens of upstreams, and a walk from the home finds
//! them too slowly. What owners answer doubles an adapter's width, so that the
//! needed one is found in a few tries; quiet halves it, so that replicas are
//! given back. Memory follows busy adapters only. See
//! docs/design/0002-decisions.md.

use std::collections::HashMap;

use crate::clock::Millis;

/// A width and when it halves, unless it is confirmed before.
#[derive(Debug, Clone, Copy)]
struct Width {
    upstreams: u32,
    until: Millis,
}

/// Widths of the adapters that were busy of late.
#[derive(Debug)]
pub struct Table {
    widths: HashMap<u64, Width>,
    most: u32,
    halve_after: Millis,
    remembered: usize,
}

impl Table {
    /// Starts with no memory; a width never exceeds `most`.
    #[must_use]
    pub fn new(most: u32, halve_after: Millis, remembered: usize) -> Self {
        Self {
            widths: HashMap::new(),
            most: most.max(1),
            halve_after: halve_after.max(Millis(1)),
            remembered,
        }
    }

    /// Returns over how many upstreams the adapter's requests go; 1 is its home alone.
    #[must_use]
    pub fn width(&self, adapter: u64, now: Millis) -> u32 {
        let Some(width) = self.widths.get(&adapter) else {
            return 1;
        };
        self.faded(*width, now)
    }

    /// One of `pool` upstreams that serves the adapter was busy: its requests need more of them.
    pub fn widen(&mut self, adapter: u64, pool: usize, now: Millis) {
        // A width beyond the pool would only take longer to halve.
        let most = u32::try_from(pool).unwrap_or(u32::MAX).min(self.most);
        let upstreams = self.width(adapter, now).saturating_mul(2).min(most);
        if upstreams < 2 || !self.has_room(adapter, now) {
            return;
        }
        let until = now + self.halve_after;
        self.widths.insert(adapter, Width { upstreams, until });
    }

    /// Returns how many adapters are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.widths.len()
    }

    /// Returns whether no adapter is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.widths.is_empty()
    }

    /// Makes room by forgetting adapters whose width is back at 1.
    fn has_room(&mut self, adapter: u64, now: Millis) -> bool {
        if self.widths.len() < self.remembered || self.widths.contains_key(&adapter) {
            return true;
        }
        let mut widths = std::mem::take(&mut self.widths);
        widths.retain(|_, width| self.faded(*width, now) > 1);
        self.widths = widths;
        self.widths.len() < self.remembered
    }

    /// Returns what is left of a width after halvings in quiet.
    fn faded(&self, width: Width, now: Millis) -> u32 {
        if now < width.until {
            return width.upstreams;
        }
        let halvings = 1 + now.since(width.until).0 / self.halve_after.0;
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        width.upstreams.checked_shr(halvings).unwrap_or(0).max(1)
    }
}
