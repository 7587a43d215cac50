//! Values that hold where the settings file says nothing.
//!
//! Each fits a node of today's size and the target's alike, so that a small
//! file is a good file; docs/operators/settings.md says when to change one.

use crate::clock::Millis;

/// Prefix of all keys of a deployment in the key-value service.
pub const PREFIX: &str = "/chivevalve/";
/// Shortest time of a node's lease: a dead node's upstreams are taken over after about this.
pub const LEASE: Millis = Millis(3_000);
/// Calls a second that the whole fleet may spend on leases; a larger fleet takes longer leases.
pub const LEASE_WRITES_PER_SECOND: u32 = 100;
/// Longest wait for the key-value service, the list of VMs or the weight store's listing.
pub const CALL_TIMEOUT: Millis = Millis(1_000);
/// Time between readings of the list of VMs.
pub const DIRECTORY_POLL: Millis = Millis(1_000);
/// Time between a node's exchanges with a peer.
pub const GOSSIP: Millis = Millis(500);

/// Largest head of a caller's request, in bytes.
pub const HEAD_BYTES: u64 = 32 * 1024;
/// Largest body of a caller's request, in bytes, where the template names none.
pub const BODY_BYTES: u64 = 1024 * 1024;
/// Most connections of callers.
pub const CONNECTIONS: u32 = 8_192;
/// Most requests in progress at a node.
pub const IN_FLIGHT: u32 = 4_096;
/// Longest wait for a whole head.
pub const HEAD_TIMEOUT: Millis = Millis(10_000);
/// Longest wait for a whole body.
pub const BODY_TIMEOUT: Millis = Millis(30_000);
/// Time to a whole answer where neither the template nor the caller names one.
pub const DEADLINE: Millis = Millis(60_000);
/// Longest time to a whole answer that a template or a caller may name.
pub const MAX_DEADLINE: Millis = Millis(600_000);
/// Most tokens of an answer where the template and the caller name none.
pub const OUTPUT_TOKENS: u32 = 1_024;
/// Most requests that wait at one upstream, all classes together.
pub const QUEUE: u32 = 256;
/// Most tries of one request, the first included.
pub const ATTEMPTS: u32 = 4;
/// Retries that a node makes for each hundred first tries.
pub const RETRY_PERCENT: u32 = 20;
/// Time between "not ready" and refusing connections, for the balancer to notice.
pub const DRAIN_GRACE: Millis = Millis(5_000);
/// Longest wait for requests in progress when the node stops.
pub const DRAIN_LIMIT: Millis = Millis(60_000);
/// How long a caller's connection may idle.
pub const IDLE_TIMEOUT: Millis = Millis(75_000);
/// Longest wait for a caller to take a piece of its answer.
pub const WRITE_TIMEOUT: Millis = Millis(30_000);

/// How much load stalls may cost for the sake of fuller batches, 0 to 100.
pub const BATCH_WEIGHT: u32 = 50;
/// The weight store's rate: loads in a thousand seconds.
pub const LOADS_PER_KILOSECOND: u32 = 3_000;
/// Aim for the time to the first token.
pub const FIRST_TOKEN: Millis = Millis(890);
/// Aim for the time between tokens.
pub const BETWEEN_TOKENS: Millis = Millis(54);
/// Most upstreams that hold one adapter version at a time.
pub const MAX_REPLICAS: u32 = 64;
