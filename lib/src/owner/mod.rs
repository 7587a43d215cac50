//! The upstreams that this node owns: one actor for each, so that slots, pins
//! and eviction rest on exact knowledge.
//!
//! A request's bytes never pass through the actor. It decides and gives a
//! place; the request's own task speaks to the upstream and gives the place up
//! when it ends, however it ends. See docs/design/0001-one-owner-per-upstream.md.

mod actor;
mod body;
mod check;
mod driver;
mod event;
mod events;
mod foreign;
mod health;
mod load;
mod place;
mod registry;
mod report;
mod run;
mod status;

pub use registry::{Dependencies, Registry, RoutingCheck};
pub use run::WaitTimes;
pub use status::{Slot, Status};

use crate::clock::Millis;
use crate::policy;

/// Bounds of owning upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Bounds of the decisions; slots and batch come from each pool's declaration.
    pub machine: policy::upstream::Limits,
    /// Messages that wait for one upstream's actor before more are refused.
    pub mailbox_capacity: usize,
    /// Time between two questions to an engine about what it holds.
    pub report_interval: Millis,
    /// Longest time to such an answer.
    pub report_timeout: Millis,
    /// Longest time of one load or unload.
    pub load_timeout: Millis,
    /// Failed connections in a row after which the upstream gets no work until it answers again.
    pub failure_threshold: u32,
    /// Largest whole answer of a completion, in bytes.
    pub max_response_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            machine: policy::upstream::Limits::default(),
            mailbox_capacity: 1024,
            report_interval: Millis::from_secs(1),
            report_timeout: Millis::from_secs(1),
            load_timeout: Millis::from_secs(30),
            failure_threshold: 3,
            max_response_bytes: 16 << 20,
        }
    }
}
