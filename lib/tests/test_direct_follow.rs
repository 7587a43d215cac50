//! What a node believes, through outages and lost history of the key-value service.

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

struct Followed {
    memory: Arc<MemoryStore>,
    view: Arc<View>,
}

fn start() -> Followed {
    start_with(Arc::new(Monotonic::start()), |follower, _| follower)
}

fn start_with(
    clock: Arc<dyn Clock>,
    extend: impl FnOnce(Follower, &Arc<MemoryStore>) -> Follower,
) -> Followed {
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
    Followed { memory, view }
}

impl Followed {
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

async fn pass(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

#[tokio::test(start_paused = true)]
async fn config_never_goes_back() {
    let followed = start();
    followed.configure(5);
    pass(Millis(1_500)).await;
    assert_eq!(followed.version(), 5);
    followed.configure(4);
    pass(Millis(1_500)).await;
    assert_eq!(followed.version(), 5);
    followed.configure(9);
    pass(Millis(1_500)).await;
    assert_eq!(followed.version(), 9);
}

/// A call that waits for changes outlasts the service's return, and a configuration comes late.
#[tokio::test(start_paused = true)]
async fn config_in_force_soon_after_an_outage() {
    let followed = start();
    followed.configure(1);
    pass(Millis(3_000)).await;
    followed.memory.change(|state| state.is_unavailable = true);
    pass(Millis(6_000)).await;
    let waits = followed.memory.state().poll_waits.clone();
    assert!(*waits.last().unwrap() < Millis(100), "{waits:?}");
    followed.memory.change(|state| state.is_unavailable = false);
    followed.configure(2);
    pass(Millis(1_300)).await;
    assert_eq!(followed.version(), 2);
}

/// A first reading without an answer is waited for though the service has returned.
#[tokio::test(start_paused = true)]
async fn config_known_soon_after_a_silent_start() {
    let followed = start();
    followed.memory.change(|state| state.reads_hang = true);
    followed.configure(1);
    pass(Millis(600)).await;
    assert_eq!(followed.version(), 0);
    followed.memory.change(|state| state.reads_hang = false);
    pass(Millis(450)).await;
    assert_eq!(followed.version(), 1);
}

#[tokio::test(start_paused = true)]
async fn upstream_removed_is_gone() {
    let followed = start();
    followed.list("i-1");
    pass(Millis(2_000)).await;
    assert!(followed.knows("i-1"));
    followed.memory.change(|state| state.remove("servers/i-1"));
    pass(Millis(1_500)).await;
    assert!(!followed.knows("i-1"));
}

/// A lapse of living upstreams in an outage is taken for their death.
#[tokio::test(start_paused = true)]
async fn upstream_lapsed_in_an_outage_is_doubted() {
    let followed = start();
    followed.list("i-1");
    followed.list("i-2");
    pass(Millis(2_000)).await;
    followed.memory.change(|state| state.is_unavailable = true);
    pass(Millis(6_000)).await;
    followed.memory.change(|state| {
        state.is_unavailable = false;
        state.remove("servers/i-1");
        state.remove("servers/i-2");
    });
    pass(Millis(1_000)).await;
    assert!(followed.knows("i-1"));
    followed.list("i-1");
    pass(Millis(4_500)).await;
    assert!(followed.knows("i-1"));
    assert!(!followed.knows("i-2"));
}

/// An upstream that left while the history was dropped is kept.
#[tokio::test(start_paused = true)]
async fn history_dropped_missing_is_gone() {
    let followed = start();
    followed.list("i-1");
    followed.list("i-2");
    pass(Millis(2_000)).await;
    followed.memory.change(|state| {
        state.remove("servers/i-1");
        state.drop_history();
    });
    pass(Millis(5_000)).await;
    assert!(!followed.knows("i-1"));
    assert!(followed.knows("i-2"));
}

/// An engine that started again under its name is taken for what it was before.
#[tokio::test(start_paused = true)]
async fn upstream_started_again_is_another() {
    let followed = start();
    let put = |born: u64| {
        let entry = SERVER.replacen('{', &format!("{{\"born\":{born},"), 1);
        let change = |state: &mut State| state.put("servers/i-1", entry, None);
        followed.memory.change(change);
    };
    let known = || followed.view.state().upstreams["i-1"].clone();
    put(1_000);
    pass(Millis(2_000)).await;
    let first = known();
    put(2_000);
    pass(Millis(2_000)).await;
    let second = known();
    assert!(!first.is_ready());
    assert!(second.is_ready());
    assert_eq!((first.started_at_ms, second.started_at_ms), (1_000, 2_000));
    put(1_000);
    pass(Millis(2_000)).await;
    assert_eq!(known().started_at_ms, 2_000);
}

/// An entry of another writer that can't be read is taken for all, or for an upstream.
#[tokio::test(start_paused = true)]
async fn upstream_entries_of_other_writers() {
    let followed = start();
    followed.list("i-1");
    pass(Millis(2_000)).await;
    let spoilt = [
        "no JSON".to_owned(),
        "{}".to_owned(),
        SERVER.replace("ready", "resting"),
        SERVER.replacen('{', "{\"born\":\"yesterday\",", 1),
        SERVER.replacen('{', "{\"born\":17.5,", 1),
    ];
    for (number, entry) in spoilt.into_iter().enumerate() {
        let other = format!("servers/other-{number}");
        followed.memory.change(|state| {
            state.put(&other, entry.clone(), None);
            state.put("servers/i-1", entry, None);
        });
    }
    followed.list("i-2");
    pass(Millis(2_000)).await;
    assert!(followed.knows("i-1") && followed.knows("i-2"));
    let state = followed.view.state();
    assert_eq!(state.upstreams.len(), 2);
    assert!(state.upstreams["i-1"].is_ready());
}

/// A version that was declared between two calls counts from when it was seen.
#[tokio::test(start_paused = true)]
async fn version_counts_from_before_it_was_named() {
    let followed = start();
    let clock = Monotonic::start();
    for version in 1..9 {
        pass(Millis(730)).await;
        let named = clock.now();
        let entry = format!(r#"{{"model":"base","adapter":"a1","version":{version}}}"#);
        followed
            .memory
            .change(|state| state.put("op/version/base.a1", entry, None));
        pass(Millis(2_000)).await;
        let newest = followed.view.newest("base/a1").unwrap();
        assert_eq!(newest.version, version);
        assert!(
            newest.since.unwrap() <= named,
            "{newest:?}, named at {named}"
        );
    }
}

/// A configuration behind thousands of changes waits for a pause after each part of them.
#[tokio::test(start_paused = true)]
async fn config_in_force_soon_behind_many_changes() {
    let followed = start();
    followed.configure(1);
    pass(Millis(2_000)).await;
    followed.memory.change(|state| {
        state.max_changes = Some(10);
        for number in 0..200 {
            state.put(&format!("chivevalve/any/{number}"), "", None);
        }
    });
    followed.configure(2);
    pass(Millis(1_000)).await;
    assert_eq!(followed.version(), 2);
}

/// A part of the changes is taken for all of them, and its age for that of what is known.
#[tokio::test(start_paused = true)]
async fn version_in_a_part_counts_from_before_it_was_named() {
    let followed = start();
    let clock = Monotonic::start();
    pass(Millis(1_000)).await;
    // The follower pauses behind this change.
    followed.configure(1);
    pass(Millis(100)).await;
    let named = clock.now();
    let entry = r#"{"model":"base","adapter":"a1","version":2}"#;
    followed.memory.change(|state| {
        state.max_changes = Some(10);
        for number in 0..95 {
            state.put(&format!("chivevalve/any/{number}"), "", None);
        }
        state.put("op/version/base.a1", entry, None);
    });
    pass(Millis(2_000)).await;
    let newest = followed.view.newest("base/a1").unwrap();
    assert_eq!(newest.version, 2);
    assert!(
        newest.since.unwrap() <= named,
        "{newest:?}, named at {named}"
    );
}

/// What the list showed before an outage is taken for what it shows now.
#[tokio::test(start_paused = true)]
async fn view_as_of_stands_still_in_an_outage() {
    let followed = start();
    followed.configure(1);
    pass(Millis(3_000)).await;
    let before = followed.view.as_of();
    assert!(before > Millis::ZERO);
    followed.memory.change(|state| state.is_unavailable = true);
    pass(Millis(3_000)).await;
    let lost = followed.view.as_of();
    pass(Millis(20_000)).await;
    assert_eq!(followed.view.as_of(), lost);
    followed.memory.change(|state| state.is_unavailable = false);
    pass(Millis(4_000)).await;
    assert!(followed.view.as_of() > lost + Millis(20_000));
}

/// A node that starts soon after its VM doesn't take a version for one that was just declared.
#[tokio::test(start_paused = true)]
async fn version_read_at_a_start_has_no_more_time() {
    let followed = start();
    let clock = Monotonic::start();
    let entry = r#"{"model":"base","adapter":"a1","version":2}"#;
    followed
        .memory
        .change(|state| state.put("op/version/base.a1", entry, None));
    pass(Millis(1_000)).await;
    let limit = SharedLimits::default().get().version_rollout;
    let begin_deadline = followed.view.begin_deadline("base/a1", 1, limit).unwrap();
    assert!(begin_deadline <= clock.now(), "{begin_deadline}");
}

/// A node that was away counts as in touch again so long after its return.
const IN_TOUCH: Millis = Millis(3_000);

/// An absence of this node in which an upstream left, as it ends.
async fn away_while_one_leaves(span: Millis, is_history_dropped: bool) -> Followed {
    let followed = start();
    for incarnation in ["i-1", "i-2", "i-3"] {
        followed.list(incarnation);
    }
    pass(Millis(2_000)).await;
    followed.memory.change(|state| state.is_unavailable = true);
    pass(span).await;
    followed.memory.change(|state| {
        state.remove("servers/i-1");
        if is_history_dropped {
            state.drop_history();
        }
        state.is_unavailable = false;
    });
    followed
}

/// An upstream that left while this node was away gets requests after the node is in touch again.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_away_is_gone_in_time() {
    for (span, is_history_dropped) in spans() {
        let followed = away_while_one_leaves(span, is_history_dropped).await;
        pass(IN_TOUCH).await;
        assert!(!followed.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(followed.takes_work("i-2") && followed.takes_work("i-3"));
    }
}

/// An upstream that left while only this node was away is doubted though others show that it left.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_only_this_node_was_away_is_gone_at_once() {
    for (span, is_history_dropped) in spans().filter(|(span, _)| *span > Millis(7_000)) {
        let followed = away_while_one_leaves(span, is_history_dropped).await;
        pass(Millis(1_000)).await;
        assert!(!followed.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(followed.takes_work("i-2") && followed.takes_work("i-3"));
    }
}

/// All upstreams of a pool are given up, as those of another pool didn't lapse.
#[tokio::test(start_paused = true)]
async fn upstreams_of_a_whole_pool_are_doubted() {
    let followed = start();
    followed.list("i-1");
    let other = SERVER.replace("engines", "plain");
    followed
        .memory
        .change(|state| state.put("servers/i-2", other, None));
    pass(Millis(2_000)).await;
    followed.memory.change(|state| state.is_unavailable = true);
    pass(Millis(9_000)).await;
    followed.memory.change(|state| {
        state.remove("servers/i-1");
        state.is_unavailable = false;
    });
    pass(Millis(1_500)).await;
    assert!(followed.takes_work("i-1") && followed.takes_work("i-2"));
    pass(Millis(1_500)).await;
    assert!(!followed.takes_work("i-1"));
}

/// Upstreams are given up as they don't come back while the service is unavailable once more.
#[tokio::test(start_paused = true)]
async fn upstreams_lapsed_are_doubted_through_the_next_outage() {
    for moment in (0..2_100).step_by(150).map(Millis) {
        let followed = start();
        followed.list("i-1");
        pass(Millis(2_000)).await;
        followed.memory.change(|state| state.is_unavailable = true);
        pass(Millis(6_000)).await;
        followed.memory.change(|state| {
            state.remove("servers/i-1");
            state.is_unavailable = false;
        });
        pass(moment).await;
        followed.memory.change(|state| state.is_unavailable = true);
        pass(Millis(6_000)).await;
        assert!(followed.takes_work("i-1"), "{moment}");
        followed.memory.change(|state| state.is_unavailable = false);
        pass(Millis(1_900)).await;
        followed.list("i-1");
        pass(IN_TOUCH).await;
        assert!(followed.takes_work("i-1"), "{moment}");
    }
}

/// An entry that was read is taken for gone by a removal from before it was written.
#[tokio::test(start_paused = true)]
async fn upstream_back_while_all_is_read_stays() {
    let followed = start();
    followed.list("i-1");
    pass(Millis(2_000)).await;
    let known = || Arc::clone(&followed.view.state().upstreams["i-1"]);
    let before = known();
    followed.memory.change(|state| {
        state.slow_listing = Some(("servers/".to_owned(), Millis(500)));
        state.put("chivevalve/any", "", None);
        state.drop_history();
        state.put("chivevalve/any", "", None);
    });
    pass(Millis(200)).await;
    followed.memory.change(|state| state.remove("servers/i-1"));
    followed.list("i-1");
    pass(Millis(2_000)).await;
    assert!(Arc::ptr_eq(&before, &known()));
}

/// An upstream that left while this node was away several times is doubted anew after each.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_away_in_series_is_gone_in_time() {
    for (span, is_history_dropped) in spans() {
        let followed = away_while_one_leaves(span, is_history_dropped).await;
        for _ in 0..3 {
            pass(Millis(1_300)).await;
            followed.memory.change(|state| state.is_unavailable = true);
            pass(Millis(3_300)).await;
            followed.memory.change(|state| state.is_unavailable = false);
        }
        pass(IN_TOUCH).await;
        assert!(!followed.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(followed.takes_work("i-2") && followed.takes_work("i-3"));
    }
}

/// A node that stood still goes on with an upstream that left meanwhile.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_suspended_is_gone_in_time() {
    for (span, is_history_dropped) in spans() {
        let followed = start();
        followed.list("i-1");
        followed.list("i-2");
        pass(Millis(2_000)).await;
        tokio::time::advance(span.duration()).await;
        followed.memory.change(|state| {
            state.remove("servers/i-1");
            if is_history_dropped {
                state.drop_history();
            }
        });
        pass(IN_TOUCH).await;
        assert!(!followed.takes_work("i-1"), "{span} {is_history_dropped}");
        assert!(followed.takes_work("i-2"));
    }
}

/// Another node that passes changes on each second, and nothing while the service is away.
#[derive(Debug)]
struct Passing {
    memory: Arc<MemoryStore>,
    clock: Arc<dyn Clock>,
    due: Millis,
}

#[async_trait]
impl Source for Passing {
    fn may_have_subscribers(&self) -> bool {
        false
    }

    async fn next(&mut self, after: u64, within: Millis) -> Received {
        let left = self.due.since(self.clock.now());
        pass(left.min(within)).await;
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

/// A node that hears of changes from another one waits for its next word to end a doubt.
#[tokio::test(start_paused = true)]
async fn upstream_left_while_away_is_gone_in_time_for_a_listener() {
    for moment in (0..1_000).step_by(100).map(Millis) {
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let passing = |memory: &Arc<MemoryStore>| Passing {
            memory: Arc::clone(memory),
            clock: Arc::clone(&clock),
            due: moment,
        };
        let followed = start_with(Arc::clone(&clock), |follower, memory| {
            let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::default()));
            follower.with_fanout(hub, Box::new(passing(memory)))
        });
        followed.list("i-1");
        followed.list("i-2");
        pass(Millis(2_000)).await;
        followed.memory.change(|state| state.is_unavailable = true);
        pass(Millis(4_000)).await;
        followed.memory.change(|state| {
            state.remove("servers/i-1");
            state.is_unavailable = false;
        });
        pass(IN_TOUCH).await;
        assert!(!followed.takes_work("i-1"), "{moment}");
        assert!(followed.takes_work("i-2"));
    }
}

/// Absences of different lengths, with and without a history that was dropped meanwhile.
fn spans() -> impl Iterator<Item = (Millis, bool)> {
    (0..12).flat_map(|step| [true, false].map(|dropped| (Millis(3_300 + step * 573), dropped)))
}
