//! One slot: a present adapter, or a load in progress with its waiters.

use tokio::sync::oneshot;

use super::status::AdapterStatus;
use super::{MAX_LOAD_TIME, MAX_STATUS_AGE, STATUS_INTERVAL};
use crate::clock::Millis;
use crate::direct::orders::message::LoadOutcome;

/// Least duration of a load from the weight store; an earlier probe finds it incomplete.
const MIN_STORE_LOAD_TIME: Millis = Millis(240);

/// Interval between probes.
const PROBE_INTERVAL: Millis = Millis(30);

/// Interval between probes of a load that takes longer than [`MAX_LOAD_TIME`].
pub(super) const OVERDUE_PROBE_INTERVAL: Millis = Millis(250);

/// A caller that waits for an adapter.
#[derive(Debug)]
pub(super) struct Waiter {
    since: Millis,
    reply: oneshot::Sender<LoadOutcome>,
}

/// A load in progress.
#[derive(Debug)]
pub(super) struct Loading {
    pub(super) version: u64,
    /// When the load was ordered, or first seen in a status.
    pub(super) since: Millis,
    pub(super) next_probe: Millis,
    /// The count of accepted orders with which the load was last known to be in progress.
    pub(super) sequence: u64,
    /// Whether the engine is known to have accepted the load.
    pub(super) is_confirmed: bool,
    /// Each accepts this version or an older one.
    pub(super) waiters: Vec<Waiter>,
}

/// A slot of the engine.
#[derive(Debug)]
pub(super) enum Slot {
    Present {
        version: u64,
        since: Millis,
        /// The count of accepted orders behind an unload that waits for the adapter's running
        /// requests; the engine accepts no other order meanwhile.
        unload: Option<u64>,
    },
    Loading(Loading),
}

impl Slot {
    /// Applies what a status says of the adapter; returns none if the adapter is gone.
    ///
    /// `sequence` is the status's count of accepted orders, and `is_newer` tells whether another
    /// one was known.
    pub(super) fn merge(
        self,
        status: AdapterStatus,
        sequence: u64,
        is_newer: bool,
        requested_at: Millis,
    ) -> Option<Self> {
        match self {
            Self::Present {
                version,
                since,
                unload,
            } => {
                // An adapter that is listed behind a later order was loaded again.
                let unload = unload.filter(|count| sequence <= *count);
                let is_settled = requested_at >= since + MAX_STATUS_AGE;
                if is_newer || is_settled {
                    let slot = status
                        .is_listed()
                        .then(|| status.into_slot(sequence, requested_at));
                    return slot.map(|slot| slot.with_unload(unload));
                }
                // With the same count, a load that the status lists as in progress is what is
                // present now.
                let listed = status.present.or(status.incoming.filter(|_| version == 0));
                let version = listed.map_or(version, |listed| listed.max(version));
                Some(Self::Present {
                    version,
                    since,
                    unload,
                })
            }
            Self::Loading(loading) => loading.merge(status, sequence, is_newer, requested_at),
        }
    }

    /// Returns the count of accepted orders behind an unload that waits for running requests.
    pub(super) const fn unload(&self) -> Option<u64> {
        match self {
            Self::Present { unload, .. } => *unload,
            Self::Loading(_) => None,
        }
    }

    /// Sets the unload that an adapter that is present waits for.
    fn with_unload(self, unload: Option<u64>) -> Self {
        match self {
            Self::Present { version, since, .. } => Self::Present {
                version,
                since,
                unload,
            },
            Self::Loading(loading) => Self::Loading(loading),
        }
    }
}

impl Loading {
    /// Applies what a status says of the adapter.
    ///
    /// A status that counts the order of the load was made after it, so the load is lost if the
    /// status doesn't list it. Where an older version is present, the next probe tells, or starts
    /// the load again, which takes no further slot.
    fn merge(
        mut self,
        status: AdapterStatus,
        sequence: u64,
        is_newer: bool,
        requested_at: Millis,
    ) -> Option<Slot> {
        let AdapterStatus { present, incoming } = status;
        let is_settled = requested_at >= self.since + MAX_STATUS_AGE;
        let is_served = present.is_some_and(|version| version >= self.version);
        let may_be_early = !is_newer && !is_settled && incoming.is_none() && !is_served;
        if !self.is_confirmed && may_be_early {
            return Some(Slot::Loading(self));
        }
        let is_overtaken = incoming.is_some_and(|version| version < self.version);
        if is_overtaken || !status.is_listed() {
            self.finish(LoadOutcome::Failed);
            return status
                .is_listed()
                .then(|| status.into_slot(sequence, requested_at));
        }
        if let Some(version) = incoming {
            self.version = version;
            self.sequence = sequence;
            self.is_confirmed = true;
            return Some(Slot::Loading(self));
        }
        if let Some(version) = present.filter(|version| *version >= self.version) {
            self.finish(LoadOutcome::Ready(version));
            return Some(status.into_slot(sequence, requested_at));
        }
        if !self.is_confirmed {
            self.finish(LoadOutcome::Failed);
            return Some(status.into_slot(sequence, requested_at));
        }
        if self.is_overdue(requested_at) && self.waiters.is_empty() {
            return Some(status.into_slot(sequence, requested_at));
        }
        Some(Slot::Loading(self))
    }

    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.since) > MAX_LOAD_TIME
    }

    /// Whether the load is probed; an unconfirmed one, and an overdue one without waiters, are
    /// followed by status alone.
    pub(super) fn is_probed(&self, now: Millis) -> bool {
        self.is_confirmed && (!self.is_overdue(now) || !self.waiters.is_empty())
    }

    /// Whether the count of orders, or a recent status, shows that the engine is still in the start
    /// in which the load was ordered.
    ///
    /// The load itself vouches for the count behind it, until the next order.
    pub(super) fn is_of_this_start(
        &self,
        sequence: u64,
        start_seen_at: Millis,
        now: Millis,
    ) -> bool {
        let is_seen = start_seen_at > self.since && now.since(start_seen_at) < STATUS_INTERVAL;
        sequence == self.sequence || is_seen
    }

    /// Returns the delay before the next probe.
    pub(super) fn probe_delay(&self, now: Millis) -> Millis {
        if self.is_overdue(now) {
            return OVERDUE_PROBE_INTERVAL;
        }
        MIN_STORE_LOAD_TIME
            .since(now.since(self.since))
            .max(PROBE_INTERVAL)
    }

    pub(super) fn expire_waiters(&mut self, now: Millis) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if now.since(waiter.since) > MAX_LOAD_TIME {
                send_outcome(waiter.reply, LoadOutcome::Failed);
            } else if !waiter.reply.is_closed() {
                self.waiters.push(waiter);
            }
        }
    }

    /// Sends all waiters the outcome of the load.
    pub(super) fn finish(self, outcome: LoadOutcome) {
        for waiter in self.waiters {
            send_outcome(waiter.reply, outcome);
        }
    }
}

impl Waiter {
    pub(super) fn new(reply: oneshot::Sender<LoadOutcome>, since: Millis) -> Self {
        Self { since, reply }
    }
}

/// Sends a caller the outcome of its load.
pub(in crate::direct::orders) fn send_outcome(
    reply: oneshot::Sender<LoadOutcome>,
    outcome: LoadOutcome,
) {
    // The caller may be gone; the adapter stays for the next one.
    let _ = reply.send(outcome);
}
