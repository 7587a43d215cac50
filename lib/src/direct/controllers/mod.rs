//! Requests to the nodes that own engines, and the controllers of the engines that this node owns.
//!
//! Log lines start with `ask:`.

mod broadcast;
mod exchange;
mod origins;
mod vote;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::oneshot;
use tonic::transport::{Channel, Endpoint};

pub use self::origins::OriginSearch;
use self::origins::Origins;
use super::dialect::Dialect;
use super::fanout::Hub;
use super::limits::exchange_interval;
use super::occupancy::OccupancyTable;
use super::orders::unanswered::SharedLoads;
use super::orders::{EngineClient, EngineController, LoadCommand, LoadOutcome, Tick};
use super::ownership::Ownership;
use super::upstream::Upstream;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::schema::direct::orders_client::OrdersClient;
use crate::schema::direct::{LoadReply, LoadRequest, Outcome};

/// Timeout of connecting to another node.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Interval of HTTP/2 keepalive pings while calls to a node are open.
const KEEPALIVE_INTERVAL: Millis = Millis(2_000);

/// Timeout of a keepalive ping, after which the connection is closed.
const KEEPALIVE_TIMEOUT: Millis = Millis(1_000);

/// Timeout of a load that another node orders.
const REMOTE_LOAD_TIMEOUT: Millis = Millis(4_500);

/// Interval at which a pending load checks whether the owner still responds to exchanges.
const RESPONSIVENESS_POLL_INTERVAL: Millis = Millis(100);

/// Interval of the controllers' periodic work.
const TICK_INTERVAL: Millis = Millis(250);

/// Capacity of a controller's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 256;

/// Which call an unresponsive node missed.
///
/// A busy owner answers an admission request later than the request can wait, but goes on with
/// its loads. When such owners were treated as gone, hundreds of their loads were abandoned on
/// busy days and started again at other engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Missed {
    /// The node answers admission requests too late.
    Admission,
    /// The node didn't respond to an exchange, which has the longer timeout.
    Exchange,
}

/// The controllers of the engines that this node owns, and clients of the other owners.
#[derive(Debug)]
pub struct Controllers {
    /// This node's view of the deployment.
    pub view: Arc<View>,
    /// The engines that this node owns.
    pub ownership: Arc<Ownership>,
    /// The platform's wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// This node's name.
    pub node: Name,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Controllers by the engine's incarnation, with the start time that each is for.
    by_engine: Mutex<HashMap<Name, (u64, ActorRef<EngineController>)>>,
    /// Loads without an answer by the engine's incarnation, whichever start they were sent to.
    unanswered_loads: Mutex<HashMap<Name, SharedLoads>>,
    clients: Mutex<HashMap<SocketAddr, OrdersClient<Channel>>>,
    /// Nodes that didn't count a request, and until when they aren't asked again.
    pub(super) uncounting: Mutex<HashMap<SocketAddr, Millis>>,
    /// Adapters used by uncounted requests since the last exchange, by engine.
    recorded_uses: Mutex<HashMap<Name, Vec<Name>>>,
    /// Nodes that missed a call, until they respond to an exchange.
    unresponsive: Mutex<HashMap<SocketAddr, Missed>>,
    /// Requests of all nodes at the engines that this node owns.
    pub(super) table: Arc<OccupancyTable>,
    /// Passes changes of the key-value service on to nodes of this failure domain.
    pub hub: Arc<Hub>,
    /// Where streams began.
    origins: Origins,
    /// Number of loads that this node waits for, by the owner's address.
    pending_loads: Mutex<HashMap<SocketAddr, u32>>,
}

/// Counts a load pending at another owner until it is dropped.
#[derive(Debug)]
struct PendingLoad<'a> {
    controllers: &'a Controllers,
    owner: SocketAddr,
}

impl<'a> PendingLoad<'a> {
    fn new(controllers: &'a Controllers, owner: SocketAddr) -> Self {
        *controllers.pending_loads().entry(owner).or_default() += 1;
        Self { controllers, owner }
    }
}

impl Drop for PendingLoad<'_> {
    fn drop(&mut self) {
        let mut pending = self.controllers.pending_loads();
        if let Some(count) = pending.get_mut(&self.owner) {
            *count -= 1;
            if *count == 0 {
                pending.remove(&self.owner);
            }
        }
    }
}

impl Controllers {
    /// Creates a registry without controllers.
    #[must_use]
    pub fn new(
        view: Arc<View>,
        ownership: Arc<Ownership>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        node: Name,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            view,
            ownership,
            dialect,
            table: Arc::new(OccupancyTable::new(Arc::clone(&clock))),
            hub: Arc::new(Hub::new(Arc::clone(&clock), Arc::clone(&metrics))),
            clock,
            node,
            metrics,
            by_engine: Mutex::default(),
            unanswered_loads: Mutex::default(),
            clients: Mutex::default(),
            uncounting: Mutex::default(),
            recorded_uses: Mutex::default(),
            unresponsive: Mutex::default(),
            origins: Origins::default(),
            pending_loads: Mutex::default(),
        }
    }

    /// Records that a request of this node uses an adapter without being counted by the owner.
    pub fn record_use(&self, upstream: &Upstream, adapter: &Name) {
        let mut uses = self
            .recorded_uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let adapters = uses.entry(Name::clone(&upstream.incarnation)).or_default();
        if !adapters.contains(adapter) {
            adapters.push(Name::clone(adapter));
        }
    }

    /// Whether an engine has an owner that responds and may send orders.
    #[must_use]
    pub fn has_live_owner(&self, upstream: &Upstream) -> bool {
        if self.ownership.owns(upstream.address) {
            return self.ownership.fencing_token(upstream.address).is_some();
        }
        let owner = self.view.owner(upstream.address);
        owner.is_some_and(|(_, peer)| !self.has_missed_exchange(peer.address))
    }

    /// Loads an adapter at an engine, through the node that owns the engine.
    pub async fn load(
        &self,
        upstream: &Arc<Upstream>,
        adapter: &Name,
        version: u64,
    ) -> LoadOutcome {
        if self.ownership.owns(upstream.address) {
            return self.load_locally(upstream, adapter, version).await;
        }
        let outcome = self.load_remotely(upstream, adapter, version).await;
        if let LoadOutcome::Ready(version) = outcome {
            upstream.set_adapter(adapter, version);
        }
        outcome
    }

    pub(super) async fn load_locally(
        &self,
        upstream: &Arc<Upstream>,
        adapter: &Name,
        version: u64,
    ) -> LoadOutcome {
        let Some(controller) = self.controller(upstream) else {
            return LoadOutcome::Failed;
        };
        let (reply, receiver) = oneshot::channel();
        let load = LoadCommand {
            adapter: Name::clone(adapter),
            version,
            reply,
        };
        if controller.tell(load).try_send().is_err() {
            return LoadOutcome::Full;
        }
        let outcome = receiver.await.unwrap_or(LoadOutcome::Failed);
        if let LoadOutcome::Ready(version) = outcome {
            upstream.set_adapter(adapter, version);
        }
        outcome
    }

    async fn load_remotely(
        &self,
        upstream: &Arc<Upstream>,
        adapter: &Name,
        version: u64,
    ) -> LoadOutcome {
        let Some((node, peer)) = self.view.owner(upstream.address) else {
            return LoadOutcome::NotOwner;
        };
        let request = LoadRequest {
            incarnation: upstream.incarnation.to_string(),
            adapter: adapter.to_string(),
            version,
        };
        let mut client = self.client(peer.address);
        let _pending = PendingLoad::new(self, peer.address);
        let call = tokio::time::timeout(REMOTE_LOAD_TIMEOUT.duration(), client.load(request));
        let result = tokio::select! {
            result = call => result,
            () = self.wait_for_missed_exchange(peer.address) => {
                log::info!("ask: {node} no longer answers");
                return LoadOutcome::Failed;
            }
        };
        match result {
            Ok(Ok(reply)) => load_outcome(reply.get_ref()),
            Ok(Err(status)) => {
                log::info!("ask: {node} does not answer: {}", status.message());
                LoadOutcome::Failed
            }
            Err(_) => {
                self.drop_client(peer.address);
                LoadOutcome::Failed
            }
        }
    }

    /// Waits until a node doesn't respond to an exchange.
    ///
    /// A VM that is suspended, partitioned or without power closes no connection. A load request
    /// would wait there for its whole timeout, which was 2.7 s at the median, while another
    /// engine could load the adapter in a tenth of that. An exchange detects it within 1.3 s.
    async fn wait_for_missed_exchange(&self, address: SocketAddr) {
        while !self.has_missed_exchange(address) {
            tokio::time::sleep(RESPONSIVENESS_POLL_INTERVAL.duration()).await;
        }
    }

    fn pending_loads(&self) -> MutexGuard<'_, HashMap<SocketAddr, u32>> {
        self.pending_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node missed a call and hasn't responded to an exchange since.
    pub(super) fn is_unresponsive(&self, address: SocketAddr) -> bool {
        self.unresponsive().contains_key(&address)
    }

    /// Whether a node didn't respond to the last exchange.
    fn has_missed_exchange(&self, address: SocketAddr) -> bool {
        self.unresponsive().get(&address) == Some(&Missed::Exchange)
    }

    /// Records that a node answers admission requests too late, until it responds to an exchange.
    pub(super) fn mark_late(&self, address: SocketAddr) {
        self.unresponsive()
            .entry(address)
            .or_insert(Missed::Admission);
    }

    fn unresponsive(&self) -> MutexGuard<'_, HashMap<SocketAddr, Missed>> {
        self.unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the loads without an answer that were sent to an engine or its former starts.
    fn unanswered_loads(&self, incarnation: &Name) -> SharedLoads {
        let mut all = self
            .unanswered_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(all.entry(Name::clone(incarnation)).or_default())
    }

    /// Drops the unanswered loads of engines that are no longer listed, once their time is over.
    fn expire_unanswered_loads(&self, upstreams: &HashMap<Name, Arc<Upstream>>) {
        let now = self.clock.now();
        self.unanswered_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|incarnation, loads| {
                let mut loads = loads.lock().unwrap_or_else(PoisonError::into_inner);
                loads.expire(now);
                !loads.is_empty() || upstreams.contains_key(incarnation)
            });
    }

    /// Returns the controller of an engine, spawning it if there is none for this start.
    fn controller(&self, upstream: &Arc<Upstream>) -> Option<ActorRef<EngineController>> {
        let config = self.view.config()?;
        let engine = config.pools.get(&upstream.pool)?.engine.clone()?;
        let mut by_engine = self
            .by_engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((started_at_ms, controller)) = by_engine.get(&upstream.incarnation)
            && controller.is_alive()
        {
            if *started_at_ms == upstream.started_at_ms {
                return Some(controller.clone());
            }
            // It is for an earlier start of the engine, so its sequence numbers would be wrong.
            controller.kill();
        }
        let client = EngineClient {
            upstream: Arc::clone(upstream),
            engine,
            ownership: Arc::clone(&self.ownership),
            dialect: Arc::clone(&self.dialect),
            clock: Arc::clone(&self.clock),
            holder: Name::clone(&self.node),
            view: Arc::clone(&self.view),
            metrics: Arc::clone(&self.metrics),
            table: Arc::clone(&self.table),
            unanswered_loads: self.unanswered_loads(&upstream.incarnation),
        };
        let controller =
            EngineController::spawn_with_mailbox(client, mailbox::bounded(MAILBOX_CAPACITY));
        by_engine.insert(
            Name::clone(&upstream.incarnation),
            (upstream.started_at_ms, controller.clone()),
        );
        Some(controller)
    }

    pub(super) fn client(&self, address: SocketAddr) -> OrdersClient<Channel> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| {
                let endpoint = peer_endpoint(address, CONNECT_TIMEOUT)
                    .http2_keep_alive_interval(KEEPALIVE_INTERVAL.duration())
                    .keep_alive_timeout(KEEPALIVE_TIMEOUT.duration());
                OrdersClient::new(endpoint.connect_lazy())
            })
            .clone()
    }

    /// Drops the connection to a node that no longer responds.
    fn drop_client(&self, address: SocketAddr) {
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    /// Runs periodic work and exchanges until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut last_exchange_at = Millis::ZERO;
        loop {
            tokio::time::sleep(TICK_INTERVAL.duration()).await;
            self.tick();
            let now = self.clock.now();
            let nodes = self.view.state().max_nodes_seen;
            if now.since(last_exchange_at) >= exchange_interval(nodes) {
                last_exchange_at = now;
                self.exchange_all();
            }
        }
    }

    fn tick(&self) {
        let upstreams: Vec<Arc<Upstream>> = {
            let state = self.view.state();
            self.stop_removed(&state.upstreams);
            state.upstreams.values().cloned().collect()
        };
        let now = self.clock.now();
        for upstream in upstreams {
            upstream.connection_pool.close_expired();
            if self.ownership.owns(upstream.address) {
                let running = self.table.running(&upstream.incarnation);
                upstream.record_remote_load(running.saturating_sub(upstream.running()), now);
            }
            if let Some(controller) = self.controller_to_tick(&upstream)
                && controller.tell(Tick).try_send().is_err()
            {
                log::warn!(
                    "ask: the mailbox of the controller of {} is full",
                    upstream.incarnation
                );
            }
        }
    }

    /// Returns the controller of an engine that this node owns, or owned before.
    ///
    /// After ownership ends the controller still needs ticks to fail its waiters. Otherwise they
    /// would wait for the longest time of a load: four seconds on each planned stop.
    fn controller_to_tick(&self, upstream: &Arc<Upstream>) -> Option<ActorRef<EngineController>> {
        if self.ownership.fencing_token(upstream.address).is_some() {
            return self.controller(upstream);
        }
        let by_engine = self
            .by_engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (_, controller) = by_engine.get(&upstream.incarnation)?;
        Some(controller.clone())
    }

    /// Stops the controllers of engines that are no longer listed, and drops their counts.
    fn stop_removed(&self, upstreams: &HashMap<Name, Arc<Upstream>>) {
        self.table.retain(|engine| upstreams.contains_key(engine));
        self.expire_unanswered_loads(upstreams);
        self.by_engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|incarnation, (_, controller)| {
                let is_listed = upstreams.contains_key(incarnation);
                if !is_listed {
                    controller.kill();
                }
                is_listed
            });
    }
}

/// Returns the endpoint of another node.
///
/// # Panics
///
/// Never: a socket address is a valid URI authority.
pub(super) fn peer_endpoint(address: SocketAddr, connect_timeout: Millis) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid URI authority")
        .connect_timeout(connect_timeout.duration())
        .tcp_nodelay(true)
}

fn load_outcome(reply: &LoadReply) -> LoadOutcome {
    match reply.outcome() {
        Outcome::Ready => LoadOutcome::Ready(reply.version),
        Outcome::Full => LoadOutcome::Full,
        Outcome::NotOwner => LoadOutcome::NotOwner,
        Outcome::Failed | Outcome::Unspecified => LoadOutcome::Failed,
    }
}
