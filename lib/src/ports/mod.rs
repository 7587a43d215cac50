//! What the platform gives, behind traits.
//!
//! Each trait has a client for a published protocol beside it and a stand-in in
//! the `chivevalve-standins` crate. A deployment whose platform speaks
//! otherwise adds one file with another client; docs/design/0006-platform.md
//! says what each protocol has to promise.

pub mod connection_pool;
pub mod directory;
pub mod etcd;
pub(crate) mod http;
pub mod metered;
pub mod poll;
pub mod upstream;
pub mod weights;

use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use thiserror::Error;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::name::Name;
use crate::request::Id;

/// Why a call to the key-value service, the list of VMs or the weight store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// Nothing was sent, so nothing took effect.
    #[error("the service can't be reached: {0}")]
    Unreachable(String),
    /// No answer came; a write may have taken effect.
    ///
    /// The caller settles it by reading back its own mark, never by assuming.
    #[error("no answer came from the service: {0}")]
    NoAnswer(String),
    /// The service answered that it won't.
    #[error("the service refused the call: {0}")]
    Refused(String),
    /// The answer can't be understood.
    #[error("the service's answer can't be read: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::NoAnswer(_) => "no_answer",
            Self::Refused(_) => "refused",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// A key with its value, as the service holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key, prefix included.
    pub key: String,
    /// At most a megabyte.
    pub value: Bytes,
    /// The service's revision of the last write to this key; it only rises.
    pub revision: u64,
    /// The service's revision at which the key came into being; 0 where nobody tells.
    pub created: u64,
    /// The lease that the key lives with.
    pub lease: Option<LeaseId>,
}

/// What a read of a prefix saw, at one revision of the service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Keys in order.
    pub entries: Vec<Entry>,
    /// The service's revision as of the read.
    pub revision: u64,
}

/// A condition that a commit takes effect under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The key doesn't exist.
    Absent(String),
    /// The key's last write has this revision.
    Unchanged(String, u64),
}

impl Condition {
    /// Returns the key that it is about.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::Unchanged(key, _) => key,
        }
    }

    /// Whether it holds where this stands under its key.
    #[must_use]
    pub fn holds(&self, found: Option<&Entry>) -> bool {
        match self {
            Self::Absent(_) => found.is_none(),
            Self::Unchanged(_, revision) => found.is_some_and(|entry| entry.revision == *revision),
        }
    }
}

/// A write that a commit makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key, living with the lease if there is one.
    Put(String, Bytes, Option<LeaseId>),
    /// Removes a key.
    Delete(String),
}

/// All writes take effect together if all conditions hold, else none does.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Every one must hold.
    pub conditions: Vec<Condition>,
    /// Made in order.
    pub writes: Vec<Write>,
}

/// How a commit that was answered ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// Whether the conditions held and the writes were made.
    pub done: bool,
    /// The service's revision: of the writes if they were made, else as of the check.
    pub revision: u64,
    /// What stands under the conditions' keys, if they failed and the service tells.
    pub found: Vec<Entry>,
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads all keys with the prefix, at one revision.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Makes writes under conditions.
    ///
    /// # Errors
    ///
    /// After [`Error::NoAnswer`] the writes may have taken effect.
    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error>;
}

/// Number of a lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub i64);

/// Leases of the key-value service: keys that vanish when their holder does.
#[async_trait]
pub trait Lease: fmt::Debug + Send + Sync {
    /// Grants a lease for a span of time.
    async fn grant(&self, span: Millis) -> Result<LeaseId, Error>;

    /// Renews a lease and returns its full span, or zero when it has lapsed.
    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error>;

    /// Ends a lease; its keys vanish.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}

/// A change that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The new entry, or none when the key was removed.
    pub entry: Option<Entry>,
    /// The service's revision of the change.
    pub revision: u64,
}

/// Changes of keys as the key-value service makes them.
#[async_trait]
pub trait Watch: fmt::Debug + Send + Sync {
    /// Follows the prefix from just after `revision` until the stream breaks.
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error>;
}

/// A VM of an upstream, as the platform's lagging list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the upstream, unique in the deployment.
    pub name: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// The declared pool that it belongs to.
    pub pool: Name,
    /// Its region.
    pub region: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// The platform's list of live and leaving VMs.
#[async_trait]
pub trait Directory: fmt::Debug + Send + Sync {
    /// Reads the list; it lags behind what is.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}

/// An order to an engine carries the owner's fencing token and its time bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// The claim's token; an engine that checks refuses a smaller one than it has seen.
    pub token: u64,
}

/// A completion for an engine to run.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// The request's identity, which the engine returns in its answer.
    pub id: Id,
    /// The adapter and version to run on.
    pub adapter: Adapter,
    /// Path of the completions interface, such as `/v1/completions`.
    pub path: Name,
    /// The caller's JSON body with `model` set to [`Adapter::engine_name`].
    pub body: Bytes,
    /// The engine's priority; smaller goes first.
    pub priority: u32,
}

/// What an engine says of itself; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineStatus {
    /// Identity of the engine process; a new one means a cold start.
    pub boot: Name,
    /// Names of the adapters in its slots, as [`Adapter::engine_name`] gives them.
    pub resident: Vec<Name>,
    /// Requests running, as it counts them: identity and adapter's name.
    pub running: Vec<(Name, Name)>,
    /// Requests waiting inside the engine.
    pub waiting: u32,
}

/// The head and body of an upstream's answer.
///
/// The body is whole only if its stream ends without an error.
pub struct UpstreamResponse {
    /// Status and headers, hop-by-hop headers removed.
    pub head: ::http::response::Parts,
    /// Pieces of the body as they come.
    pub body: BoxStream<'static, Result<Bytes, Failure>>,
}

impl fmt::Debug for UpstreamResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.head.status)
            .finish_non_exhaustive()
    }
}

/// One model engine.
///
/// Failures carry codes whose fate is true: [`crate::error::Code::ConnectFailed`]
/// and [`crate::error::Code::UpstreamRefused`] only when nothing can have run.
#[async_trait]
pub trait Engine: fmt::Debug + Send + Sync {
    /// Runs a completion. Dropping the answer cancels it at the engine.
    async fn run(&self, call: CompletionCall, fence: Fence) -> Result<UpstreamResponse, Failure>;

    /// Loads an adapter into a slot; returns when it can be used.
    async fn load(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure>;

    /// Frees an adapter's slot.
    async fn unload(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure>;

    /// Asks what is resident and what runs.
    async fn report(&self) -> Result<EngineStatus, Failure>;
}

/// The weight store's listing.
#[async_trait]
pub trait Weights: fmt::Debug + Send + Sync {
    /// Whether the store holds this version.
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error>;
}

/// A plain service beside the engines.
#[async_trait]
pub trait Service: fmt::Debug + Send + Sync {
    /// Passes a call through whole.
    ///
    /// The body is bounded and held whole by the caller's node, so that a call
    /// that was not run can be tried elsewhere.
    async fn call(
        &self,
        head: ::http::request::Parts,
        body: Bytes,
    ) -> Result<UpstreamResponse, Failure>;
}

/// Makes clients for upstreams as the list of VMs names them.
pub trait Connector: fmt::Debug + Send + Sync {
    /// Makes a client for the engine at an address.
    fn engine(&self, vm: &Vm) -> std::sync::Arc<dyn Engine>;

    /// Makes a client for the service at an address.
    fn service(&self, vm: &Vm) -> std::sync::Arc<dyn Service>;
}
