//! Reads request bodies completely, within limits on size, time and buffered bytes.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use super::admission::BufferReservation;
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// The timeout covers the whole body: with a timeout between frames only, a caller could occupy
/// capacity for as long as it sends a byte now and then.
///
/// # Errors
///
/// [`Code::BodyTooLarge`], [`Code::SenderTooSlow`], [`Code::NodeFull`], or
/// [`Code::BadRequest`] when the body ends with an error.
pub async fn read<B>(
    body: B,
    limit: usize,
    timeout: Millis,
    reserve: &mut BufferReservation,
) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
{
    // Rejects by the declared length, before the caller has sent the whole body.
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
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::new(Code::BadRequest, "the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let bytes = buffer.len() + data.len();
        if bytes > limit {
            return Err(too_large(limit));
        }
        reserve.grow_to(bytes)?;
        buffer.push(data);
    }
    Ok(buffer.freeze())
}

/// Returns the failure for a body larger than `limit` bytes.
pub fn too_large(limit: usize) -> Failure {
    let detail = format!("the body is larger than {limit} bytes");
    Failure::new(Code::BodyTooLarge, detail)
}

/// Joins the frames of a body; a body of a single frame, the usual case, isn't copied.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
}

impl BodyBuffer {
    /// Returns the number of bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Appends a frame's data.
    pub fn push(&mut self, data: Bytes) {
        if self.rest.is_empty() && self.first.is_empty() {
            self.first = data;
            return;
        }
        if self.rest.is_empty() {
            self.rest
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.rest.extend_from_slice(&data);
    }

    /// Returns the whole body.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        self.rest.freeze()
    }
}
