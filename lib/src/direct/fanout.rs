//! Changes of the key-value service, passed on within a failure domain.
//!
//! Each call for changes is priced and counted against the service's rates, which grow more
//! slowly than the fleet: 195 nodes that ask for themselves made 120 calls a second. So a few
//! nodes of each failure domain ask, and the others hear from them. Nobody is elected: every
//! node ranks the listed nodes of its domain by the same hash, and one that hears nothing for
//! too long asks the service itself. An update says how old it is, so that a node which passes
//! on old news, or is itself cut off, is noticed as well as a silent one.
//! See docs/design/0009-changes-within-a-domain.md.

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use futures::Stream;
use futures::stream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, broadcast};
use tonic::{Code, Status, Streaming};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ask::Desks;
use super::vet::Refusal;
use super::view::State;
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Entry, Event};
use crate::schema::direct::{Change, FollowRequest, Update as Sent};

/// Seed of the order of nodes in a failure domain. All nodes must have the same.
const ORDER_SEED: u64 = 0x666f_6c6c_6f77;

/// Nodes of a failure domain that ask the service: the loss of one leaves another.
const LEADERS: usize = 2;

/// Nodes that listen to one node.
///
/// Updates come in bursts of some ten kilobytes. With nineteen listeners a node on a slow link
/// held up its own callers' streams by more than the 200 ms that they bear; three are 30 ms at
/// 20 Mbit/s, and forty nodes are three steps deep.
const LISTENERS: usize = 3;

/// Nodes of a failure domain from which on changes are passed on.
///
/// Below, the calls that are saved are worth less than hearing of a change at first hand.
const FEWEST: usize = 8;

/// Updates that are kept for nodes that begin to listen: some ten seconds of changes.
const KEPT: usize = 8;

/// Bytes of an update from which on it isn't passed on.
///
/// After an outage of the service all engines' entries come in one answer. Three listeners take
/// 0.7 s to get this much over 10 Mbit/s; more is too old to rely on when it comes. It bounds what
/// [`BEHIND`] and [`KEPT`] hold too: answers may have twenty times as much.
const MOST_BYTES: usize = 300_000;

/// Bytes of an update that a listener gets in a millisecond over the slowest link.
///
/// Half of 10 Mbit/s is callers' answers, and three listeners share the rest. An update tells its
/// age when it is sent, and nothing tells how long it is on its way then. Counted as fresh when it
/// came, one with a dozen configurations let listeners rely on it for 0.9 s too long, and the next
/// configuration came into force too late there.
const BYTES_A_MS: usize = 200;

/// Nodes that may listen at once: those of this node, and as many of one that is gone.
///
/// All of a failure domain turn to the first nodes when those between are gone. Whoever is
/// refused asks the service, which costs less than callers' streams that are late here.
const MOST_LISTENERS: usize = 2 * LISTENERS;

/// Updates that a slow listener may be behind, before it is told to ask for itself.
const BEHIND: usize = 16;

/// The longest that beginning to listen may take.
const CONNECT: Millis = Millis(400);

/// How long a node that passed nothing on in time isn't listened to.
const AVOIDED: Millis = Millis(5_000);

/// What listening ends with where a message is larger than a node reads.
const TOO_LARGE: Code = Code::OutOfRange;

/// All changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The revision behind which the changes begin.
    pub after: u64,
    /// The revision that they lead to: that of the last one, or the first where there is none.
    pub revision: u64,
    /// When the service was known to be at that revision, by this node's clock.
    pub as_of: Millis,
    /// The changes in their order.
    pub events: Vec<Event>,
}

/// Why an update isn't passed on to a node that listens, or would.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withheld {
    /// This node hears of nothing itself.
    Lost,
    /// So many listen already.
    Full,
    /// It is too large.
    Oversized,
    /// The listener was too slow to get all before it.
    Missed,
    /// What is before it isn't to be had here.
    Gap,
}

impl Withheld {
    const fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Full => "full",
            Self::Oversized => "oversized",
            Self::Missed => "missed",
            Self::Gap => "gap",
        }
    }

    fn status(self) -> Status {
        match self {
            Self::Lost => Status::unavailable("the service does not answer this node"),
            Self::Full => Status::resource_exhausted("so many nodes listen already"),
            Self::Oversized => Status::aborted("an update is too large"),
            Self::Missed => Status::aborted("updates were missed"),
            Self::Gap => Status::aborted("there is a gap behind the revision"),
        }
    }

    fn count(self, metrics: &Metrics) {
        let withheld = &metrics.updates_withheld;
        withheld.with_label_values(&[self.name()]).inc();
    }
}

/// Where this node's updates are to be had.
#[derive(Debug)]
pub struct Hub {
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    recent: Mutex<VecDeque<Arc<Update>>>,
    sender: broadcast::Sender<Arc<Update>>,
    /// Places of nodes that listen.
    places: Arc<Semaphore>,
    /// Whether this node asked and heard nothing.
    lost: AtomicBool,
}

impl Hub {
    /// Makes a hub without updates.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            recent: Mutex::default(),
            sender: broadcast::Sender::new(BEHIND),
            places: Arc::new(Semaphore::new(MOST_LISTENERS)),
            lost: AtomicBool::new(false),
        }
    }

    /// Counts whom this node heard of changes from.
    pub fn count(&self, source: &'static str) {
        self.metrics.updates.with_label_values(&[source]).inc();
    }

    /// Counts what was left aside.
    pub fn refused(&self, refusal: Refusal) {
        let refused = &self.metrics.updates_refused;
        refused.with_label_values(&[refusal.name()]).inc();
    }

    /// Notes that this node asked and heard nothing: until it does, others have to ask too.
    pub fn lose(&self) {
        self.lost.store(true, Ordering::Relaxed);
    }

    /// Passes an update on to whoever listens.
    ///
    /// Of one that is too large only its end is passed on, which every listener finds to lie
    /// behind a gap.
    pub fn publish(&self, mut update: Update) {
        self.lost.store(false, Ordering::Relaxed);
        if size(&update) > MOST_BYTES {
            Withheld::Oversized.count(&self.metrics);
            update.after = update.revision;
            update.events.clear();
        }
        let update = Arc::new(update);
        let mut recent = self.recent();
        recent.push_back(Arc::clone(&update));
        if recent.len() > KEPT {
            recent.pop_front();
        }
        // Nobody may listen.
        let _ = self.sender.send(update);
    }

    /// Returns all updates behind a revision as they come; it ends where one is missing.
    ///
    /// # Errors
    ///
    /// When this node can't pass anything on now: it hears of nothing itself, or so many listen.
    pub fn listen(
        &self,
        after: u64,
    ) -> Result<impl Stream<Item = Result<Sent, Status>> + Send + use<>, Status> {
        let place = self.place().map_err(|withheld| {
            withheld.count(&self.metrics);
            withheld.status()
        })?;
        let (backlog, receiver) = {
            let recent = self.recent();
            let newer = recent.iter().filter(|update| update.revision > after);
            (newer.cloned().collect(), self.sender.subscribe())
        };
        let listener = Listener {
            clock: Arc::clone(&self.clock),
            backlog,
            receiver,
            after,
            metrics: Arc::clone(&self.metrics),
            _place: place,
        };
        Ok(stream::unfold(Some(listener), |listener| async {
            let mut listener = listener?;
            match listener.next().await {
                Ok(sent) => Some((Ok(sent), Some(listener))),
                Err(withheld) => {
                    withheld.count(&listener.metrics);
                    Some((Err(withheld.status()), None))
                }
            }
        }))
    }

    fn place(&self) -> Result<OwnedSemaphorePermit, Withheld> {
        if self.lost.load(Ordering::Relaxed) {
            return Err(Withheld::Lost);
        }
        let place = Arc::clone(&self.places).try_acquire_owned();
        place.map_err(|_| Withheld::Full)
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<Arc<Update>>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One node that listens.
struct Listener {
    clock: Arc<dyn Clock>,
    backlog: VecDeque<Arc<Update>>,
    receiver: broadcast::Receiver<Arc<Update>>,
    after: u64,
    metrics: Arc<Metrics>,
    _place: OwnedSemaphorePermit,
}

impl Listener {
    async fn next(&mut self) -> Result<Sent, Withheld> {
        let update = match self.backlog.pop_front() {
            Some(update) => update,
            None => self.receiver.recv().await.map_err(|_| Withheld::Missed)?,
        };
        if update.after > self.after {
            return Err(Withheld::Gap);
        }
        let age = self.clock.now().since(update.as_of) + on_its_way(&update);
        let sent = encode(&update, self.after, age);
        self.after = self.after.max(update.revision);
        Ok(sent)
    }
}

fn encode(update: &Update, after: u64, age: Millis) -> Sent {
    let newer = update.events.iter().filter(|event| event.revision > after);
    Sent {
        // One that knows more is told so, and asks the service: this node is behind, or the
        // other one believes in a revision that the service never had.
        after: after.min(update.revision),
        revision: update.revision,
        age_ms: age.0,
        changes: newer.map(encode_event).collect(),
    }
}

/// The longest that an update is on its way to a listener.
fn on_its_way(update: &Update) -> Millis {
    Millis(u64::try_from(size(update) / BYTES_A_MS).unwrap_or(u64::MAX))
}

/// Bytes that an update takes on its way, about.
fn size(update: &Update) -> usize {
    let sizes = update.events.iter().map(|event| {
        let value = event.entry.as_ref().map_or(0, |entry| entry.value.len());
        event.key.len() + value
    });
    sizes.sum()
}

fn encode_event(event: &Event) -> Change {
    Change {
        key: event.key.clone(),
        removed: event.entry.is_none(),
        value: event
            .entry
            .as_ref()
            .map(|entry| entry.value.to_vec())
            .unwrap_or_default(),
        revision: event.revision,
    }
}

fn decode(sent: Sent, now: Millis) -> Update {
    Update {
        after: sent.after,
        revision: sent.revision,
        as_of: Millis(now.0.saturating_sub(sent.age_ms)),
        events: sent.changes.into_iter().map(decode_event).collect(),
    }
}

fn decode_event(change: Change) -> Event {
    let entry = (!change.removed).then(|| Entry {
        key: change.key.clone(),
        value: change.value.into(),
        revision: change.revision,
        lease: None,
    });
    Event {
        key: change.key,
        entry,
        revision: change.revision,
    }
}

/// What listening led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// Changes.
    Update(Update),
    /// Nothing yet.
    Nothing,
    /// There is nobody to listen to: ask the service.
    Nobody,
}

/// Whoever passes changes on to this node.
#[async_trait]
pub trait Source: fmt::Debug + Send {
    /// Whether others may listen to this node, so that its own calls have to be quick.
    fn is_shared(&self) -> bool;

    /// Waits up to `within` for changes behind a revision; what comes may be anything.
    async fn next(&mut self, after: u64, within: Millis) -> Heard;

    /// Listens to somebody else for a while: what came was too old or bad, or nothing came.
    fn avoid(&mut self);
}

/// Listens to a node of this node's failure domain.
#[derive(Debug)]
pub struct Subscription {
    desks: Arc<Desks>,
    failure_domain: Name,
    stream: Option<(Name, Streaming<Sent>)>,
    avoided: Vec<(Name, Millis)>,
}

impl Subscription {
    /// Makes a subscription to nobody yet.
    #[must_use]
    pub fn new(desks: Arc<Desks>, failure_domain: Name) -> Self {
        Self {
            desks,
            failure_domain,
            stream: None,
            avoided: Vec::new(),
        }
    }

    /// Returns whom this node listens to at this moment.
    #[must_use]
    pub fn listens_to(&self) -> Option<Name> {
        let (name, _) = self.stream.as_ref()?;
        Some(Name::clone(name))
    }

    async fn begin(&mut self, after: u64) -> Option<()> {
        let now = self.desks.clock.now();
        self.avoided.retain(|(_, until)| *until > now);
        let (leader, address) = {
            let state = self.desks.view.state();
            let nodes = ranked(&state, &self.failure_domain);
            let at = nodes.iter().position(|name| *name == self.desks.node)?;
            let leader = choose(&nodes, at, |name| {
                self.avoided.iter().any(|(avoided, _)| avoided == name)
            })?;
            (Name::clone(leader), state.nodes.get(leader)?.address)
        };
        let mut client = self.desks.client(address);
        let asked = client.follow(FollowRequest { after });
        match tokio::time::timeout(CONNECT.duration(), asked).await {
            Ok(Ok(stream)) => {
                log::debug!("follow: listens to {leader}");
                self.stream = Some((leader, stream.into_inner()));
                Some(())
            }
            Ok(Err(status)) => {
                log::info!("follow: {leader} passes nothing on: {}", status.message());
                self.avoided.push((leader, now + AVOIDED));
                None
            }
            Err(_) => {
                log::info!("follow: {leader} does not answer within {CONNECT}");
                self.avoided.push((leader, now + AVOIDED));
                None
            }
        }
    }
}

#[async_trait]
impl Source for Subscription {
    fn is_shared(&self) -> bool {
        let state = self.desks.view.state();
        !ranked(&state, &self.failure_domain).is_empty()
    }

    async fn next(&mut self, after: u64, within: Millis) -> Heard {
        if self.stream.is_none() && self.begin(after).await.is_none() {
            return Heard::Nobody;
        }
        let Some((leader, stream)) = &mut self.stream else {
            return Heard::Nobody;
        };
        let message = tokio::time::timeout(within.duration(), stream.message()).await;
        let Ok(message) = message else {
            return Heard::Nothing;
        };
        match message {
            Ok(Some(sent)) => Heard::Update(decode(sent, self.desks.clock.now())),
            Ok(None) => {
                log::info!("follow: {leader} passes nothing on any more");
                self.stream = None;
                Heard::Nobody
            }
            Err(status) => {
                log::info!("follow: {leader} passes nothing on any more: {status}");
                if status.code() == TOO_LARGE {
                    self.desks.hub.refused(Refusal::Oversized);
                    self.avoid();
                }
                self.stream = None;
                Heard::Nobody
            }
        }
    }

    fn avoid(&mut self) {
        if let Some((leader, _)) = self.stream.take() {
            log::info!("follow: nothing new enough from {leader}");
            let until = self.desks.clock.now() + AVOIDED;
            self.avoided.push((leader, until));
        }
    }
}

/// Returns the nodes of a failure domain in the order that all share; none where each asks
/// the service for itself.
fn ranked(state: &State, failure_domain: &str) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = state
        .nodes
        .iter()
        .filter(|(_, peer)| &*peer.failure_domain == failure_domain)
        .map(|(name, _)| (xxh3_64_with_seed(name.as_bytes(), ORDER_SEED), name))
        .collect();
    if ranked.len() < FEWEST {
        return Vec::new();
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, name)| Name::clone(name))
        .collect()
}

/// Chooses whom the node at a rank listens to; nobody for the first ones, which ask the service.
///
/// The nodes form a tree in the order of their ranks. Where the one above is avoided, the one
/// above that is next, and at last the other leaders.
fn choose(nodes: &[Name], at: usize, avoided: impl Fn(&Name) -> bool) -> Option<&Name> {
    if at < LEADERS {
        return None;
    }
    let above = std::iter::successors(Some(above(at)), |&at| (at >= LEADERS).then(|| above(at)));
    let path = above.chain(0..LEADERS);
    path.filter_map(|at| nodes.get(at))
        .find(|name| !avoided(name))
}

fn above(at: usize) -> usize {
    (at - LEADERS) / LISTENERS
}
