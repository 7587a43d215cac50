//! What the operators' interface needs of a node's other parts.

use std::fmt;

use async_trait::async_trait;

use super::refusal::Refusal;
use super::wire;
use crate::name::Name;

/// The deployment's configuration.
#[async_trait]
pub trait Configuration: fmt::Debug + Send + Sync {
    /// Says which revision is in force and how fresh that is.
    fn rollout(&self) -> wire::Rollout;

    /// Returns all declarations in force.
    async fn export(&self) -> Result<wire::Export, Refusal>;

    /// Compares declarations with those in force.
    async fn plan(&self, files: Vec<wire::File>) -> Result<wire::Plan, Refusal>;

    /// Puts declarations in force; accepted means durable.
    async fn apply(&self, change: wire::Apply, author: Name) -> Result<wire::Accepted, Refusal>;

    /// Puts an earlier revision's declarations in force again.
    async fn rollback(
        &self,
        change: wire::Rollback,
        author: Name,
    ) -> Result<wire::Accepted, Refusal>;

    /// Lists the newest changes, at most `limit`, newest first.
    async fn history(&self, limit: usize) -> Result<wire::History, Refusal>;
}

/// Other nodes, and what leaves.
#[async_trait]
pub trait Membership: fmt::Debug + Send + Sync {
    /// Lists the other nodes.
    fn nodes(&self) -> Vec<wire::Peer>;

    /// Whether this node is about to stop.
    fn draining(&self) -> bool;

    /// Begins this node's graceful stop.
    fn drain_node(&self);

    /// Gives an upstream that this node owns no new work any more.
    async fn drain_upstream(&self, name: &str) -> Result<(), Refusal>;
}

/// Upstreams that this node owns.
pub trait Ownership: fmt::Debug + Send + Sync {
    /// Lists them in detail.
    fn owned(&self) -> Vec<wire::Owned>;
}
