//! Sends of one request whose answers are still to come.
//!
//! An engine can be silent for seconds and go on: its queue is long, or it reads the prompts of
//! others. Whoever drops a send there to try another engine has lost the place in the queue if
//! the other one rejects the request, and the caller gets a failure for work that was about to
//! begin. So the former send is kept until another engine has begun to answer; the first head
//! that comes counts, and the connections of the others are closed then, which ends their runs.
//! See docs/design/0010-leaving-a-silent-engine.md.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use smallvec::SmallVec;

use super::attempt::{RequestMessage, SendError, UpstreamResponse};
use super::dialect::{Dialect, DispatchHeaders};
use super::target::Target;
use super::upstream::Upstream;
use super::versions::VersionWatch;
use crate::clock::Millis;

/// A send that has ended.
#[derive(Debug)]
pub struct FinishedSend {
    /// Where it went.
    pub upstream: Arc<Upstream>,
    /// When it was sent.
    pub at: Millis,
    /// The answer's head, or why there is none.
    pub result: Result<UpstreamResponse, SendError>,
}

/// A send in progress, as it is known without waiting for it.
#[derive(Debug)]
struct Waiting {
    upstream: Arc<Upstream>,
    /// Whether the upstream was found silent already.
    silent: bool,
}

/// Sends in progress; dropping them closes their connections.
#[derive(Debug, Default)]
pub struct PendingSends {
    answers: FuturesUnordered<BoxFuture<'static, FinishedSend>>,
    waiting: SmallVec<[Waiting; 2]>,
}

impl PendingSends {
    /// Sends a request at `now`.
    pub fn begin(
        &mut self,
        message: &Arc<RequestMessage>,
        dialect: &Arc<dyn Dialect>,
        target: Target,
        dispatch: DispatchHeaders,
        watch: Option<VersionWatch>,
        now: Millis,
    ) {
        let Target {
            upstream, permit, ..
        } = target;
        self.waiting.push(Waiting {
            upstream: Arc::clone(&upstream),
            silent: false,
        });
        let (message, dialect) = (Arc::clone(message), Arc::clone(dialect));
        self.answers.push(Box::pin(async move {
            let sending = message.send(&upstream, &*dialect, &dispatch, permit, watch);
            let result = sending.await;
            FinishedSend {
                upstream,
                at: now,
                result,
            }
        }));
    }

    /// Whether nothing is on its way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Whether a send to an upstream is on its way.
    #[must_use]
    pub fn includes(&self, upstream: &Upstream) -> bool {
        let same = |one: &Waiting| one.upstream.incarnation == upstream.incarnation;
        self.waiting.iter().any(same)
    }

    /// Returns the upstream that was tried last.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<Upstream>> {
        self.waiting.last().map(|one| &one.upstream)
    }

    /// Marks the upstream that was tried last as silent; returns it the first time.
    ///
    /// A request that waits for long speaks against its upstream once, however often it looks
    /// elsewhere: two such marks suspend an upstream.
    pub fn mark_silent(&mut self) -> Option<Arc<Upstream>> {
        let newest = self.waiting.last_mut()?;
        let first = !std::mem::replace(&mut newest.silent, true);
        first.then(|| Arc::clone(&newest.upstream))
    }

    /// Waits for the next send to end; none if nothing is on its way.
    ///
    /// Nothing is lost when this is dropped before it returns.
    pub async fn next(&mut self) -> Option<FinishedSend> {
        let sent = self.answers.next().await?;
        self.waiting
            .retain(|one| one.upstream.incarnation != sent.upstream.incarnation);
        Some(sent)
    }
}
