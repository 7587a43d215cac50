//! Requests for support from this node's witnesses while its lease can't be renewed.

use std::collections::BTreeSet;

use super::{Call, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::limits::{SUPPORT_TTL, drift_margin};
use crate::membership::placement::majority;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;
use crate::ports::LeaseId;

/// Support rounds in one [`SUPPORT_TTL`]; two may fail before support expires.
const ROUNDS_PER_SUPPORT_TTL: u64 = 3;

/// One round of requests for support from all witnesses.
#[derive(Debug)]
pub(super) struct SupportRound {
    number: u64,
    sent_at: Millis,
    lease: LeaseId,
    needed: usize,
    supporters: BTreeSet<Name>,
}

impl Machine {
    pub(super) fn maintain_support(&mut self, now: Millis) {
        let needed = self.eligible && self.is_renewal_overdue(now);
        if !needed || now < self.next_support_round || self.is_ending_lease() {
            return;
        }
        self.next_support_round = now + Millis(SUPPORT_TTL.0 / ROUNDS_PER_SUPPORT_TTL);
        if self.witnesses_uncertain() && self.guards.is_enabled(Guard::WitnessesFixed) {
            return;
        }
        if self.max_outage_reached(now) {
            self.record_event("outage_limit");
            return;
        }
        self.start_support_round(now);
    }

    fn start_support_round(&mut self, now: Millis) {
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
        self.last_round += 1;
        let number = self.last_round;
        self.support_round = Some(SupportRound {
            number,
            sent_at: now,
            lease: ask.lease,
            needed: majority(witnesses.len()),
            supporters: BTreeSet::new(),
        });
        for witness in witnesses {
            let purpose = Purpose::Support {
                round: number,
                witness: witness.clone(),
            };
            self.request_vote(now, &witness, purpose, ask.clone());
        }
    }

    /// Requests a vote from a witness, which may be this node itself.
    pub(super) fn request_vote(
        &mut self,
        now: Millis,
        witness: &Name,
        purpose: Purpose,
        ask: VoteRequest,
    ) {
        if *witness == self.identity.name {
            let vote = Some(self.witness.vote(now, &ask));
            match purpose {
                Purpose::Support { round, witness } => {
                    self.handle_support_vote(now, round, witness, vote);
                }
                Purpose::Withdraw {
                    owner,
                    round,
                    witness,
                } => self.handle_withdrawal_vote(now, &owner, round, witness, vote),
                _ => {}
            }
            return;
        }
        // A witness whose record expired in the outage still listens at the same address.
        let address = self
            .table
            .record(witness)
            .map(|record| record.identity.peer);
        if let Some(address) = address {
            self.start_call(now, purpose, Call::RequestVote(address, ask));
        }
    }

    pub(super) fn handle_support_vote(
        &mut self,
        now: Millis,
        number: u64,
        witness: Name,
        vote: Option<Vote>,
    ) {
        let Some(vote) = vote else {
            return;
        };
        let timeout = self.limits.vote_timeout();
        let one_suffices = !self.guards.is_enabled(Guard::SupportMajority);
        let from_send = self.guards.is_enabled(Guard::SupportFromSend);
        let Some(round) = &mut self.support_round else {
            return;
        };
        if round.number != number {
            return;
        }
        let counted_from = if from_send { round.sent_at } else { now };
        // Late votes don't count, which bounds the length of a round: a restarted witness
        // stays silent for longer than any round.
        let in_time = now.since(round.sent_at) <= timeout || !from_send;
        if vote.renewed {
            let lease = round.lease;
            self.record_renewal(lease, counted_from);
            return;
        }
        if !in_time || !vote.supported {
            return;
        }
        round.supporters.insert(witness);
        let counted = round.supporters.len();
        if counted < round.needed && !one_suffices {
            return;
        }
        let until = counted_from + SUPPORT_TTL - drift_margin(SUPPORT_TTL);
        if !self.relies_on_witnesses() {
            self.record_event("outage_support");
        }
        self.support_until = self.support_until.max(until);
        self.extend_ownership(until);
    }
}
