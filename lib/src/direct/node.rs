//! A node that serves directly: everything wired, started and stopped.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::claim::Claimer;
use super::controllers::Controllers;
use super::dialect::Dialect;
use super::entry::Frontend;
use super::fanout::Subscription;
use super::follow::Follower;
use super::limits::{Limits, SharedLimits};
use super::ownership::Ownership;
use super::peer_server;
use super::view::{Peer, View};
use crate::clock::{Boot, Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::link::guard;
use crate::ports::metered::Metered;
use crate::ports::poll::Poll;
use crate::ports::{Error, Lease, Store};

/// Time for the balancer to notice that the node takes no more callers.
///
/// It asks each second and goes by two misses.
const NOTICE: Millis = Millis(2_400);

/// Time before the node would be killed, at which it ends by itself.
const END_MARGIN: Millis = Millis(400);

/// Time for callers to get the failures of what was cut short.
const ANSWERS: Millis = Millis(100);

/// Time for the system to send what it has taken in.
const FLUSH: Millis = Millis(50);

/// Pause after a connection couldn't be accepted, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A node's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness: SocketAddr,
    /// Where other nodes ask.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Bounds.
    pub limits: Limits,
}

/// What reaches the platform.
#[derive(Debug, Clone)]
pub struct PlatformClients {
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Its leases.
    pub lease: Arc<dyn Lease>,
    /// Its changes.
    pub poll: Arc<dyn Poll>,
}

/// A node's sockets; port 0 in the settings has the system choose.
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
    closing: CancellationToken,
    /// Ends once the port is closed and no caller's connection is left.
    serving: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// When one of its addresses can't be listened at.
    pub fn start(settings: &Settings, reach: PlatformClients) -> Result<Self> {
        let listeners = Listeners::bind(settings)?;
        let clock: Arc<dyn Clock> = Arc::new(Boot);
        let view = Arc::new(View::default());
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
            closing,
            serving: tokio::spawn(serving),
            tasks: JoinSet::new(),
        };
        node.listen(
            listeners.peers,
            listeners.readiness,
            listeners.metrics,
            Arc::clone(&controllers),
        );
        node.tasks.spawn(follower.run());
        node.tasks.spawn(Arc::clone(&node.claimer).run());
        node.tasks.spawn(controllers.run());
        node.tasks
            .spawn(Arc::clone(&node.frontend.quarantine).run());
        Ok(node)
    }

    /// Returns where callers come in.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where the balancer asks whether the node is ready.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns where metrics are served.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the bounds in force, to put others in force while the node runs.
    #[must_use]
    pub fn limits(&self) -> Arc<SharedLimits> {
        Arc::clone(&self.limits)
    }

    fn listen(
        &mut self,
        peers: TcpListener,
        readiness: TcpListener,
        metrics: TcpListener,
        controllers: Arc<Controllers>,
    ) {
        self.tasks.spawn(async move {
            if let Err(error) = peer_server::serve(peers, controllers).await {
                log::error!("node: other nodes aren't served: {error}");
            }
        });
        let frontend = Arc::clone(&self.frontend);
        self.tasks.spawn(serve_plain(metrics, frontend, render));
        let frontend = Arc::clone(&self.frontend);
        self.tasks
            .spawn(serve_plain(readiness, frontend, readiness_of));
    }

    /// Stops: no more callers, orders handed over, what is in progress ended.
    ///
    /// Returns whether every request was answered in its own time.
    pub async fn drain(mut self) -> bool {
        let clock = Arc::clone(&self.frontend.clock);
        let end = clock.now() + self.limits.get().shutdown - END_MARGIN;
        self.frontend.drain.begin(end);
        release_claims_before_close(self.claimer.leave()).await;
        self.closing.cancel();
        self.finish(end).await;
        self.report(end).await;
        // The last bytes of an answer may still lie in the system's buffers.
        tokio::time::sleep(FLUSH.duration()).await;
        let (left, cut) = (
            self.frontend.active_requests(),
            self.frontend.drain.aborted_count(),
        );
        log::info!("node: stops with {left} requests in progress, {cut} were cut short");
        let whole = left + cut == 0;
        self.serving.abort();
        self.tasks.abort_all();
        whole
    }

    /// Waits until what is in progress has ended, and cuts it short at `end`.
    ///
    /// Nothing in progress is not enough: the head of a request can have come in half, and the
    /// last bytes of an answer can wait for a slow caller. Ended then, the process would cut
    /// both off. Connections without either are closed at once.
    async fn finish(&mut self, end: Millis) {
        let left = end.since(self.frontend.clock.now());
        let serving = &mut self.serving;
        if tokio::time::timeout(left.duration(), &mut *serving)
            .await
            .is_ok()
        {
            return;
        }
        log::info!("node: what is in progress is cut short at the end of its time");
        self.frontend.drain.abort();
        if tokio::time::timeout(ANSWERS.duration(), serving)
            .await
            .is_err()
        {
            log::info!("node: callers' connections are left");
        }
    }

    /// Waits until all that this node saw of upstreams' ends is reported, until `end` at most.
    async fn report(&self, end: Millis) {
        let left = end.since(self.frontend.clock.now());
        let reported = self.frontend.quarantine.flush_reports();
        if tokio::time::timeout(left.duration(), reported)
            .await
            .is_err()
        {
            log::info!("node: what it saw of upstreams' ends isn't all reported");
        }
    }
}

/// Gives claims up while the balancer notices that the node stops.
///
/// The key-value service can be silent. Were it waited for first, the callers' port would be open
/// for as much longer, and requests that come late would be cut off at the end of the stop.
pub async fn release_claims_before_close(leave: impl Future<Output = Result<(), Error>>) {
    let noticed = tokio::time::sleep(NOTICE.duration());
    let (left, ()) = tokio::join!(tokio::time::timeout(NOTICE.duration(), leave), noticed);
    match left {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("node: claims end with the lease: {error}"),
        Err(_) => log::warn!("node: claims end with the lease: no answer within {NOTICE}"),
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .wrap_err("can't make a socket")?;
    socket
        .set_reuseaddr(true)
        .wrap_err("can't set a socket's option")?;
    socket
        .bind(address)
        .wrap_err_with(|| format!("can't listen at {address}"))?;
    socket
        .listen(BACKLOG)
        .wrap_err_with(|| format!("can't listen at {address}"))
}

type Plain = fn(&Frontend, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Serves short answers that need no waiting.
async fn serve_plain(listener: TcpListener, frontend: Arc<Frontend>, answer: Plain) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let frontend = Arc::clone(&frontend);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&frontend, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("node: a connection ended: {error}");
            }
        });
    }
}

fn readiness_of(frontend: &Frontend, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !frontend.dialect.is_readiness_path(request.uri().path()) {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if !frontend.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn render(frontend: &Frontend, _: &Request<Incoming>) -> Response<Full<Bytes>> {
    Response::new(Full::from(frontend.render_metrics()))
}

async fn serve_callers(listener: TcpListener, frontend: Arc<Frontend>, closing: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.cancelled() => break,
        };
        let Some(stream) = stream else {
            continue;
        };
        serve_caller(stream, &frontend, &graceful);
    }
    // Connections that the system has accepted already are still served. Later ones must
    // meet a closed port: with the listener open but nobody accepting, a caller would wait
    // for as long as answers in progress keep the process alive, instead of going elsewhere.
    while let Some(Some(stream)) = accept(&listener).now_or_never() {
        serve_caller(stream, &frontend, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_caller(stream: TcpStream, frontend: &Arc<Frontend>, graceful: &GracefulShutdown) {
    let limits = frontend
        .view
        .config()
        .map(|config| config.limits)
        .unwrap_or_default();
    let frontend = Arc::clone(frontend);
    let service = service_fn(move |request| Arc::clone(&frontend).handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("node: a caller's connection ended: {error}");
        }
    });
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = listener.accept().await;
    let told = match accepted {
        Ok((stream, _)) => match guard(&stream) {
            Ok(()) => return Some(stream),
            Err(error) => error,
        },
        Err(error) => error,
    };
    log::warn!("node: can't accept a connection: {told}");
    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
    None
}
