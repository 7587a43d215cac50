//! Stateful fuzzing of updates between nodes, with fixed seeds.
//!
//! A node receives updates, many of them invalid, and a second node subscribes to the first, so
//! that what is passed on is checked too. The oracle replays the service's own history.

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

/// Number of sequences for each seed.
const SEQUENCES_PER_SEED: u64 = 300;

/// Maximum number of steps in a sequence.
const MAX_STEPS: usize = 40;

/// Number of different keys for each kind of entry.
const KEYS_PER_KIND: u8 = 3;

/// Time after the last invalid update within which a node has to know everything.
///
/// It covers the age of updates at which a node polls the service itself, the pause between polls,
/// and the grace period for missing entries.
const SETTLE_TIME: Millis = Millis(6_000);

/// A step of a sequence.
#[derive(Debug, Clone)]
enum Step {
    /// An entry is written: its kind and number.
    Write(u8, u8),
    /// An entry is removed: its kind and number.
    Remove(u8, u8),
    /// Time passes, in milliseconds.
    Pass(u16),
    /// The node receives a part of the history: how far back it begins and ends, and its age.
    Receive(u8, u8, u8),
    /// The node receives an invalid update: its kind, and the part of the history it is made from.
    InvalidUpdate(InvalidUpdate, u8, u8),
    /// The connection to the other node ends.
    End,
}

/// The kind of an invalid update.
#[derive(Debug, Clone, Copy)]
enum InvalidUpdate {
    /// It ends before it begins.
    Backwards,
    /// It leads to revision 0.
    ToRevisionZero,
    /// It leads to the maximum revision, without changes.
    ToMaxRevision,
    /// It leads beyond the service's revision, without changes.
    Ahead,
    /// It leads beyond the service's revision, with real changes.
    AheadWithChanges,
    /// One change has revision 0.
    ChangeAtRevisionZero,
    /// One change has the maximum revision.
    ChangeAtMaxRevision,
    /// One change and the update itself have the maximum revision.
    AllAtMaxRevision,
    /// Changes are out of order.
    OutOfOrder,
    /// A change is contained twice.
    Duplicate,
    /// It contains an older change, perhaps of a node or an engine that has left.
    OlderChange,
    /// It contains a key that nodes don't use, with a value of 1 MiB.
    ForeignKey,
    /// It contains far more changes than are made at once.
    Oversized,
}

const INVALID_UPDATES: [InvalidUpdate; 13] = [
    InvalidUpdate::Backwards,
    InvalidUpdate::ToRevisionZero,
    InvalidUpdate::ToMaxRevision,
    InvalidUpdate::Ahead,
    InvalidUpdate::AheadWithChanges,
    InvalidUpdate::ChangeAtRevisionZero,
    InvalidUpdate::ChangeAtMaxRevision,
    InvalidUpdate::AllAtMaxRevision,
    InvalidUpdate::OutOfOrder,
    InvalidUpdate::Duplicate,
    InvalidUpdate::OlderChange,
    InvalidUpdate::ForeignKey,
    InvalidUpdate::Oversized,
];

/// Chooses a kind of entry, often one that is also removed.
fn kind(g: &mut Gen) -> u8 {
    *g.choose(&[0, 0, 0, 2, 2, 3, 3, 3, 5, 6, 7, 8])
        .expect("there are kinds")
}

/// Chooses the number of an entry, often the same one.
fn number(g: &mut Gen) -> u8 {
    *g.choose(&[0, 0, 0, 1, 2]).expect("there are numbers")
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Write(kind(g), number(g)),
            4..6 => Self::Remove(kind(g), number(g)),
            6..8 => Self::Pass(u16::arbitrary(g) % 900),
            8..12 => Self::Receive(u8::arbitrary(g) % 8, u8::arbitrary(g) % 4, u8::arbitrary(g)),
            12..15 => {
                let kind = *g.choose(&INVALID_UPDATES).expect("there are kinds");
                Self::InvalidUpdate(kind, u8::arbitrary(g) % 8, u8::arbitrary(g) % 4)
            }
            _ => Self::End,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        quickcheck::empty_shrinker()
    }
}

/// Updates that the test sends as another node.
#[derive(Debug, Default)]
struct UpdateQueue {
    updates: Mutex<VecDeque<Received>>,
    added: Notify,
}

impl UpdateQueue {
    fn push(&self, received: Received) {
        self.updates.lock().unwrap().push_back(received);
        self.added.notify_one();
    }
}

/// Receives the updates of the queue.
#[derive(Debug)]
struct QueueSource {
    queue: Arc<UpdateQueue>,
    avoided: bool,
}

#[async_trait]
impl Source for QueueSource {
    fn may_have_subscribers(&self) -> bool {
        true
    }

    async fn next(&mut self, _: u64, within: Millis) -> Received {
        if std::mem::take(&mut self.avoided) {
            return Received::NoSource;
        }
        let next = async {
            loop {
                let received = self.queue.updates.lock().unwrap().pop_front();
                if let Some(received) = received {
                    return received;
                }
                self.queue.added.notified().await;
            }
        };
        let received = tokio::time::timeout(within.duration(), next).await;
        received.unwrap_or(Received::Timeout)
    }

    fn avoid(&mut self) {
        self.avoided = true;
    }
}

/// The contents of a view: each entry's name, and its revision or version.
type ViewContents = BTreeMap<String, String>;

/// Applies a change of the service to the expected contents.
///
/// Invalid values are written under separate keys, which are ignored.
fn replay(contents: &mut ViewContents, event: &Event) {
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
    let entry = event.entry.as_ref();
    match entry {
        Some(_) => contents.insert(name, event.revision.to_string()),
        // A version or a configuration stays in force when its entry is removed.
        None if name.starts_with("version") || name == "config" => None,
        None => contents.remove(&name),
    };
}

/// Returns the contents of a node's view.
fn contents(view: &View) -> ViewContents {
    let state = view.state();
    let mut contents = ViewContents::new();
    if let Some(config) = &state.config {
        contents.insert("config".to_owned(), config.version.to_string());
    }
    for (name, upstream) in &state.upstreams {
        let sequence = upstream.held().sequence;
        contents.insert(format!("upstream {name}"), sequence.to_string());
    }
    for (name, declared) in &state.versions {
        let version = declared.newest().map_or(0, |newest| newest.version);
        contents.insert(format!("version {name}"), version.to_string());
    }
    for (name, peer) in &state.nodes {
        contents.insert(format!("{NODE_PREFIX}{name}"), peer.start.to_string());
    }
    for (address, standing) in &state.claims {
        contents.insert(
            format!("{CLAIM_PREFIX}{address}"),
            standing.revision.to_string(),
        );
    }
    contents
}

fn claim_address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + u16::from(number)))
}

/// Returns the key of an entry, and its value at a revision.
fn entry(kind: u8, number: u8, revision: u64) -> (String, String) {
    let number = number % KEYS_PER_KIND;
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

/// A node, and the last revision that its view was found to match.
struct Node {
    name: &'static str,
    view: Arc<View>,
    hub: Arc<Hub>,
    metrics: Arc<Metrics>,
    position: usize,
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
        position: 0,
    }
}

impl Node {
    /// Returns how often an update or change was rejected for a reason.
    fn rejected(&self, reason: RejectReason) -> u64 {
        let counter = &self.metrics.updates_refused;
        counter.with_label_values(&[reason.name()]).get()
    }

    /// Checks that the view matches a revision that isn't before the last one.
    fn check(&mut self, history: &[ViewContents]) -> Result<(), String> {
        let contents = contents(&self.view);
        let found = history[self.position..]
            .iter()
            .position(|one| *one == contents);
        let Some(found) = found else {
            let last = &history[self.position];
            return Err(format!(
                "{}: no revision from {} on has {contents:?}; that one had {last:?}",
                self.name, self.position
            ));
        };
        self.position += found;
        let previous_claims = self.view.state().previous_claims.len();
        if previous_claims > usize::from(KEYS_PER_KIND) {
            return Err(format!("{}: {previous_claims} previous claims", self.name));
        }
        Ok(())
    }
}

/// A simulated deployment in which a sequence runs.
struct Simulation {
    memory: Arc<MemoryStore>,
    queue: Arc<UpdateQueue>,
    clock: Arc<dyn Clock>,
    nodes: [Node; 2],
    /// The expected contents of a view at each revision.
    history: Vec<ViewContents>,
}

impl Simulation {
    fn new() -> Self {
        let memory = Arc::new(MemoryStore::default());
        let queue = Arc::new(UpdateQueue::default());
        let source = QueueSource {
            queue: Arc::clone(&queue),
            avoided: false,
        };
        let first = start("first", &memory, |_| Box::new(source));
        let hub = Arc::clone(&first.hub);
        let second = start("second", &memory, |clock| {
            Box::new(InProcessSource::new(Some(hub), clock, Millis::ZERO))
        });
        Self {
            memory,
            queue,
            clock: Arc::new(Monotonic::start()),
            nodes: [first, second],
            history: vec![ViewContents::new()],
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
                let mut contents = self.history.last().expect("it has revision 0").clone();
                replay(&mut contents, &event);
                self.history.push(contents);
            }
        });
    }

    /// Returns the part of the history that begins and ends so many revisions before its end.
    fn history_part(&self, back: u8, until: u8, age: Millis) -> Update {
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

    fn corrupt(&self, kind: InvalidUpdate, update: &mut Update) {
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
            InvalidUpdate::Backwards => std::mem::swap(&mut update.after, &mut update.revision),
            InvalidUpdate::ToRevisionZero => update.revision = 0,
            InvalidUpdate::ToMaxRevision => {
                update.revision = u64::MAX;
                update.events.clear();
            }
            InvalidUpdate::Ahead => {
                update.after = now;
                update.revision = now + 5;
                update.events.clear();
            }
            InvalidUpdate::AheadWithChanges => update.revision = now + 5,
            InvalidUpdate::ChangeAtRevisionZero => set(update.events.last_mut(), 0),
            InvalidUpdate::ChangeAtMaxRevision => set(update.events.first_mut(), u64::MAX),
            InvalidUpdate::AllAtMaxRevision => {
                set(update.events.first_mut(), u64::MAX);
                update.revision = u64::MAX;
            }
            InvalidUpdate::OutOfOrder if update.events.len() > 2 => update.events.swap(0, 1),
            InvalidUpdate::OutOfOrder => update.events.reverse(),
            InvalidUpdate::Duplicate => update.events.extend(first),
            InvalidUpdate::OlderChange => {
                let older = self.memory.state().events.first().cloned();
                update.events.splice(0..0, older);
            }
            InvalidUpdate::ForeignKey => {
                let value = Bytes::from(vec![b'x'; 1 << 20]);
                let foreign_event = foreign_event(update.revision, "other/large", value);
                update.events.push(foreign_event);
            }
            InvalidUpdate::Oversized => {
                let value = Bytes::from_static(&[b'x'; 100]);
                let many = (0..20_000)
                    .map(|number| format!("other/{number}"))
                    .map(|key| foreign_event(update.revision, &key, value.clone()));
                update.events.extend(many);
            }
        }
    }

    async fn steps(&mut self, steps: &[Step]) -> Result<(), String> {
        sleep(Millis(10)).await;
        for (number, step) in steps.iter().enumerate() {
            match *step {
                Step::Write(kind, entry) => self.write(kind, entry, false),
                Step::Remove(kind, entry) => self.write(kind, entry, true),
                Step::Pass(span) => sleep(Millis(span.into())).await,
                Step::Receive(back, until, age) => {
                    let ages = [0, 40, 900, 60_000, u64::MAX];
                    let age = Millis(ages[usize::from(age) % ages.len()]);
                    let update = self.history_part(back, until, age);
                    self.queue.push(Received::Update(update));
                }
                Step::InvalidUpdate(kind, back, until) => {
                    let mut update = self.history_part(back, until, Millis::ZERO);
                    self.corrupt(kind, &mut update);
                    self.queue.push(Received::Update(update));
                }
                Step::End => self.queue.push(Received::NoSource),
            }
            sleep(Millis(1)).await;
            self.check()
                .map_err(|error| format!("step {number}: {error}"))?;
        }
        Ok(())
    }

    async fn run(&mut self, steps: &[Step]) -> Result<(), String> {
        self.steps(steps).await?;
        sleep(SETTLE_TIME).await;
        self.check()?;
        let last = self.history.last().expect("it has revision 0");
        for node in &self.nodes {
            let contents = contents(&node.view);
            if contents != *last {
                let name = node.name;
                return Err(format!("{name} ends with {contents:?} instead of {last:?}"));
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        let history = &self.history;
        self.nodes
            .iter_mut()
            .try_for_each(|node| node.check(history))
    }
}

fn foreign_event(revision: u64, key: &str, value: Bytes) -> Event {
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

async fn sleep(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap()
}

/// Runs a sequence; returns a function that counts the first node's rejections by reason.
fn run(steps: &[Step]) -> Result<impl Fn(RejectReason) -> u64 + use<>, String> {
    let (simulation, result) = runtime().block_on(async {
        let mut simulation = Simulation::new();
        let result = simulation.run(steps).await;
        (simulation, result)
    });
    result?;
    Ok(move |reason| simulation.nodes[0].rejected(reason))
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "the generator hands its values over"
)]
fn views_follow_the_history(steps: Vec<Step>) -> TestResult {
    // quickcheck's logger bypasses the capturing of test output.
    log::set_max_level(log::LevelFilter::Off);
    match run(&steps) {
        Ok(_) => TestResult::passed(),
        Err(error) => TestResult::error(format!("{error}\n{steps:?}")),
    }
}

#[test]
fn follow_fuzz_fixed_seeds() {
    for seed in 1..4 {
        let check: fn(Vec<Step>) -> TestResult = views_follow_the_history;
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(MAX_STEPS, seed))
            .tests(SEQUENCES_PER_SEED)
            .quickcheck(check);
    }
}

/// Each kind of invalid update is counted under its own reason, and valid ones under none.
#[test]
fn rejected_by_reason() {
    let invalid = |kind, reason| (Step::InvalidUpdate(kind, 1, 0), Some(reason));
    let cases = [
        (Step::Receive(1, 0, 0), None),
        (Step::Receive(0, 0, 0), Some(RejectReason::Gap)),
        (Step::Receive(3, 0, 0), None),
        (Step::Receive(2, 2, 0), Some(RejectReason::Stale)),
        invalid(InvalidUpdate::Backwards, RejectReason::Backwards),
        invalid(InvalidUpdate::ToRevisionZero, RejectReason::Backwards),
        invalid(InvalidUpdate::ToMaxRevision, RejectReason::Ahead),
        invalid(InvalidUpdate::Ahead, RejectReason::Gap),
        invalid(InvalidUpdate::AheadWithChanges, RejectReason::Ahead),
        invalid(
            InvalidUpdate::ChangeAtRevisionZero,
            RejectReason::OutOfRange,
        ),
        invalid(InvalidUpdate::ChangeAtMaxRevision, RejectReason::OutOfRange),
        invalid(InvalidUpdate::AllAtMaxRevision, RejectReason::Ahead),
        invalid(InvalidUpdate::OlderChange, RejectReason::OutOfRange),
        (
            Step::InvalidUpdate(InvalidUpdate::OutOfOrder, 2, 0),
            Some(RejectReason::OutOfOrder),
        ),
        invalid(InvalidUpdate::ForeignKey, RejectReason::UnusedKey),
        invalid(InvalidUpdate::Oversized, RejectReason::UnusedKey),
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
        let description = format!("{step:?}");
        let steps = [
            Step::Write(0, 0),
            Step::Write(0, 1),
            Step::Receive(2, 0, 0),
            Step::Write(0, 2),
            step,
        ];
        let rejected = run(&steps).unwrap();
        for rejection in all {
            let counted = rejected(rejection) > 0;
            assert_eq!(
                counted,
                Some(rejection) == reason,
                "{description}: {rejection:?}"
            );
        }
    }
}

#[test]
fn rejected_unreadable_and_unused() {
    for number in 0..KEYS_PER_KIND {
        let rejected = run(&[Step::Write(7, number), Step::Receive(1, 0, 0)]).unwrap();
        let claim = number == 2;
        assert_eq!(rejected(RejectReason::Unreadable) > 0, !claim, "{number}");
        assert_eq!(rejected(RejectReason::UnusedKey) > 0, claim, "{number}");
    }
    let rejected = run(&[Step::Write(8, 0), Step::Receive(1, 0, 0)]).unwrap();
    assert_eq!(rejected(RejectReason::UnusedKey), 1);
}

/// An update that begins after the known revision is rejected, since changes are missing.
#[test]
fn replay_gap() {
    let steps = [
        Step::Write(1, 1),
        Step::Write(1, 2),
        Step::Write(0, 3),
        Step::Receive(2, 0, 0),
    ];
    drop(run(&steps).unwrap());
}

/// A change outside its update's revisions doesn't bring back an engine that has left.
#[test]
fn replay_older_change() {
    let steps = [
        Step::Write(3, 1),
        Step::Remove(3, 1),
        Step::Receive(2, 0, 0),
        Step::Write(5, 0),
        Step::InvalidUpdate(InvalidUpdate::OlderChange, 1, 0),
    ];
    drop(run(&steps).unwrap());
}

/// Changes that are out of order don't replace a node's record by an older one.
#[test]
fn replay_out_of_order() {
    let steps = [
        Step::Write(0, 1),
        Step::Write(0, 1),
        Step::InvalidUpdate(InvalidUpdate::OutOfOrder, 2, 0),
    ];
    drop(run(&steps).unwrap());
}

/// An update received twice doesn't recreate an engine that is still listed.
#[test]
fn replay_repeated() {
    let runtime = runtime();
    runtime.block_on(async {
        let mut simulation = Simulation::new();
        let steps = [
            Step::Write(3, 1),
            Step::Remove(3, 1),
            Step::Write(3, 1),
            Step::Receive(3, 0, 0),
        ];
        simulation.steps(&steps).await.unwrap();
        let upstream = || simulation.nodes[0].view.state().upstreams["i-1"].clone();
        let before = upstream();
        let again = simulation.history_part(3, 0, Millis::ZERO);
        simulation.queue.push(Received::Update(again));
        sleep(Millis(1)).await;
        assert!(Arc::ptr_eq(&before, &upstream()));
    });
}

/// An update that leads to the maximum revision doesn't hide later changes.
#[test]
fn replay_max_revision() {
    let steps = [
        Step::InvalidUpdate(InvalidUpdate::ToMaxRevision, 0, 0),
        Step::Write(5, 0),
    ];
    drop(run(&steps).unwrap());
}

/// An update beyond the service's revision doesn't hide changes up to that revision.
#[test]
fn replay_ahead() {
    let steps = [
        Step::InvalidUpdate(InvalidUpdate::Ahead, 0, 0),
        Step::Write(5, 0),
        Step::Pass(1),
    ];
    drop(run(&steps).unwrap());
}

/// A claim at the maximum revision doesn't hide all later ones.
#[test]
fn replay_claim_at_max_revision() {
    let steps = [
        Step::Write(2, 1),
        Step::InvalidUpdate(InvalidUpdate::ChangeAtMaxRevision, 1, 0),
        Step::Write(2, 1),
    ];
    drop(run(&steps).unwrap());
    let steps = [
        Step::Write(2, 1),
        Step::InvalidUpdate(InvalidUpdate::AllAtMaxRevision, 1, 0),
        Step::Write(2, 1),
    ];
    drop(run(&steps).unwrap());
}
