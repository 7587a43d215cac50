//! The actor that orders loads: one at a time, as [`crate::policy::loads`] decides.

use std::collections::HashMap;
use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::mailbox::{self, MailboxReceiver, Signal};
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, oneshot, watch};

use super::{Permit, PermitRequest, PermitSource};
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::policy;
use crate::policy::loads::RequestKey;

/// Messages that wait for the actor.
const MAILBOX: usize = 1024;

/// How the queue behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Bounds of the decisions.
    pub queue: policy::loads::Limits,
    /// Shortest time between the starts of two loads; zero is one load right after another.
    pub min_start_interval: Millis,
}

/// The queue, as those see it that want to load.
#[derive(Clone)]
pub struct PermitQueue {
    actor: ActorRef<Limiter>,
    ends: mpsc::UnboundedSender<RequestKey>,
    serial: Arc<AtomicU64>,
}

impl fmt::Debug for PermitQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl PermitQueue {
    /// Starts with nobody waiting.
    #[must_use]
    pub fn start(limits: Limits, clock: Arc<dyn Clock>) -> Self {
        let (ends, ended) = mpsc::unbounded_channel();
        let actor = Limiter::spawn_with_mailbox((limits, clock, ended), mailbox::bounded(MAILBOX));
        Self {
            actor,
            ends,
            serial: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Changes the shortest time between the starts of two loads.
    pub(super) async fn space(&self, min_start_interval: Millis) {
        let _ = self.actor.tell(Space(min_start_interval)).send().await;
    }

    async fn ask(
        &self,
        key: RequestKey,
        ask: PermitRequest,
        reply: Option<oneshot::Sender<()>>,
    ) -> Result<(), Failure> {
        let asked = self.actor.tell(Asked { key, ask, reply }).send().await;
        asked.map_err(|_| Failure::new(Code::LoadFailed, "the load queue has stopped"))
    }
}

#[async_trait]
impl PermitSource for PermitQueue {
    async fn acquire(
        &self,
        mut ask: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        let key = (0, self.serial.fetch_add(1, Ordering::Relaxed));
        let grant = Grant {
            key,
            ends: self.ends.clone(),
        };
        let (reply, mut granted) = oneshot::channel();
        let first = ask.borrow_and_update().clone();
        self.ask(key, first, Some(reply)).await?;
        loop {
            tokio::select! {
                biased;
                granted = &mut granted => {
                    let full = |_| Failure::new(Code::LoadFailed, "too many loads wait");
                    return granted.map(|()| Box::new(grant) as _).map_err(full);
                }
                Ok(()) = ask.changed() => {
                    let changed = ask.borrow_and_update().clone();
                    self.ask(key, changed, None).await?;
                }
            }
        }
    }
}

/// An ask, waiting or granted; dropping it takes the ask or the permit back.
///
/// A holder that ends with its permit would block every load of the deployment.
#[derive(Debug)]
struct Grant {
    key: RequestKey,
    ends: mpsc::UnboundedSender<RequestKey>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        let _ = self.ends.send(self.key);
    }
}

#[async_trait]
impl Permit for Grant {
    async fn done(self: Box<Self>, _: bool, _: Millis) {}
}

/// An ask comes or changes.
#[derive(Debug)]
struct Asked {
    key: RequestKey,
    ask: PermitRequest,
    reply: Option<oneshot::Sender<()>>,
}

/// The shortest time between two loads changes.
#[derive(Debug)]
struct Space(Millis);

/// The actor: it grants one permit at a time, no faster than the weight store serves loads.
#[derive(Debug)]
struct Limiter {
    order: policy::loads::LoadQueue,
    min_start_interval: Millis,
    next_start: Millis,
    waiting: HashMap<RequestKey, oneshot::Sender<()>>,
    clock: Arc<dyn Clock>,
    ended: mpsc::UnboundedReceiver<RequestKey>,
}

impl Limiter {
    fn grant(&mut self) {
        let now = self.clock.now();
        while now >= self.next_start {
            let Some((key, _)) = self.order.next(now) else {
                return;
            };
            let told = self
                .waiting
                .remove(&key)
                .is_some_and(|reply| reply.send(()).is_ok());
            if told {
                self.next_start = now + self.min_start_interval;
            } else {
                self.order.withdraw(key);
            }
        }
    }

    fn wakeup(&self) -> Option<Millis> {
        if self.order.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let spaced = (now < self.next_start).then_some(self.next_start);
        let next = self.order.next_wakeup();
        // Neither can grant before the later of the two.
        spaced.max(next).map(|at| at.since(now))
    }

    fn end(&mut self, key: RequestKey) {
        self.waiting.remove(&key);
        self.order.withdraw(key);
        self.grant();
    }
}

impl Actor for Limiter {
    type Args = (Limits, Arc<dyn Clock>, mpsc::UnboundedReceiver<RequestKey>);
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let (limits, clock, ended) = args;
        Ok(Self {
            order: policy::loads::LoadQueue::new(limits.queue),
            min_start_interval: limits.min_start_interval,
            next_start: Millis::ZERO,
            waiting: HashMap::new(),
            clock,
            ended,
        })
    }

    async fn next(
        &mut self,
        _: WeakActorRef<Self>,
        mailbox: &mut MailboxReceiver<Self>,
    ) -> Result<Option<Signal<Self>>, Infallible> {
        loop {
            let wakeup = self.wakeup();
            tokio::select! {
                biased;
                Some(key) = self.ended.recv() => self.end(key),
                signal = mailbox.recv() => return Ok(signal),
                () = sleep(wakeup) => self.grant(),
            }
        }
    }
}

async fn sleep(wakeup: Option<Millis>) {
    match wakeup {
        Some(span) => tokio::time::sleep(span.duration()).await,
        None => std::future::pending().await,
    }
}

impl Message<Asked> for Limiter {
    type Reply = ();

    async fn handle(&mut self, asked: Asked, _: &mut Context<Self, ()>) {
        // An ask that changes after it was granted or taken back stays so.
        let known = asked.reply.is_some() || self.waiting.contains_key(&asked.key);
        if !known || !self.order.enqueue(asked.key, asked.ask, self.clock.now()) {
            return;
        }
        if let Some(reply) = asked.reply {
            self.waiting.insert(asked.key, reply);
        }
        self.grant();
    }
}

impl Message<Space> for Limiter {
    type Reply = ();

    async fn handle(&mut self, space: Space, _: &mut Context<Self, ()>) {
        self.min_start_interval = space.0;
    }
}
