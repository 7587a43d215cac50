//! Drives membership in a node: carries out what the machine wants and tells it
//! what came of it.
//!
//! The state stands behind one lock that is held for a step of the machine and
//! never over an await; the calls run as tasks of their own.

mod publish;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::config::view::View;
use crate::declaration::Pool;
use crate::membership::fleet::{self, Fleet, State};
use crate::membership::guard::Guards;
use crate::membership::last_seen::LastSeen;
use crate::membership::limits::Limits;
use crate::membership::machine::{Action, Call, CallResult, Machine};
use crate::membership::node::{Identity, Keys};
use crate::membership::upstreams::{ListOutcome, Upstreams};
use crate::membership::witness::{Vote, VoteRequest};
use crate::membership::{Adopter, FailureDetector, UpstreamOwnership, VoteClient, VoteHandler};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Directory, Error, Lease, Store, Vm, Watch};

/// Time between two steps of the machine when nothing happens.
const TICK: Millis = Millis(100);
/// A peer renews for others only if the service answered it this lately.
const REACHED: Millis = Millis(2000);
/// Wait before a broken watch is begun again.
const REWATCH: Millis = Millis(1000);

/// What a keeper works with.
#[derive(Debug)]
pub struct Dependencies {
    /// This start of this node.
    pub identity: Identity,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Its leases.
    pub lease: Arc<dyn Lease>,
    /// Its watches.
    pub watch: Arc<dyn Watch>,
    /// The list of VMs.
    pub directory: Arc<dyn Directory>,
    /// Takes charge of upstreams.
    pub adopter: Arc<dyn Adopter>,
    /// The configuration in force, for the pools.
    pub view: watch::Receiver<Arc<View>>,
    /// Reaches peers as witnesses.
    pub vote_client: Arc<dyn VoteClient>,
    /// The node's monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Where rare events are counted.
    pub metrics: Arc<Metrics>,
    /// Times and budgets.
    pub limits: Limits,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// Seed of the jitter.
    pub seed: u64,
    /// Peers to hear from while nothing else is known.
    pub seed_peers: Vec<SocketAddr>,
}

/// Membership of one node.
#[derive(Debug)]
pub struct MembershipManager {
    pub(super) core: Mutex<Core>,
    pub(super) parts: Dependencies,
    keys: Keys,
    fleet: watch::Sender<Arc<Fleet>>,
    adoptions: mpsc::UnboundedSender<Adoption>,
    drained: watch::Sender<bool>,
    stop: CancellationToken,
}

/// What the lock guards.
#[derive(Debug)]
pub(super) struct Core {
    pub machine: Machine,
    pub upstreams: Upstreams,
    pub last_seen: LastSeen,
    pub gossip: crate::membership::gossip_state::Progress,
    published: (u64, u64),
    next_readmission: Option<Millis>,
    adopted: BTreeMap<Name, (State, u64)>,
}

/// What the adopter is told, in order.
#[derive(Debug)]
enum Adoption {
    Adopt(fleet::Upstream, Arc<Pool>, UpstreamOwnership),
    Release(u64, Name, Millis),
}

impl MembershipManager {
    /// Starts membership; its tasks end with `stop`.
    #[must_use]
    pub fn start(parts: Dependencies, stop: CancellationToken) -> Arc<Self> {
        let now = parts.clock.now();
        let core = Core {
            machine: Machine::new(
                parts.identity.clone(),
                parts.limits.clone(),
                &parts.prefix,
                parts.seed,
                now,
            ),
            upstreams: Upstreams::new(Guards::all()),
            last_seen: LastSeen::default(),
            gossip: crate::membership::gossip_state::Progress::default(),
            published: (0, 0),
            next_readmission: None,
            adopted: BTreeMap::new(),
        };
        let (adoptions, queue) = mpsc::unbounded_channel();
        let keeper = Arc::new(Self {
            core: Mutex::new(core),
            keys: Keys::new(&parts.prefix),
            fleet: watch::Sender::new(Arc::new(Fleet::default())),
            adoptions,
            drained: watch::Sender::new(false),
            stop,
            parts,
        });
        keeper.spawn(Arc::clone(&keeper).tick_all());
        keeper.spawn(Arc::clone(&keeper).read_directory());
        keeper.spawn(Arc::clone(&keeper).watch_keys());
        keeper.spawn(Arc::clone(&keeper).follow_view());
        keeper.spawn(Arc::clone(&keeper).tell_adopter(queue));
        keeper
    }

    /// Returns where the picture of upstreams and owners is found.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.subscribe()
    }

    /// Returns who this node is.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.parts.identity
    }

    /// Tells all nodes that an upstream leaves, ahead of the platform's list.
    ///
    /// The sign stands for a minute, within which the list has to say so too;
    /// what is to last is kept by the platform. Returns whether the upstream is
    /// known and the sign was taken.
    pub fn drain_upstream(&self, upstream: &str) -> bool {
        let now = self.parts.clock.now();
        let mut core = self.lock();
        let taken = core.upstreams.record_leave_notice(now, upstream);
        self.publish(&mut core, now);
        taken
    }

    /// Hands all upstreams over and ends the lease; returns when done, or after `limit`.
    pub async fn drain(self: &Arc<Self>, limit: Millis) {
        let mut drained = self.drained.subscribe();
        self.step(|core, now| core.machine.drain(now, limit));
        let longest = limit + self.parts.limits.call_timeout;
        let done = drained.wait_for(|done| *done);
        if timeout(longest.duration(), done).await.is_err() {
            warn!("membership: the planned stop took longer than {limit}");
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        // A panic inside a step leaves the state as the step before left it in the
        // worst case; going on beats taking the node's requests down.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets `step` change the state, then carries out what follows from it.
    pub(super) fn step<T>(self: &Arc<Self>, step: impl FnOnce(&mut Core, Millis) -> T) -> T {
        let now = self.parts.clock.now();
        let mut core = self.lock();
        let result = step(&mut core, now);
        // The adopter must be told in the order of the machine's steps, so this
        // happens under the lock; nothing here waits.
        for action in core.machine.take_actions() {
            self.carry_out(&mut core, now, action);
        }
        self.publish(&mut core, now);
        if core.machine.is_drained() {
            self.drained.send_replace(true);
        }
        result
    }

    fn carry_out(self: &Arc<Self>, core: &mut Core, now: Millis, action: Action) {
        match action {
            Action::RecordEvent(event) => self.note(event),
            Action::Adopt {
                upstream,
                token,
                until,
            } => {
                let ownership = UpstreamOwnership::new(token, until, Arc::clone(&self.parts.clock));
                self.adopt(core, now, &upstream, ownership);
            }
            Action::Call(number, Call::Release(upstream, limit)) => {
                self.send(Adoption::Release(number, upstream, limit));
            }
            Action::Call(number, call) => {
                let keeper = Arc::clone(self);
                self.spawn(async move {
                    let answer = keeper.make(call).await;
                    keeper.step(|core, now| core.machine.handle_result(now, number, answer));
                });
            }
        }
    }

    fn send(&self, adoption: Adoption) {
        // Bounded by the number of upstreams; the receiver ends only with the keeper.
        if self.adoptions.send(adoption).is_err() {
            warn!("membership: the adopter's queue is closed");
        }
    }

    fn note(&self, event: &'static str) {
        self.parts.metrics.events.with_label_values(&[event]).inc();
        info!("membership: {event}");
    }

    async fn make(&self, call: Call) -> CallResult {
        let limit = self.parts.limits.call_timeout.duration();
        let lost = || Error::NoAnswer("no answer in time".to_owned());
        let Dependencies {
            store,
            lease,
            vote_client,
            ..
        } = &self.parts;
        match call {
            Call::Grant(span) => CallResult::Granted(
                timeout(limit, lease.grant(span))
                    .await
                    .unwrap_or_else(|_| Err(lost())),
            ),
            Call::Renew(id) => CallResult::Renewed(
                timeout(limit, lease.renew(id))
                    .await
                    .unwrap_or_else(|_| Err(lost())),
            ),
            Call::Revoke(id) => {
                if !matches!(timeout(limit, lease.revoke(id)).await, Ok(Ok(()))) {
                    warn!("membership: the lease ends by its time, as revoking it failed");
                }
                CallResult::Revoked
            }
            Call::Commit(transaction) => CallResult::Committed(
                timeout(limit, store.commit(transaction))
                    .await
                    .unwrap_or_else(|_| Err(lost())),
            ),
            Call::Read(key) => CallResult::Read(
                timeout(limit, store.get(&key))
                    .await
                    .unwrap_or_else(|_| Err(lost())),
            ),
            Call::List => CallResult::Listed(
                timeout(limit, store.list(self.keys.prefix()))
                    .await
                    .unwrap_or_else(|_| Err(lost())),
            ),
            Call::RequestVote(peer, ask) => {
                let vote = timeout(limit, vote_client.request_vote(peer, ask)).await;
                CallResult::Vote(vote.ok().flatten())
            }
            Call::Release(..) => CallResult::Released,
        }
    }

    async fn tick_all(self: Arc<Self>) {
        loop {
            self.step(|core, now| core.machine.tick(now));
            tokio::time::sleep(TICK.duration()).await;
        }
    }

    async fn tell_adopter(self: Arc<Self>, mut queue: mpsc::UnboundedReceiver<Adoption>) {
        while let Some(adoption) = queue.recv().await {
            match adoption {
                Adoption::Adopt(upstream, pool, ownership) => {
                    self.parts.adopter.adopt(upstream, pool, ownership).await;
                }
                Adoption::Release(number, upstream, limit) if limit == Millis::ZERO => {
                    self.parts.adopter.release(&upstream, limit).await;
                    self.released(number);
                }
                // The machine adopts an upstream again only after its release ended.
                Adoption::Release(number, upstream, limit) => {
                    let keeper = Arc::clone(&self);
                    self.spawn(async move {
                        keeper.parts.adopter.release(&upstream, limit).await;
                        keeper.released(number);
                    });
                }
            }
        }
    }

    fn released(self: &Arc<Self>, number: u64) {
        self.step(|core, now| {
            core.machine
                .handle_result(now, number, CallResult::Released);
        });
    }

    async fn read_directory(self: Arc<Self>) {
        let poll = self.parts.limits.directory_poll_interval;
        let limit = self.parts.limits.call_timeout.duration();
        loop {
            match timeout(limit, self.parts.directory.vms()).await {
                Ok(Ok(vms)) => self.list_read(vms),
                Ok(Err(error)) => self.list_failed(&error.to_string()),
                Err(_) => self.list_failed("no answer in time"),
            }
            tokio::time::sleep(poll.duration()).await;
        }
    }

    fn list_failed(&self, reason: &str) {
        // The last good list stays in force; its age shows in `status`.
        log::debug!("membership: the list of VMs can't be read: {reason}");
        let events = &self.parts.metrics.events;
        events.with_label_values(&["list_failed"]).inc();
    }

    fn list_read(self: &Arc<Self>, vms: Vec<Vm>) {
        let listed = vms.len();
        let verdict = self.step(|core, now| core.upstreams.apply_list(now, vms));
        if let ListOutcome::Rejected { missing } = verdict {
            let events = &self.parts.metrics.events;
            events.with_label_values(&["list_rejected"]).inc();
            warn!("membership: the list of VMs ({listed}) lacks {missing} at once and is rejected");
        }
    }

    async fn watch_keys(self: Arc<Self>) {
        loop {
            let (watcher, from) = {
                let core = self.lock();
                let table = core.machine.table();
                let watcher = core.machine.is_watcher() && table.has_read();
                (watcher, table.read_revision())
            };
            if watcher {
                self.watch_from(from).await;
                self.step(|core, _| core.machine.request_full_read());
            }
            tokio::time::sleep(REWATCH.duration()).await;
        }
    }

    async fn watch_from(self: &Arc<Self>, from: u64) {
        let watch = self.parts.watch.watch(self.keys.prefix(), from).await;
        let Ok(mut events) = watch else {
            return;
        };
        while let Some(Ok(event)) = events.next().await {
            self.step(|core, now| core.machine.apply_watch_event(now, &event));
        }
    }

    async fn follow_view(self: Arc<Self>) {
        let mut view = self.parts.view.clone();
        while view.changed().await.is_ok() {
            view.mark_unchanged();
            self.step(|core, _| {
                core.published = (u64::MAX, u64::MAX);
                core.adopted.clear();
            });
        }
    }
}

#[async_trait::async_trait]
impl VoteHandler for MembershipManager {
    async fn handle_vote_request(&self, ask: VoteRequest) -> Vote {
        let now = self.parts.clock.now();
        let (mut vote, reached) = {
            let mut core = self.lock();
            let age = core.machine.service_age(now);
            let reached = age.is_some_and(|age| age < REACHED);
            (core.machine.vote(now, &ask), reached)
        };
        if ask.withdraw_before.is_none() && reached {
            let half = Millis(self.parts.limits.call_timeout.0 / 2);
            let renewed = timeout(half.duration(), self.parts.lease.renew(ask.lease)).await;
            vote.renewed = matches!(renewed, Ok(Ok(span)) if span > Millis::ZERO);
        }
        vote
    }
}

impl FailureDetector for MembershipManager {
    fn record_failure(&self, upstream: &str) {
        let now = self.parts.clock.now();
        let mut core = self.lock();
        core.upstreams.record_failure(now, upstream);
        self.publish(&mut core, now);
    }

    fn record_success(&self, upstream: &str) {
        let now = self.parts.clock.now();
        self.lock().upstreams.record_success(now, upstream);
    }
}
