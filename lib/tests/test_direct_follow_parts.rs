//! Changes that are read in parts, as a large configuration is among them.

mod direct_support;

use std::collections::BTreeSet;
use std::sync::Arc;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::fanout::Hub;
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::SharedLimits;
use chivevalve::direct::view::View;
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::listen::InProcessSource;
use direct_support::memory::MemoryStore;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// The time within which the default limits require a change to take effect.
const CONFIG_APPLY_TIME: Millis = Millis(2_000);

/// How long a configuration is on its way.
const TRANSFER_TIME: Millis = Millis(300);

/// How long other changes are on their way.
const LATENCY: Millis = Millis(60);

/// Bytes of a configuration that is too large for a response with all changes.
const LARGE: usize = 400_000;

/// A node that consists of a follower and its hub.
struct Node {
    view: Arc<View>,
    hub: Arc<Hub>,
}

impl Node {
    /// Starts a node that subscribes to another one, or to none.
    fn start(memory: &Arc<MemoryStore>, publisher: Option<&Self>) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let view = Arc::new(View::default());
        let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::default()));
        let publisher = publisher.map(|node| Arc::clone(&node.hub));
        let source = InProcessSource::new(publisher, Arc::clone(&clock), Millis::ZERO);
        let follower = Follower::new(
            Arc::<MemoryStore>::clone(memory),
            Arc::<MemoryStore>::clone(memory),
            Arc::new(PlatformDialect),
            clock,
            Arc::clone(&view),
            Arc::new(SharedLimits::default()),
        );
        tokio::spawn(
            follower
                .with_fanout(Arc::clone(&hub), Box::new(source))
                .run(),
        );
        Self { view, hub }
    }

    fn version(&self) -> u64 {
        self.view.config().map_or(0, |config| config.version)
    }

    fn upstreams(&self) -> BTreeSet<String> {
        let state = self.view.state();
        state.upstreams.keys().map(ToString::to_string).collect()
    }
}

async fn sleep(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

fn configure(memory: &MemoryStore, version: u64, bytes: usize) {
    let padding = "x".repeat(bytes);
    let config =
        format!(r#"{{"version":{version},"routes":[],"services":[],"padding":"{padding}"}}"#);
    memory.change(|state| state.put("op/config", config, None));
}

fn listed(memory: &MemoryStore) -> BTreeSet<String> {
    let state = memory.state();
    let keys = state.entries.keys();
    keys.filter_map(|key| key.strip_prefix("servers/"))
        .map(str::to_owned)
        .collect()
}

/// Writes random changes: servers that come and leave, and configurations of any size.
fn change_at_random(memory: &MemoryStore, rng: &mut Pcg64, version: &mut u64) {
    let key = format!("servers/i-{}", rng.random_range(0..4));
    match rng.random_range(0..6) {
        0 | 1 => memory.change(|state| {
            let born = state.revision + 1;
            let entry = SERVER.replacen('{', &format!("{{\"born\":{born},"), 1);
            state.put(&key, entry, None);
        }),
        2 => memory.change(|state| state.remove(&key)),
        3 => {
            // Changes that nobody reads, but that make a response large.
            let value = vec![b'x'; rng.random_range(0..LARGE)];
            memory.change(|state| state.put("chivevalve/any/1", value, None));
        }
        _ => {
            *version += 1;
            configure(memory, *version, rng.random_range(0..2) * LARGE);
        }
    }
}

/// Guards against changes that are lost, or come back, where they are read in parts.
#[tokio::test(start_paused = true)]
async fn follow_any_changes_in_parts() {
    for seed in 0..60 {
        let memory = Arc::new(MemoryStore::default());
        memory.change(|state| {
            state.transfer_time = TRANSFER_TIME;
            state.changes_latency = LATENCY;
        });
        configure(&memory, 1, 0);
        let leader = Node::start(&memory, None);
        let node = Node::start(&memory, Some(&leader));
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut version = 1;
        for _ in 0..12 {
            for _ in 0..rng.random_range(1..12) {
                let before = [leader.version(), node.version()];
                change_at_random(&memory, &mut rng, &mut version);
                sleep(Millis(rng.random_range(0..400))).await;
                let after = [leader.version(), node.version()];
                assert!(before[0] <= after[0] && before[1] <= after[1], "{seed}");
            }
            sleep(CONFIG_APPLY_TIME).await;
            for one in [&leader, &node] {
                assert_eq!(one.version(), version, "{seed}");
                assert_eq!(one.upstreams(), listed(&memory), "{seed}");
            }
        }
    }
}

/// Guards against reading the same large configuration again for each part of many other changes.
#[tokio::test(start_paused = true)]
async fn follow_many_changes_read_a_configuration_once() {
    let memory = Arc::new(MemoryStore::default());
    configure(&memory, 1, 0);
    let node = Node::start(&memory, None);
    sleep(CONFIG_APPLY_TIME).await;
    let before = memory.state().reads;
    configure(&memory, 2, LARGE);
    memory.change(|state| {
        state.max_changes = Some(10);
        for number in 0..35 {
            state.put(&format!("chivevalve/any/{number}"), "", None);
        }
    });
    sleep(CONFIG_APPLY_TIME).await;
    assert_eq!(node.version(), 2);
    assert_eq!(memory.state().reads - before, 1);
}
