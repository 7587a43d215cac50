//! What the operators' sessions share: nodes' interfaces over one key-value
//! service, and a record of commands with their answers.

#![allow(
    dead_code,
    unused_macros,
    unused_imports,
    reason = "each test file uses its part"
)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::clock::{Millis, Monotonic};
use chivevalve::config::{self, ConfigManager, prefetch};
use chivevalve::gossip::{Peer, PeerSource};
use chivevalve::membership::Fleet;
use chivevalve::membership::fleet::{Owner, State, Upstream};
use chivevalve::metrics::Metrics;
use chivevalve::operators::{self, Limits, Parts, Refusal, port, wire};
use chivevalve::policy::placement;
use chivevalve::ports::Vm;
use chivevalve::secret;
use chivevalve::settings::{Access, Node, Role, Token};
use chivevalve_standins::store::Store;
use chivevalve_standins::weights::Weights;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub mod daemons;

/// The token that may change things.
pub const WRITE: &str = "pipeline-token-0123456789";
/// The token that may look.
pub const READ: &str = "looker-token-0123456789";

/// A node's operators' interface with its configuration.
pub struct Site {
    pub address: SocketAddr,
    pub manager: Arc<ConfigManager>,
    fleet: watch::Sender<Arc<Fleet>>,
    stop: CancellationToken,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[derive(Debug)]
struct Alone;

impl PeerSource for Alone {
    fn peers(&self) -> Vec<Peer> {
        Vec::new()
    }
}

/// A node without peers that remembers being drained.
#[derive(Debug, Default)]
struct Only(AtomicBool);

#[async_trait]
impl port::Membership for Only {
    fn nodes(&self) -> Vec<wire::Peer> {
        Vec::new()
    }

    fn draining(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn drain_node(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    async fn drain_upstream(&self, _: &str) -> Result<(), Refusal> {
        Ok(())
    }
}

impl port::Ownership for Alone {
    fn owned(&self) -> Vec<wire::Owned> {
        vec![wire::Owned {
            upstream: "engine-1".to_owned(),
            held: true,
            running: 3,
            batch: 16,
            waiting: [1, 0, 12],
            resident: vec![
                slot("bakery-sales@7", 2),
                slot("garage-catalogue@1", 0),
                slot("mill-faults@4", 1),
            ],
            loading: vec!["mill-plans@2".to_owned()],
            report_age_ms: Some(80),
            ..wire::Owned::default()
        }]
    }
}

fn slot(adapter: &str, pins: u32) -> wire::Slot {
    wire::Slot {
        adapter: adapter.to_owned(),
        pins,
    }
}

/// Starts a node's interface over the key-value service.
pub async fn start(name: &str, store: &Arc<Store>, weights: &Arc<Weights>) -> Site {
    let stop = CancellationToken::new();
    let metrics = Arc::new(Metrics::new());
    let manager = ConfigManager::start(config::Dependencies {
        node: name.into(),
        region: "north".into(),
        store: Arc::clone(store) as _,
        watch: Arc::clone(store) as _,
        weights: Arc::clone(weights) as _,
        peers: Arc::new(Alone),
        prefetch: Arc::new(prefetch::NoPrefetch),
        prefix: "/test/".to_owned(),
        clock: Arc::new(Monotonic::start()),
        metrics: Arc::clone(&metrics),
        limits: config::Limits {
            prefetch_grace: Millis::ZERO,
            ..config::Limits::default()
        },
        seed: 7,
        stop: stop.clone(),
    });
    let (fleet, receiver) = watch::channel(Arc::new(fleet(name)));
    let parts = Parts {
        node: Node {
            name: name.into(),
            region: "north".into(),
            failure_domain: "north-a".into(),
        },
        access: Access {
            tokens: vec![
                token("pipeline", WRITE, Role::Write),
                token("looker", READ, Role::Read),
            ],
        },
        view: manager.view(),
        fleet: receiver,
        configuration: Arc::clone(&manager) as _,
        membership: Arc::new(Only::default()),
        ownership: Arc::new(Alone),
        placement: placement::Limits::default(),
        metrics,
        limits: Limits::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(operators::serve(listener, parts, stop.clone()));
    Site {
        address,
        manager,
        fleet,
        stop,
    }
}

fn token(name: &str, key: &str, role: Role) -> Token {
    Token {
        name: name.into(),
        digest: secret::digest(key.as_bytes()),
        role,
    }
}

fn fleet(node: &str) -> Fleet {
    let upstream = |name: &str, pool: &str, state| Upstream {
        vm: Vm {
            name: name.into(),
            address: "10.0.0.1:8000".parse().unwrap(),
            pool: pool.into(),
            region: "north".into(),
            failure_domain: "north-a".into(),
            leaving: state == State::Leaving,
        },
        state,
    };
    let owner = Arc::new(Owner {
        node: node.into(),
        incarnation: 1,
        token: 12,
        peer: "10.0.0.2:8081".parse().unwrap(),
    });
    let upstreams = vec![
        upstream("engine-1", "engines", State::Usable),
        upstream("engine-2", "engines", State::Leaving),
        upstream("till-1", "tills", State::Usable),
    ];
    Fleet::new(upstreams, HashMap::from([("engine-1".into(), owner)]))
}

/// Starts what takes every call and breaks off without an answer.
pub async fn silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).await;
        }
    });
    address
}

/// Waits until a node has a revision in force.
pub async fn in_force(site: &Site, revision: u64) {
    let mut view = site.manager.view();
    let reached = view.wait_for(|view| view.revision() >= revision);
    tokio::time::timeout(Duration::from_secs(20), reached)
        .await
        .expect("the revision comes in force")
        .unwrap();
}

/// An operator's terminal: commands, and what they answered.
pub struct Session {
    dir: PathBuf,
    env: Vec<(&'static str, String)>,
    record: String,
    last: String,
}

impl Session {
    /// Opens a terminal in a new directory.
    pub fn new(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        Self {
            dir,
            env: Vec::new(),
            record: String::new(),
            last: String::new(),
        }
    }

    /// Names nodes and a token in the environment.
    pub fn at(mut self, nodes: &[SocketAddr], token: &str) -> Self {
        let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
        self.env = vec![
            ("CHIVEVALVE_NODE", nodes.join(",")),
            ("CHIVEVALVE_TOKEN", token.to_owned()),
        ];
        self
    }

    /// Writes a file of the operator's.
    pub fn write(&self, name: &str, text: &str) {
        let path = self.dir.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    /// Notes what happens meanwhile.
    pub fn note(&mut self, text: &str) {
        writeln!(self.record, "# {text}\n").unwrap();
    }

    /// Runs the tool; quoted words may hold spaces.
    pub async fn run(&mut self, line: &str) -> i32 {
        let words = words(line);
        let mut command = Command::new(env!("CARGO_BIN_EXE_chivevalve"));
        command
            .args(&words)
            .current_dir(&self.dir)
            .env_remove("CHIVEVALVE_NODE")
            .env_remove("CHIVEVALVE_TOKEN")
            .envs(self.env.iter().cloned())
            .stdin(Stdio::null());
        let output = tokio::task::spawn_blocking(move || command.output())
            .await
            .unwrap()
            .unwrap();
        let code = output.status.code().unwrap();
        let stdout = String::from_utf8(output.stdout).unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        writeln!(self.record, "$ chivevalve {line}").unwrap();
        for text in stderr.lines() {
            writeln!(self.record, "stderr: {text}").unwrap();
        }
        writeln!(self.record, "{stdout}[exit {code}]\n").unwrap();
        self.last.clone_from(&stdout);
        // Shown when the test fails.
        println!("$ {line}\n{stderr}{stdout}[exit {code}]");
        code
    }

    /// Returns what the last command wrote to standard output.
    pub fn answer(&self) -> String {
        self.last.clone()
    }

    /// Ends the session and returns its record, without what differs from run to run.
    pub fn done(self) -> String {
        self.record
    }
}

fn words(line: &str) -> Vec<String> {
    line.split('\'')
        .enumerate()
        .flat_map(|(number, part)| match number % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        })
        .collect()
}

/// Compares a session with its golden file, apart from what differs from run to run.
macro_rules! golden {
    ($name:literal, $record:expr) => {
        insta::with_settings!({
            omit_expression => true,
            filters => vec![
                // Columns are as wide as what is left out here.
                (r"(ADDRESS|127\.0\.0\.1:\d+) +(DOMAIN|north-a|\?)", "[address]  $2"),
                (r"127\.0\.0\.1:\d+", "[address]"),
                (r"(CONFIRMED|\d+ (?:ms|s|min) ago) +(OWNS|\d)", "[confirmed]  $2"),
                (r"\d{4}-\d\d-\d\dT[0-9:.]+Z", "[time]"),
                (r#""time_ms": \d+"#, r#""time_ms": [time]"#),
                (r"\b[0-9a-f]{32}\b", "[change id]"),
                (r"confirmed \d+ (?:ms|s|min) ago", "confirmed [age] ago"),
                (r#""confirmed_age_ms": \d+"#, r#""confirmed_age_ms": [age]"#),
                (r"version \d+\.\d+\.\d+", "version [version]"),
                (r"chivevalve \d+\.\d+\.\d+", "chivevalve [version]"),
            ],
        }, {
            insta::assert_snapshot!($name, $record);
        });
    };
}
pub(crate) use golden;
