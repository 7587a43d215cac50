//! Reads bodies completely, within limits on size, time and memory.

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
    let collecting = collect(body, limit, reservation);
    let collected = tokio::time::timeout(timeout.duration(), collecting).await;
    let collected = collected.map_or_else(
        |_| {
            let detail = format!("the body wasn't whole after {timeout}");
            Err(Failure::new(Code::SenderTooSlow, detail))
        },
        |collected| collected.map_err(|incomplete| refusal(incomplete, limit)),
    );
    if collected.is_err() {
        // The response may wait for its caller; what the body took is free by then.
        reservation.release();
    }
    collected
}

/// Returns the failure of a request whose body wasn't read to its end.
fn refusal<E>(incomplete: Incomplete<E>, limit: usize) -> Failure {
    match incomplete {
        Incomplete::TooLarge => too_large(limit),
        Incomplete::NoRoom(failure) => failure,
        Incomplete::Broken(_) => Failure::new(Code::BadRequest, "the body broke off"),
    }
}

/// Why a body wasn't read to its end.
#[derive(Debug)]
pub enum Incomplete<E> {
    /// It is larger than the limit, or announces to be.
    TooLarge,
    /// There is no memory for it, or others have a better claim to what it takes.
    NoRoom(Failure),
    /// Its connection broke.
    Broken(E),
}

/// Reads a body of at most `limit` bytes into reserved memory.
///
/// # Errors
///
/// [`Incomplete`]; what the body took stays reserved.
pub async fn collect<B>(
    mut body: B,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Incomplete<B::Error>>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    // The declared length is enough to reject a body that hasn't been sent yet.
    if body.size_hint().lower() > limit as u64 {
        return Err(Incomplete::TooLarge);
    }
    let announced = body.size_hint().exact();
    let mut received = Body::new(announced.and_then(|length| length.try_into().ok()));
    loop {
        let frame = tokio::select! {
            biased;
            failure = reservation.given_up() => return Err(Incomplete::NoRoom(failure)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(Incomplete::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(Incomplete::TooLarge);
        }
        reservation
            .grow_to(received.capacity_with(data.len()))
            .await
            .map_err(Incomplete::NoRoom)?;
        received.push(&data);
    }
    reservation.complete(received.len());
    Ok(received.freeze())
}

/// Reads a body and keeps nothing of it; returns whether it ended within `limit` bytes.
pub async fn discard<B>(mut body: B, limit: usize) -> bool
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return false;
        }
    }
    true
}

/// Returns the failure for a body larger than `limit` bytes.
#[must_use]
pub fn too_large(limit: usize) -> Failure {
    let detail = format!("the body is larger than {limit} bytes");
    Failure::new(Code::BodyTooLarge, detail)
}
