//! Exchanges with peers: one each period, and at once when there is news.
//!
//! News reaches most nodes within a few hops, because each node that learns
//! something passes it to a few others once. Whom it misses, through loss or a
//! pause, finds out by the digests of the regular exchanges. Neither costs more
//! when there are more nodes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use futures::StreamExt;
use futures::future::join_all;
use log::debug;
use prost::Message;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use super::choice::Choice;
use super::{ExchangeHandler, GossipState, Peer, PeerSource, SnapshotInstaller, Transport};
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::schema::peer::{Delta, Digest, SnapshotPart};

/// Most bytes of a snapshot that is taken from a peer.
const MAX_SNAPSHOT: usize = 128 * 1024 * 1024;

/// How exchanges spend time and bytes.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time between two regular exchanges.
    pub interval: Millis,
    /// Time between tries while this node has reached nobody yet.
    pub bootstrap_interval: Millis,
    /// Peers that news is passed to at once.
    pub fanout: usize,
    /// How often news is passed on, to other peers each time.
    pub push_rounds: usize,
    /// Time between two waves of the same news.
    pub push_round_interval: Millis,
    /// How long an exchange may take.
    pub exchange_timeout: Millis,
    /// How long the next part of a snapshot may take.
    pub snapshot_part_timeout: Millis,
    /// Exchanges that this node has under way at a time.
    pub max_concurrent_exchanges: usize,
    /// How many of 100 exchanges go to another region.
    pub cross_region_percent: u32,
    /// Most bytes of news that are sent along with a digest.
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

/// What the exchange is made of.
#[derive(Debug)]
pub struct Dependencies {
    /// This node's name.
    pub node: Name,
    /// Which start of the node this is.
    pub incarnation: u64,
    /// This node's region.
    pub region: Name,
    /// What is spread.
    pub states: Vec<Arc<dyn GossipState>>,
    /// Change when a part learned something elsewhere than from peers, such as
    /// from the service or from an operator.
    pub changes: Vec<watch::Receiver<u64>>,
    /// Takes over snapshots.
    pub installer: Arc<dyn SnapshotInstaller>,
    /// Whom there is to speak to.
    pub peers: Arc<dyn PeerSource>,
    /// How to speak to them.
    pub transport: Arc<dyn Transport>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Times and bytes.
    pub limits: Limits,
    /// Seed of draws and jitter.
    pub seed: u64,
    /// Ends the exchange's tasks.
    pub stop: CancellationToken,
}

/// Exchanges with peers.
#[derive(Debug)]
pub struct Gossiper {
    parts: Dependencies,
    choice: Mutex<Choice>,
    /// What peers were last told; the difference to now is news.
    told: Mutex<Digest>,
    news: Notify,
    /// A peer that showed that it is ahead.
    ahead: Mutex<Option<Peer>>,
    pull: Notify,
    places: Semaphore,
    snapshot: Semaphore,
    reached: AtomicBool,
}

impl Gossiper {
    /// Starts the regular exchanges and the passing on of news.
    #[must_use]
    pub fn start(parts: Dependencies) -> Arc<Self> {
        let choice = Choice::new(
            Arc::clone(&parts.region),
            parts.limits.cross_region_percent,
            parts.seed,
        );
        let keeper = Arc::new(Self {
            choice: Mutex::new(choice),
            told: Mutex::default(),
            news: Notify::new(),
            ahead: Mutex::default(),
            pull: Notify::new(),
            places: Semaphore::new(parts.limits.max_concurrent_exchanges),
            snapshot: Semaphore::new(1),
            reached: AtomicBool::new(false),
            parts,
        });
        *lock(&keeper.told) = keeper.digest();
        for news in &keeper.parts.changes {
            tokio::spawn(Arc::clone(&keeper).hear(news.clone()));
        }
        tokio::spawn(Arc::clone(&keeper).until_stop(Self::rounds));
        tokio::spawn(Arc::clone(&keeper).until_stop(Self::waves));
        tokio::spawn(Arc::clone(&keeper).until_stop(Self::pulls));
        keeper
    }

    /// Passes on what is new here since peers were last told.
    pub fn push_changes(&self) {
        self.news.notify_one();
    }

    /// Passes on what a part learned elsewhere.
    async fn hear(self: Arc<Self>, mut news: watch::Receiver<u64>) {
        loop {
            tokio::select! {
                () = self.parts.stop.cancelled() => return,
                changed = news.changed() => match changed {
                    Ok(()) => self.push_changes(),
                    Err(_) => return,
                },
            }
        }
    }

    async fn until_stop<F: Future<Output = ()>>(self: Arc<Self>, task: fn(Arc<Self>) -> F) {
        let stop = self.parts.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = task(self) => {}
        }
    }

    /// Exchanges with one peer each period.
    async fn rounds(self: Arc<Self>) {
        loop {
            let period = if self.reached.load(Ordering::Relaxed) {
                self.parts.limits.interval
            } else {
                self.parts.limits.bootstrap_interval
            };
            let pause = lock(&self.choice).jitter(period);
            tokio::time::sleep(pause.duration()).await;
            if let Some(peer) = self.draw(1).pop() {
                // A peer that takes long must not hold up the next round.
                tokio::spawn(Arc::clone(&self).until_stop_with(peer));
            }
        }
    }

    async fn until_stop_with(self: Arc<Self>, peer: Peer) {
        let stop = self.parts.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.round(peer) => {}
        }
    }

    /// Exchanges with a peer, or with another one when it doesn't answer.
    async fn round(&self, peer: Peer) {
        if self.with(&peer, Digest::default()).await.is_err()
            && let Some(other) = self.draw(1).pop()
        {
            let _ = self.with(&other, Digest::default()).await;
        }
    }

    /// Passes news on as it comes.
    async fn waves(self: Arc<Self>) {
        loop {
            self.news.notified().await;
            let Some(news) = self.gather() else {
                continue;
            };
            for wave in 0..self.parts.limits.push_rounds {
                if wave > 0 {
                    let pause = lock(&self.choice).jitter(self.parts.limits.push_round_interval);
                    tokio::time::sleep(pause.duration()).await;
                }
                let peers = self.draw(self.parts.limits.fanout);
                let count = peers.len();
                let told = peers.iter().map(|peer| self.with(peer, news.clone()));
                let knew = join_all(told)
                    .await
                    .into_iter()
                    .filter(|told| matches!(told, Ok(false)))
                    .count();
                // When most knew it already, the others hear it from them.
                if 2 * knew > count {
                    break;
                }
            }
        }
    }

    /// Collects what a peer lacks that knows what was last told, if there is any.
    fn gather(&self) -> Option<Digest> {
        let now = self.digest();
        let before = std::mem::replace(&mut *lock(&self.told), now.clone());
        if is_alike(&before, &now) {
            return None;
        }
        let mut lacking = Delta::default();
        for share in &self.parts.states {
            share.fill_delta(&before, &mut lacking);
        }
        if lacking.encoded_len() > self.parts.limits.max_push_bytes {
            // Peers see from the digest that they are behind, and ask.
            return Some(Digest::default());
        }
        Some(Digest {
            operations: lacking.operations,
            claims: lacking.claims,
            nodes: lacking.nodes,
            ends: lacking.ends,
            ..Digest::default()
        })
    }

    /// Asks the peers that are ahead, as they show themselves.
    async fn pulls(self: Arc<Self>) {
        loop {
            self.pull.notified().await;
            let peer = lock(&self.ahead).take();
            if let Some(peer) = peer {
                let _ = self.with(&peer, Digest::default()).await;
            }
        }
    }

    /// Notes a peer that is ahead of this node.
    fn pull_from(&self, node: &str) {
        let mut peers = self.parts.peers.peers();
        peers.retain(|peer| &*peer.name == node);
        if let Some(peer) = peers.pop() {
            *lock(&self.ahead) = Some(peer);
            self.pull.notify_one();
        }
    }

    fn draw(&self, count: usize) -> Vec<Peer> {
        let peers = self.parts.peers.peers();
        let now = self.parts.clock.now();
        lock(&self.choice).draw(&peers, count, now)
    }

    fn digest(&self) -> Digest {
        let mut digest = Digest {
            node: self.parts.node.to_string(),
            incarnation: self.parts.incarnation,
            ..Digest::default()
        };
        for share in &self.parts.states {
            share.fill_digest(&mut digest);
        }
        digest
    }

    /// Exchanges with a peer, sending news along. Returns whether it was news to the peer.
    async fn with(&self, peer: &Peer, news: Digest) -> Result<bool, Failure> {
        let Ok(_place) = self.places.acquire().await else {
            return Err(Failure::new(Code::Draining, "the exchange stopped"));
        };
        let mut digest = self.digest();
        digest.operations.extend(news.operations);
        digest.claims.extend(news.claims);
        digest.nodes.extend(news.nodes);
        digest.ends.extend(news.ends);
        let sent = self.parts.clock.now();
        let limit = self.parts.limits.exchange_timeout.duration();
        let call = self.parts.transport.exchange(peer, digest);
        let answer = tokio::time::timeout(limit, call)
            .await
            .unwrap_or_else(|_| Err(Failure::new(Code::PeerLost, "the exchange took too long")));
        let now = self.parts.clock.now();
        let mut delta = match answer {
            Ok(delta) => delta,
            Err(failure) => {
                debug!("gossip: {}: {failure}", peer.address);
                lock(&self.choice).failed(peer, now);
                return Err(failure);
            }
        };
        lock(&self.choice).answered(peer);
        self.reached.store(true, Ordering::Relaxed);
        grow_older(&mut delta, now.since(sent));
        if self.learn(&delta) {
            self.push_changes();
        }
        if delta.snapshot_needed {
            self.take_snapshot(peer, &delta).await?;
        }
        Ok(delta.was_news)
    }

    fn learn(&self, delta: &Delta) -> bool {
        // Every part learns, whatever the others found.
        let news: Vec<bool> = self
            .parts
            .states
            .iter()
            .map(|share| share.merge_delta(delta))
            .collect();
        news.contains(&true)
    }

    /// Reads a peer's whole configuration, one at a time.
    async fn take_snapshot(&self, peer: &Peer, delta: &Delta) -> Result<(), Failure> {
        let revision = delta.digest.as_ref().map_or(0, |digest| digest.revision);
        let Ok(_one) = self.snapshot.try_acquire() else {
            return Ok(());
        };
        if !self.parts.installer.is_wanted(revision) {
            return Ok(());
        }
        let parts = self.read_snapshot(peer).await?;
        let install = Arc::clone(&self.parts.installer);
        // Building a large configuration takes a while; exchanges go on meanwhile.
        let news = tokio::task::spawn_blocking(move || install.install(parts)).await;
        if matches!(news, Ok(true)) {
            self.push_changes();
        }
        Ok(())
    }

    async fn read_snapshot(&self, peer: &Peer) -> Result<Vec<SnapshotPart>, Failure> {
        let late = |_| Failure::new(Code::PeerLost, "the snapshot stopped");
        let limit = self.parts.limits.snapshot_part_timeout.duration();
        let opened = tokio::time::timeout(limit, self.parts.transport.snapshot(peer));
        let mut stream = opened.await.map_err(late)??;
        let mut parts = Vec::new();
        let mut bytes = 0;
        while let Some(part) = tokio::time::timeout(limit, stream.next())
            .await
            .map_err(late)?
        {
            let part = part?;
            bytes += part.encoded_len();
            if bytes > MAX_SNAPSHOT {
                return Err(Failure::new(Code::PeerLost, "the snapshot is too large"));
            }
            parts.push(part);
        }
        Ok(parts)
    }
}

#[async_trait]
impl ExchangeHandler for Gossiper {
    async fn handle_exchange(&self, mut digest: Digest) -> Delta {
        let mut told = Delta {
            operations: std::mem::take(&mut digest.operations),
            claims: std::mem::take(&mut digest.claims),
            nodes: std::mem::take(&mut digest.nodes),
            ends: std::mem::take(&mut digest.ends),
            ..Delta::default()
        };
        // A node that was paused reads requests that are as old as its pause,
        // and can't tell: only answers prove how old what they tell is.
        let theirs = Digest {
            confirmed_age_ms: 0,
            ..digest
        };
        told.digest = Some(theirs.clone());
        let was_news = self.learn(&told);
        if was_news {
            self.push_changes();
        }
        let mut delta = Delta {
            was_news,
            ..Delta::default()
        };
        for share in &self.parts.states {
            share.fill_delta(&theirs, &mut delta);
        }
        let own = self.digest();
        if own.revision < theirs.revision {
            self.pull_from(&theirs.node);
        }
        delta.digest = Some(own);
        delta
    }
}

/// Adds the time that an answer was under way to the ages that it tells.
///
/// The peer stated them when it answered, at some time after the request left;
/// taking them as of now could make a paused node's state look new.
fn grow_older(delta: &mut Delta, span: Millis) {
    let small = u32::try_from(span.0).unwrap_or(u32::MAX);
    for end in &mut delta.ends {
        end.age_ms = end.age_ms.saturating_add(small);
    }
    let Some(digest) = &mut delta.digest else {
        return;
    };
    digest.service_age_ms = digest.service_age_ms.saturating_add(span.0);
    if digest.confirmed_age_ms > 0 {
        digest.confirmed_age_ms = digest.confirmed_age_ms.saturating_add(span.0);
    }
    for heard in &mut digest.heard {
        heard.age_ms = heard.age_ms.saturating_add(small);
    }
    for leaving in &mut digest.leaving {
        leaving.age_ms = leaving.age_ms.saturating_add(small);
    }
    for survivor in &mut digest.survivors {
        survivor.age_ms = survivor.age_ms.saturating_add(small);
    }
}

/// Whether two digests of this node tell of the same state, ages aside.
fn is_alike(before: &Digest, now: &Digest) -> bool {
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
    // What stands behind these locks is replaced whole, so a panic leaves it sound.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
