//! Numbered result codes, and what became of a request that ended in one.
//!
//! The table in docs/errors.md is made from [`Code::ALL`] and a test keeps them
//! equal. A code's fate is a promise: nothing that may have reached an upstream
//! is ever called not run.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// No upstream has started it, and none will.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run; nobody can tell.
    Unknown,
}

impl Fate {
    /// Returns the number that peers exchange.
    #[must_use]
    pub const fn number(self) -> u32 {
        match self {
            Self::NotRun => 0,
            Self::Ran => 1,
            Self::Unknown => 2,
        }
    }

    /// Returns the fate of a peer's number; an unknown number is read as the cautious fate.
    #[must_use]
    pub const fn from_number(number: u32) -> Self {
        match number {
            0 => Self::NotRun,
            1 => Self::Ran,
            _ => Self::Unknown,
        }
    }

    /// Returns the name used in answers and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[doc = $doc:expr])+ $variant:ident = $number:literal, $name:literal, $status:literal, $fate:ident, $hint:literal;)+) => {
        /// A numbered result code. Numbers are never reused; docs/errors.md lists them.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Code {
            /// All codes by number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the code's number.
            #[must_use]
            pub const fn number(self) -> u32 {
                match self { $(Self::$variant => $number,)+ }
            }

            /// Returns the code's name, as answers, metrics and logs show it.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// Returns the HTTP status that a caller sees.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)+ }
            }

            /// Returns what became of the request.
            #[must_use]
            pub const fn fate(self) -> Fate {
                match self { $(Self::$variant => Fate::$fate,)+ }
            }

            /// Returns what the code means, for docs/errors.md.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => concat!($($doc),+),)+ }
            }

            /// Returns what the caller may do.
            #[must_use]
            pub const fn hint(self) -> &'static str {
                match self { $(Self::$variant => $hint,)+ }
            }
        }
    };
}

codes! {
    /// The request's head or body isn't what the interface takes.
    BadRequest = 1001, "bad_request", 400, NotRun, "Correct the request.";
    /// The key is missing or belongs to no client account.
    UnknownKey = 1002, "unknown_key", 401, NotRun, "Send a key of your client account.";
    /// The client account has no template of this name.
    UnknownTemplate = 1003, "unknown_template", 404, NotRun, "List the templates with GET /v1/models.";
    /// The request's head is too large.
    HeadTooLarge = 1004, "head_too_large", 431, NotRun, "Send fewer or shorter headers.";
    /// The request's body is too large.
    BodyTooLarge = 1005, "body_too_large", 413, NotRun, "Send a shorter body.";
    /// The request came too slowly.
    SenderTooSlow = 1006, "sender_too_slow", 408, NotRun, "Send the request again, faster.";
    /// The path isn't one of the interface's.
    UnknownPath = 1007, "unknown_path", 404, NotRun, "See docs/callers.md for the paths.";
    /// The method doesn't fit the path.
    BadMethod = 1008, "bad_method", 405, NotRun, "See docs/callers.md for the methods.";
    /// The template doesn't allow so long an answer.
    TooManyTokens = 1009, "too_many_tokens", 400, NotRun, "Ask for fewer tokens.";
    /// The idempotency key was used for another request.
    KeyReused = 1010, "idempotency_key_reused", 422, NotRun, "Use a new key for a new request.";
    /// The idempotency key's first request runs, ran or may have run; this one was not run.
    KeyTaken = 1011, "idempotency_key_taken", 409, NotRun, "Ask the service what became of the first; sending it again with the same key runs it only if the first was not run.";

    /// The upstream's queue for this class is full.
    QueueFull = 2001, "queue_full", 503, NotRun, "Try again after Retry-After.";
    /// The client account holds its whole share of the upstream.
    AccountLimit = 2002, "account_limit", 429, NotRun, "Try again after Retry-After.";
    /// The request couldn't be answered before its deadline.
    DeadlineTooShort = 2003, "deadline_too_short", 503, NotRun, "Try again after Retry-After, or allow more time.";
    /// The node leaves.
    Draining = 2004, "draining", 503, NotRun, "Try again at once; another node answers.";
    /// No upstream of the template's pool can be used now.
    NoUpstream = 2005, "no_upstream", 503, NotRun, "Try again after Retry-After.";
    /// This node doesn't own the upstream.
    NotOwner = 2006, "not_owner", 503, NotRun, "Try again after Retry-After.";
    /// The adapter couldn't be loaded.
    LoadFailed = 2007, "load_failed", 503, NotRun, "Try again after Retry-After; tell the operators if it lasts.";
    /// The upstream takes no new work.
    UpstreamLeaving = 2008, "upstream_leaving", 503, NotRun, "Try again at once.";
    /// The node has all the requests, or all the bytes of bodies, that it can hold.
    NodeFull = 2009, "node_full", 503, NotRun, "Try again after Retry-After.";
    /// Under overload this class gives way.
    Brownout = 2010, "brownout", 503, NotRun, "Try again after Retry-After.";
    /// The node has no configuration yet.
    NotReady = 2011, "not_ready", 503, NotRun, "Try again after Retry-After.";
    /// The key-value service can't record the idempotency key now.
    ClaimUnavailable = 2012, "claim_unavailable", 503, NotRun, "Try again after Retry-After, with the same key.";
    /// The upstream refused the request before running it.
    UpstreamRefused = 2013, "upstream_refused", 503, NotRun, "Try again after Retry-After.";
    /// The upstream couldn't be reached; nothing was sent.
    ConnectFailed = 2014, "connect_failed", 503, NotRun, "Try again after Retry-After.";
    /// The other node couldn't be reached; nothing was sent.
    PeerUnreachable = 2015, "peer_unreachable", 503, NotRun, "Try again after Retry-After.";
    /// The adapter version isn't in the weight store.
    UnknownAdapter = 2016, "unknown_adapter", 503, NotRun, "Tell the operators; the template names a missing version.";
    /// The deadline passed while the request waited.
    ExpiredWaiting = 2017, "expired_waiting", 504, NotRun, "Try again after Retry-After, or allow more time.";
    /// The caller went away before the request ran.
    CallerGoneWaiting = 2018, "caller_gone_waiting", 499, NotRun, "Nothing.";
    /// Another upstream would serve the request sooner or cheaper; the next in order is tried.
    PassedOn = 2019, "passed_on", 503, NotRun, "Try again after Retry-After.";
    /// The upstream holds the adapter but is busy; its requests spread over more upstreams.
    Busy = 2020, "busy", 503, NotRun, "Try again after Retry-After.";
    /// Upstreams ended as they began to run this request, one after the other.
    Quarantined = 2021, "quarantined", 503, NotRun, "Don't repeat it soon; tell the operators, who can see why.";
    /// The template was changed while the request waited, and names something else now.
    Outdated = 2022, "outdated", 503, NotRun, "Try again after Retry-After.";
    /// The request resumes a stream of which no node knows the software version that began it.
    StreamOriginUnknown = 2023, "stream_origin_unknown", 503, NotRun, "Begin the stream anew.";
    /// The request resumes a stream that began at a software version which no upstream runs any more.
    StreamVersionGone = 2024, "stream_version_gone", 503, NotRun, "Begin the stream anew.";
    /// Upstreams ended as they began to run requests with a part of this prompt, one after the other.
    PartQuarantined = 2025, "prompt_part_quarantined", 503, NotRun, "Send it without the prompt part that the message names, or tell the operators.";

    /// The connection to the upstream broke after the request was sent.
    UpstreamLost = 3001, "upstream_lost", 502, Unknown, "Repeat it only if it is idempotent.";
    /// The connection to the owning node broke after the request was sent.
    PeerLost = 3002, "peer_lost", 502, Unknown, "Repeat it only if it is idempotent.";
    /// The deadline passed while the request ran.
    ExpiredRunning = 3003, "expired_running", 504, Unknown, "Repeat it only if it is idempotent.";
    /// The answer broke off; what was received is not whole.
    AnswerCut = 3004, "answer_cut", 502, Unknown, "Drop the partial answer; repeat it only if it is idempotent.";
    /// The answer named another request or another adapter, and was dropped.
    WrongAnswer = 3005, "wrong_answer", 502, Unknown, "Repeat it only if it is idempotent; tell the operators.";
    /// The caller went away while the request ran.
    CallerGoneRunning = 3006, "caller_gone_running", 499, Unknown, "Nothing.";
    /// A fault of this node.
    Internal = 3007, "internal", 500, Unknown, "Tell the operators; repeat it only if it is idempotent.";
    /// The caller took the answer too slowly.
    ReaderTooSlow = 3008, "reader_too_slow", 499, Unknown, "Read faster.";
    /// A newer version of the adapter was declared while the request waited at an upstream, and it was withdrawn.
    VersionReplaced = 3009, "version_replaced", 502, Unknown, "Repeat it only if it is idempotent.";

    /// The upstream took the request and answered with an error of its own.
    UpstreamError = 4001, "upstream_error", 502, Ran, "See the upstream's message; tell the operators if it lasts.";
}

impl Code {
    /// Returns the code of a peer's number.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// How a request, or one attempt of it, ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{code}: {detail}")]
pub struct Failure {
    /// The numbered cause.
    pub code: Code,
    /// What is known beyond the code, for people; holds no key and no prompt.
    pub detail: String,
    /// When a later try may succeed, in milliseconds from now.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Makes a failure with a detail for people.
    #[must_use]
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds when a later try may succeed.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns what became of the request.
    #[must_use]
    pub const fn fate(&self) -> Fate {
        self.code.fate()
    }
}
