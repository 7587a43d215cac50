//! Permits to load from wherever it can be had: the queue's owner, this node or a
//! peer, and while it can't be reached a small share of the rate.
//!
//! The queue's owner can be dead or cut off for seconds. All loads would stop
//! then, and every cold adapter with them. A node that can't reach it goes on at
//! the store's rate divided by the number of nodes, so that all of them together
//! don't ask the store for more than it gives. See docs/design/0001-one-owner-per-upstream.md.

use std::collections::HashSet;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::sync::watch;

use super::queue::{Limits, PermitQueue};
use super::{Permit, PermitRequest, PermitSource, WEIGHT_STORE};
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::membership::Fleet;
use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::peer::{Clients, Remote};
use crate::policy;

/// Loads that a lost holder of a permit may hold up, in loads at the store's rate.
const PERMIT_TIMEOUT_LOADS: u64 = 10;

/// Time between two tries of an owner that gives no permit.
const OWNER_RETRY_PAUSE: Millis = Millis::from_secs(2);

/// What the shared queue works with.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// Who owns what.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The ways to peers.
    pub clients: Arc<Clients>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The store's rate: loads a second, in thousandths.
    pub loads_per_kilosecond: u32,
}

/// Permits to load, wherever the queue is.
#[derive(Debug)]
pub struct SharedPermitQueue {
    deps: Dependencies,
    queue: PermitQueue,
    fallback: PermitQueue,
}

impl SharedPermitQueue {
    /// Starts this node's part.
    #[must_use]
    pub fn start(deps: Dependencies) -> Arc<Self> {
        let load = load_time(deps.loads_per_kilosecond);
        let limits = |min_start_interval| Limits {
            queue: policy::loads::Limits {
                timeout: Millis(load.0.saturating_mul(PERMIT_TIMEOUT_LOADS)),
                ..policy::loads::Limits::default()
            },
            min_start_interval,
        };
        Arc::new(Self {
            queue: PermitQueue::start(limits(Millis::ZERO), Arc::clone(&deps.clock)),
            fallback: PermitQueue::start(limits(load), Arc::clone(&deps.clock)),
            deps,
        })
    }

    /// Returns the queue that this node's service gives its peers.
    #[must_use]
    pub fn for_peers(self: &Arc<Self>) -> Arc<dyn PermitSource> {
        Arc::new(OwnedQueue(Arc::clone(self)))
    }

    fn owner(&self) -> Option<Arc<Owner>> {
        self.deps.fleet.borrow().owner(WEIGHT_STORE).cloned()
    }

    fn is_owned_locally(&self) -> bool {
        self.owner()
            .is_some_and(|owner| owner.node == self.deps.node)
    }

    /// Waits for a permit at the queue's owner.
    async fn owner_permit(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        match self.owner() {
            Some(owner) if owner.node == self.deps.node => self.queue.acquire(request).await,
            Some(owner) => {
                let remote = Remote {
                    clients: Arc::clone(&self.deps.clients),
                    address: owner.peer,
                };
                remote.acquire(request).await
            }
            None => Err(not_owner()),
        }
    }

    /// Waits for a permit from this node's share.
    async fn fallback_permit(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        let nodes = owner_node_count(&self.deps.fleet.borrow());
        let load = load_time(self.deps.loads_per_kilosecond);
        self.fallback
            .set_min_start_interval(Millis(load.0.saturating_mul(nodes)))
            .await;
        self.fallback.acquire(request).await
    }

    /// Tries the queue's owner again and again.
    async fn retry_owner(&self, request: &watch::Receiver<PermitRequest>) -> Box<dyn Permit> {
        loop {
            tokio::time::sleep(OWNER_RETRY_PAUSE.duration()).await;
            if let Ok(permit) = self.owner_permit(request.clone()).await {
                return permit;
            }
        }
    }

    /// Returns when the queue has another owner.
    async fn owner_changed(&self) {
        let before = self.owner();
        let mut fleet = self.deps.fleet.clone();
        let changed = fleet.wait_for(|fleet| fleet.owner(WEIGHT_STORE) != before.as_ref());
        if changed.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[async_trait]
impl PermitSource for SharedPermitQueue {
    async fn acquire(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        loop {
            let failure = tokio::select! {
                permit = self.owner_permit(request.clone()) => match permit {
                    Ok(permit) => return Ok(permit),
                    Err(failure) => failure,
                },
                () = self.owner_changed() => continue,
            };
            log::debug!("loads: the queue's owner gives no permit: {failure}");
            tokio::select! {
                permit = self.fallback_permit(request.clone()) => return permit,
                permit = self.retry_owner(&request) => return Ok(permit),
                () = self.owner_changed() => {}
            }
        }
    }
}

/// The queue as peers see it: only while this node owns it.
#[derive(Debug)]
struct OwnedQueue(Arc<SharedPermitQueue>);

#[async_trait]
impl PermitSource for OwnedQueue {
    async fn acquire(
        &self,
        request: watch::Receiver<PermitRequest>,
    ) -> Result<Box<dyn Permit>, Failure> {
        if !self.0.is_owned_locally() {
            return Err(not_owner());
        }
        tokio::select! {
            permit = self.0.queue.acquire(request) => permit,
            () = self.0.owner_changed() => Err(not_owner()),
        }
    }
}

fn not_owner() -> Failure {
    Failure::new(Code::NotOwner, "this node doesn't own the load queue")
}

/// Returns how long one load takes at the store's rate.
fn load_time(loads_per_kilosecond: u32) -> Millis {
    Millis(1_000_000 / u64::from(loads_per_kilosecond.max(1)))
}

/// Returns how many nodes own upstreams, and so may load; at least this one.
fn owner_node_count(fleet: &Fleet) -> u64 {
    let owners: HashSet<&str> = fleet
        .upstreams()
        .filter_map(|upstream| fleet.owner(&upstream.vm.name))
        .map(|owner| &*owner.node)
        .collect();
    owners.len().max(1) as u64
}
