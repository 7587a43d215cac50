//! Timeouts, intervals and budgets of membership, with their defaults.

use crate::clock::Millis;

/// Renewals in one lease TTL; two may be lost before the lease expires.
pub const RENEWALS_PER_LEASE: u64 = 3;

/// A duration divided by this is how far clocks may drift apart during it, and how far
/// responses may round it.
const DRIFT_DIVISOR: u64 = 16;

/// How long a witness's support lasts, counted from the request for it.
///
/// A constant, since owners, witnesses and successors must use the same value.
pub const SUPPORT_TTL: Millis = Millis(3000);

/// How long an owner may go on without the key-value service, and how long a successor
/// waits if the witnesses are lost for good. See docs/operators/failures.md.
pub const MAX_OUTAGE: Millis = Millis::from_secs(2 * 3600);

/// Timeouts, intervals and budgets, some of which the settings override.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Shortest TTL of a node's lease.
    pub min_lease_ttl: Millis,
    /// Lease renewals per second of the whole fleet.
    pub lease_writes_per_second: u32,
    /// Timeout of a call to the key-value service or a peer.
    pub call_timeout: Millis,
    /// Interval of reads of the list of VMs.
    pub directory_poll_interval: Millis,
    /// Shortest interval of full reads of the membership keys.
    pub min_full_read_interval: Millis,
    /// Bytes per second that a node may spend on full reads.
    pub full_read_bytes_per_second: u64,
    /// Number of nodes that watch the membership keys; the others learn of changes from them.
    pub max_watchers: usize,
    /// How long a handover waits for the upstream's running requests.
    pub release_timeout: Millis,
    /// Interval of handovers that balance the numbers of owned upstreams.
    pub rebalance_interval: Millis,
    /// How long the set of nodes must have been unchanged before such a handover.
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
    /// Returns the TTL of a lease in a fleet of `nodes` nodes.
    ///
    /// Each node renews three times per TTL, and `3 * nodes / ttl` stays within
    /// [`Limits::lease_writes_per_second`].
    #[must_use]
    pub fn lease_ttl(&self, nodes: usize) -> Millis {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let budget = u64::from(self.lease_writes_per_second.max(1));
        let needed = nodes.saturating_mul(RENEWALS_PER_LEASE * 1000) / budget;
        self.min_lease_ttl.max(Millis(needed))
    }

    /// Returns how long a restarted witness doesn't vote.
    ///
    /// Longer than a round of votes plus the support that may be counted on.
    #[must_use]
    pub fn witness_silence(&self) -> Millis {
        SUPPORT_TTL
            + drift_margin(SUPPORT_TTL)
            + drift_margin(SUPPORT_TTL)
            + self.vote_timeout()
            + self.vote_timeout()
    }

    /// Returns how long after the start of a round votes of witnesses count.
    #[must_use]
    pub fn vote_timeout(&self) -> Millis {
        self.call_timeout
    }
}

/// Returns the part of a duration that is not relied on, as clocks run at different rates.
#[must_use]
pub const fn drift_margin(duration: Millis) -> Millis {
    Millis(duration.0.div_ceil(DRIFT_DIVISOR))
}
