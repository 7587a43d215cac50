//! Traits for the external systems that a node depends on, and their clients.
//!
//! Each trait has a client for a published protocol in a submodule and a fake in
//! the `chivevalve-standins` crate. To support a platform with another protocol,
//! add one file with another client; docs/design/0006-platform.md lists the
//! guarantees that each protocol has to give.

pub mod connection_pool;
pub mod directory;
pub mod etcd;
pub(crate) mod http;
pub mod metered;
pub mod network;
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

/// Why a call to the key-value service, the VM directory or the weight store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The request was not sent, so it had no effect.
    #[error("the service can't be reached: {0}")]
    Unreachable(String),
    /// No response arrived; a write may have taken effect.
    ///
    /// To find out, the caller reads back a value that only its own write stores.
    #[error("no answer came from the service: {0}")]
    NoAnswer(String),
    /// The service rejected the call.
    #[error("the service refused the call: {0}")]
    Refused(String),
    /// The response can't be decoded.
    #[error("the service's answer can't be read: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns the label value used in metrics.
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

/// A key with its value and metadata, as stored in the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The full key, including the prefix.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// The service's revision of the last write to this key; never decreases.
    pub revision: u64,
    /// The service's revision at which the key was created; 0 if unknown.
    pub created: u64,
    /// The lease that the key is attached to; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// All keys with a prefix, as of one revision of the service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// The service's revision at the time of the read.
    pub revision: u64,
}

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The key doesn't exist.
    Absent(String),
    /// The last write to the key has this revision.
    Unchanged(String, u64),
}

impl Condition {
    /// Returns the key that the condition checks.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::Unchanged(key, _) => key,
        }
    }

    /// Returns whether the condition holds, given the key's current entry.
    #[must_use]
    pub fn holds(&self, found: Option<&Entry>) -> bool {
        match self {
            Self::Absent(_) => found.is_none(),
            Self::Unchanged(_, revision) => found.is_some_and(|entry| entry.revision == *revision),
        }
    }
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key to a value and attaches it to the lease, if any.
    Put(String, Bytes, Option<LeaseId>),
    /// Deletes a key.
    Delete(String),
}

/// Writes that are applied atomically if all conditions hold, and not at all otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Preconditions; all must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied in order.
    pub writes: Vec<Write>,
}

/// The service's response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// Whether the conditions held and the writes were applied.
    pub done: bool,
    /// The service's revision: that of the writes if applied, otherwise that of the check.
    pub revision: u64,
    /// Current entries of the conditions' keys, if a condition failed and the service returns them.
    pub found: Vec<Entry>,
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads all keys with the prefix, as of one revision.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// After [`Error::NoAnswer`] the writes may have taken effect.
    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error>;
}

/// Identifier of a lease in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub i64);

/// Leases of the key-value service: attached keys are deleted when their lease expires.
#[async_trait]
pub trait Lease: fmt::Debug + Send + Sync {
    /// Grants a lease with a time to live.
    async fn grant(&self, ttl: Millis) -> Result<LeaseId, Error>;

    /// Renews a lease and returns its time to live, or zero if it has expired.
    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error>;

    /// Revokes a lease and thereby deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}

/// A change to one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The new entry, or `None` if the key was deleted.
    pub entry: Option<Entry>,
    /// The service's revision of the change.
    pub revision: u64,
}

/// Streams changes to keys in the key-value service.
#[async_trait]
pub trait Watch: fmt::Debug + Send + Sync {
    /// Streams changes under `prefix` after `revision` until the connection fails.
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<BoxStream<'static, Result<Event, Error>>, Error>;
}

/// An upstream's VM, as listed in the platform's directory, which lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the upstream, unique in the deployment.
    pub name: Name,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Declared pool that it belongs to.
    pub pool: Name,
    /// Region that it runs in.
    pub region: Name,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// Whether it is about to be removed.
    pub leaving: bool,
}

/// The platform's directory of live and leaving VMs.
#[async_trait]
pub trait Directory: fmt::Debug + Send + Sync {
    /// Reads the list of VMs; it lags behind their actual state.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}

/// Fencing token that the owner sends with every request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// The claim's token; an engine that checks it rejects any below the largest it has seen.
    pub token: u64,
}

/// A completion for an engine to run.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// Request id, which the engine echoes in its response.
    pub id: Id,
    /// Adapter and version to run on.
    pub adapter: Adapter,
    /// Path of the completions API, such as `/v1/completions`.
    pub path: Name,
    /// The caller's JSON body with `model` set to [`Adapter::engine_name`].
    pub body: Bytes,
    /// Scheduling priority in the engine; lower values run first.
    pub priority: u32,
}

/// An engine's own view of its state, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineStatus {
    /// Id of the engine process; a new id means that the engine restarted with nothing loaded.
    pub boot: Name,
    /// Loaded adapters, named as by [`Adapter::engine_name`].
    pub resident: Vec<Name>,
    /// Running requests: request id and adapter name.
    pub running: Vec<(Name, Name)>,
    /// Number of requests queued inside the engine.
    pub waiting: u32,
}

/// An upstream's response: head and streamed body.
///
/// The body is complete only if its stream ends without an error.
pub struct UpstreamResponse {
    /// Status and headers, without hop-by-hop headers.
    pub head: ::http::response::Parts,
    /// Chunks of the body as they arrive.
    pub body: BoxStream<'static, Result<Bytes, Failure>>,
}

impl fmt::Debug for UpstreamResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.head.status)
            .finish_non_exhaustive()
    }
}

/// A model engine.
///
/// The code of a failure tells reliably whether the request may have run:
/// [`crate::error::Code::ConnectFailed`] and [`crate::error::Code::UpstreamRefused`]
/// are returned only if it can't have run.
#[async_trait]
pub trait Engine: fmt::Debug + Send + Sync {
    /// Runs a completion. Dropping the response cancels it in the engine.
    async fn run(&self, call: CompletionCall, fence: Fence) -> Result<UpstreamResponse, Failure>;

    /// Loads an adapter into a slot; returns once it is ready to use.
    async fn load(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure>;

    /// Unloads an adapter and frees its slot.
    async fn unload(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure>;

    /// Returns the loaded adapters and the running requests.
    async fn report(&self) -> Result<EngineStatus, Failure>;
}

/// The weight store.
#[async_trait]
pub trait Weights: fmt::Debug + Send + Sync {
    /// Returns whether the store has this version of the adapter.
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error>;
}

/// An HTTP service that isn't a model engine.
#[async_trait]
pub trait Service: fmt::Debug + Send + Sync {
    /// Forwards a request to the service.
    ///
    /// The entry node buffers the whole, size-limited body, so that a request
    /// that was not run can be retried on another upstream.
    async fn call(
        &self,
        head: ::http::request::Parts,
        body: Bytes,
    ) -> Result<UpstreamResponse, Failure>;
}

/// Creates clients for the upstreams listed in the directory.
pub trait Connector: fmt::Debug + Send + Sync {
    /// Creates a client for the engine on a VM.
    fn engine(&self, vm: &Vm) -> std::sync::Arc<dyn Engine>;

    /// Creates a client for the service on a VM.
    fn service(&self, vm: &Vm) -> std::sync::Arc<dyn Service>;
}
