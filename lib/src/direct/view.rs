//! This node's view of the deployment.
//!
//! The follower updates it, and requests read it. Nodes don't agree on its contents: the key-value
//! service is the source of truth.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::config::Config;
use super::dialect::{Dialect, Key, UpstreamEntry};
use super::former_pools::FormerPools;
use super::presence::EntryRevision;
use super::quarantine::{CRASH_REPORT_PREFIX, HARMLESS_PREFIX, UNCONFIRMED_CRASH_PREFIX};
use super::reachability::Reachability;
use super::registration::{Register, Registration};
use super::rejections::notice::Notice;
use super::software;
use super::upstream::Upstream;
use super::versions::{Declaration, Declarations};
use crate::clock::Millis;
use crate::name::Name;
use crate::overload::delays::Delays;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::CrashLedger;
use crate::poison::report::CrashReport;
use crate::poison::unconfirmed::UnconfirmedCrashes;
use crate::ports::{Entry, network};

/// A node's record in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Distinguishes this start of the process from others.
    pub start: u64,
    /// Its failure domain; empty in a record of an older release.
    #[serde(default = "nowhere")]
    pub failure_domain: Name,
}

fn nowhere() -> Name {
    Name::from("")
}

/// The claim of a node to give orders to the engine at an address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The node that owns the engine.
    pub node: Name,
    /// The start of its process, as in its record.
    pub start: u64,
    /// Time from the last order to the write of this claim; set once the node has released it.
    pub left: Option<Millis>,
    /// When this start may begin to give orders, by the clock that counts from the VM's boot.
    #[serde(default)]
    pub from: Millis,
    /// The boot that `from` counts from; 0 in a claim of an older release.
    #[serde(default)]
    pub boot: u64,
    /// When no previous owner can send orders any more, by the clock of `from`; none if that was
    /// certain when the claim was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exclusive_from: Option<Millis>,
}

/// A claim with its revision in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimEntry {
    /// The claim.
    pub claim: Claim,
    /// The revision of its write, which is the fencing token.
    pub revision: u64,
    /// When this node first saw this revision.
    pub seen: Millis,
}

/// The upstreams of a pool.
#[derive(Debug, Clone, Default)]
struct PoolUpstreams {
    upstreams: Arc<[Arc<Upstream>]>,
    software: software::Versions,
}

/// The changes that this node has seen one by one, by the key-value service's revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SeenChanges {
    /// Before this revision, a key may have been written and deleted unseen.
    pub since: u64,
    /// The last revision.
    pub until: u64,
}

impl SeenChanges {
    /// Whether all changes after one revision and up to another were seen.
    #[must_use]
    pub const fn covers(self, after: u64, until: u64) -> bool {
        self.since <= after && until <= self.until
    }
}

/// The state behind the view's lock.
#[derive(Debug, Default)]
pub struct State {
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// Pools that served streams until the configuration moved their routes.
    pub former_pools: FormerPools,
    /// Upstreams by incarnation.
    pub upstreams: HashMap<Name, Arc<Upstream>>,
    /// Upstreams by pool, regrouped on the first access after a change.
    ///
    /// A starting node reads all upstreams in one listing. Regrouping at each of three thousand
    /// entries took ten seconds on a small VM, during which the node knew no configuration.
    pools: Option<HashMap<Name, PoolUpstreams>>,
    /// What upstreams say about the rejections that they bear, by pool.
    notices: HashMap<Name, Arc<Notice>>,
    /// Records of pools' software versions.
    pub software: software::Records,
    /// Declared versions by adapter.
    pub versions: HashMap<Name, Declarations>,
    /// Nodes by name.
    pub nodes: HashMap<Name, Peer>,
    /// The nodes of the deployment, with or without a record.
    pub register: Register,
    /// Claims by the engine's address.
    pub claims: HashMap<SocketAddr, ClaimEntry>,
    /// The changes that were seen one by one.
    pub seen: SeenChanges,
    /// When this node had read all claims, since when it has seen all changes.
    pub claims_read_at: Option<Millis>,
    /// The previous claim for each address, and when it was removed or replaced.
    pub previous_claims: HashMap<SocketAddr, (Claim, Millis)>,
    /// The maximum number of nodes seen at once, with or without a record.
    pub max_nodes_seen: usize,
    /// Crash reports, by which requests are blamed for crashes of upstreams.
    pub ledger: CrashLedger,
    /// Requests on broken connections to upstreams that aren't known yet to have crashed.
    pub unconfirmed_crashes: UnconfirmedCrashes,
    /// The number of nodes by which connection limits were last divided.
    share_node_count: usize,
    /// The network over which upstreams are reached.
    network: network::Handle,
}

/// This node's view of the deployment.
#[derive(Debug, Default)]
pub struct View {
    state: Mutex<State>,
    store_unreachable: AtomicBool,
    as_of: AtomicU64,
    /// Which upstreams this node reaches itself.
    pub reachability: Reachability,
    /// How late this node is with everything.
    pub delays: Delays,
    /// Notified after every change.
    pub changed: Notify,
}

/// The result of putting a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The record was applied.
    Applied,
    /// It can't be decoded.
    Unreadable,
    /// It is of no known kind.
    Unrelated,
}

/// Returns the subject that a record clears of blame, if the key is that of such a record.
fn harmless_subject(name: &str) -> Option<Fingerprint> {
    Fingerprint::read(name.strip_prefix(HARMLESS_PREFIX)?)
}

/// Returns the revision up to which reports of a subject don't count, if its record has one.
///
/// A record of a prompt part names the newest report that it refutes. A part can begin to crash
/// upstreams before the record is written.
fn covered_revision(subject: &Fingerprint, value: &[u8], revision: Option<u64>) -> Option<u64> {
    let written_at = revision?;
    let named = || serde_json::from_slice::<Option<u64>>(value).ok().flatten();
    let covered = subject.is_part().then(named).flatten();
    Some(covered.map_or(written_at, |covered| covered.min(written_at)))
}

/// Prefix of a claim's key, followed by the engine's address.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the engine's address in a claim's key.
#[must_use]
pub fn claim_address(name: &str) -> Option<SocketAddr> {
    name.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}

/// Fraction of an upstream's connections that all nodes together use.
///
/// The rest is reserved for connections that only one side has closed so far.
const USABLE_CONNECTIONS_FRACTION: f64 = 0.9;

/// Maximum number of connections to an upstream whose pool isn't configured yet.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

impl View {
    /// Creates an empty view whose upstreams are reached over a network.
    #[must_use]
    pub fn over(network: network::Handle) -> Self {
        let state = State {
            network,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            ..Self::default()
        }
    }

    /// Locks the state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Advances the time as of which all changes are known.
    pub fn advance_as_of(&self, as_of: Millis) {
        self.as_of.fetch_max(as_of.0, Ordering::Relaxed);
    }

    /// Returns the time as of which all changes are known.
    #[must_use]
    pub fn as_of(&self) -> Millis {
        Millis(self.as_of.load(Ordering::Relaxed))
    }

    /// Records whether the key-value service answered a call, and logs a change.
    pub fn record_store_call(&self, is_answered: bool) {
        let was_unreachable = self.store_unreachable.swap(!is_answered, Ordering::Relaxed);
        if was_unreachable == is_answered {
            let description = if is_answered {
                "answers"
            } else {
                "doesn't answer"
            };
            log::info!("view: the key-value service {description}");
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state().config.clone()
    }

    /// Returns the upstreams of a pool, without retired ones.
    #[must_use]
    pub fn pool(&self, pool: &str) -> Arc<[Arc<Upstream>]> {
        let mut state = self.state();
        let pool = state.pools().get(pool);
        pool.map(|pool| Arc::clone(&pool.upstreams))
            .unwrap_or_default()
    }

    /// Returns the upstreams of a pool at which streams may begin.
    #[must_use]
    pub fn stream_pool(&self, pool: &str) -> Arc<[Arc<Upstream>]> {
        let mut state = self.state();
        let Some(PoolUpstreams {
            upstreams,
            software,
        }) = state.pools().get(pool).cloned()
        else {
            return Arc::default();
        };
        let is_serving = |version: &Name| state.software.is_serving(pool, version);
        if software.iter().all(is_serving) {
            return upstreams;
        }
        let serving = upstreams.iter().filter(|one| is_serving(&one.software));
        serving.cloned().collect()
    }

    /// Returns the software versions by which streams of a pool may have begun; `None` if its
    /// record isn't known.
    #[must_use]
    pub fn software_versions(&self, pool: &str) -> Option<software::Versions> {
        let mut state = self.state();
        let listed = state.listed_software(pool);
        state.software.possible(pool, &listed)
    }

    /// Whether the last call to the key-value service was answered.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        !self.store_unreachable.load(Ordering::Relaxed)
    }

    /// Returns the newest version that operators declared for an adapter.
    #[must_use]
    pub fn newest(&self, adapter: &str) -> Option<Declaration> {
        self.state().versions.get(adapter)?.newest()
    }

    /// Returns the deadline for requests to begin on a version of an adapter; none if unlimited.
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

    /// Returns the addresses of the nodes that must vote for an extension of a node's ownership, or
    /// none if no other node is known.
    ///
    /// That this node has heard of no other one doesn't show that it is alone.
    #[must_use]
    pub fn voters(&self, node: &str) -> Option<Vec<SocketAddr>> {
        let others = self.nodes.iter().filter(|(name, _)| ***name != *node);
        let peers: Vec<SocketAddr> = others.map(|(_, peer)| peer.address).collect();
        (!peers.is_empty()).then_some(peers)
    }

    /// Applies a configuration unless it is older than, or the same as, the current one.
    ///
    /// Returns whether it was applied.
    pub fn apply_config(&mut self, config: Config, now: Millis) -> bool {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|current| current.version < config.version);
        if is_newer {
            if let Some(current) = &self.config {
                self.former_pools.replace(current, &config, now);
            }
            self.config = Some(Arc::new(config));
            self.update_connection_shares();
        }
        is_newer
    }

    /// Adds or updates an upstream from its entry.
    ///
    /// An entry of an earlier start than the known one is ignored: it was written late or by
    /// another writer. An entry of a later start replaces the upstream by a new one.
    pub fn put_upstream(&mut self, listed: &UpstreamEntry, revision: EntryRevision, now: Millis) {
        let known = self.upstreams.get(&listed.incarnation);
        if known.is_some_and(|upstream| upstream.has_restarted(listed, revision)) {
            log::info!("view: {} has restarted", listed.incarnation);
            self.remove_upstream(&listed.incarnation);
        }
        if let Some(upstream) = self.upstreams.get(&listed.incarnation) {
            if listed.held.started_at_ms == upstream.started_at_ms {
                upstream.update(listed, revision);
            }
        } else {
            let connection_share = self.connection_share(&listed.pool);
            let network = network::Handle::clone(&self.network);
            let notice = self.notices.entry(Name::clone(&listed.pool)).or_default();
            let upstream = Upstream::over(network, listed, revision, connection_share, now)
                .with_notice(Arc::clone(notice));
            let upstream = Arc::new(upstream);
            self.upstreams
                .insert(Name::clone(&listed.incarnation), upstream);
            // Heartbeats of known upstreams don't change their pools, so only new ones regroup.
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

    /// Adds or updates a node from its record.
    pub fn put_node(&mut self, name: Name, peer: Peer) {
        self.nodes.insert(name, peer);
        self.count_nodes();
    }

    /// Adds or updates a node's registration.
    pub fn put_registration(
        &mut self,
        name: Name,
        registration: Registration,
        revision: u64,
        now: Millis,
    ) {
        self.register.put(name, registration, revision, now);
        self.count_nodes();
    }

    /// Updates the number of nodes among which budgets and connections are divided.
    ///
    /// Nodes that restart have no record. A node that starts among them would take their shares.
    fn count_nodes(&mut self) {
        let count = self.nodes.len().max(self.register.len());
        if count > self.max_nodes_seen {
            self.max_nodes_seen = count;
            // Updating the shares for each of hundreds of nodes that appear at a start took a
            // second on a small VM. The reserved connections cover growth by a twentieth.
            if self.max_nodes_seen >= self.share_node_count + (self.share_node_count / 20).max(1) {
                self.update_connection_shares();
            }
        }
    }

    /// Replaces all claims by the given entries.
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

    /// Removes all claims whose addresses aren't present any more.
    pub fn retain_claims(&mut self, now: Millis, is_present: impl Fn(SocketAddr) -> bool) {
        self.claims_read_at.get_or_insert(now);
        let removed: Vec<SocketAddr> = self
            .claims
            .keys()
            .filter(|address| !is_present(**address))
            .copied()
            .collect();
        for address in removed {
            self.remove_claim(address, u64::MAX, now);
        }
    }

    /// Adds or updates a claim from its entry; returns whether it could be decoded.
    pub fn put_claim(&mut self, address: SocketAddr, entry: &Entry, now: Millis) -> bool {
        match serde_json::from_slice::<Claim>(&entry.value) {
            Ok(claim) => {
                let entry = ClaimEntry {
                    claim,
                    revision: entry.revision,
                    seen: now,
                };
                self.insert_claim(address, entry);
                true
            }
            Err(error) => {
                log::error!("view: can't decode {}: {error}", entry.key);
                false
            }
        }
    }

    /// Marks a claim of this node as released before the key-value service shows the change.
    ///
    /// It keeps its revision, so that older entries of the service don't replace it.
    pub fn release_claim(&mut self, address: SocketAddr, now: Millis) {
        if let Some(entry) = self.claims.get_mut(&address) {
            entry.claim.left = Some(Millis::ZERO);
            entry.seen = now;
        }
    }

    /// Inserts a claim unless a newer revision is known; the older one of two nodes' claims becomes
    /// the previous one.
    pub fn insert_claim(&mut self, address: SocketAddr, entry: ClaimEntry) {
        let Some(known) = self.claims.get(&address) else {
            self.claims.insert(address, entry);
            return;
        };
        let (is_newer, seen) = (known.revision < entry.revision, entry.seen);
        let is_other_node = known.claim.node != entry.claim.node;
        let older = if is_newer {
            self.claims.insert(address, entry)
        } else {
            Some(entry)
        };
        if let Some(older) = older.filter(|_| is_other_node) {
            self.previous_claims.insert(address, (older.claim, seen));
        }
    }

    /// Removes a claim, which becomes the previous one, unless it was made after the removal.
    pub fn remove_claim(&mut self, address: SocketAddr, revision: u64, now: Millis) {
        let is_removed = |entry: &mut ClaimEntry| entry.revision <= revision;
        let removed = self.claims.get_mut(&address).is_some_and(is_removed);
        if removed && let Some(previous) = self.claims.remove(&address) {
            self.previous_claims.insert(address, (previous.claim, now));
        }
    }

    /// Removes a node's name from its previous claims, after its ownership was interrupted.
    ///
    /// These claims don't show that the node was the last owner: another node may have owned an
    /// engine since then, have lost its claim too, and still give orders by the votes of others.
    pub fn anonymize_previous_claims(&mut self, node: &str) {
        let claims = self.previous_claims.values_mut().map(|(claim, _)| claim);
        for claim in claims.filter(|claim| &*claim.node == node) {
            claim.node = Name::from("");
        }
    }

    /// Applies a record that a node keeps in the key-value service, of a pool's software versions or
    /// of the quarantine, or one of the quarantine that a node sends to others.
    pub fn put_record(
        &mut self,
        name: &str,
        value: &[u8],
        revision: Option<u64>,
        now: Millis,
    ) -> PutOutcome {
        let Some(pool) = name.strip_prefix(software::SOFTWARE_PREFIX) else {
            return self.put_quarantine_record(name, value, revision, now);
        };
        // Streams may begin only at versions that the service has accepted.
        let Some(revision) = revision else {
            return PutOutcome::Unrelated;
        };
        match serde_json::from_slice::<software::Record>(value) {
            Ok(record) => {
                self.software.put(pool, record, revision, now);
                PutOutcome::Applied
            }
            Err(error) => {
                log::error!("view: can't decode {name}: {error}");
                PutOutcome::Unreadable
            }
        }
    }

    /// Applies a record if it belongs to the quarantine.
    ///
    /// It has no `revision` if another node sent it while the service was unavailable.
    pub fn put_quarantine_record(
        &mut self,
        name: &str,
        value: &[u8],
        revision: Option<u64>,
        now: Millis,
    ) -> PutOutcome {
        if let Some(subject) = harmless_subject(name) {
            let covered = covered_revision(&subject, value, revision);
            self.ledger.clear(&subject, covered);
            return PutOutcome::Applied;
        }
        let is_crash_report = name.starts_with(CRASH_REPORT_PREFIX);
        if !is_crash_report && !name.starts_with(UNCONFIRMED_CRASH_PREFIX) {
            return PutOutcome::Unrelated;
        }
        match serde_json::from_slice::<CrashReport>(value) {
            Ok(report) if is_crash_report => {
                self.ledger.add_report(name.into(), report, revision, now);
                PutOutcome::Applied
            }
            Ok(report) => {
                self.unconfirmed_crashes
                    .add_from_peer(name.into(), report, now);
                PutOutcome::Applied
            }
            Err(error) => {
                log::error!("view: can't decode {name}: {error}");
                PutOutcome::Unreadable
            }
        }
    }

    /// Removes a record of the quarantine.
    pub fn remove_quarantine_record(&mut self, name: &str) {
        match harmless_subject(name) {
            Some(subject) => self.ledger.remove_clearance(&subject),
            None => self.ledger.remove_report(name),
        }
    }

    /// Returns the software versions of a pool's upstreams in the list.
    pub fn listed_software(&mut self, pool: &str) -> software::Versions {
        let pool = self.pools().get(pool);
        pool.map(|pool| pool.software.clone()).unwrap_or_default()
    }

    /// Returns the names of the pools that have upstreams.
    pub fn pool_names(&mut self) -> Vec<Name> {
        self.pools().keys().cloned().collect()
    }

    fn pools(&mut self) -> &HashMap<Name, PoolUpstreams> {
        let upstreams = &self.upstreams;
        self.pools.get_or_insert_with(|| group_by_pool(upstreams))
    }

    /// Returns this node's share of an upstream's connections.
    ///
    /// An upstream resets connections beyond its limit for all clients together, even with
    /// requests in progress.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a share of a few hundred"
    )]
    fn connection_share(&self, pool: &str) -> usize {
        let total = self
            .config
            .as_ref()
            .and_then(|config| config.pools.get(pool))
            .map_or(DEFAULT_MAX_CONNECTIONS, |pool| pool.max_connections);
        let share = total as f64 * USABLE_CONNECTIONS_FRACTION / self.max_nodes_seen.max(1) as f64;
        (share as usize).max(2)
    }

    fn update_connection_shares(&mut self) {
        self.share_node_count = self.max_nodes_seen;
        for upstream in self.upstreams.values() {
            upstream
                .connection_pool
                .set_max_open(self.connection_share(&upstream.pool));
        }
    }
}

/// Groups upstreams by pool, sorted by incarnation so that the order is stable.
fn group_by_pool(upstreams: &HashMap<Name, Arc<Upstream>>) -> HashMap<Name, PoolUpstreams> {
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
            let mut software: software::Versions = upstreams
                .iter()
                .map(|one| Name::clone(&one.software))
                .collect();
            software.sort_unstable();
            software.dedup();
            let upstreams = upstreams.into();
            (
                pool,
                PoolUpstreams {
                    upstreams,
                    software,
                },
            )
        })
        .collect()
}
