//! Bodies of requests, read whole within bounds.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use super::admission::BufferReservation;
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// The timeout covers the whole body: a pause between pieces alone would let a
/// caller hold a place for as long as it sends a byte now and then.
///
/// # Errors
///
/// [`Code::BodyTooLarge`], [`Code::SenderTooSlow`], [`Code::NodeFull`], or
/// [`Code::BadRequest`] when the body breaks off.
pub async fn read<B>(
    body: B,
    limit: usize,
    timeout: Millis,
    reserve: &mut BufferReservation,
) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
{
    // Refusing by the announced length spares the caller sending the rest.
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    tokio::time::timeout(timeout.duration(), collect(body, limit, reserve))
        .await
        .unwrap_or_else(|_| {
            let detail = format!("the body wasn't whole after {timeout}");
            Err(Failure::new(Code::SenderTooSlow, detail))
        })
}

async fn collect<B>(
    mut body: B,
    limit: usize,
    reserve: &mut BufferReservation,
) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::new(Code::BadRequest, "the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let bytes = whole.len() + data.len();
        if bytes > limit {
            return Err(too_large(limit));
        }
        reserve.grow_to(bytes)?;
        whole.push(data);
    }
    Ok(whole.freeze())
}

/// Returns the refusal of a body that is too large.
pub fn too_large(limit: usize) -> Failure {
    let detail = format!("the body is larger than {limit} bytes");
    Failure::new(Code::BodyTooLarge, detail)
}

/// Pieces joined into one; a single piece, which is the usual case, isn't copied.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
}

impl BodyBuffer {
    /// Returns the length so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Bytes) {
        if self.rest.is_empty() && self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.rest.is_empty() {
            self.rest
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.rest.extend_from_slice(&piece);
    }

    /// Returns the whole.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        self.rest.freeze()
    }
}
