//! Releasing claims: all on a planned stop, one at a time while this node owns too many.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use super::{Claimer, MAX_CLAIMS_PER_TRANSACTION, to_json};
use crate::clock::Millis;
use crate::direct::limits::RENEWAL_INTERVAL;
use crate::direct::ownership::OwnedEngine;
use crate::ports::{Condition, Entry, Error, Transaction, Write};

/// Multiple of its fair share of the engines that a node keeps.
///
/// Up to that, an uneven spread does no harm, while each handover leaves an engine without orders
/// for up to the minimum gap between the orders of two nodes.
const MAX_SHARES: usize = 2;

/// Interval between handovers: two rounds.
const HANDOVER_INTERVAL: Millis = Millis(RENEWAL_INTERVAL.0 * 2);

impl Claimer {
    /// Releases all claims, with the time since the last order, so that successors wait less.
    ///
    /// A planned stop has little time, so no transaction waits for another one's response.
    ///
    /// # Errors
    ///
    /// When the service doesn't accept one of the transactions; its claims then expire with the
    /// lease.
    pub async fn leave(&self) -> Result<(), Error> {
        self.ownership.has_left.store(true, Ordering::Relaxed);
        self.ownership.valid_until.store(0, Ordering::Relaxed);
        let owned: Vec<(SocketAddr, OwnedEngine)> = self.ownership.owned().drain().collect();
        let batches = owned.chunks(MAX_CLAIMS_PER_TRANSACTION);
        let releases = batches.map(|batch| self.release(batch.to_vec()));
        let results = futures::future::join_all(releases).await;
        results.into_iter().collect()
    }

    /// Releases those of some claims that this start still holds.
    ///
    /// The service may carry the write out seconds after the process has ended. By then, the next
    /// start of this node or another node can hold the engine, and a release of its claim would
    /// let a third one order beside it. The write therefore depends on the claims' revisions, and
    /// claims that have changed are left out of the next attempt.
    async fn release(&self, mut owned: Vec<(SocketAddr, OwnedEngine)>) -> Result<(), Error> {
        while !owned.is_empty() {
            let before = owned.len();
            let committed = self.store.commit(self.release_transaction(&owned)).await;
            let commit = committed.inspect_err(|_| self.count_releases("failed", before))?;
            if commit.done {
                self.count_releases("released", before);
                return Ok(());
            }
            owned.retain(|(address, owned)| self.is_current(*address, *owned, &commit.found));
            let changed = before - owned.len();
            if changed == 0 {
                self.count_releases("failed", before);
                let reason = "a release failed though no claim has changed";
                return Err(Error::Refused(reason.to_owned()));
            }
            self.count_releases("changed", changed);
            log::info!("right: {changed} of {before} claims had changed before their release");
        }
        Ok(())
    }

    fn count_releases(&self, outcome: &str, count: usize) {
        let releases = self.metrics.releases.with_label_values(&[outcome]);
        releases.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    fn release_transaction(&self, owned: &[(SocketAddr, OwnedEngine)]) -> Transaction {
        let mut transaction = Transaction::default();
        for (address, owned) in owned {
            let unchanged = Condition::Unchanged(self.claim_key(*address), owned.token);
            transaction.conditions.push(unchanged);
            let write = self.release_write(*address, *owned);
            transaction.writes.push(write);
        }
        transaction
    }

    /// Whether a claim is among the entries that the service found, with this start's revision.
    fn is_current(&self, address: SocketAddr, owned: OwnedEngine, found: &[Entry]) -> bool {
        let key = self.claim_key(address);
        let mut found = found.iter();
        found.any(|entry| entry.key == key && entry.revision == owned.token)
    }

    /// Returns the write that releases a claim under which no more orders are sent.
    ///
    /// If this node was still waiting for the owner before it, the successor waits for the rest. If
    /// that owner may still extend its term, the claim is deleted: a successor then waits for it
    /// anew.
    fn release_write(&self, address: SocketAddr, owned: OwnedEngine) -> Write {
        if self.ownership.has_predecessor(owned) {
            return Write::Delete(self.claim_key(address));
        }
        let gap = self.order_gap();
        let since_previous_owner = (self.clock.now() + gap).since(owned.orders_from);
        let idle = self
            .ownership
            .time_since_order(address)
            .unwrap_or(Millis::MAX);
        let claim = self.new_claim(
            Some(idle.min(since_previous_owner).min(gap)),
            owned.orders_from,
        );
        Write::Put(self.claim_key(address), to_json(&claim), None)
    }

    /// Releases one engine if this node owns far more than its share.
    ///
    /// Planned stops one after the other leave all engines with the node that restarted first:
    /// rolling restarts of seven nodes left it with twelve of twelve. If that node then becomes
    /// unresponsive, no adapter can be loaded anywhere for eight seconds. Releasing one engine at
    /// a time keeps the others in service, and the one whose last order is the oldest makes its
    /// successor wait the least.
    pub(super) async fn hand_over_surplus(&self, first_lease_at: Millis) -> Result<(), Error> {
        let now = self.clock.now();
        if now.since(first_lease_at.max(self.ownership.last_handover())) < HANDOVER_INTERVAL {
            return Ok(());
        }
        let Some((address, owned)) = self.surplus_engine() else {
            return Ok(());
        };
        log::info!("right: handing over {address}, as this node owns more than its share");
        self.hand_over(address, owned).await
    }

    /// Releases one engine.
    async fn hand_over(&self, address: SocketAddr, owned: OwnedEngine) -> Result<(), Error> {
        let now = self.clock.now();
        self.ownership.hand_over(address, now);
        // The view learns of the write up to a second later. Until then it would show a claim of
        // this start that this node doesn't hold, and the next round would adopt it again while
        // the successor sends orders.
        self.view.state().release_claim(address, now);
        self.release(vec![(address, owned)]).await
    }

    /// Releases the engines that other nodes reach and this one doesn't.
    ///
    /// Nobody can load adapters at an engine whose owner has no path to it. Where no other node
    /// reaches it either, the engine is what fails, and its owner stays.
    pub(super) async fn hand_over_unreachable(&self) -> Result<(), Error> {
        for (address, owned) in self.unreachable_engines(self.clock.now()) {
            log::info!("right: handing over {address}, as only other nodes reach it");
            self.hand_over(address, owned).await?;
        }
        Ok(())
    }

    fn unreachable_engines(&self, now: Millis) -> Vec<(SocketAddr, OwnedEngine)> {
        let state = self.view.state();
        let owned = self.ownership.owned();
        let reachability = &self.view.reachability;
        state
            .upstreams
            .values()
            .filter_map(|upstream| {
                let engine = owned.get(&upstream.address)?;
                let is_lost = reachability.is_reached_by_others(upstream, now);
                is_lost.then_some((upstream.address, *engine))
            })
            .take(MAX_CLAIMS_PER_TRANSACTION)
            .collect()
    }

    /// Returns an engine to hand over: beyond this node's share, and another node ranks first.
    fn surplus_engine(&self) -> Option<(SocketAddr, OwnedEngine)> {
        let state = self.view.state();
        let owned = self.ownership.owned();
        let share = state.claims.len().div_ceil(state.nodes.len().max(1));
        if owned.len() <= share * MAX_SHARES {
            return None;
        }
        owned
            .iter()
            .filter(|(address, _)| self.rank(&state, **address, 1) > 0)
            // A successor would have to wait from the beginning.
            .filter(|(_, owned)| !self.ownership.has_predecessor(**owned))
            .max_by_key(|(address, _)| {
                self.ownership
                    .time_since_order(**address)
                    .unwrap_or(Millis::MAX)
            })
            .map(|(address, owned)| (*address, *owned))
    }
}
