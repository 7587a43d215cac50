//! Registrations: which nodes the deployment has, whether they have a lease or not.
//!
//! A node's record ends with its lease, seconds into a restart. An owner that asked only the nodes
//! with records could extend its term by the votes of the few that share its outage, beside a
//! successor that it has forgotten. docs/design/0022-evidence-for-orders.md has what each
//! decision rests on.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::limits::{LEASE_TTL, OWNERSHIP_TERM, POLL_TIMEOUT};
use super::view::Peer;
use crate::clock::Millis;
use crate::name::Name;

/// Prefix of the key of a node's registration, followed by the node's name.
pub const REGISTRATION_PREFIX: &str = "registration/";

/// Maximum age of the view with which an owner extends its term.
///
/// It bounds how long a node that no owner knows waits, if too few others can tell that no term goes
/// on.
pub const EXTENSION_LIMIT: Millis = Millis::from_secs(60);

/// Time without a record after which a node's registration is deleted.
///
/// An owner whose view is older than the deletion must not have a record of that node, or it would
/// count its vote while a successor doesn't.
pub const RETIREMENT: Millis = Millis(EXTENSION_LIMIT.0 * 2);

/// Time within which a node that the service serves has seen a change.
const VIEW_LAG: Millis = POLL_TIMEOUT;

/// A node's registration in the key-value service, which outlives its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Whether every owner that extends its term knows this registration.
    pub is_settled: bool,
}

/// A registration as this node knows it.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// The registration.
    pub registration: Registration,
    /// The revision of its write.
    pub revision: u64,
    /// When this node first saw this registration.
    pub seen_at: Millis,
    /// Since when its node has had no record, as far as this node knows.
    unrecorded_since: Option<Millis>,
}

/// A node's record, as long as it is of the same start of the process.
#[derive(Debug, Clone, Copy)]
struct Recorded {
    start: u64,
    since: Millis,
}

/// A span in which the service has served a node without a failure.
///
/// A record shows how long ago its node was served only in such a span, as leases pause in an
/// outage.
#[derive(Debug, Clone, Copy)]
pub struct Served {
    /// Its beginning.
    pub since: Millis,
    /// The time as of which all changes are known.
    pub until: Millis,
}

/// The registrations that a node knows, and since when their nodes have records.
#[derive(Debug, Default)]
pub struct Register {
    entries: HashMap<Name, Entry>,
    recorded: HashMap<Name, Recorded>,
}

impl Register {
    /// Returns the registration of a node.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Entry> {
        self.entries.get(node)
    }

    /// Returns the number of registrations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no registrations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds or updates a registration.
    pub fn put(&mut self, node: Name, registration: Registration, revision: u64, now: Millis) {
        let known = self.entries.get(&node);
        if known.is_some_and(|known| known.revision > revision) {
            return;
        }
        let seen_at = known.map_or(now, |known| known.seen_at);
        let unrecorded_since = (!self.recorded.contains_key(&node)).then_some(now);
        let unrecorded_since = known.map_or(unrecorded_since, |known| known.unrecorded_since);
        let entry = Entry {
            registration,
            revision,
            seen_at,
            unrecorded_since,
        };
        self.entries.insert(node, entry);
    }

    /// Removes a registration, unless it was written after the removal.
    pub fn remove(&mut self, node: &str, revision: u64) {
        self.entries
            .retain(|name, entry| **name != *node || entry.revision > revision);
    }

    /// Records that a start of a node has a record.
    pub fn add_record(&mut self, node: &Name, start: u64, now: Millis) {
        let known = self.recorded.get(node);
        if known.is_none_or(|known| known.start != start) {
            let recorded = Recorded { start, since: now };
            self.recorded.insert(Name::clone(node), recorded);
        }
        if let Some(entry) = self.entries.get_mut(node) {
            entry.unrecorded_since = None;
        }
    }

    /// Records that a node has no record any more.
    pub fn remove_record(&mut self, node: &str, now: Millis) {
        self.recorded.remove(node);
        if let Some(entry) = self.entries.get_mut(node) {
            entry.unrecorded_since = Some(now);
        }
    }

    /// Drops registrations and records that aren't present, after everything was read.
    ///
    /// A node without a record may have had one in the gap before the reading.
    pub fn retain(
        &mut self,
        is_registered: impl Fn(&str) -> bool,
        is_recorded: impl Fn(&str) -> bool,
        now: Millis,
    ) {
        self.entries.retain(|name, _| is_registered(name));
        self.recorded.retain(|name, _| is_recorded(name));
        for (name, entry) in &mut self.entries {
            entry.unrecorded_since = (!self.recorded.contains_key(name)).then_some(now);
        }
    }

    /// Whether a node and the other nodes with records are a majority of the registered ones.
    ///
    /// Only nodes with records are asked for votes. Fewer may all be turned away by the service
    /// while it serves the nodes that aren't asked.
    #[must_use]
    pub fn has_majority(&self, node: &str, nodes: &HashMap<Name, Peer>) -> bool {
        let is_known = |name: &Name| **name == *node || nodes.contains_key(name);
        let known = self.entries.keys().filter(|name| is_known(name)).count();
        self.entries.contains_key(node) && 2 * known > self.entries.len()
    }

    /// Returns from when on no other node can have extended its ownership of an engine, or none if
    /// that isn't known yet.
    ///
    /// The engine's claim was gone at `since`. Either all registered nodes have had records since,
    /// which a node writes only after it has read the claims again; or too few for a majority can
    /// still vote for the owner, since the others have seen that the claim is gone and have had
    /// records without a restart.
    #[must_use]
    pub fn exclusive_since(&self, node: &str, since: Millis, served: Served) -> Option<Millis> {
        self.complete_since(since, served.until)
            .or_else(|| self.outvoted_since(node, since.max(served.since), served))
    }

    /// Returns the first moment behind `since` at which all registered nodes had records.
    fn complete_since(&self, since: Millis, as_of: Millis) -> Option<Millis> {
        let mut complete_since = since;
        for name in self.entries.keys() {
            complete_since = complete_since.max(self.recorded.get(name)?.since);
        }
        (complete_since <= as_of).then_some(complete_since)
    }

    /// Returns a moment from which on no majority can vote for an owner whose claim was gone at
    /// `since`.
    ///
    /// A record tells that its node had been served at most [`LEASE_TTL`] before. The node must not
    /// have restarted within the owner's term, as it votes without a view until it has a lease.
    fn outvoted_since(&self, node: &str, since: Millis, served: Served) -> Option<Millis> {
        let window = LEASE_TTL + OWNERSHIP_TERM;
        let as_of = served.until;
        if as_of < since + LEASE_TTL + VIEW_LAG + window {
            return None;
        }
        let objects = |name: &Name| {
            let recorded = self.recorded.get(name);
            let since = recorded.map(|recorded| recorded.since.max(served.since));
            **name == *node || since.is_some_and(|since| since + window <= as_of)
        };
        let (objecting, others): (Vec<_>, Vec<_>) =
            self.entries.iter().partition(|(name, _)| objects(name));
        // An owner may not know the others, so they don't raise the majority that it needs.
        let settled = objecting
            .iter()
            .filter(|(_, entry)| entry.registration.is_settled);
        (settled.count() >= others.len()).then(|| as_of - window)
    }

    /// Returns a registration whose node has had no record for [`RETIREMENT`], with its revision.
    #[must_use]
    pub fn retired(&self, as_of: Millis) -> Option<(&Name, u64)> {
        let is_retired = |entry: &Entry| {
            let since = entry.unrecorded_since;
            since.is_some_and(|since| since + RETIREMENT <= as_of)
        };
        let mut entries = self.entries.iter();
        let (name, entry) = entries.find(|(_, entry)| is_retired(entry))?;
        Some((name, entry.revision))
    }
}
