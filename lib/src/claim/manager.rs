//! Access to claims for a node's requests, and the claim that a request holds.

use std::sync::Arc;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::oneshot;

use super::Dependencies;
use super::actor::{AcquireClaim, ClaimActor, ReleaseClaim};
use super::record::{self, ClaimRecord};
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::request::Id;

/// Most messages queued at the actor.
const MAILBOX_CAPACITY: usize = 1_024;

/// Delay that callers are told to wait before a retry when claims are unavailable.
const RETRY_AFTER: Millis = Millis::from_secs(5);

/// Acquires claims on idempotency keys; a handle to the claims' actor.
#[derive(Debug, Clone)]
pub struct ClaimManager {
    actor: ActorRef<ClaimActor>,
    dependencies: Arc<Dependencies>,
}

impl ClaimManager {
    /// Starts the actor, which stops when the last manager and the last claim are dropped.
    #[must_use]
    pub fn start(dependencies: Dependencies) -> Self {
        let dependencies = Arc::new(dependencies);
        let actor = ClaimActor::new(Arc::clone(&dependencies));
        Self {
            actor: ClaimActor::spawn_with_mailbox(actor, mailbox::bounded(MAILBOX_CAPACITY)),
            dependencies,
        }
    }

    /// Acquires the claim on an account's idempotency key for a request.
    ///
    /// # Errors
    ///
    /// [`Code::KeyTaken`] or [`Code::KeyReused`] when another request holds it,
    /// [`Code::ClaimUnavailable`] when the service didn't confirm it in time.
    pub async fn acquire(
        &self,
        account: &str,
        key: &[u8],
        digest: String,
        id: &Id,
    ) -> Result<Claim, Failure> {
        let (reply, acquired) = oneshot::channel();
        let acquire = AcquireClaim {
            key: record::store_key(&self.dependencies.prefix, account, key),
            record: ClaimRecord::new(digest, id, &self.dependencies.node),
            reply,
        };
        if self.actor.tell(acquire).try_send().is_err() {
            return Err(unavailable("too many claims wait at this node"));
        }
        // After a timeout the reply is dropped when it arrives. Dropping a claim
        // that no request was sent under releases it.
        let timeout = self.dependencies.limits.timeout.duration();
        match tokio::time::timeout(timeout, acquired).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(unavailable("the claims' actor has stopped")),
            Err(_) => Err(unavailable("the key-value service didn't answer in time")),
        }
    }
}

/// Returns the failure of a request whose claim can't be acquired now.
pub fn unavailable(detail: &str) -> Failure {
    Failure::new(Code::ClaimUnavailable, detail).retry_after(RETRY_AFTER)
}

/// A claim on an idempotency key, held by one request.
///
/// Dropping it releases the key, so that the caller may retry, unless the
/// request may have run; then the claim stays for its retention time.
#[derive(Debug)]
pub struct Claim {
    key: String,
    request: Name,
    revision: u64,
    keep_on_drop: bool,
    actor: ActorRef<ClaimActor>,
    timeout: Millis,
}

impl Claim {
    /// Creates the claim that the service has confirmed at this revision.
    #[must_use]
    pub fn new(
        acquire: &AcquireClaim,
        revision: u64,
        actor: ActorRef<ClaimActor>,
        timeout: Millis,
    ) -> Self {
        Self {
            key: acquire.key.clone(),
            request: Name::clone(&acquire.record.request),
            revision,
            keep_on_drop: false,
            actor,
            timeout,
        }
    }

    /// Sets whether the request may have run; called before each attempt and after each failure.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.keep_on_drop = may_have_run;
    }

    /// Releases the claim unless the request may have run, and waits until other nodes see that.
    pub async fn release_unused(mut self) {
        if self.keep_on_drop {
            return;
        }
        self.keep_on_drop = true;
        let (reply, done) = oneshot::channel();
        let release = self.release(Some(reply));
        if self.actor.tell(release).try_send().is_ok() {
            // The caller is told that the request didn't run in any case. Waiting
            // makes sure that its retry finds the key free.
            let _ = tokio::time::timeout(self.timeout.duration(), done).await;
        }
    }

    fn release(&mut self, reply: Option<oneshot::Sender<()>>) -> ReleaseClaim {
        ReleaseClaim {
            key: std::mem::take(&mut self.key),
            request: Name::clone(&self.request),
            revision: self.revision,
            reply,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.keep_on_drop {
            let release = self.release(None);
            // If the mailbox is full, the claim stays until its lease ends. A retry
            // is refused until then, which is safe.
            let _ = self.actor.tell(release).try_send();
        }
    }
}
