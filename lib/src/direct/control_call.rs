//! A short question to an upstream, beside the requests that it runs.

use bytes::Bytes;
use http::{Request, response};
use http_body_util::{BodyExt, Full, Limited};

use super::dialect::Dialect;
use super::upstream::Upstream;
use crate::clock::Millis;

/// How fresh a kept connection has to be for a question.
const FRESH: Millis = Millis(1_000);

/// Longest answer that is read, in bytes: a report names each adapter that an engine holds.
const ANSWER_BYTES: usize = 256 * 1024;

/// Asks, and returns the whole answer; the connection is kept.
///
/// # Errors
///
/// A sentence for people when there is no whole answer. The question may have arrived.
pub async fn send(
    dialect: &dyn Dialect,
    upstream: &Upstream,
    question: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), String> {
    let mut connection = upstream
        .link
        .take(FRESH)
        .await
        .map_err(|lost| format!("{lost:?}"))?;
    let response = connection
        .send(question)
        .await
        .map_err(|lost| format!("{lost:?}"))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?
        .to_bytes();
    let reply = dialect.response_metadata(&head);
    if !reply.closes {
        upstream.link.keep(connection, reply.keep);
    }
    Ok((head, body))
}
