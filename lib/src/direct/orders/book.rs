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
        let mut waiting: HashMap<Name, Vec<oneshot::Sender<Loaded>>> = former
            .seats
            .into_iter()
            .filter_map(|(name, seat)| match seat {
                Seat::Coming { waiting, .. } => Some((name, waiting)),
                Seat::Present { .. } => None,
            })
            .collect();
        let mut book = Self {
            born: report.held.born,
            sequence: report.held.sequence,
            models: report.held.models.clone(),
            seats: HashMap::new(),
            used: former.used,
        };
        for (name, version) in &report.held.incoming {
            let seat = Seat::Coming {
                version: *version,
                since: now,
                waiting: waiting.remove(name).unwrap_or_default(),
            };
            book.seats.insert(Name::clone(name), seat);
        }
        for (name, version) in &report.held.adapters {
            for reply in waiting.remove(name).unwrap_or_default() {
                answer(reply, Loaded::Ready(*version));
            }
            book.seats
                .insert(Name::clone(name), Seat::Present { version: *version });
        }
        for reply in waiting.into_values().flatten() {
            answer(reply, Loaded::Failed);
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
