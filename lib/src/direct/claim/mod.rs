//! Claims: which node sends orders to an engine.
//!
//! Engines don't check fencing tokens, so only time keeps the orders of two nodes apart. A claim
//! is stored with its node's lease. A node's ownership ends by the node's own clock, counted from
//! when it sent the renewal; a successor waits until that term has certainly ended, and for the
//! minimum gap between the orders of two nodes. docs/design/0007-direct-serving.md has the
//! figures.

mod candidate;
mod extension;
mod previous;
mod register;
mod release;
mod takeover;

pub use candidate::node_weight;
pub use extension::{Refusal, Voters};

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::dialect::Dialect;
use super::limits::{
    LEASE_TTL, ORDER_GAP_MARGIN, OWNERSHIP_TERM, RENEWAL_INTERVAL, RENEWAL_TIMEOUT, SharedLimits,
};
use super::ownership::Ownership;
use super::view::{CLAIM_PREFIX, Claim, Peer, View};
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Condition, Error, Lease, LeaseId, Store, Transaction, Write};

/// Interval at which a starting node checks whether the follower has read enough to claim.
const VIEW_POLL_INTERVAL: Millis = Millis(20);

/// Claims that one transaction makes; the service accepts 32 rows.
const MAX_CLAIMS_PER_TRANSACTION: usize = 16;

/// Attempts to write this node's record; the first fails if the record of an earlier start stands.
const MAX_RECORD_ATTEMPTS: usize = 4;

/// This node's lease, and when its record was written under it.
#[derive(Debug, Clone, Copy)]
struct Session {
    lease: LeaseId,
    recorded_at: Millis,
}

/// Maintains this node's lease, record and claims.
#[derive(Debug)]
pub struct Claimer {
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Leases of the key-value service.
    pub lease: Arc<dyn Lease>,
    /// The platform's key formats.
    pub dialect: Arc<dyn Dialect>,
    /// Includes time during which the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// The other nodes, which vote for extensions.
    pub voters: Arc<dyn Voters>,
    /// This node's view of the deployment, written by the follower.
    pub view: Arc<View>,
    /// The engines that this node owns.
    pub ownership: Arc<Ownership>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// The limits in force.
    pub limits: Arc<SharedLimits>,
    /// This node's name.
    pub node: Name,
    /// This node's record.
    pub peer: Peer,
    /// Identifies the boot of the VM that the clock counts from.
    pub boot: u64,
    /// Whether no node of this deployment has run before.
    pub first_start: bool,
}

impl Claimer {
    /// Renews the lease and claims engines until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut session = None;
        let mut first_lease_at = None;
        // A node that has left must not claim again what it released.
        while !self.ownership.has_left.load(Ordering::Relaxed) {
            let has_config = self.view.config().is_some();
            let is_valid = self.ownership.is_term_running();
            self.ownership.was_valid.store(is_valid, Ordering::Relaxed);
            let mut pause = RENEWAL_INTERVAL;
            if let Err(error) = self
                .renew_and_claim(&mut session, &mut first_lease_at)
                .await
            {
                self.view.record_store_call(false);
                self.ownership.record_service_call(false);
                let asked_at = self.clock.now();
                self.extend_ownership(&error).await;
                // An extension counts from the questions. After late votes, its term would end
                // before the next round.
                let elapsed = self.clock.now().since(asked_at);
                pause = pause - elapsed.min(pause);
            }
            if has_config {
                tokio::time::sleep(pause.duration()).await;
            } else {
                self.wait_for_view().await;
            }
        }
    }

    /// Waits until the follower has read enough to claim, for a renewal interval at most.
    async fn wait_for_view(&self) {
        let waits_since = self.clock.now();
        while !self.can_claim() && self.clock.now().since(waits_since) < RENEWAL_INTERVAL {
            tokio::time::sleep(VIEW_POLL_INTERVAL.duration()).await;
        }
    }

    /// Whether the follower has read everything, or a claim of an earlier start of this node.
    fn can_claim(&self) -> bool {
        let state = self.view.state();
        state.config.is_some() || self.has_reclaim_candidates(&state)
    }

    /// Records the time of this node's first lease, and returns it.
    ///
    /// The node knows no claims from before that time. Counting from the start of the process
    /// instead, a node that starts in an outage would seem to have waited long enough when the
    /// service returns, while an owner extended by votes still sends orders.
    fn record_first_lease(&self) -> Millis {
        self.ownership.has_had_lease.store(true, Ordering::SeqCst);
        self.clock.now()
    }

    async fn renew_and_claim(
        &self,
        session: &mut Option<Session>,
        first_lease_at: &mut Option<Millis>,
    ) -> Result<(), Error> {
        let sent = self.clock.now();
        match *session {
            None => {
                let granted = self.lease.grant(LEASE_TTL).await?;
                // With the first lease there are no claims of this start, and the follower reads
                // other nodes' claims. Reading thousands here as well took longer than the lease.
                if first_lease_at.is_some() {
                    self.read_claims().await?;
                    if !self.ownership.was_valid.load(Ordering::Relaxed) {
                        self.view.state().anonymize_previous_claims(&self.node);
                    }
                }
                first_lease_at.get_or_insert_with(|| self.record_first_lease());
                *session = Some(self.put_node_record(granted).await?);
            }
            Some(held) => {
                let was_valid = self.ownership.is_term_running();
                if self.renew(held.lease).await? == Millis::ZERO {
                    log::warn!("right: the lease has lapsed");
                    *session = None;
                    self.ownership.valid_until.store(0, Ordering::Relaxed);
                    self.ownership
                        .recorded_since
                        .store(u64::MAX, Ordering::Relaxed);
                    self.ownership.owned().clear();
                    return Box::pin(self.renew_and_claim(session, first_lease_at)).await;
                }
                self.view.record_store_call(true);
                if !was_valid {
                    self.read_claims().await?;
                    self.view.state().anonymize_previous_claims(&self.node);
                }
                if self.has_lost_record(held) {
                    log::warn!("right: this node's record is gone, it is written again");
                    *session = Some(self.put_node_record(held.lease).await?);
                }
            }
        }
        if self.ownership.has_left.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.ownership.drop_lost_claims();
        self.ownership
            .valid_until
            .store((sent + OWNERSHIP_TERM).0, Ordering::Relaxed);
        self.ownership.record_service_call(true);
        self.update_register().await?;
        if let (Some(held), Some(first_lease_at)) = (*session, *first_lease_at) {
            self.hand_over_unreachable().await?;
            self.claim_engines(held.lease, first_lease_at).await?;
            self.hand_over_surplus(first_lease_at).await?;
        }
        Ok(())
    }

    /// Renews the lease, with a timeout that leaves time for another attempt within the term.
    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        tokio::time::timeout(RENEWAL_TIMEOUT.duration(), self.lease.renew(lease))
            .await
            .map_err(|_| Error::NoAnswer(format!("no renewal within {RENEWAL_TIMEOUT}")))?
    }

    /// Reads all claims again after ownership ended.
    ///
    /// In the meantime the claims may have been deleted and other nodes may have claimed the
    /// engines; the view can be older than that.
    async fn read_claims(&self) -> Result<(), Error> {
        let listing = self.store.list(&self.dialect.own_key(CLAIM_PREFIX)).await?;
        let now = self.clock.now();
        self.view
            .state()
            .replace_claims(&*self.dialect, &listing.entries, now);
        Ok(())
    }

    /// Writes this node's record under a lease.
    ///
    /// The write depends on what the service has, as it may be carried out seconds later: under an
    /// older lease it would replace the record of the newer one, and vanish while the node lives.
    async fn put_node_record(&self, lease: LeaseId) -> Result<Session, Error> {
        let key = self.node_key(&self.node);
        let mut condition = Condition::Absent(key.clone());
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let mut writes = vec![Write::Put(key.clone(), to_json(&self.peer), Some(lease))];
            if self.is_first_moment() {
                writes.push(self.registration_write(true));
            }
            let transaction = Transaction {
                conditions: vec![condition],
                writes,
            };
            let commit = self.store.commit(transaction).await?;
            if commit.done {
                return Ok(self.record_session(lease));
            }
            let found = commit.found.first();
            condition = found.map_or_else(
                || Condition::Absent(key.clone()),
                |entry| Condition::Unchanged(key.clone(), entry.revision),
            );
        }
        let reason = format!("the node's record changed {MAX_RECORD_ATTEMPTS} times");
        Err(Error::Refused(reason))
    }

    /// Records that this node's record is written.
    fn record_session(&self, lease: LeaseId) -> Session {
        let recorded_at = self.clock.now();
        // In a deployment's first moments no owner extends its term, so all know this record.
        let recorded_since = if self.is_first_moment() {
            Millis::ZERO
        } else {
            recorded_at
        };
        self.ownership
            .recorded_since
            .store(recorded_since.0, Ordering::Relaxed);
        Session { lease, recorded_at }
    }

    /// Whether this node's record was deleted while its lease goes on.
    ///
    /// Owners ask only the nodes whose records they know before they extend their terms.
    fn has_lost_record(&self, session: Session) -> bool {
        let is_known = self.view.state().nodes.contains_key(&self.node);
        !is_known && self.view.as_of() > session.recorded_at
    }

    fn new_claim(&self, left: Option<Millis>, orders_from: Millis) -> Claim {
        Claim {
            node: Name::clone(&self.node),
            start: self.peer.start,
            left,
            from: orders_from,
            boot: self.boot,
            exclusive_from: None,
        }
    }

    /// Returns the minimum gap between the last order of one node and the first one of another.
    fn order_gap(&self) -> Millis {
        self.limits.get().order_gap + ORDER_GAP_MARGIN
    }

    fn claim_key(&self, address: SocketAddr) -> String {
        self.dialect.own_key(&format!("{CLAIM_PREFIX}{address}"))
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("records of names and numbers serialize to JSON")
        .into()
}
