//! Wires all parts of a node, before it listens.

use std::sync::Arc;

use rand::RngExt;
use tokio_util::sync::CancellationToken;

use super::deferred::Deferred;
use super::limits;
use super::port::Port;
use crate::clock::{Clock, Monotonic};
use crate::membership::Identity;
use crate::metrics::Metrics;
use crate::owner::Registry;
use crate::peer::tls::Security;
use crate::peer::{Clients, client, server};
use crate::ports::{directory, etcd, upstream, weights};
use crate::settings::Settings;
use crate::{config, entry, gossip, loads, membership, operators, owner};

/// The platform's clients.
struct Platform {
    store: Arc<etcd::Client>,
    directory: Arc<directory::Client>,
    weights: Arc<weights::Client>,
}

impl Platform {
    fn new(settings: &Settings, metrics: &Arc<Metrics>) -> Self {
        let platform = &settings.platform;
        let timeout = platform.call_timeout;
        let addresses = platform.store.clone();
        Self {
            store: Arc::new(etcd::Client::new(addresses, timeout, Arc::clone(metrics))),
            directory: Arc::new(directory::Client::new(platform.directory, timeout)),
            weights: Arc::new(weights::Client::new(platform.weights, timeout)),
        }
    }
}

/// Parts whose state is spread between nodes.
struct Shares<'a> {
    config: &'a Arc<config::ConfigManager>,
    membership: &'a Arc<membership::MembershipManager>,
    quarantine: &'a Arc<entry::Quarantine>,
}

/// What every part needs.
struct Base {
    settings: Settings,
    identity: Identity,
    platform: Platform,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
}

/// All parts of a node.
pub(super) struct Assembly {
    base: Base,
    pub(super) registry: Arc<Registry>,
    clients: Arc<Clients>,
    loads: Arc<loads::SharedPermitQueue>,
    gossip: Arc<gossip::Gossiper>,
    pub(super) config: Arc<config::ConfigManager>,
    pub(super) membership: Arc<membership::MembershipManager>,
    quarantine: Arc<entry::Quarantine>,
}

impl Assembly {
    /// Makes all parts and starts the tasks that keep them.
    pub(super) fn new(
        settings: Settings,
        identity: Identity,
        security: &Security,
        stop: CancellationToken,
    ) -> Self {
        let metrics = Arc::new(Metrics::new());
        let base = Base {
            platform: Platform::new(&settings, &metrics),
            clock: Arc::new(Monotonic::start()),
            settings,
            identity,
            metrics,
            stop,
        };
        let permits = Deferred::<dyn loads::PermitSource>::default();
        let detector = Deferred::<dyn membership::FailureDetector>::default();
        let peers = Deferred::<dyn gossip::PeerSource>::default();
        let routing = Deferred::<dyn owner::RoutingCheck>::default();
        let registry = Registry::start(base.owner(&permits, &detector, &routing));
        let clients = Clients::new(base.clients(&registry, security));
        let config = config::ConfigManager::start(base.config(&registry, &peers));
        let membership = base.membership(&config, &registry, &clients);
        let loads = loads::SharedPermitQueue::start(base.loads(&membership, &clients));
        routing.get_or_init(|| Arc::clone(&config) as _);
        permits.get_or_init(|| Arc::clone(&loads) as _);
        detector.get_or_init(|| Arc::clone(&membership) as _);
        peers.get_or_init(|| Arc::clone(&membership) as _);
        let quarantine = Arc::new(base.quarantine());
        let shares = Shares {
            config: &config,
            membership: &membership,
            quarantine: &quarantine,
        };
        let gossip = gossip::Gossiper::start(base.gossip(&shares, &clients));
        Self {
            base,
            registry,
            clients,
            loads,
            gossip,
            config,
            membership,
            quarantine,
        }
    }

    pub(super) fn metrics(&self) -> &Arc<Metrics> {
        &self.base.metrics
    }

    /// Returns what the listener for callers works with.
    pub(super) fn entry(&self) -> entry::Dependencies {
        let base = &self.base;
        entry::Dependencies {
            view: self.config.view(),
            fleet: self.membership.fleet(),
            reach: Arc::clone(&self.clients) as _,
            store: Arc::clone(&base.platform.store) as _,
            lease: Arc::clone(&base.platform.store) as _,
            prefix: Arc::clone(&base.settings.platform.prefix),
            quarantine: Arc::clone(&self.quarantine),
            node: Arc::clone(&base.identity.name),
            clock: Arc::clone(&base.clock),
            metrics: Arc::clone(&base.metrics),
            limits: limits::entry(&base.settings),
            seed: seed(),
        }
    }

    /// Returns what answers peers.
    pub(super) fn handlers(&self) -> server::Handlers {
        let base = &self.base;
        server::Handlers {
            runner: Arc::clone(&self.registry) as _,
            exchange: Arc::clone(&self.gossip) as _,
            vote_handler: Arc::clone(&self.membership) as _,
            snapshot: Arc::clone(&self.config) as _,
            permits: self.loads.for_peers(),
            clock: Arc::clone(&base.clock),
            metrics: Arc::clone(&base.metrics),
            limits: limits::peer(&base.settings),
        }
    }

    /// Returns what answers operators; `leaving` is cancelled when they drain the node.
    pub(super) fn operators(&self, leaving: &CancellationToken) -> operators::Parts {
        let base = &self.base;
        operators::Parts {
            node: base.settings.node.clone(),
            access: base.settings.access.clone(),
            view: self.config.view(),
            fleet: self.membership.fleet(),
            configuration: Arc::clone(&self.config) as _,
            membership: Arc::new(Port {
                membership: Arc::clone(&self.membership),
                leaving: leaving.clone(),
            }),
            ownership: Arc::clone(&self.registry) as _,
            placement: limits::entry(&base.settings).placement,
            metrics: Arc::clone(&base.metrics),
            limits: operators::Limits::default(),
        }
    }
}

impl Base {
    fn owner(
        &self,
        permits: &Deferred<dyn loads::PermitSource>,
        detector: &Deferred<dyn membership::FailureDetector>,
        routing: &Deferred<dyn owner::RoutingCheck>,
    ) -> owner::Dependencies {
        owner::Dependencies {
            connector: Arc::new(upstream::Connector::new(upstream::Limits::default())),
            permits: Arc::clone(permits) as _,
            detector: Some(Arc::clone(detector) as _),
            routing: Arc::clone(routing) as _,
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            limits: limits::owner(&self.settings),
        }
    }

    fn clients(&self, registry: &Arc<Registry>, security: &Security) -> client::Dependencies {
        client::Dependencies {
            node: Arc::clone(&self.identity.name),
            local: Arc::clone(registry) as _,
            security: security.clone(),
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            limits: limits::peer(&self.settings),
        }
    }

    fn config(
        &self,
        registry: &Arc<Registry>,
        peers: &Deferred<dyn gossip::PeerSource>,
    ) -> config::Dependencies {
        config::Dependencies {
            node: Arc::clone(&self.identity.name),
            region: Arc::clone(&self.identity.region),
            store: Arc::clone(&self.platform.store) as _,
            watch: Arc::clone(&self.platform.store) as _,
            weights: Arc::clone(&self.platform.weights) as _,
            peers: Arc::clone(peers) as _,
            prefetch: Arc::clone(registry) as _,
            prefix: self.settings.platform.prefix.to_string(),
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            limits: limits::config(&self.settings),
            seed: seed(),
            stop: self.stop.clone(),
        }
    }

    fn membership(
        &self,
        config: &Arc<config::ConfigManager>,
        registry: &Arc<Registry>,
        clients: &Arc<Clients>,
    ) -> Arc<membership::MembershipManager> {
        let parts = membership::Dependencies {
            identity: self.identity.clone(),
            store: Arc::clone(&self.platform.store) as _,
            lease: Arc::clone(&self.platform.store) as _,
            watch: Arc::clone(&self.platform.store) as _,
            directory: Arc::clone(&self.platform.directory) as _,
            adopter: Arc::clone(registry) as _,
            view: config.view(),
            vote_client: Arc::clone(clients) as _,
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            limits: limits::membership(&self.settings),
            prefix: Arc::clone(&self.settings.platform.prefix),
            seed: seed(),
            seed_peers: self.settings.platform.seeds.clone(),
        };
        membership::MembershipManager::start(parts, self.stop.clone())
    }

    fn loads(
        &self,
        membership: &membership::MembershipManager,
        clients: &Arc<Clients>,
    ) -> loads::Dependencies {
        loads::Dependencies {
            node: Arc::clone(&self.identity.name),
            fleet: membership.fleet(),
            clients: Arc::clone(clients),
            clock: Arc::clone(&self.clock),
            loads_per_kilosecond: self.settings.policy.loads_per_kilosecond,
        }
    }

    /// The name of this start: ends that a former start of the node named are others.
    fn quarantine(&self) -> entry::Quarantine {
        let start = format!("{}@{}", self.identity.name, self.identity.incarnation);
        let clock = Arc::clone(&self.clock);
        entry::Quarantine::new(start.into(), clock, Arc::clone(&self.metrics))
    }

    fn gossip(&self, shares: &Shares<'_>, clients: &Arc<Clients>) -> gossip::Dependencies {
        let Shares {
            config,
            membership,
            quarantine,
        } = shares;
        gossip::Dependencies {
            node: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            region: Arc::clone(&self.identity.region),
            states: vec![
                Arc::clone(config) as _,
                Arc::clone(membership) as _,
                Arc::clone(quarantine) as _,
            ],
            changes: vec![config.learned_revision(), quarantine.changes()],
            installer: Arc::clone(config) as _,
            peers: Arc::clone(membership) as _,
            transport: Arc::clone(clients) as _,
            clock: Arc::clone(&self.clock),
            limits: limits::gossip(&self.settings),
            seed: seed(),
            stop: self.stop.clone(),
        }
    }
}

/// Draws a seed of jitter, so that nodes that start together don't act together.
fn seed() -> u64 {
    rand::rng().random()
}
