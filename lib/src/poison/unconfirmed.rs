//! Requests that stood where a connection broke, while nobody knows whether the upstream ended.

use std::collections::BTreeMap;

use super::fingerprint::Fingerprint;
use super::ledger::CrashReport;
use crate::clock::Millis;
use crate::name::Name;

/// How long an open case keeps a request from being sent.
///
/// Twice the time in which the list tells; while it is silent, proper requests go on behind it.
const LASTS: Millis = Millis::from_secs(10);

/// Cases that are kept; the oldest make room.
const MOST_OPEN: usize = 1_024;

#[derive(Debug)]
struct Case {
    report: CrashReport,
    since: Millis,
}

/// Open cases, by the upstream's start and the node whose requests stood there.
#[derive(Debug, Default)]
pub struct UnconfirmedCrashes {
    cases: BTreeMap<Name, Case>,
    /// Cases of other nodes that nobody looks into here yet.
    told: Vec<(Name, CrashReport)>,
}

impl UnconfirmedCrashes {
    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Opens a case of requests that had begun where a connection broke, or adds to it.
    pub fn add(&mut self, name: &Name, report: &CrashReport, now: Millis) {
        self.cases.retain(|_, case| now.since(case.since) < LASTS);
        let known = self.cases.get(name).map(|case| &case.report.suspects);
        let all = known.into_iter().flatten().chain(&report.suspects).cloned();
        let report = CrashReport::new(Name::clone(&report.upstream), all);
        let since = self.cases.get(name).map_or(now, |case| case.since);
        self.cases.insert(Name::clone(name), Case { report, since });
        while self.cases.len() > MOST_OPEN {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.since);
            let Some(name) = oldest.map(|(name, _)| Name::clone(name)) else {
                break;
            };
            self.cases.remove(&name);
        }
    }

    /// Takes in a case that another node tells of.
    pub fn add_from_peer(&mut self, name: Name, report: CrashReport, now: Millis) {
        if self.cases.contains_key(&name) || self.told.len() >= MOST_OPEN {
            return;
        }
        self.add(&name, &report, now);
        self.told.push((name, report));
    }

    /// Returns the cases that were told since the last call.
    pub fn take_from_peers(&mut self) -> Vec<(Name, CrashReport)> {
        std::mem::take(&mut self.told)
    }

    /// Returns the requests of a case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<CrashReport> {
        self.cases.get(name).map(|case| case.report.clone())
    }

    /// Closes a case: its upstream is known to have ended, or not to.
    pub fn remove(&mut self, name: &str) {
        self.cases.remove(name);
    }

    /// Returns the reports of a request's open cases and of all beside them; none if it has none.
    #[must_use]
    pub fn involving(&self, request: &Fingerprint, now: Millis) -> Vec<&CrashReport> {
        let cases = self.cases.values();
        let open: Vec<&CrashReport> = cases
            .filter(|case| now.since(case.since) < LASTS)
            .map(|case| &case.report)
            .collect();
        let names = |report: &&CrashReport| {
            let mut suspects = report.suspects.iter();
            suspects.any(|suspect| suspect.request == *request)
        };
        if open.iter().any(names) {
            open
        } else {
            Vec::new()
        }
    }
}
