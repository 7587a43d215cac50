//! Runs granted attempts at their upstreams.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{Method, StatusCode, response};
use tokio::time::Instant;

use super::body::{self, Body, BodyFormat};
use super::event_rewriter::EventRewriter;
use super::registry::Dependencies;
use super::request_guard::{Outcome, RequestGuard};
use super::response_check::{self, ResponseCheck};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::membership::UpstreamOwnership;
use crate::ports::{Answer, Call, Engine, Service};
use crate::request::{Id, Ticket};
use crate::runner::{Attempt, Work};

/// Largest part of an engine's error response that is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// How long a request waited at its upstream's owner; carried in the response's extensions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitTimes {
    /// In the queue, including the load.
    pub queued: Millis,
    /// For its adapter to be loaded.
    pub load: Millis,
}

/// The client of the upstream that a request runs on.
#[derive(Debug, Clone)]
pub(super) enum Target {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

/// Permission to run a request now.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) target: Target,
    pub(super) ownership: UpstreamOwnership,
    pub(super) waits: WaitTimes,
}

/// A request that was validated and prepared for its upstream before it is queued.
///
/// An invalid request is refused here and never enters the queue.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    id: Id,
    deadline: Millis,
    payload: Payload,
}

#[derive(Debug)]
enum Payload {
    Completion {
        call: Box<Call>,
        check: ResponseCheck,
        stream: bool,
    },
    Call {
        head: Box<http::request::Parts>,
        body: Bytes,
    },
}

impl PreparedRequest {
    /// Prepares an attempt.
    ///
    /// # Errors
    ///
    /// When the body doesn't name one model, or a completion has no adapter.
    pub(super) fn new(attempt: &Attempt) -> Result<Self, Failure> {
        let ticket = &attempt.ticket;
        Ok(Self {
            id: ticket.id.clone(),
            deadline: ticket.deadline,
            payload: Payload::new(ticket, &attempt.work)?,
        })
    }

    /// Runs the request and returns the response; `guard` is kept until the response ends.
    pub(super) async fn run(
        self,
        guard: RequestGuard,
        grant: Grant,
        dependencies: &Dependencies,
    ) -> Result<Answer, Failure> {
        let remaining = self.deadline.since(dependencies.clock.now());
        let running = RunningRequest {
            guard,
            deadline: Instant::now() + remaining.duration(),
            dependencies,
        };
        let mut response = match (self.payload, grant.target) {
            (
                Payload::Completion {
                    call,
                    check,
                    stream,
                },
                Target::Engine(engine),
            ) => {
                let call = send_completion(&*engine, *call, &grant.ownership);
                running.run_completion(call, check, stream).await?
            }
            (Payload::Call { head, body }, Target::Service(service)) => {
                let is_head = head.method == Method::HEAD;
                let call = send_call(&*service, *head, body, &grant.ownership);
                running.run_call(call, is_head).await?
            }
            (_, _) => {
                running.guard.finish(Outcome::Refused);
                return Err(refused(&self.id, "the upstream is of another kind"));
            }
        };
        response.head.extensions.insert(grant.waits);
        Ok(response)
    }
}

impl Payload {
    fn new(ticket: &Ticket, work: &Work) -> Result<Self, Failure> {
        match work {
            Work::Completion { path, body, stream } => {
                let adapter = ticket
                    .adapter
                    .as_ref()
                    .ok_or_else(|| refused(&ticket.id, "the template names no adapter"))?;
                Ok(Self::Completion {
                    call: Box::new(engine_call(ticket, adapter, path, body)?),
                    check: ResponseCheck::new(ticket, adapter),
                    stream: *stream,
                })
            }
            Work::Call { head, body } => Ok(Self::Call {
                head: head.clone(),
                body: body.clone(),
            }),
        }
    }
}

/// Creates the engine's call for a completion.
fn engine_call(
    ticket: &Ticket,
    adapter: &Adapter,
    path: &Arc<str>,
    body: &Bytes,
) -> Result<Call, Failure> {
    Ok(Call {
        id: ticket.id.clone(),
        adapter: adapter.clone(),
        path: Arc::clone(path),
        body: response_check::with_engine_model(body, adapter)?,
        priority: ticket.class as u32,
    })
}

/// Checks the lease and sends a completion, with no await point in between.
async fn send_completion(
    engine: &dyn Engine,
    call: Call,
    ownership: &UpstreamOwnership,
) -> Result<Answer, Failure> {
    let fence = ownership.fence()?;
    engine.run(call, fence).await
}

/// Checks the lease and sends a call to a service, with no await point in between.
async fn send_call(
    service: &dyn Service,
    head: http::request::Parts,
    body: Bytes,
    ownership: &UpstreamOwnership,
) -> Result<Answer, Failure> {
    ownership.fence()?;
    service.call(head, body).await
}

/// A request that runs at its upstream.
#[derive(Debug)]
struct RunningRequest<'a> {
    guard: RequestGuard,
    deadline: Instant,
    dependencies: &'a Dependencies,
}

impl RunningRequest<'_> {
    /// Runs a completion and checks its response.
    async fn run_completion(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
        check: ResponseCheck,
        stream: bool,
    ) -> Result<Answer, Failure> {
        let (running, response) = self.await_head(call).await?;
        if !response.head.status.is_success() {
            return Err(running.read_error(response).await);
        }
        if !stream {
            return running.read_checked(response, &check).await;
        }
        let Answer { mut head, body } = response;
        // Rewriting the model name changes the length.
        head.headers.remove(CONTENT_LENGTH);
        let format = BodyFormat::Events(Box::new(EventRewriter::new(check)));
        Ok(running.stream_response(head, body, format))
    }

    /// Runs a call to a plain service.
    async fn run_call(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
        is_head: bool,
    ) -> Result<Answer, Failure> {
        let (running, response) = self.await_head(call).await?;
        // The length in such a head is that of a body that isn't sent; expecting it
        // would make each of these responses look truncated.
        let has_no_body = is_head || response.head.status == StatusCode::NOT_MODIFIED;
        let length = content_length(&response.head).filter(|_| !has_no_body);
        let format = BodyFormat::Plain(length);
        Ok(running.stream_response(response.head, response.body, format))
    }

    /// Waits for the response's head until the deadline.
    async fn await_head(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
    ) -> Result<(Self, Answer), Failure> {
        let response = tokio::time::timeout_at(self.deadline, call)
            .await
            .unwrap_or_else(|_| Err(expired()));
        match response {
            Ok(response) => Ok((self, response)),
            Err(failure) => {
                self.guard.finish(outcome_of(failure.code));
                Err(failure)
            }
        }
    }

    /// Returns a response whose body is checked while it streams.
    fn stream_response(
        self,
        head: response::Parts,
        body: BoxStream<'static, Result<Bytes, Failure>>,
        format: BodyFormat,
    ) -> Answer {
        let deadline = tokio::time::sleep_until(self.deadline);
        let metrics = Arc::clone(&self.dependencies.metrics);
        Answer {
            head,
            body: Body::new(body, self.guard, format, deadline, metrics).boxed(),
        }
    }

    /// Reads an unstreamed response to its end and checks it before any of it is forwarded.
    ///
    /// Once the caller has read part of it, it could no longer be told that the
    /// response was truncated or belonged to another request.
    async fn read_checked(
        self,
        response: Answer,
        check: &ResponseCheck,
    ) -> Result<Answer, Failure> {
        let Answer { mut head, mut body } = response;
        let limit = self.dependencies.limits.max_response_bytes;
        let read = read_body(&mut body, limit, content_length(&head));
        let read = tokio::time::timeout_at(self.deadline, read)
            .await
            .unwrap_or_else(|_| Err(expired()));
        drop(body);
        let checked = read.and_then(|read| self.check(&read, check));
        match checked {
            Ok(bytes) => {
                self.guard.finish(Outcome::Completed);
                head.headers
                    .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
                Ok(Answer {
                    head,
                    body: stream::once(std::future::ready(Ok(bytes))).boxed(),
                })
            }
            Err(failure) => {
                self.guard.finish(Outcome::Failed);
                Err(failure)
            }
        }
    }

    fn check(&self, read: &[u8], check: &ResponseCheck) -> Result<Bytes, Failure> {
        check
            .check_and_rename(read)
            .map_err(|error| body::count_dropped(error, &self.dependencies.metrics))
    }

    /// Reads an engine's error response and returns the failure that it stands for.
    async fn read_error(self, response: Answer) -> Failure {
        let Answer { head, mut body } = response;
        let read = read_body(&mut body, MAX_ERROR_BYTES, None);
        let read = tokio::time::timeout_at(self.deadline, read).await;
        drop(body);
        let content = read.ok().and_then(Result::ok).unwrap_or_default();
        let (failure, outcome) = classify_error(head.status, &content);
        self.guard.finish(outcome);
        failure
    }
}

/// Reads a body to its end and checks its length against the head's and the limit.
async fn read_body(
    body: &mut BoxStream<'static, Result<Bytes, Failure>>,
    limit: usize,
    length: Option<u64>,
) -> Result<BytesMut, Failure> {
    let mut read = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|failure| truncated(&failure.to_string()))?;
        if read.len() + chunk.len() > limit {
            return Err(truncated("the answer is too long"));
        }
        read.extend_from_slice(&chunk);
    }
    if length.is_some_and(|length| length != read.len() as u64) {
        return Err(truncated("the answer isn't as long as its head said"));
    }
    Ok(read)
}

/// Returns the failure and the outcome for an engine's error status.
///
/// A request counts as not run only for statuses with which an engine rejects it
/// before its scheduler sees it; docs/errors.md lists them.
fn classify_error(status: StatusCode, content: &[u8]) -> (Failure, Outcome) {
    let reason = error_reason(content);
    let detail = format!("the engine answered {}{reason}", status.as_u16());
    match status {
        StatusCode::NOT_FOUND => (
            Failure::new(Code::UpstreamRefused, detail),
            Outcome::UnknownAdapter,
        ),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => (
            Failure::new(Code::UpstreamRefused, detail),
            Outcome::Refused,
        ),
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => {
            (Failure::new(Code::BadRequest, detail), Outcome::Refused)
        }
        _ => (Failure::new(Code::UpstreamError, detail), Outcome::Failed),
    }
}

/// Returns the machine-readable part of an engine's error.
///
/// Only the short fields `type` and `code` are used: the message may quote the
/// prompt, which must not be logged.
fn error_reason(content: &[u8]) -> String {
    let parsed: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
    let error = parsed.get("error").unwrap_or(&parsed);
    ["type", "code"]
        .into_iter()
        .filter_map(|field| error.get(field)?.as_str())
        .filter(|text| text.len() <= 64 && text.chars().all(is_word_char))
        .fold(String::new(), |all, text| format!("{all}, {text}"))
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

fn content_length(head: &response::Parts) -> Option<u64> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn outcome_of(code: Code) -> Outcome {
    match code {
        Code::ConnectFailed => Outcome::ConnectFailed,
        Code::UpstreamRefused | Code::NotOwner => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn refused(id: &Id, detail: &str) -> Failure {
    log::warn!("owner: {id}: {detail}");
    Failure::new(Code::UpstreamRefused, detail)
}

fn expired() -> Failure {
    Failure::new(
        Code::ExpiredRunning,
        "the deadline passed while the request ran",
    )
}

fn truncated(detail: &str) -> Failure {
    Failure::new(Code::AnswerCut, detail)
}
