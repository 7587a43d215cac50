//! A node's view of the deployment through outages and compactions of the key-value service.

mod direct_support;

use std::sync::Arc;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::fanout::{Hub, Received, Source, Update};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::SharedLimits;
use chivevalve::direct::view::View;
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::memory::{MemoryStore, State};

struct TestNode {
    memory: Arc<MemoryStore>,
    view: Arc<View>,
}

fn start() -> TestNode {
    start_with(Arc::new(Monotonic::start()), |follower, _| follower)
}

fn start_with(
    clock: Arc<dyn Clock>,
    extend: impl FnOnce(Follower, &Arc<MemoryStore>) -> Follower,
) -> TestNode {
    let memory = Arc::new(MemoryStore::default());
    let view = Arc::new(View::default());
    let follower = Follower::new(
        Arc::<MemoryStore>::clone(&memory),
        Arc::<MemoryStore>::clone(&memory),
        Arc::new(PlatformDialect),
        clock,
        Arc::clone(&view),
        Arc::new(SharedLimits::default()),
    );
    tokio::spawn(extend(follower, &memory).run());
    TestNode { memory, view }
}

impl TestNode {
    fn list(&self, incarnation: &str) {
        let entry = SERVER;
        let key = format!("servers/{incarnation}");
        self.memory.change(|state| state.put(&key, entry, None));
    }

    fn configure(&self, version: u64) {
        let config = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
        self.memory
            .change(|state| state.put("op/config", config, None));
    }

    fn knows(&self, incarnation: &str) -> bool {
        self.view.state().upstreams.contains_key(incarnation)
    }

    fn takes_work(&self, incarnation: &str) -> bool {
        let state = self.view.state();
        let upstream = state.upstreams.get(incarnation);
        upstream.is_some_and(|upstream| upstream.is_ready())
    }

    fn version(&self) -> u64 {
        self.view.config().map_or(0, |config| config.version)
    }
}

async fn sleep(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

#[tokio::test(start_paused = true)]
async fn config_never_goes_back() {
    let node = start();
    node.configure(5);
    sleep(Millis(1_500)).await;
    assert_eq!(node.version(), 5);
    node.configure(4);
    sleep(Millis(1_500)).await;
    assert_eq!(node.version(), 5);
    node.configure(9);
    sleep(Millis(1_500)).await;
    assert_eq!(node.version(), 9);
}

/// Guards against long polls in an outage: one that is still waiting when the service returns
/// delays the next configuration.
#[tokio::test(start_paused = true)]
async fn config_in_force_soon_after_an_outage() {
    let node = start();
    node.configure(1);
    sleep(Millis(3_000)).await;
    node.memory.change(|state| state.is_unavailable = true);
    sleep(Millis(6_000)).await;
    let waits = node.memory.state().poll_waits.clone();
    assert!(*waits.last().unwrap() < Millis(100), "{waits:?}");
    node.memory.change(|state| state.is_unavailable = false);
    node.configure(2);
    sleep(Millis(1_300)).await;
    assert_eq!(node.version(), 2);
}

/// Guards against a node that waits for its first, unanswered read after the service has returned.
#[tokio::test(start_paused = true)]
async fn config_known_soon_after_a_silent_start() {
    let node = start();
    node.memory.change(|state| state.reads_hang = true);
    node.configure(1);
    sleep(Millis(600)).await;
    assert_eq!(node.version(), 0);
    node.memory.change(|state| state.reads_hang = false);
    sleep(Millis(450)).await;
    assert_eq!(node.version(), 1);
}

#[tokio::test(start_paused = true)]
async fn upstream_removed_is_gone() {
    let node = start();
    node.list("i-1");
    sleep(Millis(2_000)).await;
    assert!(node.knows("i-1"));
    node.memory.change(|state| state.remove("servers/i-1"));
    sleep(Millis(1_500)).await;
    assert!(!node.knows("i-1"));
}

/// Guards against removing live upstreams whose entries expired in an outage of the service.
#[tokio::test(start_paused = true)]
async fn upstream_expired_in_an_outage_is_kept() {
    let node = start();
    node.list("i-1");
    node.list("i-2");
    sleep(Millis(2_000)).await;
    node.memory.change(|state| state.is_unavailable = true);
    sleep(Millis(6_000)).await;
    node.memory.change(|state| {
        state.is_unavailable = false;
        state.remove("servers/i-1");
        state.remove("servers/i-2");
    });
    sleep(Millis(1_000)).await;
    assert!(node.knows("i-1"));
    node.list("i-1");
    sleep(Millis(4_500)).await;
    assert!(node.knows("i-1"));
    assert!(!node.knows("i-2"));
}

/// Guards against keeping an upstream that left before a compaction, whose removal is in no change.
#[tokio::test(start_paused = true)]
async fn upstream_missing_after_compaction_is_gone() {
    let node = start();
    node.list("i-1");
    node.list("i-2");
    sleep(Millis(2_000)).await;
    node.memory.change(|state| {
        state.remove("servers/i-1");
        state.drop_history();
    });
    sleep(Millis(5_000)).await;
    assert!(!node.knows("i-1"));
    assert!(node.knows("i-2"));
}

/// Guards against confusing a restarted engine with its previous start, also by a late entry.
#[tokio::test(start_paused = true)]
async fn upstream_restarted_is_another() {
    let node = start();
    let put = |born: u64| {
        let entry = SERVER.replacen('{', &format!("{{\"born\":{born},"), 1);
        let change = |state: &mut State| state.put("servers/i-1", entry, None);
        node.memory.change(change);
    };
    let known = || node.view.state().upstreams["i-1"].clone();
    put(1_000);
    sleep(Millis(2_000)).await;
    let first = known();
    put(2_000);
    sleep(Millis(2_000)).await;
    let second = known();
    assert!(!first.is_ready());
    assert!(second.is_ready());
    assert_eq!((first.started_at_ms, second.started_at_ms), (1_000, 2_000));
    put(1_000);
    sleep(Millis(2_000)).await;
    assert_eq!(known().started_at_ms, 2_000);
}

/// Guards against invalid entries of other writers that affect valid ones or add upstreams.
#[tokio::test(start_paused = true)]
async fn upstream_entries_of_other_writers() {
    let node = start();
    node.list("i-1");
    sleep(Millis(2_000)).await;
    let invalid_entries = [
        "no JSON".to_owned(),
        "{}".to_owned(),
        SERVER.replace("ready", "resting"),
        SERVER.replacen('{', "{\"born\":\"yesterday\",", 1),
        SERVER.replacen('{', "{\"born\":17.5,", 1),
    ];
    for (number, entry) in invalid_entries.into_iter().enumerate() {
        let other = format!("servers/other-{number}");
        node.memory.change(|state| {
            state.put(&other, entry.clone(), None);
            state.put("servers/i-1", entry, None);
        });
    }
    node.list("i-2");
    sleep(Millis(2_000)).await;
    assert!(node.knows("i-1") && node.knows("i-2"));
    let state = node.view.state();
    assert_eq!(state.upstreams.len(), 2);
    assert!(state.upstreams["i-1"].is_ready());
}

/// Guards against counting a version from when it was seen, which is after its declaration if it
/// was declared between two polls.
#[tokio::test(start_paused = true)]
async fn version_counts_from_before_its_declaration() {
    let node = start();
    let clock = Monotonic::start();
    for version in 1..9 {
        sleep(Millis(730)).await;
        let declared_at = clock.now();
        let entry = format!(r#"{{"model":"base","adapter":"a1","version":{version}}}"#);
        node.memory
            .change(|state| state.put("op/version/base.a1", entry, None));
        sleep(Millis(2_000)).await;
        let newest = node.view.newest("base/a1").unwrap();
        assert_eq!(newest.version, version);
        assert!(
            newest.since.unwrap() <= declared_at,
            "{newest:?}, declared at {declared_at}"
        );
    }
}

/// Guards against a pause after each part of many changes, which delays a configuration at the end.
#[tokio::test(start_paused = true)]
async fn config_in_force_soon_behind_many_changes() {
    let node = start();
    node.configure(1);
    sleep(Millis(2_000)).await;
    node.memory.change(|state| {
        state.max_changes = Some(10);
        for number in 0..200 {
            state.put(&format!("chivevalve/any/{number}"), "", None);
        }
    });
    node.configure(2);
    sleep(Millis(1_000)).await;
    assert_eq!(node.version(), 2);
}

/// Guards against changes that are never read, since a client reads no response that is as large.
#[tokio::test(start_paused = true)]
async fn config_in_force_behind_changes_larger_than_any_response() {
    let node = start();
    node.configure(1);
    sleep(Millis(2_000)).await;
    node.memory.change(|state| {
        state.max_response_bytes = Some(8 << 20);
        for number in 0..9 {
            let value = vec![b'x'; 1 << 20];
            state.put(&format!("chivevalve/any/{number}"), value, None);
        }
    });
    node.configure(2);
    sleep(Millis(2_000)).await;
    assert_eq!(node.version(), 2);
}

/// Guards against treating a partial response as complete, which makes the view look too recent.
#[tokio::test(start_paused = true)]
async fn version_in_a_partial_response_counts_from_before_its_declaration() {
    let node = start();
    let clock = Monotonic::start();
    sleep(Millis(1_000)).await;
    // The follower pauses after this change.
    node.configure(1);
    sleep(Millis(100)).await;
    let declared_at = clock.now();
    let entry = r#"{"model":"base","adapter":"a1","version":2}"#;
    node.memory.change(|state| {
        state.max_changes = Some(10);
        for number in 0..95 {
            state.put(&format!("chivevalve/any/{number}"), "", None);
        }
        state.put("op/version/base.a1", entry, None);
    });
    sleep(Millis(2_000)).await;
    let newest = node.view.newest("base/a1").unwrap();
    assert_eq!(newest.version, 2);
    assert!(
        newest.since.unwrap() <= declared_at,
        "{newest:?}, declared at {declared_at}"
    );
}

/// Guards against an advancing `as_of` in an outage, which presents an old list as current.
#[tokio::test(start_paused = true)]
async fn view_as_of_does_not_advance_in_an_outage() {
    let node = start();
    node.configure(1);
    sleep(Millis(3_000)).await;
    let before = node.view.as_of();
    assert!(before > Millis::ZERO);
    node.memory.change(|state| state.is_unavailable = true);
    sleep(Millis(3_000)).await;
    let lost = node.view.as_of();
    sleep(Millis(20_000)).await;
    assert_eq!(node.view.as_of(), lost);
    node.memory.change(|state| state.is_unavailable = false);
    sleep(Millis(4_000)).await;
    assert!(node.view.as_of() > lost + Millis(20_000));
}

/// Guards against a node that starts soon after its VM and takes a version for a new declaration.
#[tokio::test(start_paused = true)]
async fn version_read_at_startup_gets_no_extra_time() {
    let node = start();
    let clock = Monotonic::start();
    let entry = r#"{"model":"base","adapter":"a1","version":2}"#;
    node.memory
        .change(|state| state.put("op/version/base.a1", entry, None));
    sleep(Millis(1_000)).await;
    let limit = SharedLimits::default().get().version_rollout;
    let begin_deadline = node.view.begin_deadline("base/a1", 1, limit).unwrap();
    assert!(begin_deadline <= clock.now(), "{begin_deadline}");
}

/// Time after a reconnection within which a node has to know all changes.
const RECONNECT_TIME: Millis = Millis(3_000);

/// Returns a node at the end of a disconnection during which upstream `i-1` left.
async fn disconnected_while_one_leaves(span: Millis, is_history_dropped: bool) -> TestNode {
    let node = start();
    for incarnation in ["i-1", "i-2", "i-3"] {
        node.list(incarnation);
    }
    sleep(Millis(2_000)).await;
    node.memory.change(|state| state.is_unavailable = true);
    sleep(span).await;
    node.memory.change(|state| {
        state.remove("servers/i-1");
        if is_history_dropped {
            state.drop_history();
        }
        state.is_unavailable = false;
    });
    node
}

/// Guards against requests to an upstream that left while this node was disconnected.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_disconnected_is_gone_in_time() {
    for (span, is_history_dropped) in outage_cases() {
        let node = disconnected_while_one_leaves(span, is_history_dropped).await;
        sleep(RECONNECT_TIME).await;
        assert!(!node.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(node.takes_work("i-2") && node.takes_work("i-3"));
    }
}

/// Guards against a full grace period where entries of other upstreams show that the service kept
/// its data, so that a missing upstream has left.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_only_this_node_was_disconnected_is_gone_at_once() {
    for (span, is_history_dropped) in outage_cases().filter(|(span, _)| *span > Millis(7_000)) {
        let node = disconnected_while_one_leaves(span, is_history_dropped).await;
        sleep(Millis(1_000)).await;
        assert!(!node.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(node.takes_work("i-2") && node.takes_work("i-3"));
    }
}

/// Guards against removing all upstreams of a pool because entries of another pool didn't expire.
#[tokio::test(start_paused = true)]
async fn upstreams_of_a_whole_pool_are_kept_for_the_grace_period() {
    let node = start();
    node.list("i-1");
    let other = SERVER.replace("engines", "plain");
    node.memory
        .change(|state| state.put("servers/i-2", other, None));
    sleep(Millis(2_000)).await;
    node.memory.change(|state| state.is_unavailable = true);
    sleep(Millis(9_000)).await;
    node.memory.change(|state| {
        state.remove("servers/i-1");
        state.is_unavailable = false;
    });
    sleep(Millis(1_500)).await;
    assert!(node.takes_work("i-1") && node.takes_work("i-2"));
    sleep(Millis(1_500)).await;
    assert!(!node.takes_work("i-1"));
}

/// Guards against a grace period that ends in a further outage, when upstreams can't write their
/// entries again.
#[tokio::test(start_paused = true)]
async fn upstreams_expired_are_kept_through_the_next_outage() {
    for offset in (0..2_100).step_by(150).map(Millis) {
        let node = start();
        node.list("i-1");
        sleep(Millis(2_000)).await;
        node.memory.change(|state| state.is_unavailable = true);
        sleep(Millis(6_000)).await;
        node.memory.change(|state| {
            state.remove("servers/i-1");
            state.is_unavailable = false;
        });
        sleep(offset).await;
        node.memory.change(|state| state.is_unavailable = true);
        sleep(Millis(6_000)).await;
        assert!(node.takes_work("i-1"), "{offset}");
        node.memory.change(|state| state.is_unavailable = false);
        sleep(Millis(1_900)).await;
        node.list("i-1");
        sleep(RECONNECT_TIME).await;
        assert!(node.takes_work("i-1"), "{offset}");
    }
}

/// Guards against removing an upstream whose entry was read because of an older removal.
#[tokio::test(start_paused = true)]
async fn upstream_listed_again_while_all_entries_are_read_stays() {
    let node = start();
    node.list("i-1");
    sleep(Millis(2_000)).await;
    let known = || Arc::clone(&node.view.state().upstreams["i-1"]);
    let before = known();
    node.memory.change(|state| {
        state.slow_listing = Some(("servers/".to_owned(), Millis(500)));
        state.put("chivevalve/any", "", None);
        state.drop_history();
        state.put("chivevalve/any", "", None);
    });
    sleep(Millis(200)).await;
    node.memory.change(|state| state.remove("servers/i-1"));
    node.list("i-1");
    sleep(Millis(2_000)).await;
    assert!(Arc::ptr_eq(&before, &known()));
}

/// Guards against keeping an upstream that left because each further disconnection of this node
/// starts a new grace period.
#[tokio::test(start_paused = true)]
async fn upstream_left_before_repeated_outages_is_gone_in_time() {
    for (span, is_history_dropped) in outage_cases() {
        let node = disconnected_while_one_leaves(span, is_history_dropped).await;
        for _ in 0..3 {
            sleep(Millis(1_300)).await;
            node.memory.change(|state| state.is_unavailable = true);
            sleep(Millis(3_300)).await;
            node.memory.change(|state| state.is_unavailable = false);
        }
        sleep(RECONNECT_TIME).await;
        assert!(!node.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(node.takes_work("i-2") && node.takes_work("i-3"));
    }
}

/// Guards against requests to an upstream that left while this node was suspended.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_suspended_is_gone_in_time() {
    for (span, is_history_dropped) in outage_cases() {
        let node = start();
        node.list("i-1");
        node.list("i-2");
        sleep(Millis(2_000)).await;
        tokio::time::advance(span.duration()).await;
        node.memory.change(|state| {
            state.remove("servers/i-1");
            if is_history_dropped {
                state.drop_history();
            }
        });
        sleep(RECONNECT_TIME).await;
        assert!(!node.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(node.takes_work("i-2"));
    }
}

/// A source that passes changes on every second, except while the service is unavailable.
#[derive(Debug)]
struct PeriodicSource {
    memory: Arc<MemoryStore>,
    clock: Arc<dyn Clock>,
    due: Millis,
}

#[async_trait]
impl Source for PeriodicSource {
    fn may_have_subscribers(&self) -> bool {
        false
    }

    async fn next(&mut self, after: u64, within: Millis) -> Received {
        let left = self.due.since(self.clock.now());
        sleep(left.min(within)).await;
        let now = self.clock.now();
        if now < self.due {
            return Received::Timeout;
        }
        self.due = now + Millis(1_000);
        let state = self.memory.state();
        if state.is_unavailable {
            return Received::Timeout;
        }
        Received::Update(Update {
            after,
            revision: after.max(state.revision),
            as_of: now,
            events: state.changes_after("", after),
        })
    }

    fn avoid(&mut self) {}
}

/// Guards against a subscriber that waits for the next update to end a grace period.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_disconnected_is_gone_in_time_for_a_subscriber() {
    for offset in (0..1_000).step_by(100).map(Millis) {
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let source = |memory: &Arc<MemoryStore>| PeriodicSource {
            memory: Arc::clone(memory),
            clock: Arc::clone(&clock),
            due: offset,
        };
        let node = start_with(Arc::clone(&clock), |follower, memory| {
            let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::default()));
            follower.with_fanout(hub, Box::new(source(memory)))
        });
        node.list("i-1");
        node.list("i-2");
        sleep(Millis(2_000)).await;
        node.memory.change(|state| state.is_unavailable = true);
        sleep(Millis(4_000)).await;
        node.memory.change(|state| {
            state.remove("servers/i-1");
            state.is_unavailable = false;
        });
        sleep(RECONNECT_TIME).await;
        assert!(!node.takes_work("i-1"), "{offset}");
        assert!(node.takes_work("i-2"));
    }
}

/// Returns disconnections of different lengths, without and with a compaction meanwhile.
fn outage_cases() -> impl Iterator<Item = (Millis, bool)> {
    (0..12).flat_map(|step| [true, false].map(|dropped| (Millis(3_300 + step * 573), dropped)))
}
