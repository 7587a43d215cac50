//! Follows the key-value service without a call for each node and change.
//!
//! A few nodes of each region watch the service; the others hear from them. A
//! node that heard nothing fresh for a while asks the service itself, so that
//! wrong pictures of who is there cost calls and not changes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::StreamExt;
use log::{debug, info, warn};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::config_store::{ReadError, StoredHead};
use super::manager::ConfigManager;
use super::state::Origin;
use crate::clock::Millis;
use crate::gossip::rank;
use crate::ports::{self, Event};
use crate::schema::declaration::{Head, Operation};

/// First wait after a failed call, in milliseconds.
const INITIAL_BACKOFF: Millis = Millis(500);
/// Longest wait after failed calls, in milliseconds.
const MAX_BACKOFF: Millis = Millis(15_000);
/// How often a node looks whether it is to watch, in milliseconds.
const ROLE_CHECK_INTERVAL: Millis = Millis(2_000);
/// How long peers may take to bring a revision that was heard of, in milliseconds.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Follows the service until the keeper stops.
pub(super) async fn run(manager: Arc<ConfigManager>) {
    let stop = manager.parts.stop.clone();
    let rng = Pcg32::seed_from_u64(manager.parts.seed);
    let mut follower = Follower {
        manager,
        rng,
        backoff: INITIAL_BACKOFF,
        is_failing: false,
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    manager: Arc<ConfigManager>,
    rng: Pcg32,
    backoff: Millis,
    is_failing: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let watcher = self.is_watcher();
            self.manager.is_watcher.store(watcher, Ordering::Relaxed);
            let ended = if watcher {
                self.watch().await
            } else {
                self.wait_for_peers().await
            };
            match ended {
                Ok(()) => self.record_success(),
                Err(failure) => self.back_off(&failure).await,
            }
        }
    }

    fn is_watcher(&self) -> bool {
        let parts = &self.manager.parts;
        rank::is_among(
            &parts.node,
            &parts.region,
            &parts.peers.peers(),
            parts.limits.watchers_per_region,
        )
    }

    /// Watches the service until the watch breaks or others watch.
    async fn watch(&mut self) -> Result<(), ReadError> {
        let manager = Arc::clone(&self.manager);
        let head = manager.catch_up().await?;
        self.record_success();
        let mut changes = manager
            .parts
            .watch
            .watch(&manager.config_store.layout().watched(), head.read_revision)
            .await?;
        let mut confirm = Box::pin(tokio::time::sleep(
            manager
                .parts
                .limits
                .confirm_interval
                .jittered(&mut self.rng)
                .duration(),
        ));
        let mut role = tokio::time::interval(ROLE_CHECK_INTERVAL.duration());
        loop {
            tokio::select! {
                change = changes.next() => match change {
                    Some(event) => self.apply_event(&event?).await?,
                    None => return Err(watch_ended().into()),
                },
                () = &mut confirm => {
                    manager.catch_up().await?;
                    let next = manager.parts.limits.confirm_interval.jittered(&mut self.rng);
                    confirm.set(tokio::time::sleep(next.duration()));
                }
                () = manager.service_wakeup.notified() => {
                    manager.catch_up().await?;
                }
                _ = role.tick() => if !self.is_watcher() {
                    return Ok(());
                },
            }
        }
    }

    /// Takes over what a watch saw.
    async fn apply_event(&self, event: &Event) -> Result<(), ReadError> {
        let Some(entry) = &event.entry else {
            // Nobody removes the head; operations go when they are old.
            return Ok(());
        };
        let asked = self.manager.now();
        let malformed =
            |error| ReadError::from(ports::Error::Malformed(format!("{}: {error}", entry.key)));
        if entry.key != self.manager.config_store.layout().head() {
            let operation = Operation::decode(entry.value.clone()).map_err(malformed)?;
            self.manager.offer(&[Arc::new(operation)]);
            return Ok(());
        }
        let head = StoredHead {
            head: Head::decode(entry.value.clone()).map_err(malformed)?,
            mod_revision: Some(entry.revision),
            read_revision: event.revision,
        };
        self.manager.apply_head(&head, asked).await
    }

    /// Leaves the service alone while peers keep this node fresh.
    async fn wait_for_peers(&mut self) -> Result<(), ReadError> {
        let manager = Arc::clone(&self.manager);
        let pause = ROLE_CHECK_INTERVAL.jittered(&mut self.rng);
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = manager.service_wakeup.notified() => {
                let pause = PEER_TIMEOUT.jittered(&mut self.rng);
                tokio::time::sleep(pause.duration()).await;
            }
        }
        if self.should_poll_service() {
            manager.catch_up().await?;
        }
        Ok(())
    }

    /// Whether peers don't keep this node fresh.
    fn should_poll_service(&mut self) -> bool {
        let poll = self
            .manager
            .parts
            .limits
            .max_unconfirmed_age
            .jittered(&mut self.rng);
        let now = self.manager.now();
        let state = self.manager.state();
        let (learned, heard) = (state.learned().revision(), state.newest_heard());
        if state.is_rejected(heard, Origin::Service, now) {
            return false;
        }
        let fresh = state.confirmed_age(now).is_some_and(|age| age < poll);
        learned == 0 || heard > learned || !fresh
    }

    fn record_success(&mut self) {
        if self.is_failing {
            info!("config: the key-value service is reachable again");
        }
        self.is_failing = false;
        self.backoff = INITIAL_BACKOFF;
    }

    /// Waits before the next call, anywhere up to a bound that doubles.
    ///
    /// When the service comes back after an outage, all nodes want it at once;
    /// waits that are spread over their whole range keep them from calling in step.
    async fn back_off(&mut self, failure: &ReadError) {
        if self.is_failing {
            debug!("config: {failure}");
        } else {
            warn!("config: {failure}");
        }
        self.is_failing = true;
        let backoff = Millis(self.rng.random_range(self.backoff.0 / 4..=self.backoff.0));
        tokio::time::sleep(backoff.duration()).await;
        self.backoff = (self.backoff + self.backoff).min(MAX_BACKOFF);
    }
}

fn watch_ended() -> ports::Error {
    ports::Error::NoAnswer("the watch ended".to_owned())
}
