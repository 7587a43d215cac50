//! Keeps a node's configuration: learns it, puts it in force, hands it on.
//!
//! What a node has learned stands behind a lock that is held for a moment and
//! never over an await, because the exchange between nodes reads and fills it
//! in passing. Requests don't touch it: they read the view's watch channel.
//! What must be exact between nodes is decided by the service's compare-and-swap.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{error, info, warn};
use prometheus::{IntCounterVec, Opts};
use serde::Serialize;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::config_store::{ConfigStore, StoredHead, Update};
use super::layout::Layout;
use super::prefetch::{self, PREFETCH_GRACE, Prefetch, UpcomingAdapter};
use super::state::{ConfigState, OfferOutcome, Origin};
use super::view::{self, View};
use crate::clock::{Clock, Millis};
use crate::declaration::convert;
use crate::gossip::Peers;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::owner::Decisions;
use crate::ports::{Store, Watch, Weights};
use crate::request::Ticket;
use crate::schema::declaration::{Difference, Operation};

/// Longest time between two looks at what is due and at the age, in milliseconds.
const MAX_ACTIVATION_WAIT: Millis = Millis(1_000);

/// How the keeper spends calls and time.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long a call to the service may take.
    pub call_timeout: Millis,
    /// Nodes that watch the service, in each region.
    pub watchers_per_region: usize,
    /// Time between a watcher's reads of the head, by which all nodes know that they are fresh.
    pub confirm_interval: Millis,
    /// A node that heard nothing fresh for so long asks the service itself.
    pub max_unconfirmed_age: Millis,
    /// How long a revision waits for the adapters that its templates move to.
    pub prefetch_grace: Millis,
    /// Most bytes of operations handed to a peer in one answer.
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

/// What the keeper is made of.
#[derive(Debug)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// This node's region.
    pub region: Name,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Its watches.
    pub watch: Arc<dyn Watch>,
    /// The weight store's listing, for plans.
    pub weights: Arc<dyn Weights>,
    /// The other nodes, by which it is known who watches.
    pub peers: Arc<dyn Peers>,
    /// Hears of adapters ahead of time.
    pub prefetch: Arc<dyn Prefetch>,
    /// Prefix of this deployment's keys; ends in a slash or is empty.
    pub prefix: String,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Calls and times.
    pub limits: Limits,
    /// Seed of jitter.
    pub seed: u64,
    /// Ends the keeper's tasks.
    pub stop: CancellationToken,
}

/// What operators see of a node's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Revision on which requests are decided.
    pub revision: u64,
    /// Newest revision learned; it is in force as soon as its adapters are fetched.
    pub learned: u64,
    /// Newest revision that anyone spoke of.
    pub heard: u64,
    /// Time since the service confirmed that nothing newer exists; none is never.
    pub confirmed_age_ms: Option<u64>,
    /// Whether this node watches the service for the others.
    pub watcher: bool,
    /// The revision that this node can't read, and why.
    pub refused: Option<String>,
    /// How often something older than what is known was offered.
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

/// Keeps a node's configuration.
#[derive(Debug)]
pub struct ConfigManager {
    pub(super) parts: Dependencies,
    pub(super) config_store: ConfigStore,
    state: Mutex<ConfigState>,
    in_force: watch::Sender<Arc<View>>,
    /// The newest revision learned, for the exchange with peers.
    learned_revision: watch::Sender<u64>,
    /// Wakes the task that puts due revisions in force.
    activation_wakeup: Notify,
    /// Wakes the task that asks the service.
    pub(super) service_wakeup: Notify,
    pub(super) is_watcher: std::sync::atomic::AtomicBool,
    events: IntCounterVec,
}

impl ConfigManager {
    /// Starts the tasks that follow the service and put revisions in force.
    #[must_use]
    pub fn start(parts: Dependencies) -> Arc<Self> {
        let manager = Arc::new(Self::new(parts));
        tokio::spawn(Arc::clone(&manager).run_activation());
        tokio::spawn(super::follower::run(Arc::clone(&manager)));
        manager
    }

    fn new(parts: Dependencies) -> Self {
        let layout = Layout::new(&parts.prefix);
        let config_store =
            ConfigStore::new(Arc::clone(&parts.store), layout, parts.limits.call_timeout);
        let events = event_counter(&parts.metrics);
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
            parts,
        }
    }

    /// Returns the channel of the view in force; revision 0 means that none is known yet.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.in_force.subscribe()
    }

    /// Returns the channel of the newest revision learned, which peers should hear of at once.
    #[must_use]
    pub fn learned_revision(&self) -> watch::Receiver<u64> {
        self.learned_revision.subscribe()
    }

    /// Returns what operators see.
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

    /// Returns the newest revision that this node holds whole.
    #[must_use]
    pub fn learned(&self) -> Arc<View> {
        Arc::clone(self.state().learned())
    }

    pub(super) fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConfigState> {
        // Every change of the state is one assignment after its checks, so a
        // panic elsewhere leaves it whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn count_event(&self, kind: &str) {
        self.events.with_label_values(&[kind]).inc();
    }

    /// Offers operations in order. Returns whether any was new, and whether some are missing.
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

    /// Offers a whole revision. Returns whether it was new.
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

    /// Notes that a revision can't be read.
    pub(super) fn reject(&self, revision: u64, why: view::Error, origin: Origin) {
        let now = self.now();
        let outcome = self.state().reject(revision, why, origin, now);
        self.record_outcome(revision, &outcome);
    }

    /// Notes what the service holds as the newest.
    pub(super) fn confirm_revision(&self, revision: u64, at: Millis) {
        let mut state = self.state();
        let learned = state.learned().revision();
        let first = state.stale_offers() == 0;
        if !state.record_confirmed(revision, at) {
            return;
        }
        drop(state);
        self.count_event("stale");
        if first {
            warn!("config: the service offers revision {revision}; revision {learned} stays");
        }
    }

    /// Reads the service's head and takes over what is newer.
    pub(super) async fn catch_up(&self) -> Result<StoredHead, super::config_store::ReadError> {
        let asked = self.now();
        let head = self.config_store.read_head().await?;
        self.apply_head(&head, asked).await?;
        Ok(head)
    }

    /// Takes over what a head that was read at `asked` speaks of.
    pub(super) async fn apply_head(
        &self,
        head: &StoredHead,
        asked: Millis,
    ) -> Result<(), super::config_store::ReadError> {
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
            if let super::config_store::ReadError::Unreadable(why) = &failure {
                self.reject(revision, why.clone(), Origin::Service);
            }
            return Err(failure);
        }
        self.confirm_revision(revision, asked);
        Ok(())
    }

    async fn fetch_updates(
        &self,
        have: u64,
        head: &StoredHead,
    ) -> Result<(), super::config_store::ReadError> {
        let missing = match self.config_store.read_since(have, &head.head).await? {
            Update::Operations(operations) => {
                let (_, gap) = self.offer(&operations);
                if !gap {
                    return Ok(());
                }
                self.config_store.read_full(&head.head).await?
            }
            whole @ Update::Snapshot(..) => whole,
        };
        if let Update::Snapshot(view, digest) = missing {
            self.count_event("snapshot_service");
            self.install_view(*view, &digest, Origin::Service);
        }
        Ok(())
    }

    /// Decides when a revision is in force, and collects what to fetch first.
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
        let moved = prefetch::changed_adapters(old, new, differences);
        if moved.is_empty() {
            return now;
        }
        upcoming.extend(moved);
        now + self.parts.limits.prefetch_grace
    }

    fn start_prefetch(&self, upcoming: &[UpcomingAdapter]) {
        if !upcoming.is_empty() {
            self.parts.prefetch.prefetch(upcoming);
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
                error!("config: revision {revision} can't be read and the old one stays: {reason}");
            }
        }
    }

    /// Puts in force what is due.
    ///
    /// The channel is written under the state's lock: two threads that wrote it
    /// one after the other could otherwise leave the older view in it.
    fn publish(&self, state: &mut ConfigState) {
        let learned = state.learned().revision();
        self.learned_revision.send_if_modified(|known| {
            let newer = *known < learned;
            *known = learned;
            newer
        });
        if let Some(view) = state.activate_due(self.now()) {
            let metrics = &self.parts.metrics;
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
                self.parts.metrics.revision_age_ms.set(age);
                state
                    .next_activation()
                    .map_or(MAX_ACTIVATION_WAIT, |activate_at| {
                        activate_at.since(now).min(MAX_ACTIVATION_WAIT)
                    })
            };
            tokio::select! {
                () = self.parts.stop.cancelled() => return,
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
    // Registering fails only when a process keeps two configurations on one
    // registry, as a test may; the counters then work unseen.
    let _ = metrics.registry().register(Box::new(events.clone()));
    events
}

impl Decisions for ConfigManager {
    fn holds(&self, ticket: &Ticket) -> bool {
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
