//! Long polling for changes in the key-value service.
//!
//! Some services count every waiting watch as a call against a rate limit, so
//! the caller has to control how often it polls. It also has to notice a watch
//! that stops responding. A stream of events would hide both.

use async_trait::async_trait;

use super::Event;
use crate::clock::Millis;

/// Why a poll for changes failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service no longer has the history after the requested revision.
    #[error("the history after the revision is compacted")]
    Compacted,
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] super::Error),
}

/// The changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub events: Vec<Event>,
    /// Revision after these changes, from which the next poll continues.
    pub revision: u64,
    /// Whether the response is about as long as the service allows, so that more changes may be ready.
    pub more: bool,
}

/// Polls the key-value service for changes.
#[async_trait]
pub trait Poll: std::fmt::Debug + Send + Sync {
    /// Waits up to `wait` for changes under `prefix` after `revision`.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the caller has to list all keys again.
    async fn changes(&self, prefix: &str, revision: u64, wait: Millis) -> Result<Changes, Error>;
}
