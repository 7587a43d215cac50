//! Reloading of settings while a node runs.
//!
//! A deployment may change a node's settings without a restart, with or without a signal to the
//! process. Limits take effect at once. Addresses and names belong to sockets and records that
//! exist already, so they take effect at the next start. Invalid settings are rejected and the
//! last valid ones stay in force: a node that exited because of a mistake in a file would cut off
//! its callers.

use std::sync::{Arc, Mutex, PoisonError};

use super::limits::SharedLimits;
use super::node::Settings;

/// The result of applying freshly loaded settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// They equal those of the last load.
    Unchanged,
    /// The limits are in force, and nothing else differs from the settings at startup.
    Applied,
    /// The limits are in force, but other changes take effect at the next start only.
    RestartRequired,
    /// They are invalid, and the last valid ones stay in force.
    Rejected,
}

/// Applies changed settings to a running node.
#[derive(Debug)]
pub struct Reload {
    limits: Arc<SharedLimits>,
    startup_settings: Settings,
    last_loaded: Mutex<Result<Settings, String>>,
}

impl Reload {
    /// Creates a reloader from the settings that the node was started with.
    #[must_use]
    pub fn new(startup_settings: Settings, limits: Arc<SharedLimits>) -> Self {
        Self {
            limits,
            last_loaded: Mutex::new(Ok(startup_settings.clone())),
            startup_settings,
        }
    }

    /// Applies loaded settings; an error says what is wrong with them.
    pub fn apply(&self, loaded: Result<Settings, String>) -> ReloadOutcome {
        let mut last_loaded = self
            .last_loaded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *last_loaded == loaded {
            return ReloadOutcome::Unchanged;
        }
        let outcome = match &loaded {
            Ok(settings) => self.apply_valid(settings),
            Err(error) => {
                log::error!("node: invalid settings, the previous ones stay in force: {error}");
                ReloadOutcome::Rejected
            }
        };
        *last_loaded = loaded;
        outcome
    }

    fn apply_valid(&self, settings: &Settings) -> ReloadOutcome {
        self.limits.set(settings.limits);
        log::info!("node: the limits of the reloaded settings are in force");
        let expected = Settings {
            limits: settings.limits,
            first_start: settings.first_start,
            ..self.startup_settings.clone()
        };
        if expected == *settings {
            return ReloadOutcome::Applied;
        }
        log::warn!("node: changed names or addresses take effect at the next start");
        ReloadOutcome::RestartRequired
    }
}
