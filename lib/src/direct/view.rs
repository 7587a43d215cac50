//! What this node believes about the deployment.
//!
//! The follower writes it, requests read it. Nothing here is agreed between
//! nodes: the key-value service is the arbiter.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::config::Config;
use super::dialect::{Dialect, Key, UpstreamEntry};
use super::presence::EntryRevision;
use super::quarantine::{CRASH_REPORT_PREFIX, HARMLESS_PREFIX, UNCONFIRMED_CRASH_PREFIX};
use super::upstream::Upstream;
use super::versions::{Declaration, Declarations};
use crate::clock::Millis;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::{CrashLedger, CrashReport};
use crate::poison::unconfirmed::UnconfirmedCrashes;
use crate::ports::Entry;

/// Another node, as its record in the key-value service has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Distinguishes one start of the process from the next.
    pub start: u64,
    /// Its failure domain; empty in the record of an older release.
    #[serde(default = "nowhere")]
    pub failure_domain: Name,
}

fn nowhere() -> Name {
    Name::from("")
}

/// Who gives orders to the engine at an address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The node.
    pub node: Name,
    /// The start of its process.
    pub start: u64,
    /// Set when the node has given the claim up: time from the last order to the write.
    pub left: Option<Millis>,
    /// From when on this start may give orders, by the clock that counts from the VM's boot.
    #[serde(default)]
    pub from: Millis,
    /// The boot that `from` counts from; 0 in the claim of an older release.
    #[serde(default)]
    pub boot: u64,
}

/// A claim with where it stands in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Who.
    pub claim: Claim,
    /// Revision of the write: the fencing token.
    pub revision: u64,
    /// When this node saw it.
    pub seen: Millis,
}

/// State behind the view's lock.
#[derive(Debug, Default)]
pub struct State {
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// Upstreams by incarnation.
    pub upstreams: HashMap<Name, Arc<Upstream>>,
    /// Upstreams by pool, made anew when they are asked for after a change.
    ///
    /// A node that starts hears of all upstreams in one listing. Grouped and sorted at each, three
    /// thousand took a small VM ten seconds in which it knew of no configuration.
    pools: Option<HashMap<Name, Arc<[Arc<Upstream>]>>>,
    /// Declared versions by adapter.
    pub versions: HashMap<Name, Declarations>,
    /// Nodes by name.
    pub nodes: HashMap<Name, Peer>,
    /// Claims by the engine's address.
    pub claims: HashMap<SocketAddr, ClaimEntry>,
    /// When this node first knew all claims.
    pub claims_read_at: Option<Millis>,
    /// The claim that stood last, and when it vanished.
    pub previous_claims: HashMap<SocketAddr, (Claim, Millis)>,
    /// Most nodes ever seen at once.
    pub max_nodes_seen: usize,
    /// What speaks against requests under which upstreams ended.
    pub ledger: CrashLedger,
    /// Requests that stood where a connection broke, while nobody knows whether the upstream ended.
    pub unconfirmed_crashes: UnconfirmedCrashes,
    /// Nodes among which upstreams' connections were last shared out.
    shared_among: usize,
}

/// What this node believes about the deployment.
#[derive(Debug, Default)]
pub struct View {
    state: Mutex<State>,
    out_of_touch: AtomicBool,
    as_of: AtomicU64,
    /// Wakes whoever waits for a change.
    pub changed: Notify,
}

/// What became of a record that may be about requests under which upstreams ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It was taken in.
    Applied,
    /// It is one, and can't be read.
    Unreadable,
    /// It is about something else.
    Unrelated,
}

/// Returns the request that a survivor's record is for.
fn survivor(name: &str) -> Option<Fingerprint> {
    Fingerprint::read(name.strip_prefix(HARMLESS_PREFIX)?)
}

/// Name of a claim, with the engine's address behind it.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the address that a claim is for.
#[must_use]
pub fn claim_address(name: &str) -> Option<SocketAddr> {
    name.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}

/// Part of an upstream's connections that all nodes together use.
///
/// The rest is left for connections that one side still thinks open.
const CONNECTION_SHARE: f64 = 0.9;

impl View {
    /// Locks the state; never hold it over an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes up to when all changes are known.
    pub fn advance_as_of(&self, as_of: Millis) {
        self.as_of.fetch_max(as_of.0, Ordering::Relaxed);
    }

    /// Returns up to when all changes are known.
    #[must_use]
    pub fn as_of(&self) -> Millis {
        Millis(self.as_of.load(Ordering::Relaxed))
    }

    /// Notes whether the key-value service answered the last call.
    pub fn record_store_call(&self, answered: bool) {
        let lost = self.out_of_touch.swap(!answered, Ordering::Relaxed);
        if lost == answered {
            let says = if answered {
                "answers"
            } else {
                "doesn't answer"
            };
            log::info!("view: the key-value service {says}");
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state().config.clone()
    }

    /// Returns the upstreams of a pool, retired ones excluded.
    #[must_use]
    pub fn pool(&self, pool: &str) -> Arc<[Arc<Upstream>]> {
        self.state().pools().get(pool).cloned().unwrap_or_default()
    }

    /// Returns the newest version of an adapter that operators declared.
    #[must_use]
    pub fn newest(&self, adapter: &str) -> Option<Declaration> {
        self.state().versions.get(adapter)?.newest()
    }

    /// Returns until when a request may begin on a version of an adapter; none is without end.
    #[must_use]
    pub fn begin_deadline(&self, adapter: &str, version: u64, limit: Millis) -> Option<Millis> {
        self.state()
            .versions
            .get(adapter)?
            .begin_deadline(version, limit)
    }

    /// Returns the node that gives orders to the engine at an address.
    #[must_use]
    pub fn owner(&self, address: SocketAddr) -> Option<(Name, Peer)> {
        let state = self.state();
        let (node, peer) = state.owner(address)?;
        Some((Name::clone(node), peer.clone()))
    }
}

impl State {
    /// Returns the node that gives orders to the engine at an address.
    #[must_use]
    pub fn owner(&self, address: SocketAddr) -> Option<(&Name, &Peer)> {
        let claim = &self.claims.get(&address)?.claim;
        if claim.left.is_some() {
            return None;
        }
        Some((&claim.node, self.nodes.get(&claim.node)?))
    }

    /// Takes in a configuration; an older one than is in force is left aside.
    ///
    /// Returns whether it is in force now.
    pub fn apply_config(&mut self, config: Config) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|current| current.version < config.version);
        if newer {
            self.config = Some(Arc::new(config));
            self.share_connections();
        }
        newer
    }

    /// Takes in an upstream's entry.
    ///
    /// An entry of an earlier start than is known is left aside: it was written late, or by
    /// somebody else. One of a later start is another upstream, which knows nothing of before.
    pub fn put_upstream(&mut self, listed: &UpstreamEntry, written: EntryRevision, now: Millis) {
        let known = self.upstreams.get(&listed.incarnation);
        if known.is_some_and(|upstream| listed.held.started_at_ms > upstream.started_at_ms) {
            log::info!("view: {} has started again", listed.incarnation);
            self.remove_upstream(&listed.incarnation);
        }
        if let Some(upstream) = self.upstreams.get(&listed.incarnation) {
            if listed.held.started_at_ms == upstream.started_at_ms {
                upstream.update(listed, written);
            }
        } else {
            let connections = self.connections(&listed.pool);
            let upstream = Arc::new(Upstream::new(listed, written, connections, now));
            self.upstreams
                .insert(Name::clone(&listed.incarnation), upstream);
            // Only now: a heartbeat of an upstream that is known moves it to no other pool.
            self.pools = None;
        }
    }

    /// Removes an upstream that has left.
    pub fn remove_upstream(&mut self, incarnation: &str) {
        if let Some(upstream) = self.upstreams.remove(incarnation) {
            upstream.retire();
            self.pools = None;
        }
    }

    /// Takes in a node's record.
    pub fn put_node(&mut self, name: Name, peer: Peer) {
        self.nodes.insert(name, peer);
        if self.nodes.len() > self.max_nodes_seen {
            self.max_nodes_seen = self.nodes.len();
            // Shared out anew for each of hundreds of nodes that appear at a start, this took a
            // second of a small VM; a twentieth is within what is left free.
            if self.max_nodes_seen >= self.shared_among + (self.shared_among / 20).max(1) {
                self.share_connections();
            }
        }
    }

    /// Takes in all claims, and that those not among them are gone.
    pub fn replace_claims(&mut self, dialect: &dyn Dialect, entries: &[Entry], now: Millis) {
        let mut present = HashSet::new();
        for entry in entries {
            let Key::Own(name) = dialect.parse_key(&entry.key) else {
                continue;
            };
            if let Some(address) = claim_address(&name) {
                present.insert(address);
                self.put_claim(address, entry, now);
            }
        }
        self.retain_claims(now, |address| present.contains(&address));
    }

    /// Takes in that all claims but some are gone.
    pub fn retain_claims(&mut self, now: Millis, kept: impl Fn(SocketAddr) -> bool) {
        self.claims_read_at.get_or_insert(now);
        let gone: Vec<SocketAddr> = self
            .claims
            .keys()
            .filter(|address| !kept(**address))
            .copied()
            .collect();
        for address in gone {
            self.remove_claim(address, now);
        }
    }

    /// Takes in a claim as the key-value service holds it; returns whether it can be read.
    pub fn put_claim(&mut self, address: SocketAddr, entry: &Entry, now: Millis) -> bool {
        match serde_json::from_slice::<Claim>(&entry.value) {
            Ok(claim) => {
                let standing = ClaimEntry {
                    claim,
                    revision: entry.revision,
                    seen: now,
                };
                self.insert_claim(address, standing);
                true
            }
            Err(error) => {
                log::error!("view: {} can't be read: {error}", entry.key);
                false
            }
        }
    }

    /// Marks a claim of this node as given up, before the key-value service shows it.
    ///
    /// It keeps its revision, so that what the service said of it before is left aside.
    pub fn release_claim(&mut self, address: SocketAddr, now: Millis) {
        if let Some(standing) = self.claims.get_mut(&address) {
            standing.claim.left = Some(Millis::ZERO);
            standing.seen = now;
        }
    }

    /// Takes in a claim; one that is older than what is known is left aside.
    pub fn insert_claim(&mut self, address: SocketAddr, standing: ClaimEntry) {
        if self
            .claims
            .get(&address)
            .is_some_and(|known| known.revision >= standing.revision)
        {
            return;
        }
        if let Some(former) = self.claims.get(&address)
            && former.claim.node != standing.claim.node
        {
            let former = former.claim.clone();
            self.previous_claims
                .insert(address, (former, standing.seen));
        }
        self.claims.insert(address, standing);
    }

    /// Takes in that a claim is gone.
    pub fn remove_claim(&mut self, address: SocketAddr, now: Millis) {
        if let Some(former) = self.claims.remove(&address) {
            self.previous_claims.insert(address, (former.claim, now));
        }
    }

    /// Takes in that a node's right was broken: its vanished claims say nothing of who came behind.
    ///
    /// Another node may have owned an engine meanwhile and lost its claim too, and goes on by the
    /// votes of others.
    pub fn anonymize_previous_claims(&mut self, node: &str) {
        let claims = self.previous_claims.values_mut().map(|(claim, _)| claim);
        for claim in claims.filter(|claim| &*claim.node == node) {
            claim.node = Name::from("");
        }
    }

    /// Takes in a record about requests under which upstreams ended, if it is one.
    ///
    /// It has no `revision` where another node told of it, as the service doesn't take it now.
    pub fn put_quarantine_record(
        &mut self,
        name: &str,
        value: &[u8],
        revision: Option<u64>,
        now: Millis,
    ) -> PutOutcome {
        if let Some(request) = survivor(name) {
            self.ledger.clear(&request, revision);
            return PutOutcome::Applied;
        }
        let is_end = name.starts_with(CRASH_REPORT_PREFIX);
        if !is_end && !name.starts_with(UNCONFIRMED_CRASH_PREFIX) {
            return PutOutcome::Unrelated;
        }
        match serde_json::from_slice::<CrashReport>(value) {
            Ok(report) if is_end => {
                self.ledger.add_report(name.into(), report, revision, now);
                PutOutcome::Applied
            }
            Ok(report) => {
                self.unconfirmed_crashes
                    .add_from_peer(name.into(), report, now);
                PutOutcome::Applied
            }
            Err(error) => {
                log::error!("view: {name} can't be read: {error}");
                PutOutcome::Unreadable
            }
        }
    }

    /// Takes in that such a record is gone.
    pub fn remove_quarantine_record(&mut self, name: &str) {
        match survivor(name) {
            Some(request) => self.ledger.remove_clearance(&request),
            None => self.ledger.remove_report(name),
        }
    }

    fn pools(&mut self) -> &HashMap<Name, Arc<[Arc<Upstream>]>> {
        let upstreams = &self.upstreams;
        self.pools.get_or_insert_with(|| grouped(upstreams))
    }

    /// Returns this node's share of an upstream's connections.
    ///
    /// An upstream resets what exceeds its limit over all callers, requests in
    /// progress included.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a share of a few hundred"
    )]
    fn connections(&self, pool: &str) -> usize {
        let whole = self
            .config
            .as_ref()
            .and_then(|config| config.pools.get(pool))
            .map_or(64, |pool| pool.max_connections);
        let share = whole as f64 * CONNECTION_SHARE / self.max_nodes_seen.max(1) as f64;
        (share as usize).max(2)
    }

    fn share_connections(&mut self) {
        self.shared_among = self.max_nodes_seen;
        for upstream in self.upstreams.values() {
            upstream.link.limit(self.connections(&upstream.pool));
        }
    }
}

/// Groups upstreams by pool, in an order that doesn't change.
fn grouped(upstreams: &HashMap<Name, Arc<Upstream>>) -> HashMap<Name, Arc<[Arc<Upstream>]>> {
    let mut pools: HashMap<Name, Vec<Arc<Upstream>>> = HashMap::new();
    for upstream in upstreams.values() {
        pools
            .entry(Name::clone(&upstream.pool))
            .or_default()
            .push(Arc::clone(upstream));
    }
    pools
        .into_iter()
        .map(|(pool, mut upstreams)| {
            upstreams.sort_by(|one, other| one.incarnation.cmp(&other.incarnation));
            (pool, upstreams.into())
        })
        .collect()
}
