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

use super::manager::ConfigManager;
use super::source::{Failure, HeadAt};
use super::state::Origin;
use crate::clock::Millis;
use crate::gossip::rank;
use crate::ports::{self, Event};
use crate::schema::declaration::{Head, Operation};

/// First wait after a failed call, in milliseconds.
const FIRST_WAIT: Millis = Millis(500);
/// Longest wait after failed calls, in milliseconds.
const MAX_WAIT: Millis = Millis(15_000);
/// How often a node looks whether it is to watch, in milliseconds.
const ROLE_CHECK: Millis = Millis(2_000);
/// How long peers may take to bring a revision that was heard of, in milliseconds.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Follows the service until the keeper stops.
pub(super) async fn run(manager: Arc<ConfigManager>) {
    let stop = manager.parts.stop.clone();
    let rng = Pcg32::seed_from_u64(manager.parts.seed);
    let mut follower = Follower {
        manager,
        rng,
        wait: FIRST_WAIT,
        failing: false,
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    manager: Arc<ConfigManager>,
    rng: Pcg32,
    wait: Millis,
    failing: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let watcher = self.watcher();
            self.manager.watching.store(watcher, Ordering::Relaxed);
            let ended = if watcher {
                self.watch().await
            } else {
                self.listen().await
            };
            match ended {
                Ok(()) => self.succeeded(),
                Err(failure) => self.back_off(&failure).await,
            }
        }
    }

    fn watcher(&self) -> bool {
        let parts = &self.manager.parts;
        rank::is_among(
            &parts.node,
            &parts.region,
            &parts.peers.peers(),
            parts.limits.watchers_per_region,
        )
    }

    /// Watches the service until the watch breaks or others watch.
    async fn watch(&mut self) -> Result<(), Failure> {
        let manager = Arc::clone(&self.manager);
        let head = manager.catch_up().await?;
        self.succeeded();
        let mut changes = manager
            .parts
            .watch
            .watch(&manager.source.layout().watched(), head.read)
            .await?;
        let mut confirm = Box::pin(tokio::time::sleep(
            manager
                .parts
                .limits
                .confirm_interval
                .jittered(&mut self.rng)
                .duration(),
        ));
        let mut role = tokio::time::interval(ROLE_CHECK.duration());
        loop {
            tokio::select! {
                change = changes.next() => match change {
                    Some(event) => self.changed(&event?).await?,
                    None => return Err(broken().into()),
                },
                () = &mut confirm => {
                    manager.catch_up().await?;
                    let next = manager.parts.limits.confirm_interval.jittered(&mut self.rng);
                    confirm.set(tokio::time::sleep(next.duration()));
                }
                () = manager.behind.notified() => {
                    manager.catch_up().await?;
                }
                _ = role.tick() => if !self.watcher() {
                    return Ok(());
                },
            }
        }
    }

    /// Takes over what a watch saw.
    async fn changed(&self, event: &Event) -> Result<(), Failure> {
        let Some(entry) = &event.entry else {
            // Nobody removes the head; operations go when they are old.
            return Ok(());
        };
        let asked = self.manager.now();
        let malformed =
            |error| Failure::from(ports::Error::Malformed(format!("{}: {error}", entry.key)));
        if entry.key != self.manager.source.layout().head() {
            let operation = Operation::decode(entry.value.clone()).map_err(malformed)?;
            self.manager.offer(&[Arc::new(operation)]);
            return Ok(());
        }
        let head = HeadAt {
            head: Head::decode(entry.value.clone()).map_err(malformed)?,
            written: Some(entry.revision),
            read: event.revision,
        };
        self.manager.take_head(&head, asked).await
    }

    /// Leaves the service alone while peers keep this node fresh.
    async fn listen(&mut self) -> Result<(), Failure> {
        let manager = Arc::clone(&self.manager);
        let pause = ROLE_CHECK.jittered(&mut self.rng);
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = manager.behind.notified() => {
                let pause = PEER_TIMEOUT.jittered(&mut self.rng);
                tokio::time::sleep(pause.duration()).await;
            }
        }
        if self.needs_service() {
            manager.catch_up().await?;
        }
        Ok(())
    }

    /// Whether peers don't keep this node fresh.
    fn needs_service(&mut self) -> bool {
        let poll = self
            .manager
            .parts
            .limits
            .max_unconfirmed_age
            .jittered(&mut self.rng);
        let now = self.manager.now();
        let state = self.manager.state();
        let (learned, heard) = (state.learned().revision(), state.heard());
        if state.is_refused(heard, Origin::Service, now) {
            return false;
        }
        let fresh = state.age(now).is_some_and(|age| age < poll);
        learned == 0 || heard > learned || !fresh
    }

    fn succeeded(&mut self) {
        if self.failing {
            info!("config: the key-value service is reachable again");
        }
        self.failing = false;
        self.wait = FIRST_WAIT;
    }

    /// Waits before the next call, anywhere up to a bound that doubles.
    ///
    /// When the service comes back after an outage, all nodes want it at once;
    /// waits that are spread over their whole range keep them from calling in step.
    async fn back_off(&mut self, failure: &Failure) {
        if self.failing {
            debug!("config: {failure}");
        } else {
            warn!("config: {failure}");
        }
        self.failing = true;
        let wait = Millis(self.rng.random_range(self.wait.0 / 4..=self.wait.0));
        tokio::time::sleep(wait.duration()).await;
        self.wait = (self.wait + self.wait).min(MAX_WAIT);
    }
}

fn broken() -> ports::Error {
    ports::Error::NoAnswer("the watch ended".to_owned())
}
