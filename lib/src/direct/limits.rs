//! Bounds and thresholds of direct serving, each with its source.

use std::sync::{Mutex, PoisonError};

use crate::clock::Millis;

/// Bounds that a deployment sets; the defaults suit a deployment of a dozen engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Time from the request to stop until the process is killed.
    pub shutdown: Millis,
    /// Least time between orders of two nodes to one engine.
    pub order_gap: Millis,
    /// Time within which a new version of an adapter has to be the only one begun on.
    pub version_rollout: Millis,
    /// Time within which a leaving upstream must get no new work.
    pub leave_notice: Millis,
    /// Time within which a configuration has to be in force.
    pub config_apply: Millis,
    /// Time from a node's return within which it has to know what changed while it was away.
    pub rejoin: Millis,
    /// Silence of an upstream after which its entry vanishes.
    pub entry_expiry: Millis,
    /// The budget for sending requests again, of all nodes together.
    pub retries: RetryLimits,
}

/// How many requests may be sent a further time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Further sends for each request in a window.
    pub ratio: f64,
    /// The window's length.
    pub window: Millis,
    /// Further sends in a window beside the ratio.
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
            retries: RetryLimits {
                ratio: 0.2,
                window: Millis::from_secs(10),
                extra: 50,
            },
        }
    }
}

/// The bounds in force, one copy for all parts of a node.
///
/// A deployment may change them while its nodes run; a part that kept its own copy
/// would go by the old ones until the next start.
#[derive(Debug, Default)]
pub struct SharedLimits(Mutex<Limits>);

impl SharedLimits {
    /// Puts bounds in force.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Mutex::new(limits))
    }

    /// Returns the bounds in force.
    #[must_use]
    pub fn get(&self) -> Limits {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts other bounds in force.
    pub fn set(&self, limits: Limits) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }
}

/// Lifetime of a node's lease at the key-value service.
///
/// A dead node's engines get no orders for this long and [`OWNERSHIP_TERM`] and the
/// turn's length more, so it is short; renewals are priced, so it isn't shorter.
pub const LEASE_TTL: Millis = Millis(3_000);

/// How long after sending a renewal a node may give orders.
///
/// Less than [`LEASE_TTL`], so that a node whose keys lapse has stopped before.
pub const OWNERSHIP_TERM: Millis = Millis(2_000);

/// Pause between renewals: two may fail before the right ends.
pub const RENEWAL_INTERVAL: Millis = Millis(650);

/// The longest that a renewal may take to answer: twice the slowest service's 240 ms.
pub const RENEWAL_TIMEOUT: Millis = Millis(500);

/// The longest that a call for changes waits.
///
/// A connection can go silent for good, and only this bound shows it; a leaving
/// upstream has to be known within [`Limits::leave_notice`].
pub const POLL_TIMEOUT: Millis = Millis(2_000);

/// Part of the time within which changes have to be known that passes between calls for changes.
///
/// Each call is priced, and heartbeats of upstreams make changes all the time,
/// so the pause sets the number of calls: 0.8 s where two seconds are allowed.
/// The rest is for the call itself and a slow service.
const POLL_SHARE: f64 = 0.4;

/// Part of the same time that a call waits at a node to which others listen.
///
/// They have to hear from it often enough though nothing changes: each half of the time, with
/// the pause.
const LEADER_WAIT_SHARE: f64 = 0.1;

/// Part of the same time after which changes that were passed on are too old to rely on.
///
/// A node that passes changes on does so each 0.6 of the time at the latest; a quarter is left
/// for the call that a node makes itself then, also to a slow service.
const OLDEST_SHARE: f64 = 0.75;

/// Part of the same time that is left for other nodes to appear before engines are shared out.
///
/// Their records are known a pause between calls for changes later, and a call. Before that each
/// node takes engines for its own that others come first for, and most claims fail.
const GATHER_SHARE: f64 = 0.6;

/// Part of the same time that a claim waits for each node that comes before this one.
///
/// Earlier, that node's claim would seldom be known, and the call would be in vain.
const CLAIM_RANK_SHARE: f64 = 0.25;

/// How long an adapter that was asked for isn't evicted though no request is counted with it.
///
/// Between a load and the request's arrival lie some milliseconds, or a second where its node
/// is slow. An engine protects what runs by itself, but an eviction that waits for runs keeps
/// all other orders of its engine waiting.
pub const IN_USE_GRACE: Millis = Millis(1_200);

/// Shortest pause between exchanges with another node.
const EXCHANGE: Millis = Millis(500);

/// Pause between exchanges for each node: 80 exchanges a second leave or reach a node at most.
const EXCHANGE_PER_NODE: Millis = Millis(12);

/// Returns the pause between exchanges in a deployment of this many nodes.
#[must_use]
pub fn exchange_interval(nodes: usize) -> Millis {
    let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
    EXCHANGE.max(Millis(EXCHANGE_PER_NODE.0.saturating_mul(nodes)))
}

/// Returns how long an adapter isn't evicted that a node used without being counted.
///
/// Such a node tells of its requests with each exchange, and one may be lost.
#[must_use]
pub fn in_use_grace(nodes: usize) -> Millis {
    IN_USE_GRACE.max(Millis(exchange_interval(nodes).0 * 2 + 200))
}

impl Limits {
    /// Returns the pause between two calls for changes.
    #[must_use]
    pub fn poll_interval(&self) -> Millis {
        self.change_part(POLL_SHARE)
    }

    /// Returns how long a call for changes waits at a node that others listen to.
    #[must_use]
    pub fn leader_poll_timeout(&self) -> Millis {
        self.change_part(LEADER_WAIT_SHARE)
    }

    /// Returns the age of the newest change that was passed on, from which on a node asks itself.
    #[must_use]
    pub fn max_update_age(&self) -> Millis {
        self.change_part(OLDEST_SHARE)
    }

    /// Returns the time for other nodes to appear before engines are shared out.
    #[must_use]
    pub fn discovery_window(&self) -> Millis {
        self.change_part(GATHER_SHARE)
    }

    /// Returns how long a claim waits for each node that comes before the one that makes it.
    #[must_use]
    pub fn claim_delay_per_rank(&self) -> Millis {
        self.change_part(CLAIM_RANK_SHARE).max(Millis(1))
    }

    /// Returns a part of the time within which changes have to be known.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some seconds"
    )]
    fn change_part(&self, part: f64) -> Millis {
        let shortest = self.config_apply.min(self.leave_notice);
        Millis((shortest.0 as f64 * part) as u64)
    }
}

/// Pause after a failed call to the key-value service.
pub const STORE_RETRY_PAUSE: Millis = Millis(200);

/// Margin for clocks' rates and for orders on their way, when waiting out another node's right.
pub const ORDER_GAP_MARGIN: Millis = Millis(300);
