//! Which upstreams this node can open connections to.
//!
//! A node can lose its path to all upstreams of a pool while other nodes keep theirs. Connection
//! attempts show that: one that fails may be the upstream's fault, several upstreams in a row
//! without a success in between are taken for the node's own. Nothing is concluded for good: a
//! direct attempt is due again after a short time, and the first success ends the state. See
//! docs/design/0016-nodes-without-a-path.md.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// Number of upstreams of a pool that must fail in a row before the node counts as cut off from it.
const MIN_FAILING: usize = 2;

/// Interval of direct connection attempts to an upstream, or a pool, that this node doesn't reach.
const RETRY_INTERVAL: Millis = Millis(500);

/// How long a failed attempt counts.
const FAILURE_MEMORY: Millis = Millis(3_000);

/// How long a path must have been missing before other nodes should take over what depends on it.
const LASTING_LOSS: Millis = Millis(1_000);

/// What this node reaches, by pool.
#[derive(Debug, Default)]
pub struct Reachability {
    pools: Mutex<HashMap<Name, PoolPaths>>,
}

/// Connection attempts to one pool.
#[derive(Debug, Default)]
struct PoolPaths {
    /// Upstreams to which the last attempt failed.
    failing: HashMap<Name, Failure>,
    /// Whether a failure in `failing` was the lack of any response.
    is_silent: bool,
    /// Since when all attempts have failed, once enough upstreams are concerned.
    cut_since: Option<Millis>,
    last_failure: Millis,
    last_attempt: Millis,
    /// When another node last connected to an upstream of the pool for this one.
    last_bypass: Option<Millis>,
}

/// An upstream that this node doesn't reach.
#[derive(Debug, Clone, Copy)]
struct Failure {
    since: Millis,
    last: Millis,
    last_attempt: Millis,
    /// Whether no upstream of the pool has been reached since.
    is_in_a_row: bool,
    /// When another node last connected to it for this one.
    last_bypass: Option<Millis>,
}

/// How a connection attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The connection was refused or reset.
    Refused,
    /// Nothing was heard within the timeout.
    Silent,
}

/// How to reach an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Directly; through another node only if that fails or takes long.
    Direct,
    /// Directly and through another node at the same time.
    Both,
    /// Through another node.
    Bypass,
}

impl PoolPaths {
    fn is_cut_off(&self, now: Millis) -> bool {
        self.cut_since.is_some() && now.since(self.last_failure) < FAILURE_MEMORY
    }

    /// Forgets failures that are too old to tell anything.
    fn expire(&mut self, now: Millis) {
        self.failing
            .retain(|_, failure| now.since(failure.last) < FAILURE_MEMORY);
        if self.failing.is_empty() {
            self.is_silent = false;
            self.cut_since = None;
        }
    }
}

impl Reachability {
    /// Returns how to reach an upstream, and records the direct attempt if one is due.
    pub fn advise(&self, upstream: &Upstream, now: Millis) -> Advice {
        let mut pools = self.pools();
        let Some(paths) = pools.get_mut(&upstream.pool) else {
            return Advice::Direct;
        };
        paths.expire(now);
        let is_cut_off = paths.is_cut_off(now);
        match paths.failing.get_mut(&upstream.incarnation) {
            Some(_) if is_cut_off => due(&mut paths.last_attempt, now),
            Some(failure) => due(&mut failure.last_attempt, now),
            // Several upstreams can fail at once without any fault of this node's paths.
            None if is_cut_off => Advice::Both,
            None => Advice::Direct,
        }
    }

    /// Records that this node connected to an upstream, or got a response on a connection of its
    /// own.
    pub fn record_success(&self, upstream: &Upstream, now: Millis) {
        let mut pools = self.pools();
        let Some(paths) = pools.get_mut(&upstream.pool) else {
            return;
        };
        if let Some(since) = paths.cut_since.take() {
            log::info!(
                pool = &*upstream.pool,
                upstream = &*upstream.incarnation,
                lasted_ms = now.since(since).0;
                "path: a pool is reached again"
            );
            paths.failing.clear();
        }
        paths.failing.remove(&upstream.incarnation);
        for failure in paths.failing.values_mut() {
            failure.is_in_a_row = false;
        }
        if paths.failing.is_empty() {
            pools.remove(&upstream.pool);
        }
    }

    /// Records that connecting to an upstream failed.
    pub fn record_failure(&self, upstream: &Upstream, loss: Loss, now: Millis) {
        let mut pools = self.pools();
        let paths = pools.entry(Name::clone(&upstream.pool)).or_default();
        paths.expire(now);
        let failure = paths
            .failing
            .entry(Name::clone(&upstream.incarnation))
            .or_insert(Failure {
                since: now,
                last: now,
                last_attempt: now,
                is_in_a_row: true,
                last_bypass: None,
            });
        failure.last = now;
        failure.is_in_a_row = true;
        paths.last_failure = now;
        paths.is_silent |= loss == Loss::Silent;
        let in_a_row = paths.failing.values().filter(|failure| failure.is_in_a_row);
        if paths.cut_since.is_none() && in_a_row.clone().count() >= MIN_FAILING {
            paths.cut_since = in_a_row.map(|failure| failure.since).min();
            paths.last_attempt = now;
            log::info!(
                pool = &*upstream.pool,
                upstreams = paths.failing.len(),
                loss = if paths.is_silent { "silent" } else { "refused" };
                "path: a pool isn't reached"
            );
        }
    }

    /// Records that another node connected to an upstream for this one.
    pub fn record_bypass(&self, upstream: &Upstream, now: Millis) {
        let mut pools = self.pools();
        let Some(paths) = pools.get_mut(&upstream.pool) else {
            return;
        };
        paths.last_bypass = Some(now);
        if let Some(failure) = paths.failing.get_mut(&upstream.incarnation) {
            failure.last_bypass = Some(now);
        }
    }

    /// Whether the last attempt to connect to an upstream failed a moment ago.
    #[must_use]
    pub fn has_failed(&self, upstream: &Upstream, now: Millis) -> bool {
        let pools = self.pools();
        pools.get(&upstream.pool).is_some_and(|paths| {
            let failure = paths.failing.get(&upstream.incarnation);
            failure.is_some_and(|failure| now.since(failure.last) < FAILURE_MEMORY)
        })
    }

    /// Whether this node doesn't reach an upstream, or none of a pool that other nodes reach.
    #[must_use]
    pub fn lacks_path(&self, upstream: &Upstream, now: Millis) -> bool {
        if self.has_failed(upstream, now) {
            return true;
        }
        let pools = self.pools();
        pools.get(&upstream.pool).is_some_and(|paths| {
            let bypass = paths.last_bypass;
            paths.is_cut_off(now) && bypass.is_some_and(|at| now.since(at) < FAILURE_MEMORY)
        })
    }

    /// Whether this node reaches no upstream of a pool.
    #[must_use]
    pub fn is_cut_off(&self, pool: &str, now: Millis) -> bool {
        let pools = self.pools();
        pools.get(pool).is_some_and(|paths| paths.is_cut_off(now))
    }

    /// Whether open connections to an upstream's pool are likely dead.
    ///
    /// A network that drops packets doesn't reset them.
    #[must_use]
    pub fn distrusts_open_connections(&self, pool: &str, now: Millis) -> bool {
        let pools = self.pools();
        pools
            .get(pool)
            .is_some_and(|paths| paths.is_cut_off(now) && paths.is_silent)
    }

    /// Whether another node has reached an upstream for a while that this node doesn't reach.
    #[must_use]
    pub fn is_reached_by_others(&self, upstream: &Upstream, now: Millis) -> bool {
        let pools = self.pools();
        let Some(paths) = pools.get(&upstream.pool) else {
            return false;
        };
        let lasts = |since: Millis, bypass: Option<Millis>| {
            now.since(since) >= LASTING_LOSS
                && bypass.is_some_and(|at| at > since && now.since(at) < FAILURE_MEMORY)
        };
        if let Some(since) = paths.cut_since
            && paths.is_cut_off(now)
        {
            return lasts(since, paths.last_bypass);
        }
        paths
            .failing
            .get(&upstream.incarnation)
            .is_some_and(|failure| lasts(failure.since, failure.last_bypass))
    }

    /// Returns how many pools this node doesn't reach.
    #[must_use]
    pub fn cut_off_pools(&self, now: Millis) -> usize {
        let pools = self.pools();
        pools.values().filter(|paths| paths.is_cut_off(now)).count()
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<Name, PoolPaths>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Advises a direct attempt beside another node's once an interval.
fn due(last_attempt: &mut Millis, now: Millis) -> Advice {
    if now.since(*last_attempt) < RETRY_INTERVAL {
        return Advice::Bypass;
    }
    *last_attempt = now;
    Advice::Both
}
