//! State machine of one node's ownership: its lease, witnesses and claims.
//!
//! The machine does no I/O and reads no clock: it emits calls as [`Action`]s and
//! receives their results together with the current time. The keeper drives it in
//! a node, the fuzz harness under virtual time. See docs/design/0004-ownership.md.

mod call;
mod claims;
mod cleanup;
mod drain;
mod full_read;
mod handover;
mod lease;
mod support;
mod takeover;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::{Clock, Millis};
use crate::membership::guard::{Guard, Guards};
use crate::membership::limits::Limits;
use crate::membership::node::{Identity, Keys};
use crate::membership::table::MembershipTable;
use crate::membership::witness::{Vote, VoteRequest, Witness};
use crate::membership::{UpstreamOwnership, placement};
use crate::name::Name;

pub use call::{Action, Call, CallResult};
use call::{PendingCall, Purpose};
use claims::ClaimOperation;
use drain::DrainState;
use full_read::FullRead;
use lease::{RegistrationState, Session};
use support::SupportRound;
use takeover::Withdrawal;

/// Delay after the start before stale keys of former nodes are removed.
const FIRST_CLEANUP_DELAY: Millis = Millis::from_secs(30);

/// An upstream that this node owns and serves.
#[derive(Debug)]
struct OwnedUpstream {
    token: u64,
    // End of ownership in milliseconds, shared with the [`UpstreamOwnership`]s given out.
    until: Arc<AtomicU64>,
}

/// Lease, witnesses and claims of one node, as a state machine without I/O.
#[derive(Debug)]
pub struct Machine {
    identity: Identity,
    limits: Limits,
    guards: Guards,
    keys: Keys,
    rng: Pcg64Mcg,
    table: MembershipTable,
    witness: Witness,
    actions: Vec<Action>,
    pending: BTreeMap<u64, PendingCall>,
    last_call_id: u64,

    session: Option<Session>,
    registration: RegistrationState,
    // A write of a registration with different witnesses may still take effect.
    registration_uncertain: bool,
    next_registration: Millis,
    // Whether the node may own upstreams, since when, and until when.
    eligible: bool,
    eligible_since: Millis,
    owned_until: Millis,
    last_service_contact: Option<Millis>,

    support_round: Option<SupportRound>,
    last_round: u64,
    next_support_round: Millis,
    // Until when this node may count on support from its witnesses.
    support_until: Millis,

    full_read: FullRead,

    // Upstreams that some node should own, with the region of each.
    upstream_regions: BTreeMap<Name, Name>,
    owned: BTreeMap<Name, OwnedUpstream>,
    operations: BTreeMap<Name, ClaimOperation>,
    // Withdrawals by the former owner's name and incarnation.
    withdrawals: BTreeMap<(Name, u64), Withdrawal>,
    next_claim_check: Millis,
    next_rebalance: Millis,
    next_handover: Millis,
    next_cleanup: Millis,
    // Digest of the live nodes, and when it last changed.
    nodes_digest: u64,
    nodes_changed_at: Millis,
    drain: Option<DrainState>,
}

impl Machine {
    /// Creates the machine of a node that just started.
    #[must_use]
    pub fn new(identity: Identity, limits: Limits, prefix: &str, seed: u64, now: Millis) -> Self {
        Self::with_guards(identity, limits, prefix, seed, now, Guards::all())
    }

    /// Creates a machine that may have one guard disabled, for the fuzz harness.
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
        let witness = Witness::with_guards(now, limits.witness_silence(), guards);
        Self {
            identity,
            limits,
            guards,
            table: MembershipTable::new(keys.clone(), guards),
            keys,
            rng: Pcg64Mcg::seed_from_u64(seed),
            witness,
            actions: Vec::new(),
            pending: BTreeMap::new(),
            last_call_id: 0,
            session: None,
            registration: RegistrationState::Idle,
            registration_uncertain: false,
            next_registration: now,
            eligible: false,
            eligible_since: now,
            owned_until: Millis::ZERO,
            last_service_contact: None,
            support_round: None,
            last_round: 0,
            next_support_round: now,
            support_until: Millis::ZERO,
            full_read: FullRead {
                in_flight: false,
                requested: true,
                next_at: now,
                not_before: now,
                last_size_bytes: 0,
            },
            upstream_regions: BTreeMap::new(),
            owned: BTreeMap::new(),
            operations: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            next_claim_check: now,
            next_rebalance: now,
            next_handover: now,
            next_cleanup: now + FIRST_CLEANUP_DELAY,
            nodes_digest: 0,
            nodes_changed_at: now,
            drain: None,
        }
    }

    /// Returns the actions that became due and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Performs everything that is due by now; called several times a second.
    pub fn tick(&mut self, now: Millis) {
        self.check_expiry(now);
        self.maintain_lease(now);
        self.maintain_support(now);
        self.maintain_full_read(now);
        self.maintain_claims(now);
        self.advance_drain(now);
    }

    /// Handles the result of the call numbered `call`.
    pub fn handle_result(&mut self, now: Millis, call: u64, result: CallResult) {
        self.check_expiry(now);
        let Some(PendingCall { purpose, sent_at }) = self.pending.remove(&call) else {
            return;
        };
        self.record_service_contact(now, &result);
        match (purpose, result) {
            (Purpose::Grant, CallResult::Granted(result)) => {
                self.handle_grant_result(now, sent_at, &result);
            }
            (Purpose::Register, CallResult::Committed(result)) => {
                self.handle_register_result(now, &result);
            }
            (Purpose::VerifyRegistration, CallResult::Read(result)) => {
                self.handle_registration_read(now, result);
            }
            (Purpose::Renew(lease), CallResult::Renewed(result)) => {
                self.handle_renew_result(now, sent_at, lease, &result);
            }
            (Purpose::List, CallResult::Listed(result)) => {
                self.handle_list_result(now, sent_at, result);
            }
            (Purpose::Claim(upstream), CallResult::Committed(result)) => {
                self.handle_claim_result(now, &upstream, &result);
            }
            (Purpose::VerifyClaim(upstream), CallResult::Read(result)) => {
                self.handle_claim_read(now, &upstream, result);
            }
            (Purpose::Release(upstream), CallResult::Released) => {
                self.handle_released(now, &upstream);
            }
            (Purpose::Support { round, witness }, CallResult::Vote(vote)) => {
                self.handle_support_vote(now, round, witness, vote);
            }
            (
                Purpose::Withdraw {
                    owner,
                    round,
                    witness,
                },
                CallResult::Vote(vote),
            ) => {
                self.handle_withdrawal_vote(now, &owner, round, witness, vote);
            }
            (Purpose::Revoke, _) => self.handle_revoked(),
            _ => {}
        }
        self.tick(now);
    }

    /// Applies a key change reported by a watch of the key-value service.
    pub fn apply_watch_event(&mut self, now: Millis, event: &crate::ports::Event) {
        self.last_service_contact = Some(now);
        if !self.table.apply_event(event) {
            self.record_event("stale_read");
            return;
        }
        self.reconcile(now);
        self.next_claim_check = now;
        self.tick(now);
    }

    /// Sets the upstreams that should have an owner, with the region of each.
    pub fn set_upstreams(&mut self, now: Millis, regions: BTreeMap<Name, Name>) {
        self.upstream_regions = regions;
        self.next_claim_check = now;
        self.reconcile(now);
    }

    /// Votes as a witness on a peer's request.
    pub fn vote(&mut self, now: Millis, ask: &VoteRequest) -> Vote {
        self.witness.vote(now, ask)
    }

    /// Starts the node's drain: hands over all upstreams within `limit`, then ends the lease.
    pub fn drain(&mut self, now: Millis, limit: Millis) {
        if self.drain.is_none() {
            self.drain = Some(DrainState {
                deadline: now + limit,
                ending_lease: false,
                done: false,
            });
            self.record_event("draining");
            self.tick(now);
        }
    }

    /// Returns whether the drain is complete.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drain.is_some_and(|drain| drain.done)
    }

    fn is_ending_lease(&self) -> bool {
        self.drain.is_some_and(|drain| drain.ending_lease)
    }

    /// Returns the known nodes and claims.
    #[must_use]
    pub fn table(&self) -> &MembershipTable {
        &self.table
    }

    /// Merges an update from a peer into the table, and returns whether the table changed.
    ///
    /// See [`MembershipTable::merge_claim`] and [`MembershipTable::merge_record`].
    pub fn merge_from_peer(
        &mut self,
        now: Millis,
        merge: impl FnOnce(&mut MembershipTable) -> bool,
    ) -> bool {
        let changed = merge(&mut self.table);
        if changed {
            self.reconcile(now);
            self.next_claim_check = now;
        }
        changed
    }

    /// Returns how long ago the key-value service last answered this node.
    #[must_use]
    pub fn service_age(&self, now: Millis) -> Option<Millis> {
        self.last_service_contact.map(|at| now.since(at))
    }

    /// Returns whether this node may own upstreams now.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.eligible
    }

    /// Returns when the node's ownership ends unless it is extended.
    #[must_use]
    pub fn owned_until(&self) -> Millis {
        self.owned_until
    }

    /// Returns whether ownership is extended by witnesses beyond the lease, as in an outage of
    /// the key-value service.
    #[must_use]
    pub fn relies_on_witnesses(&self) -> bool {
        let lease_until = self.session.as_ref().map(|session| session.lease_until);
        self.eligible && lease_until.is_none_or(|until| until < self.owned_until)
    }

    /// Returns the lease's TTL, if the node has a lease.
    #[must_use]
    pub fn lease_ttl(&self) -> Option<Millis> {
        self.session.as_ref().map(|session| session.ttl)
    }

    /// Iterates over the upstreams that this node owns, with their fencing tokens.
    pub fn owned_tokens(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.owned.iter().map(|(name, owned)| (name, owned.token))
    }

    /// Iterates over the upstreams that this node owns, with their [`UpstreamOwnership`].
    pub fn ownerships<'a>(
        &'a self,
        clock: &'a Arc<dyn Clock>,
    ) -> impl Iterator<Item = (&'a Name, UpstreamOwnership)> + 'a {
        self.owned.iter().map(|(name, owned)| {
            let until = Arc::clone(&owned.until);
            (
                name,
                UpstreamOwnership::new(owned.token, until, Arc::clone(clock)),
            )
        })
    }

    /// Returns whether this node should watch the membership keys rather than only read them
    /// periodically.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        placement::duty_rank(&self.identity.name, self.table.live_records())
            < self.limits.max_watchers
    }

    /// Requests a full read of the membership keys, for example after a watch broke.
    pub fn request_full_read(&mut self) {
        self.full_read.requested = true;
    }

    fn start_call(&mut self, now: Millis, purpose: Purpose, call: Call) {
        self.last_call_id += 1;
        self.pending.insert(
            self.last_call_id,
            PendingCall {
                purpose,
                sent_at: now,
            },
        );
        self.actions.push(Action::Call(self.last_call_id, call));
    }

    fn record_event(&mut self, event: &'static str) {
        self.actions.push(Action::RecordEvent(event));
    }

    // Returns a duration within a quarter of the given one, so that nodes don't act in lockstep.
    fn jitter(&mut self, duration: Millis) -> Millis {
        let quarter = duration.0 / 4;
        Millis(duration.0 - quarter + self.rng.random_range(0..=2 * quarter))
    }

    fn record_service_contact(&mut self, now: Millis, result: &CallResult) {
        let reached = match result {
            CallResult::Granted(result) => result.is_ok(),
            CallResult::Renewed(result) => result.is_ok(),
            CallResult::Committed(result) => result.is_ok(),
            CallResult::Read(result) => result.is_ok(),
            CallResult::Listed(result) => result.is_ok(),
            CallResult::Revoked | CallResult::Vote(_) | CallResult::Released => false,
        };
        if reached {
            self.last_service_contact = Some(now);
        }
    }

    // Once a node's ownership has expired, successors may have taken over. Extending it
    // afterwards would create a second owner, so the expiry is final until the claims
    // have been read again under a live lease.
    fn check_expiry(&mut self, now: Millis) {
        if !self.eligible || now < self.owned_until {
            return;
        }
        if !self.guards.is_enabled(Guard::LapseFinal) {
            return;
        }
        self.eligible = false;
        self.support_round = None;
        if let Some(session) = &mut self.session {
            session.confirm_after = now;
            session.claims_confirmed = false;
        }
        self.full_read.requested = true;
        self.record_event("lapsed");
        let lost: Vec<Name> = self.owned.keys().cloned().collect();
        for upstream in lost {
            self.relinquish(now, &upstream);
        }
    }

    fn extend_ownership(&mut self, until: Millis) {
        if !self.eligible || until <= self.owned_until {
            return;
        }
        self.owned_until = until;
        for owned in self.owned.values() {
            owned.until.store(until.0, Ordering::Release);
        }
    }
}
