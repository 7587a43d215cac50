//! Admission of requests by the owners of engines, as the asking node and as the owner.
//!
//! The owner counts an admitted request for as long as its [`Permit`] lives. While upstreams limit
//! their rejections, another node counts for an upstream without an owner that answers, and a busy
//! answer is binding; see docs/design/0019-rejections.md.

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
use super::rejections::counting::CountingNode;
use super::rejections::notice::Said;
use super::upstream::Upstream;
use super::view::Peer;
use crate::clock::Millis;
use crate::name::Name;
use crate::schema::direct::{Admission, AdmitReply, AdmitRequest};

/// Timeout for an admission query to an owner.
///
/// This is a fifth of the time for which callers tolerate waiting for the first event. An answer
/// takes some milliseconds; waiting any longer would cost the request more than the answer is
/// worth.
const ADMIT_TIMEOUT: Millis = Millis(120);

/// The same while upstreams limit their rejections.
///
/// Another node that counts beside one that is only slow lets in more than the upstream holds.
const LIMITED_ADMIT_TIMEOUT: Millis = Millis(500);

/// Keeps a request counted by the owner of its engine until this is dropped.
#[derive(Debug)]
pub struct Permit(Counted);

/// Where a request is counted.
#[derive(Debug)]
enum Counted {
    Local(OccupancyGuard),
    /// At another node, which learns that the call was dropped when the connection is lost at the
    /// latest.
    Remote {
        /// Dropped once the prompt is prefilled, which ends this node's side of the call.
        prefill_pending: Option<oneshot::Sender<AdmitRequest>>,
        call: Box<Streaming<AdmitReply>>,
    },
}

impl Permit {
    /// Tells the node that counts the request that the upstream rejected it for want of room.
    pub fn mark_rejected(self) {
        match self.0 {
            Counted::Local(mut guard) => guard.mark_rejected(),
            Counted::Remote {
                prefill_pending,
                mut call,
            } => {
                let rejected = AdmitRequest {
                    rejected: true,
                    ..AdmitRequest::default()
                };
                if let Some(requests) = prefill_pending {
                    // It fails only if the other node has ended the call.
                    let _ = requests.send(rejected);
                }
                // Dropping the call now could discard the message before it is sent.
                tokio::spawn(async move {
                    let ended = call.message();
                    let _ = tokio::time::timeout(ADMIT_TIMEOUT.duration(), ended).await;
                });
            }
        }
    }

    /// Tells the owner that the engine has prefilled the request's prompt.
    pub fn prefill_done(&mut self) {
        match &mut self.0 {
            Counted::Local(guard) => guard.prefill_done(),
            Counted::Remote {
                prefill_pending, ..
            } => *prefill_pending = None,
        }
    }
}

/// Decision of an owner on an admission query.
#[derive(Debug)]
pub enum AdmitDecision {
    /// The request is admitted and counted while the permit lives.
    Admitted(Permit, EngineLoad),
    /// The engine has reached the limit on running requests or on the wait.
    Busy(EngineLoad),
    /// The engine doesn't hold the adapter.
    Absent(EngineLoad),
    /// The engine has no owner that counts, or the owner didn't answer.
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

    /// Returns the load of the engine, if the owner reported it.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        match self {
            Self::Admitted(_, load) | Self::Busy(load) | Self::Absent(load) => Some(*load),
            Self::Unknown => None,
        }
    }
}

/// Admission query to the owner of an engine.
#[derive(Debug, Clone, Copy)]
pub struct AdmitQuery<'a> {
    /// The adapter that the request uses, if any.
    pub adapter: Option<&'a Name>,
    /// The lowest acceptable version of the adapter; 0 accepts any.
    pub version: u64,
    /// Number of running requests at which the request is rejected; 0 always admits it.
    pub max_running: u32,
    /// Whether the adapter has just been loaded at the engine for this request.
    pub loaded: bool,
    /// Whether only the load is wanted: with a limit on rejections, the request isn't counted.
    pub report_only: bool,
    /// Number of rejections in a second that the upstream is assumed to bear, if nothing is known.
    pub assumed_limit: Option<u32>,
    /// Number of prompt tokens that the engine has to prefill.
    pub tokens: u32,
    /// Longest expected wait with which the request is admitted. Ignored if `max_running` is 0.
    pub max_wait: Millis,
}

impl Controllers {
    /// Asks the owner of an engine to admit a request.
    ///
    /// While upstreams limit their rejections, the nodes that may count for the upstream are asked
    /// one after the other until one of them decides.
    pub async fn admit(&self, upstream: &Arc<Upstream>, query: AdmitQuery<'_>) -> AdmitDecision {
        let known_limit = upstream.notice().limit(self.clock.now());
        let decision = match known_limit.or(query.assumed_limit) {
            Some(limit) => self.admit_at_counting_node(upstream, query, limit).await,
            None if self.ownership.owns(upstream.address) => {
                self.admit_locally(upstream, query, None)
            }
            None => match self.view.owner(upstream.address) {
                Some((_, peer)) if self.is_unresponsive(peer.address) => AdmitDecision::Unknown,
                Some((node, peer)) => {
                    let asked = (upstream, query, None);
                    self.admit_remotely(&node, &peer, asked).await
                }
                None => AdmitDecision::Unknown,
            },
        };
        let counter = &self.metrics.admissions;
        counter.with_label_values(&[decision.name()]).inc();
        if let Some(load) = decision.load() {
            let remote = load.running.saturating_sub(upstream.running());
            upstream.record_remote_load(remote, self.clock.now());
        }
        decision
    }

    async fn admit_at_counting_node(
        &self,
        upstream: &Arc<Upstream>,
        query: AdmitQuery<'_>,
        limit: u32,
    ) -> AdmitDecision {
        for node in self.counting_nodes(upstream) {
            let decision = match node {
                CountingNode::Local => self.admit_locally(upstream, query, Some(limit)),
                CountingNode::Remote(node, peer) => {
                    let asked = (upstream, query, Some(limit));
                    let decision = self.admit_remotely(&node, &peer, asked).await;
                    if matches!(decision, AdmitDecision::Unknown) {
                        self.record_uncounting(peer.address);
                    }
                    decision
                }
            };
            if !matches!(decision, AdmitDecision::Unknown) {
                return decision;
            }
        }
        AdmitDecision::Unknown
    }

    /// Decides on an admission query for an engine that this node owns, or with `asked_limit` for
    /// any upstream.
    ///
    /// `asked_limit` is the number of rejections in a second that the upstream bears unless this
    /// node knows better.
    pub(super) fn admit_locally(
        &self,
        upstream: &Arc<Upstream>,
        query: AdmitQuery<'_>,
        asked_limit: Option<u32>,
    ) -> AdmitDecision {
        // Counting doesn't require a valid lease: an owner that has lost the key-value service
        // still has the best count for its engines.
        let is_owner = self.ownership.owns(upstream.address);
        if !is_owner && asked_limit.is_none() {
            return AdmitDecision::Unknown;
        }
        let no_adapter = Name::from("");
        let adapter = query.adapter.unwrap_or(&no_adapter);
        let engine = &upstream.incarnation;
        let load = self.table.load(engine, adapter, upstream.slots);
        let held = upstream.version(adapter);
        // Only the owner knows for sure.
        let is_absent = is_owner && held.is_none_or(|held| held < query.version);
        if query.adapter.is_some() && is_absent && !query.loaded {
            return AdmitDecision::Absent(load);
        }
        let is_busy = load.running >= query.max_running || load.wait > query.max_wait;
        let limit = self.rejection_limit(upstream, asked_limit);
        // A request that isn't sent must not look like one that the upstream accepted.
        let is_report = query.report_only && limit.is_some();
        if is_report || (query.max_running > 0 && is_busy) {
            return AdmitDecision::Busy(load);
        }
        let request = CountedRequest {
            adapter: Name::clone(adapter),
            prompt_tokens: query.tokens,
        };
        let slots = upstream.slots;
        let Some(guard) = self.table.try_start_request(engine, request, slots, limit) else {
            self.metrics.requests_withheld.inc();
            return AdmitDecision::Busy(load);
        };
        if query.adapter.is_some() && is_owner {
            self.record_uses(engine, vec![Name::clone(adapter)], IN_USE_GRACE);
        }
        AdmitDecision::Admitted(Permit(Counted::Local(guard)), load)
    }

    async fn admit_remotely(
        &self,
        node: &Name,
        peer: &Peer,
        (upstream, query, limit): (&Arc<Upstream>, AdmitQuery<'_>, Option<u32>),
    ) -> AdmitDecision {
        let now = self.clock.now();
        let said = upstream.notice().last();
        let request = AdmitRequest {
            incarnation: upstream.incarnation.to_string(),
            adapter: query.adapter.map(ToString::to_string).unwrap_or_default(),
            version: query.version,
            limit: query.max_running,
            loaded: query.loaded,
            tokens: query.tokens,
            patience_ms: query.max_wait.0,
            rejection_limit: said.and_then(|said| said.limit),
            notice_age_ms: said.map(|said| now.since(said.at).0),
            report_only: query.report_only,
            rejected: false,
            count_limit: limit,
        };
        // The stream of requests ends when the sender is dropped.
        let (prefill_pending, prefill_done) = oneshot::channel::<AdmitRequest>();
        let requests = stream::once(future::ready(request)).chain(
            prefill_done
                .into_stream()
                .filter_map(|rejected| future::ready(rejected.ok())),
        );
        let mut client = self.client(peer.address);
        let call = async {
            let mut replies = client.admit(requests).await?.into_inner();
            let reply = replies.message().await?;
            Ok::<_, Status>((replies, reply))
        };
        let timeout = limit.map_or(ADMIT_TIMEOUT, |_| LIMITED_ADMIT_TIMEOUT);
        match tokio::time::timeout(timeout.duration(), call).await {
            Ok(Ok((replies, Some(reply)))) => {
                let answered_at = self.clock.now();
                let took = answered_at.since(now);
                self.view.delays.record_round_trip(took, answered_at);
                let limit = reply.rejection_limit;
                self.record_told(upstream, limit, reply.notice_age_ms);
                decision_from_reply(replies, &reply, prefill_pending)
            }
            Ok(Ok((_, None))) => AdmitDecision::Unknown,
            Ok(Err(status)) => {
                log::info!("admit: {node} does not answer: {}", status.message());
                AdmitDecision::Unknown
            }
            Err(_) => {
                log::info!("admit: no answer from {node} within {timeout}");
                self.mark_late(peer.address);
                AdmitDecision::Unknown
            }
        }
    }
}

fn decision_from_reply(
    replies: Streaming<AdmitReply>,
    reply: &AdmitReply,
    prefill_pending: oneshot::Sender<AdmitRequest>,
) -> AdmitDecision {
    let load = EngineLoad {
        running: reply.running,
        same_adapter: reply.alike,
        wait: Millis(reply.wait_ms),
    };
    match reply.admission() {
        Admission::Admitted => {
            let counted = Counted::Remote {
                prefill_pending: Some(prefill_pending),
                call: Box::new(replies),
            };
            AdmitDecision::Admitted(Permit(counted), load)
        }
        Admission::Busy => AdmitDecision::Busy(load),
        Admission::Absent => AdmitDecision::Absent(load),
        Admission::Unknown | Admission::Unspecified => AdmitDecision::Unknown,
    }
}

/// Response stream to another node: one message, then nothing until the request ends.
#[derive(Debug)]
pub struct AdmitReplies {
    reply: Option<AdmitReply>,
    permit: Option<Permit>,
    /// The other node's side of the call, which ends once the prompt is prefilled.
    requests: Option<Streaming<AdmitRequest>>,
}

impl AdmitReplies {
    /// Creates the response stream, which keeps an admitted request counted until the other node
    /// drops the call.
    #[must_use]
    pub fn new(
        decision: AdmitDecision,
        requests: Streaming<AdmitRequest>,
        said: Option<Said>,
        now: Millis,
    ) -> Self {
        let (admission, load, permit) = match decision {
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
            rejection_limit: said.and_then(|said| said.limit),
            notice_age_ms: said.map(|said| now.since(said.at).0),
        };
        Self {
            reply: Some(reply),
            permit,
            requests: Some(requests),
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
        let Some(mut permit) = this.permit.take() else {
            return Poll::Ready(None);
        };
        while let Some(requests) = &mut this.requests {
            match requests.poll_next_unpin(context) {
                Poll::Ready(None) => {
                    permit.prefill_done();
                    this.requests = None;
                }
                // The call was dropped, so the request is no longer counted.
                Poll::Ready(Some(Err(_))) => return Poll::Ready(None),
                Poll::Ready(Some(Ok(message))) if message.rejected => {
                    permit.mark_rejected();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Pending => break,
            }
        }
        this.permit = Some(permit);
        // The stream ends when the other node drops the call; no other wake-up is needed.
        Poll::Pending
    }
}
