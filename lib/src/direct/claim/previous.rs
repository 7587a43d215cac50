//! The previous owner of an engine, and until when it may still send orders.

use std::net::SocketAddr;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::limits::{LEASE_TTL, OWNERSHIP_TERM};
use crate::direct::ownership::Predecessor;
use crate::direct::view::{Claim, ClaimEntry, State};

/// How far apart the nodes of a deployment start for the first time.
pub(super) const START_SPREAD: Millis = Millis(1_000);

/// What is known of the node that owned an engine before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PreviousOwner {
    /// There was none.
    Nobody,
    /// This node, maybe in an earlier start, which could send orders from `orders_from` on; none
    /// if the VM has been rebooted since.
    Itself {
        orders_from: Option<Millis>,
        /// When the owners before can't send orders any more, if that wasn't certain.
        exclusive_from: Option<Millis>,
    },
    /// A node that released its claim at `at`, `idle` after its last order.
    Left { at: Millis, idle: Millis },
    /// A node whose claim vanished at `at`: its lease expired, or its keys were deleted.
    Vanished { at: Millis },
    /// Any node that may have owned the engine before this node read all claims, and may still send
    /// orders.
    Unknown,
}

impl PreviousOwner {
    /// Returns the name used in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Nobody => "nobody",
            Self::Itself { .. } => "itself",
            Self::Left { .. } => "left",
            Self::Vanished { .. } => "vanished",
            Self::Unknown => "unknown",
        }
    }

    /// Returns when a successor may send its first order.
    ///
    /// That is `gap` after the last order that the previous owner can have sent.
    /// `claims_known_since` is since when this node knows all claims.
    pub(super) fn successor_orders_from(self, gap: Millis, claims_known_since: Millis) -> Millis {
        match self {
            Self::Nobody => Millis::ZERO,
            // The earlier start may itself have been waiting when it ended.
            Self::Itself {
                orders_from: Some(orders_from),
                ..
            } => orders_from,
            Self::Left { at, idle } => at + (gap - idle.min(gap)),
            // Another node may have owned the engine between that claim and the reading.
            Self::Vanished { at } => at.max(claims_known_since) + OWNERSHIP_TERM + gap,
            Self::Unknown
            | Self::Itself {
                orders_from: None, ..
            } => claims_known_since + OWNERSHIP_TERM + gap,
        }
    }

    /// Returns when a previous owner that may still extend its term has ended, whatever this node
    /// finds out; none if nobody can: the owner has released its claim, or is this node.
    fn ends_at(self) -> Option<Millis> {
        match self {
            Self::Nobody | Self::Left { .. } => None,
            Self::Itself {
                orders_from: Some(_),
                exclusive_from,
            } => exclusive_from,
            Self::Itself {
                orders_from: None, ..
            }
            | Self::Vanished { .. }
            | Self::Unknown => Some(Millis::MAX),
        }
    }
}

/// What a node that claims an engine has to wait for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Succession {
    pub(super) previous: PreviousOwner,
    /// From when on this node may send orders.
    pub(super) orders_from: Millis,
    pub(super) predecessor: Option<Predecessor>,
}

impl Claimer {
    /// Returns the previous owner of an engine, and from when on this node may send it orders.
    pub(super) fn succession(
        &self,
        state: &State,
        address: SocketAddr,
        stored: Option<&ClaimEntry>,
        first_lease_at: Millis,
    ) -> Succession {
        let previous = self.previous_owner(state, address, stored, first_lease_at);
        // Claims that expired before this node had read all claims are as unknown to it as those
        // that expired before its first lease.
        let claims_read = state.claims_read_at.unwrap_or_else(|| self.clock.now());
        let gap = self.order_gap();
        let known_since = first_lease_at.max(claims_read);
        let orders_from = previous.successor_orders_from(gap, known_since);
        let voted_at = self.ownership.last_vote(address);
        let vote_over_at = voted_at.map(|at| at + OWNERSHIP_TERM + gap);
        let claim_gone_at = match previous {
            PreviousOwner::Vanished { at } => at.max(known_since),
            _ => known_since,
        };
        Succession {
            previous,
            orders_from: orders_from.max(vote_over_at.unwrap_or_default()),
            predecessor: self.predecessor(previous, claim_gone_at),
        }
    }

    /// Returns the previous owner as one that may still extend its term, if that can be.
    pub(super) fn predecessor(
        &self,
        previous: PreviousOwner,
        claim_gone_at: Millis,
    ) -> Option<Predecessor> {
        let ends_at = previous.ends_at()?;
        (self.clock.now() < ends_at).then(|| Predecessor {
            claim_gone_at,
            outvoted_at: None,
            wait: OWNERSHIP_TERM + self.order_gap(),
            ends_at,
        })
    }

    /// Returns the previous owner from a claim that this node made, maybe in an earlier start.
    fn own_previous_claim(&self, claim: &Claim) -> PreviousOwner {
        let orders_from = (claim.boot == self.boot).then_some(claim.from);
        PreviousOwner::Itself {
            orders_from,
            exclusive_from: claim.exclusive_from,
        }
    }

    /// Returns what is known of an engine's previous owner.
    fn previous_owner(
        &self,
        state: &State,
        address: SocketAddr,
        stored: Option<&ClaimEntry>,
        first_lease_at: Millis,
    ) -> PreviousOwner {
        if let Some(stored) = stored {
            if stored.claim.node == self.node {
                return self.own_previous_claim(&stored.claim);
            }
            return PreviousOwner::Left {
                at: stored.seen,
                idle: stored.claim.left.unwrap_or_default(),
            };
        }
        match state.previous_claims.get(&address) {
            Some((claim, _)) if claim.node == self.node => self.own_previous_claim(claim),
            Some((_, at)) => PreviousOwner::Vanished { at: *at },
            None if self.knows_all_owners(first_lease_at, state.claims_read_at) => {
                PreviousOwner::Nobody
            }
            None => PreviousOwner::Unknown,
        }
    }

    /// Whether no claim can have been made and expired before this node read all claims.
    ///
    /// That takes a deployment whose nodes start for the first time, and a node that has read the
    /// claims before a lease granted since then can end. One that gets its lease later may find no
    /// claim while another node still sends orders by the votes of the others.
    fn knows_all_owners(&self, first_lease_at: Millis, claims_read_at: Option<Millis>) -> bool {
        let known_at = claims_read_at.map(|read| read.max(first_lease_at));
        let known_after = known_at.map(|at| at.since(self.ownership.started_at));
        self.first_start && known_after.is_some_and(|after| after + START_SPREAD < LEASE_TTL)
    }
}
