//! Control requests to an upstream, such as orders and status queries.

use bytes::Bytes;
use http::{Request, response};
use http_body_util::{BodyExt, Full, Limited};

use super::dialect::{Dialect, ResponseMetadata};
use super::upstream::Upstream;
use crate::clock::{Clock, Millis};
use crate::ports::connection_pool::{Connection, TransportError};

/// Maximum idle time of a kept connection that a control request reuses.
const MAX_CONNECTION_IDLE: Millis = Millis(1_000);

/// Maximum length of a response in bytes; a status response lists every adapter of the engine.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Sends a control request and returns the complete response; the connection is kept for reuse.
///
/// # Errors
///
/// A [`TransportError`] when there is no complete response, which tells whether the upstream may
/// have received the request.
pub async fn send(
    dialect: &dyn Dialect,
    clock: &dyn Clock,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), TransportError> {
    let acquired = upstream.connection_pool.acquire(MAX_CONNECTION_IDLE).await;
    exchange(dialect, clock, upstream, request, acquired).await
}

/// Sends a control request on a connection that has carried none before.
///
/// It is for requests whose response would be believed if it were a second copy of the response to
/// another one.
///
/// # Errors
///
/// The same as those of [`send`].
pub async fn send_unshared(
    dialect: &dyn Dialect,
    clock: &dyn Clock,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), TransportError> {
    let pool = &upstream.connection_pool;
    let acquired = pool.acquire_unshared(MAX_CONNECTION_IDLE).await;
    exchange(dialect, clock, upstream, request, acquired).await
}

async fn exchange(
    dialect: &dyn Dialect,
    clock: &dyn Clock,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
    acquired: Result<Connection, TransportError>,
) -> Result<(response::Parts, Bytes), TransportError> {
    let mut connection = acquired?;
    let (head, body) = connection.send(request).await?.into_parts();
    let reply = dialect.response_metadata(&head);
    check_response(&reply)?;
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| TransportError::Sent(error.to_string()))?
        .to_bytes();
    if head.status.is_success() {
        upstream.record_notice(reply.rejections, clock.now());
    }
    if !reply.closes {
        upstream.connection_pool.release(connection, reply.keep);
    }
    Ok((head, body))
}

/// Checks that a response can be one to a control request.
///
/// # Errors
///
/// [`TransportError::Sent`] if it names a caller's request, and so belongs to an earlier use of the connection.
pub fn check_response(reply: &ResponseMetadata) -> Result<(), TransportError> {
    match &reply.id {
        Some(id) => Err(TransportError::Sent(format!(
            "the answer names the request {id}"
        ))),
        None => Ok(()),
    }
}
