//! The border between deciding where a request goes and running it there.
//!
//! An entry node makes attempts; the upstream's owner runs them, in this
//! process or behind a peer connection. Both stand behind [`Runner`], so that
//! neither side knows which it is.

use std::fmt;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::Failure;
use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::ports::UpstreamResponse;
use crate::request::Ticket;

/// The bytes of a request.
#[derive(Clone)]
pub enum Work {
    /// A completion for an engine.
    Completion {
        /// Path of the completions interface.
        path: Name,
        /// The caller's JSON body; `model` still names the template.
        body: Bytes,
        /// Whether the caller asked for a stream of events.
        stream: bool,
    },
    /// A call to a plain service.
    Call {
        /// Method, path, query and headers, hop-by-hop headers removed.
        head: Box<http::request::Parts>,
        /// The whole body.
        body: Bytes,
    },
}

impl fmt::Debug for Work {
    // Bodies hold prompts, so they stay out of logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Completion { path, body, stream } => f
                .debug_struct("Completion")
                .field("path", path)
                .field("body_bytes", &body.len())
                .field("stream", stream)
                .finish(),
            Self::Call { head, body } => f
                .debug_struct("Call")
                .field("method", &head.method)
                .field("body_bytes", &body.len())
                .finish_non_exhaustive(),
        }
    }
}

/// Limits of the client account at one upstream, as the entry node's revision has them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Share against other accounts, at least 1.
    pub weight: u32,
    /// Most requests in progress; 0 is no limit of its own.
    pub max_in_flight: u32,
    /// Most requests waiting; 0 is no limit of its own.
    pub max_queued: u32,
}

/// One try of a request at one upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// What the decisions know.
    pub ticket: Ticket,
    /// The account's limits.
    pub share: Share,
    /// Which try of the request this is, from 1.
    pub number: u32,
    /// Whether no other upstream will be tried after this one.
    ///
    /// An owner passes a request on (a refusal that says not run) while another
    /// upstream would serve it cheaper; on the last try it takes it if it can.
    pub last: bool,
    /// The upstream to run on.
    pub upstream: Name,
    /// The bytes.
    pub work: Work,
}

/// Runs attempts at upstreams that one node owns.
///
/// Dropping the future or the answer's body cancels the attempt. A failure's
/// code says truly whether the attempt may have run.
#[async_trait]
pub trait Runner: fmt::Debug + Send + Sync {
    /// Runs an attempt; returns when the upstream's answer begins.
    async fn run(&self, attempt: Attempt) -> Result<UpstreamResponse, Failure>;
}

/// Finds the runner of an upstream's owner: this node's own, or a peer's connection.
pub trait Reach: fmt::Debug + Send + Sync {
    /// Returns the runner; no connection need be up yet.
    fn runner(&self, owner: &Owner) -> Arc<dyn Runner>;
}
