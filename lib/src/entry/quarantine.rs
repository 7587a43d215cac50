//! Quarantine of requests that crash upstreams.
//!
//! An entry node knows which of its requests were at an upstream whose connection broke. Whether
//! the upstream crashed shows in the fleet, in which it is suspended or missing without having
//! left, or in the report of another node, such as its owner. Nodes spread reports by gossip;
//! [`ledger`](crate::poison::ledger) determines from them which requests are blamed. See
//! docs/design/0011-poison-requests.md.

mod gossip_state;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::clock::{Clock, Millis};
use crate::error::Failure;
use crate::membership::Fleet;
use crate::membership::fleet::State as Usability;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::harmless::HarmlessRequests;
use crate::poison::ledger::{CrashLedger, REPORT_TTL};
use crate::poison::report::{CrashReport, Suspect};
use crate::poison::subjects::Subjects;
use crate::poison::trial::{self, Trials};

/// Maximum time between a broken connection and a crash that explains it.
///
/// An owner notices a crash within its report interval, and other nodes learn of it within a few
/// gossip exchanges.
const CRASH_WINDOW: Millis = Millis(5_000);

/// How long a run has to go on after its first chunk until it counts as harmless.
pub const HARMLESS_AFTER: Millis = Millis(300);

/// Number of crashes from which on all nodes are told that a suspect request ran without a crash.
const MIN_CRASHES_TO_CLEAR: usize = 2;

/// Number of suspects that are kept for one upstream while a crash may show: several batches.
const MAX_PENDING_SUSPECTS: usize = 256;

/// A request whose connection broke, at an upstream that may have crashed.
#[derive(Debug)]
struct PendingSuspect {
    suspect: Suspect,
    since: Millis,
}

/// The last known crash of an upstream.
#[derive(Debug)]
struct Crash {
    name: Name,
    since: Millis,
    evidence: Evidence,
}

/// How this node knows of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Another node reported it.
    Reported,
    /// This node's view of the fleet shows it.
    Observed,
    /// The upstream is usable again.
    Recovered,
}

impl Crash {
    /// Whether the upstream may still be down, so that further signs of a crash belong to this one.
    fn may_be_down(&self, now: Millis) -> bool {
        match self.evidence {
            Evidence::Reported => now.since(self.since) < CRASH_WINDOW,
            Evidence::Observed => true,
            Evidence::Recovered => false,
        }
    }
}

/// A node's report of one crash, as it spreads by gossip.
#[derive(Debug, Clone)]
struct GossipReport {
    upstream: Name,
    crash: Name,
    node: Name,
    since: Millis,
    suspects: Vec<Suspect>,
}

#[derive(Debug, Default)]
struct State {
    ledger: CrashLedger,
    harmless: HarmlessRequests,
    pending: HashMap<Name, Vec<PendingSuspect>>,
    crashes: HashMap<Name, Crash>,
    reports: BTreeMap<Name, GossipReport>,
    /// Requests and prompt parts that were cleared because they ran without a crash, with the time
    /// of that run.
    cleared: HashMap<Fingerprint, Millis>,
    /// Starts of nodes that own upstreams.
    nodes: BTreeSet<Name>,
    trials: Trials,
    /// Number of crashes that this node named.
    named_crashes: u64,
}

/// Decides which requests may be sent, and reports this node's requests at crashed upstreams.
#[derive(Debug)]
pub struct Quarantine {
    node: Name,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

impl Quarantine {
    /// Creates a quarantine without any suspects; `node` must be unique to this start of the node.
    #[must_use]
    pub fn new(node: Name, clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Self {
        Self {
            node,
            clock,
            metrics,
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns a channel that changes when there is something to send to other nodes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Observes every change of the fleet until its sender is dropped.
    pub async fn follow(self: Arc<Self>, mut fleet: watch::Receiver<Arc<Fleet>>) {
        loop {
            let current = Arc::clone(&fleet.borrow_and_update());
            self.observe(&current);
            if fleet.changed().await.is_err() {
                return;
            }
        }
    }

    /// Checks that a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// [`Quarantined`](crate::error::Code::Quarantined) if the request is blamed for crashes of
    /// upstreams, and [`PartQuarantined`](crate::error::Code::PartQuarantined) if parts of its
    /// prompt are.
    pub fn check(&self, subjects: &Subjects) -> Result<(), Failure> {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(blame) = state.ledger.blame_of(subjects, now).cloned() else {
            return Ok(());
        };
        let request = &subjects.request;
        if blame.involves(request) && state.harmless.contains(request, now) {
            self.clear(&mut state, request, now);
            return Ok(());
        }
        Err(blame.failure(subjects))
    }

    /// Takes this node's trial of blamed prompt parts in the current turn; false if there is none.
    pub fn take_trial(&self, subjects: &Subjects) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(blame) = state.ledger.blame_of(subjects, now).cloned() else {
            return false;
        };
        let nodes = state.nodes.clone();
        let place = trial::Place::among(&self.node, nodes.iter().map(|node| &**node), &blame);
        let State { ledger, trials, .. } = &mut *state;
        trials.take(ledger, &blame, place, now)
    }

    /// Records that an upstream ran a request without crashing, from `began_at` on.
    pub fn record_harmless_run(&self, subjects: &Subjects, began_at: Millis) {
        let now = self.clock.now();
        let mut state = self.state();
        let request = &subjects.request;
        state.harmless.insert(request.clone(), now);
        state
            .ledger
            .record_sound_run(&subjects.parts, began_at, now);
        // With fewer crashes, one more wouldn't blame the request, and each record that is sent
        // costs traffic at all nodes.
        if state.ledger.crash_count(request, now) >= MIN_CRASHES_TO_CLEAR {
            self.clear(&mut state, request, now);
        }
        self.clear_refuted(&mut state, now);
    }

    /// Clears prompt parts at all nodes of which this node's runs refute several crashes.
    fn clear_refuted(&self, state: &mut State, now: Millis) {
        for part in state.ledger.refuted_parts() {
            self.clear(state, &part, now);
        }
    }

    /// Records that a request's connection to an upstream broke.
    pub fn record_broken_connection(&self, fleet: &Fleet, upstream: &Name, suspect: Suspect) {
        let now = self.clock.now();
        let mut state = self.state();
        // An upstream that shuts down as planned cuts off whatever still runs there.
        let is_leaving =
            usability(fleet, upstream).is_none_or(|usable| usable == Usability::Leaving);
        if is_leaving || state.harmless.contains(&suspect.request, now) {
            return;
        }
        log::info!(
            suspect = suspect.request.as_str(),
            parts = suspect.part_ids().as_str(),
            upstream = &**upstream,
            sign = suspect.suspicion.name();
            "entry: connection to the upstream broke"
        );
        let pending_suspects = state.pending.entry(Name::clone(upstream)).or_default();
        pending_suspects.retain(|suspect| now.since(suspect.since) < CRASH_WINDOW);
        if pending_suspects.len() < MAX_PENDING_SUSPECTS {
            pending_suspects.push(PendingSuspect {
                suspect,
                since: now,
            });
        }
        let crash = state.crashes.get(upstream);
        if crash.is_some_and(|crash| crash.may_be_down(now)) {
            self.report_crash(&mut state, upstream, now);
        }
    }

    /// Updates which upstreams crashed, and which are usable again, from the fleet.
    fn observe(&self, fleet: &Fleet) {
        let now = self.clock.now();
        let mut state = self.state();
        state.nodes = owners(fleet);
        for upstream in fleet.upstreams() {
            let name = &upstream.vm.name;
            match upstream.state {
                Usability::Suspended => self.record_crash(&mut state, name, now),
                Usability::Usable => {
                    if let Some(crash) = state.crashes.get_mut(name)
                        && crash.evidence == Evidence::Observed
                    {
                        crash.evidence = Evidence::Recovered;
                    }
                }
                Usability::Leaving => {
                    state.pending.remove(name);
                }
            }
        }
        let is_gone = |name: &&Name| usability(fleet, name).is_none();
        let gone: Vec<Name> = state.pending.keys().filter(is_gone).cloned().collect();
        for name in gone {
            self.record_crash(&mut state, &name, now);
        }
    }

    /// Records that an upstream crashed, unless that crash is already known.
    fn record_crash(&self, state: &mut State, upstream: &Name, now: Millis) {
        let known = state.crashes.get_mut(upstream);
        match known.filter(|crash| crash.may_be_down(now)) {
            Some(crash) => crash.evidence = Evidence::Observed,
            None => self.name_new_crash(state, upstream, now),
        }
        self.report_crash(state, upstream, now);
    }

    /// Names a crash that no other node has reported yet.
    fn name_new_crash(&self, state: &mut State, upstream: &Name, now: Millis) {
        state.named_crashes += 1;
        let name = format!("{upstream}/{}/{}", self.node, state.named_crashes);
        let crash = Crash {
            name: name.into(),
            since: now,
            evidence: Evidence::Observed,
        };
        state.crashes.insert(Name::clone(upstream), crash);
        self.metrics.upstream_ends.inc();
    }

    /// Reports this node's requests at the upstream's last crash.
    fn report_crash(&self, state: &mut State, upstream: &Name, now: Millis) {
        let Some(crash) = state.crashes.get(upstream) else {
            return;
        };
        let pending_suspects = state.pending.remove(upstream).unwrap_or_default();
        let is_near = |pending: &PendingSuspect| {
            let gap = pending
                .since
                .max(crash.since)
                .since(pending.since.min(crash.since));
            gap < CRASH_WINDOW
        };
        let suspects = pending_suspects
            .into_iter()
            .filter(is_near)
            .map(|pending| pending.suspect);
        let report = GossipReport {
            upstream: Name::clone(upstream),
            crash: Name::clone(&crash.name),
            node: Name::clone(&self.node),
            since: crash.since,
            suspects: suspects.collect(),
        };
        self.add_report(state, report, now);
    }

    /// Adds a report of this or another node; returns whether it contained anything new.
    fn add_report(&self, state: &mut State, mut report: GossipReport, now: Millis) -> bool {
        let name = Name::from(format!("{}/{}", report.crash, report.node));
        let known: Vec<Suspect> = state.ledger.suspects_in(&name).cloned().collect();
        let was_known = state.reports.contains_key(&name);
        let suspects = std::mem::take(&mut report.suspects);
        let all = known.iter().cloned().chain(suspects);
        let merged = CrashReport::new(Name::clone(&report.crash), all);
        if was_known && merged.suspects == known {
            return false;
        }
        report.suspects.clone_from(&merged.suspects);
        state
            .ledger
            .add_report(Name::clone(&name), merged, None, now);
        for blame in state.ledger.blames(now) {
            let mut suspects = report.suspects.iter();
            if suspects.any(|suspect| suspect.has(&blame.subject)) {
                log::warn!(
                    suspect = blame.subject.as_str(),
                    ends = blame.crashes;
                    "entry: request is no longer sent"
                );
            }
        }
        state
            .reports
            .retain(|_, one| now.since(one.since) < REPORT_TTL);
        state.reports.insert(name, report);
        self.clear_refuted(state, now);
        self.changes.send_modify(|version| *version += 1);
        true
    }

    fn clear(&self, state: &mut State, request: &Fingerprint, now: Millis) {
        log::info!(suspect = request.as_str(); "entry: suspect ran without a crash");
        state.clear(request, now);
        self.changes.send_modify(|version| *version += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Clears a request that ran without a crash at `since`, so that earlier reports don't count.
    fn clear(&mut self, request: &Fingerprint, since: Millis) {
        self.cleared.retain(|_, at| since.since(*at) < REPORT_TTL);
        let known = self.cleared.entry(request.clone()).or_default();
        *known = since.max(*known);
        self.ledger.clear(request, None);
        for report in self.reports.values_mut() {
            report
                .suspects
                .retain(|suspect| suspect.request != *request);
            for suspect in &mut report.suspects {
                suspect.parts.retain(|part| part != request);
            }
        }
    }
}

fn usability(fleet: &Fleet, name: &str) -> Option<Usability> {
    let mut upstreams = fleet.upstreams();
    let found = upstreams.find(|upstream| *upstream.vm.name == *name);
    found.map(|upstream| upstream.state)
}

/// Returns the starts of the nodes that own upstreams.
fn owners(fleet: &Fleet) -> BTreeSet<Name> {
    let upstreams = fleet.upstreams();
    let owners = upstreams.filter_map(|upstream| fleet.owner(&upstream.vm.name));
    let names = owners.map(|owner| format!("{}@{}", owner.node, owner.incarnation));
    names.map(Name::from).collect()
}
