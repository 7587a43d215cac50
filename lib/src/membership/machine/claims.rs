//! Claiming, adopting and relinquishing upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::{Action, Call, Machine, OwnedUpstream, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::node::{Claim, Record};
use crate::membership::placement::{self, OwnedCounts};
use crate::name::Name;
use crate::ports::{Commit, Condition, Entry, Error, Transaction, Write};

/// Interval of checks for upstreams to claim or hand over; a change triggers one at once.
const CLAIM_CHECK_INTERVAL: Millis = Millis(1000);
/// Delay after becoming eligible before never-claimed upstreams are claimed, so that
/// nodes that start together share them.
const INITIAL_CLAIM_DELAY: Millis = Millis(1500);
/// Number of pending operations from which no further claim is started.
const MAX_CONCURRENT_CLAIMS: usize = 16;
/// Delay of a drain's further handovers after a claim couldn't be written.
const HANDOVER_RETRY_DELAY: Millis = Millis(400);

/// The pending operation on an upstream; an upstream has at most one.
#[derive(Debug)]
pub(super) enum ClaimOperation {
    /// A claim is being written in place of the one with this token.
    Claiming { claim: Claim, replaced_token: u64 },
    /// The outcome of the write is unknown, and the claim is being read back.
    Verifying {
        claim: Claim,
        replaced_token: u64,
        retry_at: Millis,
    },
    /// The upstream is being released, before a handover or because it was retired.
    Releasing,
}

impl Machine {
    pub(super) fn maintain_claims(&mut self, now: Millis) {
        self.retry_claim_verification(now);
        if now < self.next_claim_check {
            return;
        }
        self.next_claim_check = now + CLAIM_CHECK_INTERVAL;
        self.detect_node_changes(now);
        if !self.may_claim(now) {
            return;
        }
        self.claim_unowned(now);
        self.rebalance(now);
        self.remove_stale_key(now);
    }

    fn may_claim(&self, now: Millis) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        self.eligible
            && self.drain.is_none()
            && session.claims_confirmed
            && !session.expired
            && now < session.lease_until
    }

    fn detect_node_changes(&mut self, now: Millis) {
        let names = self.table.live_records().map(|record| {
            let identity = &record.identity;
            xxhash_rust::xxh3::xxh3_64_with_seed(identity.name.as_bytes(), identity.incarnation)
        });
        let digest = names.fold(0, |sum: u64, hash| sum.wrapping_add(hash));
        if digest != self.nodes_digest {
            self.nodes_digest = digest;
            self.nodes_changed_at = now;
        }
    }

    pub(super) fn owned_counts(&self) -> OwnedCounts {
        let owners = self
            .table
            .claims()
            .filter(|claim| self.upstream_regions.contains_key(&claim.upstream))
            .filter(|claim| self.table.has_live_owner(claim))
            .map(|claim| &claim.node);
        OwnedCounts::from_owners(owners)
    }

    // Returns the upstreams without a claim or whose owner's record is gone.
    fn unowned_upstreams(&self, now: Millis) -> Vec<(Name, Name, Option<Claim>)> {
        let may_claim_new = now.since(self.eligible_since) >= INITIAL_CLAIM_DELAY;
        self.upstream_regions
            .iter()
            .filter_map(|(upstream, region)| {
                let claim = self.table.claim(upstream).cloned();
                let is_unowned = match &claim {
                    None => may_claim_new,
                    Some(claim) => !self.table.has_live_owner(claim),
                };
                is_unowned.then(|| (upstream.clone(), region.clone(), claim))
            })
            .collect()
    }

    fn claim_unowned(&mut self, now: Millis) {
        let unowned = self.unowned_upstreams(now);
        if unowned.is_empty() {
            self.drop_stale_withdrawals();
            return;
        }
        let mut counts = self.owned_counts();
        let mut mine = Vec::new();
        let live: Vec<&Record> = self.table.live_records().collect();
        for (upstream, region, claim) in unowned {
            let candidates = placement::candidates(&live, &region);
            let Some(successor) = placement::successor(&upstream, &candidates, &counts) else {
                continue;
            };
            let name = successor.identity.name.clone();
            counts.increment(&name);
            if name == self.identity.name {
                mine.push((upstream, claim));
            }
        }
        for (upstream, claim) in mine {
            if self.operations.len() >= MAX_CONCURRENT_CLAIMS {
                break;
            }
            if self.operations.contains_key(&upstream) {
                continue;
            }
            match claim {
                None => self.claim_unclaimed(now, &upstream),
                Some(claim) => self.take_over(now, &claim),
            }
        }
    }

    fn own_claim(&self, upstream: &Name) -> Claim {
        Claim {
            upstream: upstream.clone(),
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            token: 0,
            peer: self.identity.peer,
        }
    }

    fn claim_unclaimed(&mut self, now: Millis, upstream: &Name) {
        let mut conditions = self.claimant_conditions();
        if self.guards.is_enabled(Guard::ClaimUnchanged) {
            conditions.push(Condition::Absent(self.keys.claim(upstream)));
        }
        let claim = self.own_claim(upstream);
        self.write_claim(now, claim, 0, conditions);
    }

    // The owner's record is gone, so its lease expired, which is later than the owner's
    // own deadline. The write itself checks that the record is still gone, and that the
    // owner hasn't registered and expired again since its witnesses withdrew.
    fn take_over(&mut self, now: Millis, claim: &Claim) {
        if !self.witnesses_withdrew(now, claim) {
            return;
        }
        let mut conditions = self.claimant_conditions();
        let key = self.keys.claim(&claim.upstream);
        if self.guards.is_enabled(Guard::ClaimUnchanged) {
            conditions.push(Condition::Unchanged(key, claim.token));
        }
        let key = self.keys.node(&claim.node);
        conditions.push(match self.table.live_record(&claim.node) {
            Some(other_incarnation) => Condition::Unchanged(key, other_incarnation.revision),
            None => Condition::Absent(key),
        });
        if self.guards.is_enabled(Guard::OwnerUnregistered) {
            let key = self.keys.registration(&claim.node, claim.incarnation);
            let known = self.table.registration(&claim.node, claim.incarnation);
            conditions.push(match known {
                Some(record) => Condition::Unchanged(key, record.revision),
                None => Condition::Absent(key),
            });
        }
        self.record_event("takeover");
        let own = self.own_claim(&claim.upstream);
        self.write_claim(now, own, claim.token, conditions);
    }

    // A claim that is written after this node's lease expired would name an owner that
    // doesn't know about it.
    fn claimant_conditions(&self) -> Vec<Condition> {
        match &self.session {
            Some(session) => {
                let key = self.keys.node(&self.identity.name);
                vec![Condition::Unchanged(key, session.record.revision)]
            }
            None => Vec::new(),
        }
    }

    pub(super) fn write_claim(
        &mut self,
        now: Millis,
        claim: Claim,
        replaced_token: u64,
        conditions: Vec<Condition>,
    ) {
        let upstream = claim.upstream.clone();
        let put = Write::Put(self.keys.claim(&upstream), claim.to_value(), None);
        let transaction = Transaction {
            conditions,
            writes: vec![put],
        };
        self.operations.insert(
            upstream.clone(),
            ClaimOperation::Claiming {
                claim,
                replaced_token,
            },
        );
        self.start_call(now, Purpose::Claim(upstream), Call::Commit(transaction));
    }

    pub(super) fn handle_claim_result(
        &mut self,
        now: Millis,
        upstream: &Name,
        result: &Result<Commit, Error>,
    ) {
        let Some(ClaimOperation::Claiming {
            claim,
            replaced_token,
        }) = self.operations.remove(upstream)
        else {
            return;
        };
        match result {
            Ok(commit) if commit.done => self.accept_claim(now, claim, commit.revision),
            Ok(_) => {
                self.next_handover = now + HANDOVER_RETRY_DELAY;
                self.full_read.requested = true;
            }
            Err(Error::Unreachable(_) | Error::Refused(_)) => {
                self.next_handover = now + HANDOVER_RETRY_DELAY;
                self.full_read.requested = true;
                self.reconcile(now);
            }
            Err(Error::NoAnswer(_) | Error::Malformed(_)) => {
                if self.guards.is_enabled(Guard::SettleClaim) {
                    self.verify_claim(now, claim, replaced_token);
                } else {
                    let assumed = self.table.max_revision() + 1;
                    self.accept_claim(now, claim, assumed);
                }
            }
        }
    }

    fn accept_claim(&mut self, now: Millis, claim: Claim, token: u64) {
        self.table.merge_claim(Claim { token, ..claim });
        self.reconcile(now);
    }

    fn verify_claim(&mut self, now: Millis, claim: Claim, replaced_token: u64) {
        let upstream = claim.upstream.clone();
        let retry_at = now + self.limits.min_lease_ttl;
        let operation = ClaimOperation::Verifying {
            claim,
            replaced_token,
            retry_at,
        };
        self.operations.insert(upstream.clone(), operation);
        let key = self.keys.claim(&upstream);
        self.start_call(now, Purpose::VerifyClaim(upstream), Call::Read(key));
    }

    fn retry_claim_verification(&mut self, now: Millis) {
        let due: Vec<(Claim, u64)> = self
            .operations
            .values()
            .filter_map(|operation| match operation {
                ClaimOperation::Verifying {
                    claim,
                    replaced_token,
                    retry_at,
                } if now >= *retry_at => Some((claim.clone(), *replaced_token)),
                _ => None,
            })
            .collect();
        for (claim, replaced_token) in due {
            self.verify_claim(now, claim, replaced_token);
        }
    }

    pub(super) fn handle_claim_read(
        &mut self,
        now: Millis,
        upstream: &Name,
        result: Result<Option<Entry>, Error>,
    ) {
        let Ok(entry) = result else {
            // The read is retried later; until then the operation stays pending.
            return;
        };
        let Some(ClaimOperation::Verifying { replaced_token, .. }) =
            self.operations.remove(upstream)
        else {
            return;
        };
        let found = entry.and_then(|entry| Claim::from_value(&entry.value, entry.revision));
        match found {
            Some(found) if found.token != replaced_token => {
                self.table.merge_claim(found);
                self.reconcile(now);
            }
            _ => self.overwrite_pending_write(now, upstream, replaced_token),
        }
    }

    // The write hasn't taken effect yet but still may. If it replaces this node's own
    // claim, going on under that claim would leave two owners when the write takes effect.
    // Writing the claim again changes its revision, so that the late write fails.
    fn overwrite_pending_write(&mut self, now: Millis, upstream: &Name, replaced_token: u64) {
        self.full_read.requested = true;
        let own = self
            .table
            .claim(upstream)
            .filter(|claim| claim.token == replaced_token && claim.is_owned_by(&self.identity))
            .cloned();
        let Some(own) = own else {
            return;
        };
        let conditions = vec![Condition::Unchanged(
            self.keys.claim(upstream),
            replaced_token,
        )];
        self.write_claim(now, own, replaced_token, conditions);
    }

    /// Adopts and relinquishes upstreams so that the owned ones match the known claims.
    pub(super) fn reconcile(&mut self, now: Millis) {
        let lost: Vec<Name> = self
            .owned
            .iter()
            .filter(|(upstream, owned)| {
                let claim = self.table.claim(upstream);
                claim.is_none_or(|c| c.token != owned.token || !c.is_owned_by(&self.identity))
            })
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in lost {
            self.record_event("claim_lost");
            self.relinquish(now, &upstream);
        }
        self.release_retired(now);
        if !self.may_adopt() {
            return;
        }
        let gained: Vec<(Name, u64)> = self
            .table
            .claims()
            .filter(|claim| claim.is_owned_by(&self.identity))
            .filter(|claim| self.upstream_regions.contains_key(&claim.upstream))
            .filter(|claim| !self.owned.contains_key(&claim.upstream))
            .filter(|claim| !self.operations.contains_key(&claim.upstream))
            .map(|claim| (claim.upstream.clone(), claim.token))
            .collect();
        for (upstream, token) in gained {
            self.adopt(upstream, token);
        }
    }

    // Releases upstreams that are no longer listed: running requests finish, then the claim
    // is cleared.
    fn release_retired(&mut self, now: Millis) {
        let retired: Vec<Name> = self
            .owned
            .keys()
            .filter(|upstream| !self.upstream_regions.contains_key(*upstream))
            .filter(|upstream| !self.operations.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in retired {
            self.operations
                .insert(upstream.clone(), ClaimOperation::Releasing);
            let call = Call::Release(upstream.clone(), self.limits.release_timeout);
            self.start_call(now, Purpose::Release(upstream), call);
        }
    }

    // The claim is overwritten instead of deleted: a peer that still has a deleted claim
    // could bring it back, and a late deletion could remove a newer claim.
    pub(super) fn clear_claim(&mut self, now: Millis, upstream: &Name) {
        let own = self.table.claim(upstream).cloned();
        let Some(own) = own.filter(|claim| claim.is_owned_by(&self.identity)) else {
            return;
        };
        let replaced_token = own.token;
        let key = self.keys.claim(upstream);
        let conditions = vec![Condition::Unchanged(key, replaced_token)];
        self.write_claim(now, own.into_free(), replaced_token, conditions);
    }

    fn may_adopt(&self) -> bool {
        let claims_confirmed = self
            .session
            .as_ref()
            .is_some_and(|session| session.claims_confirmed);
        self.eligible && claims_confirmed && self.drain.is_none()
    }

    fn adopt(&mut self, upstream: Name, token: u64) {
        let until = Arc::new(AtomicU64::new(self.owned_until.0));
        let owned = OwnedUpstream {
            token,
            until: Arc::clone(&until),
        };
        self.owned.insert(upstream.clone(), owned);
        self.actions.push(Action::Adopt {
            upstream,
            token,
            until,
        });
    }

    /// Relinquishes an upstream at once; running requests may finish.
    pub(super) fn relinquish(&mut self, now: Millis, upstream: &Name) {
        let Some(owned) = self.owned.remove(upstream) else {
            return;
        };
        owned.until.store(0, Ordering::Release);
        if matches!(
            self.operations.get(upstream),
            Some(ClaimOperation::Releasing)
        ) {
            return;
        }
        // A draining node must not exit before its running requests have finished.
        let limit = if self.drain.is_some() {
            self.operations
                .insert(upstream.clone(), ClaimOperation::Releasing);
            self.limits.release_timeout
        } else {
            Millis::ZERO
        };
        let call = Call::Release(upstream.clone(), limit);
        self.start_call(now, Purpose::Release(upstream.clone()), call);
    }
}
