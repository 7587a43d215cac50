//! A node's view of upstreams that leave, or whose entries expire and are written again.

mod direct_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::{Limits, SharedLimits};
use chivevalve::direct::outage::OutageDetector;
use chivevalve::direct::presence::{Presence, Stage};
use chivevalve::direct::view::View;
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::memory::MemoryStore;
use direct_support::records::entry_revision;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::runtime::{Builder, Runtime};

/// Guards against a late heartbeat that makes a leaving upstream ready again.
#[test]
fn presence_leaving_stays_so() {
    let mut presence = Presence::new(entry_revision(3), true);
    assert!(presence.apply_entry(entry_revision(5), false));
    assert!(presence.apply_entry(entry_revision(7), true));
    assert_eq!(presence.stage(), Stage::Leaving);
}

/// Guards against a page of the list that is older than a change and reverts it.
#[test]
fn presence_older_entry_is_ignored() {
    let mut presence = Presence::new(entry_revision(3), true);
    presence.mark_missing();
    assert!(!presence.apply_entry(entry_revision(2), true));
    assert_eq!(presence.stage(), Stage::Unconfirmed);
    assert!(presence.apply_entry(entry_revision(3), true));
    assert_eq!(presence.stage(), Stage::Ready);
}

/// Guards against a late entry that makes an upstream take work again after it has gone.
#[test]
fn presence_gone_stays_so() {
    let mut presence = Presence::new(entry_revision(3), true);
    presence.mark_gone();
    assert!(presence.left_unannounced());
    assert!(!presence.apply_entry(entry_revision(9), true));
    assert_eq!(presence.stage(), Stage::Gone);
}

/// Guards against taking an upstream for crashed although it announced that it leaves.
#[test]
fn presence_announced_leave_is_not_unannounced() {
    let mut presence = Presence::new(entry_revision(3), true);
    assert!(presence.apply_entry(entry_revision(4), false));
    presence.mark_missing();
    presence.mark_gone();
    assert!(!presence.left_unannounced());
}

/// Entries in any order, also repeated, lead to the stage of the newest one.
#[test]
fn presence_entries_in_any_order() {
    fn holds(leaves_at: u8, order: Vec<u8>) -> bool {
        let leaves_at = u64::from(leaves_at % 8);
        let is_ready = |revision: u64| revision < leaves_at;
        let mut presence = Presence::new(entry_revision(1), is_ready(1));
        let mut newest = 1;
        for revision in order.into_iter().map(|byte| u64::from(byte % 8) + 1) {
            presence.apply_entry(entry_revision(revision), is_ready(revision));
            newest = newest.max(revision);
            if presence.stage().takes_work() != is_ready(newest) {
                return false;
            }
        }
        presence.entry_revision().revision == newest
    }
    QuickCheck::new().quickcheck(holds as fn(u8, Vec<u8>) -> bool);
}

/// Guards against a grace period that outlasts the time within which this node has to know that
/// an upstream has left.
#[test]
fn grace_period_ends_within_the_time_to_rejoin() {
    fn holds(away: u16, since_call: u16) -> bool {
        let limits = Limits::default();
        let away = Millis(u64::from(away) + 4_000);
        let call = Millis(1_000) + away;
        let mut outage = OutageDetector::new(Millis(1_000));
        outage.record_failure(Millis(2_000), Millis(2_700));
        outage.record_failure(call, call + Millis(700));
        let answered = call + Millis(u64::from(since_call) % 3_000 + 1);
        let recovery = outage.record_answer(answered, false).unwrap();
        // This node may have been connected again since the last failed call was sent.
        recovery.grace_period(7, &limits).until < call + limits.rejoin
    }
    QuickCheck::new().quickcheck(holds as fn(u16, u16) -> bool);
}

/// Guards against a grace period that ends before live upstreams have written their entries again.
#[test]
fn grace_period_lasts_until_entries_are_back() {
    let mut outage = OutageDetector::new(Millis(1_000));
    outage.record_failure(Millis(8_900), Millis(9_600));
    let recovery = outage.record_answer(Millis(9_800), false).unwrap();
    let until = recovery.grace_period(7, &Limits::default()).until;
    // Entries are written within two seconds of the return, which was after 8,900 ms.
    assert!(until >= Millis(8_900) + Millis(2_000), "{until}");
    assert!(until >= Millis(9_800) + Millis(1_800), "{until}");
}

/// A short silence, or one without failed calls, does not show that the service kept its entries.
#[test]
fn grace_period_ended_by_entries_that_outlived_the_outage() {
    let limits = Limits::default();
    let grace = |first: u64, last: u64| {
        let mut outage = OutageDetector::new(Millis(1_000));
        outage.record_failure(Millis(first), Millis(first + 700));
        outage.record_failure(Millis(last), Millis(last + 700));
        let recovery = outage.record_answer(Millis(last + 900), false).unwrap();
        recovery.grace_period(7, &limits)
    };
    let long = grace(2_000, 9_000);
    assert!(long.shows_entries_kept(7, Millis(9_900), &limits));
    // Created after the outage, at an unknown revision, or seen before the outage ended.
    assert!(!long.shows_entries_kept(8, Millis(9_900), &limits));
    assert!(!long.shows_entries_kept(0, Millis(9_900), &limits));
    assert!(!long.shows_entries_kept(7, Millis(8_900), &limits));
    // A shorter outage of the service wouldn't have expired all entries.
    assert!(!grace(2_000, 6_000).shows_entries_kept(7, Millis(9_900), &limits));
    let suspended = OutageDetector::new(Millis(1_000)).record_answer(Millis(9_000), false);
    let grace = suspended.unwrap().grace_period(7, &limits);
    assert!(!grace.shows_entries_kept(7, Millis(9_000), &limits));
}

/// Guards against a poll answered in the middle of an outage that hides the outage.
#[test]
fn grace_period_begins_though_a_call_was_answered_midway() {
    let mut outage = OutageDetector::new(Millis(1_000));
    assert!(outage.record_answer(Millis(3_000), false).is_none());
    outage.record_failure(Millis(3_800), Millis(4_500));
    assert!(outage.record_answer(Millis(5_000), false).is_some());
    // A single call that failed at once isn't an outage.
    outage.record_failure(Millis(5_800), Millis(5_805));
    assert!(outage.record_answer(Millis(6_010), false).is_none());
}

/// Guards against counting an outage from the start of a listing whose first parts were answered.
#[test]
fn outage_begins_after_the_last_answer() {
    let mut outage = OutageDetector::new(Millis(1_000));
    assert!(outage.record_answer(Millis(3_900), false).is_none());
    outage.record_failure(Millis(1_000), Millis(4_000));
    assert!(outage.record_answer(Millis(4_300), false).is_none());
}

/// Guards against a grace period that isn't extended by a further short outage, during which
/// upstreams can't write their entries.
#[test]
fn grace_period_restarts_after_a_short_outage() {
    let mut outage = OutageDetector::new(Millis(1_000));
    let recovery = outage.record_answer(Millis(9_000), false).unwrap();
    let first = recovery.grace_period(7, &Limits::default()).until;
    outage.record_failure(Millis(9_500), Millis(10_200));
    let recovery = outage.record_answer(Millis(10_500), true).unwrap();
    assert!(recovery.grace_period(7, &Limits::default()).until > first);
    assert!(outage.record_answer(Millis(10_600), true).is_none());
}

/// Number of random sequences.
const SEQUENCES: u64 = 400;

/// Maximum number of steps in a sequence.
const MAX_STEPS: usize = 14;

/// Number of upstreams, in two pools.
const UPSTREAMS: u8 = 5;

/// Time within which a connected node has to know of a change.
const DETECTION_TIME: Millis = Millis(2_000);

/// Time after a reconnection within which a node has to know all changes.
const RECONNECT_TIME: Millis = Millis(3_000);

/// Maximum time after the service's return until expired entries are written again.
const REREGISTRATION_MS: u64 = 2_000;

/// Interval between two heartbeats of an upstream.
const HEARTBEAT: Millis = Millis(1_200);

/// Interval between two checks of the node's view.
const CHECK_INTERVAL: Millis = Millis(50);

/// A step of a sequence.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in units of 100 ms.
    Pass(u8),
    /// An upstream announces that it leaves.
    Leave(u8),
    /// An upstream's entry is removed without an announcement.
    Remove(u8),
    /// An old heartbeat of a leaving upstream is written late; the next one announces it again.
    LateHeartbeat(u8),
    /// This node is disconnected; meanwhile an upstream may leave and the history be compacted.
    Disconnect(u8, Option<u8>, bool),
    /// The service is unavailable, and entries may expire if that lasts long enough.
    Outage(u8, bool),
    /// The history is compacted.
    Drop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let upstream = u8::arbitrary(g) % UPSTREAMS;
        let tenths = u8::arbitrary(g) % 70;
        match u8::arbitrary(g) % 12 {
            0..4 => Self::Pass(tenths % 45),
            4 => Self::Leave(upstream),
            5 => Self::Remove(upstream),
            6 => Self::LateHeartbeat(upstream),
            7..10 => Self::Disconnect(
                tenths + 10,
                bool::arbitrary(g).then_some(upstream),
                bool::arbitrary(g),
            ),
            10 => Self::Outage(tenths + 10, bool::arbitrary(g)),
            _ => Self::Drop,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        quickcheck::empty_shrinker()
    }
}

/// The actual state of an upstream, which the view is compared with.
#[derive(Debug, Default)]
struct ActualState {
    /// When it announced that it leaves, or its entry was removed.
    left_at: Option<Millis>,
    /// Whether it announced that it leaves.
    announced: bool,
    /// When its expired entry is written again.
    returns_at: Option<Millis>,
    /// When it announces again that it leaves.
    announces_again_at: Option<Millis>,
}

/// A simulated deployment of one node and some upstreams.
struct Simulation {
    memory: Arc<MemoryStore>,
    view: Arc<View>,
    clock: Arc<dyn Clock>,
    actual: BTreeMap<u8, ActualState>,
    /// When the last disconnection or outage ended.
    disrupted_until: Millis,
    rand: Pcg64,
    follower: tokio::task::JoinHandle<()>,
}

fn key(upstream: u8) -> String {
    format!("servers/i-{upstream}")
}

fn entry(upstream: u8, state: &str) -> String {
    let pool = if upstream.is_multiple_of(2) {
        "engines"
    } else {
        "plain"
    };
    SERVER
        .replace("engines", pool)
        .replace("ready", state)
        .replace(":9\"", &format!(":{}\"", 100 + u16::from(upstream)))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let memory = Arc::new(MemoryStore::default());
        let view = Arc::new(View::default());
        let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
        let follower = Follower::new(
            Arc::<MemoryStore>::clone(&memory),
            Arc::<MemoryStore>::clone(&memory),
            Arc::new(PlatformDialect),
            Arc::clone(&clock),
            Arc::clone(&view),
            Arc::new(SharedLimits::default()),
        );
        let actual = (0..UPSTREAMS).map(|upstream| (upstream, ActualState::default()));
        let simulation = Self {
            memory,
            view,
            clock,
            actual: actual.collect(),
            disrupted_until: Millis::ZERO,
            rand: Pcg64::seed_from_u64(seed),
            follower: tokio::spawn(follower.run()),
        };
        for upstream in 0..UPSTREAMS {
            simulation.put(upstream, "ready");
        }
        simulation
    }

    fn put(&self, upstream: u8, state: &str) {
        let entry = entry(upstream, state);
        self.memory
            .change(|held| held.put(&key(upstream), entry, None));
    }

    async fn run(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Pass(tenths) => self.advance(Millis(u64::from(*tenths) * 100)).await?,
            Step::Leave(upstream) => self.leave(*upstream, true),
            Step::Remove(upstream) => self.leave(*upstream, false),
            Step::LateHeartbeat(upstream) => {
                let is_listed = self.memory.state().entries.contains_key(&key(*upstream));
                if self.actual[upstream].announced && is_listed {
                    self.put(*upstream, "ready");
                    let announces_again_at = self.clock.now() + HEARTBEAT;
                    self.actual.get_mut(upstream).unwrap().announces_again_at =
                        Some(announces_again_at);
                }
            }
            Step::Disconnect(tenths, leaving, is_compacted) => {
                let span = Millis(u64::from(*tenths) * 100);
                self.memory.change(|state| state.is_unavailable = true);
                self.advance(Millis(span.0 / 2)).await?;
                if let Some(upstream) = leaving {
                    self.leave(*upstream, *is_compacted);
                    self.memory.change(|state| state.remove(&key(*upstream)));
                }
                if *is_compacted {
                    self.memory
                        .change(direct_support::memory::State::drop_history);
                }
                self.advance(Millis(span.0 / 2)).await?;
                self.memory.change(|state| state.is_unavailable = false);
            }
            Step::Outage(tenths, expires_entries) => {
                self.outage(Millis(u64::from(*tenths) * 100), *expires_entries)
                    .await?;
            }
            Step::Drop => self
                .memory
                .change(direct_support::memory::State::drop_history),
        }
        Ok(())
    }

    fn leave(&mut self, upstream: u8, announced: bool) {
        let now = self.clock.now();
        let actual = self.actual.get_mut(&upstream).unwrap();
        if actual.left_at.is_some() || actual.returns_at.is_some() {
            return;
        }
        actual.left_at = Some(now);
        actual.announced = announced;
        if announced {
            self.put(upstream, "draining");
        } else {
            self.memory.change(|state| state.remove(&key(upstream)));
        }
    }

    async fn outage(&mut self, span: Millis, expires_entries: bool) -> Result<(), String> {
        self.memory.change(|state| state.is_unavailable = true);
        self.advance(span).await?;
        let now = self.clock.now();
        if expires_entries && span >= Limits::default().entry_expiry {
            for (upstream, actual) in &mut self.actual {
                self.memory.change(|state| state.remove(&key(*upstream)));
                let delay = Millis(self.rand.random_range(0..REREGISTRATION_MS));
                actual.returns_at = actual.left_at.is_none().then_some(now + delay);
                actual.announces_again_at = None;
            }
        }
        self.memory.change(|state| state.is_unavailable = false);
        Ok(())
    }

    /// Advances the time, and checks the node's view meanwhile.
    async fn advance(&mut self, span: Millis) -> Result<(), String> {
        let end = self.clock.now() + span;
        while self.clock.now() < end {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let now = self.clock.now();
            if self.memory.state().is_unavailable {
                self.disrupted_until = now;
            }
            if !self.memory.state().is_unavailable {
                self.write_due(now);
            }
            self.check(now)?;
        }
        Ok(())
    }

    /// Writes the entries that are due.
    fn write_due(&mut self, now: Millis) {
        let due = |at: &mut Option<Millis>| at.take_if(|at| *at <= now).is_some();
        let actual = self.actual.iter_mut();
        let writes: Vec<(u8, bool, bool)> = actual
            .map(|(upstream, actual)| {
                (
                    *upstream,
                    due(&mut actual.returns_at),
                    due(&mut actual.announces_again_at),
                )
            })
            .collect();
        for (upstream, returns, announces_again) in writes {
            let is_listed = self.memory.state().entries.contains_key(&key(upstream));
            if returns {
                self.put(upstream, "ready");
            } else if announces_again && is_listed {
                self.put(upstream, "draining");
            }
        }
    }

    fn check(&self, now: Millis) -> Result<(), String> {
        let state = self.view.state();
        let is_reconnected = now >= self.disrupted_until + RECONNECT_TIME;
        for (upstream, actual) in &self.actual {
            let known = state.upstreams.get(&*format!("i-{upstream}"));
            let takes_work = known.is_some_and(|known| known.is_ready());
            let has_left = actual
                .left_at
                .is_some_and(|left_at| now >= left_at + DETECTION_TIME);
            if has_left && is_reconnected && takes_work {
                return Err(format!(
                    "{upstream} left at {actual:?} and takes work at {now}"
                ));
            }
            if actual.left_at.is_none() && now > DETECTION_TIME && !takes_work {
                return Err(format!(
                    "{upstream} is live and takes no work at {now}: {actual:?}"
                ));
            }
        }
        Ok(())
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        self.follower.abort();
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
}

fn run(seed: u64, steps: &[Step]) -> Result<(), String> {
    runtime().block_on(async {
        let mut simulation = Simulation::new(seed);
        simulation.advance(Millis(3_000)).await?;
        for step in steps {
            simulation.run(step).await?;
        }
        simulation.advance(Millis(6_000)).await
    })
}

/// Guards against requests to upstreams that have left, and against live upstreams without
/// requests, through disconnections and outages in any order.
#[test]
fn follow_random_sequences_fixed_seeds() {
    for seed in 0..SEQUENCES {
        let mut g = Gen::from_size_and_seed(MAX_STEPS, seed);
        let steps: Vec<Step> = Vec::arbitrary(&mut g);
        if let Err(error) = run(seed, &steps) {
            panic!("seed {seed}: {error}\n{steps:#?}");
        }
    }
}
