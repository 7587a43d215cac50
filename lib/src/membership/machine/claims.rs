//! Claiming, adopting and relinquishing upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::{Action, Call, Held, Machine, Purpose};
use crate::clock::Millis;
use crate::membership::guard::Guard;
use crate::membership::node::{Claim, Record};
use crate::membership::placement::{self, Load};
use crate::name::Name;
use crate::ports::{Commit, Condition, Entry, Error, Transaction, Write};

/// Time between two looks at who should own what, unless news comes.
const PLAN: Millis = Millis(1000);
/// Wait before upstreams without an owner are claimed, so that nodes which start
/// together share them.
const GATHER: Millis = Millis(1500);
/// Claims that may be under way at once.
const AT_ONCE: usize = 16;
/// Wait after a handover that couldn't be written.
const AGAIN: Millis = Millis(400);

/// What is under way for an upstream; meanwhile nothing else is begun for it.
#[derive(Debug)]
pub(super) enum Busy {
    /// A claim for a node is being written over the one with this token.
    Claiming { claim: Claim, over: u64 },
    /// The answer was lost and the claim is being read.
    Settling {
        claim: Claim,
        over: u64,
        retry: Millis,
    },
    /// The upstream is being released before it goes to another node.
    Releasing,
}

impl Machine {
    pub(super) fn tend_claims(&mut self, now: Millis) {
        self.retry_settling(now);
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN;
        self.watch_nodes(now);
        if !self.may_claim(now) {
            return;
        }
        self.claim_orphans(now);
        self.balance(now);
        self.tidy(now);
    }

    fn may_claim(&self, now: Millis) -> bool {
        let Some(session) = &self.session else {
            return false;
        };
        self.eligible
            && self.stopping.is_none()
            && session.checked
            && !session.dead
            && now < session.service_until
    }

    fn watch_nodes(&mut self, now: Millis) {
        let names = self.table.live().map(|record| {
            let identity = &record.identity;
            xxhash_rust::xxh3::xxh3_64_with_seed(identity.name.as_bytes(), identity.incarnation)
        });
        let digest = names.fold(0, |sum: u64, hash| sum.wrapping_add(hash));
        if digest != self.nodes_digest {
            self.nodes_digest = digest;
            self.nodes_since = now;
        }
    }

    pub(super) fn load(&self) -> Load {
        let owners = self
            .table
            .claims()
            .filter(|claim| self.regions.contains_key(&claim.upstream))
            .filter(|claim| self.table.owner_stands(claim))
            .map(|claim| &claim.node);
        Load::count(owners)
    }

    // Upstreams that have no owner, or whose owner's record is gone.
    fn orphans(&self, now: Millis) -> Vec<(Name, Name, Option<Claim>)> {
        let gathered = now.since(self.eligible_since) >= GATHER;
        self.regions
            .iter()
            .filter_map(|(upstream, region)| {
                let claim = self.table.claim(upstream).cloned();
                let orphan = match &claim {
                    None => gathered,
                    Some(claim) => !self.table.owner_stands(claim),
                };
                orphan.then(|| (upstream.clone(), region.clone(), claim))
            })
            .collect()
    }

    fn claim_orphans(&mut self, now: Millis) {
        let orphans = self.orphans(now);
        if orphans.is_empty() {
            self.forget_withdrawals();
            return;
        }
        let mut load = self.load();
        let mut mine = Vec::new();
        let live: Vec<&Record> = self.table.live().collect();
        for (upstream, region, claim) in orphans {
            let candidates = placement::candidates(&live, &region);
            let Some(successor) = placement::successor(&upstream, &candidates, &load) else {
                continue;
            };
            let name = successor.identity.name.clone();
            load.add(&name);
            if name == self.identity.name {
                mine.push((upstream, claim));
            }
        }
        for (upstream, claim) in mine {
            if self.busy.len() >= AT_ONCE {
                break;
            }
            if self.busy.contains_key(&upstream) {
                continue;
            }
            match claim {
                None => self.claim_free(now, &upstream),
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

    fn claim_free(&mut self, now: Millis, upstream: &Name) {
        let mut conditions = self.claimant_conditions();
        if self.guards.is_enabled(Guard::ClaimUnchanged) {
            conditions.push(Condition::Absent(self.keys.claim(upstream)));
        }
        let claim = self.own_claim(upstream);
        self.write_claim(now, claim, 0, conditions);
    }

    // The owner's record is gone, so its lease has lapsed later than its own bound.
    // That its record is still gone, and that it hasn't registered and lapsed again
    // since its witnesses withdrew, is checked in the write itself.
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
            Some(other_start) => Condition::Unchanged(key, other_start.revision),
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
        self.note("takeover");
        let own = self.own_claim(&claim.upstream);
        self.write_claim(now, own, claim.token, conditions);
    }

    // A claim written late, after this node's lease lapsed, would name an owner that
    // knows nothing of it.
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
        over: u64,
        conditions: Vec<Condition>,
    ) {
        let upstream = claim.upstream.clone();
        let put = Write::Put(self.keys.claim(&upstream), claim.to_value(), None);
        let transaction = Transaction {
            conditions,
            writes: vec![put],
        };
        self.busy
            .insert(upstream.clone(), Busy::Claiming { claim, over });
        self.call(now, Purpose::Claim(upstream), Call::Commit(transaction));
    }

    pub(super) fn claimed(&mut self, now: Millis, upstream: &Name, result: &Result<Commit, Error>) {
        let Some(Busy::Claiming { claim, over }) = self.busy.remove(upstream) else {
            return;
        };
        match result {
            Ok(commit) if commit.done => self.claim_stands(now, claim, commit.revision),
            Ok(_) => {
                self.next_handover = now + AGAIN;
                self.reading.wanted = true;
            }
            Err(Error::Unreachable(_) | Error::Refused(_)) => {
                self.next_handover = now + AGAIN;
                self.reading.wanted = true;
                self.reconcile(now);
            }
            Err(Error::NoAnswer(_) | Error::Malformed(_)) => {
                if self.guards.is_enabled(Guard::SettleClaim) {
                    self.settle_claim(now, claim, over);
                } else {
                    let assumed = self.table.newest() + 1;
                    self.claim_stands(now, claim, assumed);
                }
            }
        }
    }

    fn claim_stands(&mut self, now: Millis, claim: Claim, token: u64) {
        self.table.learn_claim(Claim { token, ..claim });
        self.reconcile(now);
    }

    fn settle_claim(&mut self, now: Millis, claim: Claim, over: u64) {
        let upstream = claim.upstream.clone();
        let retry = now + self.limits.lease;
        let busy = Busy::Settling { claim, over, retry };
        self.busy.insert(upstream.clone(), busy);
        let key = self.keys.claim(&upstream);
        self.call(now, Purpose::SettleClaim(upstream), Call::Read(key));
    }

    fn retry_settling(&mut self, now: Millis) {
        let due: Vec<(Claim, u64)> = self
            .busy
            .values()
            .filter_map(|busy| match busy {
                Busy::Settling { claim, over, retry } if now >= *retry => {
                    Some((claim.clone(), *over))
                }
                _ => None,
            })
            .collect();
        for (claim, over) in due {
            self.settle_claim(now, claim, over);
        }
    }

    pub(super) fn claim_read(
        &mut self,
        now: Millis,
        upstream: &Name,
        result: Result<Option<Entry>, Error>,
    ) {
        let Ok(entry) = result else {
            // Asked again after a while; until then the upstream stays busy.
            return;
        };
        let Some(Busy::Settling { over, .. }) = self.busy.remove(upstream) else {
            return;
        };
        let found = entry.and_then(|entry| Claim::from_value(&entry.value, entry.revision));
        match found {
            Some(found) if found.token != over => {
                self.table.learn_claim(found);
                self.reconcile(now);
            }
            _ => self.unsettled(now, upstream, over),
        }
    }

    // The write hasn't taken effect so far, yet it may still do so. If the claim
    // over which it was made is this node's own, going on under it would leave two
    // owners when the write arrives. Writing the claim anew makes the late write fail.
    fn unsettled(&mut self, now: Millis, upstream: &Name, over: u64) {
        self.reading.wanted = true;
        let own = self
            .table
            .claim(upstream)
            .filter(|claim| claim.token == over && claim.is_owned_by(&self.identity))
            .cloned();
        let Some(own) = own else {
            return;
        };
        let conditions = vec![Condition::Unchanged(self.keys.claim(upstream), over)];
        self.write_claim(now, own, over, conditions);
    }

    /// Brings what is served in line with the claims that are known.
    pub(super) fn reconcile(&mut self, now: Millis) {
        let lost: Vec<Name> = self
            .holds
            .iter()
            .filter(|(upstream, held)| {
                let claim = self.table.claim(upstream);
                claim.is_none_or(|c| c.token != held.token || !c.is_owned_by(&self.identity))
            })
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in lost {
            self.note("claim_lost");
            self.relinquish(now, &upstream);
        }
        self.retire(now);
        if !self.may_adopt() {
            return;
        }
        let gained: Vec<(Name, u64)> = self
            .table
            .claims()
            .filter(|claim| claim.is_owned_by(&self.identity))
            .filter(|claim| self.regions.contains_key(&claim.upstream))
            .filter(|claim| !self.holds.contains_key(&claim.upstream))
            .filter(|claim| !self.busy.contains_key(&claim.upstream))
            .map(|claim| (claim.upstream.clone(), claim.token))
            .collect();
        for (upstream, token) in gained {
            self.adopt(upstream, token);
        }
    }

    // Upstreams that are on the list no more: what runs finishes, the claim goes.
    fn retire(&mut self, now: Millis) {
        let retired: Vec<Name> = self
            .holds
            .keys()
            .filter(|upstream| !self.regions.contains_key(*upstream))
            .filter(|upstream| !self.busy.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in retired {
            self.busy.insert(upstream.clone(), Busy::Releasing);
            let call = Call::Release(upstream.clone(), self.limits.release);
            self.call(now, Purpose::Release(upstream), call);
        }
    }

    // The claim is written over instead of removed: a removed one could come back
    // from a peer that still has it, and a late removal could take a newer one.
    pub(super) fn free_claim(&mut self, now: Millis, upstream: &Name) {
        let own = self.table.claim(upstream).cloned();
        let Some(own) = own.filter(|claim| claim.is_owned_by(&self.identity)) else {
            return;
        };
        let over = own.token;
        let key = self.keys.claim(upstream);
        let conditions = vec![Condition::Unchanged(key, over)];
        self.write_claim(now, own.into_free(), over, conditions);
    }

    fn may_adopt(&self) -> bool {
        let checked = self.session.as_ref().is_some_and(|session| session.checked);
        self.eligible && checked && self.stopping.is_none()
    }

    fn adopt(&mut self, upstream: Name, token: u64) {
        let until = Arc::new(AtomicU64::new(self.until.0));
        let held = Held {
            token,
            until: Arc::clone(&until),
        };
        self.holds.insert(upstream.clone(), held);
        self.actions.push(Action::Adopt {
            upstream,
            token,
            until,
        });
    }

    /// Relinquishes an upstream at once; running requests go on to their end.
    pub(super) fn relinquish(&mut self, now: Millis, upstream: &Name) {
        let Some(held) = self.holds.remove(upstream) else {
            return;
        };
        held.until.store(0, Ordering::Release);
        if matches!(self.busy.get(upstream), Some(Busy::Releasing)) {
            return;
        }
        // A node that stops must not end before what it runs has finished.
        let limit = if self.stopping.is_some() {
            self.busy.insert(upstream.clone(), Busy::Releasing);
            self.limits.release
        } else {
            Millis::ZERO
        };
        let call = Call::Release(upstream.clone(), limit);
        self.call(now, Purpose::Release(upstream.clone()), call);
    }
}
