//! Why an operators' call on the configuration failed, and what to do.

use std::sync::Arc;

use thiserror::Error as ThisError;

use crate::ports;
use crate::schema::declaration::Operation;

/// A call that wasn't carried out, or of which that isn't known.
#[derive(Debug, Clone, ThisError)]
pub enum Error {
    /// Another change was accepted first. Nothing was written.
    #[error("revision {} by {} was accepted first: {}", .0.revision, .0.author, .0.reason)]
    LostRace(Arc<Operation>),
    /// The configuration moved on since the caller looked. Nothing was written.
    #[error("the configuration is at revision {actual}, not at {expected}")]
    RevisionMismatch {
        /// What the caller looked at.
        expected: u64,
        /// What is newest.
        actual: u64,
        /// The newest change, where it is known.
        newest: Option<Arc<Operation>>,
    },
    /// The service didn't answer in time; the change may or may not be accepted.
    #[error("it isn't known whether change {id} was accepted: {cause}")]
    OutcomeUnknown {
        /// The change's identity.
        id: String,
        /// The last error of the service.
        cause: ports::Error,
    },
    /// The service can't be reached. This call wrote nothing; an earlier one with
    /// the same identity may have.
    #[error("the key-value service can't be used: {0}")]
    Unavailable(ports::Error),
    /// Others kept changing the configuration at the same time, or the service
    /// kept answering with what is older. This call wrote nothing.
    #[error("the service's answers changed too often")]
    Contended,
    /// The declarations can't be put in force. Nothing was written.
    #[error("the declarations can't be put in force: {0}")]
    Invalid(String),
    /// A part of the configuration is too large for one value of the service. Nothing was written.
    #[error("{0} bytes don't fit a value of the service")]
    TooLarge(usize),
    /// The revision isn't kept any more, or never was.
    #[error("revision {0} isn't kept")]
    UnknownRevision(u64),
    /// The newest revision can't be read by this node. Nothing was written.
    #[error("this node can't read the newest revision: {0}")]
    Unreadable(String),
}

impl Error {
    /// Returns what the operator can do.
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
    /// An earlier call with the same identity may have; see [`Error::is_permanently_rejected`].
    #[must_use]
    pub fn wrote_nothing(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }

    /// Whether no call with this identity was or ever will be accepted.
    ///
    /// A caller whose first call stayed unsettled has its answer only then, or
    /// when a later call is accepted.
    #[must_use]
    pub fn is_permanently_rejected(&self) -> bool {
        matches!(self, Self::LostRace(_) | Self::RevisionMismatch { .. })
    }
}
