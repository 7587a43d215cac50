//! Crashes that are suspected but not confirmed.
//!
//! A connection broke while an upstream was running a request, and it isn't known yet whether the
//! upstream crashed.

use std::collections::BTreeMap;

use super::report::CrashReport;
use super::subjects::Subjects;
use crate::clock::Millis;
use crate::name::Name;

/// How long an unconfirmed crash can keep a request from being sent.
///
/// Twice the time within which the upstream list shows a crash; if the list stays silent for
/// longer, harmless requests are sent again.
const MAX_AGE: Millis = Millis::from_secs(10);

/// Unconfirmed crashes that are kept; the oldest are dropped first.
const MAX_ENTRIES: usize = 1_024;

#[derive(Debug)]
struct Unconfirmed {
    report: CrashReport,
    since: Millis,
}

/// Unconfirmed crashes by record name, which holds the upstream's start and the node whose
/// requests were there.
#[derive(Debug, Default)]
pub struct UnconfirmedCrashes {
    entries: BTreeMap<Name, Unconfirmed>,
    /// Entries from other nodes that this node hasn't begun to check.
    from_peers: Vec<(Name, CrashReport)>,
    /// Changes with every change of the entries.
    version: u64,
}

impl UnconfirmedCrashes {
    /// Whether there are no unconfirmed crashes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds requests that were running where a connection broke, to an existing entry if there is
    /// one.
    pub fn add(&mut self, name: &Name, report: &CrashReport, now: Millis) {
        self.expire(now);
        self.version += 1;
        let known = self.entries.get(name).map(|entry| &entry.report.suspects);
        let all = known.into_iter().flatten().chain(&report.suspects).cloned();
        let report = CrashReport::new(Name::clone(&report.upstream), all);
        let since = self.entries.get(name).map_or(now, |entry| entry.since);
        self.entries
            .insert(Name::clone(name), Unconfirmed { report, since });
        while self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.since);
            let Some(name) = oldest.map(|(name, _)| Name::clone(name)) else {
                break;
            };
            self.entries.remove(&name);
        }
    }

    /// Adds an unconfirmed crash that another node reports.
    pub fn add_from_peer(&mut self, name: Name, report: CrashReport, now: Millis) {
        if self.entries.contains_key(&name) || self.from_peers.len() >= MAX_ENTRIES {
            return;
        }
        self.add(&name, &report, now);
        self.from_peers.push((name, report));
    }

    /// Returns the unconfirmed crashes that other nodes reported since the last call.
    pub fn take_from_peers(&mut self) -> Vec<(Name, CrashReport)> {
        std::mem::take(&mut self.from_peers)
    }

    /// Returns an unconfirmed crash with its suspect requests.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<CrashReport> {
        self.entries.get(name).map(|entry| entry.report.clone())
    }

    /// Removes an entry once it is known whether its upstream crashed.
    pub fn remove(&mut self, name: &str) {
        self.entries.remove(name);
        self.version += 1;
    }

    /// Returns a number that is the same as long as the entries are.
    pub fn version(&mut self, now: Millis) -> u64 {
        self.expire(now);
        self.version
    }

    /// Returns the unconfirmed crashes.
    ///
    /// Those without a certain request matter for it too: other requests may explain them.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.entries.values().map(|entry| &entry.report)
    }

    /// Whether any unconfirmed crash involves a subject of a request.
    #[must_use]
    pub fn involves(&self, subjects: &Subjects) -> bool {
        let mut suspects = self.reports().flat_map(|report| &report.suspects);
        suspects.any(|suspect| subjects.iter().any(|subject| suspect.has(subject)))
    }

    fn expire(&mut self, now: Millis) {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.since) < MAX_AGE);
        if self.entries.len() != before {
            self.version += 1;
        }
    }
}
