//! The operators' configuration as it decides on requests.
//!
//! It is immutable: a request keeps the one that it began with.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::metadata::RequestKind;
use crate::clock::Millis;
use crate::name::Name;

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Rises with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: HashMap<Name, Pool>,
    /// What callers may send.
    pub limits: RequestLimits,
    index: HashMap<Name, Vec<usize>>,
}

/// What becomes of requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that it belongs to, in lower case.
    pub host: Name,
    /// Path prefix with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Option<Millis>,
    /// The time within which an answer is worth most.
    pub latency_objective: Millis,
    /// Rank among kinds of requests; 0 goes first.
    pub urgency: u8,
    /// Pools and their weights.
    pub pool_weights: SmallVec<[(Name, u32); 2]>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The longest pause between events with which an answer still counts as in time.
    pub max_event_gap: Option<Millis>,
}

/// Upstreams that serve the same.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Pool {
    /// Most connections that one upstream takes from all callers together.
    pub max_connections: usize,
    /// Set when the upstreams are model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a pool can hold.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Engine {
    /// Requests in one batch.
    pub max_batch: u32,
    /// Places for adapters, those on their way included.
    pub adapter_slots: usize,
    /// Memory for prompts and answers, in tokens.
    pub kv_capacity_tokens: u64,
    /// Base models with the time that one takes to load.
    pub model_load_times: Vec<(Name, Millis)>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Millis,
    /// Longest time that a connection may be unused.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    /// In force until a configuration is known; generous, since no caller is served before.
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
    /// Makes a configuration whose routes can be looked up.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: HashMap<Name, Pool>,
        limits: RequestLimits,
    ) -> Self {
        let mut index: HashMap<Name, Vec<usize>> = HashMap::new();
        for (place, route) in routes.iter().enumerate() {
            index
                .entry(Name::clone(&route.host))
                .or_default()
                .push(place);
        }
        for places in index.values_mut() {
            places.sort_by_key(|&place| std::cmp::Reverse(routes[place].prefix.len()));
        }
        Self {
            version,
            routes,
            pools,
            limits,
            index,
        }
    }

    /// Returns the route with the longest prefix that begins `path`.
    ///
    /// A port behind the host is ignored, and its case, as RFC 9110 has it.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let bare = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let places = self
            .index
            .get(bare)
            .or_else(|| self.index.get(bare.to_ascii_lowercase().as_str()))?;
        places
            .iter()
            .map(|&place| &self.routes[place])
            .find(|route| path.starts_with(&*route.prefix))
    }
}
