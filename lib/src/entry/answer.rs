//! Responses to callers: response bodies, and errors in the format of the completions interface.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use serde::Serialize;
use serde_json::Value;

use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use crate::request::Id;

/// A response body; an error in it closes the connection or resets the HTTP/2 stream.
pub type Body = UnsyncBoxBody<Bytes, Failure>;

/// Largest body frame, in bytes: the amount that a caller has to read within one write timeout so
/// as not to be given up.
pub const MAX_FRAME_BYTES: usize = 16 << 10;

/// Carries the request id in every response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Tells client libraries whether they may retry a request automatically.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Like `Retry-After`, but in milliseconds; `Retry-After` has only whole seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Retry delay for a rejection that doesn't specify one.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// A failure as reported to a caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Problem {
    /// What went wrong.
    pub failure: Failure,
    /// The field of the request's body that caused it.
    pub param: Option<&'static str>,
}

impl From<Failure> for Problem {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            param: None,
        }
    }
}

/// The JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    message: String,
    r#type: &'static str,
    param: Option<&'a str>,
    code: &'static str,
    number: u32,
    fate: Fate,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the error as JSON.
    #[must_use]
    pub fn json(&self, id: &Id) -> String {
        let Failure { code, detail, .. } = &self.failure;
        let separator = if detail.is_empty() { "" } else { ". " };
        let body = ErrorBody {
            error: ErrorDetails {
                message: format!("{detail}{separator}{}", code.hint()),
                r#type: error_type(code.status()),
                param: self.param,
                code: code.name(),
                number: code.number(),
                fate: code.fate(),
                request_id: &id.0,
                retry_after_ms: self.retry_after().map(|span| span.0),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns how long a caller should wait before a retry, if one may help.
    fn retry_after(&self) -> Option<Millis> {
        let code = self.failure.code;
        let is_temporary = matches!(code.status(), 429 | 503) && code.fate() == Fate::NotRun;
        self.failure
            .retry_after
            .or(is_temporary.then_some(DEFAULT_RETRY_AFTER))
    }

    /// Returns the error response.
    #[must_use]
    pub fn respond(&self, id: &Id) -> Response<Body> {
        let failure = &self.failure;
        let mut response = json(self.json(id));
        *response.status_mut() = StatusCode::from_u16(failure.code.status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        if let Some(span) = self.retry_after() {
            headers.insert(
                RETRY_AFTER,
                HeaderValue::from(span.0.div_ceil(1_000).max(1)),
            );
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(span.0));
        }
        // Client libraries retry 409, 429 and 5xx automatically. A request that may have run would
        // then run twice without the caller noticing; the common libraries respect this header.
        if !may_retry(failure.code) {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}

/// Returns the response for an engine's own error: the engine's message with this layer's code.
///
/// The message may quote the prompt, so it is sent to the caller only and never logged.
#[must_use]
pub fn upstream_error(status: StatusCode, error: &[u8], id: &Id) -> Response<Body> {
    let code = Code::UpstreamError;
    let reported = serde_json::from_slice::<Value>(error).unwrap_or_default();
    let reported = reported.get("error").unwrap_or(&reported);
    let field = |name: &str| reported.get(name).and_then(Value::as_str);
    let body = ErrorBody {
        error: ErrorDetails {
            message: field("message").unwrap_or(code.hint()).to_owned(),
            r#type: error_type(if status.is_client_error() { 400 } else { 502 }),
            param: field("param"),
            code: code.name(),
            number: code.number(),
            fate: code.fate(),
            request_id: &id.0,
            retry_after_ms: None,
        },
    };
    let mut response = json(serde_json::to_string(&body).unwrap_or_default());
    *response.status_mut() = if status.is_client_error() {
        status
    } else {
        StatusCode::BAD_GATEWAY
    };
    let headers = response.headers_mut();
    headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
    response
}

/// Whether a client library may retry automatically after this failure.
fn may_retry(code: Code) -> bool {
    code.fate() == Fate::NotRun && code != Code::KeyTaken
}

/// Returns the completions interface's error type for a status.
fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=498 => "invalid_request_error",
        _ => "server_error",
    }
}

/// Returns a successful response with a JSON body.
#[must_use]
pub fn json(text: String) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Returns a body of bytes that are completely in memory.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    FullBody(bytes).boxed_unsync()
}

/// Bytes in memory, yielded in frames as the caller reads them.
///
/// A body that yields all its bytes in one frame ends before the caller has read any of them, and
/// its connection counts as idle from then on; a long response to a caller on a slow link would be
/// truncated once the idle timeout has passed.
#[derive(Debug)]
struct FullBody(Bytes);

impl http_body::Body for FullBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(MAX_FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Sets the request id header of a response.
pub fn set_request_id(response: &mut Response<Body>, id: &Id) {
    if let Ok(value) = HeaderValue::from_str(&id.0) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn respond_not_run() {
        let failure = Failure::new(Code::QueueFull, "full").retry_after(Millis(1_200));
        let response = Problem::from(failure).respond(&Id("r1".into()));
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["retry-after"], "2");
        assert_eq!(response.headers()["retry-after-ms"], "1200");
        assert!(!response.headers().contains_key("x-should-retry"));
    }

    /// Guards against a request that isn't idempotent running twice: the upstream's response is
    /// lost, the layer responds with 502, and the caller's client library retries automatically
    /// unless a header tells it that the request may have run.
    #[test]
    fn respond_unknown_fate() {
        for code in [Code::UpstreamLost, Code::KeyTaken, Code::UpstreamError] {
            let response = Problem::from(Failure::new(code, "")).respond(&Id("r1".into()));
            assert_eq!(response.headers()["x-should-retry"], "false");
        }
    }
}
