//! An actor that grants permits one at a time, in the order given by
//! [`crate::policy::loads`].

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

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Limits of the permit queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Limits of the load queue that decides the order.
    pub queue: policy::loads::Limits,
    /// Minimum time between the starts of two loads; zero starts each load right after the
    /// previous one.
    pub min_start_interval: Millis,
}

/// A handle to the actor that grants permits.
#[derive(Clone)]
pub struct PermitQueue {
    actor: ActorRef<PermitActor>,
    released_sender: mpsc::UnboundedSender<RequestKey>,
    next_id: Arc<AtomicU64>,
}

impl fmt::Debug for PermitQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl PermitQueue {
    /// Starts an actor with an empty queue.
    #[must_use]
    pub fn start(limits: Limits, clock: Arc<dyn Clock>) -> Self {
        let (released_sender, released_receiver) = mpsc::unbounded_channel();
        let actor = PermitActor::spawn_with_mailbox(
            (limits, clock, released_receiver),
            mailbox::bounded(MAILBOX_CAPACITY),
        );
        Self {
            actor,
            released_sender,
            next_id: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Changes the minimum time between the starts of two loads.
    pub(super) async fn set_min_start_interval(&self, min_start_interval: Millis) {
        let _ = self
            .actor
            .tell(SetMinStartInterval(min_start_interval))
            .send()
            .await;
    }

    async fn send_request(
        &self,
        key: RequestKey,
        request: PermitRequest,
        reply: Option<oneshot::Sender<()>>,
    ) -> Result<(), Failure> {
        let sent = self
            .actor
            .tell(UpsertRequest {
                key,
                request,
                reply,
            })
            .send()
            .await;
        sent.map_err(|_| Failure::new(Code::LoadFailed, "the load queue has stopped"))
    }
}

#[async_trait]
impl PermitSource for PermitQueue {
    async fn acquire(
        &self,
        mut request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        let key = (0, self.next_id.fetch_add(1, Ordering::Relaxed));
        let guard = PermitGuard {
            key,
            released_sender: self.released_sender.clone(),
        };
        let (reply, mut granted) = oneshot::channel();
        let first = request.borrow_and_update().clone();
        self.send_request(key, first, Some(reply)).await?;
        loop {
            tokio::select! {
                biased;
                granted = &mut granted => {
                    let full = |_| Failure::new(Code::LoadFailed, "too many loads wait");
                    return granted.map(|()| Box::new(guard) as _).map_err(full);
                }
                Ok(()) = request.changed() => {
                    let changed = request.borrow_and_update().clone();
                    self.send_request(key, changed, None).await?;
                }
            }
        }
    }
}

/// Cancels a request or releases its permit on drop.
///
/// A holder that ended without releasing its permit would block all loads of the
/// deployment.
#[derive(Debug)]
struct PermitGuard {
    key: RequestKey,
    released_sender: mpsc::UnboundedSender<RequestKey>,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let _ = self.released_sender.send(self.key);
    }
}

#[async_trait]
impl Permit for PermitGuard {
    async fn done(self: Box<Self>, _: bool, _: Millis) {}
}

/// Adds or updates a request.
#[derive(Debug)]
struct UpsertRequest {
    key: RequestKey,
    request: PermitRequest,
    reply: Option<oneshot::Sender<()>>,
}

/// Changes the minimum time between the starts of two loads.
#[derive(Debug)]
struct SetMinStartInterval(Millis);

/// The actor, which grants one permit at a time, no faster than the weight store serves
/// loads.
#[derive(Debug)]
struct PermitActor {
    queue: policy::loads::LoadQueue,
    min_start_interval: Millis,
    next_start_at: Millis,
    waiting: HashMap<RequestKey, oneshot::Sender<()>>,
    clock: Arc<dyn Clock>,
    released_receiver: mpsc::UnboundedReceiver<RequestKey>,
}

impl PermitActor {
    fn grant_ready(&mut self) {
        let now = self.clock.now();
        while now >= self.next_start_at {
            let Some((key, _)) = self.queue.next(now) else {
                return;
            };
            let delivered = self
                .waiting
                .remove(&key)
                .is_some_and(|reply| reply.send(()).is_ok());
            if delivered {
                self.next_start_at = now + self.min_start_interval;
            } else {
                self.queue.withdraw(key);
            }
        }
    }

    fn next_wakeup(&self) -> Option<Millis> {
        if self.queue.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let earliest_start = (now < self.next_start_at).then_some(self.next_start_at);
        let next = self.queue.next_wakeup();
        // Nothing can be granted before the later of the two.
        earliest_start.max(next).map(|at| at.since(now))
    }

    fn release(&mut self, key: RequestKey) {
        self.waiting.remove(&key);
        self.queue.withdraw(key);
        self.grant_ready();
    }
}

impl Actor for PermitActor {
    type Args = (Limits, Arc<dyn Clock>, mpsc::UnboundedReceiver<RequestKey>);
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let (limits, clock, released_receiver) = args;
        Ok(Self {
            queue: policy::loads::LoadQueue::new(limits.queue),
            min_start_interval: limits.min_start_interval,
            next_start_at: Millis::ZERO,
            waiting: HashMap::new(),
            clock,
            released_receiver,
        })
    }

    async fn next(
        &mut self,
        _: WeakActorRef<Self>,
        mailbox: &mut MailboxReceiver<Self>,
    ) -> Result<Option<Signal<Self>>, Infallible> {
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                Some(key) = self.released_receiver.recv() => self.release(key),
                signal = mailbox.recv() => return Ok(signal),
                () = sleep(wakeup) => self.grant_ready(),
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

impl Message<UpsertRequest> for PermitActor {
    type Reply = ();

    async fn handle(&mut self, message: UpsertRequest, _: &mut Context<Self, ()>) {
        // An update of a request that was already granted or cancelled is ignored.
        let known = message.reply.is_some() || self.waiting.contains_key(&message.key);
        if !known
            || !self
                .queue
                .enqueue(message.key, message.request, self.clock.now())
        {
            return;
        }
        if let Some(reply) = message.reply {
            self.waiting.insert(message.key, reply);
        }
        self.grant_ready();
    }
}

impl Message<SetMinStartInterval> for PermitActor {
    type Reply = ();

    async fn handle(&mut self, message: SetMinStartInterval, _: &mut Context<Self, ()>) {
        self.min_start_interval = message.0;
    }
}
