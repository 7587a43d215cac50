//! Moving a run from the engine that read its prompt to one that writes its answer.
//!
//! The source stops the run, copies its memory to the target and closes the stream without
//! its end; the same request, sent to the target with the memory's name, goes on behind the
//! last event. It counts as one run: the prompt isn't read again, and at no time do two
//! engines work on it. [`super::roles`] decides what moves where. See docs/decisions/reading-apart.md.

use std::sync::Arc;

use smallvec::{SmallVec, smallvec};
use tokio::task::JoinHandle;

use super::dialect::{Memory, Transferred};
use super::entry::Gate;
use super::question;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;

/// How long a stream that seems whole waits for an engine that doesn't say whether it moved it.
///
/// An answer takes 20 ms at the median and 119 ms at 99 in 100, most of it the end of a step.
pub const TRANSFER: Millis = Millis(500);

/// A run that is being moved.
#[derive(Debug)]
pub struct Handover {
    target: Target,
    source: Arc<Upstream>,
    asked: JoinHandle<Transferred>,
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
        source: &Arc<Upstream>,
        target: Target,
        left: Millis,
    ) -> Self {
        let asking = ask(
            Arc::clone(gate),
            id.to_owned(),
            Arc::clone(source),
            Arc::clone(&target.upstream),
            left,
        );
        Self {
            target,
            source: Arc::clone(source),
            asked: tokio::spawn(asking),
        }
    }

    /// Returns where the run can go on; none if it wasn't stopped.
    ///
    /// A run stops when the engine is asked, and the copy of its memory can queue behind others
    /// on the engine's link. The answer alone names the memory: without it, a stream that may
    /// not be repeated ends in the middle. So it is waited for, up to `span` from the stream's
    /// end, and not for a time from the question.
    pub async fn end(self, version: Option<u64>, span: Millis) -> Option<Moved> {
        let source = Target {
            upstream: Arc::clone(&self.source),
            version,
            permit: None,
        };
        let (handle, places) = match tokio::time::timeout(span.duration(), self.asked).await {
            Ok(Ok(Transferred::Copied(handle))) => (handle, smallvec![self.target, source]),
            Ok(Ok(Transferred::Kept(handle))) => (handle, smallvec![source]),
            Ok(Ok(Transferred::Unchanged)) => return None,
            Err(_) => {
                log::info!("handover: no answer within {span} of the stream's end");
                return None;
            }
            Ok(Err(error)) => {
                log::error!("handover: the question ended early: {error}");
                return None;
            }
        };
        let memory = Memory {
            source: self.source.address,
            handle,
        };
        Some(Moved { memory, places })
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
