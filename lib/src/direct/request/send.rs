//! What is sent to an upstream, and with what it goes.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::admit::{self, AdmitQuery, Permit};
use crate::direct::attempt::{SendError, UpstreamResponse};
use crate::direct::dialect::{DispatchHeaders, KvCacheHandle};
use crate::direct::request_log;
use crate::direct::sends::PendingSends;
use crate::direct::target::Target;
use crate::direct::versions::VersionWatch;
use crate::error::Code;
use crate::name::Name;

impl ActiveRequest {
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
        self.repeat_reserved = false;
        self.possible_runs += 1;
        self.sent_at = self.now();
        request_log::sent(self, &target.upstream, target.version, dispatch.deadline);
        self.note_uncounted(&target, target.permit.as_ref());
        let watch = self.watch(&target);
        let (message, dialect) = (&self.message, &self.frontend.dialect);
        sends.begin(message, dialect, target, dispatch, watch, self.sent_at);
    }

    /// Sends the request to where the memory of its stopped run lies, to go on behind `last`.
    ///
    /// It counts as the same run, so it takes nothing from the budget for repeats.
    pub(in crate::direct) async fn continue_run(
        &self,
        place: &Target,
        memory: KvCacheHandle,
        last: Option<u64>,
    ) -> Result<UpstreamResponse, SendError> {
        self.check_quarantine()
            .map_err(|failure| SendError::Lost(failure.code, failure.detail))?;
        let dispatch = DispatchHeaders {
            resume_after: last,
            kv_cache: Some(memory),
            ..self.dispatch(place)
        };
        request_log::sent(self, &place.upstream, place.version, dispatch.deadline);
        let permit = self.permit(place).await;
        let (upstream, dialect) = (&place.upstream, &*self.frontend.dialect);
        let watch = self.watch(place);
        let send = self
            .message
            .send(upstream, dialect, &dispatch, permit, watch);
        // With nowhere else to go, an engine that is slow to begin is better than none: given up
        // after an objective, the caller's stream was cut.
        let span = if self.may_go_on() {
            dispatch.deadline.min(self.route.latency_objective)
        } else {
            dispatch.deadline
        };
        let answer = tokio::time::timeout(span.duration(), send)
            .await
            .unwrap_or_else(|_| {
                let told = format!("no answer within {span}");
                Err(SendError::Lost(Code::ExpiredRunning, told))
            })?;
        if answer.head.status.is_success() {
            return Ok(answer);
        }
        let told = format!("status {}", answer.head.status);
        Err(SendError::Lost(Code::UpstreamLost, told))
    }

    /// Has a run that was moved counted in where it goes on.
    async fn permit(&self, place: &Target) -> Option<Permit> {
        let question = AdmitQuery {
            loaded: true,
            // Its prompt isn't read again.
            tokens: 0,
            ..self.admit_query(
                self.message.metadata.adapter(),
                place.version.unwrap_or_default(),
            )
        };
        let permit = match self
            .frontend
            .controllers
            .admit(&place.upstream, question)
            .await
        {
            admit::AdmitDecision::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        self.note_uncounted(place, permit.as_ref());
        permit
    }

    /// Watches until when the request may begin at a target.
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

    /// Lets the owner hear of a request that it doesn't count, by the next exchange.
    fn note_uncounted(&self, target: &Target, permit: Option<&Permit>) {
        if let (Some(adapter), None) = (self.message.metadata.adapter(), permit) {
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
