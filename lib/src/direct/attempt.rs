//! One send of a request to one upstream, and what became of it.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::admit::Permit;
use super::dialect::{Dialect, DispatchHeaders, ResponseMetadata};
use super::metadata::{RequestKind, RequestMetadata};
use super::upstream::{InFlightRequest, Upstream};
use super::versions::{self, VersionWatch};
use crate::clock::Millis;
use crate::error::Code;
use crate::poison::fingerprint::{Fingerprint, Identity};
use crate::ports::link::{Connection, Lost};

/// The longest whole answer that is held, in bytes.
const WHOLE_BYTES: usize = 16 << 20;

/// How fresh a kept connection has to be for a request that may not be repeated.
///
/// An upstream or a device between may have dropped an unused connection
/// without a word. What is then sent on it may have run, for all one can know.
const FRESH: Millis = Millis(1_000);

/// How fresh a kept connection has to be otherwise.
const USABLE: Millis = Millis(4_000);

/// How long the rest of an answer that is not passed on may take.
///
/// A kept connection saves the next caller a millisecond or two; the one whose request was
/// rejected waits meanwhile.
const FINISH: Millis = Millis(50);

/// A request as it is sent, the same for each attempt.
#[derive(Debug)]
pub struct RequestMessage {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those of one connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What the request says about itself.
    pub metadata: RequestMetadata,
    /// What may be repeated.
    pub kind: RequestKind,
    /// What identifies it over its attempts, once that was needed.
    pub fingerprint: OnceLock<Fingerprint>,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent.
    Unsent(String),
    /// The upstream says that it did not run the request.
    Rejected {
        /// The answer's status.
        status: u16,
        /// Whether a newer version of its adapter has been declared than it was sent for, so
        /// that an order to load that one may be why.
        replaced: bool,
    },
    /// It was withdrawn, as it could no longer begin on the version of its adapter there.
    Withdrawn {
        /// Whether it was sent, so that it may have begun nevertheless.
        sent: bool,
    },
    /// It may have run.
    Lost(Code, String),
}

impl SendError {
    /// Whether the request may run, or have run, where it was sent.
    #[must_use]
    pub const fn may_run(&self) -> bool {
        matches!(self, Self::Lost(..) | Self::Withdrawn { sent: true })
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::Rejected { .. } => "rejected",
            Self::Withdrawn { .. } => "withdrawn",
            Self::Lost(..) => "lost",
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its head.
    pub head: response::Parts,
    /// What the head says.
    pub reply: ResponseMetadata,
    /// The rest.
    pub body: Incoming,
    /// Where it comes from.
    pub upstream: Arc<Upstream>,
    /// The version of the adapter that was expected there.
    pub version: Option<u64>,
    /// Watches until when the run may begin, if it hasn't.
    pub watch: Option<VersionWatch>,
    /// The connection that it comes over.
    pub connection: Connection,
    /// Holds the place in the upstream's count.
    pub running: InFlightRequest,
}

impl RequestMessage {
    /// Returns what identifies the request over its attempts.
    pub fn fingerprint(&self) -> &Fingerprint {
        self.fingerprint.get_or_init(|| {
            let metadata = &self.metadata;
            let host = self.headers.get(header::HOST);
            Fingerprint::of(&Identity {
                caller: metadata.caller.as_deref().unwrap_or_default(),
                model: metadata.model.as_deref().unwrap_or_default(),
                method: self.method.as_str(),
                host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
                path: self.uri.path_and_query().map_or("", |path| path.as_str()),
                body: &self.body,
            })
        })
    }

    /// Sends the request and returns the answer's head once it has come.
    ///
    /// # Errors
    ///
    /// A [`SendError`], which says truly whether the request may have run.
    pub async fn send(
        &self,
        upstream: &Arc<Upstream>,
        dialect: &dyn Dialect,
        dispatch: &DispatchHeaders,
        permit: Option<Permit>,
        watch: Option<VersionWatch>,
    ) -> Result<UpstreamResponse, SendError> {
        let running = upstream.start_request(self.metadata.adapter(), permit);
        let freshness = if self.kind.is_retryable() {
            USABLE
        } else {
            FRESH
        };
        let mut connection = upstream
            .link
            .take(freshness)
            .await
            .map_err(|lost| miss(&lost))?;
        // A request can have waited for seconds since this upstream was chosen,
        // for its adapter or for a connection; one that leaves gets no new work.
        if !upstream.is_ready() {
            upstream.link.keep(connection, None);
            return Err(SendError::Unsent("the upstream leaves".to_owned()));
        }
        if watch.as_ref().is_some_and(VersionWatch::has_expired) {
            upstream.link.keep(connection, None);
            return Err(SendError::Withdrawn { sent: false });
        }
        let request = self.request(dialect, dispatch);
        let response = tokio::select! {
            biased;
            response = connection.send(request) => response.map_err(|lost| miss(&lost))?,
            // Dropping the connection has the engine drop the request.
            () = versions::expired(watch.as_ref()) => return Err(SendError::Withdrawn { sent: true }),
        };
        let (head, body) = response.into_parts();
        let reply = dialect.response_metadata(&head);
        if reply.id != self.metadata.id {
            // Another request's answer came late over this connection. Whether
            // the upstream runs ours, nobody can tell.
            return Err(SendError::Lost(
                Code::WrongAnswer,
                "the answer names another request".to_owned(),
            ));
        }
        if reply.not_run {
            let status = head.status.as_u16();
            finish(body, connection, upstream, &reply).await;
            let replaced = watch.as_ref().is_some_and(VersionWatch::is_replaced);
            return Err(SendError::Rejected { status, replaced });
        }
        if head.status.is_success() && !reply.signed {
            return Err(SendError::Lost(
                Code::WrongAnswer,
                "the answer bears no signature".to_owned(),
            ));
        }
        Ok(UpstreamResponse {
            head,
            reply,
            body,
            upstream: Arc::clone(upstream),
            version: dispatch.version,
            watch,
            connection,
            running,
        })
    }

    fn request(&self, dialect: &dyn Dialect, dispatch: &DispatchHeaders) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        dialect.apply_dispatch_headers(request.headers_mut(), dispatch);
        request
    }
}

impl UpstreamResponse {
    /// Takes in that a part of the body has come, so that the run has begun.
    pub fn has_begun(&mut self) {
        self.watch = None;
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`SendError::Lost`] when it breaks off or is too long.
    pub async fn whole(self) -> Result<(response::Parts, Bytes), SendError> {
        let body = Limited::new(self.body, WHOLE_BYTES)
            .collect()
            .await
            .map_err(|error| SendError::Lost(Code::AnswerCut, error.to_string()))?
            .to_bytes();
        if !self.reply.closes {
            self.upstream.link.keep(self.connection, self.reply.keep);
        }
        Ok((self.head, body))
    }
}

/// Reads the rest of an answer that is not passed on, so that its connection can be kept.
async fn finish(
    body: Incoming,
    connection: Connection,
    upstream: &Upstream,
    reply: &ResponseMetadata,
) {
    let rest = Limited::new(body, 64 * 1024).collect();
    let rest = tokio::time::timeout(FINISH.duration(), rest).await;
    if matches!(rest, Ok(Ok(_))) && !reply.closes {
        upstream.link.keep(connection, reply.keep);
    }
}

fn miss(lost: &Lost) -> SendError {
    match lost {
        Lost::Unsent(told) => SendError::Unsent(told.clone()),
        Lost::Sent(told) => SendError::Lost(Code::UpstreamLost, told.clone()),
    }
}
