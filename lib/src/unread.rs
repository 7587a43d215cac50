//! Closes a caller's connection on which a part of a request was left unread.
//!
//! The system resets a connection that is closed with unread bytes, and the reset can overtake the
//! response that says why. So the rest is read and thrown away for a while, after the sending side
//! was closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::clock::Millis;

/// Longest time for which the rest of a request is read.
const MAX_TIME: Millis = Millis(3_000);

/// Bytes that are read at a time.
const READ_BYTES: usize = 8 << 10;

/// Whether the newest request on a connection has a part that wasn't read.
#[derive(Debug, Clone, Default)]
pub struct Mark(Arc<AtomicBool>);

impl Mark {
    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns a request's body, which sets the mark until it has been read to its end.
    #[must_use]
    pub fn watch<B: http_body::Body>(&self, body: B) -> Body<B> {
        let mark = self.clone();
        mark.set(&body);
        Body { body, mark }
    }

    fn set<B: http_body::Body>(&self, body: &B) {
        self.0.store(!body.is_end_stream(), Ordering::Relaxed);
    }
}

/// A body that tells whether it was read to its end.
#[derive(Debug)]
pub struct Body<B> {
    body: B,
    mark: Mark,
}

impl<B: http_body::Body + Unpin> http_body::Body for Body<B>
where
    B::Data: Into<Bytes>,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.mark.0.store(false, Ordering::Relaxed);
        } else {
            self.mark.set(&self.body);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The close of a connection.
#[derive(Debug)]
pub struct Close {
    mark: Mark,
    /// Bytes that may still be read.
    left: usize,
    is_shut: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Close {
    /// Returns a close that reads at most `bytes` of what is unread by the mark.
    #[must_use]
    pub fn new(mark: Mark, bytes: usize) -> Self {
        Self {
            mark,
            left: bytes,
            is_shut: false,
            timer: None,
        }
    }

    /// Closes the sending side, and reads on until the peer closes its own.
    ///
    /// # Errors
    ///
    /// When the sending side can't be closed.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_shut {
            ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
            self.is_shut = true;
        }
        if !self.mark.is_set() {
            return Poll::Ready(Ok(()));
        }
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(MAX_TIME.duration())));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; READ_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
            let read = read.map_or(0, |()| buffer.filled().len());
            self.left = self.left.saturating_sub(read);
            if read == 0 || self.left == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
