//! A stream on its way to the caller, continued elsewhere if its upstream breaks off.

use bytes::{Bytes, BytesMut};
use futures::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::body::Frame;
use thiserror::Error;

use super::attempt::Answer;
use super::entry::{CLASS, seconds};
use super::record::{self, End};
use super::sse::Splitter;
use super::trip::Trip;
use crate::clock::Millis;

/// A pause in the stream, in the longest pauses of the route, at which it is continued elsewhere.
///
/// Callers give a stream up at eight such pauses; a continued one needs some
/// hundred milliseconds to go on.
const STALL_PAUSES: u64 = 5;

/// The pause to assume for routes that name none.
const USUAL_PAUSE: Millis = Millis(500);

/// The answer ends without its end.
///
/// The connection to the caller is closed, so that what was passed on can't be
/// taken for whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the answer broke off: {0}")]
pub struct Cut(pub String);

/// A stream in progress.
#[derive(Debug)]
struct Relay {
    trip: Trip,
    answer: Option<Answer>,
    splitter: Splitter,
    last: Option<u64>,
    passed_on: Option<Millis>,
}

/// What reading on led to.
enum Step {
    Events(Bytes),
    More,
    End,
    Broken(String),
}

/// Makes the body that the caller gets.
pub fn body(trip: Trip, answer: Answer) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send {
    let last = trip.message.call.resume_after;
    let relay = Relay {
        trip,
        answer: Some(answer),
        splitter: Splitter::default(),
        last,
        passed_on: None,
    };
    stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => {
                relay.trip.end(&End::Answered(200));
                None
            }
            Err(cut) => {
                relay.trip.end(&End::Cut(&cut.0));
                Some((Err(cut), None))
            }
        }
    })
}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.observe();
                    return Ok(Some(bytes));
                }
                Step::More => {}
                Step::End => return Ok(None),
                Step::Broken(told) => self.go_on(&told).await?,
            }
        }
    }

    /// Counts the time to the first event, and the pauses behind it.
    fn observe(&mut self) {
        let now = self.trip.now();
        let metrics = &self.trip.gate.metrics;
        metrics.tokens.inc();
        match self.passed_on.replace(now) {
            Some(last) => metrics.between_tokens.observe(seconds(now.since(last))),
            None => metrics
                .first_token
                .with_label_values(&[CLASS])
                .observe(seconds(now.since(self.trip.began))),
        }
    }

    async fn step(&mut self) -> Step {
        let now = self.trip.now();
        if now >= self.trip.until {
            return Step::Broken("the time is up".to_owned());
        }
        let span = self.patience(now);
        let Some(answer) = &mut self.answer else {
            return Step::Broken("there is no answer".to_owned());
        };
        match tokio::time::timeout(span.duration(), answer.body.frame()).await {
            Err(_) => Step::Broken(format!("nothing for {span}")),
            Ok(Some(Err(error))) => Step::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.take(&data),
                Err(_) => Step::More,
            },
            Ok(None) if self.splitter.has_rest() => {
                Step::Broken("it ended within an event".to_owned())
            }
            Ok(None) => {
                self.keep();
                Step::End
            }
        }
    }

    fn patience(&self, now: Millis) -> Millis {
        let left = self.trip.until.since(now);
        if !self.trip.may_go_on() {
            return left;
        }
        let pause = self.trip.route.pause.unwrap_or(USUAL_PAUSE);
        let stall = Millis(pause.0 * STALL_PAUSES);
        let first = if self.last == self.trip.message.call.resume_after {
            self.trip.route.objective
        } else {
            Millis::ZERO
        };
        left.min(stall + first)
    }

    /// Passes on the whole events among what came, if each follows the one before.
    fn take(&mut self, data: &[u8]) -> Step {
        self.splitter.push(data);
        let mut whole = BytesMut::new();
        while let Some(event) = self.splitter.event() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id != last + 1
            {
                if whole.is_empty() {
                    return Step::Broken(format!("event {id} follows event {last}"));
                }
                break;
            }
            if event.id.is_some() {
                self.last = event.id;
            }
            whole.extend_from_slice(&event.bytes);
        }
        if self.splitter.overflows() {
            return Step::Broken("an event is too long".to_owned());
        }
        if whole.is_empty() {
            Step::More
        } else {
            Step::Events(whole.freeze())
        }
    }

    fn keep(&mut self) {
        if let Some(answer) = self.answer.take() {
            answer.upstream.succeeded();
            if !answer.reply.closes {
                answer
                    .upstream
                    .link
                    .keep(answer.connection, answer.reply.keep);
            }
        }
    }

    /// Continues behind the last event at another upstream.
    async fn go_on(&mut self, told: &str) -> Result<(), Cut> {
        // Dropping the answer closes its connection, so that the former
        // upstream stops before another begins.
        let former = self.answer.take();
        self.splitter.clear();
        if let Some(former) = former {
            let upstream = std::sync::Arc::clone(&former.upstream);
            drop(former);
            self.trip.broke(&upstream);
        }
        if !self.trip.may_go_on() {
            return Err(Cut(told.to_owned()));
        }
        self.trip.gate.count_retry("resumed");
        record::resumed(&self.trip, self.last, told);
        let answer = self
            .trip
            .answer(self.last)
            .await
            .map_err(|failure| Cut(format!("{told}; then {failure}")))?;
        if !answer.head.status.is_success() {
            return Err(Cut(format!("{told}; then status {}", answer.head.status)));
        }
        self.answer = Some(answer);
        Ok(())
    }
}
