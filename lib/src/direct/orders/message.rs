//! What a controller is told, and what it answers.

use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use super::EngineController;
use super::slots::LoadProbe;
use crate::clock::Millis;
use crate::direct::dialect::OrderOutcome;
use crate::name::Name;

/// How an order to make an adapter present ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// It is held in this version.
    Ready(u64),
    /// All places are in use or on their way.
    Full,
    /// This node gives the engine no orders now.
    NotOwner,
    /// The engine took no order, or didn't carry it out in time.
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

/// Asks for an adapter.
#[derive(Debug)]
pub struct LoadCommand {
    /// `BASE/NAME`.
    pub adapter: Name,
    /// The least version that will do; 0 is any.
    pub version: u64,
    /// Told when the adapter is held, or can't be.
    pub reply: oneshot::Sender<LoadOutcome>,
}

/// Tells that adapters are in use.
#[derive(Debug)]
pub struct MarkInUse {
    /// `BASE/NAME` of each.
    pub adapters: Vec<Name>,
    /// Until when nothing else may be heard of them though they are.
    pub until: Millis,
}

/// Lets time pass.
#[derive(Debug)]
pub struct Tick;

/// Looks whether loads are complete.
#[derive(Debug)]
pub(super) struct LookDue;

/// Tells what a look found.
#[derive(Debug)]
pub(super) struct Looked {
    pub(super) look: LoadProbe,
    pub(super) outcome: Option<OrderOutcome>,
}

impl Message<LoadCommand> for EngineController {
    type Reply = ();

    async fn handle(&mut self, load: LoadCommand, context: &mut Context<Self, ()>) {
        self.load(load).await;
        self.schedule(context.actor_ref());
    }
}

impl Message<MarkInUse> for EngineController {
    type Reply = ();

    async fn handle(&mut self, used: MarkInUse, _: &mut Context<Self, ()>) {
        if let Some(slots) = &mut self.slots {
            for adapter in used.adapters {
                slots.uses(adapter, used.until);
            }
        }
    }
}

impl Message<LookDue> for EngineController {
    type Reply = ();

    async fn handle(&mut self, _: LookDue, context: &mut Context<Self, ()>) {
        self.look(context.actor_ref());
        self.schedule(context.actor_ref());
    }
}

impl Message<Looked> for EngineController {
    type Reply = ();

    async fn handle(&mut self, looked: Looked, context: &mut Context<Self, ()>) {
        self.looked(looked).await;
        self.schedule(context.actor_ref());
    }
}

impl Message<Tick> for EngineController {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        self.tick().await;
        self.schedule(context.actor_ref());
    }
}
