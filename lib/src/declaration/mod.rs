//! The operators' declarations: client accounts, pools of upstreams, and templates.
//!
//! All YAML files of a directory are read ([`load`]) and checked ([`check()`])
//! together, and compared with the active revision ([`mod@diff`]).
//! docs/operators/declarations.md describes them for operators.

pub mod convert;
pub mod diff;
pub mod export;
pub mod load;
pub mod mistake;
mod nearest;
mod read;
mod rules;
pub mod set;
mod tree;

pub use load::{SourceFile, check, check_sources, load_dir};
pub use mistake::{Mistake, Place};
pub use rules::{MAX_NAME_CHARS, MAX_TEMPLATES};
pub use set::DeclarationSet;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::Class;
use crate::runner::Share;

/// A client account, which may send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Unique in the deployment.
    pub name: Name,
    /// SHA-256 digests of its API keys.
    pub key_digests: Vec<[u8; 32]>,
    /// Its share of an upstream's capacity.
    pub share: Share,
}

/// Kind of a pool's upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolKind {
    /// Inference engines with slots for adapters.
    Engine {
        /// The base model that they serve.
        base_model: Name,
        /// Adapters that an engine can hold at a time, at least 1.
        slots: u32,
    },
    /// Services without adapters.
    Service,
}

/// A group of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Unique in the deployment; the platform's list of VMs refers to it.
    pub name: Name,
    /// Engines or services.
    pub kind: PoolKind,
    /// Maximum number of concurrent requests on an upstream, at least 1.
    pub batch: u32,
    /// Whether the upstreams reject orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// How requests that name the template are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Template {
    /// The client account that may use it.
    pub account: Name,
    /// Unique within the account; callers send it as `model`.
    pub name: Name,
    /// The pool whose upstreams serve it.
    pub pool: Name,
    /// Adapter and version; none for a service.
    pub adapter: Option<Adapter>,
    /// Priority class of its requests.
    pub class: Class,
    /// Weight within the class, at least 1.
    pub weight: u32,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Deadline for the complete response; none uses the node's default.
    pub deadline: Option<Millis>,
    /// Maximum output tokens of a request; none uses the node's default.
    pub max_output_tokens: Option<u32>,
    /// Maximum size of a request body in bytes; none uses the node's default.
    pub max_body_bytes: Option<u64>,
}
