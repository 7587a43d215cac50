//! What nodes and engines say of themselves at the key-value service.

use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::{LoadedModels, UpstreamEntry};
use chivevalve::direct::presence::EntryRevision;
use chivevalve::direct::view::Peer;
use chivevalve::name::Name;

/// An engine of failure domain `hall-a` that is ready and holds the base model and some adapters.
pub fn listed(incarnation: &str, adapters: &[(&str, u64)]) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: incarnation.into(),
        pool: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "hall-a".into(),
        slots: 10,
        ready: true,
        cold: Millis::ZERO,
        remaining: None,
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

/// Where an entry stands that was written once.
pub fn entry_revision(revision: u64) -> EntryRevision {
    EntryRevision {
        revision,
        created: revision,
    }
}

/// A node of failure domain `hall-a` that answers others at an address.
pub fn peer(address: SocketAddr) -> Peer {
    Peer {
        address,
        start: 1,
        failure_domain: "hall-a".into(),
    }
}
