//! What is decided about: a request, apart from its bytes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;

/// Identity of a request, unique over all nodes and restarts.
///
/// It carries 122 random bits, so that a restarted node or engine can't meet an
/// earlier request's identity and hand its answer to another caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub Name);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How urgent a request is. A smaller class goes first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody stands and waits, as beside a halted line.
    Urgent = 0,
    /// An ordinary call.
    #[default]
    Normal = 1,
    /// Nobody waits; it must be done some time.
    Bulk = 2,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Returns the class with this number; a larger number is bulk.
    #[must_use]
    pub const fn from_index(index: u32) -> Self {
        match index {
            0 => Self::Urgent,
            1 => Self::Normal,
            _ => Self::Bulk,
        }
    }

    /// Returns the name that declarations and metrics use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        }
    }
}

impl std::str::FromStr for Class {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, ()> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == name)
            .ok_or(())
    }
}

/// What the decisions know of a request: everything but its bytes.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The request's identity, the same through all its attempts.
    pub id: Id,
    /// The client account that asks.
    pub account: Name,
    /// The template that the request names.
    pub template: Name,
    /// The pool whose upstreams may run it.
    pub pool: Name,
    /// The adapter and version, or none for a plain service.
    pub adapter: Option<Adapter>,
    /// The template's priority class.
    pub class: Class,
    /// The template's worth within its class, at least 1.
    pub weight: u32,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When the caller has no more use for the answer, on the local clock.
    pub deadline: Millis,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Revision of the configuration on which the request was decided.
    pub revision: u64,
}
