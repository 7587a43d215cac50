//! The hub that publishes changes to the nodes that subscribe to this one.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::Stream;
use futures::stream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, broadcast};
use tonic::Status;

use super::Update;
use super::tree::SUBSCRIBERS_PER_NODE;
use super::wire::{encode, payload_bytes};
use crate::clock::{Clock, Millis};
use crate::direct::validate::RejectReason;
use crate::metrics::Metrics;
use crate::schema::direct::Update as ProtoUpdate;

/// Number of recent updates kept for new subscribers: about ten seconds of changes.
const BACKLOG_UPDATES: usize = 8;

/// Maximum size of an update that is passed on, in bytes.
///
/// After an outage of the service, the entries of all engines come in one response. Over a slow
/// link it would be too old to rely on by the time that subscribers have received it. The limit
/// also bounds the memory for [`CHANNEL_UPDATES`] and [`BACKLOG_UPDATES`], since responses can be
/// twenty times as large.
const MAX_UPDATE_BYTES: usize = 300_000;

/// Bytes that a subscriber receives in a millisecond over the slowest link.
///
/// Half of 10 Mbit/s carries responses to callers, and three subscribers share the rest. An update
/// contains its age when it is sent, but not the time that the transfer then takes. Without that
/// time a large update would be relied on for too long, and the next configuration would take
/// effect too late.
const LINK_BYTES_PER_MS: usize = 200;

/// Maximum number of subscribers: those of this node, and as many of another node that is gone.
///
/// When nodes in the middle of the tree are gone, all others of the failure domain turn to the
/// first ones. A rejected node polls the service instead, which costs less than delays in the
/// streams of this node's callers.
const MAX_SUBSCRIBERS: usize = 2 * SUBSCRIBERS_PER_NODE;

/// Number of updates that a slow subscriber may lag behind before its stream ends.
const CHANNEL_UPDATES: usize = 16;

/// Why updates aren't delivered to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeliveryError {
    /// This node receives no changes itself.
    Disconnected,
    /// The maximum number of subscribers is reached.
    Full,
    /// The update is too large.
    Oversized,
    /// The subscriber was too slow, and updates in between were dropped.
    Lagged,
    /// Changes before the oldest available update are missing.
    Gap,
}

impl DeliveryError {
    const fn name(self) -> &'static str {
        match self {
            Self::Disconnected => "lost",
            Self::Full => "full",
            Self::Oversized => "oversized",
            Self::Lagged => "missed",
            Self::Gap => "gap",
        }
    }

    fn status(self) -> Status {
        match self {
            Self::Disconnected => Status::unavailable("the service does not answer this node"),
            Self::Full => Status::resource_exhausted("so many nodes listen already"),
            Self::Oversized => Status::aborted("an update is too large"),
            Self::Lagged => Status::aborted("updates were missed"),
            Self::Gap => Status::aborted("there is a gap behind the revision"),
        }
    }

    fn count(self, metrics: &Metrics) {
        let counter = &metrics.updates_unsent;
        counter.with_label_values(&[self.name()]).inc();
    }
}

/// Publishes the updates of this node to its subscribers.
#[derive(Debug)]
pub struct Hub {
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    backlog: Mutex<VecDeque<Arc<Update>>>,
    sender: broadcast::Sender<Arc<Update>>,
    /// Limits the number of subscribers.
    subscriber_slots: Arc<Semaphore>,
    /// Whether the service didn't answer this node's last poll.
    disconnected: AtomicBool,
}

impl Hub {
    /// Creates a hub without updates.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            metrics,
            backlog: Mutex::default(),
            sender: broadcast::Sender::new(CHANNEL_UPDATES),
            subscriber_slots: Arc::new(Semaphore::new(MAX_SUBSCRIBERS)),
            disconnected: AtomicBool::new(false),
        }
    }

    /// Counts an update by its source.
    pub fn count_update(&self, source: &'static str) {
        self.metrics.updates.with_label_values(&[source]).inc();
    }

    /// Counts a rejected update or change.
    pub fn count_rejected(&self, reason: RejectReason) {
        let counter = &self.metrics.updates_refused;
        counter.with_label_values(&[reason.name()]).inc();
    }

    /// Rejects subscribers until the next update, since the service doesn't answer this node.
    pub fn mark_disconnected(&self) {
        self.disconnected.store(true, Ordering::Relaxed);
    }

    /// Sends an update to all subscribers.
    ///
    /// If it is too large, only its last revision is sent, and every subscriber detects a gap
    /// before it.
    pub fn publish(&self, mut update: Update) {
        self.disconnected.store(false, Ordering::Relaxed);
        let bytes = payload_bytes(&update.events);
        if bytes > MAX_UPDATE_BYTES {
            let revision = update.revision;
            log::info!(bytes, revision; "follow: an update is too large to be passed on");
            DeliveryError::Oversized.count(&self.metrics);
            update.after = update.revision;
            update.events.clear();
        }
        let update = Arc::new(update);
        let mut backlog = self.backlog();
        backlog.push_back(Arc::clone(&update));
        if backlog.len() > BACKLOG_UPDATES {
            backlog.pop_front();
        }
        // It fails if there are no subscribers.
        let _ = self.sender.send(update);
    }

    /// Ends the streams of subscribers that don't know all changes up to a revision.
    ///
    /// They poll the service for changes that are too large to be passed on, at the same time as
    /// this node and not after it. `as_of` is when all changes were last known here.
    pub fn publish_gap(&self, revision: u64, as_of: Millis) {
        self.publish(Update {
            after: revision,
            revision,
            as_of,
            events: Vec::new(),
        });
    }

    /// Returns a stream of all updates after a revision, which ends where one is missing.
    ///
    /// # Errors
    ///
    /// When this node has no connection to the service, or too many subscribers.
    pub fn subscribe(
        &self,
        after: u64,
    ) -> Result<impl Stream<Item = Result<ProtoUpdate, Status>> + Send + use<>, Status> {
        let slot = self.acquire_slot().map_err(|error| {
            error.count(&self.metrics);
            error.status()
        })?;
        let (backlog, receiver) = {
            let backlog = self.backlog();
            let newer = backlog.iter().filter(|update| update.revision > after);
            (newer.cloned().collect(), self.sender.subscribe())
        };
        let subscriber = Subscriber {
            clock: Arc::clone(&self.clock),
            backlog,
            receiver,
            after,
            subscribed_at: self.clock.now(),
            metrics: Arc::clone(&self.metrics),
            _slot: slot,
        };
        Ok(stream::unfold(Some(subscriber), |subscriber| async {
            let mut subscriber = subscriber?;
            match subscriber.next().await {
                Ok(message) => Some((Ok(message), Some(subscriber))),
                Err(error) => {
                    error.count(&subscriber.metrics);
                    Some((Err(error.status()), None))
                }
            }
        }))
    }

    fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, DeliveryError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(DeliveryError::Disconnected);
        }
        let slot = Arc::clone(&self.subscriber_slots).try_acquire_owned();
        slot.map_err(|_| DeliveryError::Full)
    }

    fn backlog(&self) -> MutexGuard<'_, VecDeque<Arc<Update>>> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of one subscriber's stream.
struct Subscriber {
    clock: Arc<dyn Clock>,
    backlog: VecDeque<Arc<Update>>,
    receiver: broadcast::Receiver<Arc<Update>>,
    after: u64,
    /// When the stream began.
    subscribed_at: Millis,
    metrics: Arc<Metrics>,
    _slot: OwnedSemaphorePermit,
}

impl Subscriber {
    async fn next(&mut self) -> Result<ProtoUpdate, DeliveryError> {
        let update = match self.backlog.pop_front() {
            Some(update) => update,
            None => self
                .receiver
                .recv()
                .await
                .map_err(|_| DeliveryError::Lagged)?,
        };
        if update.after > self.after {
            return Err(DeliveryError::Gap);
        }
        let now = self.clock.now();
        let age = now.since(update.as_of) + transfer_time(&update);
        let message = encode(&update, self.after, age, now.since(self.subscribed_at));
        self.after = self.after.max(update.revision);
        Ok(message)
    }
}

/// Returns the maximum time that an update takes to reach a subscriber.
fn transfer_time(update: &Update) -> Millis {
    Millis(u64::try_from(payload_bytes(&update.events) / LINK_BYTES_PER_MS).unwrap_or(u64::MAX))
}
