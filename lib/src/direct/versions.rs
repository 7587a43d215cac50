//! Versions of adapters as operators declare them, and until when each may be begun on.
//!
//! A declaration forbids all versions below it once [`Limits::version`] has passed since it was
//! acknowledged, whatever is declared behind it.
//!
//! [`Limits::version`]: super::limits::Limits::version

use smallvec::SmallVec;

use crate::clock::Millis;

/// A version that operators declared as the newest of its adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declaration {
    /// The version.
    pub version: u64,
    /// When it may have been declared at the earliest: until then this node knew of none.
    ///
    /// Counted from when the node hears of it, an old version would be begun on for as much
    /// longer as changes take to arrive.
    pub since: Millis,
}

/// The declarations of one adapter that still count, in order.
#[derive(Debug, Default)]
pub struct Declarations(SmallVec<[Declaration; 2]>);

impl Declarations {
    /// Takes in a declaration; returns whether it is newer than all before.
    ///
    /// A declaration whose `limit` has passed forbids what is below it for good, so those before
    /// it are dropped.
    pub fn declare(&mut self, declaration: Declaration, limit: Millis) -> bool {
        if self
            .newest()
            .is_some_and(|newest| newest.version >= declaration.version)
        {
            return false;
        }
        let passed = |one: &Declaration| one.since + limit <= declaration.since;
        if let Some(last) = self.0.iter().rposition(passed) {
            self.0.drain(..last);
        }
        self.0.push(declaration);
        true
    }

    /// Returns the newest.
    #[must_use]
    pub fn newest(&self) -> Option<Declaration> {
        self.0.last().copied()
    }

    /// Returns until when a request may begin on a version; none where nothing bounds it.
    #[must_use]
    pub fn begin_by(&self, version: u64, limit: Millis) -> Option<Millis> {
        let newer = self.0.iter().filter(|one| one.version > version);
        newer.map(|one| one.since + limit).min()
    }
}
