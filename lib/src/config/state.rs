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
const MAX_KEPT_OPERATIONS: usize = 512;
/// Most bytes of kept operations.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// What became of an offered revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is the newest learned now.
    New,
    /// It isn't newer than what is known.
    Known,
    /// Revisions between are missing; operations or a snapshot must be read.
    Gap,
    /// It can't be read; the old one stays in force.
    Rejected(view::Error),
}

/// How long a revision that couldn't be read isn't read again, in milliseconds.
///
/// During an upgrade all older nodes refuse the same revision; reading a whole
/// snapshot at each sign of it would cost the service more than everything else.
pub const REJECTION_BACKOFF: Millis = Millis::from_secs(600);

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
pub struct Rejection {
    /// The revision.
    pub revision: u64,
    /// Why.
    pub reason: view::Error,
    /// Where it came from; one damaged peer mustn't keep the service's revision away.
    pub origin: Origin,
    /// When it was refused.
    pub rejected_at: Millis,
}

/// A learned revision that waits for its adapters to be fetched.
#[derive(Debug)]
struct PendingView {
    activate_at: Millis,
    view: Arc<View>,
}

/// A node's knowledge of the configuration.
#[derive(Debug)]
pub struct ConfigState {
    learned: Arc<View>,
    in_force: Arc<View>,
    pending: VecDeque<PendingView>,
    operations: VecDeque<Arc<Operation>>,
    operation_bytes: usize,
    /// Newest revision that anyone spoke of.
    newest_heard: u64,
    /// When the service last had nothing newer than what was learned by then.
    confirmed_at: Option<Millis>,
    /// One for each origin, so that neither makes the other forgotten.
    rejections: SmallVec<[Rejection; 2]>,
    stale_offers: u64,
}

impl Default for ConfigState {
    fn default() -> Self {
        let empty = Arc::new(View::default());
        Self {
            learned: Arc::clone(&empty),
            in_force: empty,
            pending: VecDeque::new(),
            operations: VecDeque::new(),
            operation_bytes: 0,
            newest_heard: 0,
            confirmed_at: None,
            rejections: SmallVec::new(),
            stale_offers: 0,
        }
    }
}

impl ConfigState {
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
    pub fn newest_heard(&self) -> u64 {
        self.newest_heard.max(self.learned.revision())
    }

    /// Returns the newest revision that couldn't be read, unless a later one could.
    #[must_use]
    pub fn newest_rejection(&self) -> Option<&Rejection> {
        self.rejections
            .iter()
            .max_by_key(|rejection| rejection.revision)
    }

    /// Whether a revision from there was refused so lately that reading it again is a waste.
    #[must_use]
    pub fn is_rejected(&self, revision: u64, origin: Origin, now: Millis) -> bool {
        self.rejections.iter().any(|rejection| {
            rejection.revision == revision
                && rejection.origin == origin
                && now.since(rejection.rejected_at) < REJECTION_BACKOFF
        })
    }

    /// Returns how often something older than what is known was offered as the newest.
    #[must_use]
    pub fn stale_offers(&self) -> u64 {
        self.stale_offers
    }

    /// Returns the time since the learned revision was confirmed as the newest, if it ever was.
    #[must_use]
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Takes an operation. The new revision waits until `activate_at` before it is in force.
    pub fn offer(
        &mut self,
        operation: &Arc<Operation>,
        now: Millis,
        activate_at: impl FnOnce(&View, &View) -> Millis,
    ) -> OfferOutcome {
        let revision = operation.revision;
        self.newest_heard = self.newest_heard.max(revision);
        if revision <= self.learned.revision() || self.is_rejected(revision, Origin::Peer, now) {
            return OfferOutcome::Known;
        }
        if revision != self.learned.revision() + 1 || omits_differences(operation) {
            return OfferOutcome::Gap;
        }
        let changed = self
            .learned
            .apply_differences(revision, &operation.differences);
        let next = match changed {
            Ok(view) if view.digest().to_bytes() == operation.view_digest => view,
            Ok(_) => return self.reject(revision, view::Error::DigestMismatch, Origin::Peer, now),
            // A difference that doesn't start from here means that the two
            // histories differ; a snapshot settles it.
            Err(view::Error::BaseMismatch(_)) => return OfferOutcome::Gap,
            Err(error) => return self.reject(revision, error, Origin::Peer, now),
        };
        self.keep_operation(operation);
        let activate_at = activate_at(&self.learned, &next);
        self.learn(Arc::new(next), activate_at);
        OfferOutcome::New
    }

    /// Takes a whole revision, as a snapshot has it, with its writer's digest.
    pub fn install(
        &mut self,
        view: View,
        digest: &[u8],
        origin: Origin,
        now: Millis,
        activate_at: impl FnOnce(&View, &View) -> Millis,
    ) -> OfferOutcome {
        let revision = view.revision();
        self.newest_heard = self.newest_heard.max(revision);
        if revision <= self.learned.revision() {
            return OfferOutcome::Known;
        }
        if view.digest().to_bytes() != digest {
            return self.reject(revision, view::Error::DigestMismatch, origin, now);
        }
        // Operations before the snapshot aren't linked to those after it.
        self.operations.clear();
        self.operation_bytes = 0;
        let activate_at = activate_at(&self.learned, &view);
        self.learn(Arc::new(view), activate_at);
        OfferOutcome::New
    }

    /// Notes that the service or a peer spoke of a revision.
    pub fn record_heard(&mut self, revision: u64) {
        self.newest_heard = self.newest_heard.max(revision);
    }

    /// Notes that the service held this revision as the newest at a time.
    ///
    /// Returns whether it is older than what this node has: the answer of a
    /// stale replica, or a service that lost data.
    pub fn record_confirmed(&mut self, revision: u64, at: Millis) -> bool {
        self.record_heard(revision);
        if revision < self.learned.revision() {
            self.stale_offers += 1;
            return true;
        }
        if revision == self.learned.revision() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        false
    }

    /// Puts in force what is due. Returns the new view, if it changed.
    pub fn activate_due(&mut self, now: Millis) -> Option<Arc<View>> {
        let mut newest = None;
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.activate_at <= now)
        {
            newest = self.pending.pop_front();
        }
        let view = newest?.view;
        self.in_force = Arc::clone(&view);
        Some(view)
    }

    /// Returns when the next revision is to be in force.
    #[must_use]
    pub fn next_activation(&self) -> Option<Millis> {
        self.pending.front().map(|pending| pending.activate_at)
    }

    /// Returns the operations after a revision, or none when a snapshot is needed.
    #[must_use]
    pub fn operations_since(&self, revision: u64, max_bytes: usize) -> Option<Vec<Arc<Operation>>> {
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
                bytes <= max_bytes
            })
            .cloned()
            .collect();
        (!operations.is_empty()).then_some(operations)
    }

    /// Keeps the old revision because a newer one can't be read.
    pub fn reject(
        &mut self,
        revision: u64,
        reason: view::Error,
        origin: Origin,
        now: Millis,
    ) -> OfferOutcome {
        self.newest_heard = self.newest_heard.max(revision);
        self.rejections
            .retain(|rejection| rejection.origin != origin);
        self.rejections.push(Rejection {
            revision,
            reason: reason.clone(),
            origin,
            rejected_at: now,
        });
        OfferOutcome::Rejected(reason)
    }

    fn keep_operation(&mut self, operation: &Arc<Operation>) {
        self.operation_bytes += operation.encoded_len();
        self.operations.push_back(Arc::clone(operation));
        while self.operations.len() > MAX_KEPT_OPERATIONS || self.operation_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.operations.pop_front() else {
                return;
            };
            self.operation_bytes -= oldest.encoded_len();
        }
    }

    fn learn(&mut self, next: Arc<View>, activate_at: Millis) {
        // A revision is in force no sooner than the one before it.
        let activate_at = self
            .pending
            .back()
            .map_or(activate_at, |last| activate_at.max(last.activate_at));
        self.pending.push_back(PendingView {
            activate_at,
            view: Arc::clone(&next),
        });
        self.learned = next;
        let learned = self.learned.revision();
        self.rejections
            .retain(|rejection| rejection.revision > learned);
    }
}

/// Whether an operation leaves out its differences because they don't fit.
#[must_use]
pub fn omits_differences(operation: &Operation) -> bool {
    operation.differences.is_empty() && operation.difference_count > 0
}
