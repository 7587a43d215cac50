//! The pools at which streams began before the configuration moved their routes.
//!
//! Callers resume streams that began under an earlier configuration. Other pools serve other
//! streams, so a pool that served a route until a moment ago still counts.

use std::collections::{HashMap, HashSet};

use smallvec::SmallVec;

use super::config::{Config, Route};
use super::origin::STREAM_LIFETIME;
use crate::clock::Millis;
use crate::name::Name;

type Pools = SmallVec<[Name; 2]>;

/// Pools that served the streams of a host under a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Former {
    host: Name,
    prefix: Name,
    pools: Pools,
}

impl Former {
    /// Returns what a route serves under a prefix.
    fn of(route: &Route, prefix: &Name) -> Self {
        Self {
            host: Name::clone(&route.host),
            prefix: Name::clone(prefix),
            pools: route.pools().cloned().collect(),
        }
    }
}

/// Pools by what they served, with the time when another configuration replaced that.
#[derive(Debug, Default)]
pub struct FormerPools {
    replaced: HashMap<Former, Millis>,
}

impl FormerPools {
    /// Records what served streams differently in a configuration that is replaced by another one.
    pub fn replace(&mut self, old: &Config, new: &Config, now: Millis) {
        self.replaced
            .retain(|_, at| now.since(*at) < STREAM_LIFETIME);
        let (old_routes, new_routes) = (stream_routes(old), stream_routes(new));
        let (old, new) = (Index::of(old), Index::of(new));
        for changed in old_routes.symmetric_difference(&new_routes) {
            if let Some(before) = old.served(changed)
                && new.served(changed).as_ref() != Some(&before)
            {
                self.replaced.insert(before, now);
            }
        }
    }

    /// Returns the pools that served streams at a path until a moment ago.
    pub fn at<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Name> {
        let lasting = self
            .replaced
            .iter()
            .filter(move |(_, at)| now.since(**at) < STREAM_LIFETIME);
        let former = lasting.map(|(former, _)| former);
        former
            .filter(move |one| &*one.host == host && path.starts_with(&*one.prefix))
            .flat_map(|one| &one.pools)
    }
}

/// The routes of a configuration by host and prefix.
///
/// Searching all routes for each changed one takes too long when thousands are added at once.
struct Index<'a>(HashMap<(&'a str, &'a str), &'a Route>);

impl<'a> Index<'a> {
    fn of(config: &'a Config) -> Self {
        let mut routes = HashMap::with_capacity(config.routes.len());
        for route in &config.routes {
            routes
                .entry((&*route.host, &*route.prefix))
                .or_insert(route);
        }
        Self(routes)
    }

    /// Returns what serves the streams at another route's prefix.
    fn served(&self, other: &Former) -> Option<Former> {
        let mut prefix: &str = &other.prefix;
        loop {
            if let Some(route) = self.0.get(&(&*other.host, prefix)) {
                let is_streaming = route.kind.is_streaming();
                return is_streaming.then(|| Former::of(route, &other.prefix));
            }
            let parent = prefix.strip_suffix('/')?.rfind('/')?;
            prefix = &prefix[..=parent];
        }
    }
}

fn stream_routes(config: &Config) -> HashSet<Former> {
    let routes = config.routes.iter();
    let streaming = routes.filter(|route| route.kind.is_streaming());
    streaming
        .map(|route| Former::of(route, &route.prefix))
        .collect()
}
