//! How each result code affects retries.

use crate::error::Code;

/// How a failure's code affects retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Another upstream may succeed.
    Elsewhere,
    /// The request reached no upstream, because the node's view of who owns what was out of date.
    Redirect,
    /// The owner refers the request to a better upstream, which is routing rather than a failure.
    PassOn,
    /// No retry of the same request can succeed.
    Never,
}

impl Reaction {
    /// Whether the failed try cost no upstream anything, so that it counts as a redirect.
    pub const fn is_free(self) -> bool {
        matches!(self, Self::Redirect | Self::PassOn)
    }
}

/// Returns how a code affects retries; every new code has to be classified here.
pub const fn reaction(code: Code) -> Reaction {
    match code {
        Code::NotOwner
        | Code::PeerUnreachable
        | Code::Draining
        | Code::UpstreamLeaving
        | Code::Outdated => Reaction::Redirect,
        Code::PassedOn | Code::Busy => Reaction::PassOn,
        Code::QueueFull
        | Code::DeadlineTooShort
        | Code::LoadFailed
        | Code::NodeFull
        | Code::NotReady
        | Code::UpstreamRefused
        | Code::ConnectFailed
        | Code::UpstreamLost
        | Code::PeerLost
        | Code::AnswerCut
        | Code::WrongAnswer
        | Code::Internal
        | Code::VersionReplaced => Reaction::Elsewhere,
        // The request itself is at fault, or every upstream would respond alike.
        Code::BadRequest
        | Code::UnknownKey
        | Code::UnknownTemplate
        | Code::HeadTooLarge
        | Code::BodyTooLarge
        | Code::SenderTooSlow
        | Code::UnknownPath
        | Code::BadMethod
        | Code::TooManyTokens
        | Code::KeyReused
        | Code::KeyTaken
        | Code::UnknownAdapter
        | Code::ClaimUnavailable
        | Code::NoUpstream
        | Code::Quarantined
        | Code::PartQuarantined
        | Code::StreamOriginUnknown
        | Code::StreamVersionGone
        // A retry elsewhere would use capacity that the limit reserves for others.
        | Code::AccountLimit
        | Code::Brownout
        // Nobody waits for the response any more.
        | Code::ExpiredWaiting
        | Code::ExpiredRunning
        | Code::CallerGoneWaiting
        | Code::CallerGoneRunning
        | Code::ReaderTooSlow
        // The request ran, and the error is its response.
        | Code::UpstreamError => Reaction::Never,
    }
}
