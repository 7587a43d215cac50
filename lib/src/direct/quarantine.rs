//! Quarantine of requests that crash upstreams.
//!
//! A request that crashes every upstream that starts to run it is repeated by its caller, or comes
//! again as another request with the same prompt part, at any node. When an upstream crashes, each
//! node reports which of its own requests were there. Reports are records in the key-value service,
//! which every node follows, including one that has just started;
//! [`ledger`](crate::poison::ledger) determines from them what is blamed. As long as no upstream
//! crashes, nothing is written. See docs/design/0011-poison-requests.md and
//! docs/design/0018-subjects-of-suspicion.md.

mod refute;
mod trial;
mod unconfirmed;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::outbox::Outbox;
use super::upstream::Upstream;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::error::Failure;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::harmless::HarmlessRequests;
use crate::poison::ledger::REPORT_TTL;
use crate::poison::report::{Suspect, Suspicion};
use crate::poison::subjects::Subjects;
use crate::poison::trial::Trials;
use crate::ports::connection_pool::ProbeResult;

/// Key prefix of crash reports; the upstream's start and the reporting node follow it.
pub const CRASH_REPORT_PREFIX: &str = "end/";

/// Name prefix of unconfirmed crashes, which nodes send each other; start and node follow it.
pub const UNCONFIRMED_CRASH_PREFIX: &str = "broke/";

/// Key prefix of requests that ran without a crash; the fingerprint follows it.
pub const HARMLESS_PREFIX: &str = "survived/";

/// Time within which this node sees all its connections to a crashed upstream break.
///
/// They break within milliseconds of each other; a slow VM takes a little longer to read them.
const CONNECTION_BREAK_WINDOW: Millis = Millis(30);

/// How long the upstream list is watched when the upstream refuses no connections.
///
/// What accepts them may be a new start at the same address. The list shows a crash within three
/// heartbeats.
const LIST_WATCH_TIME: Millis = Millis(5_000);

/// Interval at which the upstream list is checked during that time.
const LIST_POLL_INTERVAL: Millis = Millis(250);

/// Maximum time for which an attempt waits to learn whether its upstream crashed.
///
/// A refused connection shows a crash within milliseconds. An attempt that doesn't wait could take
/// an already reported request to one more upstream.
const MAX_CRASH_CHECK_WAIT: Millis = Millis(150);

/// Number of suspects that are kept for one upstream while it is checked: several batches.
const MAX_SUSPECTS_UNDER_CHECK: usize = 256;

/// Number of crashes from which on all nodes are told that a suspect request ran without a crash.
const MIN_CRASHES_TO_CLEAR: usize = 2;

/// How long a run has to go on after its first event until it counts as harmless.
///
/// Engines that a request crashes do so within some steps of its first token, and an event can
/// hold a single token.
pub const HARMLESS_AFTER: Millis = Millis(300);

/// The other nodes, as witnesses of an upstream's crash.
#[async_trait]
pub trait OtherNodes: fmt::Debug + Send + Sync {
    /// Whether another node can connect to an upstream now.
    async fn reach(&self, upstream: &Upstream) -> Reach;
}

/// What other nodes say of their connections to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// One of them can connect.
    Reached,
    /// Those that answered can't, or there have never been any.
    Unreached,
    /// None of them answered.
    Unknown,
}

/// Decides which requests may be sent, and reports this node's requests at crashed upstreams.
#[derive(Debug)]
pub struct Quarantine {
    view: Arc<View>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    node: Name,
    outbox: Arc<Outbox>,
    others: Arc<dyn OtherNodes>,
    harmless: Mutex<HarmlessRequests>,
    /// Prompt parts that this node is about to clear at all nodes.
    refuting: Mutex<HashSet<Fingerprint>>,
    trials: Mutex<Trials>,
    /// This node's requests at upstreams that may have crashed, by the upstream's start.
    under_check: Mutex<HashMap<Name, Vec<Suspect>>>,
    /// Notified when the check of an upstream has finished.
    check_finished: Notify,
}

impl Quarantine {
    /// Creates a quarantine without any suspects.
    #[must_use]
    pub fn new(
        view: Arc<View>,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        node: Name,
        outbox: Arc<Outbox>,
        others: Arc<dyn OtherNodes>,
    ) -> Self {
        Self {
            view,
            clock,
            metrics,
            node,
            outbox,
            others,
            harmless: Mutex::default(),
            refuting: Mutex::default(),
            trials: Mutex::default(),
            under_check: Mutex::default(),
            check_finished: Notify::new(),
        }
    }

    /// Whether no request is suspected, so that fingerprints needn't be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let state = self.view.state();
        state.ledger.is_empty() && state.unconfirmed_crashes.is_empty()
    }

    /// Checks that a request may stay where it was sent.
    ///
    /// # Errors
    ///
    /// [`Quarantined`](crate::error::Code::Quarantined) if the request is blamed for crashes of
    /// upstreams, and [`PartQuarantined`](crate::error::Code::PartQuarantined) if parts of its
    /// prompt are.
    pub fn check(&self, subjects: &Subjects) -> Result<(), Failure> {
        let now = self.clock.now();
        let blame = self.view.state().ledger.blame_of(subjects, now).cloned();
        let Some(blame) = blame else {
            return Ok(());
        };
        let request = &subjects.request;
        if blame.involves(request) && self.harmless().contains(request, now) {
            self.clear(request);
            return Ok(());
        }
        Err(blame.failure(subjects))
    }

    /// Waits until it is known whether a request that is already reported crashed one more
    /// upstream.
    pub async fn wait_for_crash_check(&self, subjects: &Subjects) {
        let waiting = async {
            loop {
                let check_finished = self.check_finished.notified();
                let mut check_finished = std::pin::pin!(check_finished);
                check_finished.as_mut().enable();
                if !self.has_reported_subject_under_check(subjects) {
                    return;
                }
                check_finished.await;
            }
        };
        let _ = tokio::time::timeout(MAX_CRASH_CHECK_WAIT.duration(), waiting).await;
    }

    /// Records that a request's connection to an upstream broke.
    ///
    /// A broken connection alone proves little: the network can cut it, or the response can get
    /// lost. Only a crash of the upstream counts, which a background task checks, so that the
    /// request doesn't wait for it.
    pub fn record_broken_connection(self: &Arc<Self>, upstream: &Arc<Upstream>, suspect: Suspect) {
        let is_harmless = || {
            let now = self.clock.now();
            self.harmless().contains(&suspect.request, now)
        };
        // An upstream that shuts down as planned cuts off whatever still runs there.
        if !upstream.is_ready() || is_harmless() {
            return;
        }
        let start = upstream.start_id();
        if suspect.suspicion == Suspicion::Begun {
            self.add_unconfirmed(&start, suspect.clone());
        }
        let is_first = {
            let mut under_check = self.under_check();
            let suspects = under_check.entry(start).or_default();
            let is_first = suspects.is_empty();
            if suspects.len() < MAX_SUSPECTS_UNDER_CHECK {
                suspects.push(suspect);
            }
            is_first
        };
        if is_first {
            let quarantine = Arc::clone(self);
            let upstream = Arc::clone(upstream);
            tokio::spawn(async move { quarantine.check_upstream(&upstream).await });
        }
    }

    /// Waits until all checks have finished and all reports are written.
    ///
    /// What a node saw of a crash is lost if it exits before that.
    pub async fn flush_reports(&self) {
        loop {
            let check_finished = self.check_finished.notified();
            let mut check_finished = std::pin::pin!(check_finished);
            check_finished.as_mut().enable();
            if self.under_check().is_empty() {
                break;
            }
            check_finished.await;
        }
        self.outbox.flush().await;
    }

    /// Records that an upstream ran a request without crashing, from `began_at` on.
    pub fn record_harmless_run(self: &Arc<Self>, subjects: &Subjects, began_at: Millis) {
        let now = self.clock.now();
        let request = &subjects.request;
        self.harmless().insert(request.clone(), now);
        let (crash_count, is_refuting) = {
            let ledger = &mut self.view.state().ledger;
            ledger.record_sound_run(&subjects.parts, began_at, now);
            let crash_count = ledger.crash_count(request, now);
            (crash_count, ledger.has_refutations())
        };
        // With fewer crashes, one more wouldn't blame the request, and each record is a write.
        if crash_count >= MIN_CRASHES_TO_CLEAR {
            self.clear(request);
        }
        if is_refuting {
            self.tell_refutations();
        }
    }

    /// Checks whether an upstream crashed, and reports this node's requests there if it did.
    async fn check_upstream(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        tokio::time::sleep(CONNECTION_BREAK_WINDOW.duration()).await;
        let has_crashed = self.has_crashed(upstream).await;
        let suspects = self.under_check().remove(&upstream.start_id());
        if let (true, Some(suspects)) = (has_crashed, suspects) {
            self.report_crash(upstream, &self.node, suspects);
        }
        self.remove_unconfirmed(&upstream.start_id(), &self.node);
        self.metrics.upstream_checks.inc();
        self.check_finished.notify_waiters();
    }

    /// Whether an upstream crashed: it refuses connections, or the upstream list shows it.
    ///
    /// A VM that lost power or its network refuses no connection, and a new start that already
    /// listens at the address accepts it; only the list shows the crash then. Time in which the
    /// key-value service is silent or this node is suspended doesn't count, since the list can't
    /// show a crash in it.
    async fn has_crashed(self: &Arc<Self>, upstream: &Upstream) -> bool {
        let is_refused = upstream.connection_pool.probe().await == ProbeResult::Refused;
        // The network may refuse connections in the upstream's place, but hardly for all nodes. One
        // that refuses this node everything hides what the others see, too.
        if is_refused && self.others.reach(upstream).await == Reach::Unreached {
            return true;
        }
        self.broadcast_unconfirmed(&upstream.start_id());
        self.list_shows_crash(upstream).await
    }

    /// Watches the upstream list for [`LIST_WATCH_TIME`], and returns whether it shows a crash.
    async fn list_shows_crash(&self, upstream: &Upstream) -> bool {
        let started_at = self.clock.now();
        let until = started_at + LIST_WATCH_TIME;
        let mut served = None;
        while upstream.is_ready() && (self.view.as_of() < until || upstream.is_missing()) {
            tokio::time::sleep(LIST_POLL_INTERVAL.duration()).await;
            let now = self.clock.now();
            if now < until {
                continue;
            }
            // An upstream that serves a request this late hadn't crashed; a later crash has another
            // cause.
            let is_alive =
                upstream.successes() != *served.get_or_insert_with(|| upstream.successes());
            if is_alive || now.since(started_at) >= REPORT_TTL {
                return false;
            }
        }
        upstream.left_unannounced()
    }

    /// Reports a node's requests at a crashed upstream, in place of that node if it isn't this one.
    fn report_crash(&self, upstream: &Upstream, node: &str, suspects: Vec<Suspect>) {
        self.metrics.upstream_ends.inc();
        for suspect in &suspects {
            self.log_suspect(upstream, suspect);
        }
        let start = upstream.start_id();
        let name = Name::from(format!("{CRASH_REPORT_PREFIX}{start}/{node}"));
        let now = self.clock.now();
        let mut state = self.view.state();
        let ledger = &mut state.ledger;
        // Some connections break only after others were reported, so the new report includes them.
        let report = ledger.add_own_suspects(&name, start, suspects, now);
        self.outbox.enqueue(&name, &report);
        for blame in ledger.blames(now) {
            let mut suspects = report.suspects.iter();
            if suspects.any(|suspect| suspect.has(&blame.subject)) {
                log::warn!(
                    suspect = blame.subject.as_str(),
                    ends = blame.crashes,
                    together = blame.description().as_str();
                    "quarantine: no longer sent"
                );
            }
        }
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn log_suspect(&self, upstream: &Upstream, suspect: &Suspect) {
        let sign = suspect.suspicion.name();
        log::info!(
            suspect = suspect.request.as_str(),
            parts = suspect.part_ids().as_str(),
            upstream = &*upstream.incarnation,
            sign = sign;
            "quarantine: an upstream ended"
        );
        self.metrics.crash_suspects.with_label_values(&[sign]).inc();
    }

    /// Clears a request and tells all other nodes.
    fn clear(&self, request: &Fingerprint) {
        log::info!(suspect = request.as_str(); "quarantine: request ran without a crash");
        self.view.state().ledger.clear(request, None);
        self.outbox
            .enqueue(&format!("{HARMLESS_PREFIX}{request}"), request);
    }

    /// Whether an upstream under check had a request with a subject that is reported already.
    fn has_reported_subject_under_check(&self, subjects: &Subjects) -> bool {
        let now = self.clock.now();
        let mut common = {
            let under_check = self.under_check();
            let is_under_check = |subject: &&Fingerprint| {
                let mut suspects = under_check.values().flatten();
                suspects.any(|suspect| suspect.has(subject))
            };
            let common: Vec<&Fingerprint> = subjects.iter().filter(is_under_check).collect();
            common.into_iter()
        };
        let ledger = &mut self.view.state().ledger;
        common.any(|subject| ledger.crash_count(subject, now) > 0)
    }

    /// Returns this node's place among all nodes in an order that depends on `text`.
    ///
    /// What one node has to do is shared out by it without an agreement.
    fn rank(&self, text: &str) -> usize {
        let state = self.view.state();
        let hash = |node: &str| xxh3_64(format!("{text}/{node}").as_bytes());
        let own = hash(&self.node);
        state.nodes.keys().filter(|node| hash(node) < own).count()
    }

    fn under_check(&self) -> MutexGuard<'_, HashMap<Name, Vec<Suspect>>> {
        self.under_check
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn harmless(&self) -> MutexGuard<'_, HarmlessRequests> {
        self.harmless.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
