//! Permits from the queue's owner, whether this node or a peer, or from a local fallback
//! queue at a fraction of the rate while the owner can't be reached.
//!
//! The queue's owner can be down or unreachable for seconds. Without a fallback, all loads
//! would stop, and with them all requests for adapters that aren't resident. A node that
//! can't reach the owner continues at the store's rate divided by the number of nodes, so
//! that all nodes together don't exceed the store's capacity. See
//! docs/design/0001-one-owner-per-upstream.md.

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

/// Timeout of a permit whose holder is lost, in loads at the store's rate.
const PERMIT_TIMEOUT_LOADS: u64 = 10;

/// Pause between attempts to get a permit from the owner after a failure.
const OWNER_RETRY_PAUSE: Millis = Millis::from_secs(2);

/// Dependencies of the shared queue.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// The name of this node.
    pub node: Name,
    /// The fleet, with the owner of each upstream.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Clients for peer connections.
    pub clients: Arc<Clients>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The store's rate in loads per 1000 seconds.
    pub loads_per_kilosecond: u32,
}

/// Permits to load from the queue's current owner, with a local fallback.
#[derive(Debug)]
pub struct SharedPermitQueue {
    deps: Dependencies,
    queue: PermitQueue,
    fallback: PermitQueue,
}

impl SharedPermitQueue {
    /// Starts this node's queues.
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

    /// Returns the queue as offered to peers.
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

    /// Waits for a permit from the queue's owner.
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

    /// Waits for a permit from the local fallback queue.
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

    /// Retries the queue's owner until it grants a permit.
    async fn retry_owner(&self, request: &watch::Receiver<PermitRequest>) -> Box<dyn Permit> {
        loop {
            tokio::time::sleep(OWNER_RETRY_PAUSE.duration()).await;
            if let Ok(permit) = self.owner_permit(request.clone()).await {
                return permit;
            }
        }
    }

    /// Completes when the queue's owner changes.
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
            log::debug!("loads: no permit from the owner of the load queue: {failure}");
            tokio::select! {
                permit = self.fallback_permit(request.clone()) => return permit,
                permit = self.retry_owner(&request) => return Ok(permit),
                () = self.owner_changed() => {}
            }
        }
    }
}

/// The queue as offered to peers: only while this node owns it.
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

/// Returns the duration of a load at the store's rate.
fn load_time(loads_per_kilosecond: u32) -> Millis {
    Millis(1_000_000 / u64::from(loads_per_kilosecond.max(1)))
}

/// Returns the number of nodes that own upstreams and may load adapters, at least 1.
fn owner_node_count(fleet: &Fleet) -> u64 {
    let owners: HashSet<&str> = fleet
        .upstreams()
        .filter_map(|upstream| fleet.owner(&upstream.vm.name))
        .map(|owner| &*owner.node)
        .collect();
    owners.len().max(1) as u64
}
