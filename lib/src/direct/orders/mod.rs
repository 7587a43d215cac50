//! Orders to one engine: which adapters it holds.
//!
//! One actor an engine keeps the book of its places. Every order carries the
//! number of orders that the engine has accepted, so that one that was lost and
//! is carried out late does nothing once another was accepted.

mod book;
mod engine;
mod message;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;

use super::dialect::{Action, Order, Ordered};
use super::limits::IN_USE;
use crate::clock::Millis;
use crate::name::Name;
use crate::ports::link::Lost;
use book::{Book, Seat, answer};

use message::{Look, Looked};

pub use engine::Parts;
pub use message::{Load, Loaded, Tick, Used};

/// Adapters that may be on their way to one engine.
///
/// Engines take four, but share a store that serves eight at full speed: with two each, a load
/// that has begun ends sooner, and later ones wait here in order.
const MOST_INCOMING: usize = 2;

/// Loads that may wait for a place on their way.
///
/// With those on their way they take half a second, about what callers bear for a first event.
/// Whoever comes later is told at once and asks another engine: with 64, requests waited for two
/// to four seconds at engines whose orders went unanswered while others were free.
const MOST_WAITING: usize = 2;

/// How often an order is given while it has no answer.
const TRIES: u32 = 3;

/// First look whether a load is complete; one from the engine's own memory takes a tenth.
const FIRST_LOOK: Millis = Millis(45);

/// How long a load from the weight store takes at least: no look before is of use.
const FULL_LOAD: Millis = Millis(240);

/// Pause between looks.
const LOOK: Millis = Millis(30);

/// The longest that a load may take before whoever waits is told that it failed.
const LONGEST_LOAD: Millis = Millis(4_000);

/// How long an order without an answer may still be carried out.
const LATE: Millis = Millis(12_500);

/// How long an engine is left alone that refused an order for another that is under way.
const PAUSE: Millis = Millis(250);

/// Gives one engine its orders.
#[derive(Debug)]
pub struct Desk {
    parts: Parts,
    book: Option<Book>,
    /// The book may be wrong; the engine is asked before the next order.
    stale: bool,
    /// Until when the engine is left alone.
    blocked: Millis,
    queue: VecDeque<Load>,
    /// Until when orders without an answer may be carried out, with the count that they expect.
    doubtful: Vec<(u64, Millis)>,
    base_ordered: Option<Millis>,
    /// Whether the last order was sent and had no answer.
    unanswered: bool,
}

impl Actor for Desk {
    type Args = Parts;
    type Error = Infallible;

    async fn on_start(parts: Parts, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            parts,
            book: None,
            stale: false,
            blocked: Millis::ZERO,
            queue: VecDeque::new(),
            doubtful: Vec::new(),
            base_ordered: None,
            unanswered: false,
        })
    }
}

impl Desk {
    async fn load(&mut self, load: Load, actor: &ActorRef<Self>) {
        if self
            .parts
            .right
            .check(self.parts.upstream.address)
            .is_none()
        {
            answer(load.reply, Loaded::NotOwner);
            return;
        }
        let now = self.parts.clock.now();
        if now < self.blocked && !self.holds(&load) {
            answer(load.reply, Loaded::Full);
            return;
        }
        if (self.book.is_none() || self.stale) && !self.refresh().await {
            answer(load.reply, Loaded::Failed);
            return;
        }
        let Some(book) = &mut self.book else {
            return;
        };
        book.used.insert(Name::clone(&load.adapter), now + IN_USE);
        match book.seats.get_mut(&load.adapter) {
            Some(Seat::Present { version }) if *version >= load.version => {
                answer(load.reply, Loaded::Ready(*version));
            }
            Some(Seat::Coming {
                version, waiting, ..
            }) if *version >= load.version => waiting.push(load.reply),
            _ => self.start(load, actor).await,
        }
    }

    /// Whether the engine holds what is asked for.
    fn holds(&self, load: &Load) -> bool {
        let seat = self
            .book
            .as_ref()
            .and_then(|book| book.seats.get(&load.adapter));
        matches!(seat, Some(Seat::Present { version }) if *version >= load.version)
    }

    /// Leaves the engine alone for a while and asks it what it holds before the next order.
    ///
    /// While an adapter that was ordered away waits for its runs, the engine
    /// refuses every other order; more of them would only keep the desk busy.
    fn pause(&mut self) {
        self.stale = true;
        self.blocked = self.parts.clock.now() + PAUSE;
    }

    async fn start(&mut self, load: Load, actor: &ActorRef<Self>) {
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
    fn look(&mut self, adapter: Name, actor: &ActorRef<Self>) {
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

    async fn looked(&mut self, looked: Looked, actor: &ActorRef<Self>) {
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

    async fn next(&mut self, actor: &ActorRef<Self>) {
        while self.incoming() < MOST_INCOMING {
            let Some(load) = self.queue.pop_front() else {
                return;
            };
            if !load.reply.is_closed() {
                Box::pin(self.load(load, actor)).await;
            }
        }
    }

    async fn tick(&mut self, actor: &ActorRef<Self>) {
        if self
            .parts
            .right
            .check(self.parts.upstream.address)
            .is_none()
        {
            self.give_up(Loaded::NotOwner);
            return;
        }
        let rested = self.parts.clock.now() >= self.blocked;
        if self.book.is_none() || (self.stale && rested) {
            self.refresh().await;
        }
        self.load_base().await;
        self.next(actor).await;
    }

    /// An engine that restarted is empty: its base model comes first.
    async fn load_base(&mut self) {
        let now = self.parts.clock.now();
        let Some(book) = &self.book else {
            return;
        };
        if !book.models.is_empty() {
            return;
        }
        let Some((model, span)) = self.parts.engine.models.first().cloned() else {
            return;
        };
        if self
            .base_ordered
            .is_some_and(|at| now.since(at) < span + LONGEST_LOAD)
        {
            self.refresh().await;
            return;
        }
        let outcome = self.change(Action::Load, &model, None).await;
        log::info!(
            "orders: {} is to load {model}: {outcome:?}",
            self.parts.upstream.incarnation
        );
        if matches!(outcome, Some(Ordered::Started)) {
            self.base_ordered = Some(now);
        }
    }

    fn give_up(&mut self, loaded: Loaded) {
        if let Some(book) = self.book.take() {
            for (_, seat) in book.seats {
                if let Seat::Coming { waiting, .. } = seat {
                    for reply in waiting {
                        answer(reply, loaded);
                    }
                }
            }
        }
        for load in self.queue.drain(..) {
            answer(load.reply, loaded);
        }
    }

    fn incoming(&self) -> usize {
        self.book.as_ref().map_or(0, Book::incoming)
    }

    /// Counts places that orders without an answer may still take.
    ///
    /// All that wait under one count can only be carried out once.
    fn doubtful(&mut self, now: Millis) -> usize {
        let sequence = self.book.as_ref().map_or(0, |book| book.sequence);
        self.doubtful
            .retain(|(expected, until)| *until > now && *expected >= sequence);
        usize::from(!self.doubtful.is_empty())
    }

    /// Gives an order that changes something, and keeps count of what was accepted.
    ///
    /// One without an answer is given again under the same count: accepted, it
    /// makes the first harmless; refused for its count, it tells that the first
    /// was accepted.
    async fn change(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> Option<Ordered> {
        let now = self.parts.clock.now();
        let alone = self.doubtful(now) == 0;
        let mut outcome = self.order(action, model, version).await;
        for _ in 1..TRIES {
            if outcome.is_some() || !self.unanswered {
                break;
            }
            let sequence = self.book.as_ref()?.sequence;
            self.doubtful.push((sequence, now + LATE));
            outcome = match self.order(action, model, version).await {
                Some(Ordered::Conflict) if alone => Some(Ordered::Started),
                other => other,
            };
        }
        self.record(action, model, version, outcome);
        let accepted = outcome == Some(Ordered::Started)
            || (outcome == Some(Ordered::Holds) && action == Action::Unload);
        if accepted && let Some(book) = &mut self.book {
            book.sequence += 1;
        }
        outcome
    }

    fn record(&self, action: Action, model: &Name, version: Option<u64>, outcome: Option<Ordered>) {
        let outcome = outcome.map_or("none", Ordered::name);
        let orders = &self.parts.metrics.orders;
        orders.with_label_values(&[action.name(), outcome]).inc();
        log::info!(
            upstream = &*self.parts.upstream.incarnation,
            adapter = &**model,
            version = version.unwrap_or_default(),
            outcome = outcome,
            sequence = self.book.as_ref().map_or(0, |book| book.sequence);
            "orders: {}", action.name()
        );
    }

    /// Gives an order; none means that there was no answer or no right.
    async fn order(
        &mut self,
        action: Action,
        model: &Name,
        version: Option<u64>,
    ) -> Option<Ordered> {
        let sequence = self.book.as_ref()?.sequence;
        let order = Order {
            action,
            model: Name::clone(model),
            version,
            sequence,
            holder: Name::clone(&self.parts.holder),
            fence: 0,
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
    async fn refresh(&mut self) -> bool {
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
        let former = self.book.take().unwrap_or_default();
        let now = self.parts.clock.now();
        self.book = Some(Book::renewed(former, &report, now));
        self.stale = false;
        self.publish();
        true
    }

    /// Lets this node's requests and exchanges see what the engine holds.
    fn publish(&self) {
        if let Some(book) = &self.book {
            self.parts.upstream.hold(&book.held());
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
