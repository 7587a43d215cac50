//! Claiming engines, and recording from when on this node may send them orders.

use std::net::SocketAddr;

use super::candidate::Candidate;
use super::previous::{PreviousOwner, Succession};
use super::{Claimer, MAX_CLAIMS_PER_TRANSACTION, to_json};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::limits::OWNERSHIP_TERM;
use crate::direct::ownership::{OwnedEngine, UnconfirmedClaim, UnseenClaims};
use crate::direct::view::{Claim, ClaimEntry, claim_address};
use crate::ports::{Condition, Entry, Error, LeaseId, Transaction, Write};

/// Transactions of a round that try to claim engines, after some turned out to be claimed.
///
/// Each costs a call; what remains is tried in the next round.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

impl Claimer {
    /// Claims engines without an owner, the ones first for which this node ranks highest.
    ///
    /// A transaction makes all its claims or none, and other nodes' claims are seen seconds
    /// late. Where hundreds of nodes claim at once, one engine that is already claimed would fail
    /// the same transaction in each round, so the claims found by a failed one are applied.
    pub(super) async fn claim_engines(
        &self,
        lease: LeaseId,
        first_lease_at: Millis,
    ) -> Result<(), Error> {
        self.adopt_unconfirmed_claims(self.clock.now());
        self.ownership.check_predecessors(&self.node);
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let known_revision = self.view.state().seen.until;
            let mut candidates = self.candidates(first_lease_at, self.clock.now());
            if candidates.is_empty() {
                return Ok(());
            }
            let rest = candidates.split_off(MAX_CLAIMS_PER_TRANSACTION.min(candidates.len()));
            let sent_at = self.clock.now();
            let transaction = self.claim_transaction(&candidates, lease);
            let commit = self.store.commit(transaction).await.inspect_err(|_| {
                let claim = UnconfirmedClaim {
                    known_revision,
                    sent_at,
                };
                let addresses = candidates.iter().map(|one| one.address);
                self.ownership.record_unconfirmed(addresses, claim);
            })?;
            let now = self.clock.now();
            let unseen = UnseenClaims {
                after: known_revision,
                before: now,
                over_at: now + OWNERSHIP_TERM + self.order_gap(),
            };
            if commit.done {
                for one in candidates {
                    self.ownership.take_unconfirmed(one.address);
                    let engine = OwnedEngine {
                        token: commit.revision,
                        orders_from: one.succession.orders_from,
                        unseen: one.stored.is_none().then_some(unseen),
                        predecessor: one.succession.predecessor,
                    };
                    let claim = self.succeeding_claim(&one.succession);
                    self.take_over(one.address, claim, engine, one.succession.previous, now);
                }
                if !rest.iter().any(|one| one.is_reclaim) {
                    return Ok(());
                }
            } else if !self.apply_found_claims(&commit.found, now) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the transaction that claims the candidates.
    fn claim_transaction(&self, candidates: &[Candidate], lease: LeaseId) -> Transaction {
        let mut transaction = Transaction::default();
        for one in candidates {
            let Candidate {
                address,
                stored,
                succession,
                ..
            } = one;
            let key = self.claim_key(*address);
            transaction.conditions.push(match stored {
                Some(stored) => Condition::Unchanged(key.clone(), stored.revision),
                None => Condition::Absent(key.clone()),
            });
            let claim = to_json(&self.succeeding_claim(succession));
            transaction.writes.push(Write::Put(key, claim, Some(lease)));
        }
        transaction
    }

    /// Returns the claim of a successor, with what a later start of this node has to wait for.
    fn succeeding_claim(&self, succession: &Succession) -> Claim {
        let orders_from = succession.orders_from;
        let predecessor_ends_at = succession
            .predecessor
            .map(|predecessor| self.ownership.end_of(predecessor));
        Claim {
            exclusive_from: predecessor_ends_at.filter(|at| orders_from < *at),
            ..self.new_claim(None, orders_from)
        }
    }

    /// Applies the claims that made a transaction fail; returns whether there were any.
    fn apply_found_claims(&self, found: &[Entry], now: Millis) -> bool {
        log::debug!("right: {} engines were claimed by others", found.len());
        let mut state = self.view.state();
        let mut has_applied = false;
        for entry in found {
            if let Key::Own(name) = self.dialect.parse_key(&entry.key)
                && let Some(address) = claim_address(&name)
            {
                state.put_claim(address, entry, now);
                has_applied = true;
            }
        }
        has_applied
    }

    /// Takes over engines with claims of this start that this node doesn't know to have made.
    ///
    /// Their write got no response but took effect, maybe seconds later. Other nodes see the engines as
    /// owned, so otherwise nobody would send them orders. Another node may have owned one until the
    /// write, and go on until its term ends.
    fn adopt_unconfirmed_claims(&self, now: Millis) {
        let unconfirmed: Vec<(SocketAddr, ClaimEntry)> = {
            let state = self.view.state();
            state
                .claims
                .iter()
                .filter(|(address, stored)| {
                    stored.claim.node == self.node
                        && stored.claim.start == self.peer.start
                        && stored.claim.left.is_none()
                        && !self.ownership.owns(**address)
                })
                .map(|(address, stored)| (*address, stored.clone()))
                .collect()
        };
        for (
            address,
            ClaimEntry {
                claim, revision, ..
            },
        ) in unconfirmed
        {
            let orders_from = claim.from;
            let previous = PreviousOwner::Itself {
                orders_from: Some(orders_from),
                exclusive_from: claim.exclusive_from,
            };
            let sent = self.ownership.take_unconfirmed(address).unwrap_or_default();
            let engine = OwnedEngine {
                token: revision,
                orders_from,
                predecessor: self.predecessor(previous, now),
                unseen: Some(UnseenClaims {
                    after: sent.known_revision,
                    before: sent.sent_at,
                    over_at: now + OWNERSHIP_TERM + self.order_gap(),
                }),
            };
            self.take_over(address, claim, engine, previous, now);
        }
    }

    /// Records that this node owns an engine.
    fn take_over(
        &self,
        address: SocketAddr,
        claim: Claim,
        engine: OwnedEngine,
        previous: PreviousOwner,
        now: Millis,
    ) {
        let OwnedEngine {
            token, orders_from, ..
        } = engine;
        let name = previous.name();
        self.metrics.takeovers.with_label_values(&[name]).inc();
        let start = orders_from.max(now);
        log::info!(
            "right: took over {address} with token {token}, orders from {start}, previous owner: {name}{}",
            if engine.predecessor.is_some() {
                ", which may still extend its term"
            } else {
                ""
            }
        );
        self.view.state().insert_claim(
            address,
            ClaimEntry {
                claim,
                revision: token,
                seen: now,
            },
        );
        if matches!(previous, PreviousOwner::Itself { .. }) {
            self.ownership.record_earlier_orders(address);
        }
        let engine = OwnedEngine {
            orders_from: start,
            ..engine
        };
        self.ownership.acquire_engine(address, engine);
    }
}
