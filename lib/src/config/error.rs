//! Errors of operators' calls on the configuration, with a hint for each.

use std::sync::Arc;

use thiserror::Error as ThisError;

use crate::ports;
use crate::schema::declaration::Operation;

/// A call that failed, or whose outcome is unknown.
#[derive(Debug, Clone, ThisError)]
pub enum Error {
    /// Another change was accepted first. Nothing was written.
    #[error("revision {} by {} was accepted first: {}", .0.revision, .0.author, .0.reason)]
    LostRace(Arc<Operation>),
    /// The configuration changed since the caller read it. Nothing was written.
    #[error("the configuration is at revision {actual}, not at {expected}")]
    RevisionMismatch {
        /// The revision that the caller read.
        expected: u64,
        /// The newest revision.
        actual: u64,
        /// The newest change, if it could be read.
        newest: Option<Arc<Operation>>,
    },
    /// The service didn't respond in time; the change may or may not have been accepted.
    #[error("it isn't known whether change {id} was accepted: {cause}")]
    OutcomeUnknown {
        /// Id of the change.
        id: String,
        /// The last error of the service.
        cause: ports::Error,
    },
    /// The service can't be reached. This call wrote nothing; an earlier call with
    /// the same change id may have.
    #[error("the key-value service can't be used: {0}")]
    Unavailable(ports::Error),
    /// Concurrent changes kept moving the head, or the service kept returning
    /// stale data. This call wrote nothing.
    #[error("the service's answers changed too often")]
    Contended,
    /// The declarations can't be applied. Nothing was written.
    #[error("the declarations can't be put in force: {0}")]
    Invalid(String),
    /// A part of the configuration exceeds the service's value size. Nothing was written.
    #[error("{0} bytes don't fit a value of the service")]
    TooLarge(usize),
    /// The revision is no longer kept, or never existed.
    #[error("revision {0} isn't kept")]
    UnknownRevision(u64),
    /// This node can't decode the newest revision. Nothing was written.
    #[error("this node can't read the newest revision: {0}")]
    Unreadable(String),
}

impl Error {
    /// Returns what the operator can do about it.
    #[must_use]
    pub fn hint(&self) -> &'static str {
        match self {
            Self::LostRace(_) | Self::RevisionMismatch { .. } => {
                "look at the other change, merge it into your declarations, and plan again"
            }
            Self::OutcomeUnknown { .. } => {
                "apply the same change with the same identity again; it is never applied twice"
            }
            Self::Unavailable(_) => "try again when the service is back; what is in force stays",
            Self::Contended => "try again",
            Self::Invalid(_) => "correct the declarations",
            Self::TooLarge(_) => "shorten the largest declarations",
            Self::UnknownRevision(_) => "apply the older declarations from version control",
            Self::Unreadable(_) => "apply through a node of the newest version",
        }
    }

    /// Whether this call certainly wrote nothing.
    ///
    /// An earlier call with the same change id may have; see
    /// [`Error::is_permanently_rejected`].
    #[must_use]
    pub fn wrote_nothing(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }

    /// Whether no call with this change id was or ever will be accepted.
    ///
    /// A caller whose first call had an unknown outcome knows that it failed only
    /// from such an error, and that it succeeded from a later accepted call.
    #[must_use]
    pub fn is_permanently_rejected(&self) -> bool {
        matches!(self, Self::LostRace(_) | Self::RevisionMismatch { .. })
    }
}
