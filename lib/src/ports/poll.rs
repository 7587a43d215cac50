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
    /// The response is larger than [`Query::max_bytes`], and its changes were not read.
    #[error("the response is larger than {0} bytes")]
    Oversized(usize),
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] super::Error),
}

/// Which changes a poll asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// The revision after which the changes begin.
    pub after: u64,
    /// How long the service waits for a change if there is none yet.
    pub wait: Millis,
    /// Size of a response above which it isn't read, in bytes on the wire.
    pub max_bytes: usize,
}

impl<'a> Query<'a> {
    /// Asks for changes in a response of any size.
    #[must_use]
    pub const fn new(prefix: &'a str, after: u64, wait: Millis) -> Self {
        Self {
            prefix,
            after,
            wait,
            max_bytes: usize::MAX,
        }
    }

    /// Asks for the same in a response of a limited size.
    #[must_use]
    pub const fn within_bytes(self, max_bytes: usize) -> Self {
        Self { max_bytes, ..self }
    }
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
    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the caller has to list all keys again, and [`Error::Oversized`] if
    /// the response exceeds the query's limit.
    async fn changes(&self, query: Query<'_>) -> Result<Changes, Error>;
}
