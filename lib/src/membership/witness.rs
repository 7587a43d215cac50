//! Witnesses: peers that extend ownership while the key-value service is unavailable.
//!
//! An owner that can't renew its lease would have to stop, although no node can take its
//! upstreams over while the service is unavailable. Therefore each node names a few peers as its
//! witnesses in its record at the service. It stays owner while a majority of them supports it,
//! and a successor needs a majority of the same witnesses to withdraw first. A witness that
//! supported an owner within the support term refuses to withdraw, and one that has withdrawn
//! never supports that registration again, so both majorities can't exist at the same time.
//! Witnesses reach no consensus and store nothing durably: the claim itself is written only at
//! the service. See docs/design/0004-ownership.md.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::membership::guard::{Guard, Guards};
use crate::membership::limits::{SUPPORT_TTL, drift_margin};
use crate::name::Name;
use crate::ports::LeaseId;

/// Request for a witness's vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// The node whose ownership is voted on.
    pub node: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its lease at the service, which the witness renews if it can.
    pub lease: LeaseId,
    /// Revision of the service at which its record was written.
    pub registration: u64,
    /// `None` if the node itself requests support. Otherwise a successor requests to withdraw
    /// it, having read at this revision of the service that its record is gone.
    pub withdraw_before: Option<u64>,
}

/// A witness's vote: on extending an owner's term, or on ending it.
///
/// A vote is valid for one registration and one support term only. Witnesses don't coordinate
/// with each other, so this is not a consensus protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Vote {
    /// The witness renewed the node's lease at the service.
    pub renewed: bool,
    /// The witness supports the node for one support term from when it was asked.
    pub supported: bool,
    /// The witness doesn't support the registration and never will again.
    pub withdrawn: bool,
}

/// Incarnations of nodes that a witness remembers; the least recently used are evicted first.
const MAX_REMEMBERED: usize = 4096;

/// Votes of a witness on one incarnation of a node.
#[derive(Debug, Clone, Copy, Default)]
struct VoteRecord {
    supported_at: Option<Millis>,
    withdrawn_before: u64,
    last_used: Millis,
}

/// This node as a witness of others: its past votes, kept in memory only.
#[derive(Debug)]
pub struct Witness {
    silent_until: Millis,
    silence: Millis,
    /// Revision of the service; no vote on a later registration can have been lost.
    no_votes_lost_after: Option<u64>,
    overflowed: bool,
    records: HashMap<(Name, u64), VoteRecord>,
    guards: Guards,
}

impl Witness {
    /// Creates a witness that just started.
    ///
    /// A restart loses all past votes, so a new witness doesn't vote for `silence`, which is longer
    /// than any round of voting plus a support term. Otherwise a witness could withdraw, restart,
    /// and support the same owner again.
    #[must_use]
    pub fn new(now: Millis, silence: Millis) -> Self {
        Self::with_guards(now, silence, Guards::all())
    }

    /// Creates a witness for which a guard may be disabled, for the fuzz harness.
    #[must_use]
    pub fn with_guards(now: Millis, silence: Millis, guards: Guards) -> Self {
        let silence = if guards.is_enabled(Guard::WitnessQuiet) {
            silence
        } else {
            Millis::ZERO
        };
        Self {
            silent_until: now + silence,
            silence,
            no_votes_lost_after: None,
            overflowed: false,
            records: HashMap::new(),
            guards,
        }
    }

    /// Records the revision of this node's own registration, written by this incarnation.
    ///
    /// A registration with a higher revision is newer than this witness, so no previous
    /// incarnation of it can have withdrawn it. Without this exception, nodes that started together
    /// wouldn't vote in an outage of the service that begins within [`Limits::witness_silence`] of the start:
    /// their leases would expire before the first vote, and requests to every upstream be rejected.
    ///
    /// [`Limits::witness_silence`]: crate::membership::limits::Limits::witness_silence
    pub fn record_own_registration(&mut self, revision: u64) {
        if !self.overflowed {
            self.no_votes_lost_after.get_or_insert(revision);
        }
    }

    /// Votes on an owner's request for support, or on a successor's request to withdraw it.
    pub fn vote(&mut self, now: Millis, request: &VoteRequest) -> Vote {
        if now < self.silent_until && !self.is_surely_new(request) {
            return Vote::default();
        }
        self.evict_oldest(now);
        let record = self
            .records
            .entry((request.node.clone(), request.incarnation))
            .or_default();
        record.last_used = now;
        let guards = self.guards;
        match request.withdraw_before {
            None => record.support(now, request.registration, guards),
            Some(revision) => record.withdraw(now, revision, guards),
        }
    }

    // This covers support only. To withdraw, the witness must also be sure that it doesn't
    // support an older registration of the node, which only the silence ensures.
    fn is_surely_new(&self, request: &VoteRequest) -> bool {
        let newer = self
            .no_votes_lost_after
            .is_some_and(|revision| request.registration > revision);
        request.withdraw_before.is_none() && newer
    }

    // The number of records is bounded, so that a faulty peer that makes up names can't exhaust
    // the memory. Losing a vote is like a restart, and is followed by the same silence.
    fn evict_oldest(&mut self, now: Millis) {
        if self.records.len() < MAX_REMEMBERED {
            return;
        }
        let mut last_used: Vec<Millis> = self.records.values().map(|r| r.last_used).collect();
        last_used.sort_unstable();
        let oldest = last_used[last_used.len() / 4];
        self.records.retain(|_, record| record.last_used > oldest);
        self.silent_until = now + self.silence;
        // An evicted record may concern a registration that is newer than this node's.
        self.no_votes_lost_after = None;
        self.overflowed = true;
    }
}

impl VoteRecord {
    fn support(&mut self, now: Millis, registration: u64, guards: Guards) -> Vote {
        // The upstreams of a withdrawn registration may already have new owners.
        let withdrawn = registration < self.withdrawn_before;
        let supported = !withdrawn || !guards.is_enabled(Guard::WitnessRemembers);
        if supported {
            self.supported_at = Some(now);
        }
        Vote {
            supported,
            ..Vote::default()
        }
    }

    fn withdraw(&mut self, now: Millis, revision: u64, guards: Guards) -> Vote {
        // The owner relies on support for a term from when it sent the request, which was before
        // this witness received it. The margin allows for drift between the clocks.
        let relied_on = self
            .supported_at
            .is_some_and(|at| now <= at + SUPPORT_TTL + drift_margin(SUPPORT_TTL));
        let withdrawn = !relied_on || !guards.is_enabled(Guard::WitnessWaits);
        if withdrawn {
            self.withdrawn_before = self.withdrawn_before.max(revision);
        }
        Vote {
            withdrawn,
            ..Vote::default()
        }
    }
}
