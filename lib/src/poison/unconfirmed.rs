//! Crashes that are suspected but not confirmed.
//!
//! A connection broke while an upstream was running a request, and it isn't known yet whether the
//! upstream crashed.

use std::collections::BTreeMap;

use super::fingerprint::Fingerprint;
use super::ledger::CrashReport;
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
        self.entries
            .retain(|_, entry| now.since(entry.since) < MAX_AGE);
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
    }

    /// Returns all unconfirmed crashes if any of them involves the request, otherwise none.
    ///
    /// The other crashes matter too: they may be explained by other requests.
    #[must_use]
    pub fn involving(&self, request: &Fingerprint, now: Millis) -> Vec<&CrashReport> {
        let entries = self.entries.values();
        let reports: Vec<&CrashReport> = entries
            .filter(|entry| now.since(entry.since) < MAX_AGE)
            .map(|entry| &entry.report)
            .collect();
        let involves_request = |report: &&CrashReport| {
            let mut suspects = report.suspects.iter();
            suspects.any(|suspect| suspect.request == *request)
        };
        if reports.iter().any(involves_request) {
            reports
        } else {
            Vec::new()
        }
    }
}
