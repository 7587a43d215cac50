//! Reconciles the owner's view of an engine with the engine's reports.

use super::Driver;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::name::Name;
use crate::owner::actor::base_model;
use crate::policy::upstream::Action;
use crate::ports::Report;

impl Driver {
    /// Applies a report, or records that there was none.
    pub(super) fn handle_report(&mut self, as_of: Millis, result: Result<Report, Failure>) {
        let now = self.now();
        match result {
            Ok(report) => {
                self.record_reachable();
                self.apply_report(&report, as_of, now);
            }
            Err(failure) => {
                log::debug!("owner: no report from {}: {failure}", self.name());
                self.record_failure(now);
            }
        }
        self.tick();
        self.publish_status();
    }

    fn apply_report(&mut self, report: &Report, as_of: Millis, now: Millis) {
        let has_restarted = self
            .boot_id
            .as_ref()
            .is_some_and(|boot| *boot != report.boot);
        self.boot_id = Some(report.boot.clone());
        let mut actions = Vec::new();
        if has_restarted {
            log::warn!("owner: {} has restarted with empty slots", self.name());
            for id in self.foreign.clear() {
                actions.extend(self.machine.finished(&id, now));
            }
            actions.extend(self.machine.engine_restarted(now));
        }
        let resident: Vec<Adapter> = report
            .resident
            .iter()
            .filter_map(|name| self.parse_adapter(name))
            .collect();
        // Foreign requests are pinned before any of the actions starts or evicts something.
        actions.extend(self.machine.engine_reported(&resident, as_of, now));
        actions.extend(self.pin_foreign(report, now));
        self.last_report_at = Some(now);
        self.execute(actions);
        for early in std::mem::take(&mut self.early) {
            self.enqueue(early);
        }
    }

    /// Updates the foreign requests and pins the adapters that running requests use.
    fn pin_foreign(&mut self, report: &Report, now: Millis) -> Vec<Action> {
        let own = |name: &str| {
            self.requests
                .values()
                .any(|request| name.contains(&*request.request_id.0))
        };
        let base = base_model(&self.assignment.pool).cloned();
        let adapter = |name: &str| parse_adapter(base.as_ref(), name);
        let change = self.foreign.update(&report.running, own, adapter, now);
        let mut actions = Vec::new();
        for id in change.ended {
            actions.extend(self.machine.finished(&id, now));
        }
        for (id, adapter) in change.started {
            self.machine.adopt_running(id, &adapter, now);
        }
        self.pin_own(report, now);
        actions
    }

    /// Restores the pins of this owner's running requests.
    ///
    /// When the owner learns of a restart, requests that it started after the restart
    /// lose their pins, and their adapters could be evicted while they run.
    fn pin_own(&mut self, report: &Report, now: Millis) {
        let base = base_model(&self.assignment.pool).cloned();
        for (name, model) in &report.running {
            let running = self
                .requests
                .iter()
                .find(|(_, request)| {
                    request.reply.is_none() && name.contains(&*request.request_id.0)
                })
                .map(|(key, _)| key.clone());
            if let (Some(key), Some(adapter)) = (running, parse_adapter(base.as_ref(), model)) {
                self.machine.adopt_running(key, &adapter, now);
            }
        }
    }

    fn parse_adapter(&self, engine_name: &str) -> Option<Adapter> {
        parse_adapter(base_model(&self.assignment.pool), engine_name)
    }
}

/// Parses an adapter from the engine's name of it.
fn parse_adapter(base_model: Option<&Name>, engine_name: &str) -> Option<Adapter> {
    let (name, version) = engine_name.rsplit_once('@')?;
    Some(Adapter {
        base_model: base_model?.clone(),
        name: name.into(),
        version: version.into(),
    })
}
