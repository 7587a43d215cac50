//! Orders to one engine: which adapters it holds.
//!
//! One actor an engine keeps the book of its places. Every order carries the
//! number of orders that the engine has accepted, so that one that was lost and
//! is carried out late does nothing once another was accepted.

mod book;
mod change;
mod engine;
mod load;
mod message;

use std::collections::VecDeque;
use std::convert::Infallible;

use kameo::Actor;
use kameo::actor::ActorRef;

use super::dialect::{Action, Ordered};
use super::limits::IN_USE;
use crate::clock::Millis;
use crate::name::Name;
use book::{Book, Seat, answer};

pub use engine::Parts;
pub use message::{Load, Loaded, Tick, Used};

/// Adapters that may be on their way to one engine.
///
/// Engines take four, but share a store that serves eight at full speed: with two each, a load
/// that has begun ends sooner, and later ones wait here in order.
const MOST_INCOMING: usize = 2;

/// The longest that a load may take before whoever waits is told that it failed.
const LONGEST_LOAD: Millis = Millis(4_000);

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
}
