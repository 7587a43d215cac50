//! What a caller gets: heads and bodies of answers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

use super::Body;
use crate::direct::attempt::UpstreamResponse;
use crate::direct::relay::ResponseAborted;
use crate::error::Failure;
use crate::ports::http::remove_hop_by_hop;

/// Returns the head that a caller gets: the upstream's own, without what concerns its connection.
pub(super) fn response_head(answer: &UpstreamResponse) -> http::response::Parts {
    let mut head = answer.head.clone();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    head
}

/// Makes an answer whose body is known, with its length.
///
/// The body is wrapped later and doesn't tell its length any more; without the
/// header it would go out in chunks.
pub(super) fn whole_response(mut head: http::response::Parts, body: Bytes) -> Response<Body> {
    head.headers
        .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    Response::from_parts(head, Full::new(body).map_err(never).boxed_unsync())
}

/// Makes the answer that tells a caller of a failure.
pub(super) fn refusal(failure: &Failure) -> Response<Body> {
    let text = format!("{} {}\n", failure.code.number(), failure.code.name());
    let (head, ()) = Response::new(()).into_parts();
    let mut response = whole_response(head, text.into());
    *response.status_mut() =
        StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(span) = failure.retry_after {
        let seconds = format!("{}.{:03}", span.0 / 1000, span.0 % 1000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn never(error: std::convert::Infallible) -> ResponseAborted {
    match error {}
}
