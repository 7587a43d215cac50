//! A whole platform of stand-ins in this process.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use chivevalve::name::Name;
use chivevalve::ports::Vm;
use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::engine::{self, Engine};
use crate::serve::{Handler, Server};
use crate::service::Service;
use crate::store::{self, Store};
use crate::weights::Weights;

/// The region of all VMs.
const REGION: &str = "r1";
/// Failure domains that upstreams are spread over.
const FAILURE_DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
/// Upstreams' ports begin this far above the base port.
const UPSTREAM_PORTS: u16 = 10;

/// What the upstreams of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// A pool of upstreams that are alike, written `NAME=engine:COUNT` or `NAME=service:COUNT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The pool's name as declared.
    pub name: Name,
    /// What its upstreams are.
    pub kind: Kind,
    /// How many there are.
    pub count: usize,
}

impl FromStr for Pool {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = || {
            let (name, rest) = text.split_once('=')?;
            let (kind, count) = rest.split_once(':')?;
            let kind = match kind {
                "engine" => Kind::Engine,
                "service" => Kind::Service,
                _ => return None,
            };
            Some(Self {
                name: name.into(),
                kind,
                count: count.parse().ok()?,
            })
        };
        parse().ok_or_else(|| format!("`{text}` isn't NAME=engine:COUNT or NAME=service:COUNT"))
    }
}

/// What platform is to be made.
#[derive(Debug, Clone)]
pub struct Plan {
    /// All pools of upstreams.
    pub pools: Vec<Pool>,
    /// Sizes and speeds of each engine.
    pub engine: engine::Shape,
    /// Time of one load from the weight store.
    pub load: Duration,
    /// Where everything listens.
    pub ip: IpAddr,
    /// First of the ports; 0 takes free ones.
    pub port: u16,
}

impl Default for Plan {
    fn default() -> Self {
        let pool = |name: &str, kind, count| Pool {
            name: name.into(),
            kind,
            count,
        };
        Self {
            pools: vec![
                pool("engines", Kind::Engine, 4),
                pool("connector", Kind::Service, 3),
                pool("records", Kind::Service, 3),
            ],
            engine: engine::Shape::default(),
            load: Duration::from_millis(300),
            ip: Ipv4Addr::LOCALHOST.into(),
            port: 0,
        }
    }
}

/// Where everything listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Addresses {
    /// The key-value service.
    pub store: SocketAddr,
    /// The list of VMs.
    pub directory: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, SocketAddr>,
}

/// What an engine recorded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRecord {
    /// All requests that it took.
    pub runs: Vec<engine::Run>,
    /// Orders that should never have been given.
    pub violations: Vec<engine::Violation>,
    /// What it counted.
    pub counts: engine::Counts,
}

/// What truly happened, by upstream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// Engines by name.
    pub engines: BTreeMap<String, EngineRecord>,
    /// Calls of services by name of the service and key of the call.
    pub services: BTreeMap<String, BTreeMap<String, u32>>,
}

impl Record {
    /// Returns how often each call of a plain service ran, over all services.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<&str, u32> {
        let mut calls = BTreeMap::new();
        for (key, runs) in self.services.values().flatten() {
            *calls.entry(key.as_str()).or_default() += runs;
        }
        calls
    }

    /// Returns each request's runs on engines, by the prompt's last word.
    #[must_use]
    pub fn marks(&self) -> BTreeMap<&str, Vec<&engine::Run>> {
        let mut marks: BTreeMap<&str, Vec<&engine::Run>> = BTreeMap::new();
        for run in self.engines.values().flat_map(|engine| &engine.runs) {
            marks.entry(&run.mark).or_default().push(run);
        }
        marks
    }

    /// Adds up what all engines counted.
    #[must_use]
    pub fn counts(&self) -> engine::Counts {
        let mut sum = engine::Counts::default();
        for counts in self.engines.values().map(|engine| &engine.counts) {
            sum.steps += counts.steps;
            sum.tokens += counts.tokens;
            sum.loads += counts.loads;
            sum.unloads += counts.unloads;
            sum.failed_loads += counts.failed_loads;
            sum.refused_stale += counts.refused_stale;
            sum.restarts += counts.restarts;
        }
        sum
    }
}

/// A stand-in with its listener.
#[derive(Debug)]
pub struct Unit<T> {
    /// What answers.
    pub standin: Arc<T>,
    /// Where it listens.
    pub server: Server,
}

impl<T: Handler> Unit<T> {
    async fn start(address: SocketAddr, standin: Arc<T>) -> io::Result<Self> {
        let server = Server::start_at(address, Arc::clone(&standin) as _).await?;
        Ok(Self { standin, server })
    }
}

/// The stand-ins.
#[derive(Debug)]
pub struct Platform {
    /// The key-value service.
    pub store: Unit<Store>,
    /// The list of VMs.
    pub directory: Unit<Directory>,
    /// The weight store.
    pub weights: Unit<Weights>,
    /// Engines by name.
    pub engines: BTreeMap<String, Unit<Engine>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Unit<Service>>,
}

impl Platform {
    /// Starts all stand-ins of a plan.
    ///
    /// # Errors
    ///
    /// When an address can't be had.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let address = |offset: u16| {
            let port = if plan.port == 0 {
                0
            } else {
                plan.port + offset
            };
            SocketAddr::new(plan.ip, port)
        };
        let store = Unit::start(address(0), Store::start()).await?;
        let weights = Unit::start(address(2), Arc::new(Weights::new(plan.load))).await?;
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        let mut vms = Vec::new();
        let members = plan
            .pools
            .iter()
            .flat_map(|pool| (0..pool.count).map(move |index| (pool, index)));
        for ((pool, index), offset) in members.zip(UPSTREAM_PORTS..) {
            let name = format!("{}-{}", pool.name, index + 1);
            let server = match pool.kind {
                Kind::Engine => {
                    let engine = Engine::start(plan.engine, Arc::clone(&weights.standin));
                    let unit = Unit::start(address(offset), engine).await?;
                    let address = unit.server.addr();
                    engines.insert(name.clone(), unit);
                    address
                }
                Kind::Service => {
                    let service = Arc::new(Service::new(&name));
                    let unit = Unit::start(address(offset), service).await?;
                    let address = unit.server.addr();
                    services.insert(name.clone(), unit);
                    address
                }
            };
            vms.push(Vm {
                name: name.into(),
                address: server,
                pool: Name::clone(&pool.name),
                region: REGION.into(),
                failure_domain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()].into(),
                leaving: false,
            });
        }
        let directory = Unit::start(address(1), Arc::new(Directory::new(vms))).await?;
        Ok(Self {
            store,
            directory,
            weights,
            engines,
            services,
        })
    }

    /// Returns where everything listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        let engines = self.engines.iter().map(|(name, unit)| (name, &unit.server));
        let services = self
            .services
            .iter()
            .map(|(name, unit)| (name, &unit.server));
        Addresses {
            store: self.store.server.addr(),
            directory: self.directory.server.addr(),
            weights: self.weights.server.addr(),
            upstreams: engines
                .chain(services)
                .map(|(name, server)| (name.clone(), server.addr()))
                .collect(),
        }
    }

    /// Returns what truly happened.
    #[must_use]
    pub fn record(&self) -> Record {
        let engine = |unit: &Unit<Engine>| EngineRecord {
            runs: unit.standin.runs(),
            violations: unit.standin.violations(),
            counts: unit.standin.counts(),
        };
        Record {
            engines: self
                .engines
                .iter()
                .map(|(name, unit)| (name.clone(), engine(unit)))
                .collect(),
            services: self
                .services
                .iter()
                .map(|(name, unit)| (name.clone(), unit.standin.runs()))
                .collect(),
        }
    }

    /// Sets what is wrong with the key-value service; when it is down, connecting is refused.
    ///
    /// # Errors
    ///
    /// When its address was taken in the meantime.
    pub async fn set_store(&self, knobs: store::Knobs) -> io::Result<()> {
        self.store.standin.set(knobs);
        if knobs.down {
            self.store.server.stop().await;
            return Ok(());
        }
        self.store.server.resume().await
    }

    /// Kills an engine and starts it cold after a while. An unknown name does nothing.
    ///
    /// # Errors
    ///
    /// When its address was taken in the meantime.
    pub async fn restart_engine(&self, name: &str, down: Duration) -> io::Result<()> {
        let Some(unit) = self.engines.get(name) else {
            return Ok(());
        };
        unit.standin.restart();
        unit.server.stop().await;
        unit.standin.restart();
        tokio::time::sleep(down).await;
        unit.server.resume().await
    }
}
