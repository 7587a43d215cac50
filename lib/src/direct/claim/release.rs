//! Releasing claims: all on a planned stop, one at a time while this node owns too many.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use super::{Claimer, MAX_CLAIMS_PER_TRANSACTION, to_json};
use crate::clock::Millis;
use crate::direct::limits::RENEWAL_INTERVAL;
use crate::direct::ownership::OwnedEngine;
use crate::ports::{Condition, Error, Transaction, Write};

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
    /// # Errors
    ///
    /// When the service doesn't accept it; the claims then expire with the lease.
    pub async fn leave(&self) -> Result<(), Error> {
        self.ownership.has_left.store(true, Ordering::Relaxed);
        self.ownership.valid_until.store(0, Ordering::Relaxed);
        let owned: Vec<(SocketAddr, OwnedEngine)> = self.ownership.owned().drain().collect();
        for addresses in owned.chunks(MAX_CLAIMS_PER_TRANSACTION) {
            let mut transaction = Transaction::default();
            for (address, owned) in addresses {
                transaction
                    .writes
                    .push(self.release_write(*address, *owned));
            }
            self.store.commit(transaction).await?;
        }
        Ok(())
    }

    /// Returns the write that releases a claim under which no more orders are sent.
    ///
    /// If this node was still waiting for the owner before it, the successor waits for the rest.
    fn release_write(&self, address: SocketAddr, owned: OwnedEngine) -> Write {
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
        let transaction = Transaction {
            conditions: vec![Condition::Unchanged(self.claim_key(address), owned.token)],
            writes: vec![self.release_write(address, owned)],
        };
        // The view learns of the write up to a second later. Until then it would show a claim of
        // this start that this node doesn't hold, and the next round would adopt it again while
        // the successor sends orders.
        self.view.state().release_claim(address, now);
        self.store.commit(transaction).await?;
        Ok(())
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
            .max_by_key(|(address, _)| {
                self.ownership
                    .time_since_order(**address)
                    .unwrap_or(Millis::MAX)
            })
            .map(|(address, owned)| (*address, *owned))
    }
}
