//! Whether a request may be sent to an upstream, and what speaks against it.
//!
//! A request that ends every upstream that begins to run it comes again, at any node. Each node
//! reports which of its own requests stood at an upstream that ended; reports are records in the
//! key-value service, which every node follows, also one that has just started. What they add up
//! to is [`ledger`](crate::poison::ledger)'s. On a day on which no upstream ends, nothing is
//! written. See docs/design/0011-poison-requests.md.

mod cases;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::outbox::Outbox;
use super::upstream::Upstream;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::harmless::HarmlessRequests;
use crate::poison::ledger::{CrashReport, REPORT_TTL, Suspect, Suspicion};
use crate::ports::link::Listening;

/// Prefix of reports of upstreams that ended; the upstream's start and the node stand behind it.
pub const CRASH_REPORT_PREFIX: &str = "end/";

/// Prefix of open cases, which nodes tell each other; start and node stand behind it.
pub const UNCONFIRMED_CRASH_PREFIX: &str = "broke/";

/// Prefix of requests that survived, with the fingerprint behind it.
pub const HARMLESS_PREFIX: &str = "survived/";

/// Time in which all connections to an upstream that ended are seen to break.
///
/// They break within milliseconds of each other; on a slow VM it takes some more to read them.
const GATHER: Millis = Millis(30);

/// How long an upstream whose connections broke is watched for a sign that it ended.
///
/// One that accepts connections may be a new start at the same address. The list tells within
/// three heartbeats.
const WATCHED: Millis = Millis(5_000);

/// Pause between looks at the list meanwhile.
const LOOK: Millis = Millis(250);

/// The longest that an attempt waits to learn whether its upstream ended.
///
/// A refused connection tells within milliseconds. An attempt that goes on sooner would reach one
/// more upstream with a request that others report already.
const EXAMINED: Millis = Millis(150);

/// Requests at one upstream that are remembered while it is examined: several batches.
const MOST_EXAMINED: usize = 256;

/// Ends that speak against a request from which on its survival is told to all nodes.
const CLEARED_FROM: usize = 2;

/// How long a run has to go on behind its first event until it counts as survived.
///
/// Engines that end under a request do so within some steps of its first token, and an event can
/// hold just one token.
pub const HARMLESS_AFTER: Millis = Millis(300);

/// What is known of requests that end upstreams.
#[derive(Debug)]
pub struct Quarantine {
    view: Arc<View>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    node: Name,
    outbox: Arc<Outbox>,
    harmless: Mutex<HarmlessRequests>,
    /// This node's requests at upstreams that may have ended, by the upstream's start.
    examined: Mutex<HashMap<Name, Vec<Suspect>>>,
    /// Wakes whoever waits for the end of an examination.
    concluded: Notify,
}

impl Quarantine {
    /// Makes a quarantine in which nothing is known.
    #[must_use]
    pub fn new(
        view: Arc<View>,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        node: Name,
        outbox: Arc<Outbox>,
    ) -> Self {
        Self {
            view,
            clock,
            metrics,
            node,
            outbox,
            harmless: Mutex::default(),
            examined: Mutex::default(),
            concluded: Notify::new(),
        }
    }

    /// Whether anything is known against any request, so that fingerprints are worth making.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let state = self.view.state();
        state.ledger.is_empty() && state.unconfirmed_crashes.is_empty()
    }

    /// Whether a request may stay where it was sent.
    ///
    /// # Errors
    ///
    /// [`Code::Quarantined`] when upstreams ended under it.
    pub fn check(&self, request: &Fingerprint) -> Result<(), Failure> {
        let now = self.clock.now();
        let ends = self.view.state().ledger.blamed_crashes(request, now);
        let Some(ends) = ends else {
            return Ok(());
        };
        if self.harmless().contains(request, now) {
            self.clear(request);
            return Ok(());
        }
        let detail = format!("{ends} upstreams ended as they began to run this request");
        Err(Failure::new(Code::Quarantined, detail).retry_after(REPORT_TTL))
    }

    /// Waits until it is known whether a request that others report ended one more upstream.
    pub async fn wait_for_crash_check(&self, request: &Fingerprint) {
        let waiting = async {
            loop {
                let concluded = self.concluded.notified();
                let mut concluded = std::pin::pin!(concluded);
                concluded.as_mut().enable();
                if !self.is_examined(request) || self.ends(request) == 0 {
                    return;
                }
                concluded.await;
            }
        };
        let _ = tokio::time::timeout(EXAMINED.duration(), waiting).await;
    }

    /// Takes in that a request's connection to an upstream broke while it stood there.
    ///
    /// A broken connection alone says little: it can be cut, or the answer lost. What counts is
    /// the end of the upstream, which is looked for without keeping the request waiting.
    pub fn record_broken_connection(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        request: Fingerprint,
        suspicion: Suspicion,
    ) {
        // One that leaves in order ends with whatever still runs there.
        if !upstream.is_ready() || self.harmless().contains(&request, self.clock.now()) {
            return;
        }
        let suspect = Suspect { request, suspicion };
        let start = upstream.start_id();
        if suspicion == Suspicion::Begun {
            self.open_case(&start, suspect.clone());
        }
        let is_first = {
            let mut examined = self.examining();
            let suspects = examined.entry(start).or_default();
            let is_first = suspects.is_empty();
            if suspects.len() < MOST_EXAMINED {
                suspects.push(suspect);
            }
            is_first
        };
        if is_first {
            let quarantine = Arc::clone(self);
            let upstream = Arc::clone(upstream);
            tokio::spawn(async move { quarantine.examine(&upstream).await });
        }
    }

    /// Waits until nothing is examined any more and all reports are written.
    ///
    /// A node that ends before takes what it saw of an upstream's end with it.
    pub async fn flush_reports(&self) {
        loop {
            let concluded = self.concluded.notified();
            let mut concluded = std::pin::pin!(concluded);
            concluded.as_mut().enable();
            if self.examining().is_empty() {
                break;
            }
            concluded.await;
        }
        self.outbox.flush().await;
    }

    /// Takes in that an upstream ran a request without harm.
    pub fn record_harmless_run(&self, request: &Fingerprint) {
        self.harmless().insert(request.clone(), self.clock.now());
        // One more end alone blames nobody, and each record is a write.
        if self.ends(request) >= CLEARED_FROM {
            self.clear(request);
        }
    }

    /// Reports this node's requests at an upstream if it has ended.
    async fn examine(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        tokio::time::sleep(GATHER.duration()).await;
        let has_ended = self.has_ended(upstream).await;
        let suspects = self.examining().remove(&upstream.start_id());
        if let (true, Some(suspects)) = (has_ended, suspects) {
            self.report(upstream, &self.node, suspects);
        }
        self.close_case(&upstream.start_id(), &self.node);
        self.concluded.notify_waiters();
    }

    /// Looks whether an upstream has ended: nobody listens there, or the list says so.
    ///
    /// A VM that lost power or is cut off refuses nothing, and where a new start listens at the
    /// address already a connection is accepted. The list tells then. While the key-value service
    /// is silent, or this node suspended, it tells nothing: only time of which it is known counts.
    async fn has_ended(self: &Arc<Self>, upstream: &Upstream) -> bool {
        if upstream.link.probe().await == Listening::Refused {
            return true;
        }
        self.tell_case(&upstream.start_id());
        self.list_shows_end(upstream).await
    }

    async fn list_shows_end(&self, upstream: &Upstream) -> bool {
        let began = self.clock.now();
        let until = began + WATCHED;
        let mut served = None;
        while upstream.is_ready() && (self.view.as_of() < until || upstream.is_missing()) {
            tokio::time::sleep(LOOK.duration()).await;
            let now = self.clock.now();
            if now < until {
                continue;
            }
            // What answers so much later had not ended, and what ends it then is something else.
            let is_alive =
                upstream.successes() != *served.get_or_insert_with(|| upstream.successes());
            if is_alive || now.since(began) >= REPORT_TTL {
                return false;
            }
        }
        upstream.left_unannounced()
    }

    /// Reports requests of a node at an upstream that ended, whoever saw that.
    fn report(&self, upstream: &Upstream, node: &str, suspects: Vec<Suspect>) {
        self.metrics.upstream_ends.inc();
        for Suspect { request, suspicion } in &suspects {
            log::info!(
                suspect = request.as_str(),
                upstream = &*upstream.incarnation,
                sign = suspicion.name();
                "quarantine: an upstream ended"
            );
        }
        let start = upstream.start_id();
        let name = Name::from(format!("{CRASH_REPORT_PREFIX}{start}/{node}"));
        let now = self.clock.now();
        let mut state = self.view.state();
        let ledger = &mut state.ledger;
        // Some connections are seen to break only after others were reported. In the place of the
        // first report, a second one would clear whom that one names.
        let known: Vec<Suspect> = ledger.suspects_in(&name).cloned().collect();
        let report = CrashReport::new(start, known.into_iter().chain(suspects));
        self.outbox.enqueue(&name, &report);
        ledger.add_report(name, report.clone(), None, now);
        for Suspect { request, .. } in &report.suspects {
            if let Some(ends) = ledger.blamed_crashes(request, now) {
                log::warn!(suspect = request.as_str(), ends = ends; "quarantine: no longer sent");
            }
        }
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn clear(&self, request: &Fingerprint) {
        log::info!(suspect = request.as_str(); "quarantine: survived");
        self.view.state().ledger.clear(request, None);
        self.outbox
            .enqueue(&format!("{HARMLESS_PREFIX}{request}"), request);
    }

    fn ends(&self, request: &Fingerprint) -> usize {
        let now = self.clock.now();
        self.view.state().ledger.crash_count(request, now)
    }

    fn is_examined(&self, request: &Fingerprint) -> bool {
        let examined = self.examining();
        let mut suspects = examined.values().flatten();
        suspects.any(|suspect| suspect.request == *request)
    }

    fn examining(&self) -> MutexGuard<'_, HashMap<Name, Vec<Suspect>>> {
        self.examined.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn harmless(&self) -> MutexGuard<'_, HarmlessRequests> {
        self.harmless.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
