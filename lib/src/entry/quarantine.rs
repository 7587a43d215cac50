//! Which requests aren't sent any more, as upstreams ended under them.
//!
//! An entry node knows which of its requests stood at an upstream whose connection broke. The
//! picture of the fleet tells whether the upstream ended: it is held out, or gone without having
//! left. Where its owner is another node, that node's report tells. What reports add up to is
//! [`ledger`](crate::poison::ledger)'s; they spread from node to node with everything else that
//! nodes tell each other. See docs/design/0011-poison-requests.md.

mod share;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::membership::Fleet;
use crate::membership::fleet::State as Usability;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::harmless::HarmlessRequests;
use crate::poison::ledger::{CrashLedger, CrashReport, REPORT_TTL, Suspect, Suspicion};

/// How long after a connection broke an end of its upstream explains that.
///
/// An owner notices within a report's period, and another node hears of it within some exchanges.
const WATCHED: Millis = Millis(5_000);

/// How long a run has to go on behind its first piece until it counts as survived.
pub const HARMLESS_AFTER: Millis = Millis(300);

/// Ends that speak against a request from which on its survival is told to all nodes.
const CLEARED_FROM: usize = 2;

/// Requests lost at one upstream that are remembered while its end may show: several batches.
const MOST_LOST: usize = 256;

/// A request whose connection broke.
#[derive(Debug)]
struct Loss {
    suspect: Suspect,
    since: Millis,
}

/// The last end of an upstream that is known.
#[derive(Debug)]
struct End {
    name: Name,
    since: Millis,
    sight: Sight,
}

/// How this node knows of an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sight {
    /// Another node told of it.
    Heard,
    /// This node's picture of the fleet shows it.
    Seen,
    /// The upstream is back.
    Over,
}

impl End {
    /// Whether the upstream is down, so that what shows its end shows this one.
    fn lasts(&self, now: Millis) -> bool {
        match self.sight {
            Sight::Heard => now.since(self.since) < WATCHED,
            Sight::Seen => true,
            Sight::Over => false,
        }
    }
}

/// A report, as it is told to other nodes.
#[derive(Debug, Clone)]
struct Told {
    upstream: Name,
    end: Name,
    node: Name,
    since: Millis,
    suspects: Vec<Suspect>,
}

#[derive(Debug, Default)]
struct State {
    ledger: CrashLedger,
    harmless: HarmlessRequests,
    lost: HashMap<Name, Vec<Loss>>,
    ends: HashMap<Name, End>,
    told: BTreeMap<Name, Told>,
    /// Requests cleared by a survival, with its time.
    cleared: HashMap<Fingerprint, Millis>,
    /// Ends that this node saw first.
    count: u64,
}

/// What an entry node knows of requests that end upstreams.
#[derive(Debug)]
pub struct Quarantine {
    node: Name,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    news: watch::Sender<u64>,
}

impl Quarantine {
    /// Makes a quarantine in which nothing is known; `node` is unlike that of any other start.
    #[must_use]
    pub fn new(node: Name, clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Self {
        Self {
            node,
            clock,
            metrics,
            state: Mutex::default(),
            news: watch::Sender::new(0),
        }
    }

    /// Changes when there is something to tell other nodes.
    #[must_use]
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Follows the fleet until its sender is gone.
    pub async fn follow(self: Arc<Self>, mut fleet: watch::Receiver<Arc<Fleet>>) {
        loop {
            let current = Arc::clone(&fleet.borrow_and_update());
            self.observe(&current);
            if fleet.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// [`Code::Quarantined`] when upstreams ended under it.
    pub fn check(&self, request: &Fingerprint) -> Result<(), Failure> {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(ends) = state.ledger.blamed_crashes(request, now) else {
            return Ok(());
        };
        if state.harmless.contains(request, now) {
            self.clear(&mut state, request, now);
            return Ok(());
        }
        let detail = format!("{ends} upstreams ended as they began to run this request");
        Err(Failure::new(Code::Quarantined, detail).retry_after(REPORT_TTL))
    }

    /// Takes in that an upstream ran a request without harm.
    pub fn record_harmless_run(&self, request: &Fingerprint) {
        let now = self.clock.now();
        let mut state = self.state();
        state.harmless.insert(request.clone(), now);
        // One more end alone blames nobody, and each survival that is told is bytes at all nodes.
        if state.ledger.crash_count(request, now) >= CLEARED_FROM {
            self.clear(&mut state, request, now);
        }
    }

    /// Takes in that the connection to an upstream broke while a request stood there.
    pub fn lost(
        &self,
        fleet: &Fleet,
        upstream: &Name,
        request: &Fingerprint,
        suspicion: Suspicion,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        // One that leaves in order ends with whatever still runs there.
        let is_leaving =
            usability(fleet, upstream).is_none_or(|usable| usable == Usability::Leaving);
        if is_leaving || state.harmless.contains(request, now) {
            return;
        }
        let suspect = Suspect {
            request: request.clone(),
            suspicion,
        };
        log::info!(
            suspect = request.as_str(),
            upstream = &**upstream,
            sign = suspicion.name();
            "entry: an upstream broke under a request"
        );
        let losses = state.lost.entry(Name::clone(upstream)).or_default();
        losses.retain(|loss| now.since(loss.since) < WATCHED);
        if losses.len() < MOST_LOST {
            losses.push(Loss {
                suspect,
                since: now,
            });
        }
        let end = state.ends.get(upstream);
        if end.is_some_and(|end| end.lasts(now)) {
            self.conclude(&mut state, upstream, now);
        }
    }

    /// Takes in a picture of the fleet: which upstreams ended, and which are back.
    fn observe(&self, fleet: &Fleet) {
        let now = self.clock.now();
        let mut state = self.state();
        for upstream in fleet.upstreams() {
            let name = &upstream.vm.name;
            match upstream.state {
                Usability::Suspended => self.ended(&mut state, name, now),
                Usability::Usable => {
                    if let Some(end) = state.ends.get_mut(name)
                        && end.sight == Sight::Seen
                    {
                        end.sight = Sight::Over;
                    }
                }
                Usability::Leaving => {
                    state.lost.remove(name);
                }
            }
        }
        let is_gone = |name: &&Name| usability(fleet, name).is_none();
        let gone: Vec<Name> = state.lost.keys().filter(is_gone).cloned().collect();
        for name in gone {
            self.ended(&mut state, &name, now);
        }
    }

    /// Takes in that an upstream ended, unless that is known.
    fn ended(&self, state: &mut State, upstream: &Name, now: Millis) {
        let known = state.ends.get_mut(upstream);
        match known.filter(|end| end.lasts(now)) {
            Some(end) => end.sight = Sight::Seen,
            None => self.name_end(state, upstream, now),
        }
        self.conclude(state, upstream, now);
    }

    /// Names an end that this node is the first to see.
    fn name_end(&self, state: &mut State, upstream: &Name, now: Millis) {
        state.count += 1;
        let name = format!("{upstream}/{}/{}", self.node, state.count);
        let end = End {
            name: name.into(),
            since: now,
            sight: Sight::Seen,
        };
        state.ends.insert(Name::clone(upstream), end);
        self.metrics.upstream_ends.inc();
    }

    /// Reports this node's requests at an upstream's last end.
    fn conclude(&self, state: &mut State, upstream: &Name, now: Millis) {
        let Some(end) = state.ends.get(upstream) else {
            return;
        };
        let losses = state.lost.remove(upstream).unwrap_or_default();
        let near = |loss: &Loss| {
            let apart = loss.since.max(end.since).since(loss.since.min(end.since));
            apart < WATCHED
        };
        let suspects = losses.into_iter().filter(near).map(|loss| loss.suspect);
        let told = Told {
            upstream: Name::clone(upstream),
            end: Name::clone(&end.name),
            node: Name::clone(&self.node),
            since: end.since,
            suspects: suspects.collect(),
        };
        self.report(state, told, now);
    }

    /// Takes in a report of this node or another one; true if it was news.
    fn report(&self, state: &mut State, mut told: Told, now: Millis) -> bool {
        let name = Name::from(format!("{}/{}", told.end, told.node));
        let known: Vec<Suspect> = state.ledger.suspects_in(&name).cloned().collect();
        let was_known = state.told.contains_key(&name);
        let suspects = std::mem::take(&mut told.suspects);
        let all = known.iter().cloned().chain(suspects);
        let report = CrashReport::new(Name::clone(&told.end), all);
        if was_known && report.suspects == known {
            return false;
        }
        told.suspects.clone_from(&report.suspects);
        state
            .ledger
            .add_report(Name::clone(&name), report, None, now);
        for Suspect { request, .. } in &told.suspects {
            if let Some(ends) = state.ledger.blamed_crashes(request, now) {
                log::warn!(suspect = request.as_str(), ends = ends; "entry: a request is no longer sent");
            }
        }
        state
            .told
            .retain(|_, one| now.since(one.since) < REPORT_TTL);
        state.told.insert(name, told);
        self.news.send_modify(|version| *version += 1);
        true
    }

    fn clear(&self, state: &mut State, request: &Fingerprint, now: Millis) {
        log::info!(suspect = request.as_str(); "entry: a suspect request survived");
        state.clear(request, now);
        self.news.send_modify(|version| *version += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Takes in that a request survived at `since`: reports from before count no more.
    fn clear(&mut self, request: &Fingerprint, since: Millis) {
        self.cleared.retain(|_, at| since.since(*at) < REPORT_TTL);
        let known = self.cleared.entry(request.clone()).or_default();
        *known = since.max(*known);
        self.ledger.clear(request, None);
        for told in self.told.values_mut() {
            told.suspects.retain(|suspect| suspect.request != *request);
        }
    }
}

fn usability(fleet: &Fleet, name: &str) -> Option<Usability> {
    let mut upstreams = fleet.upstreams();
    let found = upstreams.find(|upstream| *upstream.vm.name == *name);
    found.map(|upstream| upstream.state)
}
