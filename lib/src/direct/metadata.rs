//! What a request's headers and its route say about it.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::Name;

/// Whether requests of a route can be retried, and the form of their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times; the response isn't a stream.
    Idempotent,
    /// May run at most once; the response isn't a stream.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another upstream can resume the stream after the last event forwarded.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the part by itself, whatever other parts the prompt has.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller's request says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestMetadata {
    /// Identifies the caller's attempt; the upstream's response repeats it.
    pub id: Option<Name>,
    /// The caller's API key, where callers have one.
    pub caller: Option<Name>,
    /// How long the caller waits, counted from the arrival of the request.
    pub deadline: Option<Millis>,
    /// `BASE`, or `BASE/ADAPTER` when the request uses an adapter.
    pub model: Option<Name>,
    /// Tokens of the prompt, and the maximum number of tokens of the response.
    pub tokens: Option<(u32, u32)>,
    /// The prompt's segments in order; the last belongs to this request or its session alone.
    pub prompt_segments: SmallVec<[PromptSegment; 4]>,
    /// Number of the last event that the caller already has.
    pub resume_after: Option<u64>,
    /// ID of the caller's attempt that received the first event of the stream it resumes.
    pub resumes: Option<Name>,
}

impl RequestMetadata {
    /// Returns `BASE/ADAPTER` if the request uses an adapter.
    #[must_use]
    pub fn adapter(&self) -> Option<&Name> {
        self.model.as_ref().filter(|model| model.contains('/'))
    }

    /// Returns the parts of the prompt that other requests may share.
    #[must_use]
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.prompt_segments
            .split_last()
            .map_or(&[], |(_, shared)| shared)
    }
}

/// Returns the base model of `BASE` or `BASE/ADAPTER`.
#[must_use]
pub fn base_model_of(model: &str) -> &str {
    model.split_once('/').map_or(model, |(base, _)| base)
}
