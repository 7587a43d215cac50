//! The actor of one owned upstream.
//!
//! It passes messages, events from its tasks and timer wakeups to the [`Driver`],
//! one at a time.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::mailbox::{MailboxReceiver, Signal};
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, oneshot, watch};

use super::driver::Driver;
use super::registry::Dependencies;
use super::run::Grant;
use super::status::Status;
use super::task_event::TaskEvent;
use crate::adapter::Adapter;
use crate::declaration::{Pool, PoolKind};
use crate::error::Failure;
use crate::membership::{UpstreamOwnership, fleet};
use crate::request::{Id, Ticket};
use crate::runner::Share;

/// An upstream with the pool and the lease under which it is owned.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub(super) upstream: fleet::Upstream,
    pub(super) pool: Arc<Pool>,
    pub(super) ownership: UpstreamOwnership,
}

impl Assignment {
    /// Whether `next` is an update of the same ownership of the same upstream.
    pub(super) fn is_continued_by(&self, next: &Self) -> bool {
        self.ownership.token() == next.ownership.token()
            && self.upstream.vm.address == next.upstream.vm.address
            && base_model(&self.pool) == base_model(&next.pool)
    }
}

/// Returns a pool's base model; `None` for plain services.
pub(super) fn base_model(pool: &Pool) -> Option<&Arc<str>> {
    match &pool.kind {
        PoolKind::Engine { base_model, .. } => Some(base_model),
        PoolKind::Service => None,
    }
}

/// Message that submits a request.
#[derive(Debug)]
pub(super) struct Submit {
    /// The request's ticket, with the key under which the actor tracks it as its ID.
    pub(super) ticket: Ticket,
    /// The request's own ID, as the engine sees it.
    pub(super) request_id: Id,
    /// The client account's limits.
    pub(super) share: Share,
    /// Whether no other upstream will be tried.
    pub(super) last: bool,
    /// Receives the grant or the refusal.
    pub(super) reply: oneshot::Sender<Result<Grant, Failure>>,
}

/// Message that replaces the pool, the lease or the upstream's state.
#[derive(Debug)]
pub(super) struct UpdateAssignment(pub(super) Assignment);

/// Message that templates will move from one adapter to another, which may be prefetched.
#[derive(Debug)]
pub(super) struct PrefetchReplacement {
    pub(super) old: Adapter,
    pub(super) new: Adapter,
}

/// Message that ends the ownership.
#[derive(Debug)]
pub(super) struct Release {
    /// Notified when no request runs any more.
    pub(super) done: Option<oneshot::Sender<()>>,
}

/// Arguments of the actor's start.
pub(super) type StartArgs = (
    Dependencies,
    Assignment,
    mpsc::UnboundedSender<TaskEvent>,
    mpsc::UnboundedReceiver<TaskEvent>,
    watch::Sender<Status>,
);

/// The actor.
#[derive(Debug)]
pub(super) struct UpstreamActor {
    driver: Driver,
    events: mpsc::UnboundedReceiver<TaskEvent>,
}

impl Actor for UpstreamActor {
    type Args = StartArgs;
    type Error = Infallible;

    async fn on_start(args: StartArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let (dependencies, assignment, event_sender, events, status) = args;
        Ok(Self {
            driver: Driver::new(dependencies, assignment, event_sender, status),
            events,
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
                // Events first: ended requests make room for those in the mailbox.
                Some(event) = self.events.recv() => self.driver.handle_event(event),
                signal = mailbox.recv() => return Ok(signal),
                () = sleep(wakeup) => self.driver.tick(),
            }
        }
    }
}

async fn sleep(wakeup: Option<std::time::Duration>) {
    match wakeup {
        Some(delay) => tokio::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}

impl Message<Submit> for UpstreamActor {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self, ()>) {
        self.driver.submit(submit);
    }
}

impl Message<UpdateAssignment> for UpstreamActor {
    type Reply = ();

    async fn handle(&mut self, update: UpdateAssignment, _: &mut Context<Self, ()>) {
        self.driver.update_assignment(update.0);
    }
}

impl Message<PrefetchReplacement> for UpstreamActor {
    type Reply = ();

    async fn handle(&mut self, replacement: PrefetchReplacement, _: &mut Context<Self, ()>) {
        self.driver
            .prefetch_replacement(&replacement.old, &replacement.new);
    }
}

impl Message<Release> for UpstreamActor {
    type Reply = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self, ()>) {
        self.driver.release(release.done);
    }
}
