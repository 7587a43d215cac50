//! The daemons, the servers and the ways between them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chivevalve::clock::Millis;
use chivevalve_platform::settings::VARIABLE;
use chivevalve_platform_standins::soak::ledger::Ledger;
use chivevalve_platform_standins::soak::mood::{Mood, Trick};
use chivevalve_platform_standins::soak::server::Server;
use chivevalve_platform_standins::soak::wire::{self, Place, Profile};
use chivevalve_platform_standins::store::Store;
use chivevalve_standins::process::Daemon;
use eyre::{Result, WrapErr, eyre};
use rustix::process::Signal;
use tokio::time::sleep;

use super::lock;
use super::proxy::{Proxy, Way};
use super::readiness;
use super::story::{ADAPTERS, Act, ENGINES, Extras, PLAIN};
use super::trouble::{Scope, Troubles};

/// Time from the request to stop until the process is killed.
const GRACE: Duration = Duration::from_secs(8);
/// How many times the places servers have beside what a story has by its seed alone: silent engines
/// aren't full at once then, and many streams run when all nodes are killed.
const WIDER: u32 = 3;
/// How long a server stays down that a request has ended.
const FALLEN: Millis = Millis(2_500);
/// Pause before a process that ended is started again.
const AGAIN: Duration = Duration::from_millis(300);
/// Tries for two free ports beside each other.
const PORTS: usize = 50;

/// A node's place.
#[derive(Debug)]
pub struct Node {
    pub place: Place,
    pub callers: SocketAddr,
    store: Proxy,
    daemon: Mutex<Option<Daemon>>,
    /// Whether something is being done to its process.
    taken: AtomicBool,
    pub ready: AtomicBool,
    /// Starts so far.
    pub starts: AtomicU32,
}

/// A server's place.
#[derive(Debug)]
pub struct Host {
    pub server: Server,
    proxy: Proxy,
    taken: AtomicBool,
}

/// A stop that was asked for.
#[derive(Debug, Clone)]
pub struct Stop {
    pub node: usize,
    pub at: Millis,
    pub until: Millis,
    /// The exit code; none if it had to be killed.
    pub code: Option<i32>,
}

/// Everything.
#[derive(Debug)]
pub struct Site {
    pub ledger: Arc<Ledger>,
    store: Store,
    pub nodes: Vec<Node>,
    pub hosts: Vec<Host>,
    pub troubles: Troubles,
    /// Configurations, with the time of their acknowledgement.
    pub configs: Mutex<Vec<(u64, Millis)>>,
    /// Versions of adapters, the same.
    pub versions: Mutex<Vec<(String, u64, Millis)>>,
    /// Servers that left: place, start, and when they said so.
    pub left: Mutex<Vec<(usize, String, Millis)>>,
    pub stops: Mutex<Vec<Stop>>,
    /// Things that still go on.
    pub going: AtomicUsize,
    program: PathBuf,
    pub dir: PathBuf,
    pub trick: super::Trick,
    pub profile: Profile,
}

impl Site {
    /// Starts all; `flips` is the number of configurations to come.
    pub async fn start(options: &super::Options, flips: u64) -> Result<Arc<Self>> {
        let dir = options.dir.join(options.seed.to_string());
        // What an earlier run of the seed left would stand among this one's evidence.
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).wrap_err_with(|| dir.display().to_string())?;
        let ledger = Arc::new(Ledger::default());
        let store = Store::start_expiring().await;
        let servers = (0..ENGINES + PLAIN)
            .map(|host| match host {
                0..ENGINES => (host, "engines".to_owned(), true),
                _ => (host, "records".to_owned(), false),
            })
            .chain((1..=flips).map(|flip| {
                let host = ENGINES + PLAIN + usize::try_from(flip).unwrap_or_default();
                (host, wire::flip_service(flip), false)
            }));
        let extras = options.extras;
        let profile = if extras.silences {
            Profile::Moves
        } else {
            Profile::Flips
        };
        let wider = if extras == Extras::default() {
            1
        } else {
            WIDER
        };
        let mut hosts = Vec::new();
        for (host, service, engine) in servers {
            let what = (host, service.as_str(), engine);
            let server_trick = match options.trick {
                super::Trick::Server(trick) => trick,
                _ => Trick::None,
            };
            let how = (options.seed, server_trick, options.brittle());
            let server = Server::new(what, how, &ledger, &store.memory).wider(wider);
            let proxy = Proxy::start(None).await?;
            proxy.lead(Some(server.launch(proxy.address).await));
            hosts.push(Host {
                server,
                proxy,
                taken: AtomicBool::new(false),
            });
        }
        let mut nodes = Vec::new();
        for node in 0..options.nodes {
            nodes.push(Node::new(node, store.address).await?);
        }
        let site = Arc::new(Self {
            ledger,
            store,
            nodes,
            hosts,
            troubles: Troubles::default(),
            configs: Mutex::default(),
            versions: Mutex::default(),
            left: Mutex::default(),
            stops: Mutex::default(),
            going: AtomicUsize::new(0),
            program: match &options.program {
                Some(program) => program.clone(),
                None => crate::site::program()?,
            },
            dir,
            trick: options.trick,
            profile,
        });
        site.configure();
        for adapter in 1..=ADAPTERS {
            site.declare(adapter);
        }
        for node in &site.nodes {
            site.launch(node, true)?;
        }
        for node in 0..site.nodes.len() {
            tokio::spawn(readiness::check(Arc::clone(&site), node));
        }
        tokio::spawn(raise(Arc::clone(&site)));
        Ok(site)
    }

    fn launch(&self, node: &Node, first: bool) -> Result<()> {
        let name = &node.place.name;
        let file = self.dir.join(format!("{name}.conf"));
        std::fs::write(&file, wire::settings(&node.place, first, self.profile))?;
        let mut command = Command::new(&self.program);
        command
            .arg("--platform")
            .env(VARIABLE, &file)
            .env_remove("RUST_LOG");
        let daemon = Daemon::spawn(command, &self.log(name))?;
        *lock(&node.daemon) = Some(daemon);
        node.starts.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn log(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    /// Ends all daemons at once.
    pub fn end(&self) {
        for node in &self.nodes {
            drop(lock(&node.daemon).take());
        }
    }

    fn configure(&self) {
        let mut configs = lock(&self.configs);
        let version = configs.last().map_or(1, |(version, _)| version + 1);
        wire::configure(&self.store, version, self.profile);
        configs.push((version, self.ledger.now()));
    }

    fn declare(&self, adapter: u64) {
        let adapter = format!("a{adapter}");
        let mut versions = lock(&self.versions);
        let old = versions.iter().rev().find(|(name, ..)| *name == adapter);
        let version = old.map_or(1, |(_, version, _)| version + 1);
        wire::declare(&self.store, &adapter, version);
        versions.push((adapter, version, self.ledger.now()));
    }

    /// Adapters that callers ask for: where runs move, as many as an engine holds.
    pub fn adapters(&self) -> u64 {
        match self.profile {
            Profile::Moves => wire::SLOTS as u64,
            Profile::Flips => ADAPTERS,
        }
    }

    /// Does one thing; what lasts goes on by itself.
    pub fn act(self: &Arc<Self>, act: Act) {
        log::info!("{} {act:?}", self.ledger.now());
        match act {
            Act::Config => return self.configure(),
            Act::Version(adapter) => return self.declare(adapter),
            _ => {}
        }
        let site = Arc::clone(self);
        self.going.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            if let Err(error) = site.lasting(act).await {
                site.ledger.breach("", format!("{act:?}: {error:#}"));
            }
            site.going.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn lasting(&self, act: Act) -> Result<()> {
        let taken = match act {
            Act::Stop(node) | Act::Kill(node, _) | Act::Pause(node, _) => &self.nodes[node].taken,
            Act::Crash(host, _) | Act::Leave(host) | Act::Upgrade(host) => &self.hosts[host].taken,
            _ => &AtomicBool::new(false),
        };
        if taken.swap(true, Ordering::SeqCst) {
            return Ok(());
        }
        let scope = match act {
            Act::Stop(node) => Scope::Stop(node),
            Act::Kill(node, _) | Act::Pause(node, _) => Scope::Process(node),
            Act::StoreLink(node, ..) => Scope::StoreLink(node),
            Act::StoreAway(..) => Scope::Store,
            Act::ServerLink(host, ..) => Scope::Link(host),
            Act::Crash(host, _) => Scope::Crash(host),
            Act::Leave(host) | Act::Upgrade(host) => Scope::Leave(host),
            Act::Silence(host, _) => Scope::Silence(host),
            Act::Queue(host, ..) => Scope::Queue(host),
            Act::Feel(..) | Act::Loads(..) | Act::Config | Act::Version(_) => {
                self.harm(act).await?;
                return Ok(());
            }
        };
        let number = self
            .troubles
            .begin(scope, self.ledger.now(), format!("{act:?}"));
        let done = self.harm(act).await;
        self.troubles.end(number, self.ledger.now());
        taken.store(false, Ordering::SeqCst);
        done
    }

    async fn harm(&self, act: Act) -> Result<()> {
        match act {
            Act::Stop(node) => {
                self.stop(node).await?;
                sleep(AGAIN).await;
                self.launch(&self.nodes[node], false)?;
            }
            Act::Kill(node, span) => {
                drop(lock(&self.nodes[node].daemon).take());
                sleep(span.duration()).await;
                self.launch(&self.nodes[node], false)?;
            }
            Act::Pause(node, span) => {
                self.nodes[node].signal(Signal::STOP)?;
                sleep(span.duration()).await;
                self.nodes[node].signal(Signal::CONT)?;
            }
            Act::StoreLink(node, way, span) => {
                self.nodes[node].store.set(way);
                sleep(span.duration()).await;
                self.nodes[node].store.set(Way::Open);
            }
            Act::StoreAway(way, span) => {
                self.nodes.iter().for_each(|node| node.store.set(way));
                sleep(span.duration()).await;
                self.nodes.iter().for_each(|node| node.store.set(Way::Open));
            }
            Act::ServerLink(host, way, span) => {
                self.hosts[host].proxy.set(way);
                sleep(span.duration()).await;
                self.hosts[host].proxy.set(Way::Open);
            }
            Act::Feel(host, mood, span) => {
                self.hosts[host].server.feel(mood);
                sleep(span.duration()).await;
                self.hosts[host].server.feel(Mood::default());
            }
            Act::Queue(host, wait, span) => {
                self.hosts[host].server.queue(wait, span);
                sleep(span.duration()).await;
            }
            Act::Loads(wait, span) => {
                let engines = self.hosts[..ENGINES].iter();
                engines.for_each(|host| host.server.slow_loads(wait, span));
            }
            Act::Crash(host, span) => self.hosts[host].crash(span).await,
            Act::Silence(host, span) => {
                self.hosts[host].server.hush(span);
                sleep(span.duration()).await;
            }
            Act::Leave(host) | Act::Upgrade(host) => {
                let host = &self.hosts[host];
                if matches!(act, Act::Upgrade(_)) {
                    host.server.upgrade();
                }
                let (told, start) = host.server.leave(host.proxy.address).await;
                lock(&self.left).push((host.server.host, start, told));
                // One that a request ended meanwhile keeps its counts until it starts again.
                while host.server.held() > 0 && host.server.fallen().is_none() {
                    sleep(AGAIN).await;
                }
                host.crash(Millis(300)).await;
            }
            Act::Config | Act::Version(_) => {}
        }
        Ok(())
    }

    /// Asks a node to stop, and takes its end.
    ///
    /// # Errors
    ///
    /// When the node doesn't run.
    pub async fn stop(&self, number: usize) -> Result<()> {
        let node = &self.nodes[number];
        let at = self.ledger.now();
        node.signal(Signal::TERM)?;
        if self.trick == super::Trick::Impatient {
            sleep(AGAIN).await;
            node.signal(Signal::KILL)?;
        }
        let daemon = lock(&node.daemon).take();
        let mut daemon = daemon.ok_or_else(|| eyre!("{} doesn't run", node.place.name))?;
        let ended = daemon.ended(GRACE).await;
        let stop = Stop {
            node: number,
            at,
            until: self.ledger.now(),
            code: ended.ok().and_then(|status| status.code()),
        };
        lock(&self.stops).push(stop);
        Ok(())
    }

    /// Lines of the daemons' logs that name a request, or an engine's start in its orders.
    pub fn lines(&self, id: &str) -> Vec<String> {
        let named = format!("\"{id}\"");
        let orders = id.starts_with("i-");
        let mut lines = Vec::new();
        for node in &self.nodes {
            let name = &node.place.name;
            let log = std::fs::read_to_string(self.log(name)).unwrap_or_default();
            let of_it = log.lines().filter(|line| {
                line.contains(&named) && (!orders || line.contains("\"part\":\"orders\""))
            });
            lines.extend(of_it.map(|line| format!("{name}: {line}")));
        }
        lines
    }
}

impl Host {
    async fn crash(&self, span: Millis) {
        self.proxy.lead(None);
        self.server.crash();
        sleep(span.duration()).await;
        let target = self.server.launch(self.proxy.address).await;
        self.proxy.lead(Some(target));
    }
}

impl Node {
    async fn new(number: usize, store: SocketAddr) -> Result<Self> {
        // Each run has loopback addresses of its own, so that none meets another's ports.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let last = u8::try_from(10 + number)?;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 100 + high % 100, low, last));
        let store = Proxy::start(Some(store)).await?;
        let place = Place {
            name: format!("node-{number}"),
            ip,
            callers: free(ip, 1)?,
            readiness: free(ip, 1)?,
            inner: free(ip, 2)?,
            store: store.address,
        };
        Ok(Self {
            callers: SocketAddr::new(ip, place.callers),
            place,
            store,
            daemon: Mutex::default(),
            taken: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            starts: AtomicU32::new(0),
        })
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let daemon = lock(&self.daemon);
        let daemon = daemon
            .as_ref()
            .ok_or_else(|| eyre!("{} doesn't run", self.place.name))?;
        Ok(daemon.signal(signal)?)
    }
}

/// Finds so many free ports beside each other.
fn free(ip: IpAddr, ports: u16) -> Result<u16> {
    for _ in 0..PORTS {
        let first = std::net::TcpListener::bind((ip, 0))?;
        let port = first.local_addr()?.port();
        let rest = (1..ports).all(|next| {
            port.checked_add(next)
                .is_some_and(|port| std::net::TcpListener::bind((ip, port)).is_ok())
        });
        if rest {
            return Ok(port);
        }
    }
    Err(eyre!("no free ports at {ip}"))
}

/// Starts servers again that a request has ended.
async fn raise(site: Arc<Site>) {
    loop {
        sleep(AGAIN).await;
        for (number, host) in site.hosts.iter().enumerate() {
            let Some(fallen) = host.server.fallen() else {
                continue;
            };
            if host.taken.swap(true, Ordering::SeqCst) {
                continue;
            }
            let site = Arc::clone(&site);
            tokio::spawn(async move {
                let host = &site.hosts[number];
                let (scope, told) = (Scope::Crash(number), "a poison request".to_owned());
                let trouble = site.troubles.begin(scope, fallen, told);
                host.crash(FALLEN).await;
                site.troubles.end(trouble, site.ledger.now());
                host.taken.store(false, Ordering::SeqCst);
            });
        }
    }
}

/// Where logs go: beside what the build makes.
pub fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/soak")
}
