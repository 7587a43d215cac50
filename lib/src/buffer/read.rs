//! Reads request bodies completely, within limits on size, time and memory.

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{Body, Reservation};
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// The timeout covers the whole body: with a timeout between frames only, a caller could occupy
/// memory for as long as it sends a byte now and then.
///
/// # Errors
///
/// [`Code::BodyTooLarge`], [`Code::SenderTooSlow`], [`Code::NodeFull`], or
/// [`Code::BadRequest`] when the body ends with an error.
pub async fn read<B>(
    body: B,
    limit: usize,
    timeout: Millis,
    reservation: &mut Reservation,
) -> Result<Bytes, Failure>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    // Rejects by the declared length, before the caller has sent the whole body.
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let collected =
        tokio::time::timeout(timeout.duration(), collect(body, limit, reservation)).await;
    let collected = collected.unwrap_or_else(|_| {
        let detail = format!("the body wasn't whole after {timeout}");
        Err(Failure::new(Code::SenderTooSlow, detail))
    });
    if collected.is_err() {
        // The response may wait for its caller; what the body took is free by then.
        reservation.release();
    }
    collected
}

async fn collect<B>(
    mut body: B,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Failure>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact();
    let mut received = Body::new(announced.and_then(|length| length.try_into().ok()));
    loop {
        let frame = tokio::select! {
            biased;
            failure = reservation.given_up() => return Err(failure),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|_| Failure::new(Code::BadRequest, "the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(too_large(limit));
        }
        reservation
            .grow_to(received.capacity_with(data.len()))
            .await?;
        received.push(&data);
    }
    reservation.complete(received.len());
    Ok(received.freeze())
}

/// Returns the failure for a body larger than `limit` bytes.
#[must_use]
pub fn too_large(limit: usize) -> Failure {
    let detail = format!("the body is larger than {limit} bytes");
    Failure::new(Code::BodyTooLarge, detail)
}
