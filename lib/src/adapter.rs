//! Adapters and their versions.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Seed of all placement hashes. Changing it moves every adapter, so it stays.
const PLACEMENT_SEED: u64 = 0x6368_6976_6576_616c;

/// One version of one adapter for one base model.
///
/// Versions are separate values everywhere: an engine holds each in a slot of
/// its own, so that a request never runs on a neighbour version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Adapter {
    /// The base model that the adapter was trained for.
    pub base_model: Name,
    /// The adapter's name in the weight store.
    pub name: Name,
    /// The version that the template names.
    pub version: Name,
}

impl Adapter {
    /// Returns a hash that is the same in every process and every release.
    ///
    /// Versions of one adapter share it: a template that moves to another
    /// version stays at its upstreams, whose owners know its demand and can
    /// load the new version before requests name it.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let base = xxh3_64_with_seed(self.base_model.as_bytes(), PLACEMENT_SEED);
        xxh3_64_with_seed(self.name.as_bytes(), base)
    }

    /// Returns the name under which engines know the adapter, `name@version`.
    #[must_use]
    pub fn engine_name(&self) -> String {
        format!("{}@{}", self.name, self.version)
    }
}

impl fmt::Display for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}
