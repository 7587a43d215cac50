//! Sends of one request whose responses are pending.
//!
//! An engine can be silent for seconds and then continue: its queue is long, or it is prefilling
//! the prompts of others. If the send to it were dropped to try another engine and that engine
//! rejected the request, the position in the queue would be lost and the caller would get a failure
//! for work that was about to start. The earlier send is therefore kept until another engine starts
//! to respond. The first response head wins; the connections of the other sends are then closed,
//! which ends their runs. See docs/design/0010-leaving-a-silent-engine.md.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use smallvec::SmallVec;

use super::attempt::{RequestMessage, SendError, UpstreamResponse};
use super::dialect::DispatchHeaders;
use super::entry::Frontend;
use super::target::Target;
use super::upstream::Upstream;
use super::versions::VersionWatch;
use crate::clock::Millis;

/// A send that has ended.
#[derive(Debug)]
pub struct FinishedSend {
    /// The upstream to which it went.
    pub upstream: Arc<Upstream>,
    /// When the request was sent.
    pub at: Millis,
    /// The response, whose head has arrived, or the reason why there is none.
    pub result: Result<UpstreamResponse, SendError>,
}

/// State of a pending send.
#[derive(Debug)]
struct PendingSend {
    upstream: Arc<Upstream>,
    /// Whether the upstream has been marked as silent.
    is_silent: bool,
}

/// The pending sends of a request. Dropping them closes their connections.
#[derive(Debug, Default)]
pub struct PendingSends {
    responses: FuturesUnordered<BoxFuture<'static, FinishedSend>>,
    pending: SmallVec<[PendingSend; 2]>,
}

impl PendingSends {
    /// Starts to send a request to a target at `now`.
    pub fn begin(
        &mut self,
        message: &Arc<RequestMessage>,
        frontend: &Arc<Frontend>,
        target: Target,
        dispatch: DispatchHeaders,
        watch: Option<VersionWatch>,
        now: Millis,
    ) {
        let Target {
            upstream, permit, ..
        } = target;
        self.pending.push(PendingSend {
            upstream: Arc::clone(&upstream),
            is_silent: false,
        });
        let (message, frontend) = (Arc::clone(message), Arc::clone(frontend));
        self.responses.push(Box::pin(async move {
            let (paths, dialect) = (&*frontend.paths, &*frontend.dialect);
            let send = message.send(&upstream, paths, dialect, &dispatch, permit, watch);
            let result = send.await;
            FinishedSend {
                upstream,
                at: now,
                result,
            }
        }));
    }

    /// Whether no send is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.responses.is_empty()
    }

    /// Whether a send to an upstream is pending.
    #[must_use]
    pub fn includes(&self, upstream: &Upstream) -> bool {
        let same = |one: &PendingSend| one.upstream.incarnation == upstream.incarnation;
        self.pending.iter().any(same)
    }

    /// Returns the upstream of the newest pending send.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<Upstream>> {
        self.pending.last().map(|one| &one.upstream)
    }

    /// Marks the upstream of the newest pending send as silent, and returns it the first time.
    ///
    /// A request that waits for long counts as one failure of its upstream, however often it tries
    /// to go elsewhere: two failures suspend an upstream.
    pub fn mark_silent(&mut self) -> Option<Arc<Upstream>> {
        let newest = self.pending.last_mut()?;
        let is_first = !std::mem::replace(&mut newest.is_silent, true);
        is_first.then(|| Arc::clone(&newest.upstream))
    }

    /// Waits for the next send to finish; `None` if no send is pending.
    ///
    /// This is cancel safe: dropping the future loses nothing.
    pub async fn next(&mut self) -> Option<FinishedSend> {
        let finished = self.responses.next().await?;
        self.pending
            .retain(|one| one.upstream.incarnation != finished.upstream.incarnation);
        Some(finished)
    }
}
