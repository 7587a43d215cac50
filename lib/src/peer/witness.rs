//! Conversion of vote requests and votes to and from the messages of the peer service.

use crate::membership::witness::{Vote, VoteRequest};
use crate::ports::LeaseId;
use crate::schema::peer::{RenewReply, RenewRequest};

impl From<VoteRequest> for RenewRequest {
    fn from(request: VoteRequest) -> Self {
        Self {
            node: request.node.to_string(),
            lease: request.lease.0,
            incarnation: request.incarnation,
            registration: request.registration,
            withdraw_before: request.withdraw_before.unwrap_or(0),
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
