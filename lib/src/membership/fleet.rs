//! Immutable snapshot of what a node knows of upstreams and their owners.
//!
//! Membership publishes a new snapshot through a watch channel; requests read it without a lock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::name::Name;
use crate::ports::Vm;

/// Whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may get new work.
    Usable,
    /// It gets no new work for a while, because it failed recently or a rejected list lacks it.
    Suspended,
    /// It is about to leave: in-flight work finishes, nothing new starts.
    Leaving,
}

/// An upstream as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The platform's description.
    pub vm: Vm,
    /// Whether it may get new work.
    pub state: State,
}

/// The node that owns an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The node's name.
    pub node: Name,
    /// Incarnation of the node; a restarted node owns nothing of its previous incarnation.
    pub incarnation: u64,
    /// The claim's fencing token; newer claims have larger tokens.
    pub token: u64,
    /// Where the node listens for peers.
    pub peer: SocketAddr,
}

/// Snapshot of the upstreams by pool, and of the owner of each.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pools: HashMap<Name, Vec<Arc<Upstream>>>,
    owners: HashMap<Name, Arc<Owner>>,
}

impl Fleet {
    /// Builds a snapshot of these upstreams and owners.
    #[must_use]
    pub fn new(upstreams: Vec<Upstream>, owners: HashMap<Name, Arc<Owner>>) -> Self {
        let mut pools: HashMap<Name, Vec<Arc<Upstream>>> = HashMap::new();
        for upstream in upstreams {
            pools
                .entry(Arc::clone(&upstream.vm.pool))
                .or_default()
                .push(Arc::new(upstream));
        }
        for members in pools.values_mut() {
            members.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        }
        Self { pools, owners }
    }

    /// Lists a pool's upstreams, ordered by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> &[Arc<Upstream>] {
        self.pools.get(name).map_or(&[], Vec::as_slice)
    }

    /// Lists all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.pools.values().flatten()
    }

    /// Returns the owner of an upstream.
    #[must_use]
    pub fn owner(&self, upstream: &str) -> Option<&Arc<Owner>> {
        self.owners.get(upstream)
    }
}
