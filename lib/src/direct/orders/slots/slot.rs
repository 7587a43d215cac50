//! One slot: an adapter that is held, or a load on its way and who waits for it.

use tokio::sync::oneshot;

use super::told::Told;
use super::{MAX_LOAD_TIME, MAX_REPORT_AGE};
use crate::clock::Millis;
use crate::direct::orders::message::LoadOutcome;

/// How long a load from the weight store takes at least: no look before is of use.
const FULL_LOAD: Millis = Millis(240);

/// Pause between looks.
const LOOK: Millis = Millis(30);

/// Pause between looks at a load that outlasts [`MAX_LOAD_TIME`].
pub(super) const SLOW_LOOK: Millis = Millis(250);

/// Somebody who waits for an adapter.
#[derive(Debug)]
pub(super) struct Waiter {
    since: Millis,
    reply: oneshot::Sender<LoadOutcome>,
}

/// A load on its way.
#[derive(Debug)]
pub(super) struct Loading {
    pub(super) version: u64,
    /// When it was ordered, or first heard of.
    pub(super) since: Millis,
    pub(super) next_look: Millis,
    /// Each waits for this version or an older one.
    pub(super) waiters: Vec<Waiter>,
}

/// A slot of the engine.
#[derive(Debug)]
pub(super) enum Slot {
    Present { version: u64, since: Millis },
    Loading(Loading),
}

impl Slot {
    /// Takes in what a report tells of the adapter; none if it is gone.
    ///
    /// `is_newer` tells whether the report counts other orders than were known.
    pub(super) fn merge(self, told: Told, is_newer: bool, asked: Millis) -> Option<Self> {
        match self {
            Self::Present { version, since } => {
                let is_settled = asked >= since + MAX_REPORT_AGE;
                if is_newer || is_settled {
                    return told.is_known().then(|| told.into_slot(asked));
                }
                // By the same count, what was on its way is what is held now.
                let told = told.present.or(told.incoming.filter(|_| version == 0));
                let version = told.map_or(version, |told| told.max(version));
                Some(Self::Present { version, since })
            }
            Self::Loading(loading) => loading.merge(told, asked),
        }
    }
}

impl Loading {
    /// Takes in what a report tells of the adapter.
    ///
    /// A report that counts the load's order was made behind it: the load is lost if it isn't
    /// listed. Where an older version is held, the next look tells, or begins the load anew; that
    /// takes no further slot.
    fn merge(mut self, told: Told, asked: Millis) -> Option<Slot> {
        let Told { present, incoming } = told;
        let is_overtaken = incoming.is_some_and(|version| version < self.version);
        if is_overtaken || !told.is_known() {
            self.answer(LoadOutcome::Failed);
            return told.is_known().then(|| told.into_slot(asked));
        }
        if let Some(version) = incoming {
            self.version = version;
            return Some(Slot::Loading(self));
        }
        if let Some(version) = present.filter(|version| *version >= self.version) {
            self.answer(LoadOutcome::Ready(version));
            return Some(told.into_slot(asked));
        }
        if self.is_overdue(asked) && self.waiters.is_empty() {
            return Some(told.into_slot(asked));
        }
        Some(Slot::Loading(self))
    }

    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.since) > MAX_LOAD_TIME
    }

    /// Whether looks tell of the load; reports alone tell of one that nobody waits for any more.
    pub(super) fn is_looked_at(&self, now: Millis) -> bool {
        !self.is_overdue(now) || !self.waiters.is_empty()
    }

    /// Returns the pause before the next look.
    pub(super) fn pause(&self, now: Millis) -> Millis {
        if self.is_overdue(now) {
            return SLOW_LOOK;
        }
        FULL_LOAD.since(now.since(self.since)).max(LOOK)
    }

    pub(super) fn expire(&mut self, now: Millis) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if now.since(waiter.since) > MAX_LOAD_TIME {
                answer(waiter.reply, LoadOutcome::Failed);
            } else if !waiter.reply.is_closed() {
                self.waiters.push(waiter);
            }
        }
    }

    /// Tells all that wait what became of the load.
    pub(super) fn answer(self, loaded: LoadOutcome) {
        for waiter in self.waiters {
            answer(waiter.reply, loaded);
        }
    }
}

impl Waiter {
    pub(super) fn new(reply: oneshot::Sender<LoadOutcome>, since: Millis) -> Self {
        Self { since, reply }
    }
}

/// Tells whoever asked for an adapter.
pub(in crate::direct::orders) fn answer(reply: oneshot::Sender<LoadOutcome>, loaded: LoadOutcome) {
    // Whoever asked may have gone; the adapter stays for the next.
    let _ = reply.send(loaded);
}
