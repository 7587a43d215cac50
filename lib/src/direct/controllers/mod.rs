//! Asking the node that gives an engine its orders.

mod exchange;
mod tell;
mod vote;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::oneshot;
use tonic::transport::{Channel, Endpoint};

use super::dialect::Dialect;
use super::fanout::Hub;
use super::limits::exchange_interval;
use super::occupancy::OccupancyTable;
use super::orders::{EngineClient, EngineController, LoadCommand, LoadOutcome, Tick};
use super::ownership::Ownership;
use super::upstream::Upstream;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::schema::direct::orders_client::OrdersClient;
use crate::schema::direct::{LoadReply, LoadRequest, Outcome};

/// How long connecting to another node may take.
const CONNECT: Millis = Millis(400);

/// The longest that another node may take to make an adapter present.
const LOAD: Millis = Millis(4_500);

/// Pause between looks whether a node that was asked still answers exchanges.
const SILENCE_LOOK: Millis = Millis(100);

/// Pause between looks at engines that need something without being asked.
const TICK: Millis = Millis(250);

/// Messages that may wait at a controller.
const MAILBOX: usize = 256;

/// What a node's silence says of it.
///
/// A busy owner answers a question for a place later than a request can wait, and goes on with
/// its loads. Taken for gone, it had its loads given up by the hundred on heavy days, and begun
/// anew at other engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// It answers questions for a place too late.
    Late,
    /// It gave no answer to an exchange, which waits for longer.
    Gone,
}

/// The controllers of the engines that this node gives orders to.
#[derive(Debug)]
pub struct Controllers {
    /// What this node believes.
    pub view: Arc<View>,
    /// What it may do.
    pub ownership: Arc<Ownership>,
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// Its name.
    pub node: Name,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// By the engine's name, with the start that each is for.
    open: Mutex<HashMap<Name, (u64, ActorRef<EngineController>)>>,
    channels: Mutex<HashMap<SocketAddr, OrdersClient<Channel>>>,
    uses: Mutex<HashMap<Name, Vec<Name>>>,
    /// Nodes that gave no answer the last time.
    silent: Mutex<HashMap<SocketAddr, Silence>>,
    /// Requests of all nodes at the engines that this node orders.
    pub(super) table: Arc<OccupancyTable>,
    /// Changes of the key-value service, for nodes of this failure domain.
    pub hub: Arc<Hub>,
    /// Loads that this node waits for, by the owner that was asked.
    awaited: Mutex<HashMap<SocketAddr, u32>>,
}

/// Counts a load that is waited for until it is dropped.
#[derive(Debug)]
struct Awaited<'a> {
    controllers: &'a Controllers,
    owner: SocketAddr,
}

impl<'a> Awaited<'a> {
    fn new(controllers: &'a Controllers, owner: SocketAddr) -> Self {
        *controllers.awaited().entry(owner).or_default() += 1;
        Self { controllers, owner }
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        let mut awaited = self.controllers.awaited();
        if let Some(count) = awaited.get_mut(&self.owner) {
            *count -= 1;
            if *count == 0 {
                awaited.remove(&self.owner);
            }
        }
    }
}

impl Controllers {
    /// Makes a registry without controllers.
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
            open: Mutex::default(),
            channels: Mutex::default(),
            uses: Mutex::default(),
            silent: Mutex::default(),
            awaited: Mutex::default(),
        }
    }

    /// Notes that a request of this node uses an adapter without being counted.
    pub fn record_use(&self, upstream: &Upstream, adapter: &Name) {
        let mut uses = self.uses.lock().unwrap_or_else(PoisonError::into_inner);
        let adapters = uses.entry(Name::clone(&upstream.incarnation)).or_default();
        if !adapters.contains(adapter) {
            adapters.push(Name::clone(adapter));
        }
    }

    /// Whether somebody who answers gives an engine its orders.
    #[must_use]
    pub fn has_live_owner(&self, upstream: &Upstream) -> bool {
        if self.ownership.owns(upstream.address) {
            return self.ownership.fencing_token(upstream.address).is_some();
        }
        let owner = self.view.owner(upstream.address);
        owner.is_some_and(|(_, peer)| !self.is_gone(peer.address))
    }

    /// Has an adapter made present at an engine, by whichever node may.
    pub async fn load(
        &self,
        upstream: &Arc<Upstream>,
        adapter: &Name,
        version: u64,
    ) -> LoadOutcome {
        if self.ownership.owns(upstream.address) {
            return self.load_locally(upstream, adapter, version).await;
        }
        let loaded = self.load_there(upstream, adapter, version).await;
        if let LoadOutcome::Ready(version) = loaded {
            upstream.set_adapter(adapter, version);
        }
        loaded
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
        let (reply, loaded) = oneshot::channel();
        let load = LoadCommand {
            adapter: Name::clone(adapter),
            version,
            reply,
        };
        if controller.tell(load).try_send().is_err() {
            return LoadOutcome::Full;
        }
        let loaded = loaded.await.unwrap_or(LoadOutcome::Failed);
        if let LoadOutcome::Ready(version) = loaded {
            upstream.set_adapter(adapter, version);
        }
        loaded
    }

    async fn load_there(
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
        let _awaited = Awaited::new(self, peer.address);
        let asked = tokio::time::timeout(LOAD.duration(), client.load(request));
        let asked = tokio::select! {
            asked = asked => asked,
            () = self.falls_silent(peer.address) => {
                log::info!("ask: {node} no longer answers");
                return LoadOutcome::Failed;
            }
        };
        match asked {
            Ok(Ok(reply)) => read(reply.get_ref()),
            Ok(Err(status)) => {
                log::info!("ask: {node} does not answer: {}", status.message());
                LoadOutcome::Failed
            }
            Err(_) => {
                self.forget(peer.address);
                LoadOutcome::Failed
            }
        }
    }

    /// Waits until a node gives no answer to exchanges.
    ///
    /// A VM that is suspended, cut off or without power closes no connection. A question
    /// would wait for its whole time there, which was 2.7 s at the median, while another
    /// engine could hold the adapter in a tenth of that; an exchange shows it within 1.3 s.
    async fn falls_silent(&self, address: SocketAddr) {
        while !self.is_gone(address) {
            tokio::time::sleep(SILENCE_LOOK.duration()).await;
        }
    }

    fn awaited(&self) -> MutexGuard<'_, HashMap<SocketAddr, u32>> {
        self.awaited.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node gave no answer the last time, and has not answered an exchange since.
    pub(super) fn is_unresponsive(&self, address: SocketAddr) -> bool {
        self.silent().contains_key(&address)
    }

    /// Whether a node gave no answer to an exchange the last time.
    fn is_gone(&self, address: SocketAddr) -> bool {
        self.silent().get(&address) == Some(&Silence::Gone)
    }

    /// Notes that a node answers questions for a place too late, until an exchange has an answer.
    pub(super) fn mark_late(&self, address: SocketAddr) {
        self.silent().entry(address).or_insert(Silence::Late);
    }

    fn silent(&self) -> MutexGuard<'_, HashMap<SocketAddr, Silence>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the controller of an engine, opened if this is the first call for it.
    fn controller(&self, upstream: &Arc<Upstream>) -> Option<ActorRef<EngineController>> {
        let config = self.view.config()?;
        let engine = config.pools.get(&upstream.pool)?.engine.clone()?;
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((started_at_ms, controller)) = open.get(&upstream.incarnation)
            && controller.is_alive()
        {
            if *started_at_ms == upstream.started_at_ms {
                return Some(controller.clone());
            }
            // Its book is of a start that has ended: the count in its orders would be wrong.
            controller.kill();
        }
        let parts = EngineClient {
            upstream: Arc::clone(upstream),
            engine,
            ownership: Arc::clone(&self.ownership),
            dialect: Arc::clone(&self.dialect),
            clock: Arc::clone(&self.clock),
            holder: Name::clone(&self.node),
            view: Arc::clone(&self.view),
            metrics: Arc::clone(&self.metrics),
            table: Arc::clone(&self.table),
        };
        let controller = EngineController::spawn_with_mailbox(parts, mailbox::bounded(MAILBOX));
        open.insert(
            Name::clone(&upstream.incarnation),
            (upstream.started_at_ms, controller.clone()),
        );
        Some(controller)
    }

    pub(super) fn client(&self, address: SocketAddr) -> OrdersClient<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels
            .entry(address)
            .or_insert_with(|| {
                let endpoint = Endpoint::from_shared(format!("http://{address}"))
                    .expect("an address makes a URI")
                    .connect_timeout(CONNECT.duration())
                    .tcp_nodelay(true)
                    .http2_keep_alive_interval(Millis::from_secs(2).duration())
                    .keep_alive_timeout(Millis::from_secs(1).duration());
                OrdersClient::new(endpoint.connect_lazy())
            })
            .clone()
    }

    /// Drops a connection that has gone silent.
    fn forget(&self, address: SocketAddr) {
        self.channels
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    /// Looks after engines and exchanges news until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut exchanged = Millis::ZERO;
        loop {
            tokio::time::sleep(TICK.duration()).await;
            self.tick();
            let now = self.clock.now();
            let nodes = self.view.state().max_nodes_seen;
            if now.since(exchanged) >= exchange_interval(nodes) {
                exchanged = now;
                self.exchange_all();
            }
        }
    }

    fn tick(&self) {
        let upstreams: Vec<Arc<Upstream>> = {
            let state = self.view.state();
            self.close_gone(&state.upstreams);
            state.upstreams.values().cloned().collect()
        };
        let now = self.clock.now();
        for upstream in upstreams {
            upstream.link.sweep();
            if self.ownership.owns(upstream.address) {
                let running = self.table.running(&upstream.incarnation);
                upstream.record_remote_load(running.saturating_sub(upstream.running()), now);
            }
            if let Some(controller) = self.controller_to_tick(&upstream)
                && controller.tell(Tick).try_send().is_err()
            {
                log::warn!("ask: the controller of {} is full", upstream.incarnation);
            }
        }
    }

    /// Returns the controller of an engine that this node orders, or ordered.
    ///
    /// One whose right has gone must hear of time too, or those who wait at it would wait
    /// for as long as a load may take: four seconds on each planned stop.
    fn controller_to_tick(&self, upstream: &Arc<Upstream>) -> Option<ActorRef<EngineController>> {
        if self.ownership.fencing_token(upstream.address).is_some() {
            return self.controller(upstream);
        }
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, controller) = open.get(&upstream.incarnation)?;
        Some(controller.clone())
    }

    fn close_gone(&self, upstreams: &HashMap<Name, Arc<Upstream>>) {
        self.table.retain(|engine| upstreams.contains_key(engine));
        self.open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|incarnation, (_, controller)| {
                let kept = upstreams.contains_key(incarnation);
                if !kept {
                    controller.kill();
                }
                kept
            });
    }
}

fn read(reply: &LoadReply) -> LoadOutcome {
    match reply.outcome() {
        Outcome::Ready => LoadOutcome::Ready(reply.version),
        Outcome::Full => LoadOutcome::Full,
        Outcome::NotOwner => LoadOutcome::NotOwner,
        Outcome::Failed | Outcome::Unspecified => LoadOutcome::Failed,
    }
}
