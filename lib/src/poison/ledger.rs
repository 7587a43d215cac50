//! Attributes upstream crashes to the requests that caused them.
//!
//! A crash interrupts a whole batch, so every request in it is a suspect. Each node reports which
//! of its own requests were at the upstream; the ledger merges the reports of one crash and looks
//! for a request that explains several crashes. Crashes that a blamed request explains don't count
//! against any other request: requests that were interrupted together with a poison request are
//! retried on the next engine together with it, and after three crashes would look just as guilty.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::clock::Millis;
use crate::name::Name;

/// How long a report counts.
///
/// A poison request that returns later than this crashes as many engines again. If an engine
/// release fixes the cause, the request is sent again after this time.
pub const REPORT_TTL: Millis = Millis::from_secs(600);

/// Number of crashes from which on a request is blamed.
///
/// Two can be chance where many engines crash, since an interrupted request is retried on another
/// engine.
const MIN_CRASHES: usize = 3;

/// Total weight of suspicion from which on a request is blamed.
///
/// A request that may not have begun at any of the upstreams needs more than [`MIN_CRASHES`].
const MIN_WEIGHT: u32 = 4;

/// Number of reports that are kept: a hundred engines, each reported by forty nodes. The oldest
/// are dropped first.
const MAX_REPORTS: usize = 4_096;

/// Number of suspects in one node's report: more requests than an engine's batch holds from one
/// node.
const MAX_SUSPECTS: usize = 32;

/// How strongly a request at a crashed upstream is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// It may still have been queued, or its first event had just arrived.
    Possible,
    /// The upstream had begun to run it and crashed before the first event arrived.
    Begun,
}

impl Suspicion {
    const fn weight(self) -> u32 {
        match self {
            Self::Possible => 1,
            Self::Begun => 2,
        }
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Possible => "possible",
            Self::Begun => "begun",
        }
    }
}

/// A request that was at an upstream when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// How strongly it is suspected.
    #[serde(rename = "sign")]
    pub suspicion: Suspicion,
}

/// One node's report of an upstream that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the upstream's start; a restarted upstream has another.
    pub upstream: Name,
    /// The node's own requests that were at the upstream.
    pub suspects: Vec<Suspect>,
}

/// What is known about a suspect request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SuspectStatus {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Upstreams that crashed while the request was there.
    pub upstreams: Vec<Name>,
    /// Whether the request is blamed and therefore no longer sent.
    pub blamed: bool,
}

impl CrashReport {
    /// Creates a report that lists each request once with its strongest suspicion, the most
    /// suspect requests first.
    #[must_use]
    pub fn new(upstream: Name, suspects: impl IntoIterator<Item = Suspect>) -> Self {
        let mut suspicions: BTreeMap<Fingerprint, Suspicion> = BTreeMap::new();
        for Suspect { request, suspicion } in suspects {
            let known = suspicions.entry(request).or_insert(suspicion);
            *known = suspicion.max(*known);
        }
        let suspects = suspicions.into_iter();
        let mut suspects: Vec<Suspect> = suspects
            .map(|(request, suspicion)| Suspect { request, suspicion })
            .collect();
        suspects.sort_by_key(|suspect| Reverse(suspect.suspicion));
        suspects.truncate(MAX_SUSPECTS);
        Self { upstream, suspects }
    }
}

/// A report together with where and when this node learned of it.
#[derive(Debug)]
struct StoredReport {
    report: CrashReport,
    /// Revision in the key-value service; `None` until the report is written there.
    revision: Option<u64>,
    received_at: Millis,
}

/// Crash reports of all nodes, and the requests that they blame.
///
/// Nodes reach the same verdict from the same reports, so they don't need to agree on it.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Reports by their name in the key-value service.
    reports: BTreeMap<Name, StoredReport>,
    /// Requests shown to be harmless, with the revision up to which reports of them don't count.
    cleared: HashMap<Fingerprint, u64>,
    /// Result of the last evaluation; `None` after a change.
    verdict: Option<Verdict>,
}

/// Result of evaluating all reports.
#[derive(Debug, Default)]
struct Verdict {
    /// Blamed requests, with the number of crashes that each explains.
    blamed: HashMap<Fingerprint, usize>,
    /// All reported requests, with the number of upstreams that crashed while each was there.
    crashes: HashMap<Fingerprint, usize>,
}

impl CrashLedger {
    /// Whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Adds or replaces a report, by its name in the key-value service.
    pub fn add_report(
        &mut self,
        name: Name,
        mut report: CrashReport,
        revision: Option<u64>,
        now: Millis,
    ) {
        self.expire(now);
        // A node can send the report directly after the key-value service has shown it.
        let known = self.reports.get(&name);
        let revision = revision.or_else(|| known.and_then(|known| known.revision));
        let received_at = known.map_or(now, |known| known.received_at);
        let cleared = &self.cleared;
        report.suspects.retain(|suspect| {
            let cleared_at = cleared.get(&suspect.request);
            cleared_at
                .is_none_or(|cleared_at| revision.is_none_or(|revision| revision > *cleared_at))
        });
        report.suspects.truncate(MAX_SUSPECTS);
        let stored = StoredReport {
            report,
            revision,
            received_at,
        };
        self.reports.insert(name, stored);
        self.verdict = None;
    }

    /// Returns the suspects of a report.
    pub fn suspects_in(&self, name: &str) -> impl Iterator<Item = &Suspect> + use<'_> {
        let stored = self.reports.get(name);
        stored
            .into_iter()
            .flat_map(|stored| &stored.report.suspects)
    }

    /// Clears a request that ran without a crash: reports of it up to `revision` no longer count.
    ///
    /// Without a `revision`, none of the reports that this node has count any longer.
    pub fn clear(&mut self, request: &Fingerprint, revision: Option<u64>) {
        if let Some(revision) = revision {
            let cleared_at = self.cleared.entry(request.clone()).or_default();
            *cleared_at = revision.max(*cleared_at);
        }
        for stored in self.reports.values_mut() {
            let counts = match (stored.revision, revision) {
                (Some(reported), Some(cleared)) => reported > cleared,
                (None, Some(_)) => true,
                (_, None) => false,
            };
            if !counts {
                let suspects = &mut stored.report.suspects;
                suspects.retain(|suspect| suspect.request != *request);
            }
        }
        self.verdict = None;
    }

    /// Removes a report that is gone from the key-value service.
    pub fn remove_report(&mut self, name: &str) {
        self.reports.remove(name);
        self.verdict = None;
    }

    /// Removes the clearance of a request whose record is gone from the key-value service.
    pub fn remove_clearance(&mut self, request: &Fingerprint) {
        self.cleared.remove(request);
    }

    /// Removes written reports that are missing from a full listing of the key-value service;
    /// they have expired.
    pub fn retain_reports(&mut self, is_present: impl Fn(&str) -> bool) {
        let has_expired =
            |name: &Name, stored: &StoredReport| stored.revision.is_some() && !is_present(name);
        self.reports
            .retain(|name, stored| !has_expired(name, stored));
        self.verdict = None;
    }

    /// Returns the number of crashes that a request is blamed for, if it is blamed.
    pub fn blamed_crashes(&mut self, request: &Fingerprint, now: Millis) -> Option<usize> {
        self.verdict(now).blamed.get(request).copied()
    }

    /// Whether a request would be blamed if the upstreams of some more reports had crashed.
    #[must_use]
    pub fn would_blame(&self, request: &Fingerprint, more: &[&CrashReport]) -> bool {
        let stored = self.reports.values().map(|stored| &stored.report);
        let verdict = evaluate(stored.chain(more.iter().copied()));
        verdict.blamed.contains_key(request)
    }

    /// Returns the number of upstreams that crashed while a request was there.
    pub fn crash_count(&mut self, request: &Fingerprint, now: Millis) -> usize {
        let crashes = self.verdict(now).crashes.get(request);
        crashes.copied().unwrap_or_default()
    }

    /// Returns all reported requests, the blamed ones first.
    pub fn suspect_statuses(&mut self, now: Millis) -> Vec<SuspectStatus> {
        let mut upstreams: BTreeMap<Fingerprint, BTreeSet<Name>> = BTreeMap::new();
        for stored in self.reports.values() {
            for suspect in &stored.report.suspects {
                let crashed = upstreams.entry(suspect.request.clone()).or_default();
                crashed.insert(Name::clone(&stored.report.upstream));
            }
        }
        let statuses = upstreams
            .into_iter()
            .map(|(request, upstreams)| SuspectStatus {
                blamed: self.blamed_crashes(&request, now).is_some(),
                upstreams: upstreams.into_iter().collect(),
                request,
            });
        let mut statuses: Vec<SuspectStatus> = statuses.collect();
        statuses.sort_by_key(|status| (!status.blamed, Reverse(status.upstreams.len())));
        statuses
    }

    /// Returns the number of blamed requests.
    pub fn blamed_count(&mut self, now: Millis) -> usize {
        self.verdict(now).blamed.len()
    }

    /// Returns the current verdict, which is evaluated again only after a change, since every
    /// request that is sent asks for it.
    fn verdict(&mut self, now: Millis) -> &Verdict {
        self.expire(now);
        let reports = &self.reports;
        self.verdict
            .get_or_insert_with(|| evaluate(reports.values().map(|stored| &stored.report)))
    }

    /// Drops expired reports, and the oldest ones where there are too many.
    fn expire(&mut self, now: Millis) {
        let before = self.reports.len();
        self.reports
            .retain(|_, stored| now.since(stored.received_at) < REPORT_TTL);
        while self.reports.len() >= MAX_REPORTS {
            let oldest = self
                .reports
                .iter()
                .min_by_key(|(_, stored)| stored.received_at);
            let Some(name) = oldest.map(|(name, _)| Name::clone(name)) else {
                break;
            };
            self.reports.remove(&name);
        }
        if self.reports.len() != before {
            self.verdict = None;
        }
    }
}

/// Determines which requests the reports blame.
///
/// The strongest suspect is blamed first, and the crashes that it explains are removed before the
/// next one is determined.
fn evaluate<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Verdict {
    let mut crashes: HashMap<&Name, HashMap<&Fingerprint, Suspicion>> = HashMap::new();
    for report in reports {
        let suspects = crashes.entry(&report.upstream).or_default();
        for Suspect { request, suspicion } in &report.suspects {
            let known = suspects.entry(request).or_insert(*suspicion);
            *known = (*known).max(*suspicion);
        }
    }
    let counts = scores(&crashes).into_iter();
    let mut verdict = Verdict {
        blamed: HashMap::new(),
        crashes: counts
            .map(|(request, score)| (request.clone(), score.crashes))
            .collect(),
    };
    while let Some((request, count)) = strongest_suspect(&crashes) {
        crashes.retain(|_, suspects| !suspects.contains_key(request));
        verdict.blamed.insert(request.clone(), count);
    }
    verdict
}

/// Total suspicion against one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    weight: u32,
    /// Number of upstreams that crashed.
    crashes: usize,
}

fn scores<'a>(
    crashes: &HashMap<&Name, HashMap<&'a Fingerprint, Suspicion>>,
) -> HashMap<&'a Fingerprint, Score> {
    let mut scores: HashMap<&Fingerprint, Score> = HashMap::new();
    for (request, suspicion) in crashes.values().flatten() {
        let score = scores.entry(request).or_default();
        score.weight += suspicion.weight();
        score.crashes += 1;
    }
    scores
}

/// Returns the request with the highest score and its number of crashes, if that is enough to
/// blame it.
fn strongest_suspect<'a>(
    crashes: &HashMap<&Name, HashMap<&'a Fingerprint, Suspicion>>,
) -> Option<(&'a Fingerprint, usize)> {
    scores(crashes)
        .into_iter()
        .filter(|(_, score)| score.weight >= MIN_WEIGHT && score.crashes >= MIN_CRASHES)
        .max_by_key(|(request, score)| (*score, Reverse(*request)))
        .map(|(request, score)| (request, score.crashes))
}
