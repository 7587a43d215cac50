//! Asking this node's witnesses for support while its lease can't be renewed.

use std::collections::BTreeSet;

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{SUPPORT_SPAN, drift};
use crate::membership::placement::majority;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;
use crate::ports::LeaseId;

/// Rounds of asking in one support span; two may fail.
const ROUNDS: u64 = 3;

/// One round of asking all witnesses.
#[derive(Debug)]
pub(super) struct Round {
    number: u64,
    sent: Millis,
    lease: LeaseId,
    wanted: usize,
    supported: BTreeSet<Name>,
}

impl Machine {
    pub(super) fn tend_support(&mut self, now: Millis) {
        let needed = self.eligible && self.renewal_late(now);
        if !needed || now < self.next_round || self.ending() {
            return;
        }
        self.next_round = now + Millis(SUPPORT_SPAN.0 / ROUNDS);
        if self.witnesses_unsettled() && self.guards.is_enabled(Guard::WitnessesFixed) {
            return;
        }
        if self.outage_over(now) {
            self.note("outage_limit");
            return;
        }
        self.ask_support(now);
    }

    fn ask_support(&mut self, now: Millis) {
        let Some(session) = &self.session else {
            return;
        };
        let witnesses = session.record.witnesses.clone();
        let ask = VoteRequest {
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            lease: session.lease,
            registration: session.record.revision,
            withdraw_before: None,
        };
        self.rounds += 1;
        let number = self.rounds;
        self.round = Some(Round {
            number,
            sent: now,
            lease: ask.lease,
            wanted: majority(witnesses.len()),
            supported: BTreeSet::new(),
        });
        for witness in witnesses {
            let purpose = Purpose::Support {
                round: number,
                witness: witness.clone(),
            };
            self.ask(now, &witness, purpose, ask.clone());
        }
    }

    /// Asks a witness, which may be this node itself.
    pub(super) fn ask(&mut self, now: Millis, witness: &Name, purpose: Purpose, ask: VoteRequest) {
        if *witness == self.identity.name {
            let vote = Some(self.witness.vote(now, &ask));
            match purpose {
                Purpose::Support { round, witness } => self.supported(now, round, witness, vote),
                Purpose::Withdraw {
                    start,
                    round,
                    witness,
                } => self.withdrawn(now, &start, round, witness, vote),
                _ => {}
            }
            return;
        }
        // A witness whose record ended in the outage still listens where it did.
        let address = self
            .table
            .record(witness)
            .map(|record| record.identity.peer);
        if let Some(address) = address {
            self.call(now, purpose, Call::Ask(address, ask));
        }
    }

    pub(super) fn supported(
        &mut self,
        now: Millis,
        number: u64,
        witness: Name,
        vote: Option<Vote>,
    ) {
        let Some(vote) = vote else {
            return;
        };
        let limit = self.limits.round();
        let one = !self.guards.is_enabled(Guard::SupportMajority);
        let from_send = self.guards.is_enabled(Guard::SupportFromSend);
        let Some(round) = &mut self.round else {
            return;
        };
        if round.number != number {
            return;
        }
        let sent = if from_send { round.sent } else { now };
        // A late answer is a promise that this node no longer needs; rounds stay short
        // so that a restarted witness is silent for longer than any of them.
        let in_time = now.since(round.sent) <= limit || !from_send;
        if vote.renewed {
            let lease = round.lease;
            self.renewal_counts(lease, sent);
            return;
        }
        if !in_time || !vote.supported {
            return;
        }
        round.supported.insert(witness);
        let counted = round.supported.len();
        if counted < round.wanted && !one {
            return;
        }
        let until = sent + SUPPORT_SPAN - drift(SUPPORT_SPAN);
        if !self.outage() {
            self.note("outage_support");
        }
        self.support_until = self.support_until.max(until);
        self.extend(until);
    }
}
