//! Which upstreams an entry node tries for a request, in which order.
//!
//! Every node computes the same rendezvous order of a pool's upstreams for an
//! adapter, without talking: the first is its home, the next ones its replicas
//! under load. What owners answer ("not run, try the next") is remembered for a
//! short while. Memory follows active adapters only. See
//! docs/design/0002-decisions.md.

use std::collections::HashMap;

use smallvec::{SmallVec, smallvec};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::membership::fleet::{State, Upstream};
use crate::policy::replicas;

/// Most upstreams that one request is tried at; further ones would cost its caller more time
/// than a refusal and a later try.
pub const MAX_CANDIDATES: usize = 16;
/// Best upstreams among which replicas are spread over failure domains.
const SHORTLIST_LEN: usize = 32;

/// Indices into the pool's upstreams, the first to try first.
pub type CandidateOrder = SmallVec<[usize; MAX_CANDIDATES]>;

/// One upstream, with what its place in every order needs worked out beforehand.
#[derive(Debug, Clone)]
struct Member {
    hash: u64,
    domain: usize,
    usable: bool,
}

/// A pool's upstreams, prepared for [`Router::candidates`]; made anew when the fleet changes.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: Vec<Member>,
}

impl Pool {
    /// Prepares upstreams; indices of an [`CandidateOrder`] are positions in this list.
    pub fn new<'a>(upstreams: impl IntoIterator<Item = &'a Upstream>) -> Self {
        Self::from_entries(upstreams.into_iter().map(|upstream| {
            (
                upstream.vm.name.as_ref(),
                upstream.vm.failure_domain.as_ref(),
                upstream.state == State::Usable,
            )
        }))
    }

    /// Prepares upstreams given by name, failure domain, and whether they may get new work.
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

    /// Returns how many upstreams there are, usable or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the first `count` usable upstreams of a key's rendezvous order.
    ///
    /// The first one is the plain rendezvous choice, so that an upstream that
    /// comes or goes moves only its fair share of keys. After it, failure
    /// domains that have no replica yet go first, so that the loss of one
    /// doesn't take all replicas.
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
            let place = best.partition_point(|(other, _)| *other > score);
            best.insert(place, (score, index));
        }
        self.spread_over_domains(best.iter().map(|(_, index)| *index).collect(), count)
    }

    /// Returns the first `count` usable upstreams of a key; there may be many.
    ///
    /// It begins with [`Pool::rendezvous`], so that a wider list holds the
    /// narrower one, and goes on by score alone: among many, failure domains mix anyway.
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
        let begun = first.len();
        for (_, index) in scores {
            if !first[..begun].contains(&index) {
                first.push(index);
            }
        }
        first
    }

    /// Takes `count` of a shortlist, at each step from the failure domain used least so far.
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
                .min_by_key(|place| (used[self.members[shortlist[*place]].domain], *place))
                .unwrap_or(0);
            let index = shortlist.remove(next);
            used[self.members[index].domain] += 1;
            order.push(index);
        }
        order
    }
}

/// How an entry node routes: bounds, and times for which answers are remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most upstreams that share one adapter's requests.
    pub max_replicas: u32,
    /// How long an upstream that takes no work at all is left out.
    pub unusable_ttl: Millis,
    /// How long an upstream that failed to load an adapter is left out for it.
    pub load_failure_ttl: Millis,
    /// How long an upstream that passed an adapter's request on is left out for it.
    ///
    /// It is short, so that a replica takes only what the home can't.
    pub passed_on_ttl: Millis,
    /// After how long without a busy answer an adapter's requests go to half as many upstreams.
    pub halve_after: Millis,
    /// Most hints remembered at a time, and most busy adapters.
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

/// Stands for all adapters in a hint on an upstream as a whole.
const ALL_ADAPTERS: u64 = 0;
/// From this many replicas on requests are spread evenly. Below it the home goes first
/// and a replica takes only what the home can't, which costs fewer loads.
const EVEN_SPREAD_REPLICAS: u32 = 32;

/// What an upstream answered of late.
#[derive(Debug, Clone, Copy)]
struct Hint {
    until: Millis,
    /// Whether it holds the adapter and was only busy.
    has_adapter: bool,
}

/// An entry node's memory of what owners answered.
#[derive(Debug)]
pub struct Router {
    limits: Limits,
    hints: HashMap<(u64, u64), Hint>,
    replicas: replicas::ReplicaTable,
    random_state: u64,
}

impl Router {
    /// Starts with no memory. The seed spreads calls to plain services, so that nodes differ.
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

    /// Orders a pool's upstreams for one request.
    ///
    /// The last entry is where the request waits if no other takes it: the try
    /// there is [`crate::runner::Attempt::last`]. It is the home, which may come
    /// first as well, because the home's slots and queue are made for the
    /// adapter: under overload every replica is busy, and a request that came to
    /// rest at any of them would cost a load and a slot there. Upstreams that
    /// refused lately are left out. The list is empty only when no upstream is
    /// usable.
    pub fn candidates(
        &mut self,
        pool: &Pool,
        adapter: Option<&Adapter>,
        now: Millis,
    ) -> CandidateOrder {
        let Some(key) = adapter.map(Adapter::hash) else {
            // A plain service needs no home: each call draws an order of its own.
            let order = pool.rendezvous(self.next_random(), MAX_CANDIDATES - 1);
            return self.with_home_last(pool, ALL_ADAPTERS, order, now);
        };
        let replicas = self.replicas.replicas(key, now);
        if replicas >= EVEN_SPREAD_REPLICAS {
            return self.evenly_spread(pool, key, replicas as usize, now);
        }
        let most = self.limits.max_replicas as usize;
        let order = pool.rendezvous(key, most.clamp(1, MAX_CANDIDATES - 1));
        self.with_home_last(pool, key, order, now)
    }

    /// Leaves out what refused lately, and adds the home as the place to wait.
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

    /// Draws an order of a busy adapter's first `replicas` upstreams, and then of as many more.
    ///
    /// A fixed order would fill its first upstreams, whose other adapters then
    /// suffer, and pass them all by before it finds a free one.
    fn evenly_spread(
        &mut self,
        pool: &Pool,
        key: u64,
        replicas: usize,
        now: Millis,
    ) -> CandidateOrder {
        let count = (2 * replicas).min(self.limits.max_replicas as usize);
        let mut near = pool.top_ranked(key, count);
        let Some(home) = self.home(pool, &near, now) else {
            return CandidateOrder::new();
        };
        let wait = self.random_holder(pool, key, &near, now).unwrap_or(home);
        let mut far = near.split_off(replicas.min(near.len()));
        self.shuffle(&mut near);
        self.shuffle(&mut far);
        let both = near.into_iter().chain(far);
        let open = both.filter(|index| !self.is_excluded(key, pool.members[*index].hash, now));
        let mut order: CandidateOrder = open.take(MAX_CANDIDATES - 1).collect();
        order.push(wait);
        order
    }

    /// Returns the first that isn't left out for all adapters, or the first of all.
    fn home(&self, pool: &Pool, order: &[usize], now: Millis) -> Option<usize> {
        let usable =
            |index: &&usize| !self.is_excluded(ALL_ADAPTERS, pool.members[**index].hash, now);
        order.iter().find(usable).or(order.first()).copied()
    }

    /// Draws one of those that were only busy: they hold the adapter, so waiting there costs no load.
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
        let place = scale_to_range(self.next_random(), holders.len())?;
        Some(holders[place])
    }

    fn shuffle(&mut self, list: &mut [usize]) {
        // Only the first ones are ever used.
        for place in 0..list.len().min(MAX_CANDIDATES) {
            if let Some(other) = scale_to_range(self.next_random(), list.len() - place) {
                list.swap(place, place + other);
            }
        }
    }

    /// A try at the pool's upstream `index` was refused with a code whose fate is not run.
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
        let (key, span) = match code {
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
        let until = now + span;
        self.remember((key, member.hash), Hint { until, has_adapter }, now);
    }

    /// Returns how many hints and replica counts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hints.len() + self.replicas.len()
    }

    /// Returns whether nothing is remembered.
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

/// Mixes 64 bits so that each input bit changes each output bit with even odds.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a random number evenly to `0..count`; none when that is empty.
fn scale_to_range(random: u64, count: usize) -> Option<usize> {
    let scaled = (u128::from(random) * count as u128) >> 64;
    usize::try_from(scaled).ok().filter(|place| *place < count)
}
