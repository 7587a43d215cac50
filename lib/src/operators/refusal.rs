//! Why an operator's call wasn't done.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::wire::Operation;

/// The cause of a refusal; each has an HTTP status and an exit code of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The call isn't what the interface takes.
    BadRequest,
    /// No token, or one that the node doesn't know.
    UnknownToken,
    /// The token's role doesn't allow it.
    Forbidden,
    /// There is no such path, template, node, upstream or revision.
    NotFound,
    /// Another node must be asked.
    Elsewhere,
    /// Another change was accepted meanwhile; nothing was overwritten.
    LostRace,
    /// The body is larger than the interface takes.
    TooLarge,
    /// The declarations contradict themselves or one another.
    Invalid,
    /// Too many calls at once; nothing was done.
    Busy,
    /// The key-value service doesn't answer; nothing was changed.
    Unavailable,
    /// No answer came after a write left; the change may have been made.
    Unknown,
}

impl Cause {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownToken => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::LostRace => 409,
            Self::TooLarge => 413,
            Self::Elsewhere => 421,
            Self::Invalid => 422,
            Self::Busy => 429,
            Self::Unavailable => 503,
            Self::Unknown => 504,
        }
    }
}

/// An operator's call that wasn't done, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause.
    pub cause: Cause,
    /// What is wrong, for people; holds no token.
    pub message: Box<str>,
    /// What to do about it.
    pub hint: Box<str>,
    /// Mistakes in the declarations, one a line.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<String>,
    /// The changes that won the race.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub winners: Vec<Operation>,
    /// The operators' address of the node to ask instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ask: Option<SocketAddr>,
}

impl Refusal {
    /// Makes a refusal.
    #[must_use]
    pub fn new(cause: Cause, message: impl Into<Box<str>>, hint: impl Into<Box<str>>) -> Self {
        Self {
            cause,
            message: message.into(),
            hint: hint.into(),
            mistakes: Vec::new(),
            winners: Vec::new(),
            ask: None,
        }
    }

    /// Adds mistakes in the declarations.
    #[must_use]
    pub fn mistakes(mut self, mistakes: Vec<String>) -> Self {
        self.mistakes = mistakes;
        self
    }

    /// Adds the changes that won the race.
    #[must_use]
    pub fn winners(mut self, winners: Vec<Operation>) -> Self {
        self.winners = winners;
        self
    }

    /// Adds the node to ask instead.
    #[must_use]
    pub fn ask(mut self, address: Option<SocketAddr>) -> Self {
        self.ask = address;
        self
    }
}
