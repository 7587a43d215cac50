//! Sends a request to an upstream, or resumes its moved run there.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::admit::{self, AdmitQuery, Permit};
use crate::direct::attempt::{SendError, UpstreamResponse};
use crate::direct::dialect::DispatchHeaders;
use crate::direct::handover::StoppedRun;
use crate::direct::moved_run::PendingResponse;
use crate::direct::request_log;
use crate::direct::sends::PendingSends;
use crate::direct::target::Target;
use crate::direct::versions::VersionWatch;
use crate::error::Code;
use crate::name::Name;

impl ActiveRequest {
    /// Sends the request to a target; the response arrives through `sends`.
    pub(super) fn send(
        &mut self,
        sends: &mut PendingSends,
        target: Target,
        resume_after: Option<u64>,
    ) {
        let dispatch = DispatchHeaders {
            resume_after: resume_after.or(self.message.metadata.resume_after),
            ..self.dispatch(&target)
        };
        if let Some(mut permit) = self.reserved_retry.take() {
            permit.mark_made();
        }
        self.possible_runs += 1;
        self.sent_at = self.now();
        request_log::sent(
            self,
            &target.upstream,
            target.version,
            dispatch.resume_after,
            dispatch.deadline,
            target.permit.is_some(),
        );
        self.report_uncounted(&target, target.permit.as_ref());
        let watch = self.watch(&target);
        let (message, frontend) = (&self.message, &self.frontend);
        sends.begin(message, frontend, target, dispatch, watch, self.sent_at);
    }

    /// Sends a stopped run to an engine that can obtain its KV cache, to resume after event `last`.
    ///
    /// It is still the same run, so it takes nothing from the retry budget.
    ///
    /// # Errors
    ///
    /// [`SendError::Lost`] if the request is quarantined.
    pub(in crate::direct) async fn send_moved_run(
        &self,
        target: &Target,
        run: &StoppedRun,
        last: Option<u64>,
    ) -> Result<PendingResponse, SendError> {
        self.check_quarantine()
            .map_err(|failure| SendError::Lost(failure.code, failure.detail))?;
        let dispatch = DispatchHeaders {
            resume_after: last,
            kv_cache: Some(run.kv_cache.clone()),
            ..self.dispatch(target)
        };
        let permit = self.moved_run_permit(target).await;
        request_log::sent(
            self,
            &target.upstream,
            target.version,
            dispatch.resume_after,
            dispatch.deadline,
            permit.is_some(),
        );
        let (message, frontend) = (Arc::clone(&self.message), Arc::clone(&self.frontend));
        let upstream = Arc::clone(&target.upstream);
        let watch = self.watch(target);
        let weights = run.weights;
        Ok(Box::pin(async move {
            let (paths, dialect) = (&*frontend.paths, &*frontend.dialect);
            let send = message.send(&upstream, paths, dialect, &dispatch, permit, watch);
            let response = send.await?;
            if response.head.status.is_success() {
                return check_weights(response, weights);
            }
            let cause = format!("status {}", response.head.status);
            Err(SendError::Lost(Code::UpstreamLost, cause))
        }))
    }

    /// Asks the owner of the engine where a moved run resumes to count it.
    async fn moved_run_permit(&self, target: &Target) -> Option<Permit> {
        let query = AdmitQuery {
            loaded: true,
            // The prompt isn't prefilled again.
            tokens: 0,
            ..self.admit_query(
                self.message.metadata.adapter(),
                target.version.unwrap_or_default(),
            )
        };
        let permit = match self
            .frontend
            .controllers
            .admit(&target.upstream, query)
            .await
        {
            admit::AdmitDecision::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        self.report_uncounted(target, permit.as_ref());
        permit
    }

    /// Watches until when the request may start on the target's version of its adapter.
    fn watch(&self, target: &Target) -> Option<VersionWatch> {
        let adapter = self.message.metadata.adapter()?;
        Some(VersionWatch::new(
            Arc::clone(&self.frontend),
            Arc::clone(&target.upstream),
            Name::clone(adapter),
            target.version.unwrap_or_default(),
            self.message.kind.is_streaming(),
        ))
    }

    /// Reports a request that the engine's owner may not count with the next exchange.
    fn report_uncounted(&self, target: &Target, permit: Option<&Permit>) {
        let is_counted_by_owner = permit.is_some() && !target.upstream.says_limit();
        if let Some(adapter) = self.message.metadata.adapter()
            && !is_counted_by_owner
        {
            self.frontend
                .controllers
                .record_use(&target.upstream, adapter);
        }
    }

    fn dispatch(&self, target: &Target) -> DispatchHeaders {
        DispatchHeaders {
            incarnation: Name::clone(&target.upstream.incarnation),
            deadline: self.deadline.since(self.now()),
            urgency: self
                .message
                .kind
                .is_streaming()
                .then_some(self.route.urgency),
            version: target.version,
            resume_after: None,
            kv_cache: None,
        }
    }
}

/// Returns the response to a moved run, unless the engine runs it under other weights than those that
/// computed its KV cache.
///
/// An engine that has restarted is believed to hold its former weights until its entry is read.
fn check_weights(
    response: UpstreamResponse,
    weights: Option<u64>,
) -> Result<UpstreamResponse, SendError> {
    let at_target = response.reply.weights;
    if weights.is_none() || at_target.is_none() || at_target == weights {
        return Ok(response);
    }
    let cause = format!(
        "it runs under weights {}, not {}",
        at_target.unwrap_or_default(),
        weights.unwrap_or_default()
    );
    Err(SendError::Lost(Code::UpstreamLost, cause))
}
