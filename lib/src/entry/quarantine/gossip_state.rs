//! Spreads crash reports between nodes by gossip.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use super::{Crash, Evidence, GossipReport, Quarantine, REPORT_TTL, State};
use crate::clock::Millis;
use crate::gossip::GossipState;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::report::{Suspect, Suspicion};
use crate::poison::subjects::Subjects;
use crate::schema::peer::{self, Delta, Digest};

/// Number of crash reports that are spread, newest first: 2 KiB of hashes in an exchange.
const MAX_SPREAD_REPORTS: usize = 256;

/// Number of cleared requests that are spread, newest first.
const MAX_SPREAD_CLEARED: usize = 64;

/// Difference of two times of one clearance, as nodes tell each other its age.
const SAME_CLEARANCE: Millis = Millis(1_000);

impl GossipState for Quarantine {
    fn fill_digest(&self, digest: &mut Digest) {
        let now = self.clock.now();
        let state = self.state();
        digest.known_ends = newest_reports(&state)
            .into_iter()
            .map(report_hash)
            .collect();
        let mut survivors: Vec<peer::Survivor> = state
            .cleared
            .iter()
            .map(|(request, at)| peer::Survivor {
                request: request.to_string(),
                age_ms: age_ms(now, *at),
            })
            .collect();
        survivors
            .sort_by(|one, other| (one.age_ms, &one.request).cmp(&(other.age_ms, &other.request)));
        survivors.truncate(MAX_SPREAD_CLEARED);
        digest.survivors = survivors;
    }

    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta) {
        let now = self.clock.now();
        let known: HashSet<u64> = theirs.known_ends.iter().copied().collect();
        let state = self.state();
        let missing = newest_reports(&state).into_iter();
        delta.ends = missing
            .filter(|report| !known.contains(&report_hash(report)))
            .map(|report| to_wire(report, now))
            .collect();
    }

    fn merge_delta(&self, delta: &Delta) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let mut has_changed = false;
        let survivors = delta.digest.iter().flat_map(|digest| &digest.survivors);
        for survivor in survivors {
            has_changed |= merge_survivor(&mut state, survivor, now);
        }
        for message in &delta.ends {
            has_changed |= self.merge_report(&mut state, message, now);
        }
        has_changed
    }
}

impl Quarantine {
    /// Merges another node's crash report, and reports this node's requests at the same crash.
    fn merge_report(&self, state: &mut State, message: &peer::EndReport, now: Millis) -> bool {
        let since = now.since(Millis(u64::from(message.age_ms)));
        if message.node == *self.node || now.since(since) >= REPORT_TTL {
            return false;
        }
        let upstream = Name::from(message.upstream.as_str());
        let cleared = &state.cleared;
        let is_not_cleared = |subject: &Fingerprint| {
            let cleared = cleared.get(subject);
            cleared.is_none_or(|cleared| since > *cleared)
        };
        let without_cleared_parts = |mut suspect: Suspect| {
            suspect.parts.retain(is_not_cleared);
            suspect
        };
        let report = GossipReport {
            upstream: Name::clone(&upstream),
            crash: message.end.as_str().into(),
            node: message.node.as_str().into(),
            since,
            suspects: message
                .suspects
                .iter()
                .filter_map(suspect_from_wire)
                .filter(|suspect| is_not_cleared(&suspect.request))
                .map(without_cleared_parts)
                .collect(),
        };
        let name = Name::clone(&report.crash);
        if !self.add_report(state, report, now) {
            return false;
        }
        let known = state.crashes.get(&upstream);
        if known.is_none_or(|known| since > known.since && !known.may_be_down(now)) {
            let crash = Crash {
                name,
                since,
                evidence: Evidence::Reported,
            };
            state.crashes.insert(Name::clone(&upstream), crash);
        }
        if state.pending.contains_key(&upstream) {
            self.report_crash(state, &upstream, now);
        }
        true
    }
}

fn merge_survivor(state: &mut State, survivor: &peer::Survivor, now: Millis) -> bool {
    let Some(request) = Fingerprint::read(&survivor.request) else {
        return false;
    };
    let at = now.since(Millis(u64::from(survivor.age_ms)));
    let known = state.cleared.get(&request);
    // Ages are rounded on their way, so a record may seem a little newer than it was.
    let is_known = known.is_some_and(|known| at < *known + SAME_CLEARANCE);
    if now.since(at) >= REPORT_TTL || is_known {
        return false;
    }
    state.clear(&request, at);
    true
}

fn newest_reports(state: &State) -> Vec<&GossipReport> {
    let mut reports: Vec<&GossipReport> = state.reports.values().collect();
    reports.sort_by_key(|report| std::cmp::Reverse(report.since));
    reports.truncate(MAX_SPREAD_REPORTS);
    reports
}

fn report_hash(report: &GossipReport) -> u64 {
    let mut text = format!("{}/{}", report.crash, report.node);
    for suspect in &report.suspects {
        text.push_str(suspect.request.as_str());
        text.push_str(suspect.suspicion.name());
        for part in &suspect.parts {
            text.push_str(part.as_str());
        }
    }
    xxh3_64(text.as_bytes())
}

fn to_wire(report: &GossipReport, now: Millis) -> peer::EndReport {
    let suspects = report.suspects.iter();
    peer::EndReport {
        upstream: report.upstream.to_string(),
        end: report.crash.to_string(),
        node: report.node.to_string(),
        age_ms: age_ms(now, report.since),
        suspects: suspects
            .map(|suspect| peer::Suspect {
                request: suspect.request.to_string(),
                begun: suspect.suspicion == Suspicion::Begun,
                parts: suspect.parts.iter().map(ToString::to_string).collect(),
                trial: suspect.trial,
            })
            .collect(),
    }
}

fn suspect_from_wire(message: &peer::Suspect) -> Option<Suspect> {
    let suspicion = if message.begun {
        Suspicion::Begun
    } else {
        Suspicion::Possible
    };
    let request = Fingerprint::read(&message.request)?;
    let parts = message
        .parts
        .iter()
        .filter_map(|part| Fingerprint::read(part));
    let subjects = Subjects::new(request, parts.filter(Fingerprint::is_part));
    Some(Suspect {
        trial: message.trial,
        ..Suspect::new(&subjects, suspicion)
    })
}

fn age_ms(now: Millis, at: Millis) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}
