//! The votes of witnesses as the messages that carry them.

use crate::membership::witness::{Ask, Vote};
use crate::ports::LeaseId;
use crate::schema::peer::{RenewReply, RenewRequest};

impl From<Ask> for RenewRequest {
    fn from(ask: Ask) -> Self {
        Self {
            node: ask.node.to_string(),
            lease: ask.lease.0,
            incarnation: ask.incarnation,
            registration: ask.registration,
            withdraw_before: ask.withdraw_before.unwrap_or(0),
        }
    }
}

impl From<RenewRequest> for Ask {
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
