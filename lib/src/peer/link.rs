//! The link to one peer: its current connection, which is opened on first use, and the
//! backoff after failed connection attempts.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tonic::transport::{Channel, Endpoint};
use tonic::{ConnectError, Status};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Limits;
use super::connector::Connector;
use super::probe::Probe;
use super::tls::Security;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::schema::peer::peer_client::PeerClient;

/// A connection to a peer, with the probe that checks whether the peer still responds.
#[derive(Debug)]
pub(super) struct Connection {
    client: PeerClient<Channel>,
    probe: Probe,
}

impl Connection {
    /// Creates a connection that is opened by the first call.
    fn new(connector: &Connector, limits: &Limits) -> Arc<Self> {
        let endpoint = endpoint(connector.address, limits);
        let channel = endpoint.connect_with_connector_lazy(connector.clone());
        let client = PeerClient::new(channel)
            .max_decoding_message_size(limits.max_message_bytes)
            .max_encoding_message_size(limits.max_message_bytes);
        Arc::new(Self {
            probe: Probe::new(client.clone(), limits),
            client,
        })
    }

    /// Returns a client that uses this connection.
    pub(super) fn client(&self) -> PeerClient<Channel> {
        self.client.clone()
    }
}

/// The link to one peer.
#[derive(Debug)]
pub(super) struct Link {
    node: Name,
    address: SocketAddr,
    connector: Connector,
    limits: Limits,
    connection: Mutex<Arc<Connection>>,
    clock: Arc<dyn Clock>,
    last_response_at: AtomicU64,
    failures: AtomicU32,
    backoff_until: AtomicU64,
    last_used_at: AtomicU64,
}

impl Link {
    /// Creates a link; the connection is opened by the first call.
    pub(super) fn new(
        node: &Name,
        address: SocketAddr,
        security: &Security,
        limits: &Limits,
        clock: &Arc<dyn Clock>,
    ) -> Self {
        let connector = Connector {
            address,
            security: security.clone(),
            timeout: limits.connect_timeout,
        };
        Self {
            node: Arc::clone(node),
            address,
            connection: Mutex::new(Connection::new(&connector, limits)),
            connector,
            limits: limits.clone(),
            clock: Arc::clone(clock),
            last_response_at: AtomicU64::new(clock.now().0),
            failures: AtomicU32::new(0),
            backoff_until: AtomicU64::new(0),
            last_used_at: AtomicU64::new(clock.now().0),
        }
    }

    /// Returns the connection for a call, or an error during the backoff after a failed
    /// connection attempt.
    pub(super) fn connection(&self) -> Result<Arc<Connection>, Failure> {
        let now = self.clock.now();
        self.last_used_at.store(now.0, Ordering::Relaxed);
        let until = Millis(self.backoff_until.load(Ordering::Relaxed));
        if now < until {
            let failure = Failure::new(Code::PeerUnreachable, "the peer couldn't be reached");
            return Err(failure.retry_after(until.since(now)));
        }
        let connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Ok(Arc::clone(&connection))
    }

    /// Replaces a silent connection; calls that wait on it or receive a response stay there.
    ///
    /// New requests on the silent connection could be lost, and it would be unknown
    /// whether they ran. Opening a new connection shows quickly that the peer's VM is gone,
    /// and works right away when only the network had failed.
    fn replace_connection(&self, silent: &Arc<Connection>) {
        let mut connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // All requests that wait on one connection detect the silence at the same time;
        // only the first replaces the connection.
        if Arc::ptr_eq(&connection, silent) {
            log::debug!("peer: {} is silent", self.address);
            *connection = Connection::new(&self.connector, &self.limits);
        }
    }

    /// Records that a call timed out; replaces the connection if the peer hasn't responded
    /// to any other call for a while.
    pub(super) fn record_timeout(&self, connection: &Arc<Connection>) {
        let last_response_at = Millis(self.last_response_at.load(Ordering::Relaxed));
        let max_silence = self.limits.ping_interval + self.limits.ping_timeout;
        if self.clock.now().since(last_response_at) >= max_silence {
            self.replace_connection(connection);
        }
    }

    /// Awaits a call; a retryable one fails if the peer falls silent before it completes.
    ///
    /// Whether a silent peer runs a request is unknown. A request that may run twice
    /// fails soon, so that it can be retried at another upstream. One that may not is
    /// never retried, so waiting for the peer to resume is its only chance of a response.
    pub(super) async fn await_response<T>(
        &self,
        connection: &Arc<Connection>,
        retryable: bool,
        call: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        tokio::pin!(call);
        tokio::select! {
            biased;
            result = &mut call => return result,
            () = connection.probe.wait_until_silent() => self.replace_connection(connection),
        }
        if retryable {
            return Err(Failure::new(Code::PeerLost, "the peer is silent"));
        }
        call.await
    }

    /// Returns when the link was last used for a call.
    pub(super) fn last_used_at(&self) -> Millis {
        Millis(self.last_used_at.load(Ordering::Relaxed))
    }

    /// Records a response from the peer and resets the backoff to its minimum.
    pub(super) fn record_response(&self) {
        self.last_response_at
            .store(self.clock.now().0, Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Converts the error of a call to a failure, and starts the backoff if the connection
    /// couldn't be opened.
    ///
    /// Only a failure to open the connection proves that the request wasn't sent. Once
    /// the connection is open, the peer may have read the request and acted on it,
    /// whatever error the connection reports.
    pub(super) fn record_failure(&self, status: &Status) -> Failure {
        if is_connect_error(status) {
            self.back_off();
            let failure = Failure::new(Code::PeerUnreachable, "the peer can't be reached");
            return failure.retry_after(self.limits.min_backoff);
        }
        Failure::new(
            Code::PeerLost,
            format!("the connection to the peer broke: {:?}", status.code()),
        )
    }

    /// Starts the backoff after a failed connection attempt.
    fn back_off(&self) {
        let now = self.clock.now();
        // All calls that wait for one connection attempt fail together; count one failure.
        if now.0 < self.backoff_until.load(Ordering::Relaxed) {
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed);
        let Limits {
            min_backoff,
            max_backoff,
            ..
        } = self.limits;
        let backoff = Millis(min_backoff.0 << failures.min(16)).min(max_backoff);
        let until = now + jittered(backoff, &self.node, self.address, failures);
        self.backoff_until.store(until.0, Ordering::Relaxed);
        log::debug!("peer: {} can't be reached", self.address);
    }
}

/// Returns a backoff between half of `backoff` and all of it, different for each pair of nodes.
///
/// Without jitter, all nodes that lost a peer at the same time would reconnect at the same time.
fn jittered(backoff: Millis, node: &str, address: SocketAddr, failures: u32) -> Millis {
    let seed = xxh3_64_with_seed(node.as_bytes(), u64::from(failures));
    let hash = xxh3_64_with_seed(address.to_string().as_bytes(), seed);
    Millis(backoff.0 / 2 + hash % (backoff.0 / 2 + 1))
}

/// Returns the HTTP/2 settings of a connection to a peer.
fn endpoint(address: SocketAddr, limits: &Limits) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an IP address with a port is a valid URI authority")
        .connect_timeout(limits.connect_timeout.duration())
        .initial_stream_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window())
        // h2 counts every frame that arrives for a stream that this side has reset as an
        // error of the peer, over the lifetime of the connection, and closes the connection
        // at a limit, which breaks the responses of all callers that share it. A peer that
        // is authenticated by its certificate needs no such limit.
        .http2_max_local_error_reset_streams(None)
        .http2_keep_alive_interval(limits.ping_interval.duration())
        .keep_alive_timeout(limits.keepalive_timeout.duration())
}

/// Returns whether a call failed because the connection couldn't be opened.
fn is_connect_error(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
