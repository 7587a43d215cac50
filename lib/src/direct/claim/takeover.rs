//! Making claims, and waiting until the previous owner of each gives no more orders.

use std::net::SocketAddr;

use super::candidate::Candidate;
use super::previous::Previous;
use super::{CLAIMS_AT_ONCE, Claimer, encoded};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::limits::TURN_MARGIN;
use crate::direct::view::{Standing, State, claimed};
use crate::ports::{Condition, Entry, Error, LeaseId, Transaction, Write};

/// Tries of a round to claim what the service didn't say was taken the time before.
///
/// Each costs a call; what is left is tried in the next round.
const CLAIM_TRIES: u32 = 3;

impl Claimer {
    /// Takes over engines that nobody gives orders to, those first that fall to this node.
    ///
    /// A transaction makes all its claims or none, and news of others' claims comes seconds
    /// late. Where hundreds of nodes claim at once, one engine that is taken already would fail
    /// the same transaction each round; the service's refusal says which it is.
    pub(super) async fn claim(&self, lease: LeaseId, began: Millis) -> Result<(), Error> {
        self.adopt(began, self.clock.now());
        for _ in 0..CLAIM_TRIES {
            let mut candidates = self.candidates(began, self.clock.now());
            if candidates.is_empty() {
                return Ok(());
            }
            let rest = candidates.split_off(CLAIMS_AT_ONCE.min(candidates.len()));
            let commit = self.store.commit(self.claims(&candidates, lease)).await?;
            let now = self.clock.now();
            if commit.done {
                for Candidate { address, left, .. } in candidates {
                    self.won(address, left.as_ref(), commit.revision, began, now);
                }
                if !rest.iter().any(|one| one.is_own) {
                    return Ok(());
                }
            } else if !self.learn(&commit.found, now) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the transaction that makes claims.
    fn claims(&self, candidates: &[Candidate], lease: LeaseId) -> Transaction {
        let mut transaction = Transaction::default();
        for Candidate { address, left, .. } in candidates {
            let key = self.key(*address);
            transaction.conditions.push(match left {
                Some(left) => Condition::Unchanged(key.clone(), left.revision),
                None => Condition::Absent(key.clone()),
            });
            let claim = encoded(&self.own_claim(None));
            transaction.writes.push(Write::Put(key, claim, Some(lease)));
        }
        transaction
    }

    /// Takes in claims that a refused transaction met; returns whether there were any.
    fn learn(&self, found: &[Entry], now: Millis) -> bool {
        log::debug!("right: {} engines were claimed by others", found.len());
        let mut state = self.view.state();
        let mut learnt = false;
        for entry in found {
            if let Key::Own(name) = self.dialect.key(&entry.key)
                && let Some(address) = claimed(&name)
            {
                state.put_claim(address, entry, now);
                learnt = true;
            }
        }
        learnt
    }

    /// Takes up claims of this start whose write had no answer.
    ///
    /// Without this nobody would give those engines orders: to all others they
    /// are taken.
    fn adopt(&self, began: Millis, now: Millis) {
        let unanswered: Vec<(SocketAddr, u64)> = {
            let state = self.view.state();
            state
                .claims
                .iter()
                .filter(|(address, standing)| {
                    standing.claim.node == self.node
                        && standing.claim.start == self.peer.start
                        && standing.claim.left.is_none()
                        && !self.right.owns(**address)
                })
                .map(|(address, standing)| (*address, standing.revision))
                .collect()
        };
        for (address, token) in unanswered {
            self.won(address, None, token, began, now);
        }
    }

    fn won(
        &self,
        address: SocketAddr,
        left: Option<&Standing>,
        token: u64,
        began: Millis,
        now: Millis,
    ) {
        let turn = self.limits.get().turns + TURN_MARGIN;
        let (previous, claims_read) = {
            let state = self.view.state();
            let previous = self.previous(&state, address, left);
            (previous, state.claims_read.unwrap_or(now))
        };
        // What vanished before this node knew all claims is as unknown to it as what did before
        // its first lease.
        let from = previous.waited_out(turn, began.max(claims_read)).max(now);
        let name = previous.name();
        self.metrics.takeovers.with_label_values(&[name]).inc();
        log::info!(
            "right: orders to {address} are this node's, token {token}, from {from}, previous owner: {name}"
        );
        self.view.state().claim(
            address,
            Standing {
                claim: self.own_claim(None),
                revision: token,
                seen: now,
            },
        );
        self.right.take(address, token, from);
    }

    /// Returns what is known of an engine's previous owner.
    fn previous(&self, state: &State, address: SocketAddr, left: Option<&Standing>) -> Previous {
        if let Some(left) = left {
            if left.claim.node == self.node {
                return Previous::Itself;
            }
            return Previous::Left {
                at: left.seen,
                idle: left.claim.left.unwrap_or_default(),
            };
        }
        match state.vanished.get(&address) {
            Some((node, _)) if *node == self.node => Previous::Itself,
            Some((_, at)) => Previous::Vanished { at: *at },
            None if self.first_start => Previous::Nobody,
            None => Previous::Unknown,
        }
    }
}
