//! An answer's body on its way from the upstream to whoever reads it.
//!
//! It is read in place, with no task or channel between: a reader that is slow
//! holds back only its own stream, by not asking for more. A reader that stops
//! asking drops the body by its own deadline, and with it the place.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use tokio::time::{Instant, Sleep};

use super::check;
use super::events::Events;
use super::place::{Outcome, Place};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::metrics::Metrics;

/// How long an upstream may take to close an answer that is whole.
///
/// Its caller waits meanwhile. A close in time keeps the connection for the next
/// request, and shows that nothing follows which belongs to another answer.
const CLOSE: Millis = Millis(250);

/// How bytes of a body are checked on their way.
#[derive(Debug)]
pub(super) enum Form {
    /// Events of a completion.
    Events(Box<Events>),
    /// A plain service's bytes, with what is still to come if the head said so.
    Plain(Option<u64>),
}

impl Form {
    fn take(&mut self, chunk: Bytes, metrics: &Metrics) -> Result<Bytes, Failure> {
        match self {
            Self::Events(events) => events.take(chunk).map_err(|error| dropped(error, metrics)),
            Self::Plain(Some(left)) => {
                let length = u64::try_from(chunk.len()).unwrap_or(u64::MAX);
                *left = left
                    .checked_sub(length)
                    .ok_or_else(|| cut("the answer is longer than its head said"))?;
                Ok(chunk)
            }
            Self::Plain(None) => Ok(chunk),
        }
    }

    /// Says whether a body that ended here is whole.
    fn ended(&self) -> Result<(), Failure> {
        match self {
            Self::Events(events) if !events.done() => Err(cut("the stream ended without [DONE]")),
            Self::Plain(Some(left)) if *left > 0 => {
                Err(cut("the answer is shorter than its head said"))
            }
            Self::Events(_) | Self::Plain(_) => Ok(()),
        }
    }

    /// Whether an error after this point no longer matters.
    fn is_whole(&self) -> bool {
        match self {
            Self::Events(events) => events.done(),
            Self::Plain(left) => *left == Some(0),
        }
    }
}

/// Counts an answer that isn't passed on, and returns how its request ended.
pub(super) fn dropped(error: check::Error, metrics: &Metrics) -> Failure {
    if let Some(reason) = error.dropped() {
        metrics.dropped_answers.with_label_values(&[reason]).inc();
    }
    error.into()
}

/// The body of an answer, with the place that its request holds.
#[derive(Debug)]
pub(super) struct Body {
    open: Option<Open>,
    form: Form,
    expired: Pin<Box<Sleep>>,
    metrics: Arc<Metrics>,
}

/// What is given up when the body ends.
///
/// The upstream's stream goes first, so that it is cancelled before its place
/// is given to the next request.
struct Open {
    source: BoxStream<'static, Result<Bytes, Failure>>,
    place: Place,
}

impl std::fmt::Debug for Open {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Open")
            .field("place", &self.place)
            .finish_non_exhaustive()
    }
}

impl Body {
    /// Makes the body of an answer that has begun.
    pub(super) fn new(
        source: BoxStream<'static, Result<Bytes, Failure>>,
        place: Place,
        form: Form,
        expired: Sleep,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            open: Some(Open { source, place }),
            form,
            expired: Box::pin(expired),
            metrics,
        }
    }

    /// Waits for the next piece; none means that the answer is whole.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        if self.open.is_none() {
            return Poll::Ready(Ok(None));
        }
        if self.expired.as_mut().poll(cx).is_ready() {
            if self.form.is_whole() {
                return Poll::Ready(Ok(None));
            }
            let detail = "the deadline passed while the answer came";
            return Poll::Ready(Err(Failure::new(Code::ExpiredRunning, detail)));
        }
        let passed = ready!(self.poll_checked(cx))?;
        self.hasten();
        Poll::Ready(Ok(passed))
    }

    /// Stops to wait for the deadline once the answer is whole.
    ///
    /// An engine that pauses between its last event and the close would otherwise
    /// turn an answer that its caller has whole into one that the deadline cut.
    fn hasten(&mut self) {
        let close = Instant::now() + CLOSE.duration();
        if self.form.is_whole() && close < self.expired.deadline() {
            self.expired.as_mut().reset(close);
        }
    }

    fn poll_checked(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        let Some(open) = &mut self.open else {
            return Poll::Ready(Ok(None));
        };
        loop {
            let chunk = match ready!(open.source.poll_next_unpin(cx)) {
                Some(Ok(chunk)) => chunk,
                None => return Poll::Ready(self.form.ended().map(|()| None)),
                Some(Err(_)) if self.form.is_whole() => return Poll::Ready(Ok(None)),
                Some(Err(failure)) => return Poll::Ready(Err(broken(&failure))),
            };
            let passed = self.form.take(chunk, &self.metrics)?;
            if !passed.is_empty() {
                return Poll::Ready(Ok(Some(passed)));
            }
        }
    }

    fn close(&mut self, outcome: Outcome) {
        if let Some(Open { source, place }) = self.open.take() {
            drop(source);
            place.end(outcome);
        }
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Failure>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        match ready!(this.poll_piece(cx)) {
            Ok(Some(piece)) => Poll::Ready(Some(Ok(piece))),
            Ok(None) => {
                this.close(Outcome::Answered);
                Poll::Ready(None)
            }
            Err(failure) => {
                this.close(Outcome::Failed);
                Poll::Ready(Some(Err(failure)))
            }
        }
    }
}

fn cut(detail: &str) -> Failure {
    Failure::new(Code::AnswerCut, detail)
}

/// Returns how an answer ended whose body broke off.
///
/// Part of it has been received, so whatever the connection reports, the
/// request isn't unsent any more.
fn broken(failure: &Failure) -> Failure {
    cut(&format!("the connection to the upstream broke: {failure}"))
}
