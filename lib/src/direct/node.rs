//! Startup and shutdown of a node that serves directly.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::claim::Claimer;
use super::controllers::Controllers;
use super::dialect::Dialect;
use super::entry::Frontend;
use super::fanout::Subscription;
use super::follow::Follower;
use super::limits::{Limits, SharedLimits};
use super::listener::{accept, bind, serve_callers, set_up};
use super::ownership::Ownership;
use super::peer_server;
use super::tunnel;
use super::view::{Peer, View};
use crate::clock::{Boot, Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::metered::Metered;
use crate::ports::poll::Poll;
use crate::ports::{Error, Lease, Store, network};

/// Time for the load balancer to notice that the node no longer accepts callers.
///
/// It checks readiness every second and removes a node after two failed checks.
const BALANCER_NOTICE: Millis = Millis(2_400);

/// How long before the platform would kill the node it exits by itself.
const SHUTDOWN_MARGIN: Millis = Millis(400);

/// Time for callers to receive the failures of aborted requests.
const ABORT_RESPONSE_TIME: Millis = Millis(100);

/// Time for the operating system to send what is in its socket buffers.
const SOCKET_FLUSH: Millis = Millis(50);

/// A node's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: Name,
    /// The node's failure domain.
    pub failure_domain: Name,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address of the listener for other nodes.
    pub peers: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Limits that can also be changed while the node runs.
    pub limits: Limits,
}

/// Clients of the platform's services, and the formats that they use.
#[derive(Debug, Clone)]
pub struct PlatformClients {
    /// Translation of the platform's formats.
    pub dialect: Arc<dyn Dialect>,
    /// Reads and transactions of the key-value service.
    pub store: Arc<dyn Store>,
    /// Leases of the key-value service.
    pub lease: Arc<dyn Lease>,
    /// Long polls for changes in the key-value service.
    pub poll: Arc<dyn Poll>,
    /// The network over which upstreams are reached.
    pub network: network::Handle,
}

/// A node's listening sockets; for port 0 in the settings the system chooses one.
#[derive(Debug)]
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self> {
        Ok(Self {
            callers: bind(settings.callers)?,
            readiness: bind(settings.readiness)?,
            peers: bind(settings.peers)?,
            metrics: bind(settings.metrics)?,
        })
    }
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    frontend: Arc<Frontend>,
    claimer: Arc<Claimer>,
    limits: Arc<SharedLimits>,
    /// Connections that this node opened for other nodes.
    tunnels: tunnel::Server,
    closing: CancellationToken,
    /// Completes once the listener is closed and all callers' connections are too.
    serving: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If one of its addresses can't be bound.
    pub fn start(settings: &Settings, reach: PlatformClients) -> Result<Self> {
        let listeners = Listeners::bind(settings)?;
        let clock: Arc<dyn Clock> = Arc::new(Boot);
        let view = Arc::new(View::over(reach.network));
        let limits = Arc::new(SharedLimits::new(settings.limits));
        let metrics = Arc::new(Metrics::new());
        let service = Arc::new(Metered::new(
            reach.store,
            reach.lease,
            reach.poll,
            Arc::clone(&metrics),
            Arc::clone(&clock),
        ));
        let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
        let controllers = Arc::new(Controllers::new(
            Arc::clone(&view),
            Arc::clone(&ownership),
            Arc::clone(&reach.dialect),
            Arc::clone(&clock),
            Name::clone(&settings.node),
            Arc::clone(&metrics),
        ));
        let frontend = Arc::new(Frontend::new(
            Arc::clone(&view),
            Arc::clone(&controllers),
            Arc::clone(&reach.dialect),
            Arc::clone(&clock),
            Name::clone(&settings.failure_domain),
            Arc::clone(&limits),
            Arc::clone(&service),
            (!settings.first_start).then(|| clock.now()),
        ));
        let claimer = Arc::new(Claimer {
            store: Arc::<Metered>::clone(&service),
            lease: Arc::<Metered>::clone(&service),
            voters: Arc::<Controllers>::clone(&controllers),
            dialect: Arc::clone(&reach.dialect),
            clock: Arc::clone(&clock),
            view: Arc::clone(&view),
            ownership,
            metrics,
            limits: Arc::clone(&limits),
            node: Name::clone(&settings.node),
            peer: Peer {
                address: listeners.peers.local_addr()?,
                start: rand::random(),
                failure_domain: Name::clone(&settings.failure_domain),
            },
            boot: Boot::id(),
            first_start: settings.first_start,
        });
        let subscription = Subscription::new(
            Arc::clone(&controllers),
            Name::clone(&settings.failure_domain),
        );
        let follower = Follower::new(
            Arc::<Metered>::clone(&service),
            service,
            reach.dialect,
            clock,
            view,
            Arc::clone(&limits),
        )
        .with_fanout(Arc::clone(&controllers.hub), Box::new(subscription));
        let closing = CancellationToken::new();
        let callers = listeners.callers.local_addr()?;
        let serving = serve_callers(listeners.callers, Arc::clone(&frontend), closing.clone());
        let mut node = Self {
            callers,
            readiness: listeners.readiness.local_addr()?,
            metrics: listeners.metrics.local_addr()?,
            frontend,
            claimer,
            limits,
            tunnels: tunnel::Server::new(Arc::clone(&controllers)),
            closing,
            serving: tokio::spawn(serving),
            tasks: JoinSet::new(),
        };
        node.spawn_listeners(
            listeners.peers,
            listeners.readiness,
            listeners.metrics,
            Arc::clone(&controllers),
        );
        node.tasks.spawn(follower.run());
        node.tasks.spawn(Arc::clone(&node.claimer).run());
        let copies = Arc::clone(&node.frontend.origin_copies);
        node.tasks
            .spawn(Arc::clone(&controllers).run_origins(copies));
        let software_records = Arc::clone(&node.frontend.software_records);
        node.tasks.spawn(software_records.run());
        node.tasks.spawn(controllers.run());
        node.tasks
            .spawn(Arc::clone(&node.frontend.quarantine).run());
        Ok(node)
    }

    /// Returns the address of the listener for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which the load balancer checks readiness.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the address at which metrics are served.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the limits, which can be replaced while the node runs.
    #[must_use]
    pub fn limits(&self) -> Arc<SharedLimits> {
        Arc::clone(&self.limits)
    }

    fn spawn_listeners(
        &mut self,
        peers: TcpListener,
        readiness: TcpListener,
        metrics: TcpListener,
        controllers: Arc<Controllers>,
    ) {
        let tunnels = self.tunnels.clone();
        self.tasks.spawn(async move {
            if let Err(error) = peer_server::serve(peers, controllers, tunnels).await {
                log::error!("node: the listener for other nodes failed: {error}");
            }
        });
        let frontend = Arc::clone(&self.frontend);
        self.tasks
            .spawn(serve_sync(metrics, frontend, metrics_response));
        let frontend = Arc::clone(&self.frontend);
        self.tasks
            .spawn(serve_sync(readiness, frontend, readiness_response));
    }

    /// Shuts the node down: stops accepting callers, releases its claims, and lets requests in
    /// progress finish.
    ///
    /// Returns whether all requests finished before the deadline.
    pub async fn drain(mut self) -> bool {
        let clock = Arc::clone(&self.frontend.clock);
        let deadline = clock.now() + self.limits.get().shutdown - SHUTDOWN_MARGIN;
        self.frontend.drain.begin(deadline);
        release_claims_before_close(self.claimer.leave()).await;
        self.closing.cancel();
        let tunnels = self.tunnels.clone();
        let left = deadline.since(clock.now());
        let drained = tokio::time::timeout(left.duration(), tunnels.drain());
        let (drained, ()) = tokio::join!(drained, self.finish_requests(deadline));
        if drained.is_err() {
            log::info!("node: other nodes still use connections through this one");
        }
        self.flush_crash_reports(deadline).await;
        // The end of a response may still be in the operating system's socket buffers.
        tokio::time::sleep(SOCKET_FLUSH.duration()).await;
        let (left, aborted) = (
            self.frontend.active_requests(),
            self.frontend.drain.aborted_count(),
        );
        log::info!("node: stopping with {left} requests in progress, {aborted} were aborted");
        let all_finished = left + aborted == 0;
        self.serving.abort();
        self.tasks.abort_all();
        all_finished
    }

    /// Waits for requests in progress and aborts those that are left at the deadline.
    ///
    /// It waits for connections rather than requests: half of a request's head may have arrived,
    /// or the last bytes of a response may wait for a slow caller, and exiting would cut off both.
    /// Idle connections are closed at once.
    async fn finish_requests(&mut self, deadline: Millis) {
        let left = deadline.since(self.frontend.clock.now());
        let serving = &mut self.serving;
        if tokio::time::timeout(left.duration(), &mut *serving)
            .await
            .is_ok()
        {
            return;
        }
        log::info!("node: the shutdown deadline has passed, aborting requests in progress");
        self.frontend.drain.abort();
        if tokio::time::timeout(ABORT_RESPONSE_TIME.duration(), serving)
            .await
            .is_err()
        {
            log::info!("node: some callers' connections are still open");
        }
    }

    /// Waits until this node has reported all crashes of upstreams that it saw, at most until the
    /// deadline.
    async fn flush_crash_reports(&self, deadline: Millis) {
        let left = deadline.since(self.frontend.clock.now());
        let reported = self.frontend.quarantine.flush_reports();
        if tokio::time::timeout(left.duration(), reported)
            .await
            .is_err()
        {
            log::info!("node: not all crashes of upstreams could be reported");
        }
    }
}

/// Releases the node's claims while the load balancer notices that the node is shutting down.
///
/// Both happen at the same time because the key-value service can be silent: waiting for it first
/// would keep the callers' port open for longer, and requests that arrive late would be aborted at
/// the shutdown deadline.
pub async fn release_claims_before_close(leave: impl Future<Output = Result<(), Error>>) {
    let noticed = tokio::time::sleep(BALANCER_NOTICE.duration());
    let (released, ()) = tokio::join!(
        tokio::time::timeout(BALANCER_NOTICE.duration(), leave),
        noticed
    );
    match released {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("node: claims left to expire with the lease: {error}"),
        Err(_) => log::warn!(
            "node: claims left to expire with the lease: no response within {BALANCER_NOTICE}"
        ),
    }
}

type SyncHandler = fn(&Frontend, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Serves requests with a handler that responds at once.
async fn serve_sync(listener: TcpListener, frontend: Arc<Frontend>, handler: SyncHandler) {
    loop {
        let Some(stream) = accept(&listener).await.filter(set_up) else {
            continue;
        };
        let frontend = Arc::clone(&frontend);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(&frontend, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("node: connection failed: {error}");
            }
        });
    }
}

fn readiness_response(frontend: &Frontend, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !frontend.dialect.is_readiness_path(request.uri().path()) {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if !frontend.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics_response(frontend: &Frontend, _: &Request<Incoming>) -> Response<Full<Bytes>> {
    Response::new(Full::from(frontend.render_metrics()))
}
