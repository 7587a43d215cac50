//! The nodes and claims that a node knows of, from the key-value service and from peers.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::membership::guard::{Guard, Guards};
use crate::membership::node::{Claim, Key, Keys, Record};
use crate::name::Name;
use crate::ports::{Event, Listing};

/// Number of ended records that are kept as tombstones for peers.
const MAX_TOMBSTONES: usize = 256;

/// Known nodes and claims. Every entry carries a revision of the key-value service, and the
/// entry of the larger revision wins.
#[derive(Debug)]
pub struct MembershipTable {
    keys: Keys,
    guards: Guards,
    claims: BTreeMap<Name, Claim>,
    nodes: BTreeMap<Name, Record>,
    registrations: BTreeMap<(Name, u64), Record>,
    read_revision: u64,
    version: u64,
    has_read: bool,
}

impl MembershipTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(keys: Keys, guards: Guards) -> Self {
        Self {
            keys,
            guards,
            claims: BTreeMap::new(),
            nodes: BTreeMap::new(),
            registrations: BTreeMap::new(),
            read_revision: 0,
            version: 0,
            has_read: false,
        }
    }

    /// Returns the revision up to which this node itself has read the key-value service.
    #[must_use]
    pub fn read_revision(&self) -> u64 {
        self.read_revision
    }

    /// Returns a number that increases with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this node itself has read the membership keys.
    #[must_use]
    pub fn has_read(&self) -> bool {
        self.has_read
    }

    /// Iterates over the claims, ordered by upstream.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// Returns an upstream's claim.
    #[must_use]
    pub fn claim(&self, upstream: &str) -> Option<&Claim> {
        self.claims.get(upstream)
    }

    /// Iterates over the nodes' records, recently ended ones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.nodes.values()
    }

    /// Iterates over the records that aren't known to have ended.
    pub fn live_records(&self) -> impl Iterator<Item = &Record> {
        self.nodes.values().filter(|record| !record.gone)
    }

    /// Returns a node's record unless it has ended.
    #[must_use]
    pub fn live_record(&self, name: &str) -> Option<&Record> {
        self.nodes.get(name).filter(|record| !record.gone)
    }

    /// Returns a node's record, live or ended.
    #[must_use]
    pub fn record(&self, name: &str) -> Option<&Record> {
        self.nodes.get(name)
    }

    /// Returns the last record that this incarnation of a node wrote, whether or not its lease
    /// still exists.
    #[must_use]
    pub fn registration(&self, name: &Name, incarnation: u64) -> Option<&Record> {
        self.registrations.get(&(name.clone(), incarnation))
    }

    /// Iterates over the last record that each incarnation of a node wrote.
    pub fn registrations(&self) -> impl Iterator<Item = &Record> {
        self.registrations.values()
    }

    /// Returns whether the owner that a claim names has a live record.
    #[must_use]
    pub fn has_live_owner(&self, claim: &Claim) -> bool {
        self.live_record(&claim.node)
            .is_some_and(|record| record.identity.incarnation == claim.incarnation)
    }

    /// Applies a full read. Returns false if it is older than what was read before.
    ///
    /// A response from a lagging replica of the service, or a delayed one, would otherwise
    /// bring back a former owner.
    pub fn apply_listing(&mut self, listing: &Listing) -> bool {
        if listing.revision < self.read_revision && self.guards.is_enabled(Guard::StaleRead) {
            return false;
        }
        self.read_revision = listing.revision;
        self.has_read = true;
        self.version += 1;
        // Entries that are newer than the read, such as this node's own later writes, stay.
        let as_of = listing.revision;
        self.claims.retain(|_, claim| claim.token > as_of);
        self.registrations
            .retain(|_, record| record.revision > as_of);
        let previous = std::mem::take(&mut self.nodes);
        for entry in &listing.entries {
            self.put(&entry.key, &entry.value, entry.revision);
        }
        for (name, mut record) in previous {
            let newer = record.revision > as_of;
            if newer || !self.nodes.contains_key(&name) {
                if !newer && !record.gone {
                    record.gone = true;
                    record.revision = as_of;
                }
                self.nodes.insert(name, record);
            }
        }
        self.prune_tombstones();
        true
    }

    /// Applies a change reported by a watch. Returns false if it is older than what was read
    /// before.
    pub fn apply_event(&mut self, event: &Event) -> bool {
        if event.revision < self.read_revision && self.guards.is_enabled(Guard::StaleRead) {
            return false;
        }
        self.read_revision = event.revision;
        self.version += 1;
        match &event.entry {
            Some(entry) => self.put(&entry.key, &entry.value, entry.revision),
            None => self.remove(&event.key, event.revision),
        }
        self.prune_tombstones();
        true
    }

    /// Merges a claim that this node wrote, or that a peer knows of.
    ///
    /// Returns whether the table changed. What this node has read is complete up to
    /// [`MembershipTable::read_revision`], so an unknown older claim is one that has ended.
    pub fn merge_claim(&mut self, claim: Claim) -> bool {
        let known = self.claims.get(&claim.upstream).map(|known| known.token);
        if claim.token <= known.unwrap_or(self.read_revision) {
            return false;
        }
        self.claims.insert(claim.upstream.clone(), claim);
        self.version += 1;
        true
    }

    /// Merges a record that this node wrote, or that a peer knows of. Returns whether the table
    /// changed.
    pub fn merge_record(&mut self, record: Record) -> bool {
        let known = self
            .nodes
            .get(&record.identity.name)
            .map_or(0, |r| r.revision);
        if record.revision <= known.max(self.read_revision) {
            return false;
        }
        self.nodes.insert(record.identity.name.clone(), record);
        self.version += 1;
        self.prune_tombstones();
        true
    }

    /// Merges a registration, unless a newer one is known.
    pub fn merge_registration(&mut self, record: Record) {
        let key = (record.identity.name.clone(), record.identity.incarnation);
        let known = self.registrations.get(&key).map_or(0, |r| r.revision);
        if record.revision > known {
            self.registrations.insert(key, record);
        }
    }

    /// Returns the largest revision of any claim or record.
    #[must_use]
    pub fn max_revision(&self) -> u64 {
        let claims = self.claims.values().map(|claim| claim.token);
        let nodes = self.nodes.values().map(|record| record.revision);
        claims.chain(nodes).max().unwrap_or(0)
    }

    /// Returns a digest of the claims and live records, by which peers find differences.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for claim in self.claims.values() {
            hasher.update(claim.upstream.as_bytes());
            hasher.update(&claim.token.to_le_bytes());
        }
        for record in self.live_records() {
            hasher.update(record.identity.name.as_bytes());
            hasher.update(&record.revision.to_le_bytes());
        }
        hasher.digest()
    }

    fn put(&mut self, key: &str, value: &[u8], revision: u64) {
        match self.keys.parse(key) {
            Some(Key::Node(name)) => {
                let known = self.nodes.get(name).map_or(0, |record| record.revision);
                if let Some(record) = Record::from_value(value, revision)
                    && revision > known
                {
                    self.nodes.insert(Name::from(name), record);
                }
            }
            Some(Key::Registration(..)) => {
                if let Some(record) = Record::from_value(value, revision) {
                    self.merge_registration(record);
                }
            }
            Some(Key::Claim(upstream)) => {
                let known = self.claims.get(upstream).map_or(0, |claim| claim.token);
                if let Some(claim) = Claim::from_value(value, revision)
                    && revision > known
                {
                    self.claims.insert(Name::from(upstream), claim);
                }
            }
            None => {}
        }
    }

    fn remove(&mut self, key: &str, revision: u64) {
        match self.keys.parse(key) {
            Some(Key::Node(name)) => {
                if let Some(record) = self.nodes.get_mut(name)
                    && record.revision < revision
                {
                    record.gone = true;
                    record.revision = revision;
                }
            }
            Some(Key::Registration(name, incarnation)) => {
                let key = (Name::from(name), incarnation);
                if self
                    .registrations
                    .get(&key)
                    .is_some_and(|r| r.revision < revision)
                {
                    self.registrations.remove(&key);
                }
            }
            Some(Key::Claim(upstream)) => {
                self.remove_claim(upstream, revision);
            }
            None => {}
        }
    }

    fn remove_claim(&mut self, upstream: &str, revision: u64) {
        let token = self.claims.get(upstream).map(|claim| claim.token);
        if token.is_some_and(|token| token < revision) {
            self.claims.remove(upstream);
        }
    }

    fn prune_tombstones(&mut self) {
        let mut ended: Vec<u64> = self
            .nodes
            .values()
            .filter(|record| record.gone)
            .map(|record| record.revision)
            .collect();
        if ended.len() <= MAX_TOMBSTONES {
            return;
        }
        ended.sort_unstable();
        let oldest = ended[ended.len() - MAX_TOMBSTONES];
        self.nodes
            .retain(|_, record| !record.gone || record.revision >= oldest);
    }
}
