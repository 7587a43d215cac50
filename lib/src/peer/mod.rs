//! Connections between nodes: the service that a node gives its peers, and its
//! clients of theirs. See docs/architecture.md.

mod call;
pub mod client;
mod connector;
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

/// Bounds of the connections between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Connections that peers may have open to this node.
    pub max_connections: usize,
    /// Requests in progress on one connection.
    pub max_concurrent_streams: u32,
    /// Bytes of an answer that wait for a slow reader before the sender is held back.
    ///
    /// A connection's window is this times [`Limits::max_concurrent_streams`], so that readers
    /// which take nothing can't use up what the others need.
    pub stream_window_bytes: u32,
    /// Largest message.
    pub max_message_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time to a connection, TLS included.
    pub connect_timeout: Millis,
    /// Longest time of an exchange, a renewal or the first part of a snapshot.
    pub call_timeout: Millis,
    /// Time without a sign of life after which a peer with requests in progress is asked for one.
    pub ping_interval: Millis,
    /// Time between signs of life that a node asks of all who have a connection to it.
    ///
    /// It is long, since nearly every node is connected to every other: at a ping
    /// each 2 s, 320 nodes would spend more on pings than on all else together.
    /// A caller's node that dies without a word is noticed that much later; its
    /// requests end by their deadlines at the latest.
    pub server_ping_interval: Millis,
    /// Time to that sign before requests are given up that can be tried elsewhere: their answers
    /// haven't begun, and they may run twice.
    pub ping_timeout: Millis,
    /// Time to that sign before the connection is given up, and with it the answers that have begun.
    ///
    /// Nobody can give those again, nor run what must not run twice. A VM that is moved or saved is away for seconds, and its
    /// streams go on afterwards; the caller of one that is gone hears of it this much later.
    pub keepalive_timeout: Millis,
    /// First and shortest time without a new try after a failed connection; it doubles.
    pub min_backoff: Millis,
    /// Longest such time.
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
    /// Returns the window of a whole connection, within what HTTP/2 allows.
    fn connection_window(&self) -> u32 {
        const MOST: u32 = (1 << 31) - 1;
        self.stream_window_bytes
            .saturating_mul(self.max_concurrent_streams)
            .min(MOST)
    }
}
