//! Moving a run from the engine that read its prompt to one that writes its answer.
//!
//! The source stops the run, copies its memory to the target and closes the stream without
//! its end; the same request, sent to the target with the memory's name, goes on behind the
//! last event. It counts as one run: the prompt isn't read again, and at no time do two
//! engines work on it. [`super::roles`] decides what moves where. See docs/decisions/reading-apart.md.

use std::sync::Arc;

use smallvec::{SmallVec, smallvec};
use tokio_util::task::AbortOnDropHandle;

use super::attempt::UpstreamResponse;
use super::control_call;
use super::dialect::{KvCacheHandle, TransferOutcome};
use super::entry::Frontend;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;

/// A run that is being moved.
///
/// Dropping it ends the question.
#[derive(Debug)]
pub struct Handover {
    target: Option<Target>,
    source: Arc<Upstream>,
    /// Version of the adapter that the run began on.
    version: Option<u64>,
    asked: AbortOnDropHandle<TransferOutcome>,
}

/// What an engine said to the question to move a run.
#[derive(Debug)]
pub enum HandoverReply {
    /// It was stopped, and can go on.
    Stopped(Box<StoppedRun>),
    /// It was not stopped.
    Unchanged,
    /// Nothing so far.
    Unanswered,
}

/// Where a run that was stopped can go on.
#[derive(Debug)]
pub struct StoppedRun {
    /// What to present there.
    pub memory: KvCacheHandle,
    /// Engines that have it, the better one first.
    pub places: SmallVec<[Target; 2]>,
}

impl Handover {
    /// Asks an engine to stop a request's run and to copy its memory to `target`.
    ///
    /// `left` is the time that the request has.
    #[must_use]
    pub fn begin(
        frontend: &Arc<Frontend>,
        id: &str,
        answer: &UpstreamResponse,
        target: Target,
        left: Millis,
    ) -> Self {
        let source = Arc::clone(&answer.upstream);
        let asking = ask(
            Arc::clone(frontend),
            id.to_owned(),
            Arc::clone(&source),
            Arc::clone(&target.upstream),
            left,
        );
        Self {
            target: Some(target),
            source,
            version: answer.version,
            asked: AbortOnDropHandle::new(tokio::spawn(asking)),
        }
    }

    /// Returns what the engine said, waiting for it up to `span`.
    ///
    /// A run stops when its engine is asked, and the copy of its memory can queue behind others
    /// on the engine's link. The answer alone names the memory: without it, a stream that may
    /// not be repeated ends in the middle. So nothing is lost when this returns
    /// [`HandoverReply::Unanswered`].
    pub async fn reply(&mut self, span: Millis) -> HandoverReply {
        let Ok(asked) = tokio::time::timeout(span.duration(), &mut self.asked).await else {
            return HandoverReply::Unanswered;
        };
        let source = Target {
            upstream: Arc::clone(&self.source),
            version: self.version,
            permit: None,
        };
        let (handle, places) = match asked {
            Ok(TransferOutcome::Copied(handle)) => {
                let target = self.target.take();
                (handle, target.into_iter().chain([source]).collect())
            }
            Ok(TransferOutcome::Kept(handle)) => (handle, smallvec![source]),
            Ok(TransferOutcome::Unchanged) => return HandoverReply::Unchanged,
            Err(error) => {
                log::error!("handover: the question ended early: {error}");
                return HandoverReply::Unchanged;
            }
        };
        self.source.record_success();
        let memory = KvCacheHandle {
            source: self.source.address,
            handle,
        };
        HandoverReply::Stopped(Box::new(StoppedRun { memory, places }))
    }
}

async fn ask(
    frontend: Arc<Frontend>,
    id: String,
    source: Arc<Upstream>,
    target: Arc<Upstream>,
    left: Millis,
) -> TransferOutcome {
    let request = frontend
        .dialect
        .transfer_request(&source.incarnation, &id, target.address);
    let asked = control_call::send(&*frontend.dialect, &source, request);
    let transferred = match tokio::time::timeout(left.duration(), asked).await {
        Ok(Ok((head, body))) => frontend.dialect.transfer_outcome(&head, &body),
        Ok(Err(told)) => {
            log::info!(request = id.as_str(), cause = told.as_str(); "handover: no answer");
            TransferOutcome::Unchanged
        }
        Err(_) => {
            log::info!(request = id.as_str(); "handover: nothing within {left}");
            TransferOutcome::Unchanged
        }
    };
    frontend
        .metrics
        .handovers
        .with_label_values(&[transferred.name()])
        .inc();
    transferred
}
