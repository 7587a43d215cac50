//! What an engine's status says of its adapters.

use std::collections::BTreeMap;

use super::slot::{Loading, Slot};
use crate::clock::Millis;
use crate::direct::dialect::LoadedModels;
use crate::name::Name;

/// What a status says of one adapter.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AdapterStatus {
    /// The version that is present.
    pub(super) present: Option<u64>,
    /// The version that is being loaded.
    pub(super) incoming: Option<u64>,
}

impl AdapterStatus {
    pub(super) fn by_name(held: &LoadedModels) -> BTreeMap<Name, Self> {
        let mut all: BTreeMap<Name, Self> = BTreeMap::new();
        for (name, version) in &held.adapters {
            all.entry(Name::clone(name)).or_default().present = Some(*version);
        }
        for (name, version) in &held.incoming {
            all.entry(Name::clone(name)).or_default().incoming = Some(*version);
        }
        all
    }

    pub(super) fn is_listed(self) -> bool {
        self.present.is_some() || self.incoming.is_some()
    }

    pub(super) fn into_slot(self, sequence: u64, since: Millis) -> Slot {
        match self.incoming {
            Some(version) => Slot::Loading(Loading {
                version,
                since,
                next_probe: since,
                sequence,
                is_confirmed: true,
                waiters: Vec::new(),
            }),
            None => Slot::Present {
                version: self.present.unwrap_or_default(),
                since,
                unload: None,
            },
        }
    }
}
