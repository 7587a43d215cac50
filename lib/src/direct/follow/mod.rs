//! Keeps the view up to date from the key-value service.
//!
//! One poll at a time waits for changes. A pause between polls lets changes accumulate, since each
//! call costs money. While the service doesn't answer, further polls are sent beside the
//! unanswered ones. If the service has compacted the history that is needed, everything is read
//! again.

mod entries;
mod missing;
mod parts;

use std::sync::Arc;

use super::dialect::{Dialect, Key};
use super::fanout::{Hub, Received, Source, Update, payload_bytes};
use super::hedging::{self, HedgedResult};
use super::limits::{POLL_TIMEOUT, STORE_RETRY_PAUSE, SharedLimits};
use super::outage::{GracePeriod, OutageDetector};
use super::validate::{RejectReason, validate};
use super::view::{SeenChanges, View};
use crate::clock::{Clock, Millis};
use crate::ports::poll::{self, Changes, Poll, Query};
use crate::ports::{Error, Store};

/// Prefix of the key of a node's record, followed by the node's name.
pub const NODE_PREFIX: &str = "node/";

/// How long a poll waits for changes after a failed one.
const OUTAGE_POLL_WAIT: Millis = Millis(1);

/// Size of a response to a poll above which the changes are read in parts, in bytes.
///
/// It takes a quarter of a second over a link of 10 Mbit/s.
const MAX_POLL_BYTES: usize = 300_000;

/// Maximum time to wait for an update of another node before timeouts are checked again.
const MAX_RECEIVE_WAIT: Millis = Millis(500);

/// Applies changes of the key-value service to the view.
#[derive(Debug)]
pub struct Follower {
    store: Arc<dyn Store>,
    poll: Arc<dyn Poll>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    limits: Arc<SharedLimits>,
    outage: OutageDetector,
    /// The grace period for missing upstreams after the last outage.
    grace: Option<GracePeriod>,
    /// The revision up to which all changes are known.
    known_revision: u64,
    /// Size of a response above which the changes are read in parts, in bytes.
    max_poll_bytes: usize,
    hub: Option<Arc<Hub>>,
    source: Option<Box<dyn Source>>,
    /// The last time as of which the view was known to be complete; none before the first reading.
    confirmed_at: Option<Millis>,
}

/// The result of applying changes that the service returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Applied {
    /// The revision up to which all changes are known.
    revision: u64,
    /// Whether more changes may be ready.
    more: bool,
    /// Since when the response was read.
    read_since: Millis,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        poll: Arc<dyn Poll>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        view: Arc<View>,
        limits: Arc<SharedLimits>,
    ) -> Self {
        let outage = OutageDetector::new(clock.now());
        Self {
            store,
            poll,
            dialect,
            clock,
            view,
            limits,
            outage,
            grace: None,
            known_revision: 0,
            max_poll_bytes: MAX_POLL_BYTES,
            hub: None,
            source: None,
            confirmed_at: None,
        }
    }

    /// Also receives changes from nodes of the same failure domain, and publishes its own.
    #[must_use]
    pub fn with_fanout(mut self, hub: Arc<Hub>, source: Box<dyn Source>) -> Self {
        self.hub = Some(hub);
        self.source = Some(source);
        self
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let sent_at = self.clock.now();
            match self.read_all().await {
                Ok(revision) => self.poll_from(revision).await,
                Err(error) => {
                    log::warn!("follow: can't read all entries: {error}");
                    self.outage.record_failure(sent_at, self.clock.now());
                    tokio::time::sleep(STORE_RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    async fn poll_from(&mut self, mut revision: u64) {
        loop {
            revision = self.receive_updates(revision).await;
            let poll_wait = self.poll_wait();
            let polled = self.poll_changes(revision, poll_wait).await;
            let applied = match polled.result {
                Ok(changes) => {
                    let as_of = self.as_of(polled.asked, poll_wait, &changes);
                    Ok(self.apply_changes(revision, as_of, changes))
                }
                Err(poll::Error::Oversized(_)) => self.read_parts(revision).await,
                Err(error) => Err(error),
            };
            let pause = match applied {
                Ok(applied) => {
                    revision = applied.revision;
                    // With a pause after each part, the thousands of changes when all nodes start
                    // at once delayed every later change, a configuration by ten seconds.
                    if applied.more {
                        Millis::ZERO
                    } else {
                        self.poll_pause(applied.read_since)
                    }
                }
                Err(error @ (poll::Error::Compacted | poll::Error::Oversized(_))) => {
                    log::info!("follow: reading everything instead of changes: {error}");
                    self.record_answer();
                    return;
                }
                Err(error) => {
                    let took_ms = self.clock.now().since(polled.asked).0;
                    log::info!(took_ms; "follow: no changes after revision {revision}: {error}");
                    self.view.record_store_call(false);
                    self.outage.record_failure(polled.asked, self.clock.now());
                    if let Some(hub) = &self.hub {
                        hub.mark_disconnected();
                    }
                    STORE_RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Polls the service for changes.
    ///
    /// In an outage, polls are so frequent that the time of the service's return is known to a few
    /// hundred milliseconds. The grace period for missing entries depends on that time.
    async fn poll_changes(
        &mut self,
        revision: u64,
        poll_wait: Millis,
    ) -> HedgedResult<Result<Changes, poll::Error>> {
        let query = Query::new("", revision, poll_wait).within_bytes(self.max_poll_bytes);
        let call = || self.poll.changes(query);
        if !self.outage.is_failing() {
            let asked = self.clock.now();
            return HedgedResult {
                result: call().await,
                asked,
                last_unanswered: None,
            };
        }
        let is_answer = |result: &Result<_, _>| !matches!(result, Err(poll::Error::Failed(_)));
        let hedged_result = hedging::hedged(&*self.clock, call, is_answer).await;
        if let Some(last_unanswered) = hedged_result.last_unanswered {
            self.outage
                .record_failure(last_unanswered, self.clock.now());
        }
        hedged_result
    }

    /// Returns the pause until the next poll when the last response was read since `read_since`.
    ///
    /// The transfer of a large response counts as a part of the pause.
    fn poll_pause(&self, read_since: Millis) -> Millis {
        let next_at = read_since + self.limits.get().poll_interval();
        self.cap_to_grace(next_at.since(self.clock.now()))
    }

    /// Applies the changes after a revision that the service returned.
    fn apply_changes(&mut self, after: u64, as_of: Millis, mut changes: Changes) -> Applied {
        if payload_bytes(&changes.events) < MAX_POLL_BYTES / 2 {
            self.max_poll_bytes = MAX_POLL_BYTES;
        }
        // Other nodes accept changes only in the order of their revisions. The service may return
        // them in another order, such as by key, and then all nodes would poll for themselves.
        changes.events.sort_by_key(|event| event.revision);
        // The service's own revision may be higher without further changes here. Other nodes
        // accept only a revision that the changes reach.
        let newest = changes.events.last().map(|event| event.revision);
        let revision = after.max(newest.unwrap_or_default());
        let update = Update {
            after,
            revision,
            as_of,
            events: changes.events,
        };
        self.apply_update(update, "service");
        Applied {
            revision,
            more: changes.more,
            read_since: self.clock.now(),
        }
    }

    /// Returns the time as of which the view is complete once a response is applied.
    ///
    /// A response with only a part of the changes doesn't advance it. A poll that timed out without
    /// changes shows that there were none during its whole wait.
    fn as_of(&self, sent: Millis, poll_wait: Millis, changes: &Changes) -> Millis {
        if changes.more {
            return self.confirmed_at.unwrap_or_default();
        }
        let timed_out = changes.events.is_empty();
        let waited = if timed_out { poll_wait } else { Millis::ZERO };
        self.clock.now().min(sent + waited)
    }

    /// Returns how long a poll waits for changes.
    ///
    /// In an outage a long wait would only delay the detection of the service's return.
    fn poll_wait(&self) -> Millis {
        if self.outage.is_failing() {
            return OUTAGE_POLL_WAIT;
        }
        let may_have_subscribers = self
            .source
            .as_ref()
            .is_some_and(|source| source.may_have_subscribers());
        let poll_wait = if may_have_subscribers {
            self.limits.get().leader_poll_timeout()
        } else {
            POLL_TIMEOUT
        };
        self.cap_to_grace(poll_wait).max(OUTAGE_POLL_WAIT)
    }

    /// Applies updates of other nodes as long as they are recent enough; returns the new revision.
    ///
    /// The publisher may be silent, suspended, or cut off from the service or from this node. In
    /// all of these cases the updates grow too old, and this node polls the service itself in time.
    async fn receive_updates(&mut self, mut revision: u64) -> u64 {
        let Some(mut source) = self.source.take() else {
            return revision;
        };
        loop {
            let too_old_at =
                self.confirmed_at.unwrap_or_default() + self.limits.get().max_update_age();
            let left = too_old_at.since(self.clock.now());
            if left == Millis::ZERO {
                self.count_update("nobody");
                source.avoid();
                break;
            }
            if self.grace_left() == Some(Millis::ZERO) {
                // Only a poll shows now whether missing entries have been written again.
                break;
            }
            let within = self.cap_to_grace(left.min(MAX_RECEIVE_WAIT));
            match source.next(revision, within).await {
                Received::Update(update) => match validate(update, revision) {
                    Ok(update) => {
                        revision = update.revision;
                        self.apply_update(update, "node");
                    }
                    Err(reason) => {
                        self.count_rejected(reason);
                        // A publisher that is behind may catch up; if not, its updates get too old.
                        if reason != RejectReason::Stale {
                            log::warn!("follow: rejected an update: {}", reason.name());
                            source.avoid();
                            break;
                        }
                    }
                },
                Received::Timeout => {}
                Received::NoSource => break,
            }
        }
        self.source = Some(source);
        revision
    }

    /// Applies an update from any source and publishes it.
    fn apply_update(&mut self, update: Update, from: &'static str) {
        self.count_update(from);
        self.record_answer();
        // A declared version counts from the previous `confirmed_at`, so the changes are applied
        // before it is updated.
        self.apply_events(&update.events, update.as_of);
        self.advance(update);
    }

    /// Records that all changes of an update are applied, and publishes it.
    fn advance(&mut self, update: Update) {
        self.known_revision = update.revision;
        self.view.state().seen.until = update.revision;
        self.confirmed_at = self.confirmed_at.max(Some(update.as_of));
        self.view
            .advance_as_of(self.confirmed_at.unwrap_or_default());
        if let Some(hub) = &self.hub {
            hub.publish(update);
        }
    }

    fn count_update(&self, source: &'static str) {
        if let Some(hub) = &self.hub {
            hub.count_update(source);
        }
    }

    fn count_rejected(&self, reason: RejectReason) {
        if let Some(hub) = &self.hub {
            hub.count_rejected(reason);
        }
    }

    /// Reads all entries, and applies each part as it arrives.
    ///
    /// When all nodes start at once, the service takes seconds to send thousands of entries to
    /// each. When they were applied only after all had arrived, a node's own claims from before
    /// its restart expired meanwhile.
    async fn read_all(&mut self) -> Result<u64, Error> {
        hedging::wait_until_available(
            &*self.clock,
            &*self.store,
            &self.dialect.own_key(NODE_PREFIX),
        )
        .await?;
        let began = self.clock.now();
        let mut revision = u64::MAX;
        for prefix in self.dialect.key_prefixes() {
            let listing = self.store.list(prefix).await?;
            revision = revision.min(listing.revision);
            if self.holds_upstreams(prefix) {
                self.record_answer();
            }
            self.replace_prefix(prefix, &listing.entries, began);
        }
        self.known_revision = revision;
        self.view.state().seen = SeenChanges {
            since: revision,
            until: revision,
        };
        self.confirmed_at = Some(began);
        self.view.advance_as_of(began);
        let took = self.clock.now().since(began);
        log::info!("follow: read all entries up to revision {revision} in {took}");
        Ok(revision)
    }

    /// Whether a prefix contains upstreams' entries.
    fn holds_upstreams(&self, prefix: &str) -> bool {
        matches!(
            self.dialect.parse_key(&format!("{prefix}any")),
            Key::Upstream(_)
        )
    }
}
