//! What was done to the world, and when it was in calm.

use std::sync::Mutex;

use chivevalve::clock::Millis;

use super::lock;

/// How long something has to be left alone before it counts as in calm.
pub const STABLE: Millis = Millis(3_000);

/// What is touched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// A node's process, other than by a planned stop.
    Process(usize),
    /// A node that is asked to stop.
    Stop(usize),
    /// A node's way to the store.
    StoreLink(usize),
    /// All nodes' ways to the store.
    Store,
    /// The way to a server.
    Link(usize),
    /// A server that crashes.
    Crash(usize),
    /// A server that leaves in order.
    Leave(usize),
    /// An engine at which requests wait long for their first event.
    Queue(usize),
    /// A sound engine that writes nothing for a while.
    Silence(usize),
}

impl Scope {
    /// What keeps a node out of touch with the platform.
    pub fn of_node(node: usize) -> [Self; 4] {
        [
            Self::Process(node),
            Self::Stop(node),
            Self::StoreLink(node),
            Self::Store,
        ]
    }
}

/// Something that was done.
#[derive(Debug, Clone)]
pub struct Trouble {
    pub scope: Scope,
    pub from: Millis,
    /// None while it lasts.
    pub until: Option<Millis>,
    pub told: String,
}

/// All that was done.
#[derive(Debug, Default)]
pub struct Troubles(Mutex<Vec<Trouble>>);

impl Troubles {
    /// Notes that something begins, and returns its number.
    pub fn begin(&self, scope: Scope, from: Millis, told: String) -> usize {
        let mut all = lock(&self.0);
        all.push(Trouble {
            scope,
            from,
            until: None,
            told,
        });
        all.len() - 1
    }

    /// Notes that something is over.
    pub fn end(&self, number: usize, until: Millis) {
        lock(&self.0)[number].until = Some(until);
    }

    /// All of them.
    pub fn all(&self) -> Vec<Trouble> {
        lock(&self.0).clone()
    }
}

/// Whether nothing of these scopes was touched from some time before `from` until `until`.
pub fn calm(all: &[Trouble], scopes: &[Scope], from: Millis, until: Millis) -> bool {
    let from = Millis(from.0.saturating_sub(STABLE.0));
    !all.iter().any(|trouble| {
        scopes.contains(&trouble.scope)
            && trouble.from <= until
            && trouble.until.is_none_or(|end| end >= from)
    })
}
