//! Moving a run from the engine that read its prompt to one that writes its answer.
//!
//! The source stops the run, copies its memory to the target and closes the stream without
//! its end; the same request, sent to the target with the memory's name, goes on behind the
//! last event. It counts as one run: the prompt isn't read again, and at no time do two
//! engines work on it. [`super::roles`] decides what moves where. See docs/decisions/reading-apart.md.

use std::sync::Arc;

use smallvec::{SmallVec, smallvec};
use tokio_util::task::AbortOnDropHandle;

use super::attempt::Answer;
use super::dialect::{Memory, Transferred};
use super::entry::Gate;
use super::question;
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
    asked: AbortOnDropHandle<Transferred>,
}

/// What an engine said to the question to move a run.
#[derive(Debug)]
pub enum Reply {
    /// It was stopped, and can go on.
    Stopped(Box<Moved>),
    /// It was not stopped.
    Unchanged,
    /// Nothing so far.
    Unanswered,
}

/// Where a run that was stopped can go on.
#[derive(Debug)]
pub struct Moved {
    /// What to present there.
    pub memory: Memory,
    /// Engines that have it, the better one first.
    pub places: SmallVec<[Target; 2]>,
}

impl Handover {
    /// Asks an engine to stop a request's run and to copy its memory to `target`.
    ///
    /// `left` is the time that the request has.
    #[must_use]
    pub fn begin(
        gate: &Arc<Gate>,
        id: &str,
        answer: &Answer,
        target: Target,
        left: Millis,
    ) -> Self {
        let source = Arc::clone(&answer.upstream);
        let asking = ask(
            Arc::clone(gate),
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
    /// [`Reply::Unanswered`].
    pub async fn reply(&mut self, span: Millis) -> Reply {
        let Ok(asked) = tokio::time::timeout(span.duration(), &mut self.asked).await else {
            return Reply::Unanswered;
        };
        let source = Target {
            upstream: Arc::clone(&self.source),
            version: self.version,
            permit: None,
        };
        let (handle, places) = match asked {
            Ok(Transferred::Copied(handle)) => {
                let target = self.target.take();
                (handle, target.into_iter().chain([source]).collect())
            }
            Ok(Transferred::Kept(handle)) => (handle, smallvec![source]),
            Ok(Transferred::Unchanged) => return Reply::Unchanged,
            Err(error) => {
                log::error!("handover: the question ended early: {error}");
                return Reply::Unchanged;
            }
        };
        self.source.record_success();
        let memory = Memory {
            source: self.source.address,
            handle,
        };
        Reply::Stopped(Box::new(Moved { memory, places }))
    }
}

async fn ask(
    gate: Arc<Gate>,
    id: String,
    source: Arc<Upstream>,
    target: Arc<Upstream>,
    left: Millis,
) -> Transferred {
    let request = gate
        .dialect
        .ask_transfer(&source.incarnation, &id, target.address);
    let asked = question::ask(&*gate.dialect, &source, request);
    let transferred = match tokio::time::timeout(left.duration(), asked).await {
        Ok(Ok((head, body))) => gate.dialect.transferred(&head, &body),
        Ok(Err(told)) => {
            log::info!(request = id.as_str(), cause = told.as_str(); "handover: no answer");
            Transferred::Unchanged
        }
        Err(_) => {
            log::info!(request = id.as_str(); "handover: nothing within {left}");
            Transferred::Unchanged
        }
    };
    gate.metrics
        .handovers
        .with_label_values(&[transferred.name()])
        .inc();
    transferred
}
