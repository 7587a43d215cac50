//! Whether an answer is the one that was asked for, and under which name its caller sees it.
//!
//! An engine that restarts, or a connection that is reused after a cancelled
//! call, can hand over the answer to another request. One would notice by a
//! caller reading a stranger's text. Each piece therefore has to name this
//! request and this adapter and version before it is passed on.

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

/// The fields of an answer that are read; everything else passes through as it came.
#[derive(Debug, Deserialize)]
struct Piece<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    model: Cow<'a, str>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

/// The field of a request that is read and replaced.
#[derive(Debug, Deserialize)]
struct Request<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
}

/// Why a piece of an answer isn't passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Error {
    /// It names another request.
    #[error("the answer names another request")]
    Request,
    /// It names another adapter or version.
    #[error("the answer names another adapter")]
    Adapter,
    /// It is no JSON, or not in the form that the interface has.
    #[error("the answer can't be read")]
    Unreadable,
    /// The engine says that it failed after it had begun.
    #[error("the engine reported an error in the middle of its answer")]
    Engine,
}

impl Error {
    /// Returns the label under which dropped answers are counted, if this is one.
    pub(super) const fn dropped(self) -> Option<&'static str> {
        match self {
            Self::Request => Some("request"),
            Self::Adapter => Some("adapter"),
            Self::Unreadable => Some("unreadable"),
            Self::Engine => None,
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let code = match error {
            Error::Request | Error::Adapter => Code::WrongAnswer,
            Error::Unreadable => Code::AnswerCut,
            Error::Engine => Code::UpstreamError,
        };
        Self::new(code, error.to_string())
    }
}

/// What the answer to one request has to name.
#[derive(Debug)]
pub(super) struct Check {
    id: Name,
    engine_name: String,
    /// The template's name, escaped as the inside of a JSON string.
    template: String,
}

impl Check {
    /// Makes the check of a request's answer.
    pub(super) fn new(ticket: &Ticket, adapter: &Adapter) -> Self {
        Self {
            id: ticket.id.0.clone(),
            engine_name: adapter.engine_name(),
            template: escaped(&ticket.template),
        }
    }

    /// Returns the template's name as it goes between the quotes of a JSON string.
    pub(super) fn template(&self) -> &[u8] {
        self.template.as_bytes()
    }

    /// Checks one JSON object and returns where between its quotes the model's name stands.
    pub(super) fn inspect(&self, json: &[u8]) -> Result<Range<usize>, Error> {
        let piece: Piece<'_> = serde_json::from_slice(json).map_err(|_| Error::Unreadable)?;
        if piece.error.is_some() {
            return Err(Error::Engine);
        }
        if !piece.id.contains(&*self.id) {
            return Err(Error::Request);
        }
        if piece.model != self.engine_name {
            return Err(Error::Adapter);
        }
        span(json, &piece.model).ok_or(Error::Unreadable)
    }

    /// Checks a whole answer and returns it with the template's name in place of the engine's.
    pub(super) fn whole(&self, json: &[u8]) -> Result<Bytes, Error> {
        let range = self.inspect(json)?;
        Ok(spliced(json, range, self.template()))
    }
}

/// Returns a request's body with the engine's name of the adapter as its model.
///
/// # Errors
///
/// [`Code::BadRequest`] when the body names no model, or more than one: which of
/// two would count is the engine's choice, and might be another adapter.
pub(super) fn addressed(body: &Bytes, adapter: &Adapter) -> Result<Bytes, Failure> {
    let unreadable = || Failure::new(Code::BadRequest, "the body doesn't name one model");
    let request: Request<'_> = serde_json::from_slice(body).map_err(|_| unreadable())?;
    let range = span(body, &request.model).ok_or_else(unreadable)?;
    Ok(spliced(
        body,
        range,
        escaped(&adapter.engine_name()).as_bytes(),
    ))
}

/// Returns where a string stands in the JSON that it was read from.
///
/// A string with escapes was copied while it was read, so that it lies
/// elsewhere; it is searched for by the one form that serializers write.
fn span(json: &[u8], read: &str) -> Option<Range<usize>> {
    let start = read.as_ptr().addr().checked_sub(json.as_ptr().addr());
    if let Some(start) = start.filter(|start| start + read.len() <= json.len()) {
        return Some(start..start + read.len());
    }
    let wanted = escaped(read);
    let start = json
        .windows(wanted.len().max(1))
        .position(|window| window == wanted.as_bytes())?;
    Some(start..start + wanted.len())
}

fn spliced(json: &[u8], range: Range<usize>, name: &[u8]) -> Bytes {
    let mut out = Vec::with_capacity(json.len() - range.len() + name.len());
    out.extend_from_slice(&json[..range.start]);
    out.extend_from_slice(name);
    out.extend_from_slice(&json[range.end..]);
    out.into()
}

fn escaped(name: &str) -> String {
    let quoted = serde_json::Value::from(name).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}
