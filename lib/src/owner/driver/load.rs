//! Leave to load, and the loads that follow from it.

use super::Driver;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::loads::{Permit, PermitRequest};
use crate::owner::load::{Asking, Load};
use crate::owner::run::Target;
use crate::policy::upstream::{Action, Demand};

impl Driver {
    pub(super) fn granted(&mut self, ask: u64, adapter: &Adapter, permit: Box<dyn Permit>) {
        // Leave for an ask that was taken back goes to the next load at once.
        if self
            .asking
            .get(adapter)
            .is_none_or(|asking| asking.number != ask)
        {
            return;
        }
        self.asking.remove(adapter);
        self.permits.insert(adapter.clone(), permit);
        let actions = self.machine.granted(adapter, self.now());
        self.carry(actions);
        self.permits.remove(adapter);
    }

    pub(super) fn loaded(&mut self, adapter: &Adapter, result: &Result<Millis, Failure>) {
        if let Err(failure) = result {
            log::warn!("owner: {} didn't load {adapter}: {failure}", self.name());
        }
        let actions = self.machine.loaded(adapter, result.is_ok(), self.now());
        self.carry(actions);
    }

    pub(super) fn ask(&mut self, adapter: Adapter, demand: Demand) {
        if self.releasing {
            return;
        }
        let ask = PermitRequest {
            upstream: self.name().clone(),
            adapter: adapter.clone(),
            class: demand.class,
            waiters: demand.waiters,
            weight: demand.weight,
            waited: demand.waited,
            stall_savings: demand.stall_savings,
        };
        if let Some(asking) = self.asking.get(&adapter) {
            asking.update(ask);
            return;
        }
        self.asks += 1;
        let permits = self.parts.permits.clone();
        let asking = Asking::start(self.asks, ask, permits, self.events.clone());
        self.asking.insert(adapter, asking);
    }

    pub(super) fn load(&mut self, adapter: Adapter, evict: Option<Adapter>) -> Vec<Action> {
        let (Some(permit), Target::Engine(engine)) =
            (self.permits.remove(&adapter), self.target.clone())
        else {
            return self.machine.loaded(&adapter, false, self.now());
        };
        let load = Load {
            adapter,
            evict,
            engine,
            ownership: self.args.ownership.clone(),
            timeout: self.parts.limits.load_timeout,
            clock: self.parts.clock.clone(),
            metrics: self.parts.metrics.clone(),
        };
        load.start(permit, self.events.clone());
        Vec::new()
    }
}
