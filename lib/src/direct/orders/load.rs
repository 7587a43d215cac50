//! Loads: freeing a slot, ordering the load and probing until it is complete.

use kameo::actor::ActorRef;

use super::message::{LoadCommand, LoadOutcome, ProbeDone, ProbeDue};
use super::send::OrderResult;
use super::slots::{LoadProbe, send_outcome};
use super::{ENGINE_LOAD_LIMIT, EngineController, MAX_CONCURRENT_LOADS};
use crate::clock::Millis;
use crate::direct::dialect::{Action, Order, OrderOutcome};
use crate::name::Name;

/// Loads that may wait until another one completes.
///
/// Together with the loads in progress they take half a second, about as long as callers accept
/// before a first event. Later ones fail at once and try another engine: with 64, requests waited
/// two to four seconds at engines whose orders got no response while other engines were free.
const MAX_WAITING_LOADS: usize = 2;

/// Timer of the next probe; dropping it cancels the timer.
#[derive(Debug)]
pub(super) struct ProbeTimer {
    at: Millis,
    task: tokio::task::AbortHandle,
}

impl Drop for ProbeTimer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EngineController {
    pub(super) async fn start_load(&mut self, load: LoadCommand) {
        if !self.can_start_load() {
            if self.waiting_loads.len() < MAX_WAITING_LOADS {
                self.waiting_loads.push_back(load);
            } else {
                send_outcome(load.reply, LoadOutcome::Full);
            }
            return;
        }
        if !self.free_slot(&load.adapter).await {
            send_outcome(load.reply, LoadOutcome::Full);
            return;
        }
        let version = (load.version > 0).then_some(load.version);
        let result = self
            .order_with_retry(Action::Load, &load.adapter, version)
            .await;
        self.handle_load_result(load, result);
        self.confirm_start().await;
    }

    /// Whether one more load may be started.
    ///
    /// An overdue load waits for running requests of its adapter and takes nothing from the
    /// weight store, so it doesn't count towards [`MAX_CONCURRENT_LOADS`]; otherwise two of them
    /// would block all other loads of the engine.
    pub(super) fn can_start_load(&self) -> bool {
        let now = self.client.clock.now();
        self.slots.as_ref().is_none_or(|slots| {
            slots.count_on_time_loads(now) < MAX_CONCURRENT_LOADS
                && slots.count_loads() < ENGINE_LOAD_LIMIT
        })
    }

    fn handle_load_result(&mut self, load: LoadCommand, result: OrderResult) {
        let now = self.client.clock.now();
        let Some(slots) = &mut self.slots else {
            send_outcome(load.reply, LoadOutcome::Failed);
            return;
        };
        let outcome = match result {
            OrderResult::Answered(outcome) => outcome,
            OrderResult::Unclear => {
                slots.record_load_unclear(load, now);
                self.back_off();
                return;
            }
            OrderResult::Unanswered | OrderResult::Unsent => {
                send_outcome(load.reply, LoadOutcome::Failed);
                return;
            }
        };
        match outcome {
            OrderOutcome::Holds => {
                slots.record_present(load, now);
                self.publish_held();
            }
            OrderOutcome::Started => {
                // The engine doesn't count an order for the version that it already loads.
                if slots.has_unknown_version(&load.adapter) {
                    self.stale = true;
                } else {
                    slots.record_accepted_order(now);
                }
                slots.record_load_started(load, now);
                self.publish_held();
            }
            OrderOutcome::Fenced => send_outcome(load.reply, LoadOutcome::NotOwner),
            OrderOutcome::Conflict | OrderOutcome::Elsewhere | OrderOutcome::Refused => {
                self.back_off();
                send_outcome(load.reply, LoadOutcome::Full);
            }
        }
    }

    /// Evicts an adapter if no slot is free; returns whether there is a slot.
    async fn free_slot(&mut self, adapter: &Name) -> bool {
        let now = self.client.clock.now();
        if self.has_free_slot(adapter, now) {
            return true;
        }
        let (table, engine) = (&self.client.table, &self.client.upstream.incarnation);
        let in_use = |name: &Name| table.uses(engine, name);
        let victim = self.slots.as_mut().and_then(|slots| {
            // An engine that waits for an unload accepts no other order.
            slots
                .leaving()
                .or_else(|| slots.least_recently_used(now, in_use))
        });
        let Some(victim) = victim else {
            return false;
        };
        let result = self.order_with_retry(Action::Unload, &victim, None).await;
        let Some(slots) = &mut self.slots else {
            return false;
        };
        match result {
            OrderResult::Answered(OrderOutcome::Holds) => {
                slots.record_unloaded(&victim, self.client.clock.now());
                self.publish_held();
                self.has_free_slot(adapter, now)
            }
            OrderResult::Answered(OrderOutcome::Started) => {
                slots.record_unload_started(&victim);
                self.back_off();
                false
            }
            OrderResult::Answered(_) => {
                slots.record_unload_canceled(&victim);
                self.back_off();
                false
            }
            OrderResult::Unsent => {
                slots.record_unload_canceled(&victim);
                false
            }
            OrderResult::Unclear => {
                self.publish_held();
                self.back_off();
                false
            }
            OrderResult::Unanswered => {
                self.publish_held();
                false
            }
        }
    }

    fn has_free_slot(&self, adapter: &str, now: Millis) -> bool {
        let Some(slots) = &self.slots else {
            return false;
        };
        let mut unanswered = self.client.unanswered_loads();
        unanswered.retain_executable(slots.confirmed_sequence(), now);
        slots.has_free_slot(adapter, self.client.engine.adapter_slots, &unanswered)
    }

    /// Sets the timer to the time of the next probe.
    pub(super) fn schedule_probe(&mut self, actor: &ActorRef<Self>) {
        let now = self.client.clock.now();
        let next = self.slots.as_ref().and_then(|slots| slots.next_probe(now));
        let Some(at) = next else {
            self.probe_timer = None;
            return;
        };
        if self
            .probe_timer
            .as_ref()
            .is_some_and(|timer| timer.at == at)
        {
            return;
        }
        let actor = actor.clone();
        let task = tokio::spawn(async move {
            tokio::time::sleep(at.since(now).duration()).await;
            if actor.tell(ProbeDue).await.is_err() {
                log::debug!("orders: the controller stopped before a load was complete");
            }
        });
        let task = task.abort_handle();
        self.probe_timer = Some(ProbeTimer { at, task });
    }

    /// Sends each due probe from its own task, so that an unanswered one delays no other load.
    pub(super) fn send_due_probes(&mut self, actor: &ActorRef<Self>) {
        self.probe_timer = None;
        let now = self.client.clock.now();
        let Some(slots) = &mut self.slots else {
            return;
        };
        slots.expire_waiters(now);
        for probe in slots.due_probes(now) {
            self.send_probe(probe, actor);
        }
    }

    fn send_probe(&self, probe: LoadProbe, actor: &ActorRef<Self>) {
        let order = Order {
            action: Action::Load,
            model: Name::clone(&probe.adapter),
            version: (probe.version > 0).then_some(probe.version),
            sequence: probe.sequence,
            holder: Name::clone(&self.client.holder),
            fencing_token: 0,
        };
        let client = self.client.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let outcome = client.send_order(order).await.ok();
            let done = ProbeDone { probe, outcome };
            if actor.tell(done).await.is_err() {
                log::debug!("orders: the controller stopped before a load was complete");
            }
        });
    }

    pub(super) async fn handle_probe_done(&mut self, done: ProbeDone) {
        let ProbeDone { probe, outcome } = done;
        let now = self.client.clock.now();
        let Some(slots) = &mut self.slots else {
            return;
        };
        let is_consistent = slots.apply_probe(&probe, outcome, now);
        self.stale |= !is_consistent;
        if outcome == Some(OrderOutcome::Holds) {
            self.publish_held();
            self.start_waiting_loads().await;
        }
    }
}
