//! Taking in what the key-value service holds, entry by entry.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Follower, NODE_PREFIX};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::presence::EntryRevision;
use crate::direct::validate::RejectReason;
use crate::direct::versions::Declaration;
use crate::direct::view::{CLAIM_PREFIX, Peer, PutOutcome, State, claim_address};
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
        if self.dialect.own_key("").starts_with(prefix) {
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
            .filter_map(|key| match self.dialect.parse_key(key) {
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
        state.nodes.retain(|name, _| {
            present.contains(&self.dialect.own_key(&format!("{NODE_PREFIX}{name}")))
        });
        state.retain_claims(now, |address| {
            present.contains(&self.dialect.own_key(&format!("{CLAIM_PREFIX}{address}")))
        });
        let is_present = |name: &str| present.contains(&self.dialect.own_key(name));
        state.ledger.retain_reports(is_present);
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
        let told = match self.dialect.parse_key(&entry.key) {
            Key::Config => self.dialect.decode_config(&entry.value).map(|config| {
                let version = config.version;
                if state.apply_config(config) {
                    log::info!("follow: configuration {version} is in force");
                }
            }),
            Key::Upstream(incarnation) => self
                .dialect
                .decode_upstream(&incarnation, &entry.value)
                .map(|listed| state.put_upstream(&listed, written(entry), now)),
            Key::Version => self
                .dialect
                .decode_version(&entry.value)
                .map(|(name, version)| {
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
                self.refuse(RejectReason::UnusedKey);
                Ok(())
            }
        };
        if let Err(error) = told {
            self.refuse(RejectReason::Unreadable);
            log::error!("follow: {} is left as it was: {error}", entry.key);
        }
    }

    fn remove(&self, state: &mut State, event: &Event, now: Millis) {
        match self.dialect.parse_key(&event.key) {
            Key::Upstream(incarnation) => {
                // A page of the list may have shown an entry that was written behind this.
                let known = state.upstreams.get(&incarnation);
                if known.is_none_or(|upstream| upstream.entry_revision().revision < event.revision)
                {
                    self.vanish(state, &incarnation);
                }
            }
            Key::Own(name) => {
                if let Some(node) = name.strip_prefix(NODE_PREFIX) {
                    state.nodes.remove(node);
                } else if let Some(address) = claim_address(&name) {
                    state.remove_claim(address, now);
                } else {
                    state.remove_quarantine_record(&name);
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
fn put_own(state: &mut State, name: &str, entry: &Entry, now: Millis) -> Option<RejectReason> {
    let is_readable = if let Some(node) = name.strip_prefix(NODE_PREFIX) {
        match serde_json::from_slice::<Peer>(&entry.value) {
            Ok(peer) => {
                state.put_node(node.into(), peer);
                true
            }
            Err(error) => {
                log::error!("follow: {} can't be read: {error}", entry.key);
                false
            }
        }
    } else if let Some(address) = claim_address(name) {
        state.put_claim(address, entry, now)
    } else {
        return match state.put_quarantine_record(name, &entry.value, Some(entry.revision), now) {
            PutOutcome::Applied => None,
            PutOutcome::Unreadable => Some(RejectReason::Unreadable),
            PutOutcome::Unrelated => Some(RejectReason::UnusedKey),
        };
    };
    (!is_readable).then_some(RejectReason::Unreadable)
}

fn written(entry: &Entry) -> EntryRevision {
    EntryRevision {
        revision: entry.revision,
        created: entry.created,
    }
}
