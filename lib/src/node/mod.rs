//! A node: every part wired to the others, and its planned stop.
//!
//! See docs/architecture.md for the picture.

mod assembly;
mod deferred;
mod limits;
mod port;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Millis;
use crate::membership::Identity;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::owner::Registry;
use crate::peer::server;
use crate::peer::tls::{Paths, Security, TlsCredentials};
use crate::settings::{self, Settings, Tls};
use crate::{config, entry, membership, operators};

use assembly::Assembly;

/// Time between two looks at the certificates' files.
const CERTIFICATES: Millis = Millis::from_secs(30);

/// Time that what listens gets to end at a stop at once.
const LAST_WORDS: Millis = Millis(200);

/// Listening sockets of a node, bound before anything starts.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// When an address is taken or isn't this VM's.
    pub async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("callers", listen.callers).await?,
            peers: bind("peers", listen.peers).await?,
            operators: bind("operators", listen.operators).await?,
        })
    }
}

async fn bind(whom: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen for {whom} on {address}"))
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    limits: settings::Limits,
    membership: Arc<membership::MembershipManager>,
    config: Arc<config::ConfigManager>,
    registry: Arc<Registry>,
    metrics: Arc<Metrics>,
    callers: SocketAddr,
    operators: SocketAddr,
    /// Cancelled when the node is asked to stop: it isn't ready any more.
    leaving: CancellationToken,
    /// Cancelled when no new connection of a caller is taken.
    closing: CancellationToken,
    /// Cancelled when peers get no new connection, and at the latest when everything ends.
    parting: CancellationToken,
    /// Cancelled when everything ends.
    stop: CancellationToken,
    /// The listener for callers, which ends with the last request in progress.
    serving: TaskTracker,
    /// The listener for peers, which ends when all that they were sent has arrived.
    passing: TaskTracker,
    /// All else that listens.
    tasks: TaskTracker,
}

impl Node {
    /// Starts a node on listeners that are bound.
    ///
    /// It returns at once; `/readyz` says when the node can answer.
    ///
    /// # Errors
    ///
    /// When the certificates can't be read or a listener's address is unknown.
    pub fn start(settings: Settings, listeners: Listeners) -> Result<Self> {
        let stop = CancellationToken::new();
        let security = security(&settings.tls, &stop)?;
        let identity = identity(&settings.node, &listeners)?;
        let callers = listeners.callers.local_addr()?;
        let operators = identity.operators;
        let limits = settings.limits.clone();
        log::info!(
            "node: {} starts as incarnation {}",
            identity.name,
            identity.incarnation
        );
        let assembly = Assembly::new(settings, identity, &security, stop.clone());
        let node = Self {
            limits,
            membership: Arc::clone(&assembly.membership),
            config: Arc::clone(&assembly.config),
            registry: Arc::clone(&assembly.registry),
            metrics: Arc::clone(assembly.metrics()),
            callers,
            operators,
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            parting: stop.child_token(),
            stop,
            serving: TaskTracker::new(),
            passing: TaskTracker::new(),
            tasks: TaskTracker::new(),
        };
        node.listen(&assembly, listeners, security);
        Ok(node)
    }

    fn listen(&self, assembly: &Assembly, listeners: Listeners, security: Security) {
        let entry = Arc::new(assembly.entry());
        let callers = entry::serve(listeners.callers, entry, self.closing.clone());
        self.serving.spawn(callers);
        let peers = server::serve(
            listeners.peers,
            assembly.handlers(),
            security,
            self.parting.clone(),
        );
        self.passing.spawn(async move {
            if let Err(error) = peers.await {
                log::error!("node: the listener for peers has failed: {error}");
            }
        });
        let interface = assembly.operators(&self.leaving);
        let operators = operators::serve(listeners.operators, interface, self.stop.clone());
        self.tasks.spawn(operators);
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the node's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the configuration's keeper.
    #[must_use]
    pub fn config(&self) -> &Arc<config::ConfigManager> {
        &self.config
    }

    /// Returns the node's membership.
    #[must_use]
    pub fn membership(&self) -> &Arc<membership::MembershipManager> {
        &self.membership
    }

    /// Returns when an operator has asked for the node's stop.
    pub async fn asked_to_stop(&self) {
        self.leaving.cancelled().await;
    }

    /// Stops gracefully: nothing in progress is cut off, what waits goes to other nodes.
    ///
    /// Returns whether everything ended by itself within the settings' limit.
    pub async fn drain(&self) -> bool {
        log::info!("node: drains, not ready from now on");
        self.leaving.cancel();
        // The balancer sends work until it has noticed; that work is done too.
        tokio::time::sleep(self.limits.drain_grace.duration()).await;
        self.closing.cancel();
        self.serving.close();
        let limit = self.limits.drain_limit;
        let ended = tokio::time::timeout(limit.duration(), self.end(limit)).await;
        let ended = ended.is_ok();
        if !ended {
            log::warn!("node: requests are still in progress after {limit}");
        }
        self.halt().await;
        log::info!("node: stopped");
        ended
    }

    /// Returns when nothing is in progress any more, for callers or for peers.
    async fn end(&self, limit: Millis) {
        tokio::join!(
            self.serving.wait(),
            self.membership.drain(limit),
            self.registry.wait_until_idle()
        );
        // What has ended here may still wait for an entry node whose caller reads
        // slowly; it would look cut there if this node's connections broke now.
        self.parting.cancel();
        self.passing.close();
        self.passing.wait().await;
    }

    /// Stops at once, as a failure would; for tests.
    pub async fn halt(&self) {
        self.leaving.cancel();
        self.closing.cancel();
        self.stop.cancel();
        self.tasks.close();
        self.passing.close();
        let ended = async { tokio::join!(self.tasks.wait(), self.passing.wait()) };
        // What doesn't end by then is cut off by the process's end.
        let _ = tokio::time::timeout(LAST_WORDS.duration(), ended).await;
    }
}

/// Reads the certificates, and keeps reading them.
fn security(tls: &Tls, stop: &CancellationToken) -> Result<Security> {
    let Tls::Mutual {
        certificate,
        key,
        authority,
    } = tls
    else {
        log::warn!("node: connections between nodes are not protected, as the settings say");
        return Ok(Security::Plaintext);
    };
    let keys = TlsCredentials::load(Paths {
        certificate: certificate.clone(),
        key: key.clone(),
        authority: authority.clone(),
    })?;
    tokio::spawn(keys.clone().reload_periodically(CERTIFICATES, stop.clone()));
    Ok(Security::Mutual(keys))
}

/// Names this start of the node.
///
/// A VM without a disk can't keep a counter; the time in microseconds differs
/// between two starts of one node, also when its clock was set back meanwhile.
fn identity(node: &settings::Node, listeners: &Listeners) -> Result<Identity> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(Identity {
        name: Name::clone(&node.name),
        incarnation: u64::try_from(since_1970.as_micros())?,
        region: Name::clone(&node.region),
        failure_domain: Name::clone(&node.failure_domain),
        peer: listeners.peers.local_addr()?,
        operators: listeners.operators.local_addr()?,
    })
}
