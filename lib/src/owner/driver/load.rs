//! Requests for load permits, and the loads under them.

use super::Driver;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::loads::{Permit, PermitRequest};
use crate::owner::load::{LoadTask, PendingPermit};
use crate::owner::run::Target;
use crate::policy::upstream::{Action, Demand};

impl Driver {
    /// Uses a granted permit, or returns it if it isn't needed.
    pub(super) fn use_permit(&mut self, number: u64, adapter: &Adapter, permit: Box<dyn Permit>) {
        // Dropping a permit whose request was cancelled returns it to the queue at once.
        if self
            .pending_permits
            .get(adapter)
            .is_none_or(|pending| pending.number != number)
        {
            return;
        }
        self.pending_permits.remove(adapter);
        self.permits.insert(adapter.clone(), permit);
        let actions = self.machine.granted(adapter, self.now());
        self.execute(actions);
        self.permits.remove(adapter);
    }

    /// Reports the end of a load to the state machine.
    pub(super) fn finish_load(&mut self, adapter: &Adapter, result: &Result<Millis, Failure>) {
        if let Err(failure) = result {
            log::warn!("owner: {} failed to load {adapter}: {failure}", self.name());
        }
        let actions = self.machine.loaded(adapter, result.is_ok(), self.now());
        self.execute(actions);
    }

    /// Requests a permit to load an adapter, or updates the pending request.
    pub(super) fn request_permit(&mut self, adapter: Adapter, demand: Demand) {
        if self.is_releasing {
            return;
        }
        let request = PermitRequest {
            upstream: self.name().clone(),
            adapter: adapter.clone(),
            class: demand.class,
            waiters: demand.waiters,
            weight: demand.weight,
            waited: demand.waited,
            stall_savings: demand.stall_savings,
        };
        if let Some(pending) = self.pending_permits.get(&adapter) {
            pending.update(request);
            return;
        }
        self.permit_requests += 1;
        let permits = self.dependencies.permits.clone();
        let pending =
            PendingPermit::start(self.permit_requests, request, permits, self.events.clone());
        self.pending_permits.insert(adapter, pending);
    }

    /// Starts a load under the permit just granted.
    pub(super) fn start_load(&mut self, adapter: Adapter, evict: Option<Adapter>) -> Vec<Action> {
        let (Some(permit), Target::Engine(engine)) =
            (self.permits.remove(&adapter), self.target.clone())
        else {
            return self.machine.loaded(&adapter, false, self.now());
        };
        let load = LoadTask {
            adapter,
            evict,
            engine,
            ownership: self.assignment.ownership.clone(),
            timeout: self.dependencies.limits.load_timeout,
            clock: self.dependencies.clock.clone(),
            metrics: self.dependencies.metrics.clone(),
        };
        load.start(permit, self.events.clone());
        Vec::new()
    }
}
