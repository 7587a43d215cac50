//! Whom to exchange with next.
//!
//! Peers are drawn at random: any fixed order would leave a part of the nodes
//! behind one that is paused. A peer that failed is left out for a backoff that doubles,
//! so that dead and paused peers cost a round now and then and not each round.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::Peer;
use crate::clock::Millis;
use crate::name::Name;

/// First backoff of a peer that failed.
const FIRST_BACKOFF: Millis = Millis(2_000);
/// Longest backoff.
const MAX_BACKOFF: Millis = Millis(30_000);

/// A peer that failed of late.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Millis,
}

/// Draws peers.
#[derive(Debug)]
pub(super) struct Choice {
    region: Name,
    /// How many of 100 draws go to another region.
    cross_region_percent: u32,
    backoffs: HashMap<SocketAddr, Backoff>,
    rng: Pcg32,
}

impl Choice {
    pub(super) fn new(region: Name, cross_region_percent: u32, seed: u64) -> Self {
        Self {
            region,
            cross_region_percent,
            backoffs: HashMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Draws up to `count` different peers.
    pub(super) fn draw(&mut self, peers: &[Peer], count: usize, now: Millis) -> Vec<Peer> {
        self.backoffs
            .retain(|address, _| peers.iter().any(|peer| peer.address == *address));
        let mut drawn: Vec<Peer> = Vec::with_capacity(count);
        for _ in 0..count {
            let away = self.rng.random_range(0..100) < self.cross_region_percent;
            let next = self
                .one(peers, &drawn, now, Some(away))
                .or_else(|| self.one(peers, &drawn, now, None));
            match next {
                Some(peer) => drawn.push(peer),
                None => break,
            }
        }
        if drawn.is_empty() {
            // All are in backoff: try the one whose backoff ends first, or a node that was
            // cut off alone would stay alone for longer than it is cut off.
            drawn.extend(self.first_out_of_backoff(peers));
        }
        drawn
    }

    /// Draws from one side of the border between regions, or from both.
    fn one(
        &mut self,
        peers: &[Peer],
        drawn: &[Peer],
        now: Millis,
        away: Option<bool>,
    ) -> Option<Peer> {
        let backoffs = &self.backoffs;
        let region = &self.region;
        peers
            .iter()
            .filter(|peer| away.is_none_or(|away| (peer.region != *region) == away))
            .filter(|peer| {
                backoffs
                    .get(&peer.address)
                    .is_none_or(|backoff| backoff.until <= now)
            })
            .filter(|peer| drawn.iter().all(|other| other.address != peer.address))
            .choose(&mut self.rng)
            .cloned()
    }

    fn first_out_of_backoff(&self, peers: &[Peer]) -> Option<Peer> {
        peers
            .iter()
            .min_by_key(|peer| {
                self.backoffs
                    .get(&peer.address)
                    .map(|backoff| backoff.until)
            })
            .cloned()
    }

    /// Notes that a peer answered.
    pub(super) fn answered(&mut self, peer: &Peer) {
        self.backoffs.remove(&peer.address);
    }

    /// Notes that a peer didn't answer.
    pub(super) fn failed(&mut self, peer: &Peer, now: Millis) {
        let failures = self
            .backoffs
            .get(&peer.address)
            .map_or(0, |backoff| backoff.failures);
        let doubled = FIRST_BACKOFF.0 << failures.min(8);
        let span = doubled.min(MAX_BACKOFF.0);
        let jittered = self.rng.random_range(span / 2..=span);
        self.backoffs.insert(
            peer.address,
            Backoff {
                failures: failures + 1,
                until: now + Millis(jittered),
            },
        );
    }

    /// Spreads a span, so that nodes don't exchange in step.
    pub(super) fn jitter(&mut self, span: Millis) -> Millis {
        span.jittered(&mut self.rng)
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

    /// Symptom: one paused node costs every round of its peers.
    /// Sequence: a peer doesn't answer, and is drawn again at the next round.
    /// Cause: nothing remembered that it failed.
    #[test]
    fn choice_failed_peer_backs_off() {
        let mut choice = Choice::new(Arc::from("a"), 10, 1);
        let peers = peers(2);
        choice.failed(&peers[0], Millis(0));
        for _ in 0..20 {
            let drawn = choice.draw(&peers, 1, Millis(10));
            assert_eq!(drawn, [peers[1].clone()]);
        }
        choice.failed(&peers[1], Millis(20));
        let alone = choice.draw(&peers, 1, Millis(30));
        assert_eq!(
            alone.len(),
            1,
            "somebody is tried though all are in backoff"
        );
        choice.answered(&peers[0]);
        assert_eq!(choice.draw(&peers, 1, Millis(40)), [peers[0].clone()]);
    }

    #[test]
    fn choice_draws_different_peers_and_some_away() {
        let mut choice = Choice::new(Arc::from("a"), 20, 2);
        let peers = peers(40);
        let mut away = 0;
        for _ in 0..100 {
            let drawn = choice.draw(&peers, 3, Millis(0));
            assert_eq!(drawn.len(), 3);
            assert!(drawn[0] != drawn[1] && drawn[1] != drawn[2] && drawn[0] != drawn[2]);
            away += drawn.iter().filter(|peer| &*peer.region == "b").count();
        }
        assert!((30..100).contains(&away), "{away} of 300 went away");
    }
}
