//! Requests that run on an engine but weren't started by this owner.
//!
//! After a takeover the previous owner's requests still run. Evicting an adapter
//! that one of them uses would abort it or serve it from another adapter, which
//! shows as engine errors just after a node died. The requests that the engine
//! reports as running are therefore added to the state machine as running.

use std::collections::{HashMap, VecDeque};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::Id;

/// How long after its end a request may still be listed in a report.
const REPORT_LAG: Millis = Millis::from_secs(5);

/// The foreign requests in the engine's last report.
#[derive(Debug, Default)]
pub(super) struct ForeignRequests {
    running: HashMap<Name, Id>,
    /// This owner's completed requests that reports may still list.
    recently_completed: VecDeque<(Id, Millis)>,
}

/// The difference between two reports' foreign requests.
#[derive(Debug, Default)]
pub(super) struct ForeignChange {
    /// New requests and the adapter that each runs on.
    pub(super) started: Vec<(Id, Adapter)>,
    /// Requests that are no longer listed.
    pub(super) ended: Vec<Id>,
}

impl ForeignRequests {
    /// Records that a request of this owner has completed.
    ///
    /// Reports lag and may still list it; it must not count as foreign then.
    pub(super) fn record_own_completion(&mut self, request: Id, now: Millis) {
        self.recently_completed.push_back((request, now));
        self.prune(now);
    }

    /// Returns the number of foreign requests.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Updates the foreign requests from those that the engine lists, except `own` ones.
    pub(super) fn update(
        &mut self,
        listed: &[(Name, Name)],
        own: impl Fn(&str) -> bool,
        adapter: impl Fn(&str) -> Option<Adapter>,
        now: Millis,
    ) -> ForeignChange {
        self.prune(now);
        let mut change = ForeignChange::default();
        self.running.retain(|name, id| {
            let is_listed = listed.iter().any(|(listed, _)| listed == name);
            if !is_listed {
                change.ended.push(id.clone());
            }
            is_listed
        });
        for (name, model) in listed {
            let known = self.running.contains_key(name) || own(name) || self.was_own(name);
            let Some(adapter) = adapter(model).filter(|_| !known) else {
                continue;
            };
            let id = Id(format!("foreign/{name}").into());
            self.running.insert(name.clone(), id.clone());
            change.started.push((id, adapter));
        }
        change
    }

    /// Removes all foreign requests after the engine restarted, and returns their IDs.
    pub(super) fn clear(&mut self) -> Vec<Id> {
        self.running.drain().map(|(_, id)| id).collect()
    }

    fn was_own(&self, name: &str) -> bool {
        self.recently_completed
            .iter()
            .any(|(id, _)| name.contains(&*id.0))
    }

    fn prune(&mut self, now: Millis) {
        while let Some((_, at)) = self.recently_completed.front()
            && now.since(*at) > REPORT_LAG
        {
            self.recently_completed.pop_front();
        }
    }
}
