//! Making claims, and waiting until the previous owner of each gives no more orders.

use std::net::SocketAddr;

use super::candidate::Candidate;
use super::previous::Previous;
use super::{CLAIMS_AT_ONCE, Claimer, encoded};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::view::{ClaimEntry, claim_address};
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
        self.adopt(self.clock.now());
        for _ in 0..CLAIM_TRIES {
            let mut candidates = self.candidates(began, self.clock.now());
            if candidates.is_empty() {
                return Ok(());
            }
            let rest = candidates.split_off(CLAIMS_AT_ONCE.min(candidates.len()));
            let commit = self.store.commit(self.claims(&candidates, lease)).await?;
            let now = self.clock.now();
            if commit.done {
                for one in candidates {
                    self.won(one.address, commit.revision, one.previous, one.from, now);
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
        for one in candidates {
            let Candidate { address, left, .. } = one;
            let key = self.key(*address);
            transaction.conditions.push(match left {
                Some(left) => Condition::Unchanged(key.clone(), left.revision),
                None => Condition::Absent(key.clone()),
            });
            let claim = encoded(&self.own_claim(None, one.from));
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
            if let Key::Own(name) = self.dialect.parse_key(&entry.key)
                && let Some(address) = claim_address(&name)
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
    fn adopt(&self, now: Millis) {
        let unanswered: Vec<(SocketAddr, u64, Millis)> = {
            let state = self.view.state();
            state
                .claims
                .iter()
                .filter(|(address, standing)| {
                    standing.claim.node == self.node
                        && standing.claim.start == self.peer.start
                        && standing.claim.left.is_none()
                        && !self.ownership.owns(**address)
                })
                .map(|(address, standing)| (*address, standing.revision, standing.claim.from))
                .collect()
        };
        for (address, token, from) in unanswered {
            let previous = Previous::Itself { from: Some(from) };
            self.won(address, token, previous, from, now);
        }
    }

    fn won(&self, address: SocketAddr, token: u64, previous: Previous, from: Millis, now: Millis) {
        let name = previous.name();
        self.metrics.takeovers.with_label_values(&[name]).inc();
        let start = from.max(now);
        log::info!(
            "right: orders to {address} are this node's, token {token}, from {start}, previous owner: {name}"
        );
        self.view.state().insert_claim(
            address,
            ClaimEntry {
                claim: self.own_claim(None, from),
                revision: token,
                seen: now,
            },
        );
        self.ownership.acquire(address, token, start);
    }
}
