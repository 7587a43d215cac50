//! What a step of the machine changes for others: the fleet that requests read, what there
//! is to own, and what the adopter is told of the upstreams that are held.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Adoption, Core, Keeper};
use crate::clock::Millis;
use crate::declaration::{Pool, PoolKind};
use crate::loads::WEIGHTS;
use crate::membership::Hold;
use crate::membership::fleet::{self, Fleet, State};
use crate::name::Name;
use crate::ports::Vm;

impl Keeper {
    pub(super) fn adopt(&self, core: &mut Core, now: Millis, upstream: &Name, hold: Hold) {
        let Some((found, pool)) = self.describe(core, now, upstream) else {
            core.adopted.remove(upstream);
            return;
        };
        let mark = (found.state, hold.token());
        core.adopted.insert(upstream.clone(), mark);
        self.send(Adoption::Adopt(found, pool, hold));
    }

    fn describe(
        &self,
        core: &Core,
        now: Millis,
        upstream: &Name,
    ) -> Option<(fleet::Upstream, Arc<Pool>)> {
        if **upstream == *WEIGHTS {
            return Some(weights());
        }
        let found = core.upstreams.get(now, upstream)?;
        let pool = self.parts.view.borrow().pool(&found.vm.pool).cloned()?;
        Some((found, pool))
    }

    // Publishes the picture when it changed, tells the machine what there is to own,
    // and tells the adopter of upstreams whose state or pool changed.
    pub(in crate::membership) fn publish(&self, core: &mut Core, now: Millis) {
        let version = (core.upstreams.version(), core.machine.table().version());
        let released = core.next_release.is_some_and(|at| now >= at);
        if core.published == version && !released {
            return;
        }
        let renewed = core.published.0 != version.0 || released;
        core.published = version;
        core.next_release = core.upstreams.next_release(now);
        if renewed {
            let regions = self.regions(core, now);
            core.machine.upstreams(now, regions);
        }
        let owners = core
            .machine
            .table()
            .claims()
            .filter(|claim| !claim.is_free())
            .map(|claim| (claim.upstream.clone(), Arc::new(claim.owner())))
            .collect();
        let all = core.upstreams.all(now);
        self.count(core, &all);
        self.readopt(core, now);
        self.fleet.send_replace(Arc::new(Fleet::new(all, owners)));
    }

    fn regions(&self, core: &Core, now: Millis) -> BTreeMap<Name, Name> {
        let view = self.parts.view.borrow();
        let mut regions: BTreeMap<Name, Name> = core
            .upstreams
            .all(now)
            .into_iter()
            .filter(|upstream| view.pool(&upstream.vm.pool).is_some())
            .map(|upstream| (upstream.vm.name, upstream.vm.region))
            .collect();
        if !regions.is_empty() {
            regions.insert(Name::from(WEIGHTS), Name::from(""));
        }
        regions
    }

    fn count(&self, core: &Core, all: &[fleet::Upstream]) {
        let metrics = &self.parts.metrics;
        for (state, name) in [
            (State::Usable, "usable"),
            (State::Held, "held"),
            (State::Leaving, "leaving"),
        ] {
            let count = all
                .iter()
                .filter(|upstream| upstream.state == state)
                .count();
            let gauge = metrics.upstreams.with_label_values(&[name]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let owned = core.machine.held().count();
        metrics.owned.set(i64::try_from(owned).unwrap_or(i64::MAX));
    }

    fn readopt(&self, core: &mut Core, now: Millis) {
        let held: Vec<(Name, Hold)> = core
            .machine
            .holds(&self.parts.clock)
            .map(|(name, hold)| (name.clone(), hold))
            .collect();
        for (upstream, hold) in held {
            let state = core.upstreams.get(now, &upstream).map(|found| found.state);
            let told = core.adopted.get(&upstream).copied();
            let changed = match told {
                Some((told, token)) => token != hold.token() || state.is_some_and(|s| s != told),
                None => true,
            };
            if changed {
                self.adopt(core, now, &upstream, hold);
            }
        }
    }
}

/// The weight store's queue is owned like an upstream, though it has no address.
fn weights() -> (fleet::Upstream, Arc<Pool>) {
    let name = Name::from(WEIGHTS);
    let vm = Vm {
        name: name.clone(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        pool: name.clone(),
        region: Name::from(""),
        failure_domain: Name::from(""),
        leaving: false,
    };
    let pool = Pool {
        name,
        kind: PoolKind::Service,
        batch: 1,
        checks_fencing: false,
    };
    let state = State::Usable;
    (fleet::Upstream { vm, state }, Arc::new(pool))
}
