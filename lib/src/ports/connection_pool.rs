//! Pool of HTTP/1.1 connections to one address.
//!
//! A general-purpose pooled client hides which connection a request uses, but
//! callers here need to control it: a response that belongs to another request
//! makes only its own connection unusable, all nodes share a server's connection
//! limit, and a request that must not be retried needs a connection that is very
//! likely alive. See docs/design/0007-direct-serving.md.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::http::error_chain;
use super::network::{self, Stream};
use crate::clock::Millis;
use crate::name::Name;

/// How long sent data may stay unacknowledged before the kernel closes a connection.
///
/// A host that lost power sends no reset; without this timeout a write to it
/// would block for minutes. On a lossy network three heartbeats fit into it.
const TCP_USER_TIMEOUT: Millis = Millis(2_000);

/// Idle time before TCP keepalive probes start, and the interval between them.
const KEEPALIVE_INTERVAL: Millis = Millis(1_000);

/// How long an idle connection through another node is kept, which may need it itself.
const TUNNEL_IDLE_TIMEOUT: Millis = Millis(1_000);

/// Size of the read buffer, which limits the length of a response head.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransportError {
    /// No byte of the request was sent, so the server can't have seen it.
    Unsent(String),
    /// No byte of the request was sent, as this node has all the connections to the server that it
    /// may open. That tells nothing of the server.
    AtLimit(String),
    /// The server may have received the request or part of it.
    Sent(String),
}

/// Why no byte stream to a server could be opened.
#[derive(Debug, Error)]
pub enum DialError {
    /// Nothing was heard from the server.
    #[error("no connection within {0}")]
    TimedOut(Millis),
    /// The connection was refused, or can't be opened for another reason.
    #[error("{0}")]
    Failed(#[from] io::Error),
}

impl From<DialError> for TransportError {
    fn from(error: DialError) -> Self {
        Self::Unsent(error.to_string())
    }
}

/// Result of probing whether a process listens on an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused: the VM runs, but no process listens on the port.
    Refused,
    /// Neither: the VM is gone, unreachable, or out of connections.
    Unknown,
}

/// Limits of the connections to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum time to establish a connection.
    pub connect_timeout: Millis,
    /// How long an idle connection is kept.
    pub idle_timeout: Millis,
    /// Maximum number of open connections.
    pub max_open: usize,
}

/// Maximum number of header fields of a response.
const MAX_RESPONSE_FIELDS: usize = 1_024;

/// Statuses of final responses. The HTTP library also accepts those up to 999, and 101 as a switch
/// to another protocol, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Counts a connection as open until dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Permission to open one connection, which is counted until the connection is closed.
#[derive(Debug)]
pub struct OpenPermit(OpenGuard);

/// How a connection reaches its server.
#[derive(Debug, Clone)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through another node.
    Tunnel(Tunnel),
}

/// The other node of a connection.
#[derive(Debug, Clone)]
pub struct Tunnel {
    /// The node's name.
    pub node: Name,
    /// Whether the node stops and takes no further request.
    pub leaving: Arc<AtomicBool>,
}

/// Identifies a connection among all that this process has opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// A connection taken from the pool by one request.
#[derive(Debug)]
pub struct Connection {
    id: ConnectionId,
    /// Whether it has carried a control call.
    is_control: bool,
    sender: SendRequest<Full<Bytes>>,
    route: Route,
    /// Counts it here, unless another node opened it and counts it.
    open: Option<OpenGuard>,
}

impl Connection {
    /// Returns what tells it from all other connections.
    #[must_use]
    pub const fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether the connection leads through another node.
    #[must_use]
    pub const fn is_tunnel(&self) -> bool {
        matches!(self.route, Route::Tunnel(_))
    }

    /// Returns the node that the connection leads through.
    #[must_use]
    pub const fn tunnel_node(&self) -> Option<&Name> {
        match &self.route {
            Route::Direct => None,
            Route::Tunnel(tunnel) => Some(&tunnel.node),
        }
    }

    /// Whether the connection may carry a further request.
    fn is_reusable(&self) -> bool {
        let is_leaving = match &self.route {
            Route::Direct => false,
            Route::Tunnel(tunnel) => tunnel.leaving.load(Ordering::Relaxed),
        };
        !is_leaving && !self.sender.is_closed()
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    released_at: Instant,
    expires_at: Instant,
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    network: network::Handle,
    limits: Mutex<PoolLimits>,
    idle: Mutex<Vec<IdleConnection>>,
    open: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// Creates an empty pool of TCP connections.
    #[must_use]
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self::over(network::Handle::default(), address, limits)
    }

    /// Creates an empty pool of connections over a network.
    #[must_use]
    pub fn over(network: network::Handle, address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            network,
            limits: Mutex::new(limits),
            idle: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// Sets the maximum number of open connections.
    pub fn set_max_open(&self, max_open: usize) {
        self.limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .max_open = max_open;
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle_connections().clear();
    }

    /// Closes expired idle connections and removes those that are already closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle_connections()
            .retain(|idle| idle.expires_at > now && idle.connection.is_reusable());
    }

    /// Takes a direct connection that has been idle for at most `max_idle`, or opens a new one.
    ///
    /// It is for control calls, which one node makes to a server: the connection limit doesn't bind
    /// them, as requests, of other nodes too, may use all that it allows.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] if connecting fails.
    pub async fn acquire(&self, max_idle: Millis) -> Result<Connection, TransportError> {
        self.acquire_control(max_idle, |_| true).await
    }

    /// Does the same with connections that have carried no control call.
    ///
    /// Responses to control calls don't name their call, so a second copy of an earlier one looks
    /// like the response to this one.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] if connecting fails.
    pub async fn acquire_unshared(&self, max_idle: Millis) -> Result<Connection, TransportError> {
        self.acquire_control(max_idle, |one| !one.is_control).await
    }

    async fn acquire_control(
        &self,
        max_idle: Millis,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Connection, TransportError> {
        let idle = self.take_idle(max_idle, |one| !one.is_tunnel() && fits(one));
        let mut connection = if let Some(connection) = idle {
            connection
        } else {
            let permit = self.permit().unwrap_or_else(|_| self.permit_beyond_limit());
            let stream = self.dial().await?;
            self.adopt(Some(permit), stream, Route::Direct).await?
        };
        connection.is_control = true;
        Ok(connection)
    }

    /// Takes the connection that was used last among those that `fits` accepts, if it has been idle
    /// for at most `max_idle`.
    pub fn take_idle(
        &self,
        max_idle: Millis,
        fits: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_connections = self.idle_connections();
        idle_connections.retain(|idle| idle.expires_at > now && idle.connection.is_reusable());
        // Connections are ordered by release time, so all others have been idle for longer.
        let newest = idle_connections
            .iter()
            .rposition(|idle| fits(&idle.connection))?;
        let idle_time = now.duration_since(idle_connections[newest].released_at);
        (idle_time <= max_idle.duration()).then(|| idle_connections.remove(newest).connection)
    }

    /// Probes whether a process listens on the address.
    pub async fn probe(&self) -> ProbeResult {
        let limits = self.limits();
        let connecting = self.network.connect(self.address);
        match tokio::time::timeout(limits.connect_timeout.duration(), connecting).await {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                ProbeResult::Refused
            }
            Ok(Err(_)) | Err(_) => ProbeResult::Unknown,
        }
    }

    /// Counts a connection that is to be opened.
    ///
    /// # Errors
    ///
    /// [`TransportError::AtLimit`] if the connection limit is reached.
    pub fn permit(&self) -> Result<OpenPermit, TransportError> {
        let limits = self.limits();
        let open = OpenGuard(Arc::clone(&self.open));
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        // At the limit, an idle connection that is too old for this request is closed to make room.
        if before >= limits.max_open && self.idle_connections().pop().is_none() {
            return Err(TransportError::AtLimit(format!(
                "{before} connections are open, the limit is {}",
                limits.max_open
            )));
        }
        Ok(OpenPermit(open))
    }

    fn permit_beyond_limit(&self) -> OpenPermit {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenPermit(OpenGuard(Arc::clone(&self.open)))
    }

    /// Starts to speak HTTP on a byte stream to the server.
    ///
    /// Without a permit, the connection isn't counted here.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] if the stream breaks.
    pub async fn adopt(
        &self,
        permit: Option<OpenPermit>,
        stream: Box<dyn Stream>,
        route: Route,
    ) -> Result<Connection, TransportError> {
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .max_headers(MAX_RESPONSE_FIELDS)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| TransportError::Unsent(error_chain(&error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("link: connection failed: {}", error_chain(&error));
            }
        });
        Ok(Connection {
            id: ConnectionId::next(),
            is_control: false,
            sender,
            route,
            open: permit.map(|permit| permit.0),
        })
    }

    /// Opens a byte stream to the server directly.
    ///
    /// # Errors
    ///
    /// If none can be established in time; the server has received nothing.
    pub async fn dial(&self) -> Result<Box<dyn Stream>, DialError> {
        let timeout = self.limits().connect_timeout;
        let connecting = self.network.connect(self.address);
        match tokio::time::timeout(timeout.duration(), connecting).await {
            Ok(stream) => Ok(stream?),
            Err(_) => Err(DialError::TimedOut(timeout)),
        }
    }

    fn limits(&self) -> PoolLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection to the pool.
    ///
    /// Its last response must have been read completely and belong to the request.
    ///
    /// `server_timeout` is the server's idle timeout, if announced. The connection
    /// is closed one second earlier, so that no request is sent while the server
    /// closes it.
    pub fn release(&self, connection: Connection, server_timeout: Option<Millis>) {
        if !connection.is_reusable() {
            return;
        }
        let limits = self.limits();
        let mut lifetime = server_timeout.map_or(limits.idle_timeout, |timeout| {
            limits.idle_timeout.min(timeout - Millis::from_secs(1))
        });
        if connection.is_tunnel() {
            lifetime = lifetime.min(TUNNEL_IDLE_TIMEOUT);
        }
        if lifetime == Millis::ZERO {
            return;
        }
        let now = Instant::now();
        self.idle_connections().push(IdleConnection {
            connection,
            released_at: now,
            expires_at: now + lifetime.duration(),
        });
    }

    fn idle_connections(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and returns once the response head has arrived.
    ///
    /// A response whose status isn't one of a final response is bytes of a faulty server, and
    /// none to the request.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] only if no byte of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TransportError> {
        let is_counted = |open: &OpenGuard| open.0.load(Ordering::Relaxed) > 0;
        debug_assert!(self.open.as_ref().is_none_or(is_counted));
        if let Err(error) = self.sender.ready().await {
            return Err(TransportError::Unsent(error_chain(&error)));
        }
        let response = self
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let is_unsent = error.take_message().is_some();
                let cause = error_chain(error.error());
                if is_unsent {
                    TransportError::Unsent(cause)
                } else {
                    TransportError::Sent(cause)
                }
            })?;
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            let cause = format!("status {} is none of a final response", status.as_str());
            return Err(TransportError::Sent(cause));
        }
        Ok(response)
    }
}

/// Sets TCP options so that the kernel detects a peer that vanished without closing the connection.
///
/// # Errors
///
/// If the socket options can't be set.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = Duration::from_millis(KEEPALIVE_INTERVAL.0);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(2),
    )?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))
}
