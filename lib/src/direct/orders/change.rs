//! Orders as they are given, and the count of those that the engine accepted.

use super::EngineController;
use super::slots::Slots;
use crate::clock::Millis;
use crate::direct::dialect::{Action, Order, OrderOutcome};
use crate::name::Name;
use crate::ports::link::Lost;

/// How often an order is given while it has no answer.
const TRIES: u32 = 3;

/// How long an order without an answer may still be carried out.
const LATE: Millis = Millis(12_500);

impl EngineController {
    /// Counts places that orders without an answer may still take.
    ///
    /// All that wait under one count can only be carried out once.
    pub(super) fn doubtful(&mut self, now: Millis) -> usize {
        let sequence = self.sequence();
        self.doubtful
            .retain(|(expected, until)| *until > now && *expected >= sequence);
        usize::from(!self.doubtful.is_empty())
    }

    /// Gives an order that changes something, and keeps count of what was accepted.
    ///
    /// One without an answer is given again under the same count: accepted, it
    /// makes the first harmless; refused for its count, it tells that the first
    /// was accepted.
    pub(super) async fn change(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> Option<OrderOutcome> {
        let now = self.parts.clock.now();
        let alone = self.doubtful(now) == 0;
        let mut outcome = self.order(action, model, version).await;
        for _ in 1..TRIES {
            if outcome.is_some() || !self.unanswered {
                break;
            }
            let sequence = self.slots.as_ref()?.sequence();
            self.doubtful.push((sequence, now + LATE));
            outcome = match self.order(action, model, version).await {
                Some(OrderOutcome::Conflict) if alone => Some(OrderOutcome::Started),
                other => other,
            };
        }
        self.record(action, model, version, outcome);
        let accepted = outcome == Some(OrderOutcome::Started)
            || (outcome == Some(OrderOutcome::Holds) && action == Action::Unload);
        if accepted && let Some(slots) = &mut self.slots {
            slots.accepted(self.parts.clock.now());
        }
        outcome
    }

    fn record(
        &self,
        action: Action,
        model: &Name,
        version: Option<u64>,
        outcome: Option<OrderOutcome>,
    ) {
        let outcome = outcome.map_or("none", OrderOutcome::name);
        let orders = &self.parts.metrics.orders;
        orders.with_label_values(&[action.name(), outcome]).inc();
        log::info!(
            upstream = &*self.parts.upstream.incarnation,
            adapter = &**model,
            version = version.unwrap_or_default(),
            outcome = outcome,
            sequence = self.sequence();
            "orders: {}", action.name()
        );
    }

    /// Gives an order; none means that there was no answer or no right.
    async fn order(
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
            holder: Name::clone(&self.parts.holder),
            fencing_token: 0,
        };
        let result = self.parts.give(order).await;
        self.unanswered = matches!(result, Err(Lost::Sent(_)));
        match result {
            Ok(outcome) => Some(outcome),
            Err(Lost::Unsent(told)) => {
                log::debug!("orders: not sent: {told}");
                None
            }
            Err(Lost::Sent(told)) => {
                log::info!(
                    "orders: no answer from {}: {told}",
                    self.parts.upstream.incarnation
                );
                None
            }
        }
    }

    /// Asks the engine what it holds.
    pub(super) async fn refresh(&mut self) -> bool {
        let asked = self.parts.clock.now();
        let report = match self.parts.report().await {
            Ok(report) => report,
            Err(told) => {
                log::info!(
                    "orders: no report from {}: {told}",
                    self.parts.upstream.incarnation
                );
                return false;
            }
        };
        match &mut self.slots {
            Some(slots) => {
                if !slots.report(&report, asked) {
                    log::debug!("orders: the report is older than the last order");
                }
            }
            None => self.slots = Some(Slots::new(&report, asked)),
        }
        self.stale = false;
        self.publish();
        true
    }

    /// Returns the count of orders that the engine has accepted, as far as is known.
    fn sequence(&self) -> u64 {
        self.slots.as_ref().map_or(0, Slots::sequence)
    }

    /// Lets this node's requests and exchanges see what the engine holds.
    pub(super) fn publish(&self) {
        if let Some(slots) = &self.slots {
            self.parts.upstream.update_held(&slots.held());
        }
    }
}
