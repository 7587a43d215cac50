//! Keeps the view up to date from the key-value service.
//!
//! One call at a time waits for changes; between calls a pause lets changes
//! gather, since each call is priced. A history that was dropped is answered by
//! reading everything anew.

use std::collections::HashSet;
use std::sync::Arc;

use super::dialect::{Dialect, Key};
use super::fanout::{Heard, Hub, Source, Update};
use super::limits::{Current, POLL_WAIT, STORE_PAUSE};
use super::reachable;
use super::versions::Declaration;
use super::vet::{Refusal, vet};
use super::view::{CLAIMS, Evidence, Peer, State, View, claimed};
use crate::clock::{Clock, Millis};
use crate::name::Name;
use crate::ports::poll::{self, Changes, Poll};
use crate::ports::{Entry, Error, Event, Store};

/// Name of a node's record, with the node's name behind it.
pub const NODES: &str = "node/";

/// A silence of the service from which on vanished entries are doubted.
///
/// While the service is away, entries of living upstreams can lapse; they are
/// back within two seconds of its return.
const OUTAGE: Millis = Millis(1_000);

/// How long a call for changes waits after one that failed.
const RETURN_WAIT: Millis = Millis(1);

/// The longest that this node listens to others before it looks after what time does.
const LISTEN: Millis = Millis(500);

/// How long a vanished entry is doubted after an outage.
const DOUBT: Millis = Millis(2_200);

/// Keeps the view up to date.
#[derive(Debug)]
pub struct Follower {
    store: Arc<dyn Store>,
    poll: Arc<dyn Poll>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    limits: Arc<Current>,
    heard: Millis,
    returned: Option<Millis>,
    hub: Option<Arc<Hub>>,
    source: Option<Box<dyn Source>>,
    /// When all that this node knows was known to be the newest, once it knows anything.
    fresh: Option<Millis>,
}

impl Follower {
    /// Makes a follower that has heard nothing yet.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        poll: Arc<dyn Poll>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        view: Arc<View>,
        limits: Arc<Current>,
    ) -> Self {
        let heard = clock.now();
        Self {
            store,
            poll,
            dialect,
            clock,
            view,
            limits,
            heard,
            returned: None,
            hub: None,
            source: None,
            fresh: None,
        }
    }

    /// Hears changes from nodes of the same failure domain too, and passes on what it learns.
    #[must_use]
    pub fn within_domain(mut self, hub: Arc<Hub>, source: Box<dyn Source>) -> Self {
        self.hub = Some(hub);
        self.source = Some(source);
        self
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        loop {
            match self.read_all().await {
                Ok(revision) => self.follow(revision).await,
                Err(error) => {
                    log::warn!("follow: can't read everything: {error}");
                    tokio::time::sleep(STORE_PAUSE.duration()).await;
                }
            }
        }
    }

    async fn follow(&mut self, mut revision: u64) {
        let mut wait = POLL_WAIT;
        loop {
            revision = self.listen(revision).await;
            let sent = self.clock.now();
            let wait_now = self.wait(wait);
            let pause = match self.poll.changes("", revision, wait_now).await {
                Ok(mut changes) => {
                    // Other nodes take changes in the order of their revisions only. Told by key
                    // or otherwise, they would all ask for themselves.
                    changes.events.sort_by_key(|event| event.revision);
                    let more = changes.more;
                    // The service may be further by revisions without changes. Only what
                    // changes lead to can be proved to other nodes.
                    let newest = changes.events.last().map(|event| event.revision);
                    let update = Update {
                        after: revision,
                        revision: revision.max(newest.unwrap_or_default()),
                        as_of: self.as_of(sent, wait_now, &changes),
                        events: changes.events,
                    };
                    revision = update.revision;
                    self.hear(update, "service");
                    wait = POLL_WAIT;
                    // With a pause behind each part, the thousands of changes of a start of all
                    // nodes kept every later one waiting, a configuration for ten seconds.
                    if more {
                        Millis::ZERO
                    } else {
                        self.limits.get().poll_pause()
                    }
                }
                Err(poll::Error::Compacted) => {
                    log::info!("follow: the history after revision {revision} is compacted");
                    return;
                }
                Err(poll::Error::Failed(error)) => {
                    log::debug!("follow: no changes after revision {revision}: {error}");
                    self.view.touched(false);
                    if let Some(hub) = &self.hub {
                        hub.lose();
                    }
                    // While the service is away a call that may wait long only
                    // delays the moment at which its return is noticed.
                    wait = RETURN_WAIT;
                    STORE_PAUSE
                }
            };
            self.settle();
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Returns when the service was known to be where an answer leads.
    ///
    /// A part of the changes says nothing of how new it is. A call that waited in vain knows of
    /// its whole wait.
    fn as_of(&self, sent: Millis, wait: Millis, changes: &Changes) -> Millis {
        if changes.more {
            return self.fresh.unwrap_or_default();
        }
        let in_vain = changes.events.is_empty();
        let waited = if in_vain { wait } else { Millis::ZERO };
        self.clock.now().min(sent + waited)
    }

    /// Returns how long a call for changes waits.
    fn wait(&self, wait: Millis) -> Millis {
        let shared = self
            .source
            .as_ref()
            .is_some_and(|source| source.is_shared());
        if shared {
            wait.min(self.limits.get().leader_wait())
        } else {
            wait
        }
    }

    /// Takes in what other nodes pass on, as long as it is new enough; returns the revision.
    ///
    /// Whoever passes changes on may be silent, suspended, cut off from the service or from
    /// here. All of these show as age, and this node then asks the service itself in time.
    async fn listen(&mut self, mut revision: u64) -> u64 {
        let Some(mut source) = self.source.take() else {
            return revision;
        };
        loop {
            let oldest = self.fresh.unwrap_or_default() + self.limits.get().oldest_update();
            let left = oldest.since(self.clock.now());
            if left == Millis::ZERO {
                self.count("nobody");
                source.avoid();
                break;
            }
            match source.next(revision, left.min(LISTEN)).await {
                Heard::Update(update) => match vet(update, revision) {
                    Ok(update) => {
                        revision = update.revision;
                        self.hear(update, "node");
                    }
                    Err(refusal) => {
                        self.refuse(refusal);
                        // Whoever is behind catches up, and its age shows if it doesn't.
                        if refusal != Refusal::Old {
                            log::warn!("follow: an update is left aside: {}", refusal.name());
                            source.avoid();
                            break;
                        }
                    }
                },
                Heard::Nothing => {}
                Heard::Nobody => break,
            }
            self.settle();
        }
        self.source = Some(source);
        revision
    }

    /// Takes in changes, wherever they come from, and passes them on.
    fn hear(&mut self, update: Update, from: &'static str) {
        self.count(from);
        self.alive();
        // What changed did so behind what was known before.
        self.take(&update.events);
        self.fresh = self.fresh.max(Some(update.as_of));
        self.view.renew(self.fresh.unwrap_or_default());
        if let Some(hub) = &self.hub {
            hub.publish(update);
        }
    }

    fn count(&self, source: &'static str) {
        if let Some(hub) = &self.hub {
            hub.count(source);
        }
    }

    fn refuse(&self, refusal: Refusal) {
        if let Some(hub) = &self.hub {
            hub.refused(refusal);
        }
    }

    /// Notes that the service answers, and whether it was away.
    fn alive(&mut self) {
        self.view.touched(true);
        let now = self.clock.now();
        if now.since(self.heard) > POLL_WAIT + OUTAGE {
            let silent_ms = now.since(self.heard).0;
            log::info!(silent_ms; "follow: the key-value service is back");
            self.returned = Some(now);
        }
        self.heard = now;
    }

    /// Reads everything, and takes each part in as it arrives.
    ///
    /// Where all nodes start at once, the service takes seconds to send thousands of entries to
    /// each. Taken in only when all had arrived, a node's own former claims ended meanwhile.
    async fn read_all(&mut self) -> Result<u64, Error> {
        reachable::wait(&*self.store, &self.dialect.own(NODES)).await?;
        let began = self.clock.now();
        let mut revision = u64::MAX;
        for prefix in self.dialect.prefixes() {
            let listing = self.store.list(prefix).await?;
            revision = revision.min(listing.revision);
            if self.holds_upstreams(prefix) {
                self.alive();
            }
            self.replace(prefix, &listing.entries);
        }
        self.fresh = Some(began);
        self.view.renew(began);
        let took = self.clock.now().since(began);
        log::info!("follow: everything up to revision {revision} is read, which took {took}");
        Ok(revision)
    }

    /// Whether upstreams stand under a prefix.
    fn holds_upstreams(&self, prefix: &str) -> bool {
        matches!(self.dialect.key(&format!("{prefix}any")), Key::Upstream(_))
    }

    fn replace(&mut self, prefix: &str, entries: &[Entry]) {
        let now = self.clock.now();
        let present: HashSet<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        if self.holds_upstreams(prefix) {
            self.drop_upstreams(&mut state, &present, now);
        }
        if self.dialect.own("").starts_with(prefix) {
            self.drop_own(&mut state, &present, now);
        }
        for entry in entries {
            self.put(&mut state, entry, now);
        }
        drop(state);
        self.view.changed.notify_waiters();
    }

    fn drop_upstreams(&self, state: &mut State, present: &HashSet<String>, now: Millis) {
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
            self.vanish(state, &incarnation, now);
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

    fn take(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let now = self.clock.now();
        let view = Arc::clone(&self.view);
        let mut state = view.state();
        for event in events {
            match &event.entry {
                Some(entry) => self.put(&mut state, entry, now),
                None => self.remove(&mut state, &event.key, now),
            }
        }
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
                .map(|listed| state.list(&listed, entry.revision, now)),
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

    fn remove(&self, state: &mut State, key: &str, now: Millis) {
        match self.dialect.key(key) {
            Key::Upstream(incarnation) => self.vanish(state, &incarnation, now),
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
        let limit = self.limits.get().version;
        let told = format!("version {} of {adapter}", declaration.version);
        let declarations = state.versions.entry(adapter).or_default();
        if declarations.declare(declaration, limit) {
            log::info!("follow: {told} is the newest");
        }
    }

    /// An entry that vanished while the service was away isn't proof that its
    /// upstream is gone; one that vanished before everybody's eyes is.
    fn vanish(&self, state: &mut State, incarnation: &str, now: Millis) {
        if self.doubting(now)
            && let Some(upstream) = state.upstreams.get(incarnation)
        {
            if !upstream.is_missing() {
                log::info!(
                    upstream = incarnation,
                    before = upstream.stage();
                    "follow: an upstream is missing and doubted"
                );
            }
            upstream.missing(now);
            return;
        }
        log::info!("follow: upstream {incarnation} is gone");
        state.unlist(incarnation);
    }

    fn doubting(&self, now: Millis) -> bool {
        self.returned
            .is_some_and(|returned| now.since(returned) < DOUBT)
    }

    /// Removes what is still missing when doubt has ended.
    fn settle(&mut self) {
        let now = self.clock.now();
        if self.returned.is_none() || self.doubting(now) {
            return;
        }
        self.returned = None;
        let mut state = self.view.state();
        let missing: Vec<Name> = state
            .upstreams
            .values()
            .filter(|upstream| upstream.missing_since().is_some())
            .map(|upstream| Name::clone(&upstream.incarnation))
            .collect();
        for incarnation in missing {
            log::info!("follow: upstream {incarnation} did not come back");
            state.unlist(&incarnation);
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
