//! Which upstreams there are and whether they may get new work.
//!
//! The platform's list lags and can be wrong about many at once; owners see
//! failures at once but only their own; peers pass on signs of leaving. Each
//! covers for the others. See docs/design/0004-ownership.md.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::membership::fleet::{State, Upstream};
use crate::membership::guard::{Guard, Guards};
use crate::name::Name;
use crate::ports::Vm;

/// A list that lacks more than one in this many at once is rejected.
const PANIC_PART: usize = 3;
/// How long a rejected list must stay as it is before it is accepted after all.
const CONFIRMED_AFTER: Millis = Millis::from_secs(60);
/// First time that an upstream is held out for; it doubles with each failure.
const FIRST_HOLD: Millis = Millis(250);
/// Longest time that an upstream is held out for.
const LONGEST_HOLD: Millis = Millis::from_secs(60);
/// Time without a failure after which an upstream's earlier ones are forgotten.
const FORGIVEN: Millis = Millis::from_secs(90);
/// How long a peer's sign that an upstream leaves counts while the list doesn't say so too.
const SIGN: Millis = Millis::from_secs(60);
/// Signs of leaving that are kept and passed on.
const SIGNS: usize = 64;

/// What became of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// It is in force.
    Accepted,
    /// It lacks so many that the one before stays in force.
    Rejected {
        /// Upstreams that it lacks.
        missing: usize,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    strikes: u32,
    failed_at: Millis,
    held_until: Millis,
}

/// A rejected list, and since when the platform has given the same.
#[derive(Debug, Clone)]
struct Pending {
    since: Millis,
    names: Vec<(Name, bool)>,
}

/// All upstreams as one node sees them.
#[derive(Debug)]
pub struct Upstreams {
    guards: Guards,
    vms: BTreeMap<Name, Vm>,
    health: BTreeMap<Name, Health>,
    signs: BTreeMap<Name, Millis>,
    pending: Option<Pending>,
    accepted_at: Option<Millis>,
    version: u64,
}

impl Upstreams {
    /// Makes the picture before any list was read.
    #[must_use]
    pub fn new(guards: Guards) -> Self {
        Self {
            guards,
            vms: BTreeMap::new(),
            health: BTreeMap::new(),
            signs: BTreeMap::new(),
            pending: None,
            accepted_at: None,
            version: 0,
        }
    }

    /// Takes a list as the platform gave it.
    ///
    /// A directory that restarts can give an empty or partial list. Accepting it
    /// would stop work at upstreams that are well, all at once, so a list that
    /// lacks more than a third, or calls all leaving, is accepted only when it has
    /// stayed so for a minute; one that is empty never. Until then what it lacks gets no new
    /// work, unless that is most of a pool. Marks of leaving in a list that is rejected still
    /// count as signs.
    pub fn apply_list(&mut self, now: Millis, vms: Vec<Vm>) -> ListOutcome {
        let listed: BTreeMap<Name, Vm> = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let leaving: Vec<Name> = self
            .usable()
            .filter(|vm| listed.get(&vm.name).is_some_and(|now| now.leaving))
            .map(|vm| vm.name.clone())
            .collect();
        for name in &leaving {
            self.record_leave_notice(now, name);
        }
        let missing = self
            .usable()
            .filter(|vm| !listed.contains_key(&vm.name))
            .count();
        if self.rejects(now, &listed, missing) {
            return ListOutcome::Rejected { missing };
        }
        let was_doubted = self.pending.take().is_some();
        self.accepted_at = Some(now);
        if listed != self.vms || was_doubted {
            self.version += 1;
        }
        self.vms = listed;
        let vms = &self.vms;
        self.health.retain(|name, _| vms.contains_key(name));
        self.signs.retain(|_, at| now.since(*at) < SIGN);
        ListOutcome::Accepted
    }

    fn usable(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| !vm.leaving)
    }

    fn rejects(&mut self, now: Millis, listed: &BTreeMap<Name, Vm>, missing: usize) -> bool {
        let usable = self.usable().count();
        if usable == 0 || !self.guards.is_enabled(Guard::PanicThreshold) {
            return false;
        }
        if listed.is_empty() {
            return true;
        }
        let many = missing > 1 && missing * PANIC_PART > usable;
        let none_left = usable > 1 && listed.values().all(|vm| vm.leaving);
        if !many && !none_left {
            return false;
        }
        let names: Vec<(Name, bool)> = listed
            .values()
            .map(|vm| (vm.name.clone(), vm.leaving))
            .collect();
        match &self.pending {
            Some(pending) if pending.names == names => now.since(pending.since) < CONFIRMED_AFTER,
            _ => {
                self.pending = Some(Pending { since: now, names });
                self.version += 1;
                true
            }
        }
    }

    /// Takes note that an upstream couldn't be reached or broke a connection.
    pub fn record_failure(&mut self, now: Millis, upstream: &str) {
        if !self.vms.contains_key(upstream) {
            return;
        }
        let health = self.health.entry(Name::from(upstream)).or_default();
        if now < health.held_until {
            // Requests that were under way fail together; they are one sign.
            return;
        }
        if now.since(health.failed_at) >= FORGIVEN || !self.guards.is_enabled(Guard::FlapBackoff) {
            health.strikes = 0;
        }
        let doubled = FIRST_HOLD.0 << health.strikes.min(16);
        health.strikes += 1;
        health.failed_at = now;
        health.held_until = now + Millis(doubled).min(LONGEST_HOLD);
        self.version += 1;
    }

    /// Takes note that an upstream answered.
    ///
    /// Its earlier failures are forgiven only by time, so that one which answers
    /// between failures is held out for longer and longer.
    pub fn record_success(&mut self, now: Millis, upstream: &str) {
        if let Some(health) = self.health.get(upstream)
            && now.since(health.failed_at) >= FORGIVEN
        {
            self.health.remove(upstream);
        }
    }

    /// Takes a peer's sign that an upstream leaves; returns whether it was news.
    pub fn record_leave_notice(&mut self, now: Millis, upstream: &str) -> bool {
        let usable = |name: &str| self.vms.get(name).is_some_and(|vm| !vm.leaving);
        let known = usable(upstream);
        // Like the list, peers can be wrong about many at once. What the list says
        // as well, or lacks by now, is no longer a matter of signs.
        let unconfirmed = self.signs.keys().filter(|name| usable(name)).count();
        let many = (unconfirmed + 1) * PANIC_PART > self.vms.len() && unconfirmed > 1;
        if !known || many || self.signs.len() >= SIGNS || self.signs.contains_key(upstream) {
            return false;
        }
        self.signs.insert(Name::from(upstream), now);
        self.version += 1;
        true
    }

    /// Lists fresh signs of leaving with their ages.
    pub fn leave_notices(&self, now: Millis) -> impl Iterator<Item = (&Name, Millis)> {
        self.signs
            .iter()
            .map(move |(name, at)| (name, now.since(*at)))
            .filter(|(_, age)| *age < SIGN)
    }

    /// Returns whether an upstream may get new work.
    #[must_use]
    pub fn state(&self, now: Millis, vm: &Vm) -> State {
        let signed = self
            .signs
            .get(&vm.name)
            .is_some_and(|at| now.since(*at) < SIGN);
        if (vm.leaving || signed) && self.guards.is_enabled(Guard::LeavingStops) {
            return State::Leaving;
        }
        if self.held(now, &vm.name) && !self.most_held(now, &vm.pool) {
            return State::Suspended;
        }
        if self.lacked(&vm.name) && !self.most_lacked(&vm.pool) {
            return State::Suspended;
        }
        State::Usable
    }

    fn held(&self, now: Millis, upstream: &str) -> bool {
        self.health
            .get(upstream)
            .is_some_and(|health| now < health.held_until)
    }

    // When most of a pool fails, the fault is more likely on this side, and
    // refusing everything would be worse than trying.
    fn most_held(&self, now: Millis, pool: &str) -> bool {
        let members = self.vms.values().filter(|vm| *vm.pool == *pool);
        let (mut all, mut held) = (0, 0);
        for vm in members {
            all += 1;
            held += usize::from(self.held(now, &vm.name));
        }
        held > 1 && held * 2 > all
    }

    /// Whether the list that was rejected last doesn't hold an upstream.
    fn lacked(&self, upstream: &str) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            let names = &pending.names;
            let found = names.binary_search_by(|(name, _)| (**name).cmp(upstream));
            found.is_err()
        })
    }

    // What a list lacks may have left while this node was away, and others of its pool can do its
    // work. Where it lacks most of a pool, the fault is more likely in the list.
    fn most_lacked(&self, pool: &str) -> bool {
        let members = self.vms.values().filter(|vm| *vm.pool == *pool);
        let (mut all, mut lacked) = (0, 0);
        for vm in members {
            all += 1;
            lacked += usize::from(self.lacked(&vm.name));
        }
        lacked * 2 > all
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

    /// Finds an upstream.
    #[must_use]
    pub fn get(&self, now: Millis, upstream: &str) -> Option<Upstream> {
        let vm = self.vms.get(upstream)?;
        Some(Upstream {
            vm: vm.clone(),
            state: self.state(now, vm),
        })
    }

    /// Returns when a held upstream is next let in, if any is held.
    #[must_use]
    pub fn next_readmission(&self, now: Millis) -> Option<Millis> {
        let ends = self.health.values().map(|health| health.held_until);
        ends.filter(|until| *until > now).min()
    }

    /// Returns the age of the list in force.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.accepted_at.map(|at| now.since(at))
    }

    /// Returns a number that grows with every change but the end of a hold.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}
