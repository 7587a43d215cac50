//! The upstreams that this node owns, with one actor per upstream.
//!
//! A single owner knows an upstream's slots and pins exactly and bases evictions on
//! them. A request's bytes never pass through the actor. It queues requests and
//! grants their start; the request's own task then talks to the upstream, and its
//! `RequestGuard` reports the end to the actor however the task
//! ends. See docs/design/0001-one-owner-per-upstream.md.

mod actor;
mod body;
mod driver;
mod event_rewriter;
mod foreign;
mod health;
mod load;
mod registry;
mod report_poller;
mod request_guard;
mod response_check;
mod run;
mod status;
mod task_event;

pub use registry::{Dependencies, Registry, RoutingCheck};
pub use run::WaitTimes;
pub use status::{Slot, Status};

use crate::clock::Millis;
use crate::policy;

/// Capacities, intervals and timeouts of owned upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Limits of each upstream's state machine; slots and batch come from the pool's declaration.
    pub machine: policy::upstream::Limits,
    /// Most messages queued for one upstream's actor; more are refused.
    pub mailbox_capacity: usize,
    /// Interval between an engine's reports.
    pub report_interval: Millis,
    /// Longest time to wait for a report.
    pub report_timeout: Millis,
    /// Longest time for one load or unload.
    pub load_timeout: Millis,
    /// Consecutive failures after which the upstream gets no work for a backoff.
    pub failure_threshold: u32,
    /// Largest unstreamed response of a completion, in bytes.
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
