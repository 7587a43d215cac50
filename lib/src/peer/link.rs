//! The connection to one peer: opened when needed, with backoff after a failure.

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

/// One connection to a peer.
#[derive(Debug)]
pub(super) struct Way {
    client: PeerClient<Channel>,
    probe: Probe,
}

impl Way {
    /// Makes a way whose connection is opened by the first call.
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

    /// Returns a client.
    pub(super) fn client(&self) -> PeerClient<Channel> {
        self.client.clone()
    }
}

/// The way to one peer.
#[derive(Debug)]
pub(super) struct Link {
    node: Name,
    address: SocketAddr,
    connector: Connector,
    limits: Limits,
    way: Mutex<Arc<Way>>,
    clock: Arc<dyn Clock>,
    heard: AtomicU64,
    failures: AtomicU32,
    closed_until: AtomicU64,
    used: AtomicU64,
}

impl Link {
    /// Makes the way to a peer; the connection is opened by the first call.
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
            way: Mutex::new(Way::new(&connector, limits)),
            connector,
            limits: limits.clone(),
            clock: Arc::clone(clock),
            heard: AtomicU64::new(clock.now().0),
            failures: AtomicU32::new(0),
            closed_until: AtomicU64::new(0),
            used: AtomicU64::new(clock.now().0),
        }
    }

    /// Returns the way for a call, unless a connection failed a moment ago.
    pub(super) fn way(&self) -> Result<Arc<Way>, Failure> {
        let now = self.clock.now();
        self.used.store(now.0, Ordering::Relaxed);
        let until = Millis(self.closed_until.load(Ordering::Relaxed));
        if now < until {
            let failure = Failure::new(Code::PeerUnreachable, "the peer couldn't be reached");
            return Err(failure.retry_after(until.since(now)));
        }
        let way = self.way.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(Arc::clone(&way))
    }

    /// Leaves a silent connection to the answers that have begun on it.
    ///
    /// What comes next would vanish on it, and nobody could say that it wasn't run;
    /// a new connection shows at once when the peer's VM is gone, and works at once
    /// when it was the network that failed.
    fn leave(&self, silent: &Arc<Way>) {
        let mut way = self.way.lock().unwrap_or_else(PoisonError::into_inner);
        // All requests that waited on one connection find out together.
        if Arc::ptr_eq(&way, silent) {
            log::debug!("peer: {} is silent", self.address);
            *way = Way::new(&self.connector, &self.limits);
        }
    }

    /// Notes that a call had no answer in its time.
    pub(super) fn unanswered(&self, way: &Arc<Way>) {
        let heard = Millis(self.heard.load(Ordering::Relaxed));
        let trusted = self.limits.ping_interval + self.limits.ping_timeout;
        if self.clock.now().since(heard) >= trusted {
            self.leave(way);
        }
    }

    /// Returns what a request's call brings; one that may run again is given up when
    /// the peer falls silent before.
    ///
    /// What a silent peer makes of a request can't be known. If it may run twice, it
    /// is soon tried elsewhere; if not, it is tried nowhere else, and its caller is
    /// better served by a peer that goes on.
    pub(super) async fn answer<T>(
        &self,
        way: &Arc<Way>,
        again: bool,
        call: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        tokio::pin!(call);
        tokio::select! {
            biased;
            brought = &mut call => return brought,
            () = way.probe.silent() => self.leave(way),
        }
        if again {
            return Err(Failure::new(Code::PeerLost, "the peer is silent"));
        }
        call.await
    }

    /// Returns when a call was last made.
    pub(super) fn used(&self) -> Millis {
        Millis(self.used.load(Ordering::Relaxed))
    }

    /// Notes that the peer has answered.
    pub(super) fn answered(&self) {
        self.heard.store(self.clock.now().0, Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Says what a failed call means for what was sent.
    ///
    /// Only a connection that was never opened proves that nothing left this
    /// node. After that the peer may have read the request and acted on it,
    /// whatever the connection reports.
    pub(super) fn failed(&self, status: &Status) -> Failure {
        if is_connect(status) {
            self.back_off();
            let failure = Failure::new(Code::PeerUnreachable, "the peer can't be reached");
            return failure.retry_after(self.limits.min_backoff);
        }
        Failure::new(
            Code::PeerLost,
            format!("the connection to the peer broke: {:?}", status.code()),
        )
    }

    fn back_off(&self) {
        let now = self.clock.now();
        // All calls that waited for one connection fail together; that is one failure.
        if now.0 < self.closed_until.load(Ordering::Relaxed) {
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed);
        let Limits {
            min_backoff: from,
            max_backoff: to,
            ..
        } = self.limits;
        let span = Millis(from.0 << failures.min(16)).min(to);
        let until = now + jittered(span, &self.node, self.address, failures);
        self.closed_until.store(until.0, Ordering::Relaxed);
        log::debug!("peer: {} can't be reached", self.address);
    }
}

/// Returns between half and the whole of a span, different for each pair of nodes.
///
/// Without it, nodes that lost a peer together would all come back together.
fn jittered(span: Millis, node: &str, address: SocketAddr, failures: u32) -> Millis {
    let seed = xxh3_64_with_seed(node.as_bytes(), u64::from(failures));
    let hash = xxh3_64_with_seed(address.to_string().as_bytes(), seed);
    Millis(span.0 / 2 + hash % (span.0 / 2 + 1))
}

fn endpoint(address: SocketAddr, limits: &Limits) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an address by IP number and port is an authority")
        .connect_timeout(limits.connect_timeout.duration())
        .initial_stream_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window())
        // The library counts each piece that comes after its caller went away as a
        // fault of the peer, over the connection's whole life, and ends it at a
        // bound, with the answers of all callers that share it. A peer that is
        // known by its certificate needs no such bound.
        .http2_max_local_error_reset_streams(None)
        .http2_keep_alive_interval(limits.ping_interval.duration())
        .keep_alive_timeout(limits.keepalive_timeout.duration())
}

fn is_connect(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
