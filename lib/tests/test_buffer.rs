//! Memory of request bodies: who finds room in a full pool, and what a body takes.

use std::sync::Arc;

use bytes::Bytes;
use chivevalve::buffer::{self, Body, Limit, Pool, Reservation, Source};
use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::error::Code;
use chivevalve::metrics::Metrics;
use futures::FutureExt;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use quickcheck::{Gen, QuickCheck};

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;

fn pool() -> (Arc<Manual>, Arc<Pool>) {
    let clock = Arc::new(Manual::default());
    let shared: Arc<dyn Clock> = Arc::<Manual>::clone(&clock);
    let metrics = Arc::new(Metrics::new());
    (clock, Pool::new(Source::Callers, shared, metrics))
}

/// Grows a reservation that must not have to wait.
fn grow(reservation: &mut Reservation, bytes: usize) -> Result<(), Code> {
    let grown = reservation.grow_to(bytes).now_or_never();
    grown.expect("it waits").map_err(|failure| failure.code)
}

/// Whether an incomplete body has to give way.
fn is_given_up(reservation: &Reservation) -> bool {
    reservation.given_up().now_or_never().is_some()
}

/// Complete bodies fill the pool, what they release is free again, and a full pool isn't exceeded.
#[test]
fn grow_to_gives_back() {
    let (_clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let mut first = pool.reserve(limit);
    grow(&mut first, 1).unwrap();
    grow(&mut first, 12 * KB).unwrap();
    first.complete(12 * KB);
    let mut second = pool.reserve(limit);
    assert_eq!(grow(&mut second, 8 * KB), Err(Code::NodeFull));
    drop(first);
    assert_eq!(grow(&mut second, 16 * KB), Ok(()));
    assert_eq!(second.bytes(), 16 * KB);
}

/// Incomplete bodies that stop short shut everybody else out.
#[test]
fn grow_to_takes_from_what_has_come_for_long() {
    let (clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let mut stalled = pool.reserve(limit);
    grow(&mut stalled, 15 * KB).unwrap();
    clock.advance(Millis(1_000));
    let mut fresh = pool.reserve(limit);
    assert!(fresh.grow_to(2 * KB).now_or_never().is_none());
    assert!(is_given_up(&stalled));
    stalled.release();
    assert_eq!(grow(&mut fresh, 2 * KB), Ok(()));
    assert!(!is_given_up(&fresh));
}

/// A complete body, whose request may run, is given up for one that arrives.
#[test]
fn grow_to_spares_complete_bodies() {
    let (clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let mut complete = pool.reserve(limit);
    grow(&mut complete, 15 * KB).unwrap();
    complete.complete(15 * KB);
    clock.advance(Millis(10_000));
    let mut fresh = pool.reserve(limit);
    assert_eq!(grow(&mut fresh, 2 * KB), Err(Code::NodeFull));
    assert!(!is_given_up(&complete));
}

/// A body that completed as it was to give way, and whose request ran, loses its response.
#[test]
fn grow_to_forgets_what_came_too_late() {
    let (clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let (mut complete, mut stalled) = (pool.reserve(limit), pool.reserve(limit));
    grow(&mut complete, 8 * KB).unwrap();
    grow(&mut stalled, 6 * KB).unwrap();
    clock.advance(Millis(1_000));
    let mut fresh = pool.reserve(limit);
    assert!(fresh.grow_to(4 * KB).now_or_never().is_none());
    assert!(is_given_up(&complete));
    complete.complete(8 * KB);
    assert!(complete.grow_to(11 * KB).now_or_never().is_none());
    assert!(is_given_up(&stalled));
    stalled.release();
    assert_eq!(grow(&mut complete, 11 * KB), Ok(()));
}

/// A large body that has come for longest takes the room of those that arrive.
#[test]
fn grow_to_refuses_the_costliest() {
    let (clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let mut slow = pool.reserve(limit);
    grow(&mut slow, 8 * KB).unwrap();
    clock.advance(Millis(5_000));
    let mut fresh = pool.reserve(limit);
    grow(&mut fresh, 8 * KB).unwrap();
    assert_eq!(grow(&mut slow, 9 * KB), Err(Code::NodeFull));
    assert!(!is_given_up(&fresh));
}

/// Large bodies in progress leave no room for small ones.
#[test]
fn grow_to_leaves_room_for_small_bodies() {
    let (_clock, pool) = pool();
    let limit = Limit::new(MB);
    let mut large: Vec<Reservation> = Vec::new();
    loop {
        let mut next = pool.reserve(limit);
        if grow(&mut next, 128 * KB).is_err() {
            break;
        }
        next.complete(128 * KB);
        large.push(next);
    }
    assert_eq!(large.len(), 6);
    let mut small = pool.reserve(limit);
    assert_eq!(grow(&mut small, 64 * KB), Ok(()));
}

/// Two incomplete bodies in a full pool wait for each other.
#[tokio::test(start_paused = true)]
async fn grow_to_never_waits_for_good() {
    let (_clock, pool) = pool();
    let limit = Limit::new(16 * KB);
    let read = |pool: Arc<Pool>| async move {
        let mut memory = pool.reserve(limit);
        let body = Full::new(Bytes::from(vec![0; 12 * KB]));
        let read = buffer::read(body, MB, Millis(60_000), &mut memory).await;
        (read.map(|body| body.len()).map_err(|it| it.code), memory)
    };
    let (one, other) = tokio::join!(read(Arc::clone(&pool)), read(pool));
    let mut results = [one.0, other.0];
    results.sort_by_key(Result::is_err);
    assert_eq!(results, [Ok(12 * KB), Err(Code::NodeFull)]);
}

/// A deployment with little memory serves no body of the largest legal size.
#[test]
fn fitting_the_largest_body() {
    let (_clock, pool) = pool();
    let limit = Limit::new(MB).fitting(4 * MB);
    let mut reservation = pool.reserve(limit);
    let mut body = Body::new(None);
    for _ in 0..4 * MB / KB {
        grow(&mut reservation, body.capacity_with(KB)).unwrap();
        body.push(&[0; KB]);
    }
    let mut small = pool.reserve(limit);
    assert_eq!(grow(&mut small, 64 * KB), Ok(()));
}

/// A body that is refused keeps its memory until its response is read.
#[tokio::test(start_paused = true)]
async fn read_releases_what_it_refuses() {
    let (_clock, pool) = pool();
    let mut memory = pool.reserve(Limit::new(MB));
    let frames = [vec![0; 8 * KB], vec![0; 8 * KB]]
        .map(|data| Ok::<_, std::io::Error>(Frame::data(Bytes::from(data))));
    let body = StreamBody::new(futures::stream::iter(frames));
    let read = buffer::read(body, 10 * KB, Millis(1_000), &mut memory).await;
    assert_eq!(read.unwrap_err().code, Code::BodyTooLarge);
    assert_eq!(memory.bytes(), 0);
}

/// A body comes out as its pieces went in, and its capacity is what was foretold.
#[test]
fn body_any_pieces() {
    #[allow(clippy::needless_pass_by_value, reason = "the property's form")]
    fn whole(announced: Option<u32>, pieces: Vec<Vec<u8>>, repeat: u8) -> bool {
        let announced = announced.map(|length| length as usize % (256 * KB));
        let mut body = Body::new(announced);
        let mut expected = Vec::new();
        for piece in &pieces {
            let piece = piece.repeat(usize::from(repeat) * 8 + 1);
            let foretold = body.capacity_with(piece.len());
            assert!(foretold >= expected.len() + piece.len());
            body.push(&piece);
            assert_eq!(foretold, body.capacity_with(0));
            expected.extend_from_slice(&piece);
        }
        body.len() == expected.len() && body.freeze() == expected
    }
    let property: fn(Option<u32>, Vec<Vec<u8>>, u8) -> bool = whole;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 83))
        .tests(300)
        .quickcheck(property);
}
