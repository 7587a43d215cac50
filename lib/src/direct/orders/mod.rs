//! Load and unload orders for the adapters of one engine.
//!
//! One actor per engine tracks its adapter slots. Every order carries the number of orders that
//! the engine has accepted so far, and the engine rejects an order whose number doesn't match. An
//! order that is delayed on its way therefore has no effect once another one was accepted.

mod client;
mod contact;
mod load;
mod message;
mod send;
pub mod slots;
pub mod unanswered;

use std::collections::VecDeque;
use std::convert::Infallible;

use kameo::Actor;
use kameo::actor::ActorRef;

use super::dialect::{Action, OrderOutcome};
use super::limits::IN_USE_GRACE;
use crate::clock::Millis;
use crate::name::Name;
use contact::Contact;
use load::ProbeTimer;
use send::OrderResult;
use slots::{MAX_LOAD_TIME, Slots, send_outcome};

pub use client::EngineClient;
pub use message::{LoadCommand, LoadOutcome, MarkInUse, Tick};

/// Loads that are started at one engine at the same time.
///
/// An engine accepts four, but all engines share a weight store that serves eight at full speed.
/// With two per engine each load completes sooner, and later ones wait here in order.
const MAX_CONCURRENT_LOADS: usize = 2;

/// Loads that an engine itself accepts at the same time.
const ENGINE_LOAD_LIMIT: usize = 4;

/// How long an engine gets no orders after it refused one because another is in progress.
const REFUSAL_BACKOFF: Millis = Millis(250);

/// Sends load and unload orders to one engine.
#[derive(Debug)]
pub struct EngineController {
    client: EngineClient,
    /// None until the engine's first status arrives.
    slots: Option<Slots>,
    /// Whether `slots` may be wrong, so that the engine's status is needed before the next order.
    stale: bool,
    /// Until when the engine gets no orders.
    paused_until: Millis,
    waiting_loads: VecDeque<LoadCommand>,
    base_load_ordered_at: Option<Millis>,
    /// Whether the last order was sent and got no response.
    is_last_order_unanswered: bool,
    probe_timer: Option<ProbeTimer>,
    contact: Contact,
}

impl Actor for EngineController {
    type Args = EngineClient;
    type Error = Infallible;

    async fn on_start(client: EngineClient, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            client,
            slots: None,
            stale: false,
            paused_until: Millis::ZERO,
            waiting_loads: VecDeque::new(),
            base_load_ordered_at: None,
            is_last_order_unanswered: false,
            probe_timer: None,
            contact: Contact::default(),
        })
    }
}

impl EngineController {
    async fn handle_load(&mut self, load: LoadCommand) {
        if !self.may_order() {
            send_outcome(load.reply, LoadOutcome::NotOwner);
            return;
        }
        let now = self.client.clock.now();
        if now < self.paused_until {
            if let Some(load) = self.serve_or_enqueue(load, now) {
                send_outcome(load.reply, LoadOutcome::Full);
            }
            return;
        }
        if self.needs_status(&load) && !self.refresh_status().await {
            send_outcome(load.reply, LoadOutcome::Failed);
            return;
        }
        if let Some(load) = self.serve_or_enqueue(load, now) {
            self.start_load(load).await;
        }
    }

    /// Whether the engine's status is needed before a load can be handled.
    ///
    /// The version of an adapter that was loaded without one must be known: the engine doesn't
    /// count an order for the version that it already loads, and an order for an older version
    /// would replace the newer one.
    fn needs_status(&self, load: &LoadCommand) -> bool {
        let Some(slots) = &self.slots else {
            return true;
        };
        self.stale || (load.version > 0 && slots.has_unknown_version(&load.adapter))
    }

    /// Serves a load from an adapter that is present or loading; returns it if an order is needed.
    fn serve_or_enqueue(&mut self, load: LoadCommand, now: Millis) -> Option<LoadCommand> {
        let Some(slots) = &mut self.slots else {
            return Some(load);
        };
        slots.mark_in_use(Name::clone(&load.adapter), now + IN_USE_GRACE);
        slots.serve_or_enqueue(load, now)
    }

    fn may_order(&self) -> bool {
        let address = self.client.upstream.address;
        self.client.ownership.fencing_token(address).is_some()
    }

    /// Pauses orders to the engine and requires its status before the next one.
    ///
    /// While an unload waits for running requests to finish, the engine refuses every other
    /// order, so further orders would only keep the controller busy.
    fn back_off(&mut self) {
        self.stale = true;
        self.paused_until = self.client.clock.now() + REFUSAL_BACKOFF;
    }

    async fn start_waiting_loads(&mut self) {
        while self.can_start_load() {
            let Some(load) = self.waiting_loads.pop_front() else {
                return;
            };
            if !load.reply.is_closed() {
                Box::pin(self.handle_load(load)).await;
            }
        }
    }

    async fn tick(&mut self) {
        if !self.may_order() {
            self.fail_all(LoadOutcome::NotOwner);
            return;
        }
        self.confirm_start().await;
        let now = self.client.clock.now();
        if let Some(slots) = &mut self.slots {
            slots.expire_waiters(now);
            self.stale |= slots.needs_status(now);
        }
        let has_backed_off = now >= self.paused_until;
        if self.slots.is_none() || (self.stale && has_backed_off) {
            self.refresh_status().await;
        }
        self.load_base_model().await;
        self.start_waiting_loads().await;
    }

    /// Orders the base model of an engine that holds none, as after a restart of the engine.
    async fn load_base_model(&mut self) {
        let now = self.client.clock.now();
        if self
            .slots
            .as_ref()
            .is_none_or(|slots| !slots.models().is_empty())
        {
            return;
        }
        let Some((model, load_time)) = self.client.engine.model_load_times.first().cloned() else {
            return;
        };
        if self
            .base_load_ordered_at
            .is_some_and(|at| now.since(at) < load_time + MAX_LOAD_TIME)
        {
            self.refresh_status().await;
            return;
        }
        let result = self.order_with_retry(Action::Load, &model, None).await;
        log::info!(
            "orders: {} is to load {model}: {}",
            self.client.upstream.incarnation,
            result.name()
        );
        match result {
            OrderResult::Answered(OrderOutcome::Started) => {
                self.base_load_ordered_at = Some(now);
                if let Some(slots) = &mut self.slots {
                    slots.record_accepted_order(self.client.clock.now());
                }
            }
            OrderResult::Unclear => self.base_load_ordered_at = Some(now),
            OrderResult::Answered(_) | OrderResult::Unanswered | OrderResult::Unsent => {}
        }
    }

    /// Forgets the engine's slots and fails every load that waits.
    fn fail_all(&mut self, outcome: LoadOutcome) {
        if let Some(slots) = self.slots.take() {
            slots.fail_waiters(outcome);
        }
        for load in self.waiting_loads.drain(..) {
            send_outcome(load.reply, outcome);
        }
    }
}
