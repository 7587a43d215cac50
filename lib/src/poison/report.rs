//! Reports of the requests that were at a crashed upstream.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::subjects::Subjects;
use crate::name::Name;

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
    /// Returns how much a suspicion counts.
    #[must_use]
    pub const fn weight(self) -> u32 {
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
    /// The prompt parts that other requests may share; none in a report of an older release.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Fingerprint>,
    /// Whether it was sent to find out whether blamed prompt parts still crash upstreams.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub trial: bool,
}

impl Suspect {
    /// Creates a suspect that was sent as any other request.
    #[must_use]
    pub fn new(subjects: &Subjects, suspicion: Suspicion) -> Self {
        Self {
            request: subjects.request.clone(),
            suspicion,
            parts: subjects.parts.to_vec(),
            trial: false,
        }
    }

    /// Adds what another report says of the same request.
    fn merge(&mut self, other: Self) {
        self.suspicion = self.suspicion.max(other.suspicion);
        self.trial |= other.trial;
        for part in other.parts {
            if !self.parts.contains(&part) {
                self.parts.push(part);
            }
        }
    }

    /// Returns the ids of the parts in hexadecimal, for logs.
    #[must_use]
    pub fn part_ids(&self) -> String {
        let ids: Vec<&str> = self.parts.iter().filter_map(Fingerprint::part_id).collect();
        ids.join(",")
    }

    /// Whether a subject is the request or one of its parts.
    #[must_use]
    pub fn has(&self, subject: &Fingerprint) -> bool {
        self.request == *subject || self.parts.contains(subject)
    }
}

/// One node's report of an upstream that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the upstream's start; a restarted upstream has another.
    pub upstream: Name,
    /// The node's own requests that were at the upstream.
    pub suspects: Vec<Suspect>,
}

impl CrashReport {
    /// Creates a report that lists each request once with its strongest suspicion, the most
    /// suspect requests first.
    #[must_use]
    pub fn new(upstream: Name, suspects: impl IntoIterator<Item = Suspect>) -> Self {
        let mut merged: BTreeMap<Fingerprint, Suspect> = BTreeMap::new();
        for suspect in suspects {
            match merged.get_mut(&suspect.request) {
                Some(known) => known.merge(suspect),
                None => {
                    merged.insert(suspect.request.clone(), suspect);
                }
            }
        }
        let mut suspects: Vec<Suspect> = merged.into_values().collect();
        suspects.sort_by_key(|suspect| Reverse(suspect.suspicion));
        let mut report = Self { upstream, suspects };
        report.truncate();
        report
    }

    /// Drops the least suspect requests of a report that has too many.
    pub fn truncate(&mut self) {
        self.suspects.truncate(MAX_SUSPECTS);
    }

    /// Removes a subject: the request with its parts, or the part from all requests.
    pub fn remove(&mut self, subject: &Fingerprint) {
        self.suspects.retain(|suspect| suspect.request != *subject);
        for suspect in &mut self.suspects {
            suspect.parts.retain(|part| part != subject);
        }
    }
}
