//! Publishes the effects of a step of the machine: the fleet that requests read, the upstreams
//! that the machine may own, and calls to the adopter for upstreams that this node owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{AdopterCall, Core, MembershipManager};
use crate::clock::Millis;
use crate::declaration::{Pool, PoolKind};
use crate::loads::WEIGHT_STORE;
use crate::membership::UpstreamOwnership;
use crate::membership::fleet::{self, Fleet, State};
use crate::name::Name;
use crate::ports::Vm;

impl MembershipManager {
    pub(super) fn adopt(
        &self,
        core: &mut Core,
        now: Millis,
        upstream: &Name,
        ownership: UpstreamOwnership,
    ) {
        let Some((found, pool)) = self.upstream_and_pool(core, now, upstream) else {
            core.adopted.remove(upstream);
            return;
        };
        let seen = (found.state, ownership.token());
        core.adopted.insert(upstream.clone(), seen);
        self.queue_adopter_call(AdopterCall::Adopt(found, pool, ownership));
    }

    fn upstream_and_pool(
        &self,
        core: &Core,
        now: Millis,
        upstream: &Name,
    ) -> Option<(fleet::Upstream, Arc<Pool>)> {
        if **upstream == *WEIGHT_STORE {
            return Some(weight_store());
        }
        let found = core.upstreams.get(now, upstream)?;
        let pool = self.deps.view.borrow().pool(&found.vm.pool).cloned()?;
        Some((found, pool))
    }

    // If anything changed: publishes a new fleet, passes the machine the upstreams that may be
    // owned, and calls the adopter for upstreams whose state or pool changed.
    pub(in crate::membership) fn publish(&self, core: &mut Core, now: Millis) {
        let version = (core.upstreams.version(), core.machine.table().version());
        let suspension_ended = core.next_readmission.is_some_and(|at| now >= at);
        if core.published == version && !suspension_ended {
            return;
        }
        let upstreams_changed = core.published.0 != version.0 || suspension_ended;
        core.published = version;
        core.next_readmission = core.upstreams.next_readmission(now);
        if upstreams_changed {
            let regions = self.regions_by_upstream(core, now);
            core.machine.set_upstreams(now, regions);
        }
        let owners = core
            .machine
            .table()
            .claims()
            .filter(|claim| !claim.is_free())
            .map(|claim| (claim.upstream.clone(), Arc::new(claim.owner())))
            .collect();
        let upstreams = core.upstreams.all(now);
        self.update_gauges(core, &upstreams);
        self.adopt_changed(core, now);
        self.fleet
            .send_replace(Arc::new(Fleet::new(upstreams, owners)));
    }

    fn regions_by_upstream(&self, core: &Core, now: Millis) -> BTreeMap<Name, Name> {
        let view = self.deps.view.borrow();
        let mut regions: BTreeMap<Name, Name> = core
            .upstreams
            .all(now)
            .into_iter()
            .filter(|upstream| view.pool(&upstream.vm.pool).is_some())
            .map(|upstream| (upstream.vm.name, upstream.vm.region))
            .collect();
        if !regions.is_empty() {
            regions.insert(Name::from(WEIGHT_STORE), Name::from(""));
        }
        regions
    }

    fn update_gauges(&self, core: &Core, upstreams: &[fleet::Upstream]) {
        let metrics = &self.deps.metrics;
        for (state, name) in [
            (State::Usable, "usable"),
            (State::Suspended, "held"),
            (State::Leaving, "leaving"),
        ] {
            let count = upstreams
                .iter()
                .filter(|upstream| upstream.state == state)
                .count();
            let gauge = metrics.upstreams.with_label_values(&[name]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let owned = core.machine.owned_tokens().count();
        metrics.owned.set(i64::try_from(owned).unwrap_or(i64::MAX));
    }

    fn adopt_changed(&self, core: &mut Core, now: Millis) {
        let held: Vec<(Name, UpstreamOwnership)> = core
            .machine
            .ownerships(&self.deps.clock)
            .map(|(name, ownership)| (name.clone(), ownership))
            .collect();
        for (upstream, ownership) in held {
            let state = core.upstreams.get(now, &upstream).map(|found| found.state);
            let adopted = core.adopted.get(&upstream).copied();
            let changed = match adopted {
                Some((adopted, token)) => {
                    token != ownership.token() || state.is_some_and(|state| state != adopted)
                }
                None => true,
            };
            if changed {
                self.adopt(core, now, &upstream, ownership);
            }
        }
    }
}

/// Describes the weight store's load queue, which is owned like an upstream but has no address.
fn weight_store() -> (fleet::Upstream, Arc<Pool>) {
    let name = Name::from(WEIGHT_STORE);
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
