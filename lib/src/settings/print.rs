//! The settings file that a newcomer starts from: every field, its default, and what it does.

use std::fmt::Write as _;

use super::defaults as d;
use crate::clock::Millis;

/// A field of the settings file.
#[derive(Debug)]
pub struct Field {
    /// Section and name, such as `limits.queue`.
    pub path: &'static str,
    /// The default, or an example where a value must be given.
    pub value: String,
    /// Whether the file must give a value.
    pub required: bool,
    /// What it does.
    pub about: &'static str,
}

fn required(path: &'static str, example: &str, about: &'static str) -> Field {
    Field {
        path,
        value: example.to_owned(),
        required: true,
        about,
    }
}

fn optional(
    path: &'static str,
    default: impl std::fmt::Display + Copy,
    about: &'static str,
) -> Field {
    Field {
        path,
        value: default.to_string(),
        required: false,
        about,
    }
}

fn millis(path: &'static str, default: Millis, about: &'static str) -> Field {
    optional(path, default.0, about)
}

/// Lists all fields in the order of the schema.
#[must_use]
pub fn fields() -> Vec<Field> {
    let mut fields = Vec::new();
    fields.extend(identity());
    fields.extend(platform());
    fields.extend(limits());
    fields.extend(policy());
    fields.extend(access());
    fields
}

fn identity() -> [Field; 6] {
    [
        required("node.name", "entry-1", "unique in the deployment"),
        required("node.region", "north", "the region that the VM runs in"),
        required(
            "node.failure_domain",
            "north-a",
            "the failure domain that the VM runs in",
        ),
        required(
            "listen.callers",
            "127.0.0.1:8080",
            "for callers, behind the balancer",
        ),
        required(
            "listen.peers",
            "127.0.0.1:8081",
            "for other nodes, which dial this very address",
        ),
        required(
            "listen.operators",
            "127.0.0.1:8082",
            "for operators, the balancer's checks and metrics",
        ),
    ]
}

fn platform() -> [Field; 10] {
    [
        required(
            "platform.store",
            "[\"127.0.0.1:2379\"]",
            "addresses of the key-value service",
        ),
        required(
            "platform.directory",
            "127.0.0.1:2390",
            "address of the list of VMs",
        ),
        required(
            "platform.weights",
            "127.0.0.1:2391",
            "address of the weight store's listing",
        ),
        optional(
            "platform.prefix",
            d::PREFIX,
            "prefix of all keys of this deployment, ending in a slash",
        ),
        millis(
            "platform.lease_ms",
            d::LEASE,
            "shortest lease of a node; a dead node's upstreams are taken over after about this",
        ),
        optional(
            "platform.lease_writes_per_second",
            d::LEASE_WRITES_PER_SECOND,
            "calls a second that the whole fleet may spend on leases; leases grow longer to keep it",
        ),
        millis(
            "platform.call_timeout_ms",
            d::CALL_TIMEOUT,
            "longest wait for an answer of the platform",
        ),
        millis(
            "platform.directory_poll_ms",
            d::DIRECTORY_POLL,
            "time between readings of the list of VMs",
        ),
        millis(
            "platform.gossip_ms",
            d::GOSSIP,
            "time between exchanges with a peer",
        ),
        optional(
            "platform.seeds",
            "[]",
            "peers to hear from when neither the service nor the list answers",
        ),
    ]
}

fn limits() -> [Field; 16] {
    [
        optional(
            "limits.head_bytes",
            d::HEAD_BYTES,
            "largest head of a request",
        ),
        optional(
            "limits.body_bytes",
            d::BODY_BYTES,
            "largest body of a request; a template may allow less",
        ),
        optional(
            "limits.connections",
            d::CONNECTIONS,
            "most connections of callers",
        ),
        optional(
            "limits.in_flight",
            d::IN_FLIGHT,
            "most requests in progress at the node",
        ),
        millis(
            "limits.head_timeout_ms",
            d::HEAD_TIMEOUT,
            "longest wait for a whole head",
        ),
        millis(
            "limits.body_timeout_ms",
            d::BODY_TIMEOUT,
            "longest wait for a whole body",
        ),
        millis(
            "limits.default_deadline_ms",
            d::DEADLINE,
            "time to a whole answer where nobody names one",
        ),
        millis(
            "limits.max_deadline_ms",
            d::MAX_DEADLINE,
            "longest time to a whole answer that may be named",
        ),
        optional(
            "limits.default_output_tokens",
            d::OUTPUT_TOKENS,
            "most tokens of an answer where nobody names a number",
        ),
        optional(
            "limits.queue",
            d::QUEUE,
            "most requests that wait at one upstream, all classes together",
        ),
        optional(
            "limits.attempts",
            d::ATTEMPTS,
            "most tries of one request, the first included",
        ),
        optional(
            "limits.retry_percent",
            d::RETRY_PERCENT,
            "retries for each hundred first tries",
        ),
        millis(
            "limits.drain_grace_ms",
            d::DRAIN_GRACE,
            "at a stop: time between not ready and refusing connections, for the balancer to notice",
        ),
        millis(
            "limits.drain_limit_ms",
            d::DRAIN_LIMIT,
            "at a stop: longest wait for requests in progress",
        ),
        millis(
            "limits.idle_timeout_ms",
            d::IDLE_TIMEOUT,
            "how long a caller's connection may idle",
        ),
        millis(
            "limits.write_timeout_ms",
            d::WRITE_TIMEOUT,
            "longest wait for a caller to take a piece of its answer",
        ),
    ]
}

fn policy() -> [Field; 5] {
    [
        optional(
            "policy.batch_weight",
            d::BATCH_WEIGHT,
            "0 spends nothing for fuller batches, 100 spends nothing against load stalls",
        ),
        optional(
            "policy.loads_per_kilosecond",
            d::LOADS_PER_KILOSECOND,
            "the weight store's rate: loads in a thousand seconds",
        ),
        millis(
            "policy.first_token_ms",
            d::FIRST_TOKEN,
            "aim for the time to the first token",
        ),
        millis(
            "policy.between_tokens_ms",
            d::BETWEEN_TOKENS,
            "aim for the time between tokens",
        ),
        optional(
            "policy.max_replicas",
            d::MAX_REPLICAS,
            "most upstreams that hold one adapter version at a time",
        ),
    ]
}

fn access() -> [Field; 5] {
    [
        optional(
            "access.tokens",
            "[]",
            "operators' tokens: name, digest (from chivevalve digest) and role (read or write)",
        ),
        optional(
            "tls.plaintext",
            "false",
            "true runs without TLS between nodes; then the three files are left out",
        ),
        required(
            "tls.certificate",
            "/etc/chivevalve/node.pem",
            "the node's certificate chain, PEM",
        ),
        required(
            "tls.key",
            "/etc/chivevalve/node.key",
            "the node's private key, PEM",
        ),
        required(
            "tls.authority",
            "/etc/chivevalve/authority.pem",
            "certificates that other nodes' certificates are checked against, PEM",
        ),
    ]
}

/// Writes a settings file with every field: defaults as comments, the rest to be filled in.
#[must_use]
pub fn print() -> String {
    let mut text = String::from(
        "# Settings of chivevalved. Lines that are commented out show the defaults;\n\
         # the others have no default. Times are in milliseconds, sizes in bytes.\n",
    );
    let mut section = "";
    for field in fields() {
        let (head, name) = field.path.split_once('.').unwrap_or((field.path, ""));
        // Writing to a string can't fail.
        if head != section {
            let _ = write!(text, "\n{head}:\n");
            section = head;
        }
        let mark = if field.required { "" } else { "# " };
        let _ = writeln!(text, "  # {}", field.about);
        let _ = writeln!(text, "  {mark}{name}: {}", field.value);
    }
    // A section without any required field would be empty, which YAML reads as null.
    for section in ["limits", "policy", "access"] {
        text = text.replace(&format!("\n{section}:\n"), &format!("\n# {section}:\n"));
    }
    text
}
