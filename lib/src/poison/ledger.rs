//! Crash reports of all nodes, and what clears a subject of them.
//!
//! A crash interrupts a whole batch, so every request in it is a suspect. Each node reports which
//! of its own requests were at the upstream, with the prompt parts that others may share. The
//! ledger merges the reports of one crash, and the [verdict](super::verdict) finds what explains
//! several of them: a request, or a prompt part that different requests have.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;

use super::fingerprint::Fingerprint;
use super::report::{CrashReport, Suspect};
use super::sound_parts::{Observer, SoundParts};
use super::subjects::Subjects;
use super::unconfirmed::UnconfirmedCrashes;
use super::verdict::{Blame, Verdict};
use crate::clock::Millis;
use crate::name::Name;

/// How long a report counts.
///
/// A poison request that returns later than this crashes as many engines again. If an engine
/// release fixes the cause, the request is sent again after this time.
pub const REPORT_TTL: Millis = Millis::from_secs(600);

/// Number of crashes that this node can refute from which on it tells all nodes.
///
/// With fewer, one more wouldn't blame the part, and each record is a write.
const MIN_CRASHES_TO_REFUTE: usize = 2;

/// Number of reports that are kept: a hundred engines, each reported by forty nodes. The oldest
/// are dropped first.
const MAX_REPORTS: usize = 4_096;

/// What is known about a suspect request or prompt part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SuspectStatus {
    /// Fingerprint of the request or the part.
    pub request: Fingerprint,
    /// Upstreams that crashed while it was there.
    pub upstreams: Vec<Name>,
    /// Whether requests are no longer sent because of it.
    pub blamed: bool,
}

/// A report together with where and when this node learned of it.
#[derive(Debug)]
struct StoredReport {
    report: CrashReport,
    /// Revision in the key-value service; `None` until the report is written there.
    revision: Option<u64>,
    received_at: Millis,
    observer: Observer,
}

/// What this node's sound runs refute of the reports on a prompt part.
#[derive(Debug, Default)]
struct Refutation {
    crashes: BTreeSet<Name>,
    /// The newest refuted report in the key-value service.
    revision: Option<u64>,
}

/// Crash reports of all nodes, and what they blame.
///
/// Nodes reach the same verdict from the same reports, but for prompt parts that a node has just
/// seen run: it tells the others, so they don't need to agree.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Reports by their name in the key-value service.
    reports: BTreeMap<Name, StoredReport>,
    /// Subjects shown to be harmless, with the revision up to which reports of them don't count.
    cleared: HashMap<Fingerprint, u64>,
    sound_parts: SoundParts,
    refutations: BTreeMap<Fingerprint, Refutation>,
    /// Result of the last evaluation; `None` after a change.
    verdict: Option<Verdict>,
    /// The same with unconfirmed crashes, whose version it is kept for.
    provisional: Option<(u64, Verdict)>,
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
        let observer = known.map_or(Observer::Other, |known| known.observer);
        for subject in self.cleared_in(&report, revision) {
            report.remove(&subject);
        }
        report.truncate();
        if observer == Observer::Other {
            for part in self.remove_refuted(&mut report, received_at, observer) {
                self.note_refutation(&part, &report.upstream, revision);
            }
        }
        let stored = StoredReport {
            report,
            revision,
            received_at,
            observer,
        };
        self.reports.insert(name, stored);
        self.reset_verdict();
    }

    /// Adds suspects to this node's report of a crash, and returns the whole report.
    ///
    /// Prompt parts that this node has just seen run aren't part of it.
    pub fn add_own_suspects(
        &mut self,
        name: &Name,
        upstream: Name,
        suspects: Vec<Suspect>,
        now: Millis,
    ) -> CrashReport {
        self.expire(now);
        let mut added = CrashReport::new(upstream, suspects);
        self.remove_refuted(&mut added, now, Observer::Own);
        let known = self.reports.get(name);
        let revision = known.and_then(|known| known.revision);
        let known = known.map_or(&[][..], |known| &known.report.suspects);
        let all = known.iter().cloned().chain(added.suspects);
        let report = CrashReport::new(added.upstream, all);
        let stored = StoredReport {
            report: report.clone(),
            revision,
            received_at: now,
            observer: Observer::Own,
        };
        self.reports.insert(Name::clone(name), stored);
        self.reset_verdict();
        report
    }

    /// Returns the suspects of a report.
    pub fn suspects_in(&self, name: &str) -> impl Iterator<Item = &Suspect> + use<'_> {
        let stored = self.reports.get(name);
        stored
            .into_iter()
            .flat_map(|stored| &stored.report.suspects)
    }

    /// Clears a subject that ran without a crash: reports of it up to `revision` no longer count.
    ///
    /// Without a `revision`, none of the reports that this node has count any longer.
    pub fn clear(&mut self, subject: &Fingerprint, revision: Option<u64>) {
        if let Some(revision) = revision {
            let cleared_at = self.cleared.entry(subject.clone()).or_default();
            *cleared_at = revision.max(*cleared_at);
        }
        for stored in self.reports.values_mut() {
            let counts = match (stored.revision, revision) {
                (Some(reported), Some(cleared)) => reported > cleared,
                (None, Some(_)) => true,
                (_, None) => false,
            };
            if !counts {
                stored.report.remove(subject);
            }
        }
        self.refutations.remove(subject);
        self.reset_verdict();
    }

    /// Records that an engine ran prompt parts, from `began_at` on, without crashing.
    ///
    /// Reports of them that the run refutes no longer count.
    pub fn record_sound_run(&mut self, parts: &[Fingerprint], began_at: Millis, now: Millis) {
        for part in parts {
            self.sound_parts.insert(part, began_at, now);
        }
        if self.reports.is_empty() {
            return;
        }
        for part in parts {
            if self.crash_count(part, now) > 0 {
                self.refute(part);
            }
        }
    }

    /// Returns the prompt parts of which this node refutes so many crashes that others may blame
    /// them.
    #[must_use]
    pub fn refuted_parts(&self) -> Vec<Fingerprint> {
        let told = |refutation: &Refutation| refutation.crashes.len() >= MIN_CRASHES_TO_REFUTE;
        let refuted = self.refutations.iter();
        refuted
            .filter(|(_, refutation)| told(refutation))
            .map(|(part, _)| part.clone())
            .collect()
    }

    /// Whether there is anything that this node refutes.
    #[must_use]
    pub fn has_refutations(&self) -> bool {
        !self.refutations.is_empty()
    }

    /// Takes a refutation to tell all nodes: the newest report that it covers, if that has a
    /// revision. `None` if another node has cleared the part in the meantime.
    pub fn take_refutation(&mut self, part: &Fingerprint) -> Option<Option<u64>> {
        let refutation = self.refutations.remove(part)?;
        Some(refutation.revision)
    }

    /// Removes a report that is gone from the key-value service.
    pub fn remove_report(&mut self, name: &str) {
        self.reports.remove(name);
        self.reset_verdict();
    }

    /// Removes the clearance of a subject whose record is gone from the key-value service.
    pub fn remove_clearance(&mut self, subject: &Fingerprint) {
        self.cleared.remove(subject);
    }

    /// Removes written reports that are missing from a full listing of the key-value service;
    /// they have expired.
    pub fn retain_reports(&mut self, is_present: impl Fn(&str) -> bool) {
        let has_expired =
            |name: &Name, stored: &StoredReport| stored.revision.is_some() && !is_present(name);
        self.reports
            .retain(|name, stored| !has_expired(name, stored));
        self.reset_verdict();
    }

    /// Returns what blames a request, if anything does.
    pub fn blame_of(&mut self, subjects: &Subjects, now: Millis) -> Option<&Blame> {
        self.verdict(now).blame_of(subjects)
    }

    /// Whether a request would be blamed if the upstreams of unconfirmed crashes had crashed.
    pub fn would_blame(
        &mut self,
        subjects: &Subjects,
        unconfirmed: &mut UnconfirmedCrashes,
        now: Millis,
    ) -> bool {
        let version = unconfirmed.version(now);
        if !unconfirmed.involves(subjects) {
            return false;
        }
        let known = self.provisional.as_ref().map(|(version, _)| *version);
        if known != Some(version) {
            let verdict = self.evaluate_with(unconfirmed, now);
            self.provisional = Some((version, verdict));
        }
        let provisional = self.provisional.as_ref();
        provisional.is_some_and(|(_, verdict)| verdict.blame_of(subjects).is_some())
    }

    /// Returns the number of upstreams that crashed while a subject was there.
    pub fn crash_count(&mut self, subject: &Fingerprint, now: Millis) -> usize {
        let crashes = self.verdict(now).crashes.get(subject);
        crashes.copied().unwrap_or_default()
    }

    /// Returns when the last report of a subject arrived.
    #[must_use]
    pub fn last_reported_at(&self, subject: &Fingerprint) -> Option<Millis> {
        let reports = self.reports.values();
        reports
            .filter(|stored| stored.report.suspects.iter().any(|one| one.has(subject)))
            .map(|stored| stored.received_at)
            .max()
    }

    /// Returns all reported subjects, the blamed ones first.
    pub fn suspect_statuses(&mut self, now: Millis) -> Vec<SuspectStatus> {
        let mut upstreams: BTreeMap<Fingerprint, BTreeSet<Name>> = BTreeMap::new();
        for stored in self.reports.values() {
            for suspect in &stored.report.suspects {
                for subject in std::iter::once(&suspect.request).chain(&suspect.parts) {
                    let crashed = upstreams.entry(subject.clone()).or_default();
                    crashed.insert(Name::clone(&stored.report.upstream));
                }
            }
        }
        let blames = &self.verdict(now).blames;
        let is_blamed = |subject: &Fingerprint| blames.iter().any(|blame| blame.involves(subject));
        let statuses = upstreams
            .into_iter()
            .map(|(request, upstreams)| SuspectStatus {
                blamed: is_blamed(&request),
                upstreams: upstreams.into_iter().collect(),
                request,
            });
        let mut statuses: Vec<SuspectStatus> = statuses.collect();
        statuses.sort_by_key(|status| (!status.blamed, Reverse(status.upstreams.len())));
        statuses
    }

    /// Returns what is blamed, the strongest first.
    pub fn blames(&mut self, now: Millis) -> &[Blame] {
        &self.verdict(now).blames
    }

    /// Returns the current verdict, which is evaluated again only after a change, since every
    /// request that is sent asks for it.
    fn verdict(&mut self, now: Millis) -> &Verdict {
        self.expire(now);
        let reports = &self.reports;
        self.verdict
            .get_or_insert_with(|| Verdict::of(reports.values().map(|stored| &stored.report)))
    }

    /// Evaluates all reports together with unconfirmed crashes.
    ///
    /// Many connections can break while their upstreams live, with a part in common that most
    /// requests have. So unconfirmed crashes count only against parts that a crash is known of.
    fn evaluate_with(&mut self, unconfirmed: &UnconfirmedCrashes, now: Millis) -> Verdict {
        let known = &self.verdict(now).crashes;
        let without_new_parts = |report: &CrashReport| {
            let mut report = report.clone();
            for suspect in &mut report.suspects {
                suspect.parts.retain(|part| known.contains_key(part));
            }
            report
        };
        let more: Vec<CrashReport> = unconfirmed.reports().map(without_new_parts).collect();
        let stored = self.reports.values().map(|stored| &stored.report);
        Verdict::of(stored.chain(&more))
    }

    fn reset_verdict(&mut self) {
        self.verdict = None;
        self.provisional = None;
    }

    /// Returns the subjects of a report that were cleared behind it.
    fn cleared_in(&self, report: &CrashReport, revision: Option<u64>) -> Vec<Fingerprint> {
        let is_cleared = |subject: &&Fingerprint| {
            let cleared_at = self.cleared.get(subject);
            cleared_at
                .is_some_and(|cleared_at| revision.is_some_and(|revision| revision <= *cleared_at))
        };
        let subjects = report.suspects.iter();
        let subjects = subjects.flat_map(|one| std::iter::once(&one.request).chain(&one.parts));
        subjects.filter(is_cleared).cloned().collect()
    }

    /// Removes the parts from a report that this node's sound runs refute, and returns them.
    fn remove_refuted(
        &mut self,
        report: &mut CrashReport,
        crashed_at: Millis,
        observer: Observer,
    ) -> Vec<Fingerprint> {
        let parts = report.suspects.iter().flat_map(|suspect| &suspect.parts);
        let parts: BTreeSet<Fingerprint> = parts.cloned().collect();
        let is_refuted = |part: &Fingerprint| self.sound_parts.refutes(part, crashed_at, observer);
        let refuted: Vec<Fingerprint> = parts.into_iter().filter(is_refuted).collect();
        for part in &refuted {
            report.remove(part);
        }
        refuted
    }

    /// Removes a part from the reports that this node's last run of it refutes.
    fn refute(&mut self, part: &Fingerprint) {
        let mut named: Vec<&mut StoredReport> = self
            .reports
            .values_mut()
            .filter(|stored| stored.report.suspects.iter().any(|one| one.has(part)))
            .collect();
        named.sort_by_key(|stored| stored.received_at);
        let mut refuted: Vec<(Name, Option<u64>)> = Vec::new();
        for stored in named {
            let (at, observer) = (stored.received_at, stored.observer);
            if self.sound_parts.refutes(part, at, observer) {
                stored.report.remove(part);
                refuted.push((Name::clone(&stored.report.upstream), stored.revision));
            }
        }
        if !refuted.is_empty() {
            self.reset_verdict();
        }
        for (upstream, revision) in refuted {
            self.note_refutation(part, &upstream, revision);
        }
    }

    fn note_refutation(&mut self, part: &Fingerprint, upstream: &Name, revision: Option<u64>) {
        let refutation = self.refutations.entry(part.clone()).or_default();
        refutation.crashes.insert(Name::clone(upstream));
        refutation.revision = refutation.revision.max(revision);
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
        if self.reports.is_empty() {
            self.refutations.clear();
        }
        if self.reports.len() != before {
            self.reset_verdict();
        }
    }
}
