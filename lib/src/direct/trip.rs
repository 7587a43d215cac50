//! The way of one request: which upstreams it is sent to, and when it is given up.

use std::sync::Arc;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{Answer, Message, Miss};
use super::config::Route;
use super::dialect::Dispatch;
use super::entry::{CLASS, Gate, seconds};
use super::orders::Loaded;
use super::pick::Field;
use super::record::{self, Asking, End};
use super::upstream::Upstream;
use super::view::Newest;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Sends that reached no upstream, after which a request is given up.
const MOST_UNSENT: u32 = 4;

/// Sends that upstreams rejected, after which a request is given up.
const MOST_REJECTED: u32 = 3;

/// Part of the objective that a request may wait for an upstream before it is refused.
///
/// A refusal this early leaves the caller time to come back.
const REFUSE_AFTER: u64 = 8;

/// Pause before an upstream is looked for again.
const LOOK: Millis = Millis(20);

/// When a refused caller should come back at the earliest.
const COME_BACK: Millis = Millis(250);

/// Engines that are asked to load an adapter for one request, one after the other.
const MOST_ASKED: usize = 6;

/// Engines whose owner has just lost its right that are asked for one request at most.
///
/// They answer within milliseconds, unlike those that try a load.
const MOST_UNOWNED: usize = 16;

/// Engines of an adapter's order that come first however loaded they are.
///
/// They may have kept a copy of it, which loads ten times as fast.
const FIRST_HOMES: usize = 2;

/// Time before a new version has to be the only one, at which the old one is given up.
///
/// A request counts from when its engine begins it: up to two seconds in the
/// engine's queue, and the pause until this node sees the change, are taken off.
const VERSION_MARGIN: Millis = Millis(3_300);

/// Part of an engine's places that one adapter's requests may take, beyond which another engine is
/// asked to hold the adapter too.
///
/// A second copy costs a load from the weight store and a place; it pays only
/// for adapters that fill a good part of a batch by themselves.
const SPREAD_AT: f64 = 0.15;

/// The patience with an upstream that is silent, in objectives.
const PATIENCE: u64 = 3;

/// A request on its way.
#[derive(Debug)]
pub struct Trip {
    /// The node's parts.
    pub gate: Arc<Gate>,
    /// What is sent.
    pub message: Message,
    /// The route that it came by.
    pub route: Route,
    /// The pool that takes it.
    pub pool: Name,
    /// When it arrived.
    pub began: Millis,
    /// When it is given up.
    pub until: Millis,
    /// Version of the configuration that it goes by.
    pub config: u64,
    tried: SmallVec<[Name; 4]>,
    ended: bool,
    sent: u32,
    unsent: u32,
    rejected: u32,
}

/// Where to send, and the version of the adapter that is expected there.
#[derive(Debug)]
struct Target {
    upstream: Arc<Upstream>,
    version: Option<u64>,
}

impl Trip {
    /// Begins a trip.
    #[must_use]
    pub fn new(
        gate: Arc<Gate>,
        message: Message,
        route: Route,
        pool: Name,
        began: Millis,
        until: Millis,
        config: u64,
    ) -> Self {
        Self {
            gate,
            message,
            route,
            pool,
            began,
            until,
            config,
            tried: SmallVec::new(),
            ended: false,
            sent: 0,
            unsent: 0,
            rejected: 0,
        }
    }

    /// Returns the next answer, sending as often as is allowed.
    ///
    /// # Errors
    ///
    /// The failure that the caller gets; its code's fate is true.
    pub async fn answer(&mut self, resume_after: Option<u64>) -> Result<Answer, Failure> {
        loop {
            let target = self.target().await?;
            if self.sent + self.rejected > 0 && !self.take_repeat() {
                return Err(
                    self.refusal(Code::UpstreamRefused, "the budget for repeats is used up")
                );
            }
            let result = self.attempt(&target, resume_after).await;
            match result {
                Ok(answer) => {
                    if let Some(answer) = self.judge(answer, &target) {
                        return Ok(answer);
                    }
                }
                Err(miss) => self.missed(&target, miss)?,
            }
        }
    }

    /// Returns the request's id, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        self.message.call.id.as_deref().unwrap_or_default()
    }

    /// Returns how many sends may have run.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sent
    }

    /// Records how the request ended; the first end counts.
    pub fn end(&mut self, end: &End<'_>) {
        if !std::mem::replace(&mut self.ended, true) {
            record::ended(self, end);
            self.gate.count_end(end.code());
        }
    }

    /// Whether a broken answer may be continued, or a failed one repeated, elsewhere.
    #[must_use]
    pub fn may_go_on(&self) -> bool {
        self.message.kind.repeatable()
            && self.sent < self.route.attempts
            && self.now() + LOOK < self.until
    }

    /// Notes that an upstream's answer broke off, or says that the upstream failed.
    pub fn broke(&mut self, upstream: &Upstream) {
        upstream.failed(self.now());
        self.tried.push(Name::clone(&upstream.incarnation));
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.gate.clock.now()
    }

    async fn attempt(
        &mut self,
        target: &Target,
        resume_after: Option<u64>,
    ) -> Result<Answer, Miss> {
        let now = self.now();
        let dispatch = Dispatch {
            incarnation: Name::clone(&target.upstream.incarnation),
            deadline: self.until.since(now),
            urgency: self.message.kind.streamed().then_some(self.route.urgency),
            version: target.version,
            resume_after: resume_after.or(self.message.call.resume_after),
        };
        let span = self.patience(now);
        record::sent(self, &target.upstream, target.version, dispatch.deadline);
        let send = self
            .message
            .send(&target.upstream, &*self.gate.dialect, &dispatch);
        match tokio::time::timeout(span.duration(), send).await {
            Ok(result) => result,
            Err(_) => Err(Miss::Lost(
                Code::ExpiredRunning,
                format!("no answer within {span}"),
            )),
        }
    }

    /// How long to wait for an answer's head.
    fn patience(&self, now: Millis) -> Millis {
        let left = self.until.since(now);
        if self.message.kind.repeatable() && self.sent + 1 < self.route.attempts {
            left.min(Millis(self.route.objective.0 * PATIENCE))
        } else {
            left
        }
    }

    /// Takes an answer, or sets a failed one aside if the request may be repeated.
    fn judge(&mut self, answer: Answer, target: &Target) -> Option<Answer> {
        self.sent += 1;
        if answer.head.status.is_server_error() {
            self.broke(&target.upstream);
            if self.may_go_on() && self.others() && self.take_repeat() {
                self.gate.count_retry("upstream_error");
                return None;
            }
        } else {
            target.upstream.succeeded();
        }
        Some(answer)
    }

    fn missed(&mut self, target: &Target, miss: Miss) -> Result<(), Failure> {
        let now = self.now();
        let upstream = &target.upstream;
        record::missed(self, upstream, &miss);
        self.tried.push(Name::clone(&upstream.incarnation));
        match miss {
            Miss::Unsent(told) => {
                upstream.unreachable(now);
                self.unsent += 1;
                self.gate.count_retry("unsent");
                if self.unsent >= MOST_UNSENT {
                    return Err(self.refusal(Code::ConnectFailed, &told));
                }
                Ok(())
            }
            Miss::Rejected { status } => {
                self.rejected += 1;
                self.gate.count_retry("rejected");
                if let Some(adapter) = self.message.call.adapter()
                    && status == 421
                {
                    upstream.lost(adapter);
                }
                if self.rejected >= MOST_REJECTED {
                    return Err(self.refusal(Code::UpstreamRefused, "upstreams are full"));
                }
                Ok(())
            }
            Miss::Lost(code, told) => {
                upstream.failed(now);
                self.sent += 1;
                if self.may_go_on() {
                    self.gate.count_retry("lost");
                    return Ok(());
                }
                Err(Failure::new(code, told))
            }
        }
    }

    /// Takes leave to send once more from the budget of all nodes.
    fn take_repeat(&self) -> bool {
        self.gate.take_repeat(&self.pool)
    }

    fn others(&self) -> bool {
        self.gate
            .view
            .pool(&self.pool)
            .iter()
            .any(|upstream| upstream.is_ready() && !self.tried.contains(&upstream.incarnation))
    }

    /// Finds where to send, waiting a little if nothing fits.
    async fn target(&self) -> Result<Target, Failure> {
        let patience = self.began + Millis(self.route.objective.0 / REFUSE_AFTER);
        loop {
            let upstreams = self.gate.view.pool(&self.pool);
            let field = Field {
                upstreams: &upstreams,
                tried: &self.tried,
                home: &self.gate.failure_domain,
                now: self.now(),
                salt: self.salt(),
            };
            let found = match &self.message.call.model {
                None => field.least(|_| true).map(|upstream| Target {
                    upstream,
                    version: None,
                }),
                Some(model) => match self.message.call.adapter() {
                    None => field
                        .least(|upstream| upstream.has_base(model))
                        .map(|upstream| Target {
                            upstream,
                            version: None,
                        }),
                    Some(adapter) => self.holder(&field, adapter).await,
                },
            };
            if let Some(target) = found {
                return Ok(target);
            }
            let now = self.now();
            if now >= patience || now >= self.until {
                return Err(self.refusal(Code::NoUpstream, "no upstream can take it now"));
            }
            tokio::time::sleep(LOOK.duration()).await;
        }
    }

    /// Finds an engine that holds the adapter, or has one load it.
    async fn holder(&self, field: &Field<'_>, adapter: &Name) -> Option<Target> {
        let newest = self.gate.view.newest(adapter);
        let wanted = newest.map_or(0, |newest| newest.version);
        let holds = |least: u64| {
            move |upstream: &Upstream| upstream.version(adapter).is_some_and(|held| held >= least)
        };
        let holder = field.least(holds(wanted));
        // An engine that can't be reached holds the adapter for nobody: another
        // loads it, instead of the request ending at the dead one's door. One
        // that only fails some requests keeps them: copies of all its adapters
        // would cost more than the failures.
        let turned_away = self.rejected > 0;
        let usable = |upstream: &Arc<Upstream>| {
            let full = turned_away && self.tried.contains(&upstream.incarnation);
            !full && !upstream.is_unreachable(field.now)
        };
        if let Some(upstream) = holder.clone().filter(usable) {
            self.spread(field, adapter, wanted, &upstream);
            return Some(self.at(upstream, adapter));
        }
        let limit = self.gate.limits.get().version;
        let old_until = newest.map_or(Millis::ZERO, |newest| old_until(newest, limit));
        if field.now < old_until
            && let Some(upstream) = field.least(holds(0))
        {
            self.gate
                .load_soon(self.homes(field, adapter), adapter, wanted);
            return Some(self.at(upstream, adapter));
        }
        let (mut asked, mut unowned) = (0, 0);
        for upstream in self.homes(field, adapter) {
            if asked == MOST_ASKED || unowned == MOST_UNOWNED {
                break;
            }
            let left = self.until.since(self.now());
            let asking = Asking::new(self, &upstream, adapter);
            let load = self.gate.desks.load(&upstream, adapter, wanted);
            let Ok(loaded) = tokio::time::timeout(left.duration(), load).await else {
                break;
            };
            let took = asking.answered(loaded);
            self.gate
                .metrics
                .load_wait
                .with_label_values(&[CLASS])
                .observe(seconds(took));
            match loaded {
                Loaded::Ready(_) if upstream.is_ready() => {
                    return Some(self.at(upstream, adapter));
                }
                Loaded::NotOwner => unowned += 1,
                _ => asked += 1,
            }
        }
        holder.map(|upstream| self.at(upstream, adapter))
    }

    /// Whether an engine holds the adapter's base and somebody who answers gives it orders.
    ///
    /// An engine without an owner who answers can load nothing. While nodes are gone and the
    /// service is away there are many of them; asked one after the other, they used up the
    /// questions of a request that an engine further down could have served.
    fn can_load(&self, upstream: &Upstream, adapter: &Name) -> bool {
        upstream.has_base(adapter) && self.gate.desks.is_ordered(upstream)
    }

    /// Engines that could load the adapter, those with no older version of it first.
    fn homes(&self, field: &Field<'_>, adapter: &Name) -> Vec<Arc<Upstream>> {
        let mut homes = field.homes(adapter);
        homes.retain(|upstream| self.can_load(upstream, adapter));
        if let Some(rest) = homes.get_mut(FIRST_HOMES..) {
            rest.sort_by_key(|upstream| upstream.held_count());
        }
        homes.sort_by_key(|upstream| upstream.version(adapter).is_some());
        homes
    }

    /// Has a further engine hold an adapter whose requests crowd those that hold it.
    fn spread(&self, field: &Field<'_>, adapter: &Name, wanted: u64, least: &Upstream) {
        let nodes = self.gate.view.state().most_nodes;
        // Callers come to all nodes alike, so that this node's requests tell
        // of all without asking.
        #[allow(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let running = f64::from(least.running_of(adapter)) * nodes as f64;
        if running <= SPREAD_AT * f64::from(least.slots) {
            return;
        }
        let mut homes = field.homes(adapter);
        homes.retain(|upstream| {
            upstream.version(adapter).is_none()
                && upstream.load() < least.load()
                && self.can_load(upstream, adapter)
        });
        self.gate.load_soon(homes, adapter, wanted);
    }

    fn at(&self, upstream: Arc<Upstream>, adapter: &Name) -> Target {
        self.gate.desks.note_use(&upstream, adapter);
        // An adapter that was loaded as whatever is the newest has no number
        // here; expecting one would have the engine turn the request away.
        let version = upstream.version(adapter).filter(|version| *version > 0);
        Target { upstream, version }
    }

    /// The last part of the prompt that others share, or the request itself.
    fn salt(&self) -> u64 {
        let call = &self.message.call;
        let shared = call.parts.len().checked_sub(2);
        match (shared.and_then(|at| call.parts.get(at)), &call.id) {
            (Some(part), _) => part.id,
            (None, Some(id)) => xxh3_64(id.as_bytes()),
            (None, None) => 0,
        }
    }

    /// A refusal that is true: nothing runs, or what ran is said to be unknown.
    fn refusal(&self, code: Code, told: &str) -> Failure {
        if self.sent > 0 {
            return Failure::new(Code::UpstreamLost, told);
        }
        Failure::new(code, told).retry_after(COME_BACK)
    }
}

/// Until when an older version than the newest may still be begun on.
#[must_use]
pub fn old_until(newest: Newest, limit: Millis) -> Millis {
    newest.seen + (limit - VERSION_MARGIN)
}

impl Drop for Trip {
    /// A request whose caller goes away is dropped wherever it stands.
    fn drop(&mut self) {
        self.end(&End::Left);
    }
}
