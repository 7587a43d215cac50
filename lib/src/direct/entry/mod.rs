//! Entry point of callers' requests: the state they share on a node, and their handling.

mod accept;
mod gauges;
mod handle;
mod response;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::sync::Notify;

use super::budget::{RetryBudget, Usage};
use super::controllers::Controllers;
use super::dialect::Dialect;
use super::drain::Drain;
use super::limits::SharedLimits;
use super::origin_store::OriginStore;
use super::outbox::Outbox;
use super::pace::Paces;
use super::path::Paths;
use super::quarantine::Quarantine;
use super::relay::ResponseAborted;
use super::roles::{PrefillScaler, Roles};
use super::software_store::SoftwareStore;
use super::upstream::Upstream;
use super::versions::PendingReplacements;
use super::view::View;
use crate::buffer;
use crate::clock::{Clock, Millis};
use crate::error::Code;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::metered::Metered;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Minimum time between two background loads of the same adapter.
const BACKGROUND_LOAD_COOLDOWN: Millis = Millis(700);

/// How long the prefill and decode roles of a pool's engines are cached.
///
/// Lists of engines change over seconds, and computing the roles sorts the list.
const ROLES_CACHE_TTL: Millis = Millis(250);

/// Value of the metrics' class label; with direct serving, routes rank requests and not classes.
pub const CLASS_LABEL: &str = "direct";

/// State shared by all requests of a node.
#[derive(Debug)]
pub struct Frontend {
    /// The node's view of the cluster.
    pub view: Arc<View>,
    /// Sends orders to engines, directly or through their owners.
    pub controllers: Arc<Controllers>,
    /// Opens the connections of requests.
    pub paths: Arc<Paths>,
    /// Formats and header names of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// The node's failure domain.
    pub failure_domain: Name,
    /// Limits in force.
    pub limits: Arc<SharedLimits>,
    /// Notified when a caller's connection is closed unread because callers hold as many as they may.
    pub connections_full: Notify,
    /// Memory of callers' request bodies.
    pub bodies: Arc<buffer::Pool>,
    /// Memory of responses that are read whole.
    pub responses: Arc<buffer::Pool>,
    /// Tracks requests that crash upstreams.
    pub quarantine: Arc<Quarantine>,
    /// Copies of streams' origins in the key-value service.
    pub(super) origin_copies: Arc<OriginStore>,
    /// Records of software versions in the key-value service.
    pub(super) software_records: Arc<SoftwareStore>,
    /// Replacements of adapter versions that are in progress at engines.
    pub(super) replacements: PendingReplacements,
    /// The key-value service.
    service: Arc<Metered>,
    budget: Mutex<RetryBudget>,
    /// When each adapter was last loaded in the background.
    background_loads: Mutex<HashMap<Name, Millis>>,
    pool_roles: Mutex<HashMap<Name, PoolRoles>>,
    /// How long responses take.
    pub paces: Paces,
    /// State of the node's drain.
    pub drain: Drain,
    active: AtomicUsize,
}

/// Cached prefill and decode roles of a pool's engines.
#[derive(Debug, Default)]
struct PoolRoles {
    scaler: PrefillScaler,
    roles: Arc<Roles>,
    updated_at: Millis,
}

impl Frontend {
    /// Creates the shared state of a node's requests.
    ///
    /// `restarted_at` is when this process started, if another one of the same node may have run
    /// before.
    #[must_use]
    #[allow(
        clippy::too_many_arguments,
        reason = "each is shared with another part of the node"
    )]
    pub fn new(
        view: Arc<View>,
        controllers: Arc<Controllers>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        failure_domain: Name,
        limits: Arc<SharedLimits>,
        service: Arc<Metered>,
        restarted_at: Option<Millis>,
    ) -> Self {
        let outbox = Arc::new(Outbox::new(
            Arc::<Metered>::clone(&service),
            Arc::<Metered>::clone(&service),
            Arc::clone(&dialect),
            Arc::clone(&clock),
            Arc::<Controllers>::clone(&controllers),
        ));
        let origin_copies = Arc::new(OriginStore::new(
            Arc::<Metered>::clone(&service),
            Arc::<Metered>::clone(&service),
            Arc::clone(&dialect),
            Arc::clone(&clock),
        ));
        let software_records = Arc::new(SoftwareStore::new(
            Arc::<Metered>::clone(&service),
            Arc::clone(&dialect),
            Arc::clone(&clock),
            Arc::clone(&view),
            Name::clone(&controllers.node),
        ));
        let paths = Arc::new(Paths::new(Arc::clone(&controllers)));
        let quarantine = Arc::new(Quarantine::new(
            Arc::clone(&view),
            Arc::clone(&clock),
            Arc::clone(&controllers.metrics),
            Name::clone(&controllers.node),
            outbox,
            Arc::<Paths>::clone(&paths),
        ));
        let memory_of = |source| {
            let metrics = Arc::clone(&controllers.metrics);
            buffer::Pool::new(source, Arc::clone(&clock), metrics)
        };
        Self {
            view,
            metrics: Arc::clone(&controllers.metrics),
            connections_full: Notify::new(),
            bodies: memory_of(buffer::Source::Callers),
            responses: memory_of(buffer::Source::Upstreams),
            quarantine,
            origin_copies,
            software_records,
            paths,
            controllers,
            dialect,
            budget: Mutex::new(RetryBudget::new(Arc::clone(&limits), restarted_at)),
            clock,
            failure_domain,
            limits,
            replacements: PendingReplacements::default(),
            service,
            background_loads: Mutex::default(),
            pool_roles: Mutex::default(),
            paces: Paces::default(),
            drain: Drain::default(),
            active: AtomicUsize::new(0),
        }
    }

    /// Whether the node is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.drain.is_draining() {
            return false;
        }
        let state = self.view.state();
        state.config.is_some() && !state.upstreams.is_empty()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a retry by its reason.
    pub fn count_retry(&self, reason: &str) {
        self.metrics.retries.with_label_values(&[reason]).inc();
    }

    /// Counts a request that an upstream rejected; `counted` tells whether its owner had admitted it.
    pub fn count_upstream_rejection(&self, status: u16, counted: bool) {
        let labels = [status.to_string(), counted.to_string()];
        let rejections = &self.metrics.upstream_rejections;
        rejections.with_label_values(&labels).inc();
    }

    /// Counts the outcome of a request; code 0 is a complete response.
    pub fn count_outcome(&self, code: u32) {
        let number = code.to_string();
        self.metrics
            .requests
            .with_label_values(&[number.as_str(), CLASS_LABEL])
            .inc();
        if let Some(code) = Code::from_number(code) {
            self.metrics
                .refusals
                .with_label_values(&[number.as_str(), code.fate().name()])
                .inc();
        }
    }

    /// Takes a retry from the pool's budget and returns when; `None` if the budget is used up.
    pub fn take_retry(&self, pool: &Name) -> Option<Millis> {
        if !self.has_retry_budget(pool, 1) {
            let denied = &self.metrics.retries_denied;
            denied.with_label_values(&["budget"]).inc();
            return None;
        }
        let now = self.clock.now();
        self.budget().record_retry(pool, now);
        Some(now)
    }

    /// Returns a retry to the pool's budget that was taken at `taken_at` and not made.
    pub fn return_retry(&self, pool: &Name, taken_at: Millis) {
        self.budget().return_retry(pool, taken_at);
    }

    /// Whether the pool's budget allows this number of further retries.
    pub fn has_retry_budget(&self, pool: &Name, retries: u32) -> bool {
        self.retry_usage(pool).has_room(retries)
    }

    /// Returns what the pool's budget holds now.
    pub fn retry_usage(&self, pool: &Name) -> Usage {
        let nodes = self.view.state().max_nodes_seen;
        self.budget().usage(pool, self.clock.now(), nodes)
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which engines of a pool are prefill engines.
    #[must_use]
    pub fn roles(&self, pool: &Name) -> Arc<Roles> {
        let now = self.clock.now();
        let mut pool_roles = self.pool_roles();
        let cached = pool_roles.entry(Name::clone(pool)).or_default();
        if now.since(cached.updated_at) >= ROLES_CACHE_TTL {
            cached.updated_at = now;
            let upstreams = self.view.pool(pool);
            let ready = upstreams.iter().filter(|upstream| upstream.is_ready());
            let engines: Vec<_> = ready
                .map(|upstream| {
                    let version = (&upstream.software, upstream.weights().clone());
                    (version, upstream.address)
                })
                .collect();
            let prefill = cached.scaler.prefill_count(engines.len(), now);
            cached.roles = Arc::new(Roles::split_by_version(engines, prefill));
        }
        Arc::clone(&cached.roles)
    }

    /// Updates the statistics that set the number of prefill engines in a pool.
    pub fn update_scaler(&self, pool: &Name, update: impl FnOnce(&mut PrefillScaler)) {
        update(
            &mut self
                .pool_roles()
                .entry(Name::clone(pool))
                .or_default()
                .scaler,
        );
    }

    fn pool_roles(&self) -> MutexGuard<'_, HashMap<Name, PoolRoles>> {
        self.pool_roles
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns until when a request may start on a version of an adapter; `None` if unlimited.
    #[must_use]
    pub fn begin_deadline(&self, adapter: &str, version: u64) -> Option<Millis> {
        let limit = self.limits.get().version_rollout;
        self.view.begin_deadline(adapter, version, limit)
    }

    /// Loads an adapter at the first of some candidates, without waiting for it.
    ///
    /// Does nothing if the adapter was loaded in the background a moment ago.
    pub fn load_in_background(
        self: &Arc<Self>,
        candidates: Vec<Arc<Upstream>>,
        adapter: &Name,
        version: u64,
    ) {
        let now = self.clock.now();
        let Some(upstream) = candidates.into_iter().next() else {
            return;
        };
        {
            let mut recent = self
                .background_loads
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            recent.retain(|_, since| now.since(*since) < BACKGROUND_LOAD_COOLDOWN);
            if recent.contains_key(adapter) {
                return;
            }
            recent.insert(Name::clone(adapter), now);
        }
        let frontend = Arc::clone(self);
        let adapter = Name::clone(adapter);
        tokio::spawn(async move {
            let loaded = frontend
                .controllers
                .load(&upstream, &adapter, version)
                .await;
            log::debug!(
                "entry: background load of {adapter} at {}: {loaded:?}",
                upstream.incarnation
            );
        });
    }
}

/// Converts a span to seconds, the unit of the histograms.
#[must_use]
pub fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}
