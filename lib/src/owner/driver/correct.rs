//! What the engine says of itself corrects what its owner believes.

use super::Driver;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::Failure;
use crate::name::Name;
use crate::owner::actor::base_model;
use crate::policy::upstream::Action;
use crate::ports::Report;

impl Driver {
    pub(super) fn reported(&mut self, as_of: Millis, result: Result<Report, Failure>) {
        let now = self.now();
        match result {
            Ok(report) => {
                self.answered();
                self.corrected(&report, as_of, now);
            }
            Err(failure) => {
                log::debug!("owner: {} doesn't report: {failure}", self.name());
                self.failed(now);
            }
        }
        self.tick();
        self.publish();
    }

    fn corrected(&mut self, report: &Report, as_of: Millis, now: Millis) {
        let restarted = self.boot.as_ref().is_some_and(|boot| *boot != report.boot);
        self.boot = Some(report.boot.clone());
        let mut actions = Vec::new();
        if restarted {
            log::warn!("owner: {} has started anew with empty slots", self.name());
            for id in self.foreign.clear() {
                actions.extend(self.machine.finished(&id, now));
            }
            actions.extend(self.machine.engine_restarted(now));
        }
        let resident: Vec<Adapter> = report
            .resident
            .iter()
            .filter_map(|name| self.adapter(name))
            .collect();
        // Pins come between what the slots hold and what is started or evicted next.
        actions.extend(self.machine.engine_reported(&resident, as_of, now));
        actions.extend(self.pin_foreign(report, now));
        self.reported = Some(now);
        self.carry(actions);
        for early in std::mem::take(&mut self.early) {
            self.arrive(early);
        }
    }

    fn pin_foreign(&mut self, report: &Report, now: Millis) -> Vec<Action> {
        let own = |name: &str| {
            self.entries
                .values()
                .any(|entry| name.contains(&*entry.request.0))
        };
        let base = base_model(&self.args.pool).cloned();
        let adapter = |name: &str| parsed(base.as_ref(), name);
        let change = self.foreign.reported(&report.running, own, adapter, now);
        let mut actions = Vec::new();
        for id in change.ended {
            actions.extend(self.machine.finished(&id, now));
        }
        for (id, adapter) in change.begun {
            self.machine.adopt_running(id, &adapter, now);
        }
        self.pin_own(report, now);
        actions
    }

    // A request that was started after a cold start, before this owner heard of it,
    // lost its pin with the slots; its adapter would be evicted under it.
    fn pin_own(&mut self, report: &Report, now: Millis) {
        let base = base_model(&self.args.pool).cloned();
        for (name, model) in &report.running {
            let started = self
                .entries
                .iter()
                .find(|(_, entry)| entry.reply.is_none() && name.contains(&*entry.request.0))
                .map(|(key, _)| key.clone());
            if let (Some(key), Some(adapter)) = (started, parsed(base.as_ref(), model)) {
                self.machine.adopt_running(key, &adapter, now);
            }
        }
    }

    fn adapter(&self, engine_name: &str) -> Option<Adapter> {
        parsed(base_model(&self.args.pool), engine_name)
    }
}

/// Reads an adapter from the name that an engine knows it by.
fn parsed(base_model: Option<&Name>, engine_name: &str) -> Option<Adapter> {
    let (name, version) = engine_name.rsplit_once('@')?;
    Some(Adapter {
        base_model: base_model?.clone(),
        name: name.into(),
        version: version.into(),
    })
}
