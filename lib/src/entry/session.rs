//! One request from arrival to end: its admission, metrics and log lines.

use std::sync::Arc;

use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::request::{Class, Id, Ticket};
use crate::retry::{RequestState, RetryStateMachine};

use super::admission::InFlightGuard;
use super::answer::{self, Body, Problem};
use super::gateway::Gateway;
use super::key;
use crate::buffer::Reservation;

/// Class label of requests that ended before their template was known.
const NO_CLASS_LABEL: &str = "none";

/// Code label of requests that ended with a complete response.
const COMPLETE_LABEL: &str = "0";

/// A request in progress.
///
/// It is dropped when the caller disconnects, at whatever stage the request is then. Dropping it
/// counts and logs how the request ended and releases its admission.
#[derive(Debug)]
pub struct Session {
    gateway: Arc<Gateway>,
    id: Id,
    arrived_at: Millis,
    account: Option<Name>,
    template: Option<Name>,
    class: Option<Class>,
    machine: Option<RetryStateMachine>,
    in_flight_guard: Option<InFlightGuard>,
    /// Bytes reserved for the request's body and, if it is buffered, the response.
    pub buffered: Reservation,
    is_open: bool,
}

impl Session {
    /// Creates a session for a request that has just arrived.
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
            in_flight_guard: None,
            buffered: gateway.buffer.reserve(gateway.buffer_limit),
            is_open: true,
            gateway: Arc::clone(gateway),
        }
    }

    /// Returns the request's id.
    #[must_use]
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the state shared by the node's requests.
    #[must_use]
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Returns the name of the request's class.
    #[must_use]
    pub fn class_name(&self) -> &'static str {
        self.class.map_or(NO_CLASS_LABEL, Class::name)
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived_at(&self) -> Millis {
        self.arrived_at
    }

    /// Records the request's client account and admits the request.
    ///
    /// # Errors
    ///
    /// [`Code::NodeFull`] if the limit of requests in progress is reached.
    pub fn admit(&mut self, account: &Name) -> Result<(), Failure> {
        self.account = Some(Name::clone(account));
        self.in_flight_guard = Some(self.gateway.in_flight.admit(account)?);
        Ok(())
    }

    /// Records the request's template and class, and creates its state machine.
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
    /// If called before [`Session::set_ticket`].
    pub fn machine(&mut self) -> &mut RetryStateMachine {
        self.machine.as_mut().expect("the ticket is set")
    }

    /// Ends the request with a complete response.
    pub fn finish(&mut self) {
        if let Some(machine) = &mut self.machine {
            machine.record_complete();
        }
        self.record_end(None, "");
    }

    /// Ends the request without a complete response.
    pub fn fail(&mut self, failure: &Failure) {
        self.record_end(Some(failure.code), &failure.detail);
    }

    /// Ends the request and returns the error response for its caller.
    pub fn reject(mut self, problem: &Problem) -> http::Response<Body> {
        self.fail(&problem.failure);
        let mut response = problem.respond(&self.id);
        answer::set_request_id(&mut response, &self.id);
        response
    }

    /// Ends the request of a caller that disconnected; does nothing if it has ended.
    pub fn abandon(&mut self) {
        let code = match &mut self.machine {
            Some(machine) if machine.state() == RequestState::Answered => return,
            Some(machine) => machine.abandon(),
            None => Code::CallerGoneWaiting,
        };
        self.record_end(Some(code), "the caller went away");
    }

    fn record_end(&mut self, code: Option<Code>, detail: &str) {
        if !self.is_open {
            return;
        }
        self.is_open = false;
        self.count_end(code);
        self.log_end(code, detail);
        self.in_flight_guard = None;
    }

    fn count_end(&self, code: Option<Code>) {
        let metrics = &self.gateway.parts.metrics;
        let class = self.class_name();
        let number = code.map(|code| code.number().to_string());
        let label = number.as_deref().unwrap_or(COMPLETE_LABEL);
        metrics.requests.with_label_values(&[label, class]).inc();
        if let Some(code) = code {
            metrics
                .refusals
                .with_label_values(&[label, code.fate().name()])
                .inc();
        }
    }

    fn log_end(&self, code: Option<Code>, detail: &str) {
        let Some(code) = code else {
            log::debug!("entry: {self} completed");
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
        let name_or_dash = |name: &Option<Name>| name.clone().unwrap_or_else(|| "-".into());
        write!(
            f,
            "request {} account {} template {}",
            self.id,
            name_or_dash(&self.account),
            name_or_dash(&self.template)
        )
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.abandon();
        self.gateway.parts.metrics.in_flight.dec();
    }
}
