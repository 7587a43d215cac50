//! Claims: which node gives orders to an engine.
//!
//! Engines here don't check fencing tokens, so the time alone keeps two nodes
//! from giving orders by turns. A claim lives with its node's lease. The node's
//! right ends by its own clock, counted from when it sent the renewal; a
//! successor waits until that right has surely ended and the length of a turn
//! more. docs/design/0007-direct-serving.md has the figures.

mod candidate;
mod extension;
mod previous;
mod release;
mod takeover;

pub use extension::{Refusal, Voters};

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::dialect::Dialect;
use super::follow::NODE_PREFIX;
use super::limits::{
    LEASE_TTL, ORDER_GAP_MARGIN, OWNERSHIP_TERM, RENEWAL_INTERVAL, RENEWAL_TIMEOUT, SharedLimits,
};
use super::ownership::Ownership;
use super::view::{CLAIM_PREFIX, Claim, Peer, View};
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Error, Lease, LeaseId, Store, Transaction, Write};

/// Pause between looks whether everything has been read after a start.
const FIRST_LOOK: Millis = Millis(20);

/// Claims that one transaction makes; the service takes 32 rows.
const CLAIMS_AT_ONCE: usize = 16;

/// Keeps this node's lease, record and claims.
#[derive(Debug)]
pub struct Claimer {
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Its leases.
    pub lease: Arc<dyn Lease>,
    /// Keys.
    pub dialect: Arc<dyn Dialect>,
    /// Runs while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Other nodes.
    pub voters: Arc<dyn Voters>,
    /// What the follower sees.
    pub view: Arc<View>,
    /// What this node may do.
    pub ownership: Arc<Ownership>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds in force.
    pub limits: Arc<SharedLimits>,
    /// This node's name.
    pub node: Name,
    /// This node's record.
    pub peer: Peer,
    /// The boot that the clock counts from.
    pub boot: u64,
    /// Whether no node has run before.
    pub first_start: bool,
}

impl Claimer {
    /// Keeps the lease and claims until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut lease = None;
        let mut began = None;
        // A node that has left must not claim anew what it gave up.
        while !self.ownership.left.load(Ordering::Relaxed) {
            let knew_all = self.view.config().is_some();
            let is_unbroken = self.ownership.is_lease_valid();
            self.ownership
                .unbroken
                .store(is_unbroken, Ordering::Relaxed);
            if let Err(error) = self.round(&mut lease, &mut began).await {
                self.view.record_store_call(false);
                self.extend(&error).await;
            }
            if knew_all {
                tokio::time::sleep(RENEWAL_INTERVAL.duration()).await;
            } else {
                self.wait_for_view().await;
            }
        }
    }

    /// Waits until the follower has read what a round can claim by, a round's pause at most.
    async fn wait_for_view(&self) {
        let began = self.clock.now();
        while !self.can_claim() && self.clock.now().since(began) < RENEWAL_INTERVAL {
            tokio::time::sleep(FIRST_LOOK.duration()).await;
        }
    }

    /// Whether the follower has read everything, or claims of an earlier start of this node.
    fn can_claim(&self) -> bool {
        let state = self.view.state();
        state.config.is_some() || self.has_own_claims(&state)
    }

    /// Returns when this node began to look at claims, which is when it got its first lease.
    ///
    /// What happened before that moment is unknown to it. Counted from the start of the
    /// process, a node that starts in an outage would have waited long enough when the
    /// service returns, while an owner whose lease the others extended still gives orders.
    fn begin(&self) -> Millis {
        self.ownership.begun.store(true, Ordering::SeqCst);
        self.clock.now()
    }

    async fn round(
        &self,
        lease: &mut Option<LeaseId>,
        began: &mut Option<Millis>,
    ) -> Result<(), Error> {
        let sent = self.clock.now();
        match *lease {
            None => {
                let granted = self.lease.grant(LEASE_TTL).await?;
                // A first lease has no claims of this start yet, and the follower reads those
                // of others. Read here as well, thousands of claims took longer than the lease.
                if began.is_some() {
                    self.read_claims().await?;
                    if !self.ownership.unbroken.load(Ordering::Relaxed) {
                        self.view.state().anonymize_previous_claims(&self.node);
                    }
                }
                began.get_or_insert_with(|| self.begin());
                self.register(granted).await?;
                *lease = Some(granted);
            }
            Some(held) => {
                let lasted = self.ownership.is_lease_valid();
                if self.renew(held).await? == Millis::ZERO {
                    log::warn!("right: the lease has lapsed");
                    *lease = None;
                    self.ownership.until.store(0, Ordering::Relaxed);
                    self.ownership.owned().clear();
                    return Box::pin(self.round(lease, began)).await;
                }
                self.view.record_store_call(true);
                if !lasted {
                    self.read_claims().await?;
                    self.view.state().anonymize_previous_claims(&self.node);
                }
            }
        }
        if self.ownership.left.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.ownership.drop_lost_claims();
        self.ownership
            .until
            .store((sent + OWNERSHIP_TERM).0, Ordering::Relaxed);
        if let (Some(held), Some(began)) = (*lease, *began) {
            self.claim(held, began).await?;
            self.hand_over(began).await?;
        }
        Ok(())
    }

    /// Renews the lease, without waiting so long that no second try fits into the right.
    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        tokio::time::timeout(RENEWAL_TIMEOUT.duration(), self.lease.renew(lease))
            .await
            .map_err(|_| Error::NoAnswer(format!("no renewal within {RENEWAL_TIMEOUT}")))?
    }

    /// Reads all claims anew after the right had lapsed.
    ///
    /// Meanwhile the claims may have been taken away and others may have made
    /// theirs; what the view last saw is older than that.
    async fn read_claims(&self) -> Result<(), Error> {
        let listing = self.store.list(&self.dialect.own_key(CLAIM_PREFIX)).await?;
        let now = self.clock.now();
        self.view
            .state()
            .replace_claims(&*self.dialect, &listing.entries, now);
        Ok(())
    }

    async fn register(&self, lease: LeaseId) -> Result<(), Error> {
        let key = self.dialect.own_key(&format!("{NODE_PREFIX}{}", self.node));
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![Write::Put(key, encoded(&self.peer), Some(lease))],
        };
        self.store.commit(transaction).await?;
        Ok(())
    }

    fn own_claim(&self, left: Option<Millis>, from: Millis) -> Claim {
        Claim {
            node: Name::clone(&self.node),
            start: self.peer.start,
            left,
            from,
            boot: self.boot,
        }
    }

    /// Returns the least time between the last order of one node and the first one of another.
    fn turn(&self) -> Millis {
        self.limits.get().order_gap + ORDER_GAP_MARGIN
    }

    fn key(&self, address: SocketAddr) -> String {
        self.dialect.own_key(&format!("{CLAIM_PREFIX}{address}"))
    }
}

fn encoded<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("names and numbers make JSON")
        .into()
}
