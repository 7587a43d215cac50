//! A request as the entry node understands it.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::Name;

/// What may be repeated, and how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times; one whole answer.
    Idempotent,
    /// Runs at most once; one whole answer.
    AtMostOnce,
    /// A stream of numbered events.
    Stream {
        /// Whether another upstream may continue after the last event that was passed on.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// The same for all requests that begin with the same text up to here.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller's request says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMetadata {
    /// Identity of this attempt of the caller; an upstream's answer repeats it.
    pub id: Option<Name>,
    /// The key that the caller sent, where callers have keys.
    pub caller: Option<Name>,
    /// How long the caller waits, counted from the arrival of the request.
    pub deadline: Option<Millis>,
    /// Base model, and the adapter behind a slash if one is asked for.
    pub model: Option<Name>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// The prompt's parts in order; the last is the request's or its session's own.
    pub prompt_segments: SmallVec<[PromptSegment; 4]>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}

impl RequestMetadata {
    /// Returns the base model and adapter, when an adapter is asked for.
    #[must_use]
    pub fn adapter(&self) -> Option<&Name> {
        self.model.as_ref().filter(|model| model.contains('/'))
    }
}

/// Returns the base model of `BASE` or `BASE/ADAPTER`.
#[must_use]
pub fn base_model_of(model: &str) -> &str {
    model.split_once('/').map_or(model, |(base, _)| base)
}
