//! The entry: callers' requests, from the first byte to the answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Incoming;
use rand::RngExt;

use super::ask::Desks;
use super::attempt::{Answer, Message};
use super::budget::Budget;
use super::config::{Config, Route};
use super::dialect::Dialect;
use super::limits::Current;
use super::outbox::Outbox;
use super::quarantine::Quarantine;
use super::record::{self, End};
use super::relay::{self, Cut};
use super::request::ActiveRequest;
use super::roles::{Mix, Roles};
use super::stop::Stop;
use super::upstream::Upstream;
use super::versions::Replacements;
use super::view::View;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::metrics::Metrics;
use crate::name::Name;
use crate::poison::ledger::Sign;
use crate::ports::http::remove_hop_by_hop;
use crate::ports::metered::Metered;

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// How long a caller's wait is assumed to be if nothing bounds it.
const USUAL_WAIT: Millis = Millis::from_secs(30);

/// Pause after which an adapter may be asked for at a further engine.
const SPREAD_PAUSE: Millis = Millis(700);

/// Pause between looks at which engines read for the others.
///
/// Lists of engines change by seconds, and a look sorts them.
const ROLES_PAUSE: Millis = Millis(250);

/// When a caller should come back to a node that knows no configuration yet.
const UNREADY_PAUSE: Millis = Millis(300);

/// Label of the class in metrics: here routes and not classes rank requests.
pub const CLASS: &str = "direct";

/// What all requests of a node share.
#[derive(Debug)]
pub struct Gate {
    /// What this node believes.
    pub view: Arc<View>,
    /// Orders to engines.
    pub desks: Arc<Desks>,
    /// Formats.
    pub dialect: Arc<dyn Dialect>,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Where the node is.
    pub failure_domain: Name,
    /// Bounds in force.
    pub limits: Arc<Current>,
    /// What may not be sent any more.
    pub quarantine: Arc<Quarantine>,
    /// Versions that engines were asked to replace lately.
    pub(super) replacements: Replacements,
    /// The key-value service.
    service: Arc<Metered>,
    budget: Mutex<Budget>,
    spreading: Mutex<HashMap<Name, Millis>>,
    shares: Mutex<HashMap<Name, Share>>,
    /// The node's planned stop.
    pub stop: Stop,
    active: AtomicUsize,
}

/// An answer as it begins.
enum Begun {
    /// Its head has come, and the rest is passed on as it comes.
    Stream(Box<Answer>),
    /// All of it is there.
    Whole(Response<Body>),
}

/// How the engines of a pool share their work at this moment.
#[derive(Debug, Default)]
struct Share {
    mix: Mix,
    roles: Arc<Roles>,
    made: Millis,
}

/// Counts a request in progress until it is dropped.
#[derive(Debug)]
struct Active(Arc<Gate>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A number as gauges take it.
fn count<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

impl Gate {
    /// Makes a gate.
    #[must_use]
    pub fn new(
        view: Arc<View>,
        desks: Arc<Desks>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        failure_domain: Name,
        limits: Arc<Current>,
        service: Arc<Metered>,
    ) -> Self {
        let outbox = Arc::new(Outbox::new(
            Arc::<Metered>::clone(&service),
            Arc::<Metered>::clone(&service),
            Arc::clone(&dialect),
            Arc::clone(&clock),
            Arc::<Desks>::clone(&desks),
        ));
        let quarantine = Arc::new(Quarantine::new(
            Arc::clone(&view),
            Arc::clone(&clock),
            Arc::clone(&desks.metrics),
            Name::clone(&desks.node),
            outbox,
        ));
        Self {
            view,
            metrics: Arc::clone(&desks.metrics),
            quarantine,
            desks,
            dialect,
            clock,
            failure_domain,
            budget: Mutex::new(Budget::new(Arc::clone(&limits))),
            limits,
            replacements: Replacements::default(),
            service,
            spreading: Mutex::default(),
            shares: Mutex::default(),
            stop: Stop::default(),
            active: AtomicUsize::new(0),
        }
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.stop.is_begun() {
            return false;
        }
        let state = self.view.state();
        state.config.is_some() && !state.upstreams.is_empty()
    }

    /// Writes the node's metrics, with what it believes at this moment.
    #[must_use]
    pub fn render(&self) -> String {
        let metrics = &self.metrics;
        let age = self.service.age().map_or(-1, |age| count(age.0));
        metrics.revision_age_ms.set(age);
        metrics.in_flight.set(count(self.active()));
        metrics.owned.set(count(self.desks.right.owned_engines()));
        let mut state = self.view.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        metrics.revision.set(count(version));
        metrics
            .quarantined
            .set(count(state.ledger.blamed(self.clock.now())));
        let ready = state.upstreams.values().filter(|one| one.is_ready());
        let ready = ready.count();
        let leaving = state.upstreams.len() - ready;
        let upstreams: Vec<Arc<Upstream>> = state.upstreams.values().cloned().collect();
        // Roles are made from the view: with its lock held here the node would stand still.
        drop(state);
        let is_reader = |one: &&Arc<Upstream>| self.roles(&one.pool).reads(one.address);
        let reading = upstreams.iter().filter(is_reader).count();
        let counts = [
            ("usable", ready),
            ("leaving", leaving),
            ("reading", reading),
        ];
        for (name, number) in counts {
            metrics
                .upstreams
                .with_label_values(&[name])
                .set(count(number));
        }
        metrics.render()
    }

    /// Requests in progress.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a further send by its reason.
    pub fn count_retry(&self, reason: &str) {
        self.metrics.retries.with_label_values(&[reason]).inc();
    }

    /// Counts how a request ended; 0 is a whole answer.
    pub fn count_end(&self, code: u32) {
        let number = code.to_string();
        self.metrics
            .requests
            .with_label_values(&[number.as_str(), CLASS])
            .inc();
        if let Some(code) = Code::from_number(code) {
            self.metrics
                .refusals
                .with_label_values(&[number.as_str(), code.fate().name()])
                .inc();
        }
    }

    /// Takes what sending a request to a pool once more costs from the budget; false if it's spent.
    pub fn take_repeat(&self, pool: &Name) -> bool {
        let nodes = self.view.state().most_nodes;
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .repeat(pool, self.clock.now(), nodes)
    }

    /// Returns which engines of a pool read for the others.
    #[must_use]
    pub fn roles(&self, pool: &Name) -> Arc<Roles> {
        let now = self.clock.now();
        let mut shares = self.shares();
        let share = shares.entry(Name::clone(pool)).or_default();
        if now.since(share.made) >= ROLES_PAUSE {
            share.made = now;
            let upstreams = self.view.pool(pool);
            let ready = upstreams.iter().filter(|upstream| upstream.is_ready());
            let engines: Vec<SocketAddr> = ready.map(|upstream| upstream.address).collect();
            let readers = share.mix.readers(engines.len(), now);
            share.roles = Arc::new(Roles::split(engines, readers));
        }
        Arc::clone(&share.roles)
    }

    /// Takes in something about the mix of requests for a pool.
    pub fn observe(&self, pool: &Name, seen: impl FnOnce(&mut Mix)) {
        seen(&mut self.shares().entry(Name::clone(pool)).or_default().mix);
    }

    fn shares(&self) -> MutexGuard<'_, HashMap<Name, Share>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns until when a request may begin on a version of an adapter; none is without end.
    #[must_use]
    pub fn begin_by(&self, adapter: &str, version: u64) -> Option<Millis> {
        let limit = self.limits.get().version;
        self.view.begin_by(adapter, version, limit)
    }

    /// Has an adapter made present at the first of some engines, without waiting.
    pub fn load_soon(self: &Arc<Self>, homes: Vec<Arc<Upstream>>, adapter: &Name, version: u64) {
        let now = self.clock.now();
        let Some(upstream) = homes.into_iter().next() else {
            return;
        };
        {
            let mut spreading = self
                .spreading
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            spreading.retain(|_, since| now.since(*since) < SPREAD_PAUSE);
            if spreading.contains_key(adapter) {
                return;
            }
            spreading.insert(Name::clone(adapter), now);
        }
        let gate = Arc::clone(self);
        let adapter = Name::clone(adapter);
        tokio::spawn(async move {
            let loaded = gate.desks.load(&upstream, &adapter, version).await;
            log::debug!(
                "entry: {adapter} at {} too: {loaded:?}",
                upstream.incarnation
            );
        });
    }

    /// Answers a caller's request.
    ///
    /// # Errors
    ///
    /// Never before the head; the body can end in a [`Cut`].
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Cut> {
        self.active.fetch_add(1, Ordering::Relaxed);
        let active = Active(Arc::clone(&self));
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(failure) => Self::refuse(&failure),
        };
        if self.stop.is_begun() {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        // The request counts until its body has left or the caller has gone.
        Ok(response.map(|body| {
            body.map_frame(move |frame| {
                let _ = &active;
                frame
            })
            .boxed_unsync()
        }))
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failure> {
        let began = self.clock.now();
        let (head, body) = request.into_parts();
        let config = self.view.config().ok_or_else(|| {
            let failure = Failure::new(Code::NotReady, "no configuration is known yet")
                .retry_after(UNREADY_PAUSE);
            record::turned_away("", &failure);
            self.count_end(failure.code.number());
            failure
        })?;
        let call = self.dialect.call(&head);
        let (route, body) = match accept(&config, &head, body).await {
            Ok(accepted) => accepted,
            Err(failure) => {
                record::turned_away(call.id.as_deref().unwrap_or_default(), &failure);
                self.count_end(failure.code.number());
                return Err(failure);
            }
        };
        let wait = call.deadline.unwrap_or(USUAL_WAIT);
        let until = began + wait.min(route.timeout.unwrap_or(Millis::MAX));
        let pool = choose(route).ok_or_else(|| {
            Failure::new(Code::NoUpstream, "the route leads nowhere").retry_after(Millis(1_000))
        })?;
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .request(&pool, began);
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let message = Message {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            call,
            kind: route.kind,
            fingerprint: OnceLock::new(),
        };
        let request = ActiveRequest::new(
            Arc::clone(self),
            message,
            route.clone(),
            pool,
            began,
            until,
            config.version,
        );
        self.deliver(request).await
    }

    async fn deliver(&self, mut request: ActiveRequest) -> Result<Response<Body>, Failure> {
        let begun = tokio::select! {
            biased;
            begun = self.begin(&mut request) => begun,
            () = self.stop.over() => Err(self.cut_short(&request)),
        };
        match begun {
            Ok(Begun::Whole(response)) => {
                request.end(&End::Answered(response.status().as_u16()));
                Ok(response)
            }
            Ok(Begun::Stream(answer)) => {
                let head = response_head(&answer);
                let body = StreamBody::new(relay::body(request, *answer));
                Ok(Response::from_parts(head, body.boxed_unsync()))
            }
            Err(failure) => {
                request.end(&End::Failed(&failure));
                Err(failure)
            }
        }
    }

    /// Has a request answered, as far as that goes before its caller gets a byte.
    async fn begin(&self, request: &mut ActiveRequest) -> Result<Begun, Failure> {
        let answer = request.answer(None).await?;
        if request.message.kind.streamed() && answer.head.status.is_success() {
            return Ok(Begun::Stream(Box::new(answer)));
        }
        self.whole(request, answer).await.map(Begun::Whole)
    }

    /// Returns what the caller gets whose request outlasts the node.
    fn cut_short(&self, request: &ActiveRequest) -> Failure {
        if request.sends() == 0 {
            return Failure::new(Code::Draining, "the node stops");
        }
        self.stop.note_cut();
        Failure::new(Code::ExpiredRunning, "no answer before the node stops")
    }

    /// Reads an answer whole before it is passed on, so that one that breaks off can be repeated.
    async fn whole(
        &self,
        request: &mut ActiveRequest,
        mut answer: Answer,
    ) -> Result<Response<Body>, Failure> {
        loop {
            let head = response_head(&answer);
            let upstream = Arc::clone(&answer.upstream);
            let left = request.until.since(request.now());
            let told = match tokio::time::timeout(left.duration(), answer.whole()).await {
                Ok(Ok((_, body))) => {
                    request.survived();
                    return Ok(whole_response(head, body));
                }
                Ok(Err(miss)) => format!("{miss:?}"),
                Err(_) => return Err(Failure::new(Code::ExpiredRunning, "the time is up")),
            };
            request.blame(&upstream);
            request.broke(&upstream, Sign::Begun);
            if !request.may_go_on() {
                return Err(Failure::new(Code::AnswerCut, told));
            }
            self.count_retry("cut");
            answer = request.answer(None).await?;
        }
    }

    fn refuse(failure: &Failure) -> Response<Body> {
        let text = format!("{} {}\n", failure.code.number(), failure.code.name());
        let (head, ()) = Response::new(()).into_parts();
        let mut response = whole_response(head, text.into());
        *response.status_mut() = StatusCode::from_u16(failure.code.status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(span) = failure.retry_after {
            let seconds = format!("{}.{:03}", span.0 / 1000, span.0 % 1000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

fn find<'a>(config: &'a Config, head: &http::request::Parts) -> Result<&'a Route, Failure> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    config
        .route(host, head.uri.path())
        .ok_or_else(|| Failure::new(Code::UnknownPath, "no route matches"))
}

async fn accept<'a>(
    config: &'a Config,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<(&'a Route, Bytes), Failure> {
    let route = find(config, head)?;
    Ok((route, read(body, config).await?))
}

async fn read(body: Incoming, config: &Config) -> Result<Bytes, Failure> {
    let whole = Limited::new(body, config.limits.body).collect();
    let within = config.limits.idle;
    match tokio::time::timeout(within.duration(), whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Failure::new(Code::BodyTooLarge, "the body is too large"))
        }
        Ok(Err(error)) => Err(Failure::new(Code::BadRequest, error.to_string())),
        Err(_) => Err(Failure::new(
            Code::SenderTooSlow,
            "the body came too slowly",
        )),
    }
}

/// Chooses a pool by weight.
fn choose(route: &Route) -> Option<Name> {
    let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut at = rand::rng().random_range(0..total);
    for (pool, weight) in &route.split {
        if at < *weight {
            return Some(Name::clone(pool));
        }
        at -= weight;
    }
    None
}

/// Returns the head that a caller gets: the upstream's own, without what concerns its connection.
fn response_head(answer: &Answer) -> http::response::Parts {
    let mut head = answer.head.clone();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    head
}

/// Makes an answer whose body is known, with its length.
///
/// The body is wrapped later and doesn't tell its length any more; without the
/// header it would go out in chunks.
fn whole_response(mut head: http::response::Parts, body: Bytes) -> Response<Body> {
    head.headers
        .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    Response::from_parts(head, Full::new(body).map_err(never).boxed_unsync())
}

/// Returns a span in the unit of histograms.
#[must_use]
pub fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}

fn never(error: std::convert::Infallible) -> Cut {
    match error {}
}
