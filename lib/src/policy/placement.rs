//! Selects the upstreams that an entry node tries for a request, and their order.
//!
//! Every node computes the same rendezvous order of a pool's upstreams for an adapter,
//! without coordination: the first upstream is the adapter's home, the next ones are its
//! replicas under load. Refusals by owners ("not run, try the next") are remembered for a
//! short time. Only active adapters take memory. See docs/design/0002-decisions.md.

use std::collections::HashMap;

use smallvec::{SmallVec, smallvec};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::membership::fleet::{State, Upstream};
use crate::policy::replicas;

/// Maximum number of upstreams tried for one request; more tries would cost the caller more
/// time than a refusal and a later retry.
pub const MAX_CANDIDATES: usize = 16;
/// Number of top-ranked upstreams from which replicas in different failure domains are
/// chosen.
const SHORTLIST_LEN: usize = 32;

/// Indices into the pool's upstreams, in the order in which they are tried.
pub type CandidateOrder = SmallVec<[usize; MAX_CANDIDATES]>;

/// An upstream with the precomputed inputs of its rendezvous scores.
#[derive(Debug, Clone)]
struct Member {
    hash: u64,
    domain: usize,
    usable: bool,
}

/// A pool's upstreams, prepared for [`Router::candidates`]; rebuilt when the fleet changes.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: Vec<Member>,
}

impl Pool {
    /// Prepares a list of upstreams; a [`CandidateOrder`] holds indices into this list.
    pub fn new<'a>(upstreams: impl IntoIterator<Item = &'a Upstream>) -> Self {
        Self::from_entries(upstreams.into_iter().map(|upstream| {
            (
                upstream.vm.name.as_ref(),
                upstream.vm.failure_domain.as_ref(),
                upstream.state == State::Usable,
            )
        }))
    }

    /// Prepares upstreams given by name, failure domain, and whether they accept new work.
    pub fn from_entries<'a>(upstreams: impl IntoIterator<Item = (&'a str, &'a str, bool)>) -> Self {
        let mut domains: Vec<&str> = Vec::new();
        let mut members = Vec::new();
        for (name, domain, usable) in upstreams {
            let known = domains.iter().position(|known| *known == domain);
            let index = known.unwrap_or_else(|| {
                domains.push(domain);
                domains.len() - 1
            });
            members.push(Member {
                hash: xxh3_64(name.as_bytes()),
                domain: index,
                usable,
            });
        }
        Self { members }
    }

    /// Returns the number of upstreams, whether usable or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the pool has no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the first `count` usable upstreams in a key's rendezvous order.
    ///
    /// The first one has the highest rendezvous score, so that an upstream that joins or
    /// leaves moves only its fair share of keys. For the others, failure domains without a
    /// replica come first, so that the loss of one domain doesn't take all replicas.
    #[must_use]
    pub fn rendezvous(&self, key: u64, count: usize) -> CandidateOrder {
        let mut best: SmallVec<[(u64, usize); SHORTLIST_LEN]> = SmallVec::new();
        for (index, member) in self.members.iter().enumerate() {
            if !member.usable {
                continue;
            }
            let score = mix(key ^ member.hash);
            if best.len() == SHORTLIST_LEN {
                if score <= best[SHORTLIST_LEN - 1].0 {
                    continue;
                }
                best.pop();
            }
            let position = best.partition_point(|(other, _)| *other > score);
            best.insert(position, (score, index));
        }
        self.spread_over_domains(best.iter().map(|(_, index)| *index).collect(), count)
    }

    /// Returns the first `count` usable upstreams for a key, where `count` may exceed
    /// [`MAX_CANDIDATES`].
    ///
    /// The list starts with [`Pool::rendezvous`], so that a longer list contains the
    /// shorter one, and continues by score alone: a long list covers the failure domains
    /// anyway.
    #[must_use]
    fn top_ranked(&self, key: u64, count: usize) -> Vec<usize> {
        let mut first = self
            .rendezvous(key, (MAX_CANDIDATES - 1).min(count))
            .to_vec();
        if count < MAX_CANDIDATES {
            return first;
        }
        let usable = self.members.iter().enumerate();
        let mut scores: Vec<(u64, usize)> = usable
            .filter(|(_, member)| member.usable)
            .map(|(index, member)| (mix(key ^ member.hash), index))
            .collect();
        if count < scores.len() {
            scores.select_nth_unstable_by(count, |a, b| b.cmp(a));
            scores.truncate(count);
        }
        scores.sort_unstable_by(|a, b| b.cmp(a));
        let ranked = first.len();
        for (_, index) in scores {
            if !first[..ranked].contains(&index) {
                first.push(index);
            }
        }
        first
    }

    /// Takes `count` upstreams from a shortlist, each from the failure domain used least so
    /// far.
    fn spread_over_domains(
        &self,
        mut shortlist: SmallVec<[usize; SHORTLIST_LEN]>,
        count: usize,
    ) -> CandidateOrder {
        let domains = shortlist
            .iter()
            .map(|index| self.members[*index].domain + 1);
        let mut used: SmallVec<[usize; SHORTLIST_LEN]> = smallvec![0; domains.max().unwrap_or(0)];
        let mut order = CandidateOrder::new();
        while order.len() < count && !shortlist.is_empty() {
            let next = (0..shortlist.len())
                .min_by_key(|position| (used[self.members[shortlist[*position]].domain], *position))
                .unwrap_or(0);
            let index = shortlist.remove(next);
            used[self.members[index].domain] += 1;
            order.push(index);
        }
        order
    }
}

/// Limits of an entry node's routing, and for how long it remembers refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of upstreams that share the requests for one adapter.
    pub max_replicas: u32,
    /// How long an upstream that takes no work at all is excluded.
    pub unusable_ttl: Millis,
    /// How long an upstream that failed to load an adapter is excluded for that adapter.
    pub load_failure_ttl: Millis,
    /// How long an upstream that passed on a request for an adapter is excluded for that
    /// adapter.
    ///
    /// This is short, so that a replica only takes what the home can't serve.
    pub passed_on_ttl: Millis,
    /// Time without a busy response after which an adapter's replica count halves.
    pub halve_after: Millis,
    /// Maximum number of remembered refusals, and of adapters with a replica count.
    pub max_hints: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_replicas: 64,
            unusable_ttl: Millis::from_secs(2),
            load_failure_ttl: Millis::from_secs(10),
            passed_on_ttl: Millis(300),
            halve_after: Millis::from_secs(10),
            max_hints: 8_192,
        }
    }
}

/// Key of a hint that applies to an upstream as a whole, for all adapters.
const ALL_ADAPTERS: u64 = 0;
/// From this number of replicas on, requests are spread evenly. Below it, the home is tried
/// first and a replica only takes what the home can't serve, which needs fewer loads.
const EVEN_SPREAD_REPLICAS: u32 = 32;

/// A recent refusal by an upstream.
#[derive(Debug, Clone, Copy)]
struct Hint {
    until: Millis,
    /// Whether the upstream has the adapter in a slot and was only busy.
    has_adapter: bool,
}

/// Routes requests of an entry node and remembers refusals by owners.
#[derive(Debug)]
pub struct Router {
    limits: Limits,
    hints: HashMap<(u64, u64), Hint>,
    replicas: replicas::ReplicaTable,
    random_state: u64,
}

impl Router {
    /// Creates a router without hints. The seed distributes calls to plain services, and
    /// should differ between nodes.
    #[must_use]
    pub fn new(limits: Limits, seed: u64) -> Self {
        let replicas =
            replicas::ReplicaTable::new(limits.max_replicas, limits.halve_after, limits.max_hints);
        Self {
            limits,
            hints: HashMap::new(),
            replicas,
            random_state: mix(seed),
        }
    }

    /// Returns the upstreams to try for one request, in order.
    ///
    /// The last entry is where the request waits if no other upstream takes it: the attempt
    /// there is [`crate::runner::Attempt::last`]. It is usually the home, which may be the
    /// first entry as well, because the home's slots and queue are meant for the adapter:
    /// under overload every replica is busy, and a request that waited at any of them would
    /// cost a load and a slot there. Upstreams that refused recently are left out. The list
    /// is empty only if no upstream is usable.
    pub fn candidates(
        &mut self,
        pool: &Pool,
        adapter: Option<&Adapter>,
        now: Millis,
    ) -> CandidateOrder {
        let Some(key) = adapter.map(Adapter::hash) else {
            // Plain services have no home: each call gets a random order.
            let order = pool.rendezvous(self.next_random(), MAX_CANDIDATES - 1);
            return self.with_home_last(pool, ALL_ADAPTERS, order, now);
        };
        let replicas = self.replicas.replicas(key, now);
        if replicas >= EVEN_SPREAD_REPLICAS {
            return self.evenly_spread(pool, key, replicas as usize, now);
        }
        let max_replicas = self.limits.max_replicas as usize;
        let order = pool.rendezvous(key, max_replicas.clamp(1, MAX_CANDIDATES - 1));
        self.with_home_last(pool, key, order, now)
    }

    /// Removes upstreams that refused recently and appends the home as the place to wait.
    fn with_home_last(
        &self,
        pool: &Pool,
        key: u64,
        mut order: CandidateOrder,
        now: Millis,
    ) -> CandidateOrder {
        let Some(home) = self.home(pool, &order, now) else {
            return order;
        };
        order.retain(|index| !self.is_excluded(key, pool.members[*index].hash, now));
        if order.as_slice() != [home] {
            order.push(home);
        }
        order
    }

    /// Returns a random order of a busy adapter's first `replicas` upstreams, followed by a
    /// random order of as many more.
    ///
    /// A fixed order would overload its first upstreams, to the detriment of their other
    /// adapters, and would try all of them before it finds a free one.
    fn evenly_spread(
        &mut self,
        pool: &Pool,
        key: u64,
        replicas: usize,
        now: Millis,
    ) -> CandidateOrder {
        let count = (2 * replicas).min(self.limits.max_replicas as usize);
        let mut primary = pool.top_ranked(key, count);
        let Some(home) = self.home(pool, &primary, now) else {
            return CandidateOrder::new();
        };
        let wait_at = self.random_holder(pool, key, &primary, now).unwrap_or(home);
        let mut secondary = primary.split_off(replicas.min(primary.len()));
        self.shuffle(&mut primary);
        self.shuffle(&mut secondary);
        let all = primary.into_iter().chain(secondary);
        let available = all.filter(|index| !self.is_excluded(key, pool.members[*index].hash, now));
        let mut order: CandidateOrder = available.take(MAX_CANDIDATES - 1).collect();
        order.push(wait_at);
        order
    }

    /// Returns the first upstream that isn't excluded for all adapters, or else the first
    /// one.
    fn home(&self, pool: &Pool, order: &[usize], now: Millis) -> Option<usize> {
        let usable =
            |index: &&usize| !self.is_excluded(ALL_ADAPTERS, pool.members[**index].hash, now);
        order.iter().find(usable).or(order.first()).copied()
    }

    /// Returns a random upstream that was only busy: it has the adapter, so waiting there
    /// needs no load.
    fn random_holder(
        &mut self,
        pool: &Pool,
        key: u64,
        order: &[usize],
        now: Millis,
    ) -> Option<usize> {
        let has_adapter = |index: &usize| {
            let hash = pool.members[*index].hash;
            let hint = self.hints.get(&(key, hash));
            hint.is_some_and(|hint| hint.has_adapter && now < hint.until)
                && !self.is_excluded(ALL_ADAPTERS, hash, now)
        };
        let holders: SmallVec<[usize; MAX_CANDIDATES]> =
            order.iter().copied().filter(has_adapter).collect();
        let position = scale_to_range(self.next_random(), holders.len())?;
        Some(holders[position])
    }

    fn shuffle(&mut self, list: &mut [usize]) {
        // Only the first entries are used.
        for position in 0..list.len().min(MAX_CANDIDATES) {
            if let Some(other) = scale_to_range(self.next_random(), list.len() - position) {
                list.swap(position, position + other);
            }
        }
    }

    /// Records that the upstream at `index` refused a request with a code whose fate is
    /// "not run".
    pub fn record_refusal(
        &mut self,
        pool: &Pool,
        index: usize,
        adapter: Option<&Adapter>,
        code: Code,
        now: Millis,
    ) {
        let Some(member) = pool.members.get(index) else {
            return;
        };
        let own = adapter.map_or(ALL_ADAPTERS, Adapter::hash);
        let (key, ttl) = match code {
            Code::LoadFailed | Code::UnknownAdapter => (own, self.limits.load_failure_ttl),
            Code::PassedOn
            | Code::Busy
            | Code::QueueFull
            | Code::Brownout
            | Code::DeadlineTooShort => (own, self.limits.passed_on_ttl),
            Code::AccountLimit | Code::ExpiredWaiting | Code::CallerGoneWaiting => return,
            _ => (ALL_ADAPTERS, self.limits.unusable_ttl),
        };
        let has_adapter = code == Code::Busy;
        if has_adapter && own != ALL_ADAPTERS {
            self.replicas.grow(own, pool.len(), now);
        }
        let until = now + ttl;
        self.remember((key, member.hash), Hint { until, has_adapter }, now);
    }

    /// Returns the number of hints and replica counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hints.len() + self.replicas.len()
    }

    /// Returns whether there are no hints and no replica counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty() && self.replicas.is_empty()
    }

    fn is_excluded(&self, adapter: u64, upstream: u64, now: Millis) -> bool {
        [adapter, ALL_ADAPTERS].into_iter().any(|key| {
            self.hints
                .get(&(key, upstream))
                .is_some_and(|hint| now < hint.until)
        })
    }

    fn remember(&mut self, key: (u64, u64), hint: Hint, now: Millis) {
        if self.hints.len() >= self.limits.max_hints {
            self.hints.retain(|_, hint| now < hint.until);
        }
        if self.hints.len() < self.limits.max_hints {
            self.hints.insert(key, hint);
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random_state)
    }
}

/// Mixes 64 bits so that each input bit flips each output bit with probability 1/2.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a random number uniformly to `0..count`; returns `None` if the range is empty.
fn scale_to_range(random: u64, count: usize) -> Option<usize> {
    let scaled = (u128::from(random) * count as u128) >> 64;
    usize::try_from(scaled)
        .ok()
        .filter(|position| *position < count)
}
