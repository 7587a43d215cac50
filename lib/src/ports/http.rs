//! The one HTTP client under all platform clients.
//!
//! It makes the difference that every promise about a request's fate rests on:
//! whether a failed call may have reached the other side.

use std::error::Error as _;
use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::clock::Millis;
use crate::ports::Error;

/// How long a connection may be silent before the system probes it.
///
/// A watch waits in silence for hours; without probes a service that vanished
/// without closing the connection would leave it waiting for ever.
const KEEPALIVE: Millis = Millis::from_secs(10);

/// Headers that concern one connection only, by RFC 9110, 7.6.1.
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

/// Why a call has no answer.
#[derive(Debug)]
pub(super) enum TransportError {
    /// No byte of the request left, so the other side can't have seen it.
    Unsent(String),
    /// The request, or part of it, may have arrived.
    Sent(String),
}

/// Bounds of the connections that a client keeps.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    /// Longest time to connect.
    pub connect: Millis,
    /// How long an unused connection is kept.
    pub idle: Millis,
}

/// A client with pooled connections.
#[derive(Debug, Clone)]
pub(super) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn new(bounds: Bounds) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(bounds.connect.duration()));
        connector.set_keepalive(Some(KEEPALIVE.duration()));
        connector.set_keepalive_interval(Some(KEEPALIVE.duration()));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(bounds.idle.duration())
            .pool_timer(TokioTimer::new())
            // A client that repeats requests by itself would take the decision
            // about retries from the one place that knows what may be repeated.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request whose URI names the address.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TransportError> {
        self.inner.request(request).await.map_err(|error| {
            let told = describe(&error);
            if error.is_connect() || is_unstarted(&error) {
                TransportError::Unsent(told)
            } else {
                TransportError::Sent(told)
            }
        })
    }
}

/// A service at one address, each of whose calls is bounded in time as a whole.
#[derive(Debug)]
pub(super) struct Endpoint {
    client: Client,
    address: SocketAddr,
    timeout: Millis,
}

impl Endpoint {
    /// Makes an endpoint; `idle` is how long an unused connection is kept.
    pub(super) fn new(address: SocketAddr, timeout: Millis, idle: Millis) -> Self {
        let bounds = Bounds {
            connect: timeout,
            idle,
        };
        Self {
            client: Client::new(bounds),
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

    /// Waits for a call and all that is read of its answer, up to the timeout.
    pub(super) async fn within<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        tokio::time::timeout(self.timeout.duration(), call)
            .await
            .unwrap_or_else(|_| Err(Error::NoAnswer(format!("none within {}", self.timeout))))
    }
}

/// Whether the request was handed back because its connection had ended before.
///
/// hyper marks a request as cancelled only when it gives the whole message back
/// unwritten; `upstream_reset_after_head` in `tests/test_platform.rs` shows
/// that a reset after the head isn't among them.
fn is_unstarted(error: &legacy::Error) -> bool {
    error
        .source()
        .and_then(|cause| cause.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

/// Writes an error with its causes on one line.
pub(super) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

/// Makes the URI of a path at an address.
pub(super) fn uri(address: SocketAddr, path: PathAndQuery) -> Uri {
    let authority =
        Authority::try_from(address.to_string()).expect("a socket address is an authority");
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).expect("scheme, authority and path make a URI")
}

/// Reads a body whole, up to `limit` bytes.
pub(super) async fn whole(body: Incoming, limit: usize) -> Result<Bytes, String> {
    Limited::new(body, limit)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| describe(error.as_ref()))
}

/// Removes the headers that concern one connection only, those that `Connection` names included.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

impl From<TransportError> for Error {
    fn from(lost: TransportError) -> Self {
        match lost {
            TransportError::Unsent(told) => Self::Unreachable(told),
            TransportError::Sent(told) => Self::NoAnswer(told),
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
