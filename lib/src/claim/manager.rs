//! A node's access to claims, and a request's own claim.

use std::sync::Arc;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::oneshot;

use super::Dependencies;
use super::desk::{Desk, Release, Take};
use super::record::{self, ClaimRecord};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::request::Id;

/// Messages that wait at the actor.
const MAILBOX: usize = 1_024;

/// When to try again after the service couldn't take a claim.
const RETRY_AFTER: Millis = Millis::from_secs(5);

/// Takes claims.
#[derive(Debug, Clone)]
pub struct ClaimManager {
    desk: ActorRef<Desk>,
    parts: Arc<Dependencies>,
}

impl ClaimManager {
    /// Starts the actor; it ends when the last keeper and the last claim are gone.
    #[must_use]
    pub fn start(parts: Dependencies) -> Self {
        let parts = Arc::new(parts);
        let desk = Desk::new(Arc::clone(&parts));
        Self {
            desk: Desk::spawn_with_mailbox(desk, mailbox::bounded(MAILBOX)),
            parts,
        }
    }

    /// Takes the claim on an account's idempotency key for a request.
    ///
    /// # Errors
    ///
    /// [`Code::KeyTaken`] or [`Code::KeyReused`] when another request has it,
    /// [`Code::ClaimUnavailable`] when the service didn't say that it is this one's.
    pub async fn acquire(
        &self,
        account: &str,
        key: &[u8],
        digest: String,
        id: &Id,
    ) -> Result<Claim, Failure> {
        let (reply, answer) = oneshot::channel();
        let take = Take {
            key: record::path(&self.parts.prefix, account, key),
            record: ClaimRecord::new(digest, id, &self.parts.node),
            reply,
        };
        if self.desk.tell(take).try_send().is_err() {
            return Err(unavailable("too many claims wait at this node"));
        }
        // When the time is up, the answer that comes later is dropped, and
        // dropping a claim that nothing was sent on gives it back.
        let timeout = self.parts.limits.timeout.duration();
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(unavailable("the claims' actor has stopped")),
            Err(_) => Err(unavailable("the key-value service didn't answer in time")),
        }
    }
}

/// Refuses a request whose claim can't be taken now.
pub fn unavailable(detail: &str) -> Failure {
    Failure::new(Code::ClaimUnavailable, detail).retry_after(RETRY_AFTER)
}

/// A request's own claim on an idempotency key.
///
/// While it is spent, the request may have run, and the claim outlives it.
/// Dropped unspent, it is given back, so that the caller may try again.
#[derive(Debug)]
pub struct Claim {
    key: String,
    mark: Name,
    revision: u64,
    spent: bool,
    desk: ActorRef<Desk>,
    timeout: Millis,
}

impl Claim {
    /// Makes the claim that the service has just confirmed, written at this revision.
    #[must_use]
    pub fn new(take: &Take, revision: u64, desk: ActorRef<Desk>, timeout: Millis) -> Self {
        Self {
            key: take.key.clone(),
            mark: Name::clone(&take.record.request),
            revision,
            spent: false,
            desk,
            timeout,
        }
    }

    /// Notes whether the request may have run; said before each try and after each failure.
    pub fn set_may_have_run(&mut self, spent: bool) {
        self.spent = spent;
    }

    /// Gives the claim back if nothing was sent on it, and waits until others can see that.
    pub async fn release_unused(mut self) {
        if self.spent {
            return;
        }
        self.spent = true;
        let (reply, done) = oneshot::channel();
        let release = self.release(Some(reply));
        if self.desk.tell(release).try_send().is_ok() {
            // The caller is told "not run" in any case; waiting only makes sure
            // that its next try finds the key free.
            let _ = tokio::time::timeout(self.timeout.duration(), done).await;
        }
    }

    fn release(&mut self, reply: Option<oneshot::Sender<()>>) -> Release {
        Release {
            key: std::mem::take(&mut self.key),
            mark: Name::clone(&self.mark),
            revision: self.revision,
            reply,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.spent {
            let release = self.release(None);
            // If the actor is full the claim stays until its lease ends; the
            // caller's next try is then refused, which is safe.
            let _ = self.desk.tell(release).try_send();
        }
    }
}
