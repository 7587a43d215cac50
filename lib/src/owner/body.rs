//! The body of a response, as a stream from the upstream to its reader.
//!
//! No task or channel lies between them, so a slow reader applies backpressure to
//! its own stream only. A reader that stops reading drops the body by its own
//! deadline, and with it the request's guard.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use tokio::time::{Instant, Sleep};

use super::event_rewriter::EventRewriter;
use super::request_guard::{Outcome, RequestGuard};
use super::response_check::CheckError;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::metrics::Metrics;

/// How long an upstream may take to end the stream of a complete response.
///
/// The caller waits meanwhile. An end in time keeps the connection reusable and
/// shows that no bytes of another response follow.
const CLOSE_TIMEOUT: Millis = Millis(250);

/// How the bytes of a body are checked.
#[derive(Debug)]
pub(super) enum BodyFormat {
    /// Events of a completion.
    Events(Box<EventRewriter>),
    /// Bytes of a plain service, with the remaining length if the head declared one.
    Plain(Option<u64>),
}

impl BodyFormat {
    /// Checks received bytes and returns those to forward, which may be none.
    fn process(&mut self, chunk: Bytes, metrics: &Metrics) -> Result<Bytes, Failure> {
        match self {
            Self::Events(events) => events
                .process(chunk)
                .map_err(|error| count_dropped(error, metrics)),
            Self::Plain(Some(remaining)) => {
                let length = u64::try_from(chunk.len()).unwrap_or(u64::MAX);
                *remaining = remaining
                    .checked_sub(length)
                    .ok_or_else(|| truncated("the answer is longer than its head said"))?;
                Ok(chunk)
            }
            Self::Plain(None) => Ok(chunk),
        }
    }

    /// Checks that a body that ends here is complete.
    fn check_end(&self) -> Result<(), Failure> {
        match self {
            Self::Events(events) if !events.is_done() => {
                Err(truncated("the stream ended without [DONE]"))
            }
            Self::Plain(Some(remaining)) if *remaining > 0 => {
                Err(truncated("the answer is shorter than its head said"))
            }
            Self::Events(_) | Self::Plain(_) => Ok(()),
        }
    }

    /// Whether the body is complete, so that a later error doesn't matter.
    fn is_complete(&self) -> bool {
        match self {
            Self::Events(events) => events.is_done(),
            Self::Plain(remaining) => *remaining == Some(0),
        }
    }
}

/// Counts a response that isn't forwarded and returns the request's failure.
pub(super) fn count_dropped(error: CheckError, metrics: &Metrics) -> Failure {
    if let Some(label) = error.drop_label() {
        metrics.dropped_answers.with_label_values(&[label]).inc();
    }
    error.into()
}

/// The body of a response, with the guard of its request.
#[derive(Debug)]
pub(super) struct Body {
    open: Option<Open>,
    format: BodyFormat,
    deadline: Pin<Box<Sleep>>,
    metrics: Arc<Metrics>,
}

/// What is dropped when the body ends.
///
/// The upstream's stream is dropped first, so that it is cancelled before the next
/// request is granted.
struct Open {
    source: BoxStream<'static, Result<Bytes, Failure>>,
    guard: RequestGuard,
}

impl std::fmt::Debug for Open {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Open")
            .field("guard", &self.guard)
            .finish_non_exhaustive()
    }
}

impl Body {
    /// Creates the body of a response that has begun.
    pub(super) fn new(
        source: BoxStream<'static, Result<Bytes, Failure>>,
        guard: RequestGuard,
        format: BodyFormat,
        deadline: Sleep,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            open: Some(Open { source, guard }),
            format,
            deadline: Box::pin(deadline),
            metrics,
        }
    }

    /// Polls for the next chunk; `None` means that the response is complete.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        if self.open.is_none() {
            return Poll::Ready(Ok(None));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            if self.format.is_complete() {
                return Poll::Ready(Ok(None));
            }
            let detail = "the deadline passed while the answer came";
            return Poll::Ready(Err(Failure::new(Code::ExpiredRunning, detail)));
        }
        let chunk = ready!(self.poll_checked(cx))?;
        self.shorten_deadline();
        Poll::Ready(Ok(chunk))
    }

    /// Limits the wait for the end of the stream once the response is complete.
    ///
    /// If an engine pauses between its last event and the end of the stream, a
    /// complete response would otherwise fail at the deadline.
    fn shorten_deadline(&mut self) {
        let close_by = Instant::now() + CLOSE_TIMEOUT.duration();
        if self.format.is_complete() && close_by < self.deadline.deadline() {
            self.deadline.as_mut().reset(close_by);
        }
    }

    fn poll_checked(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        let Some(open) = &mut self.open else {
            return Poll::Ready(Ok(None));
        };
        loop {
            let chunk = match ready!(open.source.poll_next_unpin(cx)) {
                Some(Ok(chunk)) => chunk,
                None => return Poll::Ready(self.format.check_end().map(|()| None)),
                Some(Err(_)) if self.format.is_complete() => return Poll::Ready(Ok(None)),
                Some(Err(failure)) => return Poll::Ready(Err(connection_broken(&failure))),
            };
            let checked = self.format.process(chunk, &self.metrics)?;
            if !checked.is_empty() {
                return Poll::Ready(Ok(Some(checked)));
            }
        }
    }

    fn close(&mut self, outcome: Outcome) {
        if let Some(Open { source, guard }) = self.open.take() {
            drop(source);
            guard.finish(outcome);
        }
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Failure>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        match ready!(this.poll_chunk(cx)) {
            Ok(Some(chunk)) => Poll::Ready(Some(Ok(chunk))),
            Ok(None) => {
                this.close(Outcome::Completed);
                Poll::Ready(None)
            }
            Err(failure) => {
                this.close(Outcome::Failed);
                Poll::Ready(Some(Err(failure)))
            }
        }
    }
}

fn truncated(detail: &str) -> Failure {
    Failure::new(Code::AnswerCut, detail)
}

/// Returns the failure of a response whose connection broke.
///
/// Part of the response has been received, so the request was sent whatever the
/// connection reports.
fn connection_broken(failure: &Failure) -> Failure {
    truncated(&format!("the connection to the upstream broke: {failure}"))
}
