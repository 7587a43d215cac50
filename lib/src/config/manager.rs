//! Manages a node's configuration: learns revisions, activates them, spreads them.
//!
//! The learned state is behind a mutex that is held briefly and never across an
//! await, because gossip reads and updates it. Requests don't take the mutex:
//! they read the view's watch channel. Decisions that must be exact between nodes
//! rest on the service's compare-and-swap.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{error, info, warn};
use prometheus::{IntCounterVec, Opts};
use serde::Serialize;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::config_store::{ConfigStore, ReadError, StoredHead, Update};
use super::layout::Layout;
use super::prefetch::{self, PREFETCH_GRACE, Prefetch, UpcomingAdapter};
use super::state::{ConfigState, OfferOutcome, Origin};
use super::view::{self, View};
use crate::clock::{Clock, Millis};
use crate::declaration::convert;
use crate::gossip::PeerSource;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::owner::RoutingCheck;
use crate::ports::{Store, Watch, Weights};
use crate::request::Ticket;
use crate::schema::declaration::{Difference, Operation};

/// Maximum time between two checks for due revisions and updates of the age metric, in milliseconds.
const MAX_ACTIVATION_WAIT: Millis = Millis(1_000);

/// Timeouts, intervals and sizes of the manager.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Timeout of a call to the service.
    pub call_timeout: Millis,
    /// Nodes of each region that watch the service.
    pub watchers_per_region: usize,
    /// Interval of a watcher's reads of the head, which confirm to all nodes that they are up to date.
    pub confirm_interval: Millis,
    /// A node whose revision has been unconfirmed for this long reads the service itself.
    pub max_unconfirmed_age: Millis,
    /// How long activation waits for the prefetch of adapters that templates change to.
    pub prefetch_grace: Millis,
    /// Maximum bytes of operations in one reply to a peer.
    pub max_delta_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            call_timeout: Millis(2_000),
            watchers_per_region: 3,
            confirm_interval: Millis(5_000),
            max_unconfirmed_age: Millis(20_000),
            prefetch_grace: PREFETCH_GRACE,
            max_delta_bytes: 256 * 1024,
        }
    }
}

/// Dependencies and settings of the manager.
#[derive(Debug)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// This node's region.
    pub region: Name,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Watches on the key-value service.
    pub watch: Arc<dyn Watch>,
    /// The weight store, in which plans look up adapters.
    pub weights: Arc<dyn Weights>,
    /// The other nodes; they determine which nodes watch the service.
    pub peers: Arc<dyn PeerSource>,
    /// Prefetches adapters before a revision is activated.
    pub prefetch: Arc<dyn Prefetch>,
    /// Prefix of this deployment's keys; it ends in a slash or is empty.
    pub prefix: String,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Timeouts, intervals and sizes.
    pub limits: Limits,
    /// Seed of the jitter.
    pub seed: u64,
    /// Stops the manager's tasks.
    pub stop: CancellationToken,
}

/// Status of a node's configuration, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Revision that requests use.
    pub revision: u64,
    /// Newest revision learned; it is activated once its adapters had time to load.
    pub learned: u64,
    /// Newest revision that the service or a peer has reported.
    pub heard: u64,
    /// Time since the service confirmed that no newer revision exists; none if it never did.
    pub confirmed_age_ms: Option<u64>,
    /// Whether this node watches the service on behalf of its region.
    pub watcher: bool,
    /// The newest revision that this node rejected, and why.
    pub refused: Option<String>,
    /// How often the service reported a revision older than the learned one as the newest.
    pub stale: u64,
    /// Digest of the learned revision, in hexadecimal.
    pub digest: String,
    /// Declared client accounts.
    pub accounts: usize,
    /// Declared pools.
    pub pools: usize,
    /// Declared templates.
    pub templates: usize,
}

/// Learns, activates and spreads a node's configuration.
#[derive(Debug)]
pub struct ConfigManager {
    pub(super) deps: Dependencies,
    pub(super) config_store: ConfigStore,
    state: Mutex<ConfigState>,
    in_force: watch::Sender<Arc<View>>,
    /// The newest learned revision; gossip subscribes to it.
    learned_revision: watch::Sender<u64>,
    /// Wakes the task that activates due revisions.
    activation_wakeup: Notify,
    /// Wakes the task that reads the service, when a newer revision is known to exist.
    pub(super) service_wakeup: Notify,
    pub(super) is_watcher: std::sync::atomic::AtomicBool,
    events: IntCounterVec,
}

impl ConfigManager {
    /// Starts the tasks that follow the service and activate revisions.
    #[must_use]
    pub fn start(deps: Dependencies) -> Arc<Self> {
        let manager = Arc::new(Self::new(deps));
        tokio::spawn(Arc::clone(&manager).run_activation());
        tokio::spawn(super::follower::run(Arc::clone(&manager)));
        manager
    }

    fn new(deps: Dependencies) -> Self {
        let layout = Layout::new(&deps.prefix);
        let config_store =
            ConfigStore::new(Arc::clone(&deps.store), layout, deps.limits.call_timeout);
        let events = event_counter(&deps.metrics);
        let (in_force, _) = watch::channel(Arc::default());
        let (learned_revision, _) = watch::channel(0);
        Self {
            config_store,
            events,
            in_force,
            learned_revision,
            state: Mutex::default(),
            activation_wakeup: Notify::new(),
            service_wakeup: Notify::new(),
            is_watcher: std::sync::atomic::AtomicBool::new(false),
            deps,
        }
    }

    /// Subscribes to the active view; revision 0 means that none is known yet.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.in_force.subscribe()
    }

    /// Subscribes to the newest learned revision, so that it can be pushed to peers at once.
    #[must_use]
    pub fn learned_revision(&self) -> watch::Receiver<u64> {
        self.learned_revision.subscribe()
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let now = self.now();
        let state = self.state();
        let learned = state.learned();
        Status {
            revision: state.in_force().revision(),
            learned: learned.revision(),
            heard: state.newest_heard(),
            confirmed_age_ms: state.confirmed_age(now).map(|age| age.0),
            watcher: self.is_watcher.load(std::sync::atomic::Ordering::Relaxed),
            refused: state
                .newest_rejection()
                .map(|rejection| format!("revision {}: {}", rejection.revision, rejection.reason)),
            stale: state.stale_offers(),
            digest: convert::hex(&learned.digest().to_bytes()),
            accounts: learned.accounts().count(),
            pools: learned.pools().count(),
            templates: learned.templates().count(),
        }
    }

    /// Returns the newest revision whose declarations this node has, active or not.
    #[must_use]
    pub fn learned(&self) -> Arc<View> {
        Arc::clone(self.state().learned())
    }

    pub(super) fn now(&self) -> Millis {
        self.deps.clock.now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConfigState> {
        // The state is modified only after all checks have passed, so it stays
        // consistent when a thread panics while holding the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn count_event(&self, kind: &str) {
        self.events.with_label_values(&[kind]).inc();
    }

    /// Offers operations in order. Returns whether any was new, and whether there was a gap.
    pub(super) fn offer(&self, operations: &[Arc<Operation>]) -> (bool, bool) {
        let mut upcoming = Vec::new();
        let (mut any_new, mut gap) = (false, false);
        let now = self.now();
        {
            let mut state = self.state();
            for operation in operations {
                let outcome = state.offer(operation, now, |old, new| {
                    self.activation_time(old, new, &operation.differences, &mut upcoming)
                });
                any_new |= outcome == OfferOutcome::New;
                gap |= outcome == OfferOutcome::Gap;
                self.record_outcome(operation.revision, &outcome);
            }
            self.publish(&mut state);
        }
        self.start_prefetch(&upcoming);
        (any_new, gap)
    }

    /// Offers a complete revision. Returns whether it was new.
    pub(super) fn install_view(&self, view: View, digest: &[u8], origin: Origin) -> bool {
        let mut upcoming = Vec::new();
        let revision = view.revision();
        let now = self.now();
        let outcome = {
            let mut state = self.state();
            let outcome = state.install(view, digest, origin, now, |old, new| {
                self.activation_time(old, new, &[], &mut upcoming)
            });
            self.publish(&mut state);
            outcome
        };
        self.record_outcome(revision, &outcome);
        self.start_prefetch(&upcoming);
        outcome == OfferOutcome::New
    }

    /// Records that a revision can't be decoded.
    pub(super) fn reject(&self, revision: u64, reason: view::Error, origin: Origin) {
        let now = self.now();
        let outcome = self.state().reject(revision, reason, origin, now);
        self.record_outcome(revision, &outcome);
    }

    /// Records that `revision` was the service's newest at time `at`.
    pub(super) fn confirm_revision(&self, revision: u64, at: Millis) {
        let mut state = self.state();
        let learned = state.learned().revision();
        let is_first = state.stale_offers() == 0;
        if !state.record_confirmed(revision, at) {
            return;
        }
        drop(state);
        self.count_event("stale");
        if is_first {
            warn!(
                "config: the service returned revision {revision}, older than the learned revision {learned}; it is ignored"
            );
        }
    }

    /// Reads the service's head and learns any newer revision.
    pub(super) async fn catch_up(&self) -> Result<StoredHead, ReadError> {
        let asked = self.now();
        let head = self.config_store.read_head().await?;
        self.apply_head(&head, asked).await?;
        Ok(head)
    }

    /// Learns the revision of a head; `asked` is when its read began.
    pub(super) async fn apply_head(
        &self,
        head: &StoredHead,
        asked: Millis,
    ) -> Result<(), ReadError> {
        let revision = head.head.revision;
        let have = {
            let state = self.state();
            if state.is_rejected(revision, Origin::Service, asked) {
                return Ok(());
            }
            state.learned().revision()
        };
        if revision > have
            && let Err(failure) = self.fetch_updates(have, head).await
        {
            if let ReadError::Unreadable(reason) = &failure {
                self.reject(revision, reason.clone(), Origin::Service);
            }
            return Err(failure);
        }
        self.confirm_revision(revision, asked);
        Ok(())
    }

    async fn fetch_updates(&self, have: u64, head: &StoredHead) -> Result<(), ReadError> {
        let update = match self.config_store.read_since(have, &head.head).await? {
            Update::Operations(operations) => {
                let (_, gap) = self.offer(&operations);
                if !gap {
                    return Ok(());
                }
                self.config_store.read_full(&head.head).await?
            }
            snapshot @ Update::Snapshot(..) => snapshot,
        };
        if let Update::Snapshot(view, digest) = update {
            self.count_event("snapshot_service");
            self.install_view(*view, &digest, Origin::Service);
        }
        Ok(())
    }

    /// Returns when to activate `new`, and adds the adapters to prefetch to `upcoming`.
    fn activation_time(
        &self,
        old: &View,
        new: &View,
        differences: &[Difference],
        upcoming: &mut Vec<UpcomingAdapter>,
    ) -> Millis {
        let now = self.now();
        if old.revision() == 0 {
            return now;
        }
        let changed = prefetch::changed_adapters(old, new, differences);
        if changed.is_empty() {
            return now;
        }
        upcoming.extend(changed);
        now + self.deps.limits.prefetch_grace
    }

    fn start_prefetch(&self, upcoming: &[UpcomingAdapter]) {
        if !upcoming.is_empty() {
            self.deps.prefetch.prefetch(upcoming);
        }
        self.activation_wakeup.notify_one();
    }

    fn record_outcome(&self, revision: u64, outcome: &OfferOutcome) {
        match outcome {
            OfferOutcome::New => info!("config: learned revision {revision}"),
            OfferOutcome::Known => {}
            OfferOutcome::Gap => self.count_event("gap"),
            OfferOutcome::Rejected(reason) => {
                self.count_event("refused");
                error!(
                    "config: revision {revision} was rejected and the previous one stays active: {reason}"
                );
            }
        }
    }

    /// Publishes the learned revision and activates the views that are due.
    ///
    /// The channels are written while the state's lock is held. Otherwise two
    /// threads could send their views out of order and leave the older one active.
    fn publish(&self, state: &mut ConfigState) {
        let learned = state.learned().revision();
        self.learned_revision.send_if_modified(|known| {
            let newer = *known < learned;
            *known = learned;
            newer
        });
        if let Some(view) = state.activate_due(self.now()) {
            let metrics = &self.deps.metrics;
            metrics
                .revision
                .set(i64::try_from(view.revision()).unwrap_or(i64::MAX));
            self.in_force.send_replace(view);
        }
    }

    async fn run_activation(self: Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state();
                self.publish(&mut state);
                let now = self.now();
                let age = state
                    .confirmed_age(now)
                    .map_or(-1, |age| i64::try_from(age.0).unwrap_or(i64::MAX));
                self.deps.metrics.revision_age_ms.set(age);
                state
                    .next_activation()
                    .map_or(MAX_ACTIVATION_WAIT, |activate_at| {
                        activate_at.since(now).min(MAX_ACTIVATION_WAIT)
                    })
            };
            tokio::select! {
                () = self.deps.stop.cancelled() => return,
                () = self.activation_wakeup.notified() => {}
                () = tokio::time::sleep(next.duration()) => {}
            }
        }
    }
}

fn event_counter(metrics: &Metrics) -> IntCounterVec {
    let opts = Opts::new(
        "chivevalve_config_events_total",
        "Rare events of the configuration, by kind.",
    );
    let events = IntCounterVec::new(opts, &["kind"]).expect("name and label are constants");
    // Registering fails only when two managers of a process share a registry,
    // as in tests; the second one's counters aren't exported then.
    let _ = metrics.registry().register(Box::new(events.clone()));
    events
}

impl RoutingCheck for ConfigManager {
    fn is_current(&self, ticket: &Ticket) -> bool {
        let view = self.in_force.borrow();
        if view.revision() <= ticket.revision {
            return true;
        }
        let template = view.template(&ticket.account, &ticket.template);
        template.is_some_and(|template| {
            template.adapter == ticket.adapter && template.pool == ticket.pool
        })
    }
}
