//! Carries an answer's body from the upstream to the caller, outside the actor.
//!
//! Each answer has a task of its own: the deadline holds also while the caller
//! reads nothing, and a slow caller fills only its own small channel.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::events::Events;
use super::place::{Outcome, Place};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::metrics::Metrics;
use crate::request::Class;

/// Pieces that wait for a slow caller before the engine's stream is held back.
const PIECES_AHEAD: usize = 16;

/// The caller's end of an answer's body.
///
/// A channel that just closes would look like a whole answer. The verdict tells
/// them apart: without one the answer broke off.
#[derive(Debug)]
pub(super) struct Body {
    pieces: mpsc::Receiver<Bytes>,
    verdict: Option<oneshot::Receiver<Result<(), Failure>>>,
}

impl Stream for Body {
    type Item = Result<Bytes, Failure>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(piece) = std::task::ready!(self.pieces.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(piece)));
        }
        let Some(verdict) = &mut self.verdict else {
            return Poll::Ready(None);
        };
        let verdict = std::task::ready!(Pin::new(verdict).poll(cx));
        self.verdict = None;
        match verdict {
            Ok(Ok(())) => Poll::Ready(None),
            Ok(Err(failure)) => Poll::Ready(Some(Err(failure))),
            Err(_) => Poll::Ready(Some(Err(cut("the task that carried the answer ended")))),
        }
    }
}

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
            Self::Events(events) => {
                let before = events.pieces();
                let taken = events.take(chunk);
                metrics.tokens.inc_by(u64::from(events.pieces() - before));
                taken.map_err(|error| {
                    if let Some(reason) = error.dropped() {
                        metrics.dropped_answers.with_label_values(&[reason]).inc();
                    }
                    error.into()
                })
            }
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

/// One answer's body on its way.
#[derive(Debug)]
pub(super) struct Pump {
    /// Checks what passes.
    pub(super) form: Form,
    /// The place that is held until the body has ended.
    pub(super) place: Place,
    /// When the request was started at the upstream.
    pub(super) started: Instant,
    /// When the caller has no more use for the answer.
    pub(super) deadline: Instant,
    /// The request's class, for the histograms.
    pub(super) class: Class,
    /// Where pieces and times are counted.
    pub(super) metrics: Arc<Metrics>,
}

impl Pump {
    /// Starts the task and returns the caller's end.
    pub(super) fn start(self, body: BoxStream<'static, Result<Bytes, Failure>>) -> Body {
        let (pieces, receiver) = mpsc::channel(PIECES_AHEAD);
        let (tell, verdict) = oneshot::channel();
        tokio::spawn(async move {
            let _ = tell.send(self.carry(body, pieces).await);
        });
        Body {
            pieces: receiver,
            verdict: Some(verdict),
        }
    }

    /// Carries the body to its end and gives the place up.
    ///
    /// The channel is closed only when the verdict is about to be told.
    async fn carry(
        mut self,
        mut body: BoxStream<'static, Result<Bytes, Failure>>,
        pieces: mpsc::Sender<Bytes>,
    ) -> Result<(), Failure> {
        let verdict = self.copy(&mut body, &pieces).await;
        // The engine's stream goes first, so that it is cancelled before its
        // place is given to the next request.
        drop(body);
        let outcome = match &verdict {
            Ok(()) => Outcome::Answered(Millis::from(self.started.elapsed())),
            Err(failure) if failure.code == Code::CallerGoneRunning => Outcome::Dropped,
            Err(_) => Outcome::Failed,
        };
        self.place.end(outcome);
        verdict
    }

    async fn copy(
        &mut self,
        body: &mut BoxStream<'static, Result<Bytes, Failure>>,
        pieces: &mpsc::Sender<Bytes>,
    ) -> Result<(), Failure> {
        let expired = tokio::time::sleep_until(self.deadline);
        let closed = pieces.closed();
        tokio::pin!(expired, closed);
        let mut before: Option<Instant> = None;
        loop {
            let chunk = tokio::select! {
                biased;
                () = &mut closed => return Err(gone()),
                () = &mut expired => return Err(late()),
                chunk = body.next() => chunk,
            };
            let chunk = match chunk {
                Some(Ok(chunk)) => chunk,
                None => return self.form.ended(),
                Some(Err(_)) if self.form.is_whole() => return Ok(()),
                Some(Err(failure)) => return Err(broken(&failure)),
            };
            let passed = self.form.take(chunk, &self.metrics)?;
            if passed.is_empty() {
                continue;
            }
            before = Some(self.timed(before));
            tokio::select! {
                biased;
                () = &mut expired => return Err(late()),
                sent = pieces.send(passed) => sent.map_err(|_| gone())?,
            }
        }
    }

    fn timed(&self, before: Option<Instant>) -> Instant {
        let now = Instant::now();
        match before {
            Some(before) => self
                .metrics
                .between_tokens
                .observe((now - before).as_secs_f64()),
            None => self
                .metrics
                .first_token
                .with_label_values(&[self.class.name()])
                .observe((now - self.started).as_secs_f64()),
        }
        now
    }
}

fn cut(detail: &str) -> Failure {
    Failure::new(Code::AnswerCut, detail)
}

fn gone() -> Failure {
    Failure::new(Code::CallerGoneRunning, "the caller went away")
}

fn late() -> Failure {
    Failure::new(
        Code::ExpiredRunning,
        "the deadline passed while the answer came",
    )
}

/// Returns how an answer ended whose body broke off.
///
/// Part of it has been received, so whatever the connection reports, the
/// request isn't unsent any more.
fn broken(failure: &Failure) -> Failure {
    cut(&format!("the connection to the upstream broke: {failure}"))
}
