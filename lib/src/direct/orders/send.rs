//! Sending orders with retries, and the sequence number that the engine expects.

use super::EngineController;
use super::slots::Slots;
use crate::clock::Millis;
use crate::direct::dialect::{Action, Order, OrderOutcome};
use crate::name::Name;
use crate::ports::connection_pool::TransportError;

/// Attempts to send an order that gets no response.
const ORDER_ATTEMPTS: u32 = 3;

/// How long an engine may still execute an order that got no response.
const LATE_ORDER_WINDOW: Millis = Millis(12_500);

impl EngineController {
    /// Returns the number of slots that unanswered orders may still take.
    ///
    /// At most one of the orders with the same sequence number can be executed.
    pub(super) fn unconfirmed_slots(&mut self, now: Millis) -> usize {
        let sequence = self.sequence();
        self.unconfirmed_orders
            .retain(|(expected, until)| *until > now && *expected >= sequence);
        usize::from(!self.unconfirmed_orders.is_empty())
    }

    /// Sends an order, retries it while it gets no response, and counts it once accepted.
    ///
    /// Retries carry the same sequence number. An accepted retry makes the first attempt
    /// harmless; a retry rejected for its number shows that the first attempt was accepted.
    pub(super) async fn order_with_retry(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> Option<OrderOutcome> {
        let now = self.client.clock.now();
        let has_no_unconfirmed = self.unconfirmed_slots(now) == 0;
        let mut outcome = self.send_order(action, model, version).await;
        let mut attempts = 1;
        let mut is_inferred = false;
        while attempts < ORDER_ATTEMPTS {
            if outcome.is_some() || !self.is_last_order_unanswered {
                break;
            }
            attempts += 1;
            let sequence = self.slots.as_ref()?.sequence();
            self.unconfirmed_orders
                .push((sequence, now + LATE_ORDER_WINDOW));
            outcome = self.send_order(action, model, version).await;
            if outcome == Some(OrderOutcome::Conflict) && has_no_unconfirmed {
                is_inferred = true;
                outcome = Some(OrderOutcome::Started);
            }
        }
        self.record_outcome(action, model, version, outcome, attempts, is_inferred);
        let is_accepted = outcome == Some(OrderOutcome::Started)
            || (outcome == Some(OrderOutcome::Holds) && action == Action::Unload);
        if is_accepted && let Some(slots) = &mut self.slots {
            slots.record_accepted_order(self.client.clock.now());
        }
        outcome
    }

    fn record_outcome(
        &self,
        action: Action,
        model: &Name,
        version: Option<u64>,
        outcome: Option<OrderOutcome>,
        attempts: u32,
        is_inferred: bool,
    ) {
        let outcome = outcome.map_or("none", OrderOutcome::name);
        let orders = &self.client.metrics.orders;
        orders.with_label_values(&[action.name(), outcome]).inc();
        log::info!(
            upstream = &*self.client.upstream.incarnation,
            adapter = &**model,
            version = version.unwrap_or_default(),
            outcome = outcome,
            sequence = self.sequence(),
            attempts = attempts,
            inferred = is_inferred,
            used = self.slots.as_ref().map_or(0, Slots::count_used_slots),
            unanswered = self.unconfirmed_orders.len();
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
            Ok(outcome) => Some(outcome),
            Err(TransportError::Unsent(reason)) => {
                log::debug!("orders: not sent: {reason}");
                None
            }
            Err(TransportError::Sent(reason)) => {
                log::info!(
                    "orders: no answer from {}: {reason}",
                    self.client.upstream.incarnation
                );
                None
            }
        }
    }

    /// Gets the engine's status and applies it to the slots; returns false if there is none.
    pub(super) async fn refresh_status(&mut self) -> bool {
        let requested_at = self.client.clock.now();
        let status = match self.client.status().await {
            Ok(status) => status,
            Err(reason) => {
                log::info!(
                    "orders: no status from {}: {reason}",
                    self.client.upstream.incarnation
                );
                return false;
            }
        };
        let before = self.slots.as_ref().map(Slots::sequence);
        match &mut self.slots {
            Some(slots) => {
                if !slots.apply_status(&status, requested_at) {
                    log::debug!("orders: the status is older than the last order");
                }
            }
            None => self.slots = Some(Slots::new(&status, requested_at)),
        }
        self.log_corrected_sequence(before);
        self.stale = false;
        self.publish_held();
        true
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
            unanswered = self.unconfirmed_orders.len();
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
