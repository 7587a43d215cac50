//! What operators declare: client accounts, pools of upstreams, and templates.
//!
//! A directory of YAML files is read as one whole ([`load`]), checked as one
//! whole ([`check()`]), and compared with what is in force ([`mod@diff`]).
//! docs/operators/declarations.md is the operators' page.

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
pub use rules::{MAX_NAME, MAX_TEMPLATES};
pub use set::DeclarationSet;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::Class;
use crate::runner::Share;

/// A client account that may call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Unique in the deployment.
    pub name: Name,
    /// SHA-256 digests of its keys.
    pub key_digests: Vec<[u8; 32]>,
    /// How much of an upstream it may hold.
    pub share: Share,
}

/// What the upstreams of a pool are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines with slots for adapters.
    Engine {
        /// The base model that they serve.
        base_model: Name,
        /// Adapters that fit at a time, at least 1.
        slots: u32,
    },
    /// Plain services.
    Service,
}

/// A group of upstreams that are alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Unique in the deployment; the platform's list of VMs refers to it.
    pub name: Name,
    /// Engines or services.
    pub kind: PoolKind,
    /// Most requests running at a time on one upstream, at least 1.
    pub batch: u32,
    /// Whether the upstreams refuse an order that carries an old fencing token.
    pub checks_fencing: bool,
}

/// How requests that name it are run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Template {
    /// The client account that may name it.
    pub account: Name,
    /// Unique within the account; callers send it as `model`.
    pub name: Name,
    /// The pool whose upstreams run it.
    pub pool: Name,
    /// Adapter and version, or none for a plain service.
    pub adapter: Option<Adapter>,
    /// How urgent its requests are.
    pub class: Class,
    /// Worth within the class, at least 1.
    pub weight: u32,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time to a whole answer; none takes the node's default.
    pub deadline: Option<Millis>,
    /// Most tokens that one request may ask for; none takes the node's default.
    pub max_output_tokens: Option<u32>,
    /// Largest request body in bytes; none takes the node's default.
    pub max_body_bytes: Option<u64>,
}
