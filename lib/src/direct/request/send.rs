//! What is sent to an upstream, and with what it goes.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::admit::{self, AdmitQuery, Permit};
use crate::direct::attempt::{Answer, Miss};
use crate::direct::dialect::{Dispatch, Memory};
use crate::direct::record;
use crate::direct::sends::PendingSends;
use crate::direct::target::Target;
use crate::direct::versions::Watch;
use crate::error::Code;
use crate::name::Name;

impl ActiveRequest {
    pub(super) fn send(
        &mut self,
        sends: &mut PendingSends,
        target: Target,
        resume_after: Option<u64>,
    ) {
        let dispatch = Dispatch {
            resume_after: resume_after.or(self.message.call.resume_after),
            ..self.dispatch(&target)
        };
        self.repeat_reserved = false;
        self.sent += 1;
        self.sent_at = self.now();
        record::sent(self, &target.upstream, target.version, dispatch.deadline);
        self.note_uncounted(&target, target.permit.as_ref());
        let watch = self.watch(&target);
        let (message, dialect) = (&self.message, &self.gate.dialect);
        sends.begin(message, dialect, target, dispatch, watch, self.sent_at);
    }

    /// Sends the request to where the memory of its stopped run lies, to go on behind `last`.
    ///
    /// It counts as the same run, so it takes nothing from the budget for repeats.
    pub(in crate::direct) async fn continue_run(
        &self,
        place: &Target,
        memory: Memory,
        last: Option<u64>,
    ) -> Result<Answer, Miss> {
        self.check()
            .map_err(|failure| Miss::Lost(failure.code, failure.detail))?;
        let dispatch = Dispatch {
            resume_after: last,
            memory: Some(memory),
            ..self.dispatch(place)
        };
        record::sent(self, &place.upstream, place.version, dispatch.deadline);
        let permit = self.permit(place).await;
        let (upstream, dialect) = (&place.upstream, &*self.gate.dialect);
        let watch = self.watch(place);
        let send = self
            .message
            .send(upstream, dialect, &dispatch, permit, watch);
        // With nowhere else to go, an engine that is slow to begin is better than none: given up
        // after an objective, the caller's stream was cut.
        let span = if self.may_go_on() {
            dispatch.deadline.min(self.route.objective)
        } else {
            dispatch.deadline
        };
        let answer = tokio::time::timeout(span.duration(), send)
            .await
            .unwrap_or_else(|_| {
                let told = format!("no answer within {span}");
                Err(Miss::Lost(Code::ExpiredRunning, told))
            })?;
        if answer.head.status.is_success() {
            return Ok(answer);
        }
        let told = format!("status {}", answer.head.status);
        Err(Miss::Lost(Code::UpstreamLost, told))
    }

    /// Has a run that was moved counted in where it goes on.
    async fn permit(&self, place: &Target) -> Option<Permit> {
        let question = AdmitQuery {
            loaded: true,
            // Its prompt isn't read again.
            tokens: 0,
            ..self.admit_query(
                self.message.call.adapter(),
                place.version.unwrap_or_default(),
            )
        };
        let permit = match self.gate.controllers.admit(&place.upstream, question).await {
            admit::AdmitDecision::Admitted(permit, _) => Some(permit),
            _ => None,
        };
        self.note_uncounted(place, permit.as_ref());
        permit
    }

    /// Watches until when the request may begin at a target.
    fn watch(&self, target: &Target) -> Option<Watch> {
        let adapter = self.message.call.adapter()?;
        Some(Watch::new(
            Arc::clone(&self.gate),
            Arc::clone(&target.upstream),
            Name::clone(adapter),
            target.version.unwrap_or_default(),
            self.message.kind.streamed(),
        ))
    }

    /// Lets the owner hear of a request that it doesn't count, by the next exchange.
    fn note_uncounted(&self, target: &Target, permit: Option<&Permit>) {
        if let (Some(adapter), None) = (self.message.call.adapter(), permit) {
            self.gate.controllers.note_use(&target.upstream, adapter);
        }
    }

    fn dispatch(&self, target: &Target) -> Dispatch {
        Dispatch {
            incarnation: Name::clone(&target.upstream.incarnation),
            deadline: self.until.since(self.now()),
            urgency: self.message.kind.streamed().then_some(self.route.urgency),
            version: target.version,
            resume_after: None,
            memory: None,
        }
    }
}
