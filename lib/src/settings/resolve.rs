//! From what the file says to settings where nothing is left open.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use super::{Access, Limits, Listen, Node, Platform, Policy, Role, Settings, Tls, Token, defaults};
use crate::clock::Millis;
use crate::name::Name;
use crate::schema::settings as file;
use crate::yaml::{Lines, Mistake, Mistakes};

/// Longest name of a node, region, failure domain or token, in bytes.
const MAX_NAME: usize = 63;
/// Times that make sense for a timeout, in milliseconds: up to an hour.
const TIMEOUT: RangeInclusive<u64> = 1..=3_600_000;
/// Sizes that make sense for a head or a body, in bytes: up to 256 MiB.
const BYTES: RangeInclusive<u64> = 1_024..=268_435_456;
/// Counts of which at least one is needed.
const COUNT: RangeInclusive<u32> = 1..=1_000_000;

/// Collects mistakes with their lines.
pub(super) struct Site<'a> {
    file: &'a str,
    lines: &'a Lines,
    mistakes: Mistakes,
}

impl<'a> Site<'a> {
    pub(super) fn new(file: &'a str, lines: &'a Lines) -> Self {
        Self {
            file,
            lines,
            mistakes: Mistakes::default(),
        }
    }

    fn add(&mut self, path: &str, what: &str, right: &str) {
        let line = self.lines.of_path(path);
        self.mistakes.push(Mistake::new(
            self.file,
            line,
            format!("{path}: {what}"),
            right,
        ));
    }

    fn name(&mut self, path: &str, text: &str) -> Name {
        let right = "write 1 to 63 letters, digits, dots, dashes or underscores";
        let fits = text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_'));
        if text.is_empty() {
            self.add(path, "it is missing", right);
        } else if text.len() > MAX_NAME || !fits {
            self.add(path, "this is no name", right);
        }
        Name::from(text)
    }

    fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        let right = "write an IP number and a port, such as 10.0.0.7:8080";
        match text.parse() {
            Ok(address) => return address,
            Err(_) if text.is_empty() => self.add(path, "it is missing", right),
            Err(_) => self.add(path, "this is no address by IP number and port", right),
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    fn addresses(&mut self, path: &str, texts: &[String]) -> Vec<SocketAddr> {
        texts
            .iter()
            .enumerate()
            .map(|(number, text)| self.address(&format!("{path}[{number}]"), text))
            .collect()
    }

    fn number<N>(
        &mut self,
        path: &str,
        given: Option<N>,
        default: N,
        range: &RangeInclusive<N>,
    ) -> N
    where
        N: PartialOrd + std::fmt::Display + Copy,
    {
        let Some(number) = given else {
            return default;
        };
        if !range.contains(&number) {
            let right = format!("write a number from {} to {}", range.start(), range.end());
            self.add(path, &format!("{number} is out of range"), &right);
        }
        number
    }

    fn span(&mut self, path: &str, given: Option<u64>, default: Millis) -> Millis {
        Millis(self.number(path, given, default.0, &TIMEOUT))
    }
}

/// Completes and checks what the file says.
pub(super) fn resolve(read: file::Settings, mut site: Site<'_>) -> Result<Settings, Mistakes> {
    let settings = Settings {
        node: node(&read.node.unwrap_or_default(), &mut site),
        listen: listen(&read.listen.unwrap_or_default(), &mut site),
        platform: platform(&read.platform.unwrap_or_default(), &mut site),
        limits: limits(&read.limits.unwrap_or_default(), &mut site),
        policy: policy(&read.policy.unwrap_or_default(), &mut site),
        access: access(&read.access.unwrap_or_default(), &mut site),
        tls: tls(read.tls, &mut site),
    };
    site.mistakes.result()?;
    Ok(settings)
}

fn node(read: &file::Node, site: &mut Site<'_>) -> Node {
    Node {
        name: site.name("node.name", &read.name),
        region: site.name("node.region", &read.region),
        failure_domain: site.name("node.failure_domain", &read.failure_domain),
    }
}

fn listen(read: &file::Listen, site: &mut Site<'_>) -> Listen {
    let listen = Listen {
        callers: site.address("listen.callers", &read.callers),
        peers: site.address("listen.peers", &read.peers),
        operators: site.address("listen.operators", &read.operators),
    };
    // Port 0 takes a free port, so two of them don't clash.
    let clash = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if clash(listen.peers, listen.callers) {
        site.add(
            "listen.peers",
            "callers listens there too",
            "take another port",
        );
    }
    if clash(listen.operators, listen.callers) || clash(listen.operators, listen.peers) {
        site.add(
            "listen.operators",
            "callers or peers listens there too",
            "take another port",
        );
    }
    // Other nodes dial these, and tell them to operators, as they stand here.
    for (path, address, text) in [
        ("listen.peers", listen.peers, &read.peers),
        ("listen.operators", listen.operators, &read.operators),
    ] {
        if address.ip().is_unspecified() && text.parse::<SocketAddr>().is_ok() {
            let what = "this address can't be dialled from elsewhere";
            site.add(path, what, "write the VM's own IP number");
        }
    }
    listen
}

fn platform(read: &file::Platform, site: &mut Site<'_>) -> Platform {
    if read.store.is_empty() {
        site.add(
            "platform.store",
            "it is missing",
            "list at least one address of the key-value service",
        );
    }
    let platform = Platform {
        store: site.addresses("platform.store", &read.store),
        directory: site.address("platform.directory", &read.directory),
        weights: site.address("platform.weights", &read.weights),
        prefix: Name::from(read.prefix.as_deref().unwrap_or(defaults::PREFIX)),
        lease: Millis(site.number(
            "platform.lease_ms",
            read.lease_ms,
            defaults::LEASE.0,
            &(1_000..=600_000),
        )),
        lease_writes_per_second: site.number(
            "platform.lease_writes_per_second",
            read.lease_writes_per_second,
            defaults::LEASE_WRITES_PER_SECOND,
            &COUNT,
        ),
        call_timeout: site.span(
            "platform.call_timeout_ms",
            read.call_timeout_ms,
            defaults::CALL_TIMEOUT,
        ),
        directory_poll: site.span(
            "platform.directory_poll_ms",
            read.directory_poll_ms,
            defaults::DIRECTORY_POLL,
        ),
        gossip: site.span("platform.gossip_ms", read.gossip_ms, defaults::GOSSIP),
        seeds: site.addresses("platform.seeds", &read.seeds),
    };
    if !platform.prefix.ends_with('/') {
        site.add(
            "platform.prefix",
            "it doesn't end in a slash, so other keys could fall under it",
            "write it as /name/",
        );
    }
    platform
}

fn limits(read: &file::Limits, site: &mut Site<'_>) -> Limits {
    let at = |name: &str| format!("limits.{name}");
    let limits = Limits {
        head_bytes: site.number(
            &at("head_bytes"),
            read.head_bytes,
            defaults::HEAD_BYTES,
            // Hyper's smallest read buffer.
            &(8_192..=1_048_576),
        ),
        body_bytes: site.number(
            &at("body_bytes"),
            read.body_bytes,
            defaults::BODY_BYTES,
            &BYTES,
        ),
        connections: site.number(
            &at("connections"),
            read.connections,
            defaults::CONNECTIONS,
            &COUNT,
        ),
        in_flight: site.number(
            &at("in_flight"),
            read.in_flight,
            defaults::IN_FLIGHT,
            &COUNT,
        ),
        head_timeout: site.span(
            &at("head_timeout_ms"),
            read.head_timeout_ms,
            defaults::HEAD_TIMEOUT,
        ),
        body_timeout: site.span(
            &at("body_timeout_ms"),
            read.body_timeout_ms,
            defaults::BODY_TIMEOUT,
        ),
        default_deadline: site.span(
            &at("default_deadline_ms"),
            read.default_deadline_ms,
            defaults::DEADLINE,
        ),
        max_deadline: site.span(
            &at("max_deadline_ms"),
            read.max_deadline_ms,
            defaults::MAX_DEADLINE,
        ),
        default_output_tokens: site.number(
            &at("default_output_tokens"),
            read.default_output_tokens,
            defaults::OUTPUT_TOKENS,
            &COUNT,
        ),
        queue: site.number(&at("queue"), read.queue, defaults::QUEUE, &COUNT),
        attempts: site.number(
            &at("attempts"),
            read.attempts,
            defaults::ATTEMPTS,
            &(1..=16),
        ),
        retry_percent: site.number(
            &at("retry_percent"),
            read.retry_percent,
            defaults::RETRY_PERCENT,
            &(0..=100),
        ),
        drain_grace: Millis(site.number(
            &at("drain_grace_ms"),
            read.drain_grace_ms,
            defaults::DRAIN_GRACE.0,
            &(0..=600_000),
        )),
        drain_limit: site.span(
            &at("drain_limit_ms"),
            read.drain_limit_ms,
            defaults::DRAIN_LIMIT,
        ),
        idle_timeout: site.span(
            &at("idle_timeout_ms"),
            read.idle_timeout_ms,
            defaults::IDLE_TIMEOUT,
        ),
        write_timeout: site.span(
            &at("write_timeout_ms"),
            read.write_timeout_ms,
            defaults::WRITE_TIMEOUT,
        ),
    };
    if limits.default_deadline > limits.max_deadline {
        site.add(
            "limits.default_deadline_ms",
            "it is longer than limits.max_deadline_ms",
            "make it shorter, or the other longer",
        );
    }
    limits
}

fn policy(read: &file::Policy, site: &mut Site<'_>) -> Policy {
    Policy {
        batch_weight: site.number(
            "policy.batch_weight",
            read.batch_weight,
            defaults::BATCH_WEIGHT,
            &(0..=100),
        ),
        loads_per_kilosecond: site.number(
            "policy.loads_per_kilosecond",
            read.loads_per_kilosecond,
            defaults::LOADS_PER_KILOSECOND,
            &COUNT,
        ),
        first_token: site.span(
            "policy.first_token_ms",
            read.first_token_ms,
            defaults::FIRST_TOKEN,
        ),
        between_tokens: site.span(
            "policy.between_tokens_ms",
            read.between_tokens_ms,
            defaults::BETWEEN_TOKENS,
        ),
        max_replicas: site.number(
            "policy.max_replicas",
            read.max_replicas,
            defaults::MAX_REPLICAS,
            &COUNT,
        ),
    }
}

fn access(read: &file::Access, site: &mut Site<'_>) -> Access {
    let mut tokens: Vec<Token> = Vec::new();
    for (number, given) in read.tokens.iter().enumerate() {
        let token = token(&format!("access.tokens[{number}]"), given, site);
        if tokens.iter().any(|other| other.digest == token.digest) {
            site.add(
                &format!("access.tokens[{number}].digest"),
                "another token has this digest",
                "give each person or pipeline a token of its own",
            );
        }
        tokens.push(token);
    }
    Access { tokens }
}

fn token(path: &str, read: &file::Token, site: &mut Site<'_>) -> Token {
    let role = match read.role.as_str() {
        "read" => Role::Read,
        "write" => Role::Write,
        _ => {
            site.add(
                &format!("{path}.role"),
                "this is no role",
                "write read or write",
            );
            Role::Read
        }
    };
    let digest = crate::secret::digest_from_hex(&read.digest).unwrap_or_else(|| {
        // The text isn't repeated: it may be the token itself, pasted by mistake.
        site.add(
            &format!("{path}.digest"),
            "this is no SHA-256 digest",
            "write the 64 hexadecimal digits that chivevalve digest prints",
        );
        // Distinct for each token, so that it isn't reported as given twice.
        std::array::from_fn(|at| {
            if at == 0 {
                path.len().to_le_bytes()[0]
            } else {
                0
            }
        })
    });
    Token {
        name: site.name(&format!("{path}.name"), &read.name),
        digest,
        role,
    }
}

fn tls(read: Option<file::Tls>, site: &mut Site<'_>) -> Tls {
    let right = "write certificate, key and authority, or plaintext: true";
    let Some(read) = read else {
        site.add("tls", "it is missing", right);
        return Tls::Plaintext;
    };
    let paths = [&read.certificate, &read.key, &read.authority];
    let given = paths.iter().filter(|path| !path.is_empty()).count();
    match (read.plaintext, given) {
        (true, 0) => Tls::Plaintext,
        (false, 3) => Tls::Mutual {
            certificate: PathBuf::from(read.certificate),
            key: PathBuf::from(read.key),
            authority: PathBuf::from(read.authority),
        },
        (true, _) => {
            site.add("tls.plaintext", "files are given as well", right);
            Tls::Plaintext
        }
        (false, _) => {
            site.add("tls", "certificate, key or authority is missing", right);
            Tls::Plaintext
        }
    }
}
