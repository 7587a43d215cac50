//! Runs the membership state machine of a node: executes its actions and feeds the results back.
//!
//! One lock guards the state. It is held for one step of the machine and never across an await;
//! calls run in tasks of their own.

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

/// Time between two steps of the machine without other events.
const TICK_INTERVAL: Millis = Millis(100);
/// A witness renews the lease of others only if the service answered it this recently.
const SERVICE_REACHABLE_WITHIN: Millis = Millis(2000);
/// Pause before a watch that ended is started again.
const WATCH_RETRY_PAUSE: Millis = Millis(1000);

/// What a [`MembershipManager`] needs.
#[derive(Debug)]
pub struct Dependencies {
    /// Identity of this node.
    pub identity: Identity,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Leases of the key-value service.
    pub lease: Arc<dyn Lease>,
    /// Watches of the key-value service.
    pub watch: Arc<dyn Watch>,
    /// The platform's list of VMs.
    pub directory: Arc<dyn Directory>,
    /// Serves the upstreams that this node owns.
    pub adopter: Arc<dyn Adopter>,
    /// The configuration in effect, for the pools.
    pub view: watch::Receiver<Arc<View>>,
    /// Sends vote requests to witnesses.
    pub vote_client: Arc<dyn VoteClient>,
    /// The node's monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Timing and rate limits.
    pub limits: Limits,
    /// Prefix of all keys of this deployment.
    pub prefix: Name,
    /// Seed of jitter.
    pub seed: u64,
    /// Peers to contact while no other node is known.
    pub seed_peers: Vec<SocketAddr>,
}

/// Manages the membership of one node.
#[derive(Debug)]
pub struct MembershipManager {
    pub(super) core: Mutex<Core>,
    pub(super) deps: Dependencies,
    keys: Keys,
    fleet: watch::Sender<Arc<Fleet>>,
    adopter_calls: mpsc::UnboundedSender<AdopterCall>,
    drained: watch::Sender<bool>,
    stop: CancellationToken,
}

/// State behind the lock.
#[derive(Debug)]
pub(super) struct Core {
    pub machine: Machine,
    pub upstreams: Upstreams,
    pub last_seen: LastSeen,
    pub sync: crate::membership::gossip_state::SyncProgress,
    /// Versions of the upstreams and of the table that were published last.
    published: (u64, u64),
    next_readmission: Option<Millis>,
    /// State and fencing token with which the adopter was last called, by upstream.
    adopted: BTreeMap<Name, (State, u64)>,
}

/// Calls to the adopter, started in order.
#[derive(Debug)]
enum AdopterCall {
    Adopt(fleet::Upstream, Arc<Pool>, UpstreamOwnership),
    /// Number of the call, upstream and time limit.
    Release(u64, Name, Millis),
}

impl MembershipManager {
    /// Starts the background tasks; they end with `stop`.
    #[must_use]
    pub fn start(deps: Dependencies, stop: CancellationToken) -> Arc<Self> {
        let now = deps.clock.now();
        let core = Core {
            machine: Machine::new(
                deps.identity.clone(),
                deps.limits.clone(),
                &deps.prefix,
                deps.seed,
                now,
            ),
            upstreams: Upstreams::new(Guards::all()),
            last_seen: LastSeen::default(),
            sync: crate::membership::gossip_state::SyncProgress::default(),
            published: (0, 0),
            next_readmission: None,
            adopted: BTreeMap::new(),
        };
        let (adopter_calls, queue) = mpsc::unbounded_channel();
        let manager = Arc::new(Self {
            core: Mutex::new(core),
            keys: Keys::new(&deps.prefix),
            fleet: watch::Sender::new(Arc::new(Fleet::default())),
            adopter_calls,
            drained: watch::Sender::new(false),
            stop,
            deps,
        });
        manager.spawn(Arc::clone(&manager).tick_loop());
        manager.spawn(Arc::clone(&manager).directory_loop());
        manager.spawn(Arc::clone(&manager).watch_loop());
        manager.spawn(Arc::clone(&manager).view_loop());
        manager.spawn(Arc::clone(&manager).run_adopter_calls(queue));
        manager
    }

    /// Returns a channel with the latest snapshot of upstreams and owners.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.subscribe()
    }

    /// Returns the identity of this node.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.deps.identity
    }

    /// Announces to all nodes that an upstream is about to leave, ahead of the platform's list.
    ///
    /// The notice expires after a minute unless the platform's list confirms it: the list is
    /// authoritative. Returns whether the notice was accepted.
    pub fn drain_upstream(&self, upstream: &str) -> bool {
        let now = self.deps.clock.now();
        let mut core = self.lock();
        let accepted = core.upstreams.record_leave_notice(now, upstream);
        self.publish(&mut core, now);
        accepted
    }

    /// Hands over all upstreams and revokes the lease. Returns when this is done, or soon after
    /// `limit`.
    pub async fn drain(self: &Arc<Self>, limit: Millis) {
        let mut drained = self.drained.subscribe();
        self.step(|core, now| core.machine.drain(now, limit));
        let deadline = limit + self.deps.limits.call_timeout;
        let done = drained.wait_for(|done| *done);
        if timeout(deadline.duration(), done).await.is_err() {
            warn!("membership: draining took longer than {limit}");
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        // After a panic the state is at worst what the previous step left. Continuing with it is
        // better than failing all requests of the node.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `step` to the state, then executes the resulting actions.
    pub(super) fn step<T>(self: &Arc<Self>, step: impl FnOnce(&mut Core, Millis) -> T) -> T {
        let now = self.deps.clock.now();
        let mut core = self.lock();
        let result = step(&mut core, now);
        // Calls to the adopter must be queued in the order of the machine's steps, so actions are
        // executed under the lock; none of them blocks.
        for action in core.machine.take_actions() {
            self.execute(&mut core, now, action);
        }
        self.publish(&mut core, now);
        if core.machine.is_drained() {
            self.drained.send_replace(true);
        }
        result
    }

    fn execute(self: &Arc<Self>, core: &mut Core, now: Millis, action: Action) {
        match action {
            Action::RecordEvent(event) => self.record_event(event),
            Action::Adopt {
                upstream,
                token,
                until,
            } => {
                let ownership = UpstreamOwnership::new(token, until, Arc::clone(&self.deps.clock));
                self.adopt(core, now, &upstream, ownership);
            }
            Action::Call(number, Call::Release(upstream, limit)) => {
                self.queue_adopter_call(AdopterCall::Release(number, upstream, limit));
            }
            Action::Call(number, call) => {
                let manager = Arc::clone(self);
                self.spawn(async move {
                    let answer = manager.perform(call).await;
                    manager.step(|core, now| core.machine.handle_result(now, number, answer));
                });
            }
        }
    }

    fn queue_adopter_call(&self, call: AdopterCall) {
        // The queue is bounded by the number of upstreams; its receiver lives as long as the manager.
        if self.adopter_calls.send(call).is_err() {
            warn!("membership: the queue of calls to the adopter is closed");
        }
    }

    fn record_event(&self, event: &'static str) {
        self.deps.metrics.events.with_label_values(&[event]).inc();
        info!("membership: {event}");
    }

    async fn perform(&self, call: Call) -> CallResult {
        let limit = self.deps.limits.call_timeout.duration();
        let timed_out = || Error::NoAnswer("no response within the call timeout".to_owned());
        let Dependencies {
            store,
            lease,
            vote_client,
            ..
        } = &self.deps;
        match call {
            Call::Grant(span) => CallResult::Granted(
                timeout(limit, lease.grant(span))
                    .await
                    .unwrap_or_else(|_| Err(timed_out())),
            ),
            Call::Renew(id) => CallResult::Renewed(
                timeout(limit, lease.renew(id))
                    .await
                    .unwrap_or_else(|_| Err(timed_out())),
            ),
            Call::Revoke(id) => {
                if !matches!(timeout(limit, lease.revoke(id)).await, Ok(Ok(()))) {
                    warn!("membership: revoking the lease failed; it ends when it expires");
                }
                CallResult::Revoked
            }
            Call::Commit(transaction) => CallResult::Committed(
                timeout(limit, store.commit(transaction))
                    .await
                    .unwrap_or_else(|_| Err(timed_out())),
            ),
            Call::Read(key) => CallResult::Read(
                timeout(limit, store.get(&key))
                    .await
                    .unwrap_or_else(|_| Err(timed_out())),
            ),
            Call::List => CallResult::Listed(
                timeout(limit, store.list(self.keys.prefix()))
                    .await
                    .unwrap_or_else(|_| Err(timed_out())),
            ),
            Call::RequestVote(peer, request) => {
                let vote = timeout(limit, vote_client.request_vote(peer, request)).await;
                CallResult::Vote(vote.ok().flatten())
            }
            Call::Release(..) => CallResult::Released,
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        loop {
            self.step(|core, now| core.machine.tick(now));
            tokio::time::sleep(TICK_INTERVAL.duration()).await;
        }
    }

    async fn run_adopter_calls(self: Arc<Self>, mut queue: mpsc::UnboundedReceiver<AdopterCall>) {
        while let Some(call) = queue.recv().await {
            match call {
                AdopterCall::Adopt(upstream, pool, ownership) => {
                    self.deps.adopter.adopt(upstream, pool, ownership).await;
                }
                AdopterCall::Release(number, upstream, limit) if limit == Millis::ZERO => {
                    self.deps.adopter.release(&upstream, limit).await;
                    self.record_release(number);
                }
                // May overlap with later calls: the machine adopts an upstream again only after its
                // release has ended.
                AdopterCall::Release(number, upstream, limit) => {
                    let manager = Arc::clone(&self);
                    self.spawn(async move {
                        manager.deps.adopter.release(&upstream, limit).await;
                        manager.record_release(number);
                    });
                }
            }
        }
    }

    fn record_release(self: &Arc<Self>, number: u64) {
        self.step(|core, now| {
            core.machine
                .handle_result(now, number, CallResult::Released);
        });
    }

    async fn directory_loop(self: Arc<Self>) {
        let poll = self.deps.limits.directory_poll_interval;
        let limit = self.deps.limits.call_timeout.duration();
        loop {
            match timeout(limit, self.deps.directory.vms()).await {
                Ok(Ok(vms)) => self.handle_list(vms),
                Ok(Err(error)) => self.record_list_failure(&error.to_string()),
                Err(_) => self.record_list_failure("no response within the call timeout"),
            }
            tokio::time::sleep(poll.duration()).await;
        }
    }

    fn record_list_failure(&self, reason: &str) {
        // The last accepted list stays in effect; `status` shows its age.
        log::debug!("membership: cannot read the list of VMs: {reason}");
        let events = &self.deps.metrics.events;
        events.with_label_values(&["list_failed"]).inc();
    }

    fn handle_list(self: &Arc<Self>, vms: Vec<Vm>) {
        let count = vms.len();
        let outcome = self.step(|core, now| core.upstreams.apply_list(now, vms));
        if let ListOutcome::Rejected { missing } = outcome {
            let events = &self.deps.metrics.events;
            events.with_label_values(&["list_rejected"]).inc();
            warn!("membership: rejected a list of {count} VMs that lacks {missing} known ones");
        }
    }

    async fn watch_loop(self: Arc<Self>) {
        loop {
            let (is_watcher, from) = {
                let core = self.lock();
                let table = core.machine.table();
                let is_watcher = core.machine.is_watcher() && table.has_read();
                (is_watcher, table.read_revision())
            };
            if is_watcher {
                self.watch_from(from).await;
                self.step(|core, _| core.machine.request_full_read());
            }
            tokio::time::sleep(WATCH_RETRY_PAUSE.duration()).await;
        }
    }

    async fn watch_from(self: &Arc<Self>, from: u64) {
        let watch = self.deps.watch.watch(self.keys.prefix(), from).await;
        let Ok(mut events) = watch else {
            return;
        };
        while let Some(Ok(event)) = events.next().await {
            self.step(|core, now| core.machine.apply_watch_event(now, &event));
        }
    }

    async fn view_loop(self: Arc<Self>) {
        let mut view = self.deps.view.clone();
        while view.changed().await.is_ok() {
            view.mark_unchanged();
            // Pools may have changed: publish the fleet again and call the adopter anew.
            self.step(|core, _| {
                core.published = (u64::MAX, u64::MAX);
                core.adopted.clear();
            });
        }
    }
}

#[async_trait::async_trait]
impl VoteHandler for MembershipManager {
    async fn handle_vote_request(&self, request: VoteRequest) -> Vote {
        let now = self.deps.clock.now();
        let (mut vote, is_reachable) = {
            let mut core = self.lock();
            let age = core.machine.service_age(now);
            let is_reachable = age.is_some_and(|age| age < SERVICE_REACHABLE_WITHIN);
            (core.machine.vote(now, &request), is_reachable)
        };
        if request.withdraw_before.is_none() && is_reachable {
            let renewal_timeout = Millis(self.deps.limits.call_timeout.0 / 2);
            let renewed = timeout(
                renewal_timeout.duration(),
                self.deps.lease.renew(request.lease),
            )
            .await;
            vote.renewed = matches!(renewed, Ok(Ok(span)) if span > Millis::ZERO);
        }
        vote
    }
}

impl FailureDetector for MembershipManager {
    fn record_failure(&self, upstream: &str) {
        let now = self.deps.clock.now();
        let mut core = self.lock();
        core.upstreams.record_failure(now, upstream);
        self.publish(&mut core, now);
    }

    fn record_success(&self, upstream: &str) {
        let now = self.deps.clock.now();
        self.lock().upstreams.record_success(now, upstream);
    }
}
