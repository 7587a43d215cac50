//! Signals that the daemon listens to.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that ask for a stop or a reload.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to listen; a hangup no longer ends the process.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("can't listen for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("can't listen for SIGINT")?,
            hangup: signal(SignalKind::hangup()).wrap_err("can't listen for SIGHUP")?,
        })
    }

    /// Waits for a request to stop; calls `reload` for each hangup before it.
    pub async fn stop(&mut self, reload: impl Fn()) -> &'static str {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return "SIGTERM",
                _ = self.interrupt.recv() => return "SIGINT",
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
