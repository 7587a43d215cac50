//! Having the witnesses of a vanished owner withdraw, before a takeover.

use std::collections::BTreeSet;

use super::{Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{OUTAGE_LIMIT, drift};
use crate::membership::node::{Claim, Record};
use crate::membership::placement::majority;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;

/// Wait after a round in which too few witnesses withdrew.
const AGAIN: Millis = Millis(1000);

/// How far the witnesses of one start of a node have withdrawn.
#[derive(Debug)]
pub(super) struct Withdrawal {
    registration: u64,
    since: Millis,
    round: u64,
    sent: Millis,
    next: Millis,
    wanted: usize,
    withdrawn: BTreeSet<Name>,
    done: bool,
}

impl Machine {
    /// Whether a claim's vanished owner can't be an owner any more, as far as its
    /// witnesses go. Asks them if that isn't known yet.
    pub(super) fn witnesses_withdrew(&mut self, now: Millis, claim: &Claim) -> bool {
        if !self.guards.is_enabled(Guard::WithdrawMajority) {
            return true;
        }
        let start = (claim.node.clone(), claim.incarnation);
        let Some(record) = self.table.registration(&start.0, start.1).cloned() else {
            // Only operators remove a registration that a claim names; the claim's
            // write is made under the condition that there is none.
            return true;
        };
        let known = self.withdrawals.get(&start);
        if known.is_none_or(|withdrawal| withdrawal.registration != record.revision) {
            let withdrawal = Withdrawal::new(now, &record);
            self.withdrawals.insert(start.clone(), withdrawal);
        }
        let Some(withdrawal) = self.withdrawals.get(&start) else {
            return false;
        };
        // With most witnesses gone for good nobody can withdraw, but no owner goes
        // on for longer than this either.
        let expired = now >= withdrawal.since + OUTAGE_LIMIT + drift(OUTAGE_LIMIT);
        if withdrawal.done || expired {
            return true;
        }
        if now >= withdrawal.next {
            self.ask_withdrawal(now, &start, &record);
        }
        self.withdrawals.get(&start).is_some_and(|w| w.done)
    }

    fn ask_withdrawal(&mut self, now: Millis, start: &(Name, u64), record: &Record) {
        self.rounds += 1;
        let number = self.rounds;
        let again = self.jitter(AGAIN);
        if let Some(withdrawal) = self.withdrawals.get_mut(start) {
            withdrawal.round = number;
            withdrawal.sent = now;
            withdrawal.next = now + again;
            withdrawal.withdrawn.clear();
        }
        let ask = VoteRequest {
            node: start.0.clone(),
            incarnation: start.1,
            lease: record.lease,
            registration: record.revision,
            withdraw_before: Some(record.revision + 1),
        };
        for witness in &record.witnesses {
            let purpose = Purpose::Withdraw {
                start: start.clone(),
                round: number,
                witness: witness.clone(),
            };
            self.ask(now, witness, purpose, ask.clone());
        }
    }

    pub(super) fn withdrawn(
        &mut self,
        now: Millis,
        start: &(Name, u64),
        round: u64,
        witness: Name,
        vote: Option<Vote>,
    ) {
        let limit = self.limits.round();
        let Some(withdrawal) = self.withdrawals.get_mut(start) else {
            return;
        };
        let in_time = now.since(withdrawal.sent) <= limit;
        if withdrawal.round != round || !in_time || !vote.is_some_and(|vote| vote.withdrawn) {
            return;
        }
        withdrawal.withdrawn.insert(witness);
        if withdrawal.withdrawn.len() >= withdrawal.wanted && !withdrawal.done {
            withdrawal.done = true;
            self.next_plan = now;
        }
    }

    /// Forgets withdrawals from nodes that own nothing any more.
    pub(super) fn forget_withdrawals(&mut self) {
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
            sent: now,
            next: now,
            wanted: majority(record.witnesses.len()),
            withdrawn: BTreeSet::new(),
            done: false,
        }
    }
}
