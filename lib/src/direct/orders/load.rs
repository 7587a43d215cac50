//! Loads: room for one, its order, and looks whether it is complete.

use std::time::Duration;

use kameo::actor::ActorRef;

use super::book::{Seat, answer};
use super::message::{Load, Loaded, Look, Looked};
use super::{Desk, LONGEST_LOAD, MOST_INCOMING};
use crate::clock::Millis;
use crate::direct::dialect::{Action, Order, Ordered};
use crate::name::Name;

/// Loads that may wait for a place on their way.
///
/// With those on their way they take half a second, about what callers bear for a first event.
/// Whoever comes later is told at once and asks another engine: with 64, requests waited for two
/// to four seconds at engines whose orders went unanswered while others were free.
const MOST_WAITING: usize = 2;

/// First look whether a load is complete; one from the engine's own memory takes a tenth.
const FIRST_LOOK: Millis = Millis(45);

/// How long a load from the weight store takes at least: no look before is of use.
const FULL_LOAD: Millis = Millis(240);

/// Pause between looks.
const LOOK: Millis = Millis(30);

impl Desk {
    pub(super) async fn start(&mut self, load: Load, actor: &ActorRef<Self>) {
        if self.incoming() >= MOST_INCOMING {
            if self.queue.len() < MOST_WAITING {
                self.queue.push_back(load);
            } else {
                answer(load.reply, Loaded::Full);
            }
            return;
        }
        if !self.make_room(&load.adapter).await {
            answer(load.reply, Loaded::Full);
            return;
        }
        let version = (load.version > 0).then_some(load.version);
        let outcome = self.change(Action::Load, &load.adapter, version).await;
        self.started(load, outcome, actor);
    }

    fn started(&mut self, load: Load, outcome: Option<Ordered>, actor: &ActorRef<Self>) {
        let now = self.parts.clock.now();
        let Some(book) = &mut self.book else {
            answer(load.reply, Loaded::Failed);
            return;
        };
        match outcome {
            Some(Ordered::Holds) => {
                let seat = Seat::Present {
                    version: load.version,
                };
                book.seats.insert(Name::clone(&load.adapter), seat);
                self.publish();
                answer(load.reply, Loaded::Ready(load.version));
            }
            Some(Ordered::Started) => {
                let seat = Seat::Coming {
                    version: load.version,
                    since: now,
                    waiting: vec![load.reply],
                };
                book.seats.insert(Name::clone(&load.adapter), seat);
                self.publish();
                look_later(actor, load.adapter, FIRST_LOOK);
            }
            Some(Ordered::Fenced) => answer(load.reply, Loaded::NotOwner),
            Some(Ordered::Conflict | Ordered::Elsewhere | Ordered::Refused) => {
                self.pause();
                answer(load.reply, Loaded::Full);
            }
            None => answer(load.reply, Loaded::Failed),
        }
    }

    /// Frees a place if there is none.
    async fn make_room(&mut self, adapter: &Name) -> bool {
        let now = self.parts.clock.now();
        let doubtful = self.doubtful(now);
        let places = self.parts.engine.adapter_slots;
        let Some(book) = &self.book else {
            return false;
        };
        if book.seats.contains_key(adapter) || book.seats.len() + doubtful < places {
            return true;
        }
        let engine = &self.parts.upstream.incarnation;
        let victim = book
            .seats
            .iter()
            .filter(|(name, seat)| {
                matches!(seat, Seat::Present { .. }) && !self.parts.table.uses(engine, name)
            })
            .map(|(name, _)| (book.used.get(name).copied().unwrap_or_default(), name))
            .min();
        let Some((used_until, victim)) = victim else {
            return false;
        };
        if now < used_until {
            return false;
        }
        let victim = Name::clone(victim);
        let outcome = self.change(Action::Unload, &victim, None).await;
        let Some(book) = &mut self.book else {
            return false;
        };
        match outcome {
            Some(Ordered::Holds) => {
                book.seats.remove(&victim);
                self.publish();
                self.fits(now)
            }
            // It waits for runs: its place isn't free yet.
            Some(_) => {
                self.pause();
                false
            }
            None => false,
        }
    }

    fn fits(&mut self, now: Millis) -> bool {
        let doubtful = self.doubtful(now);
        let places = self.parts.engine.adapter_slots;
        self.book
            .as_ref()
            .is_some_and(|book| book.seats.len() + doubtful < places)
    }

    /// Has a task of its own look, so that one without an answer keeps no other load waiting.
    pub(super) fn look(&mut self, adapter: Name, actor: &ActorRef<Self>) {
        let now = self.parts.clock.now();
        let Some(book) = &self.book else {
            return;
        };
        let Some(Seat::Coming { version, since, .. }) = book.seats.get(&adapter) else {
            return;
        };
        if now.since(*since) > LONGEST_LOAD {
            self.landed(&adapter, Loaded::Failed);
            self.stale = true;
            return;
        }
        let order = Order {
            action: Action::Load,
            model: Name::clone(&adapter),
            version: (*version > 0).then_some(*version),
            sequence: book.sequence,
            holder: Name::clone(&self.parts.holder),
            fence: 0,
        };
        let parts = self.parts.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let outcome = parts.give(order).await.ok();
            if actor.tell(Looked { adapter, outcome }).await.is_err() {
                log::debug!("orders: the desk closed before a load was complete");
            }
        });
    }

    pub(super) async fn looked(&mut self, looked: Looked, actor: &ActorRef<Self>) {
        let Looked { adapter, outcome } = looked;
        let Some(Seat::Coming { version, since, .. }) =
            self.book.as_ref().and_then(|book| book.seats.get(&adapter))
        else {
            return;
        };
        let (version, since) = (*version, *since);
        match outcome {
            Some(Ordered::Holds) => {
                self.landed(&adapter, Loaded::Ready(version));
                self.next(actor).await;
            }
            Some(Ordered::Fenced | Ordered::Elsewhere) => {
                self.landed(&adapter, Loaded::Failed);
                self.stale = true;
            }
            // Another order was accepted since the look left.
            Some(Ordered::Conflict | Ordered::Started | Ordered::Refused) | None => {
                let passed = self.parts.clock.now().since(since);
                let rest = FULL_LOAD.since(passed);
                look_later(actor, adapter, rest.max(LOOK));
            }
        }
    }

    fn landed(&mut self, adapter: &Name, loaded: Loaded) {
        let Some(book) = &mut self.book else {
            return;
        };
        let Some(Seat::Coming {
            version,
            waiting,
            since,
        }) = book.seats.remove(adapter)
        else {
            return;
        };
        let took = self.parts.clock.now().since(since);
        log::debug!("orders: {adapter} is {loaded:?} after {took}");
        if matches!(loaded, Loaded::Ready(_)) {
            book.seats
                .insert(Name::clone(adapter), Seat::Present { version });
            self.publish();
        }
        for reply in waiting {
            answer(reply, loaded);
        }
    }
}

fn look_later(actor: &ActorRef<Desk>, adapter: Name, span: Millis) {
    let actor = actor.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(span.0)).await;
        if actor.tell(Look(adapter)).await.is_err() {
            log::debug!("orders: the desk closed before a load was complete");
        }
    });
}
