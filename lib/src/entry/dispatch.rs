//! Sends a request to upstreams, with the retries that its state machine decides on.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{StatusCode, response};

use super::gateway::{Gateway, lock};
use super::session::Session;
use crate::buffer::{self, Reservation};
use crate::claim::Claim;
use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::poison::report::Suspicion;
use crate::poison::subjects::Subjects;
use crate::policy::placement::Pool;
use crate::ports::UpstreamResponse;
use crate::request::Ticket;
use crate::retry::{FailureContext, RequestState, RetryDecision};
use crate::runner::{Attempt, Share, Work};

/// How long after the deadline the entry node still waits for the owner's response.
///
/// The owner knows whether the request was still queued at its deadline and reports it; a timeout
/// at the same moment would turn that into "unknown".
const OWNER_RESPONSE_GRACE: Millis = Millis(250);

/// `Retry-After` of requests for a pool without a usable upstream.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// How the response is delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMode {
    /// Buffered until it is complete.
    Buffered,
    /// Forwarded event by event.
    Events,
    /// Forwarded as its bytes arrive.
    Bytes,
    /// Forwarded as its bytes arrive if its length is known, else buffered until it is complete.
    ///
    /// An HTTP/1.0 response without a length ends when the connection closes, so the caller
    /// couldn't tell a complete response from a truncated one.
    BufferedUnlessSized,
}

impl ResponseMode {
    /// Whether the response comes from a plain service, not from an engine.
    fn is_service(self) -> bool {
        matches!(self, Self::Bytes | Self::BufferedUnlessSized)
    }
}

/// A request to be sent to an upstream.
#[derive(Debug)]
pub struct DispatchRequest {
    /// What placement, queueing and retries decide on.
    pub ticket: Ticket,
    /// The client account's limits at one upstream.
    pub share: Share,
    /// The content that is sent.
    pub work: Work,
    /// How the response is delivered.
    pub mode: ResponseMode,
    /// When the response must be complete.
    pub deadline: Millis,
    /// What it can be blamed for a crash by.
    pub subjects: Arc<Subjects>,
    /// Whether it is sent to find out whether blamed prompt parts still crash upstreams.
    pub on_trial: bool,
}

/// A request at the upstream that it was sent to.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// The upstream.
    pub upstream: Name,
    /// What the request can be blamed for a crash by.
    pub subjects: Arc<Subjects>,
    /// Whether it was sent on trial.
    pub on_trial: bool,
}

/// An upstream's response.
pub enum DispatchOutcome {
    /// The buffered response is complete.
    Complete(response::Parts, Bytes),
    /// The engine responded with an error status.
    EngineError(StatusCode, Bytes),
    /// The first chunk has arrived.
    Streaming(StreamingResponse),
}

/// A response whose body is still arriving.
pub struct StreamingResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// The first chunk; none if the body is empty.
    pub first: Option<Bytes>,
    /// The chunks after the first.
    pub rest: BoxStream<'static, Result<Bytes, Failure>>,
    /// How it is delivered to the caller.
    pub mode: ResponseMode,
    /// The run that produces the chunks.
    pub run: UpstreamRun,
}

/// Number of tries of this request at each upstream.
type TryCounts = HashMap<Name, u32>;

/// The upstream of the next try.
struct Target {
    /// Snapshot of the pool from which the upstream was chosen.
    pool: Arc<Pool>,
    /// The upstream's index in the pool.
    index: usize,
    upstream: Name,
    owner: Arc<Owner>,
    /// Whether the request can be redirected to another upstream that it wasn't tried at.
    has_untried: bool,
}

/// Sends a request until a response begins or its state machine allows no further try.
///
/// # Errors
///
/// The failure whose fate holds for all tries together.
pub async fn run(
    gateway: &Gateway,
    session: &mut Session,
    request: &mut DispatchRequest,
    claim: &mut Option<Claim>,
) -> Result<DispatchOutcome, Failure> {
    let now = gateway.parts.clock.now();
    lock(&gateway.budget).record_first_try(now);
    let mut tried = TryCounts::new();
    loop {
        pass_quarantine(gateway, request, tried.is_empty())
            .map_err(|failure| session.machine().end(failure))?;
        let target = match select_target(gateway, request, &tried).await {
            Ok(target) => target,
            Err(failure) => return Err(session.machine().end(failure)),
        };
        *tried.entry(Name::clone(&target.upstream)).or_default() += 1;
        set_may_have_run(claim, true);
        match send_attempt(gateway, session, request, &target).await {
            Ok(outcome) => {
                if !matches!(outcome, DispatchOutcome::Streaming(_)) {
                    gateway
                        .quarantine()
                        .record_harmless_run(&request.subjects, now);
                }
                return Ok(outcome);
            }
            Err(failure) => {
                record_broken_connection(gateway, session, &request.run_on(&target), &failure);
                let is_outdated = failure.code == Code::Outdated;
                let backoff = handle_failure(gateway, session, request, &target, failure);
                set_may_have_run(claim, may_have_run(session, &backoff));
                let backoff = backoff?;
                if is_outdated {
                    let decided = gateway.reroute(&mut request.ticket).await;
                    decided.map_err(|failure| session.machine().end(failure))?;
                }
                tokio::time::sleep(backoff.duration()).await;
            }
        }
    }
}

/// Fails if the request is quarantined, unless this is its first try and it can be sent on trial.
fn pass_quarantine(
    gateway: &Gateway,
    request: &mut DispatchRequest,
    is_first_try: bool,
) -> Result<(), Failure> {
    let quarantine = gateway.quarantine();
    let checked = quarantine.check(&request.subjects);
    if checked.is_err() && is_first_try && quarantine.take_trial(&request.subjects) {
        request.on_trial = true;
        return Ok(());
    }
    checked
}

impl DispatchRequest {
    fn run_on(&self, target: &Target) -> UpstreamRun {
        UpstreamRun {
            upstream: Name::clone(&target.upstream),
            subjects: Arc::clone(&self.subjects),
            on_trial: self.on_trial,
        }
    }
}

/// Records that the connection broke before any of the response arrived.
fn record_broken_connection(
    gateway: &Gateway,
    session: &mut Session,
    run: &UpstreamRun,
    failure: &Failure,
) {
    let suspicion = match session.machine().state() {
        RequestState::Running => Suspicion::Begun,
        _ => Suspicion::Possible,
    };
    gateway.record_broken_connection(run, failure.code, suspicion);
}

fn set_may_have_run(claim: &mut Option<Claim>, may_have_run: bool) {
    if let Some(claim) = claim {
        claim.set_may_have_run(may_have_run);
    }
}

fn may_have_run(session: &mut Session, backoff: &Result<Millis, Failure>) -> bool {
    match backoff {
        Ok(_) => !session.machine().certainly_not_run(),
        Err(failure) => failure.fate() != Fate::NotRun,
    }
}

/// Records a failed try; returns the backoff before the next one.
fn handle_failure(
    gateway: &Gateway,
    session: &mut Session,
    request: &DispatchRequest,
    target: &Target,
    failure: Failure,
) -> Result<Millis, Failure> {
    let now = gateway.parts.clock.now();
    let adapter = request.ticket.adapter.as_ref();
    if counts_against_upstream(failure.code) {
        gateway.record_refusal(&target.pool, target.index, adapter, failure.code, now);
    }
    let context = FailureContext {
        now,
        has_untried_upstream: target.has_untried,
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
    let decision = session
        .machine()
        .handle_failure(failure, context, &mut lock(&gateway.budget));
    match decision {
        RetryDecision::Retry(backoff) => {
            metrics.retries.with_label_values(&[reason]).inc();
            Ok(backoff)
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

/// Whether a failure indicates a fault of the upstream or of the path to it.
///
/// A short deadline or a malformed request is the caller's doing. If it counted against the
/// upstream, one caller could divert all requests from healthy upstreams.
fn counts_against_upstream(code: Code) -> bool {
    let is_request_fault = code.status() < 500;
    let is_neutral = matches!(
        code,
        Code::ExpiredRunning | Code::UpstreamError | Code::Outdated
    );
    !is_request_fault && !is_neutral
}

/// Returns the upstream of the next try; waits up to the limit `upstream_wait` for a usable one.
///
/// # Errors
///
/// [`Code::NoUpstream`] or [`Code::ExpiredWaiting`]; nothing was sent for this try.
async fn select_target(
    gateway: &Gateway,
    request: &DispatchRequest,
    tried: &TryCounts,
) -> Result<Target, Failure> {
    let mut fleet = gateway.parts.fleet.clone();
    let clock = &gateway.parts.clock;
    let wait_until = clock.now() + gateway.parts.limits.upstream_wait;
    loop {
        fleet.mark_unchanged();
        let now = clock.now();
        if now >= request.deadline {
            return Err(Failure::new(
                Code::ExpiredWaiting,
                "the deadline has passed",
            ));
        }
        if let Some(target) = find_target(gateway, request, tried, now) {
            return Ok(target);
        }
        let time_left = wait_until.min(request.deadline).since(now);
        let changed = tokio::time::timeout(time_left.duration(), fleet.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            let detail = format!("pool {} has no usable upstream", request.ticket.pool);
            return Err(Failure::new(Code::NoUpstream, detail).retry_after(RETRY_AFTER));
        }
    }
}

/// Returns the best upstream for the next try.
///
/// The last candidate is where the request waits if no other upstream accepts it. It is chosen
/// even if the request was tried there before, so that an outdated view of the fleet never leaves
/// a request without an upstream.
fn find_target(
    gateway: &Gateway,
    request: &DispatchRequest,
    tried: &TryCounts,
    now: Millis,
) -> Option<Target> {
    let fleet = Arc::clone(&gateway.parts.fleet.borrow());
    let pool = gateway.pool(&fleet, &request.ticket.pool);
    let upstreams = fleet.pool(&request.ticket.pool);
    let ranked = gateway.candidates(&pool, request.ticket.adapter.as_ref(), now);
    let try_count = |index: usize| tried.get(&upstreams[index].vm.name).copied().unwrap_or(0);
    let (wait, replicas) = ranked.split_last()?;
    let total_tries: u32 = tried.values().sum();
    // The last redirect goes where the request is meant to wait. If it waited wherever its redirects
    // end instead, it would need an adapter load there, at one upstream after another under
    // overload.
    let may_redirect = total_tries + 1 < gateway.parts.limits.retry_policy.max_redirects;
    let mut untried = replicas.iter().filter(|index| try_count(**index) == 0);
    let untried = untried.next().filter(|_| may_redirect);
    let index = *untried.unwrap_or(wait);
    let upstream = &upstreams[index].vm.name;
    Some(Target {
        index,
        upstream: Name::clone(upstream),
        owner: Arc::clone(fleet.owner(upstream)?),
        has_untried: untried.is_some(),
        pool,
    })
}

/// Sends the request to an upstream once, and receives the response up to its first chunk.
async fn send_attempt(
    gateway: &Gateway,
    session: &mut Session,
    request: &DispatchRequest,
    target: &Target,
) -> Result<DispatchOutcome, Failure> {
    let time_left = (request.deadline + OWNER_RESPONSE_GRACE).since(gateway.parts.clock.now());
    let is_last = !target.has_untried || session.machine().is_last_try();
    session.machine().record_send();
    let attempt = Attempt {
        ticket: request.ticket.clone(),
        share: request.share,
        number: session.machine().tries(),
        last: is_last,
        upstream: Name::clone(&target.upstream),
        work: request.work.clone(),
    };
    let runner = gateway.parts.reach.runner(&target.owner);
    let begin = async {
        let response = runner.run(attempt).await?;
        session.machine().record_response_start();
        let run = request.run_on(target);
        receive(gateway, &mut session.buffered, request.mode, response, run).await
    };
    tokio::time::timeout(time_left.duration(), begin)
        .await
        .unwrap_or_else(|_| {
            let detail = "no word from the upstream by the deadline";
            Err(Failure::new(Code::ExpiredRunning, detail))
        })
}

/// Receives a response completely, or up to its first chunk.
///
/// Nothing is sent to the caller before the first chunk has arrived, so that the request can still
/// be retried if the upstream fails before that.
async fn receive(
    gateway: &Gateway,
    buffered: &mut Reservation,
    mode: ResponseMode,
    response: UpstreamResponse,
    run: UpstreamRun,
) -> Result<DispatchOutcome, Failure> {
    let UpstreamResponse { mut head, mut body } = response;
    let limit = gateway.parts.limits.max_response_bytes;
    // An engine rejects a streaming request with a single JSON error.
    if !mode.is_service() && !head.status.is_success() {
        let error = collect(body, limit, buffered).await?;
        return Ok(DispatchOutcome::EngineError(head.status, error));
    }
    if mode == ResponseMode::Buffered {
        let whole = collect(body, limit, buffered).await?;
        return Ok(DispatchOutcome::Complete(head, whole));
    }
    if mode == ResponseMode::BufferedUnlessSized && !head.headers.contains_key(CONTENT_LENGTH) {
        let whole = collect(body, limit, buffered).await?;
        // A response to HEAD has no body and keeps its own length.
        if !whole.is_empty() {
            let length = HeaderValue::from(whole.len());
            head.headers.insert(CONTENT_LENGTH, length);
        }
        body = stream::once(std::future::ready(Ok(whole))).boxed();
    }
    let first = body.next().await.transpose()?;
    if first.is_none() && mode == ResponseMode::Events {
        return Err(Failure::new(Code::AnswerCut, "the answer has no events"));
    }
    Ok(DispatchOutcome::Streaming(StreamingResponse {
        head,
        first,
        rest: body,
        mode,
        run,
    }))
}

async fn collect(
    mut body: BoxStream<'static, Result<Bytes, Failure>>,
    limit: usize,
    buffered: &mut Reservation,
) -> Result<Bytes, Failure> {
    let mut whole = buffer::Body::new(None);
    let reserved = buffered.bytes();
    while let Some(chunk) = body.next().await.transpose()? {
        if whole.len() + chunk.len() > limit {
            let detail = format!("the answer is larger than {limit} bytes");
            return Err(Failure::new(Code::AnswerCut, detail));
        }
        // The upstream has already run the request, so this mustn't be a `NodeFull`, which means
        // that it wasn't run.
        buffered
            .grow_to(reserved + whole.capacity_with(chunk.len()))
            .await
            .map_err(|failure| Failure::new(Code::AnswerCut, failure.detail))?;
        whole.push(&chunk);
    }
    Ok(whole.freeze())
}
