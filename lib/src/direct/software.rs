//! The software versions by which a pool's streams may have begun.
//!
//! One that has served until a moment ago still counts, since callers still resume its streams. A
//! node that has just started doesn't know of such a version by itself, so the key-value service
//! keeps a record of each pool's versions. Streams begin only at versions that serve according to
//! the record. One that leaves the list is first recorded as having left, so that no more streams
//! begin at it, and is forgotten once no caller resumes a stream of it any more.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::origin::STREAM_LIFETIME;
use crate::clock::Millis;
use crate::name::Name;

/// Software versions of a pool, sorted.
pub type Versions = SmallVec<[Name; 2]>;

/// Prefix of the key of a pool's record among this system's own keys.
pub const SOFTWARE_PREFIX: &str = "software-versions/";

/// Prefix of the version of an upstream that reports none; its start follows.
pub const UNREPORTED: &str = "unknown:";

/// A pool's record in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The versions at which streams may begin.
    pub serving: Vec<Name>,
    /// The versions at which streams may have begun before.
    pub left: Vec<Name>,
}

/// A record as a node knows it.
#[derive(Debug)]
struct Known {
    record: Record,
    revision: u64,
    /// When this node first saw this revision.
    seen: Millis,
}

/// A change that a pool's record needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The new record.
    pub record: Record,
    /// The revision of the record that it replaces; `None` if there is no record.
    pub replaces: Option<u64>,
}

/// The records of all pools.
#[derive(Debug, Default)]
pub struct Records {
    by_pool: HashMap<Name, Known>,
}

impl Records {
    /// Applies a pool's record unless this revision or a newer one is known.
    pub fn put(&mut self, pool: &str, record: Record, revision: u64, now: Millis) {
        let known = self.by_pool.get(pool);
        if known.is_none_or(|known| known.revision < revision) {
            let known = Known {
                record,
                revision,
                seen: now,
            };
            self.by_pool.insert(pool.into(), known);
        }
    }

    /// Removes a pool's record, which was removed from the service at a revision.
    pub fn remove(&mut self, pool: &str, revision: u64) {
        let known = self.by_pool.get(pool);
        if known.is_some_and(|known| known.revision < revision) {
            self.by_pool.remove(pool);
        }
    }

    /// Removes the records of pools that aren't present any more.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.by_pool.retain(|pool, _| is_present(pool));
    }

    /// Whether streams of a pool may begin at a version.
    #[must_use]
    pub fn is_serving(&self, pool: &str, software: &Name) -> bool {
        let known = self.by_pool.get(pool);
        known.is_some_and(|known| known.record.serving.contains(&recorded_name(software)))
    }

    /// Returns the versions by which streams of a pool may have begun; `None` without a record.
    ///
    /// The listed ones are among them, whether or not they are recorded.
    #[must_use]
    pub fn possible(&self, pool: &str, listed: &[Name]) -> Option<Versions> {
        let Record { serving, left } = &self.by_pool.get(pool)?.record;
        let versions = serving.iter().chain(left).chain(listed);
        Some(sorted(versions.cloned()).into())
    }

    /// Returns what a pool's record has to become by the list as of a time, if it has to change.
    #[must_use]
    pub fn outdated(&self, pool: &str, listed: &[Name], as_of: Millis) -> Option<Update> {
        let listed = listed.iter().map(recorded_name);
        let Some(known) = self.by_pool.get(pool) else {
            let record = Record {
                serving: sorted(listed),
                left: Vec::new(),
            };
            return Some(Update {
                record,
                replaces: None,
            });
        };
        let Record { serving, left } = &known.record;
        // A record that this node has written or read by itself can be ahead of its list.
        let kept = serving.iter().filter(|_| as_of <= known.seen);
        let now_serving = sorted(listed.chain(kept.cloned()));
        let is_over = now_serving == *serving && as_of.since(known.seen) >= STREAM_LIFETIME;
        let gone = serving.iter().chain(left).filter(|_| !is_over);
        let gone = gone.filter(|version| !now_serving.contains(version));
        let record = Record {
            left: sorted(gone.cloned()),
            serving: now_serving,
        };
        (record != known.record).then_some(Update {
            record,
            replaces: Some(known.revision),
        })
    }
}

fn sorted(versions: impl Iterator<Item = Name>) -> Vec<Name> {
    let mut versions: Vec<Name> = versions.collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Returns the name of a version in records.
///
/// Upstreams that report none share one, so that a record doesn't grow with their number.
fn recorded_name(software: &Name) -> Name {
    if software.starts_with(UNREPORTED) {
        UNREPORTED.into()
    } else {
        Name::clone(software)
    }
}
