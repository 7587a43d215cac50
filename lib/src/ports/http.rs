//! HTTP client shared by the clients of external systems.
//!
//! A failed call tells whether the server may have received the request. All
//! guarantees about whether a request was run depend on this distinction.

use std::error::Error as _;
use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::clock::Millis;
use crate::ports::Error;

/// Idle time before TCP keepalive probes start, and the interval between them.
///
/// A watch may receive no data for hours. Without probes it would wait forever
/// for a service that vanished without closing the connection.
const KEEPALIVE_INTERVAL: Millis = Millis::from_secs(10);

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a request got no response.
#[derive(Debug)]
pub(super) enum TransportError {
    /// No byte of the request was sent, so the server can't have seen it.
    Unsent(String),
    /// The server may have received the request or part of it.
    Sent(String),
}

/// Timeouts of a client's connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionTimeouts {
    /// Maximum time to establish a connection.
    pub connect: Millis,
    /// How long an idle connection is kept.
    pub idle: Millis,
}

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub(super) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn new(timeouts: ConnectionTimeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect.duration()));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL.duration()));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL.duration()));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(timeouts.idle.duration())
            .pool_timer(TokioTimer::new())
            // The callers decide about retries: they know which requests are safe to repeat.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request to the address in its URI.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TransportError> {
        self.inner.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            if error.is_connect() || was_never_sent(&error) {
                TransportError::Unsent(cause)
            } else {
                TransportError::Sent(cause)
            }
        })
    }

    /// Sends a request, and returns the connection that the response arrives on as well.
    pub(super) async fn send_on_carrier(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Carrier), TransportError> {
        let carrier = Carrier(capture_connection(&mut request));
        Ok((self.send(request).await?, carrier))
    }
}

/// The connection on which a request was sent.
#[derive(Debug)]
pub(super) struct Carrier(CaptureConnection);

impl Carrier {
    /// Keeps the connection from carrying further requests.
    pub(super) fn retire(&self) {
        if let Some(connection) = &*self.0.connection_metadata() {
            connection.poison();
        }
    }
}

/// A service at one address, with a timeout for each whole call.
#[derive(Debug)]
pub(super) struct Endpoint {
    client: Client,
    address: SocketAddr,
    timeout: Millis,
}

impl Endpoint {
    /// Creates an endpoint; `idle` is how long an idle connection is kept.
    pub(super) fn new(address: SocketAddr, timeout: Millis, idle: Millis) -> Self {
        let timeouts = ConnectionTimeouts {
            connect: timeout,
            idle,
        };
        Self {
            client: Client::new(timeouts),
            address,
            timeout,
        }
    }

    /// Sends a request without a body.
    pub(super) async fn send(
        &self,
        method: Method,
        path: PathAndQuery,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(uri(self.address, path))
            .body(Full::default())
            .map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(self.client.send(request).await?)
    }

    /// Runs a call, including reading the response body, with the timeout.
    pub(super) async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        tokio::time::timeout(self.timeout.duration(), call)
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer(format!("none within {}", self.timeout))))
    }
}

/// Returns whether the connection was closed before any of the request was written.
///
/// hyper reports a request as canceled only if no byte of it was written. A reset
/// after the request head isn't reported so; `upstream_reset_after_head` in
/// `tests/test_ports_upstream.rs` checks this.
fn was_never_sent(error: &legacy::Error) -> bool {
    error
        .source()
        .and_then(|cause| cause.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

/// Formats an error and its chain of sources on one line.
pub(super) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

/// Builds the URI of a path on an address.
pub(super) fn uri(address: SocketAddr, path: PathAndQuery) -> Uri {
    let authority =
        Authority::try_from(address.to_string()).expect("a socket address is an authority");
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).expect("scheme, authority and path make a URI")
}

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, String> {
    Limited::new(body, limit)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| error_chain(error.as_ref()))
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

impl From<TransportError> for Error {
    fn from(error: TransportError) -> Self {
        match error {
            TransportError::Unsent(cause) => Self::Unreachable(cause),
            TransportError::Sent(cause) => Self::NoAnswer(cause),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn remove_hop_by_hop_named_in_connection() {
        let mut headers = HeaderMap::new();
        headers.insert("connection", "close, x-one".parse().unwrap());
        headers.insert("x-one", "1".parse().unwrap());
        headers.insert("x-two", "2".parse().unwrap());
        headers.insert("transfer-encoding", "chunked".parse().unwrap());
        remove_hop_by_hop(&mut headers);
        assert_eq!(headers.len(), 1);
        assert_eq!(headers["x-two"], "2");
    }
}
