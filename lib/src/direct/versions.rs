//! Versions of adapters as operators declare them, and until when each may be begun on.
//!
//! A declaration forbids all versions below it once [`Limits::version_rollout`] has passed since it was
//! acknowledged, whatever is declared behind it. The promise holds where a request begins, with
//! its first event at the engine, and not where it is sent: in between lies the engine's queue,
//! whose length no margin bounds. So each send is watched until it has begun. See
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

/// Time that a withdrawal takes at most, from the closing of its connection until the engine
/// no longer begins the request.
///
/// The way to the engine, a step of its batch, and a late timer on a small VM.
pub const WITHDRAWAL_LEAD: Millis = Millis(150);

/// Time before a withdrawal at which the engine is to load the newest version.
///
/// The order has the engine reject what waits on an older one. It takes a question to the owner
/// and an order, either of which may have to be repeated.
pub const REPLACEMENT_LEAD: Millis = Millis(850);

/// Pause after which an engine that refused is asked once more to replace a version.
const REPLACEMENT_PAUSE: Millis = Millis(50);

/// The longest sleep before the time that is left is looked at again.
///
/// Timers stand while the VM is suspended, and the limits in force may change.
const LOOK: Millis = Millis(250);

/// A version that operators declared as the newest of its adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declaration {
    /// The version.
    pub version: u64,
    /// When it may have been declared at the earliest: until then this node knew of none. None
    /// where the node knew nothing before: it may have been declared at any time.
    ///
    /// Counted from when the node hears of it, an old version would be begun on for as much
    /// longer as changes take to arrive.
    pub since: Option<Millis>,
}

impl Declaration {
    /// Returns until when a request may begin on a version below this one.
    fn forbids_from(&self, limit: Millis) -> Millis {
        self.since.map_or(Millis::ZERO, |since| since + limit)
    }
}

/// The declarations of one adapter that still count, in order.
#[derive(Debug, Default)]
pub struct Declarations(SmallVec<[Declaration; 2]>);

impl Declarations {
    /// Takes in a declaration; returns whether it is newer than all before.
    ///
    /// A declaration whose `limit` has passed forbids what is below it for good, so those before
    /// it are dropped.
    pub fn declare(&mut self, declaration: Declaration, limit: Millis) -> bool {
        if self
            .newest()
            .is_some_and(|newest| newest.version >= declaration.version)
        {
            return false;
        }
        let since = declaration.since.unwrap_or_default();
        let passed = |one: &Declaration| one.forbids_from(limit) <= since;
        if let Some(last) = self.0.iter().rposition(passed) {
            self.0.drain(..last);
        }
        self.0.push(declaration);
        true
    }

    /// Returns the newest.
    #[must_use]
    pub fn newest(&self) -> Option<Declaration> {
        self.0.last().copied()
    }

    /// Returns until when a request may begin on a version; none where nothing bounds it.
    #[must_use]
    pub fn begin_deadline(&self, version: u64, limit: Millis) -> Option<Millis> {
        let newer = self.0.iter().filter(|one| one.version > version);
        newer.map(|one| one.forbids_from(limit)).min()
    }
}

/// Watches whether a request that was sent, and hasn't begun, may still begin where it is.
///
/// A version that was the newest when the request was sent can be replaced while it waits.
#[derive(Debug, Clone)]
pub struct VersionWatch {
    frontend: Arc<Frontend>,
    upstream: Arc<Upstream>,
    adapter: Name,
    /// The version that its engine is believed to hold; 0 is whatever was the newest at its load.
    version: u64,
    /// Whether the request can be seen to begin.
    shows_beginning: bool,
}

impl VersionWatch {
    /// Watches a request for an adapter at an upstream.
    ///
    /// An answer that isn't a stream shows nothing until it is whole: withdrawn, it could be one
    /// that began long before. There only the engine can tell, by rejecting what hasn't begun.
    #[must_use]
    pub fn new(
        frontend: Arc<Frontend>,
        upstream: Arc<Upstream>,
        adapter: Name,
        version: u64,
        shows_beginning: bool,
    ) -> Self {
        Self {
            frontend,
            upstream,
            adapter,
            version,
            shows_beginning,
        }
    }

    /// Whether the request may no longer begin there.
    #[must_use]
    pub fn has_expired(&self) -> bool {
        self.left(WITHDRAWAL_LEAD) == Some(Millis::ZERO)
    }

    /// Whether a newer version than the request was sent for has been declared.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.frontend
            .begin_deadline(&self.adapter, self.version)
            .is_some()
    }

    /// Waits until the request has to be withdrawn.
    pub async fn expired(&self) {
        self.until(REPLACEMENT_LEAD + WITHDRAWAL_LEAD).await;
        let withdrawal = async {
            self.until(WITHDRAWAL_LEAD).await;
            if !self.shows_beginning {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = withdrawal => {}
            never = self.replace() => match never {},
        }
    }

    /// Returns the time until `lead` before the last moment to begin, if there is one.
    fn left(&self, lead: Millis) -> Option<Millis> {
        let begin_deadline = self.frontend.begin_deadline(&self.adapter, self.version)?;
        Some(begin_deadline.since(self.frontend.clock.now() + lead))
    }

    async fn until(&self, lead: Millis) {
        loop {
            let changed = self.frontend.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            match self.left(lead) {
                Some(Millis::ZERO) => return,
                Some(left) => {
                    let _ = tokio::time::timeout(left.min(LOOK).duration(), changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Has the engine load the newest version, which rejects what waits there on an older one.
    ///
    /// A rejected request has not run, and goes on elsewhere even if it may run once only. An
    /// engine refuses orders for moments, so it is asked for as long as the request waits.
    async fn replace(&self) -> Infallible {
        while !self.has_replaced().await {
            tokio::time::sleep(REPLACEMENT_PAUSE.duration()).await;
        }
        std::future::pending().await
    }

    /// Asks once, unless another request of this queue does; true if the newest one is there.
    async fn has_replaced(&self) -> bool {
        let Some(newest) = self.frontend.view.newest(&self.adapter) else {
            return true;
        };
        let replacements = &self.frontend.replacements;
        let Some(_asking) = replacements.begin(&self.upstream, &self.adapter) else {
            return false;
        };
        let controllers = &self.frontend.controllers;
        let load = controllers.load(&self.upstream, &self.adapter, newest.version);
        let loaded = load.await;
        log::info!(
            upstream = &*self.upstream.incarnation,
            adapter = &*self.adapter,
            version = newest.version,
            outcome = loaded.name();
            "versions: replaced where requests wait"
        );
        matches!(loaded, LoadOutcome::Ready(held) if held >= newest.version)
    }
}

/// Waits until a watched request has to be withdrawn; for ever if nothing watches it.
pub async fn expired(watch: Option<&VersionWatch>) {
    match watch {
        Some(watch) => watch.expired().await,
        None => std::future::pending().await,
    }
}

/// Replacements that are asked for, so that the many requests of one queue ask once.
#[derive(Debug, Default)]
pub struct PendingReplacements(Mutex<HashSet<(Name, Name)>>);

/// Keeps others from asking for the same replacement until it is dropped.
#[derive(Debug)]
struct Asking<'a> {
    replacements: &'a PendingReplacements,
    key: (Name, Name),
}

impl PendingReplacements {
    /// Returns leave to ask an upstream to replace an adapter's version; none if others ask.
    fn begin(&self, upstream: &Upstream, adapter: &Name) -> Option<Asking<'_>> {
        let key = (Name::clone(&upstream.incarnation), Name::clone(adapter));
        let is_first = self.asked().insert(key.clone());
        is_first.then_some(Asking {
            replacements: self,
            key,
        })
    }

    fn asked(&self) -> MutexGuard<'_, HashSet<(Name, Name)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.replacements.asked().remove(&self.key);
    }
}
