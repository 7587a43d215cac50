//! The actor of one owned upstream.
//!
//! It only takes turns: messages, news from its tasks and the passing of time
//! each go to the [`Driver`], one after another.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::mailbox::{MailboxReceiver, Signal};
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, oneshot, watch};

use super::driver::Driver;
use super::event::Event;
use super::registry::Parts;
use super::run::Grant;
use super::status::Status;
use crate::adapter::Adapter;
use crate::declaration::{Pool, PoolKind};
use crate::error::Failure;
use crate::membership::{Hold, fleet};
use crate::request::{Id, Ticket};
use crate::runner::Share;

/// What an upstream is owned under.
#[derive(Debug, Clone)]
pub(super) struct Args {
    pub(super) upstream: fleet::Upstream,
    pub(super) pool: Arc<Pool>,
    pub(super) hold: Hold,
}

impl Args {
    /// Whether `next` is the same ownership of the same upstream.
    pub(super) fn continues(&self, next: &Self) -> bool {
        self.hold.token() == next.hold.token()
            && self.upstream.vm.address == next.upstream.vm.address
            && base_model(&self.pool) == base_model(&next.pool)
    }
}

/// Returns a pool's base model, or none for plain services.
pub(super) fn base_model(pool: &Pool) -> Option<&Arc<str>> {
    match &pool.kind {
        PoolKind::Engine { base_model, .. } => Some(base_model),
        PoolKind::Service => None,
    }
}

/// Asks for a place.
#[derive(Debug)]
pub(super) struct Submit {
    /// The request, under the place's key as its identity.
    pub(super) ticket: Ticket,
    /// The request's own identity, which the engine sees.
    pub(super) request: Id,
    pub(super) share: Share,
    pub(super) last: bool,
    /// Where the answer goes.
    pub(super) reply: oneshot::Sender<Result<Grant, Failure>>,
}

/// Replaces the pool, the hold or the upstream's state.
#[derive(Debug)]
pub(super) struct Adopt(pub(super) Args);

/// Tells that templates will move from one adapter to another.
#[derive(Debug)]
pub(super) struct Replaced {
    pub(super) old: Adapter,
    pub(super) new: Adapter,
}

/// Ends the ownership.
#[derive(Debug)]
pub(super) struct Release {
    /// Told when nothing runs any more.
    pub(super) done: Option<oneshot::Sender<()>>,
}

/// What an actor is started with.
pub(super) type Start = (
    Parts,
    Args,
    mpsc::UnboundedSender<Event>,
    mpsc::UnboundedReceiver<Event>,
    watch::Sender<Status>,
);

/// The actor.
#[derive(Debug)]
pub(super) struct Upstream {
    driver: Driver,
    heard: mpsc::UnboundedReceiver<Event>,
}

impl Actor for Upstream {
    type Args = Start;
    type Error = Infallible;

    async fn on_start(args: Start, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let (parts, args, events, heard, status) = args;
        Ok(Self {
            driver: Driver::new(parts, args, events, status),
            heard,
        })
    }

    async fn next(
        &mut self,
        _: WeakActorRef<Self>,
        mailbox: &mut MailboxReceiver<Self>,
    ) -> Result<Option<Signal<Self>>, Infallible> {
        loop {
            let wakeup = self.driver.wakeup();
            tokio::select! {
                biased;
                // Ends go first: they make room for what the mailbox brings.
                Some(event) = self.heard.recv() => self.driver.heard(event),
                signal = mailbox.recv() => return Ok(signal),
                () = sleep(wakeup) => self.driver.tick(),
            }
        }
    }
}

async fn sleep(wakeup: Option<std::time::Duration>) {
    match wakeup {
        Some(span) => tokio::time::sleep(span).await,
        None => std::future::pending().await,
    }
}

impl Message<Submit> for Upstream {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self, ()>) {
        self.driver.submit(submit);
    }
}

impl Message<Adopt> for Upstream {
    type Reply = ();

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, ()>) {
        self.driver.adopt(adopt.0);
    }
}

impl Message<Replaced> for Upstream {
    type Reply = ();

    async fn handle(&mut self, replaced: Replaced, _: &mut Context<Self, ()>) {
        self.driver.replaced(&replaced.old, &replaced.new);
    }
}

impl Message<Release> for Upstream {
    type Reply = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self, ()>) {
        self.driver.release(release.done);
    }
}
