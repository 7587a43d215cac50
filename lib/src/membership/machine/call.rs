//! What the machine wants done, and the answers that come back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::clock::Millis;
use crate::membership::witness::{Vote, VoteRequest};
use crate::name::Name;
use crate::ports::{Commit, Entry, Error, LeaseId, Listing, Transaction};

/// A call that the machine wants made; its answer comes back under the same number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Grants a lease.
    Grant(Millis),
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease.
    Revoke(LeaseId),
    /// Makes a write under conditions.
    Commit(Transaction),
    /// Reads one key.
    Read(String),
    /// Reads all keys of membership.
    List,
    /// Asks a peer as a witness.
    Ask(SocketAddr, VoteRequest),
    /// Stops serving an upstream and waits for what runs.
    Release(Name, Millis),
}

/// What a call brought.
#[derive(Debug, Clone)]
pub enum Answer {
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
    /// Of [`Call::Ask`]; none when no answer came in time.
    Voted(Option<Vote>),
    /// Of [`Call::Release`].
    Released,
}

/// What the machine wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Make a call and return its answer.
    Call(u64, Call),
    /// Serve an upstream under a claim; the bound moves while the lease lasts.
    Adopt {
        /// The upstream.
        upstream: Name,
        /// The claim's fencing token.
        token: u64,
        /// When ownership ends, on the node's clock.
        until: Arc<AtomicU64>,
    },
    /// Something rare that operators should be able to count.
    Note(&'static str),
}

/// What a call was made for.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    Grant,
    Register,
    SettleRegister,
    Renew(LeaseId),
    List,
    Claim(Name),
    SettleClaim(Name),
    Release(Name),
    Support {
        round: u64,
        witness: Name,
    },
    Withdraw {
        start: (Name, u64),
        round: u64,
        witness: Name,
    },
    Revoke,
    Tidy,
}

/// A call under way.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub purpose: Purpose,
    pub sent: Millis,
}
