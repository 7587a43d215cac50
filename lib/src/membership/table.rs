//! What a node knows of nodes and claims, from the service and from peers.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::membership::guard::{Guard, Guards};
use crate::membership::node::{Claim, Key, Keys, Record};
use crate::name::Name;
use crate::ports::{Event, Listing};

/// Ended records that are kept so that peers learn of the end.
const ENDED_KEPT: usize = 256;

/// Nodes and claims; every entry carries the service's revision, the larger wins.
#[derive(Debug)]
pub struct Table {
    keys: Keys,
    guards: Guards,
    claims: BTreeMap<Name, Claim>,
    nodes: BTreeMap<Name, Record>,
    registrations: BTreeMap<(Name, u64), Record>,
    read_up_to: u64,
    version: u64,
    read: bool,
}

impl Table {
    /// Makes an empty table.
    #[must_use]
    pub fn new(keys: Keys, guards: Guards) -> Self {
        Self {
            keys,
            guards,
            claims: BTreeMap::new(),
            nodes: BTreeMap::new(),
            registrations: BTreeMap::new(),
            read_up_to: 0,
            version: 0,
            read: false,
        }
    }

    /// Returns the service's revision up to which this node has read for itself.
    #[must_use]
    pub fn read_up_to(&self) -> u64 {
        self.read_up_to
    }

    /// Returns a number that grows with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether this node has read the service's keys for itself.
    #[must_use]
    pub fn has_read(&self) -> bool {
        self.read
    }

    /// Lists the claims by upstream.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// Finds an upstream's claim.
    #[must_use]
    pub fn claim(&self, upstream: &str) -> Option<&Claim> {
        self.claims.get(upstream)
    }

    /// Lists records of nodes, those that ended of late included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.nodes.values()
    }

    /// Lists records that stand, as far as is known.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.nodes.values().filter(|record| !record.gone)
    }

    /// Finds a node's record if it stands.
    #[must_use]
    pub fn live_record(&self, name: &str) -> Option<&Record> {
        self.nodes.get(name).filter(|record| !record.gone)
    }

    /// Finds a node's record, standing or ended.
    #[must_use]
    pub fn record(&self, name: &str) -> Option<&Record> {
        self.nodes.get(name)
    }

    /// Finds what one start of a node wrote last of itself, whether or not its lease still lives.
    #[must_use]
    pub fn registration(&self, name: &Name, incarnation: u64) -> Option<&Record> {
        self.registrations.get(&(name.clone(), incarnation))
    }

    /// Lists what all nodes wrote last of themselves.
    pub fn registrations(&self) -> impl Iterator<Item = &Record> {
        self.registrations.values()
    }

    /// Whether the owner that a claim names has a record that stands.
    #[must_use]
    pub fn owner_stands(&self, claim: &Claim) -> bool {
        self.live_record(&claim.node)
            .is_some_and(|record| record.identity.incarnation == claim.incarnation)
    }

    /// Takes over a read of all keys. Returns false if it is older than what was read before.
    ///
    /// A replica of the service that lags, or an answer that was late, would
    /// otherwise bring back an owner that is none any more.
    pub fn read(&mut self, listing: &Listing) -> bool {
        if listing.revision < self.read_up_to && self.guards.is_enabled(Guard::StaleRead) {
            return false;
        }
        self.read_up_to = listing.revision;
        self.read = true;
        self.version += 1;
        // This node may have written since the read was made; its answer must not
        // undo what came after.
        let as_of = listing.revision;
        self.claims.retain(|_, claim| claim.token > as_of);
        self.registrations
            .retain(|_, record| record.revision > as_of);
        let before = std::mem::take(&mut self.nodes);
        for entry in &listing.entries {
            self.put(&entry.key, &entry.value, entry.revision);
        }
        for (name, mut record) in before {
            let newer = record.revision > as_of;
            if newer || !self.nodes.contains_key(&name) {
                if !newer && !record.gone {
                    record.gone = true;
                    record.revision = as_of;
                }
                self.nodes.insert(name, record);
            }
        }
        self.forget_ended();
        true
    }

    /// Takes over one change that a watch saw. Returns false if it is old.
    pub fn see(&mut self, event: &Event) -> bool {
        if event.revision < self.read_up_to && self.guards.is_enabled(Guard::StaleRead) {
            return false;
        }
        self.read_up_to = event.revision;
        self.version += 1;
        match &event.entry {
            Some(entry) => self.put(&entry.key, &entry.value, entry.revision),
            None => self.remove(&event.key, event.revision),
        }
        self.forget_ended();
        true
    }

    /// Takes over a claim that this node wrote itself, or that a peer knows of.
    ///
    /// Returns whether it was news. What this node read for itself is complete
    /// up to [`Table::read_up_to`], so an older claim can only be one that ended.
    pub fn learn_claim(&mut self, claim: Claim) -> bool {
        let known = self.claims.get(&claim.upstream).map(|known| known.token);
        if claim.token <= known.unwrap_or(self.read_up_to) {
            return false;
        }
        self.claims.insert(claim.upstream.clone(), claim);
        self.version += 1;
        true
    }

    /// Takes over a record that this node wrote itself, or that a peer knows of.
    pub fn learn_record(&mut self, record: Record) -> bool {
        let known = self
            .nodes
            .get(&record.identity.name)
            .map_or(0, |r| r.revision);
        if record.revision <= known.max(self.read_up_to) {
            return false;
        }
        self.nodes.insert(record.identity.name.clone(), record);
        self.version += 1;
        self.forget_ended();
        true
    }

    /// Takes over a registration, unless a newer one is known.
    pub fn learn_registration(&mut self, record: Record) {
        let start = (record.identity.name.clone(), record.identity.incarnation);
        let known = self.registrations.get(&start).map_or(0, |r| r.revision);
        if record.revision > known {
            self.registrations.insert(start, record);
        }
    }

    /// Returns the largest revision of any entry.
    #[must_use]
    pub fn newest(&self) -> u64 {
        let claims = self.claims.values().map(|claim| claim.token);
        let nodes = self.nodes.values().map(|record| record.revision);
        claims.chain(nodes).max().unwrap_or(0)
    }

    /// Returns a digest of the claims and records that peers compare.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for claim in self.claims.values() {
            hasher.update(claim.upstream.as_bytes());
            hasher.update(&claim.token.to_le_bytes());
        }
        for record in self.live() {
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
                    self.learn_registration(record);
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
                let start = (Name::from(name), incarnation);
                if self
                    .registrations
                    .get(&start)
                    .is_some_and(|r| r.revision < revision)
                {
                    self.registrations.remove(&start);
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

    fn forget_ended(&mut self) {
        let mut ended: Vec<u64> = self
            .nodes
            .values()
            .filter(|record| record.gone)
            .map(|record| record.revision)
            .collect();
        if ended.len() <= ENDED_KEPT {
            return;
        }
        ended.sort_unstable();
        let oldest = ended[ended.len() - ENDED_KEPT];
        self.nodes
            .retain(|_, record| !record.gone || record.revision >= oldest);
    }
}
