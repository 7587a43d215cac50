//! Time in which the key-value service did not answer this node, and what vanished meanwhile.
//!
//! Entries of living upstreams lapse while the service is unavailable, and are back soon after it
//! is. What is missing from the list then is doubted. Where only this node was away, what is
//! missing has left, so two things end a doubt: evidence that the service kept its entries, and
//! the time within which this node has to know what changed. See
//! docs/design/0014-presence-of-upstreams.md.

use crate::clock::Millis;
use crate::direct::limits::{Limits, POLL_TIMEOUT};

/// How long calls fail, or nothing comes beyond a call's usual wait, before that is an outage.
const SILENCE: Millis = Millis(1_000);

/// How long after the service's return entries that lapsed meanwhile may still be missing.
const RETURN: Millis = Millis(2_200);

/// What is left of the time within which changes have to be known for the call that ends a doubt,
/// and for requests on their way.
const MARGIN: Millis = Millis(200);

/// Follows whether the service answers.
#[derive(Debug)]
pub struct Outage {
    /// When the service answered last.
    answered: Millis,
    failures: Option<Failures>,
}

/// Calls without an answer since the last one that had one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failures {
    /// When the first of them was made.
    since: Millis,
    /// When the first of them failed.
    first: Millis,
    /// When the last of them was made.
    last: Millis,
}

/// What is held of entries that are missing after an outage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubt {
    /// The revision that was known before the outage.
    pub known: u64,
    /// When it ends for want of evidence.
    pub until: Millis,
    /// The outage lasted from here to there at least.
    certain: Option<(Millis, Millis)>,
}

impl Outage {
    /// Begins with a service that has just answered.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            answered: now,
            failures: None,
        }
    }

    /// Whether the last call had no answer.
    #[must_use]
    pub fn is_going_on(&self) -> bool {
        self.failures.is_some()
    }

    /// Takes in that a call made at `made` has failed.
    pub fn failed(&mut self, made: Millis, now: Millis) {
        // A reading of many parts can fail behind some that were answered.
        let made = made.max(self.answered);
        let failures = self.failures.get_or_insert(Failures {
            since: made,
            first: now,
            last: made,
        });
        failures.last = failures.last.max(made);
    }

    /// Takes in that the service answered; returns for how long it had not, if that is an outage.
    ///
    /// With `doubting`, any failure is one: entries that were about to come back could not.
    pub fn answered(&mut self, now: Millis, doubting: bool) -> Option<Return> {
        let failures = self.failures.take();
        let silent = now.since(self.answered);
        self.answered = self.answered.max(now);
        // A call that waited since before the outage can be answered in its midst.
        let failing = failures.map_or(Millis::ZERO, |failures| now.since(failures.since));
        let is_outage = silent > POLL_TIMEOUT + SILENCE
            || failing > SILENCE
            || (doubting && failures.is_some());
        is_outage.then_some(Return {
            at: now,
            silent,
            failures,
        })
    }
}

/// The end of an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    at: Millis,
    /// Time since the answer before.
    pub silent: Millis,
    failures: Option<Failures>,
}

impl Return {
    /// Returns what is held of entries that are missing, where `known` was known before.
    ///
    /// The service, or this node, was back at some moment between the last call that had no answer
    /// and the first that had one. Entries come back from the latest of these on, and this node
    /// has to know what changed from the earliest on.
    #[must_use]
    pub fn doubt(&self, known: u64, limits: &Limits) -> Doubt {
        let latest = self.at + RETURN;
        let bound = self.failures.map_or(latest, |failures| {
            Millis((failures.last + limits.rejoin).0.saturating_sub(MARGIN.0))
        });
        Doubt {
            known,
            until: latest.min(bound),
            certain: self
                .failures
                .map(|failures| (failures.first, failures.last)),
        }
    }
}

impl Doubt {
    /// Whether an entry that was created at a revision, and stands `as_of` a time, shows that the
    /// service kept its entries.
    ///
    /// An outage of the service as long as this one would have ended all of them.
    #[must_use]
    pub fn is_disproved_by(&self, created: u64, as_of: Millis, limits: &Limits) -> bool {
        let Some((from, to)) = self.certain else {
            return false;
        };
        let is_known = (1..=self.known).contains(&created);
        is_known && as_of >= to && to.since(from) >= limits.entry_expiry
    }
}
