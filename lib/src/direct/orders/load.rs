//! Loads: room for one, its order, and looks whether it is complete.

use kameo::actor::ActorRef;

use super::message::{LoadCommand, LoadOutcome, LookDue, Looked};
use super::slots::{LoadProbe, Slots, answer};
use super::{EngineController, MOST_IN_TRANSIT, MOST_INCOMING};
use crate::clock::Millis;
use crate::direct::dialect::{Action, Order, OrderOutcome};
use crate::name::Name;

/// Loads that may wait for a place on their way.
///
/// With those on their way they take half a second, about what callers bear for a first event.
/// Whoever comes later is told at once and asks another engine: with 64, requests waited for two
/// to four seconds at engines whose orders went unanswered while others were free.
const MOST_WAITING: usize = 2;

/// The next look that a timer waits for.
#[derive(Debug)]
pub(super) struct Wake {
    at: Millis,
    timer: tokio::task::AbortHandle,
}

impl Drop for Wake {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

impl EngineController {
    pub(super) async fn start(&mut self, load: LoadCommand) {
        if !self.takes_load() {
            if self.queue.len() < MOST_WAITING {
                self.queue.push_back(load);
            } else {
                answer(load.reply, LoadOutcome::Full);
            }
            return;
        }
        if !self.make_room(&load.adapter).await {
            answer(load.reply, LoadOutcome::Full);
            return;
        }
        let version = (load.version > 0).then_some(load.version);
        let outcome = self.change(Action::Load, &load.adapter, version).await;
        self.started(load, outcome);
    }

    /// Whether one more load may be on its way.
    ///
    /// A load that outlasts its time waits for runs of the adapter and takes nothing from the
    /// weight store; two of them would keep all other loads from the engine.
    pub(super) fn takes_load(&self) -> bool {
        let now = self.parts.clock.now();
        self.slots.as_ref().is_none_or(|slots| {
            slots.loading_in_time(now) < MOST_INCOMING && slots.loading() < MOST_IN_TRANSIT
        })
    }

    fn started(&mut self, load: LoadCommand, outcome: Option<OrderOutcome>) {
        let now = self.parts.clock.now();
        let Some(slots) = &mut self.slots else {
            answer(load.reply, LoadOutcome::Failed);
            return;
        };
        match outcome {
            Some(OrderOutcome::Holds) => {
                slots.holds(load, now);
                self.publish();
            }
            Some(OrderOutcome::Started) => {
                slots.began(load, now);
                self.publish();
            }
            Some(OrderOutcome::Fenced) => answer(load.reply, LoadOutcome::NotOwner),
            Some(OrderOutcome::Conflict | OrderOutcome::Elsewhere | OrderOutcome::Refused) => {
                self.pause();
                answer(load.reply, LoadOutcome::Full);
            }
            None => answer(load.reply, LoadOutcome::Failed),
        }
    }

    /// Frees a slot if there is none.
    async fn make_room(&mut self, adapter: &Name) -> bool {
        let now = self.parts.clock.now();
        if self.has_room(adapter, now) {
            return true;
        }
        let (table, engine) = (&self.parts.table, &self.parts.upstream.incarnation);
        let in_use = |name: &Name| table.uses(engine, name);
        let victim = self
            .slots
            .as_ref()
            .and_then(|slots| slots.least_used(now, in_use));
        let Some(victim) = victim else {
            return false;
        };
        let outcome = self.change(Action::Unload, &victim, None).await;
        let Some(slots) = &mut self.slots else {
            return false;
        };
        match outcome {
            Some(OrderOutcome::Holds) => {
                slots.dropped(&victim);
                self.publish();
                self.has_room(adapter, now)
            }
            // It waits for runs: its slot isn't free yet.
            Some(_) => {
                self.pause();
                false
            }
            None => false,
        }
    }

    fn has_room(&mut self, adapter: &str, now: Millis) -> bool {
        let doubtful = self.doubtful(now);
        let most = self.parts.engine.adapter_slots;
        let has_room = |slots: &Slots| slots.has_slot(adapter) || slots.taken() + doubtful < most;
        self.slots.as_ref().is_some_and(has_room)
    }

    /// Sees to it that the next look comes when it is due.
    pub(super) fn schedule(&mut self, actor: &ActorRef<Self>) {
        let now = self.parts.clock.now();
        let next = self.slots.as_ref().and_then(|slots| slots.next_look(now));
        let Some(at) = next else {
            self.wake = None;
            return;
        };
        if self.wake.as_ref().is_some_and(|wake| wake.at == at) {
            return;
        }
        let actor = actor.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep(at.since(now).duration()).await;
            if actor.tell(LookDue).await.is_err() {
                log::debug!("orders: the controller closed before a load was complete");
            }
        });
        let timer = timer.abort_handle();
        self.wake = Some(Wake { at, timer });
    }

    /// Has tasks of their own look, so that one without an answer keeps no other load waiting.
    pub(super) fn look(&mut self, actor: &ActorRef<Self>) {
        self.wake = None;
        let now = self.parts.clock.now();
        let Some(slots) = &mut self.slots else {
            return;
        };
        slots.expire(now);
        for look in slots.due(now) {
            self.ask(look, actor);
        }
    }

    fn ask(&self, look: LoadProbe, actor: &ActorRef<Self>) {
        let order = Order {
            action: Action::Load,
            model: Name::clone(&look.adapter),
            version: (look.version > 0).then_some(look.version),
            sequence: look.sequence,
            holder: Name::clone(&self.parts.holder),
            fencing_token: 0,
        };
        let parts = self.parts.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let outcome = parts.give(order).await.ok();
            if actor.tell(Looked { look, outcome }).await.is_err() {
                log::debug!("orders: the controller closed before a load was complete");
            }
        });
    }

    pub(super) async fn looked(&mut self, looked: Looked) {
        let Looked { look, outcome } = looked;
        let now = self.parts.clock.now();
        let Some(slots) = &mut self.slots else {
            return;
        };
        let is_known = slots.looked(&look, outcome, now);
        self.stale |= !is_known;
        if outcome == Some(OrderOutcome::Holds) {
            self.publish();
            self.next().await;
        }
    }
}
