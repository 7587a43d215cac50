//! Settings that change while a node runs.
//!
//! A deployment changes a node's settings without a restart and may or may not tell the
//! process. Bounds take effect at once; addresses and names belong to sockets and records
//! that exist already, so they wait for the next start. Settings that can't be used leave
//! the last good ones in force: a node that died of a mistake in a file would take its
//! callers with it.

use std::sync::{Arc, Mutex, PoisonError};

use super::limits::SharedLimits;
use super::node::Settings;

/// What became of a look at the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// They are as they were at the last look.
    Unchanged,
    /// The bounds are in force, and nothing else differs.
    Applied,
    /// Something differs that waits for the next start; the bounds are in force.
    RestartRequired,
    /// They can't be used, and the last good ones stay.
    Rejected,
}

/// The settings of a running node.
#[derive(Debug)]
pub struct Reload {
    limits: Arc<SharedLimits>,
    started: Settings,
    last: Mutex<Result<Settings, String>>,
}

impl Reload {
    /// Begins with the settings that the node was started with.
    #[must_use]
    pub fn new(started: Settings, limits: Arc<SharedLimits>) -> Self {
        Self {
            limits,
            last: Mutex::new(Ok(started.clone())),
            started,
        }
    }

    /// Takes what a look at the settings brought; the error says what is wrong with them.
    pub fn apply(&self, found: Result<Settings, String>) -> ReloadOutcome {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if *last == found {
            return ReloadOutcome::Unchanged;
        }
        let taken = match &found {
            Ok(settings) => self.apply_valid(settings),
            Err(mistake) => {
                log::error!("node: settings stay as they were: {mistake}");
                ReloadOutcome::Rejected
            }
        };
        *last = found;
        taken
    }

    fn apply_valid(&self, settings: &Settings) -> ReloadOutcome {
        self.limits.set(settings.limits);
        log::info!("node: the settings' bounds are in force");
        let started = Settings {
            limits: settings.limits,
            first_start: settings.first_start,
            ..self.started.clone()
        };
        if started == *settings {
            return ReloadOutcome::Applied;
        }
        log::warn!("node: names or addresses in the settings differ until the next start");
        ReloadOutcome::RestartRequired
    }
}
