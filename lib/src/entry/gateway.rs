//! A request's way through the entry: key, template, body, tries, answer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Request, Response, Version, request};
use http_body::Body as HttpBody;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::answer::{self, Body, Problem};
use super::completion::Asked;
use super::dispatch::{self, Form, Order, Run};
use super::gate::{Buffer, Gate};
use super::quarantine::Quarantine;
use super::relay;
use super::route::{self, Completion, Route};
use super::session::Session;
use super::{Parts, body, idempotency, key, models, service};
use crate::adapter::Adapter;
use crate::claim::{self, Claim, ClaimManager};
use crate::clock::Millis;
use crate::config::View;
use crate::declaration::{Account, Template};
use crate::error::{Code, Failure};
use crate::membership::Fleet;
use crate::membership::fleet::State;
use crate::name::Name;
use crate::poison::fingerprint::{Fingerprint, Identity};
use crate::poison::ledger::Suspicion;
use crate::policy::placement::{self, Pool, Router};
use crate::request::Ticket;
use crate::retry::RetryBudget;
use crate::runner::Work;

/// When a request may be decided on the configuration that its owner knows.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Lets the caller shorten the request's deadline.
const DEADLINE: &str = "x-deadline-ms";

/// The state that all requests of a node share.
#[derive(Debug)]
pub struct Gateway {
    /// The node's other parts.
    pub parts: Arc<Parts>,
    /// Requests in progress.
    pub gate: Arc<Gate>,
    /// Bytes of bodies.
    pub buffer: Buffer,
    /// Retries left.
    pub budget: Mutex<RetryBudget>,
    claims: ClaimManager,
    jitter: Mutex<Pcg64Mcg>,
    router: Mutex<Router>,
    pools: Mutex<Pools>,
}

/// Pools prepared for placement, of one picture of the fleet.
#[derive(Debug, Default)]
struct Pools {
    fleet: Arc<Fleet>,
    prepared: HashMap<Name, Arc<Pool>>,
}

/// What is known of a request once its key was accepted.
struct Caller {
    view: Arc<View>,
    account: Arc<Account>,
}

impl Gateway {
    /// Makes the state of a node that has served nobody yet.
    #[must_use]
    pub fn new(parts: Arc<Parts>) -> Arc<Self> {
        let limits = &parts.limits;
        let quarantine = Arc::clone(&parts.quarantine);
        tokio::spawn(quarantine.follow(parts.fleet.clone()));
        Arc::new(Self {
            gate: Gate::new(limits.in_flight),
            buffer: Buffer::new(limits.buffered_bytes),
            budget: Mutex::new(RetryBudget::new(limits.retry_percent, parts.clock.now())),
            claims: ClaimManager::start(claims(&parts)),
            jitter: Mutex::new(Pcg64Mcg::seed_from_u64(parts.seed)),
            router: Mutex::new(Router::new(limits.placement.clone(), parts.seed)),
            pools: Mutex::default(),
            parts,
        })
    }

    /// Returns what is known of requests that end upstreams.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.parts.quarantine
    }

    /// Notes that the connection to an upstream broke under a request, if that is what failed.
    pub fn note_lost(&self, run: &Run, code: Code, sign: Suspicion) {
        if matches!(code, Code::UpstreamLost | Code::AnswerCut) {
            let fleet = Arc::clone(&self.parts.fleet.borrow());
            let quarantine = self.quarantine();
            quarantine.lost(&fleet, &run.upstream, &run.request, sign);
        }
    }

    /// Decides a request anew whose template was changed while it waited at an owner.
    ///
    /// The owner can know of the change before this node does.
    ///
    /// # Errors
    ///
    /// [`Code::Outdated`] when this node doesn't hear of it in time, or the template is gone or of
    /// another kind; the request has not run.
    pub async fn decide_again(&self, ticket: &mut Ticket) -> Result<(), Failure> {
        let revision = ticket.revision;
        let mut views = self.parts.view.clone();
        let newer = views.wait_for(|view| view.revision() > revision);
        let patience = self.parts.limits.patience.duration();
        let view = match tokio::time::timeout(patience, newer).await {
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

    /// Returns a random number for a pause.
    #[must_use]
    pub fn random(&self) -> u64 {
        lock(&self.jitter).random()
    }

    /// Returns a pool prepared for placement; upstreams that nobody owns count as unusable.
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
            .or_insert_with(|| Arc::new(prepare(fleet, name)));
        Arc::clone(pool)
    }

    /// Orders a pool's upstreams for one try.
    #[must_use]
    pub fn order(
        &self,
        pool: &Pool,
        adapter: Option<&Adapter>,
        now: Millis,
    ) -> placement::CandidateOrder {
        lock(&self.router).candidates(pool, adapter, now)
    }

    /// Remembers for a short while that an upstream refused or broke.
    pub fn refused(
        &self,
        pool: &Pool,
        index: usize,
        adapter: Option<&Adapter>,
        code: Code,
        now: Millis,
    ) {
        lock(&self.router).record_refusal(pool, index, adapter, code, now);
    }

    /// Answers a request.
    pub async fn handle<B>(self: Arc<Self>, request: Request<B>) -> Response<Body>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        let mut session = Session::start(&self);
        match self.answer(&mut session, request).await {
            Ok(Reply::Text(text)) => {
                session.finish();
                let mut response = answer::json(text);
                answer::name(&mut response, session.id());
                response
            }
            Ok(Reply::Outcome(outcome, deadline)) => relay::respond(session, outcome, deadline),
            Err(problem) => session.refuse(&problem),
        }
    }

    async fn answer<B>(&self, session: &mut Session, request: Request<B>) -> Result<Reply, Problem>
    where
        B: HttpBody<Data = Bytes> + Unpin + Send,
    {
        let (head, body) = request.into_parts();
        // The view is taken once: the request is decided on it from start to end.
        let view = Arc::clone(&self.parts.view.borrow());
        let account = key::account(&view, &head.headers)?;
        let caller = Caller { view, account };
        let route = route::route(&head.method, &head.uri)?;
        session.enter(&caller.account.name)?;
        match route {
            Route::Models => Ok(Reply::Text(models::list(&caller.view, &caller.account))),
            Route::Model(name) => {
                let text = models::describe(&caller.view, &caller.account, &name)?;
                Ok(Reply::Text(text))
            }
            Route::Completion(completion) => {
                self.complete(session, &caller, completion, &head, body)
                    .await
            }
            Route::Service { template, path } => {
                let template = caller.template(&template)?;
                self.call(session, &caller, &template, &path, head, body)
                    .await
            }
        }
    }

    async fn complete<B>(
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
        let body = body::read(
            body,
            limits.max_body_bytes,
            limits.body_timeout,
            &mut session.reserve,
        )
        .await?;
        let asked = Asked::read(completion, &body)?;
        let template = caller.template(&asked.model)?;
        if template.adapter.is_none() {
            return Err(wrong_kind("call it under /services/"));
        }
        let limit = self.body_limit(&template);
        if body.len() > limit {
            return Err(body::too_large(limit).into());
        }
        let allowed = asked.allowed_tokens(completion, &template, limits)?;
        let span = self.deadline(&template, &head.headers)?;
        let key = idempotency::key(&head.headers)?;
        let mut ticket = caller.ticket(session, &template, span);
        ticket.prompt_tokens = asked.prompt_tokens;
        ticket.max_output_tokens = allowed;
        let work = Work::Completion {
            path: completion.path().into(),
            body: asked.bounded(completion, body, allowed),
            stream: asked.stream,
        };
        let form = if asked.stream {
            Form::Events
        } else {
            Form::Whole
        };
        self.run(session, caller, ticket, work, form, key).await
    }

    async fn call<B>(
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
            return Err(wrong_kind("name it as model of a completion"));
        }
        let span = self.deadline(template, &head.headers)?;
        let key = idempotency::key(&head.headers)?.map(<[u8]>::to_vec);
        let form = if head.version < Version::HTTP_11 {
            Form::Sized
        } else {
            Form::Bytes
        };
        let head = service::outward(head, path, session.id())?;
        let timeout = self.parts.limits.body_timeout;
        let limit = self.body_limit(template);
        let body = body::read(body, limit, timeout, &mut session.reserve).await?;
        let ticket = caller.ticket(session, template, span);
        let work = Work::Call {
            head: Box::new(head),
            body,
        };
        self.run(session, caller, ticket, work, form, key.as_deref())
            .await
    }

    async fn run(
        &self,
        session: &mut Session,
        caller: &Caller,
        ticket: Ticket,
        work: Work,
        form: Form,
        key: Option<&[u8]>,
    ) -> Result<Reply, Problem> {
        session.decide(&ticket);
        let mut claim = self.claim(session, &ticket, &work, key).await?;
        let mut order = Order {
            fingerprint: fingerprint(&ticket, &work),
            deadline: ticket.deadline,
            share: caller.account.share,
            ticket,
            work,
            form,
        };
        let failure = match dispatch::run(self, session, &mut order, &mut claim).await {
            Ok(outcome) => return Ok(Reply::Outcome(outcome, order.deadline)),
            Err(failure) => failure,
        };
        // The caller may send it again as soon as it reads that it wasn't run,
        // so the key is free before it reads that.
        if let Some(claim) = claim {
            claim.release_unused().await;
        }
        Err(failure.into())
    }

    /// Takes the claim on the request's idempotency key, if it needs one.
    async fn claim(
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
        let taken = self
            .claims
            .acquire(&ticket.account, key, digest, &ticket.id)
            .await;
        taken
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

    /// Returns the time to a whole answer: the template's, or less if the caller asks for less.
    fn deadline(&self, template: &Template, headers: &HeaderMap) -> Result<Millis, Failure> {
        let limits = &self.parts.limits;
        let most = template
            .deadline
            .unwrap_or(limits.default_deadline)
            .min(limits.max_deadline);
        let Some(value) = headers.get(DEADLINE) else {
            return Ok(most);
        };
        let asked = value.to_str().ok().and_then(|text| text.parse().ok());
        match asked {
            Some(span) if span > 0 => Ok(most.min(Millis(span))),
            _ => Err(Failure::new(
                Code::BadRequest,
                format!("{DEADLINE} must be a whole number of milliseconds, at least 1"),
            )),
        }
    }
}

/// What the caller gets when the request ended well.
enum Reply {
    /// JSON of this node's own.
    Text(String),
    /// An upstream's answer, and until when it must be whole.
    Outcome(dispatch::Outcome, Millis),
}

impl Caller {
    fn template(&self, name: &str) -> Result<Arc<Template>, Problem> {
        self.view
            .template(&self.account.name, name)
            .map(Arc::clone)
            .ok_or_else(|| Problem {
                failure: models::unknown(),
                param: Some("model"),
            })
    }

    fn ticket(&self, session: &Session, template: &Template, span: Millis) -> Ticket {
        Ticket {
            id: session.id().clone(),
            account: Arc::clone(&self.account.name),
            template: Arc::clone(&template.name),
            pool: Arc::clone(&template.pool),
            adapter: template.adapter.clone(),
            class: template.class,
            weight: template.weight,
            idempotent: template.idempotent,
            deadline: session.arrived() + span,
            prompt_tokens: 0,
            max_output_tokens: 0,
            revision: self.view.revision(),
        }
    }
}

fn claims(parts: &Parts) -> claim::Dependencies {
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

/// Returns what callers repeat of a request: its template, and what they send.
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

fn prepare(fleet: &Fleet, name: &str) -> Pool {
    Pool::from_entries(fleet.pool(name).iter().map(|upstream| {
        let vm = &upstream.vm;
        let usable = upstream.state == State::Usable && fleet.owner(&vm.name).is_some();
        (vm.name.as_ref(), vm.failure_domain.as_ref(), usable)
    }))
}

/// Locks a table that is never held over an await.
///
/// A panic elsewhere leaves these tables usable: each change is a single step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn outdated(detail: &str) -> Failure {
    Failure::new(Code::Outdated, detail).retry_after(RETRY_AFTER)
}

fn wrong_kind(detail: &str) -> Problem {
    Problem {
        failure: Failure::new(
            Code::BadRequest,
            format!("the template is of the other kind; {detail}"),
        ),
        param: Some("model"),
    }
}
