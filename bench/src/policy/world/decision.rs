//! What a policy is told and what it wants done.

use chivevalve::clock::Millis;
use chivevalve::error::Code;

use super::World;

/// What a policy wants done.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// The request waits at this engine; again for another engine moves it.
    Queue {
        /// Number of the request.
        id: u32,
        /// The engine.
        engine: usize,
    },
    /// The waiting request joins its engine's batch.
    Start {
        /// Number of the request.
        id: u32,
    },
    /// The request isn't run.
    Refuse {
        /// Number of the request.
        id: u32,
        /// The reason that the caller sees.
        code: Code,
    },
    /// The engine drops an adapter.
    Evict {
        /// The engine.
        engine: usize,
        /// What it drops.
        adapter: u32,
    },
    /// The policy is to be woken for this engine.
    Wake {
        /// The engine.
        engine: usize,
        /// When.
        at: Millis,
    },
    /// The engine loads an adapter, at once and along with other loads.
    Load {
        /// The engine.
        engine: usize,
        /// What it loads.
        adapter: u32,
    },
}

/// A way to decide. Calls get the world to look at and a list to fill.
///
/// Actions are carried out in order after each call.
pub trait Policy {
    /// A request has arrived, or lost its engine before it could have run.
    fn on_arrival(&mut self, world: &World, id: u32, actions: &mut Vec<Action>);
    /// A load has ended, or has broken off.
    fn on_load_done(&mut self, world: &World, done: LoadDone, actions: &mut Vec<Action>);
    /// A request has been answered.
    fn on_finish(&mut self, world: &World, id: u32, engine: usize, actions: &mut Vec<Action>);
    /// An engine has crashed; its waiting requests arrive again after this call.
    fn on_down(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// An engine serves again, with nothing loaded.
    fn on_up(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// A wake-up that the policy asked for.
    fn on_wake(&mut self, world: &World, engine: usize, actions: &mut Vec<Action>);
    /// Time has passed.
    fn on_tick(&mut self, world: &World, actions: &mut Vec<Action>);
}

/// How a load ended.
#[derive(Debug, Clone, Copy)]
pub struct LoadDone {
    /// The engine.
    pub engine: usize,
    /// The adapter.
    pub adapter: u32,
    /// Whether it is resident now.
    pub loaded: bool,
    /// How long it took.
    pub took: Millis,
}
