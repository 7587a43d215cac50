//! What a platform's way of speaking has to translate.
//!
//! An implementation holds names and formats and decides nothing.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, request, response};
use http_body_util::Full;
use thiserror::Error;

use super::config::Config;
use super::metadata::RequestMetadata;
use crate::clock::Millis;
use crate::name::Name;

/// Why a value of the platform can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what} can't be read: {detail}")]
pub struct DecodeError {
    /// What was read.
    pub what: &'static str,
    /// Where it went wrong.
    pub detail: String,
}

/// An upstream as it describes itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// One start of the upstream; a restart has another.
    pub incarnation: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub ready: bool,
    /// How long it still works slowly after its start.
    pub cold: Millis,
    /// Time left before it vanishes, if it was given notice.
    pub remaining: Option<Millis>,
    /// What it holds.
    pub held: LoadedModels,
}

/// Base models and adapters that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadedModels {
    /// When this start of the engine began, in milliseconds since 1970; 0 where none tells.
    pub started_at_ms: u64,
    /// Number of orders that this start of the engine has accepted.
    pub sequence: u64,
    /// Names of base models.
    pub models: Vec<Name>,
    /// Adapters (`BASE/NAME`) with their versions.
    pub adapters: Vec<(Name, u64)>,
    /// Adapters on their way, with their versions.
    pub incoming: Vec<(Name, u64)>,
}

/// What an engine says when it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineStatus {
    /// What it holds.
    pub held: LoadedModels,
    /// Whether an order is being carried out that keeps others away.
    pub busy: bool,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
}

/// A change of what an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to drop.
    pub action: Action,
    /// `BASE` or `BASE/NAME`.
    pub model: Name,
    /// The version to load.
    pub version: Option<u64>,
    /// The order counts only if this many were accepted before.
    pub sequence: u64,
    /// Who gives the order.
    pub holder: Name,
    /// Rises from one holder to the next.
    pub fencing_token: u64,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Make present.
    Load,
    /// Drop.
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

/// How an engine answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Started,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or other orders were accepted meanwhile.
    Conflict,
    /// The fence is older than one that the engine has seen.
    Fenced,
    /// Another incarnation has the address.
    Elsewhere,
    /// The engine can't take it now.
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

/// What an entry node adds to a request on its way to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DispatchHeaders {
    /// The incarnation that may take it.
    pub incarnation: Name,
    /// How long the upstream may work on it.
    pub deadline: Millis,
    /// Rank; 0 goes first.
    pub urgency: Option<u8>,
    /// The version of the adapter that may run it.
    pub version: Option<u64>,
    /// The event after which a stream continues.
    pub resume_after: Option<u64>,
    /// Memory of this request that lies at an engine, to go on from.
    pub kv_cache: Option<KvCacheHandle>,
}

/// What an engine keeps of a run that was stopped, or copied to another engine.
///
/// Whoever presents it continues that run without reading the prompt again; it can be used once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheHandle {
    /// The engine that ran the request.
    pub source: SocketAddr,
    /// The engine's name for it.
    pub handle: Name,
}

/// How an engine answered the question to stop a run and copy its memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The run has stopped and the other engine holds its memory under this handle.
    Copied(Name),
    /// The run has stopped, but its memory lies only where it ran.
    Kept(Name),
    /// There is no such run, or it goes on.
    Unchanged,
}

impl TransferOutcome {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Copied(_) => "copied",
            Self::Kept(_) => "kept",
            Self::Unchanged => "unchanged",
        }
    }
}

/// What the head of an upstream's answer says beyond HTTP.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseMetadata {
    /// Identity of the request that it answers.
    pub id: Option<Name>,
    /// Whether the upstream has signed it.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// How long the upstream keeps the connection unused.
    pub keep: Option<Millis>,
    /// Whether the upstream ends the connection after this answer.
    pub closes: bool,
}

/// A key of the key-value service that this node reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The operators' configuration.
    Config,
    /// An upstream's entry; the name is its incarnation.
    Upstream(Name),
    /// The newest version of an adapter or base model.
    Version,
    /// Something of ours, by its name.
    Own(Name),
    /// Not for us.
    Other,
}

/// Translates between the platform's formats and ours.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads what a caller's request says about itself.
    fn request_metadata(&self, head: &request::Parts) -> RequestMetadata;

    /// Changes a caller's headers to those that an upstream gets.
    ///
    /// Headers that only this system may set are removed if a caller sent them.
    fn apply_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchHeaders);

    /// Reads the head of an upstream's answer.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Tells what a key of the key-value service holds.
    fn parse_key(&self, key: &str) -> Key;

    /// Prefixes under which everything lies that this node reads.
    fn key_prefixes(&self) -> &'static [&'static str];

    /// The whole key of something of ours.
    fn own_key(&self, name: &str) -> String;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// When it isn't what the platform promises.
    fn decode_config(&self, value: &[u8]) -> Result<Config, DecodeError>;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    ///
    /// When it isn't what the platform promises.
    fn decode_upstream(
        &self,
        incarnation: &Name,
        value: &[u8],
    ) -> Result<UpstreamEntry, DecodeError>;

    /// Reads the newest version of an adapter (`BASE/NAME`) or a base model (`BASE`).
    ///
    /// # Errors
    ///
    /// When it isn't what the platform promises.
    fn decode_version(&self, value: &[u8]) -> Result<(Name, u64), DecodeError>;

    /// Writes an order for one incarnation of an engine.
    fn order_request(&self, incarnation: &str, order: &Order) -> Request<Full<Bytes>>;

    /// Reads an engine's answer to an order.
    fn order_outcome(&self, head: &response::Parts) -> OrderOutcome;

    /// Asks an engine for its report.
    fn status_request(&self, incarnation: &str) -> Request<Full<Bytes>>;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// When it isn't what the platform promises.
    fn decode_status(&self, body: &[u8]) -> Result<EngineStatus, DecodeError>;

    /// Asks an engine to stop a request's run and to copy its memory to the engine at `to`.
    fn transfer_request(
        &self,
        incarnation: &str,
        request: &str,
        to: SocketAddr,
    ) -> Request<Full<Bytes>>;

    /// Reads an engine's answer to such a question.
    fn transfer_outcome(&self, head: &response::Parts, body: &[u8]) -> TransferOutcome;

    /// Whether a readiness question has this path.
    fn is_readiness_path(&self, path: &str) -> bool;
}
