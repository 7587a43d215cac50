//! The engines that this node owns, and whether it may send them orders.
//!
//! Ownership ends by the node's own clock. [`claim`](super::claim) acquires and renews it at the
//! key-value service; the log lines of both start with `right:`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::registration::{EXTENSION_LIMIT, Served};
use super::view::{State, View};
use crate::clock::{Clock, Millis};

/// An engine that this node owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OwnedEngine {
    /// The fencing token: the revision of the claim.
    pub(super) token: u64,
    /// From when on this node may send orders.
    pub(super) orders_from: Millis,
    /// Set if the claim may follow one of another node that this node hasn't seen.
    pub(super) unseen: Option<UnseenClaims>,
    /// Set if the previous owner may go on by the votes of nodes that don't know this one.
    pub(super) predecessor: Option<Predecessor>,
}

/// A previous owner that may still extend its term, though its claim is gone.
///
/// It asks all nodes that it knows for their votes, and may not know this one. See
/// docs/design/0022-evidence-for-orders.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Predecessor {
    /// When this node saw that the claim was gone.
    pub(super) claim_gone_at: Millis,
    /// From when on it can't have extended its term, once that is known.
    pub(super) outvoted_at: Option<Millis>,
    /// Time from its last extension until this node may send orders.
    pub(super) wait: Millis,
    /// When it can't send orders any more by what an earlier start of this node knew.
    pub(super) ends_at: Millis,
}

/// Claims of other nodes that may have been made and lost between what a node knew when it made its
/// own claim, and that claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UnseenClaims {
    /// The revision up to which this node had seen all changes.
    pub(super) after: u64,
    /// When this node had made its own claim.
    pub(super) before: Millis,
    /// From when on no owner by such a claim can send orders any more.
    pub(super) over_at: Millis,
}

/// A claim whose write got no response, from the first attempt on.
///
/// The default is that of a claim of which nothing is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct UnconfirmedClaim {
    /// The revision up to which this node had seen all changes before.
    pub(super) known_revision: u64,
    /// When it was sent.
    pub(super) sent_at: Millis,
}

/// The engines that this node owns; checked immediately before each order is sent.
///
/// Apart from a running term, an order needs a claim that is still in the view: the platform can
/// delete a node's keys while its lease goes on, and no renewal shows that.
#[derive(Debug)]
pub struct Ownership {
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    /// When this start of the node began, in milliseconds of `clock`.
    pub(super) started_at: Millis,
    /// When the current ownership term ends, in milliseconds of `clock`.
    pub(super) valid_until: AtomicU64,
    /// Whether this node has had a lease since its start.
    pub(super) has_had_lease: AtomicBool,
    /// Since when the service has this node's record without a break, in milliseconds of `clock`;
    /// zero if any other node has known it from the beginning.
    pub(super) recorded_since: AtomicU64,
    /// Since when no call of the claimer has failed, in milliseconds of `clock`; the greatest number
    /// after a failure.
    pub(super) served_since: AtomicU64,
    /// When this node last changed the register, in milliseconds of `clock`.
    pub(super) register_written_at: AtomicU64,
    /// Whether the ownership term was still running when the claimer last checked.
    pub(super) was_valid: AtomicBool,
    /// When this node last handed an engine over, in milliseconds of `clock`.
    last_handover: AtomicU64,
    /// Whether this node stops as planned: it releases its claims and makes no new ones.
    pub(super) has_left: AtomicBool,
    owned: Mutex<HashMap<SocketAddr, OwnedEngine>>,
    /// Claims whose write got no response, and may be carried out late.
    unconfirmed: Mutex<HashMap<SocketAddr, UnconfirmedClaim>>,
    last_order: Mutex<HashMap<SocketAddr, Millis>>,
    /// When this start, before its first lease, last voted for the owner of an engine.
    last_vote: Mutex<HashMap<SocketAddr, Millis>>,
}

impl Ownership {
    /// Creates the ownership of no engine, whose term has ended.
    ///
    /// `clock` must include time during which the VM is suspended, so that a resumed node sees
    /// that its term has ended.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, view: Arc<View>) -> Self {
        Self {
            started_at: clock.now(),
            clock,
            view,
            valid_until: AtomicU64::new(0),
            has_had_lease: AtomicBool::new(false),
            recorded_since: AtomicU64::new(u64::MAX),
            served_since: AtomicU64::new(u64::MAX),
            register_written_at: AtomicU64::new(0),
            was_valid: AtomicBool::new(false),
            last_handover: AtomicU64::new(0),
            has_left: AtomicBool::new(false),
            owned: Mutex::default(),
            unconfirmed: Mutex::default(),
            last_order: Mutex::default(),
            last_vote: Mutex::default(),
        }
    }

    /// Returns the fencing token if this node may send the engine an order now.
    #[must_use]
    pub fn fencing_token(&self, address: SocketAddr) -> Option<u64> {
        let now = self.clock.now();
        if now.0 >= self.valid_until.load(Ordering::Relaxed) {
            return None;
        }
        let owned = *self.owned().get(&address)?;
        let state = self.view.state();
        let claim = state.claims.get(&address);
        let is_claim_current = claim.is_some_and(|entry| entry.revision == owned.token);
        let excludes = |unseen| self.excludes(unseen, owned.token, address, &state);
        let is_due = owned.orders_from <= now && owned.unseen.is_none_or(excludes);
        let is_alone = owned
            .predecessor
            .is_none_or(|predecessor| self.is_over(predecessor, now));
        (is_claim_current && is_due && is_alone).then_some(owned.token)
    }

    /// Whether a previous owner can't send orders any more, and its last one is long enough ago.
    fn is_over(&self, predecessor: Predecessor, now: Millis) -> bool {
        let outvoted_at = predecessor.outvoted_at.unwrap_or(Millis::MAX);
        now >= self.end_of(predecessor).min(outvoted_at + predecessor.wait)
    }

    /// Returns when a previous owner can't send orders any more, whatever this node finds out.
    pub(super) fn end_of(&self, predecessor: Predecessor) -> Millis {
        // An owner with a view that is recent enough to extend its term knows this node by then.
        let recorded_since = Millis(self.recorded_since.load(Ordering::Relaxed));
        let known_at = recorded_since + EXTENSION_LIMIT;
        predecessor.ends_at.min(known_at + predecessor.wait)
    }

    /// Records whether the service has carried a call of the claimer out.
    pub(super) fn record_service_call(&self, is_done: bool) {
        let since = &self.served_since;
        if !is_done {
            since.store(u64::MAX, Ordering::Relaxed);
        } else if since.load(Ordering::Relaxed) == u64::MAX {
            since.store(self.clock.now().0, Ordering::Relaxed);
        }
    }

    /// Looks for evidence that previous owners have ended, and drops those that have.
    pub(super) fn check_predecessors(&self, node: &str) {
        let now = self.clock.now();
        let served = Served {
            since: Millis(self.served_since.load(Ordering::Relaxed)),
            until: self.view.as_of(),
        };
        let mut state = self.view.state();
        for (address, engine) in self.owned().iter_mut() {
            let Some(predecessor) = &mut engine.predecessor else {
                continue;
            };
            let mut claim_gone_at = predecessor.claim_gone_at;
            if let Some(unseen) = engine.unseen
                && !has_seen_all(unseen, engine.token, *address, &state)
            {
                claim_gone_at = claim_gone_at.max(unseen.before);
            }
            let outvoted_at = state.register.exclusive_since(node, claim_gone_at, served);
            predecessor.outvoted_at = predecessor.outvoted_at.or(outvoted_at);
            if self.is_over(*predecessor, now) {
                engine.predecessor = None;
                // If the claim vanishes while this node's right goes on, it is taken back at once.
                let claim = state.claims.get_mut(address);
                if let Some(entry) = claim.filter(|entry| entry.revision == engine.token) {
                    entry.claim.exclusive_from = None;
                }
            }
        }
    }

    /// Whether a previous owner of an engine that this node owns may still send orders.
    pub(super) fn has_predecessor(&self, owned: OwnedEngine) -> bool {
        let now = self.clock.now();
        owned
            .predecessor
            .is_some_and(|predecessor| !self.is_over(predecessor, now))
    }

    /// Whether no node can still send orders by a claim that this node hadn't seen when it made its
    /// own, with `token`.
    fn excludes(
        &self,
        unseen: UnseenClaims,
        token: u64,
        address: SocketAddr,
        state: &State,
    ) -> bool {
        self.clock.now() >= unseen.over_at || has_seen_all(unseen, token, address, state)
    }

    /// Whether the ownership term is still running, by this node's clock.
    #[must_use]
    pub(super) fn is_term_running(&self) -> bool {
        self.clock.now().0 < self.valid_until.load(Ordering::Relaxed)
    }

    /// Drops engines whose claims in the view are another node's or gone.
    pub(super) fn drop_lost_claims(&self) {
        let state = self.view.state();
        self.owned().retain(|address, owned| {
            state
                .claims
                .get(address)
                .is_some_and(|entry| entry.revision == owned.token)
        });
    }

    /// Records that an order is sent to an engine now.
    pub fn record_order(&self, address: SocketAddr) {
        let now = self.clock.now();
        self.last_orders().insert(address, now);
    }

    /// Records that an earlier start of this node may have sent an order until this one began.
    pub(super) fn record_earlier_orders(&self, address: SocketAddr) {
        self.last_orders().entry(address).or_insert(self.started_at);
    }

    fn last_orders(&self) -> MutexGuard<'_, HashMap<SocketAddr, Millis>> {
        self.last_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the last order to an engine, or none if there was none.
    ///
    /// Orders of an earlier start of this node count where this start has taken its claim back.
    #[must_use]
    pub fn time_since_order(&self, address: SocketAddr) -> Option<Millis> {
        let now = self.clock.now();
        self.last_orders().get(&address).map(|&at| now.since(at))
    }

    /// Records that this node owns an engine, and may send it orders from `orders_from` on.
    pub fn acquire(&self, address: SocketAddr, token: u64, orders_from: Millis) {
        self.acquire_engine(
            address,
            OwnedEngine {
                token,
                orders_from,
                unseen: None,
                predecessor: None,
            },
        );
    }

    /// Records that this node owns an engine.
    pub(super) fn acquire_engine(&self, address: SocketAddr, engine: OwnedEngine) {
        self.owned().insert(address, engine);
    }

    /// Whether this node owns an engine, even if it may send no orders yet.
    #[must_use]
    pub fn owns(&self, address: SocketAddr) -> bool {
        self.owned().contains_key(&address)
    }

    /// Whether this node votes for another one to extend its claims by [`OWNERSHIP_TERM`] from now.
    ///
    /// A vote says that this node knows of no other owner, and promises that it sends no orders to
    /// these engines for that term. Where its view has the claims, it can see them vanish only
    /// later than now, and then waits for the term and the minimum gap between the orders of two
    /// nodes. A node that had no lease yet waits as long from its first one, or from its vote if it
    /// takes a claim of its earlier start back. A node that has left makes no claims, but others
    /// that the asking node doesn't know may have made some, so it votes by its view as well.
    ///
    /// docs/design/0022-evidence-for-orders.md has what each voter knows.
    ///
    /// [`OWNERSHIP_TERM`]: super::limits::OWNERSHIP_TERM
    #[must_use]
    pub fn votes_for(&self, node: &str, owned: &[(SocketAddr, u64)]) -> bool {
        if !self.has_had_lease.load(Ordering::SeqCst) {
            let now = self.clock.now();
            self.last_votes()
                .extend(owned.iter().map(|(address, _)| (*address, now)));
            return true;
        }
        let state = self.view.state();
        owned.iter().all(|(address, token)| {
            state
                .claims
                .get(address)
                .is_some_and(|entry| entry.revision == *token && *entry.claim.node == *node)
        })
    }

    /// Returns when this start, before its first lease, last voted for the owner of an engine.
    pub(super) fn last_vote(&self, address: SocketAddr) -> Option<Millis> {
        self.last_votes().get(&address).copied()
    }

    fn last_votes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Millis>> {
        self.last_vote
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops an engine so that another node can claim it.
    pub(super) fn hand_over(&self, address: SocketAddr, now: Millis) {
        self.owned().remove(&address);
        self.last_handover.store(now.0, Ordering::Relaxed);
    }

    /// Returns when this node last handed an engine over.
    pub(super) fn last_handover(&self) -> Millis {
        Millis(self.last_handover.load(Ordering::Relaxed))
    }

    /// Records that the write of claims got no response.
    pub(super) fn record_unconfirmed(
        &self,
        addresses: impl Iterator<Item = SocketAddr>,
        claim: UnconfirmedClaim,
    ) {
        let mut unconfirmed = self.unconfirmed();
        for address in addresses {
            unconfirmed.entry(address).or_insert(claim);
        }
    }

    /// Takes what is known of a claim whose write got no response.
    pub(super) fn take_unconfirmed(&self, address: SocketAddr) -> Option<UnconfirmedClaim> {
        self.unconfirmed().remove(&address)
    }

    fn unconfirmed(&self) -> MutexGuard<'_, HashMap<SocketAddr, UnconfirmedClaim>> {
        self.unconfirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many engines this node owns.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.owned().len()
    }

    pub(super) fn owned(&self) -> MutexGuard<'_, HashMap<SocketAddr, OwnedEngine>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether this node has seen that no other node's claim ended between what it knew before and its own
/// claim, with `token`.
fn has_seen_all(unseen: UnseenClaims, token: u64, address: SocketAddr, state: &State) -> bool {
    let previous = state.previous_claims.get(&address);
    state.seen.covers(unseen.after, token) && previous.is_none_or(|(_, seen)| *seen < unseen.before)
}
