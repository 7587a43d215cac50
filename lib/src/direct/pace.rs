//! How long responses of a route take, as far as this node has seen.
//!
//! A node that stops takes a request only if its response can be complete before the node ends.
//! docs/operators/platform.md tells what callers get otherwise.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Millis;
use crate::name::Name;

/// Responses of a route that are remembered.
const REMEMBERED: usize = 16;

/// The time that the last responses of each route took.
#[derive(Debug, Default)]
pub struct Paces(Mutex<HashMap<Name, VecDeque<Millis>>>);

impl Paces {
    /// Records the time from a request's arrival to the end of its response.
    pub fn record(&self, route: &Name, took: Millis) {
        let mut routes = self.routes();
        let Some(last) = routes.get_mut(route) else {
            routes.insert(Name::clone(route), VecDeque::from([took]));
            return;
        };
        if last.len() == REMEMBERED {
            last.pop_front();
        }
        last.push_back(took);
    }

    /// Returns the longest of the times that the last responses of a route took; `None` if this
    /// node has seen none.
    #[must_use]
    pub fn longest(&self, route: &Name) -> Option<Millis> {
        self.routes().get(route)?.iter().max().copied()
    }

    fn routes(&self) -> MutexGuard<'_, HashMap<Name, VecDeque<Millis>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
