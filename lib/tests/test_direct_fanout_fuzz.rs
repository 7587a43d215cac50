//! Stateful fuzzing of what a node takes from another one, with fixed seeds.
//!
//! A node is fed updates of another one, most of them bad; a second node listens to the first,
//! so that what is passed on is judged too. The oracle replays the service's own history.

mod direct_support;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::dialect::{Dialect, Key};
use chivevalve::direct::fanout::{Hub, Received, Source, Update};
use chivevalve::direct::follow::{Follower, NODE_PREFIX};
use chivevalve::direct::limits::SharedLimits;
use chivevalve::direct::validate::RejectReason;
use chivevalve::direct::view::{CLAIM_PREFIX, View};
use chivevalve::metrics::Metrics;
use chivevalve::ports::{Entry, Event};
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::listen::InProcessSource;
use direct_support::memory::MemoryStore;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

/// Sequences that each seed plays.
const STORIES: u64 = 300;

/// Steps of a sequence at most.
const STEPS: usize = 40;

/// Names of each kind of entry that are written.
const NAMES: u8 = 3;

/// Time after which a node that hears nothing bad any more knows all: the age at which it asks
/// the service itself, the pause between calls, and the doubt about entries that vanished.
const SETTLED: Millis = Millis(6_000);

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// The service changes: the kind of entry, and its number.
    Write(u8, u8),
    /// An entry goes.
    Remove(u8, u8),
    /// Time passes, in milliseconds.
    Pass(u16),
    /// The node hears a true part of the history: how far back it begins and ends, and its age.
    Hear(u8, u8, u8),
    /// The node hears something bad: the kind, and a true part that it is made of.
    Spoilt(Spoilt, u8, u8),
    /// The connection to the other node ends.
    End,
}

/// How an update is bad.
#[derive(Debug, Clone, Copy)]
enum Spoilt {
    /// It ends before it begins.
    Backwards,
    /// It leads nowhere: to revision 0.
    Nowhere,
    /// It leads to the last revision that a number can hold, without changes.
    Endless,
    /// It claims to lead some revisions further than the service is.
    Ahead,
    /// The same, from where the node is, with true changes.
    AheadWithChanges,
    /// One change has revision 0.
    ChangeOfNothing,
    /// One change has the last revision that a number can hold.
    ChangeOfTheEnd,
    /// One that has all of it: a change, and the update itself.
    End,
    /// Changes in the wrong order.
    Disordered,
    /// Changes told twice.
    Doubled,
    /// An older change among newer ones: of a node or an engine that has left perhaps.
    Older,
    /// Keys that nobody here uses, with values near what a call may hold.
    Foreign,
    /// More changes than anybody makes at once.
    Oversized,
}

const SPOILT: [Spoilt; 13] = [
    Spoilt::Backwards,
    Spoilt::Nowhere,
    Spoilt::Endless,
    Spoilt::Ahead,
    Spoilt::AheadWithChanges,
    Spoilt::ChangeOfNothing,
    Spoilt::ChangeOfTheEnd,
    Spoilt::End,
    Spoilt::Disordered,
    Spoilt::Doubled,
    Spoilt::Older,
    Spoilt::Foreign,
    Spoilt::Oversized,
];

/// The kind of an entry: often one of those that come and go.
fn kind(g: &mut Gen) -> u8 {
    *g.choose(&[0, 0, 0, 2, 2, 3, 3, 3, 5, 6, 7, 8])
        .expect("there are kinds")
}

/// The number of an entry: often the same one.
fn number(g: &mut Gen) -> u8 {
    *g.choose(&[0, 0, 0, 1, 2]).expect("there are numbers")
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Write(kind(g), number(g)),
            4..6 => Self::Remove(kind(g), number(g)),
            6..8 => Self::Pass(u16::arbitrary(g) % 900),
            8..12 => Self::Hear(u8::arbitrary(g) % 8, u8::arbitrary(g) % 4, u8::arbitrary(g)),
            12..15 => {
                let kind = *g.choose(&SPOILT).expect("there are kinds");
                Self::Spoilt(kind, u8::arbitrary(g) % 8, u8::arbitrary(g) % 4)
            }
            _ => Self::End,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        quickcheck::empty_shrinker()
    }
}

/// The node that updates come from, as the test plays it.
#[derive(Debug, Default)]
struct Feed {
    waiting: Mutex<VecDeque<Received>>,
    fed: Notify,
}

impl Feed {
    fn give(&self, heard: Received) {
        self.waiting.lock().unwrap().push_back(heard);
        self.fed.notify_one();
    }
}

/// Listens to the feed.
#[derive(Debug)]
struct Fed {
    feed: Arc<Feed>,
    avoided: bool,
}

#[async_trait]
impl Source for Fed {
    fn may_have_subscribers(&self) -> bool {
        true
    }

    async fn next(&mut self, _: u64, within: Millis) -> Received {
        if std::mem::take(&mut self.avoided) {
            return Received::NoSource;
        }
        let next = async {
            loop {
                let heard = self.feed.waiting.lock().unwrap().pop_front();
                if let Some(heard) = heard {
                    return heard;
                }
                self.feed.fed.notified().await;
            }
        };
        let heard = tokio::time::timeout(within.duration(), next).await;
        heard.unwrap_or(Received::Timeout)
    }

    fn avoid(&mut self) {
        self.avoided = true;
    }
}

/// What a node should know at a revision, entry by entry.
type Known = BTreeMap<String, String>;

/// What the service's history makes of [`Known`].
///
/// Values that can't be read are written under keys of their own, where they mean nothing.
fn replay(known: &mut Known, event: &Event) {
    let name = match PlatformDialect.parse_key(&event.key) {
        Key::Config => "config".to_owned(),
        Key::Upstream(name) => format!("upstream {name}"),
        Key::Version => event.key.replace("op/version/base.", "version base/"),
        Key::Own(name) => name.to_string(),
        Key::Other => return,
    };
    if name.contains("junk") {
        return;
    }
    let told = event.entry.as_ref();
    match told {
        Some(_) => known.insert(name, event.revision.to_string()),
        // A version or a configuration stays in force though its entry goes.
        None if name.starts_with("version") || name == "config" => None,
        None => known.remove(&name),
    };
}

/// What a node knows.
fn known(view: &View) -> Known {
    let state = view.state();
    let mut known = Known::new();
    if let Some(config) = &state.config {
        known.insert("config".to_owned(), config.version.to_string());
    }
    for (name, upstream) in &state.upstreams {
        let sequence = upstream.held().sequence;
        known.insert(format!("upstream {name}"), sequence.to_string());
    }
    for (name, declared) in &state.versions {
        let version = declared.newest().map_or(0, |newest| newest.version);
        known.insert(format!("version {name}"), version.to_string());
    }
    for (name, peer) in &state.nodes {
        known.insert(format!("{NODE_PREFIX}{name}"), peer.start.to_string());
    }
    for (address, standing) in &state.claims {
        known.insert(
            format!("{CLAIM_PREFIX}{address}"),
            standing.revision.to_string(),
        );
    }
    known
}

fn claim_address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + u16::from(number)))
}

/// The key of an entry, and its value at a revision.
fn entry(kind: u8, number: u8, revision: u64) -> (String, String) {
    let number = number % NAMES;
    match kind % 9 {
        0 | 1 => {
            let value = format!(
                r#"{{"address":"127.0.0.1:7","start":{revision},"failure_domain":"hall-a"}}"#
            );
            (
                PlatformDialect.own_key(&format!("{NODE_PREFIX}n{number}")),
                value,
            )
        }
        2 => {
            let value = format!(r#"{{"node":"n{number}","start":{revision},"left":null}}"#);
            let name = format!("{CLAIM_PREFIX}{}", claim_address(number));
            (PlatformDialect.own_key(&name), value)
        }
        3 | 4 => {
            let value = SERVER.replace("\"sequence\":0", &format!("\"sequence\":{revision}"));
            (format!("servers/i-{number}"), value)
        }
        5 => {
            let value = format!(r#"{{"version":{revision},"routes":[],"services":[]}}"#);
            ("op/config".to_owned(), value)
        }
        6 => {
            let value = format!(r#"{{"model":"base","adapter":"a{number}","version":{revision}}}"#);
            (format!("op/version/base.a{number}"), value)
        }
        7 => {
            let keys = [
                "servers/junk".to_owned(),
                PlatformDialect.own_key("node/junk"),
                PlatformDialect.own_key("claim/junk"),
            ];
            (keys[usize::from(number)].clone(), "\u{0}no JSON".to_owned())
        }
        _ => (format!("other/{number}"), "of others".to_owned()),
    }
}

/// A node, and the last revision at which the oracle found it.
struct Node {
    name: &'static str,
    view: Arc<View>,
    hub: Arc<Hub>,
    metrics: Arc<Metrics>,
    at: usize,
}

fn start(
    name: &'static str,
    memory: &Arc<MemoryStore>,
    source: impl FnOnce(Arc<dyn Clock>) -> Box<dyn Source>,
) -> Node {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let metrics = Arc::new(Metrics::default());
    let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::clone(&metrics)));
    let follower = Follower::new(
        Arc::<MemoryStore>::clone(memory),
        Arc::<MemoryStore>::clone(memory),
        Arc::new(PlatformDialect),
        Arc::clone(&clock),
        Arc::clone(&view),
        Arc::new(SharedLimits::default()),
    )
    .with_fanout(Arc::clone(&hub), source(clock));
    tokio::spawn(follower.run());
    Node {
        name,
        view,
        hub,
        metrics,
        at: 0,
    }
}

impl Node {
    /// How often something was left aside for a reason.
    fn refused(&self, refusal: RejectReason) -> u64 {
        let refused = &self.metrics.updates_refused;
        refused.with_label_values(&[refusal.name()]).get()
    }

    /// Finds the revision at which the node is: never before the one at which it was.
    fn judge(&mut self, history: &[Known]) -> Result<(), String> {
        let known = known(&self.view);
        let found = history[self.at..].iter().position(|one| *one == known);
        let Some(found) = found else {
            let was = &history[self.at];
            return Err(format!(
                "{}: no revision from {} on has {known:?}; that one had {was:?}",
                self.name, self.at
            ));
        };
        self.at += found;
        let vanished = self.view.state().previous_claims.len();
        if vanished > usize::from(NAMES) {
            return Err(format!("{}: {vanished} claims have vanished", self.name));
        }
        Ok(())
    }
}

/// One sequence as it is played.
struct Play {
    memory: Arc<MemoryStore>,
    feed: Arc<Feed>,
    clock: Arc<dyn Clock>,
    nodes: [Node; 2],
    /// What a node should know at each revision.
    history: Vec<Known>,
}

impl Play {
    fn new() -> Self {
        let memory = Arc::new(MemoryStore::default());
        let feed = Arc::new(Feed::default());
        let source = Fed {
            feed: Arc::clone(&feed),
            avoided: false,
        };
        let first = start("first", &memory, |_| Box::new(source));
        let hub = Arc::clone(&first.hub);
        let second = start("second", &memory, |clock| {
            Box::new(InProcessSource::new(Some(hub), clock, Millis::ZERO))
        });
        Self {
            memory,
            feed,
            clock: Arc::new(Monotonic::start()),
            nodes: [first, second],
            history: vec![Known::new()],
        }
    }

    fn write(&mut self, kind: u8, number: u8, removed: bool) {
        self.memory.change(|state| {
            let (key, value) = entry(kind, number, state.revision + 1);
            if removed {
                state.remove(&key);
            } else {
                state.put(&key, value, None);
            }
            let events = state.changes_after("", self.history.len() as u64 - 1);
            for event in events {
                let mut known = self.history.last().expect("it has revision 0").clone();
                replay(&mut known, &event);
                self.history.push(known);
            }
        });
    }

    /// A true part of the history that begins and ends so many revisions before its end.
    fn part(&self, back: u8, until: u8, age: Millis) -> Update {
        let state = self.memory.state();
        let after = state.revision.saturating_sub(u64::from(back.max(until)));
        let revision = state.revision.saturating_sub(u64::from(until));
        let mut events = state.changes_after("", after);
        events.retain(|event| event.revision <= revision);
        Update {
            after,
            revision,
            as_of: Millis(self.clock.now().0.saturating_sub(age.0)),
            events,
        }
    }

    fn spoil(&self, kind: Spoilt, update: &mut Update) {
        let now = self.memory.state().revision;
        let first = update.events.first().cloned();
        let set = |event: Option<&mut Event>, revision: u64| {
            if let Some(event) = event {
                event.revision = revision;
                if let Some(entry) = &mut event.entry {
                    entry.revision = revision;
                }
            }
        };
        match kind {
            Spoilt::Backwards => std::mem::swap(&mut update.after, &mut update.revision),
            Spoilt::Nowhere => update.revision = 0,
            Spoilt::Endless => {
                update.revision = u64::MAX;
                update.events.clear();
            }
            Spoilt::Ahead => {
                update.after = now;
                update.revision = now + 5;
                update.events.clear();
            }
            Spoilt::AheadWithChanges => update.revision = now + 5,
            Spoilt::ChangeOfNothing => set(update.events.last_mut(), 0),
            Spoilt::ChangeOfTheEnd => set(update.events.first_mut(), u64::MAX),
            Spoilt::End => {
                set(update.events.first_mut(), u64::MAX);
                update.revision = u64::MAX;
            }
            Spoilt::Disordered if update.events.len() > 2 => update.events.swap(0, 1),
            Spoilt::Disordered => update.events.reverse(),
            Spoilt::Doubled => update.events.extend(first),
            Spoilt::Older => {
                let older = self.memory.state().events.first().cloned();
                update.events.splice(0..0, older);
            }
            Spoilt::Foreign => {
                let value = Bytes::from(vec![b'x'; 1 << 20]);
                let foreign = foreign(update.revision, "other/large", value);
                update.events.push(foreign);
            }
            Spoilt::Oversized => {
                let value = Bytes::from_static(&[b'x'; 100]);
                let many = (0..20_000)
                    .map(|number| format!("other/{number}"))
                    .map(|key| foreign(update.revision, &key, value.clone()));
                update.events.extend(many);
            }
        }
    }

    async fn steps(&mut self, steps: &[Step]) -> Result<(), String> {
        pass(Millis(10)).await;
        for (number, step) in steps.iter().enumerate() {
            match *step {
                Step::Write(kind, entry) => self.write(kind, entry, false),
                Step::Remove(kind, entry) => self.write(kind, entry, true),
                Step::Pass(span) => pass(Millis(span.into())).await,
                Step::Hear(back, until, age) => {
                    let ages = [0, 40, 900, 60_000, u64::MAX];
                    let age = Millis(ages[usize::from(age) % ages.len()]);
                    let update = self.part(back, until, age);
                    self.feed.give(Received::Update(update));
                }
                Step::Spoilt(kind, back, until) => {
                    let mut update = self.part(back, until, Millis::ZERO);
                    self.spoil(kind, &mut update);
                    self.feed.give(Received::Update(update));
                }
                Step::End => self.feed.give(Received::NoSource),
            }
            pass(Millis(1)).await;
            self.judge()
                .map_err(|told| format!("step {number}: {told}"))?;
        }
        Ok(())
    }

    async fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        self.steps(steps).await?;
        pass(SETTLED).await;
        self.judge()?;
        let last = self.history.last().expect("it has revision 0");
        for node in &self.nodes {
            let known = known(&node.view);
            if known != *last {
                let name = node.name;
                return Err(format!("{name} ends with {known:?} where {last:?} is"));
            }
        }
        Ok(())
    }

    fn judge(&mut self) -> Result<(), String> {
        let history = &self.history;
        self.nodes
            .iter_mut()
            .try_for_each(|node| node.judge(history))
    }
}

fn foreign(revision: u64, key: &str, value: Bytes) -> Event {
    let entry = Entry {
        key: key.to_owned(),
        value,
        revision,
        created: 0,
        lease: None,
    };
    Event {
        key: key.to_owned(),
        entry: Some(entry),
        revision,
    }
}

async fn pass(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap()
}

/// Plays a sequence; returns how often the first node left something aside for a reason.
fn play(steps: &[Step]) -> Result<impl Fn(RejectReason) -> u64 + use<>, String> {
    let (play, result) = runtime().block_on(async {
        let mut play = Play::new();
        let result = play.play(steps).await;
        (play, result)
    });
    result?;
    Ok(move |refusal| play.nodes[0].refused(refusal))
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "the generator hands its values over"
)]
fn keeps_to_the_history(steps: Vec<Step>) -> TestResult {
    // The generator's logger writes past the capture of tests.
    log::set_max_level(log::LevelFilter::Off);
    match play(&steps) {
        Ok(_) => TestResult::passed(),
        Err(told) => TestResult::error(format!("{told}\n{steps:?}")),
    }
}

#[test]
fn follow_fuzz_fixed_seeds() {
    for seed in 1..4 {
        let check: fn(Vec<Step>) -> TestResult = keeps_to_the_history;
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS, seed))
            .tests(STORIES)
            .quickcheck(check);
    }
}

/// Each kind of bad update is counted under its own reason, and true ones under none.
#[test]
fn refused_by_reason() {
    let spoilt = |kind, reason| (Step::Spoilt(kind, 1, 0), Some(reason));
    let cases = [
        (Step::Hear(1, 0, 0), None),
        (Step::Hear(0, 0, 0), Some(RejectReason::Gap)),
        (Step::Hear(3, 0, 0), None),
        (Step::Hear(2, 2, 0), Some(RejectReason::Stale)),
        spoilt(Spoilt::Backwards, RejectReason::Backwards),
        spoilt(Spoilt::Nowhere, RejectReason::Backwards),
        spoilt(Spoilt::Endless, RejectReason::Ahead),
        spoilt(Spoilt::Ahead, RejectReason::Gap),
        spoilt(Spoilt::AheadWithChanges, RejectReason::Ahead),
        spoilt(Spoilt::ChangeOfNothing, RejectReason::OutOfRange),
        spoilt(Spoilt::ChangeOfTheEnd, RejectReason::OutOfRange),
        spoilt(Spoilt::End, RejectReason::Ahead),
        spoilt(Spoilt::Older, RejectReason::OutOfRange),
        (
            Step::Spoilt(Spoilt::Disordered, 2, 0),
            Some(RejectReason::OutOfOrder),
        ),
        spoilt(Spoilt::Foreign, RejectReason::UnusedKey),
        spoilt(Spoilt::Oversized, RejectReason::UnusedKey),
    ];
    let all = [
        RejectReason::Stale,
        RejectReason::Gap,
        RejectReason::Backwards,
        RejectReason::Ahead,
        RejectReason::OutOfRange,
        RejectReason::OutOfOrder,
        RejectReason::Unreadable,
        RejectReason::UnusedKey,
    ];
    for (step, reason) in cases {
        let told = format!("{step:?}");
        let steps = [
            Step::Write(0, 0),
            Step::Write(0, 1),
            Step::Hear(2, 0, 0),
            Step::Write(0, 2),
            step,
        ];
        let refused = play(&steps).unwrap();
        for refusal in all {
            let counted = refused(refusal) > 0;
            assert_eq!(counted, Some(refusal) == reason, "{told}: {refusal:?}");
        }
    }
}

#[test]
fn refused_unreadable_and_unused() {
    for number in 0..NAMES {
        let refused = play(&[Step::Write(7, number), Step::Hear(1, 0, 0)]).unwrap();
        let claim = number == 2;
        assert_eq!(refused(RejectReason::Unreadable) > 0, !claim, "{number}");
        assert_eq!(refused(RejectReason::UnusedKey) > 0, claim, "{number}");
    }
    let refused = play(&[Step::Write(8, 0), Step::Hear(1, 0, 0)]).unwrap();
    assert_eq!(refused(RejectReason::UnusedKey), 1);
}

/// An update that begins behind what is known is refused, as changes between are missing.
#[test]
fn replay_gap() {
    let steps = [
        Step::Write(1, 1),
        Step::Write(1, 2),
        Step::Write(0, 3),
        Step::Hear(2, 0, 0),
    ];
    drop(play(&steps).unwrap());
}

/// A change outside of its update's revisions doesn't bring back an engine that left.
#[test]
fn replay_older_change() {
    let steps = [
        Step::Write(3, 1),
        Step::Remove(3, 1),
        Step::Hear(2, 0, 0),
        Step::Write(5, 0),
        Step::Spoilt(Spoilt::Older, 1, 0),
    ];
    drop(play(&steps).unwrap());
}

/// Changes out of order don't put a node's earlier record in place of the later one.
#[test]
fn replay_disordered() {
    let steps = [
        Step::Write(0, 1),
        Step::Write(0, 1),
        Step::Spoilt(Spoilt::Disordered, 2, 0),
    ];
    drop(play(&steps).unwrap());
}

/// An update heard twice doesn't make an engine that is still listed anew.
#[test]
fn replay_repeated() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut play = Play::new();
        let steps = [
            Step::Write(3, 1),
            Step::Remove(3, 1),
            Step::Write(3, 1),
            Step::Hear(3, 0, 0),
        ];
        play.steps(&steps).await.unwrap();
        let upstream = || play.nodes[0].view.state().upstreams["i-1"].clone();
        let before = upstream();
        let again = play.part(3, 0, Millis::ZERO);
        play.feed.give(Received::Update(again));
        pass(Millis(1)).await;
        assert!(Arc::ptr_eq(&before, &upstream()));
    });
}

/// A node told of the highest possible revision still hears of later changes.
#[test]
fn replay_endless() {
    let steps = [Step::Spoilt(Spoilt::Endless, 0, 0), Step::Write(5, 0)];
    drop(play(&steps).unwrap());
}

/// A node told of a revision that the service hasn't reached yet misses no change before it.
#[test]
fn replay_ahead() {
    let steps = [
        Step::Spoilt(Spoilt::Ahead, 0, 0),
        Step::Write(5, 0),
        Step::Pass(1),
    ];
    drop(play(&steps).unwrap());
}

/// A claim with the highest possible revision doesn't hide all later ones.
#[test]
fn replay_claim_of_the_end() {
    let steps = [
        Step::Write(2, 1),
        Step::Spoilt(Spoilt::ChangeOfTheEnd, 1, 0),
        Step::Write(2, 1),
    ];
    drop(play(&steps).unwrap());
    let steps = [
        Step::Write(2, 1),
        Step::Spoilt(Spoilt::End, 1, 0),
        Step::Write(2, 1),
    ];
    drop(play(&steps).unwrap());
}
