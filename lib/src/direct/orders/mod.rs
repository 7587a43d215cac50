//! Orders to one engine: which adapters it holds.
//!
//! One actor an engine keeps the table of its slots. Every order carries the
//! number of orders that the engine has accepted, so that one that was lost and
//! is carried out late does nothing once another was accepted.

mod change;
mod engine;
mod load;
mod message;
pub mod slots;

use std::collections::VecDeque;
use std::convert::Infallible;

use kameo::Actor;
use kameo::actor::ActorRef;

use super::dialect::{Action, OrderOutcome};
use super::limits::IN_USE_GRACE;
use crate::clock::Millis;
use crate::name::Name;
use load::Wake;
use slots::{MAX_LOAD_TIME, Slots, answer};

pub use engine::EngineClient;
pub use message::{LoadCommand, LoadOutcome, MarkInUse, Tick};

/// Adapters that may be on their way to one engine.
///
/// Engines take four, but share a store that serves eight at full speed: with two each, a load
/// that has begun ends sooner, and later ones wait here in order.
const MOST_INCOMING: usize = 2;

/// Adapters that engines take on their way at once.
const MOST_IN_TRANSIT: usize = 4;

/// How long an engine is left alone that refused an order for another that is under way.
const PAUSE: Millis = Millis(250);

/// Gives one engine its orders.
#[derive(Debug)]
pub struct EngineController {
    parts: EngineClient,
    slots: Option<Slots>,
    /// The slots may be wrong; the engine is asked before the next order.
    stale: bool,
    /// Until when the engine is left alone.
    blocked: Millis,
    queue: VecDeque<LoadCommand>,
    /// Until when orders without an answer may be carried out, with the count that they expect.
    doubtful: Vec<(u64, Millis)>,
    base_ordered: Option<Millis>,
    /// Whether the last order was sent and had no answer.
    unanswered: bool,
    wake: Option<Wake>,
}

impl Actor for EngineController {
    type Args = EngineClient;
    type Error = Infallible;

    async fn on_start(parts: EngineClient, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            parts,
            slots: None,
            stale: false,
            blocked: Millis::ZERO,
            queue: VecDeque::new(),
            doubtful: Vec::new(),
            base_ordered: None,
            unanswered: false,
            wake: None,
        })
    }
}

impl EngineController {
    async fn load(&mut self, load: LoadCommand) {
        if !self.has_right() {
            answer(load.reply, LoadOutcome::NotOwner);
            return;
        }
        let now = self.parts.clock.now();
        if now < self.blocked {
            if let Some(load) = self.wait(load, now) {
                answer(load.reply, LoadOutcome::Full);
            }
            return;
        }
        if self.needs_report(&load) && !self.refresh().await {
            answer(load.reply, LoadOutcome::Failed);
            return;
        }
        if let Some(load) = self.wait(load, now) {
            self.start(load).await;
        }
    }

    /// Whether the engine has to tell what it holds before a question can be answered.
    ///
    /// An order for a version that it already loads isn't counted, and one for an older version
    /// would take the newer away.
    fn needs_report(&self, load: &LoadCommand) -> bool {
        let Some(slots) = &self.slots else {
            return true;
        };
        self.stale || (load.version > 0 && slots.is_unversioned(&load.adapter))
    }

    /// Answers a question by what is held or on its way; returns it if an order is needed.
    fn wait(&mut self, load: LoadCommand, now: Millis) -> Option<LoadCommand> {
        let Some(slots) = &mut self.slots else {
            return Some(load);
        };
        slots.uses(Name::clone(&load.adapter), now + IN_USE_GRACE);
        slots.wait(load, now)
    }

    fn has_right(&self) -> bool {
        let address = self.parts.upstream.address;
        self.parts.ownership.fencing_token(address).is_some()
    }

    /// Leaves the engine alone for a while and asks it what it holds before the next order.
    ///
    /// While an adapter that was ordered away waits for its runs, the engine
    /// refuses every other order; more of them would only keep the controller busy.
    fn pause(&mut self) {
        self.stale = true;
        self.blocked = self.parts.clock.now() + PAUSE;
    }

    async fn next(&mut self) {
        while self.takes_load() {
            let Some(load) = self.queue.pop_front() else {
                return;
            };
            if !load.reply.is_closed() {
                Box::pin(self.load(load)).await;
            }
        }
    }

    async fn tick(&mut self) {
        if !self.has_right() {
            self.give_up(LoadOutcome::NotOwner);
            return;
        }
        let now = self.parts.clock.now();
        if let Some(slots) = &mut self.slots {
            slots.expire(now);
            self.stale |= slots.wants_report(now);
        }
        let rested = now >= self.blocked;
        if self.slots.is_none() || (self.stale && rested) {
            self.refresh().await;
        }
        self.load_base().await;
        self.next().await;
    }

    /// An engine that restarted is empty: its base model comes first.
    async fn load_base(&mut self) {
        let now = self.parts.clock.now();
        if self
            .slots
            .as_ref()
            .is_none_or(|slots| !slots.models().is_empty())
        {
            return;
        }
        let Some((model, span)) = self.parts.engine.model_load_times.first().cloned() else {
            return;
        };
        if self
            .base_ordered
            .is_some_and(|at| now.since(at) < span + MAX_LOAD_TIME)
        {
            self.refresh().await;
            return;
        }
        let outcome = self.change(Action::Load, &model, None).await;
        log::info!(
            "orders: {} is to load {model}: {outcome:?}",
            self.parts.upstream.incarnation
        );
        if matches!(outcome, Some(OrderOutcome::Started)) {
            self.base_ordered = Some(now);
        }
    }

    fn give_up(&mut self, loaded: LoadOutcome) {
        if let Some(slots) = self.slots.take() {
            slots.give_up(loaded);
        }
        for load in self.queue.drain(..) {
            answer(load.reply, loaded);
        }
    }
}
