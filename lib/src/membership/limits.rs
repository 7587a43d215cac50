//! Times and budgets of membership, with their defaults.

use crate::clock::Millis;

/// Renewals in one lease span; two may be lost before the lease lapses.
pub const RENEWALS_PER_LEASE: u64 = 3;

/// Part of a span that clocks may run apart in, and that answers may be rounded by.
const DRIFT_DIVISOR: u64 = 16;

/// How long a witness's support lasts, counted from when it was asked for.
///
/// It is a constant, since owner, witnesses and successors must count alike.
pub const SUPPORT_TTL: Millis = Millis(3000);

/// How long an owner goes on without the service at most, and a successor waits
/// when the witnesses are gone for good. See docs/operators/failures.md.
pub const MAX_OUTAGE: Millis = Millis::from_secs(2 * 3600);

/// Times and budgets; the settings override some.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Shortest span of a node's lease.
    pub min_lease_ttl: Millis,
    /// Renewals a second that the whole fleet may spend.
    pub lease_writes_per_second: u32,
    /// How long a call to the service or a peer may take.
    pub call_timeout: Millis,
    /// Time between reads of the list of VMs.
    pub directory_poll_interval: Millis,
    /// Shortest time between reads of all claims by a node that doesn't watch them.
    pub min_full_read_interval: Millis,
    /// Bytes a second that a node may spend on reading all claims.
    pub full_read_bytes_per_second: u64,
    /// Nodes that watch the claims; the others hear of changes from them.
    pub max_watchers: usize,
    /// How long running requests may take before an upstream is handed over all the same.
    pub release_timeout: Millis,
    /// Shortest time between two upstreams handed over to balance the load.
    pub rebalance_interval: Millis,
    /// How long the set of nodes must have been still before the load is balanced.
    pub stable_before_rebalance: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            min_lease_ttl: Millis(3000),
            lease_writes_per_second: 100,
            call_timeout: Millis(800),
            directory_poll_interval: Millis(1000),
            min_full_read_interval: Millis(5000),
            full_read_bytes_per_second: 2000,
            max_watchers: 16,
            release_timeout: Millis::from_secs(60),
            rebalance_interval: Millis::from_secs(5),
            stable_before_rebalance: Millis::from_secs(10),
        }
    }
}

impl Limits {
    /// Returns the span of a lease in a fleet of so many nodes.
    ///
    /// Renewals go out three times a span, so that `3 * nodes / span` stays
    /// within the budget.
    #[must_use]
    pub fn lease_ttl(&self, nodes: usize) -> Millis {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let budget = u64::from(self.lease_writes_per_second.max(1));
        let needed = nodes.saturating_mul(RENEWALS_PER_LEASE * 1000) / budget;
        self.min_lease_ttl.max(Millis(needed))
    }

    /// Returns how long a restarted witness stays silent.
    ///
    /// Longer than a round of asking plus the support that may be counted on.
    #[must_use]
    pub fn witness_silence(&self) -> Millis {
        SUPPORT_TTL
            + drift_margin(SUPPORT_TTL)
            + drift_margin(SUPPORT_TTL)
            + self.vote_timeout()
            + self.vote_timeout()
    }

    /// Returns how long a round of asking witnesses may gather answers.
    #[must_use]
    pub fn vote_timeout(&self) -> Millis {
        self.call_timeout
    }
}

/// Returns the part of a span that is not counted on because clocks run at different rates.
#[must_use]
pub const fn drift_margin(span: Millis) -> Millis {
    Millis(span.0.div_ceil(DRIFT_DIVISOR))
}
