//! Translation between a platform's wire formats and this crate's types.
//!
//! An implementation knows names and formats and makes no decisions.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, request, response};
use http_body_util::Full;
use smallvec::SmallVec;
use thiserror::Error;

use super::config::Config;
use super::metadata::RequestMetadata;
use crate::clock::Millis;
use crate::name::Name;

/// A value of the platform that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what} can't be read: {detail}")]
pub struct DecodeError {
    /// The kind of value.
    pub what: &'static str,
    /// Where and why decoding failed.
    pub detail: String,
}

/// An upstream's entry in the platform's list, as the upstream wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identity of this start of the upstream; a restart has another.
    pub incarnation: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Version of its software; `None` if it reports none.
    pub software: Option<Name>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Time left of its slow phase after the start.
    pub cold: Millis,
    /// Time left until the platform removes it, if that was announced.
    pub remaining: Option<Millis>,
    /// Base models and adapters that it has loaded.
    pub held: LoadedModels,
    /// Versions of the base models' weights, as far as it reports them.
    pub weights: Weights,
}

/// Versions of base models' weights by model, sorted.
pub type Weights = SmallVec<[(Name, u64); 1]>;

/// Base models and adapters that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadedModels {
    /// Time of this start of the engine in milliseconds since 1970; 0 if it isn't known.
    pub started_at_ms: u64,
    /// Number of orders that the engine has accepted since this start.
    pub sequence: u64,
    /// Names of the base models.
    pub models: Vec<Name>,
    /// Adapters (`BASE/NAME`) with their versions.
    pub adapters: Vec<(Name, u64)>,
    /// Adapters that are being loaded, with their versions.
    pub incoming: Vec<(Name, u64)>,
}

/// An engine's status report.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineStatus {
    /// Base models and adapters that it has loaded.
    pub held: LoadedModels,
    /// Whether it is executing an order that blocks others.
    pub busy: bool,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
}

/// An order to an engine to load or unload a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload.
    pub action: Action,
    /// `BASE` or `BASE/NAME`.
    pub model: Name,
    /// The version to load.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before, for this one to be valid.
    pub sequence: u64,
    /// The node that gives the order.
    pub holder: Name,
    /// Fencing token, which increases from one holder to the next.
    pub fencing_token: u64,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

impl Action {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is executing the order.
    Started,
    /// The engine is already in the ordered state.
    Holds,
    /// Another order is in progress, or other orders were accepted in the meantime.
    Conflict,
    /// The fencing token is older than one that the engine has seen.
    Fenced,
    /// Another incarnation has the address.
    Elsewhere,
    /// The engine can't accept the order now.
    Refused,
}

impl OrderOutcome {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Elsewhere => "elsewhere",
            Self::Refused => "refused",
        }
    }
}

/// What an entry node adds to the headers of a request that it sends to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DispatchHeaders {
    /// The incarnation that may accept the request.
    pub incarnation: Name,
    /// Time that the upstream has for the request.
    pub deadline: Millis,
    /// Priority; 0 is the highest.
    pub urgency: Option<u8>,
    /// The adapter version that may run the request.
    pub version: Option<u64>,
    /// The event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// KV cache of this request at an engine, from which the run continues.
    pub kv_cache: Option<KvCacheHandle>,
}

/// Handle of the KV cache of a stopped run, which an engine keeps or has copied to another engine.
///
/// A request that presents it continues the run without prefill. A handle can be used once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheHandle {
    /// The engine that ran the request.
    pub source: SocketAddr,
    /// The engine's name for the KV cache.
    pub handle: Name,
}

/// An engine's response to the request to stop a run and transfer its KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The run has stopped, and the other engine has its KV cache under this handle.
    Copied(Name),
    /// The run has stopped, but its KV cache is only at the engine that ran it.
    Kept(Name),
    /// There is no such run, or it continues.
    Unchanged,
    /// No response tells whether the run has stopped.
    Unknown,
}

impl TransferOutcome {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Copied(_) => "copied",
            Self::Kept(_) => "kept",
            Self::Unchanged => "unchanged",
            Self::Unknown => "unknown",
        }
    }
}

/// What the head of an upstream's response says beyond HTTP.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseMetadata {
    /// ID of the request that it responds to.
    pub id: Option<Name>,
    /// Whether the upstream has signed it.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// How long the upstream keeps the connection open while idle.
    pub keep: Option<Millis>,
    /// Whether the upstream closes the connection after this response.
    pub closes: bool,
    /// How many rejections in a second the upstream says that it bears.
    pub rejections: RejectionNotice,
    /// The version of the base model's weights under which the upstream runs the request.
    pub weights: Option<u64>,
}

/// What a response says about the rejections that its upstream bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RejectionNotice {
    /// Any number of them.
    #[default]
    Unlimited,
    /// This number in a second; beyond it, the upstream ends.
    Limit(u32),
    /// Something that can't be decoded.
    Unreadable,
}

/// What a key in the key-value service is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The operators' configuration.
    Config,
    /// An upstream's entry; the name is its incarnation.
    Upstream(Name),
    /// The newest version of an adapter or base model.
    Version,
    /// A record of this system, by its name.
    Own(Name),
    /// Anything else, which this system ignores.
    Other,
}

/// Translates between the platform's formats and this crate's types.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the metadata in the headers of a caller's request.
    fn request_metadata(&self, head: &request::Parts) -> RequestMetadata;

    /// Changes a caller's headers into those that are sent to an upstream.
    ///
    /// Headers that only this system may set are removed if the caller sent them.
    fn apply_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchHeaders);

    /// Reads the metadata in the head of an upstream's response.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Returns what a key in the key-value service is for.
    fn parse_key(&self, key: &str) -> Key;

    /// Returns the prefixes of all keys that a node reads.
    fn key_prefixes(&self) -> &'static [&'static str];

    /// Returns the key of the configuration, which can be larger than all other values together.
    fn config_key(&self) -> &'static str;

    /// Returns the prefixes of all keys that a node reads but that of the configuration.
    fn small_prefixes(&self) -> &'static [&'static str];

    /// Returns the key of a record of this system.
    fn own_key(&self, name: &str) -> String;

    /// Returns the key of a record of this system that no node follows.
    fn unfollowed_key(&self, name: &str) -> String;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// If the value doesn't have the platform's format.
    fn decode_config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// If the value doesn't have the platform's format.
    fn decode_upstream(
        &self,
        incarnation: &Name,
        value: &[u8],
    ) -> Result<UpstreamEntry, DecodeError>;

    /// Decodes the newest version of an adapter (`BASE/NAME`) or a base model (`BASE`).
    ///
    /// # Errors
    ///
    /// If the value doesn't have the platform's format.
    fn decode_version(&self, value: &[u8]) -> Result<(Name, u64), DecodeError>;

    /// Creates the HTTP request for an order to one incarnation of an engine.
    fn order_request(&self, incarnation: &str, order: &Order) -> Request<Full<Bytes>>;

    /// Reads an engine's response to an order.
    fn order_outcome(&self, head: &response::Parts) -> OrderOutcome;

    /// Creates the HTTP request for an engine's status.
    fn status_request(&self, incarnation: &str) -> Request<Full<Bytes>>;

    /// Decodes an engine's status.
    ///
    /// # Errors
    ///
    /// If the value doesn't have the platform's format.
    fn decode_status(&self, body: &[u8]) -> Result<EngineStatus, DecodeError>;

    /// Creates the HTTP request that asks an engine to stop a run and copy its KV cache to the
    /// engine at `to`.
    fn transfer_request(
        &self,
        incarnation: &str,
        request: &str,
        to: SocketAddr,
    ) -> Request<Full<Bytes>>;

    /// Reads an engine's response to a transfer request.
    fn transfer_outcome(&self, head: &response::Parts, body: &[u8]) -> TransferOutcome;

    /// Whether `path` is that of the platform's readiness checks.
    fn is_readiness_path(&self, path: &str) -> bool;
}
