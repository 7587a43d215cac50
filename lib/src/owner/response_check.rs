//! Checks that a response belongs to its request, and rewrites model names.
//!
//! An engine that restarts, or a connection that is reused after a cancelled
//! call, can deliver the response to another request, and a caller would read
//! another caller's text. Each JSON object of a response must therefore name this
//! request, adapter and version before it is forwarded.
//!
//! Callers know an adapter by its template's name, so requests are sent with the
//! engine's name of the adapter and responses are forwarded with the template's.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;
use serde::Deserialize;
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::adapter::Adapter;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::request::Ticket;

/// The fields of a response object that are read; the rest is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct ResponseFields<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    model: Cow<'a, str>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

/// The field of a request body that is read and replaced.
#[derive(Debug, Deserialize)]
struct RequestFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
}

/// Why part of a response isn't forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum CheckError {
    /// It names another request.
    #[error("the answer names another request")]
    WrongRequest,
    /// It names another adapter or version.
    #[error("the answer names another adapter")]
    WrongAdapter,
    /// It isn't valid JSON of the expected form.
    #[error("the answer can't be read")]
    Malformed,
    /// The engine reported an error after the response had begun.
    #[error("the engine reported an error in the middle of its answer")]
    EngineError,
}

impl CheckError {
    /// Returns the metric label of responses dropped for this reason.
    ///
    /// `None` if they aren't counted as dropped.
    pub(super) const fn drop_label(self) -> Option<&'static str> {
        match self {
            Self::WrongRequest => Some("request"),
            Self::WrongAdapter => Some("adapter"),
            Self::Malformed => Some("unreadable"),
            Self::EngineError => None,
        }
    }
}

impl From<CheckError> for Failure {
    fn from(error: CheckError) -> Self {
        let code = match error {
            CheckError::WrongRequest | CheckError::WrongAdapter => Code::WrongAnswer,
            CheckError::Malformed => Code::AnswerCut,
            CheckError::EngineError => Code::UpstreamError,
        };
        Self::new(code, error.to_string())
    }
}

/// The request ID and model name that the response to one request must contain.
#[derive(Debug)]
pub(super) struct ResponseCheck {
    request_id: Name,
    engine_name: String,
    /// The template's name, escaped for a JSON string and without quotes.
    template: String,
}

impl ResponseCheck {
    /// Creates the check for the response to a request.
    pub(super) fn new(ticket: &Ticket, adapter: &Adapter) -> Self {
        Self {
            request_id: ticket.id.0.clone(),
            engine_name: adapter.engine_name(),
            template: json_escaped(&ticket.template),
        }
    }

    /// Returns the template's name, escaped for a JSON string and without quotes.
    pub(super) fn template(&self) -> &[u8] {
        self.template.as_bytes()
    }

    /// Checks one JSON object and returns the range of the model name inside its quotes.
    pub(super) fn check_object(&self, json: &[u8]) -> Result<Range<usize>, CheckError> {
        let fields: ResponseFields<'_> =
            serde_json::from_slice(json).map_err(|_| CheckError::Malformed)?;
        if fields.error.is_some() {
            return Err(CheckError::EngineError);
        }
        if !fields.id.contains(&*self.request_id) {
            return Err(CheckError::WrongRequest);
        }
        if fields.model != self.engine_name {
            return Err(CheckError::WrongAdapter);
        }
        string_range(json, &fields.model).ok_or(CheckError::Malformed)
    }

    /// Checks a complete response and replaces the engine's model name by the template's.
    pub(super) fn check_and_rename(&self, json: &[u8]) -> Result<Bytes, CheckError> {
        let range = self.check_object(json)?;
        Ok(splice(json, range, self.template()))
    }
}

/// Returns a request body with its model replaced by the engine's name of the adapter.
///
/// # Errors
///
/// [`Code::BadRequest`] when the body names no model, or more than one: the engine
/// might use the one that wasn't replaced.
pub(super) fn with_engine_model(body: &Bytes, adapter: &Adapter) -> Result<Bytes, Failure> {
    let malformed = || Failure::new(Code::BadRequest, "the body doesn't name one model");
    let request: RequestFields<'_> = serde_json::from_slice(body).map_err(|_| malformed())?;
    let range = string_range(body, &request.model).ok_or_else(malformed)?;
    Ok(splice(
        body,
        range,
        json_escaped(&adapter.engine_name()).as_bytes(),
    ))
}

/// Returns the range of a string in the JSON that it was parsed from.
///
/// A string with escapes is a copy outside that JSON. It is found by searching for
/// its escaped form as `serde_json` writes it.
fn string_range(json: &[u8], parsed: &str) -> Option<Range<usize>> {
    let start = parsed.as_ptr().addr().checked_sub(json.as_ptr().addr());
    if let Some(start) = start.filter(|start| start + parsed.len() <= json.len()) {
        return Some(start..start + parsed.len());
    }
    let wanted = json_escaped(parsed);
    let start = json
        .windows(wanted.len().max(1))
        .position(|window| window == wanted.as_bytes())?;
    Some(start..start + wanted.len())
}

/// Replaces a range of JSON by a name.
fn splice(json: &[u8], range: Range<usize>, name: &[u8]) -> Bytes {
    let mut out = Vec::with_capacity(json.len() - range.len() + name.len());
    out.extend_from_slice(&json[..range.start]);
    out.extend_from_slice(name);
    out.extend_from_slice(&json[range.end..]);
    out.into()
}

/// Escapes a name for a JSON string, without the quotes.
fn json_escaped(name: &str) -> String {
    let quoted = serde_json::Value::from(name).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}
