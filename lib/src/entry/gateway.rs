//! Handles a caller's request: authentication, routing, body, dispatch and response.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Request, Response, Version, request};
use http_body::Body as HttpBody;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::admission::InFlightLimiter;
use super::answer::{self, Body, Problem};
use super::completion::CompletionRequest;
use super::dispatch::{self, DispatchRequest, ResponseMode, UpstreamRun};
use super::quarantine::Quarantine;
use super::route::{self, Completion, Route};
use super::session::Session;
use super::{Dependencies, idempotency, key, messages, models, relay, service};
use crate::adapter::Adapter;
use crate::buffer;
use crate::claim::{self, Claim, ClaimManager};
use crate::clock::Millis;
use crate::config::View;
use crate::declaration::{Account, Template};
use crate::error::{Code, Failure};
use crate::membership::Fleet;
use crate::membership::fleet::State;
use crate::name::Name;
use crate::poison::fingerprint::{Fingerprint, Identity};
use crate::poison::report::{Suspect, Suspicion};
use crate::poison::subjects::Subjects;
use crate::policy::placement::{self, Pool, Router};
use crate::request::Ticket;
use crate::retry::RetryBudget;
use crate::runner::Work;

/// `Retry-After` of requests for which this node's configuration is outdated.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Header by which the caller shortens the request's deadline.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// State shared by all requests of a node.
#[derive(Debug)]
pub struct Gateway {
    /// Other parts of the node that requests depend on.
    pub parts: Arc<Dependencies>,
    /// Limits the requests in progress.
    pub in_flight: Arc<InFlightLimiter>,
    /// Limits the buffered bytes of bodies and responses.
    pub buffer: Arc<buffer::Pool>,
    /// Bytes that they may take.
    pub buffer_limit: buffer::Limit,
    /// Budget of retries.
    pub budget: Mutex<RetryBudget>,
    claims: ClaimManager,
    jitter: Mutex<Pcg64Mcg>,
    router: Mutex<Router>,
    pools: Mutex<Pools>,
}

/// Cache of pools prepared for placement; valid for one version of the fleet.
#[derive(Debug, Default)]
struct Pools {
    fleet: Arc<Fleet>,
    prepared: HashMap<Name, Arc<Pool>>,
}

/// The authenticated client account, and the configuration on which the request is decided.
struct Caller {
    view: Arc<View>,
    account: Arc<Account>,
}

impl Gateway {
    /// Creates the state of a node, and starts its tasks for claims and the quarantine.
    #[must_use]
    pub fn new(parts: Arc<Dependencies>) -> Arc<Self> {
        let limits = &parts.limits;
        let quarantine = Arc::clone(&parts.quarantine);
        tokio::spawn(quarantine.follow(parts.fleet.clone()));
        Arc::new(Self {
            in_flight: InFlightLimiter::new(limits.in_flight),
            buffer: buffer::Pool::new(
                buffer::Source::Callers,
                Arc::clone(&parts.clock),
                Arc::clone(&parts.metrics),
            ),
            buffer_limit: buffer::Limit::new(limits.max_buffered_bytes),
            budget: Mutex::new(RetryBudget::new(limits.retry_percent, parts.clock.now())),
            claims: ClaimManager::start(claim_dependencies(&parts)),
            jitter: Mutex::new(Pcg64Mcg::seed_from_u64(parts.seed)),
            router: Mutex::new(Router::new(limits.placement.clone(), parts.seed)),
            pools: Mutex::default(),
            parts,
        })
    }

    /// Returns the quarantine of requests that crash upstreams.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.parts.quarantine
    }

    /// Records a broken connection to an upstream; does nothing for failures of other kinds.
    pub fn record_broken_connection(&self, run: &UpstreamRun, code: Code, suspicion: Suspicion) {
        if matches!(code, Code::UpstreamLost | Code::AnswerCut) {
            let fleet = Arc::clone(&self.parts.fleet.borrow());
            let quarantine = self.quarantine();
            let suspect = Suspect {
                trial: run.on_trial,
                ..Suspect::new(&run.subjects, suspicion)
            };
            quarantine.record_broken_connection(&fleet, &run.upstream, suspect);
        }
    }

    /// Updates the routing of a request whose template changed while it was queued at an owner.
    ///
    /// The owner can learn of the change first, so this waits until the node has learned of it.
    ///
    /// # Errors
    ///
    /// [`Code::Outdated`] if this node doesn't learn of the change in time, or if the template was
    /// removed or changed between engine and service; the request has not run.
    pub async fn reroute(&self, ticket: &mut Ticket) -> Result<(), Failure> {
        let revision = ticket.revision;
        let mut views = self.parts.view.clone();
        let newer = views.wait_for(|view| view.revision() > revision);
        let upstream_wait = self.parts.limits.upstream_wait.duration();
        let view = match tokio::time::timeout(upstream_wait, newer).await {
            Ok(Ok(view)) => Arc::clone(&view),
            _ => return Err(outdated("this node doesn't know the change yet")),
        };
        let template = view.template(&ticket.account, &ticket.template);
        let template = template.ok_or_else(|| outdated("its template is gone"))?;
        if template.adapter.is_some() != ticket.adapter.is_some() {
            return Err(outdated("its template is of another kind now"));
        }
        ticket.adapter.clone_from(&template.adapter);
        ticket.pool = Name::clone(&template.pool);
        ticket.revision = view.revision();
        Ok(())
    }

    /// Returns a random number for the jitter of a backoff.
    #[must_use]
    pub fn random(&self) -> u64 {
        lock(&self.jitter).random()
    }

    /// Returns a pool prepared for placement; upstreams without an owner count as unusable.
    #[must_use]
    pub fn pool(&self, fleet: &Arc<Fleet>, name: &Name) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        if !Arc::ptr_eq(&pools.fleet, fleet) {
            pools.fleet = Arc::clone(fleet);
            pools.prepared.clear();
        }
        let pool = pools
            .prepared
            .entry(Name::clone(name))
            .or_insert_with(|| Arc::new(prepare_pool(fleet, name)));
        Arc::clone(pool)
    }

    /// Returns the upstreams to try, in order; the last one is where the request waits.
    #[must_use]
    pub fn candidates(
        &self,
        pool: &Pool,
        adapter: Option<&Adapter>,
        now: Millis,
    ) -> placement::CandidateOrder {
        lock(&self.router).candidates(pool, adapter, now)
    }

    /// Records that an upstream refused a request or failed, which placement avoids for a while.
    pub fn record_refusal(
        &self,
        pool: &Pool,
        index: usize,
        adapter: Option<&Adapter>,
        code: Code,
        now: Millis,
    ) {
        lock(&self.router).record_refusal(pool, index, adapter, code, now);
    }

    /// Handles a request and returns the response for its caller.
    pub async fn handle<B>(self: Arc<Self>, request: Request<B>) -> Response<Body>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        let mut session = Session::start(&self);
        match self.route_request(&mut session, request).await {
            Ok(Reply::Text(text)) => {
                session.finish();
                let mut response = answer::json(text);
                answer::set_request_id(&mut response, session.id());
                response
            }
            Ok(Reply::Outcome(outcome, deadline)) => relay::respond(session, outcome, deadline),
            Err(problem) => session.reject(&problem),
        }
    }

    async fn route_request<B>(
        &self,
        session: &mut Session,
        request: Request<B>,
    ) -> Result<Reply, Problem>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        let (head, body) = request.into_parts();
        // One snapshot of the configuration is used for the whole request.
        let view = Arc::clone(&self.parts.view.borrow());
        let account = key::authenticate(&view, &head.headers)?;
        let caller = Caller { view, account };
        let route = route::route(&head.method, &head.uri)?;
        session.admit(&caller.account.name)?;
        match route {
            Route::Models => Ok(Reply::Text(models::list(&caller.view, &caller.account))),
            Route::Model(name) => {
                let text = models::describe(&caller.view, &caller.account, &name)?;
                Ok(Reply::Text(text))
            }
            Route::Completion(completion) => {
                self.handle_completion(session, &caller, completion, &head, body)
                    .await
            }
            Route::Service { template, path } => {
                let template = caller.template(&template)?;
                self.handle_service_call(session, &caller, &template, &path, head, body)
                    .await
            }
        }
    }

    async fn handle_completion<B>(
        &self,
        session: &mut Session,
        caller: &Caller,
        completion: Completion,
        head: &request::Parts,
        body: B,
    ) -> Result<Reply, Problem>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        let limits = &self.parts.limits;
        let body = buffer::read(
            body,
            limits.max_body_bytes,
            limits.body_timeout,
            &mut session.buffered,
        )
        .await?;
        let asked = CompletionRequest::parse(completion, &body)?;
        let template = caller.template(&asked.model)?;
        if template.adapter.is_none() {
            return Err(wrong_template_kind("call it under /services/"));
        }
        let limit = self.body_limit(&template);
        if body.len() > limit {
            return Err(buffer::too_large(limit).into());
        }
        let allowed = asked.allowed_tokens(completion, &template, limits)?;
        let time_limit = self.time_limit(&template, &head.headers)?;
        let key = idempotency::key(&head.headers)?;
        let mut ticket = caller.ticket(session, &template, time_limit);
        ticket.prompt_tokens = asked.prompt_tokens;
        ticket.max_output_tokens = allowed;
        let work = Work::Completion {
            path: completion.path().into(),
            body: asked.with_token_limit(completion, body, allowed),
            stream: asked.stream,
        };
        let mode = if asked.stream {
            ResponseMode::Events
        } else {
            ResponseMode::Buffered
        };
        self.dispatch(session, caller, ticket, work, mode, key)
            .await
    }

    async fn handle_service_call<B>(
        &self,
        session: &mut Session,
        caller: &Caller,
        template: &Template,
        path: &str,
        head: request::Parts,
        body: B,
    ) -> Result<Reply, Problem>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        if template.adapter.is_some() {
            return Err(wrong_template_kind("name it as model of a completion"));
        }
        let time_limit = self.time_limit(template, &head.headers)?;
        let key = idempotency::key(&head.headers)?.map(<[u8]>::to_vec);
        let mode = if head.version < Version::HTTP_11 {
            ResponseMode::BufferedUnlessSized
        } else {
            ResponseMode::Bytes
        };
        let head = service::upstream_request_head(head, path, session.id())?;
        let timeout = self.parts.limits.body_timeout;
        let limit = self.body_limit(template);
        let body = buffer::read(body, limit, timeout, &mut session.buffered).await?;
        let ticket = caller.ticket(session, template, time_limit);
        let work = Work::Call {
            head: Box::new(head),
            body,
        };
        self.dispatch(session, caller, ticket, work, mode, key.as_deref())
            .await
    }

    async fn dispatch(
        &self,
        session: &mut Session,
        caller: &Caller,
        ticket: Ticket,
        work: Work,
        mode: ResponseMode,
        key: Option<&[u8]>,
    ) -> Result<Reply, Problem> {
        session.set_ticket(&ticket);
        let mut claim = self.acquire_claim(session, &ticket, &work, key).await?;
        let mut request = DispatchRequest {
            subjects: Arc::new(Subjects::new(
                fingerprint(&ticket, &work),
                prompt_parts(&work),
            )),
            on_trial: false,
            deadline: ticket.deadline,
            share: caller.account.share,
            ticket,
            work,
            mode,
        };
        let failure = match dispatch::run(self, session, &mut request, &mut claim).await {
            Ok(outcome) => return Ok(Reply::Outcome(outcome, request.deadline)),
            Err(failure) => failure,
        };
        // The caller may retry as soon as it learns that the request wasn't run, so the claim on
        // its key is released before the response is sent.
        if let Some(claim) = claim {
            claim.release_unused().await;
        }
        Err(failure.into())
    }

    /// Acquires the claim on the idempotency key of a request that isn't idempotent.
    async fn acquire_claim(
        &self,
        session: &mut Session,
        ticket: &Ticket,
        work: &Work,
        key: Option<&[u8]>,
    ) -> Result<Option<Claim>, Failure> {
        let Some(key) = key.filter(|_| !ticket.idempotent) else {
            return Ok(None);
        };
        let digest = idempotency::digest(ticket, work);
        let acquired = self
            .claims
            .acquire(&ticket.account, key, digest, &ticket.id)
            .await;
        acquired
            .map(Some)
            .map_err(|failure| session.machine().end(failure))
    }

    fn body_limit(&self, template: &Template) -> usize {
        let limits = &self.parts.limits;
        template
            .max_body_bytes
            .map_or(limits.body_bytes, |bytes| {
                usize::try_from(bytes).unwrap_or(usize::MAX)
            })
            .min(limits.max_body_bytes)
    }

    /// Returns the time allowed for the complete response: the template's, or the caller's if that
    /// is shorter.
    fn time_limit(&self, template: &Template, headers: &HeaderMap) -> Result<Millis, Failure> {
        let limits = &self.parts.limits;
        let max = template
            .deadline
            .unwrap_or(limits.default_deadline)
            .min(limits.max_deadline);
        let Some(value) = headers.get(DEADLINE_HEADER) else {
            return Ok(max);
        };
        let asked = value.to_str().ok().and_then(|text| text.parse().ok());
        match asked {
            Some(time_limit) if time_limit > 0 => Ok(max.min(Millis(time_limit))),
            _ => Err(Failure::new(
                Code::BadRequest,
                format!("{DEADLINE_HEADER} must be a whole number of milliseconds, at least 1"),
            )),
        }
    }
}

/// A response that isn't an error of this node.
enum Reply {
    /// JSON produced by this node.
    Text(String),
    /// An upstream's response, and the deadline for completing it.
    Outcome(dispatch::DispatchOutcome, Millis),
}

impl Caller {
    fn template(&self, name: &str) -> Result<Arc<Template>, Problem> {
        self.view
            .template(&self.account.name, name)
            .map(Arc::clone)
            .ok_or_else(|| Problem {
                failure: models::unknown_template(),
                param: Some("model"),
            })
    }

    fn ticket(&self, session: &Session, template: &Template, time_limit: Millis) -> Ticket {
        Ticket {
            id: session.id().clone(),
            account: Arc::clone(&self.account.name),
            template: Arc::clone(&template.name),
            pool: Arc::clone(&template.pool),
            adapter: template.adapter.clone(),
            class: template.class,
            weight: template.weight,
            idempotent: template.idempotent,
            deadline: session.arrived_at() + time_limit,
            prompt_tokens: 0,
            max_output_tokens: 0,
            revision: self.view.revision(),
        }
    }
}

fn claim_dependencies(parts: &Dependencies) -> claim::Dependencies {
    claim::Dependencies {
        store: Arc::clone(&parts.store),
        lease: Arc::clone(&parts.lease),
        fleet: parts.fleet.clone(),
        prefix: Name::clone(&parts.prefix),
        node: Name::clone(&parts.node),
        clock: Arc::clone(&parts.clock),
        limits: parts.limits.claims,
    }
}

/// Returns the fingerprint of what stays the same when a caller repeats a request.
fn fingerprint(ticket: &Ticket, work: &Work) -> Fingerprint {
    let (method, path, body) = match work {
        Work::Completion { path, body, .. } => ("POST", &**path, body),
        Work::Call { head, body } => {
            let path = head.uri.path_and_query();
            (
                head.method.as_str(),
                path.map_or("", PathAndQuery::as_str),
                body,
            )
        }
    };
    Fingerprint::of(&Identity {
        caller: &ticket.account,
        model: &ticket.template,
        method,
        host: "",
        path,
        body,
    })
}

/// Returns the parts of a prompt that other requests may share: all messages of a chat but the last.
fn prompt_parts(work: &Work) -> Vec<Fingerprint> {
    match work {
        Work::Completion { body, .. } => messages::shared(body),
        Work::Call { .. } => Vec::new(),
    }
}

fn prepare_pool(fleet: &Fleet, name: &str) -> Pool {
    Pool::from_entries(fleet.pool(name).iter().map(|upstream| {
        let vm = &upstream.vm;
        let usable = upstream.state == State::Usable && fleet.owner(&vm.name).is_some();
        (vm.name.as_ref(), vm.failure_domain.as_ref(), usable)
    }))
}

/// Locks a mutex that is never held across an await.
///
/// Poisoning is ignored: each change is a single step, so a panic leaves no partial change.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn outdated(detail: &str) -> Failure {
    Failure::new(Code::Outdated, detail).retry_after(RETRY_AFTER)
}

fn wrong_template_kind(detail: &str) -> Problem {
    Problem {
        failure: Failure::new(
            Code::BadRequest,
            format!("the template is of the other kind; {detail}"),
        ),
        param: Some("model"),
    }
}
