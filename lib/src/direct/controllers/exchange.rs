//! Exchanges between nodes: what runs at engines, and what the engines hold.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use super::{Controllers, Missed};
use crate::clock::Millis;
use crate::direct::dialect::LoadedModels;
use crate::direct::limits::in_use_grace;
use crate::direct::orders::MarkInUse;
use crate::direct::upstream::Upstream;
use crate::name::Name;
use crate::schema::direct::{ExchangeReply, ExchangeRequest, Resident, Standing, Use};

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Millis = Millis(800);

impl Controllers {
    /// Starts an exchange with each owner of engines that this node uses.
    pub(super) fn exchange_all(self: &Arc<Self>) {
        for (address, request) in self.take_exchange_requests() {
            let controllers = Arc::clone(self);
            tokio::spawn(async move { controllers.exchange(address, request).await });
        }
    }

    /// Returns the exchanges that are due, by the addresses of the owners.
    ///
    /// This drains the recorded uses, so each is sent once.
    pub fn take_exchange_requests(&self) -> HashMap<SocketAddr, ExchangeRequest> {
        let mut requests: HashMap<SocketAddr, ExchangeRequest> = HashMap::new();
        let uses = std::mem::take(
            &mut *self
                .recorded_uses
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        let mut watched: HashSet<SocketAddr> = self.pending_loads().keys().copied().collect();
        watched.extend(self.unresponsive().keys());
        let (upstreams, nodes) = self.engines_to_exchange(&uses, &watched);
        for upstream in upstreams {
            let mut adapters = uses.get(&upstream.incarnation).cloned().unwrap_or_default();
            // A long stream still uses its adapter, though its use was recorded long ago.
            for adapter in upstream.uncounted_adapters() {
                if !adapters.contains(&adapter) {
                    adapters.push(adapter);
                }
            }
            if self.ownership.owns(upstream.address) {
                self.record_uses(&upstream.incarnation, adapters, in_use_grace(nodes));
                continue;
            }
            let Some((_, peer)) = self.view.owner(upstream.address) else {
                continue;
            };
            let request = requests
                .entry(peer.address)
                .or_insert_with(|| ExchangeRequest {
                    node: self.node.to_string(),
                    uses: Vec::new(),
                });
            request.uses.push(Use {
                incarnation: upstream.incarnation.to_string(),
                running: upstream.running(),
                adapters: adapters.iter().map(ToString::to_string).collect(),
            });
        }
        self.unresponsive()
            .retain(|peer, _| requests.contains_key(peer));
        requests
    }

    /// Returns the engines that this node uses or whose owner is in `watched`, and the number of
    /// nodes.
    ///
    /// Exchanges between all nodes and all owners would grow with the square of the fleet; at 195
    /// nodes they were nine tenths of the bytes between failure domains. A node uses a few of
    /// thousands of engines, so all others are filtered out by the cheap checks first.
    fn engines_to_exchange(
        &self,
        uses: &HashMap<Name, Vec<Name>>,
        watched: &HashSet<SocketAddr>,
    ) -> (Vec<Arc<Upstream>>, usize) {
        let state = self.view.state();
        let is_watched = |upstream: &Upstream| {
            let owner = state.owner(upstream.address);
            owner.is_some_and(|(_, peer)| watched.contains(&peer.address))
        };
        // Each use of an adapter is either a running request or was recorded.
        let upstreams = state.upstreams.values().filter(|upstream| {
            upstream.running() > 0
                || uses.contains_key(&upstream.incarnation)
                || (!watched.is_empty() && is_watched(upstream))
        });
        (upstreams.cloned().collect(), state.max_nodes_seen)
    }

    async fn exchange(&self, address: SocketAddr, request: ExchangeRequest) {
        let mut client = self.client(address);
        match tokio::time::timeout(EXCHANGE_TIMEOUT.duration(), client.exchange(request)).await {
            Ok(Ok(reply)) => {
                self.unresponsive().remove(&address);
                self.apply_reply(reply.into_inner());
            }
            Ok(Err(status)) => {
                // A node that refuses the connection fails other calls just as fast, so it isn't
                // unresponsive.
                self.unresponsive().remove(&address);
                log::info!("ask: no exchange with {address}: {}", status.message());
            }
            Err(_) => {
                log::info!("ask: no exchange with {address} within {EXCHANGE_TIMEOUT}");
                self.unresponsive().insert(address, Missed::Exchange);
                self.drop_client(address);
            }
        }
    }

    fn apply_reply(&self, reply: ExchangeReply) {
        let state = self.view.state();
        for standing in reply.standings {
            let Some(upstream) = state.upstreams.get(standing.incarnation.as_str()) else {
                continue;
            };
            upstream.record_remote_load(standing.running, self.clock.now());
            upstream.update_held(&LoadedModels {
                started_at_ms: standing.born,
                sequence: standing.sequence,
                models: standing.models.into_iter().map(Name::from).collect(),
                adapters: standing
                    .adapters
                    .into_iter()
                    .map(|resident| (Name::from(resident.adapter), resident.version))
                    .collect(),
                incoming: Vec::new(),
            });
        }
    }

    /// Protects adapters in use from eviction for `span`, at an engine that this node owns.
    pub(in crate::direct) fn record_uses(
        &self,
        incarnation: &str,
        adapters: Vec<Name>,
        span: Millis,
    ) {
        if adapters.is_empty() {
            return;
        }
        let until = self.clock.now() + span;
        let controllers = self
            .by_engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((_, controller)) = controllers.get(incarnation)
            && controller
                .tell(MarkInUse { adapters, until })
                .try_send()
                .is_err()
        {
            log::debug!("ask: the mailbox of a controller is full, uses are dropped");
        }
    }

    /// Returns the reply to an exchange: what all other nodes run at the engine, and what it holds.
    pub(in crate::direct) fn standing(&self, one: &Use) -> Option<Standing> {
        let upstream = {
            let state = self.view.state();
            Arc::clone(state.upstreams.get(one.incarnation.as_str())?)
        };
        let running = self.table.running(&one.incarnation);
        let others = running.saturating_sub(one.running);
        let held = upstream.held();
        Some(Standing {
            incarnation: one.incarnation.clone(),
            running: others,
            born: held.started_at_ms,
            sequence: held.sequence,
            models: held.models.iter().map(ToString::to_string).collect(),
            adapters: held
                .adapters
                .iter()
                .map(|(adapter, version)| Resident {
                    adapter: adapter.to_string(),
                    version: *version,
                })
                .collect(),
        })
    }
}
