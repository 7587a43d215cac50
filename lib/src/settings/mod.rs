//! A daemon's settings: read from YAML, checked, and completed with defaults.
//!
//! The file's shape is the schema in `lib/protos/settings.proto`; what the
//! parts of a node get is [`Settings`], where nothing is left open. Bad settings
//! stop the start: a node that guessed would run at night with limits that
//! nobody chose. See docs/operators/settings.md.

pub mod defaults;
mod print;
mod resolve;

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::clock::Millis;
use crate::name::Name;
use crate::schema;
use crate::yaml::{self, Mistake, Mistakes};

pub use print::{Field, fields, print};

/// All settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who the node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is, and how often it is asked.
    pub platform: Platform,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// What the decisions aim for.
    pub policy: Policy,
    /// Who may operate the node.
    pub access: Access,
    /// How nodes know one another.
    pub tls: Tls,
}

/// Who a node is, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Unique in the deployment.
    pub name: Name,
    /// The region that it runs in.
    pub region: Name,
    /// The failure domain that it runs in.
    pub failure_domain: Name,
}

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators, the balancer's checks and metrics.
    pub operators: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service; any one of the addresses answers for all.
    pub store: Vec<SocketAddr>,
    /// The list of VMs.
    pub directory: SocketAddr,
    /// The weight store's listing.
    pub weights: SocketAddr,
    /// Prefix of all keys of this deployment; it ends in a slash.
    pub prefix: Name,
    /// Shortest time of a node's lease.
    pub lease: Millis,
    /// Calls a second that the whole fleet may spend on leases.
    pub lease_writes_per_second: u32,
    /// Longest wait for an answer of the platform.
    pub call_timeout: Millis,
    /// Time between readings of the list of VMs.
    pub directory_poll: Millis,
    /// Time between exchanges with a peer.
    pub gossip: Millis,
    /// Peers to hear from when neither the service nor the list answers.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds on what callers may use; the defaults are in [`defaults`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Most connections of callers.
    pub connections: u32,
    /// Most requests in progress.
    pub in_flight: u32,
    /// Longest wait for a whole head.
    pub head_timeout: Millis,
    /// Longest wait for a whole body.
    pub body_timeout: Millis,
    /// Time to a whole answer where nobody names one.
    pub default_deadline: Millis,
    /// Longest time to a whole answer that may be named.
    pub max_deadline: Millis,
    /// Most tokens of an answer where nobody names a number.
    pub default_output_tokens: u32,
    /// Most requests that wait at one upstream.
    pub queue: u32,
    /// Most tries of one request, the first included.
    pub attempts: u32,
    /// Retries for each hundred first tries.
    pub retry_percent: u32,
    /// Time between "not ready" and refusing connections at a stop.
    pub drain_grace: Millis,
    /// Longest wait for requests in progress at a stop.
    pub drain_limit: Millis,
    /// How long a caller's connection may idle.
    pub idle_timeout: Millis,
    /// Longest wait for a caller to take a piece of its answer.
    pub write_timeout: Millis,
}

/// What the decisions aim for; the defaults are in [`defaults`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// 0 spends nothing for fuller batches, 100 spends nothing against load stalls.
    pub batch_weight: u32,
    /// The weight store's rate: loads in a thousand seconds.
    pub loads_per_kilosecond: u32,
    /// Aim for the time to the first token.
    pub first_token: Millis,
    /// Aim for the time between tokens.
    pub between_tokens: Millis,
    /// Most upstreams that hold one adapter version at a time.
    pub max_replicas: u32,
}

/// Who may operate a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Access {
    /// Known tokens; without any, only health and metrics are answered.
    pub tokens: Vec<Token>,
}

/// An operator's token, known by its digest.
#[derive(Clone, PartialEq, Eq)]
pub struct Token {
    /// Recorded as the author of changes.
    pub name: Name,
    /// SHA-256 digest of the token.
    pub digest: [u8; 32],
    /// What it allows.
    pub role: Role,
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Token")
            .field("name", &self.name)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

/// What an operator's token allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// To look: status, plan, history, export.
    Read,
    /// To look and to change: apply, rollback, drain.
    Write,
}

impl Role {
    /// Returns the name that settings use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// How nodes know one another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tls {
    /// Not at all; only for a network that nobody else can reach.
    Plaintext,
    /// By certificates of one authority, from PEM files.
    Mutual {
        /// The node's certificate chain.
        certificate: PathBuf,
        /// The node's private key.
        key: PathBuf,
        /// Certificates of the authorities that nodes are trusted by.
        authority: PathBuf,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every mistake with its line; a file that can't be read is a mistake in line 1.
pub fn load(path: &Path) -> Result<Settings, Mistakes> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Mistake::new(
            file.as_str(),
            1,
            format!("the file can't be read: {error}"),
            "name a readable file with --settings",
        )
    })?;
    parse(&text, &file)
}

/// Checks settings; `file` is only named in mistakes.
///
/// # Errors
///
/// Every mistake with its line.
pub fn parse(text: &str, file: &str) -> Result<Settings, Mistakes> {
    let (read, lines) = yaml::read::<schema::settings::Settings>(text, file)?;
    resolve::resolve(read, resolve::Site::new(file, &lines))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "
node: {name: entry-1, region: north, failure_domain: north-a}
listen: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\"}
platform: {store: [\"127.0.0.1:2379\"], directory: \"127.0.0.1:2390\", weights: \"127.0.0.1:2391\"}
tls: {plaintext: true}
";

    #[test]
    fn parse_defaults() {
        let settings = parse(SMALL, "s.yaml").unwrap();
        assert_eq!(settings.platform.lease, defaults::LEASE);
        assert_eq!(settings.limits.queue, defaults::QUEUE);
        assert_eq!(settings.policy.max_replicas, defaults::MAX_REPLICAS);
        assert_eq!(settings.tls, Tls::Plaintext);
        assert!(settings.access.tokens.is_empty());
    }

    /// A newcomer fills in nothing and gets the defaults that the page lists.
    #[test]
    fn print_parses_to_defaults() {
        let printed = parse(&print(), "printed").unwrap();
        let uncommented: String = print()
            .lines()
            .map(|line| {
                let opened = line.strip_prefix("# ").filter(|rest| rest.ends_with(':'));
                let field = line.strip_prefix("  # ").filter(|rest| {
                    fields().iter().any(|f| {
                        **rest == format!("{}: {}", f.path.split_once('.').unwrap().1, f.value)
                    })
                });
                match (opened, field) {
                    (Some(section), _) => format!("{section}\n"),
                    (None, Some(field)) => format!("  {field}\n"),
                    (None, None) => format!("{line}\n"),
                }
            })
            .collect();
        let full = parse(&uncommented, "uncommented").unwrap();
        assert_eq!(format!("{printed:?}"), format!("{full:?}"));
    }

    #[test]
    fn fields_cover_schema() {
        let mut schema = schema::settings::Settings::default();
        schema.node = Some(schema::settings::Node::default());
        schema.listen = Some(schema::settings::Listen::default());
        schema.platform = Some(schema::settings::Platform::default());
        schema.limits = Some(schema::settings::Limits::default());
        schema.policy = Some(schema::settings::Policy::default());
        schema.access = Some(schema::settings::Access::default());
        schema.tls = Some(schema::settings::Tls::default());
        let value = serde_json::to_value(schema).unwrap();
        let mut paths: Vec<String> = Vec::new();
        for (section, inner) in value.as_object().unwrap() {
            paths.extend(
                inner
                    .as_object()
                    .unwrap()
                    .keys()
                    .map(|name| format!("{section}.{name}")),
            );
        }
        let mut listed: Vec<String> = fields().iter().map(|field| field.path.to_owned()).collect();
        paths.sort();
        listed.sort();
        assert_eq!(paths, listed);
    }

    #[test]
    fn docs_list_each_default() {
        let page = include_str!("../../../docs/operators/settings.md");
        for field in fields() {
            let value = if field.required {
                "must be given".to_owned()
            } else {
                format!("`{}`", field.value)
            };
            let row = format!("| `{}` | {value} | {} |", field.path, field.about);
            assert!(
                page.contains(&row),
                "docs/operators/settings.md lacks: {row}"
            );
        }
    }

    #[test]
    fn parse_every_mistake() {
        let text = "
node: {name: \"entry 1\", region: north}
listen:
  callers: localhost:80
  peers: 0.0.0.0:8081
  operators: 10.0.0.1:8082
platform:
  store: []
  directory: 10.0.0.2:2390
  weights: 10.0.0.2:2391
  prefix: /chivevalve
limits:
  attempts: 99
  default_deadline_ms: 700000
access:
  tokens:
  - {name: ci, digest: sk-in-the-clear, role: admin}
tls: {plaintext: true, key: /k}
";
        let mistakes = parse(text, "s.yaml").unwrap_err();
        let shown = mistakes.to_string();
        assert!(!shown.contains("sk-in-the-clear"));
        insta::assert_snapshot!(shown, @r"
        s.yaml:2: node.name: this is no name; write 1 to 63 letters, digits, dots, dashes or underscores
        s.yaml:2: node.failure_domain: it is missing; write 1 to 63 letters, digits, dots, dashes or underscores
        s.yaml:4: listen.callers: this is no address by IP number and port; write an IP number and a port, such as 10.0.0.7:8080
        s.yaml:5: listen.peers: this address can't be dialled from elsewhere; write the VM's own IP number
        s.yaml:8: platform.store: it is missing; list at least one address of the key-value service
        s.yaml:11: platform.prefix: it doesn't end in a slash, so other keys could fall under it; write it as /name/
        s.yaml:13: limits.attempts: 99 is out of range; write a number from 1 to 16
        s.yaml:14: limits.default_deadline_ms: it is longer than limits.max_deadline_ms; make it shorter, or the other longer
        s.yaml:17: access.tokens[0].role: this is no role; write read or write
        s.yaml:17: access.tokens[0].digest: this is no SHA-256 digest; write the 64 hexadecimal digits that chivevalve digest prints
        s.yaml:18: tls.plaintext: files are given as well; write certificate, key and authority, or plaintext: true
        ");
    }

    /// Symptom: an operator's digest, from which a weak token can be guessed, stands in a log.
    /// Sequence: the settings are logged with their `Debug` output at the start.
    /// Cause: a derived `Debug` shows every field.
    #[test]
    fn token_debug_hides_digest() {
        let digest = "ab".repeat(32);
        let text =
            format!("{SMALL}access: {{tokens: [{{name: ci, digest: {digest}, role: write}}]}}\n");
        let shown = format!("{:?}", parse(&text, "s.yaml").unwrap());
        assert!(shown.contains("ci") && !shown.contains("171") && !shown.contains("abab"));
    }
}
