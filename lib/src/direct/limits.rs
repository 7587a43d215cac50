//! Timeouts, intervals and budgets of direct serving.

use std::sync::{Mutex, PoisonError};

use crate::clock::Millis;

/// Limits that a deployment configures. The defaults suit a deployment of a dozen engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Time from the request to shut down until the process is killed.
    pub shutdown: Millis,
    /// Minimum time between orders that two different nodes send to one engine.
    pub order_gap: Millis,
    /// Time after which requests may start only on the new version of an adapter.
    pub version_rollout: Millis,
    /// Time after which an upstream that is leaving must receive no new requests.
    pub leave_notice: Millis,
    /// Time after which a new configuration must be in effect.
    pub config_apply: Millis,
    /// Time after a node regains the key-value service within which it must know what has changed
    /// in the meantime.
    pub rejoin: Millis,
    /// Time without heartbeats after which an upstream's entry expires.
    pub entry_expiry: Millis,
    /// Time for which upstreams announce a limit on rejections before it takes effect.
    pub rejection_lead: Millis,
    /// Maximum number of connections that callers hold at a node.
    pub caller_connections: usize,
    /// Maximum number of bytes that all callers' request bodies hold at a node.
    pub body_memory: usize,
    /// Maximum number of bytes that all responses which are read whole hold at a node.
    pub response_memory: usize,
    /// The retry budget that all nodes share.
    pub retries: RetryLimits,
}

/// Limits on the number of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request in a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Retries allowed in a window in addition to the ratio.
    pub extra: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shutdown: Millis::from_secs(8),
            order_gap: Millis(3_000),
            version_rollout: Millis(5_000),
            leave_notice: Millis(2_000),
            config_apply: Millis(2_000),
            rejoin: Millis(3_000),
            entry_expiry: Millis(3_600),
            rejection_lead: Millis(3_000),
            caller_connections: 2_000,
            body_memory: 64 << 20,
            response_memory: 64 << 20,
            retries: RetryLimits {
                ratio: 0.2,
                window: Millis::from_secs(10),
                extra: 50,
            },
        }
    }
}

/// The limits in effect, shared by all parts of a node.
///
/// A deployment may change them while its nodes run. A component that kept its own copy would
/// use the old limits until the next restart.
#[derive(Debug, Default)]
pub struct SharedLimits(Mutex<Limits>);

impl SharedLimits {
    /// Creates shared limits with the given initial values.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Mutex::new(limits))
    }

    /// Returns the limits in effect.
    #[must_use]
    pub fn get(&self) -> Limits {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits in effect.
    pub fn set(&self, limits: Limits) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }
}

/// Time to live of a node's lease at the key-value service.
///
/// After a node dies, its engines get no orders for this time plus [`OWNERSHIP_TERM`] and
/// [`Limits::order_gap`], which calls for a short lease. Each renewal is billed, which rules out
/// a shorter one.
pub const LEASE_TTL: Millis = Millis(3_000);

/// Time after sending a renewal during which a node may give orders.
///
/// Shorter than [`LEASE_TTL`], so that a node stops giving orders before its keys expire.
pub const OWNERSHIP_TERM: Millis = Millis(2_000);

/// Interval between lease renewals. Two in a row may fail before [`OWNERSHIP_TERM`] has passed.
pub const RENEWAL_INTERVAL: Millis = Millis(650);

/// Timeout of a lease renewal: twice the 240 ms that the slowest service takes.
pub const RENEWAL_TIMEOUT: Millis = Millis(500);

/// Longest time that a long poll for changes waits.
///
/// Only this limit reveals a connection that has gone silent for good, and an upstream that is
/// leaving must be known within [`Limits::leave_notice`].
pub const POLL_TIMEOUT: Millis = Millis(2_000);

/// Pause between polls for changes, as a fraction of the time within which changes must be known.
///
/// Each poll is billed, and heartbeats of upstreams cause changes all the time, so the pause
/// determines the number of polls: it is 0.8 s where two seconds are allowed. The rest of the
/// time is left for the poll itself and for a slow service.
const POLL_INTERVAL_FRACTION: f64 = 0.4;

/// Longest wait of a poll at a node that publishes changes to other nodes, as a fraction of the
/// same time.
///
/// Subscribers must hear from the node often enough even when nothing changes: the pause
/// between polls and this wait add up to half of the time.
const LEADER_POLL_FRACTION: f64 = 0.1;

/// Age above which changes received from another node are too old to rely on, as a fraction of
/// the same time.
///
/// A publishing node sends an update at least once in 0.6 of the time. The remaining quarter is
/// left for the receiving node's own poll, even of a slow service.
const MAX_UPDATE_AGE_FRACTION: f64 = 0.75;

/// Time for other nodes to be discovered before engines are claimed, as a fraction of the same
/// time.
///
/// The records of other nodes are known after one pause between polls and one poll. Before that,
/// a node would claim engines for which other nodes rank higher, and most claims would fail.
const DISCOVERY_FRACTION: f64 = 0.6;

/// Delay of a claim for each node that ranks before this one, as a fraction of the same time.
///
/// With a shorter delay, the claim of that node would seldom be known yet, and the call to the
/// key-value service would be wasted.
const CLAIM_DELAY_FRACTION: f64 = 0.25;

/// Time for which a requested adapter isn't evicted although no counted request uses it.
///
/// The request arrives some milliseconds after the adapter is loaded, or a second later if its
/// node is slow. An engine itself protects the adapters of running requests, but an eviction that
/// waits for them blocks all other orders to that engine.
pub const IN_USE_GRACE: Millis = Millis(1_200);

/// Shortest interval between exchanges with another node.
const MIN_EXCHANGE_INTERVAL: Millis = Millis(500);

/// Interval between exchanges per node of the deployment. A node sends and receives about
/// 80 exchanges per second at most.
const EXCHANGE_INTERVAL_PER_NODE: Millis = Millis(12);

/// Returns the interval between exchanges in a deployment with `nodes` nodes.
#[must_use]
pub fn exchange_interval(nodes: usize) -> Millis {
    let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
    MIN_EXCHANGE_INTERVAL.max(Millis(EXCHANGE_INTERVAL_PER_NODE.0.saturating_mul(nodes)))
}

/// Returns the time for which an adapter isn't evicted after a node reported an uncounted request
/// that uses it.
///
/// A node reports such requests in each exchange, and one exchange may be lost.
#[must_use]
pub fn in_use_grace(nodes: usize) -> Millis {
    IN_USE_GRACE.max(Millis(exchange_interval(nodes).0 * 2 + 200))
}

impl Limits {
    /// Returns the pause between two polls for changes.
    #[must_use]
    pub fn poll_interval(&self) -> Millis {
        self.change_fraction(POLL_INTERVAL_FRACTION)
    }

    /// Returns how long a poll for changes waits at a node that publishes changes to others.
    #[must_use]
    pub fn leader_poll_timeout(&self) -> Millis {
        self.change_fraction(LEADER_POLL_FRACTION)
    }

    /// Returns the age of the newest received update above which a node polls by itself.
    #[must_use]
    pub fn max_update_age(&self) -> Millis {
        self.change_fraction(MAX_UPDATE_AGE_FRACTION)
    }

    /// Returns the time for other nodes to be discovered before engines are claimed.
    #[must_use]
    pub fn discovery_window(&self) -> Millis {
        self.change_fraction(DISCOVERY_FRACTION)
    }

    /// Returns the delay of a claim for each node that ranks before the claiming one.
    #[must_use]
    pub fn claim_delay_per_rank(&self) -> Millis {
        self.change_fraction(CLAIM_DELAY_FRACTION).max(Millis(1))
    }

    /// Returns a fraction of the time within which changes must be known.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some seconds"
    )]
    fn change_fraction(&self, fraction: f64) -> Millis {
        let shortest = self.config_apply.min(self.leave_notice);
        Millis((shortest.0 as f64 * fraction) as u64)
    }
}

/// Pause before retrying a failed call to the key-value service.
pub const STORE_RETRY_PAUSE: Millis = Millis(200);

/// Margin for clock drift and for orders in flight, added when waiting for another node's right to
/// give orders to end.
pub const ORDER_GAP_MARGIN: Millis = Millis(300);
