//! Which node should own an upstream, and who are a node's witnesses.
//!
//! Every node works it out alone and alike: rendezvous hashing with a bound on
//! how many upstreams one node holds. Two that disagree for a moment meet at
//! the compare-and-swap.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::membership::node::{Record, Witnesses};
use crate::name::Name;

/// Most witnesses of a node; with nine, four may be gone.
const WITNESSES: usize = 9;

/// Seeds keep the orders of upstreams and of witnesses apart.
const OWNER_SEED: u64 = 0x6f77_6e65_7200;
const WITNESS_SEED: u64 = 0x7769_746e_6573;

fn score(seed: u64, subject: &str, node: &str) -> u64 {
    let of_subject = xxh3_64_with_seed(subject.as_bytes(), seed);
    xxh3_64_with_seed(node.as_bytes(), of_subject)
}

/// How many upstreams each node holds, and may hold.
#[derive(Debug, Clone, Default)]
pub struct OwnedCounts {
    held: BTreeMap<Name, usize>,
}

impl OwnedCounts {
    /// Counts the upstreams of each owner.
    pub fn from_owners<'a>(owners: impl Iterator<Item = &'a Name>) -> Self {
        let mut held = BTreeMap::new();
        for owner in owners {
            *held.entry(owner.clone()).or_default() += 1;
        }
        Self { held }
    }

    /// Returns how many a node holds.
    #[must_use]
    pub fn owned_by(&self, node: &str) -> usize {
        self.held.get(node).copied().unwrap_or(0)
    }

    /// Counts one more for a node.
    pub fn increment(&mut self, node: &Name) {
        *self.held.entry(node.clone()).or_default() += 1;
    }
}

/// Returns the nodes that may own an upstream of a region: those of the region that
/// don't drain, or all that don't drain if the region has none.
#[must_use]
pub fn candidates<'a>(live: &[&'a Record], region: &str) -> Vec<&'a Record> {
    let open = |record: &&&Record| !record.draining;
    let near: Vec<&Record> = live
        .iter()
        .filter(open)
        .filter(|record| region.is_empty() || *record.identity.region == *region)
        .copied()
        .collect();
    if near.is_empty() {
        return live.iter().filter(open).copied().collect();
    }
    near
}

/// Returns the node that should own an upstream: the first in rendezvous order among
/// the candidates that hold the fewest.
///
/// Taking only the least loaded keeps every node within one of the fair share,
/// which hashing alone doesn't: with two upstreams a node, some would hold six.
#[must_use]
pub fn successor<'a>(
    upstream: &str,
    candidates: &[&'a Record],
    load: &OwnedCounts,
) -> Option<&'a Record> {
    let least = candidates
        .iter()
        .map(|record| load.owned_by(&record.identity.name))
        .min()?;
    candidates
        .iter()
        .filter(|record| load.owned_by(&record.identity.name) == least)
        .max_by_key(|record| score(OWNER_SEED, upstream, &record.identity.name))
        .copied()
}

/// Returns a node's rank among others by rendezvous; a small rank takes common duties.
#[must_use]
pub fn duty_rank<'a>(node: &str, others: impl Iterator<Item = &'a Record>) -> usize {
    let own = score(WITNESS_SEED, "duties", node);
    others
        .filter(|record| *record.identity.name != *node)
        .filter(|record| score(WITNESS_SEED, "duties", &record.identity.name) > own)
        .count()
}

/// Chooses the witnesses of a node: an odd number of nodes of its region, itself
/// first, spread over failure domains.
///
/// With two failure domains one witness comes from another region, so that
/// losing either domain leaves a majority. With two nodes the other one is the
/// only witness, so that either may go on without the other.
#[must_use]
pub fn select_witnesses(own: &Record, live: &[&Record]) -> Witnesses {
    let me = &own.identity;
    let others: Vec<&Record> = live
        .iter()
        .filter(|record| record.identity.name != me.name)
        .copied()
        .collect();
    let near: Vec<&Record> = others
        .iter()
        .filter(|record| record.identity.region == me.region && !record.draining)
        .copied()
        .collect();
    if near.len() == 1 {
        return Witnesses::from_iter([near[0].identity.name.clone()]);
    }
    let wanted = odd(WITNESSES.min(near.len() + 1));
    let mut chosen = Witnesses::from_iter([me.name.clone()]);
    let mut taken: BTreeMap<&str, usize> = BTreeMap::from([(&*me.failure_domain, 1)]);
    let outsider = outsider(me.name.as_ref(), &me.failure_domain, &near, &others, wanted);
    while chosen.len() + usize::from(outsider.is_some()) < wanted {
        let next = near
            .iter()
            .filter(|record| !chosen.contains(&record.identity.name))
            .min_by_key(|record| {
                let domain = taken.get(&*record.identity.failure_domain).copied();
                let order = score(WITNESS_SEED, &me.name, &record.identity.name);
                (domain.unwrap_or(0), order)
            });
        let Some(next) = next else { break };
        *taken.entry(&next.identity.failure_domain).or_default() += 1;
        chosen.push(next.identity.name.clone());
    }
    chosen.extend(outsider);
    chosen
}

const fn odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count - 1
    } else {
        count
    }
}

fn outsider(
    name: &str,
    domain: &str,
    near: &[&Record],
    others: &[&Record],
    wanted: usize,
) -> Option<Name> {
    let mut domains: Vec<&str> = near.iter().map(|r| &*r.identity.failure_domain).collect();
    domains.push(domain);
    domains.sort_unstable();
    domains.dedup();
    if domains.len() != 2 || wanted < 3 {
        return None;
    }
    let region = &near.first()?.identity.region;
    others
        .iter()
        .filter(|record| record.identity.region != *region && !record.draining)
        .max_by_key(|record| score(WITNESS_SEED, name, &record.identity.name))
        .map(|record| record.identity.name.clone())
}

/// Returns how many of so many witnesses are a majority.
#[must_use]
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
