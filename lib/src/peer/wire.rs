//! Conversion of attempts and responses to and from the messages of the peer service.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, request, response};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use crate::owner::WaitTimes;
use crate::request::{Class, Id, Ticket};
use crate::runner::{Attempt, Share, Work};
use crate::schema::peer::{AnswerHead, Down, End, Head, Header, down};

/// Maximum size of a piece of a body in one message.
///
/// It bounds how long the messages of other requests on the connection have to wait, and stays
/// below the maximum message size.
const MAX_PIECE_BYTES: usize = 256 << 10;

/// Encodes the head of an attempt; the deadline is sent as the time that remains until it.
pub(super) fn encode_head(attempt: &Attempt, now: Millis) -> Head {
    let ticket = &attempt.ticket;
    let adapter = ticket.adapter.as_ref();
    let mut head = Head {
        request_id: ticket.id.to_string(),
        upstream: attempt.upstream.to_string(),
        account: ticket.account.to_string(),
        template: ticket.template.to_string(),
        pool: ticket.pool.to_string(),
        revision: ticket.revision,
        adapter: adapter.map(|it| it.name.to_string()).unwrap_or_default(),
        version: adapter.map(|it| it.version.to_string()).unwrap_or_default(),
        base_model: adapter
            .map(|it| it.base_model.to_string())
            .unwrap_or_default(),
        class: ticket.class as u32,
        weight: ticket.weight,
        idempotent: ticket.idempotent,
        remaining_ms: ticket.deadline.since(now).0,
        prompt_tokens: ticket.prompt_tokens,
        max_output_tokens: ticket.max_output_tokens,
        attempt: attempt.number,
        account_weight: attempt.share.weight,
        account_max_in_flight: attempt.share.max_in_flight,
        account_max_queued: attempt.share.max_queued,
        last: attempt.last,
        ..Head::default()
    };
    match &attempt.work {
        Work::Completion { path, stream, .. } => {
            head.path = path.to_string();
            head.stream = *stream;
        }
        Work::Call { head: parts, .. } => {
            head.method = parts.method.to_string();
            head.path = parts.uri.to_string();
            head.headers = encode_headers(&parts.headers);
        }
    }
    head
}

/// Returns the body of an attempt, which is sent after its head.
pub(super) fn body(work: &Work) -> &Bytes {
    match work {
        Work::Completion { body, .. } | Work::Call { body, .. } => body,
    }
}

/// Decodes an attempt; `now` is when its head was received.
///
/// # Errors
///
/// Returns [`Code::BadRequest`] when a method, a path or a header is invalid, which means that
/// the peer runs another version or is faulty. Nothing has run then.
pub(super) fn decode_attempt(head: Head, body: Bytes, now: Millis) -> Result<Attempt, Failure> {
    let adapter = (!head.adapter.is_empty()).then(|| Adapter {
        base_model: head.base_model.into(),
        name: head.adapter.into(),
        version: head.version.into(),
    });
    // Only calls to services have a method; completions don't.
    let work = if head.method.is_empty() {
        Work::Completion {
            path: head.path.into(),
            body,
            stream: head.stream,
        }
    } else {
        let head = Box::new(decode_call_head(&head.method, &head.path, &head.headers)?);
        Work::Call { head, body }
    };
    Ok(Attempt {
        ticket: Ticket {
            id: Id(head.request_id.into()),
            account: head.account.into(),
            template: head.template.into(),
            pool: head.pool.into(),
            adapter,
            class: Class::from_index(head.class),
            weight: head.weight.max(1),
            idempotent: head.idempotent,
            deadline: now + Millis(head.remaining_ms),
            prompt_tokens: head.prompt_tokens,
            max_output_tokens: head.max_output_tokens,
            revision: head.revision,
        },
        share: Share {
            weight: head.account_weight.max(1),
            max_in_flight: head.account_max_in_flight,
            max_queued: head.account_max_queued,
        },
        number: head.attempt,
        last: head.last,
        upstream: head.upstream.into(),
        work,
    })
}

fn decode_call_head(
    method: &str,
    path: &str,
    fields: &[Header],
) -> Result<request::Parts, Failure> {
    let unreadable = |_| Failure::new(Code::BadRequest, "the call's head can't be read");
    let request = http::Request::builder().method(method).uri(path).body(());
    let (mut parts, ()) = request.map_err(unreadable)?.into_parts();
    parts.headers = decode_headers(fields)?;
    Ok(parts)
}

/// Encodes the head of a response.
pub(super) fn encode_response_head(head: &response::Parts) -> Down {
    let waits = head
        .extensions
        .get::<WaitTimes>()
        .copied()
        .unwrap_or_default();
    down(down::Part::Head(AnswerHead {
        status: u32::from(head.status.as_u16()),
        headers: encode_headers(&head.headers),
        queued_ms: waits.queued.0,
        load_wait_ms: waits.load.0,
    }))
}

/// Decodes the head of a response.
pub(super) fn decode_response_head(head: &AnswerHead) -> Result<response::Parts, Failure> {
    let unreadable = || Failure::new(Code::PeerLost, "the peer's answer can't be read");
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let (mut parts, ()) = http::Response::new(()).into_parts();
    parts.status = status.ok_or_else(unreadable)?;
    parts.headers = decode_headers(&head.headers).map_err(|_| unreadable())?;
    parts.extensions.insert(WaitTimes {
        queued: Millis(head.queued_ms),
        load: Millis(head.load_wait_ms),
    });
    Ok(parts)
}

/// Encodes a piece of a response body as one or more messages.
///
/// A response that isn't streamed is a single piece, which may exceed the maximum message size.
/// Sent as one message it would be rejected, and the engine's work would be lost.
pub(super) fn data_messages(piece: Bytes) -> Vec<Down> {
    split_into_pieces(piece)
        .map(|part| down(down::Part::Data(part)))
        .collect()
}

/// Splits bytes into pieces that fit into one message each.
pub(super) fn split_into_pieces(mut bytes: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        let length = bytes.len().min(MAX_PIECE_BYTES);
        (length > 0).then(|| bytes.split_to(length))
    })
}

/// Encodes the end message of a response.
pub(super) fn encode_end(result: &Result<(), Failure>) -> Down {
    let end = match result {
        Ok(()) => End::default(),
        Err(failure) => End {
            code: failure.code.number(),
            fate: failure.fate().number(),
            retry_after_ms: failure.retry_after.unwrap_or_default().0,
            detail: failure.detail.clone(),
            ..End::default()
        },
    };
    down(down::Part::End(end))
}

/// Decodes the end message of a response.
pub(super) fn decode_end(end: End) -> Result<(), Failure> {
    if end.code == 0 {
        return Ok(());
    }
    // A newer node may send a code that this one doesn't know; the fate decides then.
    let code = Code::from_number(end.code).unwrap_or(match Fate::from_number(end.fate) {
        Fate::NotRun => Code::UpstreamRefused,
        Fate::Ran => Code::UpstreamError,
        Fate::Unknown => Code::PeerLost,
    });
    let failure = Failure::new(code, end.detail);
    Err(match end.retry_after_ms {
        0 => failure,
        delay => failure.retry_after(Millis(delay)),
    })
}

fn down(part: down::Part) -> Down {
    Down { part: Some(part) }
}

fn encode_headers(map: &HeaderMap) -> Vec<Header> {
    map.iter()
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn decode_headers(fields: &[Header]) -> Result<HeaderMap, Failure> {
    let unreadable = || Failure::new(Code::BadRequest, "a header can't be read");
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| unreadable())?;
        let value = HeaderValue::from_maybe_shared(field.value.clone());
        map.append(name, value.map_err(|_| unreadable())?);
    }
    Ok(map)
}
