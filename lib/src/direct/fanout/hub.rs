//! Passing changes on to the nodes that listen to this one.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::Stream;
use futures::stream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, broadcast};
use tonic::Status;

use super::Update;
use super::tree::LISTENERS;
use super::wire::{encode, size};
use crate::clock::{Clock, Millis};
use crate::direct::validate::RejectReason;
use crate::metrics::Metrics;
use crate::schema::direct::Update as Sent;

/// Updates that are kept for nodes that begin to listen: some ten seconds of changes.
const KEPT: usize = 8;

/// Bytes of an update from which on it isn't passed on.
///
/// After an outage of the service all engines' entries come in one answer, which is too old to
/// rely on by the time that listeners have it over a slow link. It bounds what [`BEHIND`] and
/// [`KEPT`] hold too: answers may have twenty times as much.
const MOST_BYTES: usize = 300_000;

/// Bytes of an update that a listener gets in a millisecond over the slowest link.
///
/// Half of 10 Mbit/s is callers' answers, and three listeners share the rest. An update tells its
/// age when it is sent, and nothing tells how long it is on its way then. Counted as fresh when it
/// comes, a large one is relied on for too long, and the next configuration comes into force too
/// late.
const BYTES_A_MS: usize = 200;

/// Nodes that may listen at once: those of this node, and as many of one that is gone.
///
/// All of a failure domain turn to the first nodes when those between are gone. Whoever is
/// refused asks the service, which costs less than callers' streams that are late here.
const MOST_LISTENERS: usize = 2 * LISTENERS;

/// Updates that a slow listener may be behind, before it is told to ask for itself.
const BEHIND: usize = 16;

/// Why an update isn't passed on to a node that listens, or would.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unsent {
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

impl Unsent {
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
        let unsent = &metrics.updates_unsent;
        unsent.with_label_values(&[self.name()]).inc();
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
    pub fn count_update(&self, source: &'static str) {
        self.metrics.updates.with_label_values(&[source]).inc();
    }

    /// Counts what was left aside.
    pub fn count_rejected(&self, refusal: RejectReason) {
        let refused = &self.metrics.updates_refused;
        refused.with_label_values(&[refusal.name()]).inc();
    }

    /// Notes that this node asked and heard nothing: until it does, others have to ask too.
    pub fn mark_disconnected(&self) {
        self.lost.store(true, Ordering::Relaxed);
    }

    /// Passes an update on to whoever listens.
    ///
    /// Of one that is too large only its end is passed on, which every listener finds to lie
    /// behind a gap.
    pub fn publish(&self, mut update: Update) {
        self.lost.store(false, Ordering::Relaxed);
        if size(&update) > MOST_BYTES {
            Unsent::Oversized.count(&self.metrics);
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
    pub fn subscribe(
        &self,
        after: u64,
    ) -> Result<impl Stream<Item = Result<Sent, Status>> + Send + use<>, Status> {
        let place = self.place().map_err(|unsent| {
            unsent.count(&self.metrics);
            unsent.status()
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
            since: self.clock.now(),
            metrics: Arc::clone(&self.metrics),
            _place: place,
        };
        Ok(stream::unfold(Some(listener), |listener| async {
            let mut listener = listener?;
            match listener.next().await {
                Ok(sent) => Some((Ok(sent), Some(listener))),
                Err(unsent) => {
                    unsent.count(&listener.metrics);
                    Some((Err(unsent.status()), None))
                }
            }
        }))
    }

    fn place(&self) -> Result<OwnedSemaphorePermit, Unsent> {
        if self.lost.load(Ordering::Relaxed) {
            return Err(Unsent::Lost);
        }
        let place = Arc::clone(&self.places).try_acquire_owned();
        place.map_err(|_| Unsent::Full)
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
    /// When it began to listen.
    since: Millis,
    metrics: Arc<Metrics>,
    _place: OwnedSemaphorePermit,
}

impl Listener {
    async fn next(&mut self) -> Result<Sent, Unsent> {
        let update = match self.backlog.pop_front() {
            Some(update) => update,
            None => self.receiver.recv().await.map_err(|_| Unsent::Missed)?,
        };
        if update.after > self.after {
            return Err(Unsent::Gap);
        }
        let now = self.clock.now();
        let age = now.since(update.as_of) + on_its_way(&update);
        let sent = encode(&update, self.after, age, now.since(self.since));
        self.after = self.after.max(update.revision);
        Ok(sent)
    }
}

/// The longest that an update is on its way to a listener.
fn on_its_way(update: &Update) -> Millis {
    Millis(u64::try_from(size(update) / BYTES_A_MS).unwrap_or(u64::MAX))
}
