//! How a stream goes on where its upstream is silent, has broken off, or stopped the run.
//!
//! Callers see one stream. Nothing that can still bring its next event is given up before
//! something else does: not a silent engine, not a place in another one's queue, not the memory
//! of a run that was stopped to be moved. See docs/design/0010-leaving-a-silent-engine.md.

use std::sync::Arc;

use http_body_util::BodyExt;

use super::attempt::{SendError, UpstreamResponse};
use super::event_sequence::{EventSequence, StreamStep};
use super::handover::{HandoverReply, StoppedRun};
use super::relay::{Relay, ResponseAborted, USUAL_PAUSE};
use super::request::SELECTION_RETRY_PAUSE;
use super::request_log;
use super::versions;
use crate::clock::Millis;
use crate::error::Failure;

/// Longest pauses after which callers give a stream up.
const BORNE_PAUSES: u64 = 8;

/// Why a run was given up that could no longer begin.
const REPLACED: &str = "a newer version of the adapter was declared before it began";

/// What came first.
enum Found {
    /// What the silent engine brought.
    Here(StreamStep),
    /// The search's result, and how the silent engine's answer ended meanwhile, if it did.
    Elsewhere(Result<Box<UpstreamResponse>, Failure>, Option<StreamStep>),
}

impl Relay {
    /// Decides what becomes of a stream whose engine is silent.
    ///
    /// An engine can pause for longer than callers bear and go on. It is left only for another
    /// one that has begun to go on with the stream.
    pub(super) async fn stalled(&mut self, span: Millis) -> StreamStep {
        let told = format!("nothing for {span}");
        if self.stopped.is_some() || self.request.now() >= self.request.deadline {
            return StreamStep::Broken(told);
        }
        let Some(former) = self.answer.take() else {
            return StreamStep::Broken(told);
        };
        if !self.request.reserve_elsewhere(&former.upstream) {
            self.answer = Some(former);
            return StreamStep::More;
        }
        self.look_elsewhere(former, told).await
    }

    /// Has another engine go on with a stream, unless the silent one does so first.
    ///
    /// A free place elsewhere is only believed, and the engine there can reject the request. So
    /// the silent one is read meanwhile, and closed once another one's head has come. Where its
    /// answer ends meanwhile, the other one's is waited for all the same.
    async fn look_elsewhere(&mut self, former: UpstreamResponse, told: String) -> StreamStep {
        let upstream = Arc::clone(&former.upstream);
        if !std::mem::replace(&mut self.silent, true) {
            self.request.blame(&upstream);
        }
        self.request.stands_at = Some(Arc::clone(&upstream.incarnation));
        let mut former = Some(former);
        let found = self.first_of(&mut former).await;
        self.request.stands_at = None;
        match found {
            Found::Here(step) => {
                self.answer = former;
                step
            }
            Found::Elsewhere(Ok(answer), _) if answer.head.status.is_success() => {
                self.request.frontend.count_retry("resumed");
                request_log::resumed(&self.request, self.events.last(), &told);
                drop(former);
                // What was asked of the former engine is of no use any more.
                self.handover = None;
                self.begin(*answer);
                StreamStep::More
            }
            Found::Elsewhere(_, Some(StreamStep::Withdrawn)) => {
                StreamStep::Broken(REPLACED.to_owned())
            }
            Found::Elsewhere(_, Some(ended)) => {
                self.broke(&upstream);
                match ended {
                    StreamStep::Broken(told) => StreamStep::Broken(told),
                    _ => StreamStep::Broken("the run may have been stopped".to_owned()),
                }
            }
            Found::Elsewhere(_, None) => {
                request_log::stays(&self.request, &upstream);
                self.answer = former;
                StreamStep::More
            }
        }
    }

    /// Reads a silent engine's answer while another engine is looked for.
    ///
    /// The answer is dropped when it ends, or when its run may no longer begin.
    async fn first_of(&mut self, former: &mut Option<UpstreamResponse>) -> Found {
        // A run that may have been stopped to be moved ends its stream early.
        let ends_whole = self.handover.is_none();
        let Self {
            request, events, ..
        } = self;
        let mut ended = None;
        let search = request.answer(events.last());
        let mut search = std::pin::pin!(search);
        loop {
            tokio::select! {
                biased;
                answer = &mut search => return Found::Elsewhere(answer.map(Box::new), ended),
                step = next_step(former, events) => match step {
                    StreamStep::More => {}
                    StreamStep::End if ends_whole => return Found::Here(StreamStep::End),
                    step @ StreamStep::Events(_) => return Found::Here(step),
                    step => {
                        *former = None;
                        ended = Some(step);
                    }
                },
            }
        }
    }

    /// Goes on elsewhere with a stream whose run may no longer begin where it is.
    pub(super) async fn withdraw(&mut self) -> Result<(), ResponseAborted> {
        if let Some(former) = self.answer.take() {
            let upstream = Arc::clone(&former.upstream);
            drop(former);
            let miss = SendError::Withdrawn { sent: true };
            let missed = self.request.missed(&upstream, miss, true);
            missed.map_err(|failure| ResponseAborted(failure.to_string()))?;
        }
        self.read_anew(REPLACED).await
    }

    /// Whether a stream that ended in order is whole.
    ///
    /// Where its run was to be moved, the engine's answer tells whether it was stopped.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] when it isn't and can't go on.
    pub(super) async fn is_whole(&mut self) -> Result<bool, ResponseAborted> {
        if self.handover.is_none() && self.stopped.is_none() {
            return Ok(true);
        }
        let span = self.patience(self.request.now());
        match self.moved(span).await {
            HandoverReply::Unchanged => Ok(true),
            HandoverReply::Stopped(moved) => self.continue_moved(&moved).await.map(|()| false),
            HandoverReply::Unanswered => {
                let told = "the run may have been stopped";
                self.go_on_elsewhere(told).await.map(|()| false)
            }
        }
    }

    /// Goes on behind the last event: where the run's memory lies, or anew elsewhere.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] when it can't go on.
    pub(super) async fn go_on(&mut self, told: &str) -> Result<(), ResponseAborted> {
        let span = self.patience(self.request.now());
        if let HandoverReply::Stopped(moved) = self.moved(span).await {
            return self.continue_moved(&moved).await;
        }
        self.go_on_elsewhere(told).await
    }

    /// Goes on anew elsewhere, or where the run's memory lies if the engine tells that after all.
    async fn go_on_elsewhere(&mut self, told: &str) -> Result<(), ResponseAborted> {
        // Dropping the answer closes its connection, so that the former
        // upstream stops before another begins.
        if let Some(former) = self.answer.take() {
            let upstream = Arc::clone(&former.upstream);
            drop(former);
            self.request.blame(&upstream);
            self.broke(&upstream);
        }
        let Err(cut) = self.read_anew(told).await else {
            self.handover = None;
            return Ok(());
        };
        // The memory of a run that was stopped may still be named.
        let left = self.request.deadline.since(self.request.now());
        match self.moved(left).await {
            HandoverReply::Stopped(moved) => self.continue_moved(&moved).await,
            HandoverReply::Unchanged | HandoverReply::Unanswered => Err(cut),
        }
    }

    /// Returns what the engine said to the question to move the run.
    async fn moved(&mut self, span: Millis) -> HandoverReply {
        if let Some(moved) = self.stopped.take() {
            return HandoverReply::Stopped(moved);
        }
        let Some(mut handover) = self.handover.take() else {
            return HandoverReply::Unchanged;
        };
        let reply = handover.reply(span).await;
        if matches!(reply, HandoverReply::Unanswered) {
            self.handover = Some(handover);
        }
        reply
    }

    /// Has another upstream read the prompt and go on behind the last event.
    async fn read_anew(&mut self, told: &str) -> Result<(), ResponseAborted> {
        if !self.request.may_go_on() {
            return Err(ResponseAborted(told.to_owned()));
        }
        self.request.frontend.count_retry("resumed");
        request_log::resumed(&self.request, self.events.last(), told);
        let answer = self
            .request
            .answer(self.events.last())
            .await
            .map_err(|failure| ResponseAborted(format!("{told}; then {failure}")))?;
        if !answer.head.status.is_success() {
            return Err(ResponseAborted(format!(
                "{told}; then status {}",
                answer.head.status
            )));
        }
        self.begin(answer);
        Ok(())
    }

    /// Has an engine go on with a run whose memory lies there or is to be had from there.
    ///
    /// Both engines can be full at that moment, and the memory stays where it is for seconds.
    /// Where the prompt can't be read anew either, they are asked again for as long as callers
    /// bear a pause: the memory is all that is left of the answer.
    async fn continue_moved(&mut self, moved: &StoppedRun) -> Result<(), ResponseAborted> {
        self.answer = None;
        let pause = self
            .request
            .route
            .max_event_gap
            .unwrap_or(USUAL_PAUSE)
            .max(SELECTION_RETRY_PAUSE);
        let given_up = self.request.now() + Millis(pause.0 * BORNE_PAUSES);
        let until = given_up.min(self.request.deadline);
        let mut asked = 0;
        for place in moved.places.iter().cycle() {
            let last = self.events.last();
            let sent = self.request.continue_run(place, moved.memory.clone(), last);
            match sent.await {
                Ok(answer) => {
                    request_log::moved(&self.request, &place.upstream, last, "goes on");
                    self.request.timing.moved += 1;
                    self.begin(answer);
                    return Ok(());
                }
                Err(miss) => {
                    request_log::moved(&self.request, &place.upstream, last, miss.name());
                    if matches!(miss, SendError::Rejected { .. }) {
                        self.request.frontend.charge_retry(&self.request.pool);
                    }
                    // It may run there: nobody else may go on with the memory.
                    if miss.may_run() {
                        return self.read_anew("the moved run was lost").await;
                    }
                }
            }
            asked += 1;
            if asked < moved.places.len() {
                continue;
            }
            let told = "no engine has a place for the moved run";
            if asked == moved.places.len() && self.read_anew(told).await.is_ok() {
                return Ok(());
            }
            if !self.request.wait_for_repeat(pause, until).await {
                return Err(ResponseAborted(told.to_owned()));
            }
        }
        Err(ResponseAborted("the memory lies nowhere".to_owned()))
    }

    /// Goes on with another answer, behind the last event.
    fn begin(&mut self, answer: UpstreamResponse) {
        self.events.restart();
        self.begin_run();
        self.silent = false;
        self.asked_to_move = false;
        self.answer = Some(answer);
    }
}

/// Reads what an answer brings next; for ever if it was dropped.
async fn next_step(
    answer: &mut Option<UpstreamResponse>,
    events: &mut EventSequence,
) -> StreamStep {
    let Some(answer) = answer else {
        return std::future::pending().await;
    };
    tokio::select! {
        biased;
        received = answer.body.frame() => {
            answer.has_begun();
            events.receive(received)
        }
        () = versions::expired(answer.watch.as_ref()) => StreamStep::Withdrawn,
    }
}
