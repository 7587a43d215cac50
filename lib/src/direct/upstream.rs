//! One start of an upstream, as this node sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use super::admit::Permit;
use super::dialect::{LoadedModels, UpstreamEntry};
use super::metadata::base_model_of;
use super::presence::{EntryRevision, Presence, Stage};
use crate::clock::Millis;
use crate::name::Name;
use crate::ports::link::{Bounds, Link};

/// How long connecting to an upstream may take.
///
/// Within a deployment a connection takes a few milliseconds; the system sends
/// a lost opening packet again only after a second.
const CONNECT: Millis = Millis(400);

/// How long an unused connection is kept when the upstream names no span.
const IDLE: Millis = Millis(4_000);

/// First pause in use after a failure.
const SUSPENSION: Millis = Millis(300);

/// The longest pause in use.
const LONGEST_SUSPENSION: Millis = Millis(4_000);

/// Failures, less successes, from which on an upstream is paused.
const TOLERATED: u32 = 2;

/// Weight of one pause in an upstream's mean: some ten count, a third of a second of its streams.
const PACE_WEIGHT: f64 = 0.1;

/// Time after which a mean pause that nothing renews counts half.
///
/// An upstream that is passed over shows no pauses; what was seen there must not keep it away.
const PACE_HALVES: f64 = 2_000.0;

/// Age at which news of other nodes' requests counts half, in milliseconds.
///
/// Short answers take a second or two: after as long, none of the requests that the news
/// counted is left, and how many came since nobody told.
const NEWS_HALVES: f64 = 700.0;

/// The mean pause between events, as this node's streams see it.
#[derive(Debug, Default)]
struct Pace {
    mean: f64,
    at: Millis,
}

/// What is known of adapters, with the order count that it holds for.
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
    until: Millis,
    /// Whether no connection could be made the last time.
    unreachable: bool,
}

/// One start of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Identity of this start.
    pub incarnation: Name,
    /// The pool that it serves.
    pub pool: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// The address as text, which ranks it among others for each adapter.
    pub place: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Requests that it processes at once.
    pub slots: u32,
    /// When this start began, as it says of itself; 0 where it doesn't tell.
    pub started_at_ms: u64,
    /// When this node first saw it in the list.
    pub first_seen: Millis,
    /// Connections to it.
    pub link: Link,
    /// Whether it takes new work, which each choice asks of all upstreams.
    takes_work: AtomicBool,
    presence: Mutex<Presence>,
    running: AtomicU32,
    elsewhere: AtomicU32,
    served: AtomicU32,
    heard: AtomicU64,
    using: Mutex<HashMap<Name, u32>>,
    holdings: Mutex<Holdings>,
    health: Mutex<Health>,
    pace: Mutex<Pace>,
}

/// Counts a request at an upstream until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    upstream: Arc<Upstream>,
    /// The adapter of a request that the owner doesn't count.
    uncounted: Option<Name>,
    /// The owner counts the request as long as this is kept.
    permit: Option<Permit>,
}

impl InFlightRequest {
    /// Takes in that the upstream has read the request's prompt.
    pub fn prefill_done(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.prefill_done();
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(adapter) = &self.uncounted {
            self.upstream.leave(adapter);
        }
    }
}

impl Upstream {
    /// Makes an upstream from its entry in the list.
    #[must_use]
    pub fn new(
        listed: &UpstreamEntry,
        written: EntryRevision,
        connections: usize,
        now: Millis,
    ) -> Self {
        let bounds = Bounds {
            connect: CONNECT,
            idle: IDLE,
            open: connections,
        };
        let upstream = Self {
            incarnation: Name::clone(&listed.incarnation),
            pool: Name::clone(&listed.pool),
            address: listed.address,
            place: listed.address.to_string().into(),
            failure_domain: Name::clone(&listed.failure_domain),
            slots: listed.slots.max(1),
            started_at_ms: listed.held.started_at_ms,
            first_seen: now,
            link: Link::new(listed.address, bounds),
            takes_work: AtomicBool::new(listed.ready),
            presence: Mutex::new(Presence::new(written, listed.ready)),
            running: AtomicU32::new(0),
            elsewhere: AtomicU32::new(0),
            served: AtomicU32::new(0),
            heard: AtomicU64::new(now.0),
            using: Mutex::default(),
            holdings: Mutex::default(),
            health: Mutex::default(),
            pace: Mutex::default(),
        };
        upstream.update_held(&listed.held);
        upstream
    }

    /// Takes in an entry of the list, unless a newer one is known.
    pub fn update(&self, listed: &UpstreamEntry, written: EntryRevision) {
        if self.note(|presence| presence.apply_entry(written, listed.ready)) {
            self.update_held(&listed.held);
        }
    }

    /// Changes what is known of its presence.
    fn note<T>(&self, change: impl FnOnce(&mut Presence) -> T) -> T {
        let mut presence = self.presence();
        let before = presence.stage();
        let result = change(&mut presence);
        let stage = presence.stage();
        self.takes_work.store(stage.takes_work(), Ordering::Relaxed);
        // Whoever removes it says why.
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

    /// Takes in what the upstream holds after its `sequence`th order.
    ///
    /// Older news than is known is left aside. An engine may start again under its name: its
    /// count begins anew then, so that news of the former start would look newer for as many
    /// orders as that one took, and requests would go to adapters that are gone. The time of
    /// the start goes first therefore.
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

    /// Takes in that an adapter is present.
    pub fn set_adapter(&self, adapter: &Name, version: u64) {
        self.holdings()
            .adapters
            .insert(Name::clone(adapter), version);
    }

    /// Takes in that an adapter is absent, or there in another version.
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

    /// Whether the upstream takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.takes_work.load(Ordering::Relaxed)
    }

    /// Returns how it stands.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.presence().stage()
    }

    /// Returns where its newest entry stands in the service's history.
    #[must_use]
    pub fn entry_revision(&self) -> EntryRevision {
        self.presence().entry_revision()
    }

    /// Stops new work, as the upstream is no longer listed.
    pub fn retire(&self) {
        self.note(Presence::mark_gone);
        self.link.clear();
    }

    /// Whether the upstream vanished from the list, or started again, without saying that it leaves.
    #[must_use]
    pub fn left_unannounced(&self) -> bool {
        self.presence().left_unannounced()
    }

    /// Returns a name for this start, unlike that of any other start of the same upstream.
    #[must_use]
    pub fn start_id(&self) -> Name {
        format!("{}@{}", self.incarnation, self.started_at_ms).into()
    }

    /// Takes in that the upstream is missing from the list, and may not have left.
    pub fn mark_missing(&self) {
        self.note(Presence::mark_missing);
    }

    /// Whether the upstream is missing from the list, and may not have left.
    #[must_use]
    pub fn is_missing(&self) -> bool {
        self.presence().is_missing()
    }

    /// Counts a request that this node sends.
    #[must_use]
    pub fn start_request(
        self: &Arc<Self>,
        adapter: Option<&Name>,
        permit: Option<Permit>,
    ) -> InFlightRequest {
        self.running.fetch_add(1, Ordering::Relaxed);
        let uncounted = adapter.filter(|_| permit.is_none());
        if let Some(adapter) = uncounted {
            *self.using().entry(Name::clone(adapter)).or_default() += 1;
        }
        InFlightRequest {
            upstream: Arc::clone(self),
            uncounted: uncounted.cloned(),
            permit,
        }
    }

    /// Returns the adapters that requests of this node use which the owner doesn't count.
    #[must_use]
    pub fn uncounted_adapters(&self) -> Vec<Name> {
        self.using().keys().cloned().collect()
    }

    fn leave(&self, adapter: &Name) {
        let mut using = self.using();
        if let Some(count) = using.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                using.remove(adapter);
            }
        }
    }

    fn using(&self) -> std::sync::MutexGuard<'_, HashMap<Name, u32>> {
        self.using.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests of this node.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Requests of all nodes, as last heard.
    #[must_use]
    pub fn total_running(&self) -> u32 {
        self.running() + self.elsewhere.load(Ordering::Relaxed)
    }

    /// Returns what part of its places other nodes were last heard to use.
    #[must_use]
    pub fn remote_utilization(&self) -> f64 {
        f64::from(self.elsewhere.load(Ordering::Relaxed)) / f64::from(self.slots)
    }

    /// Returns how far what was heard of other nodes' requests still tells of now, from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn remote_load_confidence(&self, now: Millis) -> f64 {
        (-(now.since(self.remote_load_at()).0 as f64) / NEWS_HALVES).exp2()
    }

    /// Returns when the load of other nodes was last heard of.
    #[must_use]
    pub fn remote_load_at(&self) -> Millis {
        Millis(self.heard.load(Ordering::Relaxed))
    }

    /// Takes in how many requests other nodes have there.
    pub fn record_remote_load(&self, elsewhere: u32, now: Millis) {
        self.heard.store(now.0, Ordering::Relaxed);
        self.elsewhere.store(elsewhere, Ordering::Relaxed);
    }

    /// Takes in a pause between two events of a stream.
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn record_pause(&self, pause: Millis, now: Millis) {
        let mut pace = self.pace();
        pace.mean += PACE_WEIGHT * (pause.0 as f64 - pace.mean);
        pace.at = now;
    }

    /// Returns the mean pause between events in milliseconds, less the older it is.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "some seconds")]
    pub fn mean_pause(&self, now: Millis) -> f64 {
        let pace = self.pace();
        pace.mean * (-(now.since(pace.at).0 as f64) / PACE_HALVES).exp2()
    }

    fn pace(&self) -> std::sync::MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a request failed at the upstream's fault.
    pub fn record_failure(&self, now: Millis) {
        let mut health = self.health();
        health.failures += 1;
        if health.failures >= TOLERATED {
            let doublings = (health.failures - TOLERATED).min(8);
            let span = Millis(SUSPENSION.0 << doublings).min(LONGEST_SUSPENSION);
            health.until = now + span;
        }
    }

    /// Takes in that no connection could be made: one such failure says enough.
    pub fn record_unreachable(&self, now: Millis) {
        {
            let mut health = self.health();
            health.failures += 1;
            health.unreachable = true;
        }
        self.record_failure(now);
    }

    /// Takes in that a request went well.
    pub fn record_success(&self) {
        self.served.fetch_add(1, Ordering::Relaxed);
        let mut health = self.health();
        health.failures = health.failures.saturating_sub(1);
        health.unreachable = false;
    }

    /// Returns how many requests went well.
    #[must_use]
    pub fn successes(&self) -> u32 {
        self.served.load(Ordering::Relaxed)
    }

    /// Whether nothing listened there a moment ago.
    #[must_use]
    pub fn is_unreachable(&self, now: Millis) -> bool {
        let health = self.health();
        health.unreachable && health.until > now
    }

    /// Whether the upstream is left alone for a while.
    #[must_use]
    pub fn is_suspended(&self, now: Millis) -> bool {
        self.health().until > now
    }

    fn holdings(&self) -> std::sync::MutexGuard<'_, Holdings> {
        self.holdings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
