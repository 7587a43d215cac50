//! Asking the owner of an engine to count a request in, and answering such questions.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::future;
use futures::stream::{self, Stream};
use futures::{FutureExt, StreamExt};
use tokio::sync::oneshot;
use tonic::{Status, Streaming};

use super::controllers::Controllers;
use super::limits::IN_USE_GRACE;
use super::occupancy::{CountedRequest, EngineLoad, OccupancyGuard};
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;
use crate::schema::direct::{Admission, AdmitReply, AdmitRequest};

/// The longest that an owner may take to answer.
///
/// A fifth of what callers bear for a first event. An answer takes some milliseconds; one that
/// is missing for longer is worth less than the time that the request would lose.
const ANSWER: Millis = Millis(120);

/// A request's place at an engine, counted by its owner until this is dropped.
#[derive(Debug)]
pub struct Permit(Counted);

/// Where the request is counted.
#[derive(Debug)]
enum Counted {
    Here(OccupancyGuard),
    /// Dropping the call tells the owner, at the latest when the connection is lost.
    There {
        /// Dropped to end this node's side of the call.
        unread: Option<oneshot::Sender<()>>,
        _call: Box<Streaming<AdmitReply>>,
    },
}

impl Permit {
    /// Tells the owner that the engine has read the request's prompt.
    pub fn prefill_done(&mut self) {
        match &mut self.0 {
            Counted::Here(place) => place.prefill_done(),
            Counted::There { unread, .. } => *unread = None,
        }
    }
}

/// What an owner said.
#[derive(Debug)]
pub enum AdmitDecision {
    /// The request counts while the permit lives.
    Admitted(Permit, EngineLoad),
    /// As many requests as the limit says are there.
    Busy(EngineLoad),
    /// The engine doesn't hold the adapter.
    Absent(EngineLoad),
    /// Nobody counts there, or the owner didn't answer.
    Unknown,
}

impl AdmitDecision {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Admitted(..) => "admitted",
            Self::Busy(_) => "busy",
            Self::Absent(_) => "absent",
            Self::Unknown => "unknown",
        }
    }

    /// Returns how much the engine has to do, if the owner said so.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        match self {
            Self::Admitted(_, load) | Self::Busy(load) | Self::Absent(load) => Some(*load),
            Self::Unknown => None,
        }
    }
}

/// What is asked of an owner.
#[derive(Debug, Clone, Copy)]
pub struct AdmitQuery<'a> {
    /// The adapter that the request uses, if any.
    pub adapter: Option<&'a Name>,
    /// The least version that will do; 0 is any.
    pub version: u64,
    /// Requests there from which on this one isn't counted in; 0 counts it in always.
    pub max_running: u32,
    /// Whether the adapter was loaded there for this request a moment ago.
    pub loaded: bool,
    /// Tokens of the prompt that the engine has to read.
    pub tokens: u32,
    /// The longest wait with which the request is counted in where there is a limit.
    pub max_wait: Millis,
}

impl Controllers {
    /// Has a request counted in at an engine by whoever gives it orders.
    pub async fn admit(&self, upstream: &Arc<Upstream>, question: AdmitQuery<'_>) -> AdmitDecision {
        let answer = if self.ownership.owns(upstream.address) {
            self.admit_here(upstream, question)
        } else {
            self.admit_there(upstream, question).await
        };
        let counter = &self.metrics.admissions;
        counter.with_label_values(&[answer.name()]).inc();
        if let Some(load) = answer.load() {
            let elsewhere = load.running.saturating_sub(upstream.running());
            upstream.record_remote_load(elsewhere, self.clock.now());
        }
        answer
    }

    /// Answers for an engine that this node orders.
    pub(super) fn admit_here(
        &self,
        upstream: &Arc<Upstream>,
        question: AdmitQuery<'_>,
    ) -> AdmitDecision {
        // Counting needs no right to give orders: an owner that has lost the key-value service
        // still knows best what runs at its engines.
        if !self.ownership.owns(upstream.address) {
            return AdmitDecision::Unknown;
        }
        let none = Name::from("");
        let adapter = question.adapter.unwrap_or(&none);
        let engine = &upstream.incarnation;
        let load = self.table.load(engine, adapter, upstream.slots);
        let held = upstream.version(adapter);
        let absent = held.is_none_or(|held| held < question.version);
        if question.adapter.is_some() && absent && !question.loaded {
            return AdmitDecision::Absent(load);
        }
        let is_busy = load.running >= question.max_running || load.wait > question.max_wait;
        if question.max_running > 0 && is_busy {
            return AdmitDecision::Busy(load);
        }
        if question.adapter.is_some() {
            self.record_uses(engine, vec![Name::clone(adapter)], IN_USE_GRACE);
        }
        let part = CountedRequest {
            adapter: Name::clone(adapter),
            tokens: question.tokens,
        };
        let place = self.table.enter(engine, part);
        AdmitDecision::Admitted(Permit(Counted::Here(place)), load)
    }

    async fn admit_there(
        &self,
        upstream: &Arc<Upstream>,
        question: AdmitQuery<'_>,
    ) -> AdmitDecision {
        let Some((node, peer)) = self.view.owner(upstream.address) else {
            return AdmitDecision::Unknown;
        };
        if self.is_unresponsive(peer.address) {
            return AdmitDecision::Unknown;
        }
        let request = AdmitRequest {
            incarnation: upstream.incarnation.to_string(),
            adapter: question
                .adapter
                .map(ToString::to_string)
                .unwrap_or_default(),
            version: question.version,
            limit: question.max_running,
            loaded: question.loaded,
            tokens: question.tokens,
            patience_ms: question.max_wait.0,
        };
        // This side of the call ends when the sender is dropped.
        let (unread, is_read) = oneshot::channel::<()>();
        let requests = stream::once(future::ready(request)).chain(
            is_read
                .into_stream()
                .filter_map(|_| future::ready(None::<AdmitRequest>)),
        );
        let mut client = self.client(peer.address);
        let asking = async {
            let mut replies = client.admit(requests).await?.into_inner();
            let reply = replies.message().await?;
            Ok::<_, Status>((replies, reply))
        };
        match tokio::time::timeout(ANSWER.duration(), asking).await {
            Ok(Ok((replies, Some(reply)))) => read(replies, &reply, unread),
            Ok(Ok((_, None))) => AdmitDecision::Unknown,
            Ok(Err(status)) => {
                log::info!("admit: {node} does not answer: {}", status.message());
                AdmitDecision::Unknown
            }
            Err(_) => {
                log::info!("admit: no answer from {node} within {ANSWER}");
                self.mark_late(peer.address);
                AdmitDecision::Unknown
            }
        }
    }
}

fn read(
    replies: Streaming<AdmitReply>,
    reply: &AdmitReply,
    unread: oneshot::Sender<()>,
) -> AdmitDecision {
    let load = EngineLoad {
        running: reply.running,
        same_adapter: reply.alike,
        wait: Millis(reply.wait_ms),
    };
    match reply.admission() {
        Admission::Admitted => {
            let counted = Counted::There {
                unread: Some(unread),
                _call: Box::new(replies),
            };
            AdmitDecision::Admitted(Permit(counted), load)
        }
        Admission::Busy => AdmitDecision::Busy(load),
        Admission::Absent => AdmitDecision::Absent(load),
        Admission::Unknown | Admission::Unspecified => AdmitDecision::Unknown,
    }
}

/// The answer to another node: one message, and silence while the request runs.
#[derive(Debug)]
pub struct AdmitReplies {
    reply: Option<AdmitReply>,
    permit: Option<Permit>,
    /// The other node's side; its end says that the prompt is read.
    questions: Option<Streaming<AdmitRequest>>,
}

impl AdmitReplies {
    /// Makes the answer that keeps a request counted until the other node drops the call.
    #[must_use]
    pub fn new(answer: AdmitDecision, questions: Streaming<AdmitRequest>) -> Self {
        let (admission, load, permit) = match answer {
            AdmitDecision::Admitted(permit, load) => {
                (Admission::Admitted, Some(load), Some(permit))
            }
            AdmitDecision::Busy(load) => (Admission::Busy, Some(load), None),
            AdmitDecision::Absent(load) => (Admission::Absent, Some(load), None),
            AdmitDecision::Unknown => (Admission::Unknown, None, None),
        };
        let reply = AdmitReply {
            admission: admission.into(),
            running: load.map_or(0, |load| load.running),
            alike: load.map_or(0, |load| load.same_adapter),
            wait_ms: load.map_or(0, |load| load.wait.0),
        };
        Self {
            reply: Some(reply),
            permit,
            questions: Some(questions),
        }
    }
}

impl Stream for AdmitReplies {
    type Item = Result<AdmitReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(reply) = self.reply.take() {
            return Poll::Ready(Some(Ok(reply)));
        }
        let this = &mut *self;
        let Some(permit) = &mut this.permit else {
            return Poll::Ready(None);
        };
        if let Some(questions) = &mut this.questions {
            match questions.poll_next_unpin(context) {
                Poll::Ready(None) => {
                    permit.prefill_done();
                    this.questions = None;
                }
                // The call was dropped; the count must not outlast it.
                Poll::Ready(Some(Err(_))) => return Poll::Ready(None),
                Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
            }
        }
        // The other node's dropping of the call ends it, so nothing else has to wake this.
        Poll::Pending
    }
}
