//! Whether one start of an upstream takes new work, according to its entry in the list.
//!
//! Entries arrive in any order: a page of the list can be older than changes that were applied
//! before it, other nodes pass on changes, and heartbeats are written late. So entries are ordered
//! by the revision at which the key-value service wrote them, and a start that has announced that
//! it leaves never takes new work again. See docs/design/0014-presence-of-upstreams.md.

/// The revisions of an entry in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryRevision {
    /// The revision at which it was last written.
    pub revision: u64,
    /// The revision at which its key was created; 0 if unknown.
    pub created: u64,
}

/// The stage in the life of one start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes new work.
    Ready,
    /// It is missing from the list, but it isn't known whether it has left. It takes new work.
    Unconfirmed,
    /// It has announced that it leaves.
    Leaving,
    /// It is no longer listed.
    Gone,
}

impl Stage {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Unconfirmed => "doubted",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Unconfirmed)
    }
}

/// Tracks the presence of one start of an upstream in the list.
#[derive(Debug)]
pub struct Presence {
    revision: EntryRevision,
    stage: Stage,
    is_missing: bool,
    left_unannounced: bool,
}

impl Presence {
    /// Starts tracking with the first entry.
    #[must_use]
    pub fn new(revision: EntryRevision, ready: bool) -> Self {
        Self {
            revision,
            stage: if ready { Stage::Ready } else { Stage::Leaving },
            is_missing: false,
            left_unannounced: false,
        }
    }

    /// Returns the current stage.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the revisions of the newest entry.
    #[must_use]
    pub const fn entry_revision(&self) -> EntryRevision {
        self.revision
    }

    /// Whether it is missing from the list without being known to have left.
    #[must_use]
    pub const fn is_missing(&self) -> bool {
        self.is_missing
    }

    /// Whether it left the list without having announced that it leaves.
    #[must_use]
    pub const fn left_unannounced(&self) -> bool {
        self.left_unannounced
    }

    /// Applies an entry unless it is stale; returns whether it was applied.
    pub fn apply_entry(&mut self, revision: EntryRevision, ready: bool) -> bool {
        if revision.revision < self.revision.revision || self.stage == Stage::Gone {
            return false;
        }
        self.revision = revision;
        self.is_missing = false;
        if !ready {
            self.stage = Stage::Leaving;
        } else if self.stage == Stage::Unconfirmed {
            self.stage = Stage::Ready;
        }
        true
    }

    /// Records that it is missing from the list without being known to have left.
    pub fn mark_missing(&mut self) {
        self.is_missing = true;
        if self.stage == Stage::Ready {
            self.stage = Stage::Unconfirmed;
        }
    }

    /// Records that it has left the list for good.
    pub fn mark_gone(&mut self) {
        if self.stage != Stage::Gone {
            self.left_unannounced = self.stage.takes_work();
            self.stage = Stage::Gone;
        }
    }
}
