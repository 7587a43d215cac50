//! Which node should own an upstream, and which nodes are a node's witnesses.
//!
//! Every node computes both on its own, by rendezvous hashing among the nodes that own
//! the fewest upstreams. If two nodes briefly disagree, the compare-and-swap of the
//! claim decides.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::membership::node::{Record, Witnesses};
use crate::name::Name;

/// Most witnesses of a node; of nine, four may be unreachable.
const MAX_WITNESSES: usize = 9;

/// Seeds that make the rendezvous orders of owners and of witnesses independent.
const OWNER_SEED: u64 = 0x6f77_6e65_7200;
const WITNESS_SEED: u64 = 0x7769_746e_6573;

fn score(seed: u64, subject: &str, node: &str) -> u64 {
    let subject_hash = xxh3_64_with_seed(subject.as_bytes(), seed);
    xxh3_64_with_seed(node.as_bytes(), subject_hash)
}

/// Number of upstreams that each node owns.
#[derive(Debug, Clone, Default)]
pub struct OwnedCounts {
    counts: BTreeMap<Name, usize>,
}

impl OwnedCounts {
    /// Counts the upstreams of each owner.
    pub fn from_owners<'a>(owners: impl Iterator<Item = &'a Name>) -> Self {
        let mut counts = BTreeMap::new();
        for owner in owners {
            *counts.entry(owner.clone()).or_default() += 1;
        }
        Self { counts }
    }

    /// Returns how many upstreams a node owns.
    #[must_use]
    pub fn owned_by(&self, node: &str) -> usize {
        self.counts.get(node).copied().unwrap_or(0)
    }

    /// Counts one more upstream for a node.
    pub fn increment(&mut self, node: &Name) {
        *self.counts.entry(node.clone()).or_default() += 1;
    }
}

/// Returns the nodes that may own an upstream of a region: the region's nodes that aren't
/// draining, or all nodes that aren't draining if the region has none.
#[must_use]
pub fn candidates<'a>(live: &[&'a Record], region: &str) -> Vec<&'a Record> {
    let not_draining = |record: &&&Record| !record.draining;
    let same_region: Vec<&Record> = live
        .iter()
        .filter(not_draining)
        .filter(|record| region.is_empty() || *record.identity.region == *region)
        .copied()
        .collect();
    if same_region.is_empty() {
        return live.iter().filter(not_draining).copied().collect();
    }
    same_region
}

/// Returns the node that should own an upstream: the first in rendezvous order among
/// the candidates that own the fewest upstreams.
///
/// Choosing only among these keeps every node within one upstream of the fair share.
/// Hashing alone doesn't: with two upstreams per node, some nodes would own six.
#[must_use]
pub fn successor<'a>(
    upstream: &str,
    candidates: &[&'a Record],
    counts: &OwnedCounts,
) -> Option<&'a Record> {
    let fewest = candidates
        .iter()
        .map(|record| counts.owned_by(&record.identity.name))
        .min()?;
    candidates
        .iter()
        .filter(|record| counts.owned_by(&record.identity.name) == fewest)
        .max_by_key(|record| score(OWNER_SEED, upstream, &record.identity.name))
        .copied()
}

/// Returns a node's rank in a rendezvous order; the nodes of the lowest ranks take on
/// duties for the whole fleet.
#[must_use]
pub fn duty_rank<'a>(node: &str, others: impl Iterator<Item = &'a Record>) -> usize {
    let own_score = score(WITNESS_SEED, "duties", node);
    others
        .filter(|record| *record.identity.name != *node)
        .filter(|record| score(WITNESS_SEED, "duties", &record.identity.name) > own_score)
        .count()
}

/// Selects the witnesses of a node: an odd number of nodes of its region, itself
/// first, spread over failure domains.
///
/// If the region has two failure domains, one witness comes from another region, so that
/// a majority remains when either domain is lost. If the region has two nodes, the other
/// node is the only witness, so that either can take over from the other.
#[must_use]
pub fn select_witnesses(own: &Record, live: &[&Record]) -> Witnesses {
    let own_identity = &own.identity;
    let others: Vec<&Record> = live
        .iter()
        .filter(|record| record.identity.name != own_identity.name)
        .copied()
        .collect();
    let same_region: Vec<&Record> = others
        .iter()
        .filter(|record| record.identity.region == own_identity.region && !record.draining)
        .copied()
        .collect();
    if same_region.len() == 1 {
        return Witnesses::from_iter([same_region[0].identity.name.clone()]);
    }
    let wanted = round_down_to_odd(MAX_WITNESSES.min(same_region.len() + 1));
    let mut chosen = Witnesses::from_iter([own_identity.name.clone()]);
    let mut chosen_by_domain: BTreeMap<&str, usize> =
        BTreeMap::from([(&*own_identity.failure_domain, 1)]);
    let remote_witness = witness_from_other_region(
        own_identity.name.as_ref(),
        &own_identity.failure_domain,
        &same_region,
        &others,
        wanted,
    );
    while chosen.len() + usize::from(remote_witness.is_some()) < wanted {
        let next = same_region
            .iter()
            .filter(|record| !chosen.contains(&record.identity.name))
            .min_by_key(|record| {
                let chosen_in_domain = chosen_by_domain
                    .get(&*record.identity.failure_domain)
                    .copied();
                let order = score(WITNESS_SEED, &own_identity.name, &record.identity.name);
                (chosen_in_domain.unwrap_or(0), order)
            });
        let Some(next) = next else { break };
        *chosen_by_domain
            .entry(&next.identity.failure_domain)
            .or_default() += 1;
        chosen.push(next.identity.name.clone());
    }
    chosen.extend(remote_witness);
    chosen
}

const fn round_down_to_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count - 1
    } else {
        count
    }
}

fn witness_from_other_region(
    name: &str,
    domain: &str,
    same_region: &[&Record],
    others: &[&Record],
    wanted: usize,
) -> Option<Name> {
    let mut domains: Vec<&str> = same_region
        .iter()
        .map(|r| &*r.identity.failure_domain)
        .collect();
    domains.push(domain);
    domains.sort_unstable();
    domains.dedup();
    if domains.len() != 2 || wanted < 3 {
        return None;
    }
    let region = &same_region.first()?.identity.region;
    others
        .iter()
        .filter(|record| record.identity.region != *region && !record.draining)
        .max_by_key(|record| score(WITNESS_SEED, name, &record.identity.name))
        .map(|record| record.identity.name.clone())
}

/// Returns the size of a majority of `witnesses` witnesses.
#[must_use]
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
