//! One send of a request to one upstream, and its result.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header, response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::admit::Permit;
use super::dialect::{Dialect, DispatchHeaders, ResponseMetadata};
use super::metadata::{RequestKind, RequestMetadata};
use super::path::Paths;
use super::upstream::{InFlightRequest, Upstream};
use super::used_connections::UsedConnections;
use super::versions::{self, VersionWatch};
use crate::buffer::{self, Incomplete, Reservation};
use crate::clock::Millis;
use crate::error::Code;
use crate::poison::fingerprint::{Fingerprint, Identity};
use crate::poison::subjects::Subjects;
use crate::ports::connection_pool::{Connection, TransportError};

/// Maximum length in bytes of a response that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 16 << 20;

/// Maximum idle time of a reused connection for a request that may not be retried.
///
/// An upstream or a network device may have dropped an idle connection silently. A request sent on
/// it then counts as possibly run.
const MAX_IDLE_NOT_RETRYABLE: Millis = Millis(1_000);

/// Maximum idle time of a reused connection for other requests.
const MAX_IDLE_RETRYABLE: Millis = Millis(4_000);

/// Timeout for reading the rest of a rejection's body, after which the connection can be reused.
///
/// Reusing the connection saves the next request a millisecond or two, while the rejected request
/// waits for this read.
const REJECTION_BODY_TIMEOUT: Millis = Millis(50);

/// Maximum length in bytes of a rejection's body that is read to reuse the connection.
const MAX_REJECTION_BODY_BYTES: usize = 64 * 1024;

/// A request as it is sent to upstreams, the same for each attempt.
#[derive(Debug)]
pub struct RequestMessage {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The body's share of the node's memory.
    pub memory: Reservation,
    /// What the caller's headers say about the request.
    pub metadata: RequestMetadata,
    /// Whether it can be retried, and the form of its response.
    pub kind: RequestKind,
    /// What it can be blamed for a crash by; computed on first use.
    pub subjects: OnceLock<Subjects>,
    /// The connections on which it has been sent.
    pub used_connections: UsedConnections,
}

/// Why a send got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, as this node may open no further connection to the upstream.
    AtLimit(String),
    /// The upstream responded that it did not run the request.
    Rejected {
        /// The response's status.
        status: u16,
        /// Whether a newer version of the adapter was declared than the one it was sent for; the
        /// upstream may have rejected it to load that version.
        replaced: bool,
        /// Whether the upstream's owner had counted the request.
        counted: bool,
    },
    /// It was withdrawn because it could no longer start on the upstream's version of its adapter.
    Withdrawn {
        /// Whether it had been sent, and so may have started nevertheless.
        sent: bool,
    },
    /// It may have run.
    Lost(Code, String),
}

impl SendError {
    /// Whether the request may be running, or have run, at the upstream.
    #[must_use]
    pub const fn may_run(&self) -> bool {
        matches!(self, Self::Lost(..) | Self::Withdrawn { sent: true })
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::AtLimit(_) => "at_limit",
            Self::Rejected { .. } => "rejected",
            Self::Withdrawn { .. } => "withdrawn",
            Self::Lost(..) => "lost",
        }
    }

    /// Returns the cause as it is logged.
    #[must_use]
    pub fn cause(&self) -> String {
        match self {
            Self::Unsent(cause) | Self::AtLimit(cause) | Self::Lost(_, cause) => cause.clone(),
            Self::Rejected { status, .. } => format!("status {status}"),
            Self::Withdrawn { sent } => format!("a newer version was declared, sent={sent}"),
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The head.
    pub head: response::Parts,
    /// What the head says beyond HTTP.
    pub reply: ResponseMetadata,
    /// The body.
    pub body: Incoming,
    /// The upstream that sent it.
    pub upstream: Arc<Upstream>,
    /// The version of the adapter that the upstream was expected to have.
    pub version: Option<u64>,
    /// Watches until when the run may start; `None` once it has started, or without an adapter.
    pub watch: Option<VersionWatch>,
    /// The connection that it arrives on.
    pub connection: Connection,
    /// Counts the request at the upstream until it is dropped.
    pub running: InFlightRequest,
}

impl RequestMessage {
    /// Returns what the request can be blamed for a crash by, the same at all attempts and nodes.
    pub fn subjects(&self) -> &Subjects {
        self.subjects.get_or_init(|| {
            let parts = self.metadata.shared_segments().iter();
            let parts = parts.map(|part| Fingerprint::of_part(part.id));
            Subjects::new(self.fingerprint(), parts)
        })
    }

    /// Returns the fingerprint that identifies the request across attempts and nodes.
    fn fingerprint(&self) -> Fingerprint {
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
    }

    /// Sends the request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// A [`SendError`], which tells whether the request may have run.
    pub async fn send(
        &self,
        upstream: &Arc<Upstream>,
        paths: &Paths,
        dialect: &dyn Dialect,
        dispatch: &DispatchHeaders,
        permit: Option<Permit>,
        watch: Option<VersionWatch>,
    ) -> Result<UpstreamResponse, SendError> {
        let upstream = &paths.listed(upstream);
        let counted = permit.is_some();
        let mut running = upstream.start_request(self.metadata.adapter(), permit);
        let max_idle = if self.kind.is_retryable() {
            MAX_IDLE_RETRYABLE
        } else {
            MAX_IDLE_NOT_RETRYABLE
        };
        let mut connection = paths
            .acquire(upstream, max_idle, &self.used_connections)
            .await
            .map_err(|lost| send_error(&lost))?;
        // The request may have waited seconds for its adapter or a connection since this upstream
        // was selected. An upstream that is leaving gets no new requests.
        if !upstream.is_ready() {
            upstream.connection_pool.release(connection, None);
            return Err(SendError::Unsent("the upstream leaves".to_owned()));
        }
        if watch.as_ref().is_some_and(VersionWatch::has_expired) {
            upstream.connection_pool.release(connection, None);
            return Err(SendError::Withdrawn { sent: false });
        }
        if let Some(node) = connection.tunnel_node() {
            let id = self.metadata.id.as_deref().unwrap_or_default();
            paths.record_send(id, upstream, node);
        }
        self.used_connections.record(&connection);
        let request = self.request(dialect, dispatch);
        let response = tokio::select! {
            biased;
            response = connection.send(request) => response.map_err(|lost| send_error(&lost))?,
            // Dropping the connection makes the engine abort the request.
            () = versions::expired(watch.as_ref()) => {
                return Err(SendError::Withdrawn { sent: true });
            }
        };
        paths.record_response(upstream, &connection);
        let (head, body) = response.into_parts();
        let reply = dialect.response_metadata(&head);
        if reply.id != self.metadata.id {
            // This is a late response to another request on this connection, so it is unknown
            // whether the upstream runs ours.
            return Err(SendError::Lost(
                Code::WrongAnswer,
                "the answer names another request".to_owned(),
            ));
        }
        let is_elsewhere = head.status == StatusCode::MISDIRECTED_REQUEST;
        // Another upstream may have the address by now, and broken bytes say nothing.
        if !is_elsewhere && (reply.not_run || reply.signed) {
            paths.record_notice(upstream, reply.rejections);
        }
        if reply.not_run {
            let status = head.status.as_u16();
            let replaced = watch.as_ref().is_some_and(VersionWatch::is_replaced);
            if !is_elsewhere && !replaced {
                running.mark_rejected();
            }
            discard_body(body, connection, upstream, &reply).await;
            return Err(SendError::Rejected {
                status,
                replaced,
                counted,
            });
        }
        if head.status.is_success() && !reply.signed {
            return Err(SendError::Lost(
                Code::WrongAnswer,
                "the answer is not signed".to_owned(),
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
    /// Whether the body ends with its connection, so that the end of the upstream's process can look
    /// like the end of the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Whether another upstream can go on from what this response's run has computed.
    ///
    /// The response shows the version of the base model's weights; the list may be of another start
    /// of the upstream, and then tells nothing.
    #[must_use]
    pub fn can_move_to(&self, other: &Upstream, model: &str) -> bool {
        let listed = self.upstream.weights_version(model);
        let is_listed = self.reply.weights.is_none() || self.reply.weights == listed;
        is_listed && self.upstream.has_same_weights(other, model)
    }

    /// Returns the version of a base model's weights that computes the response, if it is known.
    #[must_use]
    pub fn weights_version(&self, model: &str) -> Option<u64> {
        let listed = || self.upstream.weights_version(model);
        self.reply.weights.or_else(listed)
    }

    /// Records that part of the body has arrived, so the run has started.
    pub fn mark_started(&mut self) {
        self.watch = None;
    }

    /// Reads the complete body into reserved memory and returns the connection for reuse.
    ///
    /// # Errors
    ///
    /// When the body ends early, is too long or finds no memory.
    pub async fn read_body(
        self,
        memory: &mut Reservation,
    ) -> Result<(response::Parts, Bytes), Incomplete<hyper::Error>> {
        let body = buffer::collect(self.body, MAX_BUFFERED_BODY_BYTES, memory).await?;
        if !self.reply.closes {
            self.upstream
                .connection_pool
                .release(self.connection, self.reply.keep);
        }
        Ok((self.head, body))
    }
}

/// Reads and discards the body of a rejection, so that its connection can be reused.
async fn discard_body(
    body: Incoming,
    connection: Connection,
    upstream: &Upstream,
    reply: &ResponseMetadata,
) {
    let rest = buffer::discard(body, MAX_REJECTION_BODY_BYTES);
    let rest = tokio::time::timeout(REJECTION_BODY_TIMEOUT.duration(), rest).await;
    if rest == Ok(true) && !reply.closes {
        upstream.connection_pool.release(connection, reply.keep);
    }
}

fn send_error(lost: &TransportError) -> SendError {
    match lost {
        TransportError::Unsent(cause) => SendError::Unsent(cause.clone()),
        TransportError::AtLimit(cause) => SendError::AtLimit(cause.clone()),
        TransportError::Sent(cause) => SendError::Lost(Code::UpstreamLost, cause.clone()),
    }
}
