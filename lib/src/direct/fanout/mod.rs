//! Fan-out of the key-value service's changes within a failure domain.
//!
//! Each poll for changes costs money and counts against the service's rate limits, which grow more
//! slowly than the fleet. So a few nodes of each failure domain poll, and the others subscribe to
//! them. There is no leader election: every node ranks the listed nodes of its domain by the same
//! hash, and one that receives nothing for too long polls the service itself. An update contains
//! its age, so that a node which passes on old changes, or is cut off itself, is detected as well
//! as a silent one. See docs/design/0009-changes-within-a-domain.md.

mod hub;
mod subscription;
mod tree;
mod wire;

pub use hub::Hub;
pub use subscription::Subscription;
pub use wire::payload_bytes;

use std::fmt;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::ports::Event;

/// All changes after one revision up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The revision after which the changes begin.
    pub after: u64,
    /// The revision of the last change; equals `after` if there are none.
    pub revision: u64,
    /// When the service was known to be at `revision`, by this node's clock.
    pub as_of: Millis,
    /// The changes in the order of their revisions.
    pub events: Vec<Event>,
}

/// The result of waiting for an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// An update arrived.
    Update(Update),
    /// No update arrived in time.
    Timeout,
    /// No node passes changes on, so the service has to be polled.
    NoSource,
}

/// A source of updates from other nodes.
#[async_trait]
pub trait Source: fmt::Debug + Send {
    /// Whether other nodes may subscribe to this one, so that its own polls have to be short.
    fn may_have_subscribers(&self) -> bool;

    /// Waits up to `within` for changes after a revision.
    ///
    /// The update comes from another node and isn't validated.
    async fn next(&mut self, after: u64, within: Millis) -> Received;

    /// Avoids the current publisher for a while, since its updates are too old, invalid or missing.
    fn avoid(&mut self);
}
