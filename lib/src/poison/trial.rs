//! Trials of blamed prompt parts.
//!
//! Requests with a blamed part are sent nowhere, so no run could show that the part is harmless: one
//! that everybody uses can be at all upstreams that lose power at once. Nodes take turns without an
//! agreement, so that a part that does crash upstreams costs one more. Whether it did is part of the
//! report of the crash, which all nodes read, also those that start later. See
//! docs/design/0018-subjects-of-suspicion.md.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::fingerprint::Fingerprint;
use super::ledger::CrashLedger;
use super::verdict::Blame;
use crate::clock::Millis;

/// Time without a further report of a blamed part before it is tried.
const TRIAL_AFTER: Millis = Millis(1_000);

/// Length of one node's turn: what a trial and the news of its result take.
const TURN: Millis = Millis(2_000);

/// When a caller may come back whose request has a blamed part that is about to be tried.
pub const RETRY_AFTER: Millis = Millis(3_000);

/// Turns that are remembered; all are forgotten when there are more.
const MAX_TURNS: usize = 256;

/// A node's place among all nodes, in an order that depends on what is blamed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of nodes before it.
    pub rank: usize,
    /// Number of nodes, itself included.
    pub nodes: usize,
}

impl Place {
    /// Returns the place of a node among others; it doesn't matter whether they include it.
    pub fn among<'a>(own: &str, nodes: impl Iterator<Item = &'a str>, blame: &Blame) -> Self {
        let hash = |node: &str| xxh3_64(format!("{}/{node}", blame.subject).as_bytes());
        let own_hash = hash(own);
        let others: Vec<u64> = nodes.filter(|node| *node != own).map(hash).collect();
        Self {
            rank: others.iter().filter(|other| **other < own_hash).count(),
            nodes: others.len() + 1,
        }
    }

    fn has_turn(self, turn: u64) -> bool {
        let nodes = u64::try_from(self.nodes).unwrap_or(u64::MAX);
        u64::try_from(self.rank).is_ok_and(|rank| turn % nodes == rank)
    }
}

/// The last turn in which a node sent a request on trial, by what is blamed.
#[derive(Debug, Default)]
pub struct Trials {
    turns: HashMap<Fingerprint, u64>,
}

impl Trials {
    /// Whether the node at this place may send a request on trial now.
    #[must_use]
    pub fn is_due(&self, ledger: &CrashLedger, blame: &Blame, place: Place, now: Millis) -> bool {
        self.due_turn(ledger, blame, place, now).is_some()
    }

    /// Takes the trial of the current turn; false if there is none for the node at this place.
    pub fn take(&mut self, ledger: &CrashLedger, blame: &Blame, place: Place, now: Millis) -> bool {
        let Some(turn) = self.due_turn(ledger, blame, place, now) else {
            return false;
        };
        if self.turns.len() >= MAX_TURNS {
            self.turns.clear();
        }
        self.turns.insert(blame.subject.clone(), turn);
        true
    }

    fn due_turn(
        &self,
        ledger: &CrashLedger,
        blame: &Blame,
        place: Place,
        now: Millis,
    ) -> Option<u64> {
        if !blame.may_be_tried() {
            return None;
        }
        let waited = now.since(ledger.last_reported_at(&blame.subject)?);
        let turn = waited.0.checked_sub(TRIAL_AFTER.0)? / TURN.0;
        let is_left = self.turns.get(&blame.subject) != Some(&turn);
        (place.has_turn(turn) && is_left).then_some(turn)
    }
}
