//! What the operators' interface and its client say to each other, as JSON.
//!
//! Types are shared by both sides, so that neither can drift from the other;
//! docs/operators/cli.md shows them as scripts see them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A file of declarations, as it stands in version control.
///
/// Files travel as they are, so that a node checks them by its own rules and
/// names the line of a mistake that an older tool didn't know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Relative to the directory of declarations.
    pub name: String,
    /// YAML.
    pub text: String,
}

/// Asks what an apply of these declarations would change.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// All declarations; what is in force and not among them would be removed.
    pub files: Vec<File>,
}

/// What an apply would change.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision in force that was compared with.
    pub revision: u64,
    /// What would become different; empty when nothing would.
    pub differences: Vec<Difference>,
    /// The differences, written for people.
    pub text: String,
    /// What would break, for people to weigh.
    pub warnings: Vec<String>,
}

/// Asks to put declarations in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Chosen by the asker; asking again with the same id never applies twice.
    pub change_id: String,
    /// Why, for the history.
    pub reason: String,
    /// The revision that the change was planned on; the change is refused on any other.
    pub expected_revision: u64,
    /// All declarations.
    pub files: Vec<File>,
}

/// Asks to put an earlier revision's declarations in force again, as a new revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// As in [`Apply`].
    pub change_id: String,
    /// Why, for the history.
    pub reason: String,
    /// As in [`Apply`].
    pub expected_revision: u64,
    /// The revision to go back to.
    pub to_revision: u64,
}

/// A change that is durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change made, or the one in force when nothing differed.
    pub revision: u64,
    /// The change's id.
    pub change_id: String,
    /// How many declarations became different; 0 when nothing differed.
    pub differences: u32,
    /// Whether an earlier call with the same id had been accepted.
    pub already: bool,
}

/// One declaration before and after a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// `account`, `pool` or `template`.
    pub kind: String,
    /// Its name; a template's as `account/name`.
    pub name: String,
    /// The fields before, or none when it is new.
    pub before: Option<Value>,
    /// The fields after, or none when it is removed.
    pub after: Option<Value>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The revision that it made.
    pub revision: u64,
    /// The id that the asker chose.
    pub change_id: String,
    /// Name of the token that asked.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Milliseconds since 1970 by the writing node's clock.
    pub time_ms: u64,
    /// What became different; left out of a very large change.
    pub differences: Vec<Difference>,
    /// The differences, written for people.
    pub text: String,
}

/// The newest changes, newest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Changes.
    pub operations: Vec<Operation>,
}

/// The configuration in force, whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// Its revision.
    pub revision: u64,
    /// All declarations.
    pub files: Vec<File>,
}

/// The configuration that a node decides on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The revision in force; 0 is none yet.
    pub revision: u64,
    /// The newest revision that the node holds; it comes in force once its adapters are fetched.
    pub learned: u64,
    /// Milliseconds since the revision was last confirmed to be the newest; none is never.
    pub confirmed_age_ms: Option<u64>,
    /// Why a newer revision couldn't be taken over.
    pub fault: Option<String>,
}

/// What one node says of itself and of what it sees.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node's name.
    pub node: String,
    /// Its version of the program.
    pub version: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Why it isn't ready; empty when it is.
    pub not_ready: Vec<String>,
    /// The configuration in force.
    pub configuration: Rollout,
    /// Other nodes, as this one sees them.
    pub nodes: Vec<Peer>,
    /// Upstreams, as this node sees them.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that this node owns, in detail.
    pub owned: Vec<Owned>,
}

/// Another node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where its operators' interface listens.
    pub operators: Option<SocketAddr>,
    /// Milliseconds since anyone last heard of it.
    pub heard_age_ms: u64,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// An upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Where it serves.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `usable`, `held` or `leaving`.
    pub state: String,
    /// The node that owns it, if any does.
    pub owner: Option<String>,
    /// The claim's fencing token.
    pub token: Option<u64>,
}

/// An upstream in its owner's eyes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// The upstream's name.
    pub upstream: String,
    /// Whether the owner may give it orders now.
    pub held: bool,
    /// Whether it can't be reached.
    pub failing: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Most requests running at a time.
    pub batch: u32,
    /// Requests waiting: urgent, normal, bulk.
    pub waiting: [u32; 3],
    /// Adapters in slots, with the requests that run on each.
    pub resident: Vec<Slot>,
    /// Adapters being loaded.
    pub loading: Vec<String>,
    /// Adapters that wait for a permit to load.
    pub asked: Vec<String>,
    /// Milliseconds since the upstream last said what it holds.
    pub report_age_ms: Option<u64>,
}

/// An adapter in a slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Adapter and version.
    pub adapter: String,
    /// Requests that run on it.
    pub pins: u32,
}

/// What would happen to a request of a template now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The node that explains.
    pub node: String,
    /// The revision that the request would be decided on.
    pub revision: u64,
    /// The client account.
    pub account: String,
    /// The template.
    pub template: String,
    /// The pool that would run it.
    pub pool: String,
    /// Adapter and version, for an engine.
    pub adapter: Option<String>,
    /// Priority class.
    pub class: String,
    /// Worth within the class.
    pub weight: u32,
    /// Whether an attempt of unknown fate would be repeated.
    pub idempotent: bool,
    /// Upstreams in the order in which they would be tried.
    pub candidates: Vec<Candidate>,
    /// Upstreams of the pool that wouldn't be tried, with why.
    pub passed_over: Vec<Candidate>,
    /// What follows, in a sentence.
    pub verdict: String,
}

/// An upstream that a request might run on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub upstream: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `usable`, `held` or `leaving`.
    pub state: String,
    /// The node that owns it.
    pub owner: Option<String>,
    /// Where that node's operators' interface listens, for what only the owner knows.
    pub owner_operators: Option<SocketAddr>,
    /// Whether the adapter is in a slot; none when only the owner knows.
    pub resident: Option<bool>,
    /// Requests running; none when only the owner knows.
    pub running: Option<u32>,
    /// Requests waiting in the same or a more urgent class; none when only the owner knows.
    pub ahead: Option<u32>,
}

/// Asks to drain a node or an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What it is.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
}

/// What can be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// A node: it stops as at SIGTERM.
    Node,
    /// An upstream: it gets no new work while its VM is listed.
    Upstream,
}

/// A drain that has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// The node that drains or that drains its upstream.
    pub node: String,
}
