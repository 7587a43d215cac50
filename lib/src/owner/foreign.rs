//! Requests that run on an engine but weren't started by this owner.
//!
//! After a takeover the former owner's requests still run. Evicting an adapter
//! that one of them uses would cut it off or answer it from another adapter;
//! one would see errors from the engine just after a node died. What the engine
//! itself lists as running is therefore entered into the decisions as running.

use std::collections::{HashMap, VecDeque};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::Id;

/// How long a report may still list a request that has been answered.
const REPORT_LAG: Millis = Millis::from_secs(5);

/// The foreign requests that the engine listed last.
#[derive(Debug, Default)]
pub(super) struct Foreign {
    running: HashMap<Name, Id>,
    answered: VecDeque<(Id, Millis)>,
}

/// How a report changed the foreign requests.
#[derive(Debug, Default)]
pub(super) struct Change {
    /// Requests that appeared, and the adapter that each runs on.
    pub(super) begun: Vec<(Id, Adapter)>,
    /// Requests that are gone.
    pub(super) ended: Vec<Id>,
}

impl Foreign {
    /// Notes that a request of this owner has been answered whole.
    ///
    /// Reports lag and list it a while longer; it must not count twice.
    pub(super) fn answered(&mut self, request: Id, now: Millis) {
        self.answered.push_back((request, now));
        self.forget(now);
    }

    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Takes over what the engine lists, without `own` requests.
    pub(super) fn reported(
        &mut self,
        listed: &[(Name, Name)],
        own: impl Fn(&str) -> bool,
        adapter: impl Fn(&str) -> Option<Adapter>,
        now: Millis,
    ) -> Change {
        self.forget(now);
        let mut change = Change::default();
        self.running.retain(|name, id| {
            let stays = listed.iter().any(|(listed, _)| listed == name);
            if !stays {
                change.ended.push(id.clone());
            }
            stays
        });
        for (name, model) in listed {
            let known = self.running.contains_key(name) || own(name) || self.was_own(name);
            let Some(adapter) = adapter(model).filter(|_| !known) else {
                continue;
            };
            let id = Id(format!("foreign/{name}").into());
            self.running.insert(name.clone(), id.clone());
            change.begun.push((id, adapter));
        }
        change
    }

    /// Forgets them all, as a cold start does, and returns them.
    pub(super) fn clear(&mut self) -> Vec<Id> {
        self.running.drain().map(|(_, id)| id).collect()
    }

    fn was_own(&self, name: &str) -> bool {
        self.answered.iter().any(|(id, _)| name.contains(&*id.0))
    }

    fn forget(&mut self, now: Millis) {
        while let Some((_, at)) = self.answered.front()
            && now.since(*at) > REPORT_LAG
        {
            self.answered.pop_front();
        }
    }
}
