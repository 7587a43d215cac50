//! The operators' configuration of routes, pools and request limits.
//!
//! It is immutable, and each request keeps the configuration that it began with.

use std::collections::{HashMap, HashSet};

use smallvec::SmallVec;

use super::metadata::RequestKind;
use crate::clock::Millis;
use crate::name::Name;

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// The version, which increases with every change.
    pub version: u64,
    /// All routes, in the order in which they are configured.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: HashMap<Name, Pool>,
    /// Limits on what callers send.
    pub limits: RequestLimits,
    routes_by_host: HashMap<Name, Vec<usize>>,
    shared_pools: HashSet<Name>,
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host that it matches, in lower case.
    pub host: Name,
    /// The path prefix that it matches, with a slash at both ends.
    pub prefix: Name,
    /// The kind of its requests, which determines whether they may be retried.
    pub kind: RequestKind,
    /// Maximum time that a caller waits.
    pub timeout: Option<Millis>,
    /// The time within which a response should arrive.
    pub latency_objective: Millis,
    /// Priority of its requests; 0 is served first.
    pub urgency: u8,
    /// The pools that serve it, with their weights.
    pub pool_weights: SmallVec<[(Name, u32); 2]>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Maximum pause between events of a stream that still counts as in time.
    pub max_event_gap: Option<Millis>,
}

impl Route {
    /// Returns the pools that serve new requests of the route.
    pub fn pools(&self) -> impl Iterator<Item = &Name> {
        let pools = self.pool_weights.iter();
        pools
            .filter(|(_, weight)| *weight > 0)
            .map(|(pool, _)| pool)
    }
}

/// A group of upstreams that run the same models.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Pool {
    /// Maximum number of connections that one upstream accepts from all its clients together.
    pub max_connections: usize,
    /// Set when the upstreams are model engines.
    pub engine: Option<Engine>,
}

/// Capacities of the engines of a pool.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub max_batch: u32,
    /// Slots for adapters, including those being loaded.
    pub adapter_slots: usize,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Base models, each with the time that it takes to load.
    pub model_load_times: Vec<(Name, Millis)>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive.
    pub head_timeout: Millis,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until a configuration is known.
    ///
    /// They can be generous, since no caller is served before then.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(60),
        }
    }
}

impl Config {
    /// Creates a configuration and indexes its routes by host.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: HashMap<Name, Pool>,
        limits: RequestLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<Name, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            routes_by_host
                .entry(Name::clone(&route.host))
                .or_default()
                .push(index);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let shared_routes = routes
            .iter()
            .filter(|route| route.kind.is_streaming() && route.pools().nth(1).is_some());
        let shared_pools = shared_routes.flat_map(Route::pools).cloned().collect();
        Self {
            version,
            routes,
            pools,
            limits,
            routes_by_host,
            shared_pools,
        }
    }

    /// Returns the pools among which a route of streams divides its requests.
    #[must_use]
    pub fn shared_pools(&self) -> &HashSet<Name> {
        &self.shared_pools
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// The host's port and case are ignored, as in RFC 9110.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let indices = self
            .routes_by_host
            .get(name)
            .or_else(|| self.routes_by_host.get(name.to_ascii_lowercase().as_str()))?;
        indices
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(&*route.prefix))
    }
}
