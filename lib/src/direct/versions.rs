//! Adapter versions that operators declare, and the deadlines for requests on older ones.
//!
//! Once [`Limits::version_rollout`] has passed since a declaration was acknowledged, no request may begin
//! on an older version, whatever is declared afterwards. A request begins with its first event at
//! the engine, not when it is sent: in between it waits in the engine's queue, and no margin
//! bounds that time. Each sent request is therefore watched until it has begun. See
//! docs/design/0012-versions.md.
//!
//! [`Limits::version_rollout`]: super::limits::Limits::version_rollout

use std::collections::HashSet;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;

use super::entry::Frontend;
use super::orders::LoadOutcome;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// Time before the deadline at which a request that hasn't begun is withdrawn.
///
/// A withdrawal takes no longer, from closing the connection until the engine no longer begins
/// the request: the way to the engine, a step of its batch, and a late timer on a small VM.
pub const WITHDRAWAL_LEAD: Millis = Millis(150);

/// Time before the withdrawal at which the engine is asked to load the newest version.
///
/// The load makes the engine reject requests that wait for an older version. It takes a call to
/// the owner and an order, and either may have to be retried.
pub const REPLACEMENT_LEAD: Millis = Millis(850);

/// Pause before a failed replacement is tried again.
const REPLACEMENT_RETRY_PAUSE: Millis = Millis(50);

/// Longest sleep before the remaining time is computed again.
///
/// Timers stop while the VM is suspended, and the limits in force may change.
const DEADLINE_POLL_INTERVAL: Millis = Millis(250);

/// A version that operators declared as the newest one of its adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declaration {
    /// The version.
    pub version: u64,
    /// The earliest time at which it can have been declared: the last time at which this node
    /// knew that it wasn't. None if the node knew nothing before, so that it may have been
    /// declared at any time.
    ///
    /// Counting from when the node learns of it instead would extend the use of older versions
    /// by the time that changes take to arrive.
    pub since: Option<Millis>,
}

impl Declaration {
    /// Returns until when a request may begin on a version older than this one.
    fn older_versions_deadline(&self, limit: Millis) -> Millis {
        self.since.map_or(Millis::ZERO, |since| since + limit)
    }
}

/// The declarations of one adapter that still matter, in ascending order of versions.
#[derive(Debug, Default)]
pub struct Declarations(SmallVec<[Declaration; 2]>);

impl Declarations {
    /// Adds a declaration; returns whether it is newer than all others.
    ///
    /// Once `limit` has passed since a declaration, all older versions are past their deadlines,
    /// so the declarations before it are dropped.
    pub fn declare(&mut self, declaration: Declaration, limit: Millis) -> bool {
        if self
            .newest()
            .is_some_and(|newest| newest.version >= declaration.version)
        {
            return false;
        }
        let since = declaration.since.unwrap_or_default();
        let has_passed = |one: &Declaration| one.older_versions_deadline(limit) <= since;
        if let Some(last) = self.0.iter().rposition(has_passed) {
            self.0.drain(..last);
        }
        self.0.push(declaration);
        true
    }

    /// Returns the newest declaration.
    #[must_use]
    pub fn newest(&self) -> Option<Declaration> {
        self.0.last().copied()
    }

    /// Returns until when a request may begin on a version; none if no newer one is declared.
    #[must_use]
    pub fn begin_deadline(&self, version: u64, limit: Millis) -> Option<Millis> {
        let newer = self.0.iter().filter(|one| one.version > version);
        newer.map(|one| one.older_versions_deadline(limit)).min()
    }
}

/// Watches the deadline of a request that was sent and hasn't begun.
///
/// The version that was the newest when the request was sent can be replaced while it waits.
#[derive(Debug, Clone)]
pub struct VersionWatch {
    frontend: Arc<Frontend>,
    upstream: Arc<Upstream>,
    adapter: Name,
    /// The version that the engine is known to hold; 0 stands for the newest when it was loaded.
    version: u64,
    /// Whether this node can tell when the request has begun.
    is_beginning_visible: bool,
}

impl VersionWatch {
    /// Creates the watch of a request for an adapter at an upstream.
    ///
    /// A response that isn't streamed shows nothing until it is complete, so a withdrawal could
    /// hit a request that began long ago. In that case only the engine can tell, by rejecting
    /// requests that haven't begun.
    #[must_use]
    pub fn new(
        frontend: Arc<Frontend>,
        upstream: Arc<Upstream>,
        adapter: Name,
        version: u64,
        is_beginning_visible: bool,
    ) -> Self {
        Self {
            frontend,
            upstream,
            adapter,
            version,
            is_beginning_visible,
        }
    }

    /// Whether it is too late for the request to begin.
    #[must_use]
    pub fn has_expired(&self) -> bool {
        self.time_left(WITHDRAWAL_LEAD) == Some(Millis::ZERO)
    }

    /// Whether a newer version than the request was sent for has been declared.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.frontend
            .begin_deadline(&self.adapter, self.version)
            .is_some()
    }

    /// Waits until the request must be withdrawn.
    pub async fn expired(&self) {
        self.wait_until(REPLACEMENT_LEAD + WITHDRAWAL_LEAD).await;
        let withdrawal = async {
            self.wait_until(WITHDRAWAL_LEAD).await;
            if !self.is_beginning_visible {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = withdrawal => {}
            never = self.replace_version() => match never {},
        }
    }

    /// Returns the time until `lead` before the deadline, if there is one.
    fn time_left(&self, lead: Millis) -> Option<Millis> {
        let begin_deadline = self.frontend.begin_deadline(&self.adapter, self.version)?;
        Some(begin_deadline.since(self.frontend.clock.now() + lead))
    }

    /// Waits until `lead` before the deadline.
    async fn wait_until(&self, lead: Millis) {
        loop {
            let changed = self.frontend.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            match self.time_left(lead) {
                Some(Millis::ZERO) => return,
                Some(left) => {
                    let _ =
                        tokio::time::timeout(left.min(DEADLINE_POLL_INTERVAL).duration(), changed)
                            .await;
                }
                None => changed.await,
            }
        }
    }

    /// Loads the newest version, so that the engine rejects requests that wait for an older one.
    ///
    /// A rejected request has not run, so it is sent elsewhere even if it may run at most once.
    /// Engines refuse orders temporarily, so this retries for as long as the request waits.
    async fn replace_version(&self) -> Infallible {
        while !self.try_replace().await {
            tokio::time::sleep(REPLACEMENT_RETRY_PAUSE.duration()).await;
        }
        std::future::pending().await
    }

    /// Tries the replacement once, unless another request at the engine does; returns whether the
    /// newest version is present.
    async fn try_replace(&self) -> bool {
        let Some(newest) = self.frontend.view.newest(&self.adapter) else {
            return true;
        };
        let replacements = &self.frontend.replacements;
        let Some(_guard) = replacements.try_begin(&self.upstream, &self.adapter) else {
            return false;
        };
        let controllers = &self.frontend.controllers;
        let load = controllers.load(&self.upstream, &self.adapter, newest.version);
        let outcome = load.await;
        log::info!(
            upstream = &*self.upstream.incarnation,
            adapter = &*self.adapter,
            version = newest.version,
            outcome = outcome.name();
            "versions: replaced where requests wait"
        );
        matches!(outcome, LoadOutcome::Ready(held) if held >= newest.version)
    }
}

/// Waits until a watched request must be withdrawn; forever if there is no watch.
pub async fn expired(watch: Option<&VersionWatch>) {
    match watch {
        Some(watch) => watch.expired().await,
        None => std::future::pending().await,
    }
}

/// Replacements in progress, so that many requests at one engine cause one replacement.
#[derive(Debug, Default)]
pub struct PendingReplacements(Mutex<HashSet<(Name, Name)>>);

/// Prevents the same replacement from being started again until it is dropped.
#[derive(Debug)]
struct ReplacementGuard<'a> {
    replacements: &'a PendingReplacements,
    key: (Name, Name),
}

impl PendingReplacements {
    /// Begins to replace an adapter's version at an upstream; none if that is in progress.
    fn try_begin(&self, upstream: &Upstream, adapter: &Name) -> Option<ReplacementGuard<'_>> {
        let key = (Name::clone(&upstream.incarnation), Name::clone(adapter));
        let is_first = self.in_progress().insert(key.clone());
        is_first.then_some(ReplacementGuard {
            replacements: self,
            key,
        })
    }

    fn in_progress(&self) -> MutexGuard<'_, HashSet<(Name, Name)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ReplacementGuard<'_> {
    fn drop(&mut self) {
        self.replacements.in_progress().remove(&self.key);
    }
}
