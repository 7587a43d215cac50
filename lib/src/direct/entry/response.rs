//! Builds the responses that callers get.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

use super::Body;
use crate::direct::attempt::UpstreamResponse;
use crate::direct::relay::ResponseAborted;
use crate::error::Failure;
use crate::ports::http::remove_hop_by_hop;

/// Returns the head for the caller: the upstream's, without the headers of its connection.
pub(super) fn response_head(response: &UpstreamResponse) -> http::response::Parts {
    let mut head = response.head.clone();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    head
}

/// Builds a response with a complete body and its `Content-Length`.
///
/// The body is wrapped later and then no longer reports its length; without the header it would
/// be sent with chunked encoding.
pub(super) fn full_response(mut head: http::response::Parts, body: Bytes) -> Response<Body> {
    head.headers
        .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    Response::from_parts(head, Full::new(body).map_err(never).boxed_unsync())
}

/// Builds the response that reports a failure to the caller.
pub(super) fn error_response(failure: &Failure) -> Response<Body> {
    let text = format!("{} {}\n", failure.code.number(), failure.code.name());
    let (head, ()) = Response::new(()).into_parts();
    let mut response = full_response(head, text.into());
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
