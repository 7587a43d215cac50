//! Taking in what the key-value service holds, entry by entry.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Follower, NODES};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::presence::Written;
use crate::direct::versions::Declaration;
use crate::direct::vet::Refusal;
use crate::direct::view::{CLAIMS, Evidence, Peer, State, claimed};
use crate::name::Name;
use crate::ports::{Entry, Event};

impl Follower {
    /// Takes in all entries under a prefix as they stood at a time, and that others are gone.
    pub(super) fn replace(&mut self, prefix: &str, entries: &[Entry], as_of: Millis) {
        let now = self.clock.now();
        let present: HashSet<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        if self.holds_upstreams(prefix) {
            self.drop_upstreams(&mut state, &present);
        }
        if self.dialect.own("").starts_with(prefix) {
            self.drop_own(&mut state, &present, now);
        }
        for entry in entries {
            self.put(&mut state, entry, now);
        }
        if self.holds_upstreams(prefix) {
            self.judge(&mut state, as_of);
        }
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn drop_upstreams(&self, state: &mut State, present: &HashSet<String>) {
        let listed: HashSet<Name> = present
            .iter()
            .filter_map(|key| match self.dialect.key(key) {
                Key::Upstream(incarnation) => Some(incarnation),
                _ => None,
            })
            .collect();
        let missing: Vec<Name> = state
            .upstreams
            .keys()
            .filter(|incarnation| !listed.contains(*incarnation))
            .cloned()
            .collect();
        for incarnation in missing {
            self.vanish(state, &incarnation);
        }
    }

    fn drop_own(&self, state: &mut State, present: &HashSet<String>, now: Millis) {
        state
            .nodes
            .retain(|name, _| present.contains(&self.dialect.own(&format!("{NODES}{name}"))));
        state.keep_claims(now, |address| {
            present.contains(&self.dialect.own(&format!("{CLAIMS}{address}")))
        });
        let is_present = |name: &str| present.contains(&self.dialect.own(name));
        state.ledger.keep(is_present);
    }

    /// Takes in changes that lead to how everything stood at a time.
    pub(super) fn take(&mut self, events: &[Event], as_of: Millis) {
        if events.is_empty() && self.doubt.is_none() {
            return;
        }
        let now = self.clock.now();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        for event in events {
            match &event.entry {
                Some(entry) => self.put(&mut state, entry, now),
                None => self.remove(&mut state, event, now),
            }
        }
        self.judge(&mut state, as_of);
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn put(&self, state: &mut State, entry: &Entry, now: Millis) {
        let told = match self.dialect.key(&entry.key) {
            Key::Config => self.dialect.config(&entry.value).map(|config| {
                let version = config.version;
                if state.configure(config) {
                    log::info!("follow: configuration {version} is in force");
                }
            }),
            Key::Upstream(incarnation) => self
                .dialect
                .upstream(&incarnation, &entry.value)
                .map(|listed| state.list(&listed, written(entry), now)),
            Key::Version => self.dialect.version(&entry.value).map(|(name, version)| {
                let since = self.fresh;
                self.declare(state, name, Declaration { version, since });
            }),
            Key::Own(name) => {
                if let Some(refusal) = put_own(state, &name, entry, now) {
                    self.refuse(refusal);
                }
                Ok(())
            }
            Key::Other => {
                self.refuse(Refusal::Unused);
                Ok(())
            }
        };
        if let Err(error) = told {
            self.refuse(Refusal::Unreadable);
            log::error!("follow: {} is left as it was: {error}", entry.key);
        }
    }

    fn remove(&self, state: &mut State, event: &Event, now: Millis) {
        match self.dialect.key(&event.key) {
            Key::Upstream(incarnation) => {
                // A page of the list may have shown an entry that was written behind this.
                let known = state.upstreams.get(&incarnation);
                if known.is_none_or(|upstream| upstream.written().revision < event.revision) {
                    self.vanish(state, &incarnation);
                }
            }
            Key::Own(name) => {
                if let Some(node) = name.strip_prefix(NODES) {
                    state.nodes.remove(node);
                } else if let Some(address) = claimed(&name) {
                    state.unclaim(address, now);
                } else {
                    state.remove_evidence(&name);
                }
            }
            Key::Config | Key::Version | Key::Other => {}
        }
    }

    /// Takes in a version that operators declared.
    fn declare(&self, state: &mut State, adapter: Name, declaration: Declaration) {
        let limit = self.limits.get().version_rollout;
        let told = format!("version {} of {adapter}", declaration.version);
        let declarations = state.versions.entry(adapter).or_default();
        if declarations.declare(declaration, limit) {
            log::info!("follow: {told} is the newest");
        }
    }
}

/// Takes in an entry of this system's own; returns why not if it is left aside.
fn put_own(state: &mut State, name: &str, entry: &Entry, now: Millis) -> Option<Refusal> {
    let is_readable = if let Some(node) = name.strip_prefix(NODES) {
        match serde_json::from_slice::<Peer>(&entry.value) {
            Ok(peer) => {
                state.join(node.into(), peer);
                true
            }
            Err(error) => {
                log::error!("follow: {} can't be read: {error}", entry.key);
                false
            }
        }
    } else if let Some(address) = claimed(name) {
        state.put_claim(address, entry, now)
    } else {
        return match state.put_evidence(name, &entry.value, Some(entry.revision), now) {
            Evidence::Taken => None,
            Evidence::Unreadable => Some(Refusal::Unreadable),
            Evidence::Other => Some(Refusal::Unused),
        };
    };
    (!is_readable).then_some(Refusal::Unreadable)
}

fn written(entry: &Entry) -> Written {
    Written {
        revision: entry.revision,
        created: entry.created,
    }
}
