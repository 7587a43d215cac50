//! Connections between nodes: the gRPC service that a node offers its peers, and the
//! clients that call it on other nodes. See docs/architecture.md.

pub mod client;
mod connector;
mod control_traffic;
mod forward;
mod link;
mod permit;
mod probe;
pub mod server;
pub mod tls;
mod wire;
mod witness;

pub use client::Clients;
pub(crate) use permit::RemotePermitSource;

use crate::clock::Millis;

/// Limits and timeouts of the connections between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections that peers may have open to this node.
    pub max_connections: usize,
    /// Maximum number of HTTP/2 streams (requests in progress) on one connection.
    pub max_concurrent_streams: u32,
    /// HTTP/2 flow-control window of one stream.
    ///
    /// A connection's window is this times [`Limits::max_concurrent_streams`], so that streams
    /// that nobody reads can't use up the window that the other streams need.
    pub stream_window_bytes: u32,
    /// Maximum size of one gRPC message.
    pub max_message_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Timeout for opening a connection, TLS handshake included.
    pub connect_timeout: Millis,
    /// Timeout of a gossip exchange, a vote request or the response head of a snapshot.
    pub call_timeout: Millis,
    /// Interval of the pings to a peer while requests to it are in progress.
    ///
    /// Used for HTTP/2 keepalive pings and for the `Alive` calls of requests that have no
    /// response yet.
    pub ping_interval: Millis,
    /// Interval of the HTTP/2 keepalive pings that a node sends on connections that it accepted.
    ///
    /// It is long because nearly every node is connected to every other: with a ping every
    /// 2 s, pings would cost 320 nodes more than everything else together. A forwarding node
    /// that dies without closing its connection is noticed that much later; its requests end
    /// by their deadlines at the latest.
    pub server_ping_interval: Millis,
    /// Timeout of an `Alive` call.
    ///
    /// When it passes, requests that can be retried at another upstream fail: those that are
    /// idempotent and whose response hasn't begun.
    pub ping_timeout: Millis,
    /// Time without a reply to an HTTP/2 keepalive ping after which the connection is closed,
    /// and with it all responses that have begun.
    ///
    /// It is longer than [`Limits::ping_timeout`] because such a response can't be produced
    /// again, and a request that isn't idempotent can't be retried. A VM that is migrated or
    /// saved pauses for seconds and its streams continue afterwards. When the VM is gone,
    /// callers learn of it only after this time.
    pub keepalive_timeout: Millis,
    /// Backoff after the first failed connection attempt; it doubles with each further failure.
    pub min_backoff: Millis,
    /// Maximum backoff.
    pub max_backoff: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_concurrent_streams: 4096,
            stream_window_bytes: 64 << 10,
            max_message_bytes: 4 << 20,
            max_body_bytes: 64 << 20,
            connect_timeout: Millis::from_secs(1),
            call_timeout: Millis::from_secs(2),
            ping_interval: Millis::from_secs(2),
            server_ping_interval: Millis::from_secs(30),
            ping_timeout: Millis::from_secs(2),
            keepalive_timeout: Millis::from_secs(15),
            min_backoff: Millis(100),
            max_backoff: Millis::from_secs(5),
        }
    }
}

impl Limits {
    /// Returns the flow-control window of a connection, capped at the maximum of HTTP/2.
    fn connection_window(&self) -> u32 {
        const MAX_HTTP2_WINDOW: u32 = (1 << 31) - 1;
        self.stream_window_bytes
            .saturating_mul(self.max_concurrent_streams)
            .min(MAX_HTTP2_WINDOW)
    }
}
