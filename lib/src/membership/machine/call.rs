//! The actions that the machine emits and the results that it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::clock::Millis;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;
use crate::ports::{Commit, Entry, Error, LeaseId, Listing, Transaction};

/// A call to make for the machine; its result is passed back under the same number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Grants a lease with this TTL.
    Grant(Millis),
    /// Renews a lease.
    Renew(LeaseId),
    /// Revokes a lease.
    Revoke(LeaseId),
    /// Commits a conditional write.
    Commit(Transaction),
    /// Reads one key.
    Read(String),
    /// Reads all membership keys.
    List,
    /// Requests a vote from the witness at this address.
    RequestVote(SocketAddr, VoteRequest),
    /// Stops serving an upstream and waits up to this long for its running requests.
    Release(Name, Millis),
}

/// The result of a call.
#[derive(Debug, Clone)]
pub enum CallResult {
    /// Of [`Call::Grant`].
    Granted(Result<LeaseId, Error>),
    /// Of [`Call::Renew`].
    Renewed(Result<Millis, Error>),
    /// Of [`Call::Revoke`].
    Revoked,
    /// Of [`Call::Commit`].
    Committed(Result<Commit, Error>),
    /// Of [`Call::Read`].
    Read(Result<Option<Entry>, Error>),
    /// Of [`Call::List`].
    Listed(Result<Listing, Error>),
    /// Of [`Call::RequestVote`]; none if no response came in time.
    Vote(Option<Vote>),
    /// Of [`Call::Release`].
    Released,
}

/// An action for the driver of the machine.
#[derive(Debug, Clone)]
pub enum Action {
    /// Makes a call, whose result goes to [`Machine::handle_result`] under this number.
    ///
    /// [`Machine::handle_result`]: super::Machine::handle_result
    Call(u64, Call),
    /// Starts to serve an upstream under a claim; `until` moves while ownership is extended.
    Adopt {
        /// The upstream.
        upstream: Name,
        /// The claim's fencing token.
        token: u64,
        /// When ownership ends, in milliseconds of the node's monotonic clock.
        until: Arc<AtomicU64>,
    },
    /// Logs a rare event and counts it in the metrics.
    RecordEvent(&'static str),
}

/// Why a call was made, which decides how its result is handled.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    Grant,
    Register,
    VerifyRegistration,
    Renew(LeaseId),
    List,
    Claim(Name),
    VerifyClaim(Name),
    Release(Name),
    Support {
        round: u64,
        witness: Name,
    },
    Withdraw {
        // Name and incarnation of the former owner.
        owner: (Name, u64),
        round: u64,
        witness: Name,
    },
    Revoke,
    Cleanup,
}

/// A call whose result is outstanding.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub purpose: Purpose,
    pub sent_at: Millis,
}
