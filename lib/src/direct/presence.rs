//! Whether one start of an upstream takes new work, from what the list says of it.
//!
//! Evidence comes in any order: a page of the list can be older than the changes before it, other
//! nodes pass on what they heard, and heartbeats are written late. Evidence counts by the revision
//! at which the service took it, and a start that said that it leaves never takes new work again.
//! See docs/design/0014-presence-of-upstreams.md.

/// Where an entry stands in the service's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryRevision {
    /// The revision of its last write.
    pub revision: u64,
    /// The revision at which its key came into being; 0 where nobody tells.
    pub created: u64,
}

/// How a start stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes new work.
    Ready,
    /// It is missing from the list, and it isn't known whether it has left: it takes new work.
    Unconfirmed,
    /// It said that it leaves.
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

/// What the list says of one start.
#[derive(Debug)]
pub struct Presence {
    written: EntryRevision,
    stage: Stage,
    is_missing: bool,
    /// Whether it was gone without having said that it leaves.
    left_unannounced: bool,
}

impl Presence {
    /// Begins with the first entry.
    #[must_use]
    pub fn new(written: EntryRevision, ready: bool) -> Self {
        Self {
            written,
            stage: if ready { Stage::Ready } else { Stage::Leaving },
            is_missing: false,
            left_unannounced: false,
        }
    }

    /// Returns how it stands.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns where its newest entry stands in the service's history.
    #[must_use]
    pub const fn entry_revision(&self) -> EntryRevision {
        self.written
    }

    /// Whether it is missing from the list, and may not have left.
    #[must_use]
    pub const fn is_missing(&self) -> bool {
        self.is_missing
    }

    /// Whether it was gone without having said that it leaves.
    #[must_use]
    pub const fn left_unannounced(&self) -> bool {
        self.left_unannounced
    }

    /// Takes in an entry; returns whether it counts.
    pub fn apply_entry(&mut self, written: EntryRevision, ready: bool) -> bool {
        if written.revision < self.written.revision || self.stage == Stage::Gone {
            return false;
        }
        self.written = written;
        self.is_missing = false;
        if !ready {
            self.stage = Stage::Leaving;
        } else if self.stage == Stage::Unconfirmed {
            self.stage = Stage::Ready;
        }
        true
    }

    /// Takes in that it is missing from the list, and may not have left.
    pub fn mark_missing(&mut self) {
        self.is_missing = true;
        if self.stage == Stage::Ready {
            self.stage = Stage::Unconfirmed;
        }
    }

    /// Takes in that it is no longer listed.
    pub fn mark_gone(&mut self) {
        if self.stage != Stage::Gone {
            self.left_unannounced = self.stage.takes_work();
            self.stage = Stage::Gone;
        }
    }
}
