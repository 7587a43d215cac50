//! The software versions by which a pool's streams may have begun.
//!
//! One that has served until a moment ago still counts, since callers still resume its streams. A
//! node that has just started doesn't know of such a version by itself: the key-value service keeps
//! the versions of pools that have run several.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::origin::STREAM_LIFETIME;
use crate::clock::Millis;
use crate::name::Name;

/// Software versions of a pool, sorted.
pub type Versions = SmallVec<[Name; 2]>;

/// Prefix of the key of a pool's record among this system's own keys.
pub const SOFTWARE_PREFIX: &str = "software/";

/// Software versions that served beside those that the list of upstreams shows.
#[derive(Debug, Default)]
pub struct History {
    /// Versions that have left, by pool, with the time when this node last saw them.
    left: HashMap<Name, SmallVec<[(Name, Millis); 2]>>,
    /// Versions by pool as the key-value service keeps them.
    records: HashMap<Name, Versions>,
    /// When this node first saw an upstream.
    known_since: Option<Millis>,
}

impl History {
    /// Records that the list shows upstreams.
    pub fn begin(&mut self, now: Millis) {
        self.known_since.get_or_insert(now);
    }

    /// Records that an upstream has left.
    pub fn record_left(&mut self, pool: &Name, software: &Name, now: Millis) {
        let versions = self.left.entry(Name::clone(pool)).or_default();
        versions.retain(|(one, at)| one != software && now.since(*at) < STREAM_LIFETIME);
        versions.push((Name::clone(software), now));
    }

    /// Applies a pool's record of the key-value service; empty for a pool with one version.
    pub fn put_record(&mut self, pool: &str, mut versions: Versions) {
        versions.sort_unstable();
        versions.dedup();
        self.records.insert(pool.into(), versions);
    }

    /// Removes a pool's record.
    pub fn remove_record(&mut self, pool: &str) {
        self.records.remove(pool);
    }

    /// Removes the records of pools that aren't present any more.
    pub fn retain_records(&mut self, is_present: impl Fn(&str) -> bool) {
        self.records.retain(|pool, _| is_present(pool));
    }

    /// Whether this node has seen all versions itself by which streams may have begun.
    #[must_use]
    pub fn is_complete(&self, now: Millis) -> bool {
        self.known_since
            .is_some_and(|since| now.since(since) >= STREAM_LIFETIME)
    }

    /// Returns the versions that this node has seen, out of those that are listed and those that
    /// have left.
    #[must_use]
    pub fn seen(&self, pool: &str, listed: &[Name], now: Millis) -> Versions {
        let left = self.left.get(pool).into_iter().flatten();
        let left = left.filter(|(_, at)| now.since(*at) < STREAM_LIFETIME);
        let mut versions: Versions = listed.iter().cloned().collect();
        versions.extend(left.map(|(software, _)| Name::clone(software)));
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the versions by which streams of a pool may have begun.
    #[must_use]
    pub fn possible(&self, pool: &str, listed: &[Name], now: Millis) -> Versions {
        let mut versions = self.seen(pool, listed, now);
        if !self.is_complete(now)
            && let Some(recorded) = self.records.get(pool)
        {
            versions.extend(recorded.iter().cloned());
            versions.sort_unstable();
            versions.dedup();
        }
        versions
    }

    /// Returns what a pool's record has to become, if it has to change.
    ///
    /// A pool with one version has no record, or an empty one. Only a node that has seen all
    /// versions itself empties it.
    #[must_use]
    pub fn outdated_record(&self, pool: &str, listed: &[Name], now: Millis) -> Option<Versions> {
        let mut seen = self.seen(pool, listed, now);
        if seen.len() < 2 {
            seen.clear();
        }
        let recorded = self.records.get(pool);
        let is_current = recorded.map_or(seen.is_empty(), |recorded| *recorded == seen);
        let is_known = !seen.is_empty() || self.is_complete(now);
        (!is_current && is_known).then_some(seen)
    }
}
