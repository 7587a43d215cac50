//! State machine of the configuration revisions that a node has learned and activated.
//!
//! It does no I/O. The service, peers and this node's own changes offer revisions,
//! and the learned revision only increases. A stale replica, an outdated peer or a
//! service restored from a backup offers older revisions; accepting one would bring
//! back a template that operators had replaced, so it is only counted.

use std::collections::VecDeque;
use std::sync::Arc;

use prost::Message;
use smallvec::SmallVec;

use super::view::{self, View};
use crate::clock::Millis;
use crate::schema::declaration::Operation;

/// Maximum number of operations kept for peers that are slightly behind.
const MAX_KEPT_OPERATIONS: usize = 512;
/// Maximum size of the kept operations, in bytes.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Outcome of offering a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is now the newest learned revision.
    New,
    /// It isn't newer than the learned revision, or was rejected recently.
    Known,
    /// It doesn't follow the learned revision; the operations between or a snapshot must be read.
    Gap,
    /// It can't be decoded; the previous revision stays active.
    Rejected(view::Error),
}

/// How long a rejected revision isn't read again, in milliseconds.
///
/// During an upgrade all older nodes reject the same revision. Reading a whole
/// snapshot each time it is offered would be the largest load on the service.
pub const REJECTION_BACKOFF: Millis = Millis::from_secs(600);

/// Where a revision came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The key-value service.
    Service,
    /// Another node; single operations count as a peer's wherever they came from.
    Peer,
}

/// A revision that couldn't be decoded or whose digest didn't match.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The revision.
    pub revision: u64,
    /// Why it was rejected.
    pub reason: view::Error,
    /// Where it came from; a faulty peer must not block the service's revision.
    pub origin: Origin,
    /// When it was rejected.
    pub rejected_at: Millis,
}

/// A learned revision that isn't active yet, because its adapters are being prefetched.
#[derive(Debug)]
struct PendingView {
    activate_at: Millis,
    view: Arc<View>,
}

/// The revisions that a node has learned and activated.
#[derive(Debug)]
pub struct ConfigState {
    learned: Arc<View>,
    in_force: Arc<View>,
    pending: VecDeque<PendingView>,
    operations: VecDeque<Arc<Operation>>,
    operation_bytes: usize,
    /// Newest revision that the service or a peer reported.
    newest_heard: u64,
    /// When the service last confirmed the revision learned by then as its newest.
    confirmed_at: Option<Millis>,
    /// The latest rejection of each origin, so that neither origin's replaces the other's.
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
    /// Returns the newest learned revision, active or not.
    #[must_use]
    pub fn learned(&self) -> &Arc<View> {
        &self.learned
    }

    /// Returns the active revision, which requests use.
    #[must_use]
    pub fn in_force(&self) -> &Arc<View> {
        &self.in_force
    }

    /// Returns the newest revision that the service or a peer reported.
    #[must_use]
    pub fn newest_heard(&self) -> u64 {
        self.newest_heard.max(self.learned.revision())
    }

    /// Returns the newest rejection, unless a later revision was learned.
    #[must_use]
    pub fn newest_rejection(&self) -> Option<&Rejection> {
        self.rejections
            .iter()
            .max_by_key(|rejection| rejection.revision)
    }

    /// Whether a revision from this origin was rejected less than [`REJECTION_BACKOFF`] ago.
    #[must_use]
    pub fn is_rejected(&self, revision: u64, origin: Origin, now: Millis) -> bool {
        self.rejections.iter().any(|rejection| {
            rejection.revision == revision
                && rejection.origin == origin
                && now.since(rejection.rejected_at) < REJECTION_BACKOFF
        })
    }

    /// Returns how often a revision older than the learned one was reported as the newest.
    #[must_use]
    pub fn stale_offers(&self) -> u64 {
        self.stale_offers
    }

    /// Returns the time since a learned revision was confirmed as the newest, if one ever was.
    #[must_use]
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Applies an operation that follows the learned revision; `activate_at` gives the activation time.
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
            // The operation is based on another history than the learned one;
            // a snapshot resolves it.
            Err(view::Error::BaseMismatch(_)) => return OfferOutcome::Gap,
            Err(error) => return self.reject(revision, error, Origin::Peer, now),
        };
        self.keep_operation(operation);
        let activate_at = activate_at(&self.learned, &next);
        self.learn(Arc::new(next), activate_at);
        OfferOutcome::New
    }

    /// Installs a complete revision, such as one from a snapshot, after checking its writer's digest.
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
        // The kept operations must be contiguous, and they don't reach this revision.
        self.operations.clear();
        self.operation_bytes = 0;
        let activate_at = activate_at(&self.learned, &view);
        self.learn(Arc::new(view), activate_at);
        OfferOutcome::New
    }

    /// Records that the service or a peer reported a revision.
    pub fn record_heard(&mut self, revision: u64) {
        self.newest_heard = self.newest_heard.max(revision);
    }

    /// Records that `revision` was the service's newest at time `at`.
    ///
    /// Returns whether it is older than the learned revision, which means a
    /// stale replica or a service that lost data.
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

    /// Activates the newest pending view that is due and returns it, if there is one.
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

    /// Returns when the next pending view is due.
    #[must_use]
    pub fn next_activation(&self) -> Option<Millis> {
        self.pending.front().map(|pending| pending.activate_at)
    }

    /// Returns operations after a revision within `max_bytes`, or none if a snapshot is needed.
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

    /// Records that a revision was rejected; the learned one stays.
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
        // Revisions are activated in order.
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

/// Whether an operation omits its differences because they exceed the inline size.
#[must_use]
pub fn omits_differences(operation: &Operation) -> bool {
    operation.differences.is_empty() && operation.difference_count > 0
}
