//! A stream on its way to the caller, continued elsewhere if its upstream breaks off.

use bytes::Bytes;
use futures::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::body::Frame;
use thiserror::Error;

use super::attempt::{Answer, Miss};
use super::entry::{CLASS, seconds};
use super::handover::{Handover, Moved, TRANSFER};
use super::record::{self, End};
use super::sequence::{Sequence, Step};
use super::trip::{LOOK, Trip};
use crate::clock::Millis;

/// A pause in the stream, in the longest pauses of the route, at which it is continued elsewhere.
///
/// Callers give a stream up at eight such pauses; a continued one needs some
/// hundred milliseconds to go on.
const STALL_PAUSES: u64 = 5;

/// Longest pauses after which callers give a stream up.
const BORNE_PAUSES: u64 = 8;

/// The longest pause, in those that the route allows, that reading can cause.
const READING_PAUSES: u64 = 2;

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
    events: Sequence,
    passed_on: Option<Millis>,
    handover: Option<Handover>,
    /// Whether it was told how the stream went where it stayed.
    judged: bool,
}

/// Makes the body that the caller gets.
pub fn body(trip: Trip, answer: Answer) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send {
    let events = Sequence::new(trip.message.call.resume_after);
    let relay = Relay {
        trip,
        answer: Some(answer),
        events,
        passed_on: None,
        handover: None,
        judged: false,
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
                    self.hand_over();
                    return Ok(Some(bytes));
                }
                Step::More => {}
                Step::End => {
                    if self.taken_over(TRANSFER).await {
                        continue;
                    }
                    // A run that was stopped to be moved ends its stream early. Where it
                    // can't go on, what was passed on must not look whole.
                    if self.answer.is_none() {
                        self.go_on("the run was stopped and can't go on").await?;
                        continue;
                    }
                    self.judge_stay(false);
                    self.observe_pauses();
                    self.keep();
                    return Ok(None);
                }
                Step::Broken(told) => {
                    let span = self.patience(self.trip.now());
                    if !self.taken_over(span).await {
                        self.go_on(&told).await?;
                    }
                }
            }
        }
    }

    /// Counts the time to the first event, and the pauses behind it.
    fn observe(&mut self) {
        let now = self.trip.now();
        self.trip.gate.metrics.tokens.inc();
        if let Some(answer) = &mut self.answer {
            answer.running.read();
        }
        match self.passed_on.replace(now) {
            Some(last) => self.observe_pause(now.since(last), now),
            None => self.observe_first(now),
        }
        self.trip.pace.pieces += 1;
    }

    fn observe_first(&mut self, now: Millis) {
        let first = now.since(self.trip.began);
        self.trip.pace.first = Some(first);
        let histogram = &self.trip.gate.metrics.first_token;
        histogram
            .with_label_values(&[CLASS])
            .observe(seconds(first));
        self.judge_reading(now);
    }

    fn observe_pause(&mut self, pause: Millis, now: Millis) {
        let metrics = &self.trip.gate.metrics;
        metrics.between_tokens.observe(seconds(pause));
        if let Some(answer) = &self.answer {
            answer.upstream.paused(pause, now);
        }
        let pace = &mut self.trip.pace;
        if pause > pace.longest {
            pace.longest = pause;
            pace.longest_after = pace.pieces;
        }
        self.judge_pause(pause);
    }

    /// Lets the first pause that is too long speak against reading where answers are written.
    ///
    /// Reading stretches a pause by as much as an engine reads within one event. One that is
    /// far longer has another cause, such as an engine that was lost.
    fn judge_pause(&mut self, pause: Millis) {
        let Some(most) = self.trip.route.pause else {
            return;
        };
        if pause > most {
            self.judge_stay(pause.0 <= most.0 * READING_PAUSES);
        }
    }

    /// Counts the longest pause of a whole stream.
    fn observe_pauses(&self) {
        let pace = &self.trip.pace;
        let written = if pace.moved > 0 {
            "elsewhere"
        } else {
            "where read"
        };
        let histogram = &self.trip.gate.metrics.longest_pause;
        histogram
            .with_label_values(&[written])
            .observe(seconds(pace.longest));
    }

    /// Tells once how a stream went that stayed where its prompt was read.
    fn judge_stay(&mut self, late: bool) {
        let Some(answer) = &self.answer else {
            return;
        };
        let trip = &self.trip;
        let engine = answer.upstream.address;
        let stayed = trip.pace.moved == 0 && self.handover.is_none();
        if !stayed || self.judged || trip.gate.roles(&trip.pool).reads(engine) {
            return;
        }
        trip.gate
            .observe(&trip.pool, |mix| mix.stayed(engine, late));
        self.judged = true;
    }

    /// Tells what part of the objective a reader took.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    fn judge_reading(&self, now: Millis) {
        let Some(answer) = &self.answer else {
            return;
        };
        let trip = &self.trip;
        if trip.gate.roles(&trip.pool).reads(answer.upstream.address) {
            let part = now.since(trip.sent_at).0 as f64 / trip.route.objective.0.max(1) as f64;
            trip.gate.observe(&trip.pool, |mix| mix.read(part));
        }
    }

    /// Begins to move the run to an engine that reads little, if this one reads for others.
    ///
    /// What a reader holds is moved behind the first event, or behind a later one where the
    /// adapter is still on its way to a writer.
    fn hand_over(&mut self) {
        let Some(answer) = &self.answer else {
            return;
        };
        if self.handover.is_some() || self.trip.pace.moved > 0 {
            return;
        }
        let source = &answer.upstream;
        let first = self.trip.pace.pieces == 1;
        if let Some(target) = self.trip.writer(answer, first) {
            let left = self.trip.until.since(self.trip.now());
            let handover = Handover::begin(&self.trip.gate, self.trip.id(), source, target, left);
            self.handover = Some(handover);
        }
    }

    /// Goes on where the memory of a run that was moved lies; false if it wasn't moved.
    ///
    /// `span` is how long the engine may take to say so.
    async fn taken_over(&mut self, span: Millis) -> bool {
        let Some(handover) = self.handover.take() else {
            return false;
        };
        let Some(former) = &self.answer else {
            return false;
        };
        let Some(moved) = handover.end(former.version, span).await else {
            return false;
        };
        former.upstream.succeeded();
        self.answer = None;
        self.events.restart();
        self.continue_moved(&moved).await
    }

    /// Has an engine go on with a run whose memory lies there or is to be had from there.
    ///
    /// Both engines can be full at that moment, and the memory stays where it is for seconds. A
    /// stream that may not be repeated has nowhere else to go: asked once only, it was cut. One
    /// that may be repeated goes on by reading its prompt anew.
    async fn continue_moved(&mut self, moved: &Moved) -> bool {
        let pause = self.trip.route.pause.unwrap_or(USUAL_PAUSE).max(LOOK);
        let given_up = self.trip.now() + Millis(pause.0 * BORNE_PAUSES);
        let until = given_up.min(self.trip.until);
        loop {
            for place in &moved.places {
                let sent = self
                    .trip
                    .continue_run(place, moved.memory.clone(), self.events.last());
                match sent.await {
                    Ok(answer) => {
                        record::moved(&self.trip, &place.upstream, self.events.last(), "goes on");
                        self.trip.pace.moved += 1;
                        self.answer = Some(answer);
                        return true;
                    }
                    Err(miss) => {
                        record::moved(&self.trip, &place.upstream, self.events.last(), miss.name());
                        // It may run there: nobody else may go on with it.
                        if matches!(miss, Miss::Lost(..)) {
                            return false;
                        }
                    }
                }
            }
            if self.trip.may_go_on() || !self.trip.waits_for_leave(pause, until).await {
                return false;
            }
        }
    }

    async fn step(&mut self) -> Step {
        let now = self.trip.now();
        if now >= self.trip.until {
            return Step::Broken("the time is up".to_owned());
        }
        if let Some(step) = self.events.known() {
            return step;
        }
        let span = self.patience(now);
        let Some(answer) = &mut self.answer else {
            return Step::Broken("there is no answer".to_owned());
        };
        match tokio::time::timeout(span.duration(), answer.body.frame()).await {
            Err(_) => self.stalled(span).await,
            Ok(received) => self.events.receive(received),
        }
    }

    /// Decides what becomes of a stream whose engine is silent.
    ///
    /// An engine can pause for longer than callers bear and go on. It is left only for another
    /// one that has begun to go on with the stream.
    async fn stalled(&mut self, span: Millis) -> Step {
        let told = format!("nothing for {span}");
        if self.trip.now() >= self.trip.until {
            return Step::Broken(told);
        }
        // A run that was stopped to be moved is silent until it goes on elsewhere.
        if self.handover.is_some() && self.taken_over(span).await {
            return Step::More;
        }
        let Some(former) = self.answer.take() else {
            return Step::Broken(told);
        };
        if !self.trip.leaves_queue(&former.upstream) {
            self.answer = Some(former);
            return Step::More;
        }
        self.look_elsewhere(former, &told).await
    }

    /// Has another engine go on with a stream, unless the silent one does so first.
    ///
    /// A free place elsewhere is only believed, and the engine there can reject the request. A
    /// stream that was dropped before then ended in the middle for its caller, though its engine
    /// was still writing. Once another engine's head has come, dropping the former answer closes
    /// its connection, so that both work on the request for no longer than that takes.
    async fn look_elsewhere(&mut self, mut former: Answer, told: &str) -> Step {
        self.trip.broke(&former.upstream);
        let found = tokio::select! {
            biased;
            answer = self.trip.answer(self.events.last()) => answer.ok(),
            received = former.body.frame() => {
                self.answer = Some(former);
                return self.events.receive(received);
            }
        };
        let began = found.filter(|answer| answer.head.status.is_success());
        if began.is_some() {
            self.trip.gate.count_retry("resumed");
            record::resumed(&self.trip, self.events.last(), told);
            self.events.restart();
        } else {
            record::stays(&self.trip, &former.upstream);
        }
        self.answer = Some(began.unwrap_or(former));
        Step::More
    }

    fn patience(&self, now: Millis) -> Millis {
        let left = self.trip.until.since(now);
        if !self.trip.may_go_on() {
            return left;
        }
        let pause = self.trip.route.pause.unwrap_or(USUAL_PAUSE);
        let stall = Millis(pause.0 * STALL_PAUSES);
        let first = if self.events.last() == self.trip.message.call.resume_after {
            self.trip.route.objective
        } else {
            Millis::ZERO
        };
        left.min(stall + first)
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
        self.events.restart();
        if let Some(former) = former {
            let upstream = std::sync::Arc::clone(&former.upstream);
            drop(former);
            self.trip.broke(&upstream);
        }
        if !self.trip.may_go_on() {
            return Err(Cut(told.to_owned()));
        }
        self.trip.gate.count_retry("resumed");
        record::resumed(&self.trip, self.events.last(), told);
        let answer = self
            .trip
            .answer(self.events.last())
            .await
            .map_err(|failure| Cut(format!("{told}; then {failure}")))?;
        if !answer.head.status.is_success() {
            return Err(Cut(format!("{told}; then status {}", answer.head.status)));
        }
        self.answer = Some(answer);
        Ok(())
    }
}
