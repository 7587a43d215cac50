//! Determines what crash reports blame.
//!
//! One cause explains a crash, and crashes that a blamed subject explains don't count against any
//! other. Subjects that were always together, such as a prompt part that crashes engines and one
//! that all requests begin with, can't be told apart by crashes alone. Only requests that have all
//! of them are blamed then: others keep running, and either run soundly or narrow the blame down.
//! See docs/design/0018-subjects-of-suspicion.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::fingerprint::Fingerprint;
use super::ledger::REPORT_TTL;
use super::report::{CrashReport, Suspect, Suspicion};
use super::subjects::Subjects;
use super::trial;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Number of crashes from which on a subject is blamed.
///
/// Two can be chance where many engines crash, since an interrupted request is retried on another
/// engine.
pub const MIN_CRASHES: usize = 3;

/// Total weight of suspicion from which on a subject is blamed.
///
/// A request that may not have begun at any of the upstreams needs more than [`MIN_CRASHES`].
const MIN_WEIGHT: u32 = 4;

/// A subject that explains several crashes, and the requests that are blamed with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blame {
    /// The strongest suspect.
    pub subject: Fingerprint,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// Whether an upstream crashed under a request that was sent to find out.
    pub trial_failed: bool,
    /// Subjects that were together at all these crashes, by the requests that had most of them.
    patterns: Vec<BTreeSet<Fingerprint>>,
}

impl Blame {
    /// Whether a request has all subjects that were together at the crashes.
    #[must_use]
    pub fn covers(&self, subjects: &Subjects) -> bool {
        let is_covered = |pattern: &BTreeSet<Fingerprint>| {
            let mut blamed = pattern.iter();
            blamed.all(|subject| subjects.contains(subject))
        };
        self.patterns.iter().any(is_covered)
    }

    /// Whether only prompt parts are blamed, so that different requests are rejected.
    #[must_use]
    pub fn is_of_parts(&self) -> bool {
        let mut subjects = self.patterns.iter().flatten();
        subjects.all(Fingerprint::is_part)
    }

    /// Returns the parts' ids and the fingerprints that can't be told apart, for logs and callers.
    #[must_use]
    pub fn description(&self) -> String {
        let text = |subject: &Fingerprint| subject.part_id().unwrap_or(subject.as_str()).to_owned();
        let patterns = self.patterns.iter().map(|pattern| {
            let subjects: Vec<String> = pattern.iter().map(text).collect();
            subjects.join(" with ")
        });
        let patterns: Vec<String> = patterns.collect();
        patterns.join(", or ")
    }

    /// Whether a request may be sent to find out whether it still crashes an upstream.
    #[must_use]
    pub fn may_be_tried(&self) -> bool {
        self.is_of_parts() && !self.trial_failed
    }

    /// Returns the failure of a request that is blamed, which names what it is blamed for.
    #[must_use]
    pub fn failure(&self, subjects: &Subjects) -> Failure {
        let ended = format!("{} upstreams ended as they began to run", self.crashes);
        let failure = if self.involves(&subjects.request) {
            Failure::new(Code::Quarantined, format!("{ended} this request"))
        } else {
            let parts = self.description();
            let detail = format!("{ended} requests with prompt part {parts}");
            Failure::new(Code::PartQuarantined, detail)
        };
        failure.retry_after(if self.may_be_tried() {
            trial::RETRY_AFTER
        } else {
            REPORT_TTL
        })
    }

    /// Whether a subject is among those that can't be told apart.
    #[must_use]
    pub fn involves(&self, subject: &Fingerprint) -> bool {
        let mut patterns = self.patterns.iter();
        patterns.any(|pattern| pattern.contains(subject))
    }
}

/// Result of evaluating reports.
#[derive(Debug, Default)]
pub struct Verdict {
    /// What is blamed, the strongest first.
    pub blames: Vec<Blame>,
    /// All reported subjects, with the number of upstreams that crashed while each was there.
    pub crashes: HashMap<Fingerprint, usize>,
}

impl Verdict {
    /// Evaluates reports of all nodes; the result doesn't depend on their order.
    #[must_use]
    pub fn of<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Self {
        let mut crashes = merge(reports);
        let counts = scores(&crashes).into_iter();
        let mut verdict = Self {
            blames: Vec::new(),
            crashes: counts
                .map(|(subject, score)| (subject.clone(), score.crashes))
                .collect(),
        };
        while let Some(subject) = strongest_suspect(&crashes) {
            let (explained, rest) = crashes
                .into_iter()
                .partition(|(_, crash)| crash.carriers(subject).next().is_some());
            verdict.blames.push(blame(subject, &explained));
            crashes = rest;
        }
        verdict
    }

    /// Returns what blames a request, if anything does.
    #[must_use]
    pub fn blame_of(&self, subjects: &Subjects) -> Option<&Blame> {
        self.blames.iter().find(|blame| blame.covers(subjects))
    }
}

/// A request at a crashed upstream, as all reports of the crash describe it.
#[derive(Debug)]
struct Present<'a> {
    suspicion: Suspicion,
    trial: bool,
    subjects: BTreeSet<&'a Fingerprint>,
}

/// One crash: the suspect requests that were there.
#[derive(Debug, Default)]
struct Crash<'a> {
    requests: BTreeMap<&'a Fingerprint, Present<'a>>,
}

type Crashes<'a> = BTreeMap<&'a Name, Crash<'a>>;

impl<'a> Crash<'a> {
    fn add(&mut self, suspect: &'a Suspect) {
        let present = self.requests.entry(&suspect.request).or_insert(Present {
            suspicion: suspect.suspicion,
            trial: false,
            subjects: BTreeSet::new(),
        });
        present.suspicion = present.suspicion.max(suspect.suspicion);
        present.trial |= suspect.trial;
        present.subjects.insert(&suspect.request);
        present.subjects.extend(&suspect.parts);
    }

    fn carriers(&self, subject: &Fingerprint) -> impl Iterator<Item = &Present<'a>> {
        let requests = self.requests.values();
        requests.filter(|present| present.subjects.contains(subject))
    }

    /// Returns the subjects that were in the same requests as this one.
    fn together_with(&self, subject: &Fingerprint) -> BTreeSet<&'a Fingerprint> {
        let carriers = self.carriers(subject);
        carriers.flat_map(|one| &one.subjects).copied().collect()
    }
}

fn merge<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Crashes<'a> {
    let mut crashes = Crashes::new();
    for report in reports {
        let crash = crashes.entry(&report.upstream).or_default();
        for suspect in &report.suspects {
            crash.add(suspect);
        }
    }
    crashes
}

/// Weight of a suspicion in thousandths if nearly no other request had the subject.
const RARE: usize = 2_000;

/// What of that is lost if all requests at the upstream had it.
const COMMON: usize = 1_000;

/// Total suspicion against one subject.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Its weight, the smaller the more of the requests there had the subject.
    evidence: usize,
    weight: u32,
    /// Number of upstreams that crashed.
    crashes: usize,
}

fn scores<'a>(crashes: &Crashes<'a>) -> HashMap<&'a Fingerprint, Score> {
    let mut scores: HashMap<&Fingerprint, Score> = HashMap::new();
    for crash in crashes.values() {
        let mut present: HashMap<&Fingerprint, (Suspicion, usize)> = HashMap::new();
        for request in crash.requests.values() {
            for subject in &request.subjects {
                let (suspicion, carriers) =
                    present.entry(subject).or_insert((request.suspicion, 0));
                *suspicion = request.suspicion.max(*suspicion);
                *carriers += 1;
            }
        }
        for (subject, (suspicion, carriers)) in present {
            let weight = suspicion.weight();
            let score = scores.entry(subject).or_default();
            let rarity = RARE - COMMON * carriers / crash.requests.len();
            score.evidence += rarity * weight as usize;
            score.weight += weight;
            score.crashes += 1;
        }
    }
    scores
}

/// Returns the subject with the highest score, if that is enough to blame it.
fn strongest_suspect<'a>(crashes: &Crashes<'a>) -> Option<&'a Fingerprint> {
    scores(crashes)
        .into_iter()
        .filter(|(_, score)| score.weight >= MIN_WEIGHT && score.crashes >= MIN_CRASHES)
        .max_by_key(|(subject, score)| (*score, Reverse(*subject)))
        .map(|(subject, _)| subject)
}

/// Blames the subjects that were together with the strongest suspect at every crash.
fn blame(subject: &Fingerprint, explained: &Crashes<'_>) -> Blame {
    let together = explained.values().map(|crash| crash.together_with(subject));
    let common = together.reduce(|one, other| &one & &other);
    let common = common.unwrap_or_default();
    let carriers = || explained.values().flat_map(|crash| crash.carriers(subject));
    let patterns: BTreeSet<BTreeSet<&Fingerprint>> =
        carriers().map(|one| &one.subjects & &common).collect();
    // A request that had fewer of them than another doesn't show that these suffice.
    let is_largest = |pattern: &&BTreeSet<&Fingerprint>| {
        let mut others = patterns.iter();
        !others.any(|other| other.len() > pattern.len() && pattern.is_subset(other))
    };
    let largest = patterns.iter().filter(is_largest);
    Blame {
        subject: subject.clone(),
        crashes: explained.len(),
        trial_failed: carriers().any(|one| one.trial),
        patterns: largest
            .map(|pattern| pattern.iter().copied().cloned().collect())
            .collect(),
    }
}
