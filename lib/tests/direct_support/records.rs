//! Records of nodes and engines in the key-value service.

use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{LoadedModels, UpstreamEntry};
use chivevalve::direct::presence::EntryRevision;
use chivevalve::direct::view::Peer;
use chivevalve::name::Name;

/// The entry of a ready engine in failure domain `hall-a` that has loaded the base model and some
/// adapters.
pub fn listed(incarnation: &str, adapters: &[(&str, u64)]) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: incarnation.into(),
        pool: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "hall-a".into(),
        software: Some("v1".into()),
        slots: 10,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
        weights: smallvec::smallvec![("base".into(), 1)],
        held: LoadedModels {
            started_at_ms: 0,
            sequence: 3,
            models: vec!["base".into()],
            adapters: adapters
                .iter()
                .map(|(name, version)| (Name::from(*name), *version))
                .collect(),
            incoming: Vec::new(),
        },
    }
}

/// The revisions of an entry that was written once.
pub fn entry_revision(revision: u64) -> EntryRevision {
    EntryRevision {
        revision,
        created: revision,
    }
}

/// The record of a node in failure domain `hall-a` that listens for other nodes at an address.
pub fn peer(address: SocketAddr) -> Peer {
    Peer {
        address,
        start: 1,
        failure_domain: "hall-a".into(),
    }
}
