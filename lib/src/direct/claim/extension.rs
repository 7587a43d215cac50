//! Extending ownership in an outage of the key-value service, by the votes of all other nodes.
//!
//! This is no consensus protocol: votes decide and store nothing, and the service stays the
//! arbiter. A node that alone reaches the service may take everything over once the records of
//! the others have expired, since they may all be dead. So none of them may count it as dead:
//! each other node has to vote itself, whatever the network says of it. And most registered nodes
//! have to be among those that it knows, as a node that starts may be served by the service alone.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use async_trait::async_trait;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::limits::OWNERSHIP_TERM;
use crate::direct::registration::EXTENSION_LIMIT;
use crate::ports::Error;

/// Pause before nodes that refused are asked again; connecting takes half of it.
const VOTE_RETRY_PAUSE: Millis = Millis(100);

/// A node that gave no vote for an extension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Address at which the node was asked.
    pub peer: SocketAddr,
    /// The node's reason, or why it gave no response.
    pub reason: String,
}

/// Why an owner asks no votes for an extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// Its view is too old for others to rely on its knowing them.
    OldView,
    /// It knows too few of the registered nodes.
    Minority,
}

impl Obstacle {
    /// Returns the name used in metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::OldView => "old_view",
            Self::Minority => "minority",
        }
    }
}

impl std::fmt::Display for Obstacle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::OldView => "the view is too old, or not complete yet",
            Self::Minority => "most registered nodes have no record",
        })
    }
}

/// The other nodes, which vote while the key-value service is unavailable.
#[async_trait]
pub trait Voters: std::fmt::Debug + Send + Sync {
    /// Returns the nodes that must vote for an extension, or none if they aren't known.
    fn others(&self) -> Option<Vec<SocketAddr>>;

    /// Asks nodes for their votes, and returns the refusals.
    ///
    /// A node votes according to [`Ownership::votes_for`]. A node that gives no answer gives no
    /// vote.
    ///
    /// [`Ownership::votes_for`]: crate::direct::ownership::Ownership::votes_for
    async fn refusals(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Refusal>;
}

impl Claimer {
    /// Extends ownership through an outage of the service that all nodes see.
    ///
    /// Without this no adapter is loaded during an outage and for eight seconds after it. It
    /// takes the votes of all other nodes, before the current term ends. Nodes that gave no answer
    /// are asked again: a renewal takes so long to fail that a term has time for only one
    /// extension, and a node that restarted in that second stopped the orders of all others for
    /// the rest of an outage.
    pub(super) async fn extend_ownership(&self, error: &Error) {
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
        if let Some(obstacle) = self.obstacle(sent) {
            let extensions = &self.metrics.extensions;
            extensions.with_label_values(&[obstacle.name()]).inc();
            let owned = owned.len();
            log::warn!(
                "right: no renewal and no extension for {owned} engines: {obstacle}; {error}"
            );
            return;
        }
        let asked = self.voters.others().map_or(0, |others| others.len());
        let refusals = self.collect_refusals(&owned).await;
        let is_extended = refusals.is_empty() && self.ownership.is_term_running();
        let outcome = if is_extended { "granted" } else { "refused" };
        self.metrics.extensions.with_label_values(&[outcome]).inc();
        if is_extended {
            self.ownership
                .valid_until
                .store((sent + OWNERSHIP_TERM).0, Ordering::Relaxed);
            log::info!(
                "right: extended by the votes of {asked} known nodes, without a renewal: {error}"
            );
            return;
        }
        let owned = owned.len();
        log::warn!("right: no renewal and no extension for {owned} engines: {error}");
        for Refusal { peer, reason } in refusals {
            log::info!("right: {peer} doesn't vote for the extension: {reason}");
        }
    }

    /// Returns what keeps this node from extending its ownership, whatever the nodes that it knows
    /// say.
    fn obstacle(&self, now: Millis) -> Option<Obstacle> {
        let as_of = self.view.as_of();
        if now.since(as_of) > EXTENSION_LIMIT || !self.knows_first_nodes(as_of) {
            return Some(Obstacle::OldView);
        }
        let state = self.view.state();
        let has_majority = state.register.has_majority(&self.node, &state.nodes);
        (!has_majority).then_some(Obstacle::Minority)
    }

    /// Asks other nodes until all vote or the term has ended; returns the last refusals.
    async fn collect_refusals(&self, owned: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        if !self.ownership.is_term_running() {
            return Vec::new();
        }
        let Some(mut asked) = self.voters.others() else {
            return vec![Refusal {
                peer: self.peer.address,
                reason: "no other node is known, though there were some".to_owned(),
            }];
        };
        loop {
            let refusals = self.voters.refusals(&asked, owned).await;
            if refusals.is_empty() || !self.ownership.is_term_running() {
                return refusals;
            }
            tokio::time::sleep(VOTE_RETRY_PAUSE.duration()).await;
            asked = refusals.iter().map(|refusal| refusal.peer).collect();
        }
    }
}
