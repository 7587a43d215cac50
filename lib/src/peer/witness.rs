//! The votes of witnesses as the messages that carry them.

use crate::membership::witness::{Vote, VoteRequest};
use crate::ports::LeaseId;
use crate::schema::peer::{RenewReply, RenewRequest};

impl From<VoteRequest> for RenewRequest {
    fn from(ask: VoteRequest) -> Self {
        Self {
            node: ask.node.to_string(),
            lease: ask.lease.0,
            incarnation: ask.incarnation,
            registration: ask.registration,
            withdraw_before: ask.withdraw_before.unwrap_or(0),
        }
    }
}

impl From<RenewRequest> for VoteRequest {
    fn from(request: RenewRequest) -> Self {
        Self {
            node: request.node.into(),
            incarnation: request.incarnation,
            lease: LeaseId(request.lease),
            registration: request.registration,
            withdraw_before: (request.withdraw_before > 0).then_some(request.withdraw_before),
        }
    }
}

impl From<Vote> for RenewReply {
    fn from(vote: Vote) -> Self {
        Self {
            renewed: vote.renewed,
            supported: vote.supported,
            withdrawn: vote.withdrawn,
        }
    }
}

impl From<RenewReply> for Vote {
    fn from(reply: RenewReply) -> Self {
        Self {
            renewed: reply.renewed,
            supported: reply.supported,
            withdrawn: reply.withdrawn,
        }
    }
}
