//! Kept HTTP/1.1 connections to one address.
//!
//! A general pooled client hides which connection a request took. Here that is
//! what decides: an answer that names another request spoils its connection
//! only, a server's limit on connections is shared by all nodes, and a request
//! that may not be repeated wants a connection that is surely alive.
//! See docs/design/0007-direct-serving.md.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::http::describe;
use crate::clock::Millis;

/// How long sent bytes may stay unacknowledged before the system gives a connection up.
///
/// A peer that lost power sends no reset; without this a write to it would wait
/// for minutes. Three heartbeats of a lossy link fit.
const UNACKNOWLEDGED: Millis = Millis(2_000);

/// How long a connection may be silent before the system probes it.
const PROBE_AFTER: Millis = Millis(1_000);

/// Longest head of an answer that is read, in bytes.
const READ_BUFFER: usize = 32 * 1024;

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransportError {
    /// No byte of the request left, so the other side can't have seen it.
    Unsent(String),
    /// The request, or part of it, may have arrived.
    Sent(String),
}

/// Whether somebody listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// A connection could be made.
    Accepted,
    /// The VM lives, and no process listens there.
    Refused,
    /// Neither: the VM is gone, cut off, or short of connections.
    Unknown,
}

/// Bounds of the connections to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Longest time to connect.
    pub connect_timeout: Millis,
    /// How long an unused connection is kept.
    pub idle_timeout: Millis,
    /// Most connections open at once.
    pub max_open: usize,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One connection, in use by one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    open: Open,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    bounds: Mutex<PoolLimits>,
    idle: Mutex<Vec<Idle>>,
    open: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// Makes a link without connections.
    #[must_use]
    pub fn new(address: SocketAddr, bounds: PoolLimits) -> Self {
        Self {
            address,
            bounds: Mutex::new(bounds),
            idle: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// Changes how many connections may be open at once.
    pub fn set_max_open(&self, open: usize) {
        self.bounds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .max_open = open;
    }

    /// Closes all connections that nobody uses.
    pub fn close_idle(&self) {
        self.kept().clear();
    }

    /// Closes the connections that were unused too long or have ended.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.kept()
            .retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
    }

    /// Takes a connection that was last used no longer than `freshness` ago, or opens one.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] when the limit is reached or connecting fails.
    pub async fn acquire(&self, freshness: Millis) -> Result<Connection, TransportError> {
        match self.take_idle(freshness) {
            Some(connection) => Ok(connection),
            None => self.connect().await,
        }
    }

    fn take_idle(&self, freshness: Millis) -> Option<Connection> {
        let now = Instant::now();
        let mut kept = self.kept();
        while let Some(idle) = kept.pop() {
            let fresh = now.duration_since(idle.since) <= freshness.duration();
            if !fresh {
                // The newest is on top: what lies below is staler still.
                kept.push(idle);
                return None;
            }
            if idle.until > now && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Looks whether somebody listens at the address.
    pub async fn probe(&self) -> ProbeResult {
        let bounds = *self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let connecting = TcpStream::connect(self.address);
        match tokio::time::timeout(bounds.connect_timeout.duration(), connecting).await {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                ProbeResult::Refused
            }
            Ok(Err(_)) | Err(_) => ProbeResult::Unknown,
        }
    }

    async fn connect(&self) -> Result<Connection, TransportError> {
        let bounds = *self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let open = Open(Arc::clone(&self.open));
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        // An unused connection that is too old for this request makes room.
        if before >= bounds.max_open && self.kept().pop().is_none() {
            return Err(TransportError::Unsent(format!(
                "{before} connections are open, the limit is {}",
                bounds.max_open
            )));
        }
        let stream = tokio::time::timeout(
            bounds.connect_timeout.duration(),
            TcpStream::connect(self.address),
        )
        .await
        .map_err(|_| {
            TransportError::Unsent(format!("no connection within {}", bounds.connect_timeout))
        })?
        .map_err(|error| TransportError::Unsent(error.to_string()))?;
        enable_dead_peer_detection(&stream)
            .map_err(|error| TransportError::Unsent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| TransportError::Unsent(describe(&error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("link: a connection ended: {}", describe(&error));
            }
        });
        Ok(Connection { sender, open })
    }

    /// Keeps a connection whose answer was read whole and belonged to its request.
    ///
    /// `span` is how long the server keeps it, if it said so. The connection is
    /// closed a second earlier, so that no request crosses the server's close.
    pub fn release(&self, connection: Connection, span: Option<Millis>) {
        if connection.sender.is_closed() {
            return;
        }
        let bounds = *self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        let span = span.map_or(bounds.idle_timeout, |span| {
            bounds.idle_timeout.min(span - Millis::from_secs(1))
        });
        if span == Millis::ZERO {
            return;
        }
        let now = Instant::now();
        self.kept().push(Idle {
            connection,
            since: now,
            until: now + span.duration(),
        });
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// [`TransportError::Unsent`] only when the request was handed back unwritten.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TransportError> {
        debug_assert!(self.open.0.load(Ordering::Relaxed) > 0);
        if let Err(error) = self.sender.ready().await {
            return Err(TransportError::Unsent(describe(&error)));
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let unsent = error.take_message().is_some();
                let told = describe(error.error());
                if unsent {
                    TransportError::Unsent(told)
                } else {
                    TransportError::Sent(told)
                }
            })
    }
}

/// Makes the system notice a peer that has vanished without closing the connection.
///
/// # Errors
///
/// When the system refuses the socket's options.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probe = Duration::from_millis(PROBE_AFTER.0);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(probe)
            .with_interval(probe)
            .with_retries(2),
    )?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED.duration()))
}
