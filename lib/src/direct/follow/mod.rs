//! Keeps the view up to date from the key-value service.
//!
//! One call at a time waits for changes; between calls a pause lets changes
//! gather, since each call is priced. While the service doesn't answer, calls are
//! made beside those without an answer. A history that was dropped is answered by
//! reading everything anew.

mod entries;
mod missing;

use std::sync::Arc;

use super::dialect::{Dialect, Key};
use super::fanout::{Hub, Received, Source, Update};
use super::hedging::{self, HedgedResult};
use super::limits::{POLL_TIMEOUT, STORE_RETRY_PAUSE, SharedLimits};
use super::outage::{Doubt, Outage};
use super::validate::{RejectReason, validate};
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::ports::poll::{self, Changes, Poll};
use crate::ports::{Error, Store};

/// Name of a node's record, with the node's name behind it.
pub const NODE_PREFIX: &str = "node/";

/// How long a call for changes waits after one that failed.
const RETURN_WAIT: Millis = Millis(1);

/// The longest that this node listens to others before it looks after what time does.
const LISTEN: Millis = Millis(500);

/// Keeps the view up to date.
#[derive(Debug)]
pub struct Follower {
    store: Arc<dyn Store>,
    poll: Arc<dyn Poll>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    view: Arc<View>,
    limits: Arc<SharedLimits>,
    outage: Outage,
    /// What is held of upstreams that are missing after the last outage.
    doubt: Option<Doubt>,
    /// The revision up to which everything is known.
    known: u64,
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
        limits: Arc<SharedLimits>,
    ) -> Self {
        let outage = Outage::new(clock.now());
        Self {
            store,
            poll,
            dialect,
            clock,
            view,
            limits,
            outage,
            doubt: None,
            known: 0,
            hub: None,
            source: None,
            fresh: None,
        }
    }

    /// Hears changes from nodes of the same failure domain too, and passes on what it learns.
    #[must_use]
    pub fn with_fanout(mut self, hub: Arc<Hub>, source: Box<dyn Source>) -> Self {
        self.hub = Some(hub);
        self.source = Some(source);
        self
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let made = self.clock.now();
            match self.read_all().await {
                Ok(revision) => self.follow(revision).await,
                Err(error) => {
                    log::warn!("follow: can't read everything: {error}");
                    self.outage.failed(made, self.clock.now());
                    tokio::time::sleep(STORE_RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    async fn follow(&mut self, mut revision: u64) {
        loop {
            revision = self.listen(revision).await;
            let wait = self.wait();
            let reached = self.ask(revision, wait).await;
            let pause = match reached.result {
                Ok(changes) => {
                    let more = changes.more;
                    let as_of = self.as_of(reached.asked, wait, &changes);
                    revision = self.hear_service(revision, as_of, changes);
                    // With a pause behind each part, the thousands of changes of a start of all
                    // nodes kept every later one waiting, a configuration for ten seconds.
                    if more {
                        Millis::ZERO
                    } else {
                        self.within_doubt(self.limits.get().poll_interval())
                    }
                }
                Err(poll::Error::Compacted) => {
                    log::info!("follow: the history after revision {revision} is compacted");
                    self.alive();
                    return;
                }
                Err(poll::Error::Failed(error)) => {
                    log::debug!("follow: no changes after revision {revision}: {error}");
                    self.view.record_store_call(false);
                    self.outage.failed(reached.asked, self.clock.now());
                    if let Some(hub) = &self.hub {
                        hub.mark_disconnected();
                    }
                    STORE_RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Asks the service for changes.
    ///
    /// While the service is away it is asked so often that its return is known to some hundred
    /// milliseconds, which a doubt about vanished entries rests on.
    async fn ask(
        &mut self,
        revision: u64,
        wait: Millis,
    ) -> HedgedResult<Result<Changes, poll::Error>> {
        let question = || self.poll.changes("", revision, wait);
        if !self.outage.is_going_on() {
            let asked = self.clock.now();
            return HedgedResult {
                result: question().await,
                asked,
                last_unanswered: None,
            };
        }
        let is_answer = |result: &Result<_, _>| !matches!(result, Err(poll::Error::Failed(_)));
        let reached = hedging::hedged(&*self.clock, question, is_answer).await;
        if let Some(in_vain) = reached.last_unanswered {
            self.outage.failed(in_vain, self.clock.now());
        }
        reached
    }

    /// Takes in changes behind a revision that the service told; returns the revision they lead to.
    fn hear_service(&mut self, after: u64, as_of: Millis, mut changes: Changes) -> u64 {
        // Other nodes take changes in the order of their revisions only. Told by key
        // or otherwise, they would all ask for themselves.
        changes.events.sort_by_key(|event| event.revision);
        // The service may be further by revisions without changes. Only what
        // changes lead to can be proved to other nodes.
        let newest = changes.events.last().map(|event| event.revision);
        let revision = after.max(newest.unwrap_or_default());
        let update = Update {
            after,
            revision,
            as_of,
            events: changes.events,
        };
        self.hear(update, "service");
        revision
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
    ///
    /// While the service is away a call that may wait long only delays the moment at which its
    /// return is noticed.
    fn wait(&self) -> Millis {
        if self.outage.is_going_on() {
            return RETURN_WAIT;
        }
        let may_have_subscribers = self
            .source
            .as_ref()
            .is_some_and(|source| source.may_have_subscribers());
        let wait = if may_have_subscribers {
            self.limits.get().leader_poll_timeout()
        } else {
            POLL_TIMEOUT
        };
        self.within_doubt(wait).max(RETURN_WAIT)
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
            let oldest = self.fresh.unwrap_or_default() + self.limits.get().max_update_age();
            let left = oldest.since(self.clock.now());
            if left == Millis::ZERO {
                self.count("nobody");
                source.avoid();
                break;
            }
            if self.doubt_left() == Some(Millis::ZERO) {
                // The service itself tells whether what is doubted has come back.
                break;
            }
            let within = self.within_doubt(left.min(LISTEN));
            match source.next(revision, within).await {
                Received::Update(update) => match validate(update, revision) {
                    Ok(update) => {
                        revision = update.revision;
                        self.hear(update, "node");
                    }
                    Err(refusal) => {
                        self.refuse(refusal);
                        // Whoever is behind catches up, and its age shows if it doesn't.
                        if refusal != RejectReason::Stale {
                            log::warn!("follow: an update is left aside: {}", refusal.name());
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

    /// Takes in changes, wherever they come from, and passes them on.
    fn hear(&mut self, update: Update, from: &'static str) {
        self.count(from);
        self.alive();
        // What changed did so behind what was known before.
        self.take(&update.events, update.as_of);
        self.known = update.revision;
        self.fresh = self.fresh.max(Some(update.as_of));
        self.view.advance_as_of(self.fresh.unwrap_or_default());
        if let Some(hub) = &self.hub {
            hub.publish(update);
        }
    }

    fn count(&self, source: &'static str) {
        if let Some(hub) = &self.hub {
            hub.count_update(source);
        }
    }

    fn refuse(&self, refusal: RejectReason) {
        if let Some(hub) = &self.hub {
            hub.count_rejected(refusal);
        }
    }

    /// Reads everything, and takes each part in as it arrives.
    ///
    /// Where all nodes start at once, the service takes seconds to send thousands of entries to
    /// each. Taken in only when all had arrived, a node's own former claims ended meanwhile.
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
                self.alive();
            }
            self.replace(prefix, &listing.entries, began);
        }
        self.known = revision;
        self.fresh = Some(began);
        self.view.advance_as_of(began);
        let took = self.clock.now().since(began);
        log::info!("follow: everything up to revision {revision} is read, which took {took}");
        Ok(revision)
    }

    /// Whether upstreams stand under a prefix.
    fn holds_upstreams(&self, prefix: &str) -> bool {
        matches!(
            self.dialect.parse_key(&format!("{prefix}any")),
            Key::Upstream(_)
        )
    }
}
