//! Giving claims up: all of them on a planned stop, one at a time where a node owns too many.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use super::{CLAIMS_AT_ONCE, Claimer, encoded};
use crate::clock::Millis;
use crate::direct::limits::RENEWAL_INTERVAL;
use crate::direct::ownership::Owned;
use crate::ports::{Condition, Error, Transaction, Write};

/// Shares of the engines that a node keeps before it gives some up.
///
/// Below, uneven claims do no harm, and each handover keeps an engine without orders for up
/// to a turn.
const MOST_SHARES: usize = 2;

/// Pause between handovers: two rounds.
const HANDOVER: Millis = Millis(RENEWAL_INTERVAL.0 * 2);

impl Claimer {
    /// Gives claims up, with the time since the last order, so that successors wait less.
    ///
    /// # Errors
    ///
    /// When the service doesn't take it; then the lease's end does the same later.
    pub async fn leave(&self) -> Result<(), Error> {
        self.ownership.left.store(true, Ordering::Relaxed);
        self.ownership.until.store(0, Ordering::Relaxed);
        let owned: Vec<(SocketAddr, Owned)> = self.ownership.owned().drain().collect();
        for addresses in owned.chunks(CLAIMS_AT_ONCE) {
            let mut transaction = Transaction::default();
            for (address, owned) in addresses {
                transaction.writes.push(self.mark_left(*address, *owned));
            }
            self.store.commit(transaction).await?;
        }
        Ok(())
    }

    /// Returns the write that gives up a claim under which no order leaves any more.
    ///
    /// A node that gives a claim up before it could order leaves the wait for the owner before it.
    fn mark_left(&self, address: SocketAddr, owned: Owned) -> Write {
        let turn = self.turn();
        let before = (self.clock.now() + turn).since(owned.from);
        let idle = self
            .ownership
            .time_since_order(address)
            .unwrap_or(Millis::MAX);
        let claim = self.own_claim(Some(idle.min(before).min(turn)), owned.from);
        Write::Put(self.key(address), encoded(&claim), None)
    }

    /// Gives one engine up if this node owns far more than its share.
    ///
    /// Planned stops one after the other leave all engines with the node that was the first
    /// to be back: twelve of twelve among seven nodes, seen on a day with rolling stops. When
    /// that one falls silent, no adapter can be loaded anywhere for eight seconds. One engine
    /// at a time keeps all others in service, and the one whose last order is the oldest
    /// keeps its successor waiting least.
    pub(super) async fn hand_over(&self, began: Millis) -> Result<(), Error> {
        let now = self.clock.now();
        if now.since(began.max(self.ownership.last_handover())) < HANDOVER {
            return Ok(());
        }
        let Some((address, owned)) = self.surplus() else {
            return Ok(());
        };
        self.ownership.hand_over(address, now);
        log::info!("right: orders to {address} are handed over, as this node has many");
        let transaction = Transaction {
            conditions: vec![Condition::Unchanged(self.key(address), owned.token)],
            writes: vec![self.mark_left(address, owned)],
        };
        // The view hears of the write up to a second later. Until then it would show a claim
        // of this start that this node doesn't hold, and the next round would take it up
        // again while its successor gives orders.
        self.view.state().release_claim(address, now);
        self.store.commit(transaction).await?;
        Ok(())
    }

    /// Returns an engine beyond this node's share that another node comes first for.
    fn surplus(&self) -> Option<(SocketAddr, Owned)> {
        let state = self.view.state();
        let owned = self.ownership.owned();
        let share = state.claims.len().div_ceil(state.nodes.len().max(1));
        if owned.len() <= share * MOST_SHARES {
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
