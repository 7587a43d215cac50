//! News between nodes: what runs at engines, and what they hold.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use super::{Controllers, Silence};
use crate::clock::Millis;
use crate::direct::dialect::LoadedModels;
use crate::direct::limits::in_use_grace;
use crate::direct::orders::MarkInUse;
use crate::direct::upstream::Upstream;
use crate::name::Name;
use crate::schema::direct::{ExchangeReply, ExchangeRequest, Resident, Standing, Use};

/// The longest that an exchange may take.
const EXCHANGE: Millis = Millis(800);

impl Controllers {
    /// Tells each owner what this node did at its engines.
    pub(super) fn exchange_all(self: &Arc<Self>) {
        for (address, request) in self.take_exchange_requests() {
            let controllers = Arc::clone(self);
            tokio::spawn(async move { controllers.exchange(address, request).await });
        }
    }

    /// Returns what this node has to tell other nodes, by their addresses.
    ///
    /// Uses that were noted are told once: they are gone from here then.
    pub fn take_exchange_requests(&self) -> HashMap<SocketAddr, ExchangeRequest> {
        let mut requests: HashMap<SocketAddr, ExchangeRequest> = HashMap::new();
        let uses = std::mem::take(&mut *self.uses.lock().unwrap_or_else(PoisonError::into_inner));
        let mut concerned: HashSet<SocketAddr> = self.awaited().keys().copied().collect();
        concerned.extend(self.silent().keys());
        let (upstreams, nodes) = self.to_tell_of(&uses, &concerned);
        for upstream in upstreams {
            let mut adapters = uses.get(&upstream.incarnation).cloned().unwrap_or_default();
            // A long stream uses its adapter though it was asked for long ago.
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
        self.silent().retain(|peer, _| requests.contains_key(peer));
        requests
    }

    /// Returns engines that this node uses, or whose owners are looked for, and the nodes.
    ///
    /// Nodes times owners would grow with the square of the fleet, and their news were nine
    /// tenths of the bytes between failure domains at 195 nodes. A node uses a few of thousands
    /// of engines, so that all others are passed over before they are looked at more closely.
    fn to_tell_of(
        &self,
        uses: &HashMap<Name, Vec<Name>>,
        concerned: &HashSet<SocketAddr>,
    ) -> (Vec<Arc<Upstream>>, usize) {
        let state = self.view.state();
        let is_concerned = |upstream: &Upstream| {
            let owner = state.owner(upstream.address);
            owner.is_some_and(|(_, peer)| concerned.contains(&peer.address))
        };
        // Whatever uses an adapter here also runs, or was noted.
        let upstreams = state.upstreams.values().filter(|upstream| {
            upstream.running() > 0
                || uses.contains_key(&upstream.incarnation)
                || (!concerned.is_empty() && is_concerned(upstream))
        });
        (upstreams.cloned().collect(), state.max_nodes_seen)
    }

    async fn exchange(&self, address: SocketAddr, request: ExchangeRequest) {
        let mut client = self.client(address);
        match tokio::time::timeout(EXCHANGE.duration(), client.exchange(request)).await {
            Ok(Ok(reply)) => {
                self.silent().remove(&address);
                self.hear(reply.into_inner());
            }
            Ok(Err(status)) => {
                // Whoever refuses a connection answers questions as fast, so it isn't silent.
                self.silent().remove(&address);
                log::info!("ask: no exchange with {address}: {}", status.message());
            }
            Err(_) => {
                log::info!("ask: no exchange with {address} within {EXCHANGE}");
                self.silent().insert(address, Silence::Gone);
                self.forget(address);
            }
        }
    }

    fn hear(&self, reply: ExchangeReply) {
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

    /// Has an owner's order queue hear of adapters that are in use here, or at another node.
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
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, controller)) = open.get(incarnation)
            && controller
                .tell(MarkInUse { adapters, until })
                .try_send()
                .is_err()
        {
            log::debug!("ask: a controller is full and hears of no use");
        }
    }

    /// Answers an exchange: what all others have running, and what is held.
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
