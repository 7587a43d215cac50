//! Detection of outages of the key-value service, and the grace period after one.
//!
//! Entries of live upstreams expire while the service is unavailable and are written again soon
//! after it returns. So for a grace period, upstreams that are missing from the list aren't taken
//! for gone. If only this node was disconnected, however, missing upstreams have really left. So
//! two things end the grace period: entries that show that the service kept its data, and the time
//! within which this node has to know what changed. See docs/design/0014-presence-of-upstreams.md.

use crate::clock::Millis;
use crate::direct::limits::{Limits, POLL_TIMEOUT};

/// How long calls have to fail, or responses to be overdue, to count as an outage.
const OUTAGE_THRESHOLD: Millis = Millis(1_000);

/// How long after the service's return expired entries may still be missing.
const REREGISTRATION_TIME: Millis = Millis(2_200);

/// How long before the deadline for knowing all changes a grace period ends.
///
/// It leaves time for the call that resolves it and for requests already being sent.
const GRACE_END_MARGIN: Millis = Millis(200);

/// Detects outages from the calls to the key-value service.
#[derive(Debug)]
pub struct OutageDetector {
    /// When the service last answered.
    last_answer: Millis,
    failures: Option<Failures>,
}

/// The calls that failed since the last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failures {
    /// When the first of them was sent.
    first_sent: Millis,
    /// When the first of them failed.
    first_failed: Millis,
    /// When the last of them was sent.
    last_sent: Millis,
}

/// The time after an outage in which missing entries don't count as removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GracePeriod {
    /// The last revision known before the outage.
    pub known_revision: u64,
    /// When it ends at the latest.
    pub until: Millis,
    /// Start and end of the time in which the outage certainly lasted.
    certain_outage: Option<(Millis, Millis)>,
}

impl OutageDetector {
    /// Creates a detector that assumes an answer at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            last_answer: now,
            failures: None,
        }
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures.is_some()
    }

    /// Records that a call sent at `sent` has failed.
    pub fn record_failure(&mut self, sent: Millis, now: Millis) {
        // A listing of several parts can fail after some of them were answered.
        let sent = sent.max(self.last_answer);
        let failures = self.failures.get_or_insert(Failures {
            first_sent: sent,
            first_failed: now,
            last_sent: sent,
        });
        failures.last_sent = failures.last_sent.max(sent);
    }

    /// Records an answer; returns the recovery if there was an outage before it.
    ///
    /// In a grace period any failure counts as an outage, since upstreams couldn't write their
    /// entries again meanwhile.
    pub fn record_answer(&mut self, now: Millis, in_grace_period: bool) -> Option<Recovery> {
        let failures = self.failures.take();
        let silence = now.since(self.last_answer);
        self.last_answer = self.last_answer.max(now);
        // A poll sent before the outage can be answered in the middle of it.
        let failing = failures.map_or(Millis::ZERO, |failures| now.since(failures.first_sent));
        let is_outage = silence > POLL_TIMEOUT + OUTAGE_THRESHOLD
            || failing > OUTAGE_THRESHOLD
            || (in_grace_period && failures.is_some());
        is_outage.then_some(Recovery {
            answered_at: now,
            silence,
            failures,
        })
    }
}

/// The end of an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recovery {
    answered_at: Millis,
    /// Time since the previous answer.
    pub silence: Millis,
    failures: Option<Failures>,
}

impl Recovery {
    /// Returns the grace period for missing entries; `known_revision` was known before the outage.
    ///
    /// The service, or this node's connection to it, returned at some moment between the last
    /// failed call and the first answer. The time for entries to be written again counts from the
    /// latest such moment, and the time within which this node has to know all changes from the
    /// earliest.
    #[must_use]
    pub fn grace_period(&self, known_revision: u64, limits: &Limits) -> GracePeriod {
        let latest = self.answered_at + REREGISTRATION_TIME;
        let bound = self.failures.map_or(latest, |failures| {
            Millis(
                (failures.last_sent + limits.rejoin)
                    .0
                    .saturating_sub(GRACE_END_MARGIN.0),
            )
        });
        GracePeriod {
            known_revision,
            until: latest.min(bound),
            certain_outage: self
                .failures
                .map(|failures| (failures.first_failed, failures.last_sent)),
        }
    }
}

impl GracePeriod {
    /// Whether an entry created at revision `created`, which exists as of a time, shows that the
    /// service kept its entries.
    ///
    /// If the service itself had been unavailable for this long, all of them would have expired.
    #[must_use]
    pub fn shows_entries_kept(&self, created: u64, as_of: Millis, limits: &Limits) -> bool {
        let Some((from, to)) = self.certain_outage else {
            return false;
        };
        let existed_before = (1..=self.known_revision).contains(&created);
        existed_before && as_of >= to && to.since(from) >= limits.entry_expiry
    }
}
