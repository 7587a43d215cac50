//! Withdrawal of support by the witnesses of a lost owner, before a takeover.

use std::collections::BTreeSet;

use super::{Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{MAX_OUTAGE, drift_margin};
use crate::membership::node::{Claim, Record};
use crate::membership::placement::majority;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;

/// Delay before another round if too few witnesses withdrew.
const WITHDRAWAL_RETRY_DELAY: Millis = Millis(1000);

/// Withdrawals by the witnesses of one incarnation of a node.
#[derive(Debug)]
pub(super) struct Withdrawal {
    /// Revision of the registration that names the witnesses.
    registration: u64,
    /// When this node first asked for the withdrawal.
    since: Millis,
    round: u64,
    sent_at: Millis,
    next_at: Millis,
    needed: usize,
    withdrawn: BTreeSet<Name>,
    done: bool,
}

impl Machine {
    /// Returns whether the lost owner of a claim can no longer be kept an owner by its
    /// witnesses, and asks them to withdraw if that isn't known yet.
    pub(super) fn witnesses_withdrew(&mut self, now: Millis, claim: &Claim) -> bool {
        if !self.guards.is_enabled(Guard::WithdrawMajority) {
            return true;
        }
        let owner = (claim.node.clone(), claim.incarnation);
        let Some(record) = self.table.registration(&owner.0, owner.1).cloned() else {
            // Only operators remove a registration that a claim names. The claim is written
            // on the condition that there is none.
            return true;
        };
        let known = self.withdrawals.get(&owner);
        if known.is_none_or(|withdrawal| withdrawal.registration != record.revision) {
            let withdrawal = Withdrawal::new(now, &record);
            self.withdrawals.insert(owner.clone(), withdrawal);
        }
        let Some(withdrawal) = self.withdrawals.get(&owner) else {
            return false;
        };
        // If most witnesses are lost for good, no majority can withdraw; but no owner goes
        // on without the key-value service for longer than this.
        let expired = now >= withdrawal.since + MAX_OUTAGE + drift_margin(MAX_OUTAGE);
        if withdrawal.done || expired {
            return true;
        }
        if now >= withdrawal.next_at {
            self.request_withdrawal(now, &owner, &record);
        }
        self.withdrawals.get(&owner).is_some_and(|w| w.done)
    }

    fn request_withdrawal(&mut self, now: Millis, owner: &(Name, u64), record: &Record) {
        self.last_round += 1;
        let number = self.last_round;
        let delay = self.jitter(WITHDRAWAL_RETRY_DELAY);
        if let Some(withdrawal) = self.withdrawals.get_mut(owner) {
            withdrawal.round = number;
            withdrawal.sent_at = now;
            withdrawal.next_at = now + delay;
            withdrawal.withdrawn.clear();
        }
        let ask = VoteRequest {
            node: owner.0.clone(),
            incarnation: owner.1,
            lease: record.lease,
            registration: record.revision,
            withdraw_before: Some(record.revision + 1),
        };
        for witness in &record.witnesses {
            let purpose = Purpose::Withdraw {
                owner: owner.clone(),
                round: number,
                witness: witness.clone(),
            };
            self.request_vote(now, witness, purpose, ask.clone());
        }
    }

    pub(super) fn handle_withdrawal_vote(
        &mut self,
        now: Millis,
        owner: &(Name, u64),
        round: u64,
        witness: Name,
        vote: Option<Vote>,
    ) {
        let timeout = self.limits.vote_timeout();
        let Some(withdrawal) = self.withdrawals.get_mut(owner) else {
            return;
        };
        let in_time = now.since(withdrawal.sent_at) <= timeout;
        if withdrawal.round != round || !in_time || !vote.is_some_and(|vote| vote.withdrawn) {
            return;
        }
        withdrawal.withdrawn.insert(witness);
        if withdrawal.withdrawn.len() >= withdrawal.needed && !withdrawal.done {
            withdrawal.done = true;
            self.next_claim_check = now;
        }
    }

    /// Drops the withdrawals of support for owners that no claim names any more.
    pub(super) fn drop_stale_withdrawals(&mut self) {
        let table = &self.table;
        self.withdrawals.retain(|(node, incarnation), _| {
            table
                .claims()
                .any(|claim| claim.node == *node && claim.incarnation == *incarnation)
        });
    }
}

impl Withdrawal {
    fn new(now: Millis, record: &Record) -> Self {
        Self {
            registration: record.revision,
            since: now,
            round: 0,
            sent_at: now,
            next_at: now,
            needed: majority(record.witnesses.len()),
            withdrawn: BTreeSet::new(),
            done: false,
        }
    }
}
