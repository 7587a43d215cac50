//! One request from its arrival to its end: its place, its metrics and its log lines.

use std::sync::Arc;

use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::request::{Class, Id, Ticket};
use crate::retry::{RequestState, RetryStateMachine};

use super::admission::{BufferReservation, InFlightGuard};
use super::answer::{self, Body, Problem};
use super::gateway::Gateway;
use super::key;

/// Label of requests that ended before their template was known.
const NO_CLASS: &str = "none";

/// Label of requests that ended with a whole answer.
const WHOLE: &str = "0";

/// A request in progress.
///
/// It is dropped when the caller goes away, wherever the request stands then;
/// dropping it counts and logs that end truthfully and makes room.
#[derive(Debug)]
pub struct Session {
    gateway: Arc<Gateway>,
    id: Id,
    arrived_at: Millis,
    account: Option<Name>,
    template: Option<Name>,
    class: Option<Class>,
    machine: Option<RetryStateMachine>,
    place: Option<InFlightGuard>,
    /// Covers the request's body and, if it is held back, its answer.
    pub buffered: BufferReservation,
    open: bool,
}

impl Session {
    /// Starts a session for a request that has just arrived.
    #[must_use]
    pub fn start(gateway: &Arc<Gateway>) -> Self {
        gateway.parts.metrics.in_flight.inc();
        Self {
            id: key::new_request_id(),
            arrived_at: gateway.parts.clock.now(),
            account: None,
            template: None,
            class: None,
            machine: None,
            place: None,
            buffered: gateway.buffer.reserve(),
            open: true,
            gateway: Arc::clone(gateway),
        }
    }

    /// Returns the request's identity.
    #[must_use]
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the state that the node's requests share.
    #[must_use]
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Returns the name of the request's class.
    #[must_use]
    pub fn class_name(&self) -> &'static str {
        self.class.map_or(NO_CLASS, Class::name)
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived_at(&self) -> Millis {
        self.arrived_at
    }

    /// Notes whose request it is, and takes its place.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`].
    pub fn admit(&mut self, account: &Name) -> Result<(), Failure> {
        self.account = Some(Name::clone(account));
        self.place = Some(self.gateway.gate.admit(account)?);
        Ok(())
    }

    /// Notes what the request was decided to be.
    pub fn set_ticket(&mut self, ticket: &Ticket) {
        self.template = Some(Name::clone(&ticket.template));
        self.class = Some(ticket.class);
        let retry_policy = self.gateway.parts.limits.retry_policy;
        self.machine = Some(RetryStateMachine::new(
            retry_policy,
            ticket.idempotent,
            ticket.deadline,
        ));
    }

    /// Returns the request's state machine.
    ///
    /// # Panics
    ///
    /// Before [`Session::set_ticket`].
    pub fn machine(&mut self) -> &mut RetryStateMachine {
        self.machine.as_mut().expect("the request was decided")
    }

    /// Ends the request with a whole answer.
    pub fn finish(&mut self) {
        if let Some(machine) = &mut self.machine {
            machine.record_complete();
        }
        self.record(None, "");
    }

    /// Ends the request without a whole answer.
    pub fn fail(&mut self, failure: &Failure) {
        self.record(Some(failure.code), &failure.detail);
    }

    /// Ends the request and makes the caller's answer of the problem.
    pub fn reject(mut self, problem: &Problem) -> http::Response<Body> {
        self.fail(&problem.failure);
        let mut response = problem.respond(&self.id);
        answer::set_request_id(&mut response, &self.id);
        response
    }

    /// Ends the request whose caller went away.
    pub fn abandon(&mut self) {
        let code = match &mut self.machine {
            Some(machine) if machine.state() == RequestState::Answered => return,
            Some(machine) => machine.abandon(),
            None => Code::CallerGoneWaiting,
        };
        self.record(Some(code), "the caller went away");
    }

    fn record(&mut self, code: Option<Code>, detail: &str) {
        if !self.open {
            return;
        }
        self.open = false;
        self.count(code);
        self.log(code, detail);
        self.place = None;
    }

    fn count(&self, code: Option<Code>) {
        let metrics = &self.gateway.parts.metrics;
        let class = self.class_name();
        let number = code.map(|code| code.number().to_string());
        let label = number.as_deref().unwrap_or(WHOLE);
        metrics.requests.with_label_values(&[label, class]).inc();
        if let Some(code) = code {
            metrics
                .refusals
                .with_label_values(&[label, code.fate().name()])
                .inc();
        }
    }

    fn log(&self, code: Option<Code>, detail: &str) {
        let Some(code) = code else {
            log::debug!("entry: {self} answered whole");
            return;
        };
        let fate = code.fate().name();
        if code == Code::Internal || code == Code::WrongAnswer {
            log::error!("entry: {self} ended as {code}, {fate}: {detail}");
        } else {
            log::info!("entry: {self} ended as {code}, {fate}: {detail}");
        }
    }
}

impl std::fmt::Display for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let part = |name: &Option<Name>| name.clone().unwrap_or_else(|| "-".into());
        write!(
            f,
            "request {} account {} template {}",
            self.id,
            part(&self.account),
            part(&self.template)
        )
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.abandon();
        self.gateway.parts.metrics.in_flight.dec();
    }
}
