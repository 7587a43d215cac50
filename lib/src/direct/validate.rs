//! What is taken from an update that another node passed on.
//!
//! Changes count by their order: an older one taken in late brings an engine back that has
//! left, or an owner that is none, and nothing corrects it until that key changes again. A
//! revision that the service never had is worse, since a node that believes it asks for what
//! comes behind and never hears of anything. All nodes have the same code, but not the same
//! release, and what is at an address may have changed. So an update has to prove itself: its
//! changes have to lead from what is known here to the revision that it names. See
//! docs/design/0009-changes-within-a-domain.md.

use super::fanout::Update;

/// Revisions by which an update may be ahead of what is known.
///
/// The service makes some thousand writes a second at the largest sites, so a node is behind by
/// this much after minutes, and would have asked the service long before. A change of a
/// revision that the service reaches in years would hide all real ones of its key.
const MOST_AHEAD: u64 = 1 << 20;

/// Why an update, or one of its changes, is left aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// All that it tells is known, and more.
    Stale,
    /// It begins behind what is known: changes between are missing.
    Gap,
    /// It ends before it begins.
    Backwards,
    /// It leads further than the service can be, or than its own changes.
    Ahead,
    /// A change isn't between the two revisions.
    OutOfRange,
    /// A change stands behind a newer one.
    OutOfOrder,
    /// It is larger than what a node reads at once.
    Oversized,
    /// A change's value can't be read.
    Unreadable,
    /// A change is of a key that no node uses.
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

/// Returns what an update holds behind a revision that is known.
///
/// # Errors
///
/// Why nothing of it may be taken in.
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
    let is_proved = newest.unwrap_or(update.after) >= update.revision;
    if !is_proved || update.revision - known > MOST_AHEAD {
        return Err(RejectReason::Ahead);
    }
    update.events.retain(|event| event.revision > known);
    Ok(update)
}
