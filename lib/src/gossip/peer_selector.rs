//! Chooses the peers to exchange with next.
//!
//! Peers are drawn at random: with any fixed order, a paused node would delay changes for all
//! nodes after it. A peer that failed is skipped for an exponential backoff, so that dead and
//! paused peers waste an exchange only occasionally.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::Peer;
use crate::clock::Millis;
use crate::name::Name;

/// Backoff after the first failure of a peer.
const INITIAL_BACKOFF: Millis = Millis(2_000);
/// Upper bound of the backoff.
const MAX_BACKOFF: Millis = Millis(30_000);

/// Consecutive failures of a peer, and until when it is skipped.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Millis,
}

/// Draws peers at random, except those in backoff.
#[derive(Debug)]
pub(super) struct PeerSelector {
    region: Name,
    /// Percentage of draws that go to another region.
    cross_region_percent: u32,
    backoffs: HashMap<SocketAddr, Backoff>,
    rng: Pcg32,
}

impl PeerSelector {
    pub(super) fn new(region: Name, cross_region_percent: u32, seed: u64) -> Self {
        Self {
            region,
            cross_region_percent,
            backoffs: HashMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Draws up to `count` different peers.
    pub(super) fn select(&mut self, peers: &[Peer], count: usize, now: Millis) -> Vec<Peer> {
        self.backoffs
            .retain(|address, _| peers.iter().any(|peer| peer.address == *address));
        let mut selected: Vec<Peer> = Vec::with_capacity(count);
        for _ in 0..count {
            let cross_region = self.rng.random_range(0..100) < self.cross_region_percent;
            let next = self
                .draw_one(peers, &selected, now, Some(cross_region))
                .or_else(|| self.draw_one(peers, &selected, now, None));
            match next {
                Some(peer) => selected.push(peer),
                None => break,
            }
        }
        if selected.is_empty() {
            // All peers are in backoff. Trying the one whose backoff ends first keeps a node
            // that was cut off from all others from staying isolated after the partition heals.
            selected.extend(self.earliest_backoff_end(peers));
        }
        selected
    }

    /// Draws one peer: from other regions, from this one, or from all when `cross_region` is
    /// `None`.
    fn draw_one(
        &mut self,
        peers: &[Peer],
        selected: &[Peer],
        now: Millis,
        cross_region: Option<bool>,
    ) -> Option<Peer> {
        let backoffs = &self.backoffs;
        let region = &self.region;
        peers
            .iter()
            .filter(|peer| cross_region.is_none_or(|cross| (peer.region != *region) == cross))
            .filter(|peer| {
                backoffs
                    .get(&peer.address)
                    .is_none_or(|backoff| backoff.until <= now)
            })
            .filter(|peer| selected.iter().all(|other| other.address != peer.address))
            .choose(&mut self.rng)
            .cloned()
    }

    fn earliest_backoff_end(&self, peers: &[Peer]) -> Option<Peer> {
        peers
            .iter()
            .min_by_key(|peer| {
                self.backoffs
                    .get(&peer.address)
                    .map(|backoff| backoff.until)
            })
            .cloned()
    }

    /// Ends the backoff of a peer that answered.
    pub(super) fn record_success(&mut self, peer: &Peer) {
        self.backoffs.remove(&peer.address);
    }

    /// Starts or doubles the backoff of a peer that didn't answer.
    pub(super) fn record_failure(&mut self, peer: &Peer, now: Millis) {
        let failures = self
            .backoffs
            .get(&peer.address)
            .map_or(0, |backoff| backoff.failures);
        let doubled = INITIAL_BACKOFF.0 << failures.min(8);
        let backoff = doubled.min(MAX_BACKOFF.0);
        let jittered = self.rng.random_range(backoff / 2..=backoff);
        self.backoffs.insert(
            peer.address,
            Backoff {
                failures: failures + 1,
                until: now + Millis(jittered),
            },
        );
    }

    /// Adds jitter to a duration, so that nodes don't exchange in lockstep.
    pub(super) fn jitter(&mut self, duration: Millis) -> Millis {
        duration.jittered(&mut self.rng)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn peers(count: u16) -> Vec<Peer> {
        (0..count)
            .map(|index| Peer {
                name: Arc::from(format!("n{index}")),
                address: SocketAddr::from(([10, 0, 0, 1], 1000 + index)),
                region: Arc::from(if index % 2 == 0 { "a" } else { "b" }),
            })
            .collect()
    }

    /// Without a backoff, a paused node is drawn again in the next round and wastes an exchange
    /// each time.
    #[test]
    fn selector_failed_peer_backs_off() {
        let mut selector = PeerSelector::new(Arc::from("a"), 10, 1);
        let peers = peers(2);
        selector.record_failure(&peers[0], Millis(0));
        for _ in 0..20 {
            let drawn = selector.select(&peers, 1, Millis(10));
            assert_eq!(drawn, [peers[1].clone()]);
        }
        selector.record_failure(&peers[1], Millis(20));
        let alone = selector.select(&peers, 1, Millis(30));
        assert_eq!(
            alone.len(),
            1,
            "one peer is tried though all are in backoff"
        );
        selector.record_success(&peers[0]);
        assert_eq!(selector.select(&peers, 1, Millis(40)), [peers[0].clone()]);
    }

    #[test]
    fn selector_draws_different_peers_and_some_cross_region() {
        let mut selector = PeerSelector::new(Arc::from("a"), 20, 2);
        let peers = peers(40);
        let mut cross_region = 0;
        for _ in 0..100 {
            let drawn = selector.select(&peers, 3, Millis(0));
            assert_eq!(drawn.len(), 3);
            assert!(drawn[0] != drawn[1] && drawn[1] != drawn[2] && drawn[0] != drawn[2]);
            cross_region += drawn.iter().filter(|peer| &*peer.region == "b").count();
        }
        assert!(
            (30..100).contains(&cross_region),
            "{cross_region} of 300 were in another region"
        );
    }
}
