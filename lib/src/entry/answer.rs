//! Answers to callers: errors in the shape of the completions interface, and bodies.

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

/// The body of an answer; an error in it cuts the connection or the stream.
pub type Body = UnsyncBoxBody<Bytes, Failure>;

/// Bytes of a body that are handed over at a time: what the slowest caller has to
/// take within one timeout to show that it reads.
pub const FRAME: usize = 16 << 10;

/// Names the request in every answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Tells client libraries whether they may repeat a request by themselves.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// The exact form of `Retry-After`, which has only whole seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// When to try again after a refusal that gives no time of its own.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// A failure as a caller sees it.
#[derive(Debug, PartialEq, Eq)]
pub struct Problem {
    /// What went wrong.
    pub failure: Failure,
    /// The field of the body at fault.
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

#[derive(Serialize)]
struct Envelope<'a> {
    error: Details<'a>,
}

#[derive(Serialize)]
struct Details<'a> {
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
    /// Returns the JSON that callers read.
    #[must_use]
    pub fn json(&self, id: &Id) -> String {
        let Failure { code, detail, .. } = &self.failure;
        let separator = if detail.is_empty() { "" } else { ". " };
        let envelope = Envelope {
            error: Details {
                message: format!("{detail}{separator}{}", code.hint()),
                r#type: kind(code.status()),
                param: self.param,
                code: code.name(),
                number: code.number(),
                fate: code.fate(),
                request_id: &id.0,
                retry_after_ms: self.retry_after().map(|span| span.0),
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Returns when a caller may try again.
    fn retry_after(&self) -> Option<Millis> {
        let code = self.failure.code;
        let passing = matches!(code.status(), 429 | 503) && code.fate() == Fate::NotRun;
        self.failure
            .retry_after
            .or(passing.then_some(DEFAULT_RETRY_AFTER))
    }

    /// Returns the whole answer.
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
        // Client libraries repeat 409, 429 and 5xx by themselves. What may have
        // run would then run twice, and the caller would never know; this
        // header, which the common libraries heed, stops them.
        if !may_repeat(failure.code) {
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}

/// Makes the answer of an engine's own error: its words under our code.
///
/// What an engine says may quote the prompt, so it goes to the caller and
/// nowhere else.
#[must_use]
pub fn upstream_error(status: StatusCode, error: &[u8], id: &Id) -> Response<Body> {
    let code = Code::UpstreamError;
    let said = serde_json::from_slice::<Value>(error).unwrap_or_default();
    let said = said.get("error").unwrap_or(&said);
    let text = |name: &str| said.get(name).and_then(Value::as_str);
    let envelope = Envelope {
        error: Details {
            message: text("message").unwrap_or(code.hint()).to_owned(),
            r#type: kind(if status.is_client_error() { 400 } else { 502 }),
            param: text("param"),
            code: code.name(),
            number: code.number(),
            fate: code.fate(),
            request_id: &id.0,
            retry_after_ms: None,
        },
    };
    let mut response = json(serde_json::to_string(&envelope).unwrap_or_default());
    *response.status_mut() = if status.is_client_error() {
        status
    } else {
        StatusCode::BAD_GATEWAY
    };
    let headers = response.headers_mut();
    headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
    response
}

fn may_repeat(code: Code) -> bool {
    code.fate() == Fate::NotRun && code != Code::KeyTaken
}

/// Returns the interface's type of error for a status.
fn kind(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=498 => "invalid_request_error",
        _ => "server_error",
    }
}

/// Makes a successful answer of JSON text.
#[must_use]
pub fn json(text: String) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Makes a body of bytes that are all there.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Whole(bytes).boxed_unsync()
}

/// Bytes that are all there, handed over as the caller takes them.
///
/// A body that hands over all its bytes at once has ended before its caller has
/// taken any, and its connection counts as resting from then on; a caller on a
/// slow line would find a long answer cut once the time for rest had passed.
#[derive(Debug)]
struct Whole(Bytes);

impl http_body::Body for Whole {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(FRAME);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Names the request in the answer's head.
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

    /// Symptom: a receipt is booked twice though the layer sent it once.
    /// Sequence: the answer is lost, the layer answers 502, the caller's client
    /// library sends the request again by itself.
    /// Cause: nothing told the library that the first one may have run.
    #[test]
    fn respond_unknown_fate() {
        for code in [Code::UpstreamLost, Code::KeyTaken, Code::UpstreamError] {
            let response = Problem::from(Failure::new(code, "")).respond(&Id("r1".into()));
            assert_eq!(response.headers()["x-should-retry"], "false");
        }
    }
}
