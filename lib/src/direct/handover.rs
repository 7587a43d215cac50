//! Moves a run from a prefill engine to a decode engine.
//!
//! The source stops the run, copies its KV cache to the target and closes the stream without an
//! end event. The same request, sent to the target with the handle of the KV cache, resumes after
//! the last event. It counts as one run: the prompt isn't prefilled again, and no two engines work
//! on it at the same time. [`super::roles`] decides which runs move where. See
//! docs/decisions/reading-apart.md.

use std::sync::Arc;

use smallvec::{SmallVec, smallvec};
use tokio_util::task::AbortOnDropHandle;

use super::attempt::UpstreamResponse;
use super::control_call;
use super::dialect::{KvCacheHandle, TransferOutcome};
use super::entry::Frontend;
use super::retry_permit::RetryPermits;
use super::target::Target;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::ports::connection_pool::TransportError;

/// A transfer of a run's KV cache in progress.
///
/// Dropping it cancels the request to the source.
#[derive(Debug)]
pub struct Handover {
    target: Option<Target>,
    source: Arc<Upstream>,
    /// Version of the adapter that the run uses.
    version: Option<u64>,
    /// Version of the base model's weights that computed its KV cache.
    weights: Option<u64>,
    /// Pay for one send of the run to each engine that can resume it.
    permits: RetryPermits,
    transfer: AbortOnDropHandle<TransferOutcome>,
}

/// Result of a handover as far as the source has responded.
#[derive(Debug)]
pub enum HandoverReply {
    /// The run was stopped and can be resumed.
    Stopped(Box<StoppedRun>),
    /// The run was not stopped.
    NotStopped,
    /// The source won't respond; it may have stopped the run.
    Unknown,
    /// The source hasn't responded yet.
    Unanswered,
}

/// A stopped run and where it can be resumed.
#[derive(Debug)]
pub struct StoppedRun {
    /// Identifies the run's KV cache.
    pub kv_cache: KvCacheHandle,
    /// Engines that hold the KV cache, the preferred one first.
    pub targets: SmallVec<[Target; 2]>,
    /// Pay for one send to each of them.
    pub permits: RetryPermits,
    /// Version of the base model's weights that computed the KV cache, if it is known.
    pub weights: Option<u64>,
}

impl Handover {
    /// Asks the engine that runs a request to stop it and to copy its KV cache to `target`.
    ///
    /// `model` is its base model and `left` the time until the request's deadline; `permits` pay for
    /// the sends that resume it.
    #[must_use]
    pub fn begin(
        frontend: &Arc<Frontend>,
        (id, model): (&str, &str),
        response: &UpstreamResponse,
        target: Target,
        left: Millis,
        permits: RetryPermits,
    ) -> Self {
        let source = Arc::clone(&response.upstream);
        let weights = response.weights_version(model);
        let transfer = transfer(
            Arc::clone(frontend),
            id.to_owned(),
            Arc::clone(&source),
            Arc::clone(&target.upstream),
            left,
        );
        Self {
            target: Some(target),
            source,
            version: response.version,
            weights,
            permits,
            transfer: AbortOnDropHandle::new(tokio::spawn(transfer)),
        }
    }

    /// Returns the source's reply, waiting for it up to `timeout`.
    ///
    /// The run stops as soon as the source is asked, while the copy of its KV cache can queue
    /// behind others on the source's network link. Only the reply contains the handle of the KV
    /// cache; without it, a stream that may not be retried is aborted. So the transfer continues
    /// when this returns [`HandoverReply::Unanswered`], and this can be called again.
    pub async fn reply(&mut self, timeout: Millis) -> HandoverReply {
        let Ok(transferred) = tokio::time::timeout(timeout.duration(), &mut self.transfer).await
        else {
            return HandoverReply::Unanswered;
        };
        let source = Target {
            upstream: Arc::clone(&self.source),
            version: self.version,
            permit: None,
        };
        let (handle, targets) = match transferred {
            Ok(TransferOutcome::Copied(handle)) => {
                let target = self.target.take();
                (handle, target.into_iter().chain([source]).collect())
            }
            Ok(TransferOutcome::Kept(handle)) => (handle, smallvec![source]),
            Ok(TransferOutcome::Unchanged) => return HandoverReply::NotStopped,
            Ok(TransferOutcome::Unknown) => return HandoverReply::Unknown,
            Err(error) => {
                log::error!("handover: the transfer task failed: {error}");
                return HandoverReply::Unknown;
            }
        };
        self.source.record_success();
        let kv_cache = KvCacheHandle {
            source: self.source.address,
            handle,
        };
        HandoverReply::Stopped(Box::new(StoppedRun {
            kv_cache,
            targets,
            permits: std::mem::take(&mut self.permits),
            weights: self.weights,
        }))
    }
}

/// Requests a transfer from the source.
///
/// A request that was sent may have stopped the run, whatever became of its response.
async fn transfer(
    frontend: Arc<Frontend>,
    id: String,
    source: Arc<Upstream>,
    target: Arc<Upstream>,
    left: Millis,
) -> TransferOutcome {
    let request = frontend
        .dialect
        .transfer_request(&source.incarnation, &id, target.address);
    let sending =
        control_call::send_unshared(&*frontend.dialect, &*frontend.clock, &source, request);
    let transferred = match tokio::time::timeout(left.duration(), sending).await {
        Ok(Ok((head, body))) => frontend.dialect.transfer_outcome(&head, &body),
        Ok(Err(TransportError::Sent(cause))) => {
            log::info!(request = id.as_str(), cause = cause.as_str(); "handover: no answer");
            TransferOutcome::Unknown
        }
        Ok(Err(TransportError::Unsent(cause) | TransportError::AtLimit(cause))) => {
            log::info!(request = id.as_str(), cause = cause.as_str(); "handover: not asked");
            TransferOutcome::Unchanged
        }
        Err(_) => {
            log::info!(request = id.as_str(); "handover: no answer within {left}");
            TransferOutcome::Unknown
        }
    };
    frontend
        .metrics
        .handovers
        .with_label_values(&[transferred.name()])
        .inc();
    transferred
}
