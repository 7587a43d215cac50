//! The operators' interface of a node: HTTP with JSON, on a listener of its own.
//!
//! Health, readiness and metrics are open; everything else needs a token. The
//! parts behind it stand behind the traits of [`port`], so that the interface
//! is tested without a fleet. docs/operators/cli.md describes it for people.

mod configuration;
mod convert;
mod explain;
mod gate;
mod ownership;
pub mod port;
mod refusal;
mod route;
mod server;
mod status;
pub mod wire;

use std::sync::Arc;

use tokio::sync::watch;

use crate::clock::Millis;
use crate::config::View;
use crate::membership::Fleet;
use crate::metrics::Metrics;
use crate::policy::placement;
use crate::settings::{Access, Node};

pub use refusal::{Cause, Refusal};
pub use server::serve;

/// What the interface needs of the node's other parts.
#[derive(Debug)]
pub struct Parts {
    /// Who the node is.
    pub node: Node,
    /// Known tokens.
    pub access: Access,
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams and their owners.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Plans and makes changes.
    pub configuration: Arc<dyn port::Configuration>,
    /// Knows the other nodes.
    pub membership: Arc<dyn port::Membership>,
    /// Knows the owned upstreams.
    pub ownership: Arc<dyn port::Ownership>,
    /// How entry nodes place requests, for explanations.
    pub placement: placement::Limits,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds on what operators may use up.
    pub limits: Limits,
}

/// Bounds of the interface. They are constants of the program: operators are few.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Most calls with declarations at a time, since each holds them whole.
    pub drafts: usize,
    /// Largest body with declarations, in bytes: 57,000 templates take about 16 MiB.
    pub draft_bytes: usize,
    /// Largest other body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a head.
    pub head_timeout: Millis,
    /// Longest time from a head to the whole answer.
    pub call_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 64,
            drafts: 2,
            draft_bytes: 32 * 1024 * 1024,
            body_bytes: 64 * 1024,
            head_timeout: Millis(10_000),
            call_timeout: Millis(60_000),
        }
    }
}
