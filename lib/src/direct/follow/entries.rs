//! Applying the key-value service's entries and changes to the view.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Follower, NODE_PREFIX};
use crate::clock::Millis;
use crate::direct::dialect::Key;
use crate::direct::presence::EntryRevision;
use crate::direct::registration::REGISTRATION_PREFIX;
use crate::direct::software::SOFTWARE_PREFIX;
use crate::direct::validate::RejectReason;
use crate::direct::versions::Declaration;
use crate::direct::view::{CLAIM_PREFIX, Peer, PutOutcome, State, claim_address};
use crate::name::Name;
use crate::ports::{Entry, Event};

impl Follower {
    /// Replaces everything under a prefix by the entries that existed at a time.
    pub(super) fn replace_prefix(&mut self, prefix: &str, entries: &[Entry], as_of: Millis) {
        let now = self.clock.now();
        let present: HashSet<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        if self.holds_upstreams(prefix) {
            self.remove_unlisted_upstreams(&mut state, &present);
        }
        if self.dialect.own_key("").starts_with(prefix) {
            self.remove_unlisted_own(&mut state, &present, now);
        }
        for entry in entries {
            self.apply_entry(&mut state, entry, now);
        }
        if self.holds_upstreams(prefix) {
            self.resolve_missing(&mut state, as_of);
        }
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn remove_unlisted_upstreams(&self, state: &mut State, present: &HashSet<String>) {
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
            self.handle_removal(state, &incarnation);
        }
    }

    fn remove_unlisted_own(&self, state: &mut State, present: &HashSet<String>, now: Millis) {
        state.nodes.retain(|name, _| {
            present.contains(&self.dialect.own_key(&format!("{NODE_PREFIX}{name}")))
        });
        state.register.retain(
            |name| {
                present.contains(
                    &self
                        .dialect
                        .own_key(&format!("{REGISTRATION_PREFIX}{name}")),
                )
            },
            |name| present.contains(&self.dialect.own_key(&format!("{NODE_PREFIX}{name}"))),
            now,
        );
        // Changes since the last ones that were seen are unknown, and other nodes' claims among them.
        state.claims_read_at = Some(now);
        state.retain_claims(now, |address| {
            present.contains(&self.dialect.own_key(&format!("{CLAIM_PREFIX}{address}")))
        });
        let is_present = |name: &str| present.contains(&self.dialect.own_key(name));
        state.ledger.retain_reports(is_present);
        let is_present = |pool: &str| is_present(&format!("{SOFTWARE_PREFIX}{pool}"));
        state.software.retain(is_present);
    }

    /// Applies changes, after which the view is as of a time.
    pub(super) fn apply_events(&mut self, events: &[Event], as_of: Millis) {
        if events.is_empty() && self.grace.is_none() {
            return;
        }
        let now = self.clock.now();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        for event in events {
            match &event.entry {
                Some(entry) => self.apply_entry(&mut state, entry, now),
                None => self.remove(&mut state, event, now),
            }
        }
        self.resolve_missing(&mut state, as_of);
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn apply_entry(&self, state: &mut State, entry: &Entry, now: Millis) {
        let result = match self.dialect.parse_key(&entry.key) {
            Key::Config => self.dialect.decode_config(&entry.value).map(|config| {
                let version = config.version;
                if state.apply_config(config, now) {
                    let (bytes, view_age_ms) = (entry.value.len(), self.view_age(now).0);
                    log::info!(bytes, view_age_ms; "follow: configuration {version} is in force");
                }
            }),
            Key::Upstream(incarnation) => self
                .dialect
                .decode_upstream(&incarnation, &entry.value)
                .map(|listed| state.put_upstream(&listed, entry_revision(entry), now)),
            Key::Version => self
                .dialect
                .decode_version(&entry.value)
                .map(|(name, version)| {
                    let since = self.confirmed_at;
                    self.declare_version(state, name, Declaration { version, since });
                }),
            Key::Own(name) => {
                if let Some(reason) = apply_own_entry(state, &name, entry, now) {
                    self.count_rejected(reason);
                }
                Ok(())
            }
            Key::Other => {
                self.count_rejected(RejectReason::UnusedKey);
                Ok(())
            }
        };
        if let Err(error) = result {
            self.count_rejected(RejectReason::Unreadable);
            log::error!("follow: {} is left as it was: {error}", entry.key);
        }
    }

    /// Returns how old the view is before the changes at hand are applied.
    fn view_age(&self, now: Millis) -> Millis {
        now.since(self.confirmed_at.unwrap_or(now))
    }

    fn remove(&self, state: &mut State, event: &Event, now: Millis) {
        match self.dialect.parse_key(&event.key) {
            Key::Upstream(incarnation) => {
                // A page of the list may have contained an entry written after this removal.
                let known = state.upstreams.get(&incarnation);
                if known.is_none_or(|upstream| upstream.entry_revision().revision < event.revision)
                {
                    self.handle_removal(state, &incarnation);
                }
            }
            Key::Own(name) => {
                if let Some(node) = name.strip_prefix(NODE_PREFIX) {
                    state.nodes.remove(node);
                    state.register.remove_record(node, now);
                } else if let Some(node) = name.strip_prefix(REGISTRATION_PREFIX) {
                    state.register.remove(node, event.revision);
                } else if let Some(address) = claim_address(&name) {
                    state.remove_claim(address, event.revision, now);
                } else if let Some(pool) = name.strip_prefix(SOFTWARE_PREFIX) {
                    state.software.remove(pool, event.revision);
                } else {
                    state.remove_quarantine_record(&name);
                }
            }
            Key::Config | Key::Version | Key::Other => {}
        }
    }

    /// Applies an operator's declaration of an adapter's version.
    fn declare_version(&self, state: &mut State, adapter: Name, declaration: Declaration) {
        let limit = self.limits.get().version_rollout;
        let described = format!("version {} of {adapter}", declaration.version);
        let declarations = state.versions.entry(adapter).or_default();
        if declarations.declare(declaration, limit) {
            log::info!("follow: {described} is the newest");
        }
    }
}

/// Applies an entry under this system's own prefix; returns the reason if it is rejected.
fn apply_own_entry(
    state: &mut State,
    name: &str,
    entry: &Entry,
    now: Millis,
) -> Option<RejectReason> {
    let is_readable = if let Some(node) = name.strip_prefix(NODE_PREFIX) {
        decode(entry).is_some_and(|peer: Peer| {
            let node = Name::from(node);
            state.register.add_record(&node, peer.start, now);
            state.put_node(node, peer);
            true
        })
    } else if let Some(node) = name.strip_prefix(REGISTRATION_PREFIX) {
        decode(entry).is_some_and(|registration| {
            state.put_registration(node.into(), registration, entry.revision, now);
            true
        })
    } else if let Some(address) = claim_address(name) {
        state.put_claim(address, entry, now)
    } else {
        return match state.put_record(name, &entry.value, Some(entry.revision), now) {
            PutOutcome::Applied => None,
            PutOutcome::Unreadable => Some(RejectReason::Unreadable),
            PutOutcome::Unrelated => Some(RejectReason::UnusedKey),
        };
    };
    (!is_readable).then_some(RejectReason::Unreadable)
}

fn decode<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    serde_json::from_slice(&entry.value)
        .inspect_err(|error| log::error!("follow: can't decode {}: {error}", entry.key))
        .ok()
}

fn entry_revision(entry: &Entry) -> EntryRevision {
    EntryRevision {
        revision: entry.revision,
        created: entry.created,
    }
}
