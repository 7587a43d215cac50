//! Changes of the key-value service, asked for call by call.
//!
//! A service that counts a waiting watch as a call makes its rate a matter of
//! the caller, who also has to notice a watch that has gone silent. A stream of
//! events would hide both.

use async_trait::async_trait;

use super::Event;
use crate::clock::Millis;

/// Why a call for changes has no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service has compacted the history after the revision that was asked for.
    #[error("the history after the revision is compacted")]
    Compacted,
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] super::Error),
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// In the order in which they were made.
    pub events: Vec<Event>,
    /// The revision that the changes lead to; the next call asks from here.
    pub revision: u64,
    /// Whether the answer is as long as the service makes them, so that more may be there already.
    pub more: bool,
}

/// Asks the key-value service what has changed.
#[async_trait]
pub trait Poll: std::fmt::Debug + Send + Sync {
    /// Waits up to `wait` for changes under `prefix` after `revision`.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] when only reading everything anew helps.
    async fn changes(&self, prefix: &str, revision: u64, wait: Millis) -> Result<Changes, Error>;
}
