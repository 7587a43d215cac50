//! Changes of the key-value service, passed on within a failure domain.
//!
//! Each call for changes is priced and counted against the service's rates, which grow more
//! slowly than the fleet. So a few nodes of each failure domain ask, and the others hear from
//! them. Nobody is elected: every node ranks the listed nodes of its domain by the same hash, and
//! one that hears nothing for too long asks the service itself. An update says how old it is, so
//! that a node which passes on old news, or is itself cut off, is noticed as well as a silent one.
//! See docs/design/0009-changes-within-a-domain.md.

mod hub;
mod subscription;
mod tree;
mod wire;

pub use hub::Hub;
pub use subscription::Subscription;

use std::fmt;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::ports::Event;

/// All changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The revision behind which the changes begin.
    pub after: u64,
    /// The revision that they lead to: that of the last one, or the first where there is none.
    pub revision: u64,
    /// When the service was known to be at that revision, by this node's clock.
    pub as_of: Millis,
    /// The changes in their order.
    pub events: Vec<Event>,
}

/// What listening led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// Changes.
    Update(Update),
    /// Nothing yet.
    Timeout,
    /// There is nobody to listen to: ask the service.
    NoSource,
}

/// Whoever passes changes on to this node.
#[async_trait]
pub trait Source: fmt::Debug + Send {
    /// Whether others may listen to this node, so that its own calls have to be quick.
    fn may_have_subscribers(&self) -> bool;

    /// Waits up to `within` for changes behind a revision; what comes may be anything.
    async fn next(&mut self, after: u64, within: Millis) -> Received;

    /// Listens to somebody else for a while: what came was too old or bad, or nothing came.
    fn avoid(&mut self);
}
