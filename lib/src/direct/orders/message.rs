//! Messages to a controller, and the outcome of a load.

use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use super::EngineController;
use super::slots::LoadProbe;
use crate::clock::Millis;
use crate::direct::dialect::OrderOutcome;
use crate::name::Name;

/// Outcome of a [`LoadCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The engine holds the adapter in this version.
    Ready(u64),
    /// All slots are in use or loading, or the engine gets no further order now.
    Full,
    /// This node may not send orders to the engine now.
    NotOwner,
    /// The engine didn't accept the order, or didn't complete the load in time.
    Failed,
}

impl LoadOutcome {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready(_) => "ready",
            Self::Full => "full",
            Self::NotOwner => "not_owner",
            Self::Failed => "failed",
        }
    }
}

/// Requests that an adapter be loaded.
#[derive(Debug)]
pub struct LoadCommand {
    /// `BASE/NAME`.
    pub adapter: Name,
    /// The lowest acceptable version; 0 accepts any.
    pub version: u64,
    /// Receives the outcome once the adapter is present, or can't be loaded.
    pub reply: oneshot::Sender<LoadOutcome>,
}

/// Protects adapters from eviction while requests use them that the owner doesn't count.
#[derive(Debug)]
pub struct MarkInUse {
    /// `BASE/NAME` of each.
    pub adapters: Vec<Name>,
    /// How long they count as in use without a further message.
    pub until: Millis,
}

/// Triggers periodic work: timeouts, status refreshes and waiting loads.
#[derive(Debug)]
pub struct Tick;

/// Triggers the probes that are due.
#[derive(Debug)]
pub(super) struct ProbeDue;

/// Carries the response to a probe.
#[derive(Debug)]
pub(super) struct ProbeDone {
    pub(super) probe: LoadProbe,
    /// None if the engine didn't respond.
    pub(super) outcome: Option<OrderOutcome>,
}

impl Message<LoadCommand> for EngineController {
    type Reply = ();

    async fn handle(&mut self, load: LoadCommand, context: &mut Context<Self, ()>) {
        self.handle_load(load).await;
        self.schedule_probe(context.actor_ref());
    }
}

impl Message<MarkInUse> for EngineController {
    type Reply = ();

    async fn handle(&mut self, message: MarkInUse, _: &mut Context<Self, ()>) {
        if let Some(slots) = &mut self.slots {
            for adapter in message.adapters {
                slots.mark_in_use(adapter, message.until);
            }
        }
    }
}

impl Message<ProbeDue> for EngineController {
    type Reply = ();

    async fn handle(&mut self, _: ProbeDue, context: &mut Context<Self, ()>) {
        self.send_due_probes(context.actor_ref());
        self.schedule_probe(context.actor_ref());
    }
}

impl Message<ProbeDone> for EngineController {
    type Reply = ();

    async fn handle(&mut self, done: ProbeDone, context: &mut Context<Self, ()>) {
        self.handle_probe_done(done).await;
        self.schedule_probe(context.actor_ref());
    }
}

impl Message<Tick> for EngineController {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        self.tick().await;
        self.schedule_probe(context.actor_ref());
    }
}
