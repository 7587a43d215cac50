//! Follows the key-value service without a call per node and change.
//!
//! A few nodes of each region watch the service; the others learn from them by
//! gossip. A node without a recent confirmation reads the service itself, so
//! that a wrong view of the membership costs calls and loses no changes.

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

/// Initial backoff after a failed call, in milliseconds.
const INITIAL_BACKOFF: Millis = Millis(500);
/// Maximum backoff after failed calls, in milliseconds.
const MAX_BACKOFF: Millis = Millis(15_000);
/// How often a node checks whether it should watch the service, in milliseconds.
const ROLE_CHECK_INTERVAL: Millis = Millis(2_000);
/// How long peers have to deliver a revision that this node has heard of, in milliseconds.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Follows the service until the manager stops.
pub(super) async fn run(manager: Arc<ConfigManager>) {
    let stop = manager.deps.stop.clone();
    let rng = Pcg32::seed_from_u64(manager.deps.seed);
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
        let deps = &self.manager.deps;
        rank::ranks_among_first(
            &deps.node,
            &deps.region,
            &deps.peers.peers(),
            deps.limits.watchers_per_region,
        )
    }

    /// Watches the service until the watch fails or other nodes take the role.
    async fn watch(&mut self) -> Result<(), ReadError> {
        let manager = Arc::clone(&self.manager);
        let head = manager.catch_up().await?;
        self.record_success();
        let mut changes = manager
            .deps
            .watch
            .watch(&manager.config_store.layout().watched(), head.read_revision)
            .await?;
        let mut confirm = Box::pin(tokio::time::sleep(
            manager
                .deps
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
                    let next = manager.deps.limits.confirm_interval.jittered(&mut self.rng);
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

    /// Applies an event of the watch.
    async fn apply_event(&self, event: &Event) -> Result<(), ReadError> {
        let Some(entry) = &event.entry else {
            // The head is never deleted, and deleted operations have left the retention range.
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

    /// Waits for updates from peers, and reads the service when they don't come.
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

    /// Whether gossip doesn't keep this node up to date, so that it must read the service.
    fn should_poll_service(&mut self) -> bool {
        let poll = self
            .manager
            .deps
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

    /// Waits before the next call: exponential backoff with jitter.
    ///
    /// When the service recovers from an outage, all nodes call it again. Jitter
    /// over most of the range keeps them from calling in step.
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
