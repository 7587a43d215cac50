//! The entry: callers' requests, from the first byte to the answer.

mod accept;
mod gauges;
mod handle;
mod response;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

use super::budget::RetryBudget;
use super::controllers::Controllers;
use super::dialect::Dialect;
use super::drain::Drain;
use super::limits::SharedLimits;
use super::outbox::Outbox;
use super::quarantine::Quarantine;
use super::relay::ResponseAborted;
use super::roles::{PrefillScaler, Roles};
use super::upstream::Upstream;
use super::versions::PendingReplacements;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::error::Code;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::metered::Metered;

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Pause after which an adapter may be asked for at a further engine.
const SPREAD_PAUSE: Millis = Millis(700);

/// Pause between looks at which engines read for the others.
///
/// Lists of engines change by seconds, and a look sorts them.
const ROLES_PAUSE: Millis = Millis(250);

/// Label of the class in metrics: here routes and not classes rank requests.
pub const CLASS_LABEL: &str = "direct";

/// What all requests of a node share.
#[derive(Debug)]
pub struct Frontend {
    /// What this node believes.
    pub view: Arc<View>,
    /// Orders to engines.
    pub controllers: Arc<Controllers>,
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Where the node is.
    pub failure_domain: Name,
    /// Bounds in force.
    pub limits: Arc<SharedLimits>,
    /// What may not be sent any more.
    pub quarantine: Arc<Quarantine>,
    /// Versions that engines were asked to replace lately.
    pub(super) replacements: PendingReplacements,
    /// The key-value service.
    service: Arc<Metered>,
    budget: Mutex<RetryBudget>,
    spreading: Mutex<HashMap<Name, Millis>>,
    shares: Mutex<HashMap<Name, Share>>,
    /// The node's planned stop.
    pub drain: Drain,
    active: AtomicUsize,
}

/// How the engines of a pool share their work at this moment.
#[derive(Debug, Default)]
struct Share {
    mix: PrefillScaler,
    roles: Arc<Roles>,
    made: Millis,
}

impl Frontend {
    /// Makes a gate.
    #[must_use]
    pub fn new(
        view: Arc<View>,
        controllers: Arc<Controllers>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        failure_domain: Name,
        limits: Arc<SharedLimits>,
        service: Arc<Metered>,
    ) -> Self {
        let outbox = Arc::new(Outbox::new(
            Arc::<Metered>::clone(&service),
            Arc::<Metered>::clone(&service),
            Arc::clone(&dialect),
            Arc::clone(&clock),
            Arc::<Controllers>::clone(&controllers),
        ));
        let quarantine = Arc::new(Quarantine::new(
            Arc::clone(&view),
            Arc::clone(&clock),
            Arc::clone(&controllers.metrics),
            Name::clone(&controllers.node),
            outbox,
        ));
        Self {
            view,
            metrics: Arc::clone(&controllers.metrics),
            quarantine,
            controllers,
            dialect,
            clock,
            failure_domain,
            budget: Mutex::new(RetryBudget::new(Arc::clone(&limits))),
            limits,
            replacements: PendingReplacements::default(),
            service,
            spreading: Mutex::default(),
            shares: Mutex::default(),
            drain: Drain::default(),
            active: AtomicUsize::new(0),
        }
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.drain.is_draining() {
            return false;
        }
        let state = self.view.state();
        state.config.is_some() && !state.upstreams.is_empty()
    }

    /// Requests in progress.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a further send by its reason.
    pub fn count_retry(&self, reason: &str) {
        self.metrics.retries.with_label_values(&[reason]).inc();
    }

    /// Counts how a request ended; 0 is a whole answer.
    pub fn count_end(&self, code: u32) {
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

    /// Takes what sending a request to a pool once more costs from the budget; false if it's spent.
    pub fn take_retry(&self, pool: &Name) -> bool {
        let nodes = self.view.state().max_nodes_seen;
        self.budget().try_retry(pool, self.clock.now(), nodes)
    }

    /// Counts a send to a pool that turned out to be a further one.
    pub fn charge_retry(&self, pool: &Name) {
        let now = self.clock.now();
        self.budget().record_retry(pool, now);
    }

    /// Whether the budget of a pool has room for a further send.
    pub fn has_retry_budget(&self, pool: &Name) -> bool {
        let nodes = self.view.state().max_nodes_seen;
        self.budget().has_room(pool, self.clock.now(), nodes)
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which engines of a pool read for the others.
    #[must_use]
    pub fn roles(&self, pool: &Name) -> Arc<Roles> {
        let now = self.clock.now();
        let mut shares = self.shares();
        let share = shares.entry(Name::clone(pool)).or_default();
        if now.since(share.made) >= ROLES_PAUSE {
            share.made = now;
            let upstreams = self.view.pool(pool);
            let ready = upstreams.iter().filter(|upstream| upstream.is_ready());
            let engines: Vec<SocketAddr> = ready.map(|upstream| upstream.address).collect();
            let readers = share.mix.prefill_count(engines.len(), now);
            share.roles = Arc::new(Roles::split(engines, readers));
        }
        Arc::clone(&share.roles)
    }

    /// Takes in something about the mix of requests for a pool.
    pub fn observe(&self, pool: &Name, seen: impl FnOnce(&mut PrefillScaler)) {
        seen(&mut self.shares().entry(Name::clone(pool)).or_default().mix);
    }

    fn shares(&self) -> MutexGuard<'_, HashMap<Name, Share>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns until when a request may begin on a version of an adapter; none is without end.
    #[must_use]
    pub fn begin_deadline(&self, adapter: &str, version: u64) -> Option<Millis> {
        let limit = self.limits.get().version_rollout;
        self.view.begin_deadline(adapter, version, limit)
    }

    /// Has an adapter made present at the first of some engines, without waiting.
    pub fn load_in_background(
        self: &Arc<Self>,
        homes: Vec<Arc<Upstream>>,
        adapter: &Name,
        version: u64,
    ) {
        let now = self.clock.now();
        let Some(upstream) = homes.into_iter().next() else {
            return;
        };
        {
            let mut spreading = self
                .spreading
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            spreading.retain(|_, since| now.since(*since) < SPREAD_PAUSE);
            if spreading.contains_key(adapter) {
                return;
            }
            spreading.insert(Name::clone(adapter), now);
        }
        let frontend = Arc::clone(self);
        let adapter = Name::clone(adapter);
        tokio::spawn(async move {
            let loaded = frontend
                .controllers
                .load(&upstream, &adapter, version)
                .await;
            log::debug!(
                "entry: {adapter} at {} too: {loaded:?}",
                upstream.incarnation
            );
        });
    }
}

/// Returns a span in the unit of histograms.
#[must_use]
pub fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}
