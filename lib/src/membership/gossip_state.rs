//! Replication of claims, node records and leave notices by gossip.
//!
//! It tells a node that can't reach the key-value service who owns which upstream, and nodes
//! that don't watch the service of changes within a few exchanges.

use bytes::Bytes;

use crate::clock::Millis;
use crate::gossip::{GossipState, Peer, PeerSource};
use crate::membership::last_seen;
use crate::membership::manager::{Core, MembershipManager};
use crate::membership::node::{Claim, Record};
use crate::name::Name;
use crate::schema::peer::{self, Delta, Digest};

/// Consecutive exchanges with differing tables after which the whole table is requested.
const MISMATCHES_BEFORE_FULL_SYNC: u32 = 3;
/// A node whose record ended stays a peer while its last heartbeat is younger than this.
const ENDED_PEER_TTL: Millis = Millis::from_secs(30);

/// Results of comparing this node's table with those of peers.
#[derive(Debug, Default)]
pub(super) struct SyncProgress {
    consecutive_mismatches: u32,
}

/// A node as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The node's record.
    pub record: Record,
    /// Age of its latest heartbeat; `None` if there was none.
    pub last_heard_age: Option<Millis>,
}

impl MembershipManager {
    /// Lists the live nodes that are known, including this one.
    #[must_use]
    pub fn nodes(&self) -> Vec<NodeStatus> {
        let now = self.deps.clock.now();
        let core = self.lock();
        core.machine
            .table()
            .live_records()
            .map(|record| NodeStatus {
                record: record.clone(),
                last_heard_age: core
                    .last_seen
                    .get(&record.identity.name)
                    .map(|heartbeat| now.since(heartbeat.at)),
            })
            .collect()
    }
}

impl PeerSource for MembershipManager {
    fn peers(&self) -> Vec<Peer> {
        let now = self.deps.clock.now();
        let own = &self.deps.identity;
        let core = self.lock();
        let heard_recently = |record: &Record| {
            let heartbeat = core.last_seen.get(&record.identity.name);
            heartbeat.is_some_and(|heartbeat| now.since(heartbeat.at) < ENDED_PEER_TTL)
        };
        let peers: Vec<Peer> = core
            .machine
            .table()
            .records()
            .filter(|record| record.identity.name != own.name)
            .filter(|record| !record.gone || heard_recently(record))
            .map(|record| Peer {
                name: record.identity.name.clone(),
                address: record.identity.peer,
                region: record.identity.region.clone(),
            })
            .collect();
        if !peers.is_empty() {
            return peers;
        }
        let seeds = self.deps.seed_peers.iter();
        seeds
            .filter(|address| **address != own.peer)
            .map(|address| Peer {
                name: Name::from(""),
                address: *address,
                region: own.region.clone(),
            })
            .collect()
    }
}

impl GossipState for MembershipManager {
    fn fill_digest(&self, digest: &mut Digest) {
        let now = self.deps.clock.now();
        let own = &self.deps.identity;
        let mut core = self.lock();
        digest.node = own.name.to_string();
        digest.incarnation = own.incarnation;
        let table = core.machine.table();
        digest.claims_digest = Bytes::copy_from_slice(&table.digest().to_le_bytes());
        digest.claims_token = table.max_revision();
        let age = core.machine.service_age(now);
        digest.service_age_ms = age.map_or(u64::MAX, |age| age.0);
        digest.full_claims = core.sync.consecutive_mismatches >= MISMATCHES_BEFORE_FULL_SYNC;
        digest.heard = core.last_seen.next_batch(now);
        digest.leaving = core
            .upstreams
            .leave_notices(now)
            .map(|(upstream, age)| peer::Leaving {
                upstream: upstream.to_string(),
                age_ms: u32::try_from(age.0).unwrap_or(u32::MAX),
            })
            .collect();
        // Until its record can be read from the service, the node announces itself, so that
        // peers know a node that started while the service is unavailable.
        if core.machine.table().live_record(&own.name).is_none() {
            digest.nodes = vec![unregistered_record(self)];
        }
    }

    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta) {
        let core = self.lock();
        let table = core.machine.table();
        if *theirs.claims_digest == table.digest().to_le_bytes() {
            return;
        }
        let after = if theirs.full_claims {
            0
        } else {
            theirs.claims_token
        };
        delta.claims = table
            .claims()
            .filter(|claim| claim.token > after)
            .map(Claim::to_message)
            .collect();
        delta.nodes = table
            .records()
            .filter(|record| record.revision > after)
            .map(Record::to_message)
            .collect();
    }

    fn merge_delta(&self, delta: &Delta) -> bool {
        let now = self.deps.clock.now();
        let mut guard = self.lock();
        let core = &mut *guard;
        let mut changed = false;
        for claim in delta.claims.iter().filter_map(Claim::from_message) {
            changed |= core
                .machine
                .merge_from_peer(now, |table| table.merge_claim(claim));
        }
        let records = delta.nodes.iter().filter(|node| node.revision > 0);
        for record in records.filter_map(Record::from_message) {
            changed |= core
                .machine
                .merge_from_peer(now, |table| table.merge_record(record));
        }
        if let Some(digest) = &delta.digest {
            merge_digest(core, now, digest);
        }
        self.publish(core, now);
        changed
    }
}

fn merge_digest(core: &mut Core, now: Millis, digest: &Digest) {
    let equal = *digest.claims_digest == core.machine.table().digest().to_le_bytes();
    core.sync.consecutive_mismatches = if equal {
        0
    } else {
        core.sync.consecutive_mismatches + 1
    };
    if core.sync.consecutive_mismatches > MISMATCHES_BEFORE_FULL_SYNC {
        core.sync.consecutive_mismatches = 0;
    }
    core.last_seen.record(
        &digest.node,
        last_seen::Heartbeat {
            incarnation: digest.incarnation,
            at: now,
            draining: false,
        },
    );
    for heard in &digest.heard {
        core.last_seen.record(
            &heard.node,
            last_seen::Heartbeat {
                incarnation: heard.incarnation,
                at: now.since(Millis(u64::from(heard.age_ms))),
                draining: heard.draining,
            },
        );
    }
    for leaving in &digest.leaving {
        let at = now.since(Millis(u64::from(leaving.age_ms)));
        core.upstreams.record_leave_notice(at, &leaving.upstream);
    }
}

fn unregistered_record(manager: &MembershipManager) -> peer::NodeRecord {
    let own = &manager.deps.identity;
    peer::NodeRecord {
        node: own.name.to_string(),
        incarnation: own.incarnation,
        peer_address: own.peer.to_string(),
        region: own.region.to_string(),
        failure_domain: own.failure_domain.to_string(),
        operators_address: own.operators.to_string(),
        ..peer::NodeRecord::default()
    }
}
