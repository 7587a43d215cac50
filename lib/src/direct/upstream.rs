//! State of one start of an upstream, as this node sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::admit::Permit;
use super::dialect::{LoadedModels, RejectionNotice, UpstreamEntry, Weights};
use super::metadata::base_model_of;
use super::presence::{EntryRevision, Presence, Stage};
use super::rejections::notice::{Notice, Said};
use super::software::UNREPORTED;
use crate::clock::Millis;
use crate::name::Name;
use crate::ports::connection_pool::{ConnectionPool, PoolLimits};
use crate::ports::network;

/// Timeout for connecting to an upstream.
///
/// Within a deployment, connecting takes a few milliseconds. The operating system retransmits a
/// lost SYN packet only after a second.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Time for which an idle connection is kept if the upstream names none.
const IDLE_TIMEOUT: Millis = Millis(4_000);

/// Duration of the first suspension after failures.
const FIRST_SUSPENSION: Millis = Millis(300);

/// Longest suspension.
const MAX_SUSPENSION: Millis = Millis(4_000);

/// Number of failures, less successes, at which an upstream is suspended.
const SUSPENSION_THRESHOLD: u32 = 2;

/// Weight of one pause in an upstream's moving average, which covers about ten pauses or a third of
/// a second of its streams.
const PAUSE_WEIGHT: f64 = 0.1;

/// Half-life of the mean pause while no new pauses are observed, in milliseconds.
///
/// An upstream that isn't selected yields no pauses, and old ones must not exclude it for good.
const PAUSE_HALF_LIFE_MS: f64 = 2_000.0;

/// Half-life of the reported load of other nodes, in milliseconds.
///
/// Short answers take a second or two. After that time, none of the reported requests is left, and
/// how many have started since is unknown.
const REMOTE_LOAD_HALF_LIFE_MS: f64 = 700.0;

/// Mean pause between events, as observed in this node's streams.
#[derive(Debug, Default)]
struct MeanPause {
    millis: f64,
    updated_at: Millis,
}

/// Models and adapters that an upstream is known to hold, as of its start and order count.
#[derive(Debug, Default)]
struct Holdings {
    started_at_ms: u64,
    sequence: u64,
    models: Vec<Name>,
    adapters: HashMap<Name, u64>,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    suspended_until: Millis,
    /// Whether connecting failed, with no success since.
    is_unreachable: bool,
}

/// One start of an upstream, which ends when the upstream leaves or starts again.
#[derive(Debug)]
pub struct Upstream {
    /// The incarnation: the name under which the upstream is listed.
    pub incarnation: Name,
    /// The pool that it serves.
    pub pool: Name,
    /// The address at which it serves.
    pub address: SocketAddr,
    /// The address as text, which is hashed to rank upstreams for each adapter.
    pub address_text: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Version of its software; unique to this start if it reports none.
    pub software: Name,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Start time in milliseconds, as reported by the upstream; 0 if it reports none.
    pub started_at_ms: u64,
    /// When this node first saw it in the list of upstreams.
    pub first_seen: Millis,
    /// Connections to it.
    pub connection_pool: ConnectionPool,
    /// Whether it takes new requests. This is read for all upstreams in each selection.
    takes_work: AtomicBool,
    presence: Mutex<Presence>,
    /// Requests of this node.
    running: AtomicU32,
    /// Requests of other nodes, as last reported.
    remote_running: AtomicU32,
    successes: AtomicU32,
    remote_load_at: AtomicU64,
    /// Requests of this node that the owner may not count, by adapter.
    uncounted: Mutex<HashMap<Name, u32>>,
    holdings: Mutex<Holdings>,
    weights: Mutex<Weights>,
    health: Mutex<Health>,
    mean_pause: Mutex<MeanPause>,
    /// What the pool's upstreams say about the rejections that they bear.
    notice: Arc<Notice>,
    /// Whether a notice of this start that can't be decoded was logged.
    has_unreadable_notice: AtomicBool,
}

/// Counts a request at an upstream until this is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    upstream: Arc<Upstream>,
    /// The adapter of the request, if the owner may not count the request.
    uncounted_adapter: Option<Name>,
    /// Keeps the request counted by the owner.
    permit: Option<Permit>,
}

impl InFlightRequest {
    /// Tells the node that counts the request that the upstream rejected it for want of room.
    pub fn mark_rejected(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.mark_rejected();
        }
    }

    /// Records that the upstream has prefilled the request's prompt.
    pub fn prefill_done(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.prefill_done();
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(adapter) = &self.uncounted_adapter {
            self.upstream.end_uncounted(adapter);
        }
    }
}

impl Upstream {
    /// Creates an upstream from its entry in the list; it is reached over TCP.
    #[must_use]
    pub fn new(
        entry: &UpstreamEntry,
        entry_revision: EntryRevision,
        connections: usize,
        now: Millis,
    ) -> Self {
        Self::over(
            network::Handle::default(),
            entry,
            entry_revision,
            connections,
            now,
        )
    }

    /// Creates an upstream that is reached over a network.
    #[must_use]
    pub fn over(
        network: network::Handle,
        entry: &UpstreamEntry,
        entry_revision: EntryRevision,
        connections: usize,
        now: Millis,
    ) -> Self {
        let bounds = PoolLimits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_open: connections,
        };
        let upstream = Self {
            incarnation: Name::clone(&entry.incarnation),
            pool: Name::clone(&entry.pool),
            address: entry.address,
            address_text: entry.address.to_string().into(),
            failure_domain: Name::clone(&entry.failure_domain),
            software: software_version(entry),
            slots: entry.slots.max(1),
            started_at_ms: entry.held.started_at_ms,
            first_seen: now,
            connection_pool: ConnectionPool::over(network, entry.address, bounds),
            takes_work: AtomicBool::new(entry.ready),
            presence: Mutex::new(Presence::new(entry_revision, entry.ready)),
            running: AtomicU32::new(0),
            remote_running: AtomicU32::new(0),
            successes: AtomicU32::new(0),
            remote_load_at: AtomicU64::new(now.0),
            uncounted: Mutex::default(),
            holdings: Mutex::default(),
            weights: Mutex::new(entry.weights.clone()),
            health: Mutex::default(),
            mean_pause: Mutex::default(),
            notice: Arc::default(),
            has_unreadable_notice: AtomicBool::new(false),
        };
        upstream.update_held(&entry.held);
        upstream
    }

    /// Sets what the upstreams of its pool say about rejections, which they share.
    #[must_use]
    pub fn with_notice(mut self, notice: Arc<Notice>) -> Self {
        self.notice = notice;
        self
    }

    /// Whether another node than the owner may count the requests, so that the owner has to be told
    /// which adapters they use.
    #[must_use]
    pub fn says_limit(&self) -> bool {
        self.notice.last().is_some_and(|said| said.limit.is_some())
    }

    /// Returns what the pool's upstreams say about the rejections that they bear.
    #[must_use]
    pub fn notice(&self) -> &Notice {
        &self.notice
    }

    /// Records what a response of the upstream says about rejections.
    ///
    /// A limit that can't be decoded is ignored and logged once.
    pub fn record_notice(&self, notice: RejectionNotice, now: Millis) {
        let limit = match notice {
            RejectionNotice::Unlimited => None,
            RejectionNotice::Limit(limit) => Some(limit),
            RejectionNotice::Unreadable => {
                if !self.has_unreadable_notice.swap(true, Ordering::Relaxed) {
                    log::warn!(
                        upstream = &*self.incarnation;
                        "limit: the limit on rejections can't be decoded"
                    );
                }
                return;
            }
        };
        self.record_said(Said { limit, at: now });
    }

    /// Records what an upstream of the pool said about rejections, and logs a change.
    pub fn record_said(&self, said: Said) {
        if self.notice.record(said) {
            log::info!(
                upstream = &*self.incarnation,
                pool = &*self.pool,
                limit = said.limit.map_or(-1, i64::from);
                "limit: upstreams changed the rejections that they bear"
            );
        }
    }

    /// Whether an entry is of a later start of the upstream.
    ///
    /// Another software version takes a restart, even if the upstream reports no start times.
    #[must_use]
    pub fn has_restarted(&self, entry: &UpstreamEntry, entry_revision: EntryRevision) -> bool {
        if entry.held.started_at_ms != self.started_at_ms {
            return entry.held.started_at_ms > self.started_at_ms;
        }
        software_version(entry) != self.software
            && entry_revision.revision > self.entry_revision().revision
    }

    /// Applies an entry of the list, unless a newer one is known.
    pub fn update(&self, entry: &UpstreamEntry, entry_revision: EntryRevision) {
        if self.update_presence(|presence| presence.apply_entry(entry_revision, entry.ready)) {
            self.update_held(&entry.held);
            self.weights().clone_from(&entry.weights);
        }
    }

    /// Returns the versions of the base models' weights that it holds.
    pub fn weights(&self) -> MutexGuard<'_, Weights> {
        self.weights.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of a base model's weights that it holds, if it reports one.
    #[must_use]
    pub fn weights_version(&self, model: &str) -> Option<u64> {
        let weights = self.weights();
        let version = weights.iter().find(|(name, _)| **name == *model);
        version.map(|(_, version)| *version)
    }

    /// Whether this and another upstream hold the same version of a base model's weights.
    ///
    /// What one computed with its weights means nothing to others. An upstream that reports no
    /// version matches none but itself.
    #[must_use]
    pub fn has_same_weights(&self, other: &Self, model: &str) -> bool {
        let version = self.weights_version(model);
        self.incarnation == other.incarnation
            || (version.is_some() && version == other.weights_version(model))
    }

    /// Updates the presence of the upstream and logs a change of its stage.
    fn update_presence<T>(&self, change: impl FnOnce(&mut Presence) -> T) -> T {
        let mut presence = self.presence();
        let before = presence.stage();
        let result = change(&mut presence);
        let stage = presence.stage();
        self.takes_work.store(stage.takes_work(), Ordering::Relaxed);
        // The code that removes an upstream logs the reason.
        if stage != before && stage != Stage::Gone {
            log::info!(
                upstream = &*self.incarnation,
                before = before.name(),
                revision = presence.entry_revision().revision;
                "view: an upstream is {}", stage.name()
            );
        }
        result
    }

    fn presence(&self) -> std::sync::MutexGuard<'_, Presence> {
        self.presence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what the upstream holds after its `sequence`th order.
    ///
    /// Reports older than the last one are ignored. The start time is compared before the order
    /// count: an engine that starts again under the same name counts its orders from the beginning,
    /// so that by count alone, late reports of the former start would look newer until as many
    /// orders had been given, and requests would go to adapters that are gone.
    pub fn update_held(&self, held: &LoadedModels) {
        let mut holdings = self.holdings();
        if (held.started_at_ms, held.sequence) < (holdings.started_at_ms, holdings.sequence) {
            return;
        }
        holdings.started_at_ms = held.started_at_ms;
        holdings.sequence = held.sequence;
        holdings.models.clone_from(&held.models);
        holdings.adapters = held.adapters.iter().cloned().collect();
    }

    /// Returns what the upstream is known to hold.
    #[must_use]
    pub fn held(&self) -> LoadedModels {
        let holdings = self.holdings();
        LoadedModels {
            started_at_ms: holdings.started_at_ms,
            sequence: holdings.sequence,
            models: holdings.models.clone(),
            adapters: holdings
                .adapters
                .iter()
                .map(|(name, version)| (Name::clone(name), *version))
                .collect(),
            incoming: Vec::new(),
        }
    }

    /// Records that the upstream holds an adapter in a version.
    pub fn set_adapter(&self, adapter: &Name, version: u64) {
        self.holdings()
            .adapters
            .insert(Name::clone(adapter), version);
    }

    /// Records that the upstream doesn't hold an adapter, or not in the expected version.
    pub fn remove_adapter(&self, adapter: &str) {
        self.holdings().adapters.remove(adapter);
    }

    /// Returns the version in which the upstream holds an adapter.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u64> {
        self.holdings().adapters.get(adapter).copied()
    }

    /// Returns how many adapters the upstream is known to hold.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.holdings().adapters.len()
    }

    /// Whether the upstream holds the base model of `model`.
    #[must_use]
    pub fn has_base_model(&self, model: &str) -> bool {
        let base = base_model_of(model);
        self.holdings().models.iter().any(|held| &**held == base)
    }

    /// Whether the upstream takes new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.takes_work.load(Ordering::Relaxed)
    }

    /// Returns the stage of its presence.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.presence().stage()
    }

    /// Returns the revisions of its newest entry in the key-value service.
    #[must_use]
    pub fn entry_revision(&self) -> EntryRevision {
        self.presence().entry_revision()
    }

    /// Stops new requests to an upstream that is no longer listed, and closes its idle connections.
    pub fn retire(&self) {
        self.update_presence(Presence::mark_gone);
        self.connection_pool.close_idle();
    }

    /// Whether the upstream vanished from the list, or started again, without announcing that it
    /// leaves.
    #[must_use]
    pub fn left_unannounced(&self) -> bool {
        self.presence().left_unannounced()
    }

    /// Returns a name that is unique to this start of the upstream.
    #[must_use]
    pub fn start_id(&self) -> Name {
        format!("{}@{}", self.incarnation, self.started_at_ms).into()
    }

    /// Records that the upstream is missing from the list but may not have left.
    pub fn mark_missing(&self) {
        self.update_presence(Presence::mark_missing);
    }

    /// Whether the upstream is missing from the list but may not have left.
    #[must_use]
    pub fn is_missing(&self) -> bool {
        self.presence().is_missing()
    }

    /// Counts a request of this node until the result is dropped.
    #[must_use]
    pub fn start_request(
        self: &Arc<Self>,
        adapter: Option<&Name>,
        permit: Option<Permit>,
    ) -> InFlightRequest {
        self.running.fetch_add(1, Ordering::Relaxed);
        let uncounted_adapter = adapter.filter(|_| permit.is_none() || self.says_limit());
        if let Some(adapter) = uncounted_adapter {
            *self.uncounted().entry(Name::clone(adapter)).or_default() += 1;
        }
        InFlightRequest {
            upstream: Arc::clone(self),
            uncounted_adapter: uncounted_adapter.cloned(),
            permit,
        }
    }

    /// Returns the adapters used by requests of this node that the owner doesn't count.
    #[must_use]
    pub fn uncounted_adapters(&self) -> Vec<Name> {
        self.uncounted().keys().cloned().collect()
    }

    fn end_uncounted(&self, adapter: &Name) {
        let mut uncounted = self.uncounted();
        if let Some(count) = uncounted.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                uncounted.remove(adapter);
            }
        }
    }

    fn uncounted(&self) -> std::sync::MutexGuard<'_, HashMap<Name, u32>> {
        self.uncounted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of running requests of this node.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of running requests of all nodes, those of other nodes as last reported.
    #[must_use]
    pub fn total_running(&self) -> u32 {
        self.running() + self.remote_running.load(Ordering::Relaxed)
    }

    /// Returns the fraction of its slots that other nodes use, as last reported.
    #[must_use]
    pub fn remote_utilization(&self) -> f64 {
        f64::from(self.remote_running.load(Ordering::Relaxed)) / f64::from(self.slots)
    }

    /// Returns the confidence in the reported load of other nodes, from 0 to 1, which decays with
    /// its age.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn remote_load_confidence(&self, now: Millis) -> f64 {
        (-(now.since(self.remote_load_at()).0 as f64) / REMOTE_LOAD_HALF_LIFE_MS).exp2()
    }

    /// Returns when the load of other nodes was last reported.
    #[must_use]
    pub fn remote_load_at(&self) -> Millis {
        Millis(self.remote_load_at.load(Ordering::Relaxed))
    }

    /// Records the number of running requests of other nodes.
    pub fn record_remote_load(&self, running: u32, now: Millis) {
        self.remote_load_at.store(now.0, Ordering::Relaxed);
        self.remote_running.store(running, Ordering::Relaxed);
    }

    /// Records a pause between two events of a stream.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn record_pause(&self, pause: Millis, now: Millis) {
        let mut mean = self.lock_mean_pause();
        mean.millis += PAUSE_WEIGHT * (pause.0 as f64 - mean.millis);
        mean.updated_at = now;
    }

    /// Returns the mean pause between events in milliseconds, which decays with its age.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn mean_pause(&self, now: Millis) -> f64 {
        let mean = self.lock_mean_pause();
        mean.millis * (-(now.since(mean.updated_at).0 as f64) / PAUSE_HALF_LIFE_MS).exp2()
    }

    fn lock_mean_pause(&self) -> std::sync::MutexGuard<'_, MeanPause> {
        self.mean_pause
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request failed through the fault of the upstream, and suspends it if failures
    /// accumulate.
    pub fn record_failure(&self, now: Millis) {
        let mut health = self.health();
        health.failures += 1;
        if health.failures >= SUSPENSION_THRESHOLD {
            let doublings = (health.failures - SUSPENSION_THRESHOLD).min(8);
            let suspension = Millis(FIRST_SUSPENSION.0 << doublings).min(MAX_SUSPENSION);
            health.suspended_until = now + suspension;
        }
    }

    /// Records a failure to connect, which counts twice so that a single one suspends the upstream.
    pub fn record_unreachable(&self, now: Millis) {
        {
            let mut health = self.health();
            health.failures += 1;
            health.is_unreachable = true;
        }
        self.record_failure(now);
    }

    /// Records that a request succeeded.
    pub fn record_success(&self) {
        self.successes.fetch_add(1, Ordering::Relaxed);
        let mut health = self.health();
        health.failures = health.failures.saturating_sub(1);
        health.is_unreachable = false;
    }

    /// Returns the number of requests that succeeded.
    #[must_use]
    pub fn successes(&self) -> u32 {
        self.successes.load(Ordering::Relaxed)
    }

    /// Whether the upstream is suspended and connecting to it failed, with no success since.
    #[must_use]
    pub fn is_unreachable(&self, now: Millis) -> bool {
        let health = self.health();
        health.is_unreachable && health.suspended_until > now
    }

    /// Whether the upstream is suspended after failures.
    #[must_use]
    pub fn is_suspended(&self, now: Millis) -> bool {
        self.health().suspended_until > now
    }

    fn holdings(&self) -> std::sync::MutexGuard<'_, Holdings> {
        self.holdings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the version of an upstream's software.
///
/// One that reports none may differ from all others, so its version is named after its start.
fn software_version(entry: &UpstreamEntry) -> Name {
    match &entry.software {
        Some(version) => Name::clone(version),
        None => format!(
            "{UNREPORTED}{}@{}",
            entry.incarnation, entry.held.started_at_ms
        )
        .into(),
    }
}
