//! The book of an engine's places.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::Loaded;
use crate::clock::Millis;
use crate::direct::dialect::{Held, Report};
use crate::name::Name;

/// A place of an engine.
#[derive(Debug)]
pub(super) enum Seat {
    Present {
        version: u64,
    },
    Coming {
        version: u64,
        since: Millis,
        waiting: Vec<oneshot::Sender<Loaded>>,
    },
}

impl Seat {
    fn version(&self) -> u64 {
        match self {
            Self::Present { version } | Self::Coming { version, .. } => *version,
        }
    }

    /// Returns who waits for the adapter.
    fn into_waiting(self) -> Vec<oneshot::Sender<Loaded>> {
        match self {
            Self::Present { .. } => Vec::new(),
            Self::Coming { waiting, .. } => waiting,
        }
    }

    /// Tells whoever waits what became of the load.
    fn answer(self, loaded: Loaded) {
        for reply in self.into_waiting() {
            answer(reply, loaded);
        }
    }
}

/// What is known of an engine.
#[derive(Debug, Default)]
pub(super) struct Book {
    pub(super) born: u64,
    pub(super) sequence: u64,
    pub(super) models: Vec<Name>,
    pub(super) seats: HashMap<Name, Seat>,
    /// Until when adapters count as in use though no request is counted.
    pub(super) used: HashMap<Name, Millis>,
}

impl Book {
    /// Makes a book from a report; loads that wait are told what became of them.
    pub(super) fn renewed(former: Self, report: &Report, now: Millis) -> Self {
        let mut book = Self {
            born: report.held.born,
            sequence: report.held.sequence,
            models: report.held.models.clone(),
            seats: HashMap::new(),
            used: former.used,
        };
        let mut coming = former.seats;
        coming.retain(|_, seat| matches!(seat, Seat::Coming { .. }));
        for (name, version) in &report.held.adapters {
            let present = Seat::Present { version: *version };
            let seat = match coming.remove(name) {
                // The load that is to replace the version isn't complete, or the report is older
                // than its order.
                Some(seat) if seat.version() > *version => seat,
                Some(seat) => {
                    seat.answer(Loaded::Ready(*version));
                    present
                }
                None => present,
            };
            book.seats.insert(Name::clone(name), seat);
        }
        for (name, version) in &report.held.incoming {
            let former = book.seats.remove(name).or_else(|| coming.remove(name));
            let seat = match former {
                Some(seat) if seat.version() >= *version => seat,
                former => Seat::Coming {
                    version: *version,
                    since: now,
                    waiting: former.map(Seat::into_waiting).unwrap_or_default(),
                },
            };
            book.seats.insert(Name::clone(name), seat);
        }
        for seat in coming.into_values() {
            seat.answer(Loaded::Failed);
        }
        book
    }

    /// Counts adapters on their way.
    pub(super) fn incoming(&self) -> usize {
        self.seats
            .values()
            .filter(|seat| matches!(seat, Seat::Coming { .. }))
            .count()
    }

    /// Returns what the engine holds for requests.
    pub(super) fn held(&self) -> Held {
        let adapters = self
            .seats
            .iter()
            .filter_map(|(name, seat)| match seat {
                Seat::Present { version } => Some((Name::clone(name), *version)),
                Seat::Coming { .. } => None,
            })
            .collect();
        Held {
            born: self.born,
            sequence: self.sequence,
            models: self.models.clone(),
            adapters,
            incoming: Vec::new(),
        }
    }
}

/// Tells whoever asked for an adapter.
pub(super) fn answer(reply: oneshot::Sender<Loaded>, loaded: Loaded) {
    // Whoever asked may have gone; the adapter stays for the next.
    let _ = reply.send(loaded);
}
