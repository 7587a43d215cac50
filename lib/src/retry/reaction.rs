//! What each result code says about trying again.

use crate::error::Code;

/// What a failure's code says about trying again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Another upstream may do.
    Elsewhere,
    /// No upstream was asked; the picture of who owns what was old.
    Redirect,
    /// The owner says that another upstream serves it better: a step of routing, not a fault.
    PassOn,
    /// No try of the same request can do better.
    Never,
}

impl Reaction {
    /// Whether the failed try cost no upstream anything.
    pub const fn is_free(self) -> bool {
        matches!(self, Self::Redirect | Self::PassOn)
    }
}

/// Returns what a code says; every new code has to be sorted in here.
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
        // The request itself is at fault, or every upstream would say the same.
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
        // Trying elsewhere would take what the limit keeps for others.
        | Code::AccountLimit
        | Code::Brownout
        // Nobody waits for the answer any more.
        | Code::ExpiredWaiting
        | Code::ExpiredRunning
        | Code::CallerGoneWaiting
        | Code::CallerGoneRunning
        | Code::ReaderTooSlow
        // It ran, and the error is its answer.
        | Code::UpstreamError => Reaction::Never,
    }
}
