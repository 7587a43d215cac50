//! Claims: which node gives orders to an engine.
//!
//! Engines here don't check fencing tokens, so the time alone keeps two nodes
//! from giving orders by turns. A claim lives with its node's lease. The node's
//! right ends by its own clock, counted from when it sent the renewal; a
//! successor waits until that right has surely ended and the length of a turn
//! more. docs/design/0007-direct-serving.md has the figures.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::dialect::{Dialect, Key};
use super::follow::NODES;
use super::former::Former;
use super::limits::{Current, LEASE, RENEWAL, RENEWAL_ANSWER, RIGHT, TURN_MARGIN};
use super::right::{Owned, Right};
use super::view::{CLAIMS, Claim, Peer, Standing, State, View, claimed};
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::ports::{Condition, Entry, Error, Lease, LeaseId, Store, Transaction, Write};

/// Seed of the order of nodes for an engine. Changing it moves every claim, so it stays.
const CLAIM_SEED: u64 = 0x636c_6169_6d73;

/// How long a living former owner has to take its claim back.
const HEAD_START: Millis = Millis(1_500);

/// Pause between looks whether everything has been read after a start.
const FIRST_LOOK: Millis = Millis(20);

/// Pause before nodes that gave no support are asked again; twice what connecting takes.
const SUPPORT_PAUSE: Millis = Millis(100);

/// Shares of the engines that a node keeps before it gives some up.
///
/// Below, uneven claims do no harm, and each handover keeps an engine without orders for up
/// to a turn.
const MOST_SHARES: usize = 2;

/// Pause between handovers: two rounds.
const HANDOVER: Millis = Millis(RENEWAL.0 * 2);

/// Claims that one transaction makes; the service takes 32 rows.
const CLAIMS_AT_ONCE: usize = 16;

/// Tries of a round to claim what the service didn't say was taken the time before.
///
/// Each costs a call; what is left is tried in the next round.
const CLAIM_TRIES: u32 = 3;

/// An engine that a node may claim.
#[derive(Debug)]
struct Wanted {
    address: SocketAddr,
    /// The mark that a former owner left.
    left: Option<Standing>,
    /// Whether it is a claim that an earlier start of the same node left.
    former: bool,
    /// Who gave the orders before.
    before: Former,
    /// From when on this node may give them.
    from: Millis,
    /// Nodes that come before this one, as far as they are known.
    rank: u64,
    /// This node's weight for the engine: of two engines, others come before it at this one less
    /// probably that has the greater.
    weight: u64,
}

/// A node that gave no support.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubter {
    /// Where it was asked.
    pub peer: SocketAddr,
    /// What it said, or why it said nothing.
    pub why: String,
}

/// Asks all other nodes for support while the key-value service is away.
#[async_trait]
pub trait Support: std::fmt::Debug + Send + Sync {
    /// Returns the nodes that have to agree, or none if they aren't known.
    fn others(&self) -> Option<Vec<SocketAddr>>;

    /// Asks nodes whether they agree, and returns those that didn't.
    ///
    /// A node agrees as [`Right::supports`] says, or by not running: its next start begins
    /// later than the question.
    async fn doubters(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Doubter>;
}

/// Keeps this node's lease, record and claims.
#[derive(Debug)]
pub struct Claimer {
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Its leases.
    pub lease: Arc<dyn Lease>,
    /// Keys.
    pub dialect: Arc<dyn Dialect>,
    /// Runs while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Other nodes.
    pub support: Arc<dyn Support>,
    /// What the follower sees.
    pub view: Arc<View>,
    /// What this node may do.
    pub right: Arc<Right>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds in force.
    pub limits: Arc<Current>,
    /// This node's name.
    pub node: Name,
    /// This node's record.
    pub peer: Peer,
    /// The boot that the clock counts from.
    pub boot: u64,
    /// Whether no node has run before.
    pub first_start: bool,
}

impl Claimer {
    /// Keeps the lease and claims until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut lease = None;
        let mut began = None;
        // A node that has left must not claim anew what it gave up.
        while !self.right.left.load(Ordering::Relaxed) {
            let knew_all = self.view.config().is_some();
            if let Err(error) = self.round(&mut lease, &mut began).await {
                self.view.touched(false);
                self.go_on_without(&error).await;
            }
            if knew_all {
                tokio::time::sleep(RENEWAL.duration()).await;
            } else {
                self.wait_for_view().await;
            }
        }
    }

    /// Waits until the follower has read what a round can claim by, a round's pause at most.
    async fn wait_for_view(&self) {
        let began = self.clock.now();
        while !self.can_claim() && self.clock.now().since(began) < RENEWAL {
            tokio::time::sleep(FIRST_LOOK.duration()).await;
        }
    }

    /// Whether the follower has read everything, or claims of an earlier start of this node.
    fn can_claim(&self) -> bool {
        let state = self.view.state();
        let has_former = || {
            state
                .claims
                .values()
                .any(|standing| self.is_former(standing))
        };
        state.config.is_some() || has_former()
    }

    /// Returns when this node began to look at claims, which is when it got its first lease.
    ///
    /// What happened before that moment is unknown to it. Counted from the start of the
    /// process, a node that starts in an outage would have waited long enough when the
    /// service returns, while an owner that the others supported still gives orders.
    fn begin(&self) -> Millis {
        self.right.begun.store(true, Ordering::SeqCst);
        self.clock.now()
    }

    /// Gives claims up, with the time since the last order, so that successors wait less.
    ///
    /// # Errors
    ///
    /// When the service doesn't take it; then the lease's end does the same later.
    pub async fn leave(&self) -> Result<(), Error> {
        self.right.left.store(true, Ordering::Relaxed);
        self.right.until.store(0, Ordering::Relaxed);
        let owned: Vec<(SocketAddr, Owned)> = self.right.owned().drain().collect();
        for addresses in owned.chunks(CLAIMS_AT_ONCE) {
            let mut transaction = Transaction::default();
            for (address, owned) in addresses {
                transaction.writes.push(self.mark_left(*address, *owned));
            }
            self.store.commit(transaction).await?;
        }
        Ok(())
    }

    /// Returns the write that gives up a claim under which no order leaves any more.
    ///
    /// A node that gives a claim up before it could order leaves the wait for the owner before it.
    fn mark_left(&self, address: SocketAddr, owned: Owned) -> Write {
        let turn = self.turn();
        let before = (self.clock.now() + turn).since(owned.from);
        let idle = self.right.since_order(address).unwrap_or(Millis::MAX);
        let claim = self.own_claim(Some(idle.min(before).min(turn)), owned.from);
        Write::Put(self.key(address), encoded(&claim), None)
    }

    /// Gives one engine up if this node owns far more than its share.
    ///
    /// Planned stops one after the other leave all engines with the node that was the first
    /// to be back: twelve of twelve among seven nodes, seen on a day with rolling stops. When
    /// that one falls silent, no adapter can be loaded anywhere for eight seconds. One engine
    /// at a time keeps all others in service, and the one whose last order is the oldest
    /// keeps its successor waiting least.
    async fn hand_over(&self, began: Millis) -> Result<(), Error> {
        let now = self.clock.now();
        if now.since(began.max(self.right.handed_over())) < HANDOVER {
            return Ok(());
        }
        let Some((address, owned)) = self.surplus() else {
            return Ok(());
        };
        self.right.hand_over(address, now);
        log::info!("right: orders to {address} are handed over, as this node has many");
        let transaction = Transaction {
            conditions: vec![Condition::Unchanged(self.key(address), owned.token)],
            writes: vec![self.mark_left(address, owned)],
        };
        // The view hears of the write up to a second later. Until then it would show a claim
        // of this start that this node doesn't hold, and the next round would take it up
        // again while its successor gives orders.
        self.view.state().give_up(address, now);
        self.store.commit(transaction).await?;
        Ok(())
    }

    /// Returns an engine beyond this node's share that another node comes first for.
    fn surplus(&self) -> Option<(SocketAddr, Owned)> {
        let state = self.view.state();
        let owned = self.right.owned();
        let share = state.claims.len().div_ceil(state.nodes.len().max(1));
        if owned.len() <= share * MOST_SHARES {
            return None;
        }
        owned
            .iter()
            .filter(|(address, _)| self.rank(&state, **address, 1) > 0)
            .max_by_key(|(address, _)| self.right.since_order(**address).unwrap_or(Millis::MAX))
            .map(|(address, owned)| (*address, *owned))
    }

    async fn round(
        &self,
        lease: &mut Option<LeaseId>,
        began: &mut Option<Millis>,
    ) -> Result<(), Error> {
        let sent = self.clock.now();
        match *lease {
            None => {
                let granted = self.lease.grant(LEASE).await?;
                // A first lease has no claims of this start yet, and the follower reads those
                // of others. Read here as well, thousands of claims took longer than the lease.
                if began.is_some() {
                    self.read_claims().await?;
                }
                began.get_or_insert_with(|| self.begin());
                self.register(granted).await?;
                *lease = Some(granted);
            }
            Some(held) => {
                let lasted = self.right.lasts();
                if self.renew(held).await? == Millis::ZERO {
                    log::warn!("right: the lease has lapsed");
                    *lease = None;
                    self.right.until.store(0, Ordering::Relaxed);
                    self.right.owned().clear();
                    return Box::pin(self.round(lease, began)).await;
                }
                self.view.touched(true);
                if !lasted {
                    self.read_claims().await?;
                }
            }
        }
        if self.right.left.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.right.forget_lost();
        self.right.until.store((sent + RIGHT).0, Ordering::Relaxed);
        if let (Some(held), Some(began)) = (*lease, *began) {
            self.claim(held, began).await?;
            self.hand_over(began).await?;
        }
        Ok(())
    }

    /// Goes on giving orders through an outage of the service that all nodes have.
    ///
    /// Without this no adapter is loaded for as long as an outage lasts and eight
    /// seconds more. It takes every other node, and a right that has not ended
    /// meanwhile. A node that a kept connection fails to reach is asked again: a
    /// renewal takes so long to fail that one right has time for one round only,
    /// and a node restarted in that second ended the orders of all others for the
    /// rest of an outage.
    async fn go_on_without(&self, error: &Error) {
        let sent = self.clock.now();
        let owned: Vec<(SocketAddr, u64)> = self
            .right
            .owned()
            .iter()
            .map(|(address, owned)| (*address, owned.token))
            .collect();
        if owned.is_empty() {
            log::warn!("right: no renewal: {error}");
            return;
        }
        let doubters = self.doubters(&owned).await;
        let supported = doubters.is_empty() && self.right.lasts();
        let outcome = if supported { "supported" } else { "refused" };
        self.metrics.support.with_label_values(&[outcome]).inc();
        if supported {
            self.right.until.store((sent + RIGHT).0, Ordering::Relaxed);
            log::info!("right: supported by all others without a renewal: {error}");
            return;
        }
        let owned = owned.len();
        log::warn!("right: no renewal and no support for {owned} engines: {error}");
        for Doubter { peer, why } in doubters {
            log::info!("right: {peer} gives no support: {why}");
        }
    }

    /// Asks others until all agree or the right has ended, and returns who didn't agree.
    async fn doubters(&self, owned: &[(SocketAddr, u64)]) -> Vec<Doubter> {
        if !self.right.lasts() {
            return Vec::new();
        }
        let Some(mut asked) = self.support.others() else {
            return vec![Doubter {
                peer: self.peer.address,
                why: "no other node is known, and there were some".to_owned(),
            }];
        };
        loop {
            let doubters = self.support.doubters(&asked, owned).await;
            if doubters.is_empty() || !self.right.lasts() {
                return doubters;
            }
            tokio::time::sleep(SUPPORT_PAUSE.duration()).await;
            asked = doubters.iter().map(|doubter| doubter.peer).collect();
        }
    }

    /// Renews the lease, without waiting so long that no second try fits into the right.
    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        tokio::time::timeout(RENEWAL_ANSWER.duration(), self.lease.renew(lease))
            .await
            .map_err(|_| Error::NoAnswer(format!("no renewal within {RENEWAL_ANSWER}")))?
    }

    /// Reads all claims anew after the right had lapsed.
    ///
    /// Meanwhile the claims may have been taken away and others may have made
    /// theirs; what the view last saw is older than that.
    async fn read_claims(&self) -> Result<(), Error> {
        let listing = self.store.list(&self.dialect.own(CLAIMS)).await?;
        let now = self.clock.now();
        self.view
            .state()
            .replace_claims(&*self.dialect, &listing.entries, now);
        Ok(())
    }

    async fn register(&self, lease: LeaseId) -> Result<(), Error> {
        let key = self.dialect.own(&format!("{NODES}{}", self.node));
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![Write::Put(key, encoded(&self.peer), Some(lease))],
        };
        self.store.commit(transaction).await?;
        Ok(())
    }

    /// Takes over engines that nobody gives orders to, those first that fall to this node.
    ///
    /// A transaction makes all its claims or none, and news of others' claims comes seconds
    /// late. Where hundreds of nodes claim at once, one engine that is taken already would fail
    /// the same transaction each round; the service's refusal says which it is.
    async fn claim(&self, lease: LeaseId, began: Millis) -> Result<(), Error> {
        self.adopt(self.clock.now());
        for _ in 0..CLAIM_TRIES {
            let mut wanted = self.wanted(began, self.clock.now());
            if wanted.is_empty() {
                return Ok(());
            }
            let rest = wanted.split_off(CLAIMS_AT_ONCE.min(wanted.len()));
            let commit = self.store.commit(self.claims(&wanted, lease)).await?;
            let now = self.clock.now();
            if commit.done {
                for one in wanted {
                    self.won(one.address, commit.revision, one.before, one.from, now);
                }
                if !rest.iter().any(|one| one.former) {
                    return Ok(());
                }
            } else if !self.learn(&commit.found, now) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the transaction that makes claims.
    fn claims(&self, wanted: &[Wanted], lease: LeaseId) -> Transaction {
        let mut transaction = Transaction::default();
        for Wanted {
            address,
            left,
            from,
            ..
        } in wanted
        {
            let key = self.key(*address);
            transaction.conditions.push(match left {
                Some(left) => Condition::Unchanged(key.clone(), left.revision),
                None => Condition::Absent(key.clone()),
            });
            let claim = encoded(&self.own_claim(None, *from));
            transaction.writes.push(Write::Put(key, claim, Some(lease)));
        }
        transaction
    }

    /// Takes in claims that a refused transaction met; returns whether there were any.
    fn learn(&self, found: &[Entry], now: Millis) -> bool {
        log::debug!("right: {} engines were claimed by others", found.len());
        let mut state = self.view.state();
        let mut learnt = false;
        for entry in found {
            if let Key::Own(name) = self.dialect.key(&entry.key)
                && let Some(address) = claimed(&name)
            {
                state.put_claim(address, entry, now);
                learnt = true;
            }
        }
        learnt
    }

    /// Takes up claims of this start whose write had no answer.
    ///
    /// Without this nobody would give those engines orders: to all others they
    /// are taken.
    fn adopt(&self, now: Millis) {
        let unanswered: Vec<(SocketAddr, u64, Millis)> = {
            let state = self.view.state();
            state
                .claims
                .iter()
                .filter(|(address, standing)| {
                    standing.claim.node == self.node
                        && standing.claim.start == self.peer.start
                        && standing.claim.left.is_none()
                        && !self.right.owns(**address)
                })
                .map(|(address, standing)| (*address, standing.revision, standing.claim.from))
                .collect()
        };
        for (address, token, from) in unanswered {
            let before = Former::Itself { from: Some(from) };
            self.won(address, token, before, from, now);
        }
    }

    fn won(&self, address: SocketAddr, token: u64, before: Former, from: Millis, now: Millis) {
        let name = before.name();
        self.metrics.takeovers.with_label_values(&[name]).inc();
        let start = from.max(now);
        log::info!(
            "right: orders to {address} are this node's, token {token}, from {start}, former owner: {name}"
        );
        self.view.state().claim(
            address,
            Standing {
                claim: self.own_claim(None, from),
                revision: token,
                seen: now,
            },
        );
        self.right.take(address, token, start);
    }

    fn own_claim(&self, left: Option<Millis>, from: Millis) -> Claim {
        Claim {
            node: Name::clone(&self.node),
            start: self.peer.start,
            left,
            from,
            boot: self.boot,
        }
    }

    /// Returns the least time between the last order of one node and the first one of another.
    pub(super) fn turn(&self) -> Millis {
        self.limits.get().turns + TURN_MARGIN
    }

    /// Returns engines without an owner, those first that fall to this node.
    ///
    /// Nodes that start together know few of each other yet. By rank alone each would take any
    /// engine for its own; by weight too, they begin with different ones.
    fn wanted(&self, began: Millis, now: Millis) -> Vec<Wanted> {
        let state = self.view.state();
        let Some(config) = state.config.clone() else {
            return self.former_claims(&state, began);
        };
        let limits = self.limits.get();
        let gathered = began + limits.gather();
        let mut wanted = Vec::new();
        for upstream in state.upstreams.values() {
            let engine = config
                .pools
                .get(&upstream.pool)
                .is_some_and(|pool| pool.engine.is_some());
            if !engine || !upstream.is_ready() || self.right.owns(upstream.address) {
                continue;
            }
            let address = upstream.address;
            let standing = state.claims.get(&address);
            if let Some(standing) = standing.filter(|standing| self.is_former(standing)) {
                wanted.push(self.former_claim(&state, address, standing, began));
                continue;
            }
            if now < gathered || standing.is_some_and(|standing| standing.claim.left.is_none()) {
                continue;
            }
            let since = standing
                .map(|standing| standing.seen)
                .or_else(|| state.vanished.get(&address).map(|(_, at)| *at))
                .unwrap_or(gathered.max(upstream.seen));
            let passed = now.since(since);
            // Whoever comes later than that waits longer in any case.
            let rank = self.rank(&state, address, passed.0 / limits.claim_rank().0 + 1);
            let mut patience = Millis(limits.claim_rank().0 * rank);
            match state.vanished.get(&address) {
                Some((former, _)) if former.node == self.node => patience = Millis::ZERO,
                // All claims can lapse in an outage; a former owner that lives
                // needs no waiting out and goes first. A dead one has to be
                // waited out for longer than this anyway.
                Some(_) => patience += HEAD_START,
                None => {}
            }
            if passed >= patience {
                let (before, from) = self.follows(&state, address, standing, began);
                wanted.push(Wanted {
                    address,
                    left: standing.cloned(),
                    former: false,
                    before,
                    from,
                    rank,
                    weight: weight(seed(address), &self.node),
                });
            }
        }
        wanted.sort_by_key(|one| (!one.former, one.rank, Reverse(one.weight)));
        wanted
    }

    /// Returns the claims of earlier starts of this node, while engines aren't known yet.
    ///
    /// They end with their lease within seconds. Whoever took them up only once all engines are
    /// read would come too late where all nodes read at once.
    fn former_claims(&self, state: &State, began: Millis) -> Vec<Wanted> {
        let claims = state.claims.iter();
        let former = claims
            .filter(|(address, standing)| self.is_former(standing) && !self.right.owns(**address));
        former
            .map(|(address, standing)| self.former_claim(state, *address, standing, began))
            .collect()
    }

    /// A claim that an earlier start of the same node left.
    fn former_claim(
        &self,
        state: &State,
        address: SocketAddr,
        standing: &Standing,
        began: Millis,
    ) -> Wanted {
        let (before, from) = self.follows(state, address, Some(standing), began);
        Wanted {
            address,
            left: Some(standing.clone()),
            former: true,
            before,
            from,
            rank: 0,
            weight: 0,
        }
    }

    /// Whether a claim is of an earlier start of this node.
    ///
    /// Its process has ended, and to an engine both are one VM: when many nodes
    /// are restarted at once, engines would otherwise get no orders until all
    /// leases have lapsed and all rights have run out.
    fn is_former(&self, standing: &Standing) -> bool {
        standing.claim.node == self.node && standing.claim.start != self.peer.start
    }

    /// Returns how many living nodes come before this one for an engine, `most` at most.
    ///
    /// With hundreds of nodes and thousands of engines without an owner, as after a start of all
    /// nodes, counting them all took longer than a lease lasts.
    fn rank(&self, state: &State, address: SocketAddr, most: u64) -> u64 {
        let seed = seed(address);
        let mine = weight(seed, &self.node);
        let before = state
            .nodes
            .keys()
            .filter(|node| **node != self.node && weight(seed, node) > mine);
        before
            .take(usize::try_from(most).unwrap_or(usize::MAX))
            .count() as u64
    }

    fn key(&self, address: SocketAddr) -> String {
        self.dialect.own(&format!("{CLAIMS}{address}"))
    }
}

fn seed(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), CLAIM_SEED)
}

fn weight(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}

fn encoded<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("names and numbers make JSON")
        .into()
}
