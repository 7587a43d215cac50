//! Bounds on what callers may use up, with the defaults that docs/callers.md gives.

use crate::claim;
use crate::clock::Millis;
use crate::policy::placement;
use crate::retry;

/// Bounds of one node's entry.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request head in bytes; the HTTP library takes no less than 8,192.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Largest request body in bytes where the template sets none.
    pub body_bytes: usize,
    /// Largest request body in bytes that a template can allow.
    pub max_body_bytes: usize,
    /// Largest answer in bytes that is held back until it is whole.
    pub max_response_bytes: usize,
    /// Largest event of a stream in bytes.
    pub max_event_bytes: usize,
    /// Bytes of bodies and held-back answers of all requests together.
    pub max_buffered_bytes: usize,
    /// Most connections.
    pub connections: usize,
    /// Most requests in progress.
    pub in_flight: usize,
    /// Most requests in progress on one HTTP/2 connection.
    pub streams: u32,
    /// Longest time until a request's head is whole.
    pub head_timeout: Millis,
    /// Longest time from a request's head until its body is whole.
    pub body_timeout: Millis,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Millis,
    /// Longest time that a caller takes nothing of what is sent.
    pub write_timeout: Millis,
    /// Time to a whole answer where the template sets none.
    pub default_deadline: Millis,
    /// Longest deadline of a template that is heeded.
    pub max_deadline: Millis,
    /// Most tokens of an answer where the template sets none.
    pub default_output_tokens: u32,
    /// Longest wait for an upstream to become usable.
    pub upstream_wait: Millis,
    /// How upstreams are ordered.
    pub placement: placement::Limits,
    /// Retries for each hundred first tries.
    pub retry_percent: u32,
    /// Tries of one request.
    pub retry_policy: retry::RetryPolicy,
    /// How claims on idempotency keys are written and kept.
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
