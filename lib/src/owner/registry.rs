//! The actors of all owned upstreams, found by name.

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

use super::actor::{Adopt, Args, Release, Replaced, Submit, Upstream};
use super::event::Event;
use super::place::Place;
use super::run::{self, Grant};
use super::{Limits, Status};
use crate::clock::{Clock, Millis};
use crate::config::prefetch::{Prefetch, UpcomingAdapter};
use crate::declaration::Pool;
use crate::error::{Code, Failure};
use crate::loads::{Permits, WEIGHTS};
use crate::membership::{Adopter, Detector, Hold, fleet};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Answer, Connector};
use crate::request::{Id, Ticket};
use crate::runner::{Attempt, Runner};

/// When an attempt that met a full mailbox may succeed.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// What the registry works with.
#[derive(Debug, Clone)]
pub struct Parts {
    /// Makes clients for upstreams.
    pub connector: Arc<dyn Connector>,
    /// Gives leave to load.
    pub permits: Arc<dyn Permits>,
    /// Learns how owned upstreams are, so that membership can hold one out.
    pub detector: Option<Arc<dyn Detector>>,
    /// Tells whether what waits is still wanted as it was decided.
    pub decisions: Arc<dyn Decisions>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds.
    pub limits: Limits,
}

/// The configuration, as far as it decides about requests that wait.
pub trait Decisions: fmt::Debug + Send + Sync {
    /// Whether the configuration in force decides a request as its ticket says.
    ///
    /// An entry node that knows a newer one than this node decided on that.
    fn holds(&self, ticket: &Ticket) -> bool;
}

/// One upstream's actor and the ways to it.
struct Handle {
    actor: ActorRef<Upstream>,
    events: mpsc::UnboundedSender<Event>,
    status: watch::Receiver<Status>,
    args: Args,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
}

/// All upstreams that this node owns.
#[derive(Debug)]
pub struct Registry {
    parts: Parts,
    owned: RwLock<HashMap<Name, Arc<Handle>>>,
    serial: AtomicU64,
    /// Every request that has a place, whatever has become of the ownership.
    places: TaskTracker,
}

impl Registry {
    /// Starts with no upstream.
    #[must_use]
    pub fn start(parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            owned: RwLock::default(),
            serial: AtomicU64::new(1),
            places: TaskTracker::new(),
        })
    }

    /// Returns when no request runs here any more.
    ///
    /// A release knows only what runs under the ownership that it ends. What ran
    /// when an earlier one lapsed, or outlasted its release, still runs here and
    /// its caller reads it; a node that stopped without a look at those would cut
    /// them off.
    pub async fn ended(&self) {
        // Closing lets the wait end; places are still made and counted.
        self.places.close();
        self.places.wait().await;
    }

    /// Returns what operators see of each owned upstream, ordered by name.
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

    fn insert(&self, args: Args) {
        let handle = Arc::new(self.spawned(args));
        let name = Arc::clone(&handle.args.upstream.vm.name);
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(name, handle);
        self.count(owned.len());
    }

    /// Keeps the actor and notes what it would be started anew with.
    fn replace(&self, handle: &Handle, args: Args) {
        let name = Arc::clone(&args.upstream.vm.name);
        let handle = Handle {
            actor: handle.actor.clone(),
            events: handle.events.clone(),
            status: handle.status.clone(),
            args,
        };
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(name, Arc::new(handle));
    }

    fn remove(&self, upstream: &str) -> Option<Arc<Handle>> {
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        let handle = owned.remove(upstream);
        self.count(owned.len());
        handle
    }

    fn count(&self, owned: usize) {
        let owned = i64::try_from(owned).unwrap_or(i64::MAX);
        self.parts.metrics.owned.set(owned);
    }

    fn spawned(&self, args: Args) -> Handle {
        let (status, shown) = watch::channel(Status::default());
        let (events, heard) = mpsc::unbounded_channel();
        let actor = Upstream::spawn_with_mailbox(
            (
                self.parts.clone(),
                args.clone(),
                events.clone(),
                heard,
                status,
            ),
            mailbox::bounded(self.parts.limits.mailbox),
        );
        Handle {
            actor,
            events,
            status: shown,
            args,
        }
    }

    /// Makes a new actor in place of one that has panicked.
    ///
    /// Without it the upstream would answer nobody until its ownership moves.
    /// The new actor takes what still runs for another owner's, and pins it.
    fn revive(&self, dead: &Handle) {
        let name = &dead.args.upstream.vm.name;
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        let same = owned
            .get(name)
            .is_some_and(|handle| handle.actor.id() == dead.actor.id());
        if same {
            log::error!("owner: the actor of {name} ended; starting it anew");
            owned.insert(Arc::clone(name), Arc::new(self.spawned(dead.args.clone())));
        }
    }

    /// Gets a place for an attempt, and waits until it may start.
    async fn admit(&self, attempt: &Attempt) -> Result<(Place, Grant), Failure> {
        let handle = self
            .find(&attempt.upstream)
            .ok_or_else(|| not_owner("this node doesn't own the upstream"))?;
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let key = Id(format!("{}/{serial}", attempt.ticket.id).into());
        // The place is made first: from here on, dropping this future anywhere ends it.
        let place = Place::new(key.clone(), handle.events.clone(), self.places.token());
        let (reply, granted) = oneshot::channel();
        let mut ticket = attempt.ticket.clone();
        let request = std::mem::replace(&mut ticket.id, key);
        let submit = Submit {
            ticket,
            request,
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
                self.revive(&handle);
                return Err(not_owner("the upstream's owner is starting"));
            }
        }
        // The actor ends without an answer only before it has granted the place.
        let grant = granted
            .await
            .map_err(|_| not_owner("the upstream's owner has stopped"))??;
        Ok((place, grant))
    }
}

#[async_trait]
impl Runner for Registry {
    async fn run(&self, attempt: Attempt) -> Result<Answer, Failure> {
        let order = run::Order::new(&attempt)?;
        let (place, grant) = self.admit(&attempt).await?;
        order.run(place, grant, &self.parts).await
    }
}

#[async_trait]
impl Adopter for Registry {
    async fn adopt(&self, upstream: fleet::Upstream, pool: Arc<Pool>, hold: Hold) {
        let name = Arc::clone(&upstream.vm.name);
        // The weight store's queue is owned like an upstream, but nothing runs there.
        if &*name == WEIGHTS {
            return;
        }
        let args = Args {
            upstream,
            pool,
            hold,
        };
        if let Some(handle) = self.find(&name) {
            if handle.args.continues(&args) {
                let sent = handle.actor.tell(Adopt(args.clone())).send().await;
                if sent.is_ok() {
                    self.replace(&handle, args);
                    return;
                }
            }
            // Another claim, address or kind is another ownership: what runs
            // under the old one is pinned as the engine reports it.
            self.remove(&name);
            let _ = handle.actor.tell(Release { done: None }).send().await;
        }
        log::info!("owner: took over {name} with token {}", args.hold.token());
        self.insert(args);
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
                .filter(|handle| handle.args.pool.name == upcoming.pool);
            for handle in pool {
                let replaced = Replaced {
                    old: upcoming.replaces.clone(),
                    new: upcoming.adapter.clone(),
                };
                // An owner with a full mailbox has no load to spare either.
                let _ = handle.actor.tell(replaced).try_send();
            }
        }
    }
}

fn not_owner(detail: &str) -> Failure {
    Failure::new(Code::NotOwner, detail)
}
