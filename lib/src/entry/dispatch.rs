//! Tries of one request at upstreams, as its state machine decides them.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{StatusCode, response};

use super::body::Joined;
use super::gate::Reserve;
use super::gateway::{Gateway, lock};
use super::session::Session;
use crate::claim::Claim;
use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::Suspicion;
use crate::policy::placement::Pool;
use crate::ports::Answer;
use crate::request::Ticket;
use crate::retry::{FailureContext, RequestState, RetryDecision};
use crate::runner::{Attempt, Share, Work};

/// How long after the deadline the owner's own word on the request is awaited.
///
/// The owner knows whether the request was still waiting when its time was up
/// and says so; giving up at the same moment would turn that into "unknown".
const GRACE: Millis = Millis(250);

/// When a pool without a usable upstream may have one again.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// How the answer is handed to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Held back until it is whole.
    Whole,
    /// Passed on event by event.
    Events,
    /// Passed on as it comes.
    Bytes,
    /// Passed on as it comes if its length is known, else held back until it is whole.
    ///
    /// To a caller of HTTP/1.0 an answer without a length ends when the connection
    /// closes, and so does one that is cut; it would take the one for the other.
    Sized,
}

impl Form {
    /// Whether it is the form of a plain service's answer.
    fn is_service(self) -> bool {
        matches!(self, Self::Bytes | Self::Sized)
    }
}

/// A request to be run.
#[derive(Debug)]
pub struct Order {
    /// What the decisions know.
    pub ticket: Ticket,
    /// The account's limits.
    pub share: Share,
    /// The bytes.
    pub work: Work,
    /// How the answer is handed on.
    pub form: Form,
    /// When the answer must be whole.
    pub deadline: Millis,
    /// What identifies the request over its attempts.
    pub fingerprint: Fingerprint,
}

/// A run of a request at an upstream, whose connection can break.
#[derive(Debug, Clone)]
pub struct Run {
    /// Where it runs.
    pub upstream: Name,
    /// The request.
    pub request: Fingerprint,
}

/// An upstream's answer.
pub enum Outcome {
    /// It is all here.
    Whole(response::Parts, Bytes),
    /// It is an engine's own error.
    Error(StatusCode, Bytes),
    /// Its first piece is here.
    Flow(Flow),
}

/// An answer that is still coming.
pub struct Flow {
    /// Status and headers.
    pub head: response::Parts,
    /// The first piece; none when the body is empty.
    pub first: Option<Bytes>,
    /// The rest.
    pub rest: BoxStream<'static, Result<Bytes, Failure>>,
    /// Whether the pieces are events.
    pub form: Form,
    /// The run that the pieces come from.
    pub run: Run,
}

/// Upstreams that this request was tried on, and how often.
type Tried = HashMap<Name, u32>;

/// Where the next try goes.
struct Target {
    /// The pool's upstreams as they were when the target was chosen.
    pool: Arc<Pool>,
    /// The upstream's place among them.
    index: usize,
    upstream: Name,
    owner: Arc<Owner>,
    /// Whether there are others that the request wasn't tried on.
    others: bool,
}

/// Runs a request until an answer begins or its state machine says that it is over.
///
/// # Errors
///
/// The failure whose fate covers all tries.
pub async fn run(
    gateway: &Gateway,
    session: &mut Session,
    order: &mut Order,
    claim: &mut Option<Claim>,
) -> Result<Outcome, Failure> {
    let now = gateway.parts.clock.now();
    lock(&gateway.budget).record_first_try(now);
    let mut tried = Tried::new();
    loop {
        gateway
            .quarantine()
            .check(&order.fingerprint)
            .map_err(|failure| session.machine().end(failure))?;
        let target = match choose(gateway, order, &tried).await {
            Ok(target) => target,
            Err(failure) => return Err(session.machine().end(failure)),
        };
        *tried.entry(Name::clone(&target.upstream)).or_default() += 1;
        spend(claim, true);
        match attempt(gateway, session, order, &target).await {
            Ok(outcome) => {
                if !matches!(outcome, Outcome::Flow(_)) {
                    gateway.quarantine().record_harmless_run(&order.fingerprint);
                }
                return Ok(outcome);
            }
            Err(failure) => {
                note_lost(gateway, session, &order.run_at(&target), &failure);
                let is_outdated = failure.code == Code::Outdated;
                let settled = settle(gateway, session, order, &target, failure);
                spend(claim, maybe_run(session, &settled));
                let pause = settled?;
                if is_outdated {
                    let decided = gateway.decide_again(&mut order.ticket).await;
                    decided.map_err(|failure| session.machine().end(failure))?;
                }
                tokio::time::sleep(pause.duration()).await;
            }
        }
    }
}

impl Order {
    fn run_at(&self, target: &Target) -> Run {
        Run {
            upstream: Name::clone(&target.upstream),
            request: self.fingerprint.clone(),
        }
    }
}

/// Notes that an upstream may have ended under a request that has brought nothing yet.
fn note_lost(gateway: &Gateway, session: &mut Session, run: &Run, failure: &Failure) {
    let sign = match session.machine().state() {
        RequestState::Running => Suspicion::Begun,
        _ => Suspicion::Possible,
    };
    gateway.note_lost(run, failure.code, sign);
}

fn spend(claim: &mut Option<Claim>, spent: bool) {
    if let Some(claim) = claim {
        claim.set_may_have_run(spent);
    }
}

fn maybe_run(session: &mut Session, settled: &Result<Millis, Failure>) -> bool {
    match settled {
        Ok(_) => !session.machine().certainly_not_run(),
        Err(failure) => failure.fate() != Fate::NotRun,
    }
}

/// Notes a failed try; returns the pause before the next one.
fn settle(
    gateway: &Gateway,
    session: &mut Session,
    order: &Order,
    target: &Target,
    failure: Failure,
) -> Result<Millis, Failure> {
    let now = gateway.parts.clock.now();
    let adapter = order.ticket.adapter.as_ref();
    if blames_upstream(failure.code) {
        gateway.refused(&target.pool, target.index, adapter, failure.code, now);
    }
    let context = FailureContext {
        now,
        has_untried_upstream: target.others,
        random: gateway.random(),
    };
    let metrics = &gateway.parts.metrics;
    let reason = failure.code.name();
    log::debug!(
        "entry: {session} try at {} failed as {}: {}",
        target.upstream,
        failure.code,
        failure.detail
    );
    let verdict = session
        .machine()
        .handle_failure(failure, context, &mut lock(&gateway.budget));
    match verdict {
        RetryDecision::Retry(pause) => {
            metrics.retries.with_label_values(&[reason]).inc();
            Ok(pause)
        }
        RetryDecision::End { failure, denial } => {
            if let Some(denial) = denial {
                let labels = [denial.name()];
                metrics.retries_denied.with_label_values(&labels).inc();
            }
            Err(failure)
        }
    }
}

/// Whether a failure says anything about the upstream or the way to it.
///
/// A caller's short deadline or bad request says nothing; taking it as a hint
/// would let one caller turn everybody's requests away from healthy upstreams.
fn blames_upstream(code: Code) -> bool {
    let requests_own = code.status() < 500;
    let says_nothing = matches!(
        code,
        Code::ExpiredRunning | Code::UpstreamError | Code::Outdated
    );
    !requests_own && !says_nothing
}

/// Chooses the upstream of the next try, waiting a while for one to become usable.
///
/// # Errors
///
/// [`Code::NoUpstream`] or [`Code::ExpiredWaiting`]; this try has not begun.
async fn choose(gateway: &Gateway, order: &Order, tried: &Tried) -> Result<Target, Failure> {
    let mut fleet = gateway.parts.fleet.clone();
    let clock = &gateway.parts.clock;
    let patience = clock.now() + gateway.parts.limits.patience;
    loop {
        fleet.mark_unchanged();
        let now = clock.now();
        if now >= order.deadline {
            return Err(Failure::new(
                Code::ExpiredWaiting,
                "the deadline has passed",
            ));
        }
        if let Some(target) = target(gateway, order, tried, now) {
            return Ok(target);
        }
        let left = patience.min(order.deadline).since(now);
        let changed = tokio::time::timeout(left.duration(), fleet.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            let detail = format!("pool {} has no usable upstream", order.ticket.pool);
            return Err(Failure::new(Code::NoUpstream, detail).retry_after(RETRY_AFTER));
        }
    }
}

/// Returns the best upstream for the next try.
///
/// The last one of the order is where the request waits when no other takes it,
/// whether it was tried there before or not: a broken picture must not leave a
/// request without any.
fn target(gateway: &Gateway, order: &Order, tried: &Tried, now: Millis) -> Option<Target> {
    let fleet = Arc::clone(&gateway.parts.fleet.borrow());
    let pool = gateway.pool(&fleet, &order.ticket.pool);
    let upstreams = fleet.pool(&order.ticket.pool);
    let ranked = gateway.order(&pool, order.ticket.adapter.as_ref(), now);
    let times = |index: usize| tried.get(&upstreams[index].vm.name).copied().unwrap_or(0);
    let (wait, replicas) = ranked.split_last()?;
    let made: u32 = tried.values().sum();
    // A request that came to rest wherever the walk happens to end would cost a
    // load there, at each upstream in turn under overload.
    let walks_on = made + 1 < gateway.parts.limits.rules.max_redirects;
    let mut untried = replicas.iter().filter(|index| times(**index) == 0);
    let untried = untried.next().filter(|_| walks_on);
    let index = *untried.unwrap_or(wait);
    let upstream = &upstreams[index].vm.name;
    let others = untried.is_some();
    Some(Target {
        index,
        upstream: Name::clone(upstream),
        owner: Arc::clone(fleet.owner(upstream)?),
        others,
        pool,
    })
}

/// Makes one try.
async fn attempt(
    gateway: &Gateway,
    session: &mut Session,
    order: &Order,
    target: &Target,
) -> Result<Outcome, Failure> {
    let left = (order.deadline + GRACE).since(gateway.parts.clock.now());
    let last = !target.others || session.machine().is_last_try();
    session.machine().record_send();
    let attempt = Attempt {
        ticket: order.ticket.clone(),
        share: order.share,
        number: session.machine().tries(),
        last,
        upstream: Name::clone(&target.upstream),
        work: order.work.clone(),
    };
    let runner = gateway.parts.reach.runner(&target.owner);
    let begin = async {
        let answer = runner.run(attempt).await?;
        session.machine().record_response_start();
        let run = order.run_at(target);
        receive(gateway, &mut session.reserve, order.form, answer, run).await
    };
    tokio::time::timeout(left.duration(), begin)
        .await
        .unwrap_or_else(|_| {
            let detail = "no word from the upstream by the deadline";
            Err(Failure::new(Code::ExpiredRunning, detail))
        })
}

/// Takes an answer whole, or up to its first piece.
///
/// Nothing goes to the caller before the first piece is here, so that an
/// upstream that breaks before it still leaves the way open for another try.
async fn receive(
    gateway: &Gateway,
    reserve: &mut Reserve,
    form: Form,
    answer: Answer,
    run: Run,
) -> Result<Outcome, Failure> {
    let Answer { mut head, mut body } = answer;
    let limit = gateway.parts.limits.answer_bytes;
    // An engine answers a streamed request that it won't run with one JSON error.
    if !form.is_service() && !head.status.is_success() {
        let error = collect(body, limit, reserve).await?;
        return Ok(Outcome::Error(head.status, error));
    }
    if form == Form::Whole {
        let whole = collect(body, limit, reserve).await?;
        return Ok(Outcome::Whole(head, whole));
    }
    if form == Form::Sized && !head.headers.contains_key(CONTENT_LENGTH) {
        let whole = collect(body, limit, reserve).await?;
        // The answer to HEAD has no body, and a length of its own.
        if !whole.is_empty() {
            let length = HeaderValue::from(whole.len());
            head.headers.insert(CONTENT_LENGTH, length);
        }
        body = stream::once(std::future::ready(Ok(whole))).boxed();
    }
    let first = body.next().await.transpose()?;
    if first.is_none() && form == Form::Events {
        return Err(Failure::new(Code::AnswerCut, "the answer has no events"));
    }
    Ok(Outcome::Flow(Flow {
        head,
        first,
        rest: body,
        form,
        run,
    }))
}

async fn collect(
    mut body: BoxStream<'static, Result<Bytes, Failure>>,
    limit: usize,
    reserve: &mut Reserve,
) -> Result<Bytes, Failure> {
    let mut whole = Joined::default();
    let held = reserve.bytes();
    while let Some(piece) = body.next().await.transpose()? {
        let bytes = whole.len() + piece.len();
        if bytes > limit {
            let detail = format!("the answer is larger than {limit} bytes");
            return Err(Failure::new(Code::AnswerCut, detail));
        }
        // The upstream has run it, so a full node can't call it not run.
        reserve
            .cover(held + bytes)
            .map_err(|failure| Failure::new(Code::AnswerCut, failure.detail))?;
        whole.push(piece);
    }
    Ok(whole.freeze())
}
