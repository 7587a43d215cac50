//! Accepts connections.
//!
//! While a node has too much to do, its port for callers is open for moments only. What callers send
//! on a connection that waits to be accepted takes the link, and closing it takes the processor; a
//! port that is closed takes neither.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use eyre::{Result, WrapErr};
use futures::FutureExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::connection;
use super::entry::Frontend;
use crate::clock::Millis;
use crate::overload::{Intake, MAX_CONNECTIONS_IN_A_ROUND, Overload};
use crate::ports::connection_pool::enable_dead_peer_detection;

/// Pause after a failed accept, so that the loop doesn't spin while file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Millis = Millis(20);

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// How long the port is closed between two rounds of an overloaded node.
const CLOSED_TIME: Millis = Millis(50);

/// How long an overloaded node waits for a new connection before it measures its delays again.
const OPEN_TIME: Millis = Millis(50);

/// Interval between two log lines about connections that are refused.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Serves callers until the node stops, and then until their connections are closed.
pub(super) async fn serve_callers(
    listener: TcpListener,
    frontend: Arc<Frontend>,
    closing: CancellationToken,
) {
    let mut callers = Callers::new(frontend, closing.clone());
    let Ok(mut port) = Port::new(listener) else {
        log::error!("node: the address of the listener for callers is unknown");
        return;
    };
    while !closing.is_cancelled() {
        if callers.intake.overload().is_some() {
            callers.serve_limited_round(&mut port).await;
            continue;
        }
        tokio::select! {
            () = callers.serve_round(port.open().await) => {}
            () = closing.cancelled() => {}
        }
    }
    // Connections in the listen queue are still served. The port must then be closed: if it were
    // open without anything accepting, a new caller would wait for as long as responses in
    // progress keep the process alive, instead of connecting to another node.
    if let Some(listener) = port.listener.take() {
        while let Some(Some(stream)) = accept(&listener).now_or_never() {
            callers.serve(stream);
        }
    }
    callers.connections.close();
    callers.connections.wait().await;
}

/// The port for callers.
#[derive(Debug)]
struct Port {
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl Port {
    fn new(listener: TcpListener) -> Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
        })
    }

    /// Opens the port unless it is open.
    async fn open(&mut self) -> &TcpListener {
        while self.listener.is_none() {
            match bind(self.address) {
                Ok(listener) => self.listener = Some(listener),
                Err(error) => {
                    log::warn!("node: cannot open the port for callers: {error:#}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE.duration()).await;
                }
            }
        }
        self.listener.as_ref().expect("it was opened above")
    }
}

/// Counts a caller's connection as open until dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections of callers.
struct Callers {
    frontend: Arc<Frontend>,
    connections: TaskTracker,
    /// Cancelled when the node stops.
    closing: CancellationToken,
    intake: Intake,
    open: Arc<AtomicUsize>,
    refused: Refused,
}

/// What was refused since the last log line.
#[derive(Debug, Default)]
struct Refused {
    closed_unread: u64,
    port_closed: u64,
    logged_at: Millis,
}

impl Callers {
    fn new(frontend: Arc<Frontend>, closing: CancellationToken) -> Self {
        Self {
            frontend,
            connections: TaskTracker::new(),
            closing,
            intake: Intake::default(),
            open: Arc::default(),
            refused: Refused::default(),
        }
    }

    /// Serves a connection, or closes it unread if the node has more to do than it can.
    fn take(&mut self, stream: TcpStream) {
        let frontend = &self.frontend;
        let max_open = frontend.limits.get().caller_connections;
        let open = self.open.load(Ordering::Relaxed);
        let now = frontend.clock.now();
        if let Some(overload) = self.intake.decide((open, max_open), now) {
            drop(stream);
            if overload == Overload::Connections {
                frontend.connections_full.notify_waiters();
            }
            self.record_closed(overload);
            return;
        }
        self.serve(stream);
    }

    /// Serves the connections that wait, once there is one.
    async fn serve_round(&mut self, listener: &TcpListener) {
        let Some(stream) = accept(listener).await else {
            return;
        };
        self.take(stream);
        // Those that came in the meantime have waited for the same tasks.
        for _ in 1..MAX_CONNECTIONS_IN_A_ROUND {
            let Some(Some(stream)) = accept(listener).now_or_never() else {
                break;
            };
            self.take(stream);
        }
        self.next_round().await;
    }

    /// Serves as many connections as an overloaded node may, and closes the port between rounds.
    async fn serve_limited_round(&mut self, port: &mut Port) {
        if self.intake.is_used_up(self.now()) {
            port.listener = None;
            self.record_port_closed();
            tokio::time::sleep(CLOSED_TIME.duration()).await;
        }
        self.next_round().await;
        if self.intake.is_used_up(self.now()) {
            return;
        }
        let listener = port.open().await;
        let serving = async {
            while !self.intake.is_used_up(self.now()) {
                if let Some(stream) = accept(listener).await {
                    self.take(stream);
                }
            }
        };
        // Without callers, the node is to find out all the same that it has caught up.
        let _ = tokio::time::timeout(OPEN_TIME.duration(), serving).await;
    }

    async fn next_round(&mut self) {
        let frontend = &self.frontend;
        let (delays, clock) = (&frontend.view.delays, &*frontend.clock);
        self.intake.next_round(delays, clock).await;
    }

    fn record_closed(&mut self, overload: Overload) {
        let closed = &self.frontend.metrics.connections_closed_unread;
        closed.with_label_values(&[overload.name()]).inc();
        self.refused.closed_unread += 1;
        self.log_refused(overload);
    }

    fn record_port_closed(&mut self) {
        let Some(overload) = self.intake.overload() else {
            return;
        };
        let closed = &self.frontend.metrics.port_closed;
        closed.with_label_values(&[overload.name()]).inc();
        self.refused.port_closed += 1;
        self.log_refused(overload);
    }

    /// Logs what was refused, unless that was done a moment ago.
    fn log_refused(&mut self, overload: Overload) {
        let now = self.now();
        let refused = &self.refused;
        if now.since(refused.logged_at) < LOG_INTERVAL {
            return;
        }
        let delays = &self.frontend.view.delays;
        log::warn!(
            reason = overload.name(),
            port_closed = refused.port_closed,
            closed_unread = refused.closed_unread,
            tasks_ms = delays.last_scheduling().0,
            round_trips_ms = delays.link(now).0,
            callers = self.open.load(Ordering::Relaxed);
            "overload: new connections are refused"
        );
        self.refused = Refused {
            logged_at: now,
            ..Refused::default()
        };
    }

    fn now(&self) -> Millis {
        self.frontend.clock.now()
    }

    fn serve(&self, stream: TcpStream) {
        if !set_up(&stream) {
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let open = OpenGuard(Arc::clone(&self.open));
        let (frontend, closing) = (Arc::clone(&self.frontend), self.closing.clone());
        self.connections.spawn(async move {
            if let Err(error) = connection::serve(frontend, stream, closing).await {
                log::debug!("node: a caller's connection failed: {error}");
            }
            drop(open);
        });
    }
}

/// Opens a listening socket.
///
/// # Errors
///
/// If the address is in use or isn't this VM's.
pub(super) fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .wrap_err("cannot create a socket")?;
    socket
        .set_reuseaddr(true)
        .wrap_err("cannot set SO_REUSEADDR")?;
    socket
        .bind(address)
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    socket
        .listen(LISTEN_BACKLOG)
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Accepts a connection; `None` if that failed.
pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let error = match listener.accept().await {
        Ok((stream, _)) => return Some(stream),
        Err(error) => error,
    };
    log::warn!("node: cannot accept a connection: {error}");
    tokio::time::sleep(ACCEPT_RETRY_PAUSE.duration()).await;
    None
}

/// Sets the options of a connection that is to be served; returns false if that failed.
pub(super) fn set_up(stream: &TcpStream) -> bool {
    let result = enable_dead_peer_detection(stream);
    if let Err(error) = &result {
        log::warn!("node: cannot set a connection up: {error}");
    }
    result.is_ok()
}
