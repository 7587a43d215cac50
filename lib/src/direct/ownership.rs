//! A node's right to give engines orders, which ends by its own clock.
//!
//! [`claim`](super::claim) gets and renews it at the key-value service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::view::View;
use crate::clock::{Clock, Millis};

/// Leave to give an engine orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Owned {
    pub(super) token: u64,
    pub(super) from: Millis,
}

/// This node's right to give orders, looked at in the line before each order.
///
/// The claim must also still stand in the view: the platform can take a node's
/// keys away at once while its lease goes on, and no renewal shows it.
#[derive(Debug)]
pub struct Ownership {
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    pub(super) until: AtomicU64,
    pub(super) begun: AtomicBool,
    /// Whether the right had lasted without a break when the claimer last looked.
    pub(super) unbroken: AtomicBool,
    handed_over: AtomicU64,
    pub(super) left: AtomicBool,
    owned: Mutex<HashMap<SocketAddr, Owned>>,
    last_order: Mutex<HashMap<SocketAddr, Millis>>,
}

impl Ownership {
    /// Makes a right that allows nothing.
    ///
    /// `clock` has to run while the VM is suspended: a node that wakes up must
    /// see that its right has ended.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, view: Arc<View>) -> Self {
        Self {
            clock,
            view,
            until: AtomicU64::new(0),
            begun: AtomicBool::new(false),
            unbroken: AtomicBool::new(false),
            handed_over: AtomicU64::new(0),
            left: AtomicBool::new(false),
            owned: Mutex::default(),
            last_order: Mutex::default(),
        }
    }

    /// Returns the fencing token if an order may leave at this moment.
    #[must_use]
    pub fn fencing_token(&self, address: SocketAddr) -> Option<u64> {
        let now = self.clock.now();
        if now.0 >= self.until.load(Ordering::Relaxed) {
            return None;
        }
        let owned = *self.owned().get(&address)?;
        let stands = self
            .view
            .state()
            .claims
            .get(&address)
            .is_some_and(|standing| standing.revision == owned.token);
        (stands && owned.from <= now).then_some(owned.token)
    }

    /// Whether orders may leave as far as the lease goes.
    #[must_use]
    pub(super) fn is_lease_valid(&self) -> bool {
        self.clock.now().0 < self.until.load(Ordering::Relaxed)
    }

    /// Drops what the view says is another's or nobody's.
    pub(super) fn drop_lost_claims(&self) {
        let state = self.view.state();
        self.owned().retain(|address, owned| {
            state
                .claims
                .get(address)
                .is_some_and(|standing| standing.revision == owned.token)
        });
    }

    /// Notes that an order leaves.
    pub fn record_order(&self, address: SocketAddr) {
        let now = self.clock.now();
        self.last_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address, now);
    }

    /// Returns how long ago the last order left, or none if there was none.
    #[must_use]
    pub fn time_since_order(&self, address: SocketAddr) -> Option<Millis> {
        let now = self.clock.now();
        self.last_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&address)
            .map(|&at| now.since(at))
    }

    /// Takes in that this node owns an engine, and from when on it may give it orders.
    pub fn acquire(&self, address: SocketAddr, token: u64, from: Millis) {
        self.owned().insert(address, Owned { token, from });
    }

    /// Whether this node owns an engine, allowed to order yet or not.
    #[must_use]
    pub fn owns(&self, address: SocketAddr) -> bool {
        self.owned().contains_key(&address)
    }

    /// Whether this node votes for another one to give orders under its claims for [`OWNERSHIP_TERM`] from now.
    ///
    /// [`OWNERSHIP_TERM`]: super::limits::RIGHT
    ///
    /// A node that has seen the claims stand sees them vanish later than now, and then waits
    /// for that long and a turn. So does one that has yet to begin, from when it begins. One
    /// that has left claims nothing any more.
    #[must_use]
    pub fn votes_for(&self, node: &str, owned: &[(SocketAddr, u64)]) -> bool {
        if self.left.load(Ordering::SeqCst) || !self.begun.load(Ordering::SeqCst) {
            return true;
        }
        let state = self.view.state();
        owned.iter().all(|(address, token)| {
            state.claims.get(address).is_some_and(|standing| {
                standing.revision == *token && *standing.claim.node == *node
            })
        })
    }

    /// Gives no more orders to an engine, for another node to take it over.
    pub(super) fn hand_over(&self, address: SocketAddr, now: Millis) {
        self.owned().remove(&address);
        self.handed_over.store(now.0, Ordering::Relaxed);
    }

    /// Returns when this node last handed an engine over.
    pub(super) fn last_handover(&self) -> Millis {
        Millis(self.handed_over.load(Ordering::Relaxed))
    }

    /// Returns how many engines this node owns.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.owned().len()
    }

    pub(super) fn owned(&self) -> MutexGuard<'_, HashMap<SocketAddr, Owned>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
