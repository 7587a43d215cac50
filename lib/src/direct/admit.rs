//! Asking the owner of an engine to count a request in, and answering such questions.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::Stream;
use tonic::{Status, Streaming};

use super::admission::{Load, Place};
use super::ask::Desks;
use super::limits::IN_USE;
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
pub struct Permit {
    _counted: Counted,
}

/// Where the request is counted.
#[derive(Debug)]
#[allow(dead_code, reason = "held for what dropping it does")]
enum Counted {
    Here(Place),
    /// Dropping the call tells the owner, at the latest when the connection is lost.
    There(Box<Streaming<AdmitReply>>),
}

/// What an owner said.
#[derive(Debug)]
pub enum Answer {
    /// The request counts while the permit lives.
    Admitted(Permit, Load),
    /// As many requests as the limit says are there.
    Busy(Load),
    /// The engine doesn't hold the adapter.
    Absent(Load),
    /// Nobody counts there, or the owner didn't answer.
    Unknown,
}

/// What is asked of an owner.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The adapter that the request uses, if any.
    pub adapter: Option<&'a Name>,
    /// The least version that will do; 0 is any.
    pub version: u64,
    /// Requests there from which on this one isn't counted in; 0 counts it in always.
    pub limit: u32,
    /// Whether the adapter was loaded there for this request a moment ago.
    pub loaded: bool,
}

impl Desks {
    /// Has a request counted in at an engine by whoever gives it orders.
    pub async fn admit(&self, upstream: &Arc<Upstream>, question: Question<'_>) -> Answer {
        let answer = if self.right.owns(upstream.address) {
            self.admit_here(upstream, question)
        } else {
            self.admit_there(upstream, question).await
        };
        let heard = match &answer {
            Answer::Admitted(_, load) | Answer::Busy(load) | Answer::Absent(load) => Some(load),
            Answer::Unknown => None,
        };
        if let Some(load) = heard {
            let elsewhere = load.running.saturating_sub(upstream.running());
            upstream.heard_load(elsewhere, self.clock.now());
        }
        answer
    }

    /// Answers for an engine that this node orders.
    pub(super) fn admit_here(&self, upstream: &Arc<Upstream>, question: Question<'_>) -> Answer {
        // Counting needs no right to give orders: an owner that has lost the key-value service
        // still knows best what runs at its engines.
        if !self.right.owns(upstream.address) {
            return Answer::Unknown;
        }
        let none = Name::from("");
        let adapter = question.adapter.unwrap_or(&none);
        let engine = &upstream.incarnation;
        let load = self.table.load(engine, adapter, upstream.slots);
        let held = upstream.version(adapter);
        let absent = held.is_none_or(|held| held < question.version);
        if question.adapter.is_some() && absent && !question.loaded {
            return Answer::Absent(load);
        }
        if question.limit > 0 && load.running >= question.limit {
            return Answer::Busy(load);
        }
        if question.adapter.is_some() {
            self.note_uses(engine, vec![Name::clone(adapter)], IN_USE);
        }
        let counted = Counted::Here(self.table.enter(engine, adapter));
        Answer::Admitted(Permit { _counted: counted }, load)
    }

    async fn admit_there(&self, upstream: &Arc<Upstream>, question: Question<'_>) -> Answer {
        let Some((node, peer)) = self.view.owner(upstream.address) else {
            return Answer::Unknown;
        };
        if self.is_silent(peer.address) {
            return Answer::Unknown;
        }
        let request = AdmitRequest {
            incarnation: upstream.incarnation.to_string(),
            adapter: question
                .adapter
                .map(ToString::to_string)
                .unwrap_or_default(),
            version: question.version,
            limit: question.limit,
            loaded: question.loaded,
        };
        let mut client = self.client(peer.address);
        let asking = async {
            let mut replies = client.admit(request).await?.into_inner();
            let reply = replies.message().await?;
            Ok::<_, Status>((replies, reply))
        };
        match tokio::time::timeout(ANSWER.duration(), asking).await {
            Ok(Ok((replies, Some(reply)))) => read(replies, &reply),
            Ok(Ok((_, None))) => Answer::Unknown,
            Ok(Err(status)) => {
                log::info!("admit: {node} does not answer: {}", status.message());
                Answer::Unknown
            }
            Err(_) => {
                log::info!("admit: no answer from {node} within {ANSWER}");
                self.fell_silent(peer.address);
                Answer::Unknown
            }
        }
    }
}

fn read(replies: Streaming<AdmitReply>, reply: &AdmitReply) -> Answer {
    let load = Load {
        running: reply.running,
        alike: reply.alike,
        wait: Millis(reply.wait_ms),
    };
    match reply.admission() {
        Admission::Admitted => {
            let counted = Counted::There(Box::new(replies));
            Answer::Admitted(Permit { _counted: counted }, load)
        }
        Admission::Busy => Answer::Busy(load),
        Admission::Absent => Answer::Absent(load),
        Admission::Unknown | Admission::Unspecified => Answer::Unknown,
    }
}

/// The answer to another node: one message, and silence while the request runs.
#[derive(Debug)]
pub struct Replies {
    reply: Option<AdmitReply>,
    permit: Option<Permit>,
}

impl Replies {
    /// Makes the answer that keeps a request counted until the other node drops the call.
    #[must_use]
    pub fn new(answer: Answer) -> Self {
        let (admission, load, permit) = match answer {
            Answer::Admitted(permit, load) => (Admission::Admitted, Some(load), Some(permit)),
            Answer::Busy(load) => (Admission::Busy, Some(load), None),
            Answer::Absent(load) => (Admission::Absent, Some(load), None),
            Answer::Unknown => (Admission::Unknown, None, None),
        };
        let reply = AdmitReply {
            admission: admission.into(),
            running: load.map_or(0, |load| load.running),
            alike: load.map_or(0, |load| load.alike),
            wait_ms: load.map_or(0, |load| load.wait.0),
        };
        Self {
            reply: Some(reply),
            permit,
        }
    }
}

impl Stream for Replies {
    type Item = Result<AdmitReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.reply.take() {
            Some(reply) => Poll::Ready(Some(Ok(reply))),
            // The other node's dropping of the call ends it, so nothing has to wake this.
            None if self.permit.is_some() => Poll::Pending,
            None => Poll::Ready(None),
        }
    }
}
