//! Which requests are to blame for upstreams that ended.
//!
//! An upstream that ends takes a whole batch with it, and all of it looks guilty. Nodes report
//! which of their own requests stood there; the ledger puts the reports of one upstream together
//! and looks for a request that explains several ends. What it explains then speaks against
//! nobody else: requests that were cut beside a poison one go on to the next engine together
//! with it, and would look as guilty after three of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::clock::Millis;
use crate::name::Name;

/// How long a report counts.
///
/// A caller that comes back later than this costs as many engines again; an engine's release
/// that mends the cause is noticed after as long.
pub const REPORT_TTL: Millis = Millis::from_secs(600);

/// Ends of upstreams from which on a request is to blame.
///
/// Two can be chance where many engines end: a request that was cut goes on at another one.
const ENDS: usize = 3;

/// Weight from which on a request is to blame: with less than certain signs it takes more ends.
const WEIGHT: u32 = 4;

/// Reports that are kept: those of a hundred engines by forty nodes; the oldest make room.
const MOST_REPORTS: usize = 4_096;

/// Requests of one node in a report: more than an engine's batch holds of one node's.
const MOST_SUSPECTS: usize = 32;

/// How far a request that stood at an upstream is suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// It may have waited in the queue still, or has just brought its first event.
    Possible,
    /// The upstream had begun it and ended before it brought anything.
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

/// A request that stood at an upstream that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub request: Fingerprint,
    /// How far it is suspect.
    #[serde(rename = "sign")]
    pub suspicion: Suspicion,
}

/// What one node says of one start of an upstream that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The start.
    pub upstream: Name,
    /// The node's own requests there.
    pub suspects: Vec<Suspect>,
}

/// How a request stands that upstreams ended under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SuspectStatus {
    /// The request.
    pub request: Fingerprint,
    /// Upstreams that ended while it stood there.
    pub upstreams: Vec<Name>,
    /// Whether it is to blame, so that it is no longer sent.
    pub blamed: bool,
}

impl CrashReport {
    /// Makes a report of requests, each with its strongest suspicion, the most suspect first.
    #[must_use]
    pub fn new(upstream: Name, suspects: impl IntoIterator<Item = Suspect>) -> Self {
        let mut signs: BTreeMap<Fingerprint, Suspicion> = BTreeMap::new();
        for Suspect { request, suspicion } in suspects {
            let known = signs.entry(request).or_insert(suspicion);
            *known = suspicion.max(*known);
        }
        let suspects = signs.into_iter();
        let mut suspects: Vec<Suspect> = suspects
            .map(|(request, suspicion)| Suspect { request, suspicion })
            .collect();
        suspects.sort_by_key(|suspect| Reverse(suspect.suspicion));
        suspects.truncate(MOST_SUSPECTS);
        Self { upstream, suspects }
    }
}

/// A report as this node knows it.
#[derive(Debug)]
struct Known {
    report: CrashReport,
    /// Revision of the key-value service; none while it isn't written there.
    revision: Option<u64>,
    since: Millis,
}

/// What nodes reported, and who is to blame by it.
///
/// The same reports give the same verdict at every node; nothing is agreed.
#[derive(Debug, Default)]
pub struct CrashLedger {
    reports: BTreeMap<Name, Known>,
    /// Requests that survived, with the revision up to which reports of them don't count.
    cleared: HashMap<Fingerprint, u64>,
    /// What the reports add up to; none after a change.
    judgement: Option<Judgement>,
}

/// What the reports add up to.
#[derive(Debug, Default)]
struct Judgement {
    /// Requests to blame, with the upstreams that ended under each.
    blamed: HashMap<Fingerprint, usize>,
    /// All requests that reports name, with the upstreams that ended while each stood there.
    ends: HashMap<Fingerprint, usize>,
}

impl CrashLedger {
    /// Whether nothing speaks against anybody.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Takes a report in under its name in the key-value service.
    pub fn add_report(
        &mut self,
        name: Name,
        mut report: CrashReport,
        revision: Option<u64>,
        now: Millis,
    ) {
        self.lapse(now);
        // Another node can tell of it after the key-value service has shown it.
        let known = self.reports.get(&name);
        let revision = revision.or_else(|| known.and_then(|known| known.revision));
        let since = known.map_or(now, |known| known.since);
        let cleared = &self.cleared;
        report.suspects.retain(|suspect| {
            let until = cleared.get(&suspect.request);
            until.is_none_or(|until| revision.is_none_or(|revision| revision > *until))
        });
        report.suspects.truncate(MOST_SUSPECTS);
        let known = Known {
            report,
            revision,
            since,
        };
        self.reports.insert(name, known);
        self.judgement = None;
    }

    /// Returns the requests that a report names.
    pub fn suspects_in(&self, name: &str) -> impl Iterator<Item = &Suspect> + use<'_> {
        let known = self.reports.get(name);
        known.into_iter().flat_map(|known| &known.report.suspects)
    }

    /// Takes in that a request survived: what was reported of it before counts no more.
    ///
    /// Without a `revision` it counts for all that this node knows.
    pub fn clear(&mut self, request: &Fingerprint, revision: Option<u64>) {
        if let Some(revision) = revision {
            let until = self.cleared.entry(request.clone()).or_default();
            *until = revision.max(*until);
        }
        for known in self.reports.values_mut() {
            let counts = match (known.revision, revision) {
                (Some(reported), Some(cleared)) => reported > cleared,
                (None, Some(_)) => true,
                (_, None) => false,
            };
            if !counts {
                let suspects = &mut known.report.suspects;
                suspects.retain(|suspect| suspect.request != *request);
            }
        }
        self.judgement = None;
    }

    /// Takes in that the key-value service holds a report no more.
    pub fn remove_report(&mut self, name: &str) {
        self.reports.remove(name);
        self.judgement = None;
    }

    /// Takes in that the key-value service holds no survivor's record any more.
    pub fn remove_clearance(&mut self, request: &Fingerprint) {
        self.cleared.remove(request);
    }

    /// Takes in a whole listing: what was written there and is missing has lapsed.
    pub fn retain_reports(&mut self, is_present: impl Fn(&str) -> bool) {
        let lapsed = |name: &Name, known: &Known| known.revision.is_some() && !is_present(name);
        self.reports.retain(|name, known| !lapsed(name, known));
        self.judgement = None;
    }

    /// Returns how many upstreams ended under a request that is to blame for it.
    pub fn blamed_crashes(&mut self, request: &Fingerprint, now: Millis) -> Option<usize> {
        self.judgement(now).blamed.get(request).copied()
    }

    /// Whether a request would be to blame if the upstreams of some more reports had ended.
    #[must_use]
    pub fn would_blame(&self, request: &Fingerprint, more: &[&CrashReport]) -> bool {
        let known = self.reports.values().map(|known| &known.report);
        let judgement = judge(known.chain(more.iter().copied()));
        judgement.blamed.contains_key(request)
    }

    /// Returns how many upstreams ended while a request stood there.
    pub fn crash_count(&mut self, request: &Fingerprint, now: Millis) -> usize {
        let ends = self.judgement(now).ends.get(request);
        ends.copied().unwrap_or_default()
    }

    /// Returns all requests that reports name, those to blame first.
    pub fn suspect_statuses(&mut self, now: Millis) -> Vec<SuspectStatus> {
        let mut upstreams: BTreeMap<Fingerprint, BTreeSet<Name>> = BTreeMap::new();
        for known in self.reports.values() {
            for suspect in &known.report.suspects {
                let ended = upstreams.entry(suspect.request.clone()).or_default();
                ended.insert(Name::clone(&known.report.upstream));
            }
        }
        let standings = upstreams
            .into_iter()
            .map(|(request, upstreams)| SuspectStatus {
                blamed: self.blamed_crashes(&request, now).is_some(),
                upstreams: upstreams.into_iter().collect(),
                request,
            });
        let mut standings: Vec<SuspectStatus> = standings.collect();
        standings.sort_by_key(|one| (!one.blamed, Reverse(one.upstreams.len())));
        standings
    }

    /// Returns how many requests are to blame.
    pub fn blamed_count(&mut self, now: Millis) -> usize {
        self.judgement(now).blamed.len()
    }

    /// Judges anew only after a change: it is asked about each request that is sent.
    fn judgement(&mut self, now: Millis) -> &Judgement {
        self.lapse(now);
        let reports = &self.reports;
        self.judgement
            .get_or_insert_with(|| judge(reports.values().map(|known| &known.report)))
    }

    fn lapse(&mut self, now: Millis) {
        let before = self.reports.len();
        self.reports
            .retain(|_, known| now.since(known.since) < REPORT_TTL);
        while self.reports.len() >= MOST_REPORTS {
            let oldest = self.reports.iter().min_by_key(|(_, known)| known.since);
            let Some(name) = oldest.map(|(name, _)| Name::clone(name)) else {
                break;
            };
            self.reports.remove(&name);
        }
        if self.reports.len() != before {
            self.judgement = None;
        }
    }
}

/// Returns who is to blame by these reports.
///
/// Whoever explains most goes first, and takes the ends that it explains out of the count.
fn judge<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Judgement {
    let mut ends: HashMap<&Name, HashMap<&Fingerprint, Suspicion>> = HashMap::new();
    for report in reports {
        let end = ends.entry(&report.upstream).or_default();
        for Suspect { request, suspicion } in &report.suspects {
            let known = end.entry(request).or_insert(*suspicion);
            *known = (*known).max(*suspicion);
        }
    }
    let counts = sums(&ends).into_iter();
    let mut judgement = Judgement {
        blamed: HashMap::new(),
        ends: counts
            .map(|(request, sum)| (request.clone(), sum.count))
            .collect(),
    };
    while let Some((request, count)) = heaviest(&ends) {
        ends.retain(|_, suspects| !suspects.contains_key(request));
        judgement.blamed.insert(request.clone(), count);
    }
    judgement
}

/// What speaks against one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Sum {
    weight: u32,
    /// Upstreams that ended.
    count: usize,
}

fn sums<'a>(
    ends: &HashMap<&Name, HashMap<&'a Fingerprint, Suspicion>>,
) -> HashMap<&'a Fingerprint, Sum> {
    let mut sums: HashMap<&Fingerprint, Sum> = HashMap::new();
    for (request, suspicion) in ends.values().flatten() {
        let sum = sums.entry(request).or_default();
        sum.weight += suspicion.weight();
        sum.count += 1;
    }
    sums
}

/// Returns the request against which most speaks, if it is enough.
fn heaviest<'a>(
    ends: &HashMap<&Name, HashMap<&'a Fingerprint, Suspicion>>,
) -> Option<(&'a Fingerprint, usize)> {
    sums(ends)
        .into_iter()
        .filter(|(_, sum)| sum.weight >= WEIGHT && sum.count >= ENDS)
        .max_by_key(|(request, sum)| (*sum, Reverse(*request)))
        .map(|(request, sum)| (request, sum.count))
}
