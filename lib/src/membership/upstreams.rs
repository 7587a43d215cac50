//! Tracks which upstreams exist and whether they may get new work.
//!
//! Three sources complement each other: the platform's list, which lags and can be wrong about
//! many upstreams at once; failures, which owners see immediately but only at their own
//! upstreams; and leave notices, which peers relay. See docs/design/0004-ownership.md.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::membership::fleet::{State, Upstream};
use crate::membership::guard::{Guard, Guards};
use crate::name::Name;
use crate::ports::Vm;

/// A list that suddenly lacks more than one in this many upstreams is rejected.
const PANIC_DIVISOR: usize = 3;
/// How long a rejected list must stay the same before it is accepted.
const REJECTED_LIST_CONFIRMATION: Millis = Millis::from_secs(60);
/// Length of an upstream's first suspension; it doubles with each failure.
const INITIAL_SUSPENSION: Millis = Millis(250);
/// Upper bound of a suspension.
const MAX_SUSPENSION: Millis = Millis::from_secs(60);
/// Time without a failure after which an upstream's failure count is reset.
const FAILURE_RESET_AFTER: Millis = Millis::from_secs(90);
/// Lifetime of a leave notice that the list doesn't confirm.
const LEAVE_NOTICE_TTL: Millis = Millis::from_secs(60);
/// Leave notices that are kept and relayed.
const MAX_LEAVE_NOTICES: usize = 64;

/// Whether a list was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// It is in effect.
    Accepted,
    /// It lacks too many upstreams or marks all as leaving; the previous one stays in effect.
    Rejected {
        /// Number of upstreams that it lacks.
        missing: usize,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    recent_failures: u32,
    failed_at: Millis,
    suspended_until: Millis,
}

/// A rejected list, and since when the platform has returned the same one.
#[derive(Debug, Clone)]
struct RejectedList {
    since: Millis,
    /// Names in the list, ordered, and whether each is marked as leaving.
    names: Vec<(Name, bool)>,
}

/// All upstreams as one node knows them.
#[derive(Debug)]
pub struct Upstreams {
    guards: Guards,
    vms: BTreeMap<Name, Vm>,
    health: BTreeMap<Name, Health>,
    notices: BTreeMap<Name, Millis>,
    rejected: Option<RejectedList>,
    accepted_at: Option<Millis>,
    version: u64,
}

impl Upstreams {
    /// Creates the state before any list was read.
    #[must_use]
    pub fn new(guards: Guards) -> Self {
        Self {
            guards,
            vms: BTreeMap::new(),
            health: BTreeMap::new(),
            notices: BTreeMap::new(),
            rejected: None,
            accepted_at: None,
            version: 0,
        }
    }

    /// Applies a list of VMs from the platform.
    ///
    /// A directory that restarts can return an empty or partial list. Accepting it would stop
    /// work at many healthy upstreams at once. Therefore a list that lacks more than a third, or
    /// marks all as leaving, is rejected until it has stayed the same for a minute, and an empty
    /// one always. Until then the upstreams that it lacks get no new work, unless they are most
    /// of a pool. Leaving marks in a rejected list count as leave notices.
    pub fn apply_list(&mut self, now: Millis, vms: Vec<Vm>) -> ListOutcome {
        let listed: BTreeMap<Name, Vm> = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let leaving: Vec<Name> = self
            .not_leaving()
            .filter(|vm| listed.get(&vm.name).is_some_and(|now| now.leaving))
            .map(|vm| vm.name.clone())
            .collect();
        for name in &leaving {
            self.record_leave_notice(now, name);
        }
        let missing = self
            .not_leaving()
            .filter(|vm| !listed.contains_key(&vm.name))
            .count();
        if self.should_reject(now, &listed, missing) {
            return ListOutcome::Rejected { missing };
        }
        let had_rejected_list = self.rejected.take().is_some();
        self.accepted_at = Some(now);
        if listed != self.vms || had_rejected_list {
            self.version += 1;
        }
        self.vms = listed;
        let vms = &self.vms;
        self.health.retain(|name, _| vms.contains_key(name));
        self.notices
            .retain(|_, at| now.since(*at) < LEAVE_NOTICE_TTL);
        ListOutcome::Accepted
    }

    fn not_leaving(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| !vm.leaving)
    }

    fn should_reject(&mut self, now: Millis, listed: &BTreeMap<Name, Vm>, missing: usize) -> bool {
        let known = self.not_leaving().count();
        if known == 0 || !self.guards.is_enabled(Guard::PanicThreshold) {
            return false;
        }
        if listed.is_empty() {
            return true;
        }
        let lacks_many = missing > 1 && missing * PANIC_DIVISOR > known;
        let none_left = known > 1 && listed.values().all(|vm| vm.leaving);
        if !lacks_many && !none_left {
            return false;
        }
        let names: Vec<(Name, bool)> = listed
            .values()
            .map(|vm| (vm.name.clone(), vm.leaving))
            .collect();
        match &self.rejected {
            Some(rejected) if rejected.names == names => {
                now.since(rejected.since) < REJECTED_LIST_CONFIRMATION
            }
            _ => {
                self.rejected = Some(RejectedList { since: now, names });
                self.version += 1;
                true
            }
        }
    }

    /// Records that an upstream couldn't be reached or broke a connection, and suspends it.
    pub fn record_failure(&mut self, now: Millis, upstream: &str) {
        if !self.vms.contains_key(upstream) {
            return;
        }
        let health = self.health.entry(Name::from(upstream)).or_default();
        if now < health.suspended_until {
            // In-flight requests fail together; they count as one failure.
            return;
        }
        if now.since(health.failed_at) >= FAILURE_RESET_AFTER
            || !self.guards.is_enabled(Guard::FlapBackoff)
        {
            health.recent_failures = 0;
        }
        let doubled = INITIAL_SUSPENSION.0 << health.recent_failures.min(16);
        health.recent_failures += 1;
        health.failed_at = now;
        health.suspended_until = now + Millis(doubled).min(MAX_SUSPENSION);
        self.version += 1;
    }

    /// Records that an upstream responded.
    ///
    /// Only time resets the failure count, so that an upstream which flaps between failures and
    /// responses is suspended for longer each time.
    pub fn record_success(&mut self, now: Millis, upstream: &str) {
        if let Some(health) = self.health.get(upstream)
            && now.since(health.failed_at) >= FAILURE_RESET_AFTER
        {
            self.health.remove(upstream);
        }
    }

    /// Records a notice that an upstream is about to leave; returns whether it was accepted.
    pub fn record_leave_notice(&mut self, now: Millis, upstream: &str) -> bool {
        let stays = |name: &str| self.vms.get(name).is_some_and(|vm| !vm.leaving);
        let known = stays(upstream);
        // Like the list, peers can be wrong about many upstreams at once. Notices that the list
        // has confirmed, by a leaving mark or by lacking the upstream, don't count here.
        let unconfirmed = self.notices.keys().filter(|name| stays(name)).count();
        let too_many = (unconfirmed + 1) * PANIC_DIVISOR > self.vms.len() && unconfirmed > 1;
        if !known
            || too_many
            || self.notices.len() >= MAX_LEAVE_NOTICES
            || self.notices.contains_key(upstream)
        {
            return false;
        }
        self.notices.insert(Name::from(upstream), now);
        self.version += 1;
        true
    }

    /// Lists the leave notices that haven't expired, with their ages.
    pub fn leave_notices(&self, now: Millis) -> impl Iterator<Item = (&Name, Millis)> {
        self.notices
            .iter()
            .map(move |(name, at)| (name, now.since(*at)))
            .filter(|(_, age)| *age < LEAVE_NOTICE_TTL)
    }

    /// Returns whether an upstream may get new work.
    #[must_use]
    pub fn state(&self, now: Millis, vm: &Vm) -> State {
        let has_notice = self
            .notices
            .get(&vm.name)
            .is_some_and(|at| now.since(*at) < LEAVE_NOTICE_TTL);
        if (vm.leaving || has_notice) && self.guards.is_enabled(Guard::LeavingStops) {
            return State::Leaving;
        }
        if self.is_suspended(now, &vm.name) && !self.are_most_suspended(now, &vm.pool) {
            return State::Suspended;
        }
        if self.is_missing(&vm.name) && !self.are_most_missing(&vm.pool) {
            return State::Suspended;
        }
        State::Usable
    }

    fn is_suspended(&self, now: Millis, upstream: &str) -> bool {
        self.health
            .get(upstream)
            .is_some_and(|health| now < health.suspended_until)
    }

    // When most of a pool fails, the fault is more likely on this node's side, and rejecting
    // every request would be worse than trying.
    fn are_most_suspended(&self, now: Millis, pool: &str) -> bool {
        let members = self.vms.values().filter(|vm| *vm.pool == *pool);
        let (mut all, mut suspended) = (0, 0);
        for vm in members {
            all += 1;
            suspended += usize::from(self.is_suspended(now, &vm.name));
        }
        suspended > 1 && suspended * 2 > all
    }

    /// Whether the rejected list lacks an upstream; false if no list is rejected.
    fn is_missing(&self, upstream: &str) -> bool {
        self.rejected.as_ref().is_some_and(|rejected| {
            let names = &rejected.names;
            let found = names.binary_search_by(|(name, _)| (**name).cmp(upstream));
            found.is_err()
        })
    }

    // Missing upstreams may have left while this node couldn't read the list, and the rest of
    // their pool can take over their work. When most of a pool is missing, the fault is more
    // likely in the list.
    fn are_most_missing(&self, pool: &str) -> bool {
        let members = self.vms.values().filter(|vm| *vm.pool == *pool);
        let (mut all, mut missing) = (0, 0);
        for vm in members {
            all += 1;
            missing += usize::from(self.is_missing(&vm.name));
        }
        missing * 2 > all
    }

    /// Lists all upstreams with their states.
    #[must_use]
    pub fn all(&self, now: Millis) -> Vec<Upstream> {
        self.vms
            .values()
            .map(|vm| Upstream {
                vm: vm.clone(),
                state: self.state(now, vm),
            })
            .collect()
    }

    /// Returns an upstream with its state.
    #[must_use]
    pub fn get(&self, now: Millis, upstream: &str) -> Option<Upstream> {
        let vm = self.vms.get(upstream)?;
        Some(Upstream {
            vm: vm.clone(),
            state: self.state(now, vm),
        })
    }

    /// Returns when the next suspension ends, if any upstream is suspended.
    #[must_use]
    pub fn next_readmission(&self, now: Millis) -> Option<Millis> {
        let ends = self.health.values().map(|health| health.suspended_until);
        ends.filter(|until| *until > now).min()
    }

    /// Returns the age of the list in effect.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.accepted_at.map(|at| now.since(at))
    }

    /// Returns a number that grows with every change except the end of a suspension.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}
