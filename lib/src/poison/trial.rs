//! Turns in which nodes may send a request with blamed prompt parts to find out what it does.
//!
//! Requests with a blamed part are sent nowhere, so no run could show that the part is harmless: one
//! that everybody uses can be at all upstreams that lose power at once. Nodes take turns without an
//! agreement, so that a part that does crash upstreams costs one more.

use crate::clock::Millis;

/// Time without a further report of a blamed part before it is tried.
pub const TRIAL_AFTER: Millis = Millis(1_000);

/// Length of one node's turn: what a trial and the news of its result take.
pub const TURN: Millis = Millis(2_000);

/// Returns the number of the current turn, counted from the last report of what is blamed; `None`
/// before the first one.
#[must_use]
pub fn current_turn(last_reported_at: Millis, now: Millis) -> Option<u64> {
    let waited = now.since(last_reported_at).0;
    Some(waited.checked_sub(TRIAL_AFTER.0)? / TURN.0)
}

/// Whether a turn belongs to the node with this rank of so many.
#[must_use]
pub fn is_turn_of(turn: u64, rank: usize, nodes: usize) -> bool {
    let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
    u64::try_from(rank).is_ok_and(|rank| turn % nodes == rank)
}
