//! Extending leases in an outage of the key-value service, by the votes of all other nodes.
//!
//! It is no consensus: nothing is decided or kept by it, and the service stays the arbiter.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use async_trait::async_trait;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::limits::OWNERSHIP_TERM;
use crate::ports::Error;

/// Pause before nodes that refused are asked again; twice what connecting takes.
const ROUND_PAUSE: Millis = Millis(100);

/// A node that gave no vote for an extension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Where it was asked.
    pub peer: SocketAddr,
    /// What it said, or why it said nothing.
    pub reason: String,
}

/// All other nodes, asked for their votes while the key-value service is unavailable.
#[async_trait]
pub trait Voters: std::fmt::Debug + Send + Sync {
    /// Returns the nodes that have to vote for an extension, or none if they aren't known.
    fn others(&self) -> Option<Vec<SocketAddr>>;

    /// Asks nodes for their votes, and returns those that gave none.
    ///
    /// A node votes as [`Ownership::votes_for`] says, or by not running: its next start begins
    /// later than the question.
    ///
    /// [`Ownership::votes_for`]: crate::direct::ownership::Ownership::votes_for
    async fn refusals(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Refusal>;
}

impl Claimer {
    /// Extends the lease through an outage of the service that all nodes have.
    ///
    /// Without this no adapter is loaded for as long as an outage lasts and eight
    /// seconds more. It takes every other node, and a right that has not ended
    /// meanwhile. A node that a kept connection fails to reach is asked again: a
    /// renewal takes so long to fail that one right has time for one round only,
    /// and a node restarted in that second ended the orders of all others for the
    /// rest of an outage.
    pub(super) async fn extend(&self, error: &Error) {
        let sent = self.clock.now();
        let owned: Vec<(SocketAddr, u64)> = self
            .ownership
            .owned()
            .iter()
            .map(|(address, owned)| (*address, owned.token))
            .collect();
        if owned.is_empty() {
            log::warn!("right: no renewal: {error}");
            return;
        }
        let refusals = self.refusals(&owned).await;
        let extended = refusals.is_empty() && self.ownership.is_lease_valid();
        let outcome = if extended { "granted" } else { "refused" };
        self.metrics.extensions.with_label_values(&[outcome]).inc();
        if extended {
            self.ownership
                .until
                .store((sent + OWNERSHIP_TERM).0, Ordering::Relaxed);
            log::info!("right: extended by the votes of all others, without a renewal: {error}");
            return;
        }
        let owned = owned.len();
        log::warn!("right: no renewal and no extension for {owned} engines: {error}");
        for Refusal { peer, reason } in refusals {
            log::info!("right: {peer} does not vote for it: {reason}");
        }
    }

    /// Asks others until all vote for it or the right has ended, and returns who didn't.
    async fn refusals(&self, owned: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        if !self.ownership.is_lease_valid() {
            return Vec::new();
        }
        let Some(mut asked) = self.voters.others() else {
            return vec![Refusal {
                peer: self.peer.address,
                reason: "no other node is known, and there were some".to_owned(),
            }];
        };
        loop {
            let refusals = self.voters.refusals(&asked, owned).await;
            if refusals.is_empty() || !self.ownership.is_lease_valid() {
                return refusals;
            }
            tokio::time::sleep(ROUND_PAUSE.duration()).await;
            asked = refusals.iter().map(|refusal| refusal.peer).collect();
        }
    }
}
