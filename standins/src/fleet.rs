//! Nodes on loopback in front of the stand-ins: settings, readiness, declarations.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use chivevalve::declaration::{DeclarationSet, Mistake, SourceFile, load};
use http::Method;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::caller::operate;
use crate::platform::Addresses;

/// The operators' token of all nodes that are started here.
pub const TOKEN: &str = "demo-token";
/// SHA-256 digest of [`TOKEN`].
const TOKEN_DIGEST: &str = "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c";
/// Failure domains that nodes are spread over.
const FAILURE_DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
/// Time between two looks at a node that isn't ready yet.
const LOOK: Duration = Duration::from_millis(50);
/// How long a look may take.
const LOOK_TIMEOUT: Duration = Duration::from_secs(2);

/// A node's name and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Unique in the deployment.
    pub name: String,
    /// The failure domain that its settings name.
    pub failure_domain: &'static str,
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Plans nodes `n1`, `n2` and so on, on ports that are free now.
///
/// # Errors
///
/// When no ports can be had.
pub async fn plan(count: usize) -> std::io::Result<Vec<Node>> {
    // All are held until the last is taken, so that none is handed out twice.
    let mut held = Vec::new();
    for _ in 0..count * 3 {
        held.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    }
    let mut addresses = Vec::new();
    for listener in &held {
        addresses.push(listener.local_addr()?);
    }
    let nodes = addresses
        .chunks_exact(3)
        .zip(0..)
        .map(|(ports, index)| node(index, ports[0], ports[1], ports[2]));
    Ok(nodes.collect())
}

/// Plans nodes whose ports follow one another: callers, peers, operators, ten apart for each node.
#[must_use]
pub fn plan_at(count: usize, port: u16) -> Vec<Node> {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    (0..count)
        .zip((port..).step_by(10))
        .map(|(index, port)| node(index, address(port), address(port + 1), address(port + 2)))
        .collect()
}

fn node(index: usize, callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) -> Node {
    Node {
        name: format!("n{}", index + 1),
        failure_domain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()],
        callers,
        peers,
        operators,
    }
}

/// Writes a node's settings; `more` is appended, such as a `limits:` section.
#[must_use]
pub fn settings(node: &Node, platform: &Addresses, more: &str) -> String {
    settings_with_seeds(node, platform, &[], more)
}

/// Writes a node's settings with peers to ask when the key-value service is away at the start.
#[must_use]
pub fn settings_with_seeds(
    node: &Node,
    platform: &Addresses,
    seeds: &[SocketAddr],
    more: &str,
) -> String {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    format!(
        "node:\n  name: {}\n  region: r1\n  failure_domain: {}\n\
         listen:\n  callers: {}\n  peers: {}\n  operators: {}\n\
         platform:\n  store: [\"{}\"]\n  directory: {}\n  weights: {}\n  seeds: [{seeds}]\n\
         access:\n  tokens:\n  - name: demo\n    digest: {TOKEN_DIGEST}\n    role: write\n\
         tls:\n  plaintext: true\n{more}",
        node.name,
        node.failure_domain,
        node.callers,
        node.peers,
        node.operators,
        platform.store,
        platform.directory,
        platform.weights,
    )
}

/// Reads a directory of declarations, as files for the operators' interface and as their meaning.
///
/// # Errors
///
/// All mistakes, one a line.
pub fn declarations(directory: &Path) -> Result<(Vec<SourceFile>, DeclarationSet), String> {
    let sources = load::load_dir(directory).map_err(|mistakes| lines(&mistakes))?;
    let set = load::check_sources(&sources).map_err(|mistakes| lines(&mistakes))?;
    Ok((sources, set))
}

fn lines(mistakes: &[Mistake]) -> String {
    let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Puts declarations in force as the operators' tool does, whatever was in force before.
///
/// # Errors
///
/// When the node refuses.
pub async fn apply(node: &Node, sources: &[SourceFile], reason: &str) -> Result<u64, String> {
    let files: Vec<_> = sources
        .iter()
        .map(|source| json!({"name": &*source.name, "text": source.text}))
        .collect();
    let plan = json!({ "files": files });
    let planned = operate(node.operators, TOKEN, Method::POST, "/v1/plan", &plan).await?;
    let order = json!({
        "change_id": format!("{:016x}", rand::random::<u64>()),
        "reason": reason,
        "expected_revision": planned["revision"],
        "files": files,
    });
    let accepted = operate(node.operators, TOKEN, Method::POST, "/v1/apply", &order).await?;
    accepted["revision"]
        .as_u64()
        .ok_or_else(|| format!("no revision in {accepted}"))
}

/// Reads a node's status.
///
/// # Errors
///
/// When it doesn't answer.
pub async fn status(node: &Node) -> Result<Value, String> {
    let path = "/v1/status";
    let read = operate(node.operators, TOKEN, Method::GET, path, &Value::Null);
    tokio::time::timeout(LOOK_TIMEOUT, read)
        .await
        .map_err(|_| "no answer".to_owned())?
}

/// Whether a node says that it is ready.
pub async fn is_ready(node: &Node) -> bool {
    let look = operate(node.operators, TOKEN, Method::GET, "/readyz", &Value::Null);
    matches!(tokio::time::timeout(LOOK_TIMEOUT, look).await, Ok(Ok(_)))
}

/// Whether a node sees an owner for each of `upstreams` upstreams.
pub async fn is_owned(node: &Node, upstreams: usize) -> bool {
    let Ok(status) = status(node).await else {
        return false;
    };
    let Some(seen) = status["upstreams"].as_array() else {
        return false;
    };
    let owned = |upstream: &&Value| !upstream["owner"].is_null();
    seen.iter().filter(owned).count() >= upstreams
}

/// Waits until every node is ready and sees an owner for each upstream.
///
/// # Errors
///
/// Names the node that isn't within `limit`.
pub async fn settle(nodes: &[Node], upstreams: usize, limit: Duration) -> Result<(), String> {
    let end = Instant::now() + limit;
    for node in nodes {
        while !(is_ready(node).await && is_owned(node, upstreams).await) {
            if Instant::now() > end {
                return Err(format!("{} isn't ready within {limit:?}", node.name));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Waits until a node answers its operators at all.
///
/// # Errors
///
/// When it doesn't within `limit`.
pub async fn wait_alive(node: &Node, limit: Duration) -> Result<(), String> {
    let end = Instant::now() + limit;
    while status(node).await.is_err() {
        if Instant::now() > end {
            return Err(format!("{} doesn't answer within {limit:?}", node.name));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::path::PathBuf;

    use chivevalve::settings;

    use super::*;

    #[test]
    fn declarations_of_demo() {
        let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("demo/declarations");
        let (_, set) = declarations(&directory).unwrap();
        assert_eq!((set.accounts.len(), set.templates.len()), (2, 28));
    }

    #[test]
    fn settings_are_read() {
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let platform = Addresses {
            store: address(1),
            directory: address(2),
            weights: address(3),
            upstreams: std::collections::BTreeMap::new(),
        };
        let node = &plan_at(2, 8000)[1];
        let text = super::settings(node, &platform, "limits:\n  queue: 9\n");
        let read = settings::parse(&text, "test").unwrap();
        assert_eq!((read.limits.queue, read.listen.callers.port()), (9, 8010));
    }
}
