//! What a node has learned of the configuration, and what of it is in force.
//!
//! A pure state machine: service, peers and this node's own changes offer
//! revisions, and it only ever goes forward. A stale replica, an old peer or a
//! service that came back with older data offers what is older; taking it would
//! bring back a template that operators had replaced. It is counted instead.

use std::collections::VecDeque;
use std::sync::Arc;

use prost::Message;
use smallvec::SmallVec;

use super::view::{self, View};
use crate::clock::Millis;
use crate::schema::declaration::Operation;

/// Most operations kept for peers that are a little behind.
const KEPT: usize = 512;
/// Most bytes of kept operations.
const KEPT_BYTES: usize = 1024 * 1024;

/// What became of an offered revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is the newest learned now.
    New,
    /// It isn't newer than what is known.
    Known,
    /// Revisions between are missing; operations or a snapshot must be read.
    Gap,
    /// It can't be read; the old one stays in force.
    Refused(view::Error),
}

/// How long a revision that couldn't be read isn't read again, in milliseconds.
///
/// During an upgrade all older nodes refuse the same revision; reading a whole
/// snapshot at each sign of it would cost the service more than everything else.
pub const REFUSAL_BACKOFF: Millis = Millis::from_secs(600);

/// Where a whole revision came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The key-value service.
    Service,
    /// Another node, or the exchange between nodes.
    Peer,
}

/// A revision that couldn't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The revision.
    pub revision: u64,
    /// Why.
    pub why: view::Error,
    /// Where it came from; one damaged peer mustn't keep the service's revision away.
    pub origin: Origin,
    /// When it was refused.
    pub at: Millis,
}

/// A learned revision that waits for its adapters to be fetched.
#[derive(Debug)]
struct Waiting {
    due: Millis,
    view: Arc<View>,
}

/// A node's knowledge of the configuration.
#[derive(Debug)]
pub struct State {
    learned: Arc<View>,
    in_force: Arc<View>,
    waiting: VecDeque<Waiting>,
    operations: VecDeque<Arc<Operation>>,
    operation_bytes: usize,
    /// Newest revision that anyone spoke of.
    heard: u64,
    /// When the service last had nothing newer than what was learned by then.
    confirmed: Option<Millis>,
    /// One for each origin, so that neither makes the other forgotten.
    refusals: SmallVec<[Refusal; 2]>,
    stale: u64,
}

impl Default for State {
    fn default() -> Self {
        let empty = Arc::new(View::default());
        Self {
            learned: Arc::clone(&empty),
            in_force: empty,
            waiting: VecDeque::new(),
            operations: VecDeque::new(),
            operation_bytes: 0,
            heard: 0,
            confirmed: None,
            refusals: SmallVec::new(),
            stale: 0,
        }
    }
}

impl State {
    /// Returns the newest revision that this node holds whole.
    #[must_use]
    pub fn learned(&self) -> &Arc<View> {
        &self.learned
    }

    /// Returns the revision on which requests are decided.
    #[must_use]
    pub fn in_force(&self) -> &Arc<View> {
        &self.in_force
    }

    /// Returns the newest revision that anyone spoke of.
    #[must_use]
    pub fn heard(&self) -> u64 {
        self.heard.max(self.learned.revision())
    }

    /// Returns the newest revision that couldn't be read, unless a later one could.
    #[must_use]
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusals.iter().max_by_key(|refusal| refusal.revision)
    }

    /// Whether a revision from there was refused so lately that reading it again is a waste.
    #[must_use]
    pub fn is_refused(&self, revision: u64, origin: Origin, now: Millis) -> bool {
        self.refusals.iter().any(|refusal| {
            refusal.revision == revision
                && refusal.origin == origin
                && now.since(refusal.at) < REFUSAL_BACKOFF
        })
    }

    /// Returns how often something older than what is known was offered as the newest.
    #[must_use]
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Returns the time since the learned revision was confirmed as the newest, if it ever was.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Takes an operation. The new revision waits until `due` before it is in force.
    pub fn offer(
        &mut self,
        operation: &Arc<Operation>,
        now: Millis,
        due: impl FnOnce(&View, &View) -> Millis,
    ) -> Taken {
        let revision = operation.revision;
        self.heard = self.heard.max(revision);
        if revision <= self.learned.revision() || self.is_refused(revision, Origin::Peer, now) {
            return Taken::Known;
        }
        if revision != self.learned.revision() + 1 || is_omitted(operation) {
            return Taken::Gap;
        }
        let changed = self
            .learned
            .apply_differences(revision, &operation.differences);
        let next = match changed {
            Ok(view) if view.digest().bytes() == operation.view_digest => view,
            Ok(_) => return self.refuse(revision, view::Error::Digest, Origin::Peer, now),
            // A difference that doesn't start from here means that the two
            // histories differ; a snapshot settles it.
            Err(view::Error::Unlike(_)) => return Taken::Gap,
            Err(error) => return self.refuse(revision, error, Origin::Peer, now),
        };
        self.keep(operation);
        let due = due(&self.learned, &next);
        self.advance(Arc::new(next), due);
        Taken::New
    }

    /// Takes a whole revision, as a snapshot has it, with its writer's digest.
    pub fn install(
        &mut self,
        view: View,
        digest: &[u8],
        origin: Origin,
        now: Millis,
        due: impl FnOnce(&View, &View) -> Millis,
    ) -> Taken {
        let revision = view.revision();
        self.heard = self.heard.max(revision);
        if revision <= self.learned.revision() {
            return Taken::Known;
        }
        if view.digest().bytes() != digest {
            return self.refuse(revision, view::Error::Digest, origin, now);
        }
        // Operations before the snapshot aren't linked to those after it.
        self.operations.clear();
        self.operation_bytes = 0;
        let due = due(&self.learned, &view);
        self.advance(Arc::new(view), due);
        Taken::New
    }

    /// Notes that the service or a peer spoke of a revision.
    pub fn hear(&mut self, revision: u64) {
        self.heard = self.heard.max(revision);
    }

    /// Notes that the service held this revision as the newest at a time.
    ///
    /// Returns whether it is older than what this node has: the answer of a
    /// stale replica, or a service that lost data.
    pub fn confirm(&mut self, revision: u64, at: Millis) -> bool {
        self.hear(revision);
        if revision < self.learned.revision() {
            self.stale += 1;
            return true;
        }
        if revision == self.learned.revision() {
            self.confirmed = self.confirmed.max(Some(at));
        }
        false
    }

    /// Puts in force what is due. Returns the new view, if it changed.
    pub fn release(&mut self, now: Millis) -> Option<Arc<View>> {
        let mut newest = None;
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.due <= now)
        {
            newest = self.waiting.pop_front();
        }
        let view = newest?.view;
        self.in_force = Arc::clone(&view);
        Some(view)
    }

    /// Returns when the next revision is to be in force.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.waiting.front().map(|waiting| waiting.due)
    }

    /// Returns the operations after a revision, or none when a snapshot is needed.
    #[must_use]
    pub fn since(&self, revision: u64, most_bytes: usize) -> Option<Vec<Arc<Operation>>> {
        let first = self.operations.front()?.revision;
        if revision + 1 < first || revision >= self.learned.revision() {
            return None;
        }
        let skip = usize::try_from(revision + 1 - first).ok()?;
        let mut bytes = 0;
        let operations: Vec<_> = self
            .operations
            .iter()
            .skip(skip)
            .take_while(|operation| {
                bytes += operation.encoded_len();
                bytes <= most_bytes
            })
            .cloned()
            .collect();
        (!operations.is_empty()).then_some(operations)
    }

    /// Keeps the old revision because a newer one can't be read.
    pub fn refuse(
        &mut self,
        revision: u64,
        why: view::Error,
        origin: Origin,
        now: Millis,
    ) -> Taken {
        self.heard = self.heard.max(revision);
        self.refusals.retain(|refusal| refusal.origin != origin);
        self.refusals.push(Refusal {
            revision,
            why: why.clone(),
            origin,
            at: now,
        });
        Taken::Refused(why)
    }

    fn keep(&mut self, operation: &Arc<Operation>) {
        self.operation_bytes += operation.encoded_len();
        self.operations.push_back(Arc::clone(operation));
        while self.operations.len() > KEPT || self.operation_bytes > KEPT_BYTES {
            let Some(oldest) = self.operations.pop_front() else {
                return;
            };
            self.operation_bytes -= oldest.encoded_len();
        }
    }

    fn advance(&mut self, next: Arc<View>, due: Millis) {
        // A revision is in force no sooner than the one before it.
        let due = self.waiting.back().map_or(due, |last| due.max(last.due));
        self.waiting.push_back(Waiting {
            due,
            view: Arc::clone(&next),
        });
        self.learned = next;
        let learned = self.learned.revision();
        self.refusals.retain(|refusal| refusal.revision > learned);
    }
}

/// Whether an operation leaves out its differences because they don't fit.
#[must_use]
pub fn is_omitted(operation: &Operation) -> bool {
    operation.differences.is_empty() && operation.difference_count > 0
}
