//! What is known of the node that owned an engine before, and how long its orders may go on.

use std::net::SocketAddr;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::limits::OWNERSHIP_TERM;
use crate::direct::view::{Claim, ClaimEntry, State};

/// What became of the node that gave an engine its orders before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Previous {
    /// There was none.
    Nobody,
    /// It is this node, or an earlier start of it, which could order from then on; none if that
    /// was another boot of the VM.
    Itself { from: Option<Millis> },
    /// It gave the claim up, this long after its last order.
    Left { at: Millis, idle: Millis },
    /// Its claim vanished with its lease.
    Vanished { at: Millis },
    /// Whoever it was before this node began to look may believe in its claim still.
    Unknown,
}

impl Previous {
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

    /// Returns when its right has surely ended and a turn has passed.
    pub(super) fn waited_out(self, turn: Millis, began: Millis) -> Millis {
        match self {
            Self::Nobody => Millis::ZERO,
            // An earlier start may have waited still when it ended.
            Self::Itself { from: Some(from) } => from,
            Self::Left { at, idle } => at + (turn - idle.min(turn)),
            Self::Vanished { at } => at + OWNERSHIP_TERM + turn,
            Self::Unknown | Self::Itself { from: None } => began + OWNERSHIP_TERM + turn,
        }
    }
}

impl Claimer {
    /// Returns who gave an engine's orders before, and from when on this node may.
    pub(super) fn follows(
        &self,
        state: &State,
        address: SocketAddr,
        left: Option<&ClaimEntry>,
        began: Millis,
    ) -> (Previous, Millis) {
        let previous = self.previous(state, address, left);
        // What vanished before this node knew all claims is as unknown to it as what did before
        // its first lease.
        let claims_read = state.claims_read_at.unwrap_or_else(|| self.clock.now());
        let from = previous.waited_out(self.turn(), began.max(claims_read));
        (previous, from)
    }

    /// Returns what is known of a claim that this node made, maybe in an earlier start.
    fn itself(&self, claim: &Claim) -> Previous {
        let from = (claim.boot == self.boot).then_some(claim.from);
        Previous::Itself { from }
    }

    /// Returns what is known of an engine's previous owner.
    fn previous(&self, state: &State, address: SocketAddr, left: Option<&ClaimEntry>) -> Previous {
        if let Some(left) = left {
            if left.claim.node == self.node {
                return self.itself(&left.claim);
            }
            return Previous::Left {
                at: left.seen,
                idle: left.claim.left.unwrap_or_default(),
            };
        }
        match state.previous_claims.get(&address) {
            Some((claim, _)) if claim.node == self.node => self.itself(claim),
            Some((_, at)) => Previous::Vanished { at: *at },
            None if self.first_start => Previous::Nobody,
            None => Previous::Unknown,
        }
    }
}
