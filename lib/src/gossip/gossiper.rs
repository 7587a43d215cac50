//! Runs the exchanges with peers: one at each interval, and pushes of new changes.
//!
//! A change reaches most nodes within a few hops, because each node that learns of it pushes it
//! to a few others once. A node that misses the push, through packet loss or a pause, finds the
//! difference by the digests of its regular exchanges. The cost per node of neither grows with
//! the number of nodes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use futures::StreamExt;
use futures::future::join_all;
use log::debug;
use prost::Message;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use super::peer_selector::PeerSelector;
use super::{ExchangeHandler, GossipState, Peer, PeerSource, SnapshotInstaller, Transport};
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::schema::peer::{Delta, Digest, SnapshotPart};

/// Largest snapshot that is accepted from a peer, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 128 * 1024 * 1024;

/// Timing and size limits of exchanges.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Mean time between two regular exchanges.
    pub interval: Millis,
    /// Mean time between attempts until the first exchange has succeeded.
    pub bootstrap_interval: Millis,
    /// Peers that a change is pushed to per round.
    pub fanout: usize,
    /// Rounds in which a change is pushed, to newly drawn peers each time.
    pub push_rounds: usize,
    /// Mean time between two rounds of the same push.
    pub push_round_interval: Millis,
    /// Timeout of an exchange.
    pub exchange_timeout: Millis,
    /// Timeout for the next part of a snapshot.
    pub snapshot_part_timeout: Millis,
    /// Exchanges that this node runs concurrently.
    pub max_concurrent_exchanges: usize,
    /// Percentage of exchanges that go to another region.
    pub cross_region_percent: u32,
    /// Largest set of changes that is sent along with a digest, in bytes.
    pub max_push_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            interval: Millis(1_000),
            bootstrap_interval: Millis(250),
            fanout: 3,
            push_rounds: 2,
            push_round_interval: Millis(300),
            exchange_timeout: Millis(1_000),
            snapshot_part_timeout: Millis(5_000),
            max_concurrent_exchanges: 8,
            cross_region_percent: 15,
            max_push_bytes: 48 * 1024,
        }
    }
}

/// What a [`Gossiper`] needs.
#[derive(Debug)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// Incarnation of this start of the node.
    pub incarnation: u64,
    /// This node's region.
    pub region: Name,
    /// State to replicate.
    pub states: Vec<Arc<dyn GossipState>>,
    /// Signal changes that a state learned from elsewhere than from peers, such as from the
    /// key-value service or from an operator.
    pub changes: Vec<watch::Receiver<u64>>,
    /// Installs snapshots of the configuration.
    pub installer: Arc<dyn SnapshotInstaller>,
    /// Peers to exchange with.
    pub peers: Arc<dyn PeerSource>,
    /// Connections to them.
    pub transport: Arc<dyn Transport>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Timing and size limits.
    pub limits: Limits,
    /// Seed of peer selection and jitter.
    pub seed: u64,
    /// Stops the background tasks.
    pub stop: CancellationToken,
}

/// Replicates [`GossipState`]s by exchanges with peers.
#[derive(Debug)]
pub struct Gossiper {
    deps: Dependencies,
    selector: Mutex<PeerSelector>,
    /// Digest at the last push; what changed since is pushed next.
    last_sent: Mutex<Digest>,
    changed: Notify,
    /// Peer that is known to have a newer revision of the configuration.
    newer_peer: Mutex<Option<Peer>>,
    pull_requested: Notify,
    permits: Semaphore,
    snapshot_permit: Semaphore,
    has_reached_peer: AtomicBool,
}

impl Gossiper {
    /// Starts the background tasks.
    #[must_use]
    pub fn start(deps: Dependencies) -> Arc<Self> {
        let selector = PeerSelector::new(
            Arc::clone(&deps.region),
            deps.limits.cross_region_percent,
            deps.seed,
        );
        let gossiper = Arc::new(Self {
            selector: Mutex::new(selector),
            last_sent: Mutex::default(),
            changed: Notify::new(),
            newer_peer: Mutex::default(),
            pull_requested: Notify::new(),
            permits: Semaphore::new(deps.limits.max_concurrent_exchanges),
            snapshot_permit: Semaphore::new(1),
            has_reached_peer: AtomicBool::new(false),
            deps,
        });
        *lock(&gossiper.last_sent) = gossiper.digest();
        for changes in &gossiper.deps.changes {
            tokio::spawn(Arc::clone(&gossiper).watch_changes(changes.clone()));
        }
        tokio::spawn(Arc::clone(&gossiper).run_until_stopped(Self::exchange_loop));
        tokio::spawn(Arc::clone(&gossiper).run_until_stopped(Self::push_loop));
        tokio::spawn(Arc::clone(&gossiper).run_until_stopped(Self::pull_loop));
        gossiper
    }

    /// Pushes what changed since the last push.
    pub fn push_changes(&self) {
        self.changed.notify_one();
    }

    /// Pushes what a state learned from elsewhere than from peers.
    async fn watch_changes(self: Arc<Self>, mut changes: watch::Receiver<u64>) {
        loop {
            tokio::select! {
                () = self.deps.stop.cancelled() => return,
                result = changes.changed() => match result {
                    Ok(()) => self.push_changes(),
                    Err(_) => return,
                },
            }
        }
    }

    async fn run_until_stopped<F: Future<Output = ()>>(self: Arc<Self>, task: fn(Arc<Self>) -> F) {
        let stop = self.deps.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = task(self) => {}
        }
    }

    /// Exchanges with one peer at each interval.
    async fn exchange_loop(self: Arc<Self>) {
        loop {
            let interval = if self.has_reached_peer.load(Ordering::Relaxed) {
                self.deps.limits.interval
            } else {
                self.deps.limits.bootstrap_interval
            };
            let pause = lock(&self.selector).jitter(interval);
            tokio::time::sleep(pause.duration()).await;
            if let Some(peer) = self.select_peers(1).pop() {
                // A slow peer must not delay the next exchange.
                tokio::spawn(Arc::clone(&self).exchange_until_stopped(peer));
            }
        }
    }

    async fn exchange_until_stopped(self: Arc<Self>, peer: Peer) {
        let stop = self.deps.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.exchange_with_fallback(peer) => {}
        }
    }

    /// Exchanges with a peer, or with another one if that fails.
    async fn exchange_with_fallback(&self, peer: Peer) {
        if self.exchange_with(&peer, Digest::default()).await.is_err()
            && let Some(other) = self.select_peers(1).pop()
        {
            let _ = self.exchange_with(&other, Digest::default()).await;
        }
    }

    /// Pushes changes as they occur.
    async fn push_loop(self: Arc<Self>) {
        loop {
            self.changed.notified().await;
            let Some(changes) = self.take_changes() else {
                continue;
            };
            for round in 0..self.deps.limits.push_rounds {
                if round > 0 {
                    let pause = lock(&self.selector).jitter(self.deps.limits.push_round_interval);
                    tokio::time::sleep(pause.duration()).await;
                }
                let peers = self.select_peers(self.deps.limits.fanout);
                let count = peers.len();
                let exchanges = peers
                    .iter()
                    .map(|peer| self.exchange_with(peer, changes.clone()));
                let already_known = join_all(exchanges)
                    .await
                    .into_iter()
                    .filter(|changed| matches!(changed, Ok(false)))
                    .count();
                // When most peers knew already, they push the changes to the rest.
                if 2 * already_known > count {
                    break;
                }
            }
        }
    }

    /// Collects what changed since the last push, or returns `None` if nothing did.
    fn take_changes(&self) -> Option<Digest> {
        let now = self.digest();
        let before = std::mem::replace(&mut *lock(&self.last_sent), now.clone());
        if describes_same_state(&before, &now) {
            return None;
        }
        let mut changes = Delta::default();
        for state in &self.deps.states {
            state.fill_delta(&before, &mut changes);
        }
        if changes.encoded_len() > self.deps.limits.max_push_bytes {
            // Too large to push: peers see from the digest that they are behind and pull it.
            return Some(Digest::default());
        }
        Some(Digest {
            operations: changes.operations,
            claims: changes.claims,
            nodes: changes.nodes,
            ends: changes.ends,
            ..Digest::default()
        })
    }

    /// Exchanges with peers that are found to have a newer revision.
    async fn pull_loop(self: Arc<Self>) {
        loop {
            self.pull_requested.notified().await;
            let peer = lock(&self.newer_peer).take();
            if let Some(peer) = peer {
                let _ = self.exchange_with(&peer, Digest::default()).await;
            }
        }
    }

    /// Requests an exchange with a peer that has a newer revision.
    fn request_pull(&self, node: &str) {
        let mut peers = self.deps.peers.peers();
        peers.retain(|peer| &*peer.name == node);
        if let Some(peer) = peers.pop() {
            *lock(&self.newer_peer) = Some(peer);
            self.pull_requested.notify_one();
        }
    }

    fn select_peers(&self, count: usize) -> Vec<Peer> {
        let peers = self.deps.peers.peers();
        let now = self.deps.clock.now();
        lock(&self.selector).select(&peers, count, now)
    }

    fn digest(&self) -> Digest {
        let mut digest = Digest {
            node: self.deps.node.to_string(),
            incarnation: self.deps.incarnation,
            ..Digest::default()
        };
        for state in &self.deps.states {
            state.fill_digest(&mut digest);
        }
        digest
    }

    /// Exchanges with a peer, sending `changes` along. Returns whether they were new to the peer.
    async fn exchange_with(&self, peer: &Peer, changes: Digest) -> Result<bool, Failure> {
        let Ok(_permit) = self.permits.acquire().await else {
            return Err(Failure::new(Code::Draining, "gossip is shutting down"));
        };
        let mut digest = self.digest();
        digest.operations.extend(changes.operations);
        digest.claims.extend(changes.claims);
        digest.nodes.extend(changes.nodes);
        digest.ends.extend(changes.ends);
        let sent_at = self.deps.clock.now();
        let limit = self.deps.limits.exchange_timeout.duration();
        let call = self.deps.transport.exchange(peer, digest);
        let response = tokio::time::timeout(limit, call).await.unwrap_or_else(|_| {
            Err(Failure::new(
                Code::PeerLost,
                "no response within the exchange timeout",
            ))
        });
        let now = self.deps.clock.now();
        let mut delta = match response {
            Ok(delta) => delta,
            Err(failure) => {
                debug!("gossip: exchange with {} failed: {failure}", peer.address);
                lock(&self.selector).record_failure(peer, now);
                return Err(failure);
            }
        };
        lock(&self.selector).record_success(peer);
        self.has_reached_peer.store(true, Ordering::Relaxed);
        add_transit_time(&mut delta, now.since(sent_at));
        if self.merge_delta(&delta) {
            self.push_changes();
        }
        if delta.snapshot_needed {
            self.pull_snapshot(peer, &delta).await?;
        }
        Ok(delta.was_news)
    }

    fn merge_delta(&self, delta: &Delta) -> bool {
        // Not `any`: every state must merge the delta.
        let changed: Vec<bool> = self
            .deps
            .states
            .iter()
            .map(|state| state.merge_delta(delta))
            .collect();
        changed.contains(&true)
    }

    /// Reads and installs a snapshot of a peer's configuration, unless one is being read already.
    async fn pull_snapshot(&self, peer: &Peer, delta: &Delta) -> Result<(), Failure> {
        let revision = delta.digest.as_ref().map_or(0, |digest| digest.revision);
        let Ok(_permit) = self.snapshot_permit.try_acquire() else {
            return Ok(());
        };
        if !self.deps.installer.is_wanted(revision) {
            return Ok(());
        }
        let parts = self.read_snapshot(peer).await?;
        let installer = Arc::clone(&self.deps.installer);
        // Building a large configuration would block other exchanges on this worker thread.
        let changed = tokio::task::spawn_blocking(move || installer.install(parts)).await;
        if matches!(changed, Ok(true)) {
            self.push_changes();
        }
        Ok(())
    }

    async fn read_snapshot(&self, peer: &Peer) -> Result<Vec<SnapshotPart>, Failure> {
        let timed_out = |_| Failure::new(Code::PeerLost, "no snapshot part within its timeout");
        let limit = self.deps.limits.snapshot_part_timeout.duration();
        let opened = tokio::time::timeout(limit, self.deps.transport.snapshot(peer));
        let mut stream = opened.await.map_err(timed_out)??;
        let mut parts = Vec::new();
        let mut bytes = 0;
        while let Some(part) = tokio::time::timeout(limit, stream.next())
            .await
            .map_err(timed_out)?
        {
            let part = part?;
            bytes += part.encoded_len();
            if bytes > MAX_SNAPSHOT_BYTES {
                return Err(Failure::new(
                    Code::PeerLost,
                    "the snapshot exceeds the size limit",
                ));
            }
            parts.push(part);
        }
        Ok(parts)
    }
}

#[async_trait]
impl ExchangeHandler for Gossiper {
    async fn handle_exchange(&self, mut digest: Digest) -> Delta {
        let mut received = Delta {
            operations: std::mem::take(&mut digest.operations),
            claims: std::mem::take(&mut digest.claims),
            nodes: std::mem::take(&mut digest.nodes),
            ends: std::mem::take(&mut digest.ends),
            ..Delta::default()
        };
        // A node that was paused may read a request that has waited as long as the pause, and
        // can't tell. Only responses bound the age of what they say, by the time since the
        // request left, so the confirmed age of a request is ignored.
        let theirs = Digest {
            confirmed_age_ms: 0,
            ..digest
        };
        received.digest = Some(theirs.clone());
        let was_news = self.merge_delta(&received);
        if was_news {
            self.push_changes();
        }
        let mut delta = Delta {
            was_news,
            ..Delta::default()
        };
        for state in &self.deps.states {
            state.fill_delta(&theirs, &mut delta);
        }
        let own = self.digest();
        if own.revision < theirs.revision {
            self.request_pull(&theirs.node);
        }
        delta.digest = Some(own);
        delta
    }
}

/// Adds the round-trip time of an exchange to the ages in its response.
///
/// The peer stated the ages when it responded, at an unknown time after the request left.
/// Without the correction, a node that paused during the exchange would take old state for new.
fn add_transit_time(delta: &mut Delta, round_trip: Millis) {
    let round_trip_ms = u32::try_from(round_trip.0).unwrap_or(u32::MAX);
    for end in &mut delta.ends {
        end.age_ms = end.age_ms.saturating_add(round_trip_ms);
    }
    let Some(digest) = &mut delta.digest else {
        return;
    };
    digest.service_age_ms = digest.service_age_ms.saturating_add(round_trip.0);
    if digest.confirmed_age_ms > 0 {
        digest.confirmed_age_ms = digest.confirmed_age_ms.saturating_add(round_trip.0);
    }
    for heard in &mut digest.heard {
        heard.age_ms = heard.age_ms.saturating_add(round_trip_ms);
    }
    for leaving in &mut digest.leaving {
        leaving.age_ms = leaving.age_ms.saturating_add(round_trip_ms);
    }
    for survivor in &mut digest.survivors {
        survivor.age_ms = survivor.age_ms.saturating_add(round_trip_ms);
    }
}

/// Whether two digests of this node describe the same state, apart from ages.
fn describes_same_state(before: &Digest, now: &Digest) -> bool {
    let names = |digest: &Digest| -> Vec<String> {
        let leaving = digest.leaving.iter();
        let survivors = digest.survivors.iter();
        leaving
            .map(|leaving| leaving.upstream.clone())
            .chain(survivors.map(|survivor| survivor.request.clone()))
            .collect()
    };
    before.revision == now.revision
        && before.view_digest == now.view_digest
        && before.claims_digest == now.claims_digest
        && before.claims_token == now.claims_token
        && before.nodes_digest == now.nodes_digest
        && before.known_ends == now.known_ends
        && names(before) == names(now)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every update replaces a whole value or entry, so a panic leaves the values consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
