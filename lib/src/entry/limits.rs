//! Limits on callers' use of resources. docs/callers.md lists the defaults.

use crate::claim;
use crate::clock::Millis;
use crate::policy::placement;
use crate::retry;

/// Limits of one node's entry.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request head in bytes; the HTTP library needs at least 8,192.
    pub head_bytes: usize,
    /// Maximum number of headers of a request.
    pub headers: usize,
    /// Maximum size of a request body in bytes where the template sets none.
    pub body_bytes: usize,
    /// Upper bound in bytes on the maximum body size that a template sets.
    pub max_body_bytes: usize,
    /// Maximum size in bytes of a response that is buffered until it is complete.
    pub max_response_bytes: usize,
    /// Maximum size of a stream's event in bytes.
    pub max_event_bytes: usize,
    /// Maximum number of bytes of request bodies and buffered responses, all requests together.
    pub max_buffered_bytes: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of requests in progress.
    pub in_flight: usize,
    /// Maximum number of concurrent streams of an HTTP/2 connection.
    pub streams: u32,
    /// Timeout for receiving a request's complete head.
    pub head_timeout: Millis,
    /// Timeout for receiving a request's complete body after its head.
    pub body_timeout: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Millis,
    /// Maximum time for which a caller may read nothing of what is sent.
    pub write_timeout: Millis,
    /// Time allowed for the complete response where the template sets none.
    pub default_deadline: Millis,
    /// Upper bound on the deadline that a template sets.
    pub max_deadline: Millis,
    /// Maximum number of output tokens where the template sets none.
    pub default_output_tokens: u32,
    /// Maximum time a request waits for a usable upstream, or for the configuration to be updated.
    pub upstream_wait: Millis,
    /// Limits of placement.
    pub placement: placement::Limits,
    /// Retry budget: retries per hundred first tries.
    pub retry_percent: u32,
    /// Limits on the tries of one request.
    pub retry_policy: retry::RetryPolicy,
    /// Limits of claims on idempotency keys.
    pub claims: claim::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            headers: 100,
            body_bytes: 1 << 20,
            max_body_bytes: 16 << 20,
            max_response_bytes: 8 << 20,
            max_event_bytes: 1 << 20,
            max_buffered_bytes: 64 << 20,
            connections: 8_192,
            in_flight: 4_096,
            streams: 256,
            head_timeout: Millis::from_secs(10),
            body_timeout: Millis::from_secs(30),
            idle_timeout: Millis::from_secs(75),
            write_timeout: Millis::from_secs(30),
            default_deadline: Millis::from_secs(60),
            max_deadline: Millis::from_secs(600),
            default_output_tokens: 1_024,
            upstream_wait: Millis::from_secs(6),
            placement: placement::Limits::default(),
            retry_percent: 20,
            retry_policy: retry::RetryPolicy::default(),
            claims: claim::Limits::default(),
        }
    }
}
