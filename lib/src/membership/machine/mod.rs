//! Ownership as one node sees it: its lease, its witnesses, its claims.
//!
//! The machine does no I/O and reads no clock: calls go out as [`Action`]s, and
//! their answers come back with the time. The keeper drives it in a node, the
//! fuzz harness under virtual time. See docs/design/0004-ownership.md.

mod call;
mod claims;
mod handover;
mod lease;
mod reading;
mod stop;
mod support;
mod takeover;
mod tidy;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::{Clock, Millis};
use crate::membership::Hold;
use crate::membership::guard::{Guard, Guards};
use crate::membership::limits::Limits;
use crate::membership::node::{Identity, Keys};
use crate::membership::placement;
use crate::membership::table::Table;
use crate::membership::witness::{Vote, VoteRequest, Witness};
use crate::name::Name;

pub use call::{Action, Answer, Call};
use call::{Pending, Purpose};
use claims::Busy;
use lease::{Joining, Session};
use reading::Reading;
use stop::Stopping;
use support::Round;
use takeover::Withdrawal;

/// Wait after the start before leftovers of ended nodes are removed.
const FIRST_TIDY: Millis = Millis::from_secs(30);

/// An upstream that this node owns and serves.
#[derive(Debug)]
struct Held {
    token: u64,
    until: Arc<AtomicU64>,
}

/// Ownership as one node sees it.
#[derive(Debug)]
pub struct Machine {
    identity: Identity,
    limits: Limits,
    guards: Guards,
    keys: Keys,
    rng: Pcg64Mcg,
    table: Table,
    witness: Witness,
    actions: Vec<Action>,
    pending: BTreeMap<u64, Pending>,
    calls: u64,

    session: Option<Session>,
    joining: Joining,
    // A registration with other witnesses may yet take effect.
    doubtful: bool,
    next_join: Millis,
    // Whether the node may own upstreams, and until when.
    eligible: bool,
    eligible_since: Millis,
    until: Millis,
    last_service: Option<Millis>,

    round: Option<Round>,
    rounds: u64,
    next_round: Millis,
    support_until: Millis,

    reading: Reading,

    regions: BTreeMap<Name, Name>,
    holds: BTreeMap<Name, Held>,
    busy: BTreeMap<Name, Busy>,
    withdrawals: BTreeMap<(Name, u64), Withdrawal>,
    next_plan: Millis,
    next_rebalance: Millis,
    next_handover: Millis,
    next_tidy: Millis,
    nodes_digest: u64,
    nodes_since: Millis,
    stopping: Option<Stopping>,
}

impl Machine {
    /// Makes the machine of a node that just started.
    #[must_use]
    pub fn new(identity: Identity, limits: Limits, prefix: &str, seed: u64, now: Millis) -> Self {
        Self::with_guards(identity, limits, prefix, seed, now, Guards::all())
    }

    /// Makes a machine that may lack a guard, for the fuzz harness.
    #[must_use]
    pub fn with_guards(
        identity: Identity,
        limits: Limits,
        prefix: &str,
        seed: u64,
        now: Millis,
        guards: Guards,
    ) -> Self {
        let keys = Keys::new(prefix);
        let witness = Witness::with_guards(now, limits.quiet(), guards);
        Self {
            identity,
            limits,
            guards,
            table: Table::new(keys.clone(), guards),
            keys,
            rng: Pcg64Mcg::seed_from_u64(seed),
            witness,
            actions: Vec::new(),
            pending: BTreeMap::new(),
            calls: 0,
            session: None,
            joining: Joining::Idle,
            doubtful: false,
            next_join: now,
            eligible: false,
            eligible_since: now,
            until: Millis::ZERO,
            last_service: None,
            round: None,
            rounds: 0,
            next_round: now,
            support_until: Millis::ZERO,
            reading: Reading {
                under_way: false,
                wanted: true,
                next: now,
                after: now,
                bytes: 0,
            },
            regions: BTreeMap::new(),
            holds: BTreeMap::new(),
            busy: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            next_plan: now,
            next_rebalance: now,
            next_handover: now,
            next_tidy: now + FIRST_TIDY,
            nodes_digest: 0,
            nodes_since: now,
            stopping: None,
        }
    }

    /// Takes the actions that became due.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Does what time brings; called several times a second.
    pub fn tick(&mut self, now: Millis) {
        self.check_lapse(now);
        self.tend_lease(now);
        self.tend_support(now);
        self.tend_reading(now);
        self.tend_claims(now);
        self.tend_stop(now);
    }

    /// Takes the answer of a call.
    pub fn answer(&mut self, now: Millis, call: u64, answer: Answer) {
        self.check_lapse(now);
        let Some(Pending { purpose, sent }) = self.pending.remove(&call) else {
            return;
        };
        self.note_service(now, &answer);
        match (purpose, answer) {
            (Purpose::Grant, Answer::Granted(result)) => self.granted(now, sent, &result),
            (Purpose::Register, Answer::Committed(result)) => self.registered(now, &result),
            (Purpose::SettleRegister, Answer::Read(result)) => self.settled(now, result),
            (Purpose::Renew(lease), Answer::Renewed(result)) => {
                self.renewed(now, sent, lease, &result);
            }
            (Purpose::List, Answer::Listed(result)) => self.listed(now, sent, result),
            (Purpose::Claim(upstream), Answer::Committed(result)) => {
                self.claimed(now, &upstream, &result);
            }
            (Purpose::SettleClaim(upstream), Answer::Read(result)) => {
                self.claim_read(now, &upstream, result);
            }
            (Purpose::Release(upstream), Answer::Released) => self.released(now, &upstream),
            (Purpose::Support { round, witness }, Answer::Voted(vote)) => {
                self.supported(now, round, witness, vote);
            }
            (
                Purpose::Withdraw {
                    start,
                    round,
                    witness,
                },
                Answer::Voted(vote),
            ) => {
                self.withdrawn(now, &start, round, witness, vote);
            }
            (Purpose::Revoke, _) => self.revoked(),
            _ => {}
        }
        self.tick(now);
    }

    /// Takes a change of a key that a watch saw.
    pub fn watched(&mut self, now: Millis, event: &crate::ports::Event) {
        self.last_service = Some(now);
        if !self.table.see(event) {
            self.note("stale_read");
            return;
        }
        self.reconcile(now);
        self.next_plan = now;
        self.tick(now);
    }

    /// Takes the upstreams that should be owned, with the region of each.
    pub fn upstreams(&mut self, now: Millis, regions: BTreeMap<Name, Name>) {
        self.regions = regions;
        self.next_plan = now;
        self.reconcile(now);
    }

    /// Answers a peer that asks this node as a witness.
    pub fn vote(&mut self, now: Millis, ask: &VoteRequest) -> Vote {
        self.witness.vote(now, ask)
    }

    /// Begins the node's planned stop: hands over everything within `limit`.
    pub fn drain(&mut self, now: Millis, limit: Millis) {
        if self.stopping.is_none() {
            self.stopping = Some(Stopping {
                until: now + limit,
                ending: false,
                done: false,
            });
            self.note("draining");
            self.tick(now);
        }
    }

    /// Whether the planned stop is done.
    #[must_use]
    pub fn drained(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.done)
    }

    fn ending(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.ending)
    }

    /// Returns what is known of nodes and claims.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Lets news from a peer in; see [`Table::learn_claim`] and [`Table::learn_record`].
    pub fn learn(&mut self, now: Millis, learn: impl FnOnce(&mut Table) -> bool) -> bool {
        let news = learn(&mut self.table);
        if news {
            self.reconcile(now);
            self.next_plan = now;
        }
        news
    }

    /// Returns how long ago the service last answered this node.
    #[must_use]
    pub fn service_age(&self, now: Millis) -> Option<Millis> {
        self.last_service.map(|at| now.since(at))
    }

    /// Whether this node may own upstreams now.
    #[must_use]
    pub fn eligible(&self) -> bool {
        self.eligible
    }

    /// Returns when the node's ownership ends unless it is extended.
    #[must_use]
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether ownership rests on witnesses since the service can't be reached.
    #[must_use]
    pub fn outage(&self) -> bool {
        let service = self.session.as_ref().map(|session| session.service_until);
        self.eligible && service.is_none_or(|until| until < self.until)
    }

    /// Returns the lease's span, if the node has one.
    #[must_use]
    pub fn span(&self) -> Option<Millis> {
        self.session.as_ref().map(|session| session.span)
    }

    /// Lists the upstreams that this node serves, with their fencing tokens.
    pub fn held(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.holds.iter().map(|(name, held)| (name, held.token))
    }

    /// Lists the holds of the upstreams that this node serves.
    pub fn holds<'a>(
        &'a self,
        clock: &'a Arc<dyn Clock>,
    ) -> impl Iterator<Item = (&'a Name, Hold)> + 'a {
        self.holds.iter().map(|(name, held)| {
            let until = Arc::clone(&held.until);
            (name, Hold::new(held.token, until, Arc::clone(clock)))
        })
    }

    /// Whether this node should watch the service's keys instead of reading them now and then.
    #[must_use]
    pub fn watcher(&self) -> bool {
        placement::rank(&self.identity.name, self.table.live()) < self.limits.watchers
    }

    /// Reads all keys at the next chance, as when a watch broke.
    pub fn read_again(&mut self) {
        self.reading.wanted = true;
    }

    fn call(&mut self, now: Millis, purpose: Purpose, call: Call) {
        self.calls += 1;
        self.pending
            .insert(self.calls, Pending { purpose, sent: now });
        self.actions.push(Action::Call(self.calls, call));
    }

    fn note(&mut self, event: &'static str) {
        self.actions.push(Action::Note(event));
    }

    // Spreads what many nodes would else do at the same time.
    fn jitter(&mut self, span: Millis) -> Millis {
        let quarter = span.0 / 4;
        Millis(span.0 - quarter + self.rng.random_range(0..=2 * quarter))
    }

    fn note_service(&mut self, now: Millis, answer: &Answer) {
        let reached = match answer {
            Answer::Granted(result) => result.is_ok(),
            Answer::Renewed(result) => result.is_ok(),
            Answer::Committed(result) => result.is_ok(),
            Answer::Read(result) => result.is_ok(),
            Answer::Listed(result) => result.is_ok(),
            Answer::Revoked | Answer::Voted(_) | Answer::Released => false,
        };
        if reached {
            self.last_service = Some(now);
        }
    }

    // A node whose bound has passed may have successors. Extending the bound
    // after the fact would make it an owner beside them, so the lapse is final
    // until the claims have been read again under a lease that lives.
    fn check_lapse(&mut self, now: Millis) {
        if !self.eligible || now < self.until {
            return;
        }
        if !self.guards.is_enabled(Guard::LapseFinal) {
            return;
        }
        self.eligible = false;
        self.round = None;
        if let Some(session) = &mut self.session {
            session.checked_after = now;
            session.checked = false;
        }
        self.reading.wanted = true;
        self.note("lapsed");
        let lost: Vec<Name> = self.holds.keys().cloned().collect();
        for upstream in lost {
            self.relinquish(now, &upstream);
        }
    }

    fn extend(&mut self, until: Millis) {
        if !self.eligible || until <= self.until {
            return;
        }
        self.until = until;
        for held in self.holds.values() {
            held.until.store(until.0, Ordering::Release);
        }
    }
}
