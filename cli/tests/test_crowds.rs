//! Crowds of callers that don't behave, at the product's own interface of a daemon.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use chivevalve::secret;
use chivevalve_standins::fleet::{self, TOKEN};
use chivevalve_standins::platform::{Plan, Platform};
use chivevalve_standins::process::{Scratch, unread_bytes};
use common::Session;
use common::daemons::{PATIENCE, Process, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

const KEY: &str = "key-of-the-bakery-0123456789";

/// Memory in bytes of the VM.
const MEMORY: u64 = 160_000_000;

/// Most descriptors of the daemon.
const DESCRIPTORS: usize = 1_000;

/// Largest legal body in bytes.
const BODY: usize = 1 << 20;

/// Tries that an ordinary caller makes.
const TRIES: u32 = 10;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

const DECLARATIONS: &str = "
pools:
- {name: connector, kind: service, batch: 8}
templates:
- {account: bakery, name: push, pool: connector, class: normal}
accounts:
";

/// Only one crowd at a time is let at a daemon.
static ALONE: Mutex<()> = Mutex::const_new(());

struct Site {
    node: Process,
    _session: Session,
    _platform: Platform,
    _scratch: Scratch,
}

impl Site {
    async fn start(name: &str) -> Self {
        let plan = Plan {
            pools: vec!["connector=service:2".parse().unwrap()],
            ..Plan::default()
        };
        let platform = Platform::start(&plan).await.unwrap();
        let scratch = Scratch::new().unwrap();
        let node = Process::start(scratch.path(), "entry-1", &platform.addresses()).await;
        let mut session = Session::new(name).at(&[node.node.operators], TOKEN);
        let digest = secret::digest_to_hex(&secret::digest(KEY.as_bytes()));
        session.write(
            "declarations/all.yaml",
            &format!("{DECLARATIONS}- {{name: bakery, key_digests: [{digest}]}}\n"),
        );
        let apply = "apply declarations --reason 'first templates'";
        assert_eq!(session.run(apply).await, 0);
        let nodes = [node.node.clone()];
        fleet::settle(&nodes, 2, PATIENCE).await.unwrap();
        Self {
            node,
            _session: session,
            _platform: platform,
            _scratch: scratch,
        }
    }

    fn callers(&self) -> SocketAddr {
        self.node.node.callers
    }

    fn assert_within_limits(&self) {
        let memory = self.node.peak_memory();
        let descriptors = self.node.descriptors();
        println!("{memory} bytes at most, {descriptors} descriptors now");
        assert!(memory <= MEMORY, "{memory} bytes");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    }

    /// Has callers send as much of a large body, and returns their connections once it is read.
    async fn send_unfinished(&self, number: usize, sent: usize) -> Vec<Option<TcpStream>> {
        let callers = self.callers();
        let mut crowd = JoinSet::new();
        for _ in 0..number {
            crowd.spawn(async move {
                let mut stream = TcpStream::connect(callers).await.ok()?;
                stream.write_all(head(BODY).as_bytes()).await.ok()?;
                stream.write_all(&vec![b'x'; sent]).await.ok()?;
                Some(stream)
            });
        }
        let streams = tokio::time::timeout(PATIENCE, crowd.join_all()).await;
        let port = callers.port();
        until("the crowd is read", async || {
            unread_bytes(port).unwrap() == 0
        })
        .await;
        streams.expect("the sends end")
    }

    /// Asserts that an ordinary caller is served.
    async fn assert_serving(&self) {
        let mut last = None;
        for _ in 0..TRIES {
            last = status(self.callers(), 100).await;
            if last == Some(200) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("{last:?}\n{}", self.node.log());
    }
}

fn head(length: usize) -> String {
    format!(
        "POST /services/push/orders HTTP/1.1\r\nhost: host.example\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends a whole request with a body of a length and returns the status of the response.
async fn status(callers: SocketAddr, length: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).await.ok()?;
    let mut text = head(length).into_bytes();
    text.resize(text.len() + length, b'x');
    // The daemon may refuse it before everything was sent.
    let _ = stream.write_all(&text).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let line = std::str::from_utf8(answer.get(..12)?).ok()?;
    line.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

/// Bodies that stop just short of their end shut everybody else out until they time out.
#[tokio::test]
async fn own_crowd_unfinished_bodies() {
    let _alone = ALONE.lock().await;
    let site = Site::start("own crowd unfinished bodies").await;
    site.assert_serving().await;
    let mut streams = Vec::new();
    // Smaller bodies take what the larger ones leave.
    for (number, sent) in [(80, BODY - 1), (200, 60 << 10), (100, 4_000)] {
        streams.push(site.send_unfinished(number, sent).await);
    }
    site.assert_serving().await;
    site.assert_within_limits();
    drop(streams);
    site.assert_serving().await;
    site.assert_within_limits();
}

/// A body of the full size, alone, is served.
#[tokio::test]
async fn own_body_of_the_full_size_in_calm() {
    let _alone = ALONE.lock().await;
    let site = Site::start("own body of the full size").await;
    let served = tokio::time::timeout(PATIENCE, status(site.callers(), BODY)).await;
    assert_eq!(served, Ok(Some(200)));
    site.assert_within_limits();
}
