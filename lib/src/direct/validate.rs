//! Validation of updates that another node passed on.
//!
//! Changes have to be applied in the order of their revisions. An older change that is applied
//! late brings back an engine that has left, or an owner that has lost its claim, and nothing
//! corrects it until that key changes again. A revision that the key-value service never reached
//! is worse: the node polls for changes after it and receives none. Nodes may run different
//! releases, and another process may have taken over a node's address. So each update is checked:
//! its changes have to lead from the revision known here to the revision that it names. See
//! docs/design/0009-changes-within-a-domain.md.

use super::fanout::Update;

/// Maximum number of revisions by which an update may be ahead of the known revision.
///
/// The largest sites make about a thousand writes a second, so a node is this far behind only
/// after minutes, and it polls the service itself long before. Without a bound, a change with a
/// revision that the service reaches only in years would hide all real changes of its key.
const MAX_REVISIONS_AHEAD: u64 = 1 << 20;

/// Why an update, or one of its changes, is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It ends before the known revision.
    Stale,
    /// It begins after the known revision, so changes in between are missing.
    Gap,
    /// It ends before it begins.
    Backwards,
    /// It names a revision that its changes don't reach, or that is implausibly far ahead.
    Ahead,
    /// A change's revision isn't between the update's two revisions.
    OutOfRange,
    /// A change follows a newer one.
    OutOfOrder,
    /// It exceeds the maximum size of a message.
    Oversized,
    /// A change's value can't be decoded.
    Unreadable,
    /// A change's key isn't one that nodes use.
    UnusedKey,
}

impl RejectReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stale => "old",
            Self::Gap => "gap",
            Self::Backwards => "backwards",
            Self::Ahead => "ahead",
            Self::OutOfRange => "outside",
            Self::OutOfOrder => "disordered",
            Self::Oversized => "oversized",
            Self::Unreadable => "unreadable",
            Self::UnusedKey => "unused key",
        }
    }
}

/// Returns the update without the changes up to the `known` revision.
///
/// # Errors
///
/// The reason why none of its changes may be applied.
pub fn validate(mut update: Update, known: u64) -> Result<Update, RejectReason> {
    if update.revision < update.after {
        return Err(RejectReason::Backwards);
    }
    if update.after > known {
        return Err(RejectReason::Gap);
    }
    if update.revision < known {
        return Err(RejectReason::Stale);
    }
    let (after, revision) = (update.after, update.revision);
    let mut revisions = update.events.iter().map(|event| event.revision);
    if revisions.any(|changed| changed <= after || changed > revision) {
        return Err(RejectReason::OutOfRange);
    }
    if !update.events.is_sorted_by_key(|event| event.revision) {
        return Err(RejectReason::OutOfOrder);
    }
    let newest = update.events.last().map(|event| event.revision);
    let is_consistent = newest.unwrap_or(update.after) >= update.revision;
    if !is_consistent || update.revision - known > MAX_REVISIONS_AHEAD {
        return Err(RejectReason::Ahead);
    }
    update.events.retain(|event| event.revision > known);
    Ok(update)
}
