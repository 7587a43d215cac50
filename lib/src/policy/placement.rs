//! Which upstreams an entry node tries for a request, in which order.
//!
//! Every node computes the same rendezvous order of a pool's upstreams for an
//! adapter, without talking: the first is its home, the next ones its replicas
//! under load. What owners answer ("not run, try the next") is remembered for a
//! short while. Memory follows active adapters only. See
//! docs/design/0002-decisions.md.

use std::collections::HashMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Code;
use crate::membership::fleet::{State, Upstream};

/// Most upstreams that are worth trying for one request.
pub const CANDIDATES: usize = 8;

/// Indices into the pool's upstreams, the first to try first.
pub type Order = SmallVec<[usize; CANDIDATES]>;

/// One upstream, with what its place in every order needs worked out beforehand.
#[derive(Debug, Clone)]
struct Member {
    hash: u64,
    #[expect(dead_code, reason = "the spread over failure domains follows")]
    domain: u16,
    usable: bool,
}

/// A pool's upstreams, prepared for [`Router::order`]; made anew when the fleet changes.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: Vec<Member>,
}

impl Pool {
    /// Prepares upstreams; indices of an [`Order`] are positions in this list.
    pub fn new<'a>(upstreams: impl IntoIterator<Item = &'a Upstream>) -> Self {
        Self::of(upstreams.into_iter().map(|upstream| {
            (
                upstream.vm.name.as_ref(),
                upstream.vm.failure_domain.as_ref(),
                upstream.state == State::Usable,
            )
        }))
    }

    /// Prepares upstreams given by name, failure domain, and whether they may get new work.
    pub fn of<'a>(upstreams: impl IntoIterator<Item = (&'a str, &'a str, bool)>) -> Self {
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
                domain: u16::try_from(index).unwrap_or(u16::MAX),
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
}

/// How an entry node routes: bounds, and times for which answers are remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most upstreams that share one adapter's requests.
    pub max_replicas: u32,
    /// How long "not run, try the next" is remembered.
    pub hint_for: Millis,
    /// Most adapters and upstreams remembered at a time.
    pub remembered: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_replicas: 8,
            hint_for: Millis::from_secs(2),
            remembered: 8_192,
        }
    }
}

/// An entry node's memory of what owners answered.
#[derive(Debug)]
pub struct Router {
    limits: Limits,
    hints: HashMap<(u64, u64), Millis>,
}

impl Router {
    /// Starts with no memory. The seed decides between equals, so that nodes differ.
    #[must_use]
    pub fn new(limits: Limits, seed: u64) -> Self {
        let _ = seed;
        Self {
            limits,
            hints: HashMap::new(),
        }
    }

    /// Orders a pool's upstreams for one request.
    ///
    /// The list is short ([`CANDIDATES`]) and empty only when no upstream is
    /// usable. The try at its last entry is [`crate::runner::Attempt::last`].
    pub fn order(&mut self, pool: &Pool, adapter: Option<&Adapter>, now: Millis) -> Order {
        let adapter = adapter.map_or(0, Adapter::hash);
        let mut scored: SmallVec<[(bool, u64, usize); 64]> = pool
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.usable)
            .map(|(index, member)| {
                let hinted = self
                    .hints
                    .get(&(adapter, member.hash))
                    .is_some_and(|until| now < *until);
                (hinted, !mix(adapter ^ member.hash), index)
            })
            .collect();
        scored.sort_unstable();
        scored
            .into_iter()
            .take(CANDIDATES)
            .map(|(_, _, index)| index)
            .collect()
    }

    /// A try at the pool's upstream `index` has begun to run there, after waiting `queued`.
    pub fn started(
        &mut self,
        pool: &Pool,
        index: usize,
        adapter: Option<&Adapter>,
        queued: Millis,
        load_wait: Millis,
        now: Millis,
    ) {
        let _ = (pool, index, adapter, queued, load_wait, now);
    }

    /// A try at the pool's upstream `index` was refused with a code whose fate is not run.
    pub fn refused(
        &mut self,
        pool: &Pool,
        index: usize,
        adapter: Option<&Adapter>,
        code: Code,
        now: Millis,
    ) {
        let _ = code;
        let Some(member) = pool.members.get(index) else {
            return;
        };
        if self.hints.len() >= self.limits.remembered {
            self.hints.retain(|_, until| now < *until);
        }
        if self.hints.len() < self.limits.remembered {
            let adapter = adapter.map_or(0, Adapter::hash);
            self.hints
                .insert((adapter, member.hash), now + self.limits.hint_for);
        }
    }
}

/// Mixes 64 bits so that each input bit changes each output bit with even odds.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
