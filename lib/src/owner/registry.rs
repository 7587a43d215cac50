//! The actors of all owned upstreams, by name.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use async_trait::async_trait;
use kameo::actor::{ActorRef, Spawn};
use kameo::error::SendError;
use kameo::mailbox;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::task::TaskTracker;

use super::actor::{
    Assignment, PrefetchReplacement, Release, Submit, UpdateAssignment, UpstreamActor,
};
use super::request_guard::RequestGuard;
use super::run::{self, Grant};
use super::task_event::TaskEvent;
use super::{Limits, Status};
use crate::clock::{Clock, Millis};
use crate::config::prefetch::{Prefetch, UpcomingAdapter};
use crate::declaration::Pool;
use crate::error::{Code, Failure};
use crate::loads::{PermitSource, WEIGHT_STORE};
use crate::membership::{Adopter, FailureDetector, UpstreamOwnership, fleet};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Connector, UpstreamResponse};
use crate::request::{Id, Ticket};
use crate::runner::{Attempt, Runner};

/// Delay that callers are told to wait before a retry when the mailbox is full.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// The parts of the node that the registry depends on.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Creates clients for upstreams.
    pub connector: Arc<dyn Connector>,
    /// Grants permits to load.
    pub permits: Arc<dyn PermitSource>,
    /// Receives failures and recoveries of owned upstreams, so that membership can exclude one.
    pub detector: Option<Arc<dyn FailureDetector>>,
    /// Tells whether waiting requests are still routed as their tickets say.
    pub routing: Arc<dyn RoutingCheck>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Capacities, intervals and timeouts.
    pub limits: Limits,
}

/// Checks waiting requests against the configuration in force.
pub trait RoutingCheck: fmt::Debug + Send + Sync {
    /// Whether the configuration in force routes the request as its ticket says.
    ///
    /// A ticket made from a newer revision than this node's counts as current.
    fn is_current(&self, ticket: &Ticket) -> bool;
}

/// An upstream's actor with its channels.
struct Handle {
    actor: ActorRef<UpstreamActor>,
    events: mpsc::UnboundedSender<TaskEvent>,
    status: watch::Receiver<Status>,
    assignment: Assignment,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
}

/// All upstreams that this node owns.
#[derive(Debug)]
pub struct Registry {
    dependencies: Dependencies,
    owned: RwLock<HashMap<Name, Arc<Handle>>>,
    next_serial: AtomicU64,
    /// Counts every request with a guard, including those of ownerships that have ended.
    active_requests: TaskTracker,
}

impl Registry {
    /// Creates a registry that owns no upstream.
    #[must_use]
    pub fn start(dependencies: Dependencies) -> Arc<Self> {
        Arc::new(Self {
            dependencies,
            owned: RwLock::default(),
            next_serial: AtomicU64::new(1),
            active_requests: TaskTracker::new(),
        })
    }

    /// Waits until no request runs here any more.
    ///
    /// A release covers only the requests of the ownership that it ends. Requests
    /// that still run after an earlier ownership lapsed or was released aren't
    /// covered, and a node that stopped without waiting for them would abort them.
    pub async fn wait_until_idle(&self) {
        // Closing lets the wait end; new requests are still counted.
        self.active_requests.close();
        self.active_requests.wait().await;
    }

    /// Returns the status of each owned upstream, ordered by name.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        let mut all: Vec<Status> = owned
            .values()
            .map(|handle| handle.status.borrow().clone())
            .collect();
        all.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        all
    }

    fn find(&self, upstream: &str) -> Option<Arc<Handle>> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        owned.get(upstream).cloned()
    }

    fn insert(&self, assignment: Assignment) {
        let handle = Arc::new(self.spawn_actor(assignment));
        let name = Arc::clone(&handle.assignment.upstream.vm.name);
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(name, handle);
        self.set_owned_gauge(owned.len());
    }

    /// Keeps the actor and stores the assignment that a restart would use.
    fn replace_assignment(&self, handle: &Handle, assignment: Assignment) {
        let name = Arc::clone(&assignment.upstream.vm.name);
        let handle = Handle {
            actor: handle.actor.clone(),
            events: handle.events.clone(),
            status: handle.status.clone(),
            assignment,
        };
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(name, Arc::new(handle));
    }

    fn remove(&self, upstream: &str) -> Option<Arc<Handle>> {
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        let handle = owned.remove(upstream);
        self.set_owned_gauge(owned.len());
        handle
    }

    fn set_owned_gauge(&self, owned: usize) {
        let owned = i64::try_from(owned).unwrap_or(i64::MAX);
        self.dependencies.metrics.owned.set(owned);
    }

    fn spawn_actor(&self, assignment: Assignment) -> Handle {
        let (status_sender, status) = watch::channel(Status::default());
        let (events, event_receiver) = mpsc::unbounded_channel();
        let actor = UpstreamActor::spawn_with_mailbox(
            (
                self.dependencies.clone(),
                assignment.clone(),
                events.clone(),
                event_receiver,
                status_sender,
            ),
            mailbox::bounded(self.dependencies.limits.mailbox_capacity),
        );
        Handle {
            actor,
            events,
            status,
            assignment,
        }
    }

    /// Replaces an actor that has panicked.
    ///
    /// Otherwise the upstream would serve no request until its ownership moves. The
    /// new actor treats requests that still run as another owner's and pins them.
    fn restart_actor(&self, dead: &Handle) {
        let name = &dead.assignment.upstream.vm.name;
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        let is_current = owned
            .get(name)
            .is_some_and(|handle| handle.actor.id() == dead.actor.id());
        if is_current {
            log::error!("owner: the actor of {name} stopped; restarting it");
            owned.insert(
                Arc::clone(name),
                Arc::new(self.spawn_actor(dead.assignment.clone())),
            );
        }
    }

    /// Submits an attempt to the upstream's actor and waits until it may start.
    async fn admit(&self, attempt: &Attempt) -> Result<(RequestGuard, Grant), Failure> {
        let handle = self
            .find(&attempt.upstream)
            .ok_or_else(|| not_owner("this node doesn't own the upstream"))?;
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let key = Id(format!("{}/{serial}", attempt.ticket.id).into());
        // The guard comes first: from here on, dropping this future ends the request.
        let guard = RequestGuard::new(
            key.clone(),
            handle.events.clone(),
            self.active_requests.token(),
        );
        let (reply, granted) = oneshot::channel();
        let mut ticket = attempt.ticket.clone();
        let request_id = std::mem::replace(&mut ticket.id, key);
        let submit = Submit {
            ticket,
            request_id,
            share: attempt.share,
            last: attempt.last,
            reply,
        };
        match handle.actor.tell(submit).try_send() {
            Ok(()) => {}
            Err(SendError::MailboxFull(_)) => {
                let failure = Failure::new(Code::QueueFull, "the upstream's owner is overloaded");
                return Err(failure.retry_after(RETRY_AFTER));
            }
            Err(_) => {
                self.restart_actor(&handle);
                return Err(not_owner("the upstream's owner is starting"));
            }
        }
        // The actor drops the reply only before it has granted the request.
        let grant = granted
            .await
            .map_err(|_| not_owner("the upstream's owner has stopped"))??;
        Ok((guard, grant))
    }
}

#[async_trait]
impl Runner for Registry {
    async fn run(&self, attempt: Attempt) -> Result<UpstreamResponse, Failure> {
        let request = run::PreparedRequest::new(&attempt)?;
        let (guard, grant) = self.admit(&attempt).await?;
        request.run(guard, grant, &self.dependencies).await
    }
}

#[async_trait]
impl Adopter for Registry {
    async fn adopt(
        &self,
        upstream: fleet::Upstream,
        pool: Arc<Pool>,
        ownership: UpstreamOwnership,
    ) {
        let name = Arc::clone(&upstream.vm.name);
        // The weight store's queue is owned like an upstream but runs no requests.
        if &*name == WEIGHT_STORE {
            return;
        }
        let assignment = Assignment {
            upstream,
            pool,
            ownership,
        };
        if let Some(handle) = self.find(&name) {
            if handle.assignment.is_continued_by(&assignment) {
                let update = UpdateAssignment(assignment.clone());
                let sent = handle.actor.tell(update).send().await;
                if sent.is_ok() {
                    self.replace_assignment(&handle, assignment);
                    return;
                }
            }
            // Another claim, address or kind starts a new ownership. Requests of the
            // old one are pinned once the engine reports them.
            self.remove(&name);
            let _ = handle.actor.tell(Release { done: None }).send().await;
        }
        log::info!(
            "owner: took over {name} with token {}",
            assignment.ownership.token()
        );
        self.insert(assignment);
    }

    async fn release(&self, upstream: &str, limit: Millis) {
        let Some(handle) = self.remove(upstream) else {
            return;
        };
        let (done, drained) = oneshot::channel();
        let release = Release { done: Some(done) };
        if handle.actor.tell(release).send().await.is_err() {
            return;
        }
        match tokio::time::timeout(limit.duration(), drained).await {
            Ok(_) => log::info!("owner: released {upstream}"),
            Err(_) => log::warn!("owner: released {upstream} while requests still ran"),
        }
    }
}

impl Prefetch for Registry {
    fn prefetch(&self, adapters: &[UpcomingAdapter]) {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        for upcoming in adapters {
            let pool = owned
                .values()
                .filter(|handle| handle.assignment.pool.name == upcoming.pool);
            for handle in pool {
                let replacement = PrefetchReplacement {
                    old: upcoming.replaces.clone(),
                    new: upcoming.adapter.clone(),
                };
                // An owner with a full mailbox is too busy to prefetch.
                let _ = handle.actor.tell(replacement).try_send();
            }
        }
    }
}

fn not_owner(detail: &str) -> Failure {
    Failure::new(Code::NotOwner, detail)
}
