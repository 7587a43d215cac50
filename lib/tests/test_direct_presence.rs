//! What a node believes of upstreams that leave, lapse and come back.

mod direct_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::{Limits, SharedLimits};
use chivevalve::direct::outage::Outage;
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

/// A heartbeat that was written late makes a leaving upstream ready again.
#[test]
fn presence_leaving_stays_so() {
    let mut presence = Presence::new(entry_revision(3), true);
    assert!(presence.apply_entry(entry_revision(5), false));
    assert!(presence.apply_entry(entry_revision(7), true));
    assert_eq!(presence.stage(), Stage::Leaving);
}

/// A page of the list that is older than a change takes the change back.
#[test]
fn presence_older_entry_is_left_aside() {
    let mut presence = Presence::new(entry_revision(3), true);
    presence.mark_missing();
    assert!(!presence.apply_entry(entry_revision(2), true));
    assert_eq!(presence.stage(), Stage::Unconfirmed);
    assert!(presence.apply_entry(entry_revision(3), true));
    assert_eq!(presence.stage(), Stage::Ready);
}

/// What is gone takes work again by an entry that comes late.
#[test]
fn presence_gone_stays_so() {
    let mut presence = Presence::new(entry_revision(3), true);
    presence.mark_gone();
    assert!(presence.left_unannounced());
    assert!(!presence.apply_entry(entry_revision(9), true));
    assert_eq!(presence.stage(), Stage::Gone);
}

/// An upstream that left in order is taken for one that ended.
#[test]
fn presence_left_in_order_is_not_lost() {
    let mut presence = Presence::new(entry_revision(3), true);
    assert!(presence.apply_entry(entry_revision(4), false));
    presence.mark_missing();
    presence.mark_gone();
    assert!(!presence.left_unannounced());
}

/// Entries in any order and more than once lead to what the newest of them leads to.
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

/// What is missing is doubted until after this node has to know that it left.
#[test]
fn doubt_ends_within_the_time_to_rejoin() {
    fn holds(away: u16, since_call: u16) -> bool {
        let limits = Limits::default();
        let away = Millis(u64::from(away) + 4_000);
        let call = Millis(1_000) + away;
        let mut outage = Outage::new(Millis(1_000));
        outage.failed(Millis(2_000), Millis(2_700));
        outage.failed(call, call + Millis(700));
        let answered = call + Millis(u64::from(since_call) % 3_000 + 1);
        let back = outage.answered(answered, false).unwrap();
        // This node may have been back from the last call in vain on.
        back.doubt(7, &limits).until < call + limits.rejoin
    }
    QuickCheck::new().quickcheck(holds as fn(u16, u16) -> bool);
}

/// Entries that come back as soon as a service does that answers are taken for gone before.
#[test]
fn doubt_lasts_until_entries_are_back() {
    let mut outage = Outage::new(Millis(1_000));
    outage.failed(Millis(8_900), Millis(9_600));
    let back = outage.answered(Millis(9_800), false).unwrap();
    let until = back.doubt(7, &Limits::default()).until;
    // Within some two seconds of the return, which was behind 8,900 ms.
    assert!(until >= Millis(8_900) + Millis(2_000), "{until}");
    assert!(until >= Millis(9_800) + Millis(1_800), "{until}");
}

/// A short silence, or one within which no call failed, proves nothing of the entries that stand.
#[test]
fn doubt_disproved_by_entries_that_stood() {
    let limits = Limits::default();
    let doubt = |first: u64, last: u64| {
        let mut outage = Outage::new(Millis(1_000));
        outage.failed(Millis(first), Millis(first + 700));
        outage.failed(Millis(last), Millis(last + 700));
        let back = outage.answered(Millis(last + 900), false).unwrap();
        back.doubt(7, &limits)
    };
    let long = doubt(2_000, 9_000);
    assert!(long.is_disproved_by(7, Millis(9_900), &limits));
    // Created since, not told, or told from before.
    assert!(!long.is_disproved_by(8, Millis(9_900), &limits));
    assert!(!long.is_disproved_by(0, Millis(9_900), &limits));
    assert!(!long.is_disproved_by(7, Millis(8_900), &limits));
    // An outage of the service as short would have left some entries.
    assert!(!doubt(2_000, 6_000).is_disproved_by(7, Millis(9_900), &limits));
    let suspended = Outage::new(Millis(1_000)).answered(Millis(9_000), false);
    let doubt = suspended.unwrap().doubt(7, &limits);
    assert!(!doubt.is_disproved_by(7, Millis(9_000), &limits));
}

/// A call that was answered in the midst of an outage hides it.
#[test]
fn doubt_begins_though_a_call_was_answered_midway() {
    let mut outage = Outage::new(Millis(1_000));
    assert!(outage.answered(Millis(3_000), false).is_none());
    outage.failed(Millis(3_800), Millis(4_500));
    assert!(outage.answered(Millis(5_000), false).is_some());
    // One call that failed at once is none.
    outage.failed(Millis(5_800), Millis(5_805));
    assert!(outage.answered(Millis(6_010), false).is_none());
}

/// A reading that fails behind its first parts is taken for an outage since its beginning.
#[test]
fn outage_begins_behind_the_last_answer() {
    let mut outage = Outage::new(Millis(1_000));
    assert!(outage.answered(Millis(3_900), false).is_none());
    outage.failed(Millis(1_000), Millis(4_000));
    assert!(outage.answered(Millis(4_300), false).is_none());
}

/// A short outage within a doubt keeps entries from coming back, and ends the doubt all the same.
#[test]
fn doubt_begins_anew_after_a_short_outage() {
    let mut outage = Outage::new(Millis(1_000));
    let back = outage.answered(Millis(9_000), false).unwrap();
    let first = back.doubt(7, &Limits::default()).until;
    outage.failed(Millis(9_500), Millis(10_200));
    let back = outage.answered(Millis(10_500), true).unwrap();
    assert!(back.doubt(7, &Limits::default()).until > first);
    assert!(outage.answered(Millis(10_600), true).is_none());
}

/// Stories that are played.
const STORIES: u64 = 400;

/// Steps of a story at most.
const STEPS: usize = 14;

/// Upstreams of a story, in two pools.
const UPSTREAMS: u8 = 5;

/// A node has to know of a change so long after it, if it is in touch.
const KNOWN: Millis = Millis(2_000);

/// A node that was away is in touch so long after its return.
const IN_TOUCH: Millis = Millis(3_000);

/// Entries that lapsed are back so long after the service's return.
const BACK: u64 = 2_000;

/// Between two heartbeats.
const HEARTBEAT: Millis = Millis(1_200);

/// Between two looks.
const LOOK: Millis = Millis(50);

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in units of 100 ms.
    Pass(u8),
    /// An upstream says that it leaves, and its entry goes some time later.
    Leave(u8),
    /// An upstream's entry goes at once, as that of one that leaves without a word.
    Vanish(u8),
    /// An earlier heartbeat of an upstream that leaves, written late; it says again that it leaves.
    LateHeartbeat(u8),
    /// This node is cut off from the service; meanwhile one leaves, and the history may be dropped.
    Away(u8, Option<u8>, bool),
    /// The service is unavailable, and its entries lapse if it is for long.
    Outage(u8, bool),
    /// The history is dropped.
    Drop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g) % UPSTREAMS;
        let units = u8::arbitrary(g) % 70;
        match u8::arbitrary(g) % 12 {
            0..4 => Self::Pass(units % 45),
            4 => Self::Leave(which),
            5 => Self::Vanish(which),
            6 => Self::LateHeartbeat(which),
            7..10 => Self::Away(
                units + 10,
                bool::arbitrary(g).then_some(which),
                bool::arbitrary(g),
            ),
            10 => Self::Outage(units + 10, bool::arbitrary(g)),
            _ => Self::Drop,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        quickcheck::empty_shrinker()
    }
}

/// An upstream as it is.
#[derive(Debug, Default)]
struct Truth {
    /// When the service acknowledged that it leaves.
    left: Option<Millis>,
    /// Whether it has said so.
    said: bool,
    /// When its entry comes back.
    back: Option<Millis>,
    /// When it says again that it leaves.
    says: Option<Millis>,
}

/// A deployment of one node whose upstreams' lives are known.
struct World {
    memory: Arc<MemoryStore>,
    view: Arc<View>,
    clock: Arc<dyn Clock>,
    truth: BTreeMap<u8, Truth>,
    /// When the last disruption ended, of this node or of the service.
    disrupted: Millis,
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

impl World {
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
        let truth = (0..UPSTREAMS).map(|upstream| (upstream, Truth::default()));
        let world = Self {
            memory,
            view,
            clock,
            truth: truth.collect(),
            disrupted: Millis::ZERO,
            rand: Pcg64::seed_from_u64(seed),
            follower: tokio::spawn(follower.run()),
        };
        for upstream in 0..UPSTREAMS {
            world.put(upstream, "ready");
        }
        world
    }

    fn put(&self, upstream: u8, state: &str) {
        let entry = entry(upstream, state);
        self.memory
            .change(|held| held.put(&key(upstream), entry, None));
    }

    async fn play(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Pass(units) => self.pass(Millis(u64::from(*units) * 100)).await?,
            Step::Leave(upstream) => self.leave(*upstream, true),
            Step::Vanish(upstream) => self.leave(*upstream, false),
            Step::LateHeartbeat(upstream) => {
                let is_listed = self.memory.state().entries.contains_key(&key(*upstream));
                if self.truth[upstream].said && is_listed {
                    self.put(*upstream, "ready");
                    let says = self.clock.now() + HEARTBEAT;
                    self.truth.get_mut(upstream).unwrap().says = Some(says);
                }
            }
            Step::Away(units, leaves, is_dropped) => {
                let span = Millis(u64::from(*units) * 100);
                self.memory.change(|state| state.is_unavailable = true);
                self.pass(Millis(span.0 / 2)).await?;
                if let Some(upstream) = leaves {
                    self.leave(*upstream, *is_dropped);
                    self.memory.change(|state| state.remove(&key(*upstream)));
                }
                if *is_dropped {
                    self.memory
                        .change(direct_support::memory::State::drop_history);
                }
                self.pass(Millis(span.0 / 2)).await?;
                self.memory.change(|state| state.is_unavailable = false);
            }
            Step::Outage(units, is_lapsing) => {
                self.outage(Millis(u64::from(*units) * 100), *is_lapsing)
                    .await?;
            }
            Step::Drop => self
                .memory
                .change(direct_support::memory::State::drop_history),
        }
        Ok(())
    }

    fn leave(&mut self, upstream: u8, said: bool) {
        let now = self.clock.now();
        let truth = self.truth.get_mut(&upstream).unwrap();
        if truth.left.is_some() || truth.back.is_some() {
            return;
        }
        truth.left = Some(now);
        truth.said = said;
        if said {
            self.put(upstream, "draining");
        } else {
            self.memory.change(|state| state.remove(&key(upstream)));
        }
    }

    async fn outage(&mut self, span: Millis, is_lapsing: bool) -> Result<(), String> {
        self.memory.change(|state| state.is_unavailable = true);
        self.pass(span).await?;
        let now = self.clock.now();
        if is_lapsing && span >= Limits::default().entry_expiry {
            for (upstream, truth) in &mut self.truth {
                self.memory.change(|state| state.remove(&key(*upstream)));
                let back = Millis(self.rand.random_range(0..BACK));
                truth.back = truth.left.is_none().then_some(now + back);
                truth.says = None;
            }
        }
        self.memory.change(|state| state.is_unavailable = false);
        Ok(())
    }

    /// Lets time pass, and looks at what the node believes meanwhile.
    async fn pass(&mut self, span: Millis) -> Result<(), String> {
        let end = self.clock.now() + span;
        while self.clock.now() < end {
            tokio::time::sleep(LOOK.duration()).await;
            let now = self.clock.now();
            if self.memory.state().is_unavailable {
                self.disrupted = now;
            }
            if !self.memory.state().is_unavailable {
                self.write(now);
            }
            self.look(now)?;
        }
        Ok(())
    }

    /// Lets upstreams write what is due.
    fn write(&mut self, now: Millis) {
        let due = |at: &mut Option<Millis>| at.take_if(|at| *at <= now).is_some();
        let truth = self.truth.iter_mut();
        let writes: Vec<(u8, bool, bool)> = truth
            .map(|(upstream, truth)| (*upstream, due(&mut truth.back), due(&mut truth.says)))
            .collect();
        for (upstream, is_back, says) in writes {
            let is_listed = self.memory.state().entries.contains_key(&key(upstream));
            if is_back {
                self.put(upstream, "ready");
            } else if says && is_listed {
                self.put(upstream, "draining");
            }
        }
    }

    fn look(&self, now: Millis) -> Result<(), String> {
        let state = self.view.state();
        let is_in_touch = now >= self.disrupted + IN_TOUCH;
        for (upstream, truth) in &self.truth {
            let known = state.upstreams.get(&*format!("i-{upstream}"));
            let takes_work = known.is_some_and(|known| known.is_ready());
            let has_left = truth.left.is_some_and(|left| now >= left + KNOWN);
            if has_left && is_in_touch && takes_work {
                return Err(format!(
                    "{upstream} left at {truth:?} and takes work at {now}"
                ));
            }
            if truth.left.is_none() && now > KNOWN && !takes_work {
                return Err(format!(
                    "{upstream} lives and takes no work at {now}: {truth:?}"
                ));
            }
        }
        Ok(())
    }
}

impl Drop for World {
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

fn play(seed: u64, steps: &[Step]) -> Result<(), String> {
    runtime().block_on(async {
        let mut world = World::new(seed);
        world.pass(Millis(3_000)).await?;
        for step in steps {
            world.play(step).await?;
        }
        world.pass(Millis(6_000)).await
    })
}

/// Work for what has left, or none for what lives, through absences and outages in any order.
#[test]
fn follow_stories_fixed_seeds() {
    for seed in 0..STORIES {
        let mut g = Gen::from_size_and_seed(STEPS, seed);
        let steps: Vec<Step> = Vec::arbitrary(&mut g);
        if let Err(told) = play(seed, &steps) {
            panic!("seed {seed}: {told}\n{steps:#?}");
        }
    }
}
