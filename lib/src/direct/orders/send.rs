//! Sending orders with retries, and the sequence number that the engine expects.

use super::EngineController;
use super::slots::Slots;
use crate::clock::Millis;
use crate::direct::dialect::{Action, EngineStatus, Order, OrderOutcome};
use crate::name::Name;
use crate::ports::connection_pool::TransportError;

/// Attempts to send an order that gets no response.
const ORDER_ATTEMPTS: u32 = 3;

/// Result of an order after all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine's response.
    Answered(OrderOutcome),
    /// An attempt got no response, and the next one conflicts with what the engine does or did.
    ///
    /// The first attempt may have been accepted. But the conflict can as well be with an order of a
    /// previous owner, with an unload that waits for running requests, or come from a wrong number.
    Unclear,
    /// No attempt got a response, and at least one was sent.
    Unanswered,
    /// No attempt was sent.
    Unsent,
}

impl OrderResult {
    /// Returns the name used in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Answered(outcome) => outcome.name(),
            Self::Unclear => "unclear",
            Self::Unanswered => "none",
            Self::Unsent => "unsent",
        }
    }
}

impl EngineController {
    /// Sends an order, and retries it while it gets no response.
    ///
    /// Retries carry the same number, so that at most one attempt is executed.
    pub(super) async fn order_with_retry(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> OrderResult {
        let mut attempts = 1;
        let mut outcome = self.send_order(action, model, version).await;
        while outcome.is_none() && self.is_last_order_unanswered && attempts < ORDER_ATTEMPTS {
            attempts += 1;
            outcome = self.send_order(action, model, version).await;
        }
        let result = match outcome {
            Some(OrderOutcome::Conflict) if attempts > 1 => OrderResult::Unclear,
            Some(outcome) => OrderResult::Answered(outcome),
            None if attempts > 1 || self.is_last_order_unanswered => OrderResult::Unanswered,
            None => OrderResult::Unsent,
        };
        self.record_result(action, model, version, result, attempts);
        result
    }

    fn record_result(
        &self,
        action: Action,
        model: &Name,
        version: Option<u64>,
        result: OrderResult,
        attempts: u32,
    ) {
        let outcome = result.name();
        let orders = &self.client.metrics.orders;
        orders.with_label_values(&[action.name(), outcome]).inc();
        log::info!(
            upstream = &*self.client.upstream.incarnation,
            adapter = &**model,
            version = version.unwrap_or_default(),
            outcome = outcome,
            cause = self.contact.last_failure(),
            sequence = self.sequence(),
            attempts = attempts,
            confirmed = self.slots.as_ref().map_or(0, Slots::confirmed_sequence),
            used = self.slots.as_ref().map_or(0, Slots::count_used_slots),
            unanswered = self.client.unanswered_loads().len();
            "orders: {}", action.name()
        );
    }

    /// Sends an order once; returns none if it wasn't sent or got no response.
    async fn send_order(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> Option<OrderOutcome> {
        let sequence = self.slots.as_ref()?.sequence();
        let order = Order {
            action,
            model: Name::clone(model),
            version,
            sequence,
            holder: Name::clone(&self.client.holder),
            fencing_token: 0,
        };
        let result = self.client.send_order(order).await;
        self.is_last_order_unanswered = matches!(result, Err(TransportError::Sent(_)));
        match result {
            Ok(outcome) => {
                self.record_contact();
                Some(outcome)
            }
            Err(TransportError::Unsent(reason) | TransportError::AtLimit(reason)) => {
                if self.may_order() {
                    self.record_no_contact(reason);
                }
                None
            }
            Err(TransportError::Sent(reason)) => {
                self.record_no_contact(reason);
                None
            }
        }
    }

    /// Gets the engine's status and applies it to the slots; returns false if there is none.
    pub(super) async fn refresh_status(&mut self) -> bool {
        let requested_at = self.client.clock.now();
        let Some(status) = self.request_status().await else {
            return false;
        };
        self.apply_status(&status, requested_at);
        true
    }

    /// Gets the engine's status if probes need to know that the engine hasn't started again.
    pub(super) async fn confirm_start(&mut self) {
        let requested_at = self.client.clock.now();
        let needs_start = |slots: &Slots| slots.needs_start(requested_at);
        if !self.slots.as_ref().is_some_and(needs_start) {
            return;
        }
        let Some(status) = self.request_status().await else {
            return;
        };
        let started_at_ms = status.held.started_at_ms;
        let slots = self.slots.as_mut();
        if !slots.is_some_and(|slots| slots.record_start(started_at_ms, requested_at)) {
            self.apply_status(&status, requested_at);
        }
    }

    async fn request_status(&mut self) -> Option<EngineStatus> {
        match self.client.status().await {
            Ok(status) => {
                self.record_contact();
                Some(status)
            }
            Err(reason) => {
                self.record_no_contact(reason);
                None
            }
        }
    }

    fn apply_status(&mut self, status: &EngineStatus, requested_at: Millis) {
        let before = self.slots.as_ref().map(Slots::sequence);
        if let Some(slots) = &mut self.slots {
            if !slots.apply_status(status, requested_at) {
                log::debug!("orders: the status is older than the last order");
            }
        } else {
            let slots = Slots::new(status, requested_at);
            self.slots = Some(slots.with_capacity(self.client.engine.adapter_slots));
        }
        self.log_corrected_sequence(before);
        self.stale = false;
        self.publish_held();
    }

    /// Records that the engine answered, and logs the end of a time in which it didn't.
    fn record_contact(&mut self) {
        if let Some(since) = self.contact.regain() {
            log::info!(
                upstream = &*self.client.upstream.incarnation,
                silent_ms = self.client.clock.now().since(since).0;
                "orders: an engine answers again"
            );
        }
    }

    /// Records that an order or a status request got no answer, and logs the first one.
    fn record_no_contact(&mut self, cause: String) {
        if self.contact.lose(cause, self.client.clock.now()) {
            log::info!(
                upstream = &*self.client.upstream.incarnation,
                cause = self.contact.last_failure();
                "orders: an engine doesn't answer"
            );
        }
    }

    /// Logs that the number of accepted orders was first learned, or differed from what was known.
    fn log_corrected_sequence(&self, before: Option<u64>) {
        if before == Some(self.sequence()) {
            return;
        }
        log::info!(
            upstream = &*self.client.upstream.incarnation,
            before = before.map_or(-1, |sequence| i64::try_from(sequence).unwrap_or(i64::MAX)),
            sequence = self.sequence(),
            used = self.slots.as_ref().map_or(0, Slots::count_used_slots),
            unanswered = self.client.unanswered_loads().len();
            "orders: count learned"
        );
    }

    /// Returns the number of orders that the engine is known to have accepted.
    fn sequence(&self) -> u64 {
        self.slots.as_ref().map_or(0, Slots::sequence)
    }

    /// Makes what the engine holds visible to this node's requests and exchanges.
    pub(super) fn publish_held(&self) {
        if let Some(slots) = &self.slots {
            self.client.upstream.update_held(&slots.held());
        }
    }
}
